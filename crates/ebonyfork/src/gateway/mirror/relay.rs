//! Holds this VM's copy of the store for the VMs that follow it, and hears of followed VMs.

use std::cell::{Cell, Ref, RefCell};
use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use tokio::sync::mpsc::UnboundedSender;

use super::copy::{CopyChange, CopyNews, StoreCopy};
use super::message::MirrorMessage;
use crate::gateway::clock::now;
use crate::ident::{SessionId, VmAddress};
use crate::store::{StoreItem, StoreRevision};
use crate::wire::{LinkSender, PeerMessage};

/// Bytes of values in one message: at 14 Mbit/s it holds the link for a seventh of a second.
const PIECE_BYTES: usize = 256 * 1024;

/// A VM that follows this one.
#[derive(Debug)]
struct MirrorFollower {
    link: LinkSender,
    /// The revision up to which it knows everything once it has read what was sent.
    sent: StoreRevision,
}

/// The copy of the store, who hears of its changes, and where news of followed VMs goes.
#[derive(Debug)]
pub struct MirrorRelay {
    copy: RefCell<StoreCopy>,
    /// When the copy was last known to be up to date.
    proof: Cell<Option<Instant>>,
    /// Age of the proof from which others are told nothing but that age.
    limit: Duration,
    followers: RefCell<FxHashMap<SessionId, MirrorFollower>>,
    news: RefCell<Option<UnboundedSender<(VmAddress, MirrorMessage)>>>,
}

impl MirrorRelay {
    /// Holds an empty copy; `limit` is the age of the proof from which it is no good for others.
    pub fn new(limit: Duration) -> Self {
        Self {
            copy: RefCell::default(),
            proof: Cell::default(),
            limit,
            followers: RefCell::default(),
            news: RefCell::default(),
        }
    }

    /// Takes a message of another VM.
    pub fn take_message(&self, from: LinkSender, message: MirrorMessage) {
        let Some(peer) = from.peer() else { return };
        match message {
            MirrorMessage::Follow { known, question } => self.answer(peer, from, known, question),
            MirrorMessage::Leave => {
                self.followers.borrow_mut().remove(&peer);
            }
            other => {
                if let Some(news) = &*self.news.borrow() {
                    // The VM may have changed its source just now.
                    let _changed = news.send((peer.vm, other));
                }
            }
        }
    }

    /// Sets where news of followed VMs goes.
    pub fn listen(&self, news: UnboundedSender<(VmAddress, MirrorMessage)>) {
        *self.news.borrow_mut() = Some(news);
    }

    /// The copy.
    pub fn copy(&self) -> Ref<'_, StoreCopy> {
        self.copy.borrow()
    }

    /// Takes a change into the copy and tells the followers.
    pub fn take(&self, change: CopyChange) -> CopyNews {
        let news = self.copy.borrow_mut().take(change);
        let mut followers = self.followers.borrow_mut();
        followers.retain(|_session, follower| self.tell(follower));
        news
    }

    /// Notes the moment at which the copy is known to have been up to date.
    pub fn note_proof(&self, at: Instant) {
        self.proof.set(self.proof.get().max(Some(at)));
    }

    /// Time since the copy was known to be up to date; none if it never was.
    pub fn proof_age(&self) -> Option<Duration> {
        let proof = self.proof.get();
        proof.map(|at| now().saturating_duration_since(at))
    }

    /// Time until the copy may lack changes that should be in force by now; none if it may already.
    pub fn time_left(&self) -> Option<Duration> {
        self.limit.checked_sub(self.proof_age()?)
    }

    /// Whether the copy may lack changes that should be in force by now.
    pub fn is_old(&self) -> bool {
        self.time_left().is_none_or(|left| left.is_zero())
    }

    /// Answers a follower: what it lacks, then how old the proof is. With an old copy it is better off elsewhere and gets
    /// just the age: when the store was down for all, sending everything each time took 35 MB between 89 VMs.
    fn answer(&self, peer: SessionId, link: LinkSender, known: StoreRevision, question: u64) {
        let mut followers = self.followers.borrow_mut();
        let follower = followers.entry(peer).or_insert_with(|| MirrorFollower {
            link: link.clone(),
            sent: known,
        });
        if !follower.link.is_same(&link) {
            // What was sent over the link before may be lost.
            *follower = MirrorFollower { link, sent: known };
        }
        let told = self.is_old() || self.tell(follower);
        if !told || !send(&follower.link, self.state(question)) {
            followers.remove(&peer);
        }
    }

    fn state(&self, question: u64) -> MirrorMessage {
        let age = self.proof_age();
        MirrorMessage::State {
            question,
            revision: self.copy.borrow().complete(),
            proof_age_ms: age.map(|age| age.as_millis() as u64 + 1),
        }
    }

    /// Sends a follower what it lacks; false if its link is gone, and the follower with it: it asks again when it is back.
    fn tell(&self, follower: &mut MirrorFollower) -> bool {
        let copy = self.copy.borrow();
        let (since, revision) = (follower.sent, copy.complete());
        if since >= revision {
            return true;
        }
        follower.sent = revision;
        match copy.changes_since(since) {
            Some(events) => {
                let message = MirrorMessage::Changed {
                    events,
                    since,
                    revision,
                };
                send(&follower.link, message)
            }
            None => send_whole(&follower.link, &copy),
        }
    }
}

fn send_whole(to: &LinkSender, copy: &StoreCopy) -> bool {
    let pieces = cut(copy.items());
    let last = pieces.len() - 1;
    for (number, items) in pieces.into_iter().enumerate() {
        let message = MirrorMessage::Whole {
            items,
            first: number == 0,
            last: number == last,
            revision: copy.complete(),
        };
        if !send(to, message) {
            return false;
        }
    }
    true
}

/// Cuts items into pieces of a message each; there is at least one.
fn cut<'a>(items: impl Iterator<Item = &'a StoreItem>) -> Vec<Vec<StoreItem>> {
    let mut pieces: Vec<Vec<StoreItem>> = Vec::new();
    let mut piece = Vec::new();
    let mut bytes = 0;
    for item in items {
        bytes += item.value.len();
        if bytes > PIECE_BYTES && !piece.is_empty() {
            pieces.push(std::mem::take(&mut piece));
            bytes = item.value.len();
        }
        piece.push(item.clone());
    }
    pieces.push(piece);
    pieces
}

fn send(to: &LinkSender, message: MirrorMessage) -> bool {
    match to.send(PeerMessage::Mirror(message)) {
        Ok(()) => true,
        Err(error) => {
            log::debug!("follower {:?}: {error}", to.peer());
            false
        }
    }
}
