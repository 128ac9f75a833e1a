//! Settings of one process: read from INI and checked once, then immutable as [`NodeSettings`].
//!
//! Settings define where a process runs and how it reaches the platform. They don't control how work is scheduled; that
//! follows from the targets in the declarations. The section `[experiment]` switches mechanisms off for comparative
//! measurements.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use compact_str::CompactString;

use crate::finding::FindingList;
use crate::ident::{VmAddress, ZoneName};
use crate::ini::{IniDocument, SectionReader};
use crate::intake::VmCapacity;
use crate::quantity::TimeSpan;

/// Which VMs hold the connections to an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum OwnershipMode {
    /// One owner VM per upstream, chosen by rendezvous hashing.
    #[default]
    Owner,
    /// Every VM connects by itself and has an equal static share of the connections: the baseline for measurements.
    Direct,
}

/// Order in which a relay sends queued shard requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum QueueOrder {
    /// Least slack first, with fair shares for organisations.
    #[default]
    Slack,
    /// In order of arrival: the baseline for measurements.
    Arrival,
}

/// How a relay determines the concurrency limit of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LimitMode {
    /// Estimated from the upstream's answers.
    #[default]
    Adaptive,
    /// Only limited by the connection share: the baseline for measurements.
    Static,
}

/// Mechanisms that can be switched off one by one for measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExperimentSwitches {
    /// Which VMs hold the connections to an upstream.
    pub ownership: OwnershipMode,
    /// Order in which a relay sends queued shard requests.
    pub queue: QueueOrder,
    /// How a relay determines the concurrency limit of an upstream.
    pub limit: LimitMode,
    /// Whether hedges are sent for straggling shard requests.
    pub hedge: bool,
    /// Whether a query is refused if it is predicted to finish too late.
    pub admission: bool,
    /// Whether a relay limits the attempts in flight of classes with looser latency targets while a class with a tighter
    /// target misses it at the same upstream, as io.latency in Linux does.
    pub clamp_looser_classes: bool,
}

impl Default for ExperimentSwitches {
    fn default() -> Self {
        Self {
            ownership: OwnershipMode::Owner,
            queue: QueueOrder::Slack,
            limit: LimitMode::Adaptive,
            hedge: true,
            admission: true,
            clamp_looser_classes: false,
        }
    }
}

impl ExperimentSwitches {
    /// Reads the switches that a section contains; the others keep their value.
    #[must_use]
    pub fn read(mut self, reader: &mut SectionReader<'_>) -> Self {
        let ownership_choices = [
            ("owner", OwnershipMode::Owner),
            ("direct", OwnershipMode::Direct),
        ];
        self.ownership = reader
            .choice("ownership", &ownership_choices)
            .unwrap_or(self.ownership);
        let queue_choices = [
            ("slack", QueueOrder::Slack),
            ("arrival", QueueOrder::Arrival),
        ];
        self.queue = reader.choice("queue", &queue_choices).unwrap_or(self.queue);
        let limit_choices = [
            ("adaptive", LimitMode::Adaptive),
            ("static", LimitMode::Static),
        ];
        self.limit = reader.choice("limit", &limit_choices).unwrap_or(self.limit);
        self.hedge = reader.choice("hedge", &ON_OFF).unwrap_or(self.hedge);
        self.admission = reader
            .choice("admission", &ON_OFF)
            .unwrap_or(self.admission);
        self.clamp_looser_classes = reader
            .choice("clamp", &ON_OFF)
            .unwrap_or(self.clamp_looser_classes);
        self
    }
}

/// Log level, contents and destination.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// Least severe level that is logged.
    pub level: log::LevelFilter,
    /// Whether each routing and placement decision is logged.
    pub decisions: bool,
    /// Log file; standard output if `None`.
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
    /// Reads the section `[log]`; missing keys keep their defaults.
    pub fn read(document: &IniDocument, findings: &mut FindingList) -> Self {
        let mut log = Self::default();
        let Some(section) = document.find_section("log") else {
            return log;
        };
        let mut reader = SectionReader::new(&document.file, section, findings);
        log.level = reader.optional("level").unwrap_or(log.level);
        log.decisions = reader.choice("decisions", &ON_OFF).unwrap_or(log.decisions);
        log.file = reader.optional("file");
        reader.finish();
        log
    }
}

/// Checked settings of one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeSettings {
    /// Address of this VM.
    pub vm: VmAddress,
    /// Availability zone of this VM.
    pub zone: ZoneName,
    /// Memory and descriptors of this VM.
    pub capacity: VmCapacity,
    /// TCP port for callers; the same on every VM of the deployment.
    pub caller_port: u16,
    /// TCP and UDP port for messages between VMs; the same on every VM.
    pub peer_port: u16,
    /// TCP port for operators and metrics; the same on every VM.
    pub operator_port: u16,
    /// Address of the store.
    pub platform: SocketAddr,
    /// Longest wait for an answer from the store.
    pub platform_timeout: Duration,
    /// How long a caller may use a locate answer.
    pub locate_ttl: Duration,
    /// Log settings.
    pub log: LogSettings,
    /// Mechanisms that can be switched off for measurements.
    pub experiment: ExperimentSwitches,
}

