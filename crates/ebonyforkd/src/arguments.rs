//! The daemon's command line.

use clap::{Arg, ArgAction, Command};

const EXAMPLES: &str = "\
Examples:
  ebonyforkd --settings /etc/ebonyfork/node.ini --check
  ebonyforkd --settings /etc/ebonyfork/node.ini

Signals:
  TERM, INT  planned stop; a second one ends it at once
  HUP        read the settings again and put [log] in force

Exit status:
  0  stopped as planned, or the check found nothing
  1  can't start
  2  the settings have findings, each with file and line";

/// What the command line says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DaemonArguments {
    /// The settings file.
    pub settings: String,
    /// Only check the settings.
    pub check: bool,
}

impl DaemonArguments {
    /// Reads the process's command line; on an error or `--help` the process ends.
    pub fn parse() -> Self {
        let matches = command().get_matches();
        let settings = matches
            .get_one::<String>("settings")
            .cloned()
            .unwrap_or_default();
        Self {
            settings,
            check: matches.get_flag("check"),
        }
    }
}

fn command() -> Command {
    Command::new("ebonyforkd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs one node of the query tier")
        .after_help(EXAMPLES)
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .help("INI file with the settings of this process"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Report every finding in the settings, with file and line, and end"),
        )
}

#[cfg(test)]
#[path = "arguments_tests.rs"]
mod tests;
