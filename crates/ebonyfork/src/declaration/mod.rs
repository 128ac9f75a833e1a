//! What operators declare: services, classes of work with their targets, organisations.
//!
//! Declarations are INI files under version control. They state facts and targets, never weights, servers or
//! addresses. A reader collects all findings with their place; what passes is frozen into a [`DeclaredConfig`] that is
//! passed along by reference and never changes. A new revision is a new value.

mod model;
mod parse;

pub use model::{
    ClassScope, ClassTarget, DeclaredConfig, OrganisationEntry, ServiceEntry, TargetPriority,
};
pub use parse::{BOUND_FACTOR, DRAIN, DeclaredFile, PERCENTILE};
