//! Processor time of the tier's VMs: the threads of their runtimes, read from the kernel's per-thread counters.

use std::time::Duration;

use compact_str::CompactString;
use rustc_hash::FxHashMap;

/// Beginning of the names of threads that belong to a VM's runtime.
pub const VM_THREAD_PREFIX: &str = "vm-";
/// Length of the kernel's clock tick in `/proc`: 100 a second on every architecture that Linux runs on today.
const TICK: Duration = Duration::from_millis(10);
/// Places of user and system time after the name in `/proc/self/task/*/stat`, counted from zero.
const TIME_FIELDS: [usize; 2] = [11, 12];

/// Ticks that each VM thread has run so far.
#[derive(Debug, Clone, Default)]
pub struct ProcessorTimes {
    ticks: FxHashMap<CompactString, u64>,
}

impl ProcessorTimes {
    /// Reads the counters; empty where the kernel offers none.
    pub fn read() -> Self {
        let mut times = Self::default();
        let Ok(tasks) = std::fs::read_dir("/proc/self/task") else {
            return times;
        };
        for task in tasks.flatten() {
            let Ok(text) = std::fs::read_to_string(task.path().join("stat")) else {
                continue;
            };
            let Some((name, ticks)) = parse_stat(&text) else {
                continue;
            };
            if !name.starts_with(VM_THREAD_PREFIX) {
                continue;
            }
            let thread = CompactString::new(task.file_name().to_string_lossy());
            times.ticks.insert(thread, ticks);
        }
        times
    }

    /// The time that threads have run since `earlier`. A thread that ended in between does not count.
    pub fn since(&self, earlier: &Self) -> Duration {
        let mut ticks = 0;
        for (thread, now) in &self.ticks {
            ticks += now - earlier.ticks.get(thread).copied().unwrap_or(0).min(*now);
        }
        TICK * ticks as u32
    }
}

/// Takes name and run ticks out of a `stat` line. The name stands in parentheses and may contain any character.
fn parse_stat(text: &str) -> Option<(&str, u64)> {
    let (head, fields) = text.rsplit_once(") ")?;
    let (_, name) = head.split_once('(')?;
    let fields: Vec<&str> = fields.split(' ').collect();
    let mut ticks = 0;
    for place in TIME_FIELDS {
        ticks += fields.get(place)?.parse::<u64>().ok()?;
    }
    Some((name, ticks))
}

#[cfg(test)]
#[path = "processor_tests.rs"]
mod tests;
