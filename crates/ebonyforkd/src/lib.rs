//! What the daemons share: the command line, errors and exit statuses, logging off the hot path, memory.

pub mod arguments;
pub mod daemon;
pub mod logging;
pub mod memory;
