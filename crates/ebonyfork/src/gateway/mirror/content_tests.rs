use googletest::prelude::*;

use super::*;
use crate::gateway::fixture::item;
use crate::store::StoreEra;

fn routes_text(count: u64) -> String {
    let mut text = String::new();
    for number in 0..count {
        let route = format!(
            "{{\"prefix\":\"/{:x}/\",\"service\":\"s\"}}\n",
            number * 7_919
        );
        text.push_str(&route);
    }
    text
}

fn config(count: u64, revision: u64) -> StoreItem {
    item("config", &routes_text(count), revision)
}

fn apply(copy: &mut StoreCopy, items: &[StoreItem], base_revision: u64, revision: u64) {
    let events = items.iter().cloned().map(StoreEvent::Written).collect();
    let change = CopyChange::Changes {
        events,
        base_revision: StoreRevision::new(base_revision),
        revision: StoreRevision::new(revision),
    };
    copy.apply(change);
}

fn copy_of(items: &[StoreItem], revision: u64) -> StoreCopy {
    let mut copy = StoreCopy::default();
    copy.keep_patches(true);
    copy.apply(CopyChange::Full {
        items: items.to_vec(),
        revision: StoreRevision::new(revision),
    });
    copy
}

/// Sends the changes that the copy `follower` lacks from the copy `source`; returns the size of the encoded content.
fn send(source: &StoreCopy, follower: &mut StoreCopy) -> usize {
    let content =
        encode_content(source, follower.complete_revision(), &held_values(follower)).unwrap();
    let change = decode_content(follower, &content).unwrap();
    let outcome = follower.apply(change);
    expect_that!(outcome.result, ok(eq(())));
    content.len()
}

fn items(copy: &StoreCopy) -> Vec<&StoreItem> {
    copy.items().collect()
}

/// A follower is sent a patch of the configuration and not all of it: 2,850 routes are 0.49 MB for each follower.
#[gtest]
fn adding_one_route_sends_a_small_patch() {
    let mut source = copy_of(&[config(2_850, 3), item("upstream/a", "s", 4)], 10);
    let mut follower = copy_of(&[], 0);
    let full_size = send(&source, &mut follower);
    apply(&mut source, &[config(2_851, 11)], 10, 11);
    apply(
        &mut source,
        &[config(2_852, 12), item("upstream/b", "s", 13)],
        11,
        13,
    );
    let change_size = send(&source, &mut follower);
    expect_that!(items(&follower), eq(&items(&source)));
    expect_that!(full_size, lt(routes_text(2_850).len() / 4));
    expect_that!(change_size, lt(1_000));
}

/// Two VMs hold different values at the same revision number of different eras, so neither a patch nor
/// `SentValue::Held` may be sent.
#[gtest]
fn a_value_of_another_era_is_not_treated_as_held() {
    let later_era = StoreEra(1);
    let mut source = copy_of(&[config(2_850, 3)], 10);
    let mut follower = copy_of(&[config(2_850, 3)], 10);
    source.apply(CopyChange::Full {
        items: vec![config(2_800, 3).with_era(later_era)],
        revision: StoreRevision::new(3).with_era(later_era),
    });
    send(&source, &mut follower);
    expect_that!(items(&follower), eq(&items(&source)));
    expect_that!(follower.complete_revision(), eq(source.complete_revision()));
}

/// After the store dropped its log of changes, a source reads everything again. A follower that lacks some of the changes
/// before that read is sent a full copy. Long values that it states as held are left out of it.
#[gtest]
fn a_held_value_is_not_sent_again() {
    let mut source = copy_of(&[config(2_850, 3)], 10);
    let mut follower = copy_of(&[], 0);
    send(&source, &mut follower);
    follower.apply(CopyChange::Changes {
        events: Vec::new(),
        base_revision: StoreRevision::new(10),
        revision: StoreRevision::new(11),
    });
    source.apply(CopyChange::Full {
        items: vec![config(2_850, 3), item("upstream/b", "s", 12)],
        revision: StoreRevision::new(20),
    });
    expect_that!(source.changes_since(follower.complete_revision()), none());
    expect_that!(send(&source, &mut follower), lt(200));
    expect_that!(items(&follower), eq(&items(&source)));
}

#[gtest]
fn items_read_ahead_in_the_meantime_are_kept() {
    let mut source = copy_of(&[config(200, 3)], 10);
    let mut follower = copy_of(&[], 0);
    send(&source, &mut follower);
    apply(&mut source, &[config(201, 12)], 10, 12);
    let content = encode_content(
        &source,
        follower.complete_revision(),
        &held_values(&follower),
    )
    .unwrap();
    apply(&mut follower, &[config(202, 15)], 14, 15);
    let change = decode_content(&follower, &content).unwrap();
    follower.apply(change);
    expect_that!(items(&follower), elements_are![eq(&&config(202, 15))]);
    expect_that!(follower.complete_revision(), eq(StoreRevision::new(12)));
}

#[gtest]
fn a_patch_on_a_missing_base_is_an_error() {
    let mut source = copy_of(&[config(200, 3)], 10);
    apply(&mut source, &[config(201, 12)], 10, 12);
    let stated_values = [HeldValue::new("config", StoreRevision::new(3))];
    let content = encode_content(&source, StoreRevision::new(10), &stated_values).unwrap();
    let other_copy = copy_of(&[config(200, 2)], 10);
    expect_that!(
        decode_content(&other_copy, &content),
        err(pat!(ContentError::MissingBase { .. }))
    );
    expect_that!(
        decode_content(&other_copy, b"none"),
        err(pat!(ContentError::Malformed { .. }))
    );
}

/// A VM of an older version holds the configuration with credentials as text, under the same key and revision. A patch on
/// the replaced form doesn't apply to that, and the VM would give up its source.
#[gtest]
fn a_value_that_an_older_version_holds_is_sent_whole() {
    let mut source = copy_of(&[config(200, 3)], 10);
    apply(&mut source, &[config(201, 12)], 10, 12);
    let stated_by_older = [HeldValue {
        key: "config".into(),
        revision: StoreRevision::new(3),
    }];
    let content = encode_content(&source, StoreRevision::new(10), &stated_by_older).unwrap();
    let other_form = copy_of(&[config(150, 3)], 10);
    let change = decode_content(&other_form, &content).unwrap();
    let CopyChange::Changes { events, .. } = change else {
        panic!("expected changes");
    };
    expect_that!(events, eq(&[StoreEvent::Written(config(201, 12))]));
    // An older version looks for the bare key and finds no held value, so it sends the whole value as well.
    let stated = held_values(&other_form);
    expect_that!(stated.iter().any(|value| value.key == "config"), eq(false));
}
