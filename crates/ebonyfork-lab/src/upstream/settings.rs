//! What an upstream is like.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use ebonyfork::ident::ServiceName;
use serde::Serialize;

use crate::upstream::service_time::ServiceTime;

/// One-way delay to the VM that a connection comes from.
pub type DelayFunction = Arc<dyn Fn(IpAddr) -> Duration + Send + Sync>;

/// An upstream is slower after its start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// How long.
    pub duration: Duration,
    /// What service times are multiplied by meanwhile.
    pub factor: f64,
}

/// State that an upstream reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamState {
    /// It takes work.
    Ready,
    /// It is leaving.
    Draining,
    /// It has just started.
    Cold,
}

/// Answer of the status endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct StatusReport {
    /// State.
    pub state: UpstreamState,
    /// Requests waiting and running, per slot.
    pub load: f64,
}

/// How truthful the status endpoint is.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum StatusMode {
    /// It says how things are.
    #[default]
    Truthful,
    /// It looks again only after this time.
    Lagging(Duration),
    /// It always says this.
    Fixed(StatusReport),
}

/// Settings of one upstream stand-in.
#[derive(Clone)]
pub struct UpstreamSettings {
    /// Address to listen on; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Its service.
    pub service: ServiceName,
    /// Requests that run at once.
    pub slots: u32,
    /// Requests that wait in its own queue; it sheds beyond.
    pub queue: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Time that a new connection costs.
    pub connection_cost: Duration,
    /// How long requests run.
    pub service_time: ServiceTime,
    /// How it behaves after a start.
    pub cold_start: Option<ColdStart>,
    /// How long it is away after a crash.
    pub crash_downtime: Duration,
    /// Distance to the VM at the other end of a connection.
    pub delay: DelayFunction,
    /// Seed of the service times.
    pub seed: u64,
}

impl fmt::Debug for UpstreamSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("UpstreamSettings")
            .field("listen", &self.listen)
            .field("service", &self.service)
            .field("slots", &self.slots)
            .field("connections", &self.connections)
            .field("service_time", &self.service_time)
            .finish_non_exhaustive()
    }
}

impl UpstreamSettings {
    /// Settings of a server of the search services: 2 slots, 25 connections at 5 ms each.
    pub fn new(listen: SocketAddr, service: ServiceName) -> Self {
        Self {
            listen,
            service,
            slots: 2,
            queue: 4,
            connections: 25,
            connection_cost: Duration::from_millis(5),
            service_time: ServiceTime::new(Duration::from_millis(10)),
            cold_start: None,
            crash_downtime: Duration::from_secs(2),
            delay: Arc::new(|_vm| Duration::ZERO),
            seed: 0,
        }
    }

    /// Replaces the slots; the own queue is twice as long.
    #[must_use]
    pub fn with_slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self.queue = slots * 2;
        self
    }

    /// Replaces the connection limit and what a new connection costs.
    #[must_use]
    pub fn with_connections(mut self, connections: u32, cost: Duration) -> Self {
        self.connections = connections;
        self.connection_cost = cost;
        self
    }

    /// Replaces the service time.
    #[must_use]
    pub fn with_service_time(mut self, time: ServiceTime) -> Self {
        self.service_time = time;
        self
    }

    /// Sets how it behaves after a start.
    #[must_use]
    pub fn with_cold_start(mut self, cold: ColdStart) -> Self {
        self.cold_start = Some(cold);
        self
    }

    /// Replaces how long it is away after a crash.
    #[must_use]
    pub fn with_crash_downtime(mut self, downtime: Duration) -> Self {
        self.crash_downtime = downtime;
        self
    }

    /// Sets the distance to each VM.
    #[must_use]
    pub fn with_delay(
        mut self,
        delay: impl Fn(IpAddr) -> Duration + Send + Sync + 'static,
    ) -> Self {
        self.delay = Arc::new(delay);
        self
    }

    /// Replaces the seed.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
