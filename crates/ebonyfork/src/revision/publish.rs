//! The steps of publishing a revision, as plain code over the store's answers.
//!
//! Parts and the change's record are written first; they mean nothing until the head names them, so an attempt that
//! stops half-way leaves nothing in force. Then the head is moved by compare-and-swap. If that answer is lost, the run
//! reads: a head that is the own change, or has it among its parents, took effect; a head moved by somebody else did
//! not. Only while the head still has the expected version is the same swap sent again, and of two such swaps the
//! store carries out at most one.

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString, format_compact};

use crate::finding::FindingList;
use crate::ident::RevisionNumber;
use crate::store::{StoreError, StoreRevision};

use super::record::{ChangeId, ChangeRecord, HeadRecord, HeldEvidence, PartDigest, PartSet};
use super::store::StoredHead;

/// How often one call is tried before the run gives up.
const TRY_LIMIT: u32 = 6;

/// The head that a change is made for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ExpectedBase {
    /// Whatever head there is.
    #[default]
    Any,
    /// The head that the author has seen, or none; another one is a conflict.
    Exactly(Option<HeadRecord>),
}

/// What is to be published.
#[derive(Debug, Clone)]
pub struct PublishRequest {
    /// The files.
    pub parts: PartSet,
    /// Identity of the change.
    pub change: ChangeId,
    /// Who publishes.
    pub author: CompactString,
    /// Why.
    pub note: CompactString,
    /// When, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The head that this change is made for.
    pub base: ExpectedBase,
}

/// How a publishing ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The declarations have findings; nothing was sent.
    Invalid {
        /// All of them.
        findings: FindingList,
    },
    /// The head was moved to the change.
    Published {
        /// The new head.
        head: HeadRecord,
        /// A later change that has followed since, if any.
        followed_by: Option<HeadRecord>,
    },
    /// The head already has exactly these files; nothing was written.
    Unchanged {
        /// The head.
        head: HeadRecord,
    },
    /// Somebody else moved the head; this change is not in force and never will be.
    Conflict {
        /// The head that this change was made for.
        base: Option<HeadRecord>,
        /// The change that is the head now, if it could be read.
        theirs: Option<ChangeRecord>,
    },
    /// The change is not in force and never will be.
    NotPublished {
        /// Why.
        reason: CompactString,
    },
    /// The change may or may not take effect; look for its id later.
    Unknown {
        /// The head if it did.
        head: HeadRecord,
        /// Why it can't be told.
        reason: CompactString,
    },
}

/// What the driver of a run does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishAction {
    /// Read the head.
    ReadHead,
    /// Read the evidence of all zones.
    ReadEvidence,
    /// Read a change's record.
    ReadChange(ChangeId),
    /// Write the part of this number unless it is there.
    PutPart(usize),
    /// Write the change's record unless it is there.
    PutChange(ChangeRecord),
    /// Move the head if it has this version.
    MoveHead(StoreRevision, HeadRecord),
    /// Wait a little, because the call before failed.
    Pause,
    /// The run is over.
    Finish(PublishOutcome),
}

/// The answer to an action.
#[derive(Debug, Clone)]
pub enum PublishReply {
    /// To [`PublishAction::ReadHead`].
    Head(Result<StoredHead, StoreError>),
    /// To [`PublishAction::ReadEvidence`].
    Evidence(Result<Vec<HeldEvidence>, StoreError>),
    /// To [`PublishAction::ReadChange`].
    Change(Result<Option<ChangeRecord>, StoreError>),
    /// To [`PublishAction::PutPart`] and [`PublishAction::PutChange`].
    Written(Result<(), StoreError>),
    /// To [`PublishAction::MoveHead`].
    Moved(Result<StoreRevision, StoreError>),
    /// To [`PublishAction::Pause`].
    Paused,
}

