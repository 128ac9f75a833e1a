//! `ebonyfork-lab platform`: the platform stand-in as a process of its own.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use snafu::ResultExt;

use crate::command::interrupted;
use crate::error::{JsonSnafu, LabError, ReadFileSnafu};
use crate::platform::PlatformStandIn;

pub(super) fn command() -> Command {
    Command::new("platform")
        .about("Runs a stand-in for the platform's store, with a VM list in it")
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("IP:PORT")
                .value_parser(value_parser!(SocketAddr))
                .default_value("127.0.0.1:7000")
                .help("Address to listen on"),
        )
        .arg(
            Arg::new("vms")
                .long("vms")
                .value_name("FILE")
                .help("VM list, a JSON array of its lines"),
        )
        .arg(
            Arg::new("value")
                .long("put")
                .value_names(["KEY", "FILE"])
                .num_args(2)
                .action(clap::ArgAction::Append)
                .help("Stores a file under a key before the first call, say an index catalogue"),
        )
        .after_help("Example: ebonyfork-lab platform --listen 127.0.0.1:7000 --vms vms.json")
}

pub(super) async fn run(matches: &ArgMatches) -> Result<ExitCode, LabError> {
    let Some(listen) = matches.get_one::<SocketAddr>("listen") else {
        return Ok(ExitCode::FAILURE);
    };
    let platform = PlatformStandIn::start(*listen).await?;
    if let Some(path) = matches.get_one::<String>("vms") {
        let text = read(path)?;
        let vms = serde_json::from_slice(&text).context(JsonSnafu { path })?;
        platform.set_vms(vms);
    }
    let values = matches.get_occurrences::<String>("value");
    for mut value in values.into_iter().flatten() {
        let (Some(key), Some(path)) = (value.next(), value.next()) else {
            continue;
        };
        platform.store().put(key, read(path)?);
    }
    eprintln!("platform stand-in on {}", platform.address());
    interrupted().await;
    eprintln!("{:?}", platform.store().calls());
    Ok(ExitCode::SUCCESS)
}

fn read(path: &str) -> Result<Vec<u8>, LabError> {
    std::fs::read(path).context(ReadFileSnafu { path })
}
