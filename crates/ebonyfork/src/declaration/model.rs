//! The frozen form of the declarations.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ident::{ClassName, IndexName, OrganisationName, RevisionNumber, ServiceName};

/// Which shards a query of a class goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ClassScope {
    /// Every shard of the index.
    All,
    /// The one shard that the record's hash selects.
    One,
}

/// Which part of the target gives way when both can't be met.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TargetPriority {
    /// Coverage gives way: answer in time with what is there, truthfully thin.
    LatencyFirst,
    /// Latency gives way: wait for the missing shards up to the class's bound, then prefer a clear failure to an
    /// answer below the coverage target.
    CoverageFirst,
}

/// A class of work and its target.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassTarget {
    /// Name of the class.
    pub name: ClassName,
    /// The index that its queries search.
    pub index: IndexName,
    /// The shards that a query needs.
    pub scope: ClassScope,
    /// Target latency, seen by the caller at `percentile`.
    pub latency: Duration,
    /// The percentile that the latency is stated at, in per cent (0 to 100, exclusive).
    pub percentile: f64,
    /// Target share of shards answered, 0 to 1.
    pub coverage: f64,
    /// What is kept when both can't be.
    pub priority: TargetPriority,
    /// The longest a query may take, whatever the caller's deadline.
    pub bound: Duration,
    /// Whether a shard request may run more than once.
    pub idempotent: bool,
}

/// A service: a group of interchangeable upstreams. Its members come from the VM list.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: ServiceName,
    /// Connections that one upstream of it accepts, from all VMs together.
    pub connections: u32,
    /// The longest an upstream may take to leave once it drains.
    pub drain: Duration,
}

/// An organisation whose callers are served.
#[derive(Debug, Clone, PartialEq)]
pub struct OrganisationEntry {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// The classes its callers may use.
    pub classes: Vec<ClassName>,
}

/// One revision of the declarations, checked and frozen.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DeclaredConfig {
    /// The revision; zero before any was published.
    pub revision: RevisionNumber,
    /// Classes by name.
    pub classes: BTreeMap<ClassName, ClassTarget>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceEntry>,
    /// Organisations by name.
    pub organisations: BTreeMap<OrganisationName, OrganisationEntry>,
}
