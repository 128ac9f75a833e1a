//! Starts a request: decides where each shard is sent, which shards are delegated and which are postponed.

use std::time::Duration;

use smallvec::SmallVec;

use super::suspicion::RunSuspicion;
use super::{QueryRun, RunTarget};
use crate::gateway::clock::now;
use crate::gateway::policy::choice::{UpstreamChoice, probe_upstream};
use crate::gateway::policy::latency::{AttemptKind, millis};
use crate::gateway::policy::postpone::{ShardLikelihood, is_unlikely, postponed_shards};
use crate::gateway::settings::PlaceDistance;
use crate::quarantine::QuarantineStatus;

impl QueryRun {
    pub(super) fn begin(&mut self, quarantine_status: QuarantineStatus) {
        let shards = self.state.shards().len();
        if self.refuse_hopeless() {
            return;
        }
        if quarantine_status == QuarantineStatus::Suspect && shards > 1 {
            // The request may crash its upstreams, so one shard is sent as a probe before the others are risked.
            let probe = rand::random_range(0..shards);
            self.suspicion = RunSuspicion::for_suspect(shards, probe);
            self.request.after_loss.set(true);
            self.start(probe, Duration::ZERO);
            return;
        }
        let mut choices: Vec<_> = (0..shards).map(|shard| self.choose(shard, false)).collect();
        self.fail_unserved(&choices);
        if self.state.check_end(now()).is_some() {
            // Too few shards have an upstream: nothing is sent, so the caller can be told that nothing ran.
            return;
        }
        self.postpone_unlikely(&choices);
        if matches!(self.target, RunTarget::Gather(_)) {
            self.delegate(&mut choices);
        }
        for (shard, choice) in choices.into_iter().enumerate() {
            self.begin_shard(shard, choice);
        }
    }

    /// Marks the shards without an upstream as failed.
    fn fail_unserved(&mut self, choices: &[Option<UpstreamChoice>]) {
        for (shard, choice) in choices.iter().enumerate() {
            if choice.is_none() {
                self.state.fail(shard);
            }
        }
    }

    /// Postpones shards whose parts are unlikely to arrive in time, as long as the others suffice.
    fn postpone_unlikely(&mut self, choices: &[Option<UpstreamChoice>]) {
        if self.state.spare_shards() == 0 {
            return;
        }
        let mut likelihoods: SmallVec<[ShardLikelihood; 8]> = SmallVec::new();
        for (shard, choice) in choices.iter().enumerate() {
            let Some(choice) = choice else { continue };
            let likelihood = self.likelihood(choice);
            if is_unlikely(likelihood) && self.find_probe(shard, choice).is_none() {
                likelihoods.push(ShardLikelihood { shard, likelihood });
            }
        }
        for shard in postponed_shards(likelihoods, self.state.spare_shards()) {
            self.state.shard_mut(shard).postponed = true;
            self.postponed_count += 1;
        }
    }

    /// Starts a shard's first attempt, unless the shard is postponed or delegated to another VM.
    fn begin_shard(&mut self, shard: usize, choice: Option<UpstreamChoice>) {
        let shard_state = &self.state.shards()[shard];
        if shard_state.postponed || shard_state.in_flight > 0 {
            return;
        }
        let Some(choice) = choice else { return };
        let probe = self.find_probe(shard, &choice);
        self.launch(shard, choice, Duration::ZERO);
        if let Some(probe) = probe
            && self.spend(shard)
        {
            self.launch(shard, probe, Duration::ZERO);
        }
    }

    /// Returns an avoided upstream that should be probed in addition to the chosen one.
    pub(super) fn find_probe(
        &self,
        shard: usize,
        choice: &UpstreamChoice,
    ) -> Option<UpstreamChoice> {
        if self.max_upstreams() < 2 || self.is_suspected() {
            return None;
        }
        let core = &self.context.core;
        let candidates = self.candidates(shard);
        probe_upstream(&candidates, choice, &core.settings.place, now())
    }

    /// Returns the probability that a part arrives while it is useful.
    fn likelihood(&self, choice: &UpstreamChoice) -> f64 {
        let current_time = now();
        let Some(useful_until) = self.state.useful_until(current_time) else {
            return 1.0;
        };
        let left_ms = millis(useful_until.saturating_duration_since(current_time));
        let latency = self.context.latency.borrow();
        let histogram = match choice.distance {
            PlaceDistance::Zone => latency.histogram(choice.distance),
            // The shard is delegated to a VM in the upstream's zone.
            PlaceDistance::Region | PlaceDistance::Far => latency.histogram(AttemptKind::Delegated),
        };
        1.0 - histogram.survival(left_ms / choice.slowness)
    }
}
