//! The contract with the platform's service, through the tier's own client: what each call comes to when all is well
//! and under each fault, and what is stored afterwards.

use std::time::Duration;

use bytes::Bytes;
use ebonyfork::platform::{
    CallBudget, Expectation, PlatformClient, PlatformError, StoredVersion, VALUE_LIMIT, WatchChange,
};
use ebonyfork_lab::platform::{OutageKind, PlatformFaults, PlatformStandIn, RateLimits};
use googletest::prelude::*;

const TIMEOUT: Duration = Duration::from_secs(1);
const LONG: Duration = Duration::from_secs(20);

async fn start() -> (PlatformStandIn, PlatformClient) {
    let listen = "127.0.0.1:0".parse().expect("an address");
    let platform = PlatformStandIn::start(listen).await.expect("a free port");
    let client = PlatformClient::new(platform.address(), TIMEOUT);
    (platform, client)
}

/// The kind of an outcome, in one word.
fn kind<T>(outcome: &std::result::Result<T, PlatformError>) -> &'static str {
    match outcome {
        Ok(_) => "done",
        Err(PlatformError::Conflict { .. }) => "conflict",
        Err(PlatformError::Refused { .. }) => "refused",
        Err(PlatformError::Lost { .. }) => "lost",
        Err(PlatformError::Timeout { .. }) => "timeout",
        Err(PlatformError::LeaseLapsed) => "lapsed",
        Err(PlatformError::Malformed { .. }) => "malformed",
    }
}

#[tokio::test]
async fn writes_hold_to_their_expectation() {
    let (platform, client) = start().await;
    let version = |number| Expectation::Version(StoredVersion(number));
    // One after another on the same key: expectation, outcome, version afterwards.
    let cases = [
        (version(1), "conflict", 0),
        (Expectation::Absent, "done", 1),
        (Expectation::Absent, "conflict", 1),
        (version(2), "conflict", 1),
        (version(1), "done", 2),
        (version(1), "conflict", 2),
        (Expectation::Any, "done", 3),
    ];
    for (number, (expect, outcome, after)) in cases.into_iter().enumerate() {
        let written = client.put("a/b", number.to_string(), expect).await;
        assert_that!(kind(&written), eq(outcome), "{number}");
        let stored = platform.get("a/b").map_or(0, |(_, version)| version);
        assert_that!(stored, eq(after), "{number}");
    }
    let conflict = client.delete("a/b", version(2)).await;
    let current = StoredVersion(3);
    assert_that!(conflict, err(eq(&PlatformError::Conflict { current })));
    assert_that!(client.delete("a/b", version(3)).await, ok(anything()));
    assert_that!(client.get("a/b").await, ok(none()));
    let again = client.put("a/b", "x", Expectation::Absent).await;
    assert_that!(
        again.map(|version| version.0),
        ok(gt(&3)),
        "versions are never reused"
    );
}

#[tokio::test]
async fn values_up_to_the_limit_are_kept_and_larger_ones_refused() {
    let (platform, client) = start().await;
    let largest = Bytes::from(vec![7; VALUE_LIMIT]);
    assert_that!(
        kind(&client.put("big", largest.clone(), Expectation::Any).await),
        eq("done")
    );
    let stored = client
        .get("big")
        .await
        .expect("a healthy store")
        .expect("a value");
    assert_that!(stored.value == largest, eq(true));
    let larger = Bytes::from(vec![7; VALUE_LIMIT + 1]);
    assert_that!(
        kind(&client.put("bigger", larger, Expectation::Any).await),
        eq("refused")
    );
    assert_that!(platform.get("bigger"), none());
}

/// A fault, the outcome of a write under it, and whether the write took effect.
type FaultCase = (&'static str, fn(&PlatformStandIn), &'static str, bool);

#[tokio::test]
async fn each_fault_says_truthfully_whether_a_write_may_have_taken_effect() {
    let faults = |outage, delay| PlatformFaults {
        outage,
        delay,
        ..PlatformFaults::default()
    };
    let cases: [FaultCase; 8] = [
        ("none", |_| {}, "done", true),
        (
            "lost before",
            |platform| platform.lose_calls(1),
            "lost",
            false,
        ),
        (
            "lost after",
            |platform| platform.lose_answers(1),
            "lost",
            true,
        ),
        (
            "slow",
            |platform| {
                platform.set_faults(PlatformFaults {
                    delay: TIMEOUT / 10,
                    ..PlatformFaults::default()
                });
            },
            "done",
            true,
        ),
        (
            "down",
            |platform| {
                platform.set_faults(PlatformFaults {
                    outage: Some(OutageKind::Unavailable),
                    ..PlatformFaults::default()
                });
            },
            "refused",
            false,
        ),
        (
            "broken",
            |platform| {
                platform.set_faults(PlatformFaults {
                    outage: Some(OutageKind::Broken),
                    ..PlatformFaults::default()
                });
            },
            "lost",
            false,
        ),
        (
            "silent",
            |platform| {
                platform.set_faults(PlatformFaults {
                    outage: Some(OutageKind::Silent),
                    ..PlatformFaults::default()
                });
            },
            "timeout",
            false,
        ),
        (
            "rate exceeded",
            |platform| {
                platform.set_rates(RateLimits {
                    reads: 0,
                    writes: 0,
                });
            },
            "refused",
            false,
        ),
    ];
    for (name, fault, outcome, took_effect) in cases {
        let (platform, client) = start().await;
        fault(&platform);
        let written = client.put("key", "value", Expectation::Absent).await;
        assert_that!(kind(&written), eq(outcome), "{name}");
        assert_that!(platform.get("key").is_some(), eq(took_effect), "{name}");
        // Whatever took effect without an answer must be ambiguous to the writer.
        let ambiguous = written
            .as_ref()
            .err()
            .is_some_and(PlatformError::is_ambiguous);
        assert_that!(
            took_effect && written.is_err() && !ambiguous,
            eq(false),
            "{name}"
        );
        platform.set_faults(faults(None, Duration::ZERO));
        platform.set_rates(RateLimits::default());
    }
}

