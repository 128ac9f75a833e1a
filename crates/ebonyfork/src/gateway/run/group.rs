//! Delegates shards to a VM in the zone of their upstreams, and gathers shards for other VMs.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::AbortHandle;
use http::HeaderValue;
use smallvec::SmallVec;

use super::{QueryRun, RunTarget};
use crate::gateway::clock::now;
use crate::gateway::delegate::{GroupEvent, GroupUpdate};
use crate::gateway::ident::PlaceName;
use crate::gateway::loss::{LossCheck, LossVerdict};
use crate::gateway::merge::merge_records;
use crate::gateway::partial::{
    FailedShard, PartialQuery, PartialReply, ShardProgress, ShardSignature,
};
use crate::gateway::policy::choice::UpstreamChoice;
use crate::gateway::policy::gather::ShardOutcome;
use crate::gateway::policy::latency::{AttemptKind, millis};
use crate::gateway::settings::PlaceDistance;

/// Group of shards that another VM gathers.
#[derive(Debug)]
pub(super) struct ShardGroup {
    /// Query number used with that VM.
    number: u64,
    /// Attempts of the group, as indices in the list of attempts.
    attempts: Vec<usize>,
}

/// Progress of the replies to the VM that requested the parts.
#[derive(Debug)]
pub(super) struct PartialDelivery {
    /// Whether the outcome of each shard was reported.
    reported: Vec<bool>,
    /// Shards whose upstreams in this zone should be avoided for a short time.
    avoid: Vec<bool>,
}

impl PartialDelivery {
    pub(super) fn new(shards: usize) -> Self {
        Self {
            reported: vec![false; shards],
            avoid: vec![false; shards],
        }
    }
}

impl QueryRun {
    /// Delegates shards whose chosen upstreams are in other zones to VMs in those zones. The other shards are left for
    /// direct attempts.
    pub(super) fn delegate(&mut self, choices: &mut [Option<UpstreamChoice>]) {
        let place = self.context.core.settings.place.clone();
        let mut zones: SmallVec<[(PlaceName, Vec<usize>); 4]> = SmallVec::new();
        for (shard, choice) in choices.iter().enumerate() {
            let Some(choice) = choice else { continue };
            let in_own_zone = choice.distance == PlaceDistance::Zone;
            if in_own_zone || self.state.shards()[shard].postponed {
                continue;
            }
            let zone = choice.upstream.entry().zone.clone();
            debug_assert_ne!(
                zone, place.zone,
                "an upstream at a distance is in another zone"
            );
            match zones.iter_mut().find(|(known, _shards)| *known == zone) {
                Some((_zone, shards)) => shards.push(shard),
                None => zones.push((zone, vec![shard])),
            }
        }
        for (zone, shards) in zones {
            let group: Vec<_> = shards
                .iter()
                .map(|shard| (*shard, &choices[*shard]))
                .collect();
            let group: Vec<_> = group
                .into_iter()
                .filter_map(|(shard, choice)| Some((shard, choice.as_ref()?)))
                .collect();
            if !self.delegate_zone(&zone, &group) {
                continue;
            }
            for shard in shards {
                choices[shard] = None;
            }
        }
    }

    /// Delegates a repeated attempt to a VM in the upstream's zone, whose link is already open; a new connection from
    /// here would cost another round trip. Returns whether the attempt was delegated.
    pub(super) fn delegate_repeat(&mut self, shard: usize, choice: &UpstreamChoice) -> bool {
        let gather = matches!(self.target, RunTarget::Gather(_));
        let suspected = self.is_suspected();
        if !gather || suspected || choice.distance == PlaceDistance::Zone || self.delivery.is_some()
        {
            return false;
        }
        let zone = choice.upstream.entry().zone.clone();
        self.delegate_zone(&zone, &[(shard, choice)])
    }

    fn delegate_zone(&mut self, zone: &PlaceName, shards: &[(usize, &UpstreamChoice)]) -> bool {
        let core = Rc::clone(&self.context.core);
        let usual = {
            let latency = self.context.latency.borrow();
            latency.histogram(AttemptKind::Delegated).quantile(0.5)
        };
        let working = core.vms.serving_in_zone(zone);
        let Some(vm) = core.delegates.choose_vm(&working, usual) else {
            return false;
        };
        let began = now();
        let query = self.partial_query(shards, began);
        let group = self.groups.len();
        let events = (group, self.event_sender.clone());
        let Some(number) = core.delegates.send(vm, query, usual, events) else {
            return false;
        };
        let mut attempts = Vec::with_capacity(shards.len());
        for (shard, choice) in shards {
            self.count_request(*shard);
            let (abort, _registration) = AbortHandle::new_pair();
            let kind = AttemptKind::Delegated;
            attempts.push(self.record_begun(*shard, choice, kind, began, abort));
        }
        self.groups.push(ShardGroup { number, attempts });
        true
    }

