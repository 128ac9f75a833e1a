use bytes::Bytes;
use googletest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::*;

fn item(key: &str, revision: u64) -> StoreItem {
    StoreItem {
        key: key.into(),
        value: Bytes::from(revision.to_string()),
        revision: StoreRevision::new(revision),
    }
}

fn page(items: Vec<StoreItem>, has_more: bool, revision: u64) -> StorePage {
    StorePage {
        items,
        has_more,
        revision: StoreRevision::new(revision),
    }
}

fn watch(events: Vec<StoreEvent>, revision: u64) -> StoreWatch {
    StoreWatch {
        events,
        revision: StoreRevision::new(revision),
    }
}

fn removed_event(key: &str, revision: u64) -> StoreEvent {
    StoreEvent::Removed {
        key: key.into(),
        revision: StoreRevision::new(revision),
    }
}

fn following_mirror(items: Vec<StoreItem>, revision: u64) -> MirrorState {
    let mut mirror = MirrorState::new();
    let change = mirror.apply_page(page(items, false, revision));
    expect_that!(change.is_some(), eq(true));
    mirror
}

#[gtest]
fn pages_are_combined_and_watched_from_the_first_page_revision() {
    let mut mirror = MirrorState::new();
    expect_that!(
        mirror.apply_page(page(vec![item("a", 3)], true, 10)),
        none()
    );
    let after = Some(CompactString::new("a"));
    expect_that!(mirror.next_step(), eq(&MirrorStep::Read { after }));
    let change = mirror.apply_page(page(vec![item("b", 12)], false, 13));
    let full_range = MirrorChange::Replaced(vec![item("a", 3), item("b", 12)]);
    expect_that!(change, some(eq(&full_range)));
    let after = StoreRevision::new(10);
    expect_that!(mirror.next_step(), eq(&MirrorStep::Watch { after }));
    // The watch returns this change although the second page already contained it: it comes after the first page's
    // revision, and a process that gets the changes from the reader may lack it.
    let repeated_event = StoreEvent::Written(item("b", 12));
    let change = mirror.apply_watch(watch(vec![repeated_event.clone()], 13));
    expect_that!(
        change,
        some(eq(&MirrorChange::Changed(vec![repeated_event])))
    );
}

#[gtest]
fn only_the_last_of_several_changes_of_a_key_is_returned() {
    let mut mirror = following_mirror(vec![item("a", 1)], 1);
    let events = vec![
        StoreEvent::Written(item("b", 2)),
        removed_event("a", 3),
        removed_event("b", 4),
        StoreEvent::Written(item("a", 5)),
    ];
    let change = mirror.apply_watch(watch(events, 5));
    // The removal of `b` is returned although the mirror never saw `b`: the reader may know the key from another VM.
    let expected_events = vec![removed_event("b", 4), StoreEvent::Written(item("a", 5))];
    expect_that!(change, some(eq(&MirrorChange::Changed(expected_events))));
}

fn revision_in_era(number: u64, era: u64) -> StoreRevision {
    StoreRevision::new(number).with_era(StoreEra(era))
}

/// Guards against mixing two histories: the new one may already have reached the requested revision, and the store then
/// answers as if the history had continued.
#[gtest]
fn changes_of_a_later_era_cause_a_full_read() {
    let mut mirror = following_mirror(vec![item("a", 1)], 5);
    let watch_result = watch(vec![StoreEvent::Written(item("b", 8))], 8);
    expect_that!(
        mirror.apply_watch(watch_result.with_era(StoreEra(1))),
        none()
    );
    expect_that!(mirror.next_step(), eq(&MirrorStep::Read { after: None }));
    let full_range = page(vec![item("a", 1)], false, 9).with_era(StoreEra(1));
    expect_that!(mirror.apply_page(full_range), some(anything()));
    let after = revision_in_era(9, 1);
    expect_that!(mirror.next_step(), eq(&MirrorStep::Watch { after }));
}

#[gtest]
fn pages_of_two_eras_are_not_combined() {
    let mut mirror = MirrorState::new();
    let first_page = page(vec![item("a", 3)], true, 10).with_era(StoreEra(1));
    let second_page = page(vec![item("b", 4)], false, 10).with_era(StoreEra(2));
    expect_that!(mirror.apply_page(first_page), none());
    expect_that!(mirror.apply_page(second_page.clone()), none());
    expect_that!(mirror.next_step(), eq(&MirrorStep::Read { after: None }));
    expect_that!(mirror.apply_page(second_page), some(anything()));
}

#[gtest]
fn a_mirror_does_not_resume_at_a_revision_of_an_ended_history() {
    let mut mirror = following_mirror(vec![item("a", 1)], 5);
    mirror.apply_watch(watch(vec![], 4).with_era(StoreEra(2)));
    mirror.resume_at(revision_in_era(90, 1));
    expect_that!(mirror.next_step(), eq(&MirrorStep::Read { after: None }));
    let after = revision_in_era(3, 3);
    mirror.resume_at(after);
    expect_that!(mirror.next_step(), eq(&MirrorStep::Watch { after }));
}

#[gtest]
fn answers_of_a_lower_era_count_as_answers_of_the_highest_era() {
    let mut mirror = MirrorState::new();
    mirror.apply_page(page(vec![], false, 5).with_era(StoreEra(2)));
    for stated_era in [0, 1] {
        let watch_result = watch(vec![StoreEvent::Written(item("a", 6))], 6);
        let change = mirror.apply_watch(watch_result.with_era(StoreEra(stated_era)));
        let expected_event = StoreEvent::Written(item("a", 6)).with_era(StoreEra(2));
        expect_that!(
            change,
            some(eq(&MirrorChange::Changed(vec![expected_event])))
        );
        let after = revision_in_era(6, 2);
        expect_that!(mirror.next_step(), eq(&MirrorStep::Watch { after }));
    }
}

