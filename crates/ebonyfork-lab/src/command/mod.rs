//! The command line: one folder of subcommands over the library.

mod platform;
mod run;
mod soak;
mod spread;
mod upstream;

use std::process::ExitCode;

use clap::Command;

use crate::error::LabError;

/// Describes the command line.
fn command() -> Command {
    Command::new("ebonyfork-lab")
        .about("Stand-ins for the platform and the upstreams, load generator and experiments")
        .subcommand_required(true)
        .subcommand(run::quickstart_command())
        .subcommand(run::run_command())
        .subcommand(run::load_command())
        .subcommand(platform::command())
        .subcommand(upstream::command())
        .subcommand(soak::command())
        .subcommand(spread::command())
}

/// Runs the command line of this process.
pub async fn run() -> Result<ExitCode, LabError> {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("quickstart", matches)) => run::quickstart(matches).await,
        Some(("run", matches)) => run::run(matches).await,
        Some(("load", matches)) => run::load(matches).await,
        Some(("platform", matches)) => platform::run(matches).await,
        Some(("soak", matches)) => soak::run(matches).await,
        Some(("spread", matches)) => spread::run(matches).await,
        Some(("upstream", matches)) => upstream::run(matches).await,
        _ => Ok(ExitCode::FAILURE),
    }
}

/// Waits for the interrupt key or a termination request.
async fn interrupted() {
    use tokio::signal::unix::{SignalKind, signal};
    let interrupt = tokio::signal::ctrl_c();
    match signal(SignalKind::terminate()) {
        Ok(mut terminate) => {
            tokio::select! {
                _ = interrupt => {}
                _ = terminate.recv() => {}
            }
        }
        Err(_) => drop(interrupt.await),
    }
}

#[cfg(test)]
#[path = "command_tests.rs"]
mod tests;
