//! Upstreams of the model that slow down or pause in turns, and the advice that the VMs of a zone give each other.

use std::time::{Duration, Instant};

use super::{FaultPhase, LoadReplay, ModelDeployment, ModelEvent};
use crate::gateway::policy::speed_advice::{SpeedOutbox, SpeedReport};

/// Number of groups of upstreams that misbehave in turns.
const TURN_GROUPS: u128 = 6;
/// Time from sending a message to another VM of the zone until it is handled.
const MESSAGE_TIME: Duration = Duration::from_millis(1);

/// What the upstreams of a group do during their turn.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TurnFault {
    /// They take this many times as long for a request.
    Slow(f64),
    /// They stop for this long at the beginning of their turn.
    Pause(Duration),
}

/// What the VMs of a zone do when they notice that an upstream's speed has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpeedSharing {
    /// Nothing, as without the setting.
    Off,
    /// Each VM acts on its own reports, but sends none.
    OwnOnly,
    /// Each VM acts on its own reports and on those of the others.
    Shared,
}

/// Pattern in which a sixth of the upstreams after another misbehaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TurnPattern {
    /// Length of a turn.
    pub length: Duration,
    /// What the upstreams do in their turn.
    pub fault: TurnFault,
    /// What the VMs of a zone do with what they learn.
    pub sharing: SpeedSharing,
}

/// Advice on its way to the other VMs of a zone.
#[derive(Debug)]
pub(super) struct SentAdvice {
    sender: usize,
    reports: Vec<SpeedReport>,
}

/// State of the pattern and of the shared advice.
#[derive(Debug, Default)]
pub(super) struct SpeedModel {
    pattern: Option<TurnPattern>,
    outboxes: Vec<SpeedOutbox>,
    messages: Vec<SentAdvice>,
    /// Sending times of all messages of each VM.
    message_times: Vec<Vec<Instant>>,
}

impl ModelDeployment {
    /// Sets the number of VMs, half of which are in each of the two zones.
    pub fn with_vms(self, vms: usize) -> Self {
        Self { vms, ..self }
    }
}

impl LoadReplay {
    /// Simulates a pattern in which a sixth of the upstreams after another misbehaves.
    pub fn run_turns(
        deployment: ModelDeployment,
        pattern: TurnPattern,
        seconds: usize,
        seed: u64,
    ) -> Self {
        let mut replay = Self::new(deployment, Vec::<FaultPhase>::new(), seconds, seed);
        replay.speed.pattern = Some(pattern);
        replay.speed.outboxes = vec![SpeedOutbox::default(); deployment.vms];
        replay.speed.message_times = vec![Vec::new(); deployment.vms];
        replay.run_to_end();
        replay
    }

    /// Returns the largest number of messages that a VM sent in any second.
    pub fn peak_message_rate(&self) -> usize {
        let count_from = |times: &[Instant], first: Instant| {
            let in_second = |at: &&Instant| **at >= first && **at < first + Duration::from_secs(1);
            times.iter().filter(in_second).count()
        };
        let peaks = self.speed.message_times.iter().flat_map(|times| {
            let counts = times.iter().map(|first| count_from(times, *first));
            counts.collect::<Vec<_>>()
        });
        peaks.max().unwrap_or_default()
    }

    /// Returns the number of messages that all VMs sent.
    pub fn message_count(&self) -> usize {
        self.speed.message_times.iter().map(Vec::len).sum()
    }

    /// Returns the times at which a request that starts at `starts_at` and runs for `run_time` starts and ends.
    pub(super) fn turn_times(
        &self,
        upstream: usize,
        starts_at: Instant,
        run_time: Duration,
    ) -> (Instant, Instant) {
        let ends_at = starts_at + run_time;
        let Some(pattern) = self.speed.pattern else {
            return (starts_at, ends_at);
        };
        let turn = |at: Instant| {
            let since_start = at.saturating_duration_since(self.start);
            since_start.as_nanos() / pattern.length.as_nanos()
        };
        let is_own_turn = |turn: u128| turn % TURN_GROUPS == upstream as u128 % TURN_GROUPS;
        match pattern.fault {
            TurnFault::Slow(factor) if is_own_turn(turn(starts_at)) => {
                (starts_at, starts_at + run_time.mul_f64(factor))
            }
            TurnFault::Pause(length) if is_own_turn(turn(ends_at)) => {
                let turn_start = self.start + pattern.length * turn(ends_at) as u32;
                let pause_end = turn_start + length;
                if starts_at >= pause_end {
                    return (starts_at, ends_at);
                }
                let stopped_time = pause_end.saturating_duration_since(starts_at.max(turn_start));
                (starts_at, ends_at + stopped_time)
            }
            TurnFault::Slow(_) | TurnFault::Pause(_) => (starts_at, ends_at),
        }
    }

    /// Records an answer as evidence of an upstream's speed, and schedules a message if it shows a change. An answer
    /// that comes after its query has ended is not seen: the gateway abandons such attempts.
    pub(super) fn share_speed(&mut self, number: usize, now: Instant, slowness: f64) {
        let Some(pattern) = self.speed.pattern else {
            return;
        };
        let attempt = &self.attempts[number];
        let query = &self.queries[attempt.query];
        if pattern.sharing == SpeedSharing::Off || query.done {
            return;
        }
        let vm = query.vm;
        let upstream = &self.vms[vm].upstreams[attempt.shard][attempt.replica];
        let change = upstream
            .health
            .borrow_mut()
            .record_speed(attempt.began, now, slowness);
        let Some(change) = change else { return };
        if pattern.sharing == SpeedSharing::OwnOnly {
            return;
        }
        let entry = upstream.entry();
        let outbox = &mut self.speed.outboxes[vm];
        outbox.add(SpeedReport {
            service: entry.service.as_str().into(),
            instance: entry.instance.as_str().into(),
            started: None,
            change,
        });
        let send_at = outbox.due_at().map_or(now, |due_at| due_at.max(now));
        self.push(send_at, ModelEvent::SendAdvice(vm));
    }

    /// Sends the changes that a VM has gathered.
    pub(super) fn send_advice(&mut self, vm: usize, now: Instant) {
        let reports = self.speed.outboxes[vm].take(now);
        if reports.is_empty() {
            return;
        }
        self.speed.message_times[vm].push(now);
        let number = self.speed.messages.len();
        self.speed.messages.push(SentAdvice {
            sender: vm,
            reports,
        });
        self.push(now + MESSAGE_TIME, ModelEvent::ReceiveAdvice(number));
    }

    /// Applies a message at the other VMs of the sender's zone.
    pub(super) fn receive_advice(&mut self, number: usize, now: Instant) {
        let message = &self.speed.messages[number];
        let zone = &self.vms[message.sender].place.zone;
        for (vm_number, vm) in self.vms.iter().enumerate() {
            if vm_number == message.sender || vm.place.zone != *zone {
                continue;
            }
            for report in &message.reports {
                let upstreams = vm.upstreams.iter().flatten();
                let reported = upstreams.filter(|upstream| {
                    let entry = upstream.entry();
                    let names = (entry.service.as_str(), entry.instance.as_str());
                    names == (report.service.as_str(), report.instance.as_str())
                });
                for upstream in reported {
                    let mut health = upstream.health.borrow_mut();
                    health.receive_speed(report.change, now);
                }
            }
        }
    }
}
