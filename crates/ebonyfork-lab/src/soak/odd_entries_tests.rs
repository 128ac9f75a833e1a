use std::collections::BTreeSet;

use googletest::prelude::*;
use rand::SeedableRng;

use super::*;

fn drawn(seed: u64) -> Vec<OddEntry> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    (0..400)
        .map(|number| draw_entry(&mut rng, seed, number))
        .collect()
}

/// A failure must be found again by its seed.
#[gtest]
fn a_seed_draws_the_same_entries() {
    expect_that!(drawn(3) == drawn(3), eq(true));
    expect_that!(drawn(3) == drawn(4), eq(false));
}

/// The soak once drew neither numbers out of range nor odd addresses, deep nesting or odd keys.
#[gtest]
fn every_kind_of_odd_entry_is_drawn() {
    let entries = drawn(3);
    let has = |part: &str| entries.iter().any(|entry| entry.what.contains(part));
    for number in ODD_NUMBERS {
        expect_that!(has(&format!("={number} (")), eq(true), "{number}");
    }
    for part in [
        "warmupLeftMs=1e22",
        ":65536",
        "nested [",
        "nested {",
        "unreadable",
        "[::1]:9",
    ] {
        expect_that!(has(part), eq(true), "{part}");
    }
    let keys: BTreeSet<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
    expect_that!(keys.contains("servers/"), eq(true));
    expect_that!(keys.iter().any(|key| key.len() > LONG_KEY), eq(true));
    expect_that!(
        keys.iter().any(|key| key.starts_with("ebonyfork/vm/")),
        eq(true)
    );
    let real = "servers/i-3-10";
    expect_that!(keys.range("servers/"..real).count(), gt(50));
    expect_that!(keys.range(real..).count(), gt(50));
}

/// The tier's own entries belong to it.
#[gtest]
fn no_key_that_the_tier_uses_is_drawn() {
    const QUOTA_PARTS: usize = 6;
    let entries = drawn(5);
    for part in 0..QUOTA_PARTS {
        let key = format!("ebonyfork/quota/{part}");
        expect_that!(entries.iter().any(|entry| entry.key == key), eq(false));
    }
    for zone in ZONES {
        let key = format!("ebonyfork/cold/{zone}");
        expect_that!(entries.iter().any(|entry| entry.key == key), eq(false));
    }
}
