//! Commands that read what has been published.

use std::fmt::Write as _;

use clap::ArgMatches;
use compact_str::format_compact;
use ebonyfork::declaration::DeclaredFile;
use ebonyfork::ident::RevisionNumber;
use ebonyfork::revision::{
    AcceptanceState, ChangeRecord, HeadRecord, ZoneGap, read_acceptance, read_change, read_head,
    read_part, unix_millis,
};
use ebonyfork::store::StoreClient;
use serde::Serialize;
use snafu::ResultExt;

use crate::arguments::CommonOptions;
use crate::error::{CtlError, PlatformSnafu};
use crate::status::ExitStatus;

/// One revision with its files.
#[derive(Debug, Serialize)]
struct ShownRevision<'a> {
    change: &'a ChangeRecord,
    files: Vec<ShownFile<'a>>,
}

#[derive(Debug, Serialize)]
struct ShownFile<'a> {
    name: &'a str,
    text: &'a str,
}

/// `show`: prints the files of a revision.
pub(crate) async fn run_show(
    matches: &ArgMatches,
    options: &CommonOptions,
    client: &StoreClient,
) -> Result<ExitStatus, CtlError> {
    let change = find_revision(client, wanted(matches)).await?;
    let files = read_files(client, &change).await?;
    let mut text = describe_change(&change);
    for file in &files {
        let _infallible = write!(text, "\n; ---- {}\n{}", file.name, file.text);
    }
    let shown = ShownRevision {
        change: &change,
        files: files
            .iter()
            .map(|file| ShownFile {
                name: &file.name,
                text: &file.text,
            })
            .collect(),
    };
    options.output.print(text.trim_end(), &shown);
    Ok(ExitStatus::Done)
}

/// `history`: lists revisions, newest first.
pub(crate) async fn run_history(
    matches: &ArgMatches,
    options: &CommonOptions,
    client: &StoreClient,
) -> Result<ExitStatus, CtlError> {
    let limit = matches.get_one::<usize>("limit").copied().unwrap_or(1);
    let mut changes = Vec::new();
    let head = read_head(client).await.context(PlatformSnafu)?;
    let mut next = head.map(|(_, head)| head.change);
    while let Some(id) = next {
        if changes.len() >= limit {
            break;
        }
        // A store that has gone back may lack older records; the list ends there.
        let Some(change) = read_change(client, id).await.context(PlatformSnafu)? else {
            break;
        };
        next = change.parent();
        changes.push(change);
    }
    let lines: Vec<String> = changes.iter().map(describe_change).collect();
    options.output.print(lines.join("\n"), &changes);
    Ok(ExitStatus::Done)
}

/// `status`: tells whether a revision is accepted.
pub(crate) async fn run_status(
    matches: &ArgMatches,
    options: &CommonOptions,
    client: &StoreClient,
) -> Result<ExitStatus, CtlError> {
    let change = find_revision(client, wanted(matches)).await?;
    let head = change.head();
    let state = read_acceptance(client, head, unix_millis())
        .await
        .context(PlatformSnafu)?;
    options.output.print(describe_state(head, &state), &state);
    Ok(state_status(&state))
}

fn wanted(matches: &ArgMatches) -> Option<RevisionNumber> {
    matches.get_one::<RevisionNumber>("revision").copied()
}

/// The exit status of a published revision.
pub(crate) fn state_status(state: &AcceptanceState) -> ExitStatus {
    match state {
        AcceptanceState::Accepted { .. } => ExitStatus::Done,
        AcceptanceState::Overridden { .. } => ExitStatus::Overridden,
        AcceptanceState::Waiting { .. } | AcceptanceState::Nowhere => ExitStatus::NotEverywhere,
    }
}

/// Says in words how far a revision is.
pub(crate) fn describe_state(head: HeadRecord, state: &AcceptanceState) -> String {
    let mut text = match state {
        AcceptanceState::Accepted { zones } => {
            format!("{head}: accepted, shown by {} zones", zones.len())
        }
        AcceptanceState::Waiting { gaps } => {
            format!("{head}: published, not yet shown by {} zones", gaps.len())
        }
        AcceptanceState::Overridden { by } => {
            format!("{head}: the tier has put an earlier revision in force again by {by}")
        }
        AcceptanceState::Nowhere => {
            format!("{head}: published, but the VM list has no VM of the tier")
        }
    };
    if let AcceptanceState::Waiting { gaps } = state {
        for gap in gaps {
            text.push_str(&describe_gap(gap));
        }
    }
    text
}

fn describe_gap(gap: &ZoneGap) -> String {
    let (Some(lowest), Some(age)) = (gap.lowest, gap.age_s) else {
        return format!("\n  zone {}: no evidence written yet", gap.zone);
    };
    let mut text = format!(
        "\n  zone {}: lowest revision {lowest}, evidence {age} s old",
        gap.zone
    );
    for lagging in &gap.lagging {
        let _infallible = write!(text, "\n    {} at {}", lagging.vm, lagging.revision);
    }
    text
}

/// One line about a change.
pub(crate) fn describe_change(change: &ChangeRecord) -> String {
    format!(
        "{} {} by {} at {} ms: {}",
        change.revision, change.change, change.author, change.time_ms, change.note
    )
}

/// Finds a revision by walking from the head; the newest if none is named.
pub(crate) async fn find_revision(
    client: &StoreClient,
    revision: Option<RevisionNumber>,
) -> Result<ChangeRecord, CtlError> {
    let head = read_head(client).await.context(PlatformSnafu)?;
    let Some((_, head)) = head else {
        let what = format_compact!("nothing has been published yet");
        return Err(CtlError::Missing { what });
    };
    let mut next = head.change;
    loop {
        let change = read_change(client, next).await.context(PlatformSnafu)?;
        let Some(change) = change else {
            let what = format_compact!("the record of change {next} is not in the store");
            return Err(CtlError::Missing { what });
        };
        match (revision, change.parent()) {
            (None, _) => return Ok(change),
            (Some(wanted), _) if change.revision == wanted => return Ok(change),
            (Some(wanted), Some(parent)) if change.revision > wanted => next = parent,
            (Some(wanted), _) => {
                let what = format_compact!("there is no revision {wanted}; the newest is {head}");
                return Err(CtlError::Missing { what });
            }
        }
    }
}

/// Reads the files of a change.
pub(crate) async fn read_files(
    client: &StoreClient,
    change: &ChangeRecord,
) -> Result<Vec<DeclaredFile>, CtlError> {
    let mut files = Vec::new();
    for part in &change.parts {
        let text = read_part(client, part.sha256)
            .await
            .context(PlatformSnafu)?;
        let Some(text) = text else {
            let what = format_compact!(
                "the part {} of {} is not in the store",
                part.sha256,
                part.name
            );
            return Err(CtlError::Missing { what });
        };
        let text = String::from_utf8_lossy(&text).into_owned();
        files.push(DeclaredFile::new(&part.name, text));
    }
    Ok(files)
}