    fn partial_query(&self, shards: &[(usize, &UpstreamChoice)], time: Instant) -> PartialQuery {
        let micros = |until: Instant| {
            let left = until.saturating_duration_since(time).as_micros();
            u32::try_from(left).unwrap_or(u32::MAX)
        };
        let useful = self.state.useful_until(time);
        let longest = self.context.latency.borrow().waits.own_longest();
        PartialQuery {
            number: 0,
            digest: *self.shard_mark.get_or_init(|| self.route.shard_digest()),
            shards: shards
                .iter()
                .map(|(shard, _choice)| *shard as u16)
                .collect(),
            answer_left_us: useful.map_or(0, micros),
            finish_left_us: micros(self.request.finish_by),
            longest_wait_us: u32::try_from(longest.as_micros()).unwrap_or(u32::MAX),
            request: self.request.to_partial(),
        }
    }

    /// Handles a reply for a group, or the loss of the link to its VM.
    pub(super) fn handle_event(&mut self, event: GroupEvent) {
        match event.update {
            GroupUpdate::Reply(reply) => self.handle_reply(event.group, reply),
            GroupUpdate::Down { sent } => {
                let progress = if sent {
                    ShardProgress::Run
                } else {
                    ShardProgress::Unsent
                };
                for number in self.groups[event.group].attempts.clone() {
                    self.record_delegated_failure(number, progress);
                }
            }
        }
    }

    fn handle_reply(&mut self, group: usize, reply: PartialReply) {
        let attempts = self.groups[group].attempts.clone();
        let find = |run: &Self, shard: u16| {
            let mut numbers = attempts.iter().copied();
            numbers.find(|number| {
                let attempt = &run.attempts[*number];
                attempt.shard == usize::from(shard) && !attempt.ended
            })
        };
        let time = now();
        let mut parts = Vec::with_capacity(reply.parts.len());
        for part in reply.parts {
            let Some(number) = find(self, part.shard) else {
                log::warn!(
                    "partial reply contains shard {} that was not requested",
                    part.shard
                );
                return;
            };
            let Ok(signature) = HeaderValue::from_maybe_shared(part.signature) else {
                log::warn!("partial reply contains a malformed signature");
                return;
            };
            self.record_delegated_part(number, time, part.took_us);
            parts.push((usize::from(part.shard), signature));
        }
        if !parts.is_empty() {
            self.state.add_merged_group(parts, reply.records);
        }
        self.mark_rest_late(&attempts, time);
        for failed in reply.failed {
            let Some(number) = find(self, failed.shard) else {
                continue;
            };
            if failed.avoid {
                let health = &self.attempts[number].upstream.health;
                health.borrow_mut().record_avoid_advice(time);
            }
            self.record_delegated_failure(number, failed.progress);
        }
    }

    /// Marks the attempts that are missing from the first reply of a group as late.
    fn mark_rest_late(&mut self, attempts: &[usize], time: Instant) {
        for number in attempts {
            let attempt = &mut self.attempts[*number];
            if attempt.ended || attempt.known_late {
                continue;
            }
            attempt.known_late = true;
            attempt.next_check = time;
        }
    }

    /// Records that a part gathered by another VM has arrived.
    fn record_delegated_part(&mut self, number: usize, time: Instant, took_us: u32) {
        let attempt = &mut self.attempts[number];
        attempt.ended = true;
        let took = time.saturating_duration_since(attempt.began);
        let mut latency = self.context.latency.borrow_mut();
        latency
            .histogram_mut(AttemptKind::Delegated)
            .record(took, time);
        // Compare the upstream's time there with that of upstreams in this VM's zone.
        let slowness = latency.slowness(AttemptKind::Zone, f64::from(took_us) / 1_000.0);
        let mut health = attempt.upstream.health.borrow_mut();
        health.record_answer(attempt.began, time, slowness);
        drop(health);
        self.state.shard_mut(attempt.shard).in_flight -= 1;
    }

    /// Records that another VM won't deliver a part, and retries the shard. If upstreams declined it, they have
    /// received the request, so the next attempt spends from the retry budget.
    fn record_delegated_failure(&mut self, number: usize, progress: ShardProgress) {
        let attempt = &mut self.attempts[number];
        if attempt.ended {
            return;
        }
        attempt.ended = true;
        attempt.may_have_run = matches!(progress, ShardProgress::Run | ShardProgress::Broken);
        let mut health = attempt.upstream.health.borrow_mut();
        if progress == ShardProgress::Declined {
            health.record_failure(attempt.began, now());
        } else {
            health.record_unsent(attempt.began);
        }
        drop(health);
        let shard = attempt.shard;
        let state = self.state.shard_mut(shard);
        state.in_flight -= 1;
        match progress {
            ShardProgress::Unsent => {
                state.ran -= 1;
                state.unsent += 1;
            }
            ShardProgress::Declined => {
                state.ran -= 1;
                state.declined += 1;
            }
            ShardProgress::Run => {}
            ShardProgress::Broken => {
                state.lost = true;
                let check = Rc::new(LossCheck::new(LossVerdict::Lost));
                self.retry_lost(shard, Some(check));
                return;
            }
        }
        self.retry(shard, Duration::ZERO);
    }

