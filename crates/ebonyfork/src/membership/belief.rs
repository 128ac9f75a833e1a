//! Applies updates to the member table and turns expired suspicions into failures.

use std::time::Duration;

use crate::ident::{SessionId, VmAddress};
use crate::membership::event::{MemberEvent, SnapshotChange};
use crate::membership::message::{DigestUpdate, MemberHealth, MemberUpdate, MemberVersion};
use crate::membership::protocol::MemberProtocol;
use crate::membership::snapshot::GossipNotice;
use crate::membership::table::{DigestEffect, MemberRecord, MergeEffect};
use crate::membership::timing::{
    MEMBER_LIMIT, MIN_REFUTE_TIME, RECEIVE_SILENCE_TIME, suspicion_time,
};

/// Deadline by which a suspected member has to refute the suspicion.
#[derive(Debug, Clone, Copy)]
pub(super) struct SuspectTimer {
    vm: VmAddress,
    /// Version of the member that is suspected; the timer is void once the member has another one.
    version: MemberVersion,
    pub(super) deadline: Duration,
}

impl MemberProtocol {
    /// Extends all suspicions to `earliest_deadline` at least.
    pub(super) fn postpone_suspects(&mut self, earliest_deadline: Duration) {
        for timer in &mut self.suspect_timers {
            timer.deadline = timer.deadline.max(earliest_deadline);
        }
    }

    /// Declares every suspect failed whose deadline has passed, unless this process itself may be cut off.
    pub(super) fn expire_suspects(&mut self, now: Duration) {
        if !self.has_recent_contact(now) || !self.has_recent_ack(now) {
            // A refutation could not reach this process either.
            self.postpone_suspects(now + RECEIVE_SILENCE_TIME);
            return;
        }
        let mut expired_timers: Vec<SuspectTimer> = Vec::new();
        let table = &self.table;
        self.suspect_timers.retain(|timer| {
            let is_pending = table.get(timer.vm).is_some_and(|record| {
                record.version == timer.version && record.health == MemberHealth::Suspect
            });
            if is_pending && timer.deadline <= now {
                expired_timers.push(*timer);
            }
            is_pending && timer.deadline > now
        });
        for timer in expired_timers {
            self.counters.failures += 1;
            let failure = self.health_update(timer.vm, timer.version, MemberHealth::Failed);
            self.apply_update(now, &failure, true);
        }
    }

    /// Builds an update that reports `health` for a known version of a member.
    pub(super) fn health_update(
        &self,
        vm: VmAddress,
        version: MemberVersion,
        health: MemberHealth,
    ) -> MemberUpdate {
        let leaving = self.table.get(vm).is_some_and(|record| record.leaving);
        MemberUpdate {
            vm,
            version,
            health,
            leaving,
            age_ds: 0,
            zone: None,
        }
    }

    /// Applies an update about another member to the table. Gossips it if `forward` is set or if it is a suspicion.
    pub(super) fn apply_update(&mut self, now: Duration, update: &MemberUpdate, forward: bool) {
        let state_before = self.table.get(update.vm).map(MemberRecord::state);
        if state_before.is_none() && self.table.len() >= MEMBER_LIMIT {
            return;
        }
        let effect = self.table.merge(now, update);
        if effect == MergeEffect::Unchanged {
            return;
        }
        let Some(record) = self.table.get(update.vm) else {
            return;
        };
        let (version, health, state) = (record.version, record.health, record.state());
        let zone = record.zone.clone();
        if health == MemberHealth::Suspect {
            // The deadline counts from the start of the suspicion, so that members that learn of it late do not restart
            // the full wait.
            let suspicion_end = record.health_since + suspicion_time(self.table.present_count());
            let deadline = suspicion_end.max(now + MIN_REFUTE_TIME);
            let vm = update.vm;
            self.suspect_timers.push(SuspectTimer {
                vm,
                version,
                deadline,
            });
        }
        if effect == MergeEffect::Joined {
            self.probe.insert(update.vm, &mut self.rng);
            self.unheard.remove(update.vm);
        }
        if forward || health == MemberHealth::Suspect {
            self.gossip_queues.members.push(update.vm);
        }
        if state_before != Some(state) || effect == MergeEffect::Joined {
            self.change = SnapshotChange::Members;
            let session = SessionId::new(update.vm, version.incarnation);
            let event = MemberEvent::State {
                session,
                zone,
                state,
            };
            self.events.push(event);
        }
    }

    /// Applies a digest, whether received from its member or forwarded by another one.
    pub(super) fn apply_digest(&mut self, update: &DigestUpdate) {
        let vm = update.session.vm;
        match self.table.merge_digest(update) {
            DigestEffect::Unchanged => return,
            DigestEffect::Load => self.gossip_queues.digests.push(vm),
            DigestEffect::Revision => self.gossip_queues.revisions.push(vm),
        }
        self.change = self.change.max(SnapshotChange::Digests);
    }

    /// Stores a notice, gossips it and reports it as an event, unless it is already known.
    pub(super) fn apply_notice(&mut self, now: Duration, notice: GossipNotice) {
        if self.notices.merge(now, &notice) {
            self.gossip_queues.notices.push(notice.number);
            self.events.push(MemberEvent::Notice(notice));
        }
    }

    /// Handles an update about this process itself: refutes a suspicion, reports a newer incarnation on this VM.
    pub(super) fn handle_own_update(&mut self, update: &MemberUpdate) {
        if update.version.incarnation > self.own_header.version.incarnation {
            self.counters.superseded += 1;
            let session = SessionId::new(update.vm, update.version.incarnation);
            self.events.push(MemberEvent::Superseded(session));
        }
        if update.health == MemberHealth::Alive
            || update.version.incarnation != self.own_header.version.incarnation
            || update.version.refutation < self.own_header.version.refutation
        {
            return;
        }
        self.counters.refutations += 1;
        self.own_header.version.refutation = update.version.refutation.saturating_add(1);
        self.gossip_queues.members.push(self.own_header.vm);
    }
}
