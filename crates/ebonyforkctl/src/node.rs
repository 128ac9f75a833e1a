//! Commands that ask single VMs.

use std::net::SocketAddr;

use bytes::Bytes;
use clap::ArgMatches;
use compact_str::format_compact;
use ebonyfork::ident::{ClassName, OrganisationName, RequestFingerprint};
use http::{Method, Request, Response};
use http_body_util::Full;

use crate::arguments::{CommonOptions, span};
use crate::error::CtlError;
use crate::http_call::call;
use crate::output::print_line;
use crate::status::ExitStatus;

/// `query`: runs one query.
pub(crate) async fn run_query(matches: &ArgMatches) -> Result<ExitStatus, CtlError> {
    let class = matches.get_one::<ClassName>("class");
    let class = class.map_or("", ClassName::as_str);
    let deadline = span(matches, "deadline");
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(format!("/v1/query/{class}"))
        .header("x-deadline-ms", deadline.as_millis().to_string());
    if let Some(organisation) = matches.get_one::<OrganisationName>("organisation") {
        request = request.header("x-organisation", organisation.as_str());
    }
    for (option, header) in [("record", "x-record"), ("key", "idempotency-key")] {
        if let Some(text) = matches.get_one::<String>(option) {
            request = request.header(header, text);
        }
    }
    let selection = matches.get_one::<String>("selection").cloned();
    let body = Full::new(Bytes::from(selection.unwrap_or_default()));
    let response = call_vm(matches, "entry", request.body(body), deadline).await?;
    print_body(&response);
    Ok(done_if(response.status().is_success()))
}

/// `locate`: asks for the callers' addresses.
pub(crate) async fn run_locate(
    matches: &ArgMatches,
    options: &CommonOptions,
) -> Result<ExitStatus, CtlError> {
    let mut request = Request::builder().uri("/v1/locate");
    if let Some(organisation) = matches.get_one::<OrganisationName>("organisation") {
        request = request.header("x-organisation", organisation.as_str());
    }
    let request = request.body(Full::default());
    let response = call_vm(matches, "entry", request, options.call_timeout).await?;
    print_body(&response);
    Ok(done_if(response.status().is_success()))
}

/// `node`: prints a VM's status.
pub(crate) async fn run_node(
    matches: &ArgMatches,
    options: &CommonOptions,
) -> Result<ExitStatus, CtlError> {
    let request = Request::builder().uri("/status").body(Full::default());
    let response = call_vm(matches, "operator", request, options.call_timeout).await?;
    print_body(&response);
    Ok(done_if(response.status().is_success()))
}

/// `quarantine list` and `quarantine lift`.
pub(crate) async fn run_quarantine(
    matches: &ArgMatches,
    options: &CommonOptions,
) -> Result<ExitStatus, CtlError> {
    let (matches, request) = match matches.subcommand() {
        Some(("lift", matches)) => {
            let fingerprint = matches.get_one::<RequestFingerprint>("fingerprint");
            let fingerprint = fingerprint.map(ToString::to_string).unwrap_or_default();
            let request = Request::builder()
                .method(Method::DELETE)
                .uri(format!("/quarantine/{fingerprint}"));
            (matches, request)
        }
        Some((_, matches)) => (matches, Request::builder().uri("/quarantine")),
        None => return Ok(ExitStatus::Usage),
    };
    let request = request.body(Full::default());
    let response = call_vm(matches, "operator", request, options.call_timeout).await?;
    print_body(&response);
    Ok(done_if(response.status().is_success()))
}

/// Sends a request to the address that an option names.
pub(crate) async fn call_vm(
    matches: &ArgMatches,
    option: &str,
    request: Result<Request<Full<Bytes>>, http::Error>,
    within: std::time::Duration,
) -> Result<Response<Bytes>, CtlError> {
    let address = matches.get_one::<SocketAddr>(option).copied();
    let Some(address) = address else {
        let what = format_compact!("--{option} is missing");
        return Err(CtlError::Missing { what });
    };
    let request = request.map_err(|error| CtlError::Call {
        address,
        reason: format_compact!("{error}"),
    })?;
    let (mut head, body) = request.into_parts();
    if let Ok(host) = address.to_string().parse() {
        head.headers.insert(http::header::HOST, host);
    }
    call(address, Request::from_parts(head, body), within).await
}

fn print_body(response: &Response<Bytes>) {
    let body = String::from_utf8_lossy(response.body());
    print_line(body.trim_end());
}

fn done_if(success: bool) -> ExitStatus {
    if success {
        ExitStatus::Done
    } else {
        ExitStatus::Failed
    }
}
