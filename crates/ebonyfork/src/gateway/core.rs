//! State shared by all requests of one process. A single thread runs them all, so nothing here needs a lock.

use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use rustc_hash::FxHashMap;
use tokio::sync::watch;

use crate::gateway::aggregate_table::AggregateTable;
use crate::gateway::clock::{boot_time, now};
use crate::gateway::cold_claims::ColdClaims;
use crate::gateway::cold_notice::ColdOutbox;
use crate::gateway::connection_drain::ConnectionDrain;
use crate::gateway::copy_watch::CopyWatch;
use crate::gateway::delegate::DelegateTable;
use crate::gateway::dialect::GatewayDialect;
use crate::gateway::flight::InFlightCount;
use crate::gateway::follow::FollowerStatus;
use crate::gateway::ident::{ConfigVersion, RouteName, UpstreamService};
use crate::gateway::metrics::GatewayMetrics;
use crate::gateway::mirror::{FreshnessTimings, MirrorRelay};
use crate::gateway::policy::answer_lag::AnswerLag;
use crate::gateway::policy::budget::LeasedRetryBudget;
use crate::gateway::policy::hopeless::ReturnSpread;
use crate::gateway::policy::intake::IntakeBudget;
use crate::gateway::policy::route_latency::RouteLatency;
use crate::gateway::policy::shutdown::ShutdownCut;
use crate::gateway::quota::QuotaDesk;
use crate::gateway::refusal::RefusalReason;
use crate::gateway::registry::{RETURN_GRACE, UpstreamList, UpstreamRegistry};
use crate::gateway::route::{RouteEntry, RouteTable, WeightedService};
use crate::gateway::route_check::RouteChecks;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::speed_exchange::SpeedExchange;
use crate::gateway::tasks::TaskStates;
use crate::gateway::upstream::Upstream;
use crate::gateway::vms::{HostNeeds, VmDirectory};
use crate::gateway::weights::WeightedRoundRobin;
use crate::ident::{IncarnationNumber, SessionId, VmAddress};
use crate::intake::IntakeTable;
use crate::quarantine::QuarantineHandle;
use crate::store::StoreEra;

/// Fraction of an upstream's connections that all VMs together use. The rest is headroom for VMs that have just joined
/// or left.
const CONNECTION_UTILIZATION: f64 = 0.9;
/// Connections that one upstream is assumed to accept until a configuration states the number.
const DEFAULT_CONNECTIONS: usize = 16;

/// Whether the process accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceState {
    /// The process accepts requests and is listed in locate answers.
    Serving,
    /// The process accepts requests, but callers are directed to other VMs.
    Leaving,
    /// The process refuses new requests and completes those in flight.
    Draining,
}

