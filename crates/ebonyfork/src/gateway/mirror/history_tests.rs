use googletest::prelude::*;

use super::*;
use crate::gateway::fixture::item;
use crate::gateway::mirror::pack::expand;

fn value_with_lines(lines: u64) -> String {
    let mut text = String::new();
    for line in 0..lines {
        text.push_str("a line that is like others, but for ");
        text.push_str(&(line * line).to_string());
        text.push('\n');
    }
    text
}

fn history_until(last_revision: u64) -> PatchHistory {
    let mut history = PatchHistory::default();
    for revision in 2..=last_revision {
        let old_item = item("config", &value_with_lines(100 + revision), revision - 1);
        let new_item = item("config", &value_with_lines(101 + revision), revision);
        history.record(&old_item, &new_item);
    }
    history
}

#[gtest]
fn patches_lead_from_an_older_value_to_the_newest() {
    let history = history_until(5);
    let key = CompactString::from("config");
    let patches = history
        .patches_between(&key, StoreRevision::new(2), StoreRevision::new(5))
        .expect("all patches are kept");
    let mut bytes = Bytes::from(value_with_lines(103));
    for patch in &patches {
        bytes = expand(&bytes, &patch.bytes, patch.size).expect("the right base");
    }
    expect_that!(patches.len(), eq(3));
    expect_that!(bytes == value_with_lines(106), eq(true));
    let patches_from_to = |base, revision| {
        history.patches_between(&key, StoreRevision::new(base), StoreRevision::new(revision))
    };
    expect_that!(patches_from_to(5, 5), none(), "there is nothing to patch");
    expect_that!(
        patches_from_to(2, 4),
        none(),
        "only patches to the newest value are kept"
    );
    expect_that!(patches_from_to(9, 5), none());
}

#[gtest]
fn a_gap_starts_a_new_chain() {
    let mut history = history_until(5);
    history.record(
        &item("config", &value_with_lines(200), 7),
        &item("config", &value_with_lines(201), 8),
    );
    let key = CompactString::from("config");
    expect_that!(
        history.patches_between(&key, StoreRevision::new(4), StoreRevision::new(8)),
        none()
    );
    expect_that!(
        history.patches_between(&key, StoreRevision::new(7), StoreRevision::new(8)),
        some(len(eq(1)))
    );
    history.forget_patches(&key);
    expect_that!(
        history.patches_between(&key, StoreRevision::new(7), StoreRevision::new(8)),
        none()
    );
}

/// A chain of patches longer than the compressed value would waste bandwidth and memory.
#[gtest]
fn patch_chains_are_bounded_by_the_value_length() {
    let history = history_until(400);
    let key = CompactString::from("config");
    let chain = &history.chains[&key];
    let total_bytes: usize = chain.iter().map(|patch| patch.bytes.len()).sum();
    expect_that!(
        total_bytes,
        le(value_with_lines(501).len() / PATCH_BUDGET_DIVISOR)
    );
    expect_that!(chain.len(), gt(1));
}
