//! The steps of publishing a revision, as a state machine without I/O that is driven by the store's answers.
//!
//! Parts and the change record are written first. They have no effect until the head names them, so an attempt that
//! stops half-way leaves nothing in force. Then the head is moved by compare-and-swap, the *swap*. If its answer is
//! lost, the run reads the head: the swap took effect if the head is the run's own change or descends from it, and
//! failed if somebody else has moved the head. The swap is sent again only while the head still has the expected
//! version, and the store carries out at most one of two such swaps.

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString, format_compact};

use crate::finding::FindingList;
use crate::ident::RevisionNumber;
use crate::store::{StoreError, StoreRevision};

use super::record::{ChangeId, ChangeRecord, HeadRecord, HeldEvidence, PartDigest, PartSet};
use super::store::StoredHead;

/// Maximum number of attempts at one store call before the run gives up.
const MAX_ATTEMPTS: u32 = 6;

/// The head on which a change may be published.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ExpectedBase {
    /// Whatever the head is.
    #[default]
    Any,
    /// The head that the author has seen, or none; any other head is a conflict.
    Exactly(Option<HeadRecord>),
}

/// A set of files to publish as a new change.
#[derive(Debug, Clone)]
pub struct PublishRequest {
    /// The files to publish.
    pub parts: PartSet,
    /// Identity of the new change.
    pub change: ChangeId,
    /// Who publishes the change.
    pub author: CompactString,
    /// The author's reason for the change.
    pub note: CompactString,
    /// Time of publishing, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The head on which the change may be published.
    pub base: ExpectedBase,
}

/// Result of a publish run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The declarations have findings, so nothing was sent to the store.
    Invalid {
        /// All findings of the declarations.
        findings: FindingList,
    },
    /// The head was moved to the change.
    Published {
        /// The head that names the change.
        head: HeadRecord,
        /// A later head that descends from the change, if there already is one.
        followed_by: Option<HeadRecord>,
    },
    /// The head already has exactly these files, so nothing was written.
    Unchanged {
        /// The head that has these files.
        head: HeadRecord,
    },
    /// Somebody else moved the head; this change is not in force and never will be.
    Conflict {
        /// The head that this change was made for.
        base: Option<HeadRecord>,
        /// The record of the change that is the head now, if it could be read.
        theirs: Option<ChangeRecord>,
    },
    /// The change is not in force and never will be.
    NotPublished {
        /// Why the change was not published.
        reason: CompactString,
    },
    /// The change may or may not take effect; its id can be looked up later.
    Unknown {
        /// The head if the change did take effect.
        head: HeadRecord,
        /// Why the result is unknown.
        reason: CompactString,
    },
}

/// What the driver of a publish run does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishAction {
    /// Read the head from the store.
    ReadHead,
    /// Read the evidence of all zones.
    ReadEvidence,
    /// Read the record of this change.
    ReadChange(ChangeId),
    /// Write the part with this index if the store lacks it.
    PutPart(usize),
    /// Write the change record if the store lacks it.
    PutChange(ChangeRecord),
    /// Move the head to this record if the head's key has this version.
    MoveHead(StoreRevision, HeadRecord),
    /// Wait before the next call, because the last one failed.
    Pause,
    /// End the run with this outcome.
    Finish(PublishOutcome),
}

/// The result of a [`PublishAction`].
#[derive(Debug, Clone)]
pub enum PublishReply {
    /// Result of [`PublishAction::ReadHead`].
    Head(Result<StoredHead, StoreError>),
    /// Result of [`PublishAction::ReadEvidence`].
    Evidence(Result<Vec<HeldEvidence>, StoreError>),
    /// Result of [`PublishAction::ReadChange`].
    Change(Result<Option<ChangeRecord>, StoreError>),
    /// Result of [`PublishAction::PutPart`] and [`PublishAction::PutChange`].
    Written(Result<(), StoreError>),
    /// Result of [`PublishAction::MoveHead`].
    Moved(Result<StoreRevision, StoreError>),
    /// The wait of [`PublishAction::Pause`] is over.
    Paused,
}

impl PublishReply {
    /// Returns whether the store call succeeded.
    pub fn is_success(&self) -> bool {
        match self {
            Self::Head(reply) => reply.is_ok(),
            Self::Evidence(reply) => reply.is_ok(),
            Self::Change(reply) => reply.is_ok(),
            Self::Written(reply) => reply.is_ok(),
            Self::Moved(reply) => reply.is_ok(),
            Self::Paused => false,
        }
    }
}

