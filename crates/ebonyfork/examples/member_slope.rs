//! Measures the cost of membership per member as the number of members grows, on real loopback sockets.
//!
//! `member_slope run SIZE` runs that many members in this process without query load, first in a steady state, then
//! after a tenth of them has stopped at once. It prints one line of measurements. `member_slope fit FILE` fits a line
//! to each measurement over the sizes in FILE and extrapolates it to the design size.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;

use ebonyfork::ident::{IncarnationNumber, RevisionNumber, SessionId, VmAddress};
use ebonyfork::membership::{
    MemberDigest, MemberHandle, MemberMetrics, MemberSettings, MemberState,
};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// Number of zones that the members are spread over.
const ZONE_COUNT: usize = 3;
/// Number of members on the VM list that each member starts with.
const SEED_COUNT: usize = 8;
/// Longest wait until every member knows all others.
const SETTLE_LIMIT: Duration = Duration::from_secs(15);
/// Pause after all members know each other, in which the gossip about the start subsides.
const SETTLE_PAUSE: Duration = Duration::from_secs(16);
/// Additional length of [`SETTLE_PAUSE`] per member.
const SETTLE_PAUSE_PER_MEMBER: Duration = Duration::from_millis(100);
/// Length of each measured phase.
const PHASE_TIME: Duration = Duration::from_secs(12);
/// Number of members at the design size.
const DESIGN_SIZE: f64 = 4_900.0;
/// Size of a memory page in bytes.
const PAGE_BYTES: u64 = 4_096;
/// Clock ticks per second in `/proc`.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;
/// Names of the measurements, in the order of the columns after the size.
const COLUMNS: [&str; 10] = [
    "steady_bytes/s",
    "steady_datagrams/s",
    "steady_cpu_us/s",
    "churn_bytes/s",
    "churn_datagrams/s",
    "churn_cpu_us/s",
    "memory_kb",
    "learnt_p50_s",
    "learnt_p99_s",
    "false_failures",
];

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.as_slice() {
        [mode, size] if mode == "run" => run_measurement(size.parse().expect("SIZE is a number")),
        [mode, file] if mode == "fit" => {
            print_fitted_lines(&std::fs::read_to_string(file).expect("readable FILE"));
        }
        _ => eprintln!("usage: member_slope run SIZE | member_slope fit FILE"),
    }
}

fn run_measurement(size: usize) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .expect("runtime");
    runtime.block_on(measure(size));
}

/// All members of one measurement.
struct Fleet {
    members: Vec<(VmAddress, MemberHandle)>,
    _seeds: watch::Sender<Arc<[VmAddress]>>,
}

fn vm(index: usize) -> VmAddress {
    VmAddress(IpAddr::V4(Ipv4Addr::from(0x7f54_0001 + index as u32)))
}

impl Fleet {
    async fn start(size: usize) -> Self {
        let seed_vms: Vec<VmAddress> = (0..size.min(SEED_COUNT)).map(vm).collect();
        let (sender, seeds) = watch::channel(Arc::from(seed_vms));
        let mut port = 0;
        let mut members = Vec::with_capacity(size);
        for index in 0..size {
            let vm = vm(index);
            let socket = UdpSocket::bind((vm.0, port)).await.expect("free port");
            port = socket.local_addr().expect("bound").port();
            let session = SessionId::new(vm, IncarnationNumber(1_700_000_000_000));
            let zone = format!("zone-{}", index % ZONE_COUNT)
                .parse()
                .expect("name");
            let settings = MemberSettings::new(session, zone, port, index as u64);
            let handle = MemberHandle::start(settings, socket, seeds.clone());
            handle.set_digest(MemberDigest {
                revision: RevisionNumber(1),
                load: 0,
            });
            members.push((vm, handle));
        }
        Self {
            members,
            _seeds: sender,
        }
    }

    fn knows_all(&self) -> bool {
        let size = self.members.len();
        self.members.iter().all(|(_, handle)| {
            let snapshot = handle.snapshot();
            let snapshot = snapshot.borrow();
            let members = snapshot.members().iter();
            members
                .filter(|member| member.state == MemberState::Alive)
                .count()
                == size
        })
    }

