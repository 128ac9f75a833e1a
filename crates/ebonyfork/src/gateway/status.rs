//! Serves the metrics as text.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use prometheus_client::registry::Registry;
use tokio::net::TcpListener;

/// How long a connection may lie idle.
const IDLE_TIME: Duration = Duration::from_secs(10);
const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serves the metrics until the future is dropped.
pub async fn serve_metrics(registry: Registry, listener: TcpListener) {
    let registry = Rc::new(registry);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _peer)) => stream,
            Err(error) => {
                super::ingress::note_accept_error(&error).await;
                continue;
            }
        };
        let registry = Rc::clone(&registry);
        let service = service_fn(move |_request: Request<Incoming>| {
            let reply = encode(&registry);
            async move { Ok::<_, Infallible>(reply) }
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIME);
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("metrics connection: {error}");
            }
        });
    }
}

fn encode(registry: &Registry) -> Response<Full<Bytes>> {
    let mut text = String::new();
    let mut reply = match prometheus_client::encoding::text::encode(&mut text, registry) {
        Ok(()) => Response::new(Full::new(Bytes::from(text))),
        Err(error) => {
            log::error!("metrics not encoded: {error}");
            let mut reply = Response::new(Full::new(Bytes::new()));
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
