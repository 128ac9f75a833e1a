//! Tells the other serving VMs of the zone of upstreams whose speed has changed, and applies what they tell.
//!
//! The decisions are in [`crate::gateway::policy::speed_advice`]. A lost message is not repeated: the advice in it would
//! have expired soon.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use tokio::sync::Notify;

use crate::gateway::clock::now;
use crate::gateway::core::GatewayCore;
use crate::gateway::ident::{InstanceName, StartTime, UpstreamIncarnation, UpstreamService};
use crate::gateway::metrics::OutcomeLabel;
use crate::gateway::policy::speed_advice::{
    AdviceUse, MAX_REPORTS, SpeedMessage, SpeedOutbox, SpeedReport,
};
use crate::gateway::upstream::Upstream;
use crate::wire::{LinkSender, PeerMessage};

/// Changes that are to be sent to the other VMs of the zone.
#[derive(Debug, Default)]
pub struct SpeedExchange {
    outbox: RefCell<SpeedOutbox>,
    /// Notified when a change is added.
    change_added: Notify,
}

/// Records how long an upstream took to answer an attempt that was sent to it at `sent_at`, and queues a message if the
/// other VMs should learn of it. Does nothing unless the settings call for shared speeds.
pub fn record_answer(
    core: &GatewayCore,
    upstream: &Upstream,
    sent_at: Instant,
    now: Instant,
    slowness: f64,
) {
    if !core.settings.placement.shares_upstream_speed {
        return;
    }
    let change = upstream
        .health
        .borrow_mut()
        .record_speed(sent_at, now, slowness);
    let Some(change) = change else { return };
    let entry = upstream.entry();
    let exchange = &core.speed_exchange;
    exchange.outbox.borrow_mut().add(SpeedReport {
        service: entry.service.as_str().into(),
        instance: entry.instance.as_str().into(),
        started: entry.started.map(|started| started.0),
        change,
    });
    exchange.change_added.notify_one();
}

/// Sends changes until the future is dropped.
pub async fn run_speed_exchange(core: Rc<GatewayCore>) {
    if !core.settings.placement.shares_upstream_speed {
        return;
    }
    loop {
        let due_at = core.speed_exchange.outbox.borrow().due_at();
        if let Some(due_at) = due_at {
            tokio::time::sleep_until(tokio::time::Instant::from_std(due_at)).await;
        }
        if core.speed_exchange.outbox.borrow().is_empty() {
            core.speed_exchange.change_added.notified().await;
        }
        let reports = core.speed_exchange.outbox.borrow_mut().take(now());
        if !reports.is_empty() {
            send_reports(&core, reports);
        }
    }
}

/// Sends a message to each other serving VM of the zone.
fn send_reports(core: &GatewayCore, reports: Vec<SpeedReport>) {
    let receivers = core.vms.serving_in_zone(&core.settings.place.zone);
    for report in &reports {
        log::info!(
            target: "ebonyfork::decision",
            "speed advice sent service={} upstream={} change={:?} vms={}",
            report.service,
            report.instance,
            report.change,
            receivers.len()
        );
        count(core, report.change.label());
    }
    let message = PeerMessage::Speed(SpeedMessage { reports });
    for receiver in receivers {
        let _sent = core.delegates.send_message(receiver, message.clone());
    }
}

/// Counts a change that was sent, or advice by its use.
fn count(core: &GatewayCore, label: &'static str) {
    let label = OutcomeLabel(label);
    core.metrics
        .placement
        .speed_advice
        .get_or_create(&label)
        .inc();
}

/// Handles the advice of another VM of the zone.
pub fn take_message(core: &GatewayCore, sender: &LinkSender, message: SpeedMessage) {
    let Some(peer) = sender.peer().map(|session| session.vm) else {
        log::debug!("speed advice on a link without a session");
        return;
    };
    let own_zone = &core.settings.place.zone;
    if core.vms.zone_of(peer).as_ref() != Some(own_zone) {
        log::debug!("speed advice from {peer}, which is not in zone {own_zone}");
        return;
    }
    apply_reports(core, message, &peer);
}

/// Applies the reports of a message to the upstreams that this VM knows.
fn apply_reports(core: &GatewayCore, message: SpeedMessage, peer: &crate::ident::VmAddress) {
    if !core.settings.placement.shares_upstream_speed {
        return;
    }
    let time = now();
    for report in message.reports.into_iter().take(MAX_REPORTS) {
        let Some(advice_use) = apply_report(core, &report, time) else {
            continue;
        };
        log::info!(
            target: "ebonyfork::decision",
            "speed advice received from={peer} service={} upstream={} change={:?} use={}",
            report.service,
            report.instance,
            report.change,
            advice_use.label()
        );
        count(core, advice_use.label());
    }
}

/// Applies a report; `None` if this VM doesn't know that incarnation of the upstream.
fn apply_report(core: &GatewayCore, report: &SpeedReport, time: Instant) -> Option<AdviceUse> {
    let service = UpstreamService::new(&report.service);
    let incarnation = UpstreamIncarnation::new(
        InstanceName::new(&report.instance),
        report.started.map(StartTime),
    );
    let upstreams = core.registry.upstreams(&service);
    let is_reported = |upstream: &&Rc<Upstream>| upstream.entry().incarnation() == incarnation;
    let upstream = upstreams.iter().find(is_reported)?;
    let advice_use = upstream
        .health
        .borrow_mut()
        .receive_speed(report.change, time);
    Some(advice_use)
}

#[cfg(test)]
#[path = "speed_exchange_tests.rs"]
mod tests;
