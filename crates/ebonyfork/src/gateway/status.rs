//! Serves the metrics in the OpenMetrics text format.

use bytes::Bytes;
use http::{Response, StatusCode, header};
use prometheus_client::registry::Registry;
use tokio::net::TcpListener;

use crate::gateway::http_server::serve_http;
use crate::gateway::reply::CallerReply;

const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serves the metrics on a listener until the future is dropped.
pub async fn serve_metrics(registry: Registry, listener: TcpListener) {
    serve_http(listener, move |_request| encode(&registry)).await;
}

fn encode(registry: &Registry) -> CallerReply {
    let mut text = String::new();
    let mut reply = match prometheus_client::encoding::text::encode(&mut text, registry) {
        Ok(()) => Response::new(Bytes::from(text).into()),
        Err(error) => {
            log::error!("metrics not encoded: {error}");
            let mut reply = Response::new(Bytes::new().into());
            *reply.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            reply
        }
    };
    reply.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static(OPENMETRICS),
    );
    reply
}
