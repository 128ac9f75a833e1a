//! Settings of one process: built from INI, checked, then frozen into [`NodeSettings`] and passed along.
//!
//! Settings say where a process runs and how it reaches the platform. They never steer work: that is done by the
//! targets in the declarations. The section `[experiment]` switches mechanisms off for side-by-side measurements.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use compact_str::CompactString;

use crate::finding::FindingList;
use crate::ident::{VmAddress, ZoneName};
use crate::ini::{IniDocument, SectionReader};
use crate::quantity::TimeSpan;

/// Who holds the connections to an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum OwnershipMode {
    /// One owner VM per upstream, chosen by rendezvous hashing.
    #[default]
    Owner,
    /// Every VM connects for itself with an equal static share: the baseline of the measurements.
    Direct,
}

/// In which order a relay sends queued shard requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum QueueOrder {
    /// Least slack first, fair between organisations.
    #[default]
    Slack,
    /// In order of arrival: the baseline of the measurements.
    Arrival,
}

/// How a relay finds the concurrency limit of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LimitMode {
    /// Learnt from the upstream's answers.
    #[default]
    Adaptive,
    /// The connection share alone: the baseline of the measurements.
    Static,
}

/// Mechanisms that measurements switch off one by one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExperimentSwitches {
    /// Who holds the connections.
    pub ownership: OwnershipMode,
    /// The order of a relay's queue.
    pub queue: QueueOrder,
    /// How the concurrency limit is found.
    pub limit: LimitMode,
    /// Whether stragglers are hedged.
    pub hedge: bool,
    /// Whether queries are refused by predicted finish.
    pub admission: bool,
    /// Whether a tight class that misses its target clamps looser ones (io.latency).
    pub clamp: bool,
}

impl Default for ExperimentSwitches {
    fn default() -> Self {
        Self {
            ownership: OwnershipMode::Owner,
            queue: QueueOrder::Slack,
            limit: LimitMode::Adaptive,
            hedge: true,
            admission: true,
            clamp: false,
        }
    }
}

impl ExperimentSwitches {
    /// Reads the switches that a section states; the others keep their value.
    #[must_use]
    pub fn read(mut self, reader: &mut SectionReader<'_>) -> Self {
        let ownership = [
            ("owner", OwnershipMode::Owner),
            ("direct", OwnershipMode::Direct),
        ];
        self.ownership = reader
            .choice("ownership", &ownership)
            .unwrap_or(self.ownership);
        let order = [
            ("slack", QueueOrder::Slack),
            ("arrival", QueueOrder::Arrival),
        ];
        self.queue = reader.choice("queue", &order).unwrap_or(self.queue);
        let limit = [
            ("adaptive", LimitMode::Adaptive),
            ("static", LimitMode::Static),
        ];
        self.limit = reader.choice("limit", &limit).unwrap_or(self.limit);
        self.hedge = reader.choice("hedge", &SWITCH).unwrap_or(self.hedge);
        self.admission = reader
            .choice("admission", &SWITCH)
            .unwrap_or(self.admission);
        self.clamp = reader.choice("clamp", &SWITCH).unwrap_or(self.clamp);
        self
    }
}

/// Where and how much a process logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// Least severe level that is written.
    pub level: log::LevelFilter,
    /// Whether each routing and placement decision is written.
    pub decisions: bool,
    /// File to write to; standard output if none.
    pub file: Option<CompactString>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: log::LevelFilter::Info,
            decisions: true,
            file: None,
        }
    }
}

impl LogSettings {
    /// Reads the section `[log]`; whatever it doesn't state keeps its default.
    pub fn read(document: &IniDocument, findings: &mut FindingList) -> Self {
        let mut log = Self::default();
        let Some(section) = document.find_section("log") else {
            return log;
        };
        let mut reader = SectionReader::new(&document.file, section, findings);
        log.level = reader.optional("level").unwrap_or(log.level);
        log.decisions = reader.choice("decisions", &SWITCH).unwrap_or(log.decisions);
        log.file = reader.optional("file");
        reader.finish();
        log
    }
}

/// Checked settings of one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeSettings {
    /// This VM's address.
    pub vm: VmAddress,
    /// The availability zone this VM is in.
    pub zone: ZoneName,
    /// TCP port for callers; the same on every VM of the deployment.
    pub caller_port: u16,
    /// TCP and UDP port for our own processes; the same on every VM.
    pub peer_port: u16,
    /// TCP port for operators and metrics; the same on every VM.
    pub operator_port: u16,
    /// Address of the store.
    pub platform: SocketAddr,
    /// Longest wait for one answer of the store.
    pub platform_timeout: Duration,
    /// How long a caller may keep a locate answer.
    pub locate_ttl: Duration,
    /// Logging.
    pub log: LogSettings,
    /// Mechanisms that measurements switch off.
    pub experiment: ExperimentSwitches,
}

/// Default of [`NodeSettings::platform_timeout`].
pub const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Default of [`NodeSettings::locate_ttl`].
pub const LOCATE_TTL: Duration = Duration::from_secs(5);

const SECTIONS: [&str; 5] = ["node", "platform", "locate", "log", "experiment"];
const SWITCH: [(&str, bool); 2] = [("on", true), ("off", false)];

