//! What follows the end of an attempt: a part, another attempt, or none.

use std::time::Duration;

use super::{QueryRun, RunTarget};
use crate::gateway::clock::now;
use crate::gateway::exchange::{AttemptOutcome, UpstreamAnswer};
use crate::gateway::metrics::OutcomeLabel;
use crate::gateway::policy::retry::{RetryStep, after_declined, after_unsent};
use crate::gateway::run::attempt::FinishedAttempt;

impl QueryRun {
    /// An attempt has ended; one that was aborted belongs to a shard whose part is in.
    pub(super) fn take_ended(&mut self, finished: Option<FinishedAttempt>) {
        if let Some(finished) = finished {
            self.take_finished(finished);
        }
    }

    fn take_finished(&mut self, finished: FinishedAttempt) {
        let FinishedAttempt { number, outcome } = finished;
        let attempt = &mut self.live[number];
        attempt.ended = true;
        attempt.may_have_run = outcome.may_have_run();
        attempt.took = Some(now().saturating_duration_since(attempt.began));
        let shard = attempt.shard;
        self.log_attempt(number, &outcome);
        let label = OutcomeLabel(outcome.word());
        let metrics = &self.context.core.metrics;
        metrics.attempts.get_or_create(&label).inc();
        let state = self.state.shard_mut(shard);
        state.out -= 1;
        match outcome {
            AttemptOutcome::Answered(answer) if answer.status.is_success() => {
                self.take_answer(shard, answer);
                self.clear_probe(shard);
            }
            AttemptOutcome::Answered(answer) => {
                if self.state.shards()[shard].is_open() {
                    self.failure = Some(answer);
                }
                self.retry(shard, Duration::ZERO);
            }
            AttemptOutcome::Declined(_) => {
                state.ran -= 1;
                state.declined += 1;
                let step = after_declined(state.declined);
                self.take_retry_step(step, shard);
            }
            AttemptOutcome::Unsent(_) => {
                state.ran -= 1;
                state.unsent += 1;
                let step = after_unsent(state.unsent);
                self.take_retry_step(step, shard);
            }
            AttemptOutcome::Lost(loss) => {
                state.lost = true;
                self.retry_lost(shard, loss.check);
            }
        }
    }

    fn take_answer(&mut self, shard: usize, answer: UpstreamAnswer) {
        let names = &self.context.core.dialect.names;
        // An answer without a signature was taken for a lost one.
        let Some(signature) = answer.headers.get(&names.signature).cloned() else {
            return;
        };
        self.state
            .take_part(shard, signature, answer.body.begun().clone());
        if matches!(self.target, RunTarget::One(_)) && self.single.is_none() {
            self.single = Some(answer);
        }
    }

    /// Tells of an attempt that brought no answer; the request's own line sums up the others.
    fn log_attempt(&self, number: usize, outcome: &AttemptOutcome) {
        if matches!(outcome, AttemptOutcome::Answered(answer) if answer.status.is_success()) {
            return;
        }
        let attempt = &self.live[number];
        let id = self.request.id.to_str().unwrap_or("-");
        log::info!(
            target: "ebonyfork::decision",
            "attempt request={id} service={} instance={} after_ms={} {outcome}",
            self.target.service(attempt.shard),
            attempt.life,
            now().saturating_duration_since(attempt.began).as_millis()
        );
    }

    fn take_retry_step(&mut self, step: RetryStep, shard: usize) {
        let alone = self.state.shards()[shard].out == 0;
        match step {
            RetryStep::GiveUp if alone => self.state.fail(shard),
            RetryStep::GiveUp => {}
            RetryStep::Again { pause } => self.retry(shard, pause),
        }
    }

    /// Sends a shard again unless its part is in or another attempt is out.
    pub(super) fn retry(&mut self, shard: usize, pause: Duration) {
        let state = &self.state.shards()[shard];
        if !state.is_open() || state.out > 0 {
            return;
        }
        self.retries += 1;
        // An upstream that was not tried yet needs no pause.
        let pause = if self.has_untried(shard) {
            Duration::ZERO
        } else {
            pause
        };
        self.start(shard, pause);
    }

    fn has_untried(&self, shard: usize) -> bool {
        let candidates = self.candidates(shard);
        candidates.iter().any(|upstream| {
            let entry = upstream.entry();
            let mut attempts = self.attempts_of(shard);
            upstream.takes_requests()
                && !attempts.any(|attempt| attempt.life == entry.incarnation())
        })
    }
}
