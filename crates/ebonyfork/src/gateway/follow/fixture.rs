//! A small fleet of VMs that follow an in-memory store over real loopback links in virtual time.
//!
//! The fixture makes no decisions: a test sets whether the store responds to, refuses or ignores each VM, and the VMs
//! run the gateway's own code.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use compact_str::{CompactString, format_compact};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use super::follow_store;
use super::link_fixture::{LinkMap, serve_link};
use super::store_fixture::{FakeStore, StoreReach};
use crate::gateway::core::GatewayCore;
use crate::gateway::dialect::{DecodeError, GatewayDialect, StoredKind};
use crate::gateway::fixture::{dialect, entry, settings};
use crate::gateway::ident::{ConfigVersion, PlaceName};
use crate::gateway::peers::{accept_links, follow_links, open_links};
use crate::gateway::route::{CallerLimits, RouteTable};
use crate::gateway::vms::VmRecord;
use crate::ident::{IncarnationNumber, SessionId, VmAddress, ZoneName};
use crate::membership::{MemberDigest, MemberEntry, MemberSnapshot, MemberState};
use crate::wire::PeerPool;

/// Address of the listeners of VMs whose links have a rate.
const INNER_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 0, 1, 1);
/// Longest step of the virtual clock. Without this limit the clock would jump to the next timer while data is ready on
/// a socket.
const CLOCK_STEP: Duration = Duration::from_millis(1);

/// Key of the configuration.
pub const CONFIG_KEY: &str = "config";

/// Returns a dialect with plain-text records. The first line of a configuration is its version, and routes may follow;
/// the value of an upstream is its service; VMs are encoded VM records; the key of an evacuation ends with its
/// availability zone.
pub fn text_dialect() -> GatewayDialect {
    GatewayDialect {
        classify: |key| match key.split('/').next() {
            Some(CONFIG_KEY) => StoredKind::Config,
            Some("upstream") => StoredKind::Upstream,
            Some("vm") => StoredKind::Vm,
            Some("evacuate") => StoredKind::Evacuation(PlaceName::new(&key["evacuate/".len()..])),
            _ => StoredKind::Other,
        },
        read_config: |_key, value| {
            let text = String::from_utf8_lossy(value);
            let first = text.lines().next().unwrap_or_default();
            let version = ConfigVersion(first.parse().expect("a version"));
            let limits = CallerLimits {
                header_bytes: 1,
                body_bytes: 1,
                header_timeout: Duration::from_secs(1),
                idle_timeout: Duration::from_secs(1),
            };
            Ok(RouteTable::new(version, [], [], limits))
        },
        read_upstream: |key, value| {
            let service = String::from_utf8_lossy(value);
            if service == "unreadable" {
                return Err(DecodeError {
                    key: key.into(),
                    reason: "unreadable".into(),
                });
            }
            Ok(entry(key, &service, "north-a", ([127, 0, 0, 1], 1).into()))
        },
        ..dialect()
    }
}

/// A VM that follows the store.
pub struct FollowVm {
    /// The last byte of the VM's address.
    pub number: u8,
    /// The VM's availability zone.
    pub zone: ZoneName,
    core: Rc<GatewayCore>,
    pool: PeerPool,
    links: LinkMap,
    closing: CancellationToken,
    tasks: JoinSet<()>,
}

impl FollowVm {
    /// Returns the bytes sent over the VM's link; 0 if the link has no rate.
    pub fn sent_bytes(&self) -> usize {
        let link = self.links.link(vm_address(self.number));
        link.map_or(0, |link| link.sent.transmitted())
    }

    /// Returns whether the VM knows that its copy of the store may lack changes that are due.
    pub fn is_stale(&self) -> bool {
        self.core.relay.is_stale()
    }

    /// Returns the version of the configuration in force; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.core.table().map_or(0, |table| table.version().0)
    }

    /// Returns the keys of the upstreams that the VM may use.
    pub fn upstreams(&self) -> BTreeSet<CompactString> {
        let keys = RefCell::new(BTreeSet::new());
        self.core.registry.for_each(|upstream| {
            keys.borrow_mut()
                .insert(CompactString::new(upstream.entry().instance.as_str()));
        });
        keys.into_inner()
    }

    /// Returns the keys of the evacuations in force on the VM.
    pub fn evacuations(&self) -> BTreeSet<CompactString> {
        let zones = self.core.registry.evacuated_zones();
        let key = |zone: &PlaceName| evacuation_key(zone.as_str());
        zones.iter().map(key).collect()
    }

    /// Returns the keys of the VMs that the VM knows from the store.
    pub fn vms(&self) -> BTreeSet<CompactString> {
        let seeds = self.core.vms.seeds();
        seeds.iter().map(|vm| format_compact!("vm/{vm}")).collect()
    }

    /// Closes the links that the VM has opened.
    pub fn break_links(&self) {
        self.pool.retain(|_vm| false);
    }
}

