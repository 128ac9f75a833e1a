//! A store in memory with a history, which answers, refuses or falls silent for each VM as a test says.

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

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Items of one page: few, so that a range is read in several calls and changes fall between them.
const PAGE_ITEMS: usize = 5;
/// Bytes of an answer that come in together.
const ANSWER_PART: usize = 16 * 1024;

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

/// What a store holds at one moment.
#[derive(Debug, Clone, Default)]
pub struct StoreContent {
    revision: StoreRevision,
    items: BTreeMap<CompactString, StoreItem>,
    log: Vec<StoreEvent>,
    /// The revision after which the history is held.
    history: StoreRevision,
}

#[derive(Debug, Default)]
struct StoreState {
    content: StoreContent,
    era: StoreEra,
    reach: BTreeMap<u8, StoreReach>,
    /// How often a VM's connections have fallen silent for good.
    silences: BTreeMap<u8, u32>,
    /// Calls of each VM.
    calls: BTreeMap<u8, usize>,
}

/// A store in memory with a history.
#[derive(Debug, Clone)]
pub struct FakeStore {
    state: Arc<Mutex<StoreState>>,
    changed: watch::Sender<u64>,
}

impl FakeStore {
    /// An empty store.
    pub fn new() -> Self {
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
        self.wake();
    }

    /// Removes a key, if it is there.
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
        self.wake();
    }

    /// Drops the history, so that whoever is behind has to read anew.
    pub fn forget_history(&self) {
        let mut state = self.state();
        state.content.history = state.content.revision;
        drop(state);
        self.wake();
    }

    /// What it holds now, history included.
    pub fn content(&self) -> StoreContent {
        self.state().content.clone()
    }

    /// Comes back from a copy: what was written since is gone, and its revisions are given out again.
    pub fn restore(&self, copy: StoreContent) {
        let mut state = self.state();
        state.content = copy;
        state.era.0 += 1;
        drop(state);
        self.wake();
    }

    /// Operators and upstreams write again, in any order, what the store has lost of what it held, and remove again what
    /// had been gone.
    pub fn write_again(&self, truth: &StoreContent, rng: &mut impl Rng) {
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
        let keys = state.content.items.keys();
        keys.filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Calls that a VM has made so far.
    pub fn calls(&self, vm: u8) -> usize {
        self.state().calls.get(&vm).copied().unwrap_or_default()
    }

    /// A VM's port, whose answers come in over that VM's link.
    pub fn port(&self, vm: u8, links: LinkMap) -> FakePort {
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

    /// The way to the store; returns how often the VM's connections had fallen silent when the call set out.
    async fn enter(&self) -> Result<u32, StoreError> {
        let silences = self.silences();
        *self.store.state().calls.entry(self.vm).or_default() += 1;
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
                let content = &state.content;
                // Only its number reaches the store.
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
