//! The command line's options and help.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clap_complete::Shell;
use ebonyfork::ident::{ClassName, OrganisationName, RequestFingerprint, RevisionNumber};
use ebonyfork::quantity::TimeSpan;

use crate::output::OutputForm;
use crate::status::ExitStatus;

const PLATFORM_VARIABLE: &str = "EBONYFORK_PLATFORM";

/// Builds the command line.
///
/// # Examples
///
/// ```
/// use ebonyforkctl::arguments::command_line;
///
/// let line = ["ebonyforkctl", "check", "declarations"];
/// let matches = command_line().try_get_matches_from(line)?;
/// assert_eq!(matches.subcommand_name(), Some("check"));
/// # Ok::<(), clap::Error>(())
/// ```
pub fn command_line() -> Command {
    Command::new("ebonyforkctl")
        .about("Checks, publishes and shows the declarations of the query tier")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(exit_help())
        .arg(platform_argument())
        .arg(output_argument())
        .arg(call_timeout_argument())
        .subcommands(declaration_commands())
        .subcommands(revision_commands())
        .subcommands(node_commands())
        .subcommand(quotas_command())
        .subcommand(completion_command())
}

fn exit_help() -> String {
    let mut text = String::from("Exit statuses:\n");
    for (status, words) in ExitStatus::ALL {
        let _infallible = writeln!(text, "  {:>2}  {words}", status.code());
    }
    text.push_str("\nExamples:\n");
    text.push_str("  ebonyforkctl check declarations\n");
    text.push_str("  ebonyforkctl --platform 10.0.0.5:7000 apply declarations --note 'more time for searches'\n");
    text.push_str("  ebonyforkctl --platform 10.0.0.5:7000 --output json status --revision 12\n");
    text
}

fn platform_argument() -> Arg {
    Arg::new("platform")
        .long("platform")
        .value_name("IP:PORT")
        .global(true)
        .value_parser(value_parser!(SocketAddr))
        .help(format!(
            "Address of the platform's store; default: the variable {PLATFORM_VARIABLE}"
        ))
}

fn output_argument() -> Arg {
    Arg::new("output")
        .long("output")
        .global(true)
        .value_parser(PossibleValuesParser::new(["text", "json"]))
        .default_value("text")
        .help("Form of the result on standard output; messages go to standard error")
}

fn call_timeout_argument() -> Arg {
    span_argument("call-timeout", "2s")
        .global(true)
        .help("Longest wait for one answer")
}

fn span_argument(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("SPAN")
        .default_value(default)
        .value_parser(value_parser!(TimeSpan))
}

fn directory_argument() -> Arg {
    Arg::new("directory")
        .value_name("DIR")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Directory of the declarations; every `*.ini` file below it counts")
}

fn declaration_commands() -> [Command; 2] {
    let check = Command::new("check")
        .about("Reports every finding in a directory of declarations, with file and line")
        .after_help("Example:\n  ebonyforkctl check declarations")
        .arg(directory_argument());
    let apply = Command::new("apply")
        .about("Publishes a directory of declarations and waits until every zone has shown it")
        .after_help(
            "Shows the difference to what is published, publishes, then waits for evidence: `accepted` means that \
             every zone has shown that all its live VMs hold the revision.\n\n\
             Examples:\n  ebonyforkctl apply declarations --note 'more time for searches'\n  \
             ebonyforkctl apply declarations --dry-run",
        )
        .arg(directory_argument())
        .arg(text_argument("note", "Why, in a few words; kept in the history").default_value(""))
        .arg(text_argument("author", "Who; default: the variable USER"))
        .arg(span_argument("timeout", "60s").help("Longest wait for the evidence"))
        .arg(
            Arg::new("dry-run")
                .long("dry-run")
                .action(ArgAction::SetTrue)
                .help("Show the difference and stop"),
        );
    [check, apply]
}

fn text_argument(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("TEXT").help(help)
}

fn revision_argument() -> Arg {
    Arg::new("revision")
        .long("revision")
        .value_name("N")
        .value_parser(value_parser!(RevisionNumber))
        .help("The revision; default: the newest")
}

fn revision_commands() -> [Command; 3] {
    let show = Command::new("show")
        .about("Shows the files of a revision")
        .after_help("Example:\n  ebonyforkctl show --revision 12")
        .arg(revision_argument());
    let history = Command::new("history")
        .about("Lists revisions, newest first")
        .after_help("Example:\n  ebonyforkctl history --limit 5")
        .arg(
            Arg::new("limit")
                .long("limit")
                .value_name("N")
                .default_value("20")
                .value_parser(value_parser!(usize))
                .help("The most revisions to list"),
        );
    let status = Command::new("status")
        .about("Tells whether a revision is accepted, and which zones or VMs lack it")
        .after_help("Example:\n  ebonyforkctl status --revision 12")
        .arg(revision_argument());
    [show, history, status]
}

