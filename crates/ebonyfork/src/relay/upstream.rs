//! The decisions about one upstream: what is sent when, on which connection, and what its answers mean for the rest.
//!
//! Pure: every function takes the time since the process started and puts what is to be done into an [`RelayTables`].
//! Each attempt is finished exactly once: refused while it waits, or with the verdict of its sending. An attempt that
//! was given up after it was sent still counts against the concurrency limit until the upstream lets go of it, so that
//! what is in flight there is never underestimated.

mod dispatch;

use std::time::Duration;

use crate::ident::UpstreamAddress;
use crate::relay::action::{RelayAction, RelayTables, WorkOrder};
use crate::relay::clamp::ClassClamp;
use crate::relay::ids::{ConnectionId, UpstreamId, WorkId};
use crate::relay::limit::{ConcurrencyLimit, LimitEpoch, LimitSample};
use crate::relay::loss::LossWindow;
use crate::relay::message::{FailureReason, RefusalReason, ShardVerdict, UpstreamLoad};
use crate::relay::pool::ConnectionPool;
use crate::relay::queue::{PushResult, QueueEntry, RelayQueue};
use crate::relay::service::ServiceTimes;
use crate::relay::state::OpenSign;
use crate::relay::suspects::SuspectQueue;
use crate::settings::ExperimentSwitches;

/// How long an upstream that said it is draining gets nothing, unless the topology says more.
const DRAIN_HOLD: Duration = Duration::from_secs(30);
/// How long an upstream whose status says so gets nothing; then its status is asked again.
const HINT_HOLD: Duration = Duration::from_secs(2);

/// What came back from an upstream for one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct UpstreamAnswer {
    pub(super) verdict: ShardVerdict,
    /// Whether it said that it is leaving.
    pub(super) draining: bool,
    /// Time from the sending to the end of the answer.
    pub(super) served: Duration,
}

/// An attempt that is at the upstream.
#[derive(Debug, Clone, Copy)]
struct SentWork {
    work: WorkId,
    order: WorkOrder,
    connection: ConnectionId,
    /// Attempts that were there when it was sent, itself included.
    in_flight: u32,
    epoch: LimitEpoch,
    /// When it was sent.
    since: Duration,
    /// Its verdict was given before the upstream let go of it.
    given_up: bool,
}

/// What one VM knows and does about one upstream.
#[derive(Debug)]
pub(super) struct UpstreamState {
    id: UpstreamId,
    address: UpstreamAddress,
    queue: RelayQueue,
    suspects: SuspectQueue,
    limit: ConcurrencyLimit,
    service: ServiceTimes,
    /// Depths of the classes, if looser ones are clamped.
    clamp: Option<ClassClamp>,
    pool: ConnectionPool,
    cancelling: bool,
    leaving: bool,
    draining_until: Duration,
    sent: Vec<SentWork>,
    loss: Option<LossWindow>,
    taken: Vec<WorkId>,
}

/// What the views say about an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct UpstreamTerms {
    /// Connections that this VM may hold to it, the one for cancelling not counted.
    pub(super) share: u32,
    /// Whether there is one for cancelling.
    pub(super) cancelling: bool,
    /// Whether it is leaving or unknown.
    pub(super) leaving: bool,
}

impl UpstreamState {
    pub(super) fn new(
        id: UpstreamId,
        address: UpstreamAddress,
        switches: ExperimentSwitches,
    ) -> Self {
        Self {
            id,
            address,
            queue: RelayQueue::new(switches.queue),
            suspects: SuspectQueue::default(),
            limit: ConcurrencyLimit::new(switches.limit, 0),
            service: ServiceTimes::default(),
            clamp: switches.clamp.then(ClassClamp::default),
            pool: ConnectionPool::new(id),
            cancelling: false,
            leaving: false,
            draining_until: Duration::ZERO,
            sent: Vec::new(),
            loss: None,
            taken: Vec::new(),
        }
    }

