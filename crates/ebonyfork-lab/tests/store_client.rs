//! The tier's client of the store, through the adapter, against the stand-in: what each call comes to when all is well
//! and under each fault, and what is stored afterwards.

use std::time::Duration;

use bytes::Bytes;
use ebonyfork::store::{
    CallBudget, KeyWatch, StoreClient, StoreEra, StoreError, StorePort, StoreRevision, StoreWrite,
    VALUE_LIMIT,
};
use ebonyfork_platform::PlatformStore;
use ebonyfork_stand_in::store_faults::{RateLimits, StoreFaults, StoreOutage};
use ebonyfork_stand_in::store_server::StoreServer;
use googletest::prelude::*;

const TIMEOUT: Duration = Duration::from_secs(1);
const ABSENT: Option<StoreRevision> = Some(StoreRevision::ABSENT);

async fn start() -> (StoreServer, StoreClient) {
    let listen = "127.0.0.1:0".parse().expect("an address");
    let server = StoreServer::start(listen).await.expect("a free port");
    let client = StoreClient::new(PlatformStore::new(server.address()), TIMEOUT);
    (server, client)
}

/// The kind of an outcome, in one word.
fn kind<T>(outcome: &std::result::Result<T, StoreError>) -> &'static str {
    match outcome {
        Ok(_) => "done",
        Err(StoreError::Conflict { .. }) => "conflict",
        Err(StoreError::Refused { .. }) => "refused",
        Err(StoreError::Unreachable { .. }) => "unreachable",
        Err(StoreError::Lost { .. }) => "lost",
        Err(StoreError::LeaseEnded) => "ended",
        Err(StoreError::HistoryGone) => "gone",
        Err(StoreError::TooLong { .. }) => "too long",
        Err(StoreError::Malformed { .. }) => "malformed",
    }
}

fn revision_of(server: &StoreServer, key: &str) -> StoreRevision {
    let number = server.get(key).map_or(0, |(_value, revision)| revision);
    StoreRevision::new(number).with_era(StoreEra(server.era()))
}

#[tokio::test]
async fn writes_hold_to_their_expectation() {
    /// What a write expects, relative to the key's revision.
    #[derive(Debug, Clone, Copy)]
    enum Expected {
        Any,
        Absent,
        Current,
        Later,
    }
    let (server, client) = start().await;
    // One after another on the same key: expectation, outcome, whether the key has changed.
    let cases = [
        (Expected::Later, "conflict", false),
        (Expected::Absent, "done", true),
        (Expected::Absent, "conflict", false),
        (Expected::Later, "conflict", false),
        (Expected::Current, "done", true),
        (Expected::Any, "done", true),
    ];
    for (number, (expected, outcome, changed)) in cases.into_iter().enumerate() {
        let before = revision_of(&server, "a/b");
        let expected = match expected {
            Expected::Any => None,
            Expected::Absent => ABSENT,
            Expected::Current => Some(before),
            Expected::Later => Some(before.next()),
        };
        let written = client.put("a/b", number.to_string(), expected).await;
        assert_that!(kind(&written), eq(outcome), "{number}");
        let after = revision_of(&server, "a/b");
        assert_that!(after > before, eq(changed), "{number}");
        match written {
            Ok(revision) => assert_that!(revision, eq(after)),
            Err(error) => assert_that!(error, eq(&StoreError::Conflict { current: before })),
        }
    }
    let stale = Some(revision_of(&server, "a/b"));
    server.remove("a/b");
    assert_that!(client.get("a/b").await, ok(none()));
    assert_that!(kind(&client.put("a/b", "x", stale).await), eq("conflict"));
    let again = client.put("a/b", "x", ABSENT).await;
    assert_that!(again.ok(), gt(stale), "revisions are never reused");
}

