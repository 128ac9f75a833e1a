//! Whether a published revision is accepted: evidence of every zone that has live VMs.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ident::{RevisionNumber, VmAddress, ZoneName};
use crate::store::{StoreClient, StoreError};
use crate::topology::{OWN_GROUP, VmRecord, VmState, read_vm_list};

use super::record::{HeadRecord, HeldEvidence, LAGGING_LIMIT, LaggingVm};
use super::store::{read_change, read_evidence};

/// How the change that a zone holds relates to the published one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldRelation {
    /// It is the published one.
    Same,
    /// Operators published it on top of the published one.
    Follows,
    /// A watcher put an earlier revision in force again over the published one, which the store had taken without it.
    Overridden(HeadRecord),
    /// It is an earlier one, or stands on another line.
    Other,
}

/// Why a zone doesn't show a revision yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneGap {
    /// The zone.
    pub zone: ZoneName,
    /// The lowest revision in it; none if it has written no evidence.
    pub lowest: Option<RevisionNumber>,
    /// Seconds since its evidence was written.
    pub age_s: Option<u64>,
    /// VMs that lack the revision, as far as the evidence names them.
    pub lagging: Vec<LaggingVm>,
}

/// The tier's live VMs of each zone that has any.
pub type LiveZones = BTreeMap<ZoneName, BTreeSet<VmAddress>>;

/// Whether a revision is accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum AcceptanceState {
    /// Every zone has shown that its live VMs hold it, or one that follows it.
    Accepted {
        /// The zones.
        zones: Vec<ZoneName>,
    },
    /// Some zones have not.
    Waiting {
        /// Those zones.
        gaps: Vec<ZoneGap>,
    },
    /// An earlier revision was put in force again over it: publish again.
    Overridden {
        /// The change that did so.
        by: HeadRecord,
    },
    /// The VM list has none of the tier's VMs.
    Nowhere,
}

/// Judges the evidence of all zones that have live VMs.
///
/// # Examples
///
/// ```
/// use std::collections::BTreeSet;
///
/// use ebonyfork::ident::RevisionNumber;
/// use ebonyfork::revision::{AcceptanceState, LiveZones, judge_acceptance};
///
/// let live = BTreeSet::from(["127.0.0.1".parse()?]);
/// let zones = LiveZones::from([("zone-a".parse()?, live)]);
/// let state = judge_acceptance(RevisionNumber(7), &zones, &[], 0);
/// assert!(matches!(state, AcceptanceState::Waiting { gaps } if gaps.len() == 1));
/// # Ok::<(), ebonyfork::ident::IdentError>(())
/// ```
///
/// `zones` has the live VMs of each zone, as the VM list shows them. The list lags behind but never leaves out a VM that
/// lives, so a VM that it doesn't show needs no evidence.
pub fn judge_acceptance(
    revision: RevisionNumber,
    zones: &LiveZones,
    evidence: &[(HeldEvidence, HeldRelation)],
    time_ms: u64,
) -> AcceptanceState {
    if zones.is_empty() {
        return AcceptanceState::Nowhere;
    }
    let mut gaps = Vec::new();
    for (zone, live) in zones {
        let shown = evidence.iter().find(|(shown, _)| shown.zone == *zone);
        let Some((shown, relation)) = shown else {
            gaps.push(ZoneGap {
                zone: zone.clone(),
                lowest: None,
                age_s: None,
                lagging: Vec::new(),
            });
            continue;
        };
        if let HeldRelation::Overridden(by) = *relation {
            return AcceptanceState::Overridden { by };
        }
        let mut lagging = shown.lagging.clone();
        lagging.retain(|entry| entry.revision < revision && live.contains(&entry.vm));
        let related = matches!(relation, HeldRelation::Same | HeldRelation::Follows);
        let named_all = (1..LAGGING_LIMIT).contains(&shown.lagging.len());
        if related && (shown.lowest >= revision || named_all && lagging.is_empty()) {
            continue;
        }
        gaps.push(ZoneGap {
            zone: zone.clone(),
            lowest: Some(shown.lowest),
            age_s: Some(time_ms.saturating_sub(shown.time_ms) / 1_000),
            lagging,
        });
    }
    if gaps.is_empty() {
        let zones = zones.keys().cloned().collect();
        return AcceptanceState::Accepted { zones };
    }
    AcceptanceState::Waiting { gaps }
}

/// Reads VM list and evidence and judges them.
pub async fn read_acceptance(
    client: &StoreClient,
    head: HeadRecord,
    time_ms: u64,
) -> Result<AcceptanceState, StoreError> {
    let zones = live_zones(&read_vm_list(client).await?);
    let mut relations: BTreeMap<CompactString, HeldRelation> = BTreeMap::new();
    let mut judged = Vec::new();
    for evidence in read_evidence(client).await? {
        let key = CompactString::from(evidence.held.change);
        let relation = match relations.get(&key) {
            Some(relation) => *relation,
            None => relate(client, head, evidence.held).await?,
        };
        relations.insert(key, relation);
        judged.push((evidence, relation));
    }
    Ok(judge_acceptance(head.revision, &zones, &judged, time_ms))
}

/// Our VMs that live, by zone.
fn live_zones(vms: &[VmRecord]) -> LiveZones {
    let mut zones = LiveZones::new();
    for record in vms {
        if record.group != OWN_GROUP || record.state != VmState::Live {
            continue;
        }
        let live = zones.entry(record.zone.clone()).or_default();
        live.insert(VmAddress(record.ip));
    }
    zones
}

/// Walks from what is held along the parents to the published change.
async fn relate(
    client: &StoreClient,
    head: HeadRecord,
    held: HeadRecord,
) -> Result<HeldRelation, StoreError> {
    let mut next = held.change;
    let mut overridden = None;
    loop {
        if next == head.change {
            return Ok(match overridden {
                Some(by) => HeldRelation::Overridden(by),
                None if held.change == head.change => HeldRelation::Same,
                None => HeldRelation::Follows,
            });
        }
        let Some(change) = read_change(client, next).await? else {
            return Ok(HeldRelation::Other);
        };
        if change.restores.is_some() {
            overridden = Some(change.head());
        }
        match change.parent() {
            Some(parent) if change.revision > head.revision => next = parent,
            _ => return Ok(HeldRelation::Other),
        }
    }
}

#[cfg(test)]
#[path = "acceptance_tests.rs"]
mod tests;
