//! Results on standard output: text for people, JSON for scripts.

use std::fmt::Display;
use std::io::Write;

use serde::Serialize;

/// Form of a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputForm {
    /// For people.
    Text,
    /// For scripts: one JSON value.
    Json,
}

impl OutputForm {
    /// Reads the option's word.
    pub fn new(word: &str) -> Self {
        if word == "json" {
            Self::Json
        } else {
            Self::Text
        }
    }

    /// Prints a result in this form.
    pub fn print(self, text: impl Display, value: &impl Serialize) {
        match self {
            Self::Text => print_line(text),
            Self::Json => print_line(serde_json::to_string_pretty(value).unwrap_or_default()),
        }
    }
}

/// Prints a line; a reader that has gone away is not an error.
pub fn print_line(text: impl Display) {
    let _gone = writeln!(std::io::stdout().lock(), "{text}");
}
