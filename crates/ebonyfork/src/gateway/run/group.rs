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
    FailedShard, PartialQuery, PartialReply, RecordCut, ShardProgress, ShardSignature,
};
use crate::gateway::policy::choice::UpstreamChoice;
use crate::gateway::policy::gather::ShardOutcome;
use crate::gateway::policy::latency::{AttemptKind, millis};
use crate::gateway::settings::PlaceDistance;

/// Longest merged list of a reply, in bytes. A longer message would break the link, and all that waits on it.
const MAX_REPLY_BYTES: usize = 1 << 20;

/// Group of shards that another VM gathers.
#[derive(Debug)]
pub(super) struct ShardGroup {
    /// Number by which this VM and the other one identify the query.
    query_number: u64,
    /// Attempts of the group, as indices in the list of attempts.
    attempts: Vec<usize>,
}

/// Progress of the replies to the VM that requested the parts.
#[derive(Debug)]
pub(super) struct PartialDelivery {
    /// For each shard, whether its outcome was reported to the VM that requested the parts.
    is_reported: Vec<bool>,
    /// For each shard, whether the VM that requested the parts is advised to avoid the shard's upstreams in this zone
    /// for a short time.
    avoid: Vec<bool>,
}

impl PartialDelivery {
    pub(super) fn new(shards: usize) -> Self {
        Self {
            is_reported: vec![false; shards],
            avoid: vec![false; shards],
        }
    }
}

impl QueryRun {
    /// Delegates shards whose chosen upstreams are in other zones to VMs in those zones. The other shards are left for
    /// direct attempts.
    pub(super) fn delegate(&mut self, choices: &mut [Option<UpstreamChoice>]) {
        let place = self.context.core.settings.place.clone();
        let mut shards_by_zone: SmallVec<[(PlaceName, Vec<usize>); 4]> = SmallVec::new();
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
            match shards_by_zone
                .iter_mut()
                .find(|(known_zone, _shards)| *known_zone == zone)
            {
                Some((_zone, shards)) => shards.push(shard),
                None => shards_by_zone.push((zone, vec![shard])),
            }
        }
        for (zone, shards) in shards_by_zone {
            let group_choices: Vec<_> = shards
                .iter()
                .map(|shard| (*shard, &choices[*shard]))
                .collect();
            let group_choices: Vec<_> = group_choices
                .into_iter()
                .filter_map(|(shard, choice)| Some((shard, choice.as_ref()?)))
                .collect();
            if !self.delegate_zone(&zone, &group_choices) {
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
        let is_gathered = matches!(self.target, RunTarget::Gather(_));
        let is_suspected = self.is_suspected();
        if !is_gathered
            || is_suspected
            || choice.distance == PlaceDistance::Zone
            || self.delivery.is_some()
        {
            return false;
        }
        let zone = choice.upstream.entry().zone.clone();
        self.delegate_zone(&zone, &[(shard, choice)])
    }

    /// Delegates shards to one VM in a zone. Returns false if there is no VM that can gather them.
    fn delegate_zone(&mut self, zone: &PlaceName, shards: &[(usize, &UpstreamChoice)]) -> bool {
        let core = Rc::clone(&self.context.core);
        let median_ms = {
            let latency = self.context.latency.borrow();
            latency.histogram(AttemptKind::Delegated).quantile(0.5)
        };
        let working_vms = core.vms.serving_in_zone(zone);
        let Some(vm) = core.delegates.choose_vm(&working_vms, median_ms) else {
            return false;
        };
        let began = now();
        let query = self.partial_query(shards, began);
        let group = self.groups.len();
        let event_destination = (group, self.event_sender.clone());
        let Some(query_number) = core.delegates.send(vm, query, median_ms, event_destination)
        else {
            return false;
        };
        let mut attempts = Vec::with_capacity(shards.len());
        for (shard, choice) in shards {
            self.count_request(*shard);
            let (abort_handle, _registration) = AbortHandle::new_pair();
            let kind = AttemptKind::Delegated;
            attempts.push(self.record_begun(*shard, choice, kind, began, abort_handle));
        }
        self.groups.push(ShardGroup {
            query_number,
            attempts,
        });
        true
    }

    fn partial_query(
        &self,
        shards: &[(usize, &UpstreamChoice)],
        current_time: Instant,
    ) -> PartialQuery {
        let micros_until = |until: Instant| {
            let left_us = until.saturating_duration_since(current_time).as_micros();
            u32::try_from(left_us).unwrap_or(u32::MAX)
        };
        let useful_until = self.state.useful_until(current_time);
        let longest_wait = self.context.latency.borrow().waits.own_longest();
        PartialQuery {
            number: 0,
            digest: *self.shard_digest.get_or_init(|| self.route.shard_digest()),
            shards: shards
                .iter()
                .map(|(shard, _choice)| *shard as u16)
                .collect(),
            answer_left_us: useful_until.map_or(0, micros_until),
            finish_left_us: micros_until(self.request.finish_by),
            longest_wait_us: u32::try_from(longest_wait.as_micros()).unwrap_or(u32::MAX),
            request: self.request.to_partial(),
            wanted: match &self.target {
                RunTarget::Gather(terms) => RecordCut::to_greatest(terms.max_records),
                RunTarget::One(_) => RecordCut::Unstated,
            },
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
                for attempt_index in self.groups[event.group].attempts.clone() {
                    self.record_delegated_failure(attempt_index, progress);
                }
            }
        }
    }