/// The step that a publish run is at; each makes one store call.
#[derive(Debug, Clone)]
enum PublishStep {
    /// Reads the head that the change is to be published on.
    ReadBase,
    /// Reads the evidence of all zones.
    ReadEvidence,
    /// Reads the change record of the base head.
    ReadBaseChange,
    /// Writes the part with this index.
    PutPart(usize),
    /// Writes the run's change record.
    PutRecord,
    /// Moves the head to the run's change by compare-and-swap.
    MoveHead,
    /// Reads the head, because the answer to a swap was lost or was a conflict.
    ResolveSwap,
    /// Looks for the run's own change among the ancestors of another head; `tip` is that head's record once it was
    /// read.
    SearchAncestors {
        tip: Option<ChangeRecord>,
        next_ancestor: ChangeId,
    },
    /// Reads the change record of a head that isn't the expected base.
    ReadOtherChange(ChangeId),
    /// Reads the run's own change record back after the head has moved; `followed_by` is a later head that descends
    /// from the run's change, if there is one.
    VerifyRecord { followed_by: Option<HeadRecord> },
}

/// One attempt to publish a change.
#[derive(Debug, Clone)]
pub struct PublishRun {
    request: PublishRequest,
    step: PublishStep,
    /// The head that the change is published on, with the store revision of its key.
    stored_base: StoredHead,
    /// The change record of that head.
    base_change: Option<ChangeRecord>,
    /// The revision that the change makes; zero until the base is known.
    revision: RevisionNumber,
    /// Number of failed attempts at the current step.
    step_failures: u32,
    /// Number of swaps sent so far.
    swaps_sent: u32,
    /// Whether the answer to any swap was lost.
    swap_answer_lost: bool,
    /// The outcome to end with once the parts and the record, which the store has lost, are written again.
    outcome_after_rewrite: Option<PublishOutcome>,
}

impl PublishRun {
    /// Creates a run that has sent nothing yet.
    pub fn new(request: PublishRequest) -> Self {
        Self {
            request,
            step: PublishStep::ReadBase,
            stored_base: None,
            base_change: None,
            revision: RevisionNumber(0),
            step_failures: 0,
            swaps_sent: 0,
            swap_answer_lost: false,
            outcome_after_rewrite: None,
        }
    }

    /// Returns the digest and the text of the part with this index.
    pub fn part(&self, index: usize) -> (PartDigest, Bytes) {
        let parts = &self.request.parts;
        (parts.entries[index].sha256, parts.texts[index].clone())
    }

    /// Returns the first action.
    pub fn start(&mut self) -> PublishAction {
        self.current_action()
    }

    /// Applies the result of the last action and returns the next one.
    pub fn apply_reply(&mut self, reply: PublishReply) -> PublishAction {
        match reply {
            PublishReply::Paused => self.current_action(),
            PublishReply::Head(Ok(head)) => self.handle_head(head),
            PublishReply::Evidence(Ok(evidence)) => self.check_evidence(&evidence),
            PublishReply::Change(Ok(change)) => self.handle_change(change),
            PublishReply::Written(Ok(())) => self.handle_written(),
            PublishReply::Moved(Ok(_)) => self.verify_published(None),
            PublishReply::Moved(Err(error)) => self.handle_move_error(&error),
            PublishReply::Head(Err(error))
            | PublishReply::Evidence(Err(error))
            | PublishReply::Change(Err(error))
            | PublishReply::Written(Err(error)) => self.handle_failure(&error),
        }
    }

    fn own_head(&self) -> HeadRecord {
        HeadRecord {
            revision: self.revision,
            change: self.request.change,
        }
    }

    fn base_head(&self) -> Option<HeadRecord> {
        self.stored_base.map(|(_, head)| head)
    }

    /// Returns the store revision that the head's key must have when the head is moved.
    fn base_version(&self) -> StoreRevision {
        self.stored_base
            .map_or(StoreRevision::ABSENT, |(version, _)| version)
    }

    fn base_revision(&self) -> RevisionNumber {
        self.base_head()
            .map_or(RevisionNumber(0), |head| head.revision)
    }

    fn enter_step(&mut self, step: PublishStep) -> PublishAction {
        self.step = step;
        self.step_failures = 0;
        self.current_action()
    }

    /// Returns the action of the current step.
    fn current_action(&mut self) -> PublishAction {
        match &self.step {
            PublishStep::ReadBase | PublishStep::ResolveSwap => PublishAction::ReadHead,
            PublishStep::ReadEvidence => PublishAction::ReadEvidence,
            PublishStep::ReadBaseChange => match self.base_head() {
                Some(head) => PublishAction::ReadChange(head.change),
                None => PublishAction::ReadHead,
            },
            PublishStep::PutPart(index) => PublishAction::PutPart(*index),
            PublishStep::PutRecord => PublishAction::PutChange(self.build_record()),
            PublishStep::MoveHead => {
                self.swaps_sent += 1;
                PublishAction::MoveHead(self.base_version(), self.own_head())
            }
            PublishStep::SearchAncestors { next_ancestor, .. } => {
                PublishAction::ReadChange(*next_ancestor)
            }
            PublishStep::ReadOtherChange(change) => PublishAction::ReadChange(*change),
            PublishStep::VerifyRecord { .. } => PublishAction::ReadChange(self.request.change),
        }
    }

