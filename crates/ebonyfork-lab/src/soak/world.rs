//! What surrounds the gateways: the store, the upstreams behind proxies, the operator's configuration.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use ebonyfork_stand_in::guard::lock;
use ebonyfork_stand_in::store_server::StoreServer;
use ebonyfork_stand_in::upstream::{ArrivalRecord, ColdCause, UpstreamServer};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::error::LabError;
use crate::soak::moves::{MOVE_SERVICES, service_of};
use crate::soak::organisations::declare;
use crate::soak::proxy::LinkProxy;

/// Zones, each a region of its own.
pub(super) const ZONES: [&str; 3] = ["north-a", "east-a", "south-a"];
/// The host of all routes.
pub(super) const HOST: &str = "soak.example";
/// Shards of the query over many shards.
pub(super) const SHARDS: usize = 6;
/// Records of a gathered answer, in turn from version to version.
pub(super) const TOPS: [usize; 2] = [5, 20];
/// Least share of the shards in a gathered answer.
pub(super) const LEAST: f64 = 0.5;

/// Longest time for which the routes let a request wait.
pub(super) const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);

/// Lengths of the answers of the service with long answers, in bytes: one that a gateway buffers whole and one that it
/// streams.
const LONG_ANSWERS: [usize; 2] = [120_000, 300_000];
/// Name of the service with long answers.
pub(super) const LONG_SERVICE: &str = "long";

/// Requests a second that an upstream tolerates while it is cold.
pub(super) const COLD_RATE: f64 = 20.0;
/// How long an upstream is cold.
const COLD_TIME: Duration = Duration::from_secs(2);

/// Routes that nobody uses: of a small configuration, and of one that takes a quarter of a megabyte.
const IDLE_ROUTES: [u64; 2] = [50, 1_500];

/// One upstream with the proxy before it.
#[derive(Debug)]
pub(crate) struct SoakUpstream {
    pub server: UpstreamServer,
    pub(super) proxy: LinkProxy,
    pub zone: &'static str,
}

/// An upstream's life that has ended, with what it saw.
#[derive(Debug, Clone)]
pub(crate) struct PastLife {
    pub service: String,
    pub zone: &'static str,
    pub arrivals: Vec<ArrivalRecord>,
    /// When its leaving was written to the store.
    pub leaving: Option<Instant>,
}

/// A zone that was to get nothing for a time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EvacuationRecord {
    pub zone: &'static str,
    pub from: Instant,
    /// When it was taken back.
    pub until: Option<Instant>,
}

/// The zone whose region is the home of a route in a version of the configuration: another one every few versions.
pub(super) fn home_zone(version: u64) -> &'static str {
    const VERSIONS: u64 = 9;
    ZONES[(version / VERSIONS) as usize % ZONES.len()]
}

/// The records of a gathered answer in a version of the configuration.
fn top_of(version: u64) -> usize {
    TOPS[version as usize % TOPS.len()]
}

/// A version of the configuration: its number, when it was written, whether the extra route is in it.
pub(crate) type WrittenVersion = (u64, Instant, bool);

/// Everything outside the gateways.
#[derive(Debug)]
pub(crate) struct SoakWorld {
    pub store: StoreServer,
    pub upstreams: Mutex<Vec<SoakUpstream>>,
    /// Upstreams whose entries another writer has written.
    pub odd_upstreams: Mutex<Vec<SoakUpstream>>,
    pub past: Mutex<Vec<PastLife>>,
    /// Zones that were to get nothing for a time.
    pub evacuations: Mutex<Vec<EvacuationRecord>>,
    /// Versions that were written.
    pub versions: Mutex<Vec<WrittenVersion>>,
    lives: Mutex<u64>,
    seed: u64,
    vms: usize,
}

impl SoakWorld {
    pub(crate) async fn start(seed: u64, vms: usize) -> Result<Self, LabError> {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = StoreServer::start(listen)
            .await
            .map_err(|source| LabError::System {
                what: "the store's listener",
                source,
            })?;
        let world = Self {
            store,
            upstreams: Mutex::default(),
            odd_upstreams: Mutex::default(),
            past: Mutex::default(),
            evacuations: Mutex::default(),
            versions: Mutex::default(),
            lives: Mutex::default(),
            seed,
            vms,
        };
        for shard in 0..SHARDS {
            for copy in 0..2 {
                world
                    .add_upstream(&format!("shard{shard}"), ZONES[(shard + copy) % 3])
                    .await?;
            }
        }
        for zone in ZONES {
            for service in MOVE_SERVICES {
                world.add_upstream(service, zone).await?;
            }
            world.add_upstream(LONG_SERVICE, zone).await?;
        }
        world.write_config(false);
        Ok(world)
    }

    /// Starts an upstream and registers it.
    pub(super) async fn add_upstream(
        &self,
        service: &str,
        zone: &'static str,
    ) -> Result<(), LabError> {
        let life = {
            let mut lives = lock(&self.lives);
            *lives += 1;
            *lives
        };
        let instance = format!("i-{:x}-{life}", self.seed);
        self.start_upstream(service, zone, &instance).await
    }

