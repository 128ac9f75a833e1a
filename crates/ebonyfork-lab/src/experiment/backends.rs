//! What surrounds the tier in a run: platform, upstreams, catalogues and the VM list.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ebonyfork::catalog::{IndexCatalog, VersionShards};
use ebonyfork::ident::{
    IndexName, ServiceName, ShardNumber, SnapshotVersion, UpstreamAddress, ZoneName,
};
use ebonyfork::topology::{VmRecord, VmState};

use crate::error::LabError;
use crate::experiment::address::AddressPlan;
use crate::journal::Journal;
use crate::judge::PublishedShards;
use crate::platform::PlatformStandIn;
use crate::scenario::{Scenario, ServerChoice, ServiceGroup};
use crate::upstream::{UpstreamSettings, UpstreamStandIn};

/// Platform, upstreams, and what is published about them.
#[derive(Debug)]
pub(super) struct Backends {
    pub(super) platform: PlatformStandIn,
    pub(super) journal: Journal,
    upstreams: Vec<PlacedUpstream>,
    registry: Mutex<BackendRegistry>,
}

/// An upstream with its place.
#[derive(Debug)]
pub(super) struct PlacedUpstream {
    pub(super) standin: UpstreamStandIn,
    zone: ZoneName,
    server: u32,
}

#[derive(Debug, Default)]
struct BackendRegistry {
    vms: Vec<VmRecord>,
    catalogs: BTreeMap<IndexName, IndexCatalog>,
    published: PublishedShards,
}

impl PlacedUpstream {
    /// Its line in the VM list.
    pub(super) fn record(&self) -> VmRecord {
        let address = self.standin.address().0;
        VmRecord {
            ip: address.ip(),
            port: Some(address.port()),
            zone: self.zone.clone(),
            group: self.standin.service().as_str().into(),
            state: VmState::Live,
        }
    }
}

impl Backends {
    /// Starts the platform and all upstreams, and publishes the catalogues.
    pub(super) async fn start(
        scenario: &Scenario,
        plan: &AddressPlan,
        journal: &Journal,
    ) -> Result<Self, LabError> {
        let clock = journal.clock();
        let platform = PlatformStandIn::start_with_clock(plan.surroundings(), clock).await?;
        platform.set_vm_lag(scenario.fleet.vm_lag);
        let mut upstreams = Vec::new();
        for group in &scenario.groups {
            start_group(scenario, group, plan, journal, &mut upstreams).await?;
        }
        let backends = Self {
            platform,
            journal: journal.clone(),
            upstreams,
            registry: Mutex::default(),
        };
        for index in &scenario.indexes {
            let catalog = scenario.catalog(index);
            for upstream in &backends.upstreams {
                upstream.standin.hold_listed(&index.name, &catalog);
            }
            backends.publish(&index.name, catalog);
        }
        Ok(backends)
    }

    fn registry(&self) -> MutexGuard<'_, BackendRegistry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Publishes a catalogue, as the users' indexers do.
    pub(super) fn publish(&self, index: &IndexName, catalog: IndexCatalog) {
        let text = serde_json::to_vec(&catalog).unwrap_or_default();
        let mut registry = self.registry();
        registry.published.add(index, &catalog);
        registry.catalogs.insert(index.clone(), catalog);
        drop(registry);
        self.platform.store().put(&format!("index/{index}"), text);
    }

    /// The catalogue that was published last.
    pub(super) fn catalog(&self, index: &IndexName) -> IndexCatalog {
        let registry = self.registry();
        registry.catalogs.get(index).cloned().unwrap_or_default()
    }

    /// Shard counts of all published versions.
    pub(super) fn published(&self) -> PublishedShards {
        self.registry().published.clone()
    }

    /// Fills the VM list with all upstreams and these VMs of the tier.
    pub(super) fn list_all(&self, own: Vec<VmRecord>) {
        let mut vms = own;
        vms.extend(self.upstreams.iter().map(PlacedUpstream::record));
        self.registry().vms.clone_from(&vms);
        self.platform.set_vms(vms);
    }

