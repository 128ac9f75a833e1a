//! Scheduling of the attempts for one upstream: when each is sent, on which connection, and how answers and failures
//! affect the rest.
//!
//! Pure: every function takes the time since process start and appends the resulting actions to a [`RelayTables`]. Each
//! attempt gets exactly one verdict: a refusal while it waits, or the outcome of sending it. An attempt that was
//! cancelled or expired after it was sent still counts against the concurrency limit until the upstream answers or its
//! connection ends, so that the number in flight is never underestimated.

mod dispatch;

use std::time::Duration;

use crate::ident::UpstreamAddress;
use crate::relay::action::{RelayAction, RelayTables, WorkItem};
use crate::relay::clamp::ClassClamp;
use crate::relay::ids::{ConnectionId, UpstreamId, WorkId};
use crate::relay::limit::{ConcurrencyLimit, LimitEpoch, LimitSample};
use crate::relay::loss::LossWindow;
use crate::relay::message::{FailureReason, RefusalReason, ShardVerdict, UpstreamLoad};
use crate::relay::pool::ConnectionPool;
use crate::relay::queue::{PushResult, QueueEntry, RelayQueue};
use crate::relay::service::ServiceTimes;
use crate::relay::state::OpenStatus;
use crate::relay::suspects::SuspectQueue;
use crate::settings::ExperimentSwitches;

/// How long no attempts are sent to an upstream after an answer with the draining header. If the topology lists the
/// upstream as leaving, it gets no attempts for as long as it is listed.
const DRAINING_HOLD: Duration = Duration::from_secs(30);
/// How long no attempts are sent to an upstream after its status body said that it is draining. The next connection
/// that is opened afterwards asks for its status again.
const DRAINING_HINT_HOLD: Duration = Duration::from_secs(2);

/// An upstream's answer to one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct UpstreamAnswer {
    pub(super) verdict: ShardVerdict,
    /// Whether the answer carries the draining header.
    pub(super) draining: bool,
    /// Time from sending the request to the end of the answer.
    pub(super) service_time: Duration,
}

/// An attempt in flight at the upstream.
#[derive(Debug, Clone, Copy)]
struct SentWork {
    work: WorkId,
    item: WorkItem,
    connection: ConnectionId,
    /// Number of attempts in flight at the upstream when this attempt was sent, itself included.
    attempts_in_flight: u32,
    epoch: LimitEpoch,
    /// When the attempt was sent.
    sent_at: Duration,
    /// Whether the entry already has a verdict for this attempt, because the attempt was cancelled or its deadline
    /// passed while it was in flight.
    has_verdict: bool,
}

/// The queue, limits, connections and attempts of one upstream.
#[derive(Debug)]
pub(super) struct UpstreamState {
    id: UpstreamId,
    address: UpstreamAddress,
    queue: RelayQueue,
    suspects: SuspectQueue,
    limit: ConcurrencyLimit,
    service_times: ServiceTimes,
    /// Limits on the attempts in flight of each class; none unless
    /// [`clamp_looser_classes`](crate::settings::ExperimentSwitches::clamp_looser_classes) is enabled.
    clamp: Option<ClassClamp>,
    pool: ConnectionPool,
    /// Whether this VM may hold a further connection for cancellations.
    has_cancel_connection: bool,
    /// Whether the upstream is leaving or not in the topology.
    leaving: bool,
    /// End of the period in which nothing is sent because the upstream itself said that it is draining.
    draining_until: Duration,
    /// The attempts in flight.
    sent_work: Vec<SentWork>,
    /// The connections that broke within the current loss window; `None` if no loss window is open.
    loss_window: Option<LossWindow>,
    /// Buffer for attempts removed from the queues; empty between calls and kept for its allocation.
    removed_work: Vec<WorkId>,
}

