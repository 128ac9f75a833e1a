//! `check` and `apply`.

use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::ArgMatches;
use compact_str::CompactString;
use ebonyfork::declaration::{DeclaredConfig, DeclaredFile};
use ebonyfork::ident::RevisionNumber;
use ebonyfork::revision::{
    AcceptanceState, ChangeRecord, HeadRecord, PartSet, PublishOutcome, publish_prepared,
    publish_request, read_acceptance, read_change, read_head, unix_millis,
};
use ebonyfork::store::StoreClient;
use serde::Serialize;
use snafu::ResultExt;
use tokio::time::Instant;

use crate::arguments::{CommonOptions, span};
use crate::difference::file_difference;
use crate::directory::read_declarations;
use crate::error::{CtlError, PlatformSnafu};
use crate::revisions::{describe_change, describe_state, read_files, state_status};
use crate::status::ExitStatus;

/// How often the evidence is read while `apply` waits.
const EVIDENCE_PERIOD: Duration = Duration::from_secs(1);

/// Files above this many bytes get a note: at the most frequent changes that are planned for, a file of this size
/// takes more than half of the bytes that a VM may spend on control.
const LARGE_FILE: usize = 128 << 10;

/// What `apply` prints as JSON.
#[derive(Debug, Default, Serialize)]
struct ApplyReport {
    outcome: &'static str,
    revision: Option<RevisionNumber>,
    change: Option<CompactString>,
    difference: String,
    /// What somebody else changed meanwhile.
    theirs: Option<ChangeRecord>,
    their_difference: Option<String>,
    reason: Option<CompactString>,
    acceptance: Option<AcceptanceState>,
}

/// `check`: reports every finding.
pub(crate) fn run_check(
    matches: &ArgMatches,
    options: &CommonOptions,
) -> Result<ExitStatus, CtlError> {
    let files = read_declarations(directory(matches))?;
    PartSet::new(&files).map_err(|findings| CtlError::Findings { findings })?;
    let config = DeclaredConfig::parse(&files, RevisionNumber(0));
    let config = config.map_err(|findings| CtlError::Findings { findings })?;
    let counts = [
        ("files", files.len()),
        ("services", config.services.len()),
        ("classes", config.classes.len()),
        ("organisations", config.organisations.len()),
    ];
    for file in &files {
        if file.text.len() > LARGE_FILE {
            let (name, size) = (&file.name, file.text.len());
            eprintln!(
                "note: {name} has {size} bytes; a changed file travels to every VM whole, split it below {LARGE_FILE}"
            );
        }
    }
    let words: Vec<String> = counts
        .iter()
        .map(|(name, count)| format!("{count} {name}"))
        .collect();
    let value = serde_json::json!({"findings": [], "counts": serde_json::Map::from_iter(
        counts.map(|(name, count)| (name.to_owned(), count.into())))});
    options
        .output
        .print(format!("no findings: {}", words.join(", ")), &value);
    Ok(ExitStatus::Done)
}

fn directory(matches: &ArgMatches) -> &Path {
    matches
        .get_one::<PathBuf>("directory")
        .map_or(Path::new("."), PathBuf::as_path)
}

/// `apply`: shows the difference, publishes, waits for the evidence.
pub(crate) async fn run_apply(
    matches: &ArgMatches,
    options: &CommonOptions,
    client: &StoreClient,
) -> Result<ExitStatus, CtlError> {
    let files = read_declarations(directory(matches))?;
    let text = |name| matches.get_one::<String>(name).cloned();
    let author = text("author").or_else(|| std::env::var("USER").ok());
    let author = author.unwrap_or_else(|| "unknown".to_owned());
    let request = publish_request(&files, author, text("note").unwrap_or_default());
    let request = request.map_err(|findings| CtlError::Findings { findings })?;
    let (base, published) = read_published(client).await?;
    let mut report = ApplyReport {
        difference: file_difference(&published, &files),
        ..ApplyReport::default()
    };
    if matches.get_flag("dry-run") {
        report.outcome = "dry-run";
        options.output.print(report.difference.trim_end(), &report);
        return Ok(ExitStatus::Done);
    }
    eprint!("{}", report.difference);
    report.change = Some(request.change.into());
    let outcome = publish_prepared(client, request.with_base(base)).await;
    let status = finish(
        &outcome,
        &published,
        &mut report,
        client,
        span(matches, "timeout"),
    )
    .await;
    options.output.print(describe_report(&report), &report);
    Ok(status)
}