    /// Asks that nothing more be sent to the upstreams of a zone.
    pub(super) fn evacuate(&self, zone: &'static str) {
        self.store.put(&evacuation_key(zone), "{}");
        lock(&self.evacuations).push(EvacuationRecord {
            zone,
            from: Instant::now(),
            until: None,
        });
    }

    /// Takes an evacuation back; the upstreams of the zone have become cold.
    pub(super) fn readmit(&self, zone: &'static str) {
        let mut evacuations = lock(&self.evacuations);
        let open = |evacuation: &&mut EvacuationRecord| {
            evacuation.zone == zone && evacuation.until.is_none()
        };
        let Some(evacuation) = evacuations.iter_mut().find(open) else {
            return;
        };
        evacuation.until = Some(Instant::now());
        for upstream in lock(&self.upstreams).iter() {
            if upstream.zone == zone {
                upstream.server.set_cold(ColdCause::Evacuation, COLD_TIME);
            }
        }
        self.store.remove(&evacuation_key(zone));
    }

    /// Starts an upstream under a name, which an earlier life may have had, and registers it.
    pub(super) async fn start_upstream(
        &self,
        service: &str,
        zone: &'static str,
        instance: &str,
    ) -> Result<(), LabError> {
        let upstream = launch(service, zone, instance).await?;
        upstream.server.set_cold(ColdCause::Start, COLD_TIME);
        self.register(&upstream, "ready");
        lock(&self.upstreams).push(upstream);
        Ok(())
    }

    /// Starts an upstream whose entry another writer writes. Returns the entry that it would write itself.
    pub(super) async fn start_odd_upstream(
        &self,
        service: &str,
        zone: &'static str,
        instance: &str,
    ) -> Result<Value, LabError> {
        let upstream = launch(service, zone, instance).await?;
        let entry = entry(&upstream, "ready");
        lock(&self.odd_upstreams).push(upstream);
        Ok(entry.parse().unwrap_or_default())
    }

    /// Writes an upstream's entry; callers reach it by its proxy.
    pub(super) fn register(&self, upstream: &SoakUpstream, state: &str) {
        self.store.put(&key(upstream), entry(upstream, state));
    }

    /// Ends an upstream: its entry goes and its record is kept.
    pub(super) fn end_upstream(
        &self,
        number: usize,
        leaving: Option<Instant>,
    ) -> (String, &'static str) {
        let upstream = lock(&self.upstreams).remove(number);
        self.store.remove(&key(&upstream));
        let service = upstream.server.service().to_owned();
        let past = PastLife {
            service: service.clone(),
            zone: upstream.zone,
            arrivals: upstream.server.arrivals(),
            leaving,
        };
        lock(&self.past).push(past);
        (service, upstream.zone)
    }

    /// Ends an upstream and starts it again under its name; `seen` tells whether its entry is gone meanwhile.
    pub(super) async fn restart_upstream(
        &self,
        number: usize,
        away: Duration,
        seen: bool,
    ) -> Result<String, LabError> {
        let (instance, stale) = {
            let upstreams = lock(&self.upstreams);
            let upstream = &upstreams[number];
            let stale = entry(upstream, "ready");
            (upstream.server.instance().to_owned(), stale)
        };
        let (service, zone) = self.end_upstream(number, None);
        if !seen {
            self.store.put(&format!("servers/{instance}"), stale);
        }
        tokio::time::sleep(away).await;
        self.start_upstream(&service, zone, &instance).await?;
        Ok(instance)
    }

    /// Writes entries as other writers leave them: each names an address where nobody must be asked. They go after a
    /// time.
    pub(super) async fn write_foreign(&self, lasting: Duration) {
        let good = json!({
            "service": "shard0", "address": "127.0.0.1:9", "zone": ZONES[0], "version": "v1",
            "capacity": 2, "state": "ready", "warmupLeftMs": 0, "sequence": 1, "born": 1,
        });
        let mut entries = vec!["{".to_owned(), String::new(), "\u{fffd}".to_owned()];
        for (field, value) in [
            ("state", json!("resting")),
            ("capacity", json!("2")),
            ("service", json!("nobody")),
            ("born", json!(1.5)),
            ("sequence", Value::Null),
        ] {
            let mut entry = good.clone();
            entry[field] = value;
            entries.push(entry.to_string());
        }
        for (number, entry) in entries.into_iter().enumerate() {
            self.store.put(&format!("servers/foreign-{number}"), entry);
        }
        tokio::time::sleep(lasting).await;
        for key in self.store.keys("servers/foreign-") {
            self.store.remove(&key);
        }
    }

    /// Writes a new version of the configuration, with or without the extra route, and with many routes or a few that nobody
    /// uses: four versions of each kind in turn.
    pub(super) fn write_config(&self, extra: bool) {
        const TURN: usize = 4;
        let written = lock(&self.versions).len();
        let idle = IDLE_ROUTES[written / TURN % IDLE_ROUTES.len()];
        self.write_config_of(extra, idle);
    }

