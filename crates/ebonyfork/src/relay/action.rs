//! What the relay's decisions ask for.

use std::time::Duration;

use crate::ident::{RequestFingerprint, RunState, UpstreamAddress};
use crate::quarantine::LostRequest;
use crate::relay::clamp::ClassGoal;
use crate::relay::ids::{ClassId, ConnectionId, OrganisationId, UpstreamId, WorkId};
use crate::relay::loss::UpstreamLoss;
use crate::relay::message::{FailureReason, RefusalReason, ShardVerdict};
use cranelift_entity::{PrimaryMap, SecondaryMap};

/// One thing to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum RelayAction {
    /// Open a connection.
    Open {
        upstream: UpstreamId,
        connection: ConnectionId,
    },
    /// Close an idle connection.
    Close { connection: ConnectionId },
    /// Send an attempt.
    Send {
        upstream: UpstreamId,
        connection: ConnectionId,
        work: WorkId,
    },
    /// Ask the upstream to give up an attempt that was sent.
    CancelSent { upstream: UpstreamId, work: WorkId },
    /// Hand back the final verdict of an attempt.
    Finish { work: WorkId, verdict: ShardVerdict },
    /// Tell the quarantine.
    ReportLoss(UpstreamLoss),
    /// Tell the quarantine that a suspect was answered.
    ReportAnswer {
        fingerprint: RequestFingerprint,
        flight: Duration,
    },
    /// Tell the topology that an upstream said it is leaving.
    NoteLeaving(UpstreamAddress),
}

/// What is needed to decide about one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct WorkOrder {
    pub(super) upstream: UpstreamId,
    pub(super) organisation: OrganisationId,
    pub(super) class: ClassId,
    pub(super) arrived: Duration,
    pub(super) deadline: Duration,
    pub(super) fingerprint: RequestFingerprint,
    /// Whether it may have crashed an upstream.
    pub(super) suspicion: WorkSuspicion,
}

/// Whether a request may have crashed an upstream, as far as was known when the attempt came in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum WorkSuspicion {
    /// Nothing is known.
    #[default]
    Clear,
    /// It was in flight when one was lost.
    Suspect,
    /// The same, and its entry has sent this attempt in the knowledge of it.
    AfterLoss,
}

impl WorkOrder {
    pub(super) fn is_suspect(&self) -> bool {
        self.suspicion != WorkSuspicion::Clear
    }

    /// What the quarantine is told if the upstream is lost; the flight is filled in by the loss.
    pub(super) fn lost_request(&self) -> LostRequest {
        LostRequest {
            fingerprint: self.fingerprint,
            flight: Duration::ZERO,
            after_loss: self.suspicion == WorkSuspicion::AfterLoss,
        }
    }
}

/// Collects actions, and keeps the tables that all upstreams share.
#[derive(Debug, Default)]
pub(super) struct RelayTables {
    pub(super) actions: Vec<RelayAction>,
    works: PrimaryMap<WorkId, Option<WorkOrder>>,
    free_works: Vec<WorkId>,
    connections: PrimaryMap<ConnectionId, Option<UpstreamId>>,
    free_connections: Vec<ConnectionId>,
    /// What operators state for the classes.
    pub(super) goals: SecondaryMap<ClassId, Option<ClassGoal>>,
    /// Attempts released since the list was last emptied.
    pub(super) released: Vec<WorkId>,
}

impl RelayTables {
    pub(super) fn add_work(&mut self, order: WorkOrder) -> WorkId {
        let work = match self.free_works.pop() {
            Some(work) => work,
            None => self.works.push(None),
        };
        self.works[work] = Some(order);
        work
    }

    /// The order of an attempt that was not released yet.
    pub(super) fn order(&self, work: WorkId) -> Option<WorkOrder> {
        self.works.get(work).copied().flatten()
    }

    /// The attempt has become a suspect while it waited.
    pub(super) fn suspect(&mut self, work: WorkId) {
        if let Some(order) = &mut self.works[work] {
            order.suspicion = WorkSuspicion::Suspect;
        }
    }

    /// Nothing refers to the attempt any more: its id may be used again.
    pub(super) fn release(&mut self, work: WorkId) {
        if self.works[work].take().is_some() {
            self.free_works.push(work);
            self.released.push(work);
        }
    }

    /// The upstream that a connection leads to.
    pub(super) fn upstream_of(&self, connection: ConnectionId) -> Option<UpstreamId> {
        self.connections.get(connection).copied().flatten()
    }

    pub(super) fn open(&mut self, upstream: UpstreamId) {
        let connection = match self.free_connections.pop() {
            Some(connection) => connection,
            None => self.connections.push(None),
        };
        self.connections[connection] = Some(upstream);
        self.actions.push(RelayAction::Open {
            upstream,
            connection,
        });
    }

    /// The end of a connection is known: its id may be used again.
    pub(super) fn forget_connection(&mut self, connection: ConnectionId) {
        if self.connections[connection].take().is_some() {
            self.free_connections.push(connection);
        }
    }

    pub(super) fn finish(&mut self, work: WorkId, verdict: ShardVerdict) {
        self.actions.push(RelayAction::Finish { work, verdict });
    }

    /// Refuses an attempt that was never sent.
    pub(super) fn refuse(&mut self, work: WorkId, reason: RefusalReason) {
        self.finish(work, ShardVerdict::NotRun(reason));
        self.release(work);
    }

    pub(super) fn refuse_all(&mut self, works: &mut Vec<WorkId>, reason: RefusalReason) {
        for work in works.drain(..) {
            self.refuse(work, reason);
        }
    }

    /// Gives an attempt up that was sent and may have run.
    pub(super) fn fail(&mut self, work: WorkId, reason: FailureReason) {
        let ran = RunState::Unknown;
        self.finish(work, ShardVerdict::Failed { ran, reason });
    }
}
