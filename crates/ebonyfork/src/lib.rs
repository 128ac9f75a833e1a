//! ebonyfork: a query tier over many shards.
//!
//! Callers send a query to an *entry*. The entry pins one version of the index, plans one request per shard and sends
//! the requests in batches to *relays*, which own the connections to the upstreams. Every process has both roles. The
//! entry gathers the shards' rows into one answer, which states the snapshot it reflects and how much of it it covers.
//!
//! Each module has one responsibility and separates decisions from I/O. The decisions are deterministic: they take the
//! time, a seeded random source and messages as inputs, and return actions. An actor owns the sockets and timers and
//! performs the actions.

pub mod caller;
pub mod catalog;
pub mod declaration;
pub mod entry;
pub mod finding;
#[cfg(test)]
mod fuzz_input;
pub mod gateway;
pub mod http_link;
pub mod ident;
pub mod ini;
pub mod intake;
pub mod lifecycle;
pub mod locate;
pub mod membership;
pub mod node;
pub mod once;
pub mod operator;
pub mod panic_reason;
pub mod quantity;
pub mod quarantine;
pub mod query;
pub mod relay;
pub mod revision;
pub mod settings;
mod stated;
pub mod store;
pub mod topology;
pub mod traffic;
pub mod views;
pub mod wire;