    /// Runs one phase with changing loads; returns traffic and processor time per member, and the false failures.
    async fn run_phase(&self) -> PhaseMeasurements {
        let traffic_before = self.total_traffic();
        let processor_before = processor_time();
        let started_at = Instant::now();
        let mut false_failures = 0;
        let mut round = 0_u16;
        while started_at.elapsed() < PHASE_TIME {
            round += 1;
            for (index, (_, handle)) in self.members.iter().enumerate() {
                let load = (index as u16).wrapping_mul(31).wrapping_add(round * 7) % 1_000;
                let revision = RevisionNumber(1);
                handle.set_digest(MemberDigest { revision, load });
            }
            sleep(Duration::from_secs(1)).await;
            false_failures += self.false_failures();
        }
        let seconds = started_at.elapsed().as_secs_f64();
        let traffic_after = self.total_traffic();
        let per_member_second = |total: u64| total as f64 / seconds / self.members.len() as f64;
        PhaseMeasurements {
            bytes: per_member_second(traffic_after.0 - traffic_before.0),
            datagrams: per_member_second(traffic_after.1 - traffic_before.1),
            processor_us: (processor_time() - processor_before) * 1e6
                / seconds
                / self.members.len() as f64,
            false_failures,
        }
    }

    /// Returns the bytes and datagrams that all members have sent and received.
    fn total_traffic(&self) -> (u64, u64) {
        let mut total_traffic = (0, 0);
        for (_, handle) in &self.members {
            let MemberMetrics { counters, .. } = handle.metrics();
            total_traffic.0 += counters.sent_bytes + counters.received_bytes;
            total_traffic.1 += counters.sent_datagrams + counters.received_datagrams;
        }
        total_traffic
    }

    /// Counts the pairs of running members of which one considers the other failed.
    fn false_failures(&self) -> usize {
        let mut count = 0;
        for (_, handle) in &self.members {
            let snapshot = handle.snapshot();
            let snapshot = snapshot.borrow();
            for (vm, _) in &self.members {
                let member = snapshot.get(*vm);
                count +=
                    usize::from(member.is_some_and(|member| member.state == MemberState::Failed));
            }
        }
        count
    }
}

/// Measurements of one phase, per member and second.
#[derive(Debug)]
struct PhaseMeasurements {
    bytes: f64,
    datagrams: f64,
    processor_us: f64,
    false_failures: usize,
}

async fn measure(size: usize) {
    let memory_before = resident_kb();
    let mut fleet = Fleet::start(size).await;
    let started_at = Instant::now();
    while !fleet.knows_all() && started_at.elapsed() < SETTLE_LIMIT {
        sleep(Duration::from_millis(100)).await;
    }
    let settle_seconds = started_at.elapsed().as_secs_f64();
    let all_known = fleet.knows_all();
    eprintln!("# {size} members settled: {all_known} after {settle_seconds:.1} s");
    sleep(SETTLE_PAUSE + SETTLE_PAUSE_PER_MEMBER * size as u32).await;
    let steady = fleet.run_phase().await;
    let memory_per_member_kb = (resident_kb() - memory_before) as f64 / size as f64;
    let stopped_members = fleet.members.split_off(size - (size / 10).max(1));
    let stopped_vms: Arc<[VmAddress]> = stopped_members.iter().map(|(vm, _)| *vm).collect();
    drop(stopped_members);
    let stopped_at = Instant::now();
    let watchers: Vec<_> = fleet
        .members
        .iter()
        .map(|(_, handle)| {
            tokio::spawn(watch_failures(
                handle.clone(),
                Arc::clone(&stopped_vms),
                stopped_at,
            ))
        })
        .collect();
    let churn = fleet.run_phase().await;
    let mut detection_times = Vec::new();
    for watcher in watchers {
        detection_times.extend(watcher.await.expect("watcher"));
    }
    detection_times.sort_unstable_by(f64::total_cmp);
    let expected_detections = stopped_vms.len() * fleet.members.len();
    eprintln!(
        "# {} of {expected_detections} failures learnt",
        detection_times.len()
    );
    let quantile =
        |share: f64| detection_times[((detection_times.len() - 1) as f64 * share) as usize];
    println!(
        "{size}\t{:.0}\t{:.1}\t{:.0}\t{:.0}\t{:.1}\t{:.0}\t{memory_per_member_kb:.0}\t{:.2}\t{:.2}\t{}",
        steady.bytes,
        steady.datagrams,
        steady.processor_us,
        churn.bytes,
        churn.datagrams,
        churn.processor_us,
        quantile(0.5),
        quantile(0.99),
        steady.false_failures + churn.false_failures,
    );
}

