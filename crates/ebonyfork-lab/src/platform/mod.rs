//! Stand-in for the platform: its store, and the VM list that is kept in it.
//!
//! The store is the one that speaks the platform's published protocol, with its faults on demand
//! ([`ebonyfork_stand_in`]). Here the VM list is written into it, late by a lag that a run sets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ebonyfork::topology::{VM_LIST_PREFIX, VmRecord, VmState};
use ebonyfork_platform::PlatformStore;
use ebonyfork_stand_in::guard::lock;
use ebonyfork_stand_in::store::KvStore;
use ebonyfork_stand_in::store_server::StoreServer;

use crate::clock::RunClock;
use crate::error::LabError;

/// A running platform stand-in; it stops when dropped.
///
/// # Examples
///
/// ```
/// use ebonyfork_lab::platform::PlatformStandIn;
/// use ebonyfork_stand_in::store_faults::{StoreFaults, StoreOutage};
///
/// # tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(async {
/// let platform = PlatformStandIn::start("127.0.0.1:0".parse()?).await?;
/// platform.store().put("index/tender", r#"{"epoch":1,"versions":[]}"#);
/// let outage = Some(StoreOutage::Busy);
/// platform.store().set_faults(StoreFaults { outage, ..StoreFaults::default() });
/// assert_eq!(platform.store().calls().total(), 0);
/// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct PlatformStandIn {
    clock: RunClock,
    shared: Arc<ListShared>,
    lag: Mutex<Duration>,
}

#[derive(Debug)]
struct ListShared {
    store: StoreServer,
    list: Mutex<VmListing>,
}

/// The VM list as it stands in the store.
#[derive(Debug, Default)]
struct VmListing {
    records: BTreeMap<String, VmRecord>,
    /// The states of upstreams that leave: address, key and the key's revision.
    leaving: Vec<(SocketAddr, String, u64)>,
}

impl PlatformStandIn {
    /// Starts on an address; port 0 picks a free one.
    pub async fn start(listen: SocketAddr) -> Result<Self, LabError> {
        Self::start_with_clock(listen, RunClock::start()).await
    }

    /// Starts with the clock of a run.
    pub async fn start_with_clock(listen: SocketAddr, clock: RunClock) -> Result<Self, LabError> {
        let store = StoreServer::start(listen).await;
        let store = store.map_err(|source| LabError::Listen {
            address: listen,
            source,
        })?;
        let list = Mutex::default();
        Ok(Self {
            clock,
            shared: Arc::new(ListShared { store, list }),
            lag: Mutex::default(),
        })
    }

    /// The address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.shared.store.address()
    }

    /// The store.
    pub fn store(&self) -> &StoreServer {
        &self.shared.store
    }

    /// A client of the store, as the tier's processes have one.
    pub fn client(&self) -> PlatformStore {
        PlatformStore::new(self.address())
    }

    /// Replaces the VM list after the lag.
    pub fn set_vms(&self, vms: Vec<VmRecord>) {
        let lag = *lock(&self.lag);
        if lag.is_zero() {
            self.shared.write_list(vms);
            return;
        }
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            tokio::time::sleep(lag).await;
            shared.write_list(vms);
        });
    }

    /// Sets how far the VM list lags behind.
    pub fn set_vm_lag(&self, lag: Duration) {
        *lock(&self.lag) = lag;
    }

    /// Restarts with the data of a backup: what was written since is gone. The VM list is not ours and stays.
    pub fn restart_with(&self, backup: KvStore) {
        let mut list = lock(&self.shared.list);
        self.shared.store.restore(backup);
        for (key, record) in &list.records {
            self.shared.store.put(key, encode(record));
        }
        list.leaving.clear();
    }

    /// Returns when each upstream was first shown as leaving to any process.
    pub fn leaving_shown(&self) -> BTreeMap<SocketAddr, Duration> {
        let list = lock(&self.shared.list);
        let mut shown = BTreeMap::new();
        for (address, key, revision) in &list.leaving {
            let Some(told) = self.shared.store.first_told(key, *revision) else {
                continue;
            };
            shown.entry(*address).or_insert(self.clock.at(told));
        }
        shown
    }
}

impl ListShared {
    fn write_list(&self, vms: Vec<VmRecord>) {
        let mut list = lock(&self.list);
        let next: BTreeMap<String, VmRecord> =
            vms.into_iter().map(|vm| (list_key(&vm), vm)).collect();
        for (key, record) in &next {
            if list.records.get(key) == Some(record) {
                continue;
            }
            let revision = self.store.put(key, encode(record));
            if let (VmState::Leaving, Some(port)) = (record.state, record.port) {
                let address = SocketAddr::new(record.ip, port);
                list.leaving.push((address, key.clone(), revision));
            }
        }
        for key in list.records.keys().filter(|key| !next.contains_key(*key)) {
            self.store.remove(key);
        }
        list.records = next;
    }
}

fn list_key(record: &VmRecord) -> String {
    match record.port {
        Some(port) => format!("{VM_LIST_PREFIX}{}", SocketAddr::new(record.ip, port)),
        None => format!("{VM_LIST_PREFIX}{}", record.ip),
    }
}

/// Encodes a line; it has no map keys or floats that JSON can't hold, so this can't fail.
fn encode(record: &VmRecord) -> Vec<u8> {
    serde_json::to_vec(record).unwrap_or_default()
}

#[cfg(test)]
#[path = "platform_tests.rs"]
mod tests;
