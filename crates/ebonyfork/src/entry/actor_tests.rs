//! Tests of the actor with a fake link, in virtual time.

use std::sync::Mutex;

use googletest::prelude::*;

use super::*;
use crate::entry::fixture::{EntryFixture, ms, request, rows_verdict, vm};
use crate::relay::ShardOutcome;
use crate::views::{ViewWriters, view_channels};

type SentMessages = Arc<Mutex<Vec<(VmAddress, PeerMessage)>>>;

/// An entry whose messages are recorded instead of being sent.
struct HandleFixture {
    handle: EntryHandle,
    sent_messages: SentMessages,
    /// Whether the link refuses all messages.
    refuses_messages: Arc<std::sync::atomic::AtomicBool>,
    _writers: ViewWriters,
}

fn start_entry(shards: usize) -> HandleFixture {
    let (writers, views) = view_channels();
    let fixture = EntryFixture::new(shards, |_class| {});
    writers.topology.send_replace(fixture.views.topology);
    writers.config.send_replace(fixture.views.config);
    writers.catalog.send_replace(fixture.views.catalog);
    let sent_messages = SentMessages::default();
    let refuses_messages = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let (message_log, link_refuses) = (Arc::clone(&sent_messages), Arc::clone(&refuses_messages));
    let session = SessionId::new(vm(1), crate::ident::IncarnationNumber(7));
    let settings = EntrySettings::new(session, "zone-0".parse().unwrap(), views)
        .with_quarantine(|fingerprint| fingerprint.0 == 0);
    let handle = EntryHandle::start(settings, move |vm, message| {
        if link_refuses.load(Ordering::Relaxed) {
            let peer = vm.to_string();
            return Err(LinkError::Closed { peer });
        }
        message_log.lock().unwrap().push((vm, message));
        Ok(())
    });
    HandleFixture {
        handle,
        sent_messages,
        refuses_messages,
        _writers: writers,
    }
}

impl HandleFixture {
    fn take_submit_batches(&self) -> Vec<(VmAddress, SubmitBatch)> {
        let mut submit_batches = Vec::new();
        for (vm, message) in self.sent_messages.lock().unwrap().drain(..) {
            if let PeerMessage::Submit(batch) = message {
                submit_batches.push((vm, batch));
            }
        }
        submit_batches
    }
}

impl HandleFixture {
    /// Answers every attempt sent so far and returns their number.
    async fn answer_sent_attempts(&self) -> usize {
        let mut answered_attempts = 0;
        for (vm, batch) in self.take_submit_batches() {
            answered_attempts += batch.targets.len();
            let outcomes = batch.targets.iter().map(|target| ShardOutcome {
                query: batch.query,
                attempt: target.attempt,
                upstream: target.upstream,
                verdict: rows_verdict(17),
                waited_us: 0,
                served_us: 500,
            });
            let batch = OutcomeBatch {
                outcomes: outcomes.collect(),
                loads: SmallVec::new(),
            };
            let session = SessionId::new(vm, crate::ident::IncarnationNumber(7));
            self.handle.handle_outcomes(session, batch).await;
        }
        tokio::time::sleep(ms(1)).await;
        answered_attempts
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_query_is_answered_through_the_handle() {
    let fixture = start_entry(4);
    let query_task = tokio::spawn({
        let handle = fixture.handle.clone();
        async move { handle.run(request()).await }
    });
    tokio::time::sleep(ms(1)).await;
    expect_that!(fixture.handle.queries_in_flight(), eq(1));
    // The first round answers the canary, the second the attempts at the other three shards.
    for sent_count in [1, 3] {
        expect_that!(fixture.answer_sent_attempts().await, eq(sent_count));
    }
    let answer = query_task.await.unwrap().unwrap();
    expect_that!(answer.coverage.answered, eq(4));
    let mut registry = Registry::default();
    fixture.handle.register(&mut registry);
    let mut text = String::new();
    prometheus_client::encoding::text::encode(&mut text, &registry).unwrap();
    expect_that!(
        text,
        contains_substring(r#"entry_attempts_total{class="search",purpose="first"} 4"#)
    );
    expect_that!(
        text,
        contains_substring(r#"entry_queries_total{class="search",outcome="whole"} 1"#)
    );
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_disconnected_caller_has_its_attempts_cancelled() {
    let fixture = start_entry(4);
    let query_task = tokio::spawn({
        let handle = fixture.handle.clone();
        async move { handle.run(request()).await }
    });
    tokio::time::sleep(ms(1)).await;
    expect_that!(fixture.answer_sent_attempts().await, eq(1));
    query_task.abort();
    tokio::time::sleep(ms(100)).await;
    expect_that!(fixture.handle.queries_in_flight(), eq(0));
    let sent_messages = fixture.sent_messages.lock().unwrap();
    let cancel_batches = sent_messages.iter().map(|(_, message)| match message {
        PeerMessage::Cancel(batch) => batch.attempts.len(),
        _ => 0,
    });
    expect_that!(cancel_batches.sum::<usize>(), ge(3));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn attempts_that_no_link_accepts_are_not_run() {
    let fixture = start_entry(4);
    fixture.refuses_messages.store(true, Ordering::Relaxed);
    let refusal = fixture.handle.run(request()).await.unwrap_err();
    expect_that!(refusal.ran, eq(RunState::NotRun));
    expect_that!(refusal.code, eq(RefusalCode::NoUpstream));
    expect_that!(refusal.retry_after, some(gt(ms(0))));
}
