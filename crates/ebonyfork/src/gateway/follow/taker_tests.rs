use googletest::prelude::*;

use super::*;
use crate::gateway::dialect::{DecodeError, GatewayDialect};
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

fn full_copy(items: Vec<StoreItem>, revision: u64) -> CopyChange {
    CopyChange::Full {
        items,
        revision: StoreRevision::new(revision),
    }
}

/// Returns a change with one event, which covers all revisions up to `revision`.
fn single_change(event: StoreEvent, revision: u64) -> CopyChange {
    CopyChange::Changes {
        events: vec![event],
        base_revision: StoreRevision::new(0),
        revision: StoreRevision::new(revision),
    }
}

/// Returns a full read of a store that was restored from an older copy and so is in the era `era`.
fn restored_copy(items: &[StoreItem], revision: u64, era: u64) -> CopyChange {
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

fn upstream_count(applier: &StoreApplier, service: &str) -> usize {
    let service = UpstreamService::new(service);
    applier.core.registry.upstreams(&service).len()
}

#[gtest]
fn an_older_source_reverts_nothing() {
    let applier = applier();
    let newer_items = vec![item("config", "7", 20), item("upstream/a", "s", 18)];
    expect_that!(applier.apply(full_copy(newer_items, 20)), ok(eq(())));
    let older_items = vec![item("config", "5", 10)];
    expect_that!(applier.apply(full_copy(older_items, 12)), ok(eq(())));
    expect_that!(version(&applier), eq(7));
    expect_that!(upstream_count(&applier, "s"), eq(1));
    let older_write = StoreEvent::Written(item("config", "6", 15));
    expect_that!(applier.apply(single_change(older_write, 15)), ok(eq(())));
    expect_that!(version(&applier), eq(7));
    expect_that!(complete_revision(&applier), eq(StoreRevision::new(20)));
}

#[gtest]
fn an_older_change_does_not_restore_a_removed_upstream() {
    let applier = applier();
    let items = vec![item("upstream/a", "s", 3)];
    expect_that!(applier.apply(full_copy(items, 3)), ok(eq(())));
    let removal = StoreEvent::Removed {
        key: "upstream/a".into(),
        revision: StoreRevision::new(9),
    };
    expect_that!(applier.apply(single_change(removal, 9)), ok(eq(())));
    expect_that!(upstream_count(&applier, "s"), eq(0));
    let older_write = StoreEvent::Written(item("upstream/a", "s", 5));
    expect_that!(applier.apply(single_change(older_write, 10)), ok(eq(())));
    expect_that!(upstream_count(&applier, "s"), eq(0));
}

#[gtest]
fn a_lower_version_at_a_newer_revision_is_not_applied() {
    let applier = applier();
    let items = vec![item("config", "7", 20)];
    expect_that!(applier.apply(full_copy(items, 20)), ok(eq(())));
    let lower_version = StoreEvent::Written(item("config", "6", 21));
    expect_that!(applier.apply(single_change(lower_version, 21)), ok(eq(())));
    expect_that!(version(&applier), eq(7));
}

/// Guards against a refused version that leaves no trace beside a line of the log: the version in force looks the same as the
/// newest one.
#[gtest]
fn a_configuration_that_is_refused_is_counted() {
    let (seeds, _receiver) = watch::channel(Arc::default());
    let dialect = GatewayDialect {
        read_config: |key, _value| {
            Err(DecodeError {
                key: key.into(),
                reason: "unreadable".into(),
            })
        },
        ..text_dialect()
    };
    let core = Rc::new(GatewayCore::new(settings(), dialect));
    let refusing = StoreApplier::new(core, seeds);
    let items = vec![item("config", "7", 20)];
    expect_that!(refusing.apply(full_copy(items, 20)), ok(eq(())));
    expect_that!(version(&refusing), eq(0));
    expect_that!(refusing.core.metrics.copy.refused_versions.get(), eq(1));
}

/// An entry that can't be decoded removes the upstream of the same key, and only that one.
#[gtest]
fn an_entry_that_becomes_unreadable_removes_its_upstream() {
    let applier = applier();
    let items = vec![
        item("upstream/a", "s", 1),
        item("upstream/b", "s", 2),
        item("upstream/c", "unreadable", 3),
    ];
    expect_that!(applier.apply(full_copy(items, 3)), ok(eq(())));
    expect_that!(upstream_count(&applier, "s"), eq(2));
    let event = StoreEvent::Written(item("upstream/b", "unreadable", 4));
    expect_that!(applier.apply(single_change(event, 4)), ok(eq(())));
    expect_that!(upstream_count(&applier, "s"), eq(1));
    let event = StoreEvent::Written(item("upstream/b", "s", 5));
    expect_that!(applier.apply(single_change(event, 5)), ok(eq(())));
    expect_that!(upstream_count(&applier, "s"), eq(2));
}

/// An evacuation is in force as long as its key exists, whatever the key's value is, and whether it was read in a full
/// read or as a change.
#[gtest]
fn an_evacuation_is_in_force_while_its_key_exists() {
    let applier = applier();
    let accepting_upstream_count = || {
        let upstreams = applier.core.registry.upstreams(&UpstreamService::new("s"));
        upstreams
            .iter()
            .filter(|upstream| upstream.takes_requests())
            .count()
    };
    let items = vec![
        item("evacuate/north-a", "{}", 2),
        item("evacuate/nowhere", "\u{1}", 3),
        item("upstream/a", "s", 4),
    ];
    expect_that!(applier.apply(full_copy(items.clone(), 4)), ok(eq(())));
    expect_that!(accepting_upstream_count(), eq(0));
    let removal = StoreEvent::Removed {
        key: "evacuate/north-a".into(),
        revision: StoreRevision::new(6),
    };
    expect_that!(applier.apply(single_change(removal, 6)), ok(eq(())));
    expect_that!(accepting_upstream_count(), eq(1));
    expect_that!(applier.apply(full_copy(items, 5)), ok(eq(())));
    expect_that!(accepting_upstream_count(), eq(1));
    let rewrite_event = StoreEvent::Written(item("evacuate/north-a", "", 9));
    expect_that!(applier.apply(single_change(rewrite_event, 9)), ok(eq(())));
    expect_that!(accepting_upstream_count(), eq(0));
    expect_that!(
        applier.apply(full_copy(vec![item("upstream/a", "s", 4)], 12)),
        ok(eq(()))
    );
    expect_that!(accepting_upstream_count(), eq(1));
}

/// An evacuation that a restored store lacks is kept for 10 s. Otherwise the zone gets requests until the operators
/// have written the evacuation again.
#[gtest]
fn an_evacuation_that_a_restored_store_lacks_stays_in_force() {
    let applier = applier();
    let evacuated_zone_count = || applier.core.registry.evacuated_zones().len();
    let time_in = |seconds| now() + Duration::from_secs(seconds);
    let evacuation = item("evacuate/north-a", "{}", 5);
    expect_that!(
        applier.apply(full_copy(vec![evacuation.clone()], 9)),
        ok(eq(()))
    );
    // The evacuation is written again after the first restore, but not after the second.
    expect_that!(applier.apply(restored_copy(&[], 4, 1)), ok(eq(())));
    applier.core.expire_missing(time_in(9));
    expect_that!(evacuated_zone_count(), eq(1));
    let rewritten_item = evacuation.clone().with_era(StoreEra(1));
    let rewrite_event = CopyChange::Changes {
        base_revision: StoreRevision::new(4).with_era(StoreEra(1)),
        revision: rewritten_item.revision,
        events: vec![StoreEvent::Written(rewritten_item)],
    };
    expect_that!(applier.apply(rewrite_event), ok(eq(())));
    applier.core.expire_missing(time_in(60));
    expect_that!(evacuated_zone_count(), eq(1));
    expect_that!(applier.apply(restored_copy(&[], 2, 2)), ok(eq(())));
    expect_that!(evacuated_zone_count(), eq(1));
    applier.core.expire_missing(time_in(11));
    expect_that!(evacuated_zone_count(), eq(0));
    // An evacuation that the operators revoke in the new era ends at once.
    expect_that!(
        applier.apply(restored_copy(&[evacuation], 6, 3)),
        ok(eq(()))
    );
    expect_that!(evacuated_zone_count(), eq(1));
    let removal_event = StoreEvent::Removed {
        key: "evacuate/north-a".into(),
        revision: StoreRevision::new(7),
    };
    let removal = CopyChange::Changes {
        events: vec![removal_event.with_era(StoreEra(3))],
        base_revision: StoreRevision::new(6).with_era(StoreEra(3)),
        revision: StoreRevision::new(7).with_era(StoreEra(3)),
    };
    expect_that!(applier.apply(removal), ok(eq(())));
    expect_that!(evacuated_zone_count(), eq(0));
}

/// Upstreams that the older copy lacks write their entries again with their next heartbeats, so they stay in use until
/// then.
#[gtest]
fn an_upstream_that_a_restored_store_lacks_is_kept_for_its_next_heartbeat() {
    let applier = applier();
    let items = vec![item("upstream/a", "s", 3), item("upstream/b", "s", 4)];
    expect_that!(applier.apply(full_copy(items.clone(), 4)), ok(eq(())));
    expect_that!(applier.apply(restored_copy(&items[..1], 3, 1)), ok(eq(())));
    expect_that!(upstream_count(&applier, "s"), eq(2));
    applier.core.expire_missing(now() + Duration::from_secs(3));
    expect_that!(upstream_count(&applier, "s"), eq(1));
}

/// Guards against changes that are lost for good because a panic came between the copy, which counts them as known, and what
/// is in force. The guard is dropped without an end here, as unwinding drops it. What is in force stays meanwhile; then a full
/// read brings the lost changes and the removals, and nothing older is accepted.
#[gtest]
fn a_change_that_was_not_applied_completely_is_read_again() {
    let applier = applier();
    let relay = &applier.core.relay;
    let items = vec![
        item("config", "7", 20),
        item("evacuate/north-b", "{}", 16),
        item("upstream/a", "s", 17),
        item("upstream/b", "s", 18),
        item("upstream/d", "s", 19),
    ];
    expect_that!(applier.apply(full_copy(items, 20)), ok(eq(())));
    let events = vec![
        StoreEvent::Removed {
            key: "upstream/b".into(),
            revision: StoreRevision::new(21),
        },
        StoreEvent::Written(item("upstream/c", "t", 22)),
    ];
    let change = CopyChange::Changes {
        events,
        base_revision: StoreRevision::new(20),
        revision: StoreRevision::new(22),
    };
    let guard = relay.begin_apply();
    expect_that!(relay.apply(change).events.len(), eq(2));
    drop(guard);
    expect_that!(complete_revision(&applier), eq(StoreRevision::ABSENT));
    let in_force = || {
        let upstreams = upstream_count(&applier, "s") + upstream_count(&applier, "t");
        let zones = applier.core.registry.evacuated_zones().len();
        (version(&applier), upstreams, zones)
    };
    expect_that!(in_force(), eq((7, 3, 1)), "stays while the copy is read");
    let next_change = single_change(StoreEvent::Written(item("config", "8", 23)), 23);
    expect_that!(applier.apply(next_change), err(eq(CopyGap)));
    let older_items = vec![item("config", "5", 10)];
    expect_that!(applier.apply(full_copy(older_items, 12)), err(eq(CopyGap)));
    expect_that!(in_force(), eq((7, 3, 1)), "nothing older is accepted");
    let items = vec![
        item("config", "7", 20),
        item("upstream/a", "s", 17),
        item("upstream/c", "t", 22),
    ];
    expect_that!(applier.apply(full_copy(items, 24)), ok(eq(())));
    expect_that!(in_force(), eq((7, 2, 0)), "removals since then");
    expect_that!(upstream_count(&applier, "t"), eq(1), "the lost change");
    expect_that!(complete_revision(&applier), eq(StoreRevision::new(24)));
    let removal = StoreEvent::Removed {
        key: "upstream/a".into(),
        revision: StoreRevision::new(25),
    };
    expect_that!(applier.apply(single_change(removal, 25)), ok(eq(())));
    expect_that!(in_force(), eq((7, 1, 0)));
}

/// Guards against upstreams that are dropped because the change that was not applied completely was the first of a store
/// restored from an older copy: they write their entries again with their next heartbeats.
#[gtest]
fn a_restored_store_that_is_read_again_drops_nothing_at_once() {
    let applier = applier();
    let relay = &applier.core.relay;
    let items = vec![item("upstream/a", "s", 3), item("upstream/b", "s", 4)];
    expect_that!(applier.apply(full_copy(items.clone(), 4)), ok(eq(())));
    let guard = relay.begin_apply();
    relay.apply(restored_copy(&items[..1], 3, 1));
    drop(guard);
    expect_that!(applier.apply(restored_copy(&items[..1], 3, 1)), ok(eq(())));
    expect_that!(upstream_count(&applier, "s"), eq(2));
    applier.core.expire_missing(now() + Duration::from_secs(3));
    expect_that!(upstream_count(&applier, "s"), eq(1));
}

/// Guards against a VM that counts as ready after it has applied only a part of its first copy: it answered 503 to all
/// requests for the services whose entries it hadn't applied, while callers were still told of it.
#[gtest]
fn a_vm_that_has_applied_a_part_of_its_first_copy_is_not_ready() {
    let applier = applier();
    let items = vec![item("config", "7", 20), item("upstream/a", "s", 18)];
    let guard = applier.core.relay.begin_apply();
    applier.core.relay.apply(full_copy(items.clone(), 20));
    applier.put_item(&items[0], false);
    drop(guard);
    expect_that!(version(&applier), eq(7));
    expect_that!(applier.core.is_ready(), eq(false));
}

#[gtest]
fn a_vm_that_has_applied_its_first_copy_is_ready() {
    let applier = applier();
    expect_that!(applier.core.is_ready(), eq(false));
    let items = vec![item("config", "7", 20), item("upstream/a", "s", 18)];
    expect_that!(applier.apply(full_copy(items, 20)), ok(eq(())));
    applier.core.relay.note_up_to_date(now());
    expect_that!(applier.core.is_ready(), eq(true));
}
