//! Follows the store: configuration, upstreams and our own VMs, all from one mirror, so that one call at a time waits.
//!
//! One VM of a zone asks the store, the others hear of changes from it ([`source`]); a VM that the store turns away
//! hears of them from whichever VM it answers. Whatever the way, changes are taken into one copy, and a source is given
//! up once the proof that the copy is up to date has become too old ([`crate::gateway::mirror`]): what a source believes of
//! itself does not count.

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
    ContentError, CopyChange, CopyGap, FreshnessTerms, MirrorMessage, OpenQuestions, PieceOutcome,
    SourceStanding, held_values, read_content,
};
use crate::ident::{VmAddress, ZoneName};
use crate::membership::{MemberSnapshot, MemberState};
use crate::store::{FeedStep, MirrorChange, MirrorFeed, MirrorSettings, StorePort, StoreRevision};
use crate::wire::PeerMessage;

use self::following::{SourceFault, VmFollowing};
use self::source::{ChangeSource, SETTLING_TIME, choose_source};
use self::taker::StoreTaker;

/// Everything the gateway reads stands below the store's root.
const PREFIX: &str = "";
/// How long a VM is avoided that was no good source.
const AVOIDED_TIME: Duration = Duration::from_secs(4);
/// How long the store must fail before another VM is followed instead.
const TRIAL_TIME: Duration = Duration::from_millis(800);
/// How long a VM that the store turns away follows another one before it asks the store again.
const DETOUR_TIME: Duration = Duration::from_secs(3);

/// Puts the store's changes in force until the future is dropped.
pub async fn follow_store(
    core: Rc<GatewayCore>,
    port: impl StorePort,
    seeds: watch::Sender<Arc<[VmAddress]>>,
    members: watch::Receiver<Arc<MemberSnapshot>>,
    own: (VmAddress, ZoneName),
) {
    let (sender, news) = mpsc::unbounded_channel();
    core.relay.listen(sender);
    let taker = StoreTaker::new(Rc::clone(&core), seeds);
    let feed = MirrorFeed::new(port, MirrorSettings::new(PREFIX));
    let follower = StoreFollower {
        taker,
        members,
        own,
        terms: FreshnessTerms::new(core.settings.change_bound),
        avoided: Vec::new(),
        asking_since: now(),
        failing_since: None,
        detour_until: None,
        questions: OpenQuestions::default(),
        noted_old: true,
        news,
        core,
    };
    follower.run(feed).await;
}

/// Follows one source after another.
struct StoreFollower {
    core: Rc<GatewayCore>,
    taker: StoreTaker,
    members: watch::Receiver<Arc<MemberSnapshot>>,
    own: (VmAddress, ZoneName),
    terms: FreshnessTerms,
    /// VMs that were no good source, with the time until which they are avoided.
    avoided: Vec<(VmAddress, Instant)>,
    /// Since when the store is asked, or since the last time that it was found to be of no use.
    asking_since: Instant,
    /// Since when the store has not answered this VM, if the copy has not been known to be up to date since.
    failing_since: Option<Instant>,
    /// Until when another VM is followed because the store does not answer.
    detour_until: Option<Instant>,
    /// The questions of the round before, while no VM is followed.
    questions: OpenQuestions,
    /// Whether the log says that the copy is old.
    noted_old: bool,
    news: mpsc::UnboundedReceiver<(VmAddress, MirrorMessage)>,
}

impl StoreFollower {
    async fn run(mut self, mut feed: MirrorFeed<impl StorePort>) {
        let mut source = ChangeSource::Store;
        loop {
            log::info!(
                target: "ebonyfork::decision",
                "store source={source} age_ms={} revision={}",
                self.age_text(), self.complete()
            );
            match source {
                ChangeSource::Store => self.ask_store(&mut feed).await,
                ChangeSource::Vm(vm) => self.follow_vm(vm).await,
            }
            source = self.choose(source);
        }
    }

    fn complete(&self) -> StoreRevision {
        self.core.relay.copy().complete()
    }

