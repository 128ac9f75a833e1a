//! One process put together: sockets, views, and the slices joined to each other.
//!
//! The daemon and the measuring tool start a node by the same call. Nothing is decided here; this module says which
//! slice hears of what. A node ends by a planned stop, or abruptly when its runtime is dropped.

mod assembly;
mod dispatch;
mod gossip;
mod listening;
mod options;
mod status;

pub use assembly::Node;
pub use listening::NodeError;
pub use options::NodeOptions;