#[gtest]
fn a_lost_history_causes_an_immediate_full_read() {
    let mut mirror = following_mirror(vec![item("a", 1)], 1);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    mirror.apply_failure(&StoreError::HistoryGone, &mut rng);
    expect_that!(mirror.next_step(), eq(&MirrorStep::Read { after: None }));
    expect_that!(mirror.is_following(), eq(false));
}

/// Changes that don't fit into an answer were asked for again and again, together with more and more later ones, until the
/// copy was too old to be watched.
#[gtest]
fn a_watch_that_returns_too_much_causes_an_immediate_full_read() {
    let mut mirror = following_mirror(vec![item("a", 1)], 1);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let too_long = StoreError::TooLong { limit: 8 };
    mirror.apply_failure(&too_long, &mut rng);
    expect_that!(mirror.next_step(), eq(&MirrorStep::Read { after: None }));
    // A page that is too long doesn't become shorter at once.
    mirror.apply_failure(&too_long, &mut rng);
    expect_that!(
        mirror.next_step(),
        matches_pattern!(MirrorStep::Pause(anything()))
    );
}

#[gtest]
fn a_failed_watch_resumes_at_its_revision_after_a_pause() {
    let mut mirror = following_mirror(vec![item("a", 1)], 7);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let lost_error = StoreError::Lost {
        reason: "silent".into(),
    };
    let mut pauses = Vec::new();
    for _ in 0..8 {
        mirror.apply_failure(&lost_error, &mut rng);
        let MirrorStep::Pause(pause) = mirror.next_step() else {
            panic!("expected a pause");
        };
        pauses.push(pause);
        let after = StoreRevision::new(7);
        expect_that!(mirror.next_step(), eq(&MirrorStep::Watch { after }));
    }
    expect_that!(pauses[0], le(FIRST_RETRY_WAIT));
    expect_that!(pauses[7], all![ge(MAX_RETRY_WAIT / 2), le(MAX_RETRY_WAIT)]);
}

#[gtest]
fn an_interrupted_read_restarts_at_the_first_page() {
    let mut mirror = MirrorState::new();
    mirror.apply_page(page(vec![item("a", 1)], true, 1));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let refused_error = StoreError::Refused {
        reason: "503".into(),
    };
    mirror.apply_failure(&refused_error, &mut rng);
    expect_that!(matches!(mirror.next_step(), MirrorStep::Pause(_)), eq(true));
    expect_that!(mirror.next_step(), eq(&MirrorStep::Read { after: None }));
}

fn read_stale_pages(mirror: &mut MirrorState) {
    let first = mirror.apply_page(page(vec![item("a", 3), item("b", 6)], true, 8));
    expect_that!(first, none());
    // The second page is older than the first one.
    expect_that!(
        mirror.apply_page(page(vec![item("c", 2)], false, 5)),
        none()
    );
}

#[gtest]
fn old_pages_are_returned_with_the_changes_since_the_oldest() {
    let mut mirror = MirrorState::new().with_stale_pages();
    expect_that!(mirror.reads_stale_pages(), eq(true));
    read_stale_pages(&mut mirror);
    expect_that!(mirror.is_merging(), eq(true));
    let after = StoreRevision::new(5);
    expect_that!(mirror.next_step(), eq(&MirrorStep::Watch { after }));
    let events = vec![
        StoreEvent::Written(item("b", 6)),
        removed_event("a", 7),
        removed_event("c", 9),
        StoreEvent::Written(item("d", 10)),
    ];
    let change = mirror.apply_watch(watch(events, 12));
    let content = vec![item("b", 6), item("d", 10)];
    expect_that!(change, some(eq(&MirrorChange::Replaced(content))));
    let after = StoreRevision::new(12);
    expect_that!(mirror.next_step(), eq(&MirrorStep::Watch { after }));
}

/// Old pages whose changes the store no longer holds would be of no use a second time either.
#[gtest]
fn without_history_the_latest_pages_are_read() {
    let mut mirror = MirrorState::new().with_stale_pages();
    read_stale_pages(&mut mirror);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    mirror.apply_failure(&StoreError::HistoryGone, &mut rng);
    expect_that!(mirror.reads_stale_pages(), eq(false));
    let change = mirror.apply_page(page(vec![item("a", 3)], false, 20));
    expect_that!(
        change,
        some(eq(&MirrorChange::Replaced(vec![item("a", 3)])))
    );
    mirror.reread();
    expect_that!(mirror.reads_stale_pages(), eq(true));
}

/// Old pages of a store that was restored may be from before, whichever era they state.
#[gtest]
fn in_a_restored_store_the_latest_pages_are_read() {
    let in_era = |era| page(vec![item("a", 3)], false, 8).with_era(StoreEra(era));
    // A process that starts: the era of its first page shows that the store was restored.
    let mut mirror = MirrorState::new().with_stale_pages();
    expect_that!(mirror.apply_page(in_era(1)), none());
    expect_that!(mirror.next_step(), eq(&MirrorStep::Read { after: None }));
    expect_that!(mirror.reads_stale_pages(), eq(false));
    expect_that!(mirror.apply_page(in_era(1)).is_some(), eq(true));
    // A process that is merging: the watch shows it.
    let mut mirror = MirrorState::new().with_stale_pages();
    expect_that!(
        mirror.apply_page(page(vec![item("a", 3)], false, 8)),
        none()
    );
    let later_era = watch(Vec::new(), 12).with_era(StoreEra(1));
    expect_that!(mirror.apply_watch(later_era), none());
    expect_that!(mirror.next_step(), eq(&MirrorStep::Read { after: None }));
    expect_that!(mirror.reads_stale_pages(), eq(false));
}