    /// Takes over what the views say.
    pub(super) fn apply(&mut self, now: Duration, terms: UpstreamTerms, tables: &mut RelayTables) {
        self.cancelling = terms.cancelling;
        self.leaving = terms.leaving;
        self.limit.set_share(terms.share);
        self.pool.set_share(terms.share, tables);
        if terms.leaving {
            self.pool.close_idle(tables);
        }
        self.dispatch(now, tables);
    }

    /// Takes an attempt in, or refuses it at once.
    pub(super) fn submit(&mut self, now: Duration, work: WorkId, tables: &mut RelayTables) {
        let Some(order) = tables.order(work) else {
            return;
        };
        if let Some(reason) = self.refusal(now, &order) {
            tables.refuse(work, reason);
            return;
        }
        if order.is_suspect() {
            if !self.suspects.push(work, order.deadline) {
                tables.refuse(work, RefusalReason::QueueFull);
            }
            self.dispatch(now, tables);
            return;
        }
        let entry = QueueEntry {
            work,
            organisation: order.organisation,
            class: order.class,
            deadline: order.deadline,
            cost: self.service.expected(order.class),
        };
        if let PushResult::Evicted(evicted) = self.queue.push(entry) {
            tables.refuse(evicted, RefusalReason::QueueFull);
        }
        self.dispatch(now, tables);
    }

    fn refusal(&self, now: Duration, order: &WorkOrder) -> Option<RefusalReason> {
        if self.is_leaving(now) {
            return Some(RefusalReason::Leaving);
        }
        if order.deadline <= now {
            return Some(RefusalReason::Expired);
        }
        if self.pool.share() == 0 {
            return Some(RefusalReason::NotOwner);
        }
        if self.pool.is_unreachable(now) {
            return Some(RefusalReason::Unreachable);
        }
        None
    }

    /// The entry no longer wants an attempt.
    pub(super) fn cancel(&mut self, now: Duration, work: WorkId, tables: &mut RelayTables) {
        if self.queue.cancel(work) || self.suspects.cancel(work) {
            tables.refuse(work, RefusalReason::Cancelled);
            return;
        }
        self.give_up(work, FailureReason::Cancelled, tables);
        self.dispatch(now, tables);
    }

    /// The deadline of an attempt passed while it was at the upstream.
    pub(super) fn overdue(&mut self, work: WorkId, tables: &mut RelayTables) {
        self.give_up(work, FailureReason::Timeout, tables);
    }

    fn give_up(&mut self, work: WorkId, reason: FailureReason, tables: &mut RelayTables) {
        let Some(sent) = self.sent.iter_mut().find(|sent| sent.work == work) else {
            return;
        };
        if sent.given_up {
            return;
        }
        sent.given_up = true;
        let upstream = self.id;
        tables
            .actions
            .push(RelayAction::CancelSent { upstream, work });
        tables.fail(work, reason);
    }

    /// A connection is open.
    pub(super) fn opened(
        &mut self,
        now: Duration,
        connection: ConnectionId,
        sign: OpenSign,
        tables: &mut RelayTables,
    ) {
        self.pool.opened(now, connection);
        match sign {
            OpenSign::Ready => {}
            OpenSign::Draining => self.note_draining(now, tables),
            OpenSign::SaysDraining => {
                self.draining_until = now + HINT_HOLD;
                self.pool.close_idle(tables);
            }
        }
        self.dispatch(now, tables);
    }

    /// A connection could not be opened; nothing was sent on it.
    pub(super) fn open_failed(
        &mut self,
        now: Duration,
        connection: ConnectionId,
        tables: &mut RelayTables,
    ) {
        self.pool.open_failed(now, connection, tables);
        if self.pool.total() == 0 {
            self.hand_back(RefusalReason::Unreachable, tables);
        }
    }

    /// An idle connection ended.
    pub(super) fn closed(
        &mut self,
        now: Duration,
        connection: ConnectionId,
        tables: &mut RelayTables,
    ) {
        self.pool.ended(connection, tables);
        self.dispatch(now, tables);
    }

