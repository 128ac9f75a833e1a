//! The operators' command line: checks and publishes declarations, shows what is in force, asks single VMs.
//!
//! `main` only calls [`run`]; everything else stands here, so that tests can call it without starting a process.

pub mod arguments;
mod command;
pub mod difference;
mod directory;
mod error;
mod http_call;
mod node;
mod output;
mod publish;
mod quotas;
mod revisions;
pub mod status;

pub use command::run;
pub use directory::read_declarations;
pub use error::CtlError;
