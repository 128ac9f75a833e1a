use googletest::prelude::*;

use super::*;
use crate::declaration::DeclaredFile;
use crate::revision::LaggingVm;

const OWN_CHANGE: ChangeId = ChangeId([9; 16]);
const OTHER_CHANGE: ChangeId = ChangeId([7; 16]);
const BASE_CHANGE: ChangeId = ChangeId([1; 16]);

fn head(revision: u64, change: ChangeId) -> HeadRecord {
    HeadRecord {
        revision: RevisionNumber(revision),
        change,
    }
}

fn record(revision: u64, change: ChangeId, parent: Option<ChangeId>) -> ChangeRecord {
    ChangeRecord {
        lineage: parent.into_iter().collect(),
        ..ChangeRecord::placeholder(head(revision, change))
    }
}

fn new_run() -> PublishRun {
    let text = "[service s]\nconnections = 25\n";
    PublishRun::new(PublishRequest {
        parts: PartSet::new(&[DeclaredFile::new("a.ini", text)]).expect("no findings"),
        change: OWN_CHANGE,
        author: "kim".into(),
        note: "".into(),
        time_ms: 0,
        base: ExpectedBase::Any,
    })
}

/// A store that holds one base change and answers swaps and later reads as a test case specifies.
struct ScriptedStore {
    /// Answers to the swaps, in order; the last one is repeated.
    swap_answers: Vec<std::result::Result<StoreRevision, StoreError>>,
    /// The head that reads return after the first swap.
    head_after_swap: StoredHead,
    records: Vec<ChangeRecord>,
    evidence: Vec<HeldEvidence>,
    swaps_received: usize,
    records_written: usize,
}

impl ScriptedStore {
    fn reply_to(&mut self, action: PublishAction) -> PublishReply {
        match action {
            PublishAction::ReadHead => PublishReply::Head(Ok(if self.swaps_received == 0 {
                Some((StoreRevision::new(1), head(1, BASE_CHANGE)))
            } else {
                self.head_after_swap
            })),
            PublishAction::ReadEvidence => PublishReply::Evidence(Ok(self.evidence.clone())),
            PublishAction::ReadChange(change) => {
                let mut records = self.records.iter();
                PublishReply::Change(Ok(records.find(|record| record.change == change).cloned()))
            }
            PublishAction::PutPart(_) => PublishReply::Written(Ok(())),
            PublishAction::PutChange(change) => {
                self.records_written += 1;
                if self.records_written == 1 {
                    self.records.push(change);
                }
                PublishReply::Written(Ok(()))
            }
            PublishAction::MoveHead(_, _) => {
                let last_index = self.swap_answers.len() - 1;
                let swap_answer = self.swap_answers[self.swaps_received.min(last_index)].clone();
                self.swaps_received += 1;
                PublishReply::Moved(swap_answer)
            }
            PublishAction::Pause | PublishAction::Finish(_) => PublishReply::Paused,
        }
    }
}

fn run_to_outcome(store: &mut ScriptedStore) -> PublishOutcome {
    let mut run = new_run();
    let mut action = run.start();
    loop {
        if let PublishAction::Finish(outcome) = action {
            return outcome;
        }
        let reply = store.reply_to(action);
        action = run.apply_reply(reply);
    }
}

fn outcome_name(outcome: &PublishOutcome) -> &'static str {
    match outcome {
        PublishOutcome::Published {
            followed_by: None, ..
        } => "published",
        PublishOutcome::Published { .. } => "published, followed",
        PublishOutcome::Unchanged { .. } => "unchanged",
        PublishOutcome::Conflict { .. } => "conflict",
        PublishOutcome::NotPublished { .. } => "not published",
        PublishOutcome::Unknown { .. } => "unknown",
        PublishOutcome::Invalid { .. } => "findings",
    }
}

fn lost_answer() -> std::result::Result<StoreRevision, StoreError> {
    Err(StoreError::Lost { reason: "".into() })
}

fn refused_answer() -> std::result::Result<StoreRevision, StoreError> {
    Err(StoreError::Refused { reason: "".into() })
}

