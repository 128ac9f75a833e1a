//! Routes: which upstreams a request goes to, what may be repeated, and its target.

use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3;

use crate::gateway::ident::{ConfigVersion, RouteName, UpstreamService};
use crate::gateway::policy::cold::RequestRate;
use crate::gateway::policy::homes::HomeRegions;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RepeatKind {
    /// It may run on several upstreams, one after the other or side by side.
    Idempotent,
    /// It runs at most once.
    Once,
}

/// One of several services that share a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: UpstreamService,
    /// Its share, in proportion to the sum of all weights of the route.
    pub weight: f64,
}

/// What a query over many shards asks of its answer.
#[derive(Debug, Clone, PartialEq)]
pub struct GatherTerms {
    /// The shards; each is a service all of whose upstreams answer alike.
    pub shards: Vec<UpstreamService>,
    /// Most records in the answer.
    pub top: usize,
    /// Least share of the shards for which there is an answer at all, 0 to 1.
    pub least_coverage: f64,
}

impl GatherTerms {
    /// The fewest shards that make an answer: at least one.
    ///
    /// # Examples
    ///
    /// ```
    /// use ebonyfork::gateway::{GatherTerms, UpstreamService};
    ///
    /// let shards = (0..20).map(|number| UpstreamService::new(number.to_string())).collect();
    /// let terms = GatherTerms { shards, top: 10, least_coverage: 0.89 };
    /// assert_eq!(terms.least_shards(), 18);
    /// ```
    pub fn least_shards(&self) -> usize {
        /// Absorbs the rounding of a share such as 0.95 times 20.
        const ROUNDING: f64 = 1e-9;
        let least = (self.least_coverage * self.shards.len() as f64 - ROUNDING).ceil();
        (least as usize).clamp(1, self.shards.len().max(1))
    }
}

/// Where the requests of a route go.
#[derive(Debug, Clone, PartialEq)]
pub enum RouteTarget {
    /// To one upstream of a service.
    One(UpstreamService),
    /// To one upstream of one of these services.
    Weighted(SmallVec<[WeightedService; 2]>),
    /// To one upstream of each shard.
    Gather(GatherTerms),
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteEntry {
    /// Its name.
    pub name: RouteName,
    /// The host it is for, in lower case.
    pub host: CompactString,
    /// The beginning of the paths it is for.
    pub prefix: CompactString,
    /// Whether its requests may be repeated.
    pub repeat: RepeatKind,
    /// Longest time that a request may be kept waiting.
    pub timeout: Duration,
    /// Latency target: an answer that comes later is worth little.
    pub target: Duration,
    /// Most upstreams (of each shard) on which one request may run.
    pub attempts: usize,
    /// Rank, 0 the most urgent.
    pub priority: u8,
    /// Where its requests go.
    pub destination: RouteTarget,
    /// In which regions its requests may be served.
    pub homes: HomeRegions,
}

/// What is stated about a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceTerms {
    /// Connections that one upstream accepts from all VMs together.
    pub connections: usize,
    /// Requests a second that one upstream tolerates while it is cold; 0 if that is not stated.
    pub cold_rate: RequestRate,
    /// How long an upstream is cold after a start.
    pub cold_time: Duration,
}

/// What callers may send and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest request head, in bytes.
    pub header_bytes: usize,
    /// Longest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time for sending a request head.
    pub header_time: Duration,
    /// How long a connection may lie idle.
    pub idle_time: Duration,
}

/// One version of the operators' configuration, indexed for look-ups. It is immutable: a request keeps the version it
/// began with.
#[derive(Debug, Clone)]
pub struct RouteTable {
    version: ConfigVersion,
    hosts: FxHashMap<CompactString, Vec<Rc<RouteEntry>>>,
    marks: FxHashMap<u64, Rc<RouteEntry>>,
    services: FxHashMap<UpstreamService, ServiceTerms>,
    limits: CallerLimits,
}

impl RouteEntry {
    /// Names the route with its shards: two versions of the configuration that leave both as they are have the same
    /// mark, so VMs that learn of a version at different moments still understand one another.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use ebonyfork::gateway::{HomeRegions, RepeatKind, RouteEntry, RouteName, RouteTarget, UpstreamService};
    ///
    /// let route = |timeout| RouteEntry {
    ///     name: RouteName::new("r"),
    ///     host: "a.example".into(),
    ///     prefix: "/a/".into(),
    ///     repeat: RepeatKind::Idempotent,
    ///     timeout,
    ///     target: Duration::from_millis(200),
    ///     attempts: 2,
    ///     priority: 1,
    ///     destination: RouteTarget::One(UpstreamService::new("s")),
    ///     homes: HomeRegions::default(),
    /// };
    /// let shorter = route(Duration::from_secs(1));
    /// assert_eq!(route(Duration::from_secs(2)).shard_mark(), shorter.shard_mark());
    /// ```
    pub fn shard_mark(&self) -> u64 {
        let mut hash = Xxh3::new();
        let mut add = |text: &str| {
            hash.update(text.as_bytes());
            hash.update(&[0]);
        };
        add(self.name.as_str());
        match &self.destination {
            RouteTarget::One(service) => add(service.as_str()),
            RouteTarget::Weighted(parts) => {
                parts.iter().for_each(|part| add(part.service.as_str()));
            }
            RouteTarget::Gather(terms) => terms.shards.iter().for_each(|shard| add(shard.as_str())),
        }
        hash.digest()
    }
}

