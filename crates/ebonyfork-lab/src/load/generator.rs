//! Runs a load plan: one task per stream keeps the schedule, one per request sees it through.

use std::sync::Arc;
use std::time::Duration;

use compact_str::{CompactString, format_compact};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use crate::clock::RunClock;
use crate::load::agent::{CallerAgent, OutgoingRequest};
use crate::load::plan::{ArrivalTimes, ClassLoad, LoadPlan, LoadStream, StreamSelection};
use crate::load::record::RequestRecord;

/// Spreads the seeds of streams; any odd number will do.
const SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Sends what a plan says.
#[derive(Debug)]
pub struct LoadGenerator {
    clock: RunClock,
    plan: LoadPlan,
    agents: Vec<Arc<CallerAgent>>,
}

/// What one stream needs.
struct StreamTask {
    number: usize,
    stream: LoadStream,
    load: Arc<ClassLoad>,
    agents: Vec<Arc<CallerAgent>>,
    clock: RunClock,
    begin: Duration,
    seed: u64,
}

impl LoadGenerator {
    /// Prepares a plan for callers.
    pub fn new(
        clock: RunClock,
        plan: LoadPlan,
        agents: impl IntoIterator<Item = CallerAgent>,
    ) -> Self {
        let agents = agents.into_iter().map(Arc::new).collect();
        Self {
            clock,
            plan,
            agents,
        }
    }

    /// Runs the plan from now on and returns every request once all have ended.
    pub async fn run(self) -> Vec<RequestRecord> {
        let begin = self.clock.now();
        let loads: Vec<Arc<ClassLoad>> = self.plan.classes.into_iter().map(Arc::new).collect();
        let mut tasks = JoinSet::new();
        for (number, stream) in self.plan.streams.into_iter().enumerate() {
            let own = |agent: &&Arc<CallerAgent>| *agent.organisation() == stream.organisation;
            let agents: Vec<Arc<CallerAgent>> = self.agents.iter().filter(own).cloned().collect();
            if agents.is_empty() {
                continue;
            }
            let task = StreamTask {
                number,
                load: Arc::clone(&loads[stream.class]),
                stream,
                agents,
                clock: self.clock,
                begin,
                seed: self
                    .plan
                    .seed
                    .wrapping_add(SEED_STEP.wrapping_mul(number as u64 + 1)),
            };
            tasks.spawn(task.run());
        }
        let mut records = Vec::new();
        while let Some(stream) = tasks.join_next().await {
            records.extend(stream.unwrap_or_default());
        }
        records.sort_by_key(|record: &RequestRecord| record.scheduled);
        records
    }
}

impl StreamTask {
    async fn run(self) -> Vec<RequestRecord> {
        let LoadStream {
            rate, from, until, ..
        } = self.stream;
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ 1);
        let mut requests = JoinSet::new();
        let mut records = Vec::new();
        for (count, at) in ArrivalTimes::new(self.seed, rate, from, until).enumerate() {
            let scheduled = self.begin + at;
            tokio::time::sleep_until(self.clock.instant(scheduled)).await;
            let request = self.request(count, scheduled, &mut rng);
            let Some(agent) = self.agents.choose(&mut rng) else {
                continue;
            };
            let agent = Arc::clone(agent);
            requests.spawn(async move { agent.send(request).await });
            while let Some(Ok(record)) = requests.try_join_next() {
                records.push(record);
            }
        }
        while let Some(record) = requests.join_next().await {
            records.extend(record);
        }
        records
    }

    fn request(&self, count: usize, scheduled: Duration, rng: &mut ChaCha8Rng) -> OutgoingRequest {
        let (selection, same_selection) = match &self.stream.selection {
            StreamSelection::Unique => (self.unique_selection(count), false),
            StreamSelection::Killer(text) => (text.clone(), true),
        };
        let record = rng.random_range(0..self.load.records.max(1));
        OutgoingRequest {
            class: self.stream.class,
            stream: self.number,
            scheduled,
            load: Arc::clone(&self.load),
            selection,
            same_selection,
            record: format_compact!("record-{record}"),
        }
    }

    fn unique_selection(&self, count: usize) -> CompactString {
        format_compact!("{:x}-{}-{count}", self.seed, self.number)
    }
}
