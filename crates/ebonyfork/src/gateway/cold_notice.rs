//! Notifies other VMs of upstreams that have become cold, and applies their notices. The rules are in
//! [`crate::gateway::policy::cold`].

use std::cell::RefCell;
use std::time::Duration;

use crate::gateway::clock::now;
use crate::gateway::core::GatewayCore;
use crate::gateway::ident::UpstreamService;
use crate::gateway::policy::cold::{ColdMessage, ColdReport, MAX_COLD_REPORTS};
use crate::ident::VmAddress;
use crate::wire::{LinkSender, PeerMessage};

/// Upstreams that have become cold since the last notice.
#[derive(Debug, Default)]
pub struct ColdOutbox {
    reports: RefCell<Vec<ColdReport>>,
}

impl GatewayCore {
    /// Returns whether requests to cold upstreams of a service are limited.
    fn limits_cold_sends(&self, service: &UpstreamService) -> bool {
        let Some((cold_bound, table)) = self.settings.cold_bound.zip(self.table()) else {
            return false;
        };
        let service_terms = table.service(service);
        service_terms.is_some_and(|terms| cold_bound.pace(terms.cold_rate).is_some())
    }

    /// Adds an upstream to the next notice, if requests to it are limited while it is cold.
    pub fn queue_cold_notice(
        &self,
        service: &UpstreamService,
        instance: &str,
        remaining: Duration,
    ) {
        if self.limits_cold_sends(service) {
            let report = ColdReport::new(service.as_str(), instance, remaining);
            self.cold_outbox.reports.borrow_mut().push(report);
        }
    }

    /// Sends the queued notices to other VMs.
    pub fn send_cold_notices(&self, receivers: impl Fn() -> Vec<VmAddress>) {
        let reports = self.cold_outbox.reports.take();
        if reports.is_empty() {
            return;
        }
        self.send_cold_reports(&reports, &receivers());
    }

    /// Drops the queued notices: another VM has read the same changes from the store.
    pub fn drop_cold_notices(&self) {
        self.cold_outbox.reports.borrow_mut().clear();
    }

    fn send_cold_reports(&self, reports: &[ColdReport], receivers: &[VmAddress]) {
        for report in reports {
            log::info!(
                target: "ebonyfork::decision",
                "cold notice sent service={} upstream={} remaining_ms={} vms={}",
                report.service, report.instance, report.remaining_ms, receivers.len()
            );
        }
        for message in ColdMessage::from_reports(reports) {
            for receiver in receivers {
                // A VM that can't be reached can't be notified; its copy of the store becomes stale.
                let _sent = self
                    .delegates
                    .send_message(*receiver, PeerMessage::Cold(message.clone()));
            }
        }
    }
}

/// Treats the upstreams of a notice as cold. What is news to this VM is passed on to the VMs that follow it.
pub fn take_message(core: &GatewayCore, sender: &LinkSender, message: ColdMessage) {
    let Some(peer) = sender.peer().map(|session| session.vm) else {
        return;
    };
    let reports = message.reports.into_iter().take(MAX_COLD_REPORTS);
    let news: Vec<ColdReport> = reports
        .filter(|report| apply_report(core, report, peer))
        .collect();
    if !news.is_empty() {
        let mut receivers = core.relay.follower_vms();
        receivers.retain(|vm| *vm != peer);
        core.send_cold_reports(&news, &receivers);
    }
}

/// Applies a report. Returns whether it was news: this VM knows the upstream and took it for warm.
fn apply_report(core: &GatewayCore, report: &ColdReport, peer: VmAddress) -> bool {
    let service = UpstreamService::new(&report.service);
    let Some(assumed_time) = report
        .assumed_time()
        .filter(|_time| core.limits_cold_sends(&service))
    else {
        return false;
    };
    let upstreams = core.registry.upstreams(&service);
    let mut upstreams = upstreams.iter();
    let Some(upstream) =
        upstreams.find(|upstream| upstream.entry().instance.as_str() == report.instance)
    else {
        return false;
    };
    let time = now();
    let is_news = !upstream.is_cold(time);
    upstream.assume_cold(time + assumed_time);
    if is_news {
        log::info!(
            target: "ebonyfork::decision",
            "cold notice received from={peer} service={} upstream={} remaining_ms={}",
            report.service, report.instance, report.remaining_ms
        );
    }
    is_news
}

#[cfg(test)]
#[path = "cold_notice_tests.rs"]
mod tests;
