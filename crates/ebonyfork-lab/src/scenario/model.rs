//! The frozen form of a scenario.

use std::time::Duration;

use compact_str::{CompactString, format_compact};
use ebonyfork::catalog::{IndexCatalog, VersionShards};
use ebonyfork::declaration::{ClassScope, DeclaredConfig, DeclaredFile};
use ebonyfork::ident::{ClassName, IndexName, ServiceName, SnapshotVersion, ZoneName};
use ebonyfork::settings::ExperimentSwitches;

use crate::scenario::fault::FaultEntry;
use crate::upstream::{ColdStart, ServiceTime};

/// When and how much a run sends.
#[derive(Debug, Clone, PartialEq)]
pub struct RunSettings {
    /// Seed of all draws.
    pub seed: u64,
    /// Load before the measured time.
    pub warm_up: Duration,
    /// The measured time.
    pub duration: Duration,
    /// Load in per cent of the slots' capacity.
    pub load_percent: f64,
}

/// The VMs of the tier and the distances.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetSettings {
    /// VMs of the tier.
    pub nodes: u32,
    /// Availability zones; VMs and upstreams are dealt to them in turn.
    pub zones: Vec<ZoneName>,
    /// One-way delay between zones.
    pub zone_delay: Duration,
    /// One-way delay between a caller and a VM.
    pub caller_delay: Duration,
    /// Worker threads of one VM.
    pub workers: u32,
    /// How far the VM list lags.
    pub vm_lag: Duration,
    /// How long callers keep a locate answer.
    pub locate_ttl: Duration,
    /// Callers per organisation and zone.
    pub callers: u32,
}

/// Services of one shape: `NAME-00`, `NAME-01` and so on, or `NAME` alone if there is one.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceGroup {
    /// Name of the group.
    pub name: CompactString,
    /// Services.
    pub count: u32,
    /// Servers of each.
    pub servers: u32,
    /// Slots of a server.
    pub slots: u32,
    /// Connections that a server accepts.
    pub connections: u32,
    /// Time that a new connection costs.
    pub connection_cost: Duration,
    /// Service time.
    pub service_time: ServiceTime,
    /// How servers behave after a start.
    pub cold_start: Option<ColdStart>,
    /// How long a server is away after a crash.
    pub crash_downtime: Duration,
}

impl ServiceGroup {
    /// Names of its services.
    ///
    /// A group without a valid name has none; the reader has reported it.
    pub fn service_names(&self) -> Vec<ServiceName> {
        let mut names = Vec::with_capacity(self.count as usize);
        for number in 0..self.count {
            let name = if self.count == 1 {
                self.name.clone()
            } else {
                format_compact!("{}-{number:02}", self.name)
            };
            names.extend(name.parse::<ServiceName>());
        }
        names
    }

    /// Shard requests a second that all its slots can run.
    pub fn capacity(&self) -> f64 {
        let time = self.service_time;
        let stretch = 1.0 + time.straggler_share * (time.straggler_factor - 1.0);
        let slots = f64::from(self.count * self.servers * self.slots);
        slots / (time.mean.as_secs_f64() * stretch)
    }
}

/// An index over the services of a group.
#[derive(Debug, Clone, PartialEq)]
pub struct IndexSettings {
    /// Its name.
    pub name: IndexName,
    /// The group that holds it, by place.
    pub group: usize,
    /// Shards, dealt to the services in turn.
    pub shards: u32,
    /// Version at the start.
    pub version: SnapshotVersion,
}

/// The load on one class.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassLoadSettings {
    /// The class.
    pub class: ClassName,
    /// Its share of the slots' capacity at 100 per cent.
    pub share: f64,
    /// Deadline that callers state.
    pub deadline: Option<Duration>,
    /// Different records that are asked for.
    pub records: u32,
    /// Size of a selection, in bytes.
    pub selection_size: usize,
}

/// One of several runs that are compared on the same load.
#[derive(Debug, Clone, PartialEq)]
pub struct VariantSettings {
    /// Its name.
    pub name: CompactString,
    /// Mechanisms.
    pub experiment: ExperimentSwitches,
    /// Load, where it differs.
    pub load_percent: f64,
    /// Whether the timeline of faults runs.
    pub faults: bool,
}

/// A scenario, checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// File that it was read from.
    pub file: CompactString,
    /// Run.
    pub run: RunSettings,
    /// Fleet.
    pub fleet: FleetSettings,
    /// Groups of services.
    pub groups: Vec<ServiceGroup>,
    /// Indexes.
    pub indexes: Vec<IndexSettings>,
    /// Load per class.
    pub loads: Vec<ClassLoadSettings>,
    /// Timeline.
    pub faults: Vec<FaultEntry>,
    /// Runs to compare; at least one.
    pub variants: Vec<VariantSettings>,
    /// The declarations as they are published.
    pub declared_files: Vec<DeclaredFile>,
    /// The declarations as they are understood.
    pub declared: DeclaredConfig,
}

impl Scenario {
    /// The index of a class.
    pub fn index(&self, class: &ClassName) -> Option<&IndexSettings> {
        let target = self.declared.classes.get(class)?;
        self.indexes.iter().find(|index| index.name == target.index)
    }

    /// The catalogue of an index at the start: its shards are dealt to the services in turn.
    pub fn catalog(&self, index: &IndexSettings) -> IndexCatalog {
        let services = self.groups[index.group].service_names();
        let dealt = services.iter().cycle().take(index.shards as usize);
        let listed = VersionShards {
            version: index.version,
            shards: dealt.cloned().collect(),
        };
        IndexCatalog {
            epoch: 1,
            versions: vec![listed],
        }
    }

    /// Queries a second of a class at a load.
    pub fn rate(&self, load: &ClassLoadSettings, percent: f64) -> f64 {
        let Some(index) = self.index(&load.class) else {
            return 0.0;
        };
        let one = self
            .declared
            .classes
            .get(&load.class)
            .is_some_and(|target| target.scope == ClassScope::One);
        let requests = if one { 1 } else { index.shards };
        let capacity = self.groups[index.group].capacity();
        capacity * load.share * percent / 100.0 / f64::from(requests.max(1))
    }
}
