//! Tracks the VMs that follow this one: up to which revision each has the changes, the transfer to it, and the order in
//! which followers are served.

use std::collections::BTreeMap;
use std::time::Instant;

use bytes::Bytes;
use prometheus_client::metrics::counter::Counter;

use super::content::{HeldValues, encode_content, held_values};
use super::copy::StoreCopy;
use super::message::{MirrorMessage, SourceState};
use super::transfer::{CHUNK_BYTES, OutgoingTransfer};
use crate::ident::{SessionId, VmAddress};
use crate::store::StoreRevision;
use crate::wire::{LinkSender, PeerMessage};

/// Maximum number of transfers of more than one chunk at the same time. With their windows they put at most 128 kB on a
/// link at once, 75 ms at 14 Mbit/s. Followers that wait need only one transfer for everything that changes in the
/// meantime.
const MAX_TRANSFERS: usize = 4;

/// A transfer that is being sent to a follower.
#[derive(Debug)]
struct FollowerTransfer {
    /// Number of the transfer, unique within the process.
    number: u64,
    outgoing_transfer: OutgoingTransfer,
    /// The follower's position once it has received the transfer.
    end_position: FollowerPosition,
    /// The time as of which the content was up to date.
    up_to_date_at: Instant,
    started_at: Instant,
}

/// What a follower has: the revision up to which it is complete, and its long values.
#[derive(Debug, Clone, PartialEq, Eq)]
struct FollowerPosition {
    /// The revision up to which the follower has applied every change.
    revision: StoreRevision,
    /// The long values that the follower holds.
    held_values: HeldValues,
}

/// The state of a VM that follows this one.
#[derive(Debug)]
struct MirrorFollower {
    link: LinkSender,
    /// The revision and long values that the follower is known to have.
    position: FollowerPosition,
    /// Number of the last poll, and when it was received.
    last_poll: (u64, Instant),
    /// The transfer that is being sent to the follower; none if there is none.
    transfer: Option<FollowerTransfer>,
    /// Since when the follower has lacked changes; none if it lacks none.
    behind_since: Option<Instant>,
}

/// The changes that all followers at the same position lack, encoded.
#[derive(Debug)]
struct CachedContent {
    /// The position of these followers.
    position: FollowerPosition,
    /// The last revision that the content covers, inclusive.
    revision: StoreRevision,
    /// The encoded content.
    bytes: Bytes,
}

/// The state of this VM's copy of the store.
#[derive(Debug, Clone, Copy)]
pub(super) struct CopyState {
    /// The revision up to which the copy is complete.
    pub(super) revision: StoreRevision,
    /// The time as of which the copy was last known to be up to date; none if the copy is stale.
    pub(super) up_to_date_at: Option<Instant>,
}

/// All followers, by session.
#[derive(Debug)]
pub(super) struct FollowerTable {
    followers: BTreeMap<SessionId, MirrorFollower>,
    /// Number of the last transfer; 0 before the first.
    last_transfer_number: u64,
    /// The content encoded last, cached because most followers lack the same changes; none if none is kept.
    cached_content: Option<CachedContent>,
    /// Counts the bytes of completed transfers.
    sent_bytes: Counter,
}

impl FollowerTable {
    /// Creates an empty table; `sent_bytes` counts the bytes of completed transfers.
    pub(super) fn new(sent_bytes: Counter) -> Self {
        Self {
            followers: BTreeMap::new(),
            last_transfer_number: 0,
            cached_content: None,
            sent_bytes,
        }
    }

    /// Iterates over the VMs that follow this one.
    pub(super) fn vms(&self) -> impl Iterator<Item = VmAddress> {
        self.followers.keys().map(|session| session.vm)
    }

    /// Returns whether there are no followers.
    pub(super) fn is_empty(&self) -> bool {
        self.followers.is_empty()
    }

    /// Records a poll of a follower. The position that it states is adopted unless it is behind the known one or a
    /// transfer to the follower is under way.
    pub(super) fn record_poll(
        &mut self,
        peer: SessionId,
        link: LinkSender,
        (revision, held_values): (StoreRevision, HeldValues),
        last_poll: (u64, Instant),
    ) {
        let position = FollowerPosition {
            revision,
            held_values,
        };
        let known_follower = self.followers.get_mut(&peer);
        // Data sent over an earlier link may be lost, so a poll over a new link replaces the follower's entry.
        if let Some(follower) = known_follower.filter(|follower| follower.link.is_same(&link)) {
            follower.last_poll = last_poll;
            if follower.transfer.is_none() && position.revision >= follower.position.revision {
                follower.position = position;
            }
            return;
        }
        let follower = MirrorFollower {
            link,
            position,
            last_poll,
            transfer: None,
            behind_since: None,
        };
        self.followers.insert(peer, follower);
    }

