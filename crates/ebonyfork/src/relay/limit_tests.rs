use std::cmp::Reverse;
use std::collections::BinaryHeap;

use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::relay::ids::ClassId;
use crate::relay::service::ServiceTimes;

/// Parameters of a modelled upstream.
#[derive(Debug, Clone, Copy)]
struct UpstreamModel {
    slots: usize,
    /// Standard deviation of the log service time.
    log_std_dev: f64,
    /// Percentage of requests that take ten times as long.
    straggler_percent: f64,
    /// Factor on the service time, as a function of the time in seconds.
    slowness: fn(f64) -> f64,
    /// Number of requests in flight at which the upstream sheds further ones; `None` if it never sheds requests.
    shedding_threshold: Option<usize>,
}

const STEADY_UPSTREAM: UpstreamModel = UpstreamModel {
    slots: 2,
    log_std_dev: 0.4,
    straggler_percent: 1.0,
    slowness: |_seconds| 1.0,
    shedding_threshold: None,
};

/// Results of a run of the model. Means and shares cover the second half of the run.
#[derive(Debug, Default)]
struct RunReport {
    /// Mean limit in force when attempts were answered.
    mean_limit: f64,
    /// Share of the answers at which the limit exceeded the number of slots.
    share_above_slots: f64,
    /// Seconds until the limit first reached the number of slots.
    time_to_reach_slots_s: f64,
    /// Share of the slots' time in which they served attempts, from 0 to 1.
    utilisation: f64,
}

/// An attempt in flight: the times of its answer and of its sending in microseconds, the number of attempts in flight
/// when it was sent, the epoch of the limit, and whether the attempt is shed.
type InFlightAttempt = (u64, u64, u32, u32, bool);

/// Runs a saturated upstream in virtual time. Its slots serve attempts first in, first out.
fn run_model(model: UpstreamModel, seconds: f64, seed: u64) -> RunReport {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut limit = ConcurrencyLimit::new(LimitMode::Adaptive, 33);
    let mut service_times = ServiceTimes::default();
    let class = ClassId::from_u32(0);
    let mut slots: BinaryHeap<Reverse<u64>> = (0..model.slots).map(|_| Reverse(0)).collect();
    let mut in_flight_attempts: BinaryHeap<Reverse<InFlightAttempt>> = BinaryHeap::new();
    let mut report = RunReport {
        time_to_reach_slots_s: f64::INFINITY,
        ..Default::default()
    };
    let (mut now_us, mut answer_count, mut busy_us) = (0_u64, 0.0, 0.0);
    while (now_us as f64) < seconds * 1e6 {
        while in_flight_attempts.len() < limit.current_limit() as usize {
            let in_flight = in_flight_attempts.len() as u32 + 1;
            let epoch = limit.epoch().0;
            limit.record_sent(in_flight);
            if model
                .shedding_threshold
                .is_some_and(|threshold| in_flight_attempts.len() >= threshold)
            {
                in_flight_attempts.push(Reverse((now_us + 200, now_us, in_flight, epoch, true)));
                continue;
            }
            let Reverse(free_at_us) = slots.pop().unwrap();
            let start_us = u64::max(free_at_us, now_us);
            let service_us = service_time(&model, start_us, &mut rng);
            slots.push(Reverse(start_us + service_us));
            busy_us += if now_us as f64 > seconds * 5e5 {
                service_us as f64
            } else {
                0.0
            };
            in_flight_attempts.push(Reverse((
                start_us + service_us,
                now_us,
                in_flight,
                epoch,
                false,
            )));
        }
        let Reverse((done_at_us, sent_at_us, in_flight, epoch, is_shed)) =
            in_flight_attempts.pop().unwrap();
        now_us = done_at_us;
        let epoch = LimitEpoch(epoch);
        if is_shed {
            limit.record_shed(Duration::from_micros(now_us), epoch);
            continue;
        }
        let log_service_time =
            service_times.record_sample(class, Duration::from_micros(now_us - sent_at_us));
        let sample = LimitSample {
            epoch,
            in_flight,
            log_service_time,
            has_backlog: true,
        };
        limit.record(Duration::from_micros(now_us), sample);
        if limit.base_limit() as usize >= model.slots {
            report.time_to_reach_slots_s =
                f64::min(report.time_to_reach_slots_s, now_us as f64 / 1e6);
        }
        if now_us as f64 > seconds * 5e5 {
            answer_count += 1.0;
            report.mean_limit += f64::from(limit.current_limit());
            report.share_above_slots +=
                f64::from(u32::from(limit.current_limit() as usize > model.slots));
        }
    }
    report.mean_limit /= answer_count;
    report.share_above_slots /= answer_count;
    report.utilisation = busy_us / (seconds * 5e5 * model.slots as f64);
    report
}