/// The parameters of one upstream that are derived from the views.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct UpstreamParams {
    /// Connections to the upstream that this VM may hold for attempts, without the one for cancellations.
    pub(super) connection_share: u32,
    /// Whether this VM may hold a further connection for cancellations.
    pub(super) has_cancel_connection: bool,
    /// Whether the upstream is leaving or not in the topology.
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
            service_times: ServiceTimes::default(),
            clamp: switches.clamp_looser_classes.then(ClassClamp::default),
            pool: ConnectionPool::new(id),
            has_cancel_connection: false,
            leaving: false,
            draining_until: Duration::ZERO,
            sent_work: Vec::new(),
            loss_window: None,
            removed_work: Vec::new(),
        }
    }

    /// Applies parameters derived from changed views, closes the idle connections of an upstream that is leaving, and
    /// sends what may be sent.
    pub(super) fn apply_params(
        &mut self,
        now: Duration,
        params: UpstreamParams,
        tables: &mut RelayTables,
    ) {
        self.has_cancel_connection = params.has_cancel_connection;
        self.leaving = params.leaving;
        self.limit.set_connection_share(params.connection_share);
        self.pool
            .set_connection_share(params.connection_share, tables);
        if params.leaving {
            self.pool.close_idle_connections(tables);
        }
        self.dispatch(now, tables);
    }

    /// Queues an attempt or refuses it at once.
    pub(super) fn submit(&mut self, now: Duration, work: WorkId, tables: &mut RelayTables) {
        let Some(item) = tables.item(work) else {
            return;
        };
        if let Some(reason) = self.refusal_reason(now, &item) {
            tables.refuse(work, reason);
            return;
        }
        if item.is_suspect() {
            if !self.suspects.push(work, item.deadline) {
                tables.refuse(work, RefusalReason::QueueFull);
            }
            self.dispatch(now, tables);
            return;
        }
        let entry = QueueEntry {
            work,
            organisation: item.organisation,
            class: item.class,
            deadline: item.deadline,
            cost: self.service_times.expected_time(item.class),
        };
        if let PushResult::Evicted(evicted_work) = self.queue.push(entry) {
            tables.refuse(evicted_work, RefusalReason::QueueFull);
        }
        self.dispatch(now, tables);
    }

    /// Returns why an attempt can't be queued now, if there is a reason.
    fn refusal_reason(&self, now: Duration, item: &WorkItem) -> Option<RefusalReason> {
        if self.is_leaving(now) {
            return Some(RefusalReason::Leaving);
        }
        if item.deadline <= now {
            return Some(RefusalReason::Expired);
        }
        if self.pool.connection_share() == 0 {
            return Some(RefusalReason::NotOwner);
        }
        if self.pool.is_unreachable(now) {
            return Some(RefusalReason::Unreachable);
        }
        None
    }

    /// Cancels an attempt that its entry no longer wants.
    pub(super) fn cancel(&mut self, now: Duration, work: WorkId, tables: &mut RelayTables) {
        if self.queue.cancel(work) || self.suspects.cancel(work) {
            tables.refuse(work, RefusalReason::Cancelled);
            return;
        }
        self.finish_work_early(work, FailureReason::Cancelled, tables);
        self.dispatch(now, tables);
    }

    /// Fails an attempt whose deadline passed while it was in flight.
    pub(super) fn on_overdue(&mut self, work: WorkId, tables: &mut RelayTables) {
        self.finish_work_early(work, FailureReason::Timeout, tables);
    }

    /// Gives an in-flight attempt its verdict before the upstream answers, and asks the upstream to cancel the attempt.
    fn finish_work_early(&mut self, work: WorkId, reason: FailureReason, tables: &mut RelayTables) {
        let Some(sent_work) = self
            .sent_work
            .iter_mut()
            .find(|sent_work| sent_work.work == work)
        else {
            return;
        };
        if sent_work.has_verdict {
            return;
        }
        sent_work.has_verdict = true;
        let upstream = self.id;
        tables
            .actions
            .push(RelayAction::CancelSent { upstream, work });
        tables.fail(work, reason);
    }

    /// Handles a connection that was opened.
    pub(super) fn on_opened(
        &mut self,
        now: Duration,
        connection: ConnectionId,
        status: OpenStatus,
        tables: &mut RelayTables,
    ) {
        self.pool.add_opened_connection(now, connection);
        match status {
            OpenStatus::Ready => {}
            OpenStatus::Draining => self.mark_draining(now, tables),
            OpenStatus::DrainingHint => {
                self.draining_until = now + DRAINING_HINT_HOLD;
                self.pool.close_idle_connections(tables);
            }
        }
        self.dispatch(now, tables);
    }

    /// Handles a connection that could not be opened; nothing was sent on it.
    pub(super) fn on_open_failed(
        &mut self,
        now: Duration,
        connection: ConnectionId,
        tables: &mut RelayTables,
    ) {
        self.pool.remove_failed_connection(now, connection, tables);
        if self.pool.connection_count() == 0 {
            self.refuse_queued_work(RefusalReason::Unreachable, tables);
        }
    }

    /// Handles the end of an idle connection.
    pub(super) fn on_closed(
        &mut self,
        now: Duration,
        connection: ConnectionId,
        tables: &mut RelayTables,
    ) {
        self.pool.remove_ended_connection(connection, tables);
        self.dispatch(now, tables);
    }

    /// Requeues an attempt that did not reach its connection.
    pub(super) fn requeue_unsent_work(
        &mut self,
        now: Duration,
        work: WorkId,
        tables: &mut RelayTables,
    ) {
        let Some(sent_work) = self.take_unanswered_work(work) else {
            return;
        };
        if sent_work.has_verdict {
            tables.release(work);
            return;
        }
        self.submit(now, work, tables);
    }

    /// Refuses an attempt that was not handed to its connection; the connection becomes idle again.
    pub(super) fn refuse_unsent_work(
        &mut self,
        now: Duration,
        work: WorkId,
        reason: RefusalReason,
        tables: &mut RelayTables,
    ) {
        let Some(sent_work) = self.take_unanswered_work(work) else {
            return;
        };
        self.pool.put_back_connection(now, sent_work.connection);
        tables.refuse(work, reason);
        self.dispatch(now, tables);
    }

    /// Requeues an attempt that was not handed to its connection because its request has become a suspect; it is sent
    /// alone later.
    pub(super) fn isolate(&mut self, now: Duration, work: WorkId, tables: &mut RelayTables) {
        let Some(sent_work) = self.take_unanswered_work(work) else {
            return;
        };
        self.pool.put_back_connection(now, sent_work.connection);
        if sent_work.has_verdict {
            tables.release(work);
            self.dispatch(now, tables);
            return;
        }
        tables.mark_suspect(work);
        self.submit(now, work, tables);
    }

    /// Handles the answer to an attempt; its connection becomes idle again.
    pub(super) fn on_answer(
        &mut self,
        now: Duration,
        work: WorkId,
        answer: UpstreamAnswer,
        tables: &mut RelayTables,
    ) {
        let Some(sent_work) = self.take_sent_work(work) else {
            return;
        };
        self.pool.put_back_connection(now, sent_work.connection);
        self.record_answer(now, &sent_work, &answer);
        if !sent_work.has_verdict {
            record_time_spent(&mut self.clamp, now, &sent_work.item, tables);
        }
        if sent_work.item.is_suspect() && matches!(answer.verdict, ShardVerdict::Rows { .. }) {
            tables.actions.push(RelayAction::ReportAnswer {
                fingerprint: sent_work.item.fingerprint,
                time_in_flight: now.saturating_sub(sent_work.sent_at),
            });
        }
        if answer.draining {
            self.mark_draining(now, tables);
        }
        if !sent_work.has_verdict {
            tables.finish(work, answer.verdict);
        }
        tables.release(work);
        self.pool.close_surplus_connections(tables);
        self.dispatch(now, tables);
    }

    /// Handles a connection that broke while an attempt was in flight on it.
    pub(super) fn on_broken(
        &mut self,
        now: Duration,
        connection: ConnectionId,
        work: WorkId,
        tables: &mut RelayTables,
    ) {
        self.pool.remove_ended_connection(connection, tables);
        // The idle connections most likely lead to the same lost process: an attempt sent on them would break as well,
        // without having run.
        self.pool.close_idle_connections(tables);
        if let Some(sent_work) = self.take_unanswered_work(work) {
            if !sent_work.has_verdict {
                tables.fail(work, FailureReason::Broken);
            }
            tables.release(work);
            self.record_loss(now, &sent_work, tables);
        }
        if self.sent_work.is_empty() {
            self.limit.restart(now);
        }
        self.dispatch(now, tables);
    }

    /// Handles a connection that the relay closed because the attempt on it got no answer within the grace period after
    /// its deadline.
    pub(super) fn on_dropped(
        &mut self,
        now: Duration,
        connection: ConnectionId,
        work: WorkId,
        tables: &mut RelayTables,
    ) {
        self.pool.remove_ended_connection(connection, tables);
        if self.take_unanswered_work(work).is_some() {
            tables.release(work);
        }
        self.dispatch(now, tables);
    }

    /// Refuses expired attempts, advances the clamp, reports a loss whose window has ended, closes connections that
    /// have been idle for too long, and sends what may be sent.
    pub(super) fn tick(&mut self, now: Duration, tables: &mut RelayTables) {
        self.queue.drop_expired_work(now, &mut self.removed_work);
        self.suspects.drop_expired_work(now, &mut self.removed_work);
        self.refuse_expired_work(now, tables);
        if let Some(clamp) = &mut self.clamp {
            clamp.advance(now, self.limit.base_limit(), |class| {
                tables.latency_targets[class]
            });
        }
        if self
            .loss_window
            .as_ref()
            .is_some_and(|window| window.is_over(now))
        {
            self.report_loss(now, tables);
        }
        self.pool.close_timed_out_connections(now, tables);
        self.dispatch(now, tables);
    }

    /// Returns whether [`Self::tick`] may have work to do.
    pub(super) fn needs_tick(&self) -> bool {
        self.waiting_count() > 0
            || self.pool.idle_connection_count() > 0
            || self.loss_window.is_some()
    }

    /// Returns whether the upstream has no attempts, waiting or in flight, and no connections.
    pub(super) fn is_unused(&self) -> bool {
        self.waiting_count() == 0 && self.sent_work.is_empty() && self.connection_count() == 0
    }

    /// Returns the number of waiting attempts.
    pub(super) fn waiting_count(&self) -> usize {
        self.queue.len() + self.suspects.len()
    }

    /// Returns the number of attempts in flight, including those that already have a verdict.
    pub(super) fn attempts_in_flight(&self) -> usize {
        self.sent_work.len()
    }

    /// Returns the number of connections that are open or being opened.
    pub(super) fn connection_count(&self) -> u32 {
        self.pool.connection_count()
    }

    /// Returns the load that is reported to entries.
    pub(super) fn load(&self, now: Duration) -> UpstreamLoad {
        let limit = u32::max(1, self.limit.base_limit());
        let median_service = self.service_times.median();
        let attempts_ahead =
            (self.waiting_count() + self.sent_work.len() + 1).saturating_sub(limit as usize);
        let expected_wait = median_service * attempts_ahead as u32 / limit;
        UpstreamLoad {
            upstream: self.address,
            wait_us: expected_wait.as_micros() as u32,
            service_us: median_service.as_micros() as u32,
            limit: limit as u16,
            leaving: self.is_leaving(now),
        }
    }

    pub(super) fn address(&self) -> UpstreamAddress {
        self.address
    }

    pub(super) fn may_cancel(&self) -> bool {
        self.has_cancel_connection
    }

    pub(super) fn is_leaving(&self, now: Duration) -> bool {
        self.leaving || now < self.draining_until
    }

    /// Removes and returns an attempt that is no longer in flight and ended without a service time.
    fn take_unanswered_work(&mut self, work: WorkId) -> Option<SentWork> {
        let sent_work = self.take_sent_work(work)?;
        self.limit
            .record_lost(sent_work.epoch, sent_work.attempts_in_flight);
        Some(sent_work)
    }

    fn take_sent_work(&mut self, work: WorkId) -> Option<SentWork> {
        let position = self
            .sent_work
            .iter()
            .position(|sent_work| sent_work.work == work)?;
        Some(self.sent_work.swap_remove(position))
    }

    /// Updates the service times and the concurrency limit from an answer.
    fn record_answer(&mut self, now: Duration, sent_work: &SentWork, answer: &UpstreamAnswer) {
        match answer.verdict {
            ShardVerdict::Rows { .. } => {
                let log_service_time = self
                    .service_times
                    .record_sample(sent_work.item.class, answer.service_time);
                let sample = LimitSample {
                    epoch: sent_work.epoch,
                    in_flight: sent_work.attempts_in_flight,
                    log_service_time,
                    has_backlog: !self.queue.is_empty(),
                };
                self.limit.record(now, sample);
            }
            ShardVerdict::NotRun(RefusalReason::Shed)
                if !sent_work.has_verdict && !answer.draining =>
            {
                self.limit.record_shed(now, sent_work.epoch);
            }
            _ => self
                .limit
                .record_lost(sent_work.epoch, sent_work.attempts_in_flight),
        }
    }

    /// Stops sending for [`DRAINING_HOLD`] after an answer with the draining header, and reports that the upstream is
    /// leaving if it was not already on hold.
    fn mark_draining(&mut self, now: Duration, tables: &mut RelayTables) {
        if self.draining_until <= now {
            let address = self.address;
            tables.actions.push(RelayAction::ReportLeaving(address));
        }
        self.draining_until = now + DRAINING_HOLD;
        self.pool.close_idle_connections(tables);
    }

    /// Adds a broken connection to the current loss window. The loss is reported at once if nothing else is in flight,
    /// because then nothing more can belong to it.
    fn record_loss(&mut self, now: Duration, sent_work: &SentWork, tables: &mut RelayTables) {
        let window = self.loss_window.get_or_insert_with(|| LossWindow::new(now));
        window.add(sent_work.item.lost_request(), sent_work.sent_at);
        if self.sent_work.is_empty() {
            self.report_loss(now, tables);
        }
    }

    fn report_loss(&mut self, now: Duration, tables: &mut RelayTables) {
        if let Some(window) = self.loss_window.take() {
            let loss = window.into_loss(self.address, now);
            tables.actions.push(RelayAction::ReportLoss(loss));
        }
    }
}

/// Records in the clamp, if there is one, the time that an attempt has spent at this upstream.
fn record_time_spent(
    clamp: &mut Option<ClassClamp>,
    now: Duration,
    item: &WorkItem,
    tables: &RelayTables,
) {
    let target = tables.latency_targets[item.class];
    if let (Some(clamp), Some(target)) = (clamp, target) {
        clamp.record_attempt(item.class, target, now.saturating_sub(item.arrived_at));
    }
}
