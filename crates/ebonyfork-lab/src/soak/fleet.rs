//! The gateways as processes of their own, steered by signals. Only processes that the fleet started are touched.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use tokio::process::{Child, Command};
use tokio::time::Instant;

use crate::error::LabError;
use crate::soak::SoakSettings;
use crate::soak::judge_directory::VmLife;
use crate::soak::proxy::LinkProxy;
use crate::soak::world::{SoakWorld, ZONES};

/// Ports of each VM, which has an address of its own on the loopback network.
pub(super) const CALLER_PORT: u16 = 7_100;
pub(super) const READY_PORT: u16 = 7_101;
const DIRECTORY_PORT: u16 = 7_102;
const METRICS_PORT: u16 = 7_103;
const PEER_PORT: u16 = 7_104;
/// Port by which a run claims its network.
const CLAIM_PORT: u16 = 7_099;
/// Time between SIGTERM and SIGKILL.
pub(super) const GRACE: Duration = Duration::from_secs(6);

/// Words by which the standard library reports a panic.
const PANIC_WORDS: &str = "panicked at";

/// The budget of repeats that all VMs share: a ratio of the requests and a slack, in every such span.
pub(super) const RETRY_RATIO: f64 = 0.2;
pub(super) const RETRY_SLACK: f64 = 54.0;
pub(super) const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// The bound on requests to a cold upstream: a factor on the rate that it tolerates, and a slack.
pub(super) const COLD_OVERAGE: f64 = 1.5;
pub(super) const COLD_SLACK: f64 = 5.0;

/// Memory, in megabytes, and descriptors of each VM.
const MEMORY_MB: usize = 64;
const DESCRIPTORS: usize = 512;

/// What a process takes of its VM.
#[derive(Debug, Clone, Copy)]
struct ProcessUse {
    /// Most resident memory so far, in megabytes.
    peak_memory_mb: usize,
    /// Descriptors that are open now.
    descriptors: usize,
}

impl ProcessUse {
    /// Reads it from the kernel; `None` if the process has ended.
    fn read(id: u32) -> Option<Self> {
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))?;
        let kilobytes: usize = line.trim().strip_suffix(" kB")?.trim().parse().ok()?;
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).ok()?;
        Some(Self {
            peak_memory_mb: kilobytes * 1_024 / 1_000_000,
            descriptors: descriptors.count(),
        })
    }
}

/// One VM with its process and its link to the store.
#[derive(Debug)]
pub(crate) struct GatewayVm {
    pub address: Ipv4Addr,
    pub(super) link: LinkProxy,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// All VMs.
#[derive(Debug)]
pub(crate) struct GatewayFleet {
    pub vms: Vec<GatewayVm>,
    program: PathBuf,
    lives: Vec<VmLife>,
    /// Processes that ended without having been told to, or have taken more than their VM has.
    ended: Vec<String>,
    /// Keeps the network to this run for as long as it lasts.
    _claim: TcpListener,
}

impl GatewayFleet {
    pub(crate) async fn start(
        settings: &SoakSettings,
        world: &SoakWorld,
    ) -> Result<Self, LabError> {
        std::fs::create_dir_all(&settings.folder).map_err(|source| LabError::System {
            what: "the soak's folder",
            source,
        })?;
        let (network, claim) = claim_network(settings.seed)?;
        let mut vms = Vec::new();
        for number in 0..settings.vms * ZONES.len() {
            let place = number as u16 + 1;
            let address = Ipv4Addr::new(127, network, (place >> 8) as u8, place as u8);
            let link = LinkProxy::start(world.store.address()).await?;
            let name = format!("vm-{number}");
            let path = settings.folder.join(format!("{name}.ini"));
            let text = ini(&name, address, ZONES[number % ZONES.len()], link.address());
            std::fs::write(&path, text).map_err(|source| LabError::System {
                what: "a gateway's settings",
                source,
            })?;
            let log = settings.folder.join(format!("{name}.log"));
            // The judge reads the log; lines of an earlier run in the same folder are not this run's.
            let _absent = std::fs::remove_file(&log);
            vms.push(GatewayVm {
                address,
                link,
                settings: path,
                log,
                child: None,
            });
        }
        let mut fleet = Self {
            vms,
            _claim: claim,
            program: settings.program.clone(),
            lives: Vec::new(),
            ended: Vec::new(),
        };
        for number in 0..fleet.vms.len() {
            fleet.start_vm(number)?;
        }
        Ok(fleet)
    }

