//! Replays load patterns that caused failures, over randomly drawn deployments.

use std::time::Duration;

use googletest::prelude::*;

use crate::gateway::load_model::{
    FaultPhase, LoadReplay, ModelDeployment, ModelFault, SpeedSharing, TurnFault, TurnPattern,
};

/// Number of deployments on which each pattern is replayed.
const DEPLOYMENTS: u64 = 24;

/// Replays a pattern on all deployments and returns the mean value of the queries in a range of seconds. Also checks
/// that no deployment exceeds its retry budget in any period.
fn mean_value_of(demand: f64, phases: &[FaultPhase], seconds: std::ops::Range<usize>) -> f64 {
    let mut sum = 0.0;
    for seed in 0..DEPLOYMENTS {
        let deployment = ModelDeployment::draw(seed, demand);
        let replay = LoadReplay::run(deployment, phases, seconds.end + 1, seed);
        replay.check_budget(seed);
        sum += replay.mean_value(seconds.clone());
    }
    sum / DEPLOYMENTS as f64
}

impl LoadReplay {
    /// Checks that in no period of 10 s the retries of a shard exceed the slack plus a fifth of its requests, counted
    /// in that period, in the one before, or in the one that begins 5 s earlier.
    fn check_budget(&self, seed: u64) {
        let budget_config = self.budget_config();
        let requests = |from: usize, until: usize| {
            let until = until.min(self.seconds.len());
            let counted_seconds = self.seconds[from.min(until)..until].iter();
            counted_seconds.map(|second| second.queries).sum::<f64>()
        };
        for repeats in &self.repeats {
            for from in 0..self.seconds.len() {
                let begin = self.start() + Duration::from_secs(from as u64);
                let end = begin + budget_config.window;
                let repeats_in_window = repeats.iter().filter(|at| **at >= begin && **at < end);
                let max_requests = [0, 5, 10].map(|back| {
                    let first_second = from.saturating_sub(back);
                    requests(first_second, first_second + 10)
                });
                let max_requests = max_requests.into_iter().fold(0.0, f64::max);
                let max_repeats = max_requests * budget_config.ratio + budget_config.slack;
                expect_that!(
                    repeats_in_window.count() as f64,
                    le(max_repeats),
                    "seed {seed} from {from}"
                );
            }
        }
    }
}

fn phase(fault: ModelFault, replica: Option<usize>, from: u64, until: u64) -> FaultPhase {
    FaultPhase {
        from,
        until,
        replica,
        fault,
    }
}

#[gtest]
fn queries_keep_their_full_value_without_faults() {
    let mean_value = mean_value_of(0.3, &[], 2..8);
    expect_that!(mean_value, ge(0.98));
}

/// Guards against continuing to send to upstreams that decline. Of the two upstreams of each shard, one declines 6 of
/// 10 requests and the other has to carry the load. The mean value is 0.75 if the choice of the upstream ignores the
/// cost of a failed attempt, and 0.99 if it includes it.
#[gtest]
fn upstreams_that_decline_cost_little_while_others_have_room() {
    let declines = phase(ModelFault::Declines(0.6), Some(0), 4, 14);
    let mean_value = mean_value_of(0.2, &[declines], 5..14);
    expect_that!(mean_value, ge(0.9));
}

/// Guards against waiting for slow upstreams. An eighth of the upstreams becomes 8 to 12 times slower in two
/// overlapping phases.
#[gtest]
fn slow_upstreams_are_avoided() {
    let first_phase = phase(ModelFault::Slow(8.0), None, 4, 12);
    let second_phase = phase(ModelFault::Slow(1.5), None, 8, 14);
    let mean_value = mean_value_of(0.2, &[first_phase, second_phase], 5..14);
    expect_that!(mean_value, ge(0.9));
}

/// Guards against losing answers that another upstream can give. Half of the upstreams break off two of five answers
/// for a few seconds. The mean value is 0.86 if the choice of the upstream ignores the cost of a failed attempt, and
/// 0.99 if it includes it.
#[gtest]
fn lost_answers_are_requested_from_other_upstreams() {
    let breaks = phase(ModelFault::Breaks(0.4), Some(1), 4, 9);
    let mean_value = mean_value_of(0.2, &[breaks], 4..9);
    expect_that!(mean_value, ge(0.9));
}

/// Number of deployments on which patterns of turns are replayed.
const TURN_DEPLOYMENTS: u64 = 12;

/// Result of replaying a pattern of turns on all deployments.
#[derive(Debug, Default)]
struct TurnResult {
    queries: f64,
    late: f64,
    messages: usize,
}

impl TurnResult {
    /// Returns the fraction of the queries that were answered late.
    fn late_fraction(&self) -> f64 {
        self.late / self.queries
    }
}

/// Replays a fault of 600 ms in turns, with the given number of VMs in each zone, and checks the limit on messages.
fn replay_turns(fault: TurnFault, vms_per_zone: usize, sharing: SpeedSharing) -> TurnResult {
    let pattern = TurnPattern {
        length: Duration::from_millis(600),
        fault,
        sharing,
    };
    let mut result = TurnResult::default();
    for seed in 0..TURN_DEPLOYMENTS {
        let deployment = ModelDeployment::draw(seed, 0.2).with_vms(2 * vms_per_zone);
        let replay = LoadReplay::run_turns(deployment, pattern, 12, seed);
        expect_that!(replay.peak_message_rate(), le(10), "seed {seed}");
        let sum = replay.sum_of(1..11);
        result.queries += sum.queries;
        result.late += sum.late;
        result.messages += replay.message_count();
    }
    println!("{fault:?} {vms_per_zone} VMs per zone {sharing:?}: {result:?}");
    result
}

/// Guards against each VM of a zone having to learn by its own late answers that an upstream is slow.
#[gtest]
fn shared_advice_about_slow_upstreams_saves_late_answers() {
    let (mut own_only_fraction, mut shared_fraction) = (0.0, 0.0);
    for vms_per_zone in [2, 4] {
        let replay = |sharing| replay_turns(TurnFault::Slow(8.0), vms_per_zone, sharing);
        let without = replay(SpeedSharing::Off);
        let shared = replay(SpeedSharing::Shared);
        expect_that!(shared.messages, gt(0));
        expect_that!(shared.late_fraction(), lt(without.late_fraction()));
        shared_fraction += shared.late_fraction();
        own_only_fraction += replay(SpeedSharing::OwnOnly).late_fraction();
    }
    expect_that!(shared_fraction, lt(own_only_fraction));
}

/// Guards against advice about upstreams that only pause: the other VMs would avoid upstreams that are fast again.
#[gtest]
fn pauses_cause_no_advice_that_makes_answers_later() {
    for vms_per_zone in [2, 4] {
        let fault = TurnFault::Pause(Duration::from_millis(150));
        let without = replay_turns(fault, vms_per_zone, SpeedSharing::Off);
        let shared = replay_turns(fault, vms_per_zone, SpeedSharing::Shared);
        expect_that!(shared.late_fraction(), le(without.late_fraction()));
    }
}
