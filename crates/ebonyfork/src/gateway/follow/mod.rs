//! Follows the store: configuration, upstreams and this fleet's own VMs all come through one mirror, so only one call
//! to the store waits at a time.
//!
//! One VM of each availability zone reads the store, and the others receive changes from it ([`source`]). A VM that the
//! store refuses follows any VM that responds to it. Changes from every source are applied to the same copy. A source
//! is abandoned once this VM's copy is too old ([`crate::gateway::mirror`]), even if the source considers its own copy
//! up to date.

#[cfg(test)]
mod fixture;
mod following;
#[cfg(test)]
mod link_fixture;
mod outage;
#[cfg(test)]
mod random_history;
mod source;
mod status;
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
use crate::gateway::tasks::TaskName;
use crate::ident::{VmAddress, ZoneName};
use crate::membership::{MemberSnapshot, MemberState};
use crate::panic_reason::catch_panic;
use crate::store::{FeedStep, MirrorChange, MirrorFeed, MirrorSettings, StorePort, StoreRevision};
use crate::wire::PeerMessage;

use self::following::{SourceFault, VmFollowing};
use self::outage::StoreOutage;
use self::source::{ChangeSource, GOSSIP_SETTLE_TIME, all_store_readers, choose_source};
use self::status::FollowerRun;
pub use self::status::FollowerStatus;
use self::taker::StoreApplier;

/// Prefix of the keys to follow: all keys below the store's root are read.
const STORE_PREFIX: &str = "";
/// Time for which a VM that failed as a source is not followed again.
const SOURCE_AVOID_TIME: Duration = Duration::from_secs(4);
/// Time for which the store has to fail before another VM is followed instead.
const STORE_FAILURE_TIME: Duration = Duration::from_millis(800);
/// Time for which a VM that the store refuses follows another one before it tries the store again.
const STORE_RETRY_DELAY: Duration = Duration::from_secs(3);

