//! Follows the store: configuration, upstreams and our own VMs, all from one mirror, so that one call at a time waits.
//!
//! One VM of a zone asks the store, the others hear of changes from it ([`source`]); a VM that the store turns away
//! hears of them from whichever VM it answers.

#[cfg(test)]
mod fixture;
mod message;
mod relay;
mod source;
mod taker;

use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, watch};

use crate::gateway::core::{GatewayCore, now};
use crate::ident::{VmAddress, ZoneName};
use crate::membership::MemberSnapshot;
use crate::store::{MirrorChange, MirrorFeed, MirrorSettings, StorePort, StoreRevision};
use crate::wire::PeerMessage;

pub use message::MirrorMessage;
pub use relay::MirrorRelay;

use self::source::{ChangeSource, SETTLING_TIME, choose_source};
use self::taker::{StoreTaker, TakenNews};

/// Everything the gateway reads stands below the store's root.
const PREFIX: &str = "";
/// Time between two messages of a VM that asks the store to its followers, and between two looks at the source.
const ALIVE_PERIOD: Duration = Duration::from_millis(500);
/// Silence after which a followed VM counts as gone: three messages have failed to come.
const SILENCE: Duration = Duration::from_millis(1_700);
/// How long a VM is avoided that was no good source.
const AVOIDED_TIME: Duration = Duration::from_secs(4);
/// How long the store must fail before another VM is followed instead.
const FAILING_TIME: Duration = Duration::from_millis(800);
/// How long a VM that the store turns away follows another one before it asks the store again.
const DETOUR_TIME: Duration = Duration::from_secs(3);

/// Age of the proof behind a copy from which a line in the log says so: more than a calm store ever lets it become.
const NOTED_AGE: Duration = Duration::from_secs(2);

/// Why a VM is no good source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SourceFault {
    /// No link to it could be used.
    Unreachable,
    /// Nothing was heard of it for too long.
    Silent,
    /// It said that the store does not answer it.
    Unanswered,
}

