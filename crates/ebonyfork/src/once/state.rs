//! State machine for the idempotency keys of one process. It does no I/O: each input returns the actions to perform.

use std::time::Duration;

use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::ident::{IdempotencyKey, RunState, SessionId, VmAddress};
use crate::once::adopted::{AdoptedSessions, split_session};
use crate::once::message::{HandoverPart, OnceMessage, OnceOutcome, TransferId};
use crate::once::route::session_candidates;
use crate::once::table::{BeginVerdict, OutcomeTable, RequestDigest};
use crate::query::{QueryOutcome, QueryRefusal, QueryRequest, RefusalCode};
use crate::topology::TopologyView;

/// Attempts to reach the process of a key's session before other VMs are asked.
const MAX_OWNER_ATTEMPTS: u8 = 2;
/// Retry delay given to callers while the process of a key's session can't be reached.
const OWNER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Identifies a receiver that waits in this process for an outcome: a caller, or a peer that forwarded a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaiterId(pub u64);

/// Conditions of the process at the time of an input: the clock, the topology, and whether new work is accepted.
#[derive(Debug, Clone, Copy)]
pub struct NodeConditions<'a> {
    /// Time since the process started.
    pub now: Duration,
    /// Topology of the deployment as this VM sees it.
    pub view: &'a TopologyView,
    /// Code with which new work is refused; `None` while this process accepts work.
    pub new_work_refusal: Option<RefusalCode>,
}

/// An action that the caller of [`OnceState`] has to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceAction {
    /// Run the query and report its outcome with [`OnceState::finish`]. Never returned again for a key that ran.
    Execute(QueryRequest),
    /// Deliver an outcome to a waiter.
    Answer {
        /// The waiter that receives the outcome.
        waiter: WaiterId,
        /// The outcome; always [`OnceOutcome::Known`] for a caller of this process.
        outcome: OnceOutcome,
    },
    /// Send a message to a VM, and report a failure with [`OnceState::handle_send_failure`].
    Send {
        /// The VM that receives the message.
        vm: VmAddress,
        /// The message to send.
        message: OnceMessage,
    },
}

/// Actions returned for one input, in order.
pub type OnceActions = SmallVec<[OnceAction; 2]>;

/// A query of another process's session that was forwarded to a VM and is not answered yet.
#[derive(Debug)]
struct PendingForward {
    waiter: WaiterId,
    request: QueryRequest,
    session: SessionId,
    expires_at: Duration,
    asked_vm: VmAddress,
    owner_attempts: u8,
    /// VMs not yet asked that may hold the session's sealed outcomes, most likely last.
    candidate_vms: SmallVec<[VmAddress; 4]>,
}

/// Idempotency keys known to one process, and queries forwarded to other VMs.
#[derive(Debug)]
pub struct OnceState {
    own_session: SessionId,
    table: OutcomeTable,
    adopted_sessions: AdoptedSessions,
    pending_forwards: FxHashMap<u64, PendingForward>,
    next_forward_id: u64,
    next_transfer: u64,
}

impl OnceState {
    /// Creates the state of a process whose session is `own_session`, without any keys.
    pub fn new(own_session: SessionId) -> Self {
        Self {
            own_session,
            table: OutcomeTable::new(),
            adopted_sessions: AdoptedSessions::new(),
            pending_forwards: FxHashMap::default(),
            next_forward_id: 0,
            next_transfer: 0,
        }
    }

    /// Replaces the table of this process's own keys.
    #[must_use]
    pub fn with_table(mut self, table: OutcomeTable) -> Self {
        self.table = table;
        self
    }

    /// Handles a caller's query with an idempotency key. A forward to another VM is abandoned at `expires_at`.
    pub fn submit(
        &mut self,
        waiter: WaiterId,
        key: IdempotencyKey,
        request: QueryRequest,
        expires_at: Duration,
        conditions: &NodeConditions<'_>,
    ) -> OnceActions {
        let digest = RequestDigest::new(&request);
        if key.session == self.own_session {
            return self.begin(waiter, key, digest, request, conditions);
        }
        if let Some(outcome) = self
            .adopted_sessions
            .outcome(key.session, key.sequence, digest)
        {
            return answer_action(waiter, OnceOutcome::Known(outcome));
        }
        let mut candidate_vms = session_candidates(conditions.view, key.session);
        candidate_vms.retain(|vm| *vm != self.own_session.vm);
        candidate_vms.reverse();
        let pending_forward = PendingForward {
            waiter,
            request,
            session: key.session,
            expires_at,
            asked_vm: key.session.vm,
            owner_attempts: 0,
            candidate_vms,
        };
        self.forward_to_next(pending_forward, conditions)
    }