/// State shared by all requests of a process.
#[derive(Debug)]
pub struct GatewayCore {
    /// Settings of the process.
    pub settings: GatewaySettings,
    /// Identifies this run of the process on this VM.
    pub session: SessionId,
    /// Protocols of the deployment.
    pub dialect: GatewayDialect,
    /// Registered upstreams.
    pub registry: UpstreamRegistry,
    /// Our own VMs.
    pub vms: VmDirectory,
    /// Budget of retries and hedges that may still be sent.
    pub retry_budget: RefCell<LeasedRetryBudget>,
    /// Spreads the returns of callers whose queries can't be answered.
    pub return_spread: RefCell<ReturnSpread>,
    /// Delays between deciding on an answer and writing it.
    pub answer_lag: Rc<RefCell<AnswerLag>>,
    /// Distributes the requests of weighted routes among their services.
    pub round_robin: WeightedRoundRobin,
    /// Shards of queries that other VMs gather for this one.
    pub delegates: DelegateTable,
    /// Shards of queries that this VM gathers for others.
    pub aggregates: AggregateTable,
    /// Placement requirements of each host's routes, with the time at which they were computed.
    pub host_needs: RefCell<FxHashMap<CompactString, (Instant, Rc<HostNeeds>)>>,
    /// Passes the store's changes on to VMs that follow this one.
    pub relay: MirrorRelay,
    /// State of the task that follows the store.
    pub follower: FollowerStatus,
    /// What has been reported of the copy of the store.
    pub copy_watch: CopyWatch,
    /// Compares the routes of this VM's configuration with those of other VMs.
    pub route_checks: RouteChecks,
    /// Claims that decide which VM sends to cold upstreams.
    pub cold_claims: ColdClaims,
    /// Upstreams of whose becoming cold other VMs are to be notified.
    pub cold_outbox: ColdOutbox,
    /// Tokens of organisations' quotas.
    pub quota_desk: QuotaDesk,
    /// Changes of upstreams' speed that the other VMs of the zone are to learn of.
    pub speed_exchange: SpeedExchange,
    /// Latest era of the store that this VM knows of.
    era: watch::Sender<StoreEra>,
    /// Quarantine of requests that crash upstreams.
    pub quarantine: QuarantineHandle,
    /// Counters and histograms.
    pub metrics: GatewayMetrics,
    /// Which long-lived tasks are down.
    pub tasks: TaskStates,
    /// Time at which the process started, on the monotonic clock.
    pub started: Instant,
    /// Time at which the process started, on the clock that includes suspensions.
    started_since_boot: Duration,
    state: Rc<Cell<ServiceState>>,
    /// Requests that are answered at once because of a planned shutdown.
    shutdown_cut: watch::Sender<ShutdownCut>,
    /// Requests in flight, each until its answer has been passed to the kernel.
    pub in_flight: InFlightCount,
    /// What callers hold, and the budget for it.
    pub intake: IntakeTable,
    /// Open connections of callers and of control calls.
    pub connections: ConnectionDrain,
    table: RefCell<Option<Rc<RouteTable>>>,
    latencies: RefCell<FxHashMap<RouteName, Rc<RefCell<RouteLatency>>>>,
}

/// Returns the session of this process.
fn own_session(settings: &GatewaySettings) -> SessionId {
    // The wall clock only distinguishes sessions. If it has stepped back, peers learn of the newer session through
    // refutation.
    let incarnation = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64);
    let own_address = VmAddress(settings.place.address);
    SessionId::new(own_address, IncarnationNumber(incarnation))
}

impl GatewayCore {
    /// Creates the state of a process that has just started.
    pub fn new(settings: GatewaySettings, dialect: GatewayDialect) -> Self {
        let retry_budget = LeasedRetryBudget::new(settings.budget);
        let metrics = GatewayMetrics::default();
        let max_age = FreshnessTimings::new(settings.change_bound).max_age;
        let session = own_session(&settings);
        Self {
            session,
            dialect,
            registry: UpstreamRegistry::new(),
            vms: VmDirectory::new(settings.listen.caller_address),
            retry_budget: RefCell::new(retry_budget),
            return_spread: RefCell::new(ReturnSpread::new(rand::random())),
            answer_lag: Rc::new(RefCell::new(AnswerLag::new(settings.place.cores))),
            round_robin: WeightedRoundRobin::new(),
            host_needs: RefCell::default(),
            relay: MirrorRelay::new(max_age, metrics.sent_change_bytes.clone()),
            follower: FollowerStatus::default(),
            copy_watch: CopyWatch::default(),
            route_checks: RouteChecks::default(),
            delegates: DelegateTable::default(),
            aggregates: AggregateTable::default(),
            cold_claims: ColdClaims::new(session),
            cold_outbox: ColdOutbox::default(),
            quota_desk: QuotaDesk::new(session, settings.quota_bound.window),
            speed_exchange: SpeedExchange::default(),
            era: watch::Sender::default(),
            quarantine: QuarantineHandle::new(),
            metrics,
            tasks: TaskStates::default(),
            started: now(),
            started_since_boot: boot_time(),
            state: Rc::new(Cell::new(ServiceState::Serving)),
            shutdown_cut: watch::Sender::default(),
            in_flight: InFlightCount::default(),
            intake: IntakeTable::new(IntakeBudget::new(
                settings.capacity.memory_bytes,
                settings.capacity.descriptors,
            )),
            connections: ConnectionDrain::default(),
            table: RefCell::default(),
            latencies: RefCell::default(),
            settings,
        }
    }

