//! Follows the store: configuration, upstreams and this fleet's own VMs all come through one mirror, so only one call
//! to the store waits at a time.
//!
//! One VM of each availability zone reads the store, and the others receive changes from it ([`source`]). A VM that the
//! store refuses follows any VM that responds to it. Changes from every source are applied to the same copy. A source
//! is abandoned once the proof of the copy's freshness is too old ([`crate::gateway::mirror`]); what the source itself
//! claims does not count.

#[cfg(test)]
mod fixture;
mod following;
#[cfg(test)]
mod link_fixture;
#[cfg(test)]
mod random_history;
mod source;
#[cfg(test)]
mod store_fixture;
mod taker;

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, watch};

use crate::gateway::clock::now;
use crate::gateway::core::GatewayCore;
use crate::gateway::mirror::{
    ChunkOutcome, ContentError, CopyChange, CopyGap, FreshnessTimings, MirrorMessage, PendingPolls,
    SourceState, decode_content, held_values,
};
use crate::ident::{VmAddress, ZoneName};
use crate::membership::{MemberSnapshot, MemberState};
use crate::store::{FeedStep, MirrorChange, MirrorFeed, MirrorSettings, StorePort, StoreRevision};
use crate::wire::PeerMessage;

use self::following::{SourceFault, VmFollowing};
use self::source::{ChangeSource, GOSSIP_SETTLE_TIME, choose_source};
use self::taker::StoreApplier;

/// Everything that the gateway reads is below the store's root.
const STORE_PREFIX: &str = "";
/// Time for which a VM is not followed after it failed as a source.
const SOURCE_AVOID_TIME: Duration = Duration::from_secs(4);
/// Time for which the store has to fail before another VM is followed instead.
const STORE_FAILURE_TIME: Duration = Duration::from_millis(800);
/// Time for which a VM that the store refuses follows another one before it tries the store again.
const STORE_RETRY_DELAY: Duration = Duration::from_secs(3);

/// Puts the store's changes in force until the future is dropped.
pub async fn follow_store(
    core: Rc<GatewayCore>,
    port: impl StorePort,
    seeds: watch::Sender<Arc<[VmAddress]>>,
    members: watch::Receiver<Arc<MemberSnapshot>>,
    own: (VmAddress, ZoneName),
) {
    let (sender, messages) = mpsc::unbounded_channel();
    core.relay.set_message_sink(sender);
    let applier = StoreApplier::new(Rc::clone(&core), seeds);
    let feed = MirrorFeed::new(port, MirrorSettings::new(STORE_PREFIX));
    let follower = StoreFollower {
        applier,
        members,
        own,
        timings: FreshnessTimings::new(core.settings.change_bound),
        avoided: Vec::new(),
        store_watched_since: now(),
        store_failing_since: None,
        store_avoided_until: None,
        polls: PendingPolls::default(),
        logged_stale: true,
        messages,
        core,
    };
    follower.run(feed).await;
}

/// Follows one source at a time and switches between sources.
struct StoreFollower {
    core: Rc<GatewayCore>,
    applier: StoreApplier,
    members: watch::Receiver<Arc<MemberSnapshot>>,
    own: (VmAddress, ZoneName),
    timings: FreshnessTimings,
    /// VMs that failed as sources, each with the time until which it is avoided.
    avoided: Vec<(VmAddress, Instant)>,
    /// When watching the store started, or when the store was last found unusable.
    store_watched_since: Instant,
    /// Since when the store has not responded to this VM; none once the copy was known to be up to date again.
    store_failing_since: Option<Instant>,
    /// Until when another VM is followed because the store does not respond.
    store_avoided_until: Option<Instant>,
    /// Polls of the VM followed last, kept while no VM is followed so that their numbering continues.
    polls: PendingPolls,
    /// Whether the log states that the copy is stale.
    logged_stale: bool,
    messages: mpsc::UnboundedReceiver<(VmAddress, MirrorMessage)>,
}

impl StoreFollower {
    async fn run(mut self, mut feed: MirrorFeed<impl StorePort>) {
        let mut source = ChangeSource::Store;
        loop {
            log::info!(
                target: "ebonyfork::decision",
                "store source={source} age_ms={} revision={}",
                self.format_age(), self.complete_revision()
            );
            match source {
                ChangeSource::Store => self.watch_store(&mut feed).await,
                ChangeSource::Vm(vm) => self.follow_vm(vm).await,
            }
            source = self.select_source(source);
        }
    }

