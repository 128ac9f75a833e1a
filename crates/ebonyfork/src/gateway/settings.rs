//! Settings of a gateway process, read from an INI file and immutable afterwards.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use compact_str::CompactString;
use rustc_hash::FxHashMap;

use crate::finding::FindingList;
use crate::gateway::ident::PlaceName;
use crate::gateway::policy::budget::RetryBudgetConfig;
use crate::gateway::policy::cold::ColdBound;
use crate::gateway::policy::quota::QuotaBound;
use crate::ini::{IniDocument, IniSection, SectionReader};
use crate::intake::VmCapacity;
use crate::settings::LogSettings;
use crate::stated::{MAX_STATED_CORES, MAX_STATED_TIME};

/// Distance between two places.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum PlaceDistance {
    /// Both places are in the same availability zone.
    Zone,
    /// The places are in different zones of the same region.
    Region,
    /// The places are in different regions, or the region of one is unknown.
    Far,
}

/// Location and capacity of the VM on which a process runs.
#[derive(Debug, Clone, PartialEq)]
pub struct NodePlace {
    /// Name of the VM, for logs.
    pub name: CompactString,
    /// Address of the VM.
    pub address: IpAddr,
    /// Availability zone of the VM.
    pub zone: PlaceName,
    /// Region of the VM.
    pub region: PlaceName,
    /// Processor capacity of the VM, in cores.
    pub cores: f64,
    /// Region of each availability zone.
    pub zones: FxHashMap<PlaceName, PlaceName>,
}

impl NodePlace {
    /// Returns the region of an availability zone, if the settings list it.
    pub fn region_of(&self, zone: &PlaceName) -> Option<&PlaceName> {
        self.zones.get(zone)
    }

    /// Returns the distance to an availability zone.
    pub fn distance(&self, zone: &PlaceName) -> PlaceDistance {
        if *zone == self.zone {
            return PlaceDistance::Zone;
        }
        match self.region_of(zone) {
            Some(region) if *region == self.region => PlaceDistance::Region,
            _ => PlaceDistance::Far,
        }
    }
}

/// Addresses on which a process listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Address for callers' requests.
    pub caller_address: SocketAddr,
    /// Address for readiness checks.
    pub ready_address: SocketAddr,
    /// Address for look-ups of the VMs to use.
    pub directory_address: SocketAddr,
    /// Address for metrics.
    pub metrics_address: SocketAddr,
    /// UDP and TCP port on which the processes of our own VMs reach each other.
    pub peer_port: u16,
}

/// Which placement decisions are active. A deployment whose settings don't mention them behaves as without them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlacementSettings {
    /// Whether the VMs of a zone tell each other of upstreams that turn slow.
    pub shares_upstream_speed: bool,
}

/// Validated settings of one gateway process.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Location and capacity of the VM.
    pub place: NodePlace,
    /// Memory and descriptors of the VM.
    pub capacity: VmCapacity,
    /// Addresses on which the process listens.
    pub listen: ListenAddresses,
    /// Address of the store.
    pub store: SocketAddr,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Longest time until a change in the store must be in force: a configuration, a leaving upstream, or an
    /// evacuation.
    pub change_bound: Duration,
    /// Ratio, slack and window of the retry budget that all VMs share.
    pub budget: RetryBudgetConfig,
    /// Bound on requests to a cold upstream, shared by all VMs; `None` if the settings state none.
    pub cold_bound: Option<ColdBound>,
    /// Bound on the requests of an organisation, shared by all VMs.
    pub quota_bound: QuotaBound,
    /// Age of the configuration above which requests with a credential are refused, because the credential may have
    /// been removed; `None` if a VM that can't learn of changes goes on with what it knows.
    pub credential_max_age: Option<Duration>,
    /// Which placement decisions are active.
    pub placement: PlacementSettings,
    /// Settings of the log.
    pub log: LogSettings,
}

