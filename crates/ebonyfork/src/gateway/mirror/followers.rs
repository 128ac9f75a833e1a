//! The VMs that follow this one: what each has been told, what is on its way to it, and whose turn it is.

use std::collections::BTreeMap;
use std::time::Instant;

use bytes::Bytes;
use prometheus_client::metrics::counter::Counter;

use super::content::{HeldValues, held_values, write_content};
use super::copy::StoreCopy;
use super::message::{MirrorMessage, SourceStanding};
use super::transfer::{OutgoingTransfer, PIECE_BYTES};
use crate::ident::SessionId;
use crate::store::StoreRevision;
use crate::wire::{LinkSender, PeerMessage};

/// Long messages that are sent at the same time: with their windows they put at most 128 kB on a link at once, 75 ms at
/// 14 Mbit/s. The others wait for their turn, and then need only one transfer for all that has changed meanwhile.
const TRANSFERS: usize = 4;

/// A transfer to a follower, and what it will know afterwards.
#[derive(Debug)]
struct FollowerTransfer {
    number: u64,
    transfer: OutgoingTransfer,
    knows: FollowerKnowledge,
    /// As of when that was everything.
    proof: Instant,
    began: Instant,
}

/// What a follower knows.
#[derive(Debug, Clone, PartialEq, Eq)]
struct FollowerKnowledge {
    /// Up to which revision it knows everything.
    known: StoreRevision,
    /// Its long values.
    held: HeldValues,
}

/// A VM that follows this one.
#[derive(Debug)]
struct MirrorFollower {
    link: LinkSender,
    knows: FollowerKnowledge,
    /// Its last question, and when that came in.
    question: (u64, Instant),
    transfer: Option<FollowerTransfer>,
    /// Since when it lacks something.
    behind_since: Option<Instant>,
}

/// A message that was written for followers that know the same.
#[derive(Debug)]
struct WrittenContent {
    knows: FollowerKnowledge,
    revision: StoreRevision,
    bytes: Bytes,
}

/// Up to which revision the copy is whole, and as of when that was everything; none if that is too long ago.
#[derive(Debug, Clone, Copy)]
pub(super) struct CopyProof {
    pub(super) revision: StoreRevision,
    pub(super) proof: Option<Instant>,
}

/// All followers.
#[derive(Debug)]
pub(super) struct FollowerTable {
    followers: BTreeMap<SessionId, MirrorFollower>,
    transfers: u64,
    /// The last message: most followers lack the same.
    written: Option<WrittenContent>,
    told_bytes: Counter,
}

impl FollowerTable {
    /// No followers; counts the bytes that they are told.
    pub(super) fn new(told_bytes: Counter) -> Self {
        Self {
            followers: BTreeMap::new(),
            transfers: 0,
            written: None,
            told_bytes,
        }
    }

    /// Whether nobody follows.
    pub(super) fn is_empty(&self) -> bool {
        self.followers.is_empty()
    }

    /// Takes in a question, which tells what the follower knows unless something is on its way to it.
    pub(super) fn note_question(
        &mut self,
        peer: SessionId,
        link: LinkSender,
        (known, held): (StoreRevision, HeldValues),
        question: (u64, Instant),
    ) {
        let knows = FollowerKnowledge { known, held };
        let same = self.followers.get_mut(&peer);
        // What was sent over another link before may be lost.
        if let Some(follower) = same.filter(|follower| follower.link.is_same(&link)) {
            follower.question = question;
            if follower.transfer.is_none() && knows.known >= follower.knows.known {
                follower.knows = knows;
            }
            return;
        }
        let follower = MirrorFollower {
            link,
            knows,
            question,
            transfer: None,
            behind_since: None,
        };
        self.followers.insert(peer, follower);
    }

    /// A VM follows no longer; what was on its way to it ends.
    pub(super) fn remove(&mut self, peer: SessionId) {
        self.followers.remove(&peer);
    }

    /// A follower has taken pieces; with the last one it is told as of when it knows everything.
    pub(super) fn note_taken(&mut self, peer: SessionId, number: u64, bytes: usize, now: Instant) {
        let Some(follower) = self.followers.get_mut(&peer) else {
            return;
        };
        let open = follower.transfer.as_mut();
        let Some(open) = open.filter(|open| open.number == number) else {
            return;
        };
        if !open.transfer.note_taken(bytes, now) {
            follower.send_pieces();
            return;
        }
        let Some(done) = follower.transfer.take() else {
            return;
        };
        done.log(peer, now);
        self.told_bytes.inc_by(done.transfer.total() as u64);
        follower.knows = done.knows;
        follower.behind_since = None;
        follower.send_state(follower.told(done.proof));
    }

    /// Answers a follower's question.
    pub(super) fn answer(&self, peer: SessionId, copy: &CopyProof) {
        if let Some(follower) = self.followers.get(&peer) {
            follower.send_state(follower.standing(copy));
        }
    }

    /// Tells all followers that the proof has been renewed.
    pub(super) fn answer_all(&self, copy: &CopyProof) {
        for follower in self.followers.values() {
            follower.send_state(follower.standing(copy));
        }
    }

