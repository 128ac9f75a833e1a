//! `ebonyforkctl`, the operators' command line of the query tier.

use std::process::ExitCode;

fn main() -> ExitCode {
    ebonyforkctl::run(std::env::args_os()).into()
}
