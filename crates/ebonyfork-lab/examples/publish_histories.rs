//! Runs many random histories of publishing and prints what they came to.
//!
//! `cargo run --release --example publish_histories -- 100000`

use ebonyfork_lab::publish_model::{HistoryCounts, run_history};

fn main() -> Result<(), String> {
    let histories = std::env::args().nth(1);
    let histories: u64 = histories.map_or(Ok(100_000), |text| text.parse()).map_err(
        |error: std::num::ParseIntError| format!("expected a number of histories: {error}"),
    )?;
    for restarts in [false, true] {
        let mut counts = HistoryCounts::default();
        for seed in 0..histories {
            let run = run_history(seed, restarts);
            counts.add(
                &run.map_err(|fault| format!("history {seed}, restarts {restarts}: {fault}"))?,
            );
        }
        println!("store goes back: {restarts}\n{counts:#?}");
    }
    Ok(())
}
