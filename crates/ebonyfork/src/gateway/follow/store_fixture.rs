//! An in-memory store with a history that responds to, refuses or ignores each VM's calls as a test sets.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use rand::Rng;
use rand::seq::SliceRandom;
use tokio::sync::watch;

use super::fixture::vm_address;
use super::link_fixture::LinkMap;
use crate::store::{
    LeaseGrant, LeaseId, StoreEra, StoreError, StoreEvent, StoreItem, StorePage, StorePort,
    StoreRevision, StoreWatch, StoreWrite,
};
use crate::traffic::LinkTraffic;

/// Time that the store takes to respond.
const RESPONSE_TIME: Duration = Duration::from_millis(4);
/// Items per page: few, so that a full read takes several calls and changes occur between them.
const PAGE_ITEMS: usize = 5;
/// Bytes of a response that are received at once.
const RESPONSE_CHUNK_BYTES: usize = 16 * 1024;

/// Outcome of a VM's calls to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreReach {
    /// Calls are answered.
    Answers,
    /// New calls are refused at once, and waiting calls fail.
    Refuses,
    /// Neither new nor waiting calls get a response.
    Silent,
}

/// The store's content at one time.
#[derive(Debug, Clone, Default)]
pub struct StoreContent {
    revision: StoreRevision,
    items: BTreeMap<CompactString, StoreItem>,
    log: Vec<StoreEvent>,
    /// The revision after which the history is kept, exclusive.
    history: StoreRevision,
}

#[derive(Debug, Default)]
struct StoreState {
    content: StoreContent,
    era: StoreEra,
    reach: BTreeMap<u8, StoreReach>,
    /// How often each VM's open connections have fallen silent for good.
    silences: BTreeMap<u8, u32>,
    /// Number of calls of each VM.
    calls: BTreeMap<u8, usize>,
}

/// An in-memory store with a history.
#[derive(Debug, Clone)]
pub struct FakeStore {
    state: Arc<Mutex<StoreState>>,
    changed: watch::Sender<u64>,
}

impl FakeStore {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self {
            state: Arc::default(),
            changed: watch::Sender::new(0),
        }
    }

    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Writes a key.
    pub fn put(&self, key: &str, value: impl Into<Bytes>) {
        let mut state = self.state();
        let content = &mut state.content;
        content.revision = content.revision.next();
        let item = StoreItem {
            key: key.into(),
            value: value.into(),
            revision: content.revision,
        };
        content.items.insert(item.key.clone(), item.clone());
        content.log.push(StoreEvent::Written(item));
        drop(state);
        self.notify();
    }

    /// Removes a key if it exists.
    pub fn remove(&self, key: &str) {
        let mut state = self.state();
        let content = &mut state.content;
        if content.items.remove(key).is_none() {
            return;
        }
        content.revision = content.revision.next();
        let revision = content.revision;
        content.log.push(StoreEvent::Removed {
            key: key.into(),
            revision,
        });
        drop(state);
        self.notify();
    }

    /// Drops the history, so that a VM that is behind has to read everything again.
    pub fn forget_history(&self) {
        let mut state = self.state();
        state.content.history = state.content.revision;
        drop(state);
        self.notify();
    }

    /// Returns the current content with its history.
    pub fn content(&self) -> StoreContent {
        self.state().content.clone()
    }

    /// Restores the store from a copy. Later writes are lost, and their revisions are assigned again.
    pub fn restore(&self, copy: StoreContent) {
        let mut state = self.state();
        state.content = copy;
        state.era.0 += 1;
        drop(state);
        self.notify();
    }

    /// Writes lost items again in random order, as operators and upstreams do, and removes again the items that had
    /// been removed.
    pub fn rewrite_lost(&self, truth: &StoreContent, rng: &mut impl Rng) {
        let held = self.content().items;
        let gone = held.keys().filter(|key| !truth.items.contains_key(*key));
        let lost = truth.items.values().filter(|item| {
            let held = held.get(&item.key);
            held.is_none_or(|held| held.value != item.value)
        });
        let mut keys: Vec<_> = lost.map(|item| &item.key).chain(gone).collect();
        keys.shuffle(rng);
        for key in keys {
            match truth.items.get(key) {
                Some(item) => self.put(key, item.value.clone()),
                None => self.remove(key),
            }
        }
    }

    /// Sets the outcome of a VM's calls.
    pub fn set_reach(&self, vm: u8, reach: StoreReach) {
        let mut state = self.state();
        state.reach.insert(vm, reach);
        if reach == StoreReach::Silent {
            *state.silences.entry(vm).or_default() += 1;
        }
        drop(state);
        self.notify();
    }

    /// Makes a VM's open calls fall silent for good while new calls are answered.
    pub fn silence_open_calls(&self, vm: u8) {
        *self.state().silences.entry(vm).or_default() += 1;
    }

    /// Returns the keys that start with a prefix.
    pub fn keys(&self, prefix: &str) -> BTreeSet<CompactString> {
        let state = self.state();
        let keys = state.content.items.keys();
        keys.filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Returns the number of calls that a VM has made.
    pub fn calls(&self, vm: u8) -> usize {
        self.state().calls.get(&vm).copied().unwrap_or_default()
    }

    /// Returns a VM's port, whose responses are received over that VM's link.
    pub fn port(&self, vm: u8, links: LinkMap) -> FakePort {
        FakePort {
            store: self.clone(),
            vm,
            links,
            traffic: LinkTraffic::default(),
        }
    }
}

