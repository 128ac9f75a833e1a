//! How changes of a configuration reach gateways that run as processes on one machine: the time to the last VM, the bytes
//! that the busiest one tells others, memory. All VMs share the machine's processors and its loopback network, so times
//! are upper bounds of many processes on few cores, and bytes and memory are those of a fleet.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use http::{Request, Uri};
use http_body_util::Full;
use tokio::time::Instant;

use crate::error::LabError;
use crate::http_client::{CallConnection, CallError};
use crate::soak::SoakSettings;
use crate::soak::fleet::GatewayFleet;
use crate::soak::world::SoakWorld;

/// Longest wait for a version to be in force everywhere.
const PATIENCE: Duration = Duration::from_mins(1);
/// Time between two looks at the logs.
const LOOK: Duration = Duration::from_millis(20);
/// Time for the fleet to find itself: who follows whom.
const SETTLING: Duration = Duration::from_secs(8);
/// Changes that are measured; the slowest counts.
const CHANGES: u64 = 5;
/// Zones of a fleet.
const ZONES: usize = 3;

/// What is measured.
#[derive(Debug, Clone)]
pub struct SpreadSettings {
    /// VMs, in three zones.
    pub vms: usize,
    /// Routes of the configuration.
    pub routes: u64,
    /// The gateway's program.
    pub program: PathBuf,
    /// Where settings and logs go.
    pub folder: PathBuf,
}

/// What was found.
#[derive(Debug, Clone, PartialEq)]
pub struct SpreadReport {
    /// VMs.
    pub vms: usize,
    /// Routes.
    pub routes: u64,
    /// Time from the start of all processes until the last one has the configuration in force.
    pub start: Duration,
    /// Time from the write of a change of one route until the last VM has it in force; the slowest change.
    pub change: Duration,
    /// Kilobytes that the busiest VM told others for one change.
    pub busiest_kb: f64,
    /// Mean memory of a process at the end, in megabytes.
    pub memory_mb: f64,
    /// Mean of the processes' peaks, in megabytes.
    pub peak_mb: f64,
}

impl fmt::Display for SpreadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:5} {:6} {:10.2} {:10.2} {:11.1} {:10.1} {:8.1}",
            self.vms,
            self.routes,
            self.start.as_secs_f64(),
            self.change.as_secs_f64(),
            self.busiest_kb,
            self.memory_mb,
            self.peak_mb
        )
    }
}

/// Starts a fleet, changes its configuration a few times and ends it.
pub async fn measure_spread(settings: &SpreadSettings) -> Result<SpreadReport, LabError> {
    let soak = SoakSettings {
        seed: settings.vms as u64 + settings.routes,
        time: Duration::ZERO,
        vms: settings.vms.div_ceil(ZONES),
        program: settings.program.clone(),
        folder: settings.folder.clone(),
    };
    clear_folder(&settings.folder)?;
    let world = SoakWorld::start(soak.seed, soak.vms * 3).await?;
    world.write_config_of(false, settings.routes);
    let mut fleet = GatewayFleet::start(&soak, &world).await?;
    let start = until_in_force(&fleet, newest_version(&world)).await?;
    tokio::time::sleep(SETTLING).await;
    let before = told_bytes(&fleet).await?;
    let mut change = Duration::ZERO;
    for number in 1..=CHANGES {
        world.write_config_of(false, settings.routes + number % 2);
        change = change.max(until_in_force(&fleet, newest_version(&world)).await?);
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let after = told_bytes(&fleet).await?;
    let told = before
        .iter()
        .zip(&after)
        .map(|(before, after)| after - before);
    let busiest = told.fold(0.0, f64::max) / CHANGES as f64;
    let (memory_mb, peak_mb) = memory(&fleet)?;
    let vms = fleet.vms.len();
    fleet.end().await;
    Ok(SpreadReport {
        vms,
        routes: settings.routes,
        start,
        change,
        busiest_kb: busiest / 1e3,
        memory_mb,
        peak_mb,
    })
}

/// Logs of an earlier run would count as this one's.
fn clear_folder(folder: &Path) -> Result<(), LabError> {
    match std::fs::remove_dir_all(folder) {
        Ok(()) => Ok(()),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(()),
        Err(source) => Err(LabError::System {
            what: "the folder of an earlier run",
            source,
        }),
    }
}

fn newest_version(world: &SoakWorld) -> u64 {
    let versions = ebonyfork_stand_in::guard::lock(&world.versions);
    versions.last().map_or(0, |(version, _at, _extra)| *version)
}

/// Waits until all logs say that a version is in force.
async fn until_in_force(fleet: &GatewayFleet, version: u64) -> Result<Duration, LabError> {
    let began = Instant::now();
    let wanted = format!("config version={version} ");
    let mut waiting: Vec<&Path> = fleet.logs().collect();
    while began.elapsed() < PATIENCE {
        waiting.retain(|log| !says(log, &wanted));
        if waiting.is_empty() {
            return Ok(began.elapsed());
        }
        tokio::time::sleep(LOOK).await;
    }
    Err(LabError::System {
        what: "a version on every VM",
        source: std::io::ErrorKind::TimedOut.into(),
    })
}

/// Whether a log that may not be there yet has a line.
fn says(log: &Path, wanted: &str) -> bool {
    std::fs::read_to_string(log).is_ok_and(|text| text.contains(wanted))
}

/// What each VM has told others so far, in bytes.
async fn told_bytes(fleet: &GatewayFleet) -> Result<Vec<f64>, LabError> {
    const NAME: &str = "ebonyfork_gateway_store_told_bytes_total ";
    let mut told = Vec::new();
    for address in fleet.metrics() {
        let text = read_metrics(address)
            .await
            .map_err(|source| LabError::System {
                what: "a gateway's metrics",
                source: std::io::Error::other(source),
            })?;
        let line = text.lines().find_map(|line| line.strip_prefix(NAME));
        told.push(line.and_then(|value| value.parse().ok()).unwrap_or(0.0));
    }
    Ok(told)
}

async fn read_metrics(address: SocketAddr) -> Result<String, CallError> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = Uri::from_static("/metrics");
    let mut connection = CallConnection::open(address).await?;
    let reply = connection.call(request).await?;
    Ok(String::from_utf8_lossy(&reply.body).into_owned())
}

/// Mean memory and mean peak of all processes, in megabytes.
fn memory(fleet: &GatewayFleet) -> Result<(f64, f64), LabError> {
    let (mut resident, mut peak, mut count) = (0.0, 0.0, 0.0);
    for process in fleet.process_ids() {
        let path = format!("/proc/{process}/status");
        let text = std::fs::read_to_string(path).map_err(|source| LabError::System {
            what: "a process's memory",
            source,
        })?;
        resident += megabytes(&text, "VmRSS:");
        peak += megabytes(&text, "VmHWM:");
        count += 1.0;
    }
    Ok((resident / count, peak / count))
}

fn megabytes(status: &str, field: &str) -> f64 {
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
    kilobytes
        .and_then(|text| text.parse::<f64>().ok())
        .unwrap_or(0.0)
        / 1024.0
}

#[cfg(test)]
#[path = "spread_tests.rs"]
mod tests;
