//! What all requests of one process share. One thread runs them all, so nothing here needs a lock.

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
use crate::gateway::delegate::DelegateTable;
use crate::gateway::dialect::GatewayDialect;
use crate::gateway::flight::FlightCount;
use crate::gateway::ident::{ConfigVersion, RouteName, UpstreamService};
use crate::gateway::metrics::GatewayMetrics;
use crate::gateway::mirror::{FreshnessTimings, MirrorRelay};
use crate::gateway::policy::answer_lag::AnswerLag;
use crate::gateway::policy::budget::RepeatAccount;
use crate::gateway::policy::route_latency::RouteLatency;
use crate::gateway::refusal::RefusalReason;
use crate::gateway::registry::{UpstreamList, UpstreamRegistry};
use crate::gateway::route::{RouteEntry, RouteTable, WeightedService};
use crate::gateway::route_check::RouteChecks;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::upstream::Upstream;
use crate::gateway::vms::{HostNeeds, VmDirectory};
use crate::gateway::weights::WeightShares;
use crate::ident::{IncarnationNumber, SessionId, VmAddress};
use crate::quarantine::QuarantineHandle;
use crate::store::StoreEra;

/// Share of an upstream's connections that all VMs together use: the rest is for VMs that have just come or gone.
const CONNECTION_SHARE: f64 = 0.9;
/// Connections that one upstream is assumed to accept while no configuration states it.
const CONNECTIONS_ASSUMED: usize = 16;

/// Whether the process takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceState {
    /// It takes requests and is named to callers.
    Serving,
    /// It takes requests, but callers are told to go elsewhere.
    Leaving,
    /// It refuses new requests and ends those it has.
    Finishing,
}

/// State that all requests of a process share.
#[derive(Debug)]
pub struct GatewayCore {
    /// The settings.
    pub settings: GatewaySettings,
    /// This life of this VM's process.
    pub session: SessionId,
    /// The deployment's protocols.
    pub dialect: GatewayDialect,
    /// The upstreams.
    pub registry: UpstreamRegistry,
    /// Our own VMs.
    pub vms: VmDirectory,
    /// Repeats that may still be sent.
    pub repeats: RefCell<RepeatAccount>,
    /// How late this process's answers are after the decision on them.
    pub lag: Rc<RefCell<AnswerLag>>,
    /// What each service of a weighted route is owed.
    pub shares: WeightShares,
    /// Parts of queries that other VMs gather for this one.
    pub delegates: DelegateTable,
    /// Parts of queries that this VM gathers for others.
    pub aggregates: AggregateTable,
    /// What each host's routes need, with the time at which that was reckoned.
    pub needs: RefCell<FxHashMap<CompactString, (Instant, Rc<HostNeeds>)>>,
    /// The store's changes, for VMs that hear of them from this one.
    pub relay: MirrorRelay,
    /// What other VMs' configurations say of this one's routes.
    pub route_checks: RouteChecks,
    /// Which VMs send to cold upstreams.
    pub cold_claims: ColdClaims,
    /// The store's era, as far as this VM has heard.
    era: watch::Sender<StoreEra>,
    /// Requests that crash upstreams.
    pub quarantine: QuarantineHandle,
    /// Counters and histograms.
    pub metrics: GatewayMetrics,
    /// When the process started.
    pub started: Instant,
    /// The same on the clock that counts suspensions.
    booted: Duration,
    state: Cell<ServiceState>,
    /// Requests in flight.
    pub flights: FlightCount,
    table: RefCell<Option<Rc<RouteTable>>>,
    latencies: RefCell<FxHashMap<RouteName, Rc<RefCell<RouteLatency>>>>,
}

/// This life of this VM's process.
fn own_session(settings: &GatewaySettings) -> SessionId {
    // The wall clock only tells lives apart; if it steps back, peers learn the newer life by refutation.
    let life = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64);
    let vm = VmAddress(settings.place.address);
    SessionId::new(vm, IncarnationNumber(life))
}

impl GatewayCore {
    /// Makes the state of a process that has just started.
    pub fn new(settings: GatewaySettings, dialect: GatewayDialect) -> Self {
        let repeats = RepeatAccount::new(settings.budget);
        let metrics = GatewayMetrics::default();
        let limit = FreshnessTimings::new(settings.change_bound).max_age;
        let session = own_session(&settings);
        Self {
            session,
            dialect,
            registry: UpstreamRegistry::new(),
            vms: VmDirectory::new(settings.listen.callers),
            repeats: RefCell::new(repeats),
            lag: Rc::new(RefCell::new(AnswerLag::new(settings.place.cores))),
            shares: WeightShares::new(),
            needs: RefCell::default(),
            relay: MirrorRelay::new(limit, metrics.told_bytes.clone()),
            route_checks: RouteChecks::default(),
            delegates: DelegateTable::default(),
            aggregates: AggregateTable::default(),
            cold_claims: ColdClaims::new(session),
            era: watch::Sender::default(),
            quarantine: QuarantineHandle::new(),
            metrics,
            started: now(),
            booted: boot_time(),
            state: Cell::new(ServiceState::Serving),
            flights: FlightCount::default(),
            table: RefCell::default(),
            latencies: RefCell::default(),
            settings,
        }
    }

