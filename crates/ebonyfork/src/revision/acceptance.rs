//! Decides whether a published revision is accepted, from the evidence of every zone that has live VMs.

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
    /// The zone holds the published change.
    Same,
    /// The zone holds a change that operators published on top of the published one.
    Follows,
    /// A watcher restored an earlier revision over the published one, because the store had lost the earlier one when
    /// the change was published.
    Overridden(HeadRecord),
    /// The zone holds an earlier change, or one that doesn't descend from the published one.
    Unrelated,
}

/// Why a zone doesn't yet show that it holds a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneGap {
    /// Name of the zone.
    pub zone: ZoneName,
    /// The lowest revision held in the zone; `None` if the zone has written no evidence.
    pub lowest: Option<RevisionNumber>,
    /// Seconds since the zone's evidence was written; `None` if there is no evidence.
    pub age_s: Option<u64>,
    /// Live VMs that hold a lower revision, as far as the evidence names them.
    pub lagging: Vec<LaggingVm>,
}

/// The tier's live VMs by zone, without empty zones.
pub type LiveZones = BTreeMap<ZoneName, BTreeSet<VmAddress>>;

/// Whether a revision is accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum AcceptanceState {
    /// Every zone has shown that all of its live VMs hold the revision or a descendant of it.
    Accepted {
        /// All zones with live VMs.
        zones: Vec<ZoneName>,
    },
    /// Some zones haven't shown yet that their VMs hold the revision.
    Waiting {
        /// The zones that are awaited, each with the reason.
        gaps: Vec<ZoneGap>,
    },
    /// A watcher restored an earlier revision over this one, so the operator has to publish again.
    Overridden {
        /// The change that restored the earlier revision.
        by: HeadRecord,
    },
    /// The VM list has no live VM of the tier.
    Nowhere,
}

/// Decides whether a revision is accepted, from the evidence of all zones that have live VMs.
///
/// # Examples
///
/// ```
/// use std::collections::BTreeSet;
///
/// use ebonyfork::ident::RevisionNumber;
/// use ebonyfork::revision::{AcceptanceState, LiveZones, evaluate_acceptance};
///
/// let live_vms = BTreeSet::from(["127.0.0.1".parse()?]);
/// let zones = LiveZones::from([("zone-a".parse()?, live_vms)]);
/// let state = evaluate_acceptance(RevisionNumber(7), &zones, &[], 0);
/// assert!(matches!(state, AcceptanceState::Waiting { gaps } if gaps.len() == 1));
/// # Ok::<(), ebonyfork::ident::IdentError>(())
/// ```
///
/// `zones` has the live VMs of each zone according to the VM list. That list may be out of date, but it never omits a
/// live VM, so no evidence is needed for a VM that isn't in it.
pub fn evaluate_acceptance(
    revision: RevisionNumber,
    zones: &LiveZones,
    evidence: &[(HeldEvidence, HeldRelation)],
    time_ms: u64,
) -> AcceptanceState {
    if zones.is_empty() {
        return AcceptanceState::Nowhere;
    }
    let mut gaps = Vec::new();
    for (zone, live_vms) in zones {
        let zone_evidence = evidence.iter().find(|(evidence, _)| evidence.zone == *zone);
        let Some((zone_evidence, relation)) = zone_evidence else {
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
        let mut lagging = zone_evidence.lagging.clone();
        lagging.retain(|entry| entry.revision < revision && live_vms.contains(&entry.vm));
        let is_related = matches!(relation, HeldRelation::Same | HeldRelation::Follows);
        let names_all_lagging = (1..LAGGING_LIMIT).contains(&zone_evidence.lagging.len());
        if is_related
            && (zone_evidence.lowest >= revision || names_all_lagging && lagging.is_empty())
        {
            continue;
        }
        gaps.push(ZoneGap {
            zone: zone.clone(),
            lowest: Some(zone_evidence.lowest),
            age_s: Some(time_ms.saturating_sub(zone_evidence.time_ms) / 1_000),
            lagging,
        });
    }
    if gaps.is_empty() {
        let zones = zones.keys().cloned().collect();
        return AcceptanceState::Accepted { zones };
    }
    AcceptanceState::Waiting { gaps }
}

/// Reads the VM list and all evidence from the store and decides whether `head` is accepted.
pub async fn read_acceptance(
    client: &StoreClient,
    head: HeadRecord,
    time_ms: u64,
) -> Result<AcceptanceState, StoreError> {
    let zones = live_zones(&read_vm_list(client).await?);
    let mut relations: BTreeMap<CompactString, HeldRelation> = BTreeMap::new();
    let mut evidence_with_relations = Vec::new();
    for evidence in read_evidence(client).await? {
        let key = CompactString::from(evidence.held.change);
        let relation = match relations.get(&key) {
            Some(relation) => *relation,
            None => find_relation(client, head, evidence.held).await?,
        };
        relations.insert(key, relation);
        evidence_with_relations.push((evidence, relation));
    }
    Ok(evaluate_acceptance(
        head.revision,
        &zones,
        &evidence_with_relations,
        time_ms,
    ))
}

/// Returns the live VMs of this tier by zone.
fn live_zones(vms: &[VmRecord]) -> LiveZones {
    let mut zones = LiveZones::new();
    for record in vms {
        if record.group != OWN_GROUP || record.state != VmState::Live {
            continue;
        }
        let live_vms = zones.entry(record.zone.clone()).or_default();
        live_vms.insert(VmAddress(record.ip));
    }
    zones
}

/// Follows the ancestors of a held change back to the published one and returns how the two relate.
async fn find_relation(
    client: &StoreClient,
    head: HeadRecord,
    held_head: HeadRecord,
) -> Result<HeldRelation, StoreError> {
    let mut ancestor = held_head.change;
    let mut overriding_head = None;
    loop {
        if ancestor == head.change {
            return Ok(match overriding_head {
                Some(by) => HeldRelation::Overridden(by),
                None if held_head.change == head.change => HeldRelation::Same,
                None => HeldRelation::Follows,
            });
        }
        let Some(change) = read_change(client, ancestor).await? else {
            return Ok(HeldRelation::Unrelated);
        };
        if change.restores.is_some() {
            overriding_head = Some(change.head());
        }
        match change.parent() {
            Some(parent) if change.revision > head.revision => ancestor = parent,
            _ => return Ok(HeldRelation::Unrelated),
        }
    }
}

#[cfg(test)]
#[path = "acceptance_tests.rs"]
mod tests;
