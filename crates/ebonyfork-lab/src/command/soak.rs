//! `ebonyfork-lab soak`: real gateways under random faults.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::command::interrupted;
use crate::error::LabError;
use crate::soak::{SoakSettings, run_soak};

pub(super) fn command() -> Command {
    let number = |name: &'static str, value: &'static str, default: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name(value)
            .value_parser(value_parser!(u64))
            .default_value(default)
    };
    Command::new("soak")
        .about("Runs gateways as processes under random faults and checks their promises")
        .arg(number("seed", "NUMBER", "1").help("First seed"))
        .arg(number("runs", "COUNT", "1").help("Runs, each with the next seed"))
        .arg(number("seconds", "SECONDS", "30").help("How long faults come in each run"))
        .arg(number("vms", "COUNT", "2").help("VMs in each of three zones"))
        .arg(
            Arg::new("folder")
                .long("folder")
                .value_name("FOLDER")
                .value_parser(value_parser!(PathBuf))
                .default_value("out/soak")
                .help("Where settings and logs go; each run has a folder of its own"),
        )
        .after_help(
            "Example: ebonyfork-lab soak --seed 1 --runs 5 --seconds 30\n\n\
             The program ebonyfork-gateway is taken from the folder of this one.\n\
             Exit status: 0 no violation, 1 a violation, 2 the run itself failed",
        )
}

pub(super) async fn run(matches: &ArgMatches) -> Result<ExitCode, LabError> {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let folder = matches
        .get_one::<PathBuf>("folder")
        .cloned()
        .unwrap_or_default();
    let mut failed = false;
    for seed in number("seed")..number("seed") + number("runs") {
        println!("seed={seed} begins");
        let settings = SoakSettings {
            seed,
            time: Duration::from_secs(number("seconds")),
            vms: number("vms") as usize,
            program: gateway_program()?,
            folder: folder.join(seed.to_string()),
        };
        let verdict = tokio::select! {
            verdict = run_soak(&settings) => verdict?,
            // Dropping the run ends the processes that it started.
            () = interrupted() => return Ok(ExitCode::FAILURE),
        };
        print!("{verdict}");
        failed |= !verdict.violations.is_empty();
    }
    Ok(if failed {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    })
}

/// The gateway's program beside this one.
pub(super) fn gateway_program() -> Result<PathBuf, LabError> {
    let own = std::env::current_exe().map_err(|source| LabError::System {
        what: "the path of this program",
        source,
    })?;
    Ok(own.with_file_name("ebonyfork-gateway"))
}