    /// Removes a follower that needs no further changes, and drops the transfer to it.
    pub(super) fn remove(&mut self, peer: SessionId) {
        self.followers.remove(&peer);
    }

    /// Handles a follower's acknowledgement of the first `acked_bytes` bytes of transfer `number`, and sends the next
    /// chunks. Once the whole transfer is acknowledged, sends the time as of which its content was up to date instead.
    pub(super) fn note_acked_bytes(
        &mut self,
        peer: SessionId,
        number: u64,
        acked_bytes: usize,
        now: Instant,
    ) {
        let Some(follower) = self.followers.get_mut(&peer) else {
            return;
        };
        let transfer = follower.transfer.as_mut();
        let Some(transfer) = transfer.filter(|transfer| transfer.number == number) else {
            return;
        };
        if !transfer
            .outgoing_transfer
            .note_acked_bytes(acked_bytes, now)
        {
            follower.send_chunks();
            return;
        }
        let Some(finished_transfer) = follower.transfer.take() else {
            return;
        };
        finished_transfer.log_completion(peer, now);
        self.sent_bytes
            .inc_by(finished_transfer.outgoing_transfer.total_bytes() as u64);
        follower.position = finished_transfer.end_position;
        follower.behind_since = None;
        follower.send_state(follower.up_to_date_state(finished_transfer.up_to_date_at));
    }

    /// Sends this VM's state to one follower, in response to a poll.
    pub(super) fn send_state_to(&self, peer: SessionId, copy: &CopyState) {
        if let Some(follower) = self.followers.get(&peer) {
            follower.send_state(follower.source_state(copy));
        }
    }

    /// Sends this VM's state to all followers, after its copy was confirmed to be up to date.
    pub(super) fn send_state_to_all(&self, copy: &CopyState) {
        for follower in self.followers.values() {
            follower.send_state(follower.source_state(copy));
        }
    }

    /// Sends a message to one follower.
    pub(super) fn send_to(&self, peer: SessionId, message: MirrorMessage) {
        if let Some(follower) = self.followers.get(&peer) {
            send(&follower.link, message);
        }
    }

    /// Sends a message to all followers.
    pub(super) fn send_to_all(&self, message: &MirrorMessage) {
        for follower in self.followers.values() {
            send(&follower.link, message.clone());
        }
    }

    /// Sends followers the changes that they lack: messages of one chunk at once, longer ones to a few followers at a
    /// time. `up_to_date_at` is the time as of which the copy was up to date. Followers whose links are closed are
    /// removed; they poll again over a new link.
    pub(super) fn send_updates(&mut self, copy: &StoreCopy, up_to_date_at: Instant, now: Instant) {
        let complete_revision = copy.complete_revision();
        let mut waiting_followers = Vec::new();
        let mut active_transfers = 0;
        for (peer, follower) in &mut self.followers {
            if let Some(transfer) = &follower.transfer {
                active_transfers += usize::from(transfer.outgoing_transfer.is_progressing(now));
                continue;
            }
            if follower.position.revision >= complete_revision {
                continue;
            }
            let behind_since = *follower.behind_since.get_or_insert(now);
            waiting_followers.push((behind_since, *peer));
        }
        if waiting_followers.is_empty() {
            self.cached_content = None;
        } else {
            self.start_transfers(
                waiting_followers,
                active_transfers,
                copy,
                (up_to_date_at, now),
            );
        }
        self.followers
            .retain(|_peer, follower| !follower.link.is_closed());
    }

