//! One request for a token: asks holders and waits for their answers.

use std::rc::Rc;
use std::time::Duration;

use smallvec::SmallVec;
use tokio::sync::mpsc::{self, UnboundedReceiver};
use tokio::time::Instant;

use super::GrantTimes;
use super::desk::{EmptyPart, NumberedAnswer};
use super::holder::AskedToken;
use crate::gateway::core::GatewayCore;
use crate::gateway::organisation::OrganisationEntry;
use crate::gateway::policy::quota::{
    QUOTA_PARTS, QuotaAnswer, QuotaMessage, QuotaRefusal, RequesterKey, TokenRequest, is_timely,
};
use crate::ident::VmAddress;
use crate::wire::PeerMessage;

/// Time for which a holder that did not answer is asked after all others.
const SILENT_TIME: Duration = Duration::from_secs(1);
/// Request to one holder that has not ended.
#[derive(Debug, Clone, Copy)]
struct AskedPart {
    part: u8,
    holder: VmAddress,
    asked_at: Duration,
    /// When the reserved token is due, if the holder has reserved one.
    due: Option<Duration>,
}

/// Refusal of one holder.
#[derive(Debug, Clone, Copy)]
struct PartRefusal {
    part: u8,
    return_at: Duration,
    is_promised: bool,
    is_over_limit: bool,
}

/// What the asked holders have decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HolderDecision {
    /// A token is granted.
    Granted,
    /// A token is reserved.
    Reserved {
        /// Time at which it is due.
        due: Duration,
    },
    /// A holder has refused.
    Refused {
        /// Whether the organisation asks it for more than its limit.
        is_over_limit: bool,
    },
    /// No holder has answered who knows the quota.
    Unanswered,
}

/// Request for a token that waits for answers. Dropping it withdraws the request from the holders; a grant that arrives
/// later is given back.
pub(super) struct TokenWait<'a> {
    core: &'a Rc<GatewayCore>,
    organisation: &'a OrganisationEntry,
    requester: RequesterKey,
    answers: UnboundedReceiver<NumberedAnswer>,
    /// Parts that were asked and have not decided.
    asked: SmallVec<[AskedPart; QUOTA_PARTS]>,
    /// All parts that were asked.
    pub(super) ever_asked: SmallVec<[u8; QUOTA_PARTS]>,
    refusals: SmallVec<[PartRefusal; QUOTA_PARTS]>,
    /// Part whose promise the caller is told of.
    kept_promise: Option<u8>,
}

impl Drop for TokenWait<'_> {
    fn drop(&mut self) {
        let desk = &self.core.quota_desk;
        desk.pending.borrow_mut().remove(&self.requester.number);
        self.answers.close();
        for asked in &self.asked {
            self.release(asked.part);
        }
        for refusal in &self.refusals {
            if refusal.is_promised && self.kept_promise != Some(refusal.part) {
                self.release(refusal.part);
            }
        }
        // Grants that arrived together with the one that was used.
        while let Ok((part, answer)) = self.answers.try_recv() {
            if let Some(grant) = GrantTimes::of(answer) {
                self.core.give_back(part, &self.organisation.name, grant);
            }
        }
    }
}

impl<'a> TokenWait<'a> {
    /// Creates a request that has asked nobody yet.
    pub(super) fn new(core: &'a Rc<GatewayCore>, organisation: &'a OrganisationEntry) -> Self {
        let desk = &core.quota_desk;
        let requester = RequesterKey {
            session: core.session,
            number: desk.next_number(),
        };
        let (sender, answers) = mpsc::unbounded_channel();
        desk.pending.borrow_mut().insert(requester.number, sender);
        Self {
            core,
            organisation,
            requester,
            answers,
            asked: SmallVec::new(),
            ever_asked: SmallVec::new(),
            refusals: SmallVec::new(),
            kept_promise: None,
        }
    }

    /// Asks the holder of a part. Returns whether this process holds the part and has granted a token.
    pub(super) fn ask(&mut self, part: u8, request: TokenRequest) -> bool {
        let core = self.core;
        let holder = core.quota_desk.with_claim(part, |claim| claim.holder());
        let Some(holder) = holder.flatten().map(|holder| holder.vm) else {
            return false;
        };
        self.ever_asked.push(part);
        let asked = AskedPart {
            part,
            holder,
            asked_at: core.running_time(),
            due: None,
        };
        let organisation = self.organisation.name.clone();
        if holder == core.session.vm {
            self.asked.push(asked);
            let answer = core.decide_token(AskedToken {
                part,
                organisation,
                requester: self.requester,
                request,
                link: None,
            });
            return self.record(part, answer);
        }
        let message = QuotaMessage::Request {
            requester: self.requester,
            part,
            organisation,
            request,
        };
        if core
            .delegates
            .send_message(holder, PeerMessage::Quota(message))
        {
            self.asked.push(asked);
        }
        false
    }

