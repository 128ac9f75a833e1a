use std::cmp::Reverse;
use std::collections::BinaryHeap;

use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::relay::ids::ClassId;
use crate::relay::service::ServiceTimes;

/// A modelled upstream.
#[derive(Debug, Clone, Copy)]
struct UpstreamModel {
    slots: usize,
    /// Standard deviation of the log service time.
    spread: f64,
    /// Percentage of requests that take ten times as long.
    stragglers: f64,
    /// Factor on the service time, as a function of the time in seconds.
    slowness: fn(f64) -> f64,
    /// Number of requests in flight at which it sheds a further one.
    sheds_beyond: Option<usize>,
}

const STEADY: UpstreamModel = UpstreamModel {
    slots: 2,
    spread: 0.4,
    stragglers: 1.0,
    slowness: |_seconds| 1.0,
    sheds_beyond: None,
};

/// Results of a run. Averages cover its second half.
#[derive(Debug, Default)]
struct RunReport {
    /// Mean limit in force when attempts were answered.
    limit: f64,
    /// Share of the answers at which the limit exceeded the slots.
    above_slots: f64,
    /// Seconds until the limit first reached the slots.
    reached: f64,
    /// Utilisation of the slots, as a fraction.
    utilisation: f64,
}

/// An attempt in flight: its end and start in microseconds, the attempts in flight when it was sent, the limit's epoch,
/// and whether it is shed.
type InFlightAttempt = (u64, u64, u32, u32, bool);

/// Runs a saturated upstream in virtual time: first in, first out over its slots.
fn run_model(model: UpstreamModel, seconds: f64, seed: u64) -> RunReport {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut limit = ConcurrencyLimit::new(LimitMode::Adaptive, 33);
    let mut service = ServiceTimes::default();
    let class = ClassId::from_u32(0);
    let mut slots: BinaryHeap<Reverse<u64>> = (0..model.slots).map(|_| Reverse(0)).collect();
    let mut pending: BinaryHeap<Reverse<InFlightAttempt>> = BinaryHeap::new();
    let mut report = RunReport {
        reached: f64::INFINITY,
        ..Default::default()
    };
    let (mut now, mut answers, mut busy) = (0_u64, 0.0, 0.0);
    while (now as f64) < seconds * 1e6 {
        while pending.len() < limit.current() as usize {
            let in_flight = pending.len() as u32 + 1;
            let epoch = limit.epoch().0;
            limit.record_sent(in_flight);
            if model.sheds_beyond.is_some_and(|most| pending.len() >= most) {
                pending.push(Reverse((now + 200, now, in_flight, epoch, true)));
                continue;
            }
            let Reverse(free) = slots.pop().unwrap();
            let start = u64::max(free, now);
            let taken = service_time(&model, start, &mut rng);
            slots.push(Reverse(start + taken));
            busy += if now as f64 > seconds * 5e5 {
                taken as f64
            } else {
                0.0
            };
            pending.push(Reverse((start + taken, now, in_flight, epoch, false)));
        }
        let Reverse((done, sent, in_flight, epoch, shed)) = pending.pop().unwrap();
        now = done;
        let epoch = LimitEpoch(epoch);
        if shed {
            limit.shed(Duration::from_micros(now), epoch);
            continue;
        }
        let log_service_time = service.record(class, Duration::from_micros(now - sent));
        let sample = LimitSample {
            epoch,
            in_flight,
            log_service_time,
            has_backlog: true,
        };
        limit.record(Duration::from_micros(now), sample);
        if limit.settled() as usize >= model.slots {
            report.reached = f64::min(report.reached, now as f64 / 1e6);
        }
        if now as f64 > seconds * 5e5 {
            answers += 1.0;
            report.limit += f64::from(limit.current());
            report.above_slots += f64::from(u32::from(limit.current() as usize > model.slots));
        }
    }
    report.limit /= answers;
    report.above_slots /= answers;
    report.utilisation = busy / (seconds * 5e5 * model.slots as f64);
    report
}

fn service_time(model: &UpstreamModel, start: u64, rng: &mut ChaCha8Rng) -> u64 {
    // The sum of twelve uniform samples approximates a normal distribution.
    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    let straggles = rng.random::<f64>() * 100.0 < model.stragglers;
    let factor = if straggles { 10.0 } else { 1.0 };
    let slowness = (model.slowness)(start as f64 / 1e6);
    (8_000.0 * (normal * model.spread).exp() * factor * slowness) as u64
}

#[gtest]
fn limit_converges_to_slots_without_overshoot() {
    let slow = |seconds: f64| {
        if (40.0..50.0).contains(&seconds) {
            5.0
        } else {
            1.0
        }
    };
    let cold = |seconds: f64| f64::max(1.0, 8.0 - seconds);
    let cases = [
        ("2 slots", STEADY),
        (
            "2 slots, quiet",
            UpstreamModel {
                spread: 0.05,
                stragglers: 0.0,
                ..STEADY
            },
        ),
        (
            "2 slots, noisy",
            UpstreamModel {
                spread: 1.0,
                ..STEADY
            },
        ),
        ("6 slots", UpstreamModel { slots: 6, ..STEADY }),
        (
            "6 slots, noisy",
            UpstreamModel {
                slots: 6,
                spread: 1.0,
                ..STEADY
            },
        ),
        ("4 slots", UpstreamModel { slots: 4, ..STEADY }),
        ("1 slot", UpstreamModel { slots: 1, ..STEADY }),
        (
            "2 slots, slows down",
            UpstreamModel {
                slowness: slow,
                ..STEADY
            },
        ),
        (
            "6 slots, slows down",
            UpstreamModel {
                slots: 6,
                slowness: slow,
                ..STEADY
            },
        ),
        (
            "2 slots, cold",
            UpstreamModel {
                slowness: cold,
                ..STEADY
            },
        ),
        (
            "6 slots, cold",
            UpstreamModel {
                slots: 6,
                slowness: cold,
                ..STEADY
            },
        ),
        (
            "2 slots, sheds",
            UpstreamModel {
                sheds_beyond: Some(2),
                ..STEADY
            },
        ),
        (
            "6 slots, sheds",
            UpstreamModel {
                slots: 6,
                sheds_beyond: Some(6),
                ..STEADY
            },
        ),
    ];
    for (name, model) in cases {
        for seed in 1..=5 {
            let report = run_model(model, 120.0, seed);
            let place = format!("{name}, seed {seed}: {report:?}");
            let slots = model.slots as f64;
            expect_that!(report.limit, near(slots, 0.05), "{place}");
            expect_that!(report.above_slots, le(0.02), "{place}");
            expect_that!(report.utilisation, ge(0.98), "{place}");
            expect_that!(report.reached, le(10.0), "{place}");
        }
    }
}
