//! Handles finished attempts: stores the part, retries the shard or marks it as failed.

use std::time::Duration;

use super::{QueryRun, RunTarget};
use crate::gateway::clock::now;
use crate::gateway::exchange::{AttemptOutcome, UpstreamAnswer};
use crate::gateway::metrics::OutcomeLabel;
use crate::gateway::policy::retry::{RetryStep, after_declined, after_unsent};
use crate::gateway::run::attempt::FinishedAttempt;

impl QueryRun {
    /// Handles an attempt that has ended; `None` stands for one that was aborted, whose shard's part has arrived.
    pub(super) fn handle_ended(&mut self, finished: Option<FinishedAttempt>) {
        if let Some(finished) = finished {
            self.handle_finished(finished);
        }
    }

    fn handle_finished(&mut self, finished: FinishedAttempt) {
        let FinishedAttempt {
            attempt_index,
            outcome,
        } = finished;
        let attempt = &mut self.attempts[attempt_index];
        attempt.ended = true;
        attempt.may_have_run = outcome.may_have_run();
        attempt.took = Some(now().saturating_duration_since(attempt.began));
        let shard = attempt.shard;
        self.log_attempt(attempt_index, &outcome);
        let label = OutcomeLabel(outcome.label());
        let metrics = &self.context.core.metrics;
        metrics.attempts.get_or_create(&label).inc();
        let shard_state = self.state.shard_mut(shard);
        shard_state.in_flight -= 1;
        match outcome {
            AttemptOutcome::Answered(answer) if answer.status.is_success() => {
                self.store_answer(shard, answer);
                self.clear_probe(shard);
            }
            AttemptOutcome::Answered(answer) => {
                if self.state.shards()[shard].is_open() {
                    self.failed_answer = Some(answer);
                }
                self.retry(shard, Duration::ZERO);
            }
            AttemptOutcome::Declined(_) => {
                shard_state.possible_runs -= 1;
                shard_state.declined_attempts += 1;
                let step = after_declined(shard_state.declined_attempts);
                self.apply_retry_step(step, shard);
            }
            AttemptOutcome::Unsent(_) => {
                shard_state.possible_runs -= 1;
                shard_state.unsent_attempts += 1;
                let step = after_unsent(shard_state.unsent_attempts);
                self.apply_retry_step(step, shard);
            }
            AttemptOutcome::Lost(loss) => {
                shard_state.connection_broke = true;
                self.retry_lost(shard, loss.check);
            }
        }
    }

    fn store_answer(&mut self, shard: usize, answer: UpstreamAnswer) {
        let header_names = &self.context.core.dialect.names;
        // Answers without a signature are treated as lost attempts before this point.
        let Some(signature) = answer.headers.get(&header_names.signature).cloned() else {
            return;
        };
        self.state
            .add_part(shard, signature, answer.body.buffered_part().clone());
        if matches!(self.target, RunTarget::One(_)) && self.single_answer.is_none() {
            self.single_answer = Some(answer);
        }
    }

    /// Logs an attempt without a successful answer; the log line of the request summarises the others.
    fn log_attempt(&self, attempt_index: usize, outcome: &AttemptOutcome) {
        if matches!(outcome, AttemptOutcome::Answered(answer) if answer.status.is_success()) {
            return;
        }
        let attempt = &self.attempts[attempt_index];
        let id = self.request.id.to_str().unwrap_or("-");
        log::info!(
            target: "ebonyfork::decision",
            "attempt request={id} service={} instance={} after_ms={} {outcome}",
            self.target.service(attempt.shard),
            attempt.incarnation,
            now().saturating_duration_since(attempt.began).as_millis()
        );
    }

    fn apply_retry_step(&mut self, step: RetryStep, shard: usize) {
        let none_in_flight = self.state.shards()[shard].in_flight == 0;
        match step {
            RetryStep::GiveUp if none_in_flight => self.state.fail(shard),
            RetryStep::GiveUp => {}
            RetryStep::Retry { pause } => self.retry(shard, pause),
        }
    }

    /// Retries a shard unless its part has arrived or another attempt is in flight.
    pub(super) fn retry(&mut self, shard: usize, pause: Duration) {
        let shard_state = &self.state.shards()[shard];
        if !shard_state.is_open() || shard_state.in_flight > 0 {
            return;
        }
        self.retry_count += 1;
        // An upstream that wasn't tried yet needs no pause.
        let pause = if self.has_untried_upstream(shard) {
            Duration::ZERO
        } else {
            pause
        };
        self.start(shard, pause);
    }

    fn has_untried_upstream(&self, shard: usize) -> bool {
        let candidates = self.candidates(shard);
        candidates.iter().any(|upstream| {
            let entry = upstream.entry();
            let mut attempts = self.attempts_of(shard);
            upstream.takes_requests()
                && !attempts.any(|attempt| attempt.incarnation == entry.incarnation())
        })
    }
}
