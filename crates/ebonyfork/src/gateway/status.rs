//! Serves the state of this process to the operators: the metrics in the OpenMetrics text format, and the quotas as JSON.

use std::borrow::Borrow;
use std::rc::Rc;

use bytes::Bytes;
use http::{Method, Response, StatusCode, Uri, header};
use percent_encoding::percent_decode_str;
use prometheus_client::registry::Registry;
use tokio::net::TcpListener;

use crate::gateway::core::GatewayCore;
use crate::gateway::http_server::serve_http;
use crate::gateway::organisation::OrganisationName;
use crate::gateway::quota::QuotaQuery;
use crate::gateway::reply::CallerReply;
use crate::intake::IntakeTable;

const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
const JSON: &str = "application/json";
/// Path of the state of the quotas. Every other path returns the metrics.
const QUOTAS_PATH: &str = "/quotas";

/// Serves the state of the process on a listener until connections are to close.
pub async fn serve_status(
    core: Rc<GatewayCore>,
    registry: Rc<Registry>,
    listener: impl Borrow<TcpListener>,
) {
    let connections = core.connections.clone();
    let intake = IntakeTable::new(core.intake.budget().for_control());
    let answer = move |method: &Method, uri: &Uri| match uri.path() {
        QUOTAS_PATH if method == Method::GET => encode_quotas(&core, uri),
        QUOTAS_PATH => status_reply(StatusCode::METHOD_NOT_ALLOWED),
        _ => {
            core.refresh_copy_gauges();
            encode_metrics(&registry)
        }
    };
    serve_http(listener, connections, intake, move |request| {
        answer(request.method(), request.uri())
    })
    .await;
}

fn encode_metrics(registry: &Registry) -> CallerReply {
    let mut text = String::new();
    match prometheus_client::encoding::text::encode(&mut text, registry) {
        Ok(()) => content_reply(text.into(), OPENMETRICS),
        Err(error) => {
            log::error!("metrics not encoded: {error}");
            status_reply(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn encode_quotas(core: &GatewayCore, uri: &Uri) -> CallerReply {
    let report = core.report_quotas(&read_query(uri));
    match serde_json::to_vec(&report) {
        Ok(body) => content_reply(body.into(), JSON),
        Err(error) => {
            log::error!("quotas not encoded: {error}");
            status_reply(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Reads which organisations are asked for: `organisation=NAME`, or `after=NAME` for the next page.
fn read_query(uri: &Uri) -> QuotaQuery {
    for pair in uri.query().unwrap_or_default().split('&') {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        let name = OrganisationName::new(percent_decode_str(value).decode_utf8_lossy());
        match key {
            "organisation" => return QuotaQuery::Only(name),
            "after" => return QuotaQuery::After(name),
            _ => {}
        }
    }
    QuotaQuery::First
}

fn content_reply(body: Bytes, content_type: &'static str) -> CallerReply {
    let mut reply = Response::new(body.into());
    let content_type = header::HeaderValue::from_static(content_type);
    reply
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    reply
}

fn status_reply(status: StatusCode) -> CallerReply {
    let mut reply = Response::new(Bytes::new().into());
    *reply.status_mut() = status;
    reply
}
