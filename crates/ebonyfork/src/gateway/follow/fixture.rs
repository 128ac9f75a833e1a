//! A few VMs that follow a store in memory, over real links on loopback and in virtual time.
//!
//! Nothing here decides anything: the store answers, refuses or falls silent for each VM as the test says, and the VMs
//! run the code that a gateway runs.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use super::follow_store;
use super::link_fixture::{LinkMap, serve_link};
use crate::gateway::core::GatewayCore;
use crate::gateway::dialect::{DecodeError, GatewayDialect, StoredKind};
use crate::gateway::fixture::{dialect, entry, settings};
use crate::gateway::ident::ConfigVersion;
use crate::gateway::peers::{accept_links, follow_links, open_links};
use crate::gateway::route::{CallerLimits, RouteTable};
use crate::gateway::vms::VmRecord;
use crate::ident::{IncarnationNumber, SessionId, VmAddress, ZoneName};
use crate::membership::{MemberDigest, MemberEntry, MemberSnapshot, MemberState};
use crate::store::{
    LeaseGrant, LeaseId, StoreError, StoreEvent, StoreItem, StorePage, StorePort, StoreRevision,
    StoreWatch, StoreWrite,
};
use crate::traffic::LinkTraffic;
use crate::wire::PeerPool;

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Items of one page: few, so that a range is read in several calls and changes fall between them.
const PAGE_ITEMS: usize = 5;
/// Where VMs behind links listen.
const INNER_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 0, 1, 1);
/// Bytes of an answer that come in together.
const ANSWER_PART: usize = 16 * 1024;
/// Longest step of the virtual clock. It would otherwise jump to the next timer while a socket is about to be read.
const CLOCK_STEP: Duration = Duration::from_millis(1);

/// Key of the configuration.
pub const CONFIG_KEY: &str = "config";

