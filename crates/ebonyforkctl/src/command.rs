//! Runs one command line.

use std::ffi::OsString;

use clap::ArgMatches;
use compact_str::format_compact;
use ebonyfork::store::StoreClient;
use ebonyfork_platform::PlatformStore;
use snafu::ResultExt;

use crate::arguments::{CommonOptions, command_line};
use crate::error::{CtlError, SystemSnafu};
use crate::output::OutputForm;
use crate::status::ExitStatus;
use crate::{node, publish, quotas, revisions};

/// Runs a command line and returns its exit status.
///
/// # Examples
///
/// ```
/// use ebonyforkctl::run;
/// use ebonyforkctl::status::ExitStatus;
///
/// assert_eq!(run(["ebonyforkctl", "chek", "declarations"]), ExitStatus::Usage);
/// ```
pub fn run(line: impl IntoIterator<Item = impl Into<OsString> + Clone>) -> ExitStatus {
    let matches = match command_line().try_get_matches_from(line) {
        Ok(matches) => matches,
        Err(error) => {
            let _gone = error.print();
            return if error.use_stderr() {
                ExitStatus::Usage
            } else {
                ExitStatus::Done
            };
        }
    };
    let options = CommonOptions::new(&matches);
    match run_matches(&matches, &options) {
        Ok(status) => status,
        Err(error) => {
            report_error(&error, &options);
            error.status()
        }
    }
}

/// Prints an error; findings are a result, so with `--output json` they go to standard output as such.
fn report_error(error: &CtlError, options: &CommonOptions) {
    if let (CtlError::Findings { findings }, OutputForm::Json) = (error, options.output) {
        let list: Vec<_> = findings
            .sorted()
            .map(|finding| {
                serde_json::json!({
                    "file": finding.location.file,
                    "line": finding.location.line,
                    "message": finding.message,
                })
            })
            .collect();
        options
            .output
            .print("", &serde_json::json!({ "findings": list }));
        return;
    }
    eprintln!("{error}");
}

fn run_matches(matches: &ArgMatches, options: &CommonOptions) -> Result<ExitStatus, CtlError> {
    match matches.subcommand() {
        Some(("completion", matches)) => Ok(print_completion(matches)),
        Some(("check", matches)) => publish::run_check(matches, options),
        Some((name, matches)) => {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .context(SystemSnafu)?;
            runtime.block_on(run_async(name, matches, options))
        }
        None => Ok(ExitStatus::Usage),
    }
}

async fn run_async(
    name: &str,
    matches: &ArgMatches,
    options: &CommonOptions,
) -> Result<ExitStatus, CtlError> {
    match name {
        "query" => node::run_query(matches).await,
        "locate" => node::run_locate(matches, options).await,
        "node" => node::run_node(matches, options).await,
        "quotas" => quotas::run_quotas(matches, options).await,
        "quarantine" => node::run_quarantine(matches, options).await,
        _ => {
            let client = platform_client(options)?;
            match name {
                "apply" => publish::run_apply(matches, options, &client).await,
                "show" => revisions::run_show(matches, options, &client).await,
                "history" => revisions::run_history(matches, options, &client).await,
                _ => revisions::run_status(matches, options, &client).await,
            }
        }
    }
}

fn platform_client(options: &CommonOptions) -> Result<StoreClient, CtlError> {
    let Some(address) = options.platform else {
        let what =
            format_compact!("--platform is missing, and so is the variable EBONYFORK_PLATFORM");
        return Err(CtlError::Missing { what });
    };
    Ok(StoreClient::new(
        PlatformStore::new(address),
        options.call_timeout,
    ))
}

fn print_completion(matches: &ArgMatches) -> ExitStatus {
    let shell = matches.get_one::<clap_complete::Shell>("shell").copied();
    let Some(shell) = shell else {
        return ExitStatus::Usage;
    };
    let mut command = command_line();
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut command, "ebonyforkctl", &mut script);
    crate::output::print_line(String::from_utf8_lossy(&script).trim_end());
    ExitStatus::Done
}