    fn build_record(&self) -> ChangeRecord {
        ChangeRecord {
            revision: self.revision,
            change: self.request.change,
            lineage: self.lineage(),
            restores: None,
            parts: self.request.parts.entries.clone(),
            author: self.request.author.clone(),
            note: self.request.note.clone(),
            time_ms: self.request.time_ms,
        }
    }

    fn lineage(&self) -> Vec<ChangeId> {
        let base_change = self.base_change.as_ref();
        base_change.map_or_else(Vec::new, ChangeRecord::child_lineage)
    }

    fn handle_head(&mut self, head: StoredHead) -> PublishAction {
        match self.step {
            PublishStep::ResolveSwap => self.resolve_swap(head),
            _ => self.handle_base(head),
        }
    }

    /// Checks that the head is the one the author expects, and goes on with it as the base.
    fn handle_base(&mut self, head: StoredHead) -> PublishAction {
        let current_head = head.map(|(_, head)| head);
        if let ExpectedBase::Exactly(expected) = self.request.base
            && expected != current_head
        {
            self.stored_base = expected.map(|expected| (StoreRevision::ABSENT, expected));
            return match current_head {
                Some(other_head) => {
                    self.enter_step(PublishStep::ReadOtherChange(other_head.change))
                }
                None => {
                    finish_not_published("the store has lost the head this change was made for")
                }
            };
        }
        self.stored_base = head;
        self.enter_step(PublishStep::ReadEvidence)
    }

    /// Refuses to publish if some zone already holds a higher revision than the head.
    fn check_evidence(&mut self, evidence: &[HeldEvidence]) -> PublishAction {
        let base_revision = self.base_revision();
        for zone_evidence in evidence {
            if zone_evidence.held.revision <= base_revision {
                continue;
            }
            let (name, held) = (&zone_evidence.zone, zone_evidence.held);
            return finish_not_published(format_compact!(
                "the store has gone back to revision {base_revision}, but zone {name} holds {held}; its watchers restore the \
                 head within seconds, then try again"
            ));
        }
        self.revision = RevisionNumber(base_revision.0 + 1);
        match self.stored_base {
            Some(_) => self.enter_step(PublishStep::ReadBaseChange),
            None => self.put_next_part(0),
        }
    }

    fn handle_change(&mut self, change: Option<ChangeRecord>) -> PublishAction {
        match self.step.clone() {
            PublishStep::ReadOtherChange(_) => self.finish_conflict(change),
            PublishStep::SearchAncestors { tip, next_ancestor } => {
                self.search_ancestors(tip, next_ancestor, change)
            }
            PublishStep::VerifyRecord { followed_by } => self.verify_record(followed_by, change),
            _ => self.handle_base_change(change),
        }
    }

    /// Ends the run if the base already has exactly these files or its record is lost; otherwise starts to write the
    /// parts.
    fn handle_base_change(&mut self, change: Option<ChangeRecord>) -> PublishAction {
        let parts = &self.request.parts.entries;
        let is_unchanged = change.as_ref().is_some_and(|change| change.parts == *parts);
        if let Some(head) = self.base_head()
            && is_unchanged
        {
            return PublishAction::Finish(PublishOutcome::Unchanged { head });
        }
        if change.is_none() {
            return finish_not_published(
                "the store has lost the record of its head; a watcher restores it within seconds, then try again",
            );
        }
        self.base_change = change;
        self.put_next_part(0)
    }

    /// Moves on to the first part from `first_index` on that the base change lacks, or to the change record if there is
    /// no such part. Returns the action that writes it.
    fn put_next_part(&mut self, first_index: usize) -> PublishAction {
        for index in first_index..self.request.parts.entries.len() {
            let digest = self.request.parts.entries[index].sha256;
            let base_parts = self.base_change.iter().flat_map(|change| &change.parts);
            if !base_parts.into_iter().any(|part| part.sha256 == digest) {
                return self.enter_step(PublishStep::PutPart(index));
            }
        }
        self.enter_step(PublishStep::PutRecord)
    }

    /// Goes on after a write: to the next part, or after the change record to the swap or to the end of the run.
    fn handle_written(&mut self) -> PublishAction {
        match self.step {
            PublishStep::PutPart(index) => self.put_next_part(index + 1),
            _ => match self.outcome_after_rewrite.take() {
                Some(outcome) => PublishAction::Finish(outcome),
                None => self.enter_step(PublishStep::MoveHead),
            },
        }
    }