    /// Changes one line of the VM list, or takes it out.
    pub(super) fn set_vm(&self, record: VmRecord, state: Option<VmState>) {
        let mut registry = self.registry();
        registry
            .vms
            .retain(|listed| (listed.ip, listed.port) != (record.ip, record.port));
        if let Some(state) = state {
            registry.vms.push(VmRecord { state, ..record });
        }
        let vms = registry.vms.clone();
        drop(registry);
        self.platform.set_vms(vms);
    }

    /// The servers of a service, or one of them.
    pub(super) fn servers(&self, target: &ServerChoice) -> Vec<&PlacedUpstream> {
        let chosen = |upstream: &&PlacedUpstream| {
            *upstream.standin.service() == target.service
                && target.server.is_none_or(|server| server == upstream.server)
        };
        self.upstreams.iter().filter(chosen).collect()
    }

    /// The servers that hold any shard of an index.
    pub(super) fn holders(&self, index: &IndexName) -> Vec<&PlacedUpstream> {
        let catalog = self.catalog(index);
        let mut versions = catalog.versions.iter();
        let services: Vec<ServiceName> = versions
            .next()
            .map(|listed| listed.shards.clone())
            .unwrap_or_default();
        let holds = |upstream: &&PlacedUpstream| services.contains(upstream.standin.service());
        self.upstreams.iter().filter(holds).collect()
    }

    /// Lets servers of a service take over a shard at every published version, and all others give it up.
    pub(super) fn move_shard(&self, index: &IndexName, shard: ShardNumber, to: &ServiceName) {
        let mut catalog = self.catalog(index);
        let owners: Vec<ServiceName> = catalog
            .versions
            .iter()
            .filter_map(|listed| listed.service(shard).cloned())
            .collect();
        for listed in &mut catalog.versions {
            if let Some(service) = listed.shards.get_mut(shard.0 as usize) {
                service.clone_from(to);
            }
        }
        for upstream in &self.upstreams {
            let service = upstream.standin.service();
            if service == to {
                upstream.standin.hold_listed(index, &catalog);
            } else if owners.contains(service) {
                upstream.standin.move_shard(index, shard, to.clone());
            }
        }
    }

    /// When each leaving upstream first showed it, by list, reply or status.
    pub(super) fn leaving(&self) -> BTreeMap<UpstreamAddress, Duration> {
        let listed = self.platform.leaving_shown();
        let mut leaving: BTreeMap<UpstreamAddress, Duration> = listed
            .into_iter()
            .map(|(address, at)| (UpstreamAddress(address), at))
            .collect();
        for log in self.journal.logs() {
            let Some(shown) = log.records().leaving_shown else {
                continue;
            };
            let first = leaving.entry(log.address).or_insert(shown);
            *first = shown.min(*first);
        }
        leaving
    }
}

/// Returns the version after the newest one.
pub(super) fn next_version(catalog: &IndexCatalog) -> Option<VersionShards> {
    let newest = catalog.newest()?;
    Some(VersionShards {
        version: SnapshotVersion(newest.version.0 + 1),
        shards: newest.shards.clone(),
    })
}

async fn start_group(
    scenario: &Scenario,
    group: &ServiceGroup,
    plan: &AddressPlan,
    journal: &Journal,
    upstreams: &mut Vec<PlacedUpstream>,
) -> Result<(), LabError> {
    for (number, service) in group.service_names().into_iter().enumerate() {
        for server in 0..group.servers {
            let zone = plan.zone(number as u32 + server).clone();
            let (distances, own) = (plan.clone(), zone.clone());
            let mut settings = UpstreamSettings::new(plan.surroundings(), service.clone())
                .with_slots(group.slots)
                .with_connections(group.connections, group.connection_cost)
                .with_service_time(group.service_time)
                .with_crash_downtime(group.crash_downtime)
                .with_delay(move |vm| distances.delay(&own, vm))
                .with_seed(scenario.run.seed.wrapping_add(upstreams.len() as u64));
            settings.cold_start = group.cold_start;
            let standin = UpstreamStandIn::start(settings, journal).await?;
            upstreams.push(PlacedUpstream {
                standin,
                zone,
                server,
            });
        }
    }
    Ok(())
}
