//! Test deployment for [`EntryCore`]: one index, one service of two upstreams per shard, and three VMs.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rustc_hash::FxHashMap;

use super::{EntryAction, EntryCore, EntryViews};
use crate::catalog::{IndexCatalog, VersionShards};
use crate::declaration::{
    ClassScope, ClassTarget, DeclaredConfig, OrganisationEntry, TargetPriority,
};
use crate::ident::{IncarnationNumber, SessionId, SnapshotVersion, UpstreamAddress, VmAddress};
use crate::query::{QueryOutcome, QueryRequest};
use crate::relay::{
    AttemptPurpose, OutcomeBatch, ShardOutcome, ShardVerdict, SubmitBatch, UpstreamLoad,
};
use crate::settings::ExperimentSwitches;
use crate::topology::{TopologyView, UpstreamEntry, VmEntry};
use crate::wire::PeerMessage;

/// An attempt that the entry has sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SentAttempt {
    pub(super) query: u64,
    pub(super) attempt: u32,
    pub(super) shard: u32,
    pub(super) upstream: UpstreamAddress,
    pub(super) vm: VmAddress,
    pub(super) purpose: AttemptPurpose,
    pub(super) version: SnapshotVersion,
}

/// An entry core with the attempts that it has sent and cancelled and the outcomes that it has returned.
pub(super) struct EntryFixture {
    pub(super) core: EntryCore,
    pub(super) views: EntryViews,
    pub(super) now: Duration,
    pub(super) sent_attempts: Vec<SentAttempt>,
    pub(super) cancelled_attempts: Vec<(u64, u32)>,
    pub(super) finished_queries: FxHashMap<u64, (Duration, QueryOutcome)>,
}

pub(super) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub(super) fn vm(number: u8) -> VmAddress {
    VmAddress([127, 0, 1, number].into())
}

/// Returns the address of one upstream of a service.
pub(super) fn upstream(service: usize, replica: usize) -> UpstreamAddress {
    let ip = [127, 0, 2 + replica as u8, service as u8];
    UpstreamAddress((ip, 80).into())
}