fn node_commands() -> [Command; 4] {
    let entry = Arg::new("entry")
        .long("entry")
        .value_name("IP:PORT")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("Callers' port of a VM");
    let operator = Arg::new("operator")
        .long("operator")
        .value_name("IP:PORT")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("Operators' port of a VM");
    let organisation = Arg::new("organisation")
        .long("organisation")
        .value_name("NAME")
        .value_parser(value_parser!(OrganisationName))
        .help("The organisation to ask for");
    let query = Command::new("query")
        .about("Runs one query and prints the answer as callers get it")
        .after_help(
            "Example:\n  ebonyforkctl query tender-search --entry 10.0.0.1:7100 --organisation roofers --selection roofs",
        )
        .arg(
            Arg::new("class")
                .value_name("CLASS")
                .required(true)
                .value_parser(value_parser!(ClassName)),
        )
        .arg(entry.clone())
        .arg(organisation.clone().required(true))
        .arg(text_argument("selection", "What every shard is asked").default_value(""))
        .arg(text_argument("record", "Record that selects the shard of a one-shard class"))
        .arg(text_argument("key", "Idempotency key <session>.<sequence>"))
        .arg(span_argument("deadline", "10s").help("Longest wait for the answer"));
    let locate = Command::new("locate")
        .about("Asks a VM which addresses callers should use")
        .after_help("Example:\n  ebonyforkctl locate --entry 10.0.0.1:7100 --organisation roofers")
        .arg(entry)
        .arg(organisation);
    let node = Command::new("node")
        .about("Prints what a VM says about itself")
        .after_help("Example:\n  ebonyforkctl node --operator 10.0.0.1:7102")
        .arg(operator.clone());
    let quarantine = Command::new("quarantine")
        .about("Lists quarantined requests, or lifts one")
        .after_help(
            "Examples:\n  ebonyforkctl quarantine list --operator 10.0.0.1:7102\n  \
             ebonyforkctl quarantine lift 00c0ffee00c0ffee --operator 10.0.0.1:7102",
        )
        .subcommand_required(true)
        .subcommand(
            Command::new("list")
                .about("Lists them")
                .arg(operator.clone()),
        )
        .subcommand(
            Command::new("lift").about("Lifts one").arg(operator).arg(
                Arg::new("fingerprint")
                    .value_name("FINGERPRINT")
                    .required(true)
                    .value_parser(value_parser!(RequestFingerprint)),
            ),
        );
    [query, locate, node, quarantine]
}

fn quotas_command() -> Command {
    Command::new("quotas")
        .about("Shows organisations' limits, use and holders as one VM knows them")
        .after_help(
            "Counts cover the last one to two minutes of this VM: requests of its callers, and what it granted as the \
             holder of a part.\n\n\
             Examples:\n  ebonyforkctl quotas --node 10.0.0.1:7395\n  \
             ebonyforkctl quotas --node 10.0.0.1:7395 --organisation roofers --output json",
        )
        .arg(
            Arg::new("node")
                .long("node")
                .value_name("IP:PORT")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("Metrics address of a VM's gateway"),
        )
        .arg(
            Arg::new("organisation")
                .long("organisation")
                .value_name("NAME")
                .help("The organisation to show; default: all with a limit"),
        )
}

fn completion_command() -> Command {
    Command::new("completion")
        .about("Prints a completion script for a shell")
        .after_help(
            "Example:\n  ebonyforkctl completion bash > /etc/bash_completion.d/ebonyforkctl",
        )
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .required(true)
                .value_parser(value_parser!(Shell)),
        )
}

/// Options that all commands share.
#[derive(Debug, Clone)]
pub struct CommonOptions {
    /// Address of the platform's store.
    pub platform: Option<SocketAddr>,
    /// Form of the result.
    pub output: OutputForm,
    /// Longest wait for one answer.
    pub call_timeout: Duration,
}

impl CommonOptions {
    /// Reads them; the platform's address may come from the environment.
    pub fn new(matches: &ArgMatches) -> Self {
        let given = matches.get_one::<SocketAddr>("platform").copied();
        let variable = || std::env::var(PLATFORM_VARIABLE).ok()?.parse().ok();
        Self {
            platform: given.or_else(variable),
            output: OutputForm::new(
                matches
                    .get_one::<String>("output")
                    .map_or("text", String::as_str),
            ),
            call_timeout: span(matches, "call-timeout"),
        }
    }
}

/// Reads a span that has a default.
pub fn span(matches: &ArgMatches, name: &str) -> Duration {
    matches
        .get_one::<TimeSpan>(name)
        .map_or(Duration::ZERO, |span| span.0)
}
