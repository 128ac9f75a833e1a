//! Takes tokens of organisations' quotas from the VMs that hold the parts, and holds parts for other VMs. The rules are
//! in [`crate::gateway::policy::quota`].
//!
//! [`QuotaDesk`] is the state, `wait` one request for a token, `claims` decides which parts this process holds. `usage`
//! counts outcomes and `report` shows them to the operators.

mod claims;
mod desk;
mod report;
mod usage;
mod wait;

use std::time::Duration;

use smallvec::SmallVec;

pub use claims::run_quota_claims;
pub use desk::QuotaDesk;
pub use report::{HeldPartReport, OrganisationReport, PartReport, QuotaQuery, QuotaReport};

use self::usage::HolderOutcome;
use self::wait::TokenWait;
use crate::gateway::core::GatewayCore;
use crate::gateway::organisation::{OrganisationEntry, OrganisationName};
use crate::gateway::policy::quota::{
    AskPlan, PartTerms, PartView, QUOTA_PARTS, QuotaAnswer, QuotaMessage, QuotaRefusal, plan_asks,
    refusal,
};
use crate::gateway::refusal::RefusalReason;
use crate::wire::{LinkSender, PeerMessage};

/// Longest wait for the nearest holder before the others are asked: one trip within a region and back (2 ms), plus
/// queueing on two busy VMs.
const FIRST_TIMEOUT: Duration = Duration::from_millis(25);
/// Longest wait for all holders: one trip between regions and back (24 ms), plus queueing on two busy VMs.
const ALL_TIMEOUT: Duration = Duration::from_millis(100);

impl GatewayCore {
    /// Takes a token of an organisation's quota, or returns the reason why there is none.
    pub async fn take_quota_token(
        &self,
        organisation: &OrganisationEntry,
        request_id: &str,
    ) -> Result<(), RefusalReason> {
        let Some(quota) = organisation.quota else {
            return Ok(());
        };
        let terms = PartTerms::new(self.settings.quota_bound, quota);
        let Err(mut refusal) = self.ask_holders(organisation, terms).await else {
            return Ok(());
        };
        if let QuotaRefusal::OverQuota { wait } = &mut refusal {
            *wait =
                self.quota_desk
                    .schedule_return(organisation, quota, *wait, self.running_time());
        }
        let copy_age = self.relay.copy_age();
        log::info!(
            target: "ebonyfork::decision",
            "quota request={request_id} organisation={} limit={quota} parts={} {refusal} copy_age_ms={}",
            organisation.name,
            terms.part_count,
            copy_age.map_or(-1, |age| age.as_millis() as i64)
        );
        Err(match refusal {
            QuotaRefusal::OverQuota { wait } => RefusalReason::OverQuota(wait),
            QuotaRefusal::Unknown => RefusalReason::QuotaUnknown,
        })
    }

    /// Asks the holders of an organisation's quota for a token, the nearest one first.
    async fn ask_holders(
        &self,
        organisation: &OrganisationEntry,
        terms: PartTerms,
    ) -> Result<(), QuotaRefusal> {
        let mut views = self.part_views(organisation, terms);
        let (first, others) = match plan_asks(&views) {
            AskPlan::Refuse(refusal) => return Err(refusal),
            AskPlan::Ask { first, others } => (first, others),
        };
        let mut wait = TokenWait::new(self, organisation, terms);
        if let Some(first) = first {
            if wait.ask(first) || wait.wait(FIRST_TIMEOUT).await {
                return Ok(());
            }
            wait.note_silent();
        }
        for part in others {
            if wait.ask(part) {
                return Ok(());
            }
        }
        if wait.wait(ALL_TIMEOUT).await {
            return Ok(());
        }
        wait.note_silent();
        let now = self.running_time();
        for view in &mut views {
            if !wait.empty.contains(&view.part) {
                continue;
            }
            // A part that was empty a moment ago may have a token by now.
            let organisation = &organisation.name;
            let empty_for = self.quota_desk.empty_for(view.part, organisation, now);
            view.empty_for = Some(empty_for.unwrap_or_default());
        }
        Err(refusal(&views))
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
            views.push(PartView {
                part: number,
                has_holder: part.claim.holder().is_some(),
                distance: part.distance,
                is_silent: now < part.silent_until,
                empty_for: self.quota_desk.empty_for(number, &organisation.name, now),
            });
        }
        views
    }

    /// Returns a token to the holder that granted it.
    fn give_back(&self, part: u8, organisation: &OrganisationName, held_since_ns: u64) {
        let holder = self.quota_desk.with_claim(part, |claim| claim.holder());
        let Some(holder) = holder.flatten() else {
            return;
        };
        let message = QuotaMessage::GiveBack {
            part,
            organisation: organisation.clone(),
            held_since_ns,
        };
        // A token that can't be returned is lost.
        let _sent = self
            .delegates
            .send_message(holder.vm, PeerMessage::Quota(message));
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

/// Handles a message about a token from another VM.
pub fn take_message(core: &GatewayCore, sender: &LinkSender, message: QuotaMessage) {
    let desk = &core.quota_desk;
    match message {
        QuotaMessage::Request {
            number,
            part,
            organisation,
        } => {
            let terms = core.quota_terms(part, &organisation);
            let answer = terms.map_or(QuotaAnswer::Unknown, |terms| {
                desk.take_own(part, &organisation, terms, core.running_time())
            });
            let answer = QuotaMessage::Answer {
                number,
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
            let waiting = desk.pending.borrow().get(&number).cloned();
            let is_taken = waiting.is_some_and(|waiting| waiting.send((part, answer)).is_ok());
            if let QuotaAnswer::Granted { held_since_ns } = answer
                && !is_taken
            {
                core.give_back(part, &organisation, held_since_ns);
            }
        }
        QuotaMessage::GiveBack {
            part,
            organisation,
            held_since_ns,
        } => {
            if let Some(terms) = core.quota_terms(part, &organisation) {
                desk.give_back_own(part, &organisation, terms, held_since_ns);
                let now = core.running_time();
                desk.usage
                    .count_part(part, &organisation, HolderOutcome::GivenBack, now);
            }
        }
    }
}

#[cfg(test)]
#[path = "quota_tests.rs"]
mod tests;
