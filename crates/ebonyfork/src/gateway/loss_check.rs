//! Distinguishes a broken connection from a lost upstream and reports the requests that were in flight at a lost one.
//!
//! This is the only way to detect a request that crashes upstreams. An upstream that merely resets one connection
//! accepts another, so a new connection is tried after a break. Only if that fails does the upstream count as lost.

use std::rc::Rc;
use std::time::Duration;

use crate::gateway::clock::now;
use crate::gateway::core::GatewayCore;
use crate::gateway::loss::{LossCheck, LossVerdict};
use crate::gateway::upstream::Upstream;
use crate::http_link::HttpLink;
use crate::ident::UpstreamAddress;
use crate::quarantine::LostRequest;

/// Delay between a break and the check of the upstream. By then a crashed upstream no longer accepts connections.
const CHECK_DELAY: Duration = Duration::from_millis(20);
/// Longest time for opening the connection that shows the upstream to be alive.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// Records that a connection broke under a request, and starts a check of the upstream unless one is running.
pub fn record_loss(
    core: &Rc<GatewayCore>,
    upstream: &Rc<Upstream>,
    lost: LostRequest,
) -> Rc<LossCheck> {
    let (check, first) = upstream.add_lost_request(lost);
    if first {
        let core = Rc::clone(core);
        let upstream = Rc::clone(upstream);
        let check = Rc::clone(&check);
        tokio::task::spawn_local(async move { check_upstream(&core, &upstream, &check).await });
    }
    check
}

async fn check_upstream(core: &GatewayCore, upstream: &Upstream, check: &LossCheck) {
    let broken = now();
    tokio::time::sleep(CHECK_DELAY).await;
    let entry = upstream.entry();
    let opened = HttpLink::open(entry.address, CHECK_TIMEOUT).await;
    let lost = upstream.take_lost_requests();
    let Err(error) = opened else {
        check.set(LossVerdict::Harmless);
        return;
    };
    check.set(LossVerdict::Lost);
    log::info!(
        target: "ebonyfork::decision",
        "upstream lost instance={} address={} in_flight={}: {error}",
        entry.instance, entry.address, lost.len()
    );
    let age = now().saturating_duration_since(broken);
    core.quarantine
        .report_loss_at(UpstreamAddress(entry.address), &lost, age);
}
