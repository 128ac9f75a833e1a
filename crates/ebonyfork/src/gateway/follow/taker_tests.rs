use std::time::Duration;

use googletest::prelude::*;

use super::*;
use crate::gateway::fixture::{item, settings};
use crate::gateway::follow::fixture::text_dialect;
use crate::gateway::ident::UpstreamService;
use crate::store::StoreEra;

fn taker() -> StoreTaker {
    let core = Rc::new(GatewayCore::new(settings(), text_dialect()));
    let (seeds, _receiver) = watch::channel(Arc::default());
    StoreTaker::new(core, seeds)
}

fn version(taker: &StoreTaker) -> u64 {
    taker.core.table().map_or(0, |table| table.version().0)
}

fn whole(items: Vec<StoreItem>, revision: u64) -> CopyChange {
    CopyChange::Whole {
        items,
        revision: StoreRevision::new(revision),
    }
}

/// One change, with nothing known of those before it.
fn changed(event: StoreEvent, revision: u64) -> CopyChange {
    CopyChange::Changes {
        events: vec![event],
        since: StoreRevision::new(0),
        revision: StoreRevision::new(revision),
    }
}

/// Everything that a store holds which has come back from older copies.
fn restored(items: &[StoreItem], revision: u64, era: u64) -> CopyChange {
    let era = StoreEra(era);
    CopyChange::Whole {
        items: items
            .iter()
            .map(|item| item.clone().with_era(era))
            .collect(),
        revision: StoreRevision::new(revision).with_era(era),
    }
}

fn complete(taker: &StoreTaker) -> StoreRevision {
    taker.core.relay.copy().complete()
}

fn upstreams(taker: &StoreTaker, service: &str) -> usize {
    let service = UpstreamService::new(service);
    taker.core.registry.upstreams(&service).len()
}

#[gtest]
fn a_source_that_is_behind_takes_nothing_back() {
    let taker = taker();
    let newer = vec![item("config", "7", 20), item("upstream/a", "s", 18)];
    expect_that!(taker.take(whole(newer, 20)), ok(eq(())));
    let older = vec![item("config", "5", 10)];
    expect_that!(taker.take(whole(older, 12)), ok(eq(())));
    expect_that!(version(&taker), eq(7));
    expect_that!(upstreams(&taker, "s"), eq(1));
    let older = StoreEvent::Written(item("config", "6", 15));
    expect_that!(taker.take(changed(older, 15)), ok(eq(())));
    expect_that!(version(&taker), eq(7));
    expect_that!(complete(&taker), eq(StoreRevision::new(20)));
}

#[gtest]
fn a_removed_upstream_does_not_come_back_by_an_older_change() {
    let taker = taker();
    let all = vec![item("upstream/a", "s", 3)];
    expect_that!(taker.take(whole(all, 3)), ok(eq(())));
    let removed = StoreEvent::Removed {
        key: "upstream/a".into(),
        revision: StoreRevision::new(9),
    };
    expect_that!(taker.take(changed(removed, 9)), ok(eq(())));
    expect_that!(upstreams(&taker, "s"), eq(0));
    let stale = StoreEvent::Written(item("upstream/a", "s", 5));
    expect_that!(taker.take(changed(stale, 10)), ok(eq(())));
    expect_that!(upstreams(&taker, "s"), eq(0));
}

#[gtest]
fn a_lower_version_at_a_newer_revision_is_not_put_in_force() {
    let taker = taker();
    let all = vec![item("config", "7", 20)];
    expect_that!(taker.take(whole(all, 20)), ok(eq(())));
    let lower = StoreEvent::Written(item("config", "6", 21));
    expect_that!(taker.take(changed(lower, 21)), ok(eq(())));
    expect_that!(version(&taker), eq(7));
}

/// What can't be read names no upstream, even if its key named one before; the others hold.
#[gtest]
fn an_entry_that_becomes_unreadable_is_no_upstream_any_more() {
    let taker = taker();
    let items = vec![
        item("upstream/a", "s", 1),
        item("upstream/b", "s", 2),
        item("upstream/c", "unreadable", 3),
    ];
    expect_that!(taker.take(whole(items, 3)), ok(eq(())));
    expect_that!(upstreams(&taker, "s"), eq(2));
    let event = StoreEvent::Written(item("upstream/b", "unreadable", 4));
    expect_that!(taker.take(changed(event, 4)), ok(eq(())));
    expect_that!(upstreams(&taker, "s"), eq(1));
    let event = StoreEvent::Written(item("upstream/b", "s", 5));
    expect_that!(taker.take(changed(event, 5)), ok(eq(())));
    expect_that!(upstreams(&taker, "s"), eq(2));
}

