//! Metrics of membership.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric, MetricEncoder};
use prometheus_client::metrics::MetricType;
use tokio::time::Instant;

use crate::membership::event::MemberCounters;

/// Label values for [`MemberCounters::dropped_datagrams`], in the same order.
const DROP_CAUSES: [&str; 6] = [
    "foreign",
    "version",
    "deployment",
    "malformed",
    "source",
    "stale",
];
/// Label values for [`MemberMetrics::state_counts`], in the same order.
const STATE_NAMES: [&str; 4] = ["alive", "suspect", "leaving", "failed"];

/// Counters and gauges of membership in one process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MemberMetrics {
    /// Counters since the process started.
    pub counters: MemberCounters,
    /// Number of other members in each state: alive, suspect, leaving, failed.
    pub state_counts: [u32; 4],
    /// When the last datagram arrived from a peer; none if never.
    pub last_received: Option<Instant>,
}

/// Encodes the membership metrics when they are scraped.
#[derive(Debug)]
pub(super) struct MemberCollector {
    metrics: Arc<Mutex<MemberMetrics>>,
}

impl MemberCollector {
    pub(super) fn new(metrics: Arc<Mutex<MemberMetrics>>) -> Self {
        Self { metrics }
    }
}

impl Collector for MemberCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let metrics = *self.metrics.lock().unwrap_or_else(PoisonError::into_inner);
        let counters = &metrics.counters;
        let counter_metrics = [
            (
                "member_sent_datagrams",
                "Datagrams sent",
                counters.sent_datagrams,
            ),
            (
                "member_sent_bytes",
                "Bytes sent, with IP and UDP headers",
                counters.sent_bytes,
            ),
            (
                "member_received_datagrams",
                "Datagrams believed",
                counters.received_datagrams,
            ),
            (
                "member_received_bytes",
                "Bytes received, with headers",
                counters.received_bytes,
            ),
            (
                "member_withheld_datagrams",
                "Datagrams that the byte budget did not bear",
                counters.withheld_datagrams,
            ),
            (
                "member_suspicions",
                "Members that this process began to suspect",
                counters.suspicions,
            ),
            (
                "member_failures",
                "Suspects whose time ran out here",
                counters.failures,
            ),
            (
                "member_refutations",
                "Suspicions of itself refuted",
                counters.refutations,
            ),
            (
                "member_pauses",
                "Pauses of this process that it noticed",
                counters.pauses,
            ),
            (
                "member_superseded",
                "Words of a newer incarnation on this VM",
                counters.superseded,
            ),
            (
                "member_unreachable",
                "Listed VMs that answered no ping",
                counters.unreachable,
            ),
        ];
        for (name, help, value) in counter_metrics {
            let metric = encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
            encode_counter(metric, value)?;
        }
        let help = "Datagrams dropped unbelieved";
        let name = "member_dropped_datagrams";
        let mut family = encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
        for (cause, value) in DROP_CAUSES.into_iter().zip(counters.dropped_datagrams) {
            encode_counter(family.encode_family(&[("cause", cause)])?, value)?;
        }
        let help = "Other members by what is believed about them";
        let mut family = encoder.encode_descriptor("members", help, None, MetricType::Gauge)?;
        for (state, value) in STATE_NAMES.into_iter().zip(metrics.state_counts) {
            let labels = [("state", state)];
            let mut metric = family.encode_family(&labels)?;
            metric.encode_gauge(&value)?;
        }
        Ok(())
    }
}

fn encode_counter(metric: MetricEncoder<'_>, value: u64) -> Result<(), fmt::Error> {
    prometheus_client::metrics::counter::ConstCounter::new(value).encode(metric)
}