    fn age_text(&self) -> String {
        let age = self.core.relay.proof_age();
        age.map_or_else(|| "never".to_owned(), |age| age.as_millis().to_string())
    }

    fn choose(&mut self, current: ChangeSource) -> ChangeSource {
        let time = now();
        self.avoided.retain(|(_vm, until)| *until > time);
        if self.core.uptime() < SETTLING_TIME && self.failing_since.is_none() {
            return ChangeSource::Store;
        }
        let tried = |since: Instant| time.saturating_duration_since(since) >= TRIAL_TIME;
        let failing = self.failing_since.is_some_and(tried);
        let useless = failing || self.core.relay.is_old();
        if current == ChangeSource::Store && tried(self.asking_since) && useless {
            self.detour_until = Some(time + DETOUR_TIME);
            self.asking_since = time;
            self.failing_since.get_or_insert(time);
        }
        let refused = self.detour_until.is_some_and(|until| until > time);
        let avoided: Vec<_> = self.avoided.iter().map(|(vm, _until)| *vm).collect();
        let members = self.members.borrow().clone();
        choose_source(&members, self.own.0, &self.own.1, &avoided, refused)
    }

    /// The next look at the source, or the moment at which the copy becomes old if that is sooner: seeing it half a period
    /// late would take a twelfth of the time for a change.
    fn wake(&self, next: Instant) -> tokio::time::Instant {
        let time = now();
        let left = self.core.relay.time_left();
        let old_at = left.map(|left| time + left).filter(|at| *at > time);
        let wake = old_at.map_or(next, |at| at.min(next));
        wake.into()
    }

    /// Whether the store was read, but gossip does not know yet which VMs there are to follow.
    fn is_settling(&self) -> bool {
        let read = self.complete() > StoreRevision::ABSENT;
        read && self.failing_since.is_none() && self.core.uptime() < SETTLING_TIME
    }

    /// Asks the store until another source is the right one.
    async fn ask_store(&mut self, feed: &mut MirrorFeed<impl StorePort>) {
        self.asking_since = now();
        feed.resume_at(self.complete());
        let mut next_look = now();
        let traffic = feed.traffic();
        loop {
            if self.is_settling() {
                // Everything was read a moment ago, and whoever follows another VM from now on hears the rest there.
                let left = SETTLING_TIME.saturating_sub(self.core.uptime());
                tokio::time::sleep(left).await;
                if self.choose(ChangeSource::Store) != ChangeSource::Store {
                    return;
                }
            }
            let mut received = traffic.received();
            let age = self.core.relay.proof_age().unwrap_or(self.terms.limit);
            if age > self.terms.reread {
                feed.read_anew();
            }
            feed.set_wait(self.terms.wait(age + feed.until_next_watch()));
            // A call stays open over many looks: giving it up would cost another one.
            let step = feed.step();
            tokio::pin!(step);
            let taken = loop {
                let wake = self.wake(next_look);
                tokio::select! {
                    taken = &mut step => break taken,
                    () = tokio::time::sleep_until(wake) => {
                        next_look = now() + self.terms.period;
                        self.note_age(ChangeSource::Store);
                        let before = std::mem::replace(&mut received, traffic.received());
                        // Elsewhere what is coming in would begin anew.
                        let advances = received > before;
                        if !advances && self.choose(ChangeSource::Store) != ChangeSource::Store {
                            return;
                        }
                    }
                }
            };
            self.take_step(taken);
        }
    }

    fn take_step(&mut self, step: FeedStep) {
        if !step.answers {
            self.failing_since.get_or_insert_with(now);
            return;
        }
        if self.failing_since.take().is_some() {
            self.core.registry.record_store_return(now());
        }
        // A page that is not the last one shows nothing yet.
        let Some(proof) = step.proof else { return };
        let (since, revision) = (step.since, step.revision);
        self.log_behind(&step);
        let change = match step.change {
            Some(MirrorChange::Replaced(items)) => CopyChange::Whole { items, revision },
            changed => CopyChange::Changes {
                events: changed.map_or_else(Vec::new, MirrorChange::into_events),
                since,
                revision,
            },
        };
        match self.take_change(ChangeSource::Store, change) {
            Ok(()) => {
                self.core.relay.note_proof(proof.into_std());
                if let Some(table) = self.core.table() {
                    self.core.route_checks.tell_version(table.version());
                }
            }
            // Not to be expected: the feed goes on from the copy. Without a proof the copy becomes old, another source brings
            // it up to date, and the feed goes on from there.
            Err(gap) => log::error!(
                "store changes after {since} do not join {}: {gap:?}",
                self.complete()
            ),
        }
    }