#[tokio::test]
async fn values_up_to_the_limit_are_kept_and_larger_ones_refused() {
    let (server, client) = start().await;
    let largest = Bytes::from(vec![7; VALUE_LIMIT]);
    let written = client.put("big", largest.clone(), None).await;
    assert_that!(kind(&written), eq("done"));
    let stored = client.get("big").await.expect("a healthy store");
    assert_that!(stored.expect("a value").value == largest, eq(true));
    let larger = Bytes::from(vec![7; VALUE_LIMIT + 1]);
    let calls = server.calls().total();
    let refused = client.put("bigger", larger, None).await;
    assert_that!(kind(&refused), eq("refused"));
    assert_that!(server.get("bigger"), none());
    assert_that!(server.calls().total(), eq(calls), "nothing was sent");
}

/// A fault, the outcome of a write under it, and whether the write took effect.
type FaultCase = (&'static str, fn(&StoreServer), &'static str, bool);

fn with_outage(server: &StoreServer, outage: StoreOutage) {
    server.set_faults(StoreFaults {
        outage: Some(outage),
        ..StoreFaults::default()
    });
}

#[tokio::test]
async fn each_fault_says_truthfully_whether_a_write_may_have_taken_effect() {
    let cases: [FaultCase; 9] = [
        ("none", |_| {}, "done", true),
        ("lost before", |server| server.lose_calls(1), "lost", false),
        ("lost after", |server| server.lose_answers(1), "lost", true),
        (
            "slow",
            |server| {
                server.set_faults(StoreFaults {
                    delay: TIMEOUT / 10,
                    ..StoreFaults::default()
                });
            },
            "done",
            true,
        ),
        (
            "down",
            |server| with_outage(server, StoreOutage::Busy),
            "refused",
            false,
        ),
        (
            "turned away",
            |server| with_outage(server, StoreOutage::Limited),
            "refused",
            false,
        ),
        (
            "broken",
            |server| with_outage(server, StoreOutage::Reset),
            "lost",
            false,
        ),
        (
            "silent",
            |server| with_outage(server, StoreOutage::Silent),
            "lost",
            false,
        ),
        (
            "rate exceeded",
            |server| {
                server.set_rates(RateLimits {
                    reads: 0,
                    writes: 0,
                });
            },
            "refused",
            false,
        ),
    ];
    for (name, fault, outcome, took_effect) in cases {
        let (server, client) = start().await;
        fault(&server);
        let written = client.put("key", "value", ABSENT).await;
        assert_that!(kind(&written), eq(outcome), "{name}");
        assert_that!(server.get("key").is_some(), eq(took_effect), "{name}");
        // Whatever took effect without an answer must be ambiguous to the writer, and a refusal never has.
        if let Err(error) = &written {
            assert_that!(took_effect && !error.is_ambiguous(), eq(false), "{name}");
            assert_that!(took_effect && error.is_refusal(), eq(false), "{name}");
        }
    }
}

#[tokio::test]
async fn a_store_that_is_not_there_is_told_apart_from_one_that_lost_a_call() {
    let (server, client) = start().await;
    drop(server);
    tokio::time::sleep(TIMEOUT / 20).await;
    let written = client.put("key", "value", None).await;
    assert_that!(kind(&written), eq("unreachable"));
}

#[tokio::test]
async fn of_many_swaps_of_one_revision_exactly_one_succeeds() {
    let (server, client) = start().await;
    client
        .put("head", "0", ABSENT)
        .await
        .expect("a healthy store");
    for round in 1..=20_u64 {
        let expected = Some(revision_of(&server, "head"));
        let mut racing = tokio::task::JoinSet::new();
        for number in 0..8 {
            let client = client.clone();
            racing.spawn(async move { client.put("head", number.to_string(), expected).await });
        }
        let outcomes = racing.join_all().await;
        let done = outcomes.iter().filter(|outcome| outcome.is_ok()).count();
        assert_that!(done, eq(1), "round {round}: {outcomes:?}");
        assert_that!(Some(revision_of(&server, "head")), gt(expected));
    }
}

