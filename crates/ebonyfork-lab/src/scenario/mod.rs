//! Scenarios: what a run is made of, read from INI.
//!
//! A scenario names the fleet, the groups of upstreams, the indexes over them, the load on each class and a timeline of
//! faults. Its `[class …]` and `[organisation …]` sections are declarations, word for word as operators write them, so
//! that they are checked by the same code and published to the tier as they stand. Every finding is reported with its
//! place, all at once. The keys are documented in `docs/LAB.md`.

mod check;
mod declared;
mod fault;
mod model;
mod read;
mod sources;

pub use fault::{FaultEntry, FaultKind, ServerChoice, StoreFault};
pub use model::{
    ClassLoadSettings, FleetSettings, IndexSettings, RunSettings, Scenario, ServiceGroup,
    VariantSettings,
};