/// Default for how soon a change must be in force: the shortest time that any user requires.
const DEFAULT_CHANGE_BOUND: Duration = Duration::from_secs(3);
/// Smallest number or fraction of cores.
const MIN_CORES: f64 = 0.001;
/// Shortest bound that can be met: within it, a VM that loses its source must notice and ask another one.
const MIN_CHANGE_BOUND: Duration = Duration::from_secs(1);

const SECTIONS: [&str; 8] = [
    "node",
    "limits",
    "listen",
    "zones",
    "store",
    "bounds",
    "placement",
    "log",
];

impl GatewaySettings {
    /// Parses settings from INI text. On failure, reports all findings together.
    ///
    /// # Examples
    ///
    /// ```
    /// use ebonyfork::gateway::GatewaySettings;
    ///
    /// let text = "[node]\nname = vm-1\naddress = 127.0.0.1\nzone = zone-a\nregion = north\ncpu-share = 0.25\ncpu-cores = 1\n\
    ///     [zones]\nzone-a = north\n\
    ///     [listen]\ncallers = 127.0.0.1:7100\nready = 127.0.0.1:7101\ndirectory = 127.0.0.1:7102\n\
    ///     metrics = 127.0.0.1:7103\npeer-port = 7104\n\
    ///     [store]\naddress = 127.0.0.1:7000\n\
    ///     [bounds]\ngrace-s = 6\nconfig-in-force-ms = 3000\nleaving-upstream-ms = 3000\n\
    ///     retry-ratio = 0.2\nretry-slack = 54\nretry-window-s = 10\n";
    /// let settings = GatewaySettings::parse("gateway.ini", text)?;
    /// assert_eq!(settings.place.zone.as_str(), "zone-a");
    /// # Ok::<(), ebonyfork::finding::FindingList>(())
    /// ```
    pub fn parse(file: impl AsRef<str>, text: &str) -> Result<Self, FindingList> {
        let file = file.as_ref();
        let mut findings = FindingList::new();
        let document = IniDocument::parse(file, text, &mut findings);
        document.check_sections(&SECTIONS, &mut findings);
        match read_settings(&document, &mut findings) {
            Some(settings) => findings.into_result(settings),
            None => Err(findings),
        }
    }
}

fn read_settings(document: &IniDocument, findings: &mut FindingList) -> Option<GatewaySettings> {
    let place = read_place(document, findings);
    let capacity = VmCapacity::read(document, findings);
    let listen = read_listen(document, findings);
    let store = read_store(document, findings);
    let bounds = read_bounds(document, findings);
    let placement = read_placement(document, findings);
    let log = LogSettings::read(document, findings);
    let bounds = bounds?;
    Some(GatewaySettings {
        place: place?,
        capacity,
        listen: listen?,
        store: store?,
        grace: bounds.grace,
        change_bound: bounds.change_bound,
        budget: bounds.budget,
        cold_bound: bounds.cold_bound,
        quota_bound: bounds.quota_bound,
        credential_max_age: bounds.credential_max_age,
        placement,
        log,
    })
}

fn read_place(document: &IniDocument, findings: &mut FindingList) -> Option<NodePlace> {
    let section = document.required_section("node", findings)?;
    let mut reader = SectionReader::new(&document.file, section, findings);
    let name = reader.required("name");
    let address = reader.required("address");
    let zone = reader.required("zone");
    let region = reader.required("region");
    let cpu_share = read_cores(&mut reader, "cpu-share");
    let cpu_cores = read_cores(&mut reader, "cpu-cores");
    reader.finish();
    let zones = document.required_section("zones", findings)?;
    Some(NodePlace {
        name: name?,
        address: address?,
        zone: zone?,
        region: region?,
        cores: cpu_share? * cpu_cores?,
        zones: read_zones(zones),
    })
}

fn read_zones(section: &IniSection) -> FxHashMap<PlaceName, PlaceName> {
    let pair = |property: &crate::ini::IniProperty| {
        (
            PlaceName::new(&property.key),
            PlaceName::new(&property.value),
        )
    };
    section.properties.iter().map(pair).collect()
}

