//! What the daemons do alike: their errors and exit statuses, and reading settings.

use std::fmt::Display;
use std::process::ExitCode;

use ebonyfork::finding::FindingList;
use ebonyfork::settings::LogSettings;
use snafu::{ResultExt, Snafu};

use crate::arguments::DaemonArguments;
use crate::logging::{self, LoggingError};
use crate::memory::refuse_huge_pages;

/// Exit status when the settings have findings.
const EXIT_FINDINGS: u8 = 2;
/// Exit status when the process can't start.
const EXIT_START: u8 = 1;
/// Exit status when a task has ended that can't be restarted. The platform starts the process again.
const EXIT_TASK: u8 = 3;

/// Why a daemon ends with an error.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum DaemonError {
    /// The settings file can't be read.
    #[snafu(display("{file}: {source}"))]
    Read {
        /// The file.
        file: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The settings have findings.
    #[snafu(display("{findings}"))]
    Settings {
        /// What is wrong, each with its place.
        findings: FindingList,
    },
    /// Logging can't be set up.
    #[snafu(display("{source}"))]
    Logging {
        /// The cause.
        source: LoggingError,
    },
    /// The runtime or a signal handler can't be set up.
    #[snafu(display("{source}"))]
    System {
        /// The cause.
        source: std::io::Error,
    },
    /// The daemon's work can't start.
    #[snafu(display("{reason}"))]
    Start {
        /// The cause.
        reason: String,
    },
    /// A task has ended without which the process can't do its work.
    #[snafu(display("{reason}"))]
    Task {
        /// The cause.
        reason: String,
    },
}

impl DaemonError {
    /// The work can't start.
    pub fn start(reason: impl Display) -> Self {
        let reason = reason.to_string();
        Self::Start { reason }
    }

    /// A task has ended that can't be restarted.
    pub fn task(reason: impl Display) -> Self {
        let reason = reason.to_string();
        Self::Task { reason }
    }

    fn status(&self) -> u8 {
        match self {
            Self::Read { .. } | Self::Settings { .. } => EXIT_FINDINGS,
            Self::Logging { .. } | Self::System { .. } | Self::Start { .. } => EXIT_START,
            Self::Task { .. } => EXIT_TASK,
        }
    }
}

/// Runs a daemon with the process's command line and tells its exit status.
pub fn run_daemon(run: impl FnOnce(&DaemonArguments) -> Result<(), DaemonError>) -> ExitCode {
    if let Err(error) = refuse_huge_pages() {
        eprintln!("memory is backed by huge pages: {error}");
    }
    let arguments = DaemonArguments::parse();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.status())
        }
    }
}

/// Reads a settings file with a daemon's own reader.
pub fn read_settings<T>(
    file: &str,
    parse: impl FnOnce(&str, &str) -> Result<T, FindingList>,
) -> Result<T, DaemonError> {
    let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
    parse(file, &text).map_err(|findings| DaemonError::Settings { findings })
}

/// Puts a read logging section in force; `same` tells that nothing else has changed. Findings leave everything as it is.
pub fn reload_logging(handle: &log4rs::Handle, read: Result<(LogSettings, bool), DaemonError>) {
    let (log, same) = match read {
        Ok(read) => read,
        Err(error) => return log::error!("settings not reloaded: {error}"),
    };
    match logging::build_config(&log) {
        Ok(config) => handle.set_config(config),
        Err(error) => return log::error!("settings not reloaded: {error}"),
    }
    if same {
        log::info!("logging reloaded");
    } else {
        log::warn!("logging reloaded; the other changes need a restart");
    }
}
