//! An in-memory store that responds to, refuses or ignores each VM's calls as a test sets.
//!
//! The store logs its changes. Watches are answered from this log, unless the part that they need was dropped.

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
/// Number of items per page: few, so that a full read takes several calls and changes occur between them.
const PAGE_ITEMS: usize = 5;
/// Number of bytes of a response that are received at once.
const RESPONSE_CHUNK_BYTES: usize = 16 * 1024;

/// Outcome of a VM's calls to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreReach {
    /// The store responds to calls.
    Answers,
    /// New calls are refused at once, and waiting calls fail.
    Refuses,
    /// Neither new nor waiting calls get a response.
    Silent,
    /// New calls get a response that can't be decoded.
    Malformed,
}

/// The store's items and the log of its changes at one time.
#[derive(Debug, Clone, Default)]
pub struct StoreContent {
    /// The revision of the last change.
    revision: StoreRevision,
    items: BTreeMap<CompactString, StoreItem>,
    /// All changes, in the order of their revisions.
    change_log: Vec<StoreEvent>,
    /// The lowest revision from which watches are answered. A watch from an earlier revision fails, because the store
    /// no longer keeps the changes after that revision.
    oldest_watch_revision: StoreRevision,
}

impl StoreContent {
    /// Returns the content as it was some changes ago.
    fn aged(&self, changes: u64) -> Self {
        let number = self.revision.number().saturating_sub(changes);
        let revision = StoreRevision::new(number);
        let mut content = Self {
            revision,
            ..Self::default()
        };
        for event in &self.change_log {
            if event.revision().number() > number {
                break;
            }
            match event {
                StoreEvent::Written(item) => {
                    content.items.insert(item.key.clone(), item.clone());
                }
                StoreEvent::Removed { key, .. } => {
                    content.items.remove(key);
                }
            }
        }
        content
    }
}

#[derive(Debug, Default)]
struct StoreState {
    content: StoreContent,
    era: StoreEra,
    /// The outcome of each VM's calls. Calls of a VM without an entry are answered.
    reaches: BTreeMap<u8, StoreReach>,
    /// How often each VM's open calls were silenced, that is made to get no response any more.
    silence_counts: BTreeMap<u8, u32>,
    /// Number of calls that each VM has made.
    call_counts: BTreeMap<u8, usize>,
}

/// An in-memory store, which is shared by all clones.
#[derive(Debug, Clone)]
pub struct FakeStore {
    state: Arc<Mutex<StoreState>>,
    /// Number of changes to the state so far.
    change_count: watch::Sender<u64>,
}

