//! `ebonyfork-lab spread`: how a change of the configuration reaches the VMs.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::command::interrupted;
use crate::command::soak::gateway_program;
use crate::error::LabError;
use crate::spread::{SpreadSettings, measure_spread};

pub(super) fn command() -> Command {
    let list = |name: &'static str, default: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("COUNT,...")
            .value_delimiter(',')
            .value_parser(value_parser!(u64))
            .default_value(default)
    };
    Command::new("spread")
        .about("Measures how changes of a configuration reach gateways that run as processes")
        .arg(list("vms", "9,78").help("VMs of each fleet, in three zones; a multiple of three"))
        .arg(list("routes", "50,500,1500").help("Routes of each configuration"))
        .arg(
            Arg::new("folder")
                .long("folder")
                .value_name("FOLDER")
                .value_parser(value_parser!(PathBuf))
                .default_value("out/spread")
                .help("Where settings and logs go"),
        )
        .after_help(
            "Example: ebonyfork-lab spread --vms 9,78,300 --routes 50,1500\n\n\
             The program ebonyfork-gateway is taken from the folder of this one.\n\
             Exit status: 0 measured, 1 interrupted, 2 the run itself failed",
        )
}

pub(super) async fn run(matches: &ArgMatches) -> Result<ExitCode, LabError> {
    let list = |name: &str| -> Vec<u64> {
        let values = matches.get_many::<u64>(name);
        values.map_or_else(Vec::new, |values| values.copied().collect())
    };
    let folder = matches
        .get_one::<PathBuf>("folder")
        .cloned()
        .unwrap_or_default();
    println!("  VMs routes    start s   change s  busiest kB  memory MB  peak MB");
    for vms in list("vms") {
        for routes in list("routes") {
            let settings = SpreadSettings {
                vms: vms as usize,
                routes,
                program: gateway_program()?,
                folder: folder.join(format!("{vms}-{routes}")),
            };
            let report = tokio::select! {
                report = measure_spread(&settings) => report?,
                // Dropping the run ends the processes that it started.
                () = interrupted() => return Ok(ExitCode::FAILURE),
            };
            println!("{report}");
        }
    }
    Ok(ExitCode::SUCCESS)
}
