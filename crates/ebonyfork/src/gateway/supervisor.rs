//! Runs the long-lived tasks of a process and restarts those that end.
//!
//! The rules are in [`crate::gateway::policy::restart`]; docs/design/tasks.md has what the end of each task means.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use rustc_hash::FxHashMap;
use snafu::Snafu;
use tokio::sync::watch;
use tokio::task::{AbortHandle, Id, JoinError, JoinSet};

use crate::gateway::clock::now;
use crate::gateway::core::{GatewayCore, ServiceState};
use crate::gateway::metrics::TaskLabel;
use crate::gateway::policy::restart::{EndAction, RestartState, TaskEnd, TaskRecovery};
use crate::gateway::tasks::TaskName;
use crate::panic_reason::panic_reason;

/// Wake-up time while no restart is due.
const NO_RESTART_WAKE: Duration = Duration::from_hours(1);

/// End of a task that can't be started again, so that the process has to end.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("task {task} ended and can't be restarted: {reason}"))]
pub struct TaskFailure {
    /// Name of the task.
    pub task: CompactString,
    /// Message of the panic, or how else the task ended.
    pub reason: CompactString,
}

type TaskFuture = Pin<Box<dyn Future<Output = ()>>>;

/// A task with what is needed to start it again.
struct SupervisedTask {
    name: TaskName,
    create: Box<dyn Fn() -> TaskFuture>,
    state: RestartState,
    /// Time of the next start; `None` while the task runs, or if it is not to be started again.
    start_at: Option<Instant>,
}

/// Ends running tasks by name, for tests.
#[derive(Debug, Clone, Default)]
pub(super) struct TaskAborter(Rc<RefCell<FxHashMap<TaskName, AbortHandle>>>);

impl TaskAborter {
    /// Ends the current run of a task. Returns false if the task does not run in this process.
    pub(super) fn abort(&self, task: TaskName) -> bool {
        let handles = self.0.borrow();
        let handle = handles.get(&task);
        handle.is_some_and(|handle| {
            handle.abort();
            true
        })
    }
}

/// Owner of the long-lived tasks. Dropping it aborts them.
pub(super) struct TaskSupervisor {
    core: Rc<GatewayCore>,
    tasks: Vec<SupervisedTask>,
    running: JoinSet<()>,
    /// Index of each running task.
    indices: FxHashMap<Id, usize>,
    aborter: TaskAborter,
    failure: watch::Sender<Option<TaskFailure>>,
}

impl TaskSupervisor {
    /// Creates a supervisor without tasks.
    pub(super) fn new(core: Rc<GatewayCore>) -> Self {
        Self {
            core,
            tasks: Vec::new(),
            running: JoinSet::new(),
            indices: FxHashMap::default(),
            aborter: TaskAborter::default(),
            failure: watch::Sender::default(),
        }
    }

    /// Returns what ends running tasks by name.
    pub(super) fn aborter(&self) -> TaskAborter {
        self.aborter.clone()
    }

    /// Subscribes to the end of a task that can't be restarted.
    pub(super) fn failure(&self) -> watch::Receiver<Option<TaskFailure>> {
        self.failure.subscribe()
    }

    /// Starts a task that is restarted when it ends. `create` returns a new run of it, from a clean start.
    pub(super) fn start<F: Future<Output = ()> + 'static>(
        &mut self,
        name: TaskName,
        create: impl Fn() -> F + 'static,
    ) {
        self.add(name, TaskRecovery::Restart, create);
    }

    /// Starts a task whose end is the end of the process.
    pub(super) fn start_required<F: Future<Output = ()> + 'static>(
        &mut self,
        name: TaskName,
        create: impl Fn() -> F + 'static,
    ) {
        self.add(name, TaskRecovery::EndProcess, create);
    }

    fn add<F: Future<Output = ()> + 'static>(
        &mut self,
        name: TaskName,
        recovery: TaskRecovery,
        create: impl Fn() -> F + 'static,
    ) {
        let metrics = &self.core.metrics.tasks;
        // The counter is exported from the start.
        metrics.ends.get_or_create(&TaskLabel(name)).inc_by(0);
        let create = Rc::new(create);
        // Creating the run within its future makes a panic there an end of the task.
        let create_run = move || -> TaskFuture {
            let create = Rc::clone(&create);
            Box::pin(async move { create().await })
        };
        self.tasks.push(SupervisedTask {
            name,
            create: Box::new(create_run),
            state: RestartState::new(recovery, now()),
            start_at: None,
        });
        self.run_task(self.tasks.len() - 1);
    }

    fn run_task(&mut self, index: usize) {
        let task = &mut self.tasks[index];
        task.start_at = None;
        task.state.record_start(now());
        let handle = self.running.spawn_local((task.create)());
        self.indices.insert(handle.id(), index);
        self.aborter.0.borrow_mut().insert(task.name, handle);
        let name = task.name;
        self.set_down(name, false);
    }

    fn set_down(&self, task: TaskName, is_down: bool) {
        self.core.tasks.set_down(task, is_down);
        let gauge = &self.core.metrics.tasks.down;
        gauge
            .get_or_create(&TaskLabel(task))
            .set(u64::from(is_down));
    }

    /// Restarts tasks that end, until the future is dropped.
    pub(super) async fn run(mut self) {
        loop {
            let next_start = self.tasks.iter().filter_map(|task| task.start_at).min();
            let wake_at = next_start.unwrap_or_else(|| now() + NO_RESTART_WAKE);
            tokio::select! {
                Some(ended) = self.running.join_next_with_id() => self.handle_end(ended),
                () = tokio::time::sleep_until(wake_at.into()) => {}
            }
            let time = now();
            for index in 0..self.tasks.len() {
                let start_at = self.tasks[index].start_at;
                if start_at.is_some_and(|start_at| start_at <= time) {
                    self.run_task(index);
                }
            }
        }
    }

    fn handle_end(&mut self, ended: Result<(Id, ()), JoinError>) {
        let (id, end, reason) = match ended {
            Ok((id, ())) => (
                id,
                TaskEnd::Returned,
                CompactString::const_new("it returned"),
            ),
            Err(error) => (error.id(), TaskEnd::Failed, failure_reason(error)),
        };
        let Some(index) = self.indices.remove(&id) else {
            return;
        };
        let time = now();
        let is_stopping = self.core.state() != ServiceState::Serving;
        let task = &mut self.tasks[index];
        let (name, ends_before) = (task.name, task.state.end_count());
        let action = task
            .state
            .record_end(end, is_stopping, time, &mut rand::rng());
        let next_step = match action {
            EndAction::Nothing => return,
            EndAction::RestartAfter(wait) => {
                task.start_at = Some(time + wait);
                compact_str::format_compact!("restarting in {} ms", wait.as_millis())
            }
            EndAction::EndProcess => CompactString::const_new("ending the process"),
        };
        log::error!("task {name} ended: {reason}; restarts={ends_before}; {next_step}");
        self.set_down(name, true);
        let metrics = &self.core.metrics.tasks;
        metrics.ends.get_or_create(&TaskLabel(name)).inc();
        if action == EndAction::EndProcess {
            let task = name.label().into();
            self.failure
                .send_replace(Some(TaskFailure { task, reason }));
        }
    }
}

/// Returns the message of a task's panic, or that the task was aborted.
fn failure_reason(error: JoinError) -> CompactString {
    match error.try_into_panic() {
        Ok(payload) => panic_reason(&*payload),
        Err(_aborted) => CompactString::const_new("it was aborted"),
    }
}

#[cfg(test)]
#[path = "supervisor_tests.rs"]
mod tests;
