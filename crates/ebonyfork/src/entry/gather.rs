//! State of each shard that a query needs, and the rows received.
//!
//! A shard's rows are accepted at most once and only at the pinned version. The coverage is counted from the rows held,
//! so it is always true.

use bytes::Bytes;
use smallvec::SmallVec;

use super::directory::{RelayId, ReplicaId, ServiceId};
use crate::ident::{ShardNumber, SnapshotVersion};
use crate::query::QueryCoverage;

/// Progress of one shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShardStatus {
    /// The rows of the shard may still arrive.
    Open,
    /// The rows of the shard have been received.
    Answered,
    /// No attempt in flight or planned can return the rows of the shard.
    Lost,
}

/// State of one shard that the query needs.
#[derive(Debug, Clone)]
pub struct ShardSlot {
    /// Number of the shard.
    pub shard: ShardNumber,
    /// The service that holds the shard; updated if the shard has moved.
    pub service: ServiceId,
    /// Number of attempts at the shard that are in flight.
    pub attempts_in_flight: u8,
    /// Number of attempts at the shard that were sent, including those in flight.
    pub attempts_made: u8,
    /// Replicas that must not be tried again for this shard.
    pub excluded_replicas: SmallVec<[ReplicaId; 4]>,
    /// Relays that must not be used again because they refused an attempt or lost their link.
    pub excluded_relays: SmallVec<[RelayId; 2]>,
    status: ShardStatus,
    body: Bytes,
}

impl ShardSlot {
    fn new(shard: ShardNumber, service: ServiceId) -> Self {
        Self {
            shard,
            service,
            attempts_in_flight: 0,
            attempts_made: 0,
            excluded_replicas: SmallVec::new(),
            excluded_relays: SmallVec::new(),
            status: ShardStatus::Open,
            body: Bytes::new(),
        }
    }

    /// Returns the progress of the shard.
    pub fn status(&self) -> ShardStatus {
        self.status
    }
}

/// The shards that one query needs, with their states and the rows received.
#[derive(Debug, Default)]
pub struct ShardGather {
    version: SnapshotVersion,
    slots: Vec<ShardSlot>,
    answered_shard_count: u32,
    lost_shard_count: u32,
}

impl ShardGather {
    /// Resets the gather for a query that pins `version`. `shards` are the shards that the query needs, each with the
    /// service that holds it, in ascending order of shard numbers. The allocation of the slots is reused.
    pub fn reset(
        &mut self,
        version: SnapshotVersion,
        shards: impl Iterator<Item = (ShardNumber, ServiceId)>,
    ) {
        self.version = version;
        self.answered_shard_count = 0;
        self.lost_shard_count = 0;
        self.slots.clear();
        let slots = shards.map(|(shard, service)| ShardSlot::new(shard, service));
        self.slots.extend(slots);
    }

    /// Returns the version at which rows are accepted.
    pub fn version(&self) -> SnapshotVersion {
        self.version
    }

    /// Returns the slots, in shard order.
    pub fn slots(&self) -> &[ShardSlot] {
        &self.slots
    }

    /// Returns the slot at `slot_index` for modification.
    pub fn slot_mut(&mut self, slot_index: usize) -> &mut ShardSlot {
        &mut self.slots[slot_index]
    }

    /// Returns the number of shards that the query needs.
    pub fn shard_count(&self) -> u32 {
        self.slots.len() as u32
    }

    /// Returns the number of shards that have answered.
    pub fn answered_shard_count(&self) -> u32 {
        self.answered_shard_count
    }

    /// Returns the number of shards whose rows may still arrive.
    pub fn open_shard_count(&self) -> u32 {
        self.shard_count() - self.answered_shard_count - self.lost_shard_count
    }

    /// Returns the highest coverage that can still be reached, 0 to 1.
    pub fn reachable_coverage(&self) -> f64 {
        if self.slots.is_empty() {
            return 1.0;
        }
        f64::from(self.shard_count() - self.lost_shard_count) / f64::from(self.shard_count())
    }

    /// Stores a shard's rows and returns true if they are the shard's first rows and of the pinned version; else
    /// returns false.
    pub fn accept_rows(
        &mut self,
        slot_index: usize,
        version: SnapshotVersion,
        body: Bytes,
    ) -> bool {
        let pinned_version = self.version;
        let Some(slot) = self.slots.get_mut(slot_index) else {
            return false;
        };
        if version != pinned_version || slot.status == ShardStatus::Answered {
            return false;
        }
        if slot.status == ShardStatus::Lost {
            self.lost_shard_count -= 1;
        }
        slot.status = ShardStatus::Answered;
        slot.body = body;
        self.answered_shard_count += 1;
        true
    }

    /// Marks an open shard as lost.
    pub fn mark_shard_lost(&mut self, slot_index: usize) {
        let slot = &mut self.slots[slot_index];
        if slot.status != ShardStatus::Open {
            return;
        }
        slot.status = ShardStatus::Lost;
        self.lost_shard_count += 1;
    }

    /// Returns the coverage of the rows received so far.
    pub fn coverage(&self) -> QueryCoverage {
        let is_unanswered = |slot: &&ShardSlot| slot.status != ShardStatus::Answered;
        let missing_shards = self
            .slots
            .iter()
            .filter(is_unanswered)
            .map(|slot| slot.shard);
        QueryCoverage {
            answered: self.answered_shard_count,
            total: self.shard_count(),
            missing: missing_shards.collect(),
        }
    }

    /// Takes the bodies of the answered shards, in shard order.
    pub fn take_bodies(&mut self) -> Vec<Bytes> {
        let mut bodies = Vec::with_capacity(self.answered_shard_count as usize);
        for slot in &mut self.slots {
            if slot.status != ShardStatus::Answered {
                continue;
            }
            bodies.push(std::mem::take(&mut slot.body));
        }
        bodies
    }
}