/// Configurations are their version as text, in a line of its own if routes follow; an upstream belongs to the service that is its value; VMs are VM records.
pub fn text_dialect() -> GatewayDialect {
    GatewayDialect {
        classify: |key| match key.split('/').next() {
            Some(CONFIG_KEY) => StoredKind::Config,
            Some("upstream") => StoredKind::Upstream,
            Some("vm") => StoredKind::Vm,
            _ => StoredKind::Other,
        },
        read_config: |_key, value| {
            let text = String::from_utf8_lossy(value);
            let first = text.lines().next().unwrap_or_default();
            let version = ConfigVersion(first.parse().expect("a version"));
            let limits = CallerLimits {
                header_bytes: 1,
                body_bytes: 1,
                header_time: Duration::from_secs(1),
                idle_time: Duration::from_secs(1),
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

/// What becomes of a VM's calls to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreReach {
    /// They are answered.
    Answers,
    /// They are refused at once, and those that wait are cut.
    Refuses,
    /// Nothing comes back, of calls that wait already neither.
    Silent,
}

#[derive(Debug, Default)]
struct StoreState {
    revision: StoreRevision,
    items: BTreeMap<CompactString, StoreItem>,
    log: Vec<StoreEvent>,
    /// The revision after which the history is held.
    history: StoreRevision,
    reach: BTreeMap<u8, StoreReach>,
    /// How often a VM's connections have fallen silent for good.
    silences: BTreeMap<u8, u32>,
}

/// A store in memory with a history.
#[derive(Debug, Clone)]
pub struct FakeStore {
    state: Arc<Mutex<StoreState>>,
    changed: watch::Sender<u64>,
}

impl FakeStore {
    fn new() -> Self {
        Self {
            state: Arc::default(),
            changed: watch::Sender::new(0),
        }
    }

    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Writes a key.
    pub fn put(&self, key: &str, value: impl Into<Bytes>) {
        let mut state = self.state();
        state.revision.0 += 1;
        let item = StoreItem {
            key: key.into(),
            value: value.into(),
            revision: state.revision,
        };
        state.items.insert(item.key.clone(), item.clone());
        state.log.push(StoreEvent::Written(item));
        drop(state);
        self.wake();
    }

    /// Removes a key, if it is there.
    pub fn remove(&self, key: &str) {
        let mut state = self.state();
        if state.items.remove(key).is_none() {
            return;
        }
        state.revision.0 += 1;
        let revision = state.revision;
        state.log.push(StoreEvent::Removed {
            key: key.into(),
            revision,
        });
        drop(state);
        self.wake();
    }

    /// Drops the history, so that whoever is behind has to read anew.
    pub fn forget_history(&self) {
        let mut state = self.state();
        state.history = state.revision;
        drop(state);
        self.wake();
    }

    /// Sets what becomes of a VM's calls.
    pub fn set_reach(&self, vm: u8, reach: StoreReach) {
        let mut state = self.state();
        state.reach.insert(vm, reach);
        if reach == StoreReach::Silent {
            *state.silences.entry(vm).or_default() += 1;
        }
        drop(state);
        self.wake();
    }

    /// Lets a VM's open calls fall silent for good while new ones are answered.
    pub fn silence_open_calls(&self, vm: u8) {
        *self.state().silences.entry(vm).or_default() += 1;
    }

    /// The keys that begin with a prefix.
    pub fn keys(&self, prefix: &str) -> BTreeSet<CompactString> {
        let state = self.state();
        let keys = state.items.keys();
        keys.filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    fn port(&self, vm: u8, links: LinkMap) -> FakePort {
        FakePort {
            store: self.clone(),
            vm,
            links,
            traffic: LinkTraffic::default(),
        }
    }
}

/// One VM's port to the store.
#[derive(Debug, Clone)]
struct FakePort {
    store: FakeStore,
    vm: u8,
    links: LinkMap,
    traffic: LinkTraffic,
}

impl FakePort {
    fn silences(&self) -> u32 {
        let state = self.store.state();
        state.silences.get(&self.vm).copied().unwrap_or_default()
    }

    fn reach(&self) -> StoreReach {
        let reach = self.store.state().reach.get(&self.vm).copied();
        reach.unwrap_or(StoreReach::Answers)
    }

    fn refuse() -> StoreError {
        StoreError::Refused {
            reason: "503".into(),
        }
    }

    /// The way to the store; returns how often the VM's connections had fallen silent when the call set out.
    async fn enter(&self) -> Result<u32, StoreError> {
        let silences = self.silences();
        tokio::time::sleep(ANSWER_TIME).await;
        match self.reach() {
            StoreReach::Answers => Ok(silences),
            StoreReach::Refuses => Err(Self::refuse()),
            StoreReach::Silent => std::future::pending().await,
        }
    }

    /// The way back, with the bytes of all values: nothing comes over a connection that has fallen silent since the call
    /// set out.
    async fn leave(&self, silences: u32, bytes: usize) {
        if let Some(link) = self.links.link(vm_address(self.vm)) {
            // Values travel as base64.
            let mut left = bytes * 4 / 3;
            while left > 0 {
                let part = left.min(ANSWER_PART);
                link.received.carry(part).await;
                self.traffic.note(part);
                left -= part;
            }
        }
        if self.silences() != silences {
            std::future::pending::<()>().await;
        }
    }
}

fn value_bytes(event: &StoreEvent) -> usize {
    match event {
        StoreEvent::Written(item) => item.value.len(),
        StoreEvent::Removed { .. } => 0,
    }
}

impl StorePort for FakePort {
    fn with_traffic(self, traffic: LinkTraffic) -> Self {
        Self { traffic, ..self }
    }

    async fn read_item(&self, _key: &str) -> Result<Option<StoreItem>, StoreError> {
        unreachable!("followers read ranges")
    }

    async fn read_page(&self, prefix: &str, after: Option<&str>) -> Result<StorePage, StoreError> {
        let silences = self.enter().await?;
        let page = {
            let state = self.store.state();
            let later = |key: &CompactString| {
                key.starts_with(prefix) && after.is_none_or(|after| key.as_str() > after)
            };
            let mut items: Vec<_> = state
                .items
                .values()
                .filter(|item| later(&item.key))
                .collect();
            let more = items.len() > PAGE_ITEMS;
            items.truncate(PAGE_ITEMS);
            StorePage {
                items: items.into_iter().cloned().collect(),
                more,
                revision: state.revision,
            }
        };
        let bytes = page.items.iter().map(|item| item.value.len()).sum();
        self.leave(silences, bytes).await;
        Ok(page)
    }

    async fn watch(
        &self,
        _prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<StoreWatch, StoreError> {
        let silences = self.enter().await?;
        let until = tokio::time::Instant::now() + wait;
        let mut changed = self.store.changed.subscribe();
        loop {
            let found = {
                let state = self.store.state();
                if after < state.history {
                    return Err(StoreError::HistoryGone);
                }
                let later = state.log.iter().filter(|event| event.revision() > after);
                StoreWatch {
                    events: later.cloned().collect(),
                    revision: state.revision,
                }
            };
            let due = tokio::time::Instant::now() >= until;
            if due || !found.events.is_empty() {
                let bytes = found.events.iter().map(value_bytes).sum();
                self.leave(silences, bytes).await;
                return Ok(found);
            }
            // The end of the wait is seen at the next turn.
            let _due = tokio::time::timeout_at(until, changed.changed()).await;
            if self.reach() == StoreReach::Refuses {
                return Err(Self::refuse());
            }
        }
    }

    async fn write(&self, _write: StoreWrite) -> Result<StoreRevision, StoreError> {
        unreachable!("followers write nothing")
    }

    async fn open_lease(&self, _ttl: Duration) -> Result<LeaseGrant, StoreError> {
        unreachable!("followers hold no lease")
    }

    async fn renew_lease(&self, _lease: LeaseId) -> Result<(), StoreError> {
        unreachable!("followers hold no lease")
    }

    async fn end_lease(&self, _lease: LeaseId) -> Result<(), StoreError> {
        unreachable!("followers hold no lease")
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

/// Key of the record of a VM that is not of the fleet.
pub fn vm_key(last: u8) -> CompactString {
    format_compact!("vm/10.9.0.{last}")
}

fn vm_address(number: u8) -> VmAddress {
    VmAddress(IpAddr::V4(Ipv4Addr::new(127, 0, 0, number)))
}

async fn sweep(core: Rc<GatewayCore>) {
    loop {
        tokio::time::sleep(Duration::from_millis(250)).await;
        core.registry.expire(crate::gateway::clock::now());
    }
}