    /// An attempt that was to be sent never reached the connection: it waits again.
    pub(super) fn unsent(&mut self, now: Duration, work: WorkId, tables: &mut RelayTables) {
        let Some(sent) = self.take_unanswered(work) else {
            return;
        };
        if sent.given_up {
            tables.release(work);
            return;
        }
        self.submit(now, work, tables);
    }

    /// An attempt was not handed to its connection after all; it is refused and the connection is free.
    pub(super) fn withhold(
        &mut self,
        now: Duration,
        work: WorkId,
        reason: RefusalReason,
        tables: &mut RelayTables,
    ) {
        let Some(sent) = self.take_unanswered(work) else {
            return;
        };
        self.pool.put_back(now, sent.connection);
        tables.refuse(work, reason);
        self.dispatch(now, tables);
    }

    /// An attempt was not handed to its connection, because it has become a suspect: it waits to be sent alone.
    pub(super) fn isolate(&mut self, now: Duration, work: WorkId, tables: &mut RelayTables) {
        let Some(sent) = self.take_unanswered(work) else {
            return;
        };
        self.pool.put_back(now, sent.connection);
        if sent.given_up {
            tables.release(work);
            self.dispatch(now, tables);
            return;
        }
        tables.suspect(work);
        self.submit(now, work, tables);
    }

    /// An attempt was answered; the connection is free.
    pub(super) fn answered(
        &mut self,
        now: Duration,
        work: WorkId,
        answer: UpstreamAnswer,
        tables: &mut RelayTables,
    ) {
        let Some(sent) = self.take_sent(work) else {
            return;
        };
        self.pool.put_back(now, sent.connection);
        self.learn(now, &sent, &answer);
        if !sent.given_up {
            note_spent(&mut self.clamp, now, &sent.order, tables);
        }
        if sent.order.is_suspect() && matches!(answer.verdict, ShardVerdict::Rows { .. }) {
            tables.actions.push(RelayAction::ReportAnswer {
                fingerprint: sent.order.fingerprint,
                flight: now.saturating_sub(sent.since),
            });
        }
        if answer.draining {
            self.note_draining(now, tables);
        }
        if !sent.given_up {
            tables.finish(work, answer.verdict);
        }
        tables.release(work);
        self.pool.close_surplus(tables);
        self.dispatch(now, tables);
    }

    /// The connection broke under an attempt.
    pub(super) fn broken(
        &mut self,
        now: Duration,
        connection: ConnectionId,
        work: WorkId,
        tables: &mut RelayTables,
    ) {
        self.pool.ended(connection, tables);
        // The others most likely lead to the same lost process; what is sent on them would break without having run.
        self.pool.close_idle(tables);
        if let Some(sent) = self.take_unanswered(work) {
            if !sent.given_up {
                tables.fail(work, FailureReason::Broken);
            }
            tables.release(work);
            self.note_loss(now, &sent, tables);
        }
        if self.sent.is_empty() {
            self.limit.restart(now);
        }
        self.dispatch(now, tables);
    }

    /// The connection was closed from here because an attempt that was given up never came back.
    pub(super) fn dropped(
        &mut self,
        now: Duration,
        connection: ConnectionId,
        work: WorkId,
        tables: &mut RelayTables,
    ) {
        self.pool.ended(connection, tables);
        if self.take_unanswered(work).is_some() {
            tables.release(work);
        }
        self.dispatch(now, tables);
    }

    /// Does what is due by time alone.
    pub(super) fn tick(&mut self, now: Duration, tables: &mut RelayTables) {
        self.queue.drop_expired(now, &mut self.taken);
        self.suspects.drop_expired(now, &mut self.taken);
        self.refuse_expired(now, tables);
        if let Some(clamp) = &mut self.clamp {
            clamp.advance(now, self.limit.settled(), |class| tables.goals[class]);
        }
        if self.loss.as_ref().is_some_and(|window| window.is_over(now)) {
            self.report_loss(now, tables);
        }
        self.pool.close_unused(now, tables);
        self.dispatch(now, tables);
    }

    /// Tells whether time alone may bring something to do.
    pub(super) fn needs_tick(&self) -> bool {
        self.queued() > 0 || self.pool.idle() > 0 || self.loss.is_some()
    }