fn read_listen(document: &IniDocument, findings: &mut FindingList) -> Option<ListenAddresses> {
    let section = document.required_section("listen", findings)?;
    let mut reader = SectionReader::new(&document.file, section, findings);
    let caller_address = reader.required("callers");
    let ready_address = reader.required("ready");
    let directory_address = reader.required("directory");
    let metrics_address = reader.required("metrics");
    let peer_port = reader.required("peer-port");
    reader.finish();
    Some(ListenAddresses {
        caller_address: caller_address?,
        ready_address: ready_address?,
        directory_address: directory_address?,
        metrics_address: metrics_address?,
        peer_port: peer_port?,
    })
}

fn read_store(document: &IniDocument, findings: &mut FindingList) -> Option<SocketAddr> {
    let section = document.required_section("store", findings)?;
    let mut reader = SectionReader::new(&document.file, section, findings);
    let address = reader.required("address");
    reader.finish();
    address
}

/// Reads the optional section about placement.
fn read_placement(document: &IniDocument, findings: &mut FindingList) -> PlacementSettings {
    let Some(section) = document.find_section("placement") else {
        return PlacementSettings::default();
    };
    let mut reader = SectionReader::new(&document.file, section, findings);
    let shares_upstream_speed = reader.optional("share-upstream-speed").unwrap_or_default();
    reader.finish();
    PlacementSettings {
        shares_upstream_speed,
    }
}

/// Values of the `bounds` section.
struct BoundsSection {
    grace: Duration,
    change_bound: Duration,
    budget: RetryBudgetConfig,
    cold_bound: Option<ColdBound>,
    quota_bound: QuotaBound,
    credential_max_age: Option<Duration>,
}

fn read_bounds(document: &IniDocument, findings: &mut FindingList) -> Option<BoundsSection> {
    let section = document.required_section("bounds", findings)?;
    let mut reader = SectionReader::new(&document.file, section, findings);
    let grace = read_seconds(&mut reader, "grace-s");
    let config_bound = read_change_bound(&mut reader, "config-in-force-ms");
    let leaving_bound = read_change_bound(&mut reader, "leaving-upstream-ms");
    let evacuation_bound = read_change_bound(&mut reader, "evacuation-ms");
    let ratio = read_amount(&mut reader, "retry-ratio");
    let slack = read_amount(&mut reader, "retry-slack");
    let window = read_seconds(&mut reader, "retry-window-s");
    let cold_bound = read_cold_bound(&mut reader);
    let quota_bound = read_quota_bound(&mut reader);
    let revoke_bound = read_change_bound(&mut reader, "credential-removal-ms");
    let is_strict = reader.optional::<bool>("credential-removal-strict");
    reader.finish();
    let budget = RetryBudgetConfig {
        ratio: ratio?,
        slack: slack?,
        window: window?,
    };
    let config_bound = config_bound.unwrap_or(DEFAULT_CHANGE_BOUND);
    let leaving_bound = leaving_bound.unwrap_or(DEFAULT_CHANGE_BOUND);
    let change_bound = config_bound
        .min(leaving_bound)
        .min(evacuation_bound.unwrap_or(config_bound));
    Some(BoundsSection {
        grace: grace?,
        change_bound,
        budget,
        cold_bound,
        quota_bound,
        credential_max_age: revoke_bound.filter(|_bound| is_strict.unwrap_or_default()),
    })
}

/// Reads the bound on the requests of an organisation. Nothing is tolerated in addition to quotas unless stated.
fn read_quota_bound(reader: &mut SectionReader<'_>) -> QuotaBound {
    let default = QuotaBound::default();
    let (window_key, overage_key, slack_key) = ("quota-window-s", "quota-overage", "quota-slack");
    let window = reader.optional::<f64>(window_key);
    let window = window.and_then(|seconds| check_seconds(reader, window_key, seconds));
    let mut amount = |key: &'static str, default: f64| {
        let amount = reader.optional::<f64>(key).unwrap_or(default);
        if !amount.is_finite() || amount < 0.0 {
            reader.report(key, "expected a number that is not negative");
        }
        amount
    };
    QuotaBound {
        window: window.unwrap_or(default.window),
        overage: amount(overage_key, default.overage),
        slack: amount(slack_key, default.slack),
    }
}