    /// Returns the configuration in force.
    pub fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Puts a configuration in force unless the current one is the same or newer. Returns whether it did.
    pub fn install_table(&self, table: RouteTable) -> bool {
        let current_version = self.table.borrow().as_ref().map(|table| table.version());
        if current_version.is_some_and(|current_version| current_version >= table.version()) {
            return false;
        }
        let is_configured = |name: &RouteName| table.route_names().any(|other| other == name);
        self.latencies
            .borrow_mut()
            .retain(|name, _latency| is_configured(name));
        self.route_checks.clear_matches();
        self.host_needs.borrow_mut().clear();
        *self.table.borrow_mut() = Some(Rc::new(table));
        self.redistribute_shares();
        self.compare_own_version();
        true
    }

    /// Compares the configuration version in force with those of other VMs.
    pub fn compare_own_version(&self) {
        let own_version = self
            .table()
            .map_or(ConfigVersion(0), |table| table.version());
        self.route_checks.note_own_version(own_version, now());
    }

    /// Returns whether the configuration in force may be stale: changes may not have reached this VM, or the store has
    /// lost a version that other VMs have in force.
    pub fn may_have_stale_config(&self) -> bool {
        let own_version = self
            .table()
            .map_or(ConfigVersion(0), |table| table.version());
        let change_bound = self.settings.change_bound;
        self.relay.is_stale()
            || self
                .route_checks
                .is_overdue(own_version, now(), change_bound)
    }

    /// Returns whether a credential may have been removed without this VM having learnt of it, on a deployment that
    /// doesn't accept that.
    pub fn may_lack_credential_removal(&self) -> bool {
        let Some(max_age) = self.settings.credential_max_age else {
            return false;
        };
        self.relay.copy_age().is_none_or(|age| age > max_age)
    }

    /// Returns the reason for refusing a request that no route matches. A VM whose configuration may be stale can't
    /// tell that the route does not exist, so the caller is asked to try another VM, which may know it.
    pub fn no_route_reason(&self) -> RefusalReason {
        if self.may_have_stale_config() {
            RefusalReason::OldConfig
        } else {
            RefusalReason::NoRoute
        }
    }

    /// Returns the upstreams of a service that are in the home regions of a route.
    pub fn home_region_upstreams(
        &self,
        route: &RouteEntry,
        service: &UpstreamService,
    ) -> UpstreamList {
        let mut upstreams = self.registry.upstreams(service);
        if route.home_regions.is_limited() {
            let region_of = |upstream: &Upstream| {
                let zone = &upstream.entry().zone;
                self.settings.place.region_of(zone).cloned()
            };
            upstreams.retain(|upstream| route.home_regions.allows(region_of(upstream).as_ref()));
        }
        upstreams
    }

