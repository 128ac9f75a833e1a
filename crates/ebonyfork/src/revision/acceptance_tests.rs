use googletest::prelude::*;

use super::*;
use crate::revision::ChangeId;

fn zone(name: &str) -> ZoneName {
    name.parse().unwrap()
}

fn zones_with_live_vm(zones: &[&str]) -> LiveZones {
    let vms = BTreeSet::from(["127.0.0.1".parse().unwrap()]);
    zones.iter().map(|name| (zone(name), vms.clone())).collect()
}

fn head(revision: u64) -> HeadRecord {
    HeadRecord {
        revision: RevisionNumber(revision),
        change: ChangeId([revision as u8; 16]),
    }
}

fn evidence(name: &str, held_revision: u64, lowest_revision: u64) -> HeldEvidence {
    HeldEvidence {
        zone: zone(name),
        writer: "127.0.0.1".parse().unwrap(),
        held: head(held_revision),
        lowest: RevisionNumber(lowest_revision),
        vms: 3,
        lagging: Vec::new(),
        time_ms: 0,
    }
}

/// Evidence of zone-a and zone-b about revision 7 (held, lowest, relation), and the expected acceptance state.
type ZoneEvidenceCase = (
    Option<(u64, u64, HeldRelation)>,
    Option<(u64, u64, HeldRelation)>,
    &'static str,
);

#[gtest]
fn a_revision_is_accepted_only_when_every_zone_shows_it() {
    let same_change_evidence = Some((7, 7, HeldRelation::Same));
    let cases: [ZoneEvidenceCase; 7] = [
        (same_change_evidence, same_change_evidence, "accepted"),
        (
            same_change_evidence,
            Some((9, 8, HeldRelation::Follows)),
            "accepted",
        ),
        (same_change_evidence, None, "waiting zone-b"),
        (
            same_change_evidence,
            Some((7, 6, HeldRelation::Same)),
            "waiting zone-b",
        ),
        (
            same_change_evidence,
            Some((6, 6, HeldRelation::Unrelated)),
            "waiting zone-b",
        ),
        (
            same_change_evidence,
            Some((8, 8, HeldRelation::Unrelated)),
            "waiting zone-b",
        ),
        (
            same_change_evidence,
            Some((8, 8, HeldRelation::Overridden(head(8)))),
            "overridden",
        ),
    ];
    let zones = zones_with_live_vm(&["zone-a", "zone-b"]);
    for (zone_a, zone_b, expected_state) in cases {
        let mut zone_evidence = Vec::new();
        for (name, zone_case) in [("zone-a", zone_a), ("zone-b", zone_b)] {
            if let Some((held_revision, lowest_revision, relation)) = zone_case {
                zone_evidence.push((evidence(name, held_revision, lowest_revision), relation));
            }
        }
        let state = match evaluate_acceptance(RevisionNumber(7), &zones, &zone_evidence, 0) {
            AcceptanceState::Accepted { .. } => "accepted".to_owned(),
            AcceptanceState::Waiting { gaps } => {
                let names: Vec<&str> = gaps.iter().map(|gap| gap.zone.as_str()).collect();
                format!("waiting {}", names.join(" "))
            }
            AcceptanceState::Overridden { .. } => "overridden".to_owned(),
            AcceptanceState::Nowhere => "nowhere".to_owned(),
        };
        expect_that!(state.as_str(), eq(expected_state), "{zone_b:?}");
    }
}

#[gtest]
fn only_vms_in_the_vm_list_need_evidence() {
    // Each case: the VM that lags, and whether the revision is accepted.
    for (lagging_vm, expected_acceptance) in [("127.0.0.1", false), ("127.0.0.9", true)] {
        let mut zone_evidence = evidence("zone-a", 7, 6);
        zone_evidence.lagging.push(LaggingVm {
            vm: lagging_vm.parse().unwrap(),
            revision: RevisionNumber(6),
        });
        let evidence_with_relations = [(zone_evidence, HeldRelation::Same)];
        let state = evaluate_acceptance(
            RevisionNumber(7),
            &zones_with_live_vm(&["zone-a"]),
            &evidence_with_relations,
            0,
        );
        let is_accepted = matches!(state, AcceptanceState::Accepted { .. });
        expect_that!(is_accepted, eq(expected_acceptance), "{lagging_vm}");
    }
}