/// Reads the bound on requests to cold upstreams. Both values or neither must be stated.
fn read_cold_bound(reader: &mut SectionReader<'_>) -> Option<ColdBound> {
    let (overage_key, slack_key) = ("cold-overage", "cold-slack");
    let overage = reader.optional::<f64>(overage_key);
    let slack = reader.optional::<f64>(slack_key);
    for (key, amount, other) in [(overage_key, overage, slack), (slack_key, slack, overage)] {
        if amount.is_some_and(|amount| !amount.is_finite() || amount < 0.0) {
            reader.report(key, "expected a number that is not negative");
        }
        if amount.is_some() && other.is_none() {
            reader.report(key, "expected both cold-overage and cold-slack");
        }
    }
    Some(ColdBound {
        overage: overage?,
        slack: slack?,
    })
}

/// Reads a finite, non-negative number.
fn read_amount(reader: &mut SectionReader<'_>, key: &'static str) -> Option<f64> {
    let amount: f64 = reader.required(key)?;
    if amount.is_finite() && amount >= 0.0 {
        return Some(amount);
    }
    reader.report(key, "expected a number that is not negative");
    None
}

/// Reads a positive number.
fn read_positive(reader: &mut SectionReader<'_>, key: &'static str) -> Option<f64> {
    let amount = read_amount(reader, key)?;
    if amount > 0.0 {
        return Some(amount);
    }
    reader.report(key, "expected more than 0");
    None
}

/// Reads a number of cores, or a fraction of them, whose product with another one is neither infinite nor zero.
fn read_cores(reader: &mut SectionReader<'_>, key: &'static str) -> Option<f64> {
    let cores = read_positive(reader, key)?;
    if (MIN_CORES..=f64::from(MAX_STATED_CORES)).contains(&cores) {
        return Some(cores);
    }
    reader.report(
        key,
        format_args!("expected {MIN_CORES} to {MAX_STATED_CORES}"),
    );
    None
}

/// Reads how soon a change must be in force, in whole milliseconds; `None` if not stated.
fn read_change_bound(reader: &mut SectionReader<'_>, key: &'static str) -> Option<Duration> {
    let bound = Duration::from_millis(reader.optional::<u64>(key)?);
    if bound < MIN_CHANGE_BOUND {
        let min_ms = MIN_CHANGE_BOUND.as_millis();
        reader.report(key, format_args!("expected at least {min_ms} ms"));
    }
    if bound > MAX_STATED_TIME {
        let max_ms = MAX_STATED_TIME.as_millis();
        reader.report(key, format_args!("expected at most {max_ms} ms"));
        return None;
    }
    Some(bound)
}

/// Reads a positive number of seconds.
fn read_seconds(reader: &mut SectionReader<'_>, key: &'static str) -> Option<Duration> {
    let seconds = reader.required(key)?;
    check_seconds(reader, key, seconds)
}

/// Returns a time in seconds, if it is positive and at most [`MAX_STATED_TIME`].
fn check_seconds(
    reader: &mut SectionReader<'_>,
    key: &'static str,
    seconds: f64,
) -> Option<Duration> {
    if !seconds.is_finite() || seconds <= 0.0 {
        reader.report(key, "expected more than 0");
        return None;
    }
    let max_s = MAX_STATED_TIME.as_secs();
    if seconds > max_s as f64 {
        reader.report(key, format_args!("expected at most {max_s} s"));
        return None;
    }
    Some(Duration::from_secs_f64(seconds))
}

#[cfg(test)]
#[path = "settings_tests.rs"]
mod tests;
