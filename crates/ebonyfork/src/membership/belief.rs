//! What the protocol believes: how news changes the table, and when a suspicion becomes a failure.

use std::time::Duration;

use crate::ident::{SessionId, VmAddress};
use crate::membership::event::{MemberEvent, SnapshotChange};
use crate::membership::message::{DigestUpdate, MemberHealth, MemberLife, MemberUpdate};
use crate::membership::protocol::MemberProtocol;
use crate::membership::snapshot::GossipNotice;
use crate::membership::table::{DigestEffect, MemberRecord, MergeEffect};
use crate::membership::timing::{DEAF_TIME, MEMBER_LIMIT, REFUTE_TIME, suspicion_time};

/// When a suspect's time to refute runs out.
#[derive(Debug, Clone, Copy)]
pub(super) struct SuspectTimer {
    vm: VmAddress,
    life: MemberLife,
    pub(super) deadline: Duration,
}

impl MemberProtocol {
    /// Leaves all suspects until `earliest` at least.
    pub(super) fn postpone_suspects(&mut self, earliest: Duration) {
        for suspect in &mut self.suspects {
            suspect.deadline = suspect.deadline.max(earliest);
        }
    }

    pub(super) fn expire_suspects(&mut self, now: Duration) {
        if !self.hears(now) || !self.is_answered(now) {
            // A refutation could not reach us either.
            self.postpone_suspects(now + DEAF_TIME);
            return;
        }
        let mut due: Vec<SuspectTimer> = Vec::new();
        let table = &self.table;
        self.suspects.retain(|suspect| {
            let still = table.get(suspect.vm).is_some_and(|record| {
                record.life == suspect.life && record.health == MemberHealth::Suspect
            });
            if still && suspect.deadline <= now {
                due.push(*suspect);
            }
            still && suspect.deadline > now
        });
        for suspect in due {
            self.counters.failures += 1;
            let failed = self.accusation(suspect.vm, suspect.life, MemberHealth::Failed);
            self.believe(now, &failed, true);
        }
    }

    pub(super) fn accusation(
        &self,
        vm: VmAddress,
        life: MemberLife,
        health: MemberHealth,
    ) -> MemberUpdate {
        let leaving = self.table.get(vm).is_some_and(|record| record.leaving);
        MemberUpdate {
            vm,
            life,
            health,
            leaving,
            age_ds: 0,
            zone: None,
        }
    }

    /// Takes news about another member into the table, and passes it on if `tell` or if it is a suspicion.
    pub(super) fn believe(&mut self, now: Duration, update: &MemberUpdate, tell: bool) {
        let before = self.table.get(update.vm).map(MemberRecord::state);
        if before.is_none() && self.table.len() >= MEMBER_LIMIT {
            return;
        }
        let effect = self.table.merge(now, update);
        if effect == MergeEffect::Known {
            return;
        }
        let Some(record) = self.table.get(update.vm) else {
            return;
        };
        let (life, health, state) = (record.life, record.health, record.state());
        let zone = record.zone.clone();
        if health == MemberHealth::Suspect {
            // The time runs from when the suspicion began, so that late hearers do not wait it out once more.
            let limit = record.since + suspicion_time(self.table.present());
            let deadline = limit.max(now + REFUTE_TIME);
            let vm = update.vm;
            self.suspects.push(SuspectTimer { vm, life, deadline });
        }
        if effect == MergeEffect::Joined {
            self.probe.insert(update.vm, &mut self.rng);
        }
        if tell || health == MemberHealth::Suspect {
            self.news.members.push(update.vm);
        }
        if before != Some(state) || effect == MergeEffect::Joined {
            self.change = SnapshotChange::Members;
            let session = SessionId::new(update.vm, life.incarnation);
            let event = MemberEvent::State {
                session,
                zone,
                state,
            };
            self.events.push(event);
        }
    }

    /// Takes a digest that a member told of itself or another passed on.
    pub(super) fn believe_digest(&mut self, update: &DigestUpdate) {
        let vm = update.session.vm;
        match self.table.merge_digest(update) {
            DigestEffect::Known => return,
            DigestEffect::Load => self.news.digests.push(vm),
            DigestEffect::Revision => self.news.revisions.push(vm),
        }
        self.change = self.change.max(SnapshotChange::Digests);
    }

    pub(super) fn believe_notice(&mut self, now: Duration, notice: GossipNotice) {
        if self.board.merge(now, &notice) {
            self.news.notices.push(notice.number);
            self.events.push(MemberEvent::Notice(notice));
        }
    }

    /// Answers news about this process itself: a suspicion is refuted.
    pub(super) fn believe_self(&mut self, update: &MemberUpdate) {
        if update.life.incarnation > self.own.life.incarnation {
            self.counters.superseded += 1;
            let session = SessionId::new(update.vm, update.life.incarnation);
            self.events.push(MemberEvent::Superseded(session));
        }
        if update.health == MemberHealth::Alive
            || update.life.incarnation != self.own.life.incarnation
            || update.life.refutation < self.own.life.refutation
        {
            return;
        }
        self.counters.refutations += 1;
        self.own.life.refutation = update.life.refutation.saturating_add(1);
        self.news.members.push(self.own.vm);
    }
}