    /// Says that the store states a revision below what this VM has seen of it, and what came with that.
    fn log_behind(&self, step: &FeedStep) {
        let known = self.complete();
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

    /// Follows another VM until it is no good source any more or another one is the right one.
    async fn follow_vm(&mut self, vm: VmAddress) {
        while self.news.try_recv().is_ok() {}
        let questions = std::mem::take(&mut self.questions).renewed();
        let received = self.core.delegates.received_bytes(vm);
        let mut following = VmFollowing::new(vm, received, questions);
        let mut next_look = now();
        let fault = loop {
            let wake = self.wake(next_look);
            tokio::select! {
                Some((from, message)) = self.news.recv() => {
                    if from != vm {
                        continue;
                    }
                    if let Err(fault) = self.take_news(&mut following, message) {
                        break Some(fault);
                    }
                }
                () = tokio::time::sleep_until(wake) => {
                    next_look = now() + self.terms.period;
                    self.note_age(ChangeSource::Vm(vm));
                    let chosen = self.choose(ChangeSource::Vm(vm));
                    if chosen != ChangeSource::Vm(vm) && !self.keeps_to(&following) {
                        break None;
                    }
                    if let Err(fault) = self.ask_vm(&mut following) {
                        break Some(fault);
                    }
                }
            }
        };
        if let Some(fault) = fault {
            self.give_up(&following, fault);
        }
        self.questions = following.questions;
        let leave = PeerMessage::Mirror(MirrorMessage::Leave);
        self.core.delegates.send_message(vm, leave);
    }

    /// Whether a followed VM is kept to although another source is the right one by now: it is sending something, which
    /// another source would have to send from its beginning, or gossip only suspects it while it answers.
    fn keeps_to(&self, following: &VmFollowing) -> bool {
        let time = now();
        if following.is_advancing(time) {
            return true;
        }
        let members = self.members.borrow();
        let state = members.get(following.vm).map(|member| member.state);
        state == Some(MemberState::Suspect) && following.answers(time, self.terms.period)
    }

    /// Asks a followed VM for what is new and for the age of its proof.
    fn ask_vm(&self, following: &mut VmFollowing) -> Result<(), SourceFault> {
        let time = now();
        following.check(time, self.terms.period, self.core.relay.is_old())?;
        let held = held_values(&self.core.relay.copy());
        let follow = MirrorMessage::Follow {
            known: self.complete(),
            held,
            question: following.questions.ask(time),
        };
        self.tell_vm(following.vm, follow)
    }

    fn tell_vm(&self, vm: VmAddress, message: MirrorMessage) -> Result<(), SourceFault> {
        let told = self
            .core
            .delegates
            .send_message(vm, PeerMessage::Mirror(message));
        told.then_some(()).ok_or(SourceFault::Unreachable)
    }

    /// Takes in what a followed VM tells.
    fn take_news(
        &mut self,
        following: &mut VmFollowing,
        message: MirrorMessage,
    ) -> Result<(), SourceFault> {
        match message {
            MirrorMessage::Piece {
                transfer,
                offset,
                total,
                bytes,
            } => {
                let place = (offset as usize, total as usize);
                self.take_piece(following, transfer, place, &bytes)
            }
            MirrorMessage::State { question, standing } => {
                self.take_standing(following, question, standing)
            }
            MirrorMessage::Follow { .. } | MirrorMessage::Leave | MirrorMessage::Taken { .. } => {
                Ok(())
            }
        }
    }

    fn take_piece(
        &mut self,
        following: &mut VmFollowing,
        transfer: u64,
        place: (usize, usize),
        bytes: &[u8],
    ) -> Result<(), SourceFault> {
        following.advanced_at = Some(now());
        let taken = match following.incoming.take(transfer, place, bytes) {
            PieceOutcome::More(taken) => taken,
            PieceOutcome::Whole(content) => {
                self.put_in_force(following.vm, &content)?;
                content.len()
            }
            PieceOutcome::Stray => return Ok(()),
            PieceOutcome::Broken => return Err(SourceFault::Gap),
        };
        let taken = MirrorMessage::Taken {
            transfer,
            bytes: taken as u32,
        };
        self.tell_vm(following.vm, taken)
    }

    fn put_in_force(&mut self, vm: VmAddress, content: &[u8]) -> Result<(), SourceFault> {
        let change = read_content(&self.core.relay.copy(), content);
        let change = change.map_err(|error| {
            log::warn!("store changes of {vm} bytes={}: {error}", content.len());
            match error {
                ContentError::Base { .. } => SourceFault::Gap,
                ContentError::Malformed { .. } | ContentError::Pack { .. } => {
                    SourceFault::Unreadable
                }
            }
        })?;
        if self.core.relay.is_old() && self.failing_since.take().is_some() {
            // The store was away, perhaps for all: entries that lapsed meanwhile may come back.
            self.core.registry.record_store_return(now());
        }
        let taken = self.take_change(ChangeSource::Vm(vm), change);
        taken.map_err(|_gap| SourceFault::Gap)
    }

    /// Takes a change in, and says so if the store has come back from an older copy since the one before.
    fn take_change(&self, source: ChangeSource, change: CopyChange) -> Result<(), CopyGap> {
        let before = self.complete();
        let taken = self.taker.take(change);
        let after = self.complete();
        if before > StoreRevision::ABSENT && after.era() > before.era() {
            log::warn!(
                target: "ebonyfork::decision",
                "store era rose old={} new={} known={before} revision={after} source={source}",
                before.era(),
                after.era()
            );
        }
        taken
    }

    /// Takes in how far a followed VM has come with telling, and as of when that was everything.
    fn take_standing(
        &mut self,
        following: &mut VmFollowing,
        question: u64,
        standing: SourceStanding,
    ) -> Result<(), SourceFault> {
        following.answered_at = Some(now());
        let (revision, proof_ms) = match standing {
            SourceStanding::Told { revision, proof_ms } => (revision, proof_ms),
            SourceStanding::Telling => return Ok(()),
            SourceStanding::Old => return Err(SourceFault::Old),
        };
        if revision > self.complete() {
            return Err(SourceFault::Gap);
        }
        if let Some(proof) = following.questions.proof(question, proof_ms) {
            self.core.relay.note_proof(proof);
            self.failing_since = None;
        }
        Ok(())
    }

    /// Notes the age of the copy, and says once in the log that it has become old or is up to date again.
    fn note_age(&mut self, source: ChangeSource) {
        let age = self.core.relay.proof_age();
        self.core.metrics.note_copy(age, self.complete());
        let old = self.core.relay.is_old();
        if old == self.noted_old {
            return;
        }
        self.noted_old = old;
        log::warn!(
            target: "ebonyfork::decision",
            "store copy {} age_ms={} source={source} revision={}",
            if old { "old" } else { "up to date" },
            self.age_text(),
            self.complete()
        );
    }

    fn give_up(&mut self, following: &VmFollowing, fault: SourceFault) {
        let vm = following.vm;
        let received = self.core.delegates.received_bytes(vm);
        log::info!(
            target: "ebonyfork::decision",
            "store source vm={vm} given up reason={fault} age_ms={} revision={} followed_ms={} received_bytes={}",
            self.age_text(),
            self.complete(),
            now().saturating_duration_since(following.since).as_millis(),
            received.saturating_sub(following.received_before)
        );
        if fault != SourceFault::Gap {
            self.avoided.push((vm, now() + AVOIDED_TIME));
        }
    }
}

#[cfg(test)]
#[path = "large_config_tests.rs"]
mod large_config_tests;
#[cfg(test)]
#[path = "follow_tests.rs"]
mod tests;
