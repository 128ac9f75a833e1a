//! What one process decides about keys, and whom it asks. Pure: inputs go in, actions come out.

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

/// How often the session's own process is asked before others are.
const OWNER_TRIES: u8 = 2;
/// When to ask again for a key whose process can't be reached at the moment.
const OWNER_RETRY: Duration = Duration::from_secs(1);

/// Names whoever waits for an outcome within this process: a caller, or a peer's forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaiterId(pub u64);

/// What a decision looks at besides the state.
#[derive(Debug, Clone, Copy)]
pub struct OnceContext<'a> {
    /// Time since the process started.
    pub now: Duration,
    /// Who is there.
    pub view: &'a TopologyView,
    /// The refusal of new work, if this process takes none.
    pub gate: Option<RefusalCode>,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceAction {
    /// Run the query under its key, and report with [`OnceState::finish`]. Never said twice for a key that ran.
    Execute(QueryRequest),
    /// Tell the waiter.
    Answer {
        /// Who waits.
        waiter: WaiterId,
        /// The outcome; a caller of this process only gets known ones.
        outcome: OnceOutcome,
    },
    /// Send a message; if that fails, report with [`OnceState::send_failed`].
    Send {
        /// The receiver.
        vm: VmAddress,
        /// The message.
        message: OnceMessage,
    },
}

/// A few actions.
pub type OnceActions = SmallVec<[OnceAction; 2]>;

/// A query of a foreign session that waits for an answer of another VM.
#[derive(Debug)]
struct OnceInquiry {
    waiter: WaiterId,
    request: QueryRequest,
    session: SessionId,
    until: Duration,
    asked: VmAddress,
    owner_tries: u8,
    /// VMs that may hold the session's sealed outcomes and are still to be asked, most likely last.
    candidates: SmallVec<[VmAddress; 4]>,
}

/// Keys as one process knows them.
#[derive(Debug)]
pub struct OnceState {
    own: SessionId,
    table: OutcomeTable,
    adopted: AdoptedSessions,
    inquiries: FxHashMap<u64, OnceInquiry>,
    next_ticket: u64,
    next_transfer: u64,
}

impl OnceState {
    /// Starts the own session, without any key.
    pub fn new(own: SessionId) -> Self {
        Self {
            own,
            table: OutcomeTable::new(),
            adopted: AdoptedSessions::new(),
            inquiries: FxHashMap::default(),
            next_ticket: 0,
            next_transfer: 0,
        }
    }

    /// Replaces the table of the own session's keys.
    #[must_use]
    pub fn with_table(mut self, table: OutcomeTable) -> Self {
        self.table = table;
        self
    }

    /// Takes in a caller's query under a key; what is asked of others is given up at `until`.
    pub fn submit(
        &mut self,
        waiter: WaiterId,
        key: IdempotencyKey,
        request: QueryRequest,
        until: Duration,
        context: &OnceContext<'_>,
    ) -> OnceActions {
        let digest = RequestDigest::new(&request);
        if key.session == self.own {
            return self.begin(waiter, key, digest, request, context);
        }
        if let Some(outcome) = self.adopted.outcome(key.session, key.sequence, digest) {
            return answer(waiter, OnceOutcome::Known(outcome));
        }
        let mut candidates = session_candidates(context.view, key.session);
        candidates.retain(|vm| *vm != self.own.vm);
        candidates.reverse();
        let inquiry = OnceInquiry {
            waiter,
            request,
            session: key.session,
            until,
            asked: key.session.vm,
            owner_tries: 0,
            candidates,
        };
        self.ask_next(inquiry, context)
    }

    /// Takes in a query that a peer forwards. It is never forwarded again.
    pub fn take_forward(
        &mut self,
        waiter: WaiterId,
        request: QueryRequest,
        context: &OnceContext<'_>,
    ) -> OnceActions {
        let Some(key) = request.key else {
            return answer(waiter, OnceOutcome::NotHere);
        };
        let digest = RequestDigest::new(&request);
        if key.session == self.own {
            return self.begin(waiter, key, digest, request, context);
        }
        let outcome = self.adopted.outcome(key.session, key.sequence, digest);
        answer(
            waiter,
            outcome.map_or(OnceOutcome::NotHere, OnceOutcome::Known),
        )
    }

    /// Takes in a peer's answer to a forward.
    pub fn take_outcome(
        &mut self,
        ticket: u64,
        outcome: OnceOutcome,
        context: &OnceContext<'_>,
    ) -> OnceActions {
        let Some(inquiry) = self.inquiries.remove(&ticket) else {
            return OnceActions::new();
        };
        match outcome {
            OnceOutcome::Known(_) => answer(inquiry.waiter, outcome),
            OnceOutcome::NotHere => {
                let mut inquiry = inquiry;
                // Whoever answers on that VM, it is not the session's process.
                if inquiry.asked == inquiry.session.vm {
                    inquiry.owner_tries = OWNER_TRIES;
                }
                self.ask_next(inquiry, context)
            }
        }
    }

    /// Takes in that a forward could not be sent.
    pub fn send_failed(&mut self, ticket: u64, context: &OnceContext<'_>) -> OnceActions {
        match self.inquiries.remove(&ticket) {
            Some(inquiry) => self.ask_next(inquiry, context),
            None => OnceActions::new(),
        }
    }