/// Default of [`NodeSettings::platform_timeout`].
pub const DEFAULT_PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Default of [`NodeSettings::locate_ttl`].
pub const DEFAULT_LOCATE_TTL: Duration = Duration::from_secs(5);

/// Sections of a settings file.
const KNOWN_SECTIONS: [&str; 6] = ["node", "limits", "platform", "locate", "log", "experiment"];
/// Values of a key that switches something on or off.
const ON_OFF: [(&str, bool); 2] = [("on", true), ("off", false)];

impl NodeSettings {
    /// Creates settings with defaults for everything that has one; `ports` are for callers, peers and operators.
    pub fn new(vm: VmAddress, zone: ZoneName, ports: [u16; 3], platform: SocketAddr) -> Self {
        let [caller_port, peer_port, operator_port] = ports;
        Self {
            vm,
            zone,
            capacity: VmCapacity::default(),
            caller_port,
            peer_port,
            operator_port,
            platform,
            platform_timeout: DEFAULT_PLATFORM_TIMEOUT,
            locate_ttl: DEFAULT_LOCATE_TTL,
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

    /// Reads settings from INI text. Returns all findings together if there are any.
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
        document.check_sections(&KNOWN_SECTIONS, &mut findings);
        let settings = SettingsReader::read(&document, &mut findings);
        match settings {
            Some(settings) => findings.into_result(settings),
            None => Err(findings),
        }
    }

    /// Returns the address of a VM for callers.
    pub fn caller_address(&self, vm: VmAddress) -> SocketAddr {
        SocketAddr::new(vm.0, self.caller_port)
    }

    /// Returns the address of a VM for messages between VMs.
    pub fn peer_address(&self, vm: VmAddress) -> SocketAddr {
        SocketAddr::new(vm.0, self.peer_port)
    }
}

/// Reads the sections of a settings file; each missing section or key is reported as a finding.
struct SettingsReader;

impl SettingsReader {
    fn read(document: &IniDocument, findings: &mut FindingList) -> Option<NodeSettings> {
        let node = Self::read_node(document, findings);
        let capacity = VmCapacity::read(document, findings);
        let platform = Self::read_platform(document, findings);
        let locate_ttl = Self::read_locate(document, findings);
        let log = LogSettings::read(document, findings);
        let experiment = Self::read_experiment(document, findings);
        let (vm, zone, ports) = node?;
        let (platform, platform_timeout) = platform?;
        let settings = NodeSettings::new(vm, zone, ports, platform);
        Some(NodeSettings {
            capacity,
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
        let section = document.required_section("node", findings)?;
        let mut reader = SectionReader::new(&document.file, section, findings);
        let vm = reader.required::<IpAddr>("vm");
        let zone = reader.required("zone");
        let caller_port = reader.required("caller-port");
        let peer_port = reader.required("peer-port");
        let operator_port = reader.required("operator-port");
        let ports = [caller_port, peer_port, operator_port];
        for (index, key) in ["caller-port", "peer-port", "operator-port"]
            .into_iter()
            .enumerate()
        {
            if ports[index] == Some(0) {
                reader.report(key, "port 0 can't be reached by others");
            }
            if index > 0 && ports[index].is_some() && ports[..index].contains(&ports[index]) {
                reader.report(key, "the three ports must differ");
            }
        }
        reader.finish();
        Some((
            VmAddress(vm?),
            zone?,
            [caller_port?, peer_port?, operator_port?],
        ))
    }

    fn read_platform(
        document: &IniDocument,
        findings: &mut FindingList,
    ) -> Option<(SocketAddr, Duration)> {
        let section = document.required_section("platform", findings)?;
        let mut reader = SectionReader::new(&document.file, section, findings);
        let address = reader.required("address");
        let timeout = reader.optional::<TimeSpan>("timeout");
        reader.finish();
        Some((
            address?,
            timeout.map_or(DEFAULT_PLATFORM_TIMEOUT, |span| span.0),
        ))
    }

    fn read_locate(document: &IniDocument, findings: &mut FindingList) -> Duration {
        let Some(section) = document.find_section("locate") else {
            return DEFAULT_LOCATE_TTL;
        };
        let mut reader = SectionReader::new(&document.file, section, findings);
        let ttl = reader.optional::<TimeSpan>("ttl");
        reader.finish();
        ttl.map_or(DEFAULT_LOCATE_TTL, |span| span.0)
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
