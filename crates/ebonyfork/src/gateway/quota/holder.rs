//! Answers requests for tokens of the parts that this process holds.
//!
//! A request that waits is answered twice: at once with the time at which its token is due, and again when the token is
//! granted. A timer for each organisation with waiting requests checks them.

use std::rc::Rc;
use std::time::Duration;

use super::GrantTimes;
use super::metrics::QuotaEvent;
use crate::gateway::core::GatewayCore;
use crate::gateway::organisation::OrganisationName;
use crate::gateway::policy::quota::{
    QuotaAnswer, QuotaMessage, RequesterKey, TokenDecision, TokenRefusal, TokenRequest, WaitEnd,
};
use crate::wire::{LinkSender, PeerMessage};

/// Time after which a request returns whose reservation was not met, in milliseconds. Such a request has waited for its
/// full time, and the holder has no later token for it.
const FAILED_WAIT_RETURN_MS: u32 = 50;

/// Request for a token as a holder sees it.
#[derive(Debug, Clone)]
pub(super) struct AskedToken {
    pub(super) part: u8,
    pub(super) organisation: OrganisationName,
    pub(super) requester: RequesterKey,
    pub(super) request: TokenRequest,
    /// Link to the VM that asks; `None` if this process does.
    pub(super) link: Option<LinkSender>,
}

impl GatewayCore {
    /// Decides on a request for a token. If the request waits, another answer follows on its link.
    pub(super) fn decide_token(self: &Rc<Self>, asked: AskedToken) -> QuotaAnswer {
        let (part, organisation) = (asked.part, &asked.organisation.clone());
        let Some(terms) = self.quota_terms(part, organisation) else {
            return QuotaAnswer::Unknown;
        };
        self.check_waiting(part, organisation);
        let now = self.running_time();
        let request = (asked.requester, asked.request);
        let decision = self
            .quota_desk
            .decide_own(part, organisation, terms, request, now);
        let Some((decision, held_since)) = decision else {
            return QuotaAnswer::Unknown;
        };
        self.note_decision(&asked, &decision, now);
        self.note_transfer_demand(part, organisation, now);
        // Asked for with the last token, others are there when the next request comes.
        if self.quota_desk.has_no_spare(part, organisation, terms) {
            self.request_transfers(part, organisation, terms);
        }
        let answer = match decision {
            TokenDecision::Granted { .. } => QuotaAnswer::Granted {
                held_since_ns: held_since.as_nanos() as u64,
                granted_at_ns: now.as_nanos() as u64,
                waited_us: 0,
            },
            TokenDecision::WaitUntil { due } => {
                self.keep_waiting(asked, now);
                QuotaAnswer::Waiting {
                    due_ms: millis_until(due, now),
                }
            }
            TokenDecision::Refused(refusal) => refused_answer(refusal, now),
        };
        let usage = &self.quota_desk.usage;
        usage.count_answer(part, organisation, answer, now);
        answer
    }

    /// Logs and counts a decision.
    fn note_decision(&self, asked: &AskedToken, decision: &TokenDecision, now: Duration) {
        let mut events = [None, None];
        let mut at = now;
        match decision {
            TokenDecision::Granted { is_kept_promise } => {
                events[0] = is_kept_promise.then_some(QuotaEvent::PromiseKept);
            }
            TokenDecision::WaitUntil { .. } => {}
            TokenDecision::Refused(refusal) => {
                let is_broken = refusal.is_broken_promise;
                events[0] = is_broken.then_some(QuotaEvent::PromiseBroken);
                events[1] = Some(if refusal.is_promised {
                    QuotaEvent::Promised
                } else {
                    QuotaEvent::Refused
                });
                at = refusal.return_at;
            }
        }
        for event in events.into_iter().flatten() {
            self.metrics.quota.count(event);
            log::info!(
                target: "ebonyfork::decision",
                "quota part={} organisation={} priority={} {} return_ms={}",
                asked.part,
                asked.organisation,
                asked.request.priority,
                event.label(),
                millis_until(at, now)
            );
        }
    }

    /// Keeps the link of a waiting request, and a timer that checks it.
    fn keep_waiting(self: &Rc<Self>, asked: AskedToken, now: Duration) {
        let AskedToken {
            part,
            organisation,
            requester,
            request,
            link,
        } = asked;
        let desk = &self.quota_desk;
        if let Some(link) = link {
            desk.keep_responder(part, requester, link, now + request.longest_wait);
        }
        if !desk.start_timer(part, &organisation) {
            return;
        }
        let timer = WaitTimer {
            core: Rc::clone(self),
            part,
            organisation,
        };
        tokio::task::spawn_local(async move {
            while let Some(next_check) = timer.core.check_waiting(part, &timer.organisation) {
                let pause = next_check.saturating_sub(timer.core.running_time());
                tokio::time::sleep(pause).await;
            }
        });
    }