    /// Starts transfers to followers that lack changes, beginning with those that have waited longest. `times` are the
    /// time as of which the copy was up to date, and the current time.
    fn start_transfers(
        &mut self,
        mut waiting_followers: Vec<(Instant, SessionId)>,
        mut active_transfers: usize,
        copy: &StoreCopy,
        times: (Instant, Instant),
    ) {
        let end_position = FollowerPosition {
            revision: copy.complete_revision(),
            held_values: held_values(copy),
        };
        waiting_followers.sort_unstable();
        for (_behind_since, peer) in waiting_followers {
            let Some(bytes) = self.pending_content(copy, peer) else {
                continue;
            };
            let is_long = bytes.len() > CHUNK_BYTES;
            if is_long && active_transfers >= MAX_TRANSFERS {
                continue;
            }
            active_transfers += usize::from(is_long);
            self.start_transfer(peer, bytes, end_position.clone(), times);
        }
    }

    /// Returns the encoded changes that a follower lacks; none if it is unknown or they can't be encoded.
    fn pending_content(&mut self, copy: &StoreCopy, peer: SessionId) -> Option<Bytes> {
        let position = &self.followers.get(&peer)?.position;
        let revision = copy.complete_revision();
        if let Some(cached) = &self.cached_content
            && cached.position == *position
            && cached.revision == revision
        {
            return Some(cached.bytes.clone());
        }
        match encode_content(copy, position.revision, &position.held_values) {
            Ok(bytes) => {
                self.cached_content = Some(CachedContent {
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
        end_position: FollowerPosition,
        (up_to_date_at, now): (Instant, Instant),
    ) {
        let Some(follower) = self.followers.get_mut(&peer) else {
            return;
        };
        self.last_transfer_number += 1;
        follower.transfer = Some(FollowerTransfer {
            number: self.last_transfer_number,
            outgoing_transfer: OutgoingTransfer::new(bytes, now),
            end_position,
            up_to_date_at,
            started_at: now,
        });
        follower.send_chunks();
    }
}

impl FollowerTransfer {
    /// Logs that the transfer was received, unless it was a single chunk.
    fn log_completion(&self, peer: SessionId, now: Instant) {
        if self.outgoing_transfer.total_bytes() <= CHUNK_BYTES {
            return;
        }
        log::info!(
            target: "ebonyfork::decision",
            "store told vm={} revision={} bytes={} took_ms={}",
            peer.vm,
            self.end_position.revision,
            self.outgoing_transfer.total_bytes(),
            now.saturating_duration_since(self.started_at).as_millis()
        );
    }
}

impl MirrorFollower {
    /// Sends the chunks that the transfer's window allows.
    fn send_chunks(&mut self) {
        let Some(transfer) = &mut self.transfer else {
            return;
        };
        let total_bytes = transfer.outgoing_transfer.total_bytes() as u32;
        while let Some(chunk) = transfer.outgoing_transfer.next_chunk() {
            let message = MirrorMessage::Chunk {
                transfer: transfer.number,
                offset: chunk.offset as u32,
                total_bytes,
                bytes: chunk.bytes,
            };
            send(&self.link, message);
        }
    }

    /// Returns this VM's state as reported to the follower.
    fn source_state(&self, copy: &CopyState) -> SourceState {
        match copy.up_to_date_at {
            None => SourceState::Stale,
            Some(up_to_date_at)
                if self.transfer.is_none() && self.position.revision >= copy.revision =>
            {
                self.up_to_date_state(up_to_date_at)
            }
            Some(_up_to_date_at) => SourceState::Sending,
        }
    }

    /// Returns the state which tells the follower that it has everything that the store held at `up_to_date_at`.
    fn up_to_date_state(&self, up_to_date_at: Instant) -> SourceState {
        let (_poll, polled_at) = self.last_poll;
        SourceState::UpToDate {
            revision: self.position.revision,
            up_to_date_ms: offset_ms(polled_at, up_to_date_at),
        }
    }

    fn send_state(&self, state: SourceState) {
        let (poll, _polled_at) = self.last_poll;
        send(&self.link, MirrorMessage::State { poll, state });
    }
}

/// Returns the milliseconds from `start` to `end`, rounded down; negative if `end` is earlier.
fn offset_ms(start: Instant, end: Instant) -> i64 {
    match end.checked_duration_since(start) {
        Some(duration) => duration.as_millis() as i64,
        None => -(start.duration_since(end).as_millis() as i64) - 1,
    }
}

fn send(link: &LinkSender, message: MirrorMessage) {
    if let Err(error) = link.send(PeerMessage::Mirror(message)) {
        // The follower is removed together with its closed link and polls again.
        log::debug!("message to follower {:?} not sent: {error}", link.peer());
    }
}