impl NodeSettings {
    /// Settings with defaults for everything that has one.
    pub fn new(vm: VmAddress, zone: ZoneName, ports: [u16; 3], platform: SocketAddr) -> Self {
        let [caller_port, peer_port, operator_port] = ports;
        Self {
            vm,
            zone,
            caller_port,
            peer_port,
            operator_port,
            platform,
            platform_timeout: PLATFORM_TIMEOUT,
            locate_ttl: LOCATE_TTL,
            log: LogSettings::default(),
            experiment: ExperimentSwitches::default(),
        }
    }

    /// Replaces the experiment switches.
    #[must_use]
    pub fn with_experiment(mut self, experiment: ExperimentSwitches) -> Self {
        self.experiment = experiment;
        self
    }

    /// Reads settings from INI text and reports every finding at once.
    ///
    /// # Examples
    ///
    /// ```
    /// use ebonyfork::settings::NodeSettings;
    ///
    /// let text = "[node]\nvm = 127.0.0.1\nzone = zone-a\ncaller-port = 7100\npeer-port = 7101\n\
    ///             operator-port = 7102\n[platform]\naddress = 127.0.0.1:7000\n";
    /// let settings = NodeSettings::parse("node.ini", text)?;
    /// assert_eq!(settings.zone.as_str(), "zone-a");
    /// # Ok::<(), ebonyfork::finding::FindingList>(())
    /// ```
    pub fn parse(file: impl AsRef<str>, text: &str) -> Result<Self, FindingList> {
        let file = file.as_ref();
        let mut findings = FindingList::new();
        let document = IniDocument::parse(file, text, &mut findings);
        document.check_sections(&SECTIONS, &mut findings);
        let draft = SettingsDraft::read(&document, &mut findings);
        match draft {
            Some(settings) => findings.into_result(settings),
            None => Err(findings),
        }
    }

    /// The caller address of a VM.
    pub fn caller_address(&self, vm: VmAddress) -> SocketAddr {
        SocketAddr::new(vm.0, self.caller_port)
    }

    /// The peer address of a VM.
    pub fn peer_address(&self, vm: VmAddress) -> SocketAddr {
        SocketAddr::new(vm.0, self.peer_port)
    }
}

/// Reads the sections one by one; whatever is missing has become a finding.
struct SettingsDraft;

impl SettingsDraft {
    fn read(document: &IniDocument, findings: &mut FindingList) -> Option<NodeSettings> {
        let node = Self::read_node(document, findings);
        let platform = Self::read_platform(document, findings);
        let locate_ttl = Self::read_locate(document, findings);
        let log = LogSettings::read(document, findings);
        let experiment = Self::read_experiment(document, findings);
        let (vm, zone, ports) = node?;
        let (platform, platform_timeout) = platform?;
        let settings = NodeSettings::new(vm, zone, ports, platform);
        Some(NodeSettings {
            platform_timeout,
            locate_ttl,
            log,
            experiment,
            ..settings
        })
    }

    fn read_node(
        document: &IniDocument,
        findings: &mut FindingList,
    ) -> Option<(VmAddress, ZoneName, [u16; 3])> {
        let section = document.needed_section("node", findings)?;
        let mut reader = SectionReader::new(&document.file, section, findings);
        let vm = reader.required::<IpAddr>("vm");
        let zone = reader.required("zone");
        let caller = reader.required("caller-port");
        let peer = reader.required("peer-port");
        let operator = reader.required("operator-port");
        let ports = [caller, peer, operator];
        for (number, key) in ["caller-port", "peer-port", "operator-port"]
            .into_iter()
            .enumerate()
        {
            if ports[number] == Some(0) {
                reader.report(key, "port 0 can't be reached by others");
            }
            if number > 0 && ports[number].is_some() && ports[..number].contains(&ports[number]) {
                reader.report(key, "the three ports must differ");
            }
        }
        reader.finish();
        Some((VmAddress(vm?), zone?, [caller?, peer?, operator?]))
    }

    fn read_platform(
        document: &IniDocument,
        findings: &mut FindingList,
    ) -> Option<(SocketAddr, Duration)> {
        let section = document.needed_section("platform", findings)?;
        let mut reader = SectionReader::new(&document.file, section, findings);
        let address = reader.required("address");
        let timeout = reader.optional::<TimeSpan>("timeout");
        reader.finish();
        Some((address?, timeout.map_or(PLATFORM_TIMEOUT, |span| span.0)))
    }

    fn read_locate(document: &IniDocument, findings: &mut FindingList) -> Duration {
        let Some(section) = document.find_section("locate") else {
            return LOCATE_TTL;
        };
        let mut reader = SectionReader::new(&document.file, section, findings);
        let ttl = reader.optional::<TimeSpan>("ttl");
        reader.finish();
        ttl.map_or(LOCATE_TTL, |span| span.0)
    }

    fn read_experiment(document: &IniDocument, findings: &mut FindingList) -> ExperimentSwitches {
        let switches = ExperimentSwitches::default();
        let Some(section) = document.find_section("experiment") else {
            return switches;
        };
        let mut reader = SectionReader::new(&document.file, section, findings);
        let switches = switches.read(&mut reader);
        reader.finish();
        switches
    }
}

#[cfg(test)]
#[path = "settings_tests.rs"]
mod tests;
