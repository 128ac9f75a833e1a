//! Checks routes with other VMs while this VM's configuration may be outdated.
//!
//! A stale copy of the store alone is no reason to refuse requests: when the store is unreachable, all copies are stale
//! and all VMs go on serving. If other VMs have a newer configuration version in force, some routes have changed, but
//! it is not known which. So the VM checks each route once with one of those VMs and goes on serving the routes that
//! are unchanged. Any other request is refused as not run: the caller retries on another VM, which has the current
//! route.
//!
//! Routes are also checked while the copy is up to date, if other VMs have had a newer version for longer than a change
//! may take to be in force. The store was then restored from an older copy without that version, and this VM started
//! after that or had not received the version before.
//!
//! Only VMs that read the store directly announce their version in gossip, so a route is always checked with one of
//! these.

mod message;
mod state;

use std::time::Duration;

pub use message::RouteCheckMessage;
pub use state::RouteChecks;

use self::state::{RouteFreshness, RouteState};
use crate::gateway::clock::now;
use crate::gateway::core::GatewayCore;
use crate::gateway::organisation::CredentialDigest;
use crate::gateway::refusal::RefusalReason;
use crate::gateway::route::{RouteEntry, RouteTable};
use crate::wire::{LinkSender, PeerMessage};

/// Maximum wait for another VM's response: two network trips between regions (12 to 20 ms) plus queueing on a busy VM,
/// and less than the latency target of every class so far.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(80);

/// Checks with another VM that a route, and the organisation of a credential on it, are the same in the newest configuration version that other VMs have in force.
/// Returns [`RefusalReason::OldConfig`] if the route differs there or could not be compared.
pub async fn check_route(
    core: &GatewayCore,
    table: &RouteTable,
    route: &RouteEntry,
    credential: Option<CredentialDigest>,
) -> Result<(), RefusalReason> {
    let checks = &core.route_checks;
    let may_be_outdated = core.may_have_stale_config();
    let access = (route.name.clone(), credential);
    let freshness = checks.freshness(table.version(), &access, may_be_outdated);
    let (newest_version, vm) = match freshness {
        RouteFreshness::Current => return Ok(()),
        RouteFreshness::Unknown => return Err(RefusalReason::OldConfig),
        RouteFreshness::CheckWith { newest_version, vm } => (newest_version, vm),
    };
    let (request_number, response) = checks.register_request();
    let request = RouteCheckMessage::Request {
        request_number,
        host: route.host.clone(),
        prefix: route.prefix.clone(),
        credential: credential.map(CredentialDigest::to_bytes),
    };
    let requested_at = now();
    let is_sent = core
        .delegates
        .send_message(vm, PeerMessage::RouteCheck(request));
    let response = if is_sent {
        tokio::time::timeout(RESPONSE_TIMEOUT, response).await
    } else {
        Ok(Ok(RouteState::default()))
    };
    // Without a response, or with one from a VM that has no newer version, the check is inconclusive.
    let response = response.ok().and_then(Result::ok).unwrap_or_default();
    let own_mark = table.access_digest(&route.host, &route.prefix, credential);
    let is_same = response.scope_mark == own_mark;
    let is_conclusive = response.version >= newest_version && response.scope_mark.is_some();
    log::info!(
        target: "ebonyfork::decision",
        "route check route={} version={} newest={newest_version} vm={vm} answered={} same={is_same} took_ms={}",
        route.name,
        table.version(),
        response.version,
        now().saturating_duration_since(requested_at).as_millis()
    );
    if is_conclusive && is_same {
        checks.record_match(access, response.version);
        return Ok(());
    }
    Err(RefusalReason::OldConfig)
}

/// Answers another VM's request over `link`, or delivers its response to the check that waits for it.
pub fn handle_message(core: &GatewayCore, link: &LinkSender, message: RouteCheckMessage) {
    match message {
        RouteCheckMessage::Request {
            request_number,
            host,
            prefix,
            credential,
        } => {
            let credential = credential.map(CredentialDigest::from_bytes);
            let table = core.table();
            let response = table.map(|table| RouteState {
                version: table.version(),
                scope_mark: table.access_digest(&host, &prefix, credential),
            });
            let response = response.unwrap_or_default();
            let response = RouteCheckMessage::Response {
                request_number,
                version: response.version.0,
                scope_mark: response.scope_mark,
            };
            if let Err(error) = link.send(PeerMessage::RouteCheck(response)) {
                log::debug!(
                    "route check response to {:?} not sent: {error}",
                    link.peer()
                );
            }
        }
        RouteCheckMessage::Response {
            request_number,
            version,
            scope_mark,
        } => core
            .route_checks
            .complete_request(request_number, version, scope_mark),
    }
}

#[cfg(test)]
#[path = "route_check_tests.rs"]
mod tests;
