//! Creates the answer of a request.

use compact_str::format_compact;

use super::{QueryRun, RunReport, RunTarget};
use crate::gateway::clock::now;
use crate::gateway::policy::gather::GatherEnd;
use crate::gateway::policy::latency::millis;
use crate::gateway::refusal::RefusalReason;
use crate::gateway::reply::{
    CallerReply, forwarded_reply, gathered_reply, refusal_reply, set_retry_after,
};

/// Maximum number of open attempts listed in the log line of a failed request.
const LISTED_ATTEMPTS_LIMIT: usize = 4;

impl QueryRun {
    /// Creates the answer and its log details.
    pub(super) fn finish(mut self, end: GatherEnd) -> RunReport {
        let answer_decided_at = now();
        let detail = format_compact!(
            "parts={}/{} attempts={} groups={} hedges={} retries={} unfunded={} denied={} lost={} postponed={} caller_ms={:.1} lag_ms={:.1}",
            self.state.answered_count(),
            self.state.shards().len(),
            self.attempts.len(),
            self.groups.len(),
            self.hedge_count,
            self.retry_count,
            self.denied_repeats.get(),
            self.last_denial.get(),
            self.state.lost_count(),
            self.postponed_count,
            millis(self.request.caller_overhead),
            millis(self.answer_margin)
        );
        let (outcome, reply) = match end {
            GatherEnd::Whole | GatherEnd::Partial => self.success_reply(end),
            GatherEnd::InsufficientCoverage | GatherEnd::DeadlinePassed => self.failure_reply(end),
        };
        let detail = if reply.status().is_success() {
            detail
        } else {
            detail + &self.open_attempts()
        };
        let is_gathered =
            matches!(self.target, RunTarget::Gather(_)) && reply.status().is_success();
        RunReport {
            reply,
            outcome,
            detail,
            answer_decided_at: is_gathered.then_some(answer_decided_at),
        }
    }

    /// Lists the attempts that a failed request was still waiting for, for its log line.
    fn open_attempts(&self) -> String {
        let current_time = now();
        let open_attempts = self
            .attempts
            .iter()
            .filter(|attempt| !attempt.ended && self.state.shards()[attempt.shard].is_open());
        let descriptions = open_attempts.take(LISTED_ATTEMPTS_LIMIT).map(|attempt| {
            let waited_ms = current_time
                .saturating_duration_since(attempt.began)
                .as_millis();
            let service = self.target.service(attempt.shard);
            format_compact!(" open={service}@{}:{waited_ms}ms", attempt.incarnation)
        });
        descriptions.collect()
    }

    /// Returns the outcome and the reply of a request for which enough parts have arrived.
    fn success_reply(&mut self, end: GatherEnd) -> (&'static str, CallerReply) {
        let header_names = &self.context.core.dialect.names;
        if let RunTarget::Gather(gather_terms) = &self.target {
            let outcome = if end == GatherEnd::Whole {
                "whole"
            } else {
                "partial"
            };
            return (
                outcome,
                gathered_reply(header_names, &self.state, gather_terms.max_records),
            );
        }
        match self.single_answer.take() {
            Some(answer) => ("answered", forwarded_reply(answer)),
            None => ("unknown", refusal_reply(RefusalReason::Unknown)),
        }
    }

    /// Returns the outcome and the reply of a request for which too few parts have arrived.
    fn failure_reply(&mut self, end: GatherEnd) -> (&'static str, CallerReply) {
        let is_single = matches!(self.target, RunTarget::One(_));
        if let Some(failed_answer) = self.failed_answer.take().filter(|_failed_answer| is_single) {
            return ("failed", forwarded_reply(failed_answer));
        }
        // A request that only waited for a connection hasn't run, so it isn't answered with 504: after that status
        // callers don't resend requests that may run only once.
        let reason = match (self.may_have_run(), end) {
            (true, GatherEnd::DeadlinePassed) if self.is_cut => RefusalReason::Unknown,
            (false, GatherEnd::DeadlinePassed) if self.is_cut => RefusalReason::Stopping,
            (true, GatherEnd::DeadlinePassed) => RefusalReason::Late,
            (true, _) => RefusalReason::Unknown,
            (false, GatherEnd::DeadlinePassed) => RefusalReason::LateUnsent,
            (false, _) if self.is_excluded() => RefusalReason::NotAtHome,
            (false, _) => match self.hopeless_return {
                Some(wait) => RefusalReason::Hopeless(wait),
                None => RefusalReason::NoUpstream,
            },
        };
        let mut reply = refusal_reply(reason);
        if reason == RefusalReason::NoUpstream
            && let Some(retry_after) = self.registration_left().or_else(|| self.warm_up_left())
        {
            set_retry_after(&mut reply, retry_after);
        }
        (reason.label(), reply)
    }
}