    /// Tells whether nothing waits, runs or is connected.
    pub(super) fn is_unused(&self) -> bool {
        self.queued() == 0 && self.sent.is_empty() && self.connections() == 0
    }

    /// Attempts that wait.
    pub(super) fn queued(&self) -> usize {
        self.queue.len() + self.suspects.len()
    }

    /// Attempts at the upstream, those given up included.
    pub(super) fn in_flight(&self) -> usize {
        self.sent.len()
    }

    /// Connections open or being opened.
    pub(super) fn connections(&self) -> u32 {
        self.pool.total()
    }

    /// What entries are told about it.
    pub(super) fn load(&self, now: Duration) -> UpstreamLoad {
        let limit = u32::max(1, self.limit.settled());
        let service = self.service.median();
        let ahead = (self.queued() + self.sent.len() + 1).saturating_sub(limit as usize);
        let wait = service * ahead as u32 / limit;
        UpstreamLoad {
            upstream: self.address,
            wait_us: wait.as_micros() as u32,
            service_us: service.as_micros() as u32,
            limit: limit as u16,
            leaving: self.is_leaving(now),
        }
    }

    pub(super) fn address(&self) -> UpstreamAddress {
        self.address
    }

    pub(super) fn may_cancel(&self) -> bool {
        self.cancelling
    }

    pub(super) fn is_leaving(&self, now: Duration) -> bool {
        self.leaving || now < self.draining_until
    }

    /// Takes out an attempt whose service time stays unknown.
    fn take_unanswered(&mut self, work: WorkId) -> Option<SentWork> {
        let sent = self.take_sent(work)?;
        self.limit.note_lost(sent.epoch, sent.in_flight);
        Some(sent)
    }

    fn take_sent(&mut self, work: WorkId) -> Option<SentWork> {
        let position = self.sent.iter().position(|sent| sent.work == work)?;
        Some(self.sent.swap_remove(position))
    }

    fn learn(&mut self, now: Duration, sent: &SentWork, answer: &UpstreamAnswer) {
        match answer.verdict {
            ShardVerdict::Rows { .. } => {
                let level = self.service.record(sent.order.class, answer.served);
                let sample = LimitSample {
                    epoch: sent.epoch,
                    in_flight: sent.in_flight,
                    level,
                    waiting: !self.queue.is_empty(),
                };
                self.limit.record(now, sample);
            }
            ShardVerdict::NotRun(RefusalReason::Shed) if !sent.given_up && !answer.draining => {
                self.limit.shed(now, sent.epoch);
            }
            _ => self.limit.note_lost(sent.epoch, sent.in_flight),
        }
    }

    fn note_draining(&mut self, now: Duration, tables: &mut RelayTables) {
        if self.draining_until <= now {
            let address = self.address;
            tables.actions.push(RelayAction::NoteLeaving(address));
        }
        self.draining_until = now + DRAIN_HOLD;
        self.pool.close_idle(tables);
    }

    /// Gathers what broke at about the same time, and reports it as soon as nothing is left that could belong to it.
    fn note_loss(&mut self, now: Duration, sent: &SentWork, tables: &mut RelayTables) {
        let window = self.loss.get_or_insert_with(|| LossWindow::new(now));
        window.add(sent.order.lost_request(), sent.since);
        if self.sent.is_empty() {
            self.report_loss(now, tables);
        }
    }

    fn report_loss(&mut self, now: Duration, tables: &mut RelayTables) {
        if let Some(window) = self.loss.take() {
            let loss = window.finish(self.address, now);
            tables.actions.push(RelayAction::ReportLoss(loss));
        }
    }
}

/// Tells the clamp, if there is one, what an attempt has spent here.
fn note_spent(
    clamp: &mut Option<ClassClamp>,
    now: Duration,
    order: &WorkOrder,
    tables: &RelayTables,
) {
    let goal = tables.goals[order.class];
    if let (Some(clamp), Some(goal)) = (clamp, goal) {
        clamp.record(order.class, goal, now.saturating_sub(order.arrived));
    }
}