    fn handle_reply(&mut self, group: usize, reply: PartialReply) {
        let attempts = self.groups[group].attempts.clone();
        let find_attempt = |run: &Self, shard: u16| {
            let mut numbers = attempts.iter().copied();
            numbers.find(|attempt_index| {
                let attempt = &run.attempts[*attempt_index];
                attempt.shard == usize::from(shard) && !attempt.ended
            })
        };
        let current_time = now();
        let mut parts = Vec::with_capacity(reply.parts.len());
        for part in reply.parts {
            let Some(attempt_index) = find_attempt(self, part.shard) else {
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
            self.record_delegated_part(attempt_index, current_time, part.took_us);
            parts.push((usize::from(part.shard), signature));
        }
        if !parts.is_empty() {
            self.state.add_merged_group(parts, reply.records);
        }
        self.mark_rest_late(&attempts, current_time);
        for failed_shard in reply.failed {
            let Some(attempt_index) = find_attempt(self, failed_shard.shard) else {
                continue;
            };
            if failed_shard.avoid {
                let health = &self.attempts[attempt_index].upstream.health;
                health.borrow_mut().record_avoid_advice(current_time);
            }
            self.record_delegated_failure(attempt_index, failed_shard.progress);
        }
    }

    /// Marks the attempts of a group that are still in flight after its first reply as late.
    fn mark_rest_late(&mut self, attempts: &[usize], current_time: Instant) {
        for attempt_index in attempts {
            let attempt = &mut self.attempts[*attempt_index];
            if attempt.ended || attempt.known_late {
                continue;
            }
            attempt.known_late = true;
            attempt.next_check = current_time;
        }
    }

    /// Records that a part gathered by another VM has arrived.
    fn record_delegated_part(&mut self, attempt_index: usize, current_time: Instant, took_us: u32) {
        let attempt = &mut self.attempts[attempt_index];
        attempt.ended = true;
        let attempt_time = current_time.saturating_duration_since(attempt.began);
        let mut latency = self.context.latency.borrow_mut();
        latency
            .histogram_mut(AttemptKind::Delegated)
            .record(attempt_time, current_time);
        // The other VM is in the upstream's zone, so the time that it measured is compared with the usual time of
        // attempts in this VM's own zone.
        let slowness = latency.slowness(AttemptKind::Zone, f64::from(took_us) / 1_000.0);
        let mut health = attempt.upstream.health.borrow_mut();
        health.record_answer(attempt.began, current_time, slowness);
        drop(health);
        self.state.shard_mut(attempt.shard).in_flight -= 1;
    }

    /// Records that another VM won't deliver a part, and retries the shard. If upstreams declined it, they have
    /// received the request, so the next attempt spends from the retry budget.
    fn record_delegated_failure(&mut self, attempt_index: usize, progress: ShardProgress) {
        let attempt = &mut self.attempts[attempt_index];
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
        let shard_state = self.state.shard_mut(shard);
        shard_state.in_flight -= 1;
        match progress {
            ShardProgress::Unsent => {
                shard_state.possible_runs -= 1;
                shard_state.unsent_attempts += 1;
            }
            ShardProgress::Declined => {
                shard_state.possible_runs -= 1;
                shard_state.declined_attempts += 1;
            }
            ShardProgress::Run => {}
            ShardProgress::Broken => {
                shard_state.connection_broke = true;
                let check = Rc::new(LossCheck::new(LossVerdict::Lost));
                self.retry_lost(shard, Some(check));
                return;
            }
        }
        self.retry(shard, Duration::ZERO);
    }

    /// Ends the groups at the VMs that gather them, and adds late attempts to the latency histogram as abandoned.
    pub(super) fn end_groups(&mut self) {
        let current_time = now();
        for group in &self.groups {
            let all_ended = group
                .attempts
                .iter()
                .all(|attempt_index| self.attempts[*attempt_index].ended);
            self.context
                .core
                .delegates
                .end(group.query_number, all_ended);
        }
        for attempt in &self.attempts {
            if attempt.ended || attempt.kind != AttemptKind::Delegated {
                continue;
            }
            let mut latency = self.context.latency.borrow_mut();
            let time_in_flight = current_time.saturating_duration_since(attempt.began);
            latency
                .histogram_mut(AttemptKind::Delegated)
                .record_abandoned(time_in_flight, current_time);
            let slowness = latency.slowness(AttemptKind::Delegated, millis(time_in_flight));
            let mut health = attempt.upstream.health.borrow_mut();
            health.record_abandoned(attempt.began, current_time, slowness);
        }
    }

    /// Starts the shards that another VM requested. A shard without a healthy upstream in this zone is reported as
    /// failed at once.
    pub(super) fn begin_partial(&mut self) {
        let current_time = now();
        let median_ms = {
            let latency = self.context.latency.borrow();
            latency.histogram(AttemptKind::Zone).quantile(0.5)
        };
        for shard in 0..self.state.shards().len() {
            // The VM that accepted the request from the caller has counted it.
            self.state.shard_mut(shard).request_counted = true;
            let choice = self.choose(shard, false);
            let usable_choice = choice.filter(|choice| {
                let health = choice.upstream.health.borrow();
                !health.is_ejected(current_time) && !health.is_pausing(current_time, median_ms)
            });
            if let Some(choice) = usable_choice {
                self.launch(shard, choice, Duration::ZERO);
            } else {
                if let Some(delivery) = &mut self.delivery {
                    delivery.avoid[shard] = true;
                }
                self.state.fail(shard);
            }
        }
    }

    /// Sends the parts that have arrived to the VM that requested them, once the attempts still in flight are late, so
    /// that several parts share one reply and none of them waits for a straggler. A failed shard is reported at once.
    pub(super) fn flush(&mut self, reply: &mut impl FnMut(PartialReply)) {
        let Some(delivery) = &self.delivery else {
            return;
        };
        let current_time = now();
        let shards = self.state.shards();
        let has_ended = |shard: usize| !shards[shard].is_open();
        let open_shards = (0..shards.len()).filter(|shard| !has_ended(*shard));
        let has_timely_attempt = |shard: usize| {
            let mut in_flight = self.attempts_of(shard).filter(|attempt| !attempt.ended);
            in_flight.any(|attempt| !self.is_straggler(attempt.began, attempt.kind, current_time))
        };
        let has_unreported_failure = (0..shards.len()).any(|shard| {
            !delivery.is_reported[shard] && shards[shard].outcome == ShardOutcome::Failed
        });
        if !has_unreported_failure && open_shards.clone().any(has_timely_attempt) {
            return;
        }
        let unreported_shards: Vec<usize> = (0..shards.len())
            .filter(|shard| has_ended(*shard) && !delivery.is_reported[*shard])
            .collect();
        if unreported_shards.is_empty() {
            return;
        }
        let message = self.partial_reply(&unreported_shards);
        if let Some(delivery) = &mut self.delivery {
            for shard in unreported_shards {
                delivery.is_reported[shard] = true;
            }
        }
        reply(message);
    }

    fn is_straggler(&self, began: Instant, kind: AttemptKind, current_time: Instant) -> bool {
        let waited_ms = millis(current_time.saturating_duration_since(began));
        let latency = self.context.latency.borrow();
        waited_ms >= latency.histogram(kind).quantile(super::STRAGGLER_QUANTILE)
    }

    /// Returns the time that the attempt which delivered a shard's part took, in microseconds.
    fn took_us(&self, shard: usize) -> u32 {
        let attempt_time = self.attempts_of(shard).find_map(|attempt| attempt.took);
        let attempt_us = attempt_time.unwrap_or_default().as_micros();
        u32::try_from(attempt_us).unwrap_or(u32::MAX)
    }

    /// Returns how far the request got with a shard, for the VM that requested it. A broken connection is only reported
    /// as broken if the upstream is confirmed lost; reporting every broken connection would hold back the other VM's
    /// remaining shards.
    fn progress(&self, shard: usize) -> ShardProgress {
        match self.state.shards()[shard].progress() {
            ShardProgress::Broken if !self.suspicion.has_confirmed_loss(shard) => {
                ShardProgress::Run
            }
            progress => progress,
        }
    }

    fn partial_reply(&self, shards: &[usize]) -> PartialReply {
        let mut reply = PartialReply::default();
        let mut answered_parts = Vec::new();
        for shard_index in shards {
            let shard = &self.state.shards()[*shard_index];
            if let ShardOutcome::Answered(part) = &shard.outcome {
                reply.parts.push(ShardSignature {
                    shard: *shard_index as u16,
                    signature: bytes::Bytes::copy_from_slice(part.signature.as_bytes()),
                    took_us: self.took_us(*shard_index),
                });
                answered_parts.push(part);
                continue;
            }
            let avoid = self
                .delivery
                .as_ref()
                .is_some_and(|delivery| delivery.avoid[*shard_index]);
            reply.failed.push(FailedShard {
                shard: *shard_index as u16,
                progress: self.progress(*shard_index),
                avoid,
            });
        }
        let separate_records = answered_parts.iter().filter_map(|part| part.own_records());
        let RunTarget::Gather(gather_terms) = &self.target else {
            return reply;
        };
        reply.records = merge_records(separate_records, gather_terms.max_records);
        reply.cut = RecordCut::to_greatest(gather_terms.max_records);
        if reply.records.len() > MAX_REPLY_BYTES {
            reply.discard_parts();
        }
        reply
    }
}