    /// Retries a swap that certainly had no effect; after any other error reads the head to find out whether the swap
    /// took effect.
    fn handle_move_error(&mut self, error: &StoreError) -> PublishAction {
        if error.is_refusal() {
            return self.handle_failure(error);
        }
        self.swap_answer_lost |= error.is_ambiguous();
        self.enter_step(PublishStep::ResolveSwap)
    }

    /// Decides from the head whether the run's own swap took effect.
    fn resolve_swap(&mut self, head: StoredHead) -> PublishAction {
        let version = head.map_or(StoreRevision::ABSENT, |(version, _)| version);
        if version == self.base_version() {
            if self.swaps_sent >= MAX_ATTEMPTS {
                return self.give_up("the head has not moved, but a lost swap may still arrive");
            }
            self.step = PublishStep::MoveHead;
            return PublishAction::Pause;
        }
        match head {
            Some((_, head)) if head.revision >= self.base_revision() => {
                let (tip, next_ancestor) = (None, head.change);
                self.enter_step(PublishStep::SearchAncestors { tip, next_ancestor })
            }
            _ => self.give_up("the store has gone back to an older head"),
        }
    }

    /// Follows the ancestors of another head until the run's own change is found or passed.
    fn search_ancestors(
        &mut self,
        tip: Option<ChangeRecord>,
        next_ancestor: ChangeId,
        change: Option<ChangeRecord>,
    ) -> PublishAction {
        if next_ancestor == self.request.change {
            return self.verify_published(tip.map(|tip| tip.head()));
        }
        let Some(change) = change else {
            return self.give_up("a parent of the head is missing from the store");
        };
        let tip = tip.unwrap_or_else(|| change.clone());
        match change.parent() {
            Some(next_ancestor) if change.revision > self.revision => {
                let tip = Some(tip);
                self.enter_step(PublishStep::SearchAncestors { tip, next_ancestor })
            }
            _ => self.finish_conflict(Some(tip)),
        }
    }

    /// Retries a failed store call, or ends the run after [`MAX_ATTEMPTS`] attempts at the step.
    fn handle_failure(&mut self, error: &StoreError) -> PublishAction {
        self.step_failures += 1;
        if self.step_failures < MAX_ATTEMPTS {
            return PublishAction::Pause;
        }
        let head = self.own_head();
        match (&self.step, self.outcome_after_rewrite.take()) {
            (PublishStep::ReadOtherChange(_), _) => self.finish_conflict(None),
            (_, Some(outcome)) => PublishAction::Finish(outcome),
            (PublishStep::VerifyRecord { followed_by }, None) => {
                let followed_by = *followed_by;
                PublishAction::Finish(PublishOutcome::Published { head, followed_by })
            }
            _ => self.give_up(error),
        }
    }

    /// Ends the run without knowing the head. The outcome is unknown only if the answer to a swap was lost.
    fn give_up(&self, reason: impl ToCompactString) -> PublishAction {
        if !self.swap_answer_lost {
            return finish_not_published(reason);
        }
        let (head, reason) = (self.own_head(), reason.to_compact_string());
        PublishAction::Finish(PublishOutcome::Unknown { head, reason })
    }

    /// Starts to check that the store still holds this run's change record now that the head names it. If the store
    /// lost its last writes after the record was written and before the head was moved, it holds the head without the
    /// record.
    /// `followed_by` is the later head that descends from this run's change, if there is one.
    fn verify_published(&mut self, followed_by: Option<HeadRecord>) -> PublishAction {
        self.enter_step(PublishStep::VerifyRecord { followed_by })
    }

    /// Ends the run if the record is there; otherwise writes the parts and the record again first.
    fn verify_record(
        &mut self,
        followed_by: Option<HeadRecord>,
        change: Option<ChangeRecord>,
    ) -> PublishAction {
        let head = self.own_head();
        let outcome = PublishOutcome::Published { head, followed_by };
        if change.is_some() {
            return PublishAction::Finish(outcome);
        }
        self.outcome_after_rewrite = Some(outcome);
        self.enter_step(PublishStep::PutPart(0))
    }

    fn finish_conflict(&self, theirs: Option<ChangeRecord>) -> PublishAction {
        let base = self.base_head();
        PublishAction::Finish(PublishOutcome::Conflict { base, theirs })
    }
}

fn finish_not_published(reason: impl ToCompactString) -> PublishAction {
    let reason = reason.to_compact_string();
    PublishAction::Finish(PublishOutcome::NotPublished { reason })
}

#[cfg(test)]
#[path = "publish_tests.rs"]
mod tests;
