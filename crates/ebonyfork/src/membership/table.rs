//! Table of the known members, and the rules for merging updates into it.
//!
//! An update with a newer version always wins. For equal versions the worse health wins, because only the member
//! itself can refute it, by incrementing its refutation counter. The leaving flag is never cleared within one
//! incarnation.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use crate::ident::{VmAddress, ZoneName};
use crate::membership::message::{DigestUpdate, MemberHealth, MemberUpdate, MemberVersion};
use crate::membership::snapshot::{MemberDigest, MemberEntry, MemberState};

/// Table entry of one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// Availability zone of the member.
    pub zone: ZoneName,
    /// Newest known incarnation and refutation counter.
    pub version: MemberVersion,
    /// Health of the member.
    pub health: MemberHealth,
    /// Whether the member has announced a planned stop.
    pub leaving: bool,
    /// When `health` last changed, computed from the age in the update.
    pub health_since: Duration,
    /// Newest digest received from the member.
    pub digest: MemberDigest,
    /// Sequence number of `digest` within the incarnation; 0 if none has been received.
    pub digest_sequence: u32,
}

impl MemberRecord {
    /// Returns the state that is published in snapshots.
    pub fn state(&self) -> MemberState {
        match (self.health, self.leaving) {
            (MemberHealth::Failed, _) => MemberState::Failed,
            (_, true) => MemberState::Leaving,
            (MemberHealth::Suspect, false) => MemberState::Suspect,
            (MemberHealth::Alive, false) => MemberState::Alive,
        }
    }
}

/// Effect of an update on the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeEffect {
    /// The update was not newer, or was ignored.
    Unchanged,
    /// The member was unknown, or known by an earlier incarnation.
    Joined,
    /// The entry of the member changed.
    Changed,
}

/// Effect of a digest on the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DigestEffect {
    /// The digest was not newer.
    Unchanged,
    /// The digest is newer and has the same revision.
    Load,
    /// The digest is newer and has another revision.
    Revision,
}

/// Known members except this process.
#[derive(Debug, Default)]
pub struct MemberTable {
    records: BTreeMap<VmAddress, MemberRecord>,
    /// Number of records that are not failed.
    present_count: usize,
}

impl MemberTable {
    /// Returns the record of a member.
    pub fn get(&self, vm: VmAddress) -> Option<&MemberRecord> {
        self.records.get(&vm)
    }

    /// Returns the number of members, failed ones included.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the number of members that are not failed.
    pub fn present_count(&self) -> usize {
        self.present_count
    }

    /// Iterates over all members in ascending order of address.
    pub fn records(&self) -> impl Iterator<Item = (VmAddress, &MemberRecord)> {
        self.records.iter().map(|(vm, record)| (*vm, record))
    }

    /// Iterates over the members with an address greater than `after`, in ascending order.
    pub fn records_after(
        &self,
        start_after: Option<VmAddress>,
    ) -> impl Iterator<Item = (VmAddress, &MemberRecord)> {
        let lower_bound = start_after.map_or(Bound::Unbounded, Bound::Excluded);
        let range = self.records.range((lower_bound, Bound::Unbounded));
        range.map(|(vm, record)| (*vm, record))
    }

    /// Merges an update if its version is newer, or equal with a worse health. An update about an unknown member is
    /// ignored if it lacks the zone or reports a failure.
    pub fn merge(&mut self, now: Duration, update: &MemberUpdate) -> MergeEffect {
        let Some(record) = self.records.get_mut(&update.vm) else {
            return self.insert(now, update);
        };
        let health_before = record.health;
        let is_new_incarnation = update.version.incarnation > record.version.incarnation;
        let is_newer = (update.version, update.health) > (record.version, record.health);
        let starts_leaving = update.leaving
            && !record.leaving
            && update.version.incarnation == record.version.incarnation;
        if !is_newer {
            record.leaving |= starts_leaving;
            return if starts_leaving {
                MergeEffect::Changed
            } else {
                MergeEffect::Unchanged
            };
        }
        if is_new_incarnation {
            record.digest = MemberDigest::default();
            record.digest_sequence = 0;
            record.leaving = false;
        }
        record.leaving |= update.leaving;
        record.version = update.version;
        if record.health != update.health {
            record.health = update.health;
            record.health_since = health_changed_at(now, update);
        }
        if let Some(zone) = &update.zone {
            record.zone.clone_from(zone);
        }
        self.update_present_count(health_before, update.health);
        if is_new_incarnation && update.health != MemberHealth::Failed {
            MergeEffect::Joined
        } else {
            MergeEffect::Changed
        }
    }

