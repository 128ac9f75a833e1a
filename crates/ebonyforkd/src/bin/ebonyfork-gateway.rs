//! The gateway's daemon: reads its settings, joins the product to the platform's adapter, stops when it is told to.
//!
//! `SIGTERM` and `SIGINT` start a planned stop. `SIGHUP` reads the settings again and puts the logging section in force;
//! every other section needs a restart, which the log says. If a task ends that can't be restarted, the process stops as
//! planned and exits with an error, so that the platform starts it again. One thread runs everything but the writing of log lines.

use std::process::ExitCode;

use ebonyfork::gateway::{GatewayNode, GatewaySettings};
use ebonyfork::settings::LogSettings;
use ebonyfork_platform::{PlatformStore, platform_dialect};
use ebonyforkd::arguments::DaemonArguments;
use ebonyforkd::daemon::{
    DaemonError, LoggingSnafu, SystemSnafu, read_settings, reload_logging, run_daemon,
};
use ebonyforkd::logging;
use snafu::ResultExt;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    run_daemon(run)
}

fn run(arguments: &DaemonArguments) -> Result<(), DaemonError> {
    let settings = read_own_settings(&arguments.settings)?;
    if arguments.check {
        println!("{}: no findings", arguments.settings);
        return Ok(());
    }
    let handle = logging::start_logging(&settings.log).context(LoggingSnafu)?;
    logging::log_panics();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(SystemSnafu)?;
    let result = LocalSet::new().block_on(&runtime, serve(arguments, settings, &handle));
    log::logger().flush();
    result
}

fn read_own_settings(file: &str) -> Result<GatewaySettings, DaemonError> {
    read_settings(file, |file, text| GatewaySettings::parse(file, text))
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
    let mut node = GatewayNode::start(settings.clone(), platform_dialect(), store)
        .await
        .map_err(DaemonError::start)?;
    let failure = loop {
        tokio::select! {
            _ = terminate.recv() => break None,
            _ = interrupt.recv() => break None,
            failure = node.failure() => break Some(failure),
            () = hang_up(&mut hangup) => reload_logging(handle, read_logging(arguments, &settings)),
        }
    };
    node.stop().await;
    match failure {
        Some(failure) => {
            log::error!("exit: {failure}");
            Err(DaemonError::task(failure))
        }
        None => Ok(()),
    }
}

async fn hang_up(signal: &mut Signal) {
    signal.recv().await;
}

/// Reads the logging section of the settings file; tells whether the rest is as it runs.
fn read_logging(
    arguments: &DaemonArguments,
    running: &GatewaySettings,
) -> Result<(LogSettings, bool), DaemonError> {
    let settings = read_own_settings(&arguments.settings)?;
    let log = settings.log.clone();
    let unlogged = GatewaySettings {
        log: running.log.clone(),
        ..settings
    };
    Ok((log, unlogged == *running))
}