impl Drop for FollowVm {
    fn drop(&mut self) {
        self.closing.cancel();
        self.tasks.abort_all();
    }
}

/// A fleet of VMs that follow one store.
pub struct FollowFleet {
    /// The store that the VMs follow.
    pub store: FakeStore,
    /// The VMs of the fleet.
    pub vms: Vec<FollowVm>,
    members: watch::Sender<Arc<MemberSnapshot>>,
    peer_port: u16,
    links: LinkMap,
    change_bound: Duration,
}

impl FollowFleet {
    /// Starts one VM for each zone in `zones`. Must run inside a `LocalSet` on a paused clock.
    pub async fn start(zones: &[&str]) -> Self {
        Self::start_with(zones, None, settings().change_bound).await
    }

    /// Starts VMs with a limited link rate in bytes per second and a given change bound.
    pub async fn start_with(
        zones: &[&str],
        link_rate: Option<f64>,
        change_bound: Duration,
    ) -> Self {
        tokio::task::spawn_local(async {
            loop {
                tokio::time::sleep(CLOCK_STEP).await;
            }
        });
        let probe = TcpListener::bind((vm_address(1).0, 0)).await;
        let probe = probe.expect("a free port");
        let peer_port = probe.local_addr().expect("a bound address").port();
        drop(probe);
        let mut fleet = Self {
            store: FakeStore::new(),
            vms: Vec::new(),
            members: watch::Sender::default(),
            peer_port,
            links: LinkMap::new(link_rate),
            change_bound,
        };
        for (number, zone) in (1..).zip(zones) {
            let zone: ZoneName = zone.parse().expect("a valid name");
            let vm = fleet.start_vm(number, zone, 1).await;
            fleet.vms.push(vm);
        }
        fleet.publish_members();
        fleet
    }

    fn publish_members(&self) {
        self.suspect(None);
    }

    /// Makes gossip suspect one VM, or none, and report all others as alive.
    pub fn suspect(&self, suspected: Option<u8>) {
        let member = |vm: &FollowVm| MemberEntry {
            vm: vm_address(vm.number),
            zone: vm.zone.clone(),
            incarnation: IncarnationNumber(1),
            state: if suspected == Some(vm.number) {
                MemberState::Suspect
            } else {
                MemberState::Alive
            },
            digest: MemberDigest::default(),
        };
        let snapshot = MemberSnapshot::new(self.vms.iter().map(member));
        self.members.send_replace(Arc::new(snapshot));
    }

    async fn start_vm(&self, number: u8, zone: ZoneName, incarnation: u64) -> FollowVm {
        let vm = vm_address(number);
        let mut tasks = JoinSet::new();
        let listener = self.listen(vm, &mut tasks).await;
        let mut settings = settings();
        settings.place.address = vm.0;
        settings.change_bound = self.change_bound;
        settings.listen.callers = SocketAddr::new(vm.0, self.peer_port);
        let core = Rc::new(GatewayCore::new(settings, text_dialect()));
        let session = SessionId::new(vm, IncarnationNumber(incarnation));
        let closing = CancellationToken::new();
        let (pool, events) = open_links(session, self.peer_port, closing.clone());
        core.delegates.set_pool(pool.clone());
        let (seeds, _receiver) = watch::channel(Arc::default());
        tasks.spawn_local(accept_links(pool.clone(), listener));
        tasks.spawn_local(follow_links(Rc::clone(&core), events));
        tasks.spawn_local(sweep(Rc::clone(&core)));
        tasks.spawn_local(follow_store(
            Rc::clone(&core),
            self.store.port(number, self.links.clone()),
            seeds,
            self.members.subscribe(),
            (vm, zone.clone()),
        ));
        FollowVm {
            number,
            zone,
            core,
            pool,
            links: self.links.clone(),
            closing,
            tasks,
        }
    }