    /// Answers the waiting requests of an organisation whose tokens have become due. Returns when to check again.
    pub(super) fn check_waiting(
        self: &Rc<Self>,
        part: u8,
        organisation: &OrganisationName,
    ) -> Option<Duration> {
        let terms = self.quota_terms(part, organisation)?;
        let now = self.running_time();
        let (check, held_since) =
            self.quota_desk
                .check_waiting_own(part, organisation, terms, now)?;
        for _promise in 0..check.expired_promises {
            self.metrics.quota.count(QuotaEvent::PromiseExpired);
            log::info!(
                target: "ebonyfork::decision",
                "quota part={part} organisation={organisation} {}",
                QuotaEvent::PromiseExpired.label()
            );
        }
        if self.quota_desk.lacks_tokens(part, organisation) {
            self.request_transfers(part, organisation, terms);
        }
        for end in check.ended {
            self.end_wait(part, organisation, end, (held_since, now));
        }
        check.next_check
    }

    /// Answers a request whose wait has ended.
    fn end_wait(
        self: &Rc<Self>,
        part: u8,
        organisation: &OrganisationName,
        end: WaitEnd,
        (held_since, now): (Duration, Duration),
    ) {
        let grant = GrantTimes {
            held_since_ns: held_since.as_nanos() as u64,
            granted_at_ns: now.as_nanos() as u64,
        };
        let (event, answer) = if end.is_granted {
            let waited_us = end.waited.as_micros() as u64;
            let granted = QuotaAnswer::Granted {
                held_since_ns: grant.held_since_ns,
                granted_at_ns: grant.granted_at_ns,
                waited_us,
            };
            (QuotaEvent::Waited, granted)
        } else {
            let refused = QuotaAnswer::Refused {
                return_ms: FAILED_WAIT_RETURN_MS,
                next_token_ms: FAILED_WAIT_RETURN_MS,
                is_promised: false,
                is_over_limit: true,
            };
            (QuotaEvent::WaitFailed, refused)
        };
        let usage = &self.quota_desk.usage;
        usage.count_answer(part, organisation, answer, now);
        self.metrics.quota.count(event);
        log::info!(
            target: "ebonyfork::decision",
            "quota part={part} organisation={organisation} {} waited_ms={}",
            event.label(),
            end.waited.as_millis()
        );
        let is_taken = self.answer_request(part, organisation, end.requester, answer);
        if end.is_granted && !is_taken {
            self.give_back(part, organisation, grant);
        }
    }

    /// Sends the answer to a request that waited. Returns whether it was sent.
    fn answer_request(
        &self,
        part: u8,
        organisation: &OrganisationName,
        requester: RequesterKey,
        answer: QuotaAnswer,
    ) -> bool {
        let desk = &self.quota_desk;
        let link = desk.take_responder(part, requester);
        if requester.session == self.session {
            return desk.answer_pending(requester.number, part, answer);
        }
        let message = QuotaMessage::Answer {
            number: requester.number,
            part,
            organisation: organisation.clone(),
            answer,
        };
        // A request whose link is lost asks another holder.
        link.is_some_and(|link| link.send(PeerMessage::Quota(message)).is_ok())
    }
}

/// Timer that checks the waiting requests of an organisation. It is removed on drop: otherwise no later request that waits
/// would get a timer.
struct WaitTimer {
    core: Rc<GatewayCore>,
    part: u8,
    organisation: OrganisationName,
}

impl Drop for WaitTimer {
    fn drop(&mut self) {
        let desk = &self.core.quota_desk;
        desk.end_timer(self.part, &self.organisation);
    }
}

/// Returns the milliseconds until a time, rounded up, so that what is due by then is there.
fn millis_until(time: Duration, now: Duration) -> u32 {
    let wait = time.saturating_sub(now);
    u32::try_from(wait.as_millis() + u128::from(!wait.is_zero())).unwrap_or(u32::MAX)
}

fn refused_answer(refusal: TokenRefusal, now: Duration) -> QuotaAnswer {
    QuotaAnswer::Refused {
        return_ms: millis_until(refusal.return_at, now),
        next_token_ms: millis_until(refusal.next_token_at, now),
        is_promised: refusal.is_promised,
        is_over_limit: refusal.is_over_limit,
    }
}

#[cfg(test)]
#[path = "holder_tests.rs"]
mod tests;
