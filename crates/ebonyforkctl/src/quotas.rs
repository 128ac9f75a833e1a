//! `quotas`: shows the quotas of organisations as one VM knows them.

use std::fmt::Write as _;
use std::net::SocketAddr;

use bytes::Bytes;
use clap::ArgMatches;
use compact_str::{CompactString, format_compact};
use ebonyfork::gateway::{HeldPartReport, OrganisationReport, PartReport, QuotaReport};
use ebonyfork::ident::VmAddress;
use http::Request;
use http_body_util::Full;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};

use crate::arguments::CommonOptions;
use crate::error::CtlError;
use crate::node::call_vm;
use crate::status::ExitStatus;

/// Runs the command.
pub(crate) async fn run_quotas(
    matches: &ArgMatches,
    options: &CommonOptions,
) -> Result<ExitStatus, CtlError> {
    let organisation = matches.get_one::<String>("organisation");
    let report = match organisation {
        Some(name) => read_report(matches, options, "organisation", name).await?,
        None => read_all(matches, options).await?,
    };
    if let (Some(name), []) = (organisation, report.organisations.as_slice()) {
        let version = describe_version(&report);
        let what = format_compact!("organisation {name} has no limit in {version}");
        return Err(CtlError::Missing { what });
    }
    options.output.print(describe_report(&report), &report);
    Ok(ExitStatus::Done)
}

/// Reads all pages of a VM's report.
async fn read_all(matches: &ArgMatches, options: &CommonOptions) -> Result<QuotaReport, CtlError> {
    let mut report = read_report(matches, options, "after", "").await?;
    while let Some(next) = report.next.take() {
        let page = read_report(matches, options, "after", next.as_str()).await?;
        report.organisations.extend(page.organisations);
        report.next = page.next;
    }
    Ok(report)
}

async fn read_report(
    matches: &ArgMatches,
    options: &CommonOptions,
    parameter: &str,
    name: &str,
) -> Result<QuotaReport, CtlError> {
    let name = utf8_percent_encode(name, NON_ALPHANUMERIC);
    let request = Request::builder().uri(format!("/quotas?{parameter}={name}"));
    let request = request.body(Full::<Bytes>::default());
    let response = call_vm(matches, "node", request, options.call_timeout).await?;
    let failed = |reason: CompactString| {
        let address = matches.get_one::<SocketAddr>("node").copied();
        let address = address.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)));
        CtlError::Call { address, reason }
    };
    if !response.status().is_success() {
        return Err(failed(format_compact!("status {}", response.status())));
    }
    // A gateway without this call answers every path with its metrics.
    let report = serde_json::from_slice(response.body());
    report.map_err(|error| {
        failed(format_compact!(
            "the answer is no report on quotas: {error}"
        ))
    })
}

fn describe_version(report: &QuotaReport) -> CompactString {
    report.version.map_or_else(
        || CompactString::const_new("no configuration"),
        |version| format_compact!("version {version}"),
    )
}

fn describe_report(report: &QuotaReport) -> String {
    let copy_age = report.copy_age_ms.map_or_else(
        || CompactString::const_new("never up to date"),
        |age| format_compact!("{age} ms old"),
    );
    let mut text = format!(
        "VM {}: {}, store copy {copy_age}, counts of the last {} s",
        report.vm,
        describe_version(report),
        report.counted_ms / 1_000
    );
    if report.uncounted > 0 {
        let _infallible = write!(
            text,
            "\n{} outcomes since the start are not in the counts: too many organisations",
            report.uncounted
        );
    }
    if report.organisations.is_empty() {
        text.push_str("\nno organisation has a limit");
    }
    for organisation in &report.organisations {
        describe_organisation(&mut text, organisation, report.vm);
    }
    text
}

fn describe_organisation(text: &mut String, organisation: &OrganisationReport, vm: VmAddress) {
    let _infallible = write!(
        text,
        "\n{}: limit {}/s, burst {}; requests here: granted {}",
        organisation.name, organisation.rate, organisation.burst, organisation.granted
    );
    for (reason, count) in &organisation.refused {
        if *count > 0 {
            let _infallible = write!(text, ", {reason} {count}");
        }
    }
    for part in &organisation.parts {
        describe_part(text, part, vm);
    }
}

fn describe_part(text: &mut String, part: &PartReport, vm: VmAddress) {
    let _infallible = write!(text, "\n  part {}: ", part.part);
    match (part.holder, &part.held) {
        (_, Some(held)) => describe_held(text, held),
        (Some(holder), None) if holder == vm => text.push_str("this VM, may not grant now"),
        (Some(holder), None) => {
            let _infallible = write!(text, "{holder} ({})", part.distance);
        }
        (None, None) => text.push_str("no holder"),
    }
    if part.is_silent {
        text.push_str(", did not answer");
    }
    if let Some(empty_for) = part.empty_for_ms {
        let _infallible = write!(text, ", empty for {empty_for} ms");
    }
}

fn describe_held(text: &mut String, held: &HeldPartReport) {
    let _infallible = write!(
        text,
        "this VM for {} s, {:.2} of {:.2} tokens, {:.2}/s; granted {}, refused {}, given back {}",
        held.held_for_ms / 1_000,
        held.tokens,
        held.capacity,
        held.rate,
        held.granted,
        held.refused,
        held.given_back
    );
}

#[cfg(test)]
#[path = "quotas_tests.rs"]
mod tests;
