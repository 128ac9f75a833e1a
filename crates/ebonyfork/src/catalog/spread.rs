//! Decides how index catalogues spread among VMs, as a state machine without I/O.
//!
//! For each index, two VMs of a zone watch the store. A VM that receives a higher epoch announces it to a few peers of
//! its zone; a peer with a lower epoch asks for the catalogue. From time to time a VM also asks a random peer for
//! everything newer. A lower epoch never replaces a higher one, whatever its source.

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

/// Average interval at which a random peer is asked for newer catalogues.
const ASK_PERIOD: Duration = Duration::from_secs(4);
/// Average interval at which a random peer is asked while some named index has no catalogue.
const EMPTY_ASK_PERIOD: Duration = Duration::from_millis(250);
/// How long to wait for a requested catalogue before it may be requested again.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// An action that the spread asks its driver to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CatalogAction {
    /// Start to watch the catalogue of an index in the store.
    Watch(IndexName),
    /// Stop watching the catalogue of an index in the store.
    Unwatch(IndexName),
    /// Send a message to a peer.
    Send(VmAddress, CatalogMessage),
    /// Put the catalogue of an index in force.
    PutInForce(IndexName, IndexCatalog),
}

/// A catalogue in force, with its published text for peers that ask for it.
#[derive(Debug, Clone)]
struct HeldCatalog {
    epoch: u64,
    text: Bytes,
}

/// What one VM knows about the catalogues of the indexes that the declarations name.
#[derive(Debug, Clone)]
pub struct CatalogSpread {
    peers: ZonePeers,
    rng: ChaCha8Rng,
    /// The indexes that the declared classes name.
    named_indexes: BTreeSet<IndexName>,
    /// The indexes whose catalogue this VM watches in the store.
    watched_indexes: BTreeSet<IndexName>,
    held_catalogs: BTreeMap<IndexName, HeldCatalog>,
    /// For each requested catalogue, the time from which it may be requested again.
    requested_until: BTreeMap<IndexName, Duration>,
    next_ask_at: Duration,
}

impl CatalogSpread {
    /// Creates a state that holds no catalogues.
    pub fn new(peers: ZonePeers, seed: u64) -> Self {
        Self {
            peers,
            rng: ChaCha8Rng::seed_from_u64(seed),
            named_indexes: BTreeSet::new(),
            watched_indexes: BTreeSet::new(),
            held_catalogs: BTreeMap::new(),
            requested_until: BTreeMap::new(),
            next_ask_at: Duration::ZERO,
        }
    }

    /// Sets the indexes that the declarations name.
    pub fn set_named_indexes(
        &mut self,
        named_indexes: impl IntoIterator<Item = IndexName>,
    ) -> Vec<CatalogAction> {
        self.named_indexes = named_indexes.into_iter().collect();
        self.next_ask_at = Duration::ZERO;
        self.update_watches()
    }

    /// Applies a new topology view.
    pub fn apply_topology(&mut self, view: &TopologyView) -> Vec<CatalogAction> {
        self.peers.update(view);
        self.update_watches()
    }

    /// Applies a published catalogue, whether from the store or from a peer.
    pub fn apply_catalog(
        &mut self,
        index: &IndexName,
        text: &Bytes,
    ) -> Result<Vec<CatalogAction>, serde_json::Error> {
        let mut actions = Vec::new();
        if !self.named_indexes.contains(index) {
            return Ok(actions);
        }
        let catalog: IndexCatalog = serde_json::from_slice(text)?;
        let epoch = catalog.epoch;
        self.requested_until.remove(index);
        if self.held_catalogs.contains_key(index) && epoch <= self.held_epoch(index) {
            return Ok(actions);
        }
        let text = text.clone();
        self.held_catalogs
            .insert(index.clone(), HeldCatalog { epoch, text });
        actions.push(CatalogAction::PutInForce(index.clone(), catalog));
        let index = index.clone();
        let announcement = CatalogMessage::Held(vec![CatalogEpoch { index, epoch }]);
        for vm in self.peers.draw_announce_targets(&mut self.rng) {
            actions.push(CatalogAction::Send(vm, announcement.clone()));
        }
        Ok(actions)
    }

