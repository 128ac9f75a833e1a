//! Tells a connection that broke from an upstream that was lost, and reports what was in flight at a lost one.
//!
//! A request that crashes upstreams shows only by this. An upstream that merely resets one connection still accepts
//! another, so after a break a new connection is tried; only if that fails counts the upstream as lost.

use std::rc::Rc;
use std::time::Duration;

use crate::gateway::clock::now;
use crate::gateway::core::GatewayCore;
use crate::gateway::loss::{LossCheck, LossFinding};
use crate::gateway::upstream::Upstream;
use crate::http_link::HttpLink;
use crate::ident::UpstreamAddress;
use crate::quarantine::LostRequest;

/// How long after a break the upstream is looked at: by then a crashed one no longer accepts.
const CHECK_DELAY: Duration = Duration::from_millis(20);
/// Longest wait for a connection that shows the upstream alive.
const CHECK_TIME: Duration = Duration::from_millis(250);

/// Notes that a connection broke under a request.
pub fn note_loss(
    core: &Rc<GatewayCore>,
    upstream: &Rc<Upstream>,
    lost: LostRequest,
) -> Rc<LossCheck> {
    let (check, first) = upstream.add_lost(lost);
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
    let opened = HttpLink::open(entry.address, CHECK_TIME).await;
    let lost = upstream.take_lost();
    let Err(error) = opened else {
        check.note(LossFinding::Harmless);
        return;
    };
    check.note(LossFinding::Lost);
    log::info!(
        target: "ebonyfork::decision",
        "upstream lost instance={} address={} in_flight={}: {error}",
        entry.instance, entry.address, lost.len()
    );
    let age = now().saturating_duration_since(broken);
    core.quarantine
        .report_loss_at(UpstreamAddress(entry.address), &lost, age);
}