    /// The logs of all VMs.
    pub(crate) fn logs(&self) -> impl Iterator<Item = &Path> {
        self.vms.iter().map(|vm| vm.log.as_path())
    }

    /// The process ids of all VMs that run.
    pub(crate) fn process_ids(&self) -> impl Iterator<Item = u32> {
        self.vms
            .iter()
            .filter_map(|vm| vm.child.as_ref().and_then(Child::id))
    }

    /// The metrics addresses of all VMs.
    pub(crate) fn metrics(&self) -> impl Iterator<Item = SocketAddr> {
        let address = |vm: &GatewayVm| SocketAddr::from((vm.address, METRICS_PORT));
        self.vms.iter().map(address)
    }

    /// Directory and caller addresses of all VMs.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        let directory = |vm: &GatewayVm| SocketAddr::from((vm.address, DIRECTORY_PORT));
        self.vms.iter().map(directory).collect()
    }

    /// The addresses for callers of all VMs.
    pub(super) fn caller_addresses(&self) -> Vec<SocketAddr> {
        let address = |vm: &GatewayVm| SocketAddr::from((vm.address, CALLER_PORT));
        self.vms.iter().map(address).collect()
    }

    /// Records it if a VM's process takes more than its VM has.
    fn note_use(&mut self, number: usize) {
        let Some(id) = self.vms[number].child.as_ref().and_then(Child::id) else {
            return;
        };
        let Some(process_use) = ProcessUse::read(id) else {
            return;
        };
        if process_use.peak_memory_mb > MEMORY_MB || process_use.descriptors > DESCRIPTORS {
            let use_text = format!("vm-{number} exceeds its VM: {process_use:?}");
            self.ended.push(use_text);
        }
    }

    /// Starts a VM's process unless it runs.
    pub(super) fn start_vm(&mut self, number: usize) -> Result<(), LabError> {
        self.note_end(number);
        let program = &self.program;
        let vm = &mut self.vms[number];
        if vm.child.is_some() {
            return Ok(());
        }
        vm.child = Some(spawn(program, vm).map_err(|source| LabError::System {
            what: "a gateway",
            source,
        })?);
        self.lives.push(VmLife {
            vm: IpAddr::V4(vm.address),
            zone: ZONES[number % ZONES.len()],
            from: Instant::now(),
            until: None,
        });
        Ok(())
    }

    /// The lives of all VMs' processes, in the order of their starts.
    pub(super) fn lives(&self) -> &[VmLife] {
        &self.lives
    }

    /// Records that a VM's process has ended.
    fn end_life(&mut self, number: usize) {
        let vm = IpAddr::V4(self.vms[number].address);
        let open = |life: &&mut VmLife| life.vm == vm && life.until.is_none();
        if let Some(life) = self.lives.iter_mut().find(open) {
            life.until = Some(Instant::now());
        }
    }

    /// Sends a signal to a VM's process, if it runs.
    pub(super) fn signal(&self, number: usize, signal: i32) {
        let Some(id) = self.vms[number].child.as_ref().and_then(Child::id) else {
            return;
        };
        // SAFETY: `kill` takes two integers; the process is a child of this one that has not been waited for, so its
        // id can't belong to another process.
        let _sent = unsafe { libc::kill(id as i32, signal) };
    }

    /// Records processes that have ended by themselves and starts them again, as the platform does.
    pub(super) fn restart_ended(&mut self) -> Result<(), LabError> {
        for number in 0..self.vms.len() {
            self.note_use(number);
            if self.vms[number].child.is_some() {
                self.start_vm(number)?;
            }
        }
        Ok(())
    }

    /// Records it if a VM's process has ended by itself.
    fn note_end(&mut self, number: usize) {
        let child = self.vms[number].child.as_mut();
        let Some(status) = child.and_then(|child| child.try_wait().ok().flatten()) else {
            return;
        };
        self.ended
            .push(format!("vm-{number} ended by itself: {status}"));
        self.vms[number].child = None;
        self.end_life(number);
    }

    /// Processes that ended by themselves or, in a planned stop, with an error, and panics that the logs report.
    pub(super) fn failures(&self) -> Vec<String> {
        let mut failures = self.ended.clone();
        for (number, vm) in self.vms.iter().enumerate() {
            let log = std::fs::read(&vm.log).unwrap_or_default();
            failures.extend(panics_in(&format!("vm-{number}"), &log));
        }
        failures
    }