/// A VM's port to the store.
#[derive(Debug, Clone)]
pub struct FakePort {
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

    /// Starts a call and returns how often the VM's connections had fallen silent by then.
    async fn begin_call(&self) -> Result<u32, StoreError> {
        let silences = self.silences();
        *self.store.state().calls.entry(self.vm).or_default() += 1;
        tokio::time::sleep(RESPONSE_TIME).await;
        match self.reach() {
            StoreReach::Answers => Ok(silences),
            StoreReach::Refuses => Err(Self::refuse()),
            StoreReach::Silent => std::future::pending().await,
        }
    }

    /// Delays the response by the link's rate. A connection that fell silent after the call started never delivers the
    /// response.
    async fn finish_call(&self, silences: u32, bytes: usize) {
        if let Some(link) = self.links.link(vm_address(self.vm)) {
            // Values are sent as base64.
            let mut left = bytes * 4 / 3;
            while left > 0 {
                let part = left.min(RESPONSE_CHUNK_BYTES);
                link.received.transmit(part).await;
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
        unreachable!("followers read pages")
    }

    async fn read_page(&self, prefix: &str, after: Option<&str>) -> Result<StorePage, StoreError> {
        let silences = self.begin_call().await?;
        let page = {
            let state = self.store.state();
            let later = |key: &CompactString| {
                key.starts_with(prefix) && after.is_none_or(|after| key.as_str() > after)
            };
            let mut items: Vec<_> = state
                .content
                .items
                .values()
                .filter(|item| later(&item.key))
                .collect();
            let more = items.len() > PAGE_ITEMS;
            items.truncate(PAGE_ITEMS);
            let page = StorePage {
                items: items.into_iter().cloned().collect(),
                more,
                revision: state.content.revision,
            };
            page.with_era(state.era)
        };
        let bytes = page.items.iter().map(|item| item.value.len()).sum();
        self.finish_call(silences, bytes).await;
        Ok(page)
    }

    async fn watch(
        &self,
        _prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<StoreWatch, StoreError> {
        let silences = self.begin_call().await?;
        let until = tokio::time::Instant::now() + wait;
        let mut changed = self.store.changed.subscribe();
        loop {
            let found = {
                let state = self.store.state();
                let content = &state.content;
                // The store receives only the number of the revision, not its era.
                let after = StoreRevision::new(after.number());
                if after < content.history || after > content.revision {
                    return Err(StoreError::HistoryGone);
                }
                let later = content.log.iter();
                let later = later.filter(|event| event.revision() > after);
                let watch = StoreWatch {
                    events: later.cloned().collect(),
                    revision: content.revision,
                };
                watch.with_era(state.era)
            };
            let due = tokio::time::Instant::now() >= until;
            if due || !found.events.is_empty() {
                let bytes = found.events.iter().map(value_bytes).sum();
                self.finish_call(silences, bytes).await;
                return Ok(found);
            }
            // The next iteration handles the end of the wait.
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
