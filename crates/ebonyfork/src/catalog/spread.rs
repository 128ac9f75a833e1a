//! How catalogues spread among VMs: plain code over epochs.
//!
//! For each index two VMs of a zone watch the store. Whoever takes a higher epoch tells a few peers of its zone; a peer
//! that lacks it asks for it. Now and then a peer drawn at random is asked for everything that is newer. A lower epoch
//! never replaces a higher one, wherever it comes from.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::catalog::IndexCatalog;
use crate::ident::{IndexName, VmAddress};
use crate::revision::ZonePeers;
use crate::topology::TopologyView;

use super::message::{CatalogEpoch, CatalogMessage};

/// How often a peer drawn at random is asked.
const ASK_PERIOD: Duration = Duration::from_secs(4);
/// How often one is asked as long as a named index has no catalogue.
const EMPTY_ASK_PERIOD: Duration = Duration::from_millis(250);
/// How long an index that was asked for isn't asked for again.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CatalogAction {
    /// Start to watch the store for an index.
    Watch(IndexName),
    /// Stop to watch it.
    Unwatch(IndexName),
    /// Send a message.
    Send(VmAddress, CatalogMessage),
    /// Put a catalogue in force.
    PutInForce(IndexName, IndexCatalog),
}

#[derive(Debug, Clone)]
struct HeldCatalog {
    epoch: u64,
    text: Bytes,
}

/// What one VM knows about the catalogues of all indexes that its declarations name.
#[derive(Debug, Clone)]
pub struct CatalogSpread {
    peers: ZonePeers,
    rng: ChaCha8Rng,
    named: BTreeSet<IndexName>,
    watched: BTreeSet<IndexName>,
    held: BTreeMap<IndexName, HeldCatalog>,
    asked: BTreeMap<IndexName, Duration>,
    next_ask: Duration,
}

impl CatalogSpread {
    /// Starts with nothing held.
    pub fn new(peers: ZonePeers, seed: u64) -> Self {
        Self {
            peers,
            rng: ChaCha8Rng::seed_from_u64(seed),
            named: BTreeSet::new(),
            watched: BTreeSet::new(),
            held: BTreeMap::new(),
            asked: BTreeMap::new(),
            next_ask: Duration::ZERO,
        }
    }

    /// Takes the indexes that the declarations name now.
    pub fn take_indexes(
        &mut self,
        named: impl IntoIterator<Item = IndexName>,
    ) -> Vec<CatalogAction> {
        self.named = named.into_iter().collect();
        self.next_ask = Duration::ZERO;
        self.choose_watches()
    }

    /// Takes a new view of the topology.
    pub fn take_topology(&mut self, view: &TopologyView) -> Vec<CatalogAction> {
        self.peers.update(view);
        self.choose_watches()
    }

    /// Takes a catalogue as published, from the store or from a peer.
    pub fn take_value(
        &mut self,
        index: &IndexName,
        text: &Bytes,
    ) -> Result<Vec<CatalogAction>, serde_json::Error> {
        let mut actions = Vec::new();
        if !self.named.contains(index) {
            return Ok(actions);
        }
        let catalog: IndexCatalog = serde_json::from_slice(text)?;
        let epoch = catalog.epoch;
        self.asked.remove(index);
        if self.held.contains_key(index) && epoch <= self.epoch(index) {
            return Ok(actions);
        }
        let text = text.clone();
        self.held.insert(index.clone(), HeldCatalog { epoch, text });
        actions.push(CatalogAction::PutInForce(index.clone(), catalog));
        let index = index.clone();
        let told = CatalogMessage::Held(vec![CatalogEpoch { index, epoch }]);
        for vm in self.peers.draw_told(&mut self.rng) {
            actions.push(CatalogAction::Send(vm, told.clone()));
        }
        Ok(actions)
    }

    /// Takes what a peer holds; whatever is newer is asked for.
    pub fn take_held(
        &mut self,
        now: Duration,
        vm: VmAddress,
        shown: &[CatalogEpoch],
    ) -> Vec<CatalogAction> {
        let mut wanted = Vec::new();
        for entry in shown {
            let index = &entry.index;
            let waiting = self.asked.get(index).is_some_and(|until| now < *until);
            if !self.named.contains(index) || entry.epoch <= self.epoch(index) || waiting {
                continue;
            }
            self.asked.insert(index.clone(), now + ANSWER_TIMEOUT);
            wanted.push(self.entry(index));
        }
        if wanted.is_empty() {
            return Vec::new();
        }
        vec![CatalogAction::Send(vm, CatalogMessage::Ask(wanted))]
    }

    /// Answers a peer's question with everything that is newer here.
    pub fn answer(&self, asked: &[CatalogEpoch]) -> Vec<CatalogMessage> {
        let mut values = Vec::new();
        for entry in asked {
            let Some(held) = self.held.get(&entry.index) else {
                continue;
            };
            if held.epoch > entry.epoch {
                let (index, text) = (entry.index.clone(), held.text.clone());
                values.push(CatalogMessage::Value { index, text });
            }
        }
        values
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Duration) -> Vec<CatalogAction> {
        if now < self.next_ask || self.named.is_empty() {
            return Vec::new();
        }
        let lacking = self
            .named
            .iter()
            .any(|index| !self.held.contains_key(index));
        let period = if lacking {
            EMPTY_ASK_PERIOD
        } else {
            ASK_PERIOD
        };
        self.next_ask = now + period.mul_f64(self.rng.random_range(0.5..=1.5));
        let Some(vm) = self.peers.draw_asked(&mut self.rng) else {
            return Vec::new();
        };
        let known = self.named.iter().map(|index| self.entry(index)).collect();
        vec![CatalogAction::Send(vm, CatalogMessage::Ask(known))]
    }

    fn epoch(&self, index: &IndexName) -> u64 {
        self.held.get(index).map_or(0, |held| held.epoch)
    }

    fn entry(&self, index: &IndexName) -> CatalogEpoch {
        CatalogEpoch {
            index: index.clone(),
            epoch: self.epoch(index),
        }
    }

    fn choose_watches(&mut self) -> Vec<CatalogAction> {
        let mut chosen = BTreeSet::new();
        for index in &self.named {
            if self.peers.is_watcher(&catalog_key(index)) {
                chosen.insert(index.clone());
            }
        }
        let mut actions = Vec::new();
        for index in self.watched.difference(&chosen) {
            actions.push(CatalogAction::Unwatch(index.clone()));
        }
        for index in chosen.difference(&self.watched) {
            actions.push(CatalogAction::Watch(index.clone()));
        }
        self.watched = chosen;
        actions
    }
}

/// Key of an index's catalogue in the store.
pub fn catalog_key(index: &IndexName) -> String {
    format!("index/{index}")
}

#[cfg(test)]
#[path = "spread_tests.rs"]
mod tests;