/// Returns the verdict on an attempt that returned rows of a version.
pub(super) fn rows_verdict(version: u64) -> ShardVerdict {
    ShardVerdict::Rows {
        version: SnapshotVersion(version),
        body: Bytes::from_static(br#"{"rows":["r"]}"#),
    }
}

fn version_shards(version: u64, services: usize) -> VersionShards {
    let names = (0..services).map(|number| format!("tender-{number:02}").parse().unwrap());
    VersionShards {
        version: SnapshotVersion(version),
        shards: names.collect(),
    }
}

fn topology(services: usize) -> TopologyView {
    let zone = |number: usize| format!("zone-{}", number % 3).parse().unwrap();
    let vms = (0..3).map(|number| VmEntry {
        vm: vm(number as u8 + 1),
        zone: zone(number),
        incarnation: None,
        leaving: false,
    });
    let upstreams = (0..services * 2).map(|number| UpstreamEntry {
        upstream: upstream(number / 2, number % 2),
        zone: zone(number),
        service: format!("tender-{:02}", number / 2).parse().unwrap(),
        leaving: false,
    });
    TopologyView::new(vms, upstreams)
}

fn search_class() -> ClassTarget {
    ClassTarget {
        name: "search".parse().unwrap(),
        index: "tenders".parse().unwrap(),
        scope: ClassScope::All,
        latency: ms(300),
        percentile: 99.0,
        coverage: 0.9,
        priority: TargetPriority::LatencyFirst,
        bound: ms(1_000),
        idempotent: true,
    }
}

pub(super) fn request() -> QueryRequest {
    QueryRequest {
        class: "search".parse().unwrap(),
        organisation: "roofers".parse().unwrap(),
        deadline: None,
        record: Some("a record".into()),
        selection: Bytes::from_static(b"roofs"),
        key: None,
        caller_id: None,
    }
}

impl EntryFixture {
    /// Creates an entry with `shards` services of two upstreams each, at version 17; `change` may modify the class.
    pub(super) fn new(shards: usize, change: impl FnOnce(&mut ClassTarget)) -> Self {
        let mut class = search_class();
        change(&mut class);
        let organisations = ["roofers", "builders", "idlers"].map(|name| OrganisationEntry {
            name: name.parse().unwrap(),
            classes: vec![class.name.clone()],
        });
        let mut config = DeclaredConfig::default();
        for organisation in organisations {
            config
                .organisations
                .insert(organisation.name.clone(), organisation);
        }
        config.classes.insert(class.name.clone(), class);
        let session = SessionId::new(vm(1), IncarnationNumber(7));
        let zone = "zone-0".parse().unwrap();
        let mut fixture = Self {
            core: EntryCore::new(session, zone, ExperimentSwitches::default()),
            views: EntryViews {
                topology: Arc::new(topology(shards)),
                config: Arc::new(config),
                ..EntryViews::default()
            },
            now: ms(10),
            sent_attempts: Vec::new(),
            cancelled_attempts: Vec::new(),
            finished_queries: FxHashMap::default(),
        };
        fixture.publish(5, &[(17, shards)]);
        fixture.core.mark_request_known(&request());
        fixture
    }

    /// Publishes versions, newest first, each with its number of shards.
    pub(super) fn publish(&mut self, epoch: u64, versions: &[(u64, usize)]) {
        let versions = versions
            .iter()
            .map(|&(version, shards)| version_shards(version, shards));
        let catalog = IndexCatalog {
            epoch,
            versions: versions.collect(),
        };
        let index = "tenders".parse().unwrap();
        self.views.catalog = Arc::new([(index, catalog)].into());
        self.core.refresh(&self.views);
    }

    /// Starts a query, performs the actions that follow and returns the number of the query.
    pub(super) fn start(&mut self, request: QueryRequest) -> u64 {
        let query_number = self.core.start(self.now, request);
        self.run_actions();
        query_number
    }

    /// Performs the actions that the core has requested.
    pub(super) fn run_actions(&mut self) {
        while let Some(action) = self.core.next_action() {
            match action {
                EntryAction::Send { vm, message } => self.receive_message(vm, message),
                EntryAction::Finish { query, outcome } => {
                    let previous_outcome = self.finished_queries.insert(query, (self.now, outcome));
                    assert!(previous_outcome.is_none(), "query {query} finished twice");
                }
            }
        }
    }

    fn receive_message(&mut self, vm: VmAddress, message: PeerMessage) {
        match message {
            PeerMessage::Submit(batch) => self.receive_submit_batch(vm, &batch),
            PeerMessage::Cancel(batch) => {
                let attempts = batch.attempts.iter();
                let cancelled_attempts = attempts.map(|attempt| (batch.query, *attempt));
                self.cancelled_attempts.extend(cancelled_attempts);
            }
            other => panic!("unexpected {other:?}"),
        }
    }

    fn receive_submit_batch(&mut self, vm: VmAddress, batch: &SubmitBatch) {
        let sent_attempts = batch.targets.iter().map(|target| SentAttempt {
            query: batch.query,
            attempt: target.attempt,
            shard: target.shard.0,
            upstream: target.upstream,
            vm,
            purpose: target.purpose,
            version: batch.version,
        });
        self.sent_attempts.extend(sent_attempts);
    }

    /// Returns the attempts sent since the last call.
    pub(super) fn take_sent_attempts(&mut self) -> Vec<SentAttempt> {
        std::mem::take(&mut self.sent_attempts)
    }

    /// Delivers the outcome of an attempt to the core.
    pub(super) fn deliver(&mut self, attempt: &SentAttempt, verdict: ShardVerdict) {
        self.deliver_with_load(attempt, verdict, None);
    }

    /// Delivers the outcome of an attempt to the core, together with a load report.
    pub(super) fn deliver_with_load(
        &mut self,
        attempt: &SentAttempt,
        verdict: ShardVerdict,
        load: Option<UpstreamLoad>,
    ) {
        let outcome = ShardOutcome {
            query: attempt.query,
            attempt: attempt.attempt,
            upstream: attempt.upstream,
            verdict,
            waited_us: 0,
            served_us: 5_000,
        };
        let batch = OutcomeBatch {
            outcomes: [outcome].into_iter().collect(),
            loads: load.into_iter().collect(),
        };
        self.core.handle_outcomes(self.now, attempt.vm, batch);
        self.run_actions();
    }

    /// Advances the time to `end`, running each timer that becomes due.
    pub(super) fn advance(&mut self, end: Duration) {
        while let Some(wake_at) = self.core.next_wake() {
            if wake_at > end {
                break;
            }
            self.now = self.now.max(wake_at);
            self.core.run_due_timers(self.now);
            self.run_actions();
        }
        self.now = end;
    }

    /// Returns the outcome of a completed query.
    pub(super) fn outcome(&self, query: u64) -> &QueryOutcome {
        let (_, outcome) = self
            .finished_queries
            .get(&query)
            .expect("the query is still in flight");
        outcome
    }
}
