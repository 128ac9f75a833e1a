//! One request for a token: asks holders and waits for their answers.

use std::time::Duration;

use smallvec::SmallVec;
use tokio::sync::mpsc::{self, UnboundedReceiver};
use tokio::time::Instant;

use super::desk::{EmptyPart, NumberedAnswer};
use crate::gateway::core::GatewayCore;
use crate::gateway::organisation::OrganisationEntry;
use crate::gateway::policy::quota::{PartTerms, QUOTA_PARTS, QuotaAnswer, QuotaMessage};
use crate::wire::PeerMessage;

/// Time for which a holder that did not answer is asked only together with the others.
const SILENT_TIME: Duration = Duration::from_secs(1);

/// Request for a token that waits for answers. Dropping it ends the wait; a grant that arrives later is given back.
pub(super) struct TokenWait<'a> {
    core: &'a GatewayCore,
    organisation: &'a OrganisationEntry,
    terms: PartTerms,
    number: u64,
    answers: UnboundedReceiver<NumberedAnswer>,
    /// Parts that were asked and have not answered.
    asked: SmallVec<[u8; QUOTA_PARTS]>,
    /// Parts that have answered that they are empty.
    pub(super) empty: SmallVec<[u8; QUOTA_PARTS]>,
}

impl Drop for TokenWait<'_> {
    fn drop(&mut self) {
        let desk = &self.core.quota_desk;
        desk.pending.borrow_mut().remove(&self.number);
        self.answers.close();
        // Grants that arrived together with the one that was used.
        while let Ok((part, answer)) = self.answers.try_recv() {
            if let QuotaAnswer::Granted { held_since_ns } = answer {
                self.core
                    .give_back(part, &self.organisation.name, held_since_ns);
            }
        }
    }
}

impl<'a> TokenWait<'a> {
    /// Creates a request that has asked nobody yet.
    pub(super) fn new(
        core: &'a GatewayCore,
        organisation: &'a OrganisationEntry,
        terms: PartTerms,
    ) -> Self {
        let desk = &core.quota_desk;
        let number = desk.next_number();
        let (sender, answers) = mpsc::unbounded_channel();
        desk.pending.borrow_mut().insert(number, sender);
        Self {
            core,
            organisation,
            terms,
            number,
            answers,
            asked: SmallVec::new(),
            empty: SmallVec::new(),
        }
    }

    /// Asks the holder of a part. Returns true if this process holds the part and has granted a token.
    pub(super) fn ask(&mut self, part: u8) -> bool {
        let core = self.core;
        let desk = &core.quota_desk;
        let Some(holder) = desk.with_claim(part, |claim| claim.holder()).flatten() else {
            return false;
        };
        if holder.vm == core.session.vm {
            let now = core.running_time();
            let answer = desk.take_own(part, &self.organisation.name, self.terms, now);
            return self.record(part, answer);
        }
        let request = QuotaMessage::Request {
            number: self.number,
            part,
            organisation: self.organisation.name.clone(),
        };
        if core
            .delegates
            .send_message(holder.vm, PeerMessage::Quota(request))
        {
            self.asked.push(part);
        }
        false
    }

    /// Records the answer for a part. Returns whether a token was granted.
    fn record(&mut self, part: u8, answer: QuotaAnswer) -> bool {
        self.asked.retain(|asked| *asked != part);
        match answer {
            QuotaAnswer::Granted { .. } => true,
            QuotaAnswer::Empty { wait_ms } => {
                let now = self.core.running_time();
                let empty = EmptyPart {
                    part,
                    next_token: now + Duration::from_millis(u64::from(wait_ms)),
                    answered_at: now,
                };
                let desk = &self.core.quota_desk;
                desk.note_empty(&self.organisation.name, empty);
                self.empty.push(part);
                false
            }
            QuotaAnswer::Unknown => false,
        }
    }

    /// Waits until a token is granted, all parts that were asked have answered, or the timeout ends. Returns whether a
    /// token was granted.
    pub(super) async fn wait(&mut self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while !self.asked.is_empty() {
            let Ok(Some((part, answer))) =
                tokio::time::timeout_at(deadline, self.answers.recv()).await
            else {
                return false;
            };
            if self.record(part, answer) {
                return true;
            }
        }
        false
    }

    /// Marks the holders that have not answered.
    pub(super) fn note_silent(&self) {
        let until = self.core.running_time() + SILENT_TIME;
        for part in &self.asked {
            self.core.quota_desk.note_silent(*part, until);
        }
    }
}