    /// Writes a new version of the configuration, with or without the extra route, and with some routes that nobody uses.
    pub(crate) fn write_config_of(&self, extra: bool, idle: u64) {
        let mut versions = lock(&self.versions);
        let version = versions
            .last()
            .map_or(3, |(version, _at, _extra)| version + 3);
        let mut config = config(self.seed, version, extra, idle);
        config["tenants"] = declare(self.vms);
        self.store.put("op/config", config.to_string());
        versions.push((version, Instant::now(), extra));
    }

    /// What each upstream saw, those that have ended included.
    pub(super) fn lives(&self) -> Vec<PastLife> {
        let mut lives: Vec<PastLife> = lock(&self.past).clone();
        let (upstreams, odd) = (lock(&self.upstreams), lock(&self.odd_upstreams));
        for upstream in upstreams.iter().chain(odd.iter()) {
            lives.push(PastLife {
                service: upstream.server.service().to_owned(),
                zone: upstream.zone,
                arrivals: upstream.server.arrivals(),
                leaving: None,
            });
        }
        lives
    }
}

/// Starts an upstream with the proxy before it.
async fn launch(
    service: &str,
    zone: &'static str,
    instance: &str,
) -> Result<SoakUpstream, LabError> {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let is_moved = MOVE_SERVICES.contains(&service);
    let work = Duration::from_millis(if is_moved { 20 } else { 8 });
    let server = UpstreamServer::start(listen, instance, service, work).await;
    let server = server.map_err(|source| LabError::System {
        what: "an upstream's listener",
        source,
    })?;
    if service == LONG_SERVICE {
        let bytes = LONG_ANSWERS[usize::from(zone != ZONES[0])];
        server.set_least_bytes(bytes);
    }
    let proxy = LinkProxy::start(server.address()).await?;
    Ok(SoakUpstream {
        server,
        proxy,
        zone,
    })
}

/// An upstream's entry, with the address of the proxy before it.
fn entry(upstream: &SoakUpstream, state: &str) -> String {
    let entry = upstream.server.entry(upstream.zone, state);
    let own = upstream.server.address().to_string();
    entry.replace(&own, &upstream.proxy.address().to_string())
}

fn evacuation_key(zone: &str) -> String {
    format!("op/evacuate/{zone}")
}

fn key(upstream: &SoakUpstream) -> String {
    format!("servers/{}", upstream.server.instance())
}

/// A route that nobody uses, as long as an operator's, some 170 bytes.
fn idle_route(number: u64) -> Value {
    let mut rng = ChaCha8Rng::seed_from_u64(number);
    let (name, path): (u32, u32) = (rng.random(), rng.random());
    json!({
        "name": format!("r-{name:08x}"), "host": format!("idle{}.example", number % 7),
        "prefix": format!("/{path:08x}/"), "routeType": "idempotent", "timeoutMs": 2_000, "sloMs": 200,
        "priority": 1, "maxAttempts": 2, "service": "single",
    })
}

fn config(seed: u64, version: u64, extra: bool, idle: u64) -> Value {
    let shards: Vec<String> = (0..SHARDS).map(|shard| format!("shard{shard}")).collect();
    let route = |name: &str, kind: &str, target: (&str, Value)| {
        let mut route = json!({
            "name": name, "host": HOST, "prefix": format!("/{name}/"), "routeType": kind,
            "timeoutMs": ROUTE_TIMEOUT.as_millis() as u64, "sloMs": 200, "priority": 1, "maxAttempts": 2,
            "topK": top_of(version), "minCoverage": LEAST,
        });
        route[target.0] = target.1;
        route
    };
    let moved = |name: &str, kind: &str| {
        let service = service_of(seed, version, name);
        route(name, kind, ("service", json!(service)))
    };
    let mut routes = vec![
        route("gather", "idempotent", ("gather", json!(shards))),
        moved("read", "idempotent"),
        moved("once", "non_idempotent"),
        route(LONG_SERVICE, "idempotent", ("service", json!(LONG_SERVICE))),
    ];
    let mut home = moved("home", "idempotent");
    home["allowedRegions"] = json!([format!("{}-region", home_zone(version))]);
    routes.push(home);
    if extra {
        routes.push(moved("extra", "idempotent"));
    }
    for number in 0..idle {
        routes.push(idle_route(number));
    }
    let services: Vec<Value> = shards
        .iter()
        .map(String::as_str)
        .chain(MOVE_SERVICES)
        .chain([LONG_SERVICE])
        .map(|name| {
            json!({"name": name, "healthPath": "/health", "maxConns": 60,
                "warmupS": COLD_TIME.as_secs_f64(), "warmupPerS": COLD_RATE})
        })
        .collect();
    json!({"version": version, "routes": routes, "services": services, "limits": {
        "maxHeaderBytes": 16_384, "maxBodyBytes": 262_144,
        "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000,
    }})
}