    /// Adds an unknown member, unless the update lacks the zone or reports a failure.
    fn insert(&mut self, now: Duration, update: &MemberUpdate) -> MergeEffect {
        let Some(zone) = &update.zone else {
            return MergeEffect::Unchanged;
        };
        if update.health == MemberHealth::Failed {
            return MergeEffect::Unchanged;
        }
        let record = MemberRecord {
            zone: zone.clone(),
            version: update.version,
            health: update.health,
            leaving: update.leaving,
            health_since: health_changed_at(now, update),
            digest: MemberDigest::default(),
            digest_sequence: 0,
        };
        self.records.insert(update.vm, record);
        self.present_count += 1;
        MergeEffect::Joined
    }

    /// Updates `present_count` after the health of a member has changed.
    fn update_present_count(&mut self, health_before: MemberHealth, health_after: MemberHealth) {
        let (was_present, is_present) = (
            health_before != MemberHealth::Failed,
            health_after != MemberHealth::Failed,
        );
        self.present_count += usize::from(is_present && !was_present);
        self.present_count -= usize::from(was_present && !is_present);
    }

    /// Stores a digest if it is newer.
    pub fn merge_digest(&mut self, update: &DigestUpdate) -> DigestEffect {
        let Some(record) = self.records.get_mut(&update.session.vm) else {
            return DigestEffect::Unchanged;
        };
        if record.version.incarnation != update.session.incarnation
            || record.digest_sequence >= update.digest_sequence
        {
            return DigestEffect::Unchanged;
        }
        let digest_before = record.digest;
        record.digest_sequence = update.digest_sequence;
        record.digest = update.digest;
        if digest_before.revision == update.digest.revision {
            DigestEffect::Load
        } else {
            DigestEffect::Revision
        }
    }

    /// Returns the update about a member to send at `now`. The zone is omitted unless the member is alive: receivers
    /// that don't know the member can wait, and updates about failures have to be small because many occur at once.
    pub fn update(&self, now: Duration, vm: VmAddress) -> Option<MemberUpdate> {
        let record = self.records.get(&vm)?;
        let zone = (record.health == MemberHealth::Alive).then(|| record.zone.clone());
        let age_ds = now.saturating_sub(record.health_since).as_millis() / 100;
        Some(MemberUpdate {
            vm,
            version: record.version,
            health: record.health,
            leaving: record.leaving,
            age_ds: u16::try_from(age_ds).unwrap_or(u16::MAX),
            zone,
        })
    }

    /// Removes members that failed before `failed_before` and returns them. A member that returns later counts as new,
    /// even if its clock ran backwards.
    pub fn remove_failed(&mut self, failed_before: Duration) -> Vec<VmAddress> {
        let removed_records = self.records.extract_if(.., |_, record| {
            record.health == MemberHealth::Failed && record.health_since < failed_before
        });
        removed_records.map(|(vm, _)| vm).collect()
    }
}

/// Returns when the health in an update last changed.
fn health_changed_at(now: Duration, update: &MemberUpdate) -> Duration {
    now.saturating_sub(Duration::from_millis(u64::from(update.age_ds) * 100))
}

/// Converts a record to a snapshot entry.
pub fn member_entry(vm: VmAddress, record: &MemberRecord) -> MemberEntry {
    MemberEntry {
        vm,
        zone: record.zone.clone(),
        incarnation: record.version.incarnation,
        state: record.state(),
        digest: record.digest,
    }
}

#[cfg(test)]
#[path = "table_tests.rs"]
mod tests;