    fn complete_revision(&self) -> StoreRevision {
        self.core.relay.copy().complete_revision()
    }

    fn format_age(&self) -> String {
        let age = self.core.relay.copy_age();
        age.map_or_else(|| "never".to_owned(), |age| age.as_millis().to_string())
    }

    fn select_source(&mut self, current: ChangeSource) -> ChangeSource {
        let time = now();
        self.avoided.retain(|(_vm, until)| *until > time);
        if self.core.uptime() < GOSSIP_SETTLE_TIME && self.store_failing_since.is_none() {
            return ChangeSource::Store;
        }
        let has_lasted =
            |since: Instant| time.saturating_duration_since(since) >= STORE_FAILURE_TIME;
        let failing = self.store_failing_since.is_some_and(has_lasted);
        let unusable = failing || self.core.relay.is_stale();
        if current == ChangeSource::Store && has_lasted(self.store_watched_since) && unusable {
            self.store_avoided_until = Some(time + STORE_RETRY_DELAY);
            self.store_watched_since = time;
            self.store_failing_since.get_or_insert(time);
        }
        let refused = self.store_avoided_until.is_some_and(|until| until > time);
        let avoided: Vec<_> = self.avoided.iter().map(|(vm, _until)| *vm).collect();
        let members = self.members.borrow().clone();
        choose_source(&members, self.own.0, &self.own.1, &avoided, refused)
    }

    /// Returns the time of the next check of the source, or the time at which the copy becomes stale if that is
    /// earlier. Noticing staleness half a period late would cost a twelfth of the change bound.
    fn next_wake(&self, next: Instant) -> tokio::time::Instant {
        let time = now();
        let left = self.core.relay.time_until_stale();
        let stale_at = left.map(|left| time + left).filter(|at| *at > time);
        let next_wake = stale_at.map_or(next, |at| at.min(next));
        next_wake.into()
    }

    /// Returns whether the store has been read, but gossip does not yet know the VMs that could be followed.
    fn is_awaiting_gossip(&self) -> bool {
        let read = self.complete_revision() > StoreRevision::ABSENT;
        read && self.store_failing_since.is_none() && self.core.uptime() < GOSSIP_SETTLE_TIME
    }

    /// Watches the store until another source is preferred.
    async fn watch_store(&mut self, feed: &mut MirrorFeed<impl StorePort>) {
        self.store_watched_since = now();
        feed.resume_at(self.complete_revision());
        let mut next_check = now();
        let traffic = feed.traffic();
        loop {
            if self.is_awaiting_gossip() {
                // Everything has just been read, and a VM that follows another one from now on receives later changes
                // there.
                let left = GOSSIP_SETTLE_TIME.saturating_sub(self.core.uptime());
                tokio::time::sleep(left).await;
                if self.select_source(ChangeSource::Store) != ChangeSource::Store {
                    return;
                }
            }
            let mut received = traffic.received();
            let age = self.core.relay.copy_age().unwrap_or(self.timings.limit);
            if age > self.timings.full_read_age {
                feed.read_anew();
            }
            feed.set_wait(self.timings.watch_time(age + feed.until_next_watch()));
            // A call stays open over many checks, because cancelling it would cost another call.
            let step = feed.step();
            tokio::pin!(step);
            let completed = loop {
                let next_wake = self.next_wake(next_check);
                tokio::select! {
                    completed = &mut step => break completed,
                    () = tokio::time::sleep_until(next_wake) => {
                        next_check = now() + self.timings.poll_interval;
                        self.report_age(ChangeSource::Store);
                        let before = std::mem::replace(&mut received, traffic.received());
                        // Another source would have to send from the start what is being received.
                        let is_receiving = received > before;
                        if !is_receiving && self.select_source(ChangeSource::Store) != ChangeSource::Store {
                            return;
                        }
                    }
                }
            };
            self.handle_step(completed);
        }
    }

    fn handle_step(&mut self, step: FeedStep) {
        if !step.answers {
            self.store_failing_since.get_or_insert_with(now);
            return;
        }
        if self.store_failing_since.take().is_some() {
            self.core.registry.note_return(now());
        }
        // Only the last page of a read proves anything.
        let Some(proof) = step.proof else { return };
        let (base_revision, revision) = (step.since, step.revision);
        self.log_behind(&step);
        let change = match step.change {
            Some(MirrorChange::Replaced(items)) => CopyChange::Full { items, revision },
            store_change => CopyChange::Changes {
                events: store_change.map_or_else(Vec::new, MirrorChange::into_events),
                base_revision,
                revision,
            },
        };
        match self.apply_change(ChangeSource::Store, change) {
            Ok(()) => {
                self.core.relay.note_proof(proof.into_std());
                if let Some(table) = self.core.table() {
                    self.core.route_checks.announce_version(table.version());
                }
            }
            // Not expected, because the feed resumes from the copy. Without a proof the copy becomes stale, another
            // source brings it up to date, and the feed resumes from there.
            Err(gap) => log::error!(
                "store changes after {base_revision} leave a gap after {}: {gap:?}",
                self.complete_revision()
            ),
        }
    }

