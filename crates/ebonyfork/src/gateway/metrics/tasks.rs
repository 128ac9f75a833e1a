//! Metrics of the long-lived tasks.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::{EncodeLabelSet, LabelSetEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::gateway::tasks::TaskName;

/// Label that states a task.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TaskLabel(pub TaskName);

impl EncodeLabelSet for TaskLabel {
    fn encode(&self, encoder: &mut LabelSetEncoder<'_>) -> Result<(), std::fmt::Error> {
        [("task", self.0.label())].encode(encoder)
    }
}

/// Ends of tasks, and panics that were kept from ending one.
#[derive(Debug, Clone, Default)]
pub struct TaskMetrics {
    /// Ends against the task's purpose.
    pub ends: Family<TaskLabel, Counter>,
    /// 1 while a task is down, otherwise 0.
    pub down: Family<TaskLabel, Gauge<u64, AtomicU64>>,
    /// Panics that cost a single item, such as an entry of the store, by the task that handled it.
    pub caught_panics: Family<TaskLabel, Counter>,
}

impl TaskMetrics {
    /// Counts a panic that cost a single item.
    pub fn count_caught_panic(&self, task: TaskName) {
        self.caught_panics.get_or_create(&TaskLabel(task)).inc();
    }

    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "task_ends",
            "Ends of long-lived tasks against their purpose",
            self.ends.clone(),
        );
        registry.register(
            "tasks_down",
            "Long-lived tasks that have ended and not started again yet",
            self.down.clone(),
        );
        registry.register(
            "caught_panics",
            "Panics that cost a single entry or message",
            self.caught_panics.clone(),
        );
    }
}
