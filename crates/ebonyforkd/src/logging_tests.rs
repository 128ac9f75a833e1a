use std::sync::atomic::AtomicUsize;

use googletest::prelude::*;

use super::*;

/// Appender that panics at its first line and keeps the others.
#[derive(Debug, Default)]
struct PanickingAppender {
    calls: AtomicUsize,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Append for PanickingAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        assert!(self.calls.fetch_add(1, Ordering::Relaxed) > 0, "first line");
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(record.args().to_string());
        Ok(())
    }

    fn flush(&self) {}
}

/// Guards against a process that logs nothing any more because the writing thread has ended at one line.
#[gtest]
fn a_line_that_panics_costs_itself() {
    let appender = PanickingAppender::default();
    let lines = Arc::clone(&appender.lines);
    let queued = QueuedAppender::new(Box::new(appender));
    for text in ["one", "two"] {
        let mut builder = Record::builder();
        let result = queued.append(&builder.args(format_args!("{text}")).build());
        expect_that!(result.is_ok(), eq(true));
    }
    queued.flush();
    let lines = lines.lock().unwrap_or_else(PoisonError::into_inner);
    expect_that!(*lines, elements_are![eq("two")]);
}

static LOGGED: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Logger that keeps its lines.
struct KeepingLogger;

impl log::Log for KeepingLogger {
    fn enabled(&self, _metadata: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = format!("{} {}", record.level(), record.args());
        let mut lines = LOGGED.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(line);
    }

    fn flush(&self) {}
}

/// Guards against panics of detached tasks that stand on standard error only, where an operator of the log misses them.
#[gtest]
fn a_panic_is_logged_with_its_place() {
    log::set_logger(&KeepingLogger).expect("no other logger in this process");
    log::set_max_level(LevelFilter::Error);
    log_panics();
    let result = catch_panic(|| panic!("detached"));
    expect_that!(result, err(eq("detached")));
    let lines = LOGGED.lock().unwrap_or_else(PoisonError::into_inner);
    let is_told = |line: &String| {
        let has_place = line.contains("logging_tests.rs");
        line.starts_with("ERROR panic: ") && has_place && line.ends_with(" detached")
    };
    expect_that!(lines.iter().any(is_told), eq(true), "{lines:?}");
}
