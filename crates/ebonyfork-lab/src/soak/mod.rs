//! A randomized soak of the gateway: real processes on loopback, faults from outside them, promises checked from what
//! callers and upstreams saw.
//!
//! One seed draws everything: which faults, when, on what. Faults come in series and overlap. Callers keep using open
//! connections until a process is gone. [`judge`] reads the records of callers and upstreams and never asks the tier.

mod callers;
mod faults;
pub(crate) mod fleet;
pub mod judge;
mod judge_directory;
mod judge_moves;
mod judge_places;
mod judge_starved;
mod moves;
mod odd_entries;
mod organisations;
mod place_events;
mod probes;
mod proxy;
mod slow_callers;
mod stalling_callers;
pub(crate) mod world;

use std::path::PathBuf;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use crate::error::LabError;
use crate::soak::callers::CallerPool;
use crate::soak::faults::run_faults;
use crate::soak::fleet::GatewayFleet;
use crate::soak::judge::{SoakVerdict, judge_soak};
use crate::soak::judge_directory::check_directories;
use crate::soak::stalling_callers::stall;
use crate::soak::world::{SoakWorld, ZONES};

/// Time without faults before and after them: in the second part the system must serve again.
const CALM: Duration = Duration::from_secs(6);

/// What a soak runs with.
#[derive(Debug, Clone)]
pub struct SoakSettings {
    /// Draws everything.
    pub seed: u64,
    /// How long faults come.
    pub time: Duration,
    /// VMs in each of three zones.
    pub vms: usize,
    /// The gateway's program.
    pub program: PathBuf,
    /// Where settings and logs go.
    pub folder: PathBuf,
}

/// Runs one soak. All processes that it started have ended when it returns.
pub async fn run_soak(settings: &SoakSettings) -> Result<SoakVerdict, LabError> {
    let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
    let world = SoakWorld::start(settings.seed, settings.vms * ZONES.len()).await?;
    let mut fleet = GatewayFleet::start(settings, &world).await?;
    let callers = CallerPool::start(fleet.addresses());
    let stalling =
        AbortOnDropHandle::new(tokio::spawn(stall(settings.seed, fleet.caller_addresses())));
    tokio::time::sleep(CALM).await;
    let events = run_faults(&mut rng, settings, &world, &mut fleet).await?;
    drop(stalling);
    let calm_from = Instant::now();
    tokio::time::sleep(CALM).await;
    let until = Instant::now();
    let records = callers.stop().await;
    fleet.end().await;
    let calm = calm_from..until;
    let mut verdict = judge_soak(
        settings.seed,
        &records,
        &world,
        &events,
        fleet.lives(),
        calm,
    );
    let directory_violations = check_directories(&records.located, fleet.lives(), &events);
    verdict.violations.extend(directory_violations);
    verdict.violations.extend(fleet.failures());
    Ok(verdict)
}
