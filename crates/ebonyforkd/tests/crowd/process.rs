//! A gateway as a process, and what it takes of its VM.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use googletest::prelude::*;
use tokio::process::{Child, Command};
use tokio::task::JoinHandle;

/// Time between two measurements of a process.
const MEASURE_PERIOD: Duration = Duration::from_millis(20);

/// Capacity of a VM as the settings state it.
#[derive(Debug, Clone, Copy)]
pub struct VmStatement {
    pub memory_mb: usize,
    pub descriptors: usize,
}

/// A folder that is removed when it is dropped.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new(name: &str) -> Self {
        let id = std::process::id();
        let path = std::env::temp_dir().join(format!("ebonyfork-crowd-{name}-{id}"));
        std::fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        // A folder that stays behind does no harm.
        let _left = std::fs::remove_dir_all(&self.0);
    }
}

/// A process with limits, and the most that it has taken so far.
pub struct MeasuredProcess {
    child: Child,
    vm: VmStatement,
    peak: Arc<PeakUse>,
    measuring: JoinHandle<()>,
    _folder: TestFolder,
}

/// Most that a process has taken.
#[derive(Debug, Default)]
struct PeakUse {
    /// Resident memory with what its sockets have received and it has not read, in bytes.
    memory: AtomicUsize,
    descriptors: AtomicUsize,
}

impl MeasuredProcess {
    /// Starts a program with settings on an address of its own. The kernel refuses it more descriptors than its VM has.
    pub fn start(
        program: &str,
        name: &str,
        address: &str,
        settings: &str,
        vm: VmStatement,
    ) -> Self {
        let folder = TestFolder::new(name);
        let path = folder.0.join("settings.ini");
        std::fs::write(&path, settings).expect("written settings");
        let mut command = Command::new(program);
        command.arg("--settings").arg(&path);
        command.stdout(Stdio::null()).kill_on_drop(true);
        let limit = libc::rlimit {
            rlim_cur: vm.descriptors as libc::rlim_t,
            rlim_max: vm.descriptors as libc::rlim_t,
        };
        let set_limit = move || match set_descriptor_limit(&limit) {
            0 => Ok(()),
            _ => Err(io::Error::last_os_error()),
        };
        // SAFETY: between fork and exec only `setrlimit` is called, which is safe there.
        unsafe { command.pre_exec(set_limit) };
        let child = command.spawn().expect("a process");
        let id = child.id().expect("a running process");
        let address = address.parse().expect("an address");
        let peak = Arc::<PeakUse>::default();
        let measuring = tokio::spawn(measure(id, address, Arc::clone(&peak)));
        Self {
            child,
            vm,
            peak,
            measuring,
            _folder: folder,
        }
    }

    /// Expects the process to live and to have stayed within its VM so far.
    pub fn expect_within_vm(&mut self, when: &str) {
        let ended = self.child.try_wait().expect("a process of this test");
        assert!(ended.is_none(), "the process has ended {when}: {ended:?}");
        let memory = self.peak.memory.load(Ordering::Relaxed);
        let descriptors = self.peak.descriptors.load(Ordering::Relaxed);
        eprintln!("{when}: at most {memory} bytes, {descriptors} descriptors");
        expect_that!(memory, le(self.vm.memory_mb * 1_000_000), "{when}");
        expect_that!(descriptors, le(self.vm.descriptors), "{when}");
    }
}

/// Limits the descriptors of this process.
fn set_descriptor_limit(limit: &libc::rlimit) -> libc::c_int {
    // SAFETY: the call reads one `rlimit`, which is borrowed for as long.
    unsafe { libc::setrlimit(libc::RLIMIT_NOFILE, limit) }
}

impl MeasuredProcess {
    /// Starts a planned stop and expects the process to end as planned within a time.
    async fn expect_planned_stop(&mut self, patience: Duration) {
        let id = self.child.id().expect("a running process") as i32;
        // SAFETY: `kill` takes two integers; the child has not been waited for, so the id is its own.
        let sent = unsafe { libc::kill(id, libc::SIGTERM) };
        assert_eq!(sent, 0, "the signal was not sent");
        let ended = tokio::time::timeout(patience, self.child.wait()).await;
        let status = ended.expect("ended in time").expect("waited for");
        expect_that!(status.success(), eq(true));
    }
}

impl Drop for MeasuredProcess {
    fn drop(&mut self) {
        self.measuring.abort();
    }
}

