//! The actions that the relay's decision logic issues, and the tables that all upstreams share.

use std::time::Duration;

use crate::ident::{RequestFingerprint, RunState, UpstreamAddress};
use crate::quarantine::LostRequest;
use crate::relay::clamp::LatencyTarget;
use crate::relay::ids::{ClassId, ConnectionId, OrganisationId, UpstreamId, WorkId};
use crate::relay::loss::UpstreamLoss;
use crate::relay::message::{FailureReason, RefusalReason, ShardVerdict};
use cranelift_entity::{PrimaryMap, SecondaryMap};

/// An action that the decision logic has issued and the actor executes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum RelayAction {
    /// Open a connection.
    Open {
        upstream: UpstreamId,
        connection: ConnectionId,
    },
    /// Close an idle connection.
    Close { connection: ConnectionId },
    /// Send an attempt on a connection.
    Send {
        upstream: UpstreamId,
        connection: ConnectionId,
        work: WorkId,
    },
    /// Ask the upstream to cancel an attempt in flight.
    CancelSent { upstream: UpstreamId, work: WorkId },
    /// Return the final verdict of an attempt to its entry.
    Finish { work: WorkId, verdict: ShardVerdict },
    /// Report to the quarantine that an upstream was lost.
    ReportLoss(UpstreamLoss),
    /// Report to the quarantine that a suspect was answered with rows.
    ReportAnswer {
        fingerprint: RequestFingerprint,
        /// Time from sending the attempt to its answer.
        time_in_flight: Duration,
    },
    /// Report to the topology that an upstream said it is leaving.
    ReportLeaving(UpstreamAddress),
}

/// The properties of an attempt that decide how it is scheduled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct WorkItem {
    pub(super) upstream: UpstreamId,
    pub(super) organisation: OrganisationId,
    pub(super) class: ClassId,
    /// When the relay received the attempt.
    pub(super) arrived_at: Duration,
    pub(super) deadline: Duration,
    pub(super) fingerprint: RequestFingerprint,
    /// Whether the request of the attempt is suspected of crashing upstreams.
    pub(super) suspicion: WorkSuspicion,
}

/// Whether a request is suspected of crashing upstreams, as known when the attempt was submitted or about to be sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum WorkSuspicion {
    /// The request is not suspected.
    #[default]
    Clear,
    /// The request was in flight when an upstream was lost.
    Suspect,
    /// The request was in flight when an upstream was lost, and the entry knew this when it sent the attempt.
    AfterLoss,
}

impl WorkItem {
    /// Returns whether the attempt has to be sent while nothing else is in flight at the upstream.
    pub(super) fn is_suspect(&self) -> bool {
        self.suspicion != WorkSuspicion::Clear
    }

    /// Returns the report to the quarantine that the upstream was lost while the attempt was in flight. Its
    /// `time_in_flight` is zero until the loss window sets it.
    pub(super) fn lost_request(&self) -> LostRequest {
        LostRequest {
            fingerprint: self.fingerprint,
            time_in_flight: Duration::ZERO,
            after_loss: self.suspicion == WorkSuspicion::AfterLoss,
        }
    }
}

/// The issued actions, and the tables of attempts and connections that all upstreams share.
#[derive(Debug, Default)]
pub(super) struct RelayTables {
    /// Actions issued since this list was last taken.
    pub(super) actions: Vec<RelayAction>,
    /// Properties of each attempt that is held; `None` under an id that is free.
    items: PrimaryMap<WorkId, Option<WorkItem>>,
    free_work_ids: Vec<WorkId>,
    /// Upstream of each connection that is being opened or open; `None` under an id that is free.
    connections: PrimaryMap<ConnectionId, Option<UpstreamId>>,
    free_connection_ids: Vec<ConnectionId>,
    /// Latency target of each class, or `None` if the configuration declares none.
    pub(super) latency_targets: SecondaryMap<ClassId, Option<LatencyTarget>>,
    /// Attempts released since this list was last drained.
    pub(super) released_work: Vec<WorkId>,
}

impl RelayTables {
    pub(super) fn add_work(&mut self, item: WorkItem) -> WorkId {
        let work = match self.free_work_ids.pop() {
            Some(work) => work,
            None => self.items.push(None),
        };
        self.items[work] = Some(item);
        work
    }

    /// Returns the properties of an attempt, or `None` if it was released.
    pub(super) fn item(&self, work: WorkId) -> Option<WorkItem> {
        self.items.get(work).copied().flatten()
    }

    /// Marks an attempt as belonging to a suspected request.
    pub(super) fn mark_suspect(&mut self, work: WorkId) {
        if let Some(item) = &mut self.items[work] {
            item.suspicion = WorkSuspicion::Suspect;
        }
    }

    /// Releases an attempt to which nothing refers any more; its id may be reused.
    pub(super) fn release(&mut self, work: WorkId) {
        if self.items[work].take().is_some() {
            self.free_work_ids.push(work);
            self.released_work.push(work);
        }
    }

    /// Returns the upstream that a connection leads to.
    pub(super) fn upstream_of(&self, connection: ConnectionId) -> Option<UpstreamId> {
        self.connections.get(connection).copied().flatten()
    }

    pub(super) fn open_connection(&mut self, upstream: UpstreamId) {
        let connection = match self.free_connection_ids.pop() {
            Some(connection) => connection,
            None => self.connections.push(None),
        };
        self.connections[connection] = Some(upstream);
        self.actions.push(RelayAction::Open {
            upstream,
            connection,
        });
    }

    /// Releases a connection whose end was reported; its id may be reused.
    pub(super) fn forget_connection(&mut self, connection: ConnectionId) {
        if self.connections[connection].take().is_some() {
            self.free_connection_ids.push(connection);
        }
    }

    pub(super) fn finish(&mut self, work: WorkId, verdict: ShardVerdict) {
        self.actions.push(RelayAction::Finish { work, verdict });
    }

    /// Gives an attempt that was never sent the verdict that it has not run, and releases it.
    pub(super) fn refuse(&mut self, work: WorkId, reason: RefusalReason) {
        self.finish(work, ShardVerdict::NotRun(reason));
        self.release(work);
    }

    pub(super) fn refuse_all(&mut self, refused_work: &mut Vec<WorkId>, reason: RefusalReason) {
        for work in refused_work.drain(..) {
            self.refuse(work, reason);
        }
    }

    /// Gives an attempt that was sent the verdict that it failed and may have run.
    pub(super) fn fail(&mut self, work: WorkId, reason: FailureReason) {
        let ran = RunState::Unknown;
        self.finish(work, ShardVerdict::Failed { ran, reason });
    }
}
