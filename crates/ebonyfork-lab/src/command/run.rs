//! `ebonyfork-lab quickstart`, `ebonyfork-lab run SCENARIO.ini` and `ebonyfork-lab load`.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde::Serialize;

use crate::error::LabError;
use crate::experiment::{ProgressFunction, RunReport, run_scenario, send_load, write_table};
use crate::scenario::Scenario;

/// The scenario of `quickstart`.
const QUICKSTART: &str = include_str!("../../../../scenarios/quickstart.ini");

pub(super) fn quickstart_command() -> Command {
    Command::new("quickstart")
        .about("Brings up both deployments' searches on loopback, sends some seconds of load, prints figures")
        .arg(output_arg())
        .after_help("Exit status: 0 clean, 1 a violation, 2 the run itself failed.")
}

pub(super) fn run_command() -> Command {
    Command::new("run")
        .about("Runs a scenario and prints its figures")
        .arg(
            Arg::new("scenario")
                .value_name("SCENARIO.ini")
                .required(true)
                .help("Scenario; its keys are documented in docs/LAB.md"),
        )
        .arg(output_arg())
        .arg(
            Arg::new("variant")
                .long("variant")
                .value_name("NAME")
                .help("Runs only this variant"),
        )
        .arg(percent_arg())
        .after_help(
            "Example: ebonyfork-lab run scenarios/straggler.ini --output json\n\
             Exit status: 0 clean, 1 a violation, 2 the run itself failed.",
        )
}

pub(super) fn load_command() -> Command {
    Command::new("load")
        .about("Sends a scenario's load to VMs that run elsewhere and prints what callers saw")
        .arg(
            Arg::new("scenario")
                .value_name("SCENARIO.ini")
                .required(true)
                .help("Scenario; its fleet and faults are left out"),
        )
        .arg(
            Arg::new("vm")
                .long("vm")
                .value_name("IP:PORT")
                .value_parser(value_parser!(SocketAddr))
                .action(ArgAction::Append)
                .required(true)
                .help("Caller address of a VM; may be given more than once"),
        )
        .arg(output_arg())
        .arg(percent_arg())
        .after_help("Example: ebonyfork-lab load scenarios/hankeliit.ini --vm 127.0.0.1:7100 --load-percent 5")
}

fn percent_arg() -> Arg {
    Arg::new("load-percent")
        .long("load-percent")
        .value_name("N")
        .value_parser(value_parser!(f64))
        .help("Load of every variant, in per cent of the slots' capacity")
}

fn output_arg() -> Arg {
    Arg::new("output")
        .long("output")
        .value_name("FORM")
        .value_parser(["text", "json"])
        .default_value("text")
        .help("Form of the figures on standard output")
}

pub(super) async fn quickstart(matches: &ArgMatches) -> Result<ExitCode, LabError> {
    let scenario = Scenario::parse("quickstart.ini", QUICKSTART);
    run_and_print(scenario.map_err(scenario_error)?, matches).await
}

pub(super) async fn run(matches: &ArgMatches) -> Result<ExitCode, LabError> {
    let mut scenario = load_scenario(matches)?;
    if let Some(name) = matches.get_one::<String>("variant") {
        scenario.variants.retain(|variant| variant.name == *name);
    }
    run_and_print(scenario, matches).await
}

pub(super) async fn load(matches: &ArgMatches) -> Result<ExitCode, LabError> {
    let mut scenario = load_scenario(matches)?;
    scenario.faults.clear();
    scenario.variants.truncate(1);
    let addresses = matches.get_many::<SocketAddr>("vm").unwrap_or_default();
    let reports = send_load(&scenario, addresses.copied().collect(), &progress()).await;
    Ok(print_reports(&reports, matches))
}

fn load_scenario(matches: &ArgMatches) -> Result<Scenario, LabError> {
    let path = matches.get_one::<String>("scenario");
    let mut scenario = Scenario::load(path.map_or("", String::as_str))?;
    if let Some(percent) = matches.get_one::<f64>("load-percent") {
        for variant in &mut scenario.variants {
            variant.load_percent = *percent;
        }
    }
    Ok(scenario)
}

fn progress() -> ProgressFunction {
    ProgressFunction::new(|line| eprintln!("{line}"))
}

fn scenario_error(findings: ebonyfork::finding::FindingList) -> LabError {
    LabError::Scenario { findings }
}

/// Several runs of one load.
#[derive(Debug, Serialize)]
struct ComparedRuns<'a> {
    compare: &'a [RunReport],
}

async fn run_and_print(scenario: Scenario, matches: &ArgMatches) -> Result<ExitCode, LabError> {
    let runs = run_scenario(&scenario, &progress()).await?;
    Ok(print_reports(&runs, matches))
}

/// Prints figures and returns the exit status that goes with them.
fn print_reports(runs: &[RunReport], matches: &ArgMatches) -> ExitCode {
    let json = matches
        .get_one::<String>("output")
        .is_some_and(|form| form == "json");
    if json {
        print_json(runs);
    } else {
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = write_table(&mut text, runs);
        print!("{text}");
    }
    let clean = runs.iter().all(|run| run.violations.total() == 0);
    if clean {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(VIOLATED)
    }
}

/// Exit status of a run with a violation.
const VIOLATED: u8 = 1;

fn print_json(runs: &[RunReport]) {
    let text = match runs {
        [run] => serde_json::to_string(run),
        runs => serde_json::to_string(&ComparedRuns { compare: runs }),
    };
    match text {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("{error}"),
    }
}
