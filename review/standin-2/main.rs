//! Cases of the second review that can't be put as a day: stand-ins and checks. `main CASE FOLDER`.
//!
//! Ends with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod cold_while_cut;
mod extra_after_refusal;
mod http;
mod platform;
mod quota_change;
mod tools;
mod top_k_change;

use std::path::PathBuf;
use std::process::ExitCode;

/// What a case needs.
pub struct Case {
    /// The repository's root.
    pub root: PathBuf,
    /// Folder for settings and logs, deleted at the end.
    pub scratch: PathBuf,
    /// Folder of the case.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_program, name, folder] = arguments.as_slice() else {
        eprintln!("usage: main CASE FOLDER");
        return ExitCode::from(2);
    };
    let scratch = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&scratch) {
        eprintln!("no scratch folder: {error}");
        return ExitCode::from(2);
    }
    let case = Case {
        root: std::env::current_dir().unwrap_or_default(),
        scratch: scratch.clone(),
        folder: PathBuf::from(folder),
        trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    let outcome = match name.as_str() {
        "extra-after-refusal" => extra_after_refusal::run(&case),
        "top-k-change" => top_k_change::run(&case),
        "cold-while-cut" => cold_while_cut::run(&case),
        "quota-change" => quota_change::run(&case),
        other => Err(format!("no case {other}")),
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&scratch);
    } else {
        eprintln!("kept {}", scratch.display());
    }
    match outcome {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::from(0),
        Err(error) => {
            eprintln!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
