//! What a VM does with requests while it knows that its configuration may be an old one.
//!
//! That its copy of the store is old alone says nothing: when the store is away, all copies are, and all VMs go on serving.
//! A newer version that other VMs have in force says that some routes have changed, but not which. So the VM asks one of
//! those VMs about each route once, and a route that is as it was is served on. Any other request is refused as not run:
//! the caller comes back on another VM, which has the route as it is now.
//!
//! The same holds while the copy is up to date and other VMs have had a newer version for longer than a change may take: the
//! store came back from an older copy without it, and this VM started since or had not heard of it before.
//!
//! Asked is one of the VMs that read the store themselves: only these tell their version in gossip.

mod message;
mod state;

use std::time::Duration;

pub use message::RouteCheckMessage;
pub use state::RouteChecks;

use self::state::{RouteStanding, RouteVerdict};
use crate::gateway::clock::now;
use crate::gateway::core::GatewayCore;
use crate::gateway::refusal::RefusalReason;
use crate::gateway::route::{RouteEntry, RouteTable};
use crate::wire::{LinkSender, PeerMessage};

/// Longest wait for another VM's word about a route: twice the way between regions (12 to 20 ms) and a busy VM's turn, and
/// less than the latency target of every class so far.
const VERDICT_TIME: Duration = Duration::from_millis(80);

/// Makes sure that a route is as the newest configuration has it, as far as this VM can know of that.
pub async fn check_route(
    core: &GatewayCore,
    table: &RouteTable,
    route: &RouteEntry,
) -> Result<(), RefusalReason> {
    let checks = &core.route_checks;
    let old = core.may_have_stale_config();
    let (newest, vm) = match checks.standing(table.version(), &route.name, old) {
        RouteStanding::Certain => return Ok(()),
        RouteStanding::Unknown => return Err(RefusalReason::OldConfig),
        RouteStanding::Ask { newest, vm } => (newest, vm),
    };
    let (number, verdict) = checks.begin();
    let question = RouteCheckMessage::Ask {
        number,
        host: route.host.clone(),
        prefix: route.prefix.clone(),
    };
    let asked = now();
    let told = core
        .delegates
        .send_message(vm, PeerMessage::RouteCheck(question));
    let verdict = if told {
        tokio::time::timeout(VERDICT_TIME, verdict).await
    } else {
        Ok(Ok(RouteVerdict::default()))
    };
    // A VM that does not answer, and one that knows no better, leave the question open.
    let verdict = verdict.ok().and_then(Result::ok).unwrap_or_default();
    let same = verdict.mark == table.scope_digest(&route.host, &route.prefix);
    let settled = verdict.version >= newest && verdict.mark.is_some();
    log::info!(
        target: "ebonyfork::decision",
        "route check route={} version={} newest={newest} vm={vm} answered={} same={same} took_ms={}",
        route.name,
        table.version(),
        verdict.version,
        now().saturating_duration_since(asked).as_millis()
    );
    if settled && same {
        checks.note_same(&route.name, verdict.version);
        return Ok(());
    }
    Err(RefusalReason::OldConfig)
}

/// Takes in what another VM asks or tells about a route.
pub fn take_message(core: &GatewayCore, from: &LinkSender, message: RouteCheckMessage) {
    match message {
        RouteCheckMessage::Ask {
            number,
            host,
            prefix,
        } => {
            let table = core.table();
            let verdict = table.map(|table| RouteVerdict {
                version: table.version(),
                mark: table.scope_digest(&host, &prefix),
            });
            let verdict = verdict.unwrap_or_default();
            let verdict = RouteCheckMessage::Verdict {
                number,
                version: verdict.version.0,
                mark: verdict.mark,
            };
            if let Err(error) = from.send(PeerMessage::RouteCheck(verdict)) {
                log::debug!("route verdict for {:?}: {error}", from.peer());
            }
        }
        RouteCheckMessage::Verdict {
            number,
            version,
            mark,
        } => core.route_checks.settle(number, version, mark),
    }
}

#[cfg(test)]
#[path = "route_check_tests.rs"]
mod tests;