    /// Takes in that the link to a VM broke: what was asked there is asked anew, of it or of others.
    pub fn link_down(&mut self, vm: VmAddress, context: &OnceContext<'_>) -> OnceActions {
        let mut tickets: SmallVec<[u64; 16]> = SmallVec::new();
        for (ticket, inquiry) in &self.inquiries {
            if inquiry.asked == vm {
                tickets.push(*ticket);
            }
        }
        tickets.sort_unstable();
        let mut actions = OnceActions::new();
        for ticket in tickets {
            actions.extend(self.send_failed(ticket, context));
        }
        actions
    }

    /// Takes in the outcome of a run and answers all who wait for it.
    pub fn finish(&mut self, sequence: u64, outcome: QueryOutcome, now: Duration) -> OnceActions {
        let mut actions = OnceActions::new();
        for waiter in self.table.finish(sequence, &outcome, now) {
            let outcome = OnceOutcome::Known(outcome.clone());
            actions.push(OnceAction::Answer { waiter, outcome });
        }
        actions
    }

    /// Takes in a part of a sealed session; true if all of it is here.
    pub fn take_part(&mut self, part: HandoverPart, now: Duration) -> bool {
        part.session != self.own && self.adopted.take_part(part, now)
    }

    /// Seals the own session: from now on no key is run here that is not running already. Returns what a successor needs
    /// to answer for this session and for those adopted.
    pub fn seal(&mut self) -> Vec<HandoverPart> {
        self.table.seal();
        let transfer = TransferId {
            sender: self.own,
            number: self.next_transfer,
        };
        self.next_transfer += 1;
        let (outcomes, aged) = self.table.export();
        let mut parts = split_session(self.own, transfer, outcomes, &aged);
        parts.extend(self.adopted.export(transfer));
        parts
    }

    /// Drops what is too old: outcomes, adopted sessions, and inquiries that nobody waits for any more.
    pub fn expire(&mut self, now: Duration) {
        self.table.expire(now);
        self.adopted.expire(now);
        self.inquiries
            .retain(|_ticket, inquiry| inquiry.until > now);
    }

    /// Keys that run now.
    pub fn running(&self) -> usize {
        self.table.running()
    }

    /// Queries that wait for another VM.
    pub fn waiting(&self) -> usize {
        self.inquiries.len()
    }

    /// The own session's keys.
    pub fn table(&self) -> &OutcomeTable {
        &self.table
    }

    fn begin(
        &mut self,
        waiter: WaiterId,
        key: IdempotencyKey,
        digest: RequestDigest,
        request: QueryRequest,
        context: &OnceContext<'_>,
    ) -> OnceActions {
        self.table.expire(context.now);
        match self.table.begin(key.sequence, digest, waiter, context.gate) {
            BeginVerdict::Execute => SmallVec::from_iter([OnceAction::Execute(request)]),
            BeginVerdict::Joined => OnceActions::new(),
            BeginVerdict::Answer(outcome) => answer(waiter, OnceOutcome::Known(outcome)),
        }
    }

    /// Asks the session's own process while it may live, then whoever may hold its sealed outcomes.
    fn ask_next(&mut self, inquiry: OnceInquiry, context: &OnceContext<'_>) -> OnceActions {
        let mut inquiry = inquiry;
        let owner = inquiry.session.vm;
        let may_live = self.may_live(inquiry.session, context.view);
        if may_live && inquiry.owner_tries < OWNER_TRIES {
            inquiry.owner_tries += 1;
            return self.ask(inquiry, owner);
        }
        while let Some(vm) = inquiry.candidates.pop() {
            if vm == owner && inquiry.owner_tries > 0 {
                continue;
            }
            return self.ask(inquiry, vm);
        }
        let refusal = unknown_refusal(may_live);
        answer(inquiry.waiter, OnceOutcome::Known(Err(refusal)))
    }

    fn ask(&mut self, inquiry: OnceInquiry, vm: VmAddress) -> OnceActions {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let request = inquiry.request.clone();
        let asked = OnceInquiry {
            asked: vm,
            ..inquiry
        };
        self.inquiries.insert(ticket, asked);
        let message = OnceMessage::Forward { ticket, request };
        SmallVec::from_iter([OnceAction::Send { vm, message }])
    }

    /// Tells whether the session's process may still run, as far as this VM knows.
    fn may_live(&self, session: SessionId, view: &TopologyView) -> bool {
        if session.vm == self.own.vm {
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

fn answer(waiter: WaiterId, outcome: OnceOutcome) -> OnceActions {
    SmallVec::from_iter([OnceAction::Answer { waiter, outcome }])
}

/// Nobody who can be reached knows. That this very send did not run it proves nothing: an earlier one may have.
fn unknown_refusal(may_live: bool) -> QueryRefusal {
    let unknown =
        |message| QueryRefusal::new(RefusalCode::OutcomeUnknown, RunState::Unknown, message);
    if may_live {
        let message = "the key's process can't be reached; send the same key again";
        unknown(message).with_retry_after(OWNER_RETRY)
    } else {
        unknown("the key's process is gone and nobody holds its outcomes")
    }
}

#[cfg(test)]
#[path = "state_tests.rs"]
mod tests;