fn service_time(model: &UpstreamModel, start_us: u64, rng: &mut ChaCha8Rng) -> u64 {
    // The sum of twelve uniform samples approximates a normal distribution.
    let normal_sample: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    let is_straggler = rng.random::<f64>() * 100.0 < model.straggler_percent;
    let straggler_factor = if is_straggler { 10.0 } else { 1.0 };
    let slowness = (model.slowness)(start_us as f64 / 1e6);
    (8_000.0 * (normal_sample * model.log_std_dev).exp() * straggler_factor * slowness) as u64
}

#[gtest]
fn limit_converges_to_slots_without_overshoot() {
    let slowdown = |seconds: f64| {
        if (40.0..50.0).contains(&seconds) {
            5.0
        } else {
            1.0
        }
    };
    let warm_up = |seconds: f64| f64::max(1.0, 8.0 - seconds);
    let cases = [
        ("2 slots", STEADY_UPSTREAM),
        (
            "2 slots, quiet",
            UpstreamModel {
                log_std_dev: 0.05,
                straggler_percent: 0.0,
                ..STEADY_UPSTREAM
            },
        ),
        (
            "2 slots, noisy",
            UpstreamModel {
                log_std_dev: 1.0,
                ..STEADY_UPSTREAM
            },
        ),
        (
            "6 slots",
            UpstreamModel {
                slots: 6,
                ..STEADY_UPSTREAM
            },
        ),
        (
            "6 slots, noisy",
            UpstreamModel {
                slots: 6,
                log_std_dev: 1.0,
                ..STEADY_UPSTREAM
            },
        ),
        (
            "4 slots",
            UpstreamModel {
                slots: 4,
                ..STEADY_UPSTREAM
            },
        ),
        (
            "1 slot",
            UpstreamModel {
                slots: 1,
                ..STEADY_UPSTREAM
            },
        ),
        (
            "2 slots, slows down",
            UpstreamModel {
                slowness: slowdown,
                ..STEADY_UPSTREAM
            },
        ),
        (
            "6 slots, slows down",
            UpstreamModel {
                slots: 6,
                slowness: slowdown,
                ..STEADY_UPSTREAM
            },
        ),
        (
            "2 slots, cold",
            UpstreamModel {
                slowness: warm_up,
                ..STEADY_UPSTREAM
            },
        ),
        (
            "6 slots, cold",
            UpstreamModel {
                slots: 6,
                slowness: warm_up,
                ..STEADY_UPSTREAM
            },
        ),
        (
            "2 slots, sheds",
            UpstreamModel {
                shedding_threshold: Some(2),
                ..STEADY_UPSTREAM
            },
        ),
        (
            "6 slots, sheds",
            UpstreamModel {
                slots: 6,
                shedding_threshold: Some(6),
                ..STEADY_UPSTREAM
            },
        ),
    ];
    for (name, model) in cases {
        for seed in 1..=5 {
            let report = run_model(model, 120.0, seed);
            let context = format!("{name}, seed {seed}: {report:?}");
            let slots = model.slots as f64;
            expect_that!(report.mean_limit, near(slots, 0.05), "{context}");
            expect_that!(report.share_above_slots, le(0.02), "{context}");
            expect_that!(report.utilisation, ge(0.98), "{context}");
            expect_that!(report.time_to_reach_slots_s, le(10.0), "{context}");
        }
    }
}