impl FakeStore {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self {
            state: Arc::default(),
            change_count: watch::Sender::new(0),
        }
    }

    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify(&self) {
        self.change_count.send_modify(|count| *count += 1);
    }

    /// Writes a value under a key, at the next revision.
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
        content.change_log.push(StoreEvent::Written(item));
        drop(state);
        self.notify();
    }

    /// Removes a key, at the next revision, if it exists.
    pub fn remove(&self, key: &str) {
        let mut state = self.state();
        let content = &mut state.content;
        if content.items.remove(key).is_none() {
            return;
        }
        content.revision = content.revision.next();
        let revision = content.revision;
        content.change_log.push(StoreEvent::Removed {
            key: key.into(),
            revision,
        });
        drop(state);
        self.notify();
    }

    /// Makes watches from revisions before the current one fail, so that a VM that is behind has to read everything
    /// again.
    pub fn forget_changes(&self) {
        let mut state = self.state();
        state.content.oldest_watch_revision = state.content.revision;
        drop(state);
        self.notify();
    }

    /// Returns the current items and the log of changes.
    pub fn content(&self) -> StoreContent {
        self.state().content.clone()
    }

    /// Restores the store from an earlier content. Later changes are lost, and their revisions are assigned again, in a
    /// new era.
    pub fn restore(&self, content: StoreContent) {
        let mut state = self.state();
        state.content = content;
        state.era.0 += 1;
        drop(state);
        self.notify();
    }

    /// Writes the items of `intended_content` that were lost in a restore again, in random order, as operators and
    /// upstreams do, and removes items that it does not contain.
    pub fn rewrite_lost_items(&self, intended_content: &StoreContent, rng: &mut impl Rng) {
        let current_items = self.content().items;
        let extra_keys = current_items
            .keys()
            .filter(|key| !intended_content.items.contains_key(*key));
        let lost_items = intended_content.items.values().filter(|item| {
            let current_item = current_items.get(&item.key);
            current_item.is_none_or(|current| current.value != item.value)
        });
        let mut keys: Vec<_> = lost_items.map(|item| &item.key).chain(extra_keys).collect();
        keys.shuffle(rng);
        for key in keys {
            match intended_content.items.get(key) {
                Some(item) => self.put(key, item.value.clone()),
                None => self.remove(key),
            }
        }
    }

    /// Sets the outcome of a VM's calls.
    pub fn set_reach(&self, vm: u8, reach: StoreReach) {
        let mut state = self.state();
        state.reaches.insert(vm, reach);
        if reach == StoreReach::Silent {
            *state.silence_counts.entry(vm).or_default() += 1;
        }
        drop(state);
        self.notify();
    }

    /// Makes a VM's open calls never get a response, while new calls are answered.
    pub fn silence_open_calls(&self, vm: u8) {
        *self.state().silence_counts.entry(vm).or_default() += 1;
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
    pub fn call_count(&self, vm: u8) -> usize {
        self.state()
            .call_counts
            .get(&vm)
            .copied()
            .unwrap_or_default()
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

/// A VM's access to the store, through which the gateway's code calls it.
#[derive(Debug, Clone)]
pub struct FakePort {
    store: FakeStore,
    vm: u8,
    links: LinkMap,
    traffic: LinkTraffic,
}

impl FakePort {
    fn silence_count(&self) -> u32 {
        let state = self.store.state();
        state
            .silence_counts
            .get(&self.vm)
            .copied()
            .unwrap_or_default()
    }

    fn reach(&self) -> StoreReach {
        let reach = self.store.state().reaches.get(&self.vm).copied();
        reach.unwrap_or(StoreReach::Answers)
    }

    fn refusal() -> StoreError {
        StoreError::Refused {
            reason: "503".into(),
        }
    }

    /// Starts a call and returns how often the VM's open calls had been silenced by then.
    async fn begin_call(&self) -> Result<u32, StoreError> {
        let silence_count = self.silence_count();
        *self.store.state().call_counts.entry(self.vm).or_default() += 1;
        tokio::time::sleep(RESPONSE_TIME).await;
        match self.reach() {
            StoreReach::Answers => Ok(silence_count),
            StoreReach::Refuses => Err(Self::refusal()),
            StoreReach::Silent => std::future::pending().await,
            StoreReach::Malformed => Err(StoreError::Malformed {
                reason: "an item has another type".into(),
            }),
        }
    }

    /// Delays the response of `bytes` bytes by the rate of the VM's link. `silence_count_at_start` is what
    /// [`Self::begin_call`] returned: if the VM's open calls were silenced again since, this call is one of them, and
    /// its response never arrives.
    async fn finish_call(&self, silence_count_at_start: u32, bytes: usize) {
        if let Some(link) = self.links.link(vm_address(self.vm)) {
            // The real store sends values as base64, which takes four bytes for three.
            let mut remaining_bytes = bytes * 4 / 3;
            while remaining_bytes > 0 {
                let chunk_bytes = remaining_bytes.min(RESPONSE_CHUNK_BYTES);
                link.receive_direction.transmit(chunk_bytes).await;
                self.traffic.add(chunk_bytes);
                remaining_bytes -= chunk_bytes;
            }
        }
        if self.silence_count() != silence_count_at_start {
            std::future::pending::<()>().await;
        }
    }
}

/// Returns the size of the value that an event carries, in bytes.
fn value_bytes(event: &StoreEvent) -> usize {
    match event {
        StoreEvent::Written(item) => item.value.len(),
        StoreEvent::Removed { .. } => 0,
    }
}

impl FakePort {
    /// Reads a page as it was `age` changes ago.
    async fn read_aged_page(
        &self,
        prefix: &str,
        after: Option<&str>,
        age: u64,
    ) -> Result<StorePage, StoreError> {
        let silence_count_at_start = self.begin_call().await?;
        let page = {
            let state = self.store.state();
            let content = state.content.aged(age);
            let is_on_page = |key: &CompactString| {
                key.starts_with(prefix) && after.is_none_or(|after| key.as_str() > after)
            };
            let mut items: Vec<_> = content
                .items
                .values()
                .filter(|item| is_on_page(&item.key))
                .collect();
            let has_more = items.len() > PAGE_ITEMS;
            items.truncate(PAGE_ITEMS);
            let page = StorePage {
                items: items.into_iter().cloned().collect(),
                has_more,
                revision: content.revision,
            };
            page.with_era(state.era)
        };
        let bytes = page.items.iter().map(|item| item.value.len()).sum();
        self.finish_call(silence_count_at_start, bytes).await;
        Ok(page)
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
        self.read_aged_page(prefix, after, 0).await
    }

    async fn read_stale_page(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> Result<StorePage, StoreError> {
        // Each page is older by another number of changes.
        let age = after.map_or(3, |after| after.len() as u64 % 7);
        self.read_aged_page(prefix, after, age).await
    }

    async fn watch(
        &self,
        _prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<StoreWatch, StoreError> {
        let silence_count_at_start = self.begin_call().await?;
        let deadline = tokio::time::Instant::now() + wait;
        let mut change_count = self.store.change_count.subscribe();
        loop {
            let watch = {
                let state = self.store.state();
                let content = &state.content;
                // The store receives only the number of the revision, not its era.
                let after_revision = StoreRevision::new(after.number());
                if after_revision < content.oldest_watch_revision
                    || after_revision > content.revision
                {
                    return Err(StoreError::HistoryGone);
                }
                let events = content.change_log.iter();
                let later_events = events.filter(|event| event.revision() > after_revision);
                let watch = StoreWatch {
                    events: later_events.cloned().collect(),
                    revision: content.revision,
                };
                watch.with_era(state.era)
            };
            let has_ended = tokio::time::Instant::now() >= deadline;
            if has_ended || !watch.events.is_empty() {
                let bytes = watch.events.iter().map(value_bytes).sum();
                self.finish_call(silence_count_at_start, bytes).await;
                return Ok(watch);
            }
            // The next iteration handles the end of the wait.
            let _timed_out = tokio::time::timeout_at(deadline, change_count.changed()).await;
            if self.reach() == StoreReach::Refuses {
                return Err(Self::refusal());
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
