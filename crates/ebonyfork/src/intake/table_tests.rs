use googletest::prelude::*;

use super::*;

const SECOND: Duration = Duration::from_secs(1);

/// Budget for two connections of 1,000 bytes, 64 kB of bodies and 64 kB of answers.
fn table() -> IntakeTable {
    IntakeTable::new(IntakeBudget {
        connections: 2,
        connection_bytes: 2_000,
        request_bytes: 64_000,
        answer_bytes: 64_000,
        control_connections: 1,
        peer_connections: 1,
        peer_bytes: 1_000,
    })
}

/// Starts to receive a body on a new connection.
async fn admit_body(table: &IntakeTable) -> IntakeSlot {
    let slot = table.admit(1_000).await.expect("room");
    slot.enter_phase(IntakePhase::Body, now());
    slot
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn the_longest_idle_connection_gives_way_to_a_new_one() {
    let table = table();
    let first = table.admit(1_000).await.expect("room");
    tokio::time::advance(SECOND).await;
    let _second = table.admit(1_000).await.expect("room");
    tokio::time::advance(SECOND).await;
    let close = async {
        first.close_requested().await;
        drop(first);
    };
    let (third, ()) = tokio::join!(table.admit(1_000), close);
    expect_that!(third, some(anything()));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_connection_with_a_complete_request_stays() {
    let table = table();
    let mut slots = Vec::new();
    for _ in 0..2 {
        let slot = table.admit(1_000).await.expect("room");
        slot.enter_phase(IntakePhase::Running, now());
        slots.push(slot);
    }
    tokio::time::advance(SECOND).await;
    expect_that!(table.admit(1_000).await.is_none(), eq(true));
    // A request that becomes complete after its connection was asked to close is served.
    slots[0].enter_phase(IntakePhase::Idle, now());
    tokio::time::advance(SECOND).await;
    let serve = async {
        slots[0].enter_phase(IntakePhase::Running, now());
        slots[0].close_requested().await;
    };
    let admitted = tokio::select! {
        () = serve => true,
        admitted = table.admit(1_000) => admitted.is_some(),
    };
    expect_that!(admitted, eq(false));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_body_is_paid_for_before_it_grows_and_returned_when_it_is_freed() {
    let table = table();
    let slot = admit_body(&table).await;
    slot.push_body(&vec![1; 3_000], 10_000, now())
        .expect("room");
    expect_that!(table.metrics().request_bytes.get(), eq(3_000));
    slot.push_body(&vec![1; 3_000], 10_000, now())
        .expect("room");
    expect_that!(table.metrics().request_bytes.get(), eq(6_000));
    slot.push_body(&vec![1; 4_000], 10_000, now())
        .expect("room");
    let body = slot.take_body(now()).expect("a body");
    let clone = body.clone();
    drop(body);
    slot.end_body();
    expect_that!(table.metrics().request_bytes.get(), eq(10_000));
    expect_that!(clone.len(), eq(10_000));
    drop(clone);
    expect_that!(table.metrics().request_bytes.get(), eq(0));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_body_that_stalls_gives_way_and_is_freed_at_once() {
    let table = table();
    let stalled = admit_body(&table).await;
    stalled
        .push_body(&vec![1; 40_000], 40_001, now())
        .expect("room");
    tokio::time::advance(SECOND).await;
    let slot = admit_body(&table).await;
    slot.push_body(&vec![1; 20_000], 20_000, now())
        .expect("room");
    stalled.body_dropped().await;
    expect_that!(table.metrics().request_bytes.get(), eq(20_000));
    expect_that!(
        stalled.push_body(b"1", 40_001, now()),
        err(eq(IntakeRefusal::Full))
    );
    expect_that!(stalled.take_body(now()), err(eq(&IntakeRefusal::Full)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn bodies_that_wait_to_be_sent_keep_their_memory() {
    let table = table();
    let waiting = admit_body(&table).await;
    waiting
        .push_body(&vec![1; 40_000], 40_000, now())
        .expect("room");
    let body = waiting.take_body(now()).expect("a body");
    tokio::time::advance(SECOND).await;
    let slot = admit_body(&table).await;
    let refusal = slot.push_body(&vec![1; 30_000], 30_000, now());
    expect_that!(refusal, err(eq(IntakeRefusal::Full)));
    // A short body finds room beside it.
    slot.push_body(&vec![1; 10_000], 10_000, now())
        .expect("room");
    expect_that!(body.len(), eq(40_000));
    let refusal = slot.push_body(&vec![1; 60_000], 70_000, now());
    expect_that!(refusal, err(eq(IntakeRefusal::TooLarge)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_unread_answer_gives_way() {
    let table = table();
    let unread = table.admit(1_000).await.expect("room");
    unread.hold_answer(60_000, now());
    tokio::time::advance(SECOND).await;
    let slot = table.admit(1_000).await.expect("room");
    slot.hold_answer(20_000, now());
    unread.close_requested().await;
    drop(unread);
    expect_that!(table.metrics().answer_bytes.get(), eq(20_000));
    slot.finish_answer(now());
    expect_that!(table.metrics().answer_bytes.get(), eq(0));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_body_that_stalls_gives_way_to_the_work_on_a_request() {
    let table = table();
    let stalled = admit_body(&table).await;
    stalled
        .push_body(&vec![1; 40_000], 40_001, now())
        .expect("room");
    tokio::time::advance(SECOND).await;
    let work = table.take_work(30_000).expect("room");
    stalled.body_dropped().await;
    expect_that!(table.take_work(30_000).is_none(), eq(true));
    drop(work);
    expect_that!(table.metrics().request_bytes.get(), eq(0));
}

/// Guards against dropping a short body that arrives slowly, which frees next to nothing, in favour of large ones.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_short_body_does_not_give_way_before_a_large_one() {
    let table = table();
    let short = admit_body(&table).await;
    short.push_body(&[1; 100], 200, now()).expect("room");
    tokio::time::advance(SECOND * 60).await;
    let large = admit_body(&table).await;
    large
        .push_body(&vec![1; 40_000], 40_001, now())
        .expect("room");
    tokio::time::advance(SECOND).await;
    let _work = table.take_work(30_000).expect("room");
    large.body_dropped().await;
    short.push_body(&[1; 100], 200, now()).expect("room");
}

/// Guards against refusing for good what is within the limits but takes more than the budget has.
#[gtest]
#[tokio::test(start_paused = true)]
async fn work_beyond_the_budget_is_done_alone() {
    let table = table();
    let work = table.take_work(1_000_000).expect("room");
    expect_that!(table.take_work(20_000).is_none(), eq(true));
    drop(work);
    expect_that!(table.take_work(20_000).is_some(), eq(true));
}
