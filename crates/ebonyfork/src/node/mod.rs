//! A complete process: binds the sockets, creates the views, and starts and connects all subsystems.
//!
//! The daemon and the lab start a node with the same call. This module only connects the subsystems and makes no
//! decisions itself. A node ends with a planned stop, or abruptly when its runtime is dropped.

mod assembly;
mod dispatch;
mod gossip;
mod listening;
mod options;
mod status;

pub use assembly::Node;
pub use listening::NodeError;
pub use options::NodeOptions;