/// The next thing a watch tells, as text.
async fn told(watch: &mut KeyWatch<StoreClient>) -> Option<String> {
    let next = tokio::time::timeout(TIMEOUT * 10, watch.next());
    let item = next.await.expect("something to tell")?;
    Some(String::from_utf8_lossy(&item.value).into_owned())
}

#[tokio::test]
async fn a_watch_tells_the_newest_and_misses_nothing_between_two_calls() {
    let (server, client) = start().await;
    let mut watch = KeyWatch::new(client.clone(), "key");
    assert_that!(told(&mut watch).await, none());
    // A neighbour whose name begins alike is none of its business.
    server.put("key/more", "x");
    for value in ["1", "2", "3"] {
        server.put("key", value);
    }
    assert_that!(told(&mut watch).await, some(eq("3")));
    let waiting = tokio::spawn(async move {
        let seen = told(&mut watch).await;
        (watch, seen)
    });
    client.put("key", "4", None).await.expect("a healthy store");
    let (mut watch, seen) = waiting.await.expect("no panic");
    assert_that!(seen, some(eq("4")));
    server.remove("key");
    assert_that!(told(&mut watch).await, none());
}

#[tokio::test]
async fn a_watch_goes_on_after_each_fault_and_sees_older_data() {
    for outage in [StoreOutage::Busy, StoreOutage::Reset, StoreOutage::Limited] {
        let (server, client) = start().await;
        server.put("key", "1");
        let backup = server.backup();
        let mut watch = KeyWatch::new(client, "key");
        assert_that!(told(&mut watch).await, some(eq("1")));
        server.put("key", "2");
        assert_that!(told(&mut watch).await, some(eq("2")), "{outage:?}");
        // The same revision comes again with other content.
        with_outage(&server, outage);
        server.restore(backup);
        server.put("key", "other");
        let calls = server.calls().total();
        let waiting = tokio::spawn(async move { told(&mut watch).await });
        while server.calls().total() == calls {
            tokio::time::sleep(TIMEOUT / 100).await;
        }
        server.set_faults(StoreFaults::default());
        let seen = waiting.await.expect("no panic");
        assert_that!(seen, some(eq("other")), "{outage:?}");
    }
}

#[tokio::test]
async fn keys_live_with_their_lease() {
    let (server, client) = start().await;
    let ttl = Duration::from_millis(200);
    let lease = client.open_lease(ttl).await.expect("a lease").lease;
    let leased = StoreWrite {
        key: "key".into(),
        value: Bytes::from_static(b"1"),
        expected: None,
        lease: Some(lease),
    };
    assert_that!(kind(&client.write(leased.clone()).await), eq("done"));
    assert_that!(kind(&client.renew_lease(lease).await), eq("done"));
    // The holder pauses; the lease lapses, its key goes, and neither can be brought back.
    while server.get("key").is_some() {
        tokio::time::sleep(ttl / 4).await;
    }
    assert_that!(kind(&client.renew_lease(lease).await), eq("ended"));
    assert_that!(kind(&client.write(leased).await), eq("ended"));
    assert_that!(server.get("key"), none());
}

#[tokio::test]
async fn every_call_is_counted_and_the_budget_stops_a_flood_before_it_leaves() {
    let (server, client) = start().await;
    let client = client.with_budget(CallBudget::new(0.0, 5.0));
    let mut refused = 0;
    for _ in 0..20 {
        refused += u32::from(kind(&client.get("key").await) == "refused");
    }
    assert_that!(refused, eq(15));
    assert_that!(client.calls(), eq(5));
    assert_that!(server.calls().total(), eq(5));
}

#[tokio::test]
async fn listings_show_all_keys_below_a_prefix_over_several_pages() {
    let (server, client) = start().await;
    for number in 0..1_200 {
        server.put(&format!("held/{number:04}"), "1");
    }
    for key in ["held-not", "other"] {
        server.put(key, "1");
    }
    let listed = client.list("held/").await.expect("a healthy store");
    assert_that!(listed, len(eq(1_200)));
    assert_that!(listed.is_sorted_by_key(|item| item.key.clone()), eq(true));
}
