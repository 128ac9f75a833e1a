use googletest::prelude::*;

use super::*;
use crate::gateway::fixture::item;
use crate::gateway::mirror::pack::expand;

fn value(lines: u64) -> String {
    let mut text = String::new();
    for line in 0..lines {
        text.push_str("a line that is like others, but for ");
        text.push_str(&(line * line).to_string());
        text.push('\n');
    }
    text
}

fn history(until: u64) -> PatchHistory {
    let mut history = PatchHistory::default();
    for revision in 2..=until {
        let old = item("config", &value(100 + revision), revision - 1);
        let new = item("config", &value(101 + revision), revision);
        history.record(&old, &new);
    }
    history
}

#[gtest]
fn patches_lead_from_an_older_value_to_the_newest() {
    let history = history(5);
    let key = CompactString::from("config");
    let patches = history
        .between(&key, StoreRevision::new(2), StoreRevision::new(5))
        .expect("all patches are kept");
    let mut bytes = Bytes::from(value(103));
    for patch in &patches {
        bytes = expand(&bytes, &patch.bytes, patch.size).expect("the right base");
    }
    expect_that!(patches.len(), eq(3));
    expect_that!(bytes == value(106), eq(true));
    let between = |base, revision| {
        history.between(&key, StoreRevision::new(base), StoreRevision::new(revision))
    };
    expect_that!(between(5, 5), none(), "there is nothing to patch");
    expect_that!(
        between(2, 4),
        none(),
        "only patches to the newest value are kept"
    );
    expect_that!(between(9, 5), none());
}

#[gtest]
fn a_gap_starts_a_new_chain() {
    let mut history = history(5);
    history.record(
        &item("config", &value(200), 7),
        &item("config", &value(201), 8),
    );
    let key = CompactString::from("config");
    expect_that!(
        history.between(&key, StoreRevision::new(4), StoreRevision::new(8)),
        none()
    );
    expect_that!(
        history.between(&key, StoreRevision::new(7), StoreRevision::new(8)),
        some(len(eq(1)))
    );
    history.forget(&key);
    expect_that!(
        history.between(&key, StoreRevision::new(7), StoreRevision::new(8)),
        none()
    );
}

/// A chain of patches longer than the compressed value would waste bandwidth and memory.
#[gtest]
fn patch_chains_are_bounded_by_the_value_length() {
    let history = history(400);
    let key = CompactString::from("config");
    let chain = &history.chains[&key];
    let total: usize = chain.iter().map(|patch| patch.bytes.len()).sum();
    expect_that!(total, le(value(501).len() / PATCH_BUDGET_DIVISOR));
    expect_that!(chain.len(), gt(1));
}
