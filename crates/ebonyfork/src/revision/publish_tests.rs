use googletest::prelude::*;

use super::*;
use crate::declaration::DeclaredFile;
use crate::revision::LaggingVm;

const OWN: ChangeId = ChangeId([9; 16]);
const THEIRS: ChangeId = ChangeId([7; 16]);
const BASE: ChangeId = ChangeId([1; 16]);

fn head(revision: u64, change: ChangeId) -> HeadRecord {
    HeadRecord {
        revision: RevisionNumber(revision),
        change,
    }
}

fn record(revision: u64, change: ChangeId, parent: Option<ChangeId>) -> ChangeRecord {
    ChangeRecord {
        lineage: parent.into_iter().collect(),
        ..ChangeRecord::lost(head(revision, change))
    }
}

fn run() -> PublishRun {
    let text = "[service s]\nconnections = 25\n";
    PublishRun::new(PublishRequest {
        parts: PartSet::new(&[DeclaredFile::new("a.ini", text)]).expect("no findings"),
        change: OWN,
        author: "kim".into(),
        note: "".into(),
        time_ms: 0,
        base: ExpectedBase::Any,
    })
}

/// A store that holds one base change and answers the swap and what comes after as a case says.
struct ScriptedStore {
    /// Answers to the swaps, in order; the last one is repeated.
    swaps: Vec<std::result::Result<StoreRevision, StoreError>>,
    /// The head after the first swap.
    after: StoredHead,
    records: Vec<ChangeRecord>,
    evidence: Vec<HeldEvidence>,
    sent: usize,
    written: usize,
}

impl ScriptedStore {
    fn answer(&mut self, action: PublishAction) -> PublishReply {
        match action {
            PublishAction::ReadHead => PublishReply::Head(Ok(if self.sent == 0 {
                Some((StoreRevision::new(1), head(1, BASE)))
            } else {
                self.after
            })),
            PublishAction::ReadEvidence => PublishReply::Evidence(Ok(self.evidence.clone())),
            PublishAction::ReadChange(change) => {
                let mut records = self.records.iter();
                PublishReply::Change(Ok(records.find(|one| one.change == change).cloned()))
            }
            PublishAction::PutPart(_) => PublishReply::Written(Ok(())),
            PublishAction::PutChange(change) => {
                self.written += 1;
                if self.written == 1 {
                    self.records.push(change);
                }
                PublishReply::Written(Ok(()))
            }
            PublishAction::MoveHead(_, _) => {
                let last = self.swaps.len() - 1;
                let answer = self.swaps[self.sent.min(last)].clone();
                self.sent += 1;
                PublishReply::Moved(answer)
            }
            PublishAction::Pause | PublishAction::Finish(_) => PublishReply::Paused,
        }
    }
}

fn outcome(store: &mut ScriptedStore) -> PublishOutcome {
    let mut run = run();
    let mut action = run.start();
    loop {
        if let PublishAction::Finish(outcome) = action {
            return outcome;
        }
        let reply = store.answer(action);
        action = run.take(reply);
    }
}

fn word(outcome: &PublishOutcome) -> &'static str {
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

fn lost() -> std::result::Result<StoreRevision, StoreError> {
    Err(StoreError::Lost { reason: "".into() })
}

fn refused() -> std::result::Result<StoreRevision, StoreError> {
    Err(StoreError::Refused { reason: "".into() })
}

fn conflict() -> std::result::Result<StoreRevision, StoreError> {
    let current = StoreRevision::new(2);
    Err(StoreError::Conflict { current })
}

#[gtest]
fn each_answer_to_the_swap_comes_to_its_outcome() {
    let unmoved = Some((StoreRevision::new(1), head(1, BASE)));
    let own = Some((StoreRevision::new(2), head(2, OWN)));
    let theirs = Some((StoreRevision::new(2), head(2, THEIRS)));
    let later = Some((StoreRevision::new(3), head(3, THEIRS)));
    let older = Some((StoreRevision::new(7), head(0, THEIRS)));
    let on_base = record(2, THEIRS, Some(BASE));
    let on_own = record(3, THEIRS, Some(OWN));
    // Answers to the swaps, the head afterwards, their record, the outcome, swaps sent.
    let cases = [
        (vec![Ok(StoreRevision::new(2))], own, None, "published", 1),
        (vec![lost()], own, None, "published", 1),
        (vec![lost()], later, Some(on_own), "published, followed", 1),
        (vec![lost()], theirs, Some(on_base.clone()), "conflict", 1),
        (vec![conflict()], theirs, Some(on_base), "conflict", 1),
        (
            vec![lost(), Ok(StoreRevision::new(2))],
            unmoved,
            None,
            "published",
            2,
        ),
        (vec![lost(), conflict()], own, None, "published", 1),
        (vec![lost()], unmoved, None, "unknown", 6),
        (vec![lost()], older, None, "unknown", 1),
        (vec![lost()], theirs, None, "unknown", 1),
        (vec![refused()], unmoved, None, "not published", 6),
        (vec![conflict()], older, None, "not published", 1),
    ];
    for (number, (swaps, after, their, expected, sent)) in cases.into_iter().enumerate() {
        let mut store = ScriptedStore {
            swaps,
            after,
            records: vec![record(1, BASE, None)],
            evidence: Vec::new(),
            sent: 0,
            written: 0,
        };
        store.records.extend(their);
        let outcome = outcome(&mut store);
        expect_that!(word(&outcome), eq(expected), "case {number}: {outcome:?}");
        expect_that!(store.sent, eq(sent), "case {number}");
    }
}

#[gtest]
fn a_store_that_lost_something_is_not_published_to() {
    let evidence = HeldEvidence {
        zone: "zone-a".parse().unwrap(),
        writer: "127.0.0.1".parse().unwrap(),
        held: head(2, THEIRS),
        lowest: RevisionNumber(0),
        vms: 1,
        lagging: Vec::<LaggingVm>::new(),
        time_ms: 0,
    };
    // What the store has lost: a head that a zone holds, or the record of its head.
    for (records, evidence) in [
        (vec![record(1, BASE, None)], vec![evidence]),
        (Vec::new(), Vec::new()),
    ] {
        let mut store = ScriptedStore {
            swaps: vec![Ok(StoreRevision::new(2))],
            after: None,
            records,
            evidence,
            sent: 0,
            written: 0,
        };
        expect_that!(word(&outcome(&mut store)), eq("not published"));
        expect_that!(store.sent, eq(0));
    }
}