    /// Returns the listener of a VM's process, behind a rate-limited proxy if its link has a rate.
    async fn listen(&self, vm: VmAddress, tasks: &mut JoinSet<()>) -> TcpListener {
        let outer = TcpListener::bind((vm.0, self.peer_port)).await;
        let outer = outer.expect("the fleet's port");
        if self.links.link(vm).is_none() {
            return outer;
        }
        // The VM's own address can't be used: a free port there may be the fleet port of another test.
        let inner = TcpListener::bind((INNER_ADDRESS, 0)).await;
        let inner = inner.expect("a free port");
        let address = inner.local_addr().expect("a bound address");
        tasks.spawn_local(serve_link(outer, address, vm, self.links.clone()));
        inner
    }

    /// Stops a VM's process and starts it again without any state.
    pub async fn restart(&mut self, index: usize, incarnation: u64) {
        let old = self.vms.remove(index);
        let (number, zone) = (old.number, old.zone.clone());
        drop(old);
        tokio::time::sleep(Duration::from_millis(50)).await;
        let vm = self.start_vm(number, zone, incarnation).await;
        self.vms.insert(index, vm);
    }

    /// Sets the outcome of all VMs' calls to the store.
    pub fn set_reach(&self, reach: StoreReach) {
        for vm in &self.vms {
            self.store.set_reach(vm.number, reach);
        }
    }

    /// Changes the rate of a VM's link in each direction, in bytes per second.
    pub fn set_link_rate(&self, number: u8, rate: f64) {
        if let Some(link) = self.links.link(vm_address(number)) {
            link.sent.set_rate(rate);
            link.received.set_rate(rate);
        }
    }

    /// Returns the index of the VM that reads the store for a zone.
    pub fn reader(&self, zone: &str) -> usize {
        let zone: ZoneName = zone.parse().expect("a valid name");
        let readers = super::source::store_readers(&self.members.borrow(), &zone);
        let vm = readers.first().expect("a VM in the zone");
        let found = self
            .vms
            .iter()
            .position(|other| vm_address(other.number) == *vm);
        found.expect("a VM of the fleet")
    }

    /// Writes a configuration without routes.
    pub fn put_config(&self, version: u64) {
        self.store.put(CONFIG_KEY, version.to_string());
    }

    /// Writes a configuration with routes as long as real ones. A larger configuration contains the routes of a smaller
    /// one unchanged.
    pub fn put_routes(&self, version: u64, routes: u64) {
        let mut text = format!("{version}\n");
        for number in 0..routes {
            text.push_str(&route_text(number));
        }
        self.store.put(CONFIG_KEY, text);
    }

    /// Writes the record of a VM outside this fleet.
    pub fn put_vm(&self, last: u8) {
        let address = IpAddr::V4(Ipv4Addr::new(10, 9, 0, last));
        let record = VmRecord {
            caller: SocketAddr::new(address, 1),
            zone: "other".into(),
            region: "other".into(),
            vms: 1,
            cores: 1.0,
        };
        let encoded = postcard::to_stdvec(&record).expect("a record");
        self.store.put(&vm_key(last), encoded);
    }
}

/// Returns a route as an operator writes it, about 170 bytes.
fn route_text(number: u64) -> String {
    let name = xxh3_64(&number.to_be_bytes());
    format!(
        "{{\"name\":\"r-{:07x}\",\"host\":\"{:04x}{:02}.example\",\"prefix\":\"/{:08x}/\",\"service\":\"svc{}\",\
         \"routeType\":\"idempotent\",\"timeoutMs\":{},\"maxAttempts\":2,\"sloMs\":400,\"priority\":{}}},\n",
        name & 0x0fff_ffff,
        name >> 48,
        number % 3,
        name >> 16 & 0xffff_ffff,
        name % 6,
        600 + name % 3 * 950,
        name % 2,
    )
}

/// Sleeps for a number of seconds of virtual time.
pub async fn sleep_seconds(seconds: f64) {
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
}

/// Returns the key of the evacuation of an availability zone.
pub fn evacuation_key(zone: &str) -> CompactString {
    format_compact!("evacuate/{zone}")
}

/// Returns the key of the record of a VM outside the fleet.
pub fn vm_key(last: u8) -> CompactString {
    format_compact!("vm/10.9.0.{last}")
}

pub fn vm_address(number: u8) -> VmAddress {
    VmAddress(IpAddr::V4(Ipv4Addr::new(127, 0, 0, number)))
}

async fn sweep(core: Rc<GatewayCore>) {
    loop {
        tokio::time::sleep(Duration::from_millis(250)).await;
        core.expire_missing(crate::gateway::clock::now());
    }
}
