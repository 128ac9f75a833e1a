//! `ebonyfork-lab upstream`: upstream stand-ins as a process of their own.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use ebonyfork::catalog::IndexCatalog;
use ebonyfork::ident::{IndexName, ServiceName};
use ebonyfork::quantity::TimeSpan;
use snafu::ResultExt;

use crate::clock::RunClock;
use crate::command::interrupted;
use crate::error::{JsonSnafu, LabError, ReadFileSnafu};
use crate::journal::Journal;
use crate::upstream::{ServiceTime, UpstreamSettings, UpstreamStandIn};

pub(super) fn command() -> Command {
    Command::new("upstream")
        .about("Runs a stand-in for one upstream server")
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("IP:PORT")
                .value_parser(value_parser!(SocketAddr))
                .required(true)
                .help("Address to listen on"),
        )
        .arg(
            Arg::new("service")
                .long("service")
                .value_name("NAME")
                .value_parser(value_parser!(ServiceName))
                .required(true)
                .help("Service that it belongs to"),
        )
        .arg(
            Arg::new("catalog")
                .long("catalog")
                .value_names(["INDEX", "FILE"])
                .num_args(2)
                .action(ArgAction::Append)
                .help("Index catalogue, JSON; it holds the shards listed there for its service"),
        )
        .arg(
            Arg::new("slots")
                .long("slots")
                .value_name("N")
                .value_parser(value_parser!(u32).range(1..))
                .default_value("2")
                .help("Requests that run at once"),
        )
        .arg(
            Arg::new("connections")
                .long("connections")
                .value_name("N")
                .value_parser(value_parser!(u32).range(1..))
                .default_value("25")
                .help("Connections that it accepts"),
        )
        .arg(span_arg(
            "connection-cost",
            "5ms",
            "Time that a new connection costs",
        ))
        .arg(span_arg("mean", "10ms", "Mean service time"))
        .after_help(
            "Example: ebonyfork-lab upstream --listen 127.0.0.1:7201 --service tender-00 \
             --catalog tender tender.json",
        )
}

fn span_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("TIME")
        .value_parser(value_parser!(TimeSpan))
        .default_value(default)
        .help(help)
}

fn span(matches: &ArgMatches, name: &str) -> Duration {
    matches
        .get_one::<TimeSpan>(name)
        .map_or(Duration::ZERO, |span| span.0)
}

pub(super) async fn run(matches: &ArgMatches) -> Result<ExitCode, LabError> {
    let listen = matches.get_one::<SocketAddr>("listen");
    let service = matches.get_one::<ServiceName>("service");
    let (Some(listen), Some(service)) = (listen, service) else {
        return Ok(ExitCode::FAILURE);
    };
    let number = |name| matches.get_one::<u32>(name).copied().unwrap_or(1);
    let settings = UpstreamSettings::new(*listen, service.clone())
        .with_slots(number("slots"))
        .with_connections(number("connections"), span(matches, "connection-cost"))
        .with_service_time(ServiceTime::new(span(matches, "mean")));
    let journal = Journal::new(RunClock::start());
    let upstream = UpstreamStandIn::start(settings, &journal).await?;
    let catalogs = matches.get_occurrences::<String>("catalog");
    for mut value in catalogs.into_iter().flatten() {
        let (Some(index), Some(path)) = (value.next(), value.next()) else {
            continue;
        };
        let Ok(index) = index.parse::<IndexName>() else {
            eprintln!("`{index}` is not an index name");
            return Ok(ExitCode::FAILURE);
        };
        let text = std::fs::read(path).context(ReadFileSnafu { path })?;
        let catalog: IndexCatalog = serde_json::from_slice(&text).context(JsonSnafu { path })?;
        upstream.hold_listed(&index, &catalog);
    }
    eprintln!("upstream stand-in of {service} on {}", upstream.address());
    interrupted().await;
    for log in journal.logs() {
        let records = log.records();
        let (requests, most) = (records.executions.len(), records.max_connections);
        eprintln!("{requests} shard requests, at most {most} connections");
    }
    Ok(ExitCode::SUCCESS)
}
