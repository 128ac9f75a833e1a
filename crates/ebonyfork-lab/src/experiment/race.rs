//! Operators who race each other: several publish at once, each a change of their own onto the same head.

use std::time::Duration;

use ebonyfork::declaration::DeclaredFile;
use ebonyfork::revision::{PublishOutcome, publish_prepared, publish_request, read_head};
use ebonyfork::store::StoreClient;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::error::LabError;
use crate::experiment::runner::ProgressFunction;

/// Time between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// What came of all rounds.
#[derive(Debug, Default)]
struct RaceTally {
    rounds: u32,
    published: u32,
    conflicts: u32,
    others: u32,
}

/// Lets `operators` race until `lasts` is over. Two winners onto one head are an error, and so is a round in which everybody
/// was told a clear outcome but nobody won.
pub(super) async fn race_operators(
    client: &StoreClient,
    files: &[DeclaredFile],
    operators: u32,
    lasts: Duration,
    progress: &ProgressFunction,
) -> Result<(), LabError> {
    let ends = Instant::now() + lasts;
    let mut tally = RaceTally::default();
    while Instant::now() < ends {
        run_round(client, files, operators, &mut tally).await?;
        tokio::time::sleep(ROUND_PAUSE).await;
    }
    progress.say(format_args!("operators raced: {tally:?}"));
    if tally.published == 0 {
        return Err(race_error(format!("nobody won any round: {tally:?}")));
    }
    Ok(())
}

async fn run_round(
    client: &StoreClient,
    files: &[DeclaredFile],
    operators: u32,
    tally: &mut RaceTally,
) -> Result<(), LabError> {
    // A store that can't be read starts no race.
    let Ok(head) = read_head(client).await else {
        return Ok(());
    };
    let base = head.map(|(_, head)| head);
    tally.rounds += 1;
    let mut races = JoinSet::new();
    for operator in 0..operators {
        let files = changed_files(files, tally.rounds, operator);
        let request = publish_request(&files, format!("operator {operator}"), "race");
        let request = request.map_err(|findings| race_error(findings.to_string()))?;
        let (client, request) = (client.clone(), request.with_base(base));
        races.spawn(async move { publish_prepared(&client, request).await });
    }
    let (mut published, mut unclear) = (0, 0);
    for outcome in races.join_all().await {
        match outcome {
            PublishOutcome::Published { .. } => published += 1,
            PublishOutcome::Conflict { .. } => tally.conflicts += 1,
            _ => unclear += 1,
        }
    }
    tally.published += published;
    tally.others += unclear;
    if published > 1 || (published == 0 && unclear == 0) {
        return Err(race_error(format!(
            "{published} operators won round {}",
            tally.rounds
        )));
    }
    Ok(())
}

/// The scenario's declarations with a service more, so that each change differs from every other.
fn changed_files(files: &[DeclaredFile], round: u32, operator: u32) -> Vec<DeclaredFile> {
    let mut files = files.to_vec();
    let text = format!("[service racer-{round}-{operator}]\nconnections = 25\n");
    files.push(DeclaredFile::new("race.ini", text));
    files
}

fn race_error(message: String) -> LabError {
    LabError::Tier {
        what: "racing operators",
        message,
    }
}
