//! Leases shares of the retry budget's slack between the VMs of a zone: each standby VM is asked by one serving VM.

use std::rc::Rc;
use std::time::Duration;

use crate::gateway::core::GatewayCore;
use crate::gateway::policy::budget::ShareMessage;
use crate::gateway::vms::rendezvous;
use crate::ident::VmAddress;
use crate::wire::{LinkSender, PeerMessage};

/// Time between two requests for a VM's share. Two of them may be lost before the lease ends.
const REQUEST_PERIOD: Duration = Duration::from_secs(1);

/// Shares on lease as last logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LeasedShares {
    borrowed: usize,
    lent_to: Option<VmAddress>,
}

/// Requests shares until the future is dropped.
pub async fn run_leases(core: Rc<GatewayCore>, own_address: VmAddress) {
    let mut last_logged = None;
    loop {
        tokio::time::sleep(REQUEST_PERIOD).await;
        let roles = core.vms.zone_roles(&core.settings.place);
        let is_serving = roles.serving.contains(&own_address);
        if is_serving && core.is_ready() {
            for owner in roles.idle {
                if rendezvous(&roles.serving, owner) == Some(own_address) {
                    request_share(&core, owner);
                }
            }
        }
        report_shares(&core, &mut last_logged);
    }
}

fn request_share(core: &GatewayCore, owner: VmAddress) {
    let number = core
        .retry_budget
        .borrow_mut()
        .request(owner, core.running_time());
    let message = PeerMessage::Share(ShareMessage::Request { number });
    // A VM that can't be reached is asked again in the next round.
    let _sent = core.delegates.send_message(owner, message);
}

/// Updates the metrics with the shares on lease, and logs them if they have changed.
fn report_shares(core: &GatewayCore, last_logged: &mut Option<LeasedShares>) {
    let time = core.running_time();
    let account = core.retry_budget.borrow();
    let leased = LeasedShares {
        borrowed: account.borrowed_count(time),
        lent_to: account.lent_to(time),
    };
    core.metrics.borrowed_shares.set(leased.borrowed as u64);
    if *last_logged == Some(leased) {
        return;
    }
    *last_logged = Some(leased);
    let lent_to = leased.lent_to.map(|vm| vm.to_string());
    log::info!(
        target: "ebonyfork::decision",
        "repeat shares borrowed={} lent_to={} vms={}",
        leased.borrowed,
        lent_to.as_deref().unwrap_or("-"),
        core.vms.peak_count()
    );
}

/// Handles a request for a share, or the answer to one, from another VM.
pub fn take_message(core: &GatewayCore, sender: &LinkSender, message: ShareMessage) {
    let Some(peer) = sender.peer().map(|session| session.vm) else {
        log::debug!("share message on a link without a session: {message:?}");
        return;
    };
    let time = core.running_time();
    match message {
        ShareMessage::Request { number } => {
            let answer = answer_request(core, peer, number, time);
            if let Err(error) = sender.send(PeerMessage::Share(answer)) {
                // The share stays unused until the lease ends.
                log::debug!("share answer for {peer} not sent: {error}");
            }
        }
        ShareMessage::Granted { number } => {
            let is_accepted = core
                .retry_budget
                .borrow_mut()
                .accept_grant(peer, number, time);
            if !is_accepted {
                log::info!("share of {peer} not accepted: request {number} is not pending");
            }
        }
        ShareMessage::Refused { number } => log::debug!("request {number} refused by {peer}"),
    }
}

fn answer_request(
    core: &GatewayCore,
    peer: VmAddress,
    number: u64,
    time: Duration,
) -> ShareMessage {
    let own_address = VmAddress(core.settings.place.address);
    let roles = core.vms.zone_roles(&core.settings.place);
    let is_serving = roles.serving.contains(&own_address);
    let result = core.retry_budget.borrow_mut().lend(peer, is_serving, time);
    if let Err(refusal) = result {
        log::debug!("share not lent to {peer}: {refusal}");
        return ShareMessage::Refused { number };
    }
    ShareMessage::Granted { number }
}
