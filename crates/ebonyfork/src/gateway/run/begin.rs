//! The first attempts of a request: which shards go where, which wait.

use std::time::Duration;

use smallvec::SmallVec;

use super::suspicion::RunSuspicion;
use super::{QueryRun, RunTarget};
use crate::gateway::clock::now;
use crate::gateway::policy::choice::{UpstreamChoice, probe_upstream};
use crate::gateway::policy::latency::{AttemptKind, millis};
use crate::gateway::policy::postpone::{ShardLikelihood, is_hopeless, postponed_shards};
use crate::gateway::settings::PlaceDistance;
use crate::quarantine::QuarantineStatus;

impl QueryRun {
    pub(super) fn begin(&mut self, quarantine_status: QuarantineStatus) {
        let shards = self.state.shards().len();
        if quarantine_status == QuarantineStatus::Suspect && shards > 1 {
            // It may crash what runs it: one shard shows it before the others are put at risk.
            let probe = rand::random_range(0..shards);
            self.suspicion = RunSuspicion::of_suspect(shards, probe);
            self.request.after_loss.set(true);
            self.start(probe, Duration::ZERO);
            return;
        }
        let mut choices: Vec<_> = (0..shards).map(|shard| self.choose(shard, false)).collect();
        self.fail_unserved(&choices);
        if self.state.judge(now()).is_some() {
            // Too few shards have an upstream: nothing is sent, so that the caller can be told so.
            return;
        }
        self.postpone_hopeless(&choices);
        if matches!(self.target, RunTarget::Gather(_)) {
            self.delegate(&mut choices);
        }
        for (shard, choice) in choices.into_iter().enumerate() {
            self.begin_shard(shard, choice);
        }
    }

    /// Gives up the shards that have no upstream.
    fn fail_unserved(&mut self, choices: &[Option<UpstreamChoice>]) {
        for (shard, choice) in choices.iter().enumerate() {
            if choice.is_none() {
                self.state.fail(shard);
            }
        }
    }

    /// Postpones the shards whose parts are unlikely to come in time, as far as the others suffice.
    fn postpone_hopeless(&mut self, choices: &[Option<UpstreamChoice>]) {
        if self.state.surplus() == 0 {
            return;
        }
        let mut likelihoods: SmallVec<[ShardLikelihood; 8]> = SmallVec::new();
        for (shard, choice) in choices.iter().enumerate() {
            let Some(choice) = choice else { continue };
            let likelihood = self.likelihood(choice);
            if is_hopeless(likelihood) && self.find_probe(shard, choice).is_none() {
                likelihoods.push(ShardLikelihood { shard, likelihood });
            }
        }
        for shard in postponed_shards(likelihoods, self.state.surplus()) {
            self.state.shard_mut(shard).postponed = true;
            self.postponed += 1;
        }
    }

    /// Sends a shard for the first time, unless it is postponed or with another VM.
    fn begin_shard(&mut self, shard: usize, choice: Option<UpstreamChoice>) {
        let state = &self.state.shards()[shard];
        if state.postponed || state.out > 0 {
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

    /// An upstream that is avoided and could be tried beside the chosen one.
    pub(super) fn find_probe(
        &self,
        shard: usize,
        choice: &UpstreamChoice,
    ) -> Option<UpstreamChoice> {
        if self.attempts_allowed() < 2 || self.is_suspected() {
            return None;
        }
        let core = &self.context.core;
        let candidates = self.candidates(shard);
        probe_upstream(&candidates, choice, &core.settings.place, now())
    }

    /// How likely a part comes while it is of use.
    fn likelihood(&self, choice: &UpstreamChoice) -> f64 {
        let time = now();
        let Some(until) = self.state.useful_until(time) else {
            return 1.0;
        };
        let left = millis(until.saturating_duration_since(time));
        let latency = self.context.latency.borrow();
        let track = match choice.distance {
            PlaceDistance::Zone => latency.track(choice.distance),
            // A VM beside the upstream gathers it.
            PlaceDistance::Region | PlaceDistance::Far => latency.track(AttemptKind::Delegated),
        };
        1.0 - track.survival(left / choice.slowness)
    }
}
