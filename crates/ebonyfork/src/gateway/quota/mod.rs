//! Takes tokens of organisations' quotas from the VMs that hold the parts, and holds parts for other VMs. The rules are
//! in [`crate::gateway::policy::quota`].
//!
//! [`QuotaDesk`] is the state, `wait` one request for a token, `holder` answers those of the parts that this process
//! holds, `transfer` moves tokens between holders, `claims` decides which parts these are. `usage` counts outcomes and
//! `report` shows them to the operators.

mod claims;
mod desk;
mod holder;
mod metrics;
mod report;
mod transfer;
mod usage;
mod wait;

use std::rc::Rc;
use std::time::Duration;

use smallvec::SmallVec;

pub use claims::run_quota_claims;
pub use desk::QuotaDesk;
pub use metrics::QuotaMetrics;
pub use report::{HeldPartReport, OrganisationReport, PartReport, QuotaQuery, QuotaReport};

use self::holder::AskedToken;
use self::usage::HolderOutcome;
use self::wait::{HolderDecision, TokenWait};
use crate::gateway::core::GatewayCore;
use crate::gateway::organisation::{OrganisationEntry, OrganisationName};
use crate::gateway::policy::quota::{
    PartState, PartTerms, PartView, QUOTA_PARTS, QuotaAnswer, QuotaMessage, QuotaRefusal,
    TokenRequest, other_parts, plan_asks, trip_time,
};
use crate::gateway::refusal::RefusalReason;
use crate::gateway::settings::PlaceDistance;
use crate::wire::{LinkSender, PeerMessage};

/// Time that a holder gets for its answer in addition to the trip: queueing on two busy VMs.
const ANSWER_MARGIN: Duration = Duration::from_millis(23);
/// Longest wait for the answers of holders that are asked together: one trip between regions and back (24 ms), plus
/// queueing on two busy VMs.
const ALL_TIMEOUT: Duration = Duration::from_millis(100);

/// What a caller's request needs from its quota.
#[derive(Debug, Clone, Copy)]
pub struct TokenNeed {
    /// What the holder is told, with the time until the request must have its token.
    pub request: TokenRequest,
    /// Time for which the caller still waits.
    pub caller_wait: Duration,
}

impl GatewayCore {
    /// Takes a token of an organisation's quota, or returns the reason why there is none.
    pub async fn take_quota_token(
        self: &Rc<Self>,
        organisation: &OrganisationEntry,
        need: TokenNeed,
        request_id: &str,
    ) -> Result<(), RefusalReason> {
        let Some(quota) = organisation.quota else {
            return Ok(());
        };
        let terms = PartTerms::new(self.settings.quota_bound, quota);
        let begun_at = self.running_time();
        let Err(refusal) = self.ask_holders(organisation, terms, need).await else {
            return Ok(());
        };
        let copy_age = self.relay.copy_age();
        log::info!(
            target: "ebonyfork::decision",
            "quota request={request_id} organisation={} limit={quota} parts={} {refusal} wait_limit_ms={} decided_ms={} copy_age_ms={}",
            organisation.name,
            terms.part_count,
            need.request.longest_wait.as_millis(),
            self.running_time().saturating_sub(begun_at).as_millis(),
            copy_age.map_or(-1, |age| age.as_millis() as i64)
        );
        Err(match refusal {
            QuotaRefusal::OverQuota { wait, .. } => RefusalReason::OverQuota(wait),
            QuotaRefusal::Unknown => RefusalReason::QuotaUnknown,
        })
    }