    /// Handles a query that a peer forwarded; it is never forwarded again.
    pub fn handle_forward(
        &mut self,
        waiter: WaiterId,
        request: QueryRequest,
        conditions: &NodeConditions<'_>,
    ) -> OnceActions {
        let Some(key) = request.key else {
            return answer_action(waiter, OnceOutcome::NotHeld);
        };
        let digest = RequestDigest::new(&request);
        if key.session == self.own_session {
            return self.begin(waiter, key, digest, request, conditions);
        }
        let outcome = self
            .adopted_sessions
            .outcome(key.session, key.sequence, digest);
        answer_action(
            waiter,
            outcome.map_or(OnceOutcome::NotHeld, OnceOutcome::Known),
        )
    }

    /// Handles a peer's answer to a forward.
    pub fn handle_outcome(
        &mut self,
        forward_id: u64,
        outcome: OnceOutcome,
        conditions: &NodeConditions<'_>,
    ) -> OnceActions {
        let Some(pending_forward) = self.pending_forwards.remove(&forward_id) else {
            return OnceActions::new();
        };
        match outcome {
            OnceOutcome::Known(_) => answer_action(pending_forward.waiter, outcome),
            OnceOutcome::NotHeld => {
                let mut pending_forward = pending_forward;
                // The VM runs another process than the session's, so asking it again is useless.
                if pending_forward.asked_vm == pending_forward.session.vm {
                    pending_forward.owner_attempts = MAX_OWNER_ATTEMPTS;
                }
                self.forward_to_next(pending_forward, conditions)
            }
        }
    }

    /// Handles a forward that could not be sent: asks the next VM.
    pub fn handle_send_failure(
        &mut self,
        forward_id: u64,
        conditions: &NodeConditions<'_>,
    ) -> OnceActions {
        match self.pending_forwards.remove(&forward_id) {
            Some(pending_forward) => self.forward_to_next(pending_forward, conditions),
            None => OnceActions::new(),
        }
    }

    /// Handles a broken link to a VM: forwards to it are repeated, to the same VM or to others.
    pub fn handle_link_down(
        &mut self,
        vm: VmAddress,
        conditions: &NodeConditions<'_>,
    ) -> OnceActions {
        let mut forward_ids: SmallVec<[u64; 16]> = SmallVec::new();
        for (forward_id, pending_forward) in &self.pending_forwards {
            if pending_forward.asked_vm == vm {
                forward_ids.push(*forward_id);
            }
        }
        forward_ids.sort_unstable();
        let mut actions = OnceActions::new();
        for forward_id in forward_ids {
            actions.extend(self.handle_send_failure(forward_id, conditions));
        }
        actions
    }

    /// Records the outcome of a run and returns the answers to all its waiters.
    pub fn finish(&mut self, sequence: u64, outcome: QueryOutcome, now: Duration) -> OnceActions {
        let mut actions = OnceActions::new();
        for waiter in self.table.finish(sequence, &outcome, now) {
            let outcome = OnceOutcome::Known(outcome.clone());
            actions.push(OnceAction::Answer { waiter, outcome });
        }
        actions
    }

    /// Adds a part of a sealed session; returns true if the session is complete.
    pub fn add_part(&mut self, part: HandoverPart, now: Duration) -> bool {
        part.session != self.own_session && self.adopted_sessions.add_part(part, now)
    }

    /// Seals the own session: from now on, no further key starts to run here. Returns the parts that a successor needs
    /// to answer queries of this session and of the adopted ones.
    pub fn seal(&mut self) -> Vec<HandoverPart> {
        self.table.seal();
        let transfer = TransferId {
            sender: self.own_session,
            number: self.next_transfer,
        };
        self.next_transfer += 1;
        let (outcomes, evicted_keys) = self.table.export();
        let mut parts = split_session(self.own_session, transfer, outcomes, &evicted_keys);
        parts.extend(self.adopted_sessions.export(transfer));
        parts
    }

