use std::time::Duration;

use googletest::prelude::*;

use super::*;
use crate::gateway::fixture::{item, settings};
use crate::gateway::follow::fixture::text_dialect;
use crate::gateway::ident::UpstreamService;
use crate::store::StoreEra;

fn applier() -> StoreApplier {
    let core = Rc::new(GatewayCore::new(settings(), text_dialect()));
    let (seeds, _receiver) = watch::channel(Arc::default());
    StoreApplier::new(core, seeds)
}

fn version(applier: &StoreApplier) -> u64 {
    applier.core.table().map_or(0, |table| table.version().0)
}

fn full(items: Vec<StoreItem>, revision: u64) -> CopyChange {
    CopyChange::Full {
        items,
        revision: StoreRevision::new(revision),
    }
}

/// Returns a single change that covers all revisions up to its own.
fn changed(event: StoreEvent, revision: u64) -> CopyChange {
    CopyChange::Changes {
        events: vec![event],
        base_revision: StoreRevision::new(0),
        revision: StoreRevision::new(revision),
    }
}

/// Returns the full content of a store that was restored from an older copy.
fn restored(items: &[StoreItem], revision: u64, era: u64) -> CopyChange {
    let era = StoreEra(era);
    CopyChange::Full {
        items: items
            .iter()
            .map(|item| item.clone().with_era(era))
            .collect(),
        revision: StoreRevision::new(revision).with_era(era),
    }
}

fn complete_revision(applier: &StoreApplier) -> StoreRevision {
    applier.core.relay.copy().complete_revision()
}

fn upstreams(applier: &StoreApplier, service: &str) -> usize {
    let service = UpstreamService::new(service);
    applier.core.registry.upstreams(&service).len()
}

#[gtest]
fn an_older_source_reverts_nothing() {
    let applier = applier();
    let newer = vec![item("config", "7", 20), item("upstream/a", "s", 18)];
    expect_that!(applier.apply(full(newer, 20)), ok(eq(())));
    let older = vec![item("config", "5", 10)];
    expect_that!(applier.apply(full(older, 12)), ok(eq(())));
    expect_that!(version(&applier), eq(7));
    expect_that!(upstreams(&applier, "s"), eq(1));
    let older = StoreEvent::Written(item("config", "6", 15));
    expect_that!(applier.apply(changed(older, 15)), ok(eq(())));
    expect_that!(version(&applier), eq(7));
    expect_that!(complete_revision(&applier), eq(StoreRevision::new(20)));
}

#[gtest]
fn an_older_change_does_not_restore_a_removed_upstream() {
    let applier = applier();
    let all = vec![item("upstream/a", "s", 3)];
    expect_that!(applier.apply(full(all, 3)), ok(eq(())));
    let removed = StoreEvent::Removed {
        key: "upstream/a".into(),
        revision: StoreRevision::new(9),
    };
    expect_that!(applier.apply(changed(removed, 9)), ok(eq(())));
    expect_that!(upstreams(&applier, "s"), eq(0));
    let stale = StoreEvent::Written(item("upstream/a", "s", 5));
    expect_that!(applier.apply(changed(stale, 10)), ok(eq(())));
    expect_that!(upstreams(&applier, "s"), eq(0));
}

#[gtest]
fn a_lower_version_at_a_newer_revision_is_not_applied() {
    let applier = applier();
    let all = vec![item("config", "7", 20)];
    expect_that!(applier.apply(full(all, 20)), ok(eq(())));
    let lower = StoreEvent::Written(item("config", "6", 21));
    expect_that!(applier.apply(changed(lower, 21)), ok(eq(())));
    expect_that!(version(&applier), eq(7));
}

/// An unreadable entry removes the upstream that its key named before, and only that one.
#[gtest]
fn an_entry_that_becomes_unreadable_removes_its_upstream() {
    let applier = applier();
    let items = vec![
        item("upstream/a", "s", 1),
        item("upstream/b", "s", 2),
        item("upstream/c", "unreadable", 3),
    ];
    expect_that!(applier.apply(full(items, 3)), ok(eq(())));
    expect_that!(upstreams(&applier, "s"), eq(2));
    let event = StoreEvent::Written(item("upstream/b", "unreadable", 4));
    expect_that!(applier.apply(changed(event, 4)), ok(eq(())));
    expect_that!(upstreams(&applier, "s"), eq(1));
    let event = StoreEvent::Written(item("upstream/b", "s", 5));
    expect_that!(applier.apply(changed(event, 5)), ok(eq(())));
    expect_that!(upstreams(&applier, "s"), eq(2));
}