    /// Returns the organisation whose quota it is.
    pub(super) fn organisation(&self) -> &'a OrganisationEntry {
        self.organisation
    }

    /// Returns whether a VM has left a request of this wait unanswered.
    pub(super) fn has_unanswered(&self, holder: VmAddress) -> bool {
        self.asked
            .iter()
            .any(|asked| asked.holder == holder && asked.due.is_none())
    }

    /// Withdraws the request from the holder of a part.
    fn release(&self, part: u8) {
        let (core, requester) = (self.core, self.requester);
        let organisation = &self.organisation.name;
        let holder = core.quota_desk.with_claim(part, |claim| claim.holder());
        let Some(holder) = holder.flatten() else {
            return;
        };
        if holder.vm == core.session.vm {
            core.quota_desk.release_own(part, organisation, requester);
            return;
        }
        let message = QuotaMessage::Release {
            requester,
            part,
            organisation: organisation.clone(),
        };
        // A reservation that can't be withdrawn is granted and lost, and a promise expires.
        let _sent = core
            .delegates
            .send_message(holder.vm, PeerMessage::Quota(message));
    }

    /// Records the answer for a part. Returns whether a token was granted.
    fn record(&mut self, part: u8, answer: QuotaAnswer) -> bool {
        let now = self.core.running_time();
        let index = self.asked.iter().position(|asked| asked.part == part);
        match answer {
            QuotaAnswer::Granted { waited_us, .. } => {
                let asked = index.map(|index| self.asked.remove(index));
                let is_timely = asked.is_some_and(|asked| {
                    let elapsed = now.saturating_sub(asked.asked_at);
                    is_timely(elapsed, Duration::from_micros(waited_us))
                });
                if let Some(grant) = GrantTimes::of(answer)
                    && !is_timely
                {
                    self.core.give_back(part, &self.organisation.name, grant);
                }
                is_timely
            }
            QuotaAnswer::Waiting { due_ms } => {
                if let Some(index) = index {
                    let due = now + Duration::from_millis(u64::from(due_ms));
                    self.asked[index].due = Some(due);
                }
                false
            }
            QuotaAnswer::Refused {
                return_ms,
                next_token_ms,
                is_promised,
                is_over_limit,
            } => {
                if let Some(index) = index {
                    self.asked.remove(index);
                }
                let empty = EmptyPart {
                    part,
                    next_token: now + Duration::from_millis(u64::from(next_token_ms)),
                    answered_at: now,
                    is_over_limit,
                };
                let desk = &self.core.quota_desk;
                desk.note_empty(&self.organisation.name, empty);
                self.refusals.push(PartRefusal {
                    part,
                    return_at: now + Duration::from_millis(u64::from(return_ms)),
                    is_promised,
                    is_over_limit,
                });
                false
            }
            QuotaAnswer::Unknown => {
                if let Some(index) = index {
                    self.asked.remove(index);
                }
                false
            }
        }
    }

    /// Returns what the holders that have answered have decided.
    fn decision(&self) -> HolderDecision {
        if let Some(refusal) = self.refusals.first() {
            let is_over_limit = refusal.is_over_limit;
            return HolderDecision::Refused { is_over_limit };
        }
        let due = self.asked.iter().filter_map(|asked| asked.due).min();
        due.map_or(HolderDecision::Unanswered, |due| HolderDecision::Reserved {
            due,
        })
    }

    /// Waits until a holder has decided, all have answered that they don't know the quota, or the timeout ends.
    pub(super) async fn wait_for_decision(&mut self, timeout: Duration) -> HolderDecision {
        let deadline = Instant::now() + timeout;
        while !self.asked.is_empty() && self.decision() == HolderDecision::Unanswered {
            let answer = tokio::time::timeout_at(deadline, self.answers.recv()).await;
            let Ok(Some((part, answer))) = answer else {
                break;
            };
            if self.record(part, answer) {
                return HolderDecision::Granted;
            }
        }
        self.decision()
    }

    /// Waits until a token is granted, no asked holder can grant one any more, or the timeout ends. Returns whether a
    /// token was granted.
    pub(super) async fn wait_for_token(&mut self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while !self.asked.is_empty() {
            let answer = tokio::time::timeout_at(deadline, self.answers.recv()).await;
            let Ok(Some((part, answer))) = answer else {
                return false;
            };
            if self.record(part, answer) {
                return true;
            }
        }
        false
    }

    /// Marks the holders that have not answered, and withdraws the request from those that have reserved a token and
    /// have not granted it in time.
    pub(super) fn note_silent(&mut self) {
        let until = self.core.running_time() + SILENT_TIME;
        for asked in &self.asked {
            self.core.quota_desk.note_silent(asked.part, until);
            if asked.due.is_some() {
                self.release(asked.part);
            }
        }
        self.asked.retain(|asked| asked.due.is_none());
    }

    /// Returns the refusal if a holder has refused. A promised return goes before an earlier one without a promise.
    pub(super) fn refusal(&mut self) -> Option<QuotaRefusal> {
        let first = self
            .refusals
            .iter()
            .min_by_key(|refusal| (!refusal.is_promised, refusal.return_at))?;
        self.kept_promise = first.is_promised.then_some(first.part);
        Some(QuotaRefusal::OverQuota {
            wait: first.return_at.saturating_sub(self.core.running_time()),
            is_promised: first.is_promised,
        })
    }
}