impl PublishReply {
    /// Tells whether the store has answered.
    pub fn is_answered(&self) -> bool {
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

#[derive(Debug, Clone)]
enum PublishStep {
    Base,
    Evidence,
    BaseChange,
    Parts(usize),
    Record,
    Move,
    /// Reading the head after a lost or conflicting answer.
    Resolve,
    /// Looking for the own change along the parents of another head; `tip` is that head's record once read.
    Walk {
        tip: Option<ChangeRecord>,
        next: ChangeId,
    },
    /// Reading whose change stands where another base was expected.
    Theirs(ChangeId),
    /// Reading the own record back once the head has moved; `followed_by` is a later head, if any.
    Verify {
        followed_by: Option<HeadRecord>,
    },
}

/// One attempt to publish.
#[derive(Debug, Clone)]
pub struct PublishRun {
    request: PublishRequest,
    step: PublishStep,
    base: StoredHead,
    base_change: Option<ChangeRecord>,
    revision: RevisionNumber,
    /// Failed tries of the current step.
    failures: u32,
    /// Swaps sent so far.
    swaps: u32,
    /// Whether the answer to a swap was lost.
    swap_lost: bool,
    /// The outcome, while the record is written once more because the store has lost it.
    rewriting: Option<PublishOutcome>,
}

impl PublishRun {
    /// Starts a run.
    pub fn new(request: PublishRequest) -> Self {
        Self {
            request,
            step: PublishStep::Base,
            base: None,
            base_change: None,
            revision: RevisionNumber(0),
            failures: 0,
            swaps: 0,
            swap_lost: false,
            rewriting: None,
        }
    }

    /// The digest and the text of a part.
    pub fn part(&self, number: usize) -> (PartDigest, Bytes) {
        let parts = &self.request.parts;
        (parts.entries[number].sha256, parts.texts[number].clone())
    }

    /// Tells what to do first.
    pub fn start(&mut self) -> PublishAction {
        self.action()
    }

    /// Takes the answer to the last action and tells what to do next.
    pub fn take(&mut self, reply: PublishReply) -> PublishAction {
        match reply {
            PublishReply::Paused => self.action(),
            PublishReply::Head(Ok(head)) => self.take_head(head),
            PublishReply::Evidence(Ok(evidence)) => self.take_evidence(&evidence),
            PublishReply::Change(Ok(change)) => self.take_change(change),
            PublishReply::Written(Ok(())) => self.take_written(),
            PublishReply::Moved(Ok(_)) => self.published(None),
            PublishReply::Moved(Err(error)) => self.take_unmoved(&error),
            PublishReply::Head(Err(error))
            | PublishReply::Evidence(Err(error))
            | PublishReply::Change(Err(error))
            | PublishReply::Written(Err(error)) => self.take_failure(&error),
        }
    }

    fn own_head(&self) -> HeadRecord {
        HeadRecord {
            revision: self.revision,
            change: self.request.change,
        }
    }

    fn base_head(&self) -> Option<HeadRecord> {
        self.base.map(|(_, head)| head)
    }

    fn base_version(&self) -> StoreRevision {
        self.base
            .map_or(StoreRevision::ABSENT, |(version, _)| version)
    }

    fn base_revision(&self) -> RevisionNumber {
        self.base_head()
            .map_or(RevisionNumber(0), |head| head.revision)
    }

    fn go(&mut self, step: PublishStep) -> PublishAction {
        self.step = step;
        self.failures = 0;
        self.action()
    }

    /// The action of the current step.
    fn action(&mut self) -> PublishAction {
        match &self.step {
            PublishStep::Base | PublishStep::Resolve => PublishAction::ReadHead,
            PublishStep::Evidence => PublishAction::ReadEvidence,
            PublishStep::BaseChange => match self.base_head() {
                Some(head) => PublishAction::ReadChange(head.change),
                None => PublishAction::ReadHead,
            },
            PublishStep::Parts(number) => PublishAction::PutPart(*number),
            PublishStep::Record => PublishAction::PutChange(self.record()),
            PublishStep::Move => {
                self.swaps += 1;
                PublishAction::MoveHead(self.base_version(), self.own_head())
            }
            PublishStep::Walk { next, .. } => PublishAction::ReadChange(*next),
            PublishStep::Theirs(change) => PublishAction::ReadChange(*change),
            PublishStep::Verify { .. } => PublishAction::ReadChange(self.request.change),
        }
    }

    fn record(&self) -> ChangeRecord {
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
        let base = self.base_change.as_ref();
        base.map_or_else(Vec::new, ChangeRecord::child_lineage)
    }

    fn take_head(&mut self, head: StoredHead) -> PublishAction {
        match self.step {
            PublishStep::Resolve => self.resolve(head),
            _ => self.take_base(head),
        }
    }

    fn take_base(&mut self, head: StoredHead) -> PublishAction {
        let seen = head.map(|(_, head)| head);
        if let ExpectedBase::Exactly(expected) = self.request.base
            && expected != seen
        {
            self.base = expected.map(|expected| (StoreRevision::ABSENT, expected));
            return match seen {
                Some(theirs) => self.go(PublishStep::Theirs(theirs.change)),
                None => not_published("the store has lost the head this change was made for"),
            };
        }
        self.base = head;
        self.go(PublishStep::Evidence)
    }

    /// Refuses to publish onto a head that some zone is already beyond.
    fn take_evidence(&mut self, evidence: &[HeldEvidence]) -> PublishAction {
        let head = self.base_revision();
        for zone in evidence {
            if zone.held.revision <= head {
                continue;
            }
            let (name, held) = (&zone.zone, zone.held);
            return not_published(format_compact!(
                "the store has gone back to revision {head}, but zone {name} holds {held}; its watchers restore the \
                 head within seconds, then try again"
            ));
        }
        self.revision = RevisionNumber(head.0 + 1);
        match self.base {
            Some(_) => self.go(PublishStep::BaseChange),
            None => self.next_part(0),
        }
    }

    fn take_change(&mut self, change: Option<ChangeRecord>) -> PublishAction {
        match self.step.clone() {
            PublishStep::Theirs(_) => self.conflict(change),
            PublishStep::Walk { tip, next } => self.walk(tip, next, change),
            PublishStep::Verify { followed_by } => self.verify(followed_by, change),
            _ => self.take_base_change(change),
        }
    }

    fn take_base_change(&mut self, change: Option<ChangeRecord>) -> PublishAction {
        let parts = &self.request.parts.entries;
        let same = change.as_ref().is_some_and(|change| change.parts == *parts);
        if let Some(head) = self.base_head()
            && same
        {
            return PublishAction::Finish(PublishOutcome::Unchanged { head });
        }
        if change.is_none() {
            return not_published(
                "the store has lost the record of its head; a watcher restores it within seconds, then try again",
            );
        }
        self.base_change = change;
        self.next_part(0)
    }

    /// Goes to the next part that the base doesn't have already.
    fn next_part(&mut self, from: usize) -> PublishAction {
        for number in from..self.request.parts.entries.len() {
            let digest = self.request.parts.entries[number].sha256;
            let base = self.base_change.iter().flat_map(|change| &change.parts);
            if !base.into_iter().any(|part| part.sha256 == digest) {
                return self.go(PublishStep::Parts(number));
            }
        }
        self.go(PublishStep::Record)
    }

    fn take_written(&mut self) -> PublishAction {
        match self.step {
            PublishStep::Parts(number) => self.next_part(number + 1),
            _ => match self.rewriting.take() {
                Some(outcome) => PublishAction::Finish(outcome),
                None => self.go(PublishStep::Move),
            },
        }
    }

    fn take_unmoved(&mut self, error: &StoreError) -> PublishAction {
        if error.is_refusal() {
            return self.take_failure(error);
        }
        self.swap_lost |= error.is_ambiguous();
        self.go(PublishStep::Resolve)
    }

    /// Tells from the head whether the own swap took effect.
    fn resolve(&mut self, head: StoredHead) -> PublishAction {
        let version = head.map_or(StoreRevision::ABSENT, |(version, _)| version);
        if version == self.base_version() {
            if self.swaps >= TRY_LIMIT {
                return self.give_up("the head has not moved, but a lost swap may still arrive");
            }
            self.step = PublishStep::Move;
            return PublishAction::Pause;
        }
        match head {
            Some((_, head)) if head.revision >= self.base_revision() => {
                let (tip, next) = (None, head.change);
                self.go(PublishStep::Walk { tip, next })
            }
            _ => self.give_up("the store has gone back to an older head"),
        }
    }

    /// Follows the parents of another head, looking for the own change.
    fn walk(
        &mut self,
        tip: Option<ChangeRecord>,
        next: ChangeId,
        change: Option<ChangeRecord>,
    ) -> PublishAction {
        if next == self.request.change {
            return self.published(tip.map(|tip| tip.head()));
        }
        let Some(change) = change else {
            return self.give_up("a parent of the head is missing from the store");
        };
        let tip = tip.unwrap_or_else(|| change.clone());
        match change.parent() {
            Some(next) if change.revision > self.revision => {
                let tip = Some(tip);
                self.go(PublishStep::Walk { tip, next })
            }
            _ => self.conflict(Some(tip)),
        }
    }

    fn take_failure(&mut self, error: &StoreError) -> PublishAction {
        self.failures += 1;
        if self.failures < TRY_LIMIT {
            return PublishAction::Pause;
        }
        let head = self.own_head();
        match (&self.step, self.rewriting.take()) {
            (PublishStep::Theirs(_), _) => self.conflict(None),
            (_, Some(outcome)) => PublishAction::Finish(outcome),
            (PublishStep::Verify { followed_by }, None) => {
                let followed_by = *followed_by;
                PublishAction::Finish(PublishOutcome::Published { head, followed_by })
            }
            _ => self.give_up(error),
        }
    }

    /// Ends without a reading that would settle it: unknown only if a swap's answer was lost.
    fn give_up(&self, reason: impl ToCompactString) -> PublishAction {
        if !self.swap_lost {
            return not_published(reason);
        }
        let (head, reason) = (self.own_head(), reason.to_compact_string());
        PublishAction::Finish(PublishOutcome::Unknown { head, reason })
    }

    /// The head has moved. What it names must be there: a store that went back after the record was written, and
    /// before the swap, has the one without the other.
    fn published(&mut self, followed_by: Option<HeadRecord>) -> PublishAction {
        self.go(PublishStep::Verify { followed_by })
    }

    fn verify(
        &mut self,
        followed_by: Option<HeadRecord>,
        change: Option<ChangeRecord>,
    ) -> PublishAction {
        let head = self.own_head();
        let outcome = PublishOutcome::Published { head, followed_by };
        if change.is_some() {
            return PublishAction::Finish(outcome);
        }
        self.rewriting = Some(outcome);
        self.go(PublishStep::Parts(0))
    }

    fn conflict(&self, theirs: Option<ChangeRecord>) -> PublishAction {
        let base = self.base_head();
        PublishAction::Finish(PublishOutcome::Conflict { base, theirs })
    }
}

fn not_published(reason: impl ToCompactString) -> PublishAction {
    let reason = reason.to_compact_string();
    PublishAction::Finish(PublishOutcome::NotPublished { reason })
}

#[cfg(test)]
#[path = "publish_tests.rs"]
mod tests;