    /// Logs that the store states a revision below the one known to this VM, and how many changes came with it.
    fn log_behind(&self, step: &FeedStep) {
        let known = self.complete_revision();
        let Some(stated) = step.stated.filter(|stated| *stated < known) else {
            return;
        };
        let brought = step.change.as_ref().map_or(0, MirrorChange::len);
        log::warn!(
            target: "ebonyfork::decision",
            "store behind stated={stated} known={known} watched_after={} brought={brought}",
            step.since
        );
    }

    /// Follows another VM until it fails as a source or another source is preferred.
    async fn follow_vm(&mut self, vm: VmAddress) {
        while self.messages.try_recv().is_ok() {}
        let polls = std::mem::take(&mut self.polls).reset();
        let received = self.core.delegates.received_bytes(vm);
        let mut following = VmFollowing::new(vm, received, polls);
        let mut next_check = now();
        let fault = loop {
            let next_wake = self.next_wake(next_check);
            tokio::select! {
                Some((from, message)) = self.messages.recv() => {
                    if from != vm {
                        continue;
                    }
                    if let Err(fault) = self.handle_message(&mut following, message) {
                        break Some(fault);
                    }
                }
                () = tokio::time::sleep_until(next_wake) => {
                    next_check = now() + self.timings.poll_interval;
                    self.report_age(ChangeSource::Vm(vm));
                    let chosen = self.select_source(ChangeSource::Vm(vm));
                    if chosen != ChangeSource::Vm(vm) && !self.should_keep_following(&following) {
                        break None;
                    }
                    if let Err(fault) = self.poll_vm(&mut following) {
                        break Some(fault);
                    }
                }
            }
        };
        if let Some(fault) = fault {
            self.abandon(&following, fault);
        }
        self.polls = following.polls;
        let leave = PeerMessage::Mirror(MirrorMessage::Leave);
        self.core.delegates.tell(vm, leave);
    }

    /// Returns whether to keep following a VM although another source is preferred now: either it is sending data,
    /// which another source would have to send from the start, or gossip merely suspects it while it still responds.
    fn should_keep_following(&self, following: &VmFollowing) -> bool {
        let time = now();
        if following.is_progressing(time) {
            return true;
        }
        let members = self.members.borrow();
        let state = members.get(following.vm).map(|member| member.state);
        state == Some(MemberState::Suspect)
            && following.is_responsive(time, self.timings.poll_interval)
    }

    /// Polls a followed VM for changes and for the age of its proof.
    fn poll_vm(&self, following: &mut VmFollowing) -> Result<(), SourceFault> {
        let time = now();
        following.check(time, self.timings.poll_interval, self.core.relay.is_stale())?;
        let held_values = held_values(&self.core.relay.copy());
        let follow = MirrorMessage::Follow {
            known_revision: self.complete_revision(),
            held_values,
            poll: following.polls.record(time),
        };
        self.send_to_vm(following.vm, follow)
    }

    fn send_to_vm(&self, vm: VmAddress, message: MirrorMessage) -> Result<(), SourceFault> {
        let sent = self.core.delegates.tell(vm, PeerMessage::Mirror(message));
        sent.then_some(()).ok_or(SourceFault::Unreachable)
    }

    /// Handles a message from the followed VM.
    fn handle_message(
        &mut self,
        following: &mut VmFollowing,
        message: MirrorMessage,
    ) -> Result<(), SourceFault> {
        match message {
            MirrorMessage::Chunk {
                transfer,
                offset,
                total_bytes,
                bytes,
            } => {
                let position = (offset as usize, total_bytes as usize);
                self.handle_chunk(following, transfer, position, &bytes)
            }
            MirrorMessage::State { poll, state } => self.handle_state(following, poll, state),
            MirrorMessage::Follow { .. } | MirrorMessage::Leave | MirrorMessage::Ack { .. } => {
                Ok(())
            }
        }
    }

