//! Holds this VM's copy of the store for the VMs that follow it, and hears of followed VMs.

use std::cell::{Cell, Ref, RefCell};
use std::time::{Duration, Instant};

use prometheus_client::metrics::counter::Counter;
use tokio::sync::mpsc::UnboundedSender;

use super::copy::{CopyChange, CopyNews, StoreCopy};
use super::followers::{CopyProof, FollowerTable};
use super::message::MirrorMessage;
use crate::gateway::clock::now;
use crate::ident::VmAddress;
use crate::wire::LinkSender;

/// The copy of the store, who hears of its changes, and where news of followed VMs goes.
#[derive(Debug)]
pub struct MirrorRelay {
    copy: RefCell<StoreCopy>,
    /// When the copy was last known to be up to date.
    proof: Cell<Option<Instant>>,
    /// Age of the proof from which others are told nothing but that it is old.
    limit: Duration,
    followers: RefCell<FollowerTable>,
    news: RefCell<Option<UnboundedSender<(VmAddress, MirrorMessage)>>>,
}

impl MirrorRelay {
    /// Holds an empty copy; `limit` is the age of the proof from which it is no good for others, `told_bytes` counts what
    /// they are told.
    pub fn new(limit: Duration, told_bytes: Counter) -> Self {
        Self {
            copy: RefCell::default(),
            proof: Cell::default(),
            limit,
            followers: RefCell::new(FollowerTable::new(told_bytes)),
            news: RefCell::default(),
        }
    }

    /// Takes a message of another VM.
    pub fn take_message(&self, from: LinkSender, message: MirrorMessage) {
        let Some(peer) = from.peer() else { return };
        let mut followers = self.followers.borrow_mut();
        match message {
            MirrorMessage::Follow {
                known,
                held,
                question,
            } => {
                followers.note_question(peer, from, (known, held), (question, now()));
                self.copy.borrow_mut().keep_patches(true);
                followers.answer(peer, &self.state());
            }
            MirrorMessage::Leave => {
                followers.remove(peer);
                self.copy.borrow_mut().keep_patches(!followers.is_empty());
            }
            MirrorMessage::Taken { transfer, bytes } => {
                followers.note_taken(peer, transfer, bytes as usize, now());
            }
            other => {
                if let Some(news) = &*self.news.borrow() {
                    // The VM may have changed its source just now.
                    let _changed = news.send((peer.vm, other));
                }
                return;
            }
        }
        self.tell(&mut followers);
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
        self.tell(&mut self.followers.borrow_mut());
        news
    }

    /// Notes the moment at which the copy is known to have been up to date, and tells the followers.
    pub fn note_proof(&self, at: Instant) {
        if self.proof.get().is_some_and(|known| known >= at) {
            return;
        }
        self.proof.set(Some(at));
        let mut followers = self.followers.borrow_mut();
        self.tell(&mut followers);
        followers.answer_all(&self.state());
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

    fn state(&self) -> CopyProof {
        CopyProof {
            revision: self.copy.borrow().complete(),
            proof: self.proof.get().filter(|_proof| !self.is_old()),
        }
    }

    /// Sends followers what they lack. With an old copy they are better off elsewhere: when the store was down for all,
    /// sending everything each time took 35 MB between 89 VMs.
    fn tell(&self, followers: &mut FollowerTable) {
        if let Some(proof) = self.state().proof {
            followers.tell(&self.copy.borrow(), proof, now());
        }
    }
}
