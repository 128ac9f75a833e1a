//! What the daemons share: the command line and logging off the hot path.

pub mod arguments;
pub mod logging;