    fn handle_chunk(
        &mut self,
        following: &mut VmFollowing,
        transfer: u64,
        position: (usize, usize),
        bytes: &[u8],
    ) -> Result<(), SourceFault> {
        following.progress_at = Some(now());
        let acked = match following.incoming.receive(transfer, position, bytes) {
            ChunkOutcome::Incomplete(received) => received,
            ChunkOutcome::Complete(content) => {
                self.apply_content(following.vm, &content)?;
                content.len()
            }
            ChunkOutcome::Unexpected => return Ok(()),
            ChunkOutcome::Invalid => return Err(SourceFault::Gap),
        };
        let ack = MirrorMessage::Ack {
            transfer,
            received_bytes: acked as u32,
        };
        self.send_to_vm(following.vm, ack)
    }

    fn apply_content(&mut self, vm: VmAddress, content: &[u8]) -> Result<(), SourceFault> {
        let change = decode_content(&self.core.relay.copy(), content);
        let change = change.map_err(|error| {
            log::warn!(
                "store changes from {vm} can't be decoded bytes={}: {error}",
                content.len()
            );
            match error {
                ContentError::MissingBase { .. } => SourceFault::Gap,
                ContentError::Malformed { .. } | ContentError::Pack { .. } => {
                    SourceFault::Unreadable
                }
            }
        })?;
        if self.core.relay.is_stale() && self.store_failing_since.take().is_some() {
            // The store may have been unreachable for all VMs: entries that lapsed in the meantime may come back.
            self.core.registry.note_return(now());
        }
        let applied = self.apply_change(ChangeSource::Vm(vm), change);
        applied.map_err(|_gap| SourceFault::Gap)
    }

    /// Applies a change, and logs if it starts a new era, because the store was restored from an older copy.
    fn apply_change(&self, source: ChangeSource, change: CopyChange) -> Result<(), CopyGap> {
        let before = self.complete_revision();
        let applied = self.applier.apply(change);
        let after = self.complete_revision();
        if before > StoreRevision::ABSENT && after.era() > before.era() {
            log::warn!(
                target: "ebonyfork::decision",
                "store era rose old={} new={} known={before} revision={after} source={source}",
                before.era(),
                after.era()
            );
        }
        applied
    }

    /// Handles the state of the followed VM: how much it has sent, and as of when that was complete.
    fn handle_state(
        &mut self,
        following: &mut VmFollowing,
        poll: u64,
        state: SourceState,
    ) -> Result<(), SourceFault> {
        following.responded_at = Some(now());
        let (revision, up_to_date_ms) = match state {
            SourceState::UpToDate {
                revision,
                up_to_date_ms,
            } => (revision, up_to_date_ms),
            SourceState::Sending => return Ok(()),
            SourceState::Stale => return Err(SourceFault::Stale),
        };
        if revision > self.complete_revision() {
            return Err(SourceFault::Gap);
        }
        if let Some(up_to_date_at) = following.polls.up_to_date_at(poll, up_to_date_ms) {
            self.core.relay.note_proof(up_to_date_at);
            self.store_failing_since = None;
        }
        Ok(())
    }

    /// Reports the age of the copy in metrics, and logs each change between stale and up to date once.
    fn report_age(&mut self, source: ChangeSource) {
        let age = self.core.relay.copy_age();
        self.core.metrics.note_copy(age, self.complete_revision());
        let stale = self.core.relay.is_stale();
        if stale == self.logged_stale {
            return;
        }
        self.logged_stale = stale;
        log::warn!(
            target: "ebonyfork::decision",
            "store copy {} age_ms={} source={source} revision={}",
            if stale { "old" } else { "up to date" },
            self.format_age(),
            self.complete_revision()
        );
    }

    fn abandon(&mut self, following: &VmFollowing, fault: SourceFault) {
        let vm = following.vm;
        let received = self.core.delegates.received_bytes(vm);
        log::info!(
            target: "ebonyfork::decision",
            "store source vm={vm} given up reason={fault} age_ms={} revision={} followed_ms={} received_bytes={}",
            self.format_age(),
            self.complete_revision(),
            now().saturating_duration_since(following.since).as_millis(),
            received.saturating_sub(following.received_bytes_before)
        );
        if fault != SourceFault::Gap {
            self.avoided.push((vm, now() + SOURCE_AVOID_TIME));
        }
    }
}

#[cfg(test)]
#[path = "large_config_tests.rs"]
mod large_config_tests;
#[cfg(test)]
#[path = "follow_tests.rs"]
mod tests;