/// An evacuation is in force as long as its key exists, whatever its value and source.
#[gtest]
fn an_evacuation_is_in_force_while_its_key_exists() {
    let applier = applier();
    let accepting = || {
        let listed = applier.core.registry.upstreams(&UpstreamService::new("s"));
        listed
            .iter()
            .filter(|upstream| upstream.takes_requests())
            .count()
    };
    let items = vec![
        item("evacuate/north-a", "{}", 2),
        item("evacuate/nowhere", "\u{1}", 3),
        item("upstream/a", "s", 4),
    ];
    expect_that!(applier.apply(full(items.clone(), 4)), ok(eq(())));
    expect_that!(accepting(), eq(0));
    let removed = StoreEvent::Removed {
        key: "evacuate/north-a".into(),
        revision: StoreRevision::new(6),
    };
    expect_that!(applier.apply(changed(removed, 6)), ok(eq(())));
    expect_that!(accepting(), eq(1));
    expect_that!(applier.apply(full(items, 5)), ok(eq(())));
    expect_that!(accepting(), eq(1));
    let again = StoreEvent::Written(item("evacuate/north-a", "", 9));
    expect_that!(applier.apply(changed(again, 9)), ok(eq(())));
    expect_that!(accepting(), eq(0));
    expect_that!(
        applier.apply(full(vec![item("upstream/a", "s", 4)], 12)),
        ok(eq(()))
    );
    expect_that!(accepting(), eq(1));
}

/// An evacuation that a restored store lacks is kept for a while. Without that, the zone got requests until the
/// operators had written the evacuation again.
#[gtest]
fn an_evacuation_that_a_restored_store_lacks_stays_in_force() {
    let applier = applier();
    let zones = || applier.core.registry.evacuated_zones().len();
    let later = |seconds| now() + Duration::from_secs(seconds);
    let evacuation = item("evacuate/north-a", "{}", 5);
    expect_that!(applier.apply(full(vec![evacuation.clone()], 9)), ok(eq(())));
    // The evacuation is written again after the first restore, but not after the second.
    expect_that!(applier.apply(restored(&[], 4, 1)), ok(eq(())));
    applier.core.expire_missing(later(9));
    expect_that!(zones(), eq(1));
    let again = evacuation.clone().with_era(StoreEra(1));
    let again = CopyChange::Changes {
        base_revision: StoreRevision::new(4).with_era(StoreEra(1)),
        revision: again.revision,
        events: vec![StoreEvent::Written(again)],
    };
    expect_that!(applier.apply(again), ok(eq(())));
    applier.core.expire_missing(later(60));
    expect_that!(zones(), eq(1));
    expect_that!(applier.apply(restored(&[], 2, 2)), ok(eq(())));
    expect_that!(zones(), eq(1));
    applier.core.expire_missing(later(11));
    expect_that!(zones(), eq(0));
    // An evacuation that the operators revoke in the new era ends at once.
    expect_that!(applier.apply(restored(&[evacuation], 6, 3)), ok(eq(())));
    expect_that!(zones(), eq(1));
    let removed = StoreEvent::Removed {
        key: "evacuate/north-a".into(),
        revision: StoreRevision::new(7),
    };
    let removed = CopyChange::Changes {
        events: vec![removed.with_era(StoreEra(3))],
        base_revision: StoreRevision::new(6).with_era(StoreEra(3)),
        revision: StoreRevision::new(7).with_era(StoreEra(3)),
    };
    expect_that!(applier.apply(removed), ok(eq(())));
    expect_that!(zones(), eq(0));
}

/// Upstreams missing from the older copy are written again by their heartbeats.
#[gtest]
fn an_upstream_that_a_restored_store_lacks_is_kept_for_its_next_heartbeat() {
    let applier = applier();
    let items = vec![item("upstream/a", "s", 3), item("upstream/b", "s", 4)];
    expect_that!(applier.apply(full(items.clone(), 4)), ok(eq(())));
    expect_that!(applier.apply(restored(&items[..1], 3, 1)), ok(eq(())));
    expect_that!(upstreams(&applier, "s"), eq(2));
    applier.core.expire_missing(now() + Duration::from_secs(3));
    expect_that!(upstreams(&applier, "s"), eq(1));
}