impl RouteEntry {
    /// Marks everything that is stated about the route.
    fn terms_mark(&self) -> u64 {
        let mut hash = Xxh3::new();
        hash.update(&self.shard_mark().to_be_bytes());
        hash.update(self.prefix.as_bytes());
        for time in [self.timeout, self.target] {
            hash.update(&time.as_micros().to_be_bytes());
        }
        let repeats = u8::from(self.repeat == RepeatKind::Idempotent);
        hash.update(&[repeats, self.priority]);
        hash.update(&self.attempts.to_be_bytes());
        for region in self.homes.regions() {
            hash.update(region.as_str().as_bytes());
            hash.update(&[0]);
        }
        match &self.destination {
            RouteTarget::One(_service) => {}
            RouteTarget::Weighted(parts) => {
                for part in parts {
                    hash.update(&part.weight.to_be_bytes());
                }
            }
            RouteTarget::Gather(terms) => {
                hash.update(&terms.top.to_be_bytes());
                hash.update(&terms.least_coverage.to_be_bytes());
            }
        }
        hash.digest()
    }
}

impl RouteTable {
    /// Indexes a version.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use ebonyfork::gateway::{CallerLimits, ConfigVersion, RouteTable};
    ///
    /// let limits = CallerLimits {
    ///     header_bytes: 16_384,
    ///     body_bytes: 262_144,
    ///     header_time: Duration::from_secs(3),
    ///     idle_time: Duration::from_secs(15),
    /// };
    /// let table = RouteTable::new(ConfigVersion(7), [], [], limits);
    /// assert!(table.find("example", "/a/").is_none());
    /// ```
    pub fn new(
        version: ConfigVersion,
        routes: impl IntoIterator<Item = RouteEntry>,
        services: impl IntoIterator<Item = (UpstreamService, ServiceTerms)>,
        limits: CallerLimits,
    ) -> Self {
        let mut hosts = FxHashMap::<CompactString, Vec<Rc<RouteEntry>>>::default();
        let mut marks = FxHashMap::default();
        for route in routes {
            let route = Rc::new(route);
            let listed = hosts.entry(route.host.clone()).or_default();
            listed.push(Rc::clone(&route));
            if let RouteTarget::Gather(_) = &route.destination {
                marks.insert(route.shard_mark(), route);
            }
        }
        for routes in hosts.values_mut() {
            // The longest prefix goes first, so that the first match is the right one.
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            hosts,
            marks,
            services: services.into_iter().collect(),
            limits,
        }
    }

    /// The version that this table holds.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// What callers may send.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Finds the route with the longest prefix of a path among those of a host (any case, with or without a port).
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<RouteEntry>> {
        let host = host_name(host);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(host.to_ascii_lowercase().as_str())?,
        };
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Finds a route over many shards by its mark.
    pub fn find_marked(&self, mark: u64) -> Option<&Rc<RouteEntry>> {
        self.marks.get(&mark)
    }

    /// Marks the route of a host with a prefix and all its other routes whose prefixes begin so: while the mark is the same in
    /// two versions, both do the same with every path that begins so. None if there is no such route.
    pub fn scope_mark(&self, host: &str, prefix: &str) -> Option<u64> {
        let below = |route: &&Rc<RouteEntry>| route.prefix.starts_with(prefix);
        let mut below: Vec<_> = self.routes_of(host).iter().filter(below).collect();
        below.sort_unstable_by(|one, other| one.prefix.cmp(&other.prefix));
        if below.first().is_none_or(|route| route.prefix != prefix) {
            return None;
        }
        let mut hash = Xxh3::new();
        for route in below {
            hash.update(&route.terms_mark().to_be_bytes());
        }
        Some(hash.digest())
    }

    /// The routes of a host.
    pub fn routes_of(&self, host: &str) -> &[Rc<RouteEntry>] {
        let routes = self.hosts.get(host_name(host));
        routes.map_or(&[], Vec::as_slice)
    }

    /// What is stated about a service.
    pub fn service(&self, service: &UpstreamService) -> Option<ServiceTerms> {
        self.services.get(service).copied()
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<RouteEntry>> {
        self.hosts.values().flatten()
    }

    /// Names of all routes.
    pub fn route_names(&self) -> impl Iterator<Item = &RouteName> {
        self.routes().map(|route| &route.name)
    }

    /// The number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}

/// A host without its port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}

#[cfg(test)]
#[path = "route_tests.rs"]
mod tests;
