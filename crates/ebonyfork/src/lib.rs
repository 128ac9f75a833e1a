//! ebonyfork: a query tier over many shards.
//!
//! Callers send a query to an *entry*. The entry pins one version of the index, plans one request per shard and sends
//! them in batches to *relays*, which own the connections to the upstreams. Every process plays both roles. The entry
//! gathers the shards' rows into one answer that says truthfully which snapshot it reflects and how much it covers.
//!
//! One module per duty. In each, the decisions are plain code over values: they take the time, a seeded random source
//! and messages, and return what is to be done. A thin actor beside them owns sockets and timers.

pub mod caller;
pub mod catalog;
pub mod declaration;
pub mod entry;
pub mod finding;
pub mod gateway;
pub mod http_link;
pub mod ident;
pub mod ini;
pub mod lifecycle;
pub mod locate;
pub mod membership;
pub mod node;
pub mod once;
pub mod operator;
pub mod quantity;
pub mod quarantine;
pub mod query;
pub mod relay;
pub mod revision;
pub mod settings;
pub mod store;
pub mod topology;
pub mod traffic;
pub mod views;
pub mod wire;