/// Reads the head and its files.
async fn read_published(
    client: &StoreClient,
) -> Result<(Option<HeadRecord>, Vec<DeclaredFile>), CtlError> {
    let head = read_head(client).await.context(PlatformSnafu)?;
    let Some((_, head)) = head else {
        return Ok((None, Vec::new()));
    };
    let change = read_change(client, head.change)
        .await
        .context(PlatformSnafu)?;
    let files = match change {
        Some(change) => read_files(client, &change).await?,
        None => Vec::new(),
    };
    Ok((Some(head), files))
}

/// Fills in the report and waits where there is something to wait for.
async fn finish(
    outcome: &PublishOutcome,
    published: &[DeclaredFile],
    report: &mut ApplyReport,
    client: &StoreClient,
    timeout: Duration,
) -> ExitStatus {
    match outcome {
        PublishOutcome::Published { head, .. } | PublishOutcome::Unchanged { head } => {
            report.revision = Some(head.revision);
            let state = wait_accepted(client, *head, timeout).await;
            let status = state
                .as_ref()
                .map_or(ExitStatus::NotEverywhere, state_status);
            report.outcome = match status {
                ExitStatus::Done => "accepted",
                ExitStatus::Overridden => "overridden",
                _ => "published, not yet everywhere",
            };
            report.acceptance = state;
            status
        }
        PublishOutcome::Conflict { theirs, .. } => {
            report.outcome = "conflict";
            if let Some(theirs) = theirs
                && let Ok(files) = read_files(client, theirs).await
            {
                report.their_difference = Some(file_difference(published, &files));
            }
            report.theirs.clone_from(theirs);
            ExitStatus::Conflict
        }
        PublishOutcome::NotPublished { reason } => {
            report.outcome = "not published";
            report.reason = Some(reason.clone());
            ExitStatus::NotPublished
        }
        PublishOutcome::Unknown { head, reason } => {
            report.outcome = "unknown";
            report.revision = Some(head.revision);
            report.reason = Some(reason.clone());
            ExitStatus::Unknown
        }
        PublishOutcome::Invalid { findings } => {
            report.outcome = "findings";
            report.reason = Some(CompactString::new(findings.to_string()));
            ExitStatus::Findings
        }
    }
}

/// Reads the evidence until it settles the question or the time is over; none if the store never answered.
async fn wait_accepted(
    client: &StoreClient,
    head: HeadRecord,
    timeout: Duration,
) -> Option<AcceptanceState> {
    let end = Instant::now() + timeout;
    let mut last = None;
    loop {
        match read_acceptance(client, head, unix_millis()).await {
            Ok(state) => {
                let settled = matches!(
                    state,
                    AcceptanceState::Accepted { .. } | AcceptanceState::Overridden { .. }
                );
                last = Some(state);
                if settled {
                    return last;
                }
            }
            Err(error) => eprintln!("evidence: {error}"),
        }
        if Instant::now() + EVIDENCE_PERIOD >= end {
            return last;
        }
        tokio::time::sleep(EVIDENCE_PERIOD).await;
    }
}

fn describe_report(report: &ApplyReport) -> String {
    let mut lines = Vec::new();
    let name = match (report.revision, &report.change) {
        (Some(revision), Some(change)) => format!("revision {revision} (change {change})"),
        (_, Some(change)) => format!("change {change}"),
        _ => "nothing".to_owned(),
    };
    lines.push(format!("{}: {name}", report.outcome));
    if let Some(reason) = &report.reason {
        lines.push(format!("  {reason}"));
    }
    if let Some(theirs) = &report.theirs {
        lines.push(format!("theirs: {}", describe_change(theirs)));
    }
    if let Some(difference) = &report.their_difference {
        lines.push(format!("what they changed:\n{}", difference.trim_end()));
        lines.push(format!(
            "what you wanted to change:\n{}",
            report.difference.trim_end()
        ));
    }
    if let (Some(state), Some(revision), Some(change)) =
        (&report.acceptance, report.revision, &report.change)
        && let Ok(change) = change.parse()
    {
        lines.push(describe_state(HeadRecord { revision, change }, state));
    }
    lines.join("\n")
}
