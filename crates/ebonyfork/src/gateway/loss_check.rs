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
const LOSS_CHECK_DELAY: Duration = Duration::from_millis(20);
/// Longest time for opening the connection that shows the upstream to be alive.
const LOSS_CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// Records that a connection broke under a request, and starts a check of the upstream unless one is running.
pub fn record_loss(
    core: &Rc<GatewayCore>,
    upstream: &Rc<Upstream>,
    lost_request: LostRequest,
) -> Rc<LossCheck> {
    let (check, is_new) = upstream.add_lost_request(lost_request);
    if is_new {
        let core = Rc::clone(core);
        let upstream = Rc::clone(upstream);
        let check = Rc::clone(&check);
        tokio::task::spawn_local(async move { check_upstream(&core, &upstream, &check).await });
    }
    check
}

/// Ends a check that has no verdict when it is dropped. Otherwise requests would wait for the verdict, and no later loss
/// of the upstream would be checked.
struct CheckGuard<'a> {
    upstream: &'a Upstream,
    check: &'a LossCheck,
}

impl Drop for CheckGuard<'_> {
    fn drop(&mut self) {
        if self.check.verdict() == LossVerdict::Pending {
            self.upstream.take_lost_requests();
            self.check.set(LossVerdict::Harmless);
        }
    }
}

async fn check_upstream(core: &GatewayCore, upstream: &Upstream, check: &LossCheck) {
    let _guard = CheckGuard { upstream, check };
    let broken_at = now();
    tokio::time::sleep(LOSS_CHECK_DELAY).await;
    let entry = upstream.entry();
    let connection = HttpLink::open(entry.address, LOSS_CHECK_TIMEOUT).await;
    let lost_requests = upstream.take_lost_requests();
    let Err(error) = connection else {
        check.set(LossVerdict::Harmless);
        return;
    };
    check.set(LossVerdict::Lost);
    log::info!(
        target: "ebonyfork::decision",
        "upstream lost instance={} address={} in_flight={}: {error}",
        entry.instance, entry.address, lost_requests.len()
    );
    let age = now().saturating_duration_since(broken_at);
    core.quarantine
        .report_loss_at(UpstreamAddress(entry.address), &lost_requests, age);
}

#[cfg(test)]
#[path = "loss_check_tests.rs"]
mod tests;