/// Puts the store's changes in force until the future is dropped. `own_vm` are this VM's address and zone.
///
/// Another run continues with the same copy; it reads the store in full if it follows the store itself, so that nothing that
/// the previous run may have missed stays unknown.
pub async fn follow_store(
    core: Rc<GatewayCore>,
    port: impl StorePort,
    seeds: watch::Sender<Arc<[VmAddress]>>,
    members: watch::Receiver<Arc<MemberSnapshot>>,
    own_vm: (VmAddress, ZoneName),
) {
    let _run = FollowerRun::begin(&core);
    let (sender, messages) = mpsc::unbounded_channel();
    core.relay.set_message_sink(sender);
    let applier = StoreApplier::new(Rc::clone(&core), seeds);
    let malformed_answers = core.metrics.copy.malformed_answers.clone();
    let feed = MirrorFeed::new(port, MirrorSettings::new(STORE_PREFIX))
        .with_stale_pages()
        .with_malformed_counter(malformed_answers);
    let earlier_runs = core.relay.count_follower_run();
    let mut outage = StoreOutage::default();
    if core.relay.is_store_failing() {
        // Otherwise entries that expired in the outage would be removed at once when the store answers again.
        outage.note_failed_call(now());
    }
    let follower = StoreFollower {
        is_rereading: earlier_runs > 0,
        has_earlier_run: earlier_runs > 0,
        applier,
        members,
        own_vm,
        timings: FreshnessTimings::new(core.settings.change_bound),
        avoided_vms: Vec::new(),
        store_watched_since: now(),
        outage,
        store_avoided_until: None,
        polls: PendingPolls::of_run(earlier_runs),
        is_logged_as_stale: true,
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
    /// This VM's address and zone.
    own_vm: (VmAddress, ZoneName),
    timings: FreshnessTimings,
    /// VMs that failed as sources, each with the time until which it is not followed.
    avoided_vms: Vec<(VmAddress, Instant)>,
    /// When this VM last started to watch the store, or last found it unusable.
    store_watched_since: Instant,
    /// Outage of the store, assumed from failed calls of this VM or of several that it followed. It ends once the store
    /// responds or a followed VM confirms that the copy is up to date.
    outage: StoreOutage,
    /// Until when another VM is followed because the store did not respond to this VM; none if that has not happened
    /// yet.
    store_avoided_until: Option<Instant>,
    /// Polls of the VM that was followed last. They are kept while no VM is followed, so that poll numbers continue.
    polls: PendingPolls,
    /// Whether the next watch of the store begins with a full read.
    is_rereading: bool,
    /// Whether an earlier run of the task may have followed the VM that is followed next.
    has_earlier_run: bool,
    /// Whether the last log line about the copy's age states that the copy is stale.
    is_logged_as_stale: bool,
    /// Messages from followed VMs, each with its sender.
    messages: mpsc::UnboundedReceiver<(VmAddress, MirrorMessage)>,
}

impl StoreFollower {
    async fn run(mut self, mut feed: MirrorFeed<impl StorePort>) {
        let mut source = self.select_source(ChangeSource::Store);
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

    /// Returns the copy's age in milliseconds for the log.
    fn format_age(&self) -> String {
        let age = self.core.relay.copy_age();
        age.map_or_else(|| "never".to_owned(), |age| age.as_millis().to_string())
    }

    /// Selects the source to use from now on, and notes if the store has failed for too long.
    fn select_source(&mut self, current_source: ChangeSource) -> ChangeSource {
        let time = now();
        self.avoided_vms.retain(|(_vm, until)| *until > time);
        if self.core.uptime() < GOSSIP_SETTLE_TIME && self.outage.since().is_none() {
            return ChangeSource::Store;
        }
        let lasts_too_long =
            |since: Instant| time.saturating_duration_since(since) >= STORE_FAILURE_TIME;
        let is_failing = self.outage.since().is_some_and(lasts_too_long);
        let is_unusable = is_failing || self.core.relay.is_stale();
        if current_source == ChangeSource::Store
            && lasts_too_long(self.store_watched_since)
            && is_unusable
        {
            self.store_avoided_until = Some(time + STORE_RETRY_DELAY);
            self.store_watched_since = time;
            let is_new = self.outage.note_failed_call(now());
            self.announce_outage(is_new);
        }
        let is_store_avoided = self.store_avoided_until.is_some_and(|until| until > time);
        let avoided_vms: Vec<_> = self.avoided_vms.iter().map(|(vm, _until)| *vm).collect();
        let members = self.members.borrow().clone();
        choose_source(
            &members,
            self.own_vm.0,
            &self.own_vm.1,
            &avoided_vms,
            is_store_avoided,
        )
    }

    /// Returns the time of the next check of the source, or the time at which the copy becomes stale if that is
    /// earlier. A poll interval is a sixth of the time within which a change must be in force, so noticing staleness
    /// half an interval late would cost a twelfth of that time.
    fn next_wake(&self, next_check: Instant) -> tokio::time::Instant {
        let time = now();
        let time_until_stale = self.core.relay.time_until_stale();
        let stale_at = time_until_stale
            .map(|duration| time + duration)
            .filter(|at| *at > time);
        let next_wake = stale_at.map_or(next_check, |at| at.min(next_check));
        next_wake.into()
    }

    /// Returns whether the store has been read and a VM to follow can't be selected yet, because gossip may not know
    /// the other VMs.
    fn is_awaiting_gossip(&self) -> bool {
        let has_read = self.complete_revision() > StoreRevision::ABSENT;
        has_read && self.outage.since().is_none() && self.core.uptime() < GOSSIP_SETTLE_TIME
    }

    /// Watches the store until another source is preferred.
    async fn watch_store(&mut self, feed: &mut MirrorFeed<impl StorePort>) {
        self.store_watched_since = now();
        if !std::mem::take(&mut self.is_rereading) {
            feed.resume_at(self.complete_revision());
        }
        let mut next_check = now();
        let traffic = feed.traffic();
        loop {
            if self.is_awaiting_gossip() {
                // The store has just been read in full. If another VM is followed from now on, it sends the later
                // changes, so calls to the store in the meantime would be wasted.
                let settle_time = GOSSIP_SETTLE_TIME.saturating_sub(self.core.uptime());
                tokio::time::sleep(settle_time).await;
                if self.select_source(ChangeSource::Store) != ChangeSource::Store {
                    return;
                }
            }
            let mut received_bytes = traffic.received_bytes();
            let age = self.core.relay.copy_age().unwrap_or(self.timings.max_age);
            if age > self.timings.max_age_to_watch || self.core.relay.needs_full_read() {
                feed.reread();
            }
            feed.set_watch_wait(self.timings.watch_time(age + feed.time_until_next_watch()));
            // The call to the store stays open over many checks of the source, because cancelling it would cost another
            // call.
            let step = feed.step();
            tokio::pin!(step);
            let completed_step = loop {
                let next_wake = self.next_wake(next_check);
                tokio::select! {
                    completed_step = &mut step => break completed_step,
                    () = tokio::time::sleep_until(next_wake) => {
                        next_check = now() + self.timings.poll_interval;
                        self.report_age(ChangeSource::Store);
                        let bytes_before = std::mem::replace(&mut received_bytes, traffic.received_bytes());
                        // Another source would have to send again, from the start, what the store is sending now.
                        let is_receiving = received_bytes > bytes_before;
                        if !is_receiving && self.select_source(ChangeSource::Store) != ChangeSource::Store {
                            return;
                        }
                    }
                }
            };
            if self.handle_step(completed_step).is_err() {
                // A store that lags behind would otherwise be read again and again without a pause.
                tokio::time::sleep(self.timings.poll_interval).await;
            }
        }
    }

    /// Applies the result of a call to the store. Fails if it leaves a gap.
    fn handle_step(&mut self, step: FeedStep) -> Result<(), CopyGap> {
        if !step.store_answers {
            let is_new = self.outage.note_failed_call(now());
            self.announce_outage(is_new);
            return Ok(());
        }
        if self.end_outage() {
            self.core.record_store_return();
        }
        // Of a read in pages, only the last page shows that the copy is complete.
        let Some(up_to_date_at) = step.up_to_date_at else {
            return Ok(());
        };
        let (base_revision, revision) = (step.previous_revision, step.revision);
        self.log_behind(&step);
        let change = match step.change {
            Some(MirrorChange::Replaced(items)) => CopyChange::Full { items, revision },
            store_change => CopyChange::Changes {
                events: store_change.map_or_else(Vec::new, MirrorChange::into_events),
                base_revision,
                revision,
            },
        };
        let result = self.apply_change(ChangeSource::Store, change);
        match &result {
            Ok(()) => {
                self.core.relay.note_up_to_date(up_to_date_at.into_std());
                if let Some(table) = self.core.table() {
                    self.core.route_checks.announce_version(table.version());
                }
            }
            // Not expected, because the feed resumes from the copy's revision. The copy does not count as up to date
            // and becomes stale, another source brings it up to date, and the feed resumes from there.
            Err(gap) => log::error!(
                "store changes after {base_revision} leave a gap after {}: {gap:?}",
                self.complete_revision()
            ),
        }
        result
    }

    /// Informs the followers of an outage of the store that is assumed from now on.
    fn announce_outage(&self, is_new: bool) {
        if is_new {
            self.core.relay.set_store_failing(true);
        }
    }

    /// Records that the store responds, or that the copy is up to date. Returns whether an outage was assumed.
    fn end_outage(&mut self) -> bool {
        self.core.relay.set_store_failing(false);
        self.outage.clear()
    }

    /// Logs if the store states a lower revision than the copy's, with the number of changes in the response.
    fn log_behind(&self, step: &FeedStep) {
        let known_revision = self.complete_revision();
        let Some(stated_revision) = step
            .stated_revision
            .filter(|revision| *revision < known_revision)
        else {
            return;
        };
        let change_count = step.change.as_ref().map_or(0, MirrorChange::len);
        log::warn!(
            target: "ebonyfork::decision",
            "store behind stated={stated_revision} known={known_revision} watched_after={} brought={change_count}",
            step.previous_revision
        );
    }

    /// Follows another VM until it fails as a source or another source is preferred.
    async fn follow_vm(&mut self, vm: VmAddress) {
        while self.messages.try_recv().is_ok() {}
        if std::mem::take(&mut self.has_earlier_run) {
            // The VM may still be sending a change to the earlier run.
            let leave_message = PeerMessage::Mirror(MirrorMessage::Leave);
            self.core.delegates.send_message(vm, leave_message);
        }
        let polls = std::mem::take(&mut self.polls).reset();
        let received_bytes = self.core.delegates.received_bytes(vm);
        let mut following = VmFollowing::new(vm, received_bytes, polls);
        let mut next_check = now();
        let fault = loop {
            let next_wake = self.next_wake(next_check);
            tokio::select! {
                Some((sender_vm, message)) = self.messages.recv() => {
                    if sender_vm != vm {
                        continue;
                    }
                    if let Err(fault) = self.handle_message(&mut following, message) {
                        break Some(fault);
                    }
                }
                () = tokio::time::sleep_until(next_wake) => {
                    next_check = now() + self.timings.poll_interval;
                    self.report_age(ChangeSource::Vm(vm));
                    let chosen_source = self.select_source(ChangeSource::Vm(vm));
                    if chosen_source != ChangeSource::Vm(vm) && !self.should_keep_following(&following) {
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
        let leave_message = PeerMessage::Mirror(MirrorMessage::Leave);
        self.core.delegates.send_message(vm, leave_message);
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

    /// Polls the followed VM for changes and for the time as of which its copy was up to date. Returns the fault if it
    /// is no longer a usable source.
    fn poll_vm(&self, following: &mut VmFollowing) -> Result<(), SourceFault> {
        let time = now();
        following.check_source(time, &self.timings, self.core.relay.is_stale())?;
        let held_values = held_values(&self.core.relay.copy());
        let follow_message = MirrorMessage::Follow {
            known_revision: self.complete_revision(),
            held_values,
            poll: following.polls.record(time),
        };
        self.send_to_vm(following.vm, follow_message)
    }

    fn send_to_vm(&self, vm: VmAddress, message: MirrorMessage) -> Result<(), SourceFault> {
        let is_sent = self
            .core
            .delegates
            .send_message(vm, PeerMessage::Mirror(message));
        is_sent.then_some(()).ok_or(SourceFault::Unreachable)
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
            MirrorMessage::StoreFailing => {
                let is_new = self.outage.note_failing_source(following.vm, now());
                self.announce_outage(is_new);
                Ok(())
            }
            MirrorMessage::StoreReturned { grace_ms } => {
                let grace = Duration::from_millis(u64::from(grace_ms));
                self.core.keep_missing_entries(grace);
                Ok(())
            }
            MirrorMessage::Follow { .. } | MirrorMessage::Leave | MirrorMessage::Ack { .. } => {
                Ok(())
            }
        }
    }

    /// Receives a chunk, applies the changes if it completes its transfer, and acknowledges it.
    fn handle_chunk(
        &mut self,
        following: &mut VmFollowing,
        transfer: u64,
        position: (usize, usize),
        bytes: &[u8],
    ) -> Result<(), SourceFault> {
        following.progress_at = Some(now());
        let acked_bytes = match following
            .incoming_transfer
            .receive(transfer, position, bytes)
        {
            ChunkOutcome::Incomplete(received_bytes) => received_bytes,
            ChunkOutcome::Complete(content) => {
                self.apply_content(following.vm, &content)?;
                content.len()
            }
            ChunkOutcome::Unexpected => return Ok(()),
            ChunkOutcome::Invalid => return Err(SourceFault::Gap),
        };
        let ack = MirrorMessage::Ack {
            transfer,
            received_bytes: acked_bytes as u32,
        };
        self.send_to_vm(following.vm, ack)
    }

    fn apply_content(&mut self, vm: VmAddress, content: &[u8]) -> Result<(), SourceFault> {
        let decoded = catch_panic(|| decode_content(&self.core.relay.copy(), content));
        let change = decoded.map_err(|reason| {
            log::error!("decoding store changes from {vm} failed: {reason}");
            self.core
                .metrics
                .tasks
                .count_caught_panic(TaskName::StoreFollower);
            SourceFault::Unreadable
        })?;
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
        if self.core.relay.is_stale() && self.end_outage() {
            // The store may have been unreachable for all VMs, so that entries of upstreams expired in it although the
            // upstreams run. Removals are delayed until these have had time to write their entries again.
            self.core.record_store_return();
        }
        let change = self.applier.replace_credentials(change);
        self.apply_change(ChangeSource::Vm(vm), change)
            .map_err(|_gap| SourceFault::Gap)
    }

    /// Applies a change, and logs if it starts a new era, which means that the store was restored from an older copy.
    fn apply_change(&self, source: ChangeSource, change: CopyChange) -> Result<(), CopyGap> {
        let old_revision = self.complete_revision();
        let result = self.applier.apply(change);
        match source {
            ChangeSource::Store => self
                .core
                .send_cold_notices(|| all_store_readers(&self.members.borrow(), self.own_vm.0)),
            // The VM that has read them from the store has sent the notices.
            ChangeSource::Vm(_) => self.core.drop_cold_notices(),
        }
        let new_revision = self.complete_revision();
        if old_revision > StoreRevision::ABSENT && new_revision.era() > old_revision.era() {
            log::warn!(
                target: "ebonyfork::decision",
                "store era rose old={} new={} known={old_revision} revision={new_revision} source={source}",
                old_revision.era(),
                new_revision.era()
            );
        }
        result
    }

    /// Handles the state of the followed VM: the revision up to which it has sent everything, and the time as of which
    /// its copy was up to date.
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
            SourceState::Stale if following.may_be_refreshing(now(), &self.timings) => {
                return Ok(());
            }
            SourceState::Stale => return Err(SourceFault::Stale),
        };
        if revision > self.complete_revision() {
            return Err(SourceFault::Gap);
        }
        if let Some(up_to_date_at) = following.polls.up_to_date_at(poll, up_to_date_ms) {
            self.core.relay.note_up_to_date(up_to_date_at);
            self.end_outage();
        }
        Ok(())
    }

    /// Records that the source is checked, and logs each change between stale and up to date once.
    fn report_age(&mut self, source: ChangeSource) {
        self.core.follower.note_check(source, now());
        let is_stale = self.core.relay.is_stale();
        if is_stale == self.is_logged_as_stale {
            return;
        }
        self.is_logged_as_stale = is_stale;
        log::warn!(
            target: "ebonyfork::decision",
            "store copy {} age_ms={} source={source} revision={}",
            if is_stale { "old" } else { "up to date" },
            self.format_age(),
            self.complete_revision()
        );
    }

    /// Logs why a followed VM is abandoned. It is avoided for [`SOURCE_AVOID_TIME`], except after a gap, which a new
    /// poll closes. A gap after this VM's copy was discarded is not closed by it: the VM's copy is older than what is in
    /// force here.
    fn abandon(&mut self, following: &VmFollowing, fault: SourceFault) {
        let vm = following.vm;
        let received_bytes = self.core.delegates.received_bytes(vm);
        log::info!(
            target: "ebonyfork::decision",
            "store source vm={vm} given up reason={fault} age_ms={} revision={} followed_ms={} received_bytes={}",
            self.format_age(),
            self.complete_revision(),
            now().saturating_duration_since(following.followed_since).as_millis(),
            received_bytes.saturating_sub(following.received_bytes_before)
        );
        if fault != SourceFault::Gap || self.core.relay.needs_full_read() {
            self.avoided_vms.push((vm, now() + SOURCE_AVOID_TIME));
        }
    }
}

#[cfg(test)]
#[path = "large_config_tests.rs"]
mod large_config_tests;
#[cfg(test)]
#[path = "follow_tests.rs"]
mod tests;
