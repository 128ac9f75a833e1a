//! One shard request at an upstream: its wait for a slot, its run and its answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use tokio::sync::OwnedSemaphorePermit;
use tokio_util::sync::CancellationToken;

use crate::http_server::{BrokenConnection, StandInReply, body_reply, empty_reply, set_header};
use crate::journal::ExecutionEnd;
use crate::upstream::server::{UpstreamShared, not_run_reply};
use crate::upstream::shard::ShardCall;

/// Tokio's timers have a tick of 1 ms and fire after the tick that a deadline falls into: a tick late on average.
const TIMER_LATENESS: Duration = Duration::from_millis(1);
/// A request without a deadline is given up after this time.
const RUN_LIMIT: Duration = Duration::from_mins(1);

/// One admitted shard request, from the upstream's queue to its end.
pub(super) struct ShardJob {
    pub(super) shared: Arc<UpstreamShared>,
    pub(super) call: ShardCall,
    pub(super) place: usize,
    pub(super) life: CancellationToken,
}

/// How waiting for a slot ended.
enum SlotWait {
    Free(OwnedSemaphorePermit),
    Shed,
    Dropped,
    Crashed,
}

impl ShardJob {
    pub(super) async fn run(self) -> Result<StandInReply, BrokenConnection> {
        let cancel = CancellationToken::new();
        let attempt = self.call.attempt.clone();
        self.shared.state().keep_job(&attempt, &cancel);
        let remaining = self.call.remaining.unwrap_or(RUN_LIMIT);
        let deadline = tokio::time::Instant::now() + remaining.min(RUN_LIMIT);
        let (end, reply) = self.wait_and_run(&cancel, deadline).await;
        self.shared.state().jobs.remove(&attempt);
        let now = self.shared.clock.now();
        self.shared.log.finish(self.place, now, end);
        reply.ok_or(BrokenConnection)
    }

    async fn wait_and_run(
        &self,
        cancel: &CancellationToken,
        deadline: tokio::time::Instant,
    ) -> (ExecutionEnd, Option<StandInReply>) {
        match self.wait(cancel, deadline).await {
            SlotWait::Free(permit) => {
                self.shared.state().running += 1;
                let ended = self.execute(cancel, deadline).await;
                self.shared.state().running -= 1;
                drop(permit);
                ended
            }
            SlotWait::Shed => (ExecutionEnd::Shed, Some(not_run_reply())),
            SlotWait::Dropped => (ExecutionEnd::Dropped, Some(not_run_reply())),
            SlotWait::Crashed => (ExecutionEnd::Crashed, None),
        }
    }

    async fn wait(&self, cancel: &CancellationToken, deadline: tokio::time::Instant) -> SlotWait {
        let slots = Arc::clone(&self.shared.slots);
        if let Ok(permit) = Arc::clone(&slots).try_acquire_owned() {
            return SlotWait::Free(permit);
        }
        self.shared.log.records().over_slots += 1;
        let queue = self.shared.settings.queue;
        if !self.shared.state().enter_queue(queue) {
            return SlotWait::Shed;
        }
        let waited = tokio::select! {
            permit = slots.acquire_owned() => permit.map_or(SlotWait::Crashed, SlotWait::Free),
            () = cancel.cancelled() => SlotWait::Dropped,
            () = tokio::time::sleep_until(deadline) => SlotWait::Dropped,
            () = self.life.cancelled() => SlotWait::Crashed,
        };
        self.shared.state().waiting -= 1;
        waited
    }

    async fn execute(
        &self,
        cancel: &CancellationToken,
        deadline: tokio::time::Instant,
    ) -> (ExecutionEnd, Option<StandInReply>) {
        let shared = &self.shared;
        let now = shared.clock.now();
        shared.log.begin(self.place, now);
        if self.call.crashes {
            shared.crash(shared.settings.crash_downtime);
            return (ExecutionEnd::Crashed, None);
        }
        let time = {
            let mut state = shared.state();
            let factor = state.factor(&shared.settings, now);
            let time = shared.settings.service_time.draw(&mut state.rng);
            time.mul_f64(factor)
        };
        // Which of deadline and end comes first is decided by their times, not by which timer is looked at first.
        let ends = tokio::time::Instant::now() + time;
        let expires = deadline < ends;
        let until = if expires {
            deadline
        } else {
            ends - time.min(TIMER_LATENESS)
        };
        let error = || Some(empty_reply(StatusCode::INTERNAL_SERVER_ERROR));
        tokio::select! {
            () = tokio::time::sleep_until(until) => {
                if expires {
                    (ExecutionEnd::Expired, error())
                } else {
                    (ExecutionEnd::Finished, Some(self.rows()))
                }
            }
            () = cancel.cancelled() => (ExecutionEnd::Cancelled, error()),
            () = self.life.cancelled() => (ExecutionEnd::Crashed, None),
        }
    }

    fn rows(&self) -> StandInReply {
        let row = &self.call.row;
        let body = Bytes::from(format!(r#"{{"rows":["{row}"]}}"#));
        let mut reply = body_reply(StatusCode::OK, body);
        set_header(&mut reply, "x-index-version", row.version);
        set_header(&mut reply, "content-type", "application/json");
        reply
    }
}
