//! Control addresses: readiness checks, and look-ups of the VMs that a caller should use.

use std::borrow::Borrow;
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
use crate::gateway::policy::homes::HostRegions;
use crate::gateway::reply::CallerReply;
use crate::gateway::route::{RouteTable, RouteTarget};
use crate::gateway::settings::NodePlace;
use crate::gateway::vms::{HostNeeds, ZoneShares, zone_shares};
use crate::intake::IntakeTable;

/// How long a caller may cache a locate answer. Some callers keep it three times as long, so callers have left a
/// stopping VM after 3 s, half of the stated grace time.
pub const LOCATE_TTL: Duration = Duration::from_secs(1);
/// How long the computed requirements of a host are cached.
const HOST_NEEDS_TTL: Duration = Duration::from_secs(1);

/// Serves the control calls on a listener until connections are to close.
pub async fn serve_control(core: Rc<GatewayCore>, listener: impl Borrow<TcpListener>) {
    let connections = core.connections.clone();
    let intake = IntakeTable::new(core.intake.budget().for_control());
    serve_http(listener, connections, intake, move |request| {
        handle_call(&core, request)
    })
    .await;
}

fn handle_call(core: &GatewayCore, request: &Request<Incoming>) -> CallerReply {
    if request.method() != Method::GET {
        return empty_reply(StatusCode::METHOD_NOT_ALLOWED);
    }
    match (core.dialect.read_call)(request.uri()) {
        None => empty_reply(StatusCode::NOT_FOUND),
        Some(ControlCall::Ready) if core.is_ready() => empty_reply(StatusCode::OK),
        Some(ControlCall::Ready) => empty_reply(StatusCode::SERVICE_UNAVAILABLE),
        Some(ControlCall::Locate(query)) => locate(core, &query),
    }
}

fn empty_reply(status: StatusCode) -> CallerReply {
    let mut reply = Response::new(Bytes::new().into());
    *reply.status_mut() = status;
    reply
}

fn locate(core: &GatewayCore, query: &LocateQuery) -> CallerReply {
    let place = &core.settings.place;
    let caller_place = NodePlace {
        zone: query.zone.clone(),
        region: query.region.clone(),
        ..place.clone()
    };
    let own_place = core.is_ready().then_some(place);
    let addresses = core
        .vms
        .locate(&caller_place, &host_needs(core, query), own_place);
    if addresses.is_empty() {
        // No VM is known to serve. The caller keeps its previous answer or asks elsewhere.
        return empty_reply(StatusCode::SERVICE_UNAVAILABLE);
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

/// Returns the requirements of a host's routes. Computing them visits every upstream of the host, so they are cached
/// briefly.
fn host_needs(core: &GatewayCore, query: &LocateQuery) -> Rc<HostNeeds> {
    let time = now();
    if let Some((computed_at, needs)) = core.host_needs.borrow().get(&query.host)
        && time.saturating_duration_since(*computed_at) < HOST_NEEDS_TTL
    {
        return Rc::clone(needs);
    }
    let needs = Rc::new(compute_host_needs(core, query));
    let mut cached_needs = core.host_needs.borrow_mut();
    cached_needs.retain(|_host, (computed_at, _needs)| {
        time.saturating_duration_since(*computed_at) < HOST_NEEDS_TTL
    });
    cached_needs.insert(query.host.clone(), (time, Rc::clone(&needs)));
    needs
}

fn compute_host_needs(core: &GatewayCore, query: &LocateQuery) -> HostNeeds {
    let Some(table) = core.table() else {
        return HostNeeds::default();
    };
    let routes = table.routes_of(&query.host).iter();
    HostNeeds {
        zones: upstream_zones(core, &table, query),
        regions: HostRegions::new(routes.map(|route| &route.home_regions)),
    }
}

/// Returns the zones of the upstreams that a host's queries over many shards need.
fn upstream_zones(core: &GatewayCore, table: &RouteTable, query: &LocateQuery) -> ZoneShares {
    // All routes over many shards of a host usually have the same shards.
    for route in table.routes_of(&query.host) {
        if let RouteTarget::Gather(terms) = &route.destination {
            return zone_shares(&core.registry, &terms.shards);
        }
    }
    ZoneShares::default()
}
