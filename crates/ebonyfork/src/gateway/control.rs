//! The control addresses: readiness, and which VMs a caller should use.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use tokio::net::TcpListener;

use crate::gateway::clock::now;
use crate::gateway::core::GatewayCore;
use crate::gateway::dialect::{ControlCall, LocateQuery, LocateReply};
use crate::gateway::http_server::serve_http;
use crate::gateway::reply::CallerReply;
use crate::gateway::route::RouteTarget;
use crate::gateway::settings::NodePlace;
use crate::gateway::vms::{ZoneShares, zone_shares};

/// How long a caller may keep a locate answer. Some keep it three times as long, so callers have left a stopping VM
/// after 3 s, half of the stated grace time.
pub const LOCATE_TTL: Duration = Duration::from_secs(1);
/// How long it is kept where a host's upstreams are.
const HOMES_KEPT: Duration = Duration::from_secs(1);

/// Serves the control calls on a listener until the future is dropped.
pub async fn serve_control(core: Rc<GatewayCore>, listener: TcpListener) {
    serve_http(listener, move |request| answer(&core, request)).await;
}

fn answer(core: &GatewayCore, request: &Request<Incoming>) -> CallerReply {
    if request.method() != Method::GET {
        return plain(StatusCode::METHOD_NOT_ALLOWED);
    }
    match (core.dialect.read_call)(request.uri()) {
        None => plain(StatusCode::NOT_FOUND),
        Some(ControlCall::Ready) if core.is_ready() => plain(StatusCode::OK),
        Some(ControlCall::Ready) => plain(StatusCode::SERVICE_UNAVAILABLE),
        Some(ControlCall::Locate(query)) => locate(core, &query),
    }
}

fn plain(status: StatusCode) -> CallerReply {
    let mut reply = Response::new(Bytes::new().into());
    *reply.status_mut() = status;
    reply
}

fn locate(core: &GatewayCore, query: &LocateQuery) -> CallerReply {
    let place = &core.settings.place;
    let asker = NodePlace {
        zone: query.zone.clone(),
        region: query.region.clone(),
        ..place.clone()
    };
    let own = core.is_ready().then_some(place);
    let addresses = core.vms.locate(&asker, &host_homes(core, query), own);
    if addresses.is_empty() {
        // Nobody is known to serve; the caller keeps what it has or asks elsewhere.
        return plain(StatusCode::SERVICE_UNAVAILABLE);
    }
    log::debug!(
        target: "ebonyfork::decision",
        "locate host={} zone={} addresses={addresses:?}",
        query.host, query.zone
    );
    let reply = LocateReply {
        addresses,
        ttl: LOCATE_TTL,
    };
    let (content_type, body) = (core.dialect.write_locate)(&reply);
    let mut reply = Response::new(body.into());
    reply
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    reply
}

/// Where the upstreams are that a host's queries over many shards need. Reckoning it takes a look at every upstream of
/// the host, so it is kept for a moment.
fn host_homes(core: &GatewayCore, query: &LocateQuery) -> Rc<ZoneShares> {
    let time = now();
    if let Some((reckoned, homes)) = core.homes.borrow().get(&query.host)
        && time.saturating_duration_since(*reckoned) < HOMES_KEPT
    {
        return Rc::clone(homes);
    }
    let homes = Rc::new(reckon_homes(core, query));
    let mut kept = core.homes.borrow_mut();
    kept.retain(|_host, (reckoned, _homes)| time.saturating_duration_since(*reckoned) < HOMES_KEPT);
    kept.insert(query.host.clone(), (time, Rc::clone(&homes)));
    homes
}

fn reckon_homes(core: &GatewayCore, query: &LocateQuery) -> ZoneShares {
    let Some(table) = core.table() else {
        return ZoneShares::default();
    };
    // All routes over many shards of a host usually name the same shards.
    for route in table.routes_of(&query.host) {
        if let RouteTarget::Gather(terms) = &route.destination {
            return zone_shares(&core.registry, &terms.shards);
        }
    }
    ZoneShares::default()
}