#[tokio::test]
async fn a_service_that_is_not_there_refuses() {
    let (platform, client) = start().await;
    drop(platform);
    tokio::task::yield_now().await;
    let written = client.put("key", "value", Expectation::Any).await;
    assert_that!(kind(&written), any![eq("refused"), eq("lost")]);
}

#[tokio::test]
async fn of_many_swaps_of_one_version_exactly_one_succeeds() {
    let (platform, client) = start().await;
    client
        .put("head", "0", Expectation::Absent)
        .await
        .expect("a healthy store");
    for round in 1..=20_u64 {
        let expect = Expectation::Version(StoredVersion(round));
        let mut racing = tokio::task::JoinSet::new();
        for number in 0..8 {
            let client = client.clone();
            racing.spawn(async move { client.put("head", number.to_string(), expect).await });
        }
        let outcomes = racing.join_all().await;
        let done = outcomes.iter().filter(|outcome| outcome.is_ok()).count();
        assert_that!(done, eq(1), "round {round}: {outcomes:?}");
        assert_that!(
            platform.get("head").map(|(_, version)| version),
            some(eq(round + 1))
        );
    }
}

#[tokio::test]
async fn a_watch_misses_nothing_that_happens_between_two_watches() {
    let (platform, client) = start().await;
    assert_that!(
        client
            .watch("key", StoredVersion::ABSENT, TIMEOUT / 3)
            .await,
        ok(none())
    );
    // Three changes while nobody watches: the next watch answers at once with the newest.
    for value in ["1", "2", "3"] {
        platform.put("key", value);
    }
    let seen = client
        .watch("key", StoredVersion(1), LONG)
        .await
        .expect("a healthy store");
    let Some(WatchChange::Changed(stored)) = seen else {
        panic!("no change seen: {seen:?}");
    };
    assert_that!((stored.version.0, stored.value), eq(&(3, Bytes::from("3"))));
    // A watch that waits sees the next change, and the deletion after it.
    let waiting = tokio::spawn({
        let client = client.clone();
        async move { client.watch("key", StoredVersion(3), LONG).await }
    });
    client
        .put("key", "4", Expectation::Any)
        .await
        .expect("a healthy store");
    let seen = waiting.await.expect("no panic");
    assert_that!(
        matches!(seen, Ok(Some(WatchChange::Changed(_)))),
        eq(true),
        "{seen:?}"
    );
    client
        .delete("key", Expectation::Any)
        .await
        .expect("a healthy store");
    let seen = client.watch("key", StoredVersion(4), LONG).await;
    assert_that!(seen, ok(some(eq(&WatchChange::Deleted))));
}

#[tokio::test]
async fn a_waiting_watch_ends_when_the_service_fails() {
    for outage in [OutageKind::Unavailable, OutageKind::Broken] {
        let (platform, client) = start().await;
        platform.put("key", "1");
        let waiting =
            tokio::spawn(async move { client.watch("key", StoredVersion(1), LONG).await });
        while platform.calls().watch == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        platform.set_faults(PlatformFaults {
            outage: Some(outage),
            ..PlatformFaults::default()
        });
        let seen = waiting.await.expect("no panic");
        assert_that!(kind(&seen), any![eq("refused"), eq("lost")], "{outage:?}");
    }
}

#[tokio::test]
async fn keys_live_with_their_lease() {
    let (platform, client) = start().await;
    let ttl = Duration::from_millis(200);
    let lease = client.lease(ttl).await.expect("a healthy store");
    let written = client
        .put_leased("key", "1", Expectation::Any, &lease)
        .await;
    assert_that!(kind(&written), eq("done"));
    assert_that!(client.keep(&lease).await, ok(anything()));
    // The holder pauses; the lease lapses, its key goes, and neither can be brought back.
    while platform.get("key").is_some() {
        tokio::time::sleep(ttl / 4).await;
    }
    assert_that!(kind(&client.keep(&lease).await), eq("lapsed"));
    let late = client
        .put_leased("key", "2", Expectation::Any, &lease)
        .await;
    assert_that!(late, err(anything()));
    assert_that!(platform.get("key"), none());
}

#[tokio::test]
async fn every_call_is_counted_and_the_budget_stops_a_flood_before_it_leaves() {
    let (platform, client) = start().await;
    let client = client.with_budget(CallBudget::new(0.0, 5.0));
    let mut refused = 0;
    for _ in 0..20 {
        refused += u32::from(kind(&client.get("key").await) == "refused");
    }
    assert_that!(refused, eq(15));
    assert_that!(client.calls(), eq(5));
    assert_that!(platform.calls().total(), eq(5));
}

#[tokio::test]
async fn listings_show_the_keys_below_a_prefix() {
    let (platform, client) = start().await;
    for key in ["held/b", "held/a", "held-not", "other"] {
        platform.put(key, "1");
    }
    let listed = client.list("held/").await.expect("a healthy store");
    let keys: Vec<&str> = listed.iter().map(|line| line.key.as_str()).collect();
    assert_that!(keys, elements_are![eq(&"held/a"), eq(&"held/b")]);
}