/// Returns the seconds from `stopped_at` until one member detected the failure of each of the `stopped_vms`.
async fn watch_failures(
    handle: MemberHandle,
    stopped_vms: Arc<[VmAddress]>,
    stopped_at: Instant,
) -> Vec<f64> {
    let mut snapshots = handle.snapshot();
    let mut undetected: Vec<VmAddress> = stopped_vms.to_vec();
    let mut detection_times = Vec::new();
    while !undetected.is_empty() && stopped_at.elapsed() < PHASE_TIME {
        {
            let snapshot = snapshots.borrow_and_update();
            undetected.retain(|vm| {
                let member = snapshot.get(*vm);
                let failed = member.is_some_and(|member| member.state == MemberState::Failed);
                if failed {
                    detection_times.push(stopped_at.elapsed().as_secs_f64());
                }
                !failed
            });
        };
        let _elapsed = tokio::time::timeout(Duration::from_secs(1), snapshots.changed()).await;
    }
    detection_times
}

/// Returns the processor time that this process has used, in seconds.
fn processor_time() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").expect("/proc");
    let fields = text.rsplit_once(')').expect("a name in brackets").1;
    let ticks = fields.split_ascii_whitespace().skip(11).take(2);
    let ticks: f64 = ticks
        .map(|ticks| ticks.parse::<f64>().expect("number"))
        .sum();
    ticks / CLOCK_TICKS_PER_SECOND
}

/// Returns the resident memory of this process in KiB.
fn resident_kb() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").expect("/proc");
    let pages = text
        .split_ascii_whitespace()
        .nth(1)
        .expect("resident pages");
    pages.parse::<u64>().expect("number") * PAGE_BYTES / 1_024
}

/// Prints, for each measurement, the line fitted by least squares over the number of members, and its value at
/// [`DESIGN_SIZE`]. The detection times are fitted over the binary logarithm of that number, because a suspicion lasts
/// for a number of rounds that grows with this logarithm.
fn print_fitted_lines(text: &str) {
    let rows: Vec<Vec<f64>> = text
        .lines()
        .filter(|line| !line.starts_with('#'))
        .map(|line| {
            line.split('\t')
                .filter_map(|cell| cell.parse().ok())
                .collect()
        })
        .filter(|row: &Vec<f64>| row.len() == COLUMNS.len() + 1)
        .collect();
    println!("figure\tbase\tper member or doubling\tlargest residual\tat {DESIGN_SIZE}");
    for (column, name) in COLUMNS.iter().enumerate() {
        let scale = |size: f64| {
            if name.starts_with("learnt") {
                size.log2()
            } else {
                size
            }
        };
        let points: Vec<(f64, f64)> = rows
            .iter()
            .map(|row| (scale(row[0]), row[column + 1]))
            .collect();
        let (base, slope) = least_squares(&points);
        let residual = points
            .iter()
            .map(|(size, measurement)| (measurement - base - slope * size).abs())
            .fold(0.0, f64::max);
        let target = base + slope * scale(DESIGN_SIZE);
        println!("{name}\t{base:.2}\t{slope:.4}\t{residual:.2}\t{target:.1}");
    }
}

fn least_squares(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let mut covariance = 0.0;
    let mut variance = 0.0;
    for (x, y) in points {
        covariance += (x - mean_x) * (y - mean_y);
        variance += (x - mean_x) * (x - mean_x);
    }
    let slope = covariance / variance;
    (mean_y - slope * mean_x, slope)
}
