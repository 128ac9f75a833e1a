//! Routes: which upstreams serve a request, whether it may be retried, and its latency target.

use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3;

use crate::gateway::ident::{ConfigVersion, RouteName, UpstreamService};
use crate::gateway::organisation::{CredentialDigest, OrganisationTable};
use crate::gateway::policy::cold::RequestRate;
use crate::gateway::policy::homes::HomeRegions;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Idempotency {
    /// The request may run on several upstreams, sequentially or concurrently.
    Idempotent,
    /// The request runs at most once.
    Once,
}

/// One of several services that share a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: UpstreamService,
    /// Weight of the service, relative to the sum of all weights of the route.
    pub weight: f64,
}

/// Requirements for the answer to a query over many shards.
#[derive(Debug, Clone, PartialEq)]
pub struct GatherTerms {
    /// Shards of the query. Each is a service whose upstreams are interchangeable.
    pub shards: Vec<UpstreamService>,
    /// Largest number of records in the answer.
    pub max_records: usize,
    /// Smallest fraction of the shards, 0 to 1, that must have answered for the query to be answered at all.
    pub min_coverage: f64,
}

impl GatherTerms {
    /// Returns the smallest number of shards that make an answer, at least one.
    ///
    /// # Examples
    ///
    /// ```
    /// use ebonyfork::gateway::{GatherTerms, UpstreamService};
    ///
    /// let shards = (0..20).map(|number| UpstreamService::new(number.to_string())).collect();
    /// let terms = GatherTerms { shards, max_records: 10, min_coverage: 0.89 };
    /// assert_eq!(terms.min_shards(), 18);
    /// ```
    pub fn min_shards(&self) -> usize {
        /// Absorbs floating-point error in products such as 0.95 times 20.
        const ROUNDING: f64 = 1e-9;
        let shards = (self.min_coverage * self.shards.len() as f64 - ROUNDING).ceil();
        (shards as usize).clamp(1, self.shards.len().max(1))
    }
}

/// Destination of the requests of a route.
#[derive(Debug, Clone, PartialEq)]
pub enum RouteTarget {
    /// One upstream of a service.
    One(UpstreamService),
    /// One upstream of one of several weighted services.
    Weighted(SmallVec<[WeightedService; 2]>),
    /// One upstream of each shard.
    Gather(GatherTerms),
}

/// A route: the requests that it matches, and how they are served.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteEntry {
    /// Name of the route.
    pub name: RouteName,
    /// Host that the route matches, in lower case.
    pub host: CompactString,
    /// Path prefix that the route matches.
    pub prefix: CompactString,
    /// Whether a request of the route may run more than once.
    pub idempotency: Idempotency,
    /// Longest time for which a request may be kept waiting.
    pub timeout: Duration,
    /// Latency target: a later answer is worth little to the caller.
    pub target: Duration,
    /// Largest number of upstreams (per shard) on which one request may run.
    pub attempts: usize,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services to which the route's requests are sent.
    pub destination: RouteTarget,
    /// Regions in which the route's requests may be served.
    pub home_regions: HomeRegions,
    /// Whether callers need no credential, even if the configuration has organisations.
    pub is_public: bool,
}

/// Properties that the configuration states for a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceTerms {
    /// Connections that one upstream accepts from all VMs together.
    pub connections: usize,
    /// Requests per second that a cold upstream tolerates; 0 if not stated.
    pub cold_rate: RequestRate,
    /// How long an upstream stays cold after a start.
    pub cold_time: Duration,
}

/// Limits on what callers may send and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest request head, in bytes.
    pub header_bytes: usize,
    /// Longest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time for receiving a request head.
    pub header_timeout: Duration,
    /// Longest idle time of a caller's connection.
    pub idle_timeout: Duration,
}

/// A version of the operators' configuration, indexed for look-ups. It is immutable: a request keeps using the version
/// with which it started.
#[derive(Debug, Clone)]
pub struct RouteTable {
    version: ConfigVersion,
    routes_by_host: FxHashMap<CompactString, Vec<Rc<RouteEntry>>>,
    routes_by_digest: FxHashMap<u64, Rc<RouteEntry>>,
    services: FxHashMap<UpstreamService, ServiceTerms>,
    limits: CallerLimits,
    organisations: Option<OrganisationTable>,
}

impl RouteEntry {
    /// Returns a digest of the route's name and shards. It is the same in two versions of the configuration that change
    /// neither, so VMs that receive a new version at different times can still refer to the same route.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use ebonyfork::gateway::{HomeRegions, Idempotency, RouteEntry, RouteName, RouteTarget, UpstreamService};
    ///
    /// let route = |timeout| RouteEntry {
    ///     name: RouteName::new("r"),
    ///     host: "a.example".into(),
    ///     prefix: "/a/".into(),
    ///     idempotency: Idempotency::Idempotent,
    ///     timeout,
    ///     target: Duration::from_millis(200),
    ///     attempts: 2,
    ///     priority: 1,
    ///     destination: RouteTarget::One(UpstreamService::new("s")),
    ///     home_regions: HomeRegions::default(),
    ///     is_public: false,
    /// };
    /// let shorter = route(Duration::from_secs(1));
    /// assert_eq!(route(Duration::from_secs(2)).shard_digest(), shorter.shard_digest());
    /// ```
    pub fn shard_digest(&self) -> u64 {
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
    /// Returns a digest of all stated properties of the route.
    fn terms_digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        hash.update(&self.shard_digest().to_be_bytes());
        hash.update(self.prefix.as_bytes());
        for time in [self.timeout, self.target] {
            hash.update(&time.as_micros().to_be_bytes());
        }
        let idempotency_byte = u8::from(self.idempotency == Idempotency::Idempotent);
        hash.update(&[idempotency_byte, self.priority, u8::from(self.is_public)]);
        hash.update(&self.attempts.to_be_bytes());
        for region in self.home_regions.regions() {
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
                hash.update(&terms.max_records.to_be_bytes());
                hash.update(&terms.min_coverage.to_be_bytes());
            }
        }
        hash.digest()
    }
}

