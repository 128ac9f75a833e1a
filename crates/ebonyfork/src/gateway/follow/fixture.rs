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
use tokio::task::{AbortHandle, JoinSet};
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use super::follow_store;
use super::link_fixture::{LinkMap, serve_link};
use super::store_fixture::{FakeStore, StoreReach};
use crate::gateway::core::GatewayCore;
use crate::gateway::dialect::{DecodeError, GatewayDialect, StoredKind};
use crate::gateway::fixture::{dialect, entry, settings};
use crate::gateway::ident::{ConfigVersion, PlaceName, UpstreamService};
use crate::gateway::peers::{accept_links, follow_links, open_links};
use crate::gateway::policy::cold::{ColdBound, RequestRate};
use crate::gateway::route::{CallerLimits, RouteTable, ServiceTerms};
use crate::gateway::upstream::UpstreamEntry;
use crate::gateway::vms::VmRecord;
use crate::ident::{IncarnationNumber, SessionId, VmAddress, ZoneName};
use crate::membership::{MemberDigest, MemberEntry, MemberSnapshot, MemberState};
use crate::wire::{PeerPool, PoolSettings};

/// Address on which the processes of VMs listen if their links have a rate. The VM's own address then belongs to the
/// proxy that limits the rate and forwards connections to the process.
const PROCESS_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 0, 1, 1);
/// Longest step of the virtual clock. Without this limit the clock would jump to the next timer while data is ready on
/// a socket.
const CLOCK_STEP: Duration = Duration::from_millis(1);

/// Key of the configuration in the store.
pub const CONFIG_KEY: &str = "config";

/// Text that the dialect takes for a credential in any value.
pub const CREDENTIAL: &str = "credential-as-text";

/// Time for which a cold upstream stays cold.
const COLD_TIME: Duration = Duration::from_secs(3);

/// Returns a dialect with plain-text records. The first line of a configuration is its version, and routes may follow;
/// the value of an upstream is its service, and ` cold` after it if it is cold; VMs are encoded VM records; the key of an evacuation ends with its
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
            let first_line = text.lines().next().unwrap_or_default();
            let version = ConfigVersion(first_line.parse().expect("a version"));
            let limits = CallerLimits {
                header_bytes: 1,
                body_bytes: 1,
                header_timeout: Duration::from_secs(1),
                idle_timeout: Duration::from_secs(1),
            };
            let services = [(UpstreamService::new("s"), service_terms())];
            Ok(RouteTable::new(version, [], services, limits))
        },
        // Values that are no text, such as the records of VMs, stay as they are.
        replace_credentials: |_key, value| match std::str::from_utf8(&value) {
            Ok(text) => text.replace(CREDENTIAL, "digest").into(),
            Err(_error) => value,
        },
        read_upstream: |key, value| {
            let service = String::from_utf8_lossy(value);
            if service == "unreadable" {
                return Err(DecodeError {
                    key: key.into(),
                    reason: "unreadable".into(),
                });
            }
            let (service, is_cold) = match service.strip_suffix(" cold") {
                Some(service) => (service, true),
                None => (&*service, false),
            };
            let address = ([127, 0, 0, 1], 1).into();
            let cold_remaining = if is_cold { COLD_TIME } else { Duration::ZERO };
            Ok(UpstreamEntry {
                cold_remaining,
                ..entry(key, service, "north-a", address)
            })
        },
        ..dialect()
    }
}

/// Returns terms of a service whose upstreams tolerate few requests while they are cold.
fn service_terms() -> ServiceTerms {
    ServiceTerms {
        connections: 20,
        cold_rate: RequestRate(2.0),
        cold_time: COLD_TIME,
    }
}