    /// Sends followers what they lack: short messages at once, long ones a few at a time. Followers whose links are gone are
    /// forgotten: they ask again.
    pub(super) fn tell(&mut self, copy: &StoreCopy, proof: Instant, now: Instant) {
        let complete = copy.complete();
        let mut behind = Vec::new();
        let mut busy = 0;
        for (peer, follower) in &mut self.followers {
            if let Some(open) = &follower.transfer {
                busy += usize::from(open.transfer.is_advancing(now));
                continue;
            }
            if follower.knows.known >= complete {
                continue;
            }
            let since = *follower.behind_since.get_or_insert(now);
            behind.push((since, *peer));
        }
        if behind.is_empty() {
            self.written = None;
        } else {
            self.serve(behind, busy, copy, (proof, now));
        }
        self.followers
            .retain(|_peer, follower| !follower.link.is_closed());
    }

    /// Begins transfers to followers that lack something, those first that have lacked it for longest.
    fn serve(
        &mut self,
        mut behind: Vec<(Instant, SessionId)>,
        mut busy: usize,
        copy: &StoreCopy,
        times: (Instant, Instant),
    ) {
        let knows = FollowerKnowledge {
            known: copy.complete(),
            held: held_values(copy),
        };
        behind.sort_unstable();
        for (_since, peer) in behind {
            let Some(bytes) = self.content(copy, peer) else {
                continue;
            };
            let long = bytes.len() > PIECE_BYTES;
            if long && busy >= TRANSFERS {
                continue;
            }
            busy += usize::from(long);
            self.begin(peer, bytes, knows.clone(), times);
        }
    }

    /// What a follower lacks.
    fn content(&mut self, copy: &StoreCopy, peer: SessionId) -> Option<Bytes> {
        let knows = &self.followers.get(&peer)?.knows;
        let revision = copy.complete();
        if let Some(written) = &self.written
            && written.knows == *knows
            && written.revision == revision
        {
            return Some(written.bytes.clone());
        }
        match write_content(copy, knows.known, &knows.held) {
            Ok(bytes) => {
                self.written = Some(WrittenContent {
                    knows: knows.clone(),
                    revision,
                    bytes: bytes.clone(),
                });
                Some(bytes)
            }
            Err(error) => {
                log::error!("nothing to tell {peer} revision={revision}: {error}");
                None
            }
        }
    }

    fn begin(
        &mut self,
        peer: SessionId,
        bytes: Bytes,
        knows: FollowerKnowledge,
        (proof, now): (Instant, Instant),
    ) {
        let Some(follower) = self.followers.get_mut(&peer) else {
            return;
        };
        self.transfers += 1;
        follower.transfer = Some(FollowerTransfer {
            number: self.transfers,
            transfer: OutgoingTransfer::new(bytes, now),
            knows,
            proof,
            began: now,
        });
        follower.send_pieces();
    }
}

impl FollowerTransfer {
    fn log(&self, peer: SessionId, now: Instant) {
        if self.transfer.total() <= PIECE_BYTES {
            return;
        }
        log::info!(
            target: "ebonyfork::decision",
            "store told vm={} revision={} bytes={} took_ms={}",
            peer.vm,
            self.knows.known,
            self.transfer.total(),
            now.saturating_duration_since(self.began).as_millis()
        );
    }
}

impl MirrorFollower {
    fn send_pieces(&mut self) {
        let Some(open) = &mut self.transfer else {
            return;
        };
        let total = open.transfer.total() as u32;
        while let Some(piece) = open.transfer.next_piece() {
            let message = MirrorMessage::Piece {
                transfer: open.number,
                offset: piece.offset as u32,
                total,
                bytes: piece.bytes,
            };
            send(&self.link, message);
        }
    }

    /// How far this VM has come with telling.
    fn standing(&self, copy: &CopyProof) -> SourceStanding {
        match copy.proof {
            None => SourceStanding::Old,
            Some(proof) if self.transfer.is_none() && self.knows.known >= copy.revision => {
                self.told(proof)
            }
            Some(_proof) => SourceStanding::Telling,
        }
    }

    /// That everything is told which was there at a moment.
    fn told(&self, proof: Instant) -> SourceStanding {
        let (_question, asked) = self.question;
        SourceStanding::Told {
            revision: self.knows.known,
            proof_ms: offset_ms(asked, proof),
        }
    }

    fn send_state(&self, standing: SourceStanding) {
        let (question, _asked) = self.question;
        send(&self.link, MirrorMessage::State { question, standing });
    }
}

/// Milliseconds from one moment to another, rounded to the earlier one.
fn offset_ms(from: Instant, to: Instant) -> i64 {
    match to.checked_duration_since(from) {
        Some(later) => later.as_millis() as i64,
        None => -(from.duration_since(to).as_millis() as i64) - 1,
    }
}

fn send(to: &LinkSender, message: MirrorMessage) {
    if let Err(error) = to.send(PeerMessage::Mirror(message)) {
        // The follower is forgotten with its link and asks again.
        log::debug!("follower {:?}: {error}", to.peer());
    }
}
