//! The checked, immutable form of the declarations.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ident::{ClassName, IndexName, OrganisationName, RevisionNumber, ServiceName};

/// Which shards of the index a query of a class goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ClassScope {
    /// Every shard of the index.
    All,
    /// The one shard that the record's hash selects.
    One,
}

/// Which of the two targets, latency or coverage, is kept if both can't be met.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TargetPriority {
    /// Latency is kept: answer in time with the shards that have answered, and state the lower coverage.
    LatencyFirst,
    /// Coverage is kept: wait for the missing shards up to the class's bound, then fail rather than answer below the
    /// coverage target.
    CoverageFirst,
}

/// A class of work and its targets.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassTarget {
    /// Name of the class.
    pub name: ClassName,
    /// The index that queries of the class search.
    pub index: IndexName,
    /// Which shards of the index a query needs.
    pub scope: ClassScope,
    /// Target latency as seen by the caller, at `percentile`.
    pub latency: Duration,
    /// The percentile at which `latency` is stated, in per cent (0 to 100, exclusive).
    pub percentile: f64,
    /// Target share of the needed shards that answer, 0 to 1.
    pub coverage: f64,
    /// Which target is kept if latency and coverage can't both be met.
    pub priority: TargetPriority,
    /// Maximum duration of a query, whatever the caller's deadline.
    pub bound: Duration,
    /// Whether a shard request may be executed more than once.
    pub idempotent: bool,
}

/// A service: a group of interchangeable upstreams. Its members come from the VM list.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: ServiceName,
    /// Number of connections that one upstream accepts from all VMs together.
    pub connections: u32,
    /// Maximum time that an upstream takes to leave once it has begun to drain.
    pub drain: Duration,
}

/// An organisation whose callers are served.
#[derive(Debug, Clone, PartialEq)]
pub struct OrganisationEntry {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// The classes that the organisation's callers may use.
    pub classes: Vec<ClassName>,
}

/// One revision of the declarations, checked and immutable.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DeclaredConfig {
    /// Number of the revision; zero before any was published.
    pub revision: RevisionNumber,
    /// Declared classes by name.
    pub classes: BTreeMap<ClassName, ClassTarget>,
    /// Declared services by name.
    pub services: BTreeMap<ServiceName, ServiceEntry>,
    /// Declared organisations by name.
    pub organisations: BTreeMap<OrganisationName, OrganisationEntry>,
}