/// A running VM of the fleet, with its gateway and its links.
pub struct FollowVm {
    /// The last byte of the VM's address.
    pub number: u8,
    /// The VM's availability zone.
    pub zone: ZoneName,
    core: Rc<GatewayCore>,
    pool: PeerPool,
    /// The rate-limited links of all VMs.
    links: LinkMap,
    /// Ends the VM's links when it is cancelled.
    link_cancellation: CancellationToken,
    tasks: JoinSet<()>,
    follower: AbortHandle,
}

impl FollowVm {
    /// Returns the number of bytes that the VM has sent over its link; 0 if the link has no rate.
    pub fn sent_bytes(&self) -> usize {
        let link = self.links.link(vm_address(self.number));
        link.map_or(0, |link| link.send_direction.transmitted_bytes())
    }

    /// Returns the value of the configuration in the VM's copy of the store.
    pub fn config_text(&self) -> String {
        let copy = self.core.relay.copy();
        let value = copy.get(CONFIG_KEY).map(|item| item.value.clone());
        String::from_utf8_lossy(&value.unwrap_or_default()).into_owned()
    }

    /// Returns the number of the store's answers to this VM that could not be decoded.
    pub fn malformed_answers(&self) -> u64 {
        self.core.metrics.copy.malformed_answers.get()
    }

    /// Returns whether the VM's copy of the store is stale, so that it may lack changes that should be in force by now.
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

    /// Returns whether the VM may send to an upstream of service `s` now, as to a warm one.
    pub fn may_send(&self, key: &str) -> bool {
        let upstreams = self.core.registry.upstreams(&UpstreamService::new("s"));
        let mut upstreams = upstreams.iter();
        let upstream = upstreams.find(|upstream| upstream.entry().instance.as_str() == key);
        upstream.is_some_and(|upstream| self.core.allows_cold_send(upstream))
    }

    /// Returns the keys of the evacuations in force on the VM.
    pub fn evacuations(&self) -> BTreeSet<CompactString> {
        let zones = self.core.registry.evacuated_zones();
        let key = |zone: &PlaceName| evacuation_key(zone.as_str());
        zones.iter().map(key).collect()
    }

    /// Returns the keys of the VM records that this VM has read from the store.
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
        self.link_cancellation.cancel();
        self.tasks.abort_all();
    }
}

/// A fleet of VMs that follow one store.
pub struct FollowFleet {
    /// The store that the VMs follow.
    pub store: FakeStore,
    /// The VMs of the fleet.
    pub vms: Vec<FollowVm>,
    /// The state of every VM as gossip reports it to all VMs.
    members: watch::Sender<Arc<MemberSnapshot>>,
    /// The port on which every VM listens for links.
    peer_port: u16,
    links: LinkMap,
    max_change_delay: Duration,
}

impl FollowFleet {
    /// Starts one VM for each zone in `zones`. Must run inside a `LocalSet` on a paused clock.
    pub async fn start(zones: &[&str]) -> Self {
        Self::start_with(zones, None, settings().change_bound).await
    }

    /// Starts one VM for each zone in `zones`. `link_rate` limits each link in bytes per second, and a change must be
    /// in force on all VMs within `max_change_delay`.
    pub async fn start_with(
        zones: &[&str],
        link_rate: Option<f64>,
        max_change_delay: Duration,
    ) -> Self {
        tokio::task::spawn_local(async {
            loop {
                tokio::time::sleep(CLOCK_STEP).await;
            }
        });
        let probe_listener = TcpListener::bind((vm_address(1).0, 0)).await;
        let probe_listener = probe_listener.expect("a free port");
        let peer_port = probe_listener.local_addr().expect("a bound address").port();
        drop(probe_listener);
        let mut fleet = Self {
            store: FakeStore::new(),
            vms: Vec::new(),
            members: watch::Sender::default(),
            peer_port,
            links: LinkMap::new(link_rate),
            max_change_delay,
        };
        for (number, zone) in (1..).zip(zones) {
            let zone: ZoneName = zone.parse().expect("a valid name");
            let vm = fleet.start_vm(number, zone, 1).await;
            fleet.vms.push(vm);
        }
        fleet.publish_members();
        fleet
    }

