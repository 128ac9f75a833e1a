//! Logging off the hot path: `log4rs` with an appender that hands records to a thread.
//!
//! A task that logs a decision must not wait for a disk or a pipe. Lines go through a bounded channel; when it is full,
//! lines are dropped, counted, and the count is written once there is room.

use std::fmt;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};

use ebonyfork::panic_reason::catch_panic;
use ebonyfork::settings::LogSettings;
use log::{LevelFilter, Record};
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::pattern::PatternEncoder;
use snafu::{ResultExt, Snafu};

/// Lines that may wait for the writing thread.
const QUEUE_LIMIT: usize = 16_384;
/// Target of the lines that tell a routing or placement decision.
const DECISION_TARGET: &str = "ebonyfork::decision";
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.6fZ)(utc)} {l} {t} {m}{n}";
const APPENDER: &str = "main";

/// Why logging can't be set up.
#[derive(Debug, Snafu)]
pub enum LoggingError {
    /// The log file can't be opened.
    #[snafu(display("log file `{file}`: {source}"))]
    Open {
        /// The file.
        file: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The configuration is contradictory.
    #[snafu(display("log configuration: {source}"))]
    Configure {
        /// The cause.
        source: log4rs::config::runtime::ConfigErrors,
    },
    /// A logger is set up already.
    #[snafu(display("logging is set up already: {source}"))]
    Install {
        /// The cause.
        source: log::SetLoggerError,
    },
}

/// Sets up logging for the process.
pub fn start_logging(settings: &LogSettings) -> Result<log4rs::Handle, LoggingError> {
    let config = build_config(settings)?;
    log4rs::init_config(config).context(InstallSnafu)
}

/// Logs every panic from now on, besides the message on standard error. Nobody else would log the panic of a detached task.
pub fn log_panics() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        let text = info.to_string().replace('\n', " ");
        log::error!("panic: {text}");
        default_hook(info);
    }));
}

/// Builds the configuration that [`start_logging`] installs; a reload installs a new one.
pub fn build_config(settings: &LogSettings) -> Result<Config, LoggingError> {
    let encoder = Box::new(PatternEncoder::new(PATTERN));
    let written: Box<dyn Append> = if let Some(file) = &settings.file {
        let appender = FileAppender::builder()
            .encoder(encoder)
            .build(file.as_str());
        Box::new(appender.context(OpenSnafu {
            file: file.to_string(),
        })?)
    } else {
        let appender = ConsoleAppender::builder().encoder(encoder);
        Box::new(appender.target(Target::Stdout).build())
    };
    let queued = Box::new(QueuedAppender::new(written));
    let decisions = if settings.decisions {
        LevelFilter::Info
    } else {
        LevelFilter::Off
    };
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, queued))
        .logger(Logger::builder().build(DECISION_TARGET, decisions))
        .build(Root::builder().appender(APPENDER).build(settings.level));
    config.context(ConfigureSnafu)
}

/// One formatted line on its way to the writing thread.
struct QueuedLine {
    level: log::Level,
    target: String,
    message: String,
}

enum LineCommand {
    Write(QueuedLine),
    Flush(SyncSender<()>),
}

/// Hands lines to a thread that owns the real appender.
pub struct QueuedAppender {
    lines: Mutex<SyncSender<LineCommand>>,
    dropped: Arc<AtomicU64>,
}

impl fmt::Debug for QueuedAppender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("QueuedAppender")
            .field("dropped", &self.dropped)
            .finish_non_exhaustive()
    }
}

impl QueuedAppender {
    /// Starts the writing thread. It ends when the appender is dropped.
    pub fn new(written: Box<dyn Append>) -> Self {
        let (lines, queued) = sync_channel(QUEUE_LIMIT);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&dropped);
        std::thread::spawn(move || write_lines(&queued, &*written, &counted));
        Self {
            lines: Mutex::new(lines),
            dropped,
        }
    }

    fn sender(&self) -> SyncSender<LineCommand> {
        self.lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

impl Append for QueuedAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let level = record.level();
        let target = record.target().to_owned();
        let message = record.args().to_string();
        let line = LineCommand::Write(QueuedLine {
            level,
            target,
            message,
        });
        if let Err(TrySendError::Full(_)) = self.sender().try_send(line) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {
        let (done, finished) = sync_channel(1);
        if self.sender().send(LineCommand::Flush(done)).is_ok() {
            // The thread may have ended in between; then there is nothing left to flush.
            let _ended = finished.recv();
        }
    }
}

fn write_lines(queued: &Receiver<LineCommand>, written: &dyn Append, dropped: &AtomicU64) {
    for command in queued {
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let message = format!("{lost} log lines were dropped");
            write_line(written, log::Level::Warn, "ebonyforkd", &message);
        }
        match command {
            LineCommand::Write(line) => {
                write_line(written, line.level, &line.target, &line.message);
            }
            LineCommand::Flush(done) => {
                written.flush();
                // Whoever asked may have given up waiting.
                let _gone = done.send(());
            }
        }
    }
}

fn write_line(written: &dyn Append, level: log::Level, target: &str, message: &str) {
    // A line that panics must not end the thread: all later lines would be lost without a word.
    let result = catch_panic(|| {
        let mut builder = Record::builder();
        written.append(
            &builder
                .level(level)
                .target(target)
                .args(format_args!("{message}"))
                .build(),
        )
    });
    let reason = match result {
        Ok(Ok(())) => return,
        Ok(Err(error)) => error.to_string(),
        Err(reason) => reason.into(),
    };
    // There is no other place left to tell it, and standard error may be closed, at which `eprintln` panics.
    let _is_told = writeln!(std::io::stderr(), "log: {reason}");
}

#[cfg(test)]
#[path = "logging_tests.rs"]
mod tests;