/// An evacuation is in force as long as its key is there, whatever the key holds and whichever source tells.
#[gtest]
fn an_evacuation_is_in_force_while_its_key_is_there() {
    let taker = taker();
    let takes = || {
        let listed = taker.core.registry.upstreams(&UpstreamService::new("s"));
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
    expect_that!(taker.take(whole(items.clone(), 4)), ok(eq(())));
    expect_that!(takes(), eq(0));
    let removed = StoreEvent::Removed {
        key: "evacuate/north-a".into(),
        revision: StoreRevision::new(6),
    };
    expect_that!(taker.take(changed(removed, 6)), ok(eq(())));
    expect_that!(takes(), eq(1));
    expect_that!(taker.take(whole(items, 5)), ok(eq(())));
    expect_that!(takes(), eq(1));
    let again = StoreEvent::Written(item("evacuate/north-a", "", 9));
    expect_that!(taker.take(changed(again, 9)), ok(eq(())));
    expect_that!(takes(), eq(0));
    expect_that!(
        taker.take(whole(vec![item("upstream/a", "s", 4)], 12)),
        ok(eq(()))
    );
    expect_that!(takes(), eq(1));
}

/// The store came back without an evacuation that it had acknowledged, and the zone got requests until the operators had
/// written it again.
#[gtest]
fn an_evacuation_that_a_restored_store_lacks_stays_in_force() {
    let taker = taker();
    let zones = || taker.core.registry.evacuated_zones().len();
    let later = |seconds| now() + Duration::from_secs(seconds);
    let evacuation = item("evacuate/north-a", "{}", 5);
    expect_that!(taker.take(whole(vec![evacuation.clone()], 9)), ok(eq(())));
    // Two drills: written again after the first one, not after the second.
    expect_that!(taker.take(restored(&[], 4, 1)), ok(eq(())));
    taker.core.expire_missing(later(9));
    expect_that!(zones(), eq(1));
    let again = evacuation.clone().with_era(StoreEra(1));
    let again = CopyChange::Changes {
        since: StoreRevision::new(4).with_era(StoreEra(1)),
        revision: again.revision,
        events: vec![StoreEvent::Written(again)],
    };
    expect_that!(taker.take(again), ok(eq(())));
    taker.core.expire_missing(later(60));
    expect_that!(zones(), eq(1));
    expect_that!(taker.take(restored(&[], 2, 2)), ok(eq(())));
    expect_that!(zones(), eq(1));
    taker.core.expire_missing(later(11));
    expect_that!(zones(), eq(0));
    // One that the operators take back in the new era ends at once.
    expect_that!(taker.take(restored(&[evacuation], 6, 3)), ok(eq(())));
    expect_that!(zones(), eq(1));
    let removed = StoreEvent::Removed {
        key: "evacuate/north-a".into(),
        revision: StoreRevision::new(7),
    };
    let removed = CopyChange::Changes {
        events: vec![removed.with_era(StoreEra(3))],
        since: StoreRevision::new(6).with_era(StoreEra(3)),
        revision: StoreRevision::new(7).with_era(StoreEra(3)),
    };
    expect_that!(taker.take(removed), ok(eq(())));
    expect_that!(zones(), eq(0));
}

/// Upstreams that the older copy lacks are written again by their heartbeats.
#[gtest]
fn an_upstream_that_a_restored_store_lacks_is_kept_for_its_next_heartbeat() {
    let taker = taker();
    let items = vec![item("upstream/a", "s", 3), item("upstream/b", "s", 4)];
    expect_that!(taker.take(whole(items.clone(), 4)), ok(eq(())));
    expect_that!(taker.take(restored(&items[..1], 3, 1)), ok(eq(())));
    expect_that!(upstreams(&taker, "s"), eq(2));
    taker.core.expire_missing(now() + Duration::from_secs(3));
    expect_that!(upstreams(&taker, "s"), eq(1));
}
