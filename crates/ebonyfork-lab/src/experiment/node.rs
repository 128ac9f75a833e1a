//! One node of the tier in a runtime of its own.

use std::time::Duration;

use ebonyfork::ident::VmAddress;
use ebonyfork::node::{Node, NodeOptions};
use ebonyfork::settings::NodeSettings;
use ebonyfork_platform::PlatformStore;
use tokio::runtime::{Builder, Runtime};

use crate::error::LabError;

/// Longest time until a started node takes work.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// Longest time for a planned stop.
const STOP_LIMIT: Duration = Duration::from_mins(1);

/// Longest time for a stopped node's last tasks.
const END_LIMIT: Duration = Duration::from_secs(2);

/// A node that can be killed, frozen, stopped and started again.
#[derive(Debug)]
pub(super) struct LabNode {
    settings: NodeSettings,
    options: NodeOptions,
    workers: u32,
    running: Option<RunningNode>,
}

#[derive(Debug)]
struct RunningNode {
    runtime: Runtime,
    node: Node,
}

impl LabNode {
    pub(super) fn new(settings: NodeSettings, options: NodeOptions, workers: u32) -> Self {
        Self {
            settings,
            options,
            workers,
            running: None,
        }
    }

    pub(super) fn vm(&self) -> VmAddress {
        self.settings.vm
    }

    /// Starts it and returns once its sockets are bound.
    pub(super) async fn start(&mut self) -> Result<(), LabError> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(self.workers as usize)
            .thread_name(format!("vm-{}", self.settings.vm))
            .enable_all()
            .build()
            .map_err(|source| LabError::System {
                what: "a runtime for a node",
                source,
            })?;
        let starting = Node::start(
            self.settings.clone(),
            self.options.clone(),
            PlatformStore::new(self.settings.platform),
        );
        let started = runtime.spawn(starting).await;
        let failed = |message| LabError::Tier {
            what: "a node did not start",
            message,
        };
        let outcome = match started {
            Ok(Ok(node)) => {
                self.running = Some(RunningNode { runtime, node });
                return Ok(());
            }
            Ok(Err(error)) => failed(error.to_string()),
            Err(error) => failed(error.to_string()),
        };
        runtime.shutdown_background();
        Err(outcome)
    }

    /// Waits until it takes work.
    pub(super) async fn ready(&self) -> Result<(), LabError> {
        let Some(running) = &self.running else {
            return Ok(());
        };
        let ready = tokio::time::timeout(READY_LIMIT, running.node.ready()).await;
        ready.map_err(|error| LabError::Tier {
            what: "a node takes no work",
            message: format!("{}: {error}", self.settings.vm),
        })
    }

    /// Kills it: its tasks are dropped and its sockets close.
    pub(super) fn kill(&mut self) {
        if let Some(running) = self.running.take() {
            running.runtime.shutdown_background();
        }
    }

    /// Blocks all its workers for a while.
    pub(super) fn freeze(&self, time: Duration) {
        let Some(running) = &self.running else {
            return;
        };
        for _ in 0..self.workers {
            running
                .runtime
                .spawn(async move { std::thread::sleep(time) });
        }
    }

    /// Stops it as planned and says what the stop gave up.
    pub(super) async fn stop(&mut self) -> String {
        let Some(running) = self.running.take() else {
            return "was not running".to_owned();
        };
        let RunningNode { runtime, node } = running;
        let stopping = runtime.spawn(node.stop());
        let report = tokio::time::timeout(STOP_LIMIT, stopping).await;
        // A process that has ended holds no sockets, so that its successor can have the address.
        let ending = tokio::task::spawn_blocking(move || runtime.shutdown_timeout(END_LIMIT));
        let _ended = ending.await;
        match report {
            Ok(Ok(report)) => format!("{report:?}"),
            Ok(Err(error)) => format!("the stop failed: {error}"),
            Err(_) => format!("the stop took longer than {STOP_LIMIT:?}"),
        }
    }
}

impl Drop for LabNode {
    fn drop(&mut self) {
        self.kill();
    }
}