impl RouteTable {
    /// Indexes a version of the configuration.
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
    ///     header_timeout: Duration::from_secs(3),
    ///     idle_timeout: Duration::from_secs(15),
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
        let mut routes_by_host = FxHashMap::<CompactString, Vec<Rc<RouteEntry>>>::default();
        let mut routes_by_digest = FxHashMap::default();
        for route in routes {
            let route = Rc::new(route);
            let host_routes = routes_by_host.entry(route.host.clone()).or_default();
            host_routes.push(Rc::clone(&route));
            if let RouteTarget::Gather(_) = &route.destination {
                routes_by_digest.insert(route.shard_digest(), route);
            }
        }
        for routes in routes_by_host.values_mut() {
            // Sorts the longest prefix first, so that the first match is the most specific.
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            routes_by_host,
            routes_by_digest,
            services: services.into_iter().collect(),
            limits,
            organisations: None,
        }
    }

    /// Adds organisations. Callers then need a credential on all routes that aren't public.
    #[must_use]
    pub fn with_organisations(self, organisations: OrganisationTable) -> Self {
        Self {
            organisations: Some(organisations),
            ..self
        }
    }

    /// Returns the organisations; `None` if the configuration has none, so that callers need no credential.
    pub fn organisations(&self) -> Option<&OrganisationTable> {
        self.organisations.as_ref()
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the limits on callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Finds the route of a host (in any case, with or without a port) with the longest prefix that matches a path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<RouteEntry>> {
        let host = host_name(host);
        let routes = match self.routes_by_host.get(host) {
            Some(routes) => routes,
            None => self
                .routes_by_host
                .get(host.to_ascii_lowercase().as_str())?,
        };
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Finds a route over many shards by its [shard digest](RouteEntry::shard_digest).
    pub fn find_by_digest(&self, digest: u64) -> Option<&Rc<RouteEntry>> {
        self.routes_by_digest.get(&digest)
    }

    /// Returns a digest of the route with this host and prefix and of all routes of the host whose prefixes extend it.
    /// While the digest is the same in two versions, both treat every path with this prefix alike. Returns `None` if no
    /// such route exists.
    pub fn scope_digest(&self, host: &str, prefix: &str) -> Option<u64> {
        let extends_prefix = |route: &&Rc<RouteEntry>| route.prefix.starts_with(prefix);
        let mut routes_below: Vec<_> = self.routes_of(host).iter().filter(extends_prefix).collect();
        routes_below.sort_unstable_by(|a, b| a.prefix.cmp(&b.prefix));
        if routes_below
            .first()
            .is_none_or(|route| route.prefix != prefix)
        {
            return None;
        }
        let mut hash = Xxh3::new();
        for route in routes_below {
            hash.update(&route.terms_digest().to_be_bytes());
        }
        Some(hash.digest())
    }

    /// Returns a digest of what a request with this host, prefix and credential may do: the [scope
    /// digest](Self::scope_digest) and the organisation of the credential. Returns `None` if there is no such route or
    /// organisation.
    pub fn access_digest(
        &self,
        host: &str,
        prefix: &str,
        credential: Option<CredentialDigest>,
    ) -> Option<u64> {
        let scope_digest = self.scope_digest(host, prefix)?;
        let Some(credential) = credential else {
            return Some(scope_digest);
        };
        let organisation = self.organisations.as_ref()?.find(credential)?;
        let mut hash = Xxh3::new();
        hash.update(&scope_digest.to_be_bytes());
        hash.update(organisation.name.as_str().as_bytes());
        hash.update(&[0, organisation.priority.unwrap_or(u8::MAX)]);
        if let Some(quota) = organisation.quota {
            hash.update(&quota.rate.0.to_be_bytes());
            hash.update(&quota.burst.to_be_bytes());
        }
        for region in organisation.home_regions.regions() {
            hash.update(region.as_str().as_bytes());
            hash.update(&[0]);
        }
        Some(hash.digest())
    }

    /// Returns the routes of a host.
    pub fn routes_of(&self, host: &str) -> &[Rc<RouteEntry>] {
        let routes = self.routes_by_host.get(host_name(host));
        routes.map_or(&[], Vec::as_slice)
    }

    /// Returns the stated properties of a service.
    pub fn service(&self, service: &UpstreamService) -> Option<ServiceTerms> {
        self.services.get(service).copied()
    }

    /// Iterates over all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<RouteEntry>> {
        self.routes_by_host.values().flatten()
    }

    /// Iterates over the names of all routes.
    pub fn route_names(&self) -> impl Iterator<Item = &RouteName> {
        self.routes().map(|route| &route.name)
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes_by_host.values().map(Vec::len).sum()
    }
}

/// Returns a host without its port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}

#[cfg(test)]
#[path = "route_tests.rs"]
mod tests;
