//! The gateway's daemon: reads its settings, joins the product to the platform's adapter, stops when it is told to.
//!
//! `SIGTERM` and `SIGINT` start a planned stop. `SIGHUP` reads the settings again and puts the logging section in force;
//! every other section needs a restart, which the log says. One thread runs everything but the writing of log lines.

use std::process::ExitCode;

use ebonyfork::finding::FindingList;
use ebonyfork::gateway::{GatewayError, GatewayNode, GatewaySettings};
use ebonyfork_platform::{PlatformStore, platform_dialect};
use ebonyforkd::arguments::DaemonArguments;
use ebonyforkd::logging::{self, LoggingError};
use snafu::{ResultExt, Snafu};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Exit status when the settings have findings.
const EXIT_FINDINGS: u8 = 2;
/// Exit status when the process can't start.
const EXIT_START: u8 = 1;

/// Why the daemon ends with an error.
#[derive(Debug, Snafu)]
enum DaemonError {
    /// The settings file can't be read.
    #[snafu(display("{file}: {source}"))]
    Read {
        file: String,
        source: std::io::Error,
    },
    /// The settings have findings.
    #[snafu(display("{findings}"))]
    Settings { findings: FindingList },
    /// Logging can't be set up.
    #[snafu(display("{source}"))]
    Logging { source: LoggingError },
    /// The runtime or a signal handler can't be set up.
    #[snafu(display("{source}"))]
    System { source: std::io::Error },
    /// The gateway can't start.
    #[snafu(display("{source}"))]
    Start { source: GatewayError },
}

impl DaemonError {
    fn status(&self) -> u8 {
        match self {
            Self::Read { .. } | Self::Settings { .. } => EXIT_FINDINGS,
            Self::Logging { .. } | Self::System { .. } | Self::Start { .. } => EXIT_START,
        }
    }
}

fn main() -> ExitCode {
    let arguments = DaemonArguments::parse();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.status())
        }
    }
}

fn run(arguments: &DaemonArguments) -> Result<(), DaemonError> {
    let settings = read_settings(&arguments.settings)?;
    if arguments.check {
        println!("{}: no findings", arguments.settings);
        return Ok(());
    }
    let handle = logging::start_logging(&settings.log).context(LoggingSnafu)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(SystemSnafu)?;
    let result = LocalSet::new().block_on(&runtime, serve(arguments, settings, &handle));
    log::logger().flush();
    result
}

fn read_settings(file: &str) -> Result<GatewaySettings, DaemonError> {
    let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
    GatewaySettings::parse(file, &text).map_err(|findings| DaemonError::Settings { findings })
}

async fn serve(
    arguments: &DaemonArguments,
    settings: GatewaySettings,
    handle: &log4rs::Handle,
) -> Result<(), DaemonError> {
    let mut terminate = signal(SignalKind::terminate()).context(SystemSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SystemSnafu)?;
    let mut hangup = signal(SignalKind::hangup()).context(SystemSnafu)?;
    let store = PlatformStore::new(settings.store);
    let node = GatewayNode::start(settings.clone(), platform_dialect(), store)
        .await
        .context(StartSnafu)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            () = hang_up(&mut hangup) => reload_logging(arguments, &settings, handle),
        }
    }
    node.stop().await;
    Ok(())
}

async fn hang_up(signal: &mut Signal) {
    signal.recv().await;
}

/// Puts the logging section of the settings file in force; findings leave everything as it is.
fn reload_logging(arguments: &DaemonArguments, running: &GatewaySettings, handle: &log4rs::Handle) {
    let settings = match read_settings(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => return log::error!("settings not reloaded: {error}"),
    };
    match logging::build_config(&settings.log) {
        Ok(config) => handle.set_config(config),
        Err(error) => return log::error!("settings not reloaded: {error}"),
    }
    let unlogged = GatewaySettings {
        log: running.log.clone(),
        ..settings
    };
    if unlogged == *running {
        log::info!("logging reloaded");
    } else {
        log::warn!("logging reloaded; the other changes need a restart");
    }
}
