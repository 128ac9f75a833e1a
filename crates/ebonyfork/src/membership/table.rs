//! All known members and the rules by which news about them is believed.
//!
//! News about a newer life always wins; within one life the worse health wins, because only the member itself can
//! refute it, by counting its refutation up. A planned stop is never taken back within one incarnation.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use crate::ident::{VmAddress, ZoneName};
use crate::membership::message::{DigestUpdate, MemberHealth, MemberLife, MemberUpdate};
use crate::membership::snapshot::{MemberDigest, MemberEntry, MemberState};

/// What is known about one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// Its zone.
    pub zone: ZoneName,
    /// Its newest known life.
    pub life: MemberLife,
    /// Whether it answers.
    pub health: MemberHealth,
    /// Whether it has announced a planned stop.
    pub leaving: bool,
    /// When its health last changed, as far as known.
    pub since: Duration,
    /// What it last said about itself.
    pub digest: MemberDigest,
    /// Number of that digest within the incarnation.
    pub stamp: u32,
}

impl MemberRecord {
    /// The state as the rest of the process sees it.
    pub fn state(&self) -> MemberState {
        match (self.health, self.leaving) {
            (MemberHealth::Failed, _) => MemberState::Failed,
            (_, true) => MemberState::Leaving,
            (MemberHealth::Suspect, false) => MemberState::Suspect,
            (MemberHealth::Alive, false) => MemberState::Alive,
        }
    }
}

/// What news did to the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeEffect {
    /// Nothing new.
    Known,
    /// The member was unknown, or known by an earlier incarnation.
    Joined,
    /// What is believed about it changed.
    Changed,
}

/// What a digest did to the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DigestEffect {
    /// Nothing new.
    Known,
    /// It is newer, with another load at most.
    Load,
    /// It is newer and shows another revision.
    Revision,
}

/// The members other than the own process.
#[derive(Debug, Default)]
pub struct MemberTable {
    records: BTreeMap<VmAddress, MemberRecord>,
    present: usize,
}

impl MemberTable {
    /// Returns what is known about a member.
    pub fn get(&self, vm: VmAddress) -> Option<&MemberRecord> {
        self.records.get(&vm)
    }

    /// All members, failed ones included.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Members that are not failed.
    pub fn present(&self) -> usize {
        self.present
    }

    /// All members, ascending by address.
    pub fn records(&self) -> impl Iterator<Item = (VmAddress, &MemberRecord)> {
        self.records.iter().map(|(vm, record)| (*vm, record))
    }

    /// Members behind an address, ascending.
    pub fn records_after(
        &self,
        after: Option<VmAddress>,
    ) -> impl Iterator<Item = (VmAddress, &MemberRecord)> {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let range = self.records.range((start, Bound::Unbounded));
        range.map(|(vm, record)| (*vm, record))
    }

    /// Believes news, if it is newer or worse than what is known. News about an unknown member counts only with its
    /// zone and if it is not that the member has failed.
    pub fn merge(&mut self, now: Duration, update: &MemberUpdate) -> MergeEffect {
        let Some(record) = self.records.get_mut(&update.vm) else {
            return self.insert(now, update);
        };
        let before = record.health;
        let joined = update.life.incarnation > record.life.incarnation;
        let newer = (update.life, update.health) > (record.life, record.health);
        let leaves =
            update.leaving && !record.leaving && update.life.incarnation == record.life.incarnation;
        if !newer {
            record.leaving |= leaves;
            return if leaves {
                MergeEffect::Changed
            } else {
                MergeEffect::Known
            };
        }
        if joined {
            record.digest = MemberDigest::default();
            record.stamp = 0;
            record.leaving = false;
        }
        record.leaving |= update.leaving;
        record.life = update.life;
        if record.health != update.health {
            record.health = update.health;
            record.since = began(now, update);
        }
        if let Some(zone) = &update.zone {
            record.zone.clone_from(zone);
        }
        self.count(before, update.health);
        if joined && update.health != MemberHealth::Failed {
            MergeEffect::Joined
        } else {
            MergeEffect::Changed
        }
    }

    fn insert(&mut self, now: Duration, update: &MemberUpdate) -> MergeEffect {
        let Some(zone) = &update.zone else {
            return MergeEffect::Known;
        };
        if update.health == MemberHealth::Failed {
            return MergeEffect::Known;
        }
        let record = MemberRecord {
            zone: zone.clone(),
            life: update.life,
            health: update.health,
            leaving: update.leaving,
            since: began(now, update),
            digest: MemberDigest::default(),
            stamp: 0,
        };
        self.records.insert(update.vm, record);
        self.present += 1;
        MergeEffect::Joined
    }

    fn count(&mut self, before: MemberHealth, after: MemberHealth) {
        let (was, is) = (
            before != MemberHealth::Failed,
            after != MemberHealth::Failed,
        );
        self.present += usize::from(is && !was);
        self.present -= usize::from(was && !is);
    }

    /// Believes a digest, if it is newer.
    pub fn merge_digest(&mut self, update: &DigestUpdate) -> DigestEffect {
        let Some(record) = self.records.get_mut(&update.session.vm) else {
            return DigestEffect::Known;
        };
        if record.life.incarnation != update.session.incarnation || record.stamp >= update.stamp {
            return DigestEffect::Known;
        }
        let before = record.digest;
        record.stamp = update.stamp;
        record.digest = update.digest;
        if before.revision == update.digest.revision {
            DigestEffect::Load
        } else {
            DigestEffect::Revision
        }
    }

    /// What is said to others about a member at `now`. Its zone is left out where it does not answer: who has never heard
    /// of it can wait, and bad news must be short because it comes in heaps.
    pub fn update(&self, now: Duration, vm: VmAddress) -> Option<MemberUpdate> {
        let record = self.records.get(&vm)?;
        let zone = (record.health == MemberHealth::Alive).then(|| record.zone.clone());
        let age = now.saturating_sub(record.since).as_millis() / 100;
        Some(MemberUpdate {
            vm,
            life: record.life,
            health: record.health,
            leaving: record.leaving,
            age_ds: u16::try_from(age).unwrap_or(u16::MAX),
            zone,
        })
    }

    /// Forgets members that failed before `before`. One that returns is then new, even if its clock ran backwards.
    pub fn forget(&mut self, before: Duration) {
        self.records
            .retain(|_, record| record.health != MemberHealth::Failed || record.since >= before);
    }
}

/// When a member got the health that is told of it.
fn began(now: Duration, update: &MemberUpdate) -> Duration {
    now.saturating_sub(Duration::from_millis(u64::from(update.age_ds) * 100))
}

/// What the rest of the process sees of a record.
pub fn member_entry(vm: VmAddress, record: &MemberRecord) -> MemberEntry {
    MemberEntry {
        vm,
        zone: record.zone.clone(),
        incarnation: record.life.incarnation,
        state: record.state(),
        digest: record.digest,
    }
}

#[cfg(test)]
#[path = "table_tests.rs"]
mod tests;
