//! Tracks the VMs that follow this one: the replication position of each, its transfer, and the order in which they are
//! served.

use std::collections::BTreeMap;
use std::time::Instant;

use bytes::Bytes;
use prometheus_client::metrics::counter::Counter;

use super::content::{HeldValues, encode_content, held_values};
use super::copy::StoreCopy;
use super::message::{MirrorMessage, SourceState};
use super::transfer::{CHUNK_BYTES, OutgoingTransfer};
use crate::ident::SessionId;
use crate::store::StoreRevision;
use crate::wire::{LinkSender, PeerMessage};

/// Maximum number of long transfers at the same time. With their windows they put at most 128 kB on a link at once,
/// 75 ms at 14 Mbit/s. Followers that wait need only one transfer for everything that changes in the meantime.
const MAX_TRANSFERS: usize = 4;

/// A transfer to a follower, and the follower's position after it.
#[derive(Debug)]
struct FollowerTransfer {
    number: u64,
    transfer: OutgoingTransfer,
    position: FollowerPosition,
    /// When the content was known to be up to date.
    proof: Instant,
    started: Instant,
}

/// The replication position of a follower.
#[derive(Debug, Clone, PartialEq, Eq)]
struct FollowerPosition {
    /// The revision up to which the follower has applied every change.
    revision: StoreRevision,
    /// The long values that the follower holds.
    held: HeldValues,
}

/// A VM that follows this one.
#[derive(Debug)]
struct MirrorFollower {
    link: LinkSender,
    position: FollowerPosition,
    /// Number of the last poll, and when it was received.
    poll: (u64, Instant),
    transfer: Option<FollowerTransfer>,
    /// Since when the follower has lacked changes.
    behind_since: Option<Instant>,
}

/// Content encoded for all followers at the same position.
#[derive(Debug)]
struct CachedContent {
    position: FollowerPosition,
    revision: StoreRevision,
    bytes: Bytes,
}

/// The revision up to which the copy is complete, and when it was last known to be up to date; none if that is too long
/// ago.
#[derive(Debug, Clone, Copy)]
pub(super) struct CopyState {
    pub(super) revision: StoreRevision,
    pub(super) proof: Option<Instant>,
}

/// All followers, by session.
#[derive(Debug)]
pub(super) struct FollowerTable {
    followers: BTreeMap<SessionId, MirrorFollower>,
    last_transfer: u64,
    /// The content encoded last, cached because most followers lack the same changes.
    cached: Option<CachedContent>,
    sent_bytes: Counter,
}

impl FollowerTable {
    /// Creates an empty table; `sent_bytes` counts the bytes sent to followers.
    pub(super) fn new(sent_bytes: Counter) -> Self {
        Self {
            followers: BTreeMap::new(),
            last_transfer: 0,
            cached: None,
            sent_bytes,
        }
    }

    /// Returns whether there are no followers.
    pub(super) fn is_empty(&self) -> bool {
        self.followers.is_empty()
    }

    /// Records a poll. The position that it states is adopted unless a transfer to the follower is under way.
    pub(super) fn record_poll(
        &mut self,
        peer: SessionId,
        link: LinkSender,
        (revision, held): (StoreRevision, HeldValues),
        poll: (u64, Instant),
    ) {
        let position = FollowerPosition { revision, held };
        let existing = self.followers.get_mut(&peer);
        // Data sent over an earlier link may be lost, so a poll over a new link replaces the follower's entry.
        if let Some(follower) = existing.filter(|follower| follower.link.is_same(&link)) {
            follower.poll = poll;
            if follower.transfer.is_none() && position.revision >= follower.position.revision {
                follower.position = position;
            }
            return;
        }
        let follower = MirrorFollower {
            link,
            position,
            poll,
            transfer: None,
            behind_since: None,
        };
        self.followers.insert(peer, follower);
    }

    /// Removes a follower and cancels its transfer.
    pub(super) fn remove(&mut self, peer: SessionId) {
        self.followers.remove(&peer);
    }

    /// Handles an acknowledgement. Once the whole transfer is acknowledged, sends the follower the time at which its
    /// content was known to be up to date.
    pub(super) fn note_acked(&mut self, peer: SessionId, number: u64, bytes: usize, now: Instant) {
        let Some(follower) = self.followers.get_mut(&peer) else {
            return;
        };
        let open = follower.transfer.as_mut();
        let Some(open) = open.filter(|open| open.number == number) else {
            return;
        };
        if !open.transfer.note_acked(bytes, now) {
            follower.send_chunks();
            return;
        }
        let Some(done) = follower.transfer.take() else {
            return;
        };
        done.log(peer, now);
        self.sent_bytes.inc_by(done.transfer.total() as u64);
        follower.position = done.position;
        follower.behind_since = None;
        follower.send_state(follower.up_to_date(done.proof));
    }

    /// Sends this VM's state to one follower, in response to a poll.
    pub(super) fn send_state_to(&self, peer: SessionId, copy: &CopyState) {
        if let Some(follower) = self.followers.get(&peer) {
            follower.send_state(follower.source_state(copy));
        }
    }

    /// Sends this VM's state to all followers after its proof of freshness was renewed.
    pub(super) fn send_state_to_all(&self, copy: &CopyState) {
        for follower in self.followers.values() {
            follower.send_state(follower.source_state(copy));
        }
    }

