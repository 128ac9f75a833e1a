use std::time::Duration;

use googletest::prelude::*;

use super::{KeyStore, WriteError, WriteExpectation, is_key};

const ANY: WriteExpectation = WriteExpectation::Any;
const ABSENT: WriteExpectation = WriteExpectation::Absent;

#[googletest::test]
fn versions_are_never_reused() {
    let mut store = KeyStore::default();
    expect_that!(store.put("a", "1".into(), ANY, None), ok(eq(1)));
    expect_that!(
        store.delete("a", WriteExpectation::Version(1)),
        ok(anything())
    );
    expect_that!(store.version("a"), eq(0));
    expect_that!(store.put("a", "1".into(), ABSENT, None), ok(eq(3)));
}

#[googletest::test]
fn a_write_that_expects_another_version_changes_nothing() {
    let cases = [
        (ABSENT, Err(WriteError::Conflict(2))),
        (WriteExpectation::Version(1), Err(WriteError::Conflict(2))),
        (WriteExpectation::Version(2), Ok(3)),
        (ANY, Ok(3)),
    ];
    for (expectation, expected) in cases {
        let mut store = KeyStore::default();
        for value in ["1", "2"] {
            assert_that!(store.put("a", value.into(), ANY, None), ok(anything()));
        }
        expect_that!(store.put("a", "3".into(), expectation, None), eq(expected));
        let kept = store.get("a").map(|stored| stored.value.clone());
        let value = if expected.is_ok() { "3" } else { "2" };
        expect_that!(kept, some(eq(value.as_bytes())));
    }
}

#[googletest::test]
fn keys_die_with_their_lease() {
    let second = Duration::from_secs(1);
    let mut store = KeyStore::default();
    let lease = store.grant(Duration::ZERO, second);
    assert_that!(store.put("a", "1".into(), ANY, Some(lease)), ok(eq(1)));
    assert_that!(store.put("b", "1".into(), ANY, None), ok(eq(1)));
    expect_that!(store.keep(second / 2, lease), eq(true));
    expect_that!(store.expire(second), eq(false));
    expect_that!(store.next_lapse(), some(eq(second * 3 / 2)));
    expect_that!(store.expire(second * 2), eq(true));
    expect_that!(store.list(""), elements_are![eq(&("b", 1))]);
    expect_that!(store.keep(second * 2, lease), eq(false));
    let late = store.put("a", "2".into(), ANY, Some(lease));
    expect_that!(late, err(eq(WriteError::LeaseLapsed)));
}

#[googletest::test]
fn keys_are_paths_of_plain_segments() {
    for key in ["a", "config/head", "index/tender-2026.v1"] {
        expect_that!(is_key(key), eq(true), "{key}");
    }
    for key in ["", "/a", "a//b", "a/", "a b", "ä"] {
        expect_that!(is_key(key), eq(false), "{key}");
    }
}
