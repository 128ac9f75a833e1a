//! A few VMs that follow a store in memory, over real links on loopback and in virtual time.
//!
//! Nothing here decides anything: the store answers, refuses or falls silent for each VM as the test says, and the VMs
//! run the code that a gateway runs.

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

/// Where VMs behind links listen.
const INNER_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 0, 1, 1);
/// Longest step of the virtual clock. It would otherwise jump to the next timer while a socket is about to be read.
const CLOCK_STEP: Duration = Duration::from_millis(1);

/// Key of the configuration.
pub const CONFIG_KEY: &str = "config";

/// Configurations are their version as text, in a line of its own if routes follow; an upstream belongs to the service that
/// is its value; VMs are VM records; a key of an evacuation ends with its availability zone.
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

/// One VM that follows the store.
pub struct FollowVm {
    /// The last number of its address.
    pub number: u8,
    /// Its availability zone.
    pub zone: ZoneName,
    core: Rc<GatewayCore>,
    pool: PeerPool,
    links: LinkMap,
    closing: CancellationToken,
    tasks: JoinSet<()>,
}

impl FollowVm {
    /// Bytes that its link has carried, if that has a rate.
    pub fn sent_bytes(&self) -> usize {
        let link = self.links.link(vm_address(self.number));
        link.map_or(0, |link| link.sent.carried())
    }

    /// Whether it knows that its copy of the store may lack changes that are due.
    pub fn is_old(&self) -> bool {
        self.core.relay.is_old()
    }

    /// The version of the configuration in force; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.core.table().map_or(0, |table| table.version().0)
    }

    /// The keys of the upstreams that it may use.
    pub fn upstreams(&self) -> BTreeSet<CompactString> {
        let keys = RefCell::new(BTreeSet::new());
        self.core.registry.for_each(|upstream| {
            keys.borrow_mut()
                .insert(CompactString::new(upstream.entry().instance.as_str()));
        });
        keys.into_inner()
    }

    /// The keys of the evacuations that it has in force.
    pub fn evacuations(&self) -> BTreeSet<CompactString> {
        let zones = self.core.registry.evacuated_zones();
        let key = |zone: &PlaceName| evacuation_key(zone.as_str());
        zones.iter().map(key).collect()
    }

    /// The keys of the VMs that it knows from the store.
    pub fn vms(&self) -> BTreeSet<CompactString> {
        let seeds = self.core.vms.seeds();
        seeds.iter().map(|vm| format_compact!("vm/{vm}")).collect()
    }

    /// Breaks the links that it has opened.
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

/// VMs that follow one store.
pub struct FollowFleet {
    /// The store.
    pub store: FakeStore,
    /// The VMs.
    pub vms: Vec<FollowVm>,
    members: watch::Sender<Arc<MemberSnapshot>>,
    peer_port: u16,
    links: LinkMap,
    change_bound: Duration,
}

impl FollowFleet {
    /// Starts a VM in each of the zones named. Must run inside a `LocalSet` on a paused clock.
    pub async fn start(zones: &[&str]) -> Self {
        Self::start_with(zones, None, settings().change_bound).await
    }

    /// Starts VMs whose links carry only so many bytes a second, with changes due within a time.
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
        fleet.tell_members();
        fleet
    }

    fn tell_members(&self) {
        self.suspect(None);
    }

    /// Lets gossip suspect a VM, and no other.
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

    async fn start_vm(&self, number: u8, zone: ZoneName, life: u64) -> FollowVm {
        let vm = vm_address(number);
        let mut tasks = JoinSet::new();
        let listener = self.listen(vm, &mut tasks).await;
        let mut settings = settings();
        settings.place.address = vm.0;
        settings.change_bound = self.change_bound;
        settings.listen.callers = SocketAddr::new(vm.0, self.peer_port);
        let core = Rc::new(GatewayCore::new(settings, text_dialect()));
        let session = SessionId::new(vm, IncarnationNumber(life));
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

    /// The listener of a VM's process, behind its link if that has a rate.
    async fn listen(&self, vm: VmAddress, tasks: &mut JoinSet<()>) -> TcpListener {
        let outer = TcpListener::bind((vm.0, self.peer_port)).await;
        let outer = outer.expect("the fleet's port");
        if self.links.link(vm).is_none() {
            return outer;
        }
        // Not at the VM's own address: there the port may be the one of another fleet.
        let inner = TcpListener::bind((INNER_ADDRESS, 0)).await;
        let inner = inner.expect("a free port");
        let address = inner.local_addr().expect("a bound address");
        tasks.spawn_local(serve_link(outer, address, vm, self.links.clone()));
        inner
    }

    /// Ends a VM's process and starts it again: it knows nothing.
    pub async fn restart(&mut self, place: usize, life: u64) {
        let old = self.vms.remove(place);
        let (number, zone) = (old.number, old.zone.clone());
        drop(old);
        tokio::time::sleep(Duration::from_millis(50)).await;
        let vm = self.start_vm(number, zone, life).await;
        self.vms.insert(place, vm);
    }

    /// Sets what becomes of all VMs' calls to the store.
    pub fn set_reach(&self, reach: StoreReach) {
        for vm in &self.vms {
            self.store.set_reach(vm.number, reach);
        }
    }

    /// Changes what a VM's link carries, in bytes a second each way.
    pub fn set_link_rate(&self, number: u8, rate: f64) {
        if let Some(link) = self.links.link(vm_address(number)) {
            link.sent.set_rate(rate);
            link.received.set_rate(rate);
        }
    }

    /// The place of the VM of a zone that asks the store for the others.
    pub fn asking(&self, zone: &str) -> usize {
        let zone: ZoneName = zone.parse().expect("a valid name");
        let asking = super::source::asking_vms(&self.members.borrow(), &zone);
        let vm = asking.first().expect("a VM in the zone");
        let found = self
            .vms
            .iter()
            .position(|other| vm_address(other.number) == *vm);
        found.expect("a VM of the fleet")
    }

    /// Writes a configuration.
    pub fn put_config(&self, version: u64) {
        self.store.put(CONFIG_KEY, version.to_string());
    }

    /// Writes a configuration of many routes, each as long as an operator's; those of a smaller one stay as they are.
    pub fn put_routes(&self, version: u64, routes: u64) {
        let mut text = format!("{version}\n");
        for number in 0..routes {
            text.push_str(&route_text(number));
        }
        self.store.put(CONFIG_KEY, text);
    }

    /// Writes the record of a VM that is not of this fleet.
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

/// A route as an operator writes it, some 170 bytes.
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

/// Lets virtual time pass.
pub async fn pass(seconds: f64) {
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
}

/// Key of the evacuation of an availability zone.
pub fn evacuation_key(zone: &str) -> CompactString {
    format_compact!("evacuate/{zone}")
}

/// Key of the record of a VM that is not of the fleet.
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
