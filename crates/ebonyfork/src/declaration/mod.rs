//! The operators' declarations: services, classes of work with their targets, and organisations.
//!
//! Declarations are INI files under version control. They state facts and targets, never weights, servers or addresses.
//! Reading them collects all findings with file and line. Declarations without findings become a [`DeclaredConfig`],
//! which is shared by reference and never changes; each new revision is a new value.

mod model;
mod parse;

pub use model::{
    ClassScope, ClassTarget, DeclaredConfig, OrganisationEntry, ServiceEntry, TargetPriority,
};
pub use parse::{DEFAULT_BOUND_FACTOR, DEFAULT_DRAIN_TIME, DEFAULT_PERCENTILE, DeclaredFile};