    /// The configuration in force.
    pub fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Puts a configuration in force unless a newer one is; tells whether it did.
    pub fn adopt_table(&self, table: RouteTable) -> bool {
        let current = self.table.borrow().as_ref().map(|table| table.version());
        if current.is_some_and(|current| current >= table.version()) {
            return false;
        }
        let known = |name: &RouteName| table.route_names().any(|other| other == name);
        self.latencies
            .borrow_mut()
            .retain(|name, _latency| known(name));
        self.route_checks.clear_matches();
        self.needs.borrow_mut().clear();
        *self.table.borrow_mut() = Some(Rc::new(table));
        self.share_connections();
        self.note_own_version();
        true
    }

    /// Compares the version in force with those of other VMs.
    pub fn note_own_version(&self) {
        let own = self
            .table()
            .map_or(ConfigVersion(0), |table| table.version());
        self.route_checks.note_own_version(own, now());
    }

    /// Whether the configuration in force may be an old one: changes may not have reached this VM, or the store has lost a
    /// version that others have in force.
    pub fn has_old_config(&self) -> bool {
        let own = self
            .table()
            .map_or(ConfigVersion(0), |table| table.version());
        let bound = self.settings.change_bound;
        self.relay.is_stale() || self.route_checks.is_overdue(own, now(), bound)
    }

    /// Why a request is refused that no route matches. A VM whose configuration may be an old one does not know that there
    /// is none: the caller is to ask another VM, which may have a route that this one has not heard of.
    pub fn no_route(&self) -> RefusalReason {
        if self.has_old_config() {
            RefusalReason::OldConfig
        } else {
            RefusalReason::NoRoute
        }
    }

    /// The upstreams of a service in the home regions of a route.
    pub fn upstreams_at_home(&self, route: &RouteEntry, service: &UpstreamService) -> UpstreamList {
        let mut listed = self.registry.upstreams(service);
        if route.homes.is_limited() {
            let region_of = |upstream: &Upstream| {
                let zone = &upstream.entry().zone;
                self.settings.place.region_of(zone).cloned()
            };
            listed.retain(|upstream| route.homes.allows(region_of(upstream).as_ref()));
        }
        listed
    }

    /// Those of a route's weighted services that have an upstream in its home regions: their weights hold among them. An
    /// evacuation moves nothing from one service to another.
    pub fn parts_at_home<'a>(
        &self,
        route: &RouteEntry,
        parts: &'a [WeightedService],
    ) -> Cow<'a, [WeightedService]> {
        if !route.homes.is_limited() {
            return Cow::Borrowed(parts);
        }
        let at_home = |part: &&WeightedService| {
            let upstreams = self.upstreams_at_home(route, &part.service);
            upstreams.iter().any(|upstream| !upstream.is_leaving())
        };
        Cow::Owned(parts.iter().filter(at_home).cloned().collect())
    }

    /// The attempt times of a route.
    pub fn latency(&self, route: &RouteEntry) -> Rc<RefCell<RouteLatency>> {
        if let Some(latency) = self.latencies.borrow().get(&route.name) {
            return Rc::clone(latency);
        }
        let latency = Rc::<RefCell<RouteLatency>>::default();
        let mut latencies = self.latencies.borrow_mut();
        latencies.insert(route.name.clone(), Rc::clone(&latency));
        latency
    }

    /// How many connections this process may hold to one upstream of a service.
    pub fn connection_share(&self, service: &UpstreamService) -> usize {
        let table = self.table.borrow();
        let stated = table.as_ref().and_then(|table| table.service(service));
        let all = stated.map_or(CONNECTIONS_ASSUMED, |terms| terms.connections);
        let share = all as f64 * CONNECTION_SHARE / self.vms.count() as f64;
        (share as usize).max(1)
    }

    /// Shares connections and repeats anew among the VMs that are known.
    pub fn share_connections(&self) {
        let vms = self.vms.most_count();
        let time = self.running_time();
        self.repeats.borrow_mut().share_among(vms, time);
        self.registry.for_each(|upstream| {
            let share = self.connection_share(&upstream.entry().service);
            upstream.set_share(share);
        });
    }

    /// Takes in that the store is in an era: what rests on a write in the one before is void.
    pub fn enter_era(&self, era: StoreEra) {
        self.cold_claims.enter_era(era, self.running_time());
        self.era.send_if_modified(|known| {
            let rises = era > *known;
            *known = era.max(*known);
            rises
        });
    }

    /// The store's era, as it rises.
    pub fn eras(&self) -> watch::Receiver<StoreEra> {
        self.era.subscribe()
    }

    /// Whether new requests are taken.
    pub fn state(&self) -> ServiceState {
        self.state.get()
    }

    /// Changes whether new requests are taken.
    pub fn set_state(&self, state: ServiceState) {
        self.state.set(state);
    }

    /// Whether callers should be sent here: there is a configuration and no stop has begun.
    pub fn is_ready(&self) -> bool {
        self.state.get() == ServiceState::Serving && self.table.borrow().is_some()
    }

    /// Time since the start that the process could run.
    pub fn uptime(&self) -> Duration {
        now().saturating_duration_since(self.started)
    }

    /// Time since the start, with what the VM was suspended for: leases between VMs end by it.
    pub fn running_time(&self) -> Duration {
        boot_time().saturating_sub(self.booted).max(self.uptime())
    }
}

#[cfg(test)]
#[path = "core_tests.rs"]
mod tests;
