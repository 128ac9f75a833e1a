//! Gathering: the state of each shard that a query needs, and the rows that have come.
//!
//! A shard's body is taken at most once and only at the pinned version; the coverage is counted from the bodies held, so
//! it is true by construction.

use bytes::Bytes;
use smallvec::SmallVec;

use super::directory::{RelayId, ReplicaId, ServiceId};
use crate::ident::{ShardNumber, SnapshotVersion};
use crate::query::QueryCoverage;

/// Where a shard stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShardStanding {
    /// Rows may still come.
    Open,
    /// Its rows are here.
    Answered,
    /// Nothing that is pending can bring its rows.
    Lost,
}

/// One shard that the query needs.
#[derive(Debug, Clone)]
pub struct ShardSlot {
    /// The shard.
    pub shard: ShardNumber,
    /// The service that holds it; changes when the shard has moved.
    pub service: ServiceId,
    /// Attempts that are out.
    pub out: u8,
    /// Attempts made.
    pub tries: u8,
    /// Replicas that are not to be asked again.
    pub tried: SmallVec<[ReplicaId; 4]>,
    /// Relays that refused for reasons of their own.
    pub refused: SmallVec<[RelayId; 2]>,
    standing: ShardStanding,
    body: Bytes,
}

impl ShardSlot {
    fn new(shard: ShardNumber, service: ServiceId) -> Self {
        Self {
            shard,
            service,
            out: 0,
            tries: 0,
            tried: SmallVec::new(),
            refused: SmallVec::new(),
            standing: ShardStanding::Open,
            body: Bytes::new(),
        }
    }

    /// Tells where the shard stands.
    pub fn standing(&self) -> ShardStanding {
        self.standing
    }
}

/// What one query has gathered.
#[derive(Debug, Default)]
pub struct ShardGather {
    version: SnapshotVersion,
    slots: Vec<ShardSlot>,
    answered: u32,
    lost: u32,
}

impl ShardGather {
    /// Starts afresh at a version with the shards needed, in shard order; the slots' allocation is kept.
    pub fn reset(
        &mut self,
        version: SnapshotVersion,
        shards: impl Iterator<Item = (ShardNumber, ServiceId)>,
    ) {
        self.version = version;
        self.answered = 0;
        self.lost = 0;
        self.slots.clear();
        let slots = shards.map(|(shard, service)| ShardSlot::new(shard, service));
        self.slots.extend(slots);
    }

    /// The pinned version.
    pub fn version(&self) -> SnapshotVersion {
        self.version
    }

    /// The slots, in shard order.
    pub fn slots(&self) -> &[ShardSlot] {
        &self.slots
    }

    /// One slot.
    pub fn slot_mut(&mut self, slot: usize) -> &mut ShardSlot {
        &mut self.slots[slot]
    }

    /// Shards that the query needs.
    pub fn total(&self) -> u32 {
        self.slots.len() as u32
    }

    /// Shards answered.
    pub fn answered(&self) -> u32 {
        self.answered
    }

    /// Shards whose rows may still come.
    pub fn open(&self) -> u32 {
        self.total() - self.answered - self.lost
    }

    /// The largest coverage that can still be reached, 0 to 1.
    pub fn reachable(&self) -> f64 {
        if self.slots.is_empty() {
            return 1.0;
        }
        f64::from(self.total() - self.lost) / f64::from(self.total())
    }

    /// Takes a shard's rows. Returns whether they entered: only the first of an open shard at the pinned version do.
    pub fn accept(&mut self, slot: usize, version: SnapshotVersion, body: Bytes) -> bool {
        let pinned = self.version;
        let Some(slot) = self.slots.get_mut(slot) else {
            return false;
        };
        if version != pinned || slot.standing == ShardStanding::Answered {
            return false;
        }
        if slot.standing == ShardStanding::Lost {
            self.lost -= 1;
        }
        slot.standing = ShardStanding::Answered;
        slot.body = body;
        self.answered += 1;
        true
    }

    /// Gives an open shard up.
    pub fn lose(&mut self, slot: usize) {
        let slot = &mut self.slots[slot];
        if slot.standing != ShardStanding::Open {
            return;
        }
        slot.standing = ShardStanding::Lost;
        self.lost += 1;
    }

    /// Counts the coverage.
    pub fn coverage(&self) -> QueryCoverage {
        let without = |slot: &&ShardSlot| slot.standing != ShardStanding::Answered;
        let missing = self.slots.iter().filter(without).map(|slot| slot.shard);
        QueryCoverage {
            answered: self.answered,
            total: self.total(),
            missing: missing.collect(),
        }
    }

    /// Takes the bodies of the answered shards, in shard order.
    pub fn take_bodies(&mut self) -> Vec<Bytes> {
        let mut bodies = Vec::with_capacity(self.answered as usize);
        for slot in &mut self.slots {
            if slot.standing != ShardStanding::Answered {
                continue;
            }
            bodies.push(std::mem::take(&mut slot.body));
        }
        bodies
    }
}