fn conflict_answer() -> std::result::Result<StoreRevision, StoreError> {
    let current = StoreRevision::new(2);
    Err(StoreError::Conflict { current })
}

#[gtest]
fn each_answer_to_the_swap_leads_to_the_expected_outcome() {
    let unmoved_head = Some((StoreRevision::new(1), head(1, BASE_CHANGE)));
    let own_change_head = Some((StoreRevision::new(2), head(2, OWN_CHANGE)));
    let other_change_head = Some((StoreRevision::new(2), head(2, OTHER_CHANGE)));
    let later_head = Some((StoreRevision::new(3), head(3, OTHER_CHANGE)));
    let older_head = Some((StoreRevision::new(7), head(0, OTHER_CHANGE)));
    let other_record_on_base = record(2, OTHER_CHANGE, Some(BASE_CHANGE));
    let other_record_on_own = record(3, OTHER_CHANGE, Some(OWN_CHANGE));
    // Each case: answers to the swaps, the head afterwards, the record of the other change, the expected outcome, and
    // the number of swaps sent.
    let cases = [
        (
            vec![Ok(StoreRevision::new(2))],
            own_change_head,
            None,
            "published",
            1,
        ),
        (vec![lost_answer()], own_change_head, None, "published", 1),
        (
            vec![lost_answer()],
            later_head,
            Some(other_record_on_own),
            "published, followed",
            1,
        ),
        (
            vec![lost_answer()],
            other_change_head,
            Some(other_record_on_base.clone()),
            "conflict",
            1,
        ),
        (
            vec![conflict_answer()],
            other_change_head,
            Some(other_record_on_base),
            "conflict",
            1,
        ),
        (
            vec![lost_answer(), Ok(StoreRevision::new(2))],
            unmoved_head,
            None,
            "published",
            2,
        ),
        (
            vec![lost_answer(), conflict_answer()],
            own_change_head,
            None,
            "published",
            1,
        ),
        (vec![lost_answer()], unmoved_head, None, "unknown", 6),
        (vec![lost_answer()], older_head, None, "unknown", 1),
        (vec![lost_answer()], other_change_head, None, "unknown", 1),
        (
            vec![refused_answer()],
            unmoved_head,
            None,
            "not published",
            6,
        ),
        (
            vec![conflict_answer()],
            older_head,
            None,
            "not published",
            1,
        ),
    ];
    for (case, (swap_answers, head_after_swap, other_record, expected_outcome, swaps_received)) in
        cases.into_iter().enumerate()
    {
        let mut store = ScriptedStore {
            swap_answers,
            head_after_swap,
            records: vec![record(1, BASE_CHANGE, None)],
            evidence: Vec::new(),
            swaps_received: 0,
            records_written: 0,
        };
        store.records.extend(other_record);
        let outcome = run_to_outcome(&mut store);
        expect_that!(
            outcome_name(&outcome),
            eq(expected_outcome),
            "case {case}: {outcome:?}"
        );
        expect_that!(store.swaps_received, eq(swaps_received), "case {case}");
    }
}

#[gtest]
fn nothing_is_published_to_a_store_that_has_lost_data() {
    let evidence = HeldEvidence {
        zone: "zone-a".parse().unwrap(),
        writer: "127.0.0.1".parse().unwrap(),
        held: head(2, OTHER_CHANGE),
        lowest: RevisionNumber(0),
        vms: 1,
        lagging: Vec::<LaggingVm>::new(),
        time_ms: 0,
    };
    // The store has lost either a head that a zone holds, or the record of its head.
    for (records, evidence) in [
        (vec![record(1, BASE_CHANGE, None)], vec![evidence]),
        (Vec::new(), Vec::new()),
    ] {
        let mut store = ScriptedStore {
            swap_answers: vec![Ok(StoreRevision::new(2))],
            head_after_swap: None,
            records,
            evidence,
            swaps_received: 0,
            records_written: 0,
        };
        expect_that!(
            outcome_name(&run_to_outcome(&mut store)),
            eq("not published")
        );
        expect_that!(store.swaps_received, eq(0));
    }
}
