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

/// Maximum number of attempts listed in the log line of a failed request.
const OPEN_LIMIT: usize = 4;

impl QueryRun {
    /// Creates the answer and its log details.
    pub(super) fn finish(mut self, end: GatherEnd) -> RunReport {
        let decided = now();
        let detail = format_compact!(
            "parts={}/{} attempts={} groups={} hedges={} retries={} unfunded={} denied={} lost={} postponed={} caller_ms={:.1} lag_ms={:.1}",
            self.state.answered(),
            self.state.shards().len(),
            self.attempts.len(),
            self.groups.len(),
            self.hedges,
            self.retries,
            self.unfunded.get(),
            self.denial.get(),
            self.state.lost(),
            self.postponed,
            millis(self.request.caller_overhead),
            millis(self.lag)
        );
        let (outcome, reply) = match end {
            GatherEnd::Whole | GatherEnd::Partial => self.answer(end),
            GatherEnd::InsufficientCoverage | GatherEnd::DeadlinePassed => self.fail(end),
        };
        let detail = if reply.status().is_success() {
            detail
        } else {
            detail + &self.open_attempts()
        };
        let gathered_reply =
            matches!(self.target, RunTarget::Gather(_)) && reply.status().is_success();
        RunReport {
            reply,
            outcome,
            detail,
            decided: gathered_reply.then_some(decided),
        }
    }

    /// Lists the attempts that a failed request was still waiting for, for its log line.
    fn open_attempts(&self) -> String {
        let time = now();
        let open = self
            .attempts
            .iter()
            .filter(|attempt| !attempt.ended && self.state.shards()[attempt.shard].is_open());
        let named = open.take(OPEN_LIMIT).map(|attempt| {
            let waited = time.saturating_duration_since(attempt.began).as_millis();
            let service = self.target.service(attempt.shard);
            format_compact!(" open={service}@{}:{waited}ms", attempt.incarnation)
        });
        named.collect()
    }

    fn answer(&mut self, end: GatherEnd) -> (&'static str, CallerReply) {
        let names = &self.context.core.dialect.names;
        if let RunTarget::Gather(terms) = &self.target {
            let word = if end == GatherEnd::Whole {
                "whole"
            } else {
                "partial"
            };
            return (word, gathered_reply(names, &self.state, terms.max_records));
        }
        match self.single.take() {
            Some(answer) => ("answered", forwarded_reply(answer)),
            None => ("unknown", refusal_reply(RefusalReason::Unknown)),
        }
    }

    fn fail(&mut self, end: GatherEnd) -> (&'static str, CallerReply) {
        let one = matches!(self.target, RunTarget::One(_));
        if let Some(failure) = self.failure.take().filter(|_failure| one) {
            return ("failed", forwarded_reply(failure));
        }
        // A request that only waited for a connection hasn't run, so it isn't answered with 504: that status kept
        // callers from resending requests that may run only once.
        let reason = match (self.may_have_run(), end) {
            (true, GatherEnd::DeadlinePassed) => RefusalReason::Late,
            (true, _) => RefusalReason::Unknown,
            (false, GatherEnd::DeadlinePassed) => RefusalReason::LateUnsent,
            (false, _) if self.is_excluded() => RefusalReason::NotAtHome,
            (false, _) => RefusalReason::NoUpstream,
        };
        let mut reply = refusal_reply(reason);
        if reason == RefusalReason::NoUpstream
            && let Some(wait) = self.registration_left().or_else(|| self.warm_up_left())
        {
            set_retry_after(&mut reply, wait);
        }
        (reason.label(), reply)
    }
}