    /// Sends followers the changes that they lack: short messages at once, long ones a few at a time. Followers whose
    /// links are closed are removed; they poll again over a new link.
    pub(super) fn send_updates(&mut self, copy: &StoreCopy, proof: Instant, now: Instant) {
        let complete_revision = copy.complete_revision();
        let mut behind = Vec::new();
        let mut active = 0;
        for (peer, follower) in &mut self.followers {
            if let Some(open) = &follower.transfer {
                active += usize::from(open.transfer.is_progressing(now));
                continue;
            }
            if follower.position.revision >= complete_revision {
                continue;
            }
            let since = *follower.behind_since.get_or_insert(now);
            behind.push((since, *peer));
        }
        if behind.is_empty() {
            self.cached = None;
        } else {
            self.start_transfers(behind, active, copy, (proof, now));
        }
        self.followers
            .retain(|_peer, follower| !follower.link.is_closed());
    }

    /// Starts transfers to followers that lack changes, beginning with those that have waited longest.
    fn start_transfers(
        &mut self,
        mut behind: Vec<(Instant, SessionId)>,
        mut active: usize,
        copy: &StoreCopy,
        times: (Instant, Instant),
    ) {
        let position = FollowerPosition {
            revision: copy.complete_revision(),
            held: held_values(copy),
        };
        behind.sort_unstable();
        for (_since, peer) in behind {
            let Some(bytes) = self.pending_content(copy, peer) else {
                continue;
            };
            let long = bytes.len() > CHUNK_BYTES;
            if long && active >= MAX_TRANSFERS {
                continue;
            }
            active += usize::from(long);
            self.start_transfer(peer, bytes, position.clone(), times);
        }
    }

    /// Returns the encoded changes that a follower lacks.
    fn pending_content(&mut self, copy: &StoreCopy, peer: SessionId) -> Option<Bytes> {
        let position = &self.followers.get(&peer)?.position;
        let revision = copy.complete_revision();
        if let Some(cached) = &self.cached
            && cached.position == *position
            && cached.revision == revision
        {
            return Some(cached.bytes.clone());
        }
        match encode_content(copy, position.revision, &position.held) {
            Ok(bytes) => {
                self.cached = Some(CachedContent {
                    position: position.clone(),
                    revision,
                    bytes: bytes.clone(),
                });
                Some(bytes)
            }
            Err(error) => {
                log::error!(
                    "store changes for {peer} can't be encoded revision={revision}: {error}"
                );
                None
            }
        }
    }

    fn start_transfer(
        &mut self,
        peer: SessionId,
        bytes: Bytes,
        position: FollowerPosition,
        (proof, now): (Instant, Instant),
    ) {
        let Some(follower) = self.followers.get_mut(&peer) else {
            return;
        };
        self.last_transfer += 1;
        follower.transfer = Some(FollowerTransfer {
            number: self.last_transfer,
            transfer: OutgoingTransfer::new(bytes, now),
            position,
            proof,
            started: now,
        });
        follower.send_chunks();
    }
}

impl FollowerTransfer {
    fn log(&self, peer: SessionId, now: Instant) {
        if self.transfer.total() <= CHUNK_BYTES {
            return;
        }
        log::info!(
            target: "ebonyfork::decision",
            "store told vm={} revision={} bytes={} took_ms={}",
            peer.vm,
            self.position.revision,
            self.transfer.total(),
            now.saturating_duration_since(self.started).as_millis()
        );
    }
}

impl MirrorFollower {
    fn send_chunks(&mut self) {
        let Some(open) = &mut self.transfer else {
            return;
        };
        let total = open.transfer.total() as u32;
        while let Some(chunk) = open.transfer.next_chunk() {
            let message = MirrorMessage::Chunk {
                transfer: open.number,
                offset: chunk.offset as u32,
                total,
                bytes: chunk.bytes,
            };
            send(&self.link, message);
        }
    }

    /// Returns this VM's state as reported to the follower.
    fn source_state(&self, copy: &CopyState) -> SourceState {
        match copy.proof {
            None => SourceState::Stale,
            Some(proof) if self.transfer.is_none() && self.position.revision >= copy.revision => {
                self.up_to_date(proof)
            }
            Some(_proof) => SourceState::Sending,
        }
    }

    /// Returns the state which tells the follower that it has everything as of the time `proof`.
    fn up_to_date(&self, proof: Instant) -> SourceState {
        let (_poll, polled_at) = self.poll;
        SourceState::UpToDate {
            revision: self.position.revision,
            proof_ms: offset_ms(polled_at, proof),
        }
    }

    fn send_state(&self, state: SourceState) {
        let (poll, _polled_at) = self.poll;
        send(&self.link, MirrorMessage::State { poll, state });
    }
}

/// Returns the milliseconds from one time to another, rounded down.
fn offset_ms(from: Instant, to: Instant) -> i64 {
    match to.checked_duration_since(from) {
        Some(later) => later.as_millis() as i64,
        None => -(from.duration_since(to).as_millis() as i64) - 1,
    }
}

fn send(to: &LinkSender, message: MirrorMessage) {
    if let Err(error) = to.send(PeerMessage::Mirror(message)) {
        // The follower is removed together with its closed link and polls again.
        log::debug!("message to follower {:?} not sent: {error}", to.peer());
    }
}