    /// Asks the holders of an organisation's quota for a token, the nearest one first. The first that answers decides.
    async fn ask_holders(
        self: &Rc<Self>,
        organisation: &OrganisationEntry,
        terms: PartTerms,
        need: TokenNeed,
    ) -> Result<(), QuotaRefusal> {
        let begun_at = self.running_time();
        let views = self.part_views(organisation, terms);
        let mut wait = TokenWait::new(self, organisation);
        for round in plan_asks(&views) {
            let elapsed = self.running_time().saturating_sub(begun_at);
            let need = need.after(elapsed);
            let mut timeout = ALL_TIMEOUT;
            for part in &round {
                if self.awaits_holder(&wait, *part) {
                    continue;
                }
                let trip = trip_time(self.holder_distance(*part));
                if round.len() == 1 {
                    timeout = trip + ANSWER_MARGIN;
                }
                if wait.ask(*part, need.after(trip).request) {
                    return Ok(());
                }
            }
            let decision = wait.wait_for_decision(timeout).await;
            if self.follow(&mut wait, decision, need, terms).await {
                return Ok(());
            }
            if let Some(refusal) = wait.refusal() {
                return Err(refusal);
            }
            wait.note_silent();
        }
        Err(QuotaRefusal::Unknown)
    }

    /// Returns whether the holder of a part has left another request of this wait unanswered.
    fn awaits_holder(&self, wait: &TokenWait<'_>, part: u8) -> bool {
        let holder = self.quota_desk.with_claim(part, |claim| claim.holder());
        holder
            .flatten()
            .is_some_and(|holder| wait.has_unanswered(holder.vm))
    }

    /// Acts on the decision of a holder: waits for the reserved token, and asks the other holders for one at hand if one
    /// may have it in time. Returns whether a token was granted.
    async fn follow(
        &self,
        wait: &mut TokenWait<'_>,
        decision: HolderDecision,
        need: TokenNeed,
        terms: PartTerms,
    ) -> bool {
        let (reach, timeout) = match decision {
            HolderDecision::Granted => return true,
            HolderDecision::Unanswered => return false,
            HolderDecision::Reserved { due } => {
                let until_due = due.saturating_sub(self.running_time());
                let longest_wait = need.request.longest_wait;
                (until_due.min(longest_wait), longest_wait + ALL_TIMEOUT)
            }
            HolderDecision::Refused {
                is_over_limit: true,
            } => (need.request.longest_wait, ALL_TIMEOUT),
            HolderDecision::Refused {
                is_over_limit: false,
            } => (need.caller_wait, ALL_TIMEOUT),
        };
        let views = self.part_views(wait.organisation(), terms);
        for part in other_parts(&views, &wait.ever_asked, reach) {
            if wait.ask(part, need.request.without_wait()) {
                return true;
            }
        }
        wait.wait_for_token(timeout).await
    }

    fn holder_distance(&self, part: u8) -> PlaceDistance {
        self.quota_desk.parts.borrow()[usize::from(part)].distance
    }

    /// Returns what this VM knows of the parts of an organisation's quota.
    fn part_views(
        &self,
        organisation: &OrganisationEntry,
        terms: PartTerms,
    ) -> SmallVec<[PartView; QUOTA_PARTS]> {
        let now = self.running_time();
        let parts = self.quota_desk.parts.borrow();
        let mut views = SmallVec::new();
        for number in terms.parts_of(&organisation.name) {
            let part = &parts[usize::from(number)];
            let empty = self.quota_desk.empty_part(number, &organisation.name, now);
            views.push(PartView {
                part: number,
                has_holder: part.claim.holder().is_some(),
                distance: part.distance,
                is_silent: now < part.silent_until,
                state: match empty {
                    None => PartState::MayGrant,
                    Some(empty) if empty.is_over_limit => PartState::OverLimit,
                    Some(_empty) => PartState::Empty,
                },
            });
        }
        views
    }

    /// Returns a token to the holder that granted it.
    fn give_back(&self, part: u8, organisation: &OrganisationName, grant: GrantTimes) {
        let holder = self.quota_desk.with_claim(part, |claim| claim.holder());
        let Some(holder) = holder.flatten() else {
            return;
        };
        if holder.vm == self.session.vm {
            self.take_back(part, organisation, grant);
            return;
        }
        let message = QuotaMessage::GiveBack {
            part,
            organisation: organisation.clone(),
            held_since_ns: grant.held_since_ns,
            granted_at_ns: grant.granted_at_ns,
        };
        // A token that can't be returned is lost.
        let _sent = self
            .delegates
            .send_message(holder.vm, PeerMessage::Quota(message));
    }

