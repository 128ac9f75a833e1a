//! Measures how configuration spreads, on real sockets: the time from apply to in force on every VM under faults of
//! the store, and the calls to the store for fleets of several sizes.
//!
//! `cargo run --release --example config_spread -- faults 200` or `-- calls`

use std::time::Duration;

use ebonyfork::declaration::DeclaredFile;
use ebonyfork::ident::{RevisionNumber, ZoneName};
use ebonyfork::revision::{PublishOutcome, publish};
use ebonyfork::store::StoreClient;
use ebonyfork_lab::config_fleet::ConfigFleet;
use ebonyfork_lab::platform::PlatformStandIn;
use ebonyfork_stand_in::store_faults::{RateLimits, StoreFaults, StoreOutage};
use hdrhistogram::Histogram;
use tokio::time::Instant;

type AnyError = Box<dyn std::error::Error>;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const PATIENCE: Duration = Duration::from_mins(1);
/// The store is out for one second in eight.
const OUTAGE_PERIOD: Duration = Duration::from_secs(8);
const OUTAGE: Duration = Duration::from_secs(1);

struct Bench {
    platform: PlatformStandIn,
    client: StoreClient,
    fleet: ConfigFleet,
}

impl Bench {
    async fn start(network: u8, size: usize, alone: bool) -> Result<Self, AnyError> {
        let platform = PlatformStandIn::start("127.0.0.1:0".parse()?).await?;
        // The rates are measured here, not enforced.
        platform.store().set_rates(RateLimits {
            reads: 1_000_000,
            writes: 1_000_000,
        });
        let client = StoreClient::new(platform.client(), Duration::from_secs(2));
        let fleet = ConfigFleet::new(platform.address(), network).await?;
        let mut fleet = fleet.with_alone(alone);
        for (number, zone) in ZONES.iter().enumerate() {
            let zone: ZoneName = zone.parse()?;
            let count = size / 3 + usize::from(number < size % 3);
            fleet.add(&zone, count).await?;
        }
        Ok(Self {
            platform,
            client,
            fleet,
        })
    }

    /// Publishes until it is done, as an operator would who repeats a refused apply.
    async fn apply(&self, connections: u32) -> Result<RevisionNumber, AnyError> {
        let text = format!("[service tender-00]\nconnections = {connections}\ndrain = 10s\n");
        let files = [DeclaredFile::new("main.ini", text)];
        loop {
            match publish(&self.client, &files, "lab", "a change").await {
                PublishOutcome::Published { head, .. } | PublishOutcome::Unchanged { head } => {
                    return Ok(head.revision);
                }
                PublishOutcome::NotPublished { .. } | PublishOutcome::Unknown { .. } => {}
                other => return Err(format!("{other:?}").into()),
            }
        }
    }
}

fn faults(out: bool) -> StoreFaults {
    StoreFaults {
        outage: out.then_some(StoreOutage::Busy),
        delay: Duration::from_millis(5),
        lost_answers: 0.05,
        lost_calls: 0.05,
        ..StoreFaults::default()
    }
}

async fn measure_faults(changes: u32) -> Result<(), AnyError> {
    let bench = Bench::start(111, 30, false).await?;
    let first = bench.apply(1).await?;
    bench.fleet.wait_for(first, PATIENCE).await;
    let mut applied = Histogram::<u64>::new(3)?;
    let mut spread = Histogram::<u64>::new(3)?;
    let mut last = first;
    let mut reverts = 0;
    let start = Instant::now();
    for change in 0..changes {
        let phase = start.elapsed().as_millis() % OUTAGE_PERIOD.as_millis();
        bench
            .platform
            .store()
            .set_faults(faults(phase < OUTAGE.as_millis()));
        let ending = async {
            // An outage that began before this change ends on time, whatever the change waits for.
            let left = OUTAGE.as_millis().saturating_sub(phase) as u64;
            tokio::time::sleep(Duration::from_millis(left)).await;
            bench.platform.store().set_faults(faults(false));
            std::future::pending::<()>().await;
        };
        let begun = Instant::now();
        let applying = async {
            let revision = bench.apply(change + 2).await?;
            let moved = Instant::now();
            if !bench.fleet.wait_for(revision, PATIENCE).await {
                return Err(AnyError::from(format!(
                    "revision {revision} not in force everywhere"
                )));
            }
            Ok((revision, moved))
        };
        let (revision, moved) = tokio::select! {
            applied = applying => applied?,
            () = ending => continue,
        };
        applied.record(begun.elapsed().as_micros() as u64)?;
        spread.record(moved.elapsed().as_micros() as u64)?;
        reverts += u32::from(revision <= last) + u32::from(bench.fleet.lowest() < revision);
        last = revision;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    println!(
        "{changes} changes, 30 VMs in 3 zones, 5 % lost calls, 5 % lost answers, out 1 s in 8 s"
    );
    for (name, histogram) in [("apply begun", &applied), ("head moved", &spread)] {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        println!(
            "{name} to in force on every VM: p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms",
            at(0.5),
            at(0.99),
            histogram.max() as f64 / 1_000.0
        );
    }
    println!("reverts: {reverts}");
    Ok(())
}

async fn measure_calls() -> Result<(), AnyError> {
    const REST: Duration = Duration::from_secs(10);
    const CHANGES: u32 = 10;
    println!(
        "| VMs in 3 zones | watchers | calls/s at rest | calls per change | in force p50 ms | max ms |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    let mut network = 112;
    for alone in [false, true] {
        for size in [7, 30, 100, 300] {
            let bench = Bench::start(network, size, alone).await?;
            network += 1;
            let first = bench.apply(1).await?;
            bench.fleet.wait_for(first, PATIENCE).await;
            for _ in 0..5 {
                bench.fleet.gossip();
                tokio::time::sleep(Duration::from_millis(500)).await;
            }
            let before = bench.platform.store().calls().total();
            tokio::time::sleep(REST).await;
            let rest =
                (bench.platform.store().calls().total() - before) as f64 / REST.as_secs_f64();
            let mut spread = Histogram::<u64>::new(3)?;
            let before = bench.platform.store().calls().total();
            let begun = Instant::now();
            for change in 0..CHANGES {
                let revision = bench.apply(change + 2).await?;
                let moved = Instant::now();
                bench.fleet.wait_for(revision, PATIENCE).await;
                spread.record(moved.elapsed().as_micros() as u64)?;
                bench.fleet.gossip();
                tokio::time::sleep(Duration::from_millis(500)).await;
            }
            let calls = (bench.platform.store().calls().total() - before) as f64;
            let per_change = (calls - rest * begun.elapsed().as_secs_f64()) / f64::from(CHANGES);
            let watchers = if alone { "every VM" } else { "2 a zone" };
            println!(
                "| {size} | {watchers} | {rest:.1} | {per_change:.1} | {:.1} | {:.1} |",
                spread.value_at_quantile(0.5) as f64 / 1_000.0,
                spread.max() as f64 / 1_000.0
            );
        }
    }
    Ok(())
}

#[tokio::main]
async fn main() -> Result<(), AnyError> {
    let mut arguments = std::env::args().skip(1);
    match arguments.next().as_deref() {
        Some("faults") => {
            let changes = arguments.next().map_or(Ok(200), |text| text.parse())?;
            measure_faults(changes).await
        }
        Some("calls") => measure_calls().await,
        _ => Err("expected `faults [CHANGES]` or `calls`".into()),
    }
}
