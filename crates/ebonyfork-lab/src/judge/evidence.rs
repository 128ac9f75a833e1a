//! What a run leaves behind for the judge.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonyfork::catalog::IndexCatalog;
use ebonyfork::ident::{IndexName, SnapshotVersion, UpstreamAddress, VmAddress};

use crate::journal::ExecutionRecord;
use crate::load::{ClassLoad, RequestRecord, TryRecord};

/// Shard counts of every version that was ever published.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PublishedShards {
    counts: BTreeMap<(IndexName, SnapshotVersion), u32>,
}

impl PublishedShards {
    /// Adds what a catalogue publishes.
    pub fn add(&mut self, index: &IndexName, catalog: &IndexCatalog) {
        for listed in &catalog.versions {
            let count = listed.shards.len() as u32;
            self.counts.insert((index.clone(), listed.version), count);
        }
    }

    /// Returns the shards of a version, if it was ever published.
    pub fn count(&self, index: &IndexName, version: SnapshotVersion) -> Option<u32> {
        self.counts.get(&(index.clone(), version)).copied()
    }
}

/// A time in which a VM was killed or frozen by the experiment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VmOutage {
    /// The VM.
    pub vm: VmAddress,
    /// Its begin.
    pub from: Duration,
    /// Its end.
    pub until: Duration,
}

/// Everything that a run leaves behind.
#[derive(Debug, Clone, Default)]
pub struct RunEvidence {
    /// Classes, in the order that requests name them.
    pub classes: Vec<ClassLoad>,
    /// Index of each class.
    pub indexes: Vec<IndexName>,
    /// Requests of all callers.
    pub requests: Vec<RequestRecord>,
    /// Shard requests, per upstream.
    pub executions: BTreeMap<UpstreamAddress, Vec<ExecutionRecord>>,
    /// Published versions.
    pub published: PublishedShards,
    /// VMs that were killed or frozen.
    pub outages: Vec<VmOutage>,
    /// When each leaving upstream first showed it, by VM list, reply or status.
    pub leaving: BTreeMap<UpstreamAddress, Duration>,
}

impl RunEvidence {
    /// Tells whether the VM of a try was killed or frozen while it was out.
    pub(super) fn was_out(&self, tried: &TryRecord) -> bool {
        let Some(vm) = tried.vm else {
            return true;
        };
        let overlaps = |outage: &VmOutage| {
            outage.vm == vm && outage.from <= tried.ended && tried.sent <= outage.until
        };
        self.outages.iter().any(overlaps)
    }
}