    /// Puts back a token that this process granted and that was not used.
    fn take_back(&self, part: u8, organisation: &OrganisationName, grant: GrantTimes) {
        if let Some(terms) = self.quota_terms(part, organisation) {
            let now = self.running_time();
            self.quota_desk
                .give_back_own(part, organisation, terms, grant, now);
            let usage = &self.quota_desk.usage;
            usage.count_part(part, organisation, HolderOutcome::GivenBack, now);
        }
    }

    /// Returns what a part of an organisation's quota amounts to; `None` if this VM's configuration has no such quota.
    fn quota_terms(&self, part: u8, organisation: &OrganisationName) -> Option<PartTerms> {
        let table = self.table()?;
        let quota = table.organisations()?.named(organisation)?.quota?;
        let terms = PartTerms::new(self.settings.quota_bound, quota);
        terms
            .parts_of(organisation)
            .any(|number| number == part)
            .then_some(terms)
    }
}

/// Times of a grant on the holder's clock, in nanoseconds. The holder accepts a token back only if they fit.
#[derive(Debug, Clone, Copy)]
struct GrantTimes {
    /// Start of the hold.
    held_since_ns: u64,
    granted_at_ns: u64,
}

impl GrantTimes {
    /// Returns the times that an answer states, if it grants a token.
    fn of(answer: QuotaAnswer) -> Option<Self> {
        match answer {
            QuotaAnswer::Granted {
                held_since_ns,
                granted_at_ns,
                ..
            } => Some(Self {
                held_since_ns,
                granted_at_ns,
            }),
            _ => None,
        }
    }
}

impl TokenNeed {
    /// Returns what the request needs after some time has passed.
    fn after(self, elapsed: Duration) -> Self {
        let mut request = self.request;
        request.longest_wait = request.longest_wait.saturating_sub(elapsed);
        Self {
            request,
            caller_wait: self.caller_wait.saturating_sub(elapsed),
        }
    }
}

/// Handles a message about a token from another VM.
pub fn take_message(core: &Rc<GatewayCore>, sender: &LinkSender, message: QuotaMessage) {
    let desk = &core.quota_desk;
    match message {
        QuotaMessage::Request {
            requester,
            part,
            organisation,
            request,
        } => {
            let answer = core.decide_token(AskedToken {
                part,
                organisation: organisation.clone(),
                requester,
                request,
                link: Some(sender.clone()),
            });
            let answer = QuotaMessage::Answer {
                number: requester.number,
                part,
                organisation,
                answer,
            };
            if let Err(error) = sender.send(PeerMessage::Quota(answer)) {
                // The asking VM asks another holder.
                log::debug!("quota answer to {:?} not sent: {error}", sender.peer());
            }
        }
        QuotaMessage::Answer {
            number,
            part,
            organisation,
            answer,
        } => {
            let is_taken = desk.answer_pending(number, part, answer);
            if let Some(grant) = GrantTimes::of(answer)
                && !is_taken
            {
                core.give_back(part, &organisation, grant);
            }
        }
        QuotaMessage::GiveBack {
            part,
            organisation,
            held_since_ns,
            granted_at_ns,
        } => {
            let grant = GrantTimes {
                held_since_ns,
                granted_at_ns,
            };
            core.take_back(part, &organisation, grant);
        }
        QuotaMessage::Release {
            requester,
            part,
            organisation,
        } => desk.release_own(part, &organisation, requester),
        QuotaMessage::TransferRequest {
            number,
            part,
            organisation,
            wanted,
        } => core.answer_transfer(sender, (number, part, organisation), wanted),
        QuotaMessage::Transfer {
            number,
            part,
            organisation,
            tokens,
            next_token_ms,
        } => {
            let next_token = Duration::from_millis(u64::from(next_token_ms));
            core.take_transfer((number, part, organisation), tokens, next_token);
        }
    }
}

#[cfg(test)]
#[path = "quota_tests.rs"]
mod tests;