    /// Makes gossip report all VMs as alive.
    fn publish_members(&self) {
        self.suspect(None);
    }

    /// Makes gossip suspect one VM, or none, and report all others as alive.
    pub fn suspect(&self, suspected: Option<u8>) {
        let member_entry = |vm: &FollowVm| MemberEntry {
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
        let snapshot = MemberSnapshot::new(self.vms.iter().map(member_entry));
        self.members.send_replace(Arc::new(snapshot));
    }

    /// Starts a VM's process, which follows the store.
    async fn start_vm(&self, number: u8, zone: ZoneName, incarnation: u64) -> FollowVm {
        let vm = vm_address(number);
        let mut tasks = JoinSet::new();
        let listener = self.listen(vm, &mut tasks).await;
        let mut settings = settings();
        settings.place.address = vm.0;
        settings.change_bound = self.max_change_delay;
        settings.cold_bound = Some(ColdBound {
            overage: 1.5,
            slack: 5.0,
        });
        settings.listen.caller_address = SocketAddr::new(vm.0, self.peer_port);
        let core = Rc::new(GatewayCore::new(settings, text_dialect()));
        let session = SessionId::new(vm, IncarnationNumber(incarnation));
        let link_cancellation = CancellationToken::new();
        let (pool, events) = open_links(
            PoolSettings::new(session, self.peer_port),
            link_cancellation.clone(),
        );
        core.delegates.set_pool(pool.clone());
        let (seeds, _receiver) = watch::channel(Arc::default());
        tasks.spawn_local(accept_links(pool.clone(), listener));
        tasks.spawn_local(follow_links(Rc::clone(&core), events));
        tasks.spawn_local(expire_regularly(Rc::clone(&core)));
        let follower = tasks.spawn_local(follow_store(
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
            link_cancellation,
            tasks,
            follower,
        }
    }

    /// Returns the listener of a VM's process, and starts a proxy in front of it if its link has a rate.
    async fn listen(&self, vm: VmAddress, tasks: &mut JoinSet<()>) -> TcpListener {
        let outer_listener = TcpListener::bind((vm.0, self.peer_port)).await;
        let outer_listener = outer_listener.expect("the fleet's port");
        if self.links.link(vm).is_none() {
            return outer_listener;
        }
        // The process can't listen on another port of the VM's own address: a port that is free there may be the one on
        // which all VMs of another test's fleet listen.
        let inner_listener = TcpListener::bind((PROCESS_ADDRESS, 0)).await;
        let inner_listener = inner_listener.expect("a free port");
        let inner_address = inner_listener.local_addr().expect("a bound address");
        tasks.spawn_local(serve_link(
            outer_listener,
            inner_address,
            vm,
            self.links.clone(),
        ));
        inner_listener
    }

    /// Stops a VM's process and starts it again without any state.
    pub async fn restart(&mut self, index: usize, incarnation: u64) {
        let old_vm = self.vms.remove(index);
        let (number, zone) = (old_vm.number, old_vm.zone.clone());
        drop(old_vm);
        tokio::time::sleep(Duration::from_millis(50)).await;
        let vm = self.start_vm(number, zone, incarnation).await;
        self.vms.insert(index, vm);
    }

    /// Ends the tasks of all VMs that follow the store.
    pub fn end_followers(&self) {
        for vm in &self.vms {
            vm.follower.abort();
        }
    }

    /// Returns how many VMs callers may use, after two observations.
    pub fn fit_count(&self) -> usize {
        let is_fit = |vm: &&FollowVm| {
            vm.core.watch_copy(crate::gateway::clock::now());
            vm.core.watch_copy(crate::gateway::clock::now());
            vm.core.is_ready()
        };
        self.vms.iter().filter(is_fit).count()
    }

    /// Ends the task of a VM that follows the store and starts it again, as the supervisor does.
    pub fn restart_follower(&mut self, index: usize) {
        let (seeds, _receiver) = watch::channel(Arc::default());
        let vm = &mut self.vms[index];
        vm.follower.abort();
        let address = vm_address(vm.number);
        vm.follower = vm.tasks.spawn_local(follow_store(
            Rc::clone(&vm.core),
            self.store.port(vm.number, self.links.clone()),
            seeds,
            self.members.subscribe(),
            (address, vm.zone.clone()),
        ));
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
            link.send_direction.set_rate(rate);
            link.receive_direction.set_rate(rate);
        }
    }

    /// Returns the index of the VM that reads the store for a zone.
    pub fn reader_index(&self, zone: &str) -> usize {
        let zone: ZoneName = zone.parse().expect("a valid name");
        let readers = super::source::store_readers(&self.members.borrow(), &zone);
        let reader = readers.first().expect("a VM in the zone");
        let index = self
            .vms
            .iter()
            .position(|vm| vm_address(vm.number) == *reader);
        index.expect("a VM of the fleet")
    }

    /// Writes a configuration without routes.
    pub fn put_config(&self, version: u64) {
        self.store.put(CONFIG_KEY, version.to_string());
    }

    /// Writes a configuration with `route_count` routes as long as real ones. A larger configuration contains the
    /// routes of a smaller one unchanged.
    pub fn put_routes(&self, version: u64, route_count: u64) {
        let mut text = format!("{version}\n");
        for number in 0..route_count {
            text.push_str(&route_text(number));
        }
        self.store.put(CONFIG_KEY, text);
    }

    /// Writes the record of a VM that is not one of [`FollowFleet::vms`], with the address 10.9.0.`host_number`.
    pub fn put_vm(&self, host_number: u8) {
        let address = IpAddr::V4(Ipv4Addr::new(10, 9, 0, host_number));
        let record = VmRecord {
            caller: SocketAddr::new(address, 1),
            zone: "other".into(),
            region: "other".into(),
            vms: 1,
            cores: 1.0,
        };
        let encoded_record = postcard::to_stdvec(&record).expect("a record");
        self.store.put(&vm_key(host_number), encoded_record);
    }
}

/// Returns a route as an operator writes it, about 170 bytes.
fn route_text(number: u64) -> String {
    let hash = xxh3_64(&number.to_be_bytes());
    format!(
        "{{\"name\":\"r-{:07x}\",\"host\":\"{:04x}{:02}.example\",\"prefix\":\"/{:08x}/\",\"service\":\"svc{}\",\
         \"routeType\":\"idempotent\",\"timeoutMs\":{},\"maxAttempts\":2,\"sloMs\":400,\"priority\":{}}},\n",
        hash & 0x0fff_ffff,
        hash >> 48,
        number % 3,
        hash >> 16 & 0xffff_ffff,
        hash % 6,
        600 + hash % 3 * 950,
        hash % 2,
    )
}

/// Sleeps for a number of seconds of virtual time.
pub async fn sleep_seconds(seconds: f64) {
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
}

/// Returns the store key whose existence evacuates an availability zone.
pub fn evacuation_key(zone: &str) -> CompactString {
    format_compact!("evacuate/{zone}")
}

/// Returns the store key of the record that [`FollowFleet::put_vm`] writes for the VM 10.9.0.`host_number`.
pub fn vm_key(host_number: u8) -> CompactString {
    format_compact!("vm/10.9.0.{host_number}")
}

/// Returns the loopback address of a VM of the fleet.
pub fn vm_address(number: u8) -> VmAddress {
    VmAddress(IpAddr::V4(Ipv4Addr::new(127, 0, 0, number)))
}

/// Regularly removes the entries and evacuations that were kept although the store lacks them and whose retention time
/// has passed.
async fn expire_regularly(core: Rc<GatewayCore>) {
    loop {
        tokio::time::sleep(Duration::from_millis(250)).await;
        core.expire_missing(crate::gateway::clock::now());
    }
}