    /// Removes outcomes and adopted sessions beyond their lifetime, and forwards whose caller no longer waits.
    pub fn expire(&mut self, now: Duration) {
        self.table.expire(now);
        self.adopted_sessions.expire(now);
        self.pending_forwards
            .retain(|_forward_id, pending_forward| pending_forward.expires_at > now);
    }

    /// Returns the number of keys whose query is running.
    pub fn running_count(&self) -> usize {
        self.table.running_count()
    }

    /// Returns the number of queries that wait for an answer from another VM.
    pub fn waiting_count(&self) -> usize {
        self.pending_forwards.len()
    }

    /// Returns the table of this process's own keys.
    pub fn table(&self) -> &OutcomeTable {
        &self.table
    }

    fn begin(
        &mut self,
        waiter: WaiterId,
        key: IdempotencyKey,
        digest: RequestDigest,
        request: QueryRequest,
        conditions: &NodeConditions<'_>,
    ) -> OnceActions {
        self.table.expire(conditions.now);
        match self
            .table
            .begin(key.sequence, digest, waiter, conditions.new_work_refusal)
        {
            BeginVerdict::Execute => SmallVec::from_iter([OnceAction::Execute(request)]),
            BeginVerdict::Joined => OnceActions::new(),
            BeginVerdict::Answer(outcome) => answer_action(waiter, OnceOutcome::Known(outcome)),
        }
    }

    /// Forwards to the session's own process while it may be running, then to the VMs that may hold its outcomes.
    fn forward_to_next(
        &mut self,
        pending_forward: PendingForward,
        conditions: &NodeConditions<'_>,
    ) -> OnceActions {
        let mut pending_forward = pending_forward;
        let owner_vm = pending_forward.session.vm;
        let may_be_running = self.may_be_running(pending_forward.session, conditions.view);
        if may_be_running && pending_forward.owner_attempts < MAX_OWNER_ATTEMPTS {
            pending_forward.owner_attempts += 1;
            return self.forward_to(pending_forward, owner_vm);
        }
        while let Some(vm) = pending_forward.candidate_vms.pop() {
            if vm == owner_vm && pending_forward.owner_attempts > 0 {
                continue;
            }
            return self.forward_to(pending_forward, vm);
        }
        let refusal = unknown_outcome_refusal(may_be_running);
        answer_action(pending_forward.waiter, OnceOutcome::Known(Err(refusal)))
    }

    fn forward_to(&mut self, pending_forward: PendingForward, vm: VmAddress) -> OnceActions {
        let forward_id = self.next_forward_id;
        self.next_forward_id += 1;
        let request = pending_forward.request.clone();
        let pending_forward = PendingForward {
            asked_vm: vm,
            ..pending_forward
        };
        self.pending_forwards.insert(forward_id, pending_forward);
        let message = OnceMessage::Forward {
            forward_id,
            request,
        };
        SmallVec::from_iter([OnceAction::Send { vm, message }])
    }

    /// Returns whether the session's process may still be running, as far as this VM knows.
    fn may_be_running(&self, session: SessionId, view: &TopologyView) -> bool {
        if session.vm == self.own_session.vm {
            return false;
        }
        let Some(entry) = view.vms.get(&session.vm) else {
            return false;
        };
        entry
            .incarnation
            .is_none_or(|incarnation| incarnation <= session.incarnation)
    }
}

fn answer_action(waiter: WaiterId, outcome: OnceOutcome) -> OnceActions {
    SmallVec::from_iter([OnceAction::Answer { waiter, outcome }])
}

/// Creates the refusal for a key whose outcome no reachable VM knows. It reports the run state as unknown even if this
/// request was never sent, because an earlier send of the key may have run.
fn unknown_outcome_refusal(may_be_running: bool) -> QueryRefusal {
    let refuse =
        |message| QueryRefusal::new(RefusalCode::OutcomeUnknown, RunState::Unknown, message);
    if may_be_running {
        let message = "the key's process can't be reached; send the same key again";
        refuse(message).with_retry_after(OWNER_RETRY_DELAY)
    } else {
        refuse("the key's process is gone and nobody holds its outcomes")
    }
}

#[cfg(test)]
#[path = "state_tests.rs"]
mod tests;