    /// Applies the epochs that a peer holds, and asks it for the catalogues with a higher epoch.
    pub fn apply_peer_epochs(
        &mut self,
        now: Duration,
        vm: VmAddress,
        peer_epochs: &[CatalogEpoch],
    ) -> Vec<CatalogAction> {
        let mut requests = Vec::new();
        for entry in peer_epochs {
            let index = &entry.index;
            let is_requested = self
                .requested_until
                .get(index)
                .is_some_and(|deadline| now < *deadline);
            if !self.named_indexes.contains(index)
                || entry.epoch <= self.held_epoch(index)
                || is_requested
            {
                continue;
            }
            self.requested_until
                .insert(index.clone(), now + ANSWER_TIMEOUT);
            requests.push(self.held_epoch_entry(index));
        }
        if requests.is_empty() {
            return Vec::new();
        }
        vec![CatalogAction::Send(vm, CatalogMessage::Ask(requests))]
    }

    /// Returns the catalogues that are newer here than the epochs of a peer's question.
    pub fn newer_catalogs(&self, peer_epochs: &[CatalogEpoch]) -> Vec<CatalogMessage> {
        let mut messages = Vec::new();
        for entry in peer_epochs {
            let Some(held_catalog) = self.held_catalogs.get(&entry.index) else {
                continue;
            };
            if held_catalog.epoch > entry.epoch {
                let (index, text) = (entry.index.clone(), held_catalog.text.clone());
                messages.push(CatalogMessage::Value { index, text });
            }
        }
        messages
    }

    /// Asks a random peer for newer catalogues if the interval has passed.
    pub fn tick(&mut self, now: Duration) -> Vec<CatalogAction> {
        if now < self.next_ask_at || self.named_indexes.is_empty() {
            return Vec::new();
        }
        let lacks_catalog = self
            .named_indexes
            .iter()
            .any(|index| !self.held_catalogs.contains_key(index));
        let period = if lacks_catalog {
            EMPTY_ASK_PERIOD
        } else {
            ASK_PERIOD
        };
        self.next_ask_at = now + period.mul_f64(self.rng.random_range(0.5..=1.5));
        let Some(vm) = self.peers.draw_ask_target(&mut self.rng) else {
            return Vec::new();
        };
        let held_epochs = self
            .named_indexes
            .iter()
            .map(|index| self.held_epoch_entry(index))
            .collect();
        vec![CatalogAction::Send(vm, CatalogMessage::Ask(held_epochs))]
    }

    fn held_epoch(&self, index: &IndexName) -> u64 {
        self.held_catalogs
            .get(index)
            .map_or(0, |held_catalog| held_catalog.epoch)
    }

    fn held_epoch_entry(&self, index: &IndexName) -> CatalogEpoch {
        CatalogEpoch {
            index: index.clone(),
            epoch: self.held_epoch(index),
        }
    }

    /// Starts or stops watches so that this VM watches the named indexes that it is a watcher of.
    fn update_watches(&mut self) -> Vec<CatalogAction> {
        let mut indexes_to_watch = BTreeSet::new();
        for index in &self.named_indexes {
            if self.peers.is_watcher(&catalog_key(index)) {
                indexes_to_watch.insert(index.clone());
            }
        }
        let mut actions = Vec::new();
        for index in self.watched_indexes.difference(&indexes_to_watch) {
            actions.push(CatalogAction::Unwatch(index.clone()));
        }
        for index in indexes_to_watch.difference(&self.watched_indexes) {
            actions.push(CatalogAction::Watch(index.clone()));
        }
        self.watched_indexes = indexes_to_watch;
        actions
    }
}

/// Returns the store key of an index's catalogue.
pub fn catalog_key(index: &IndexName) -> String {
    format!("index/{index}")
}

#[cfg(test)]
#[path = "spread_tests.rs"]
mod tests;