    /// Ends the groups at the VMs that gather them, and adds late attempts to the latency histogram as abandoned.
    pub(super) fn end_groups(&mut self) {
        let time = now();
        for group in &self.groups {
            let finished = group
                .attempts
                .iter()
                .all(|number| self.attempts[*number].ended);
            self.context.core.delegates.end(group.number, finished);
        }
        for attempt in &self.attempts {
            if attempt.ended || attempt.kind != AttemptKind::Delegated {
                continue;
            }
            let mut latency = self.context.latency.borrow_mut();
            let waited = time.saturating_duration_since(attempt.began);
            latency
                .histogram_mut(AttemptKind::Delegated)
                .record_abandoned(waited, time);
            let slowness = latency.slowness(AttemptKind::Delegated, millis(waited));
            let mut health = attempt.upstream.health.borrow_mut();
            health.record_abandoned(attempt.began, time, slowness);
        }
    }

    /// Starts the shards that another VM requested. A shard without a healthy upstream in this zone is reported as
    /// failed at once.
    pub(super) fn begin_partial(&mut self) {
        let time = now();
        let usual = {
            let latency = self.context.latency.borrow();
            latency.histogram(AttemptKind::Zone).quantile(0.5)
        };
        for shard in 0..self.state.shards().len() {
            // The VM that accepted the request from the caller has counted it.
            self.state.shard_mut(shard).counted = true;
            let choice = self.choose(shard, false);
            let usable = choice.filter(|choice| {
                let health = choice.upstream.health.borrow();
                !health.is_ejected(time) && !health.is_pausing(time, usual)
            });
            if let Some(choice) = usable {
                self.launch(shard, choice, Duration::ZERO);
            } else {
                if let Some(delivery) = &mut self.delivery {
                    delivery.avoid[shard] = true;
                }
                self.state.fail(shard);
            }
        }
    }

    /// Sends the parts that have arrived once the attempts still in flight are late, so that several parts share one
    /// reply and none of them waits for a straggler.
    pub(super) fn flush(&mut self, reply: &mut impl FnMut(PartialReply)) {
        let Some(delivery) = &self.delivery else {
            return;
        };
        let time = now();
        let shards = self.state.shards();
        let ended = |shard: usize| !shards[shard].is_open();
        let waiting = (0..shards.len()).filter(|shard| !ended(*shard));
        let usual = |shard: usize| {
            let mut in_flight = self.attempts_of(shard).filter(|attempt| !attempt.ended);
            in_flight.any(|attempt| !self.is_straggler(attempt.began, attempt.kind, time))
        };
        let failed = (0..shards.len()).any(|shard| {
            !delivery.reported[shard] && shards[shard].outcome == ShardOutcome::Failed
        });
        if !failed && waiting.clone().any(usual) {
            return;
        }
        let unreported: Vec<usize> = (0..shards.len())
            .filter(|shard| ended(*shard) && !delivery.reported[*shard])
            .collect();
        if unreported.is_empty() {
            return;
        }
        let message = self.partial_reply(&unreported);
        if let Some(delivery) = &mut self.delivery {
            for shard in unreported {
                delivery.reported[shard] = true;
            }
        }
        reply(message);
    }

    fn is_straggler(&self, began: Instant, kind: AttemptKind, time: Instant) -> bool {
        let waited = millis(time.saturating_duration_since(began));
        let latency = self.context.latency.borrow();
        waited >= latency.histogram(kind).quantile(super::STRAGGLER_QUANTILE)
    }

    /// Returns the time of the attempt that delivered a shard's part.
    fn took_us(&self, shard: usize) -> u32 {
        let took = self.attempts_of(shard).find_map(|attempt| attempt.took);
        let micros = took.unwrap_or_default().as_micros();
        u32::try_from(micros).unwrap_or(u32::MAX)
    }

    /// Returns how far the request got with a shard, for the VM that requested it. A broken connection is only reported
    /// as broken if the upstream is confirmed lost; reporting every broken connection held back the other VM's
    /// remaining shards.
    fn progress(&self, shard: usize) -> ShardProgress {
        match self.state.shards()[shard].progress() {
            ShardProgress::Broken if !self.suspicion.is_confirmed(shard) => ShardProgress::Run,
            progress => progress,
        }
    }

    fn partial_reply(&self, shards: &[usize]) -> PartialReply {
        let mut reply = PartialReply::default();
        let mut records = Vec::new();
        for number in shards {
            let shard = &self.state.shards()[*number];
            if let ShardOutcome::Answered(part) = &shard.outcome {
                reply.parts.push(ShardSignature {
                    shard: *number as u16,
                    signature: bytes::Bytes::copy_from_slice(part.signature.as_bytes()),
                    took_us: self.took_us(*number),
                });
                records.push(part);
                continue;
            }
            let avoid = self
                .delivery
                .as_ref()
                .is_some_and(|delivery| delivery.avoid[*number]);
            reply.failed.push(FailedShard {
                shard: *number as u16,
                progress: self.progress(*number),
                avoid,
            });
        }
        let own = records.iter().filter_map(|part| part.own_records());
        let RunTarget::Gather(terms) = &self.target else {
            return reply;
        };
        reply.records = merge_records(own, terms.max_records);
        reply
    }
}