/// Measures a process until it has ended.
async fn measure(id: u32, address: IpAddr, peak: Arc<PeakUse>) {
    let folder = PathBuf::from(format!("/proc/{id}"));
    while let Some(resident) = read_kilobytes(&folder, "VmRSS:") {
        let highest = read_kilobytes(&folder, "VmHWM:").unwrap_or_default();
        let memory = highest.max(resident + inbound_bytes(address).unread);
        peak.memory.fetch_max(memory, Ordering::Relaxed);
        let descriptors = std::fs::read_dir(folder.join("fd")).map_or(0, Iterator::count);
        peak.descriptors.fetch_max(descriptors, Ordering::Relaxed);
        tokio::time::sleep(MEASURE_PERIOD).await;
    }
}

/// Returns a value of a process's status, in bytes; `None` if the process has ended.
fn read_kilobytes(folder: &Path, field: &str) -> Option<usize> {
    let status = std::fs::read_to_string(folder.join("status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix(field))?;
    let kilobytes = line.trim().strip_suffix(" kB")?;
    Some(kilobytes.trim().parse::<usize>().ok()? * 1_024)
}

/// Bytes on their way into a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct InboundBytes {
    /// Received by its sockets and not read.
    unread: usize,
    /// Sent to it and not acknowledged.
    unacknowledged: usize,
}

/// Returns what is on its way to the connections of an address.
fn inbound_bytes(address: IpAddr) -> InboundBytes {
    /// State of a socket that listens, whose queue is one of connections.
    const LISTENING: &str = "0A";
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let mut inbound = InboundBytes::default();
    for line in table.lines().skip(1) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let [_number, local, remote, state, queues, ..] = fields[..] else {
            continue;
        };
        if state == LISTENING {
            continue;
        }
        let (sent, received) = queues.split_once(':').unwrap_or_default();
        let bytes = |hex| usize::from_str_radix(hex, 16).unwrap_or_default();
        if read_address(local) == address {
            inbound.unread += bytes(received);
        }
        if read_address(remote) == address {
            inbound.unacknowledged += bytes(sent);
        }
    }
    inbound
}

/// Reads the address of a socket as the kernel writes it.
fn read_address(socket: &str) -> IpAddr {
    let address = socket.split(':').next().unwrap_or_default();
    let address = u32::from_str_radix(address, 16).unwrap_or_default();
    Ipv4Addr::from(address.to_ne_bytes()).into()
}

/// Waits until nothing more arrives at an address: its process has read what was sent to it, or reads no more.
pub async fn settle(address: IpAddr) {
    /// Checks in a row without a change.
    const QUIET_CHECKS: usize = 20;
    /// Most checks, after which the process is taken as it is.
    const MAX_CHECKS: usize = 750;
    let (mut last, mut quiet) = (inbound_bytes(address), 0);
    for _ in 0..MAX_CHECKS {
        tokio::time::sleep(MEASURE_PERIOD).await;
        let inbound = inbound_bytes(address);
        quiet = if inbound == last { quiet + 1 } else { 0 };
        if quiet == QUIET_CHECKS {
            return;
        }
        last = inbound;
    }
}

/// A gateway with its addresses.
pub struct GatewayProcess {
    process: MeasuredProcess,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub metrics: SocketAddr,
    pub peers: SocketAddr,
}

impl GatewayProcess {
    /// Starts a gateway.
    pub fn start(name: &str, address: &str, store: SocketAddr, vm: VmStatement) -> Self {
        let settings = format!(
            "[node]\nname = {name}\naddress = {address}\nzone = a-1\nregion = a\ncpu-share = 1\ncpu-cores = 1\n\
             [limits]\nmemory-mb = {}\nmax-descriptors = {}\n\
             [zones]\na-1 = a\n[listen]\ncallers = {address}:7100\nready = {address}:7101\n\
             directory = {address}:7102\nmetrics = {address}:7103\npeer-port = 7104\n\
             [store]\naddress = {store}\n[bounds]\ngrace-s = 4\nretry-ratio = 0.2\nretry-slack = 54\n\
             retry-window-s = 10\n",
            vm.memory_mb, vm.descriptors
        );
        let program = env!("CARGO_BIN_EXE_ebonyfork-gateway");
        let at = |port: u16| format!("{address}:{port}").parse().expect("an address");
        Self {
            process: MeasuredProcess::start(program, name, address, &settings, vm),
            callers: at(7100),
            ready: at(7101),
            directory: at(7102),
            metrics: at(7103),
            peers: at(7104),
        }
    }

    /// Starts a planned stop and expects the process to end as planned within a time.
    pub async fn expect_planned_stop(&mut self, patience: Duration) {
        self.process.expect_planned_stop(patience).await;
    }

    /// Expects the process to live and to have stayed within its VM so far.
    pub fn expect_within_vm(&mut self, when: &str) {
        self.process.expect_within_vm(when);
    }
}