    /// Kills a VM's process.
    pub(super) async fn kill(&mut self, number: usize) {
        self.note_end(number);
        self.note_use(number);
        if let Some(mut child) = self.vms[number].child.take() {
            // It may have ended since; then it needs no kill.
            let _gone = child.kill().await;
            self.end_life(number);
        }
    }

    /// Stops a VM's process as planned and waits for its end; tells how long that took.
    pub(super) async fn terminate(&mut self, number: usize) -> Duration {
        self.note_end(number);
        self.note_use(number);
        let began = Instant::now();
        self.signal(number, libc::SIGTERM);
        if let Some(mut child) = self.vms[number].child.take() {
            match tokio::time::timeout(GRACE, child.wait()).await {
                Ok(Ok(status)) if !status.success() => {
                    let failure = format!("vm-{number} ended a planned stop with {status}");
                    self.ended.push(failure);
                }
                Ok(_ended) => {}
                Err(_elapsed) => {
                    let _gone = child.kill().await;
                }
            }
            self.end_life(number);
        }
        began.elapsed()
    }

    /// Ends all processes.
    pub(crate) async fn end(&mut self) {
        for number in 0..self.vms.len() {
            self.kill(number).await;
        }
    }
}

/// The panics that a VM's log reports, standard error included: their number and the first one.
fn panics_in(vm: &str, log: &[u8]) -> Option<String> {
    let log = String::from_utf8_lossy(log);
    let mut lines = log.lines().skip_while(|line| !line.contains(PANIC_WORDS));
    let first = lines.next()?;
    let reason = lines.next().unwrap_or_default();
    let count = 1 + lines.filter(|line| line.contains(PANIC_WORDS)).count();
    Some(format!("{vm} panicked {count} times: {first} {reason}"))
}

/// Finds a loopback network that no other run uses, beginning with one named by the seed, and claims it. Two runs on one
/// network answered one another's callers, which looked like answers to requests that nobody had sent.
fn claim_network(seed: u64) -> Result<(u8, TcpListener), LabError> {
    const NETWORKS: u64 = 200;
    const FIRST: u64 = 10;
    let mut last = None;
    for number in 0..NETWORKS {
        let network = (FIRST + (seed + number) % NETWORKS) as u8;
        match TcpListener::bind((Ipv4Addr::new(127, network, 0, 254), CLAIM_PORT)) {
            Ok(claim) => return Ok((network, claim)),
            Err(error) => last = Some(error),
        }
    }
    Err(LabError::System {
        what: "a loopback network of its own",
        source: last.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into()),
    })
}

fn spawn(program: &Path, vm: &GatewayVm) -> std::io::Result<Child> {
    let log = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(&vm.log)?;
    Command::new(program)
        .arg("--settings")
        .arg(&vm.settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .kill_on_drop(true)
        .spawn()
}

fn ini(name: &str, address: Ipv4Addr, zone: &str, store: SocketAddr) -> String {
    let zones = ZONES
        .map(|zone| {
            format!(
                "{zone} = {zone}-region
"
            )
        })
        .concat();
    let window = RETRY_WINDOW.as_secs();
    format!(
        "[node]\nname = {name}\naddress = {address}\nzone = {zone}\nregion = {zone}-region\n\
         cpu-share = 1\ncpu-cores = 1\n[limits]\nmemory-mb = {MEMORY_MB}\nmax-descriptors = {DESCRIPTORS}\n[zones]\n{zones}[listen]\n\
         callers = {address}:{CALLER_PORT}\nready = {address}:{READY_PORT}\n\
         directory = {address}:{DIRECTORY_PORT}\nmetrics = {address}:{METRICS_PORT}\n\
         peer-port = {PEER_PORT}\n[store]\naddress = {store}\n[bounds]\ngrace-s = 6\nconfig-in-force-ms = 3000\nleaving-upstream-ms = 3000\n\
         retry-ratio = {RETRY_RATIO}\nretry-slack = {RETRY_SLACK}\nretry-window-s = {window}\n\
         evacuation-ms = 3000\ncold-overage = {COLD_OVERAGE}\ncold-slack = {COLD_SLACK}\n"
    )
}

#[cfg(test)]
#[path = "fleet_tests.rs"]
mod tests;
