//! Shards that are gathered elsewhere: asking a VM beside their upstreams, and doing the same for other VMs.

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
    FailedShard, PartialQuery, PartialReply, ShardReach, ShardSignature,
};
use crate::gateway::policy::choice::UpstreamChoice;
use crate::gateway::policy::gather::ShardStanding;
use crate::gateway::policy::latency::{AttemptKind, millis};
use crate::gateway::settings::PlaceDistance;

/// A group of shards that another VM gathers.
#[derive(Debug)]
pub(super) struct ShardGroup {
    /// The query's number at that VM.
    number: u64,
    /// Attempts of the group, by their place in the list.
    attempts: Vec<usize>,
}

/// What this VM owes to the one that has asked for parts.
#[derive(Debug)]
pub(super) struct PartialDuty {
    /// Whether each shard's end was told.
    told: Vec<bool>,
    /// Shards whose upstream here should be avoided for a moment.
    avoid: Vec<bool>,
}

impl PartialDuty {
    pub(super) fn new(shards: usize) -> Self {
        Self {
            told: vec![false; shards],
            avoid: vec![false; shards],
        }
    }
}

impl QueryRun {
    /// Hands the shards whose chosen upstreams are in other zones to VMs of these zones; the others stay for direct
    /// attempts.
    pub(super) fn delegate(&mut self, choices: &mut [Option<UpstreamChoice>]) {
        let place = self.context.core.settings.place.clone();
        let mut zones: SmallVec<[(PlaceName, Vec<usize>); 4]> = SmallVec::new();
        for (shard, choice) in choices.iter().enumerate() {
            let Some(choice) = choice else { continue };
            let near = choice.distance == PlaceDistance::Zone;
            if near || self.state.shards()[shard].postponed {
                continue;
            }
            let zone = choice.upstream.entry().zone.clone();
            debug_assert_ne!(zone, place.zone, "another zone is never near");
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

    /// Hands a repeated attempt to a VM beside its upstream, whose link is open; a connection of our own would cost
    /// one more way there and back. Tells whether it did.
    pub(super) fn delegate_repeat(&mut self, shard: usize, choice: &UpstreamChoice) -> bool {
        let gather = matches!(self.target, RunTarget::Gather(_));
        let suspected = self.is_suspected();
        if !gather || suspected || choice.distance == PlaceDistance::Zone || self.duty.is_some() {
            return false;
        }
        let zone = choice.upstream.entry().zone.clone();
        self.delegate_zone(&zone, &[(shard, choice)])
    }

    fn delegate_zone(&mut self, zone: &PlaceName, shards: &[(usize, &UpstreamChoice)]) -> bool {
        let core = Rc::clone(&self.context.core);
        let usual = {
            let latency = self.context.latency.borrow();
            latency.track(AttemptKind::Delegated).quantile(0.5)
        };
        let working = core.vms.serving_in_zone(zone);
        let Some(vm) = core.delegates.choose_vm(&working, usual) else {
            return false;
        };
        let began = now();
        let query = self.partial_query(shards, began);
        let group = self.groups.len();
        let events = (group, self.news_sender.clone());
        let Some(number) = core.delegates.send(vm, query, usual, events) else {
            return false;
        };
        let mut attempts = Vec::with_capacity(shards.len());
        for (shard, choice) in shards {
            self.count_request(*shard);
            let (abort, _registration) = AbortHandle::new_pair();
            let kind = AttemptKind::Delegated;
            attempts.push(self.note_begun(*shard, choice, kind, began, abort));
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
            digest: *self.mark.get_or_init(|| self.route.shard_digest()),
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

    /// Takes in what a VM tells of a group.
    pub(super) fn take_news(&mut self, event: GroupEvent) {
        match event.update {
            GroupUpdate::Reply(reply) => self.take_reply(event.group, reply),
            GroupUpdate::Down { sent } => {
                let reach = if sent {
                    ShardReach::Run
                } else {
                    ShardReach::Unsent
                };
                for number in self.groups[event.group].attempts.clone() {
                    self.end_delegated(number, reach);
                }
            }
        }
    }

    fn take_reply(&mut self, group: usize, reply: PartialReply) {
        let attempts = self.groups[group].attempts.clone();
        let find = |run: &Self, shard: u16| {
            let mut numbers = attempts.iter().copied();
            numbers.find(|number| {
                let attempt = &run.live[*number];
                attempt.shard == usize::from(shard) && !attempt.ended
            })
        };
        let time = now();
        let mut parts = Vec::with_capacity(reply.parts.len());
        for part in reply.parts {
            let Some(number) = find(self, part.shard) else {
                log::warn!(
                    "a partial reply names shard {} that was not asked",
                    part.shard
                );
                return;
            };
            let Ok(signature) = HeaderValue::from_maybe_shared(part.signature) else {
                log::warn!("a partial reply holds a malformed signature");
                return;
            };
            self.note_delegated(number, time, part.took_us);
            parts.push((usize::from(part.shard), signature));
        }
        if !parts.is_empty() {
            self.state.take_group(parts, reply.records);
        }
        self.suspect_rest(&attempts, time);
        for failed in reply.failed {
            let Some(number) = find(self, failed.shard) else {
                continue;
            };
            if failed.avoid {
                let health = &self.live[number].upstream.health;
                health.borrow_mut().note_advice(time);
            }
            self.end_delegated(number, failed.reach);
        }
    }

    /// What is not in the first reply of a group is late at the VM that gathers it.
    fn suspect_rest(&mut self, attempts: &[usize], time: Instant) {
        for number in attempts {
            let attempt = &mut self.live[*number];
            if attempt.ended || attempt.known_late {
                continue;
            }
            attempt.known_late = true;
            attempt.next_look = time;
        }
    }

    /// A part that another VM has gathered is in.
    fn note_delegated(&mut self, number: usize, time: Instant, took_us: u32) {
        let attempt = &mut self.live[number];
        attempt.ended = true;
        let took = time.saturating_duration_since(attempt.began);
        let mut latency = self.context.latency.borrow_mut();
        latency.track_mut(AttemptKind::Delegated).record(took, time);
        // What the upstream took there is measured against what those beside this VM take.
        let slowness = latency.slowness(AttemptKind::Zone, f64::from(took_us) / 1_000.0);
        let mut health = attempt.upstream.health.borrow_mut();
        health.note_answer(attempt.began, time, slowness);
        drop(health);
        self.state.shard_mut(attempt.shard).out -= 1;
    }

    /// A part that another VM should have gathered won't come from there: it is asked for directly. What upstreams there
    /// have declined has arrived, so the next attempt is paid for.
    fn end_delegated(&mut self, number: usize, reach: ShardReach) {
        let attempt = &mut self.live[number];
        if attempt.ended {
            return;
        }
        attempt.ended = true;
        attempt.may_have_run = matches!(reach, ShardReach::Run | ShardReach::Broken);
        let mut health = attempt.upstream.health.borrow_mut();
        if reach == ShardReach::Declined {
            health.note_failure(attempt.began, now());
        } else {
            health.note_unsent(attempt.began);
        }
        drop(health);
        let shard = attempt.shard;
        let state = self.state.shard_mut(shard);
        state.out -= 1;
        match reach {
            ShardReach::Unsent => {
                state.ran -= 1;
                state.unsent += 1;
            }
            ShardReach::Declined => {
                state.ran -= 1;
                state.declined += 1;
            }
            ShardReach::Run => {}
            ShardReach::Broken => {
                state.lost = true;
                let check = Rc::new(LossCheck::new(LossVerdict::Lost));
                self.retry_lost(shard, Some(check));
                return;
            }
        }
        self.retry(shard, Duration::ZERO);
    }

    /// Ends the groups at the VMs that gather them. What was late there counts in the picture of such attempts.
    pub(super) fn end_groups(&mut self) {
        let time = now();
        for group in &self.groups {
            let finished = group.attempts.iter().all(|number| self.live[*number].ended);
            self.context.core.delegates.end(group.number, finished);
        }
        for attempt in &self.live {
            if attempt.ended || attempt.kind != AttemptKind::Delegated {
                continue;
            }
            let mut latency = self.context.latency.borrow_mut();
            let waited = time.saturating_duration_since(attempt.began);
            latency
                .track_mut(AttemptKind::Delegated)
                .record_abandoned(waited, time);
            let slowness = latency.slowness(AttemptKind::Delegated, millis(waited));
            let mut health = attempt.upstream.health.borrow_mut();
            health.note_abandoned(attempt.began, time, slowness);
        }
    }

    /// Begins the shards that another VM has asked for. One without a good upstream beside this VM is handed back.
    pub(super) fn begin_partial(&mut self) {
        let time = now();
        let usual = {
            let latency = self.context.latency.borrow();
            latency.track(AttemptKind::Zone).quantile(0.5)
        };
        for shard in 0..self.state.shards().len() {
            // The VM that has the caller's request has counted it.
            self.state.shard_mut(shard).counted = true;
            let choice = self.choose(shard, false);
            let usable = choice.filter(|choice| {
                let health = choice.upstream.health.borrow();
                !health.is_ejected(time) && !health.is_pausing(time, usual)
            });
            if let Some(choice) = usable {
                self.launch(shard, choice, Duration::ZERO);
            } else {
                if let Some(duty) = &mut self.duty {
                    duty.avoid[shard] = true;
                }
                self.state.fail(shard);
            }
        }
    }

    /// Replies with the parts that have come in, once those that are still out are late: several parts make one reply,
    /// and none of them waits for a straggler.
    pub(super) fn flush(&mut self, reply: &mut impl FnMut(PartialReply)) {
        let Some(duty) = &self.duty else { return };
        let time = now();
        let shards = self.state.shards();
        let ended = |shard: usize| !shards[shard].is_open();
        let waiting = (0..shards.len()).filter(|shard| !ended(*shard));
        let usual = |shard: usize| {
            let mut out = self.attempts_of(shard).filter(|attempt| !attempt.ended);
            out.any(|attempt| !self.is_straggler(attempt.began, attempt.kind, time))
        };
        let failed = (0..shards.len())
            .any(|shard| !duty.told[shard] && shards[shard].standing == ShardStanding::Failed);
        if !failed && waiting.clone().any(usual) {
            return;
        }
        let untold: Vec<usize> = (0..shards.len())
            .filter(|shard| ended(*shard) && !duty.told[*shard])
            .collect();
        if untold.is_empty() {
            return;
        }
        let message = self.partial_reply(&untold);
        if let Some(duty) = &mut self.duty {
            for shard in untold {
                duty.told[shard] = true;
            }
        }
        reply(message);
    }

    fn is_straggler(&self, began: Instant, kind: AttemptKind, time: Instant) -> bool {
        let waited = millis(time.saturating_duration_since(began));
        let latency = self.context.latency.borrow();
        waited >= latency.track(kind).quantile(super::STRAGGLER_SHARE)
    }

    /// How long the attempt took that brought a shard's part.
    fn took_us(&self, shard: usize) -> u32 {
        let took = self.attempts_of(shard).find_map(|attempt| attempt.took);
        let micros = took.unwrap_or_default().as_micros();
        u32::try_from(micros).unwrap_or(u32::MAX)
    }

    /// How far the request got with a shard, as the VM that asked has to know. A break that has not been found to be a
    /// loss of the upstream is none: as one it kept the asking VM's other shards waiting.
    fn reach(&self, shard: usize) -> ShardReach {
        match self.state.shards()[shard].reach() {
            ShardReach::Broken if !self.suspicion.is_confirmed(shard) => ShardReach::Run,
            reach => reach,
        }
    }

    fn partial_reply(&self, shards: &[usize]) -> PartialReply {
        let mut reply = PartialReply::default();
        let mut records = Vec::new();
        for number in shards {
            let shard = &self.state.shards()[*number];
            if let ShardStanding::Answered(part) = &shard.standing {
                reply.parts.push(ShardSignature {
                    shard: *number as u16,
                    signature: bytes::Bytes::copy_from_slice(part.signature.as_bytes()),
                    took_us: self.took_us(*number),
                });
                records.push(part);
                continue;
            }
            let avoid = self.duty.as_ref().is_some_and(|duty| duty.avoid[*number]);
            reply.failed.push(FailedShard {
                shard: *number as u16,
                reach: self.reach(*number),
                avoid,
            });
        }
        let own = records.iter().filter_map(|part| part.own_records());
        let RunTarget::Gather(terms) = &self.target else {
            return reply;
        };
        reply.records = merge_records(own, terms.top);
        reply
    }
}
