//! Computes the figures from the callers' records and the journals.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use ebonyfork::ident::{RunState, ServiceName};
use hdrhistogram::Histogram;
use rustc_hash::FxHashSet;

use crate::experiment::report::{ClassReport, RunReport};
use crate::journal::{Journal, SelectionHash};
use crate::judge::RunEvidence;
use crate::load::{ClassLoad, RequestRecord, TryOutcome};

/// Longest latency that a histogram tells apart.
const LONGEST_LATENCY: Duration = Duration::from_mins(2);
const SIGNIFICANT_DIGITS: u8 = 3;

/// The measured part of a run.
#[derive(Debug, Clone, Copy)]
pub(super) struct MeasuredTime {
    pub(super) from: Duration,
    pub(super) until: Duration,
}

impl MeasuredTime {
    fn contains(&self, request: &RequestRecord) -> bool {
        (self.from..self.until).contains(&request.scheduled)
    }

    pub(super) fn seconds(&self) -> f64 {
        (self.until.saturating_sub(self.from))
            .as_secs_f64()
            .max(1e-9)
    }
}

/// Counts and latencies of some requests.
struct OutcomeTally {
    report: ClassReport,
    latencies: Histogram<u64>,
    coverage: f64,
    good: u64,
}

impl OutcomeTally {
    fn new() -> Self {
        let longest = LONGEST_LATENCY.as_micros() as u64;
        let latencies = Histogram::new_with_bounds(1, longest, SIGNIFICANT_DIGITS);
        Self {
            report: ClassReport::default(),
            latencies: latencies.unwrap_or_else(|_| unreachable!("the bounds are constants")),
            coverage: 0.0,
            good: 0,
        }
    }

    fn add(&mut self, request: &RequestRecord, load: &ClassLoad) {
        let report = &mut self.report;
        report.queries += 1;
        let Some(last) = request.tries.last() else {
            return;
        };
        match &last.outcome {
            TryOutcome::Answered(answer) => {
                report.answered += 1;
                report.thin += u64::from(answer.coverage.is_incomplete());
                let share = answer.coverage.share();
                self.coverage += share;
                let latency = request.latency();
                self.latencies.saturating_record(latency.as_micros() as u64);
                self.good += u64::from(latency <= load.latency && share >= load.coverage);
            }
            TryOutcome::Refused { ran, code, .. } => {
                if *ran == RunState::NotRun {
                    report.refused += 1;
                } else {
                    report.failed += 1;
                }
                *report.codes.entry(code.clone()).or_default() += 1;
            }
            other => {
                report.failed += 1;
                let code = CompactString::from(format!("{other:?}").to_lowercase());
                *report.codes.entry(code).or_default() += 1;
            }
        }
    }

    fn finish(mut self, seconds: f64) -> ClassReport {
        let at = |quantile| self.latencies.value_at_quantile(quantile) as f64 / 1e3;
        self.report.p50_ms = at(0.5);
        self.report.p99_ms = at(0.99);
        self.report.p999_ms = at(0.999);
        self.report.coverage_mean = ratio(self.coverage, self.report.answered);
        self.report.goodput_per_s = self.good as f64 / seconds;
        self.report
    }
}

fn ratio(sum: f64, count: u64) -> f64 {
    if count == 0 { 0.0 } else { sum / count as f64 }
}

/// Computes the figures of a run, but for the violations and the store's calls.
pub(super) fn summarise(
    evidence: &RunEvidence,
    journal: &Journal,
    measured: MeasuredTime,
) -> RunReport {
    let mut all = OutcomeTally::new();
    let mut classes: Vec<OutcomeTally> = evidence
        .classes
        .iter()
        .map(|_| OutcomeTally::new())
        .collect();
    let mut resent = 0;
    let within = evidence
        .requests
        .iter()
        .filter(|request| measured.contains(request));
    for request in within {
        let load = &evidence.classes[request.class];
        all.add(request, load);
        classes[request.class].add(request, load);
        resent += u64::from(request.tries.len() > 1);
    }
    let seconds = measured.seconds();
    let all = all.finish(seconds);
    let names = evidence.classes.iter();
    let names = names.map(|load| CompactString::from(load.class.as_str()));
    let reports = classes.into_iter().map(|tally| tally.finish(seconds));
    let mut report = RunReport {
        queries: all.queries,
        answered: all.answered,
        thin: all.thin,
        refused: all.refused,
        failed: all.failed,
        p50_ms: all.p50_ms,
        p99_ms: all.p99_ms,
        p999_ms: all.p999_ms,
        coverage_mean: all.coverage_mean,
        thin_share: ratio(all.thin as f64, all.answered),
        goodput_per_s: all.goodput_per_s,
        extra_load: extra_load(evidence),
        slots_used_max: slots_used(evidence, journal, measured),
        resent,
        classes: names.zip(reports).collect(),
        ..RunReport::default()
    };
    for log in journal.logs() {
        let records = log.records();
        let most = report
            .connections_max_per_server
            .max(records.max_connections);
        report.connections_max_per_server = most;
        report.connections_refused += records.refused_connections;
        report.over_slots += records.over_slots;
    }
    report
}

/// Shard requests that reached upstreams, over the number of different ones: each is needed once.
fn extra_load(evidence: &RunEvidence) -> f64 {
    let mut needed: FxHashSet<(SelectionHash, u32)> = FxHashSet::default();
    let mut arrived = 0_u64;
    for record in evidence.executions.values().flatten() {
        arrived += 1;
        needed.insert((record.selection, record.shard.0));
    }
    ratio(arrived as f64, needed.len() as u64)
}

/// Share of its slots' time that the busiest service spent on requests. It tells how near to its real capacity a load
/// is, whatever timers and connections add to the service times.
fn slots_used(evidence: &RunEvidence, journal: &Journal, measured: MeasuredTime) -> f64 {
    let mut services: BTreeMap<ServiceName, ServiceUse> = BTreeMap::new();
    for log in journal.logs() {
        let usage = services.entry(log.service.clone()).or_default();
        usage.slots += log.slots;
        for record in evidence.executions.get(&log.address).into_iter().flatten() {
            let (Some(started), Some(ended)) = (record.started, record.ended) else {
                continue;
            };
            let from = started.max(measured.from);
            let until = ended.min(measured.until);
            usage.busy += until.saturating_sub(from);
        }
    }
    let shares = services.values().map(|usage| {
        let available = f64::from(usage.slots) * measured.seconds();
        usage.busy.as_secs_f64() / available
    });
    shares.fold(0.0, f64::max)
}

/// Slots of a service and the time that they ran requests.
#[derive(Debug, Default)]
struct ServiceUse {
    slots: u32,
    busy: Duration,
}

#[cfg(test)]
#[path = "summary_tests.rs"]
mod tests;