    /// Returns those of a route's weighted services that have an upstream in its home regions. The weights apply among
    /// these services. Evacuating a zone does not shift requests from one service to another.
    pub fn home_region_services<'a>(
        &self,
        route: &RouteEntry,
        weighted_services: &'a [WeightedService],
    ) -> Cow<'a, [WeightedService]> {
        if !route.home_regions.is_limited() {
            return Cow::Borrowed(weighted_services);
        }
        let has_home_region_upstream = |candidate: &&WeightedService| {
            let upstreams = self.home_region_upstreams(route, &candidate.service);
            upstreams.iter().any(|upstream| !upstream.is_leaving())
        };
        Cow::Owned(
            weighted_services
                .iter()
                .filter(has_home_region_upstream)
                .cloned()
                .collect(),
        )
    }

    /// Returns the attempt latencies of a route.
    pub fn latency(&self, route: &RouteEntry) -> Rc<RefCell<RouteLatency>> {
        if let Some(latency) = self.latencies.borrow().get(&route.name) {
            return Rc::clone(latency);
        }
        let latency = Rc::<RefCell<RouteLatency>>::default();
        let mut latencies = self.latencies.borrow_mut();
        latencies.insert(route.name.clone(), Rc::clone(&latency));
        latency
    }

    /// Returns how many connections this process may hold to one upstream of a service.
    pub fn connection_share(&self, service: &UpstreamService) -> usize {
        let table = self.table.borrow();
        let service_terms = table.as_ref().and_then(|table| table.service(service));
        let total_connections = service_terms.map_or(DEFAULT_CONNECTIONS, |service_terms| {
            service_terms.connections
        });
        let connections =
            total_connections as f64 * CONNECTION_UTILIZATION / self.vms.count() as f64;
        (connections as usize).max(1)
    }

    /// Redistributes connections and the retry budget among the known VMs.
    pub fn redistribute_shares(&self) {
        let vm_count = self.vms.peak_count();
        let time = self.running_time();
        self.retry_budget.borrow_mut().set_vm_count(vm_count, time);
        self.registry.for_each(|upstream| {
            let connection_share = self.connection_share(&upstream.entry().service);
            upstream.set_connection_share(connection_share);
        });
    }

    /// Records that the store has entered an era. Claims that rest on a write in an earlier era become void.
    pub fn enter_era(&self, era: StoreEra) {
        self.cold_claims.enter_era(era, self.running_time());
        self.quota_desk.enter_era(era, self.running_time());
        self.era.send_if_modified(|known_era| {
            let is_later = era > *known_era;
            *known_era = era.max(*known_era);
            is_later
        });
    }

    /// Records that the store answers again after an outage, for this VM and those that follow it. Only a VM that calls
    /// the store notices an outage, but the removals of entries that expired meanwhile reach all VMs.
    pub fn record_store_return(&self) {
        self.registry.record_store_return(now());
        self.relay.announce_store_return(RETURN_GRACE);
    }

    /// Keeps missing entries for a time because the VM that this one follows does so after an outage of the store.
    pub fn keep_missing_entries(&self, grace: Duration) {
        if self.registry.keep_missing_entries(grace, now()) {
            log::info!(
                target: "ebonyfork::decision",
                "store returned: missing upstreams are kept grace_ms={}",
                grace.as_millis()
            );
            self.relay.announce_store_return(grace);
        }
    }

    /// Subscribes to increases of the store's era.
    pub fn eras(&self) -> watch::Receiver<StoreEra> {
        self.era.subscribe()
    }

    /// Returns whether new requests are accepted.
    pub fn state(&self) -> ServiceState {
        self.state.get()
    }

    /// Returns the shared cell that holds whether new requests are accepted.
    pub fn shared_state(&self) -> Rc<Cell<ServiceState>> {
        Rc::clone(&self.state)
    }

    /// Sets which requests are answered at once because of a planned shutdown.
    pub fn set_shutdown_cut(&self, cut: ShutdownCut) {
        self.shutdown_cut.send_if_modified(|current_cut| {
            let has_changed = *current_cut != cut;
            *current_cut = cut;
            has_changed
        });
    }

    /// Subscribes to changes of the requests that are answered at once because of a planned shutdown.
    pub fn shutdown_cuts(&self) -> watch::Receiver<ShutdownCut> {
        self.shutdown_cut.subscribe()
    }

    /// Waits until requests of which nothing has been sent are answered at once.
    pub async fn unsent_cut(&self) {
        let mut cuts = self.shutdown_cuts();
        // Fails only if the sender is gone, which lives as long as `self`.
        let _cut = cuts.wait_for(|cut| cut.includes(false)).await;
    }

    /// Sets whether new requests are accepted.
    pub fn set_state(&self, state: ServiceState) {
        self.state.set(state);
    }

    /// Returns whether callers should be sent here: a configuration is in force, the store has been read to its end, other
    /// VMs are not better off, no task is down that callers need, and no shutdown has begun.
    pub fn is_ready(&self) -> bool {
        self.state.get() == ServiceState::Serving
            && self.table.borrow().is_some()
            && self.relay.copy_age().is_some()
            && self.copy_watch.is_fit()
            && !self.tasks.hinders_callers()
    }

    /// Returns the time since the start without suspensions of the VM.
    pub fn uptime(&self) -> Duration {
        now().saturating_duration_since(self.started)
    }

    /// Returns the time since the start including suspensions of the VM. Leases between VMs expire by this clock.
    pub fn running_time(&self) -> Duration {
        boot_time()
            .saturating_sub(self.started_since_boot)
            .max(self.uptime())
    }
}

#[cfg(test)]
#[path = "core_tests.rs"]
mod tests;
