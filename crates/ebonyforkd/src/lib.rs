//! What the daemons share: the command line, errors and exit statuses, and logging off the hot path.

pub mod arguments;
pub mod daemon;
pub mod logging;