impl fmt::Display for SourceFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreachable => "unreachable",
            Self::Silent => "silent",
            Self::Unanswered => "store-not-answering",
        })
    }
}

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
        avoided: Vec::new(),
        failing_since: None,
        detour_until: None,
        noted_old: false,
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
    /// VMs that were no good source, with the time until which they are avoided.
    avoided: Vec<(VmAddress, Instant)>,
    /// Since when the store has not answered.
    failing_since: Option<Instant>,
    /// Until when another VM is followed because the store does not answer.
    detour_until: Option<Instant>,
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
                self.core.relay.proof_age().as_millis(), self.taker.complete()
            );
            match source {
                ChangeSource::Store => self.ask_store(&mut feed).await,
                ChangeSource::Vm(vm) => self.follow_vm(vm).await,
            }
            source = self.choose();
        }
    }

    fn choose(&mut self) -> ChangeSource {
        let time = now();
        self.avoided.retain(|(_vm, until)| *until > time);
        if self.core.uptime() < SETTLING_TIME && self.failing_since.is_none() {
            return ChangeSource::Store;
        }
        let failing = self.failing_since;
        if failing.is_some_and(|since| time.saturating_duration_since(since) >= FAILING_TIME) {
            self.detour_until = Some(time + DETOUR_TIME);
            self.failing_since = None;
        }
        let refused = self.detour_until.is_some_and(|until| until > time);
        let avoided: Vec<_> = self.avoided.iter().map(|(vm, _until)| *vm).collect();
        let members = self.members.borrow().clone();
        choose_source(&members, self.own.0, &self.own.1, &avoided, refused)
    }

    /// Asks the store until another source is the right one.
    async fn ask_store(&mut self, feed: &mut MirrorFeed<impl StorePort>) {
        let mut look = tokio::time::interval(ALIVE_PERIOD);
        loop {
            // A call stays open over many looks: giving it up would cost another one.
            let step = feed.step();
            tokio::pin!(step);
            let taken = loop {
                tokio::select! {
                    taken = &mut step => break taken,
                    _ = look.tick() => {
                        self.core.relay.send_alive();
                        self.note_age(ChangeSource::Store);
                        if self.choose() != ChangeSource::Store {
                            return;
                        }
                    }
                }
            };
            self.take_step(taken);
        }
    }

    fn take_step(&mut self, step: crate::store::FeedStep) {
        self.core.relay.note_answers(step.answers);
        if let Some(proof) = step.proof {
            self.core.relay.note_proof(proof.into_std());
        }
        if step.answers {
            if self.failing_since.take().is_some() {
                self.core.registry.note_return(now());
            }
        } else if self.failing_since.is_none() {
            self.failing_since = Some(now());
        }
        if let Some(change) = step.change {
            self.put_in_force(change, step.revision);
        }
    }

    /// Puts a change in force and passes on what of it was news. A VM that follows one that is behind must not tell its
    /// own followers what that one has told: they would take an old configuration for the newest one, and hear of the
    /// next version only. At 78 VMs, 23 of them cut off for 10 s, 6 of 12 runs had a VM that was a version behind for
    /// 15 s.
    fn put_in_force(&self, change: MirrorChange, revision: StoreRevision) {
        let news = self.taker.take(change, revision);
        let complete = self.taker.complete();
        match news {
            TakenNews::Whole(items) => self.core.relay.replace(&items, complete),
            TakenNews::Events(events) => self.core.relay.pass_on(events, complete),
        }
    }

    /// Follows another VM until it is no good source any more or another one is the right one.
    async fn follow_vm(&mut self, vm: VmAddress) {
        while self.news.try_recv().is_ok() {}
        let known = self.taker.complete();
        let follow = PeerMessage::Mirror(MirrorMessage::Follow { known });
        if !self.core.delegates.tell(vm, follow) {
            self.avoid(vm, SourceFault::Unreachable);
            return;
        }
        let mut heard = now();
        let mut whole: Vec<crate::store::StoreItem> = Vec::new();
        let mut look = tokio::time::interval(ALIVE_PERIOD);
        loop {
            tokio::select! {
                Some((from, message)) = self.news.recv() => {
                    if from != vm {
                        continue;
                    }
                    heard = now();
                    if !self.take_news(message, &mut whole) {
                        self.avoid(vm, SourceFault::Unanswered);
                        break;
                    }
                }
                _ = look.tick() => {
                    self.note_age(ChangeSource::Vm(vm));
                    if now().saturating_duration_since(heard) > SILENCE {
                        self.avoid(vm, SourceFault::Silent);
                        break;
                    }
                    if self.choose() != ChangeSource::Vm(vm) {
                        break;
                    }
                }
            }
        }
        self.core
            .delegates
            .tell(vm, PeerMessage::Mirror(MirrorMessage::Leave));
    }

    /// Takes in what a followed VM tells; false if it is no good source.
    fn take_news(
        &mut self,
        message: MirrorMessage,
        whole: &mut Vec<crate::store::StoreItem>,
    ) -> bool {
        match message {
            MirrorMessage::Whole {
                items,
                first,
                last,
                revision,
            } => {
                if first {
                    whole.clear();
                }
                whole.extend(items);
                if last {
                    let change = MirrorChange::Replaced(std::mem::take(whole));
                    self.put_in_force(change, revision);
                }
                true
            }
            MirrorMessage::Changed { events, revision } => {
                self.put_in_force(MirrorChange::Changed(events), revision);
                true
            }
            MirrorMessage::Alive {
                answers,
                proof_age_ms,
            } => {
                let proof = now().checked_sub(Duration::from_millis(proof_age_ms));
                if let Some(proof) = proof {
                    self.core.relay.note_proof(proof);
                }
                answers
            }
            MirrorMessage::Follow { .. } | MirrorMessage::Leave => true,
        }
    }

    /// Says once in the log that the copy has become old, and once that it is up to date again.
    fn note_age(&mut self, source: ChangeSource) {
        let age = self.core.relay.proof_age();
        let old = age > NOTED_AGE;
        if old == self.noted_old || age == Duration::MAX {
            return;
        }
        self.noted_old = old;
        log::warn!(
            target: "ebonyfork::decision",
            "store copy {} age_ms={} source={source} revision={}",
            if old { "old" } else { "up to date" },
            age.as_millis(),
            self.taker.complete()
        );
    }

    fn avoid(&mut self, vm: VmAddress, fault: SourceFault) {
        log::info!(
            target: "ebonyfork::decision",
            "store source vm={vm} avoided reason={fault} age_ms={} revision={}",
            self.core.relay.proof_age().as_millis(),
            self.taker.complete()
        );
        self.avoided.push((vm, now() + AVOIDED_TIME));
    }
}

#[cfg(test)]
#[path = "follow_tests.rs"]
mod tests;
