//! The daemon of the query tier: reads its settings, starts one node, and stops it when it is told to.
//!
//! `SIGTERM` and `SIGINT` start a planned stop, a second one ends it at once. `SIGHUP` reads the settings again and puts
//! the logging section in force; every other section needs a restart, which the log says.

use std::process::ExitCode;

use ebonyfork::node::{Node, NodeOptions};
use ebonyfork::settings::{LogSettings, NodeSettings};
use ebonyfork_platform::PlatformStore;
use snafu::ResultExt;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::sync::CancellationToken;

use ebonyforkd::arguments::DaemonArguments;
use ebonyforkd::daemon::{
    DaemonError, LoggingSnafu, SystemSnafu, read_settings, reload_logging, run_daemon,
};
use ebonyforkd::logging;

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
    let runtime = tokio::runtime::Runtime::new().context(SystemSnafu)?;
    let result = runtime.block_on(serve(arguments, settings, &handle));
    log::logger().flush();
    result
}

fn read_own_settings(file: &str) -> Result<NodeSettings, DaemonError> {
    read_settings(file, |file, text| NodeSettings::parse(file, text))
}

async fn serve(
    arguments: &DaemonArguments,
    settings: NodeSettings,
    handle: &log4rs::Handle,
) -> Result<(), DaemonError> {
    let mut signals = StopSignals::new()?;
    let mut reload = signal(SignalKind::hangup()).context(SystemSnafu)?;
    let hurry = CancellationToken::new();
    let options = NodeOptions::new().with_hurry(hurry.clone());
    let node = Node::start(
        settings.clone(),
        options,
        PlatformStore::new(settings.platform),
    )
    .await
    .map_err(DaemonError::start)?;
    loop {
        tokio::select! {
            () = signals.wait() => break,
            _ = reload.recv() => reload_logging(handle, read_logging(arguments, &settings)),
        }
    }
    log::info!("planned stop begins");
    let stopping = node.stop();
    tokio::pin!(stopping);
    let report = tokio::select! {
        report = &mut stopping => report,
        () = signals.wait() => {
            log::warn!("second signal: the planned stop is cut short");
            hurry.cancel();
            stopping.await
        }
    };
    log::info!("planned stop ends: {report}");
    Ok(())
}

/// Reads the logging section of the settings file; tells whether the rest is as it runs.
fn read_logging(
    arguments: &DaemonArguments,
    running: &NodeSettings,
) -> Result<(LogSettings, bool), DaemonError> {
    let settings = read_own_settings(&arguments.settings)?;
    let log = settings.log.clone();
    let unlogged = NodeSettings {
        log: running.log.clone(),
        ..settings
    };
    Ok((log, unlogged == *running))
}

/// The signals that ask for a stop.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn new() -> Result<Self, DaemonError> {
        let terminate = signal(SignalKind::terminate()).context(SystemSnafu)?;
        let interrupt = signal(SignalKind::interrupt()).context(SystemSnafu)?;
        Ok(Self {
            terminate,
            interrupt,
        })
    }

    async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
