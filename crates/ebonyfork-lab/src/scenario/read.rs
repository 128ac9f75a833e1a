//! Reads a scenario and collects all findings.

use std::time::Duration;

use compact_str::CompactString;
use ebonyfork::declaration::DeclaredFile;
use ebonyfork::finding::FindingList;
use ebonyfork::ident::{ClassName, SnapshotVersion};
use ebonyfork::ini::{IniDocument, IniSection, SectionReader, unknown_message};
use ebonyfork::quantity::{ByteSize, TimeSpan};
use ebonyfork::settings::ExperimentSwitches;

use crate::scenario::check::check_names;
use crate::scenario::declared::{declare_services, understand};
use crate::scenario::fault::FaultEntry;
use crate::scenario::model::{
    ClassLoadSettings, FleetSettings, IndexSettings, RunSettings, Scenario, ServiceGroup,
    VariantSettings,
};
use crate::scenario::sources::{BASE, ScenarioSources};
use crate::upstream::{ColdStart, ServiceTime};

const SECTIONS: [&str; 11] = [
    BASE,
    "run",
    "fleet",
    "services",
    "index",
    "load",
    "fault",
    "variant",
    "experiment",
    "class",
    "organisation",
];
const SWITCH: [(&str, bool); 2] = [("on", true), ("off", false)];
/// Most VMs of one run: they share one process.
const MOST_NODES: u32 = 64;
/// Most servers of one run.
const MOST_SERVERS: u32 = 2_000;
/// Longest run, so that none runs away.
const LONGEST_RUN: Duration = Duration::from_mins(10);

impl Scenario {
    /// Reads a scenario and reports every finding at once.
    ///
    /// # Examples
    ///
    /// ```
    /// use ebonyfork_lab::scenario::Scenario;
    ///
    /// let findings = Scenario::parse("a.ini", "[run]\nseeed = 1\n").unwrap_err();
    /// assert!(findings.to_string().contains("a.ini:2: unknown key `seeed`, did you mean `seed`?"));
    /// ```
    pub fn parse(file: impl AsRef<str>, text: &str) -> Result<Self, FindingList> {
        let mut findings = FindingList::new();
        let sources = ScenarioSources::new(file.as_ref(), text, &mut findings);
        read_sources(sources, findings)
    }

    /// Reads a scenario over its base; each is a file's name and its text.
    pub fn parse_over(base: (&str, &str), own: (&str, &str)) -> Result<Self, FindingList> {
        let mut findings = FindingList::new();
        let sources = ScenarioSources::over(base, own, &mut findings);
        read_sources(sources, findings)
    }
}

fn read_sources(
    sources: ScenarioSources,
    mut findings: FindingList,
) -> Result<Scenario, FindingList> {
    let draft = ScenarioDraft {
        document: &sources.document,
        findings: &mut findings,
    };
    match draft.read(sources.declared) {
        Some(scenario) => findings.into_result(scenario),
        None => Err(findings),
    }
}

struct ScenarioDraft<'a> {
    document: &'a IniDocument,
    findings: &'a mut FindingList,
}

impl ScenarioDraft<'_> {
    fn read(mut self, mut declared_files: Vec<DeclaredFile>) -> Option<Scenario> {
        self.check_sections();
        let run = self.read_run();
        let fleet = self.read_fleet();
        let groups = self.read_groups();
        let indexes = self.read_indexes(&groups);
        let loads = self.read_loads();
        let faults = self.read_faults();
        let experiment = self.read_experiment();
        let variants = self.read_variants(experiment, &run);
        declared_files.push(declare_services(&groups));
        let declared = understand(&declared_files, self.findings)?;
        let scenario = Scenario {
            file: self.document.file.clone(),
            run,
            fleet,
            groups,
            indexes,
            loads,
            faults,
            variants,
            declared_files,
            declared,
        };
        check_names(self.document, &scenario, self.findings);
        Some(scenario)
    }

    fn check_sections(&mut self) {
        for section in &self.document.sections {
            if SECTIONS.contains(&section.kind.as_str()) {
                continue;
            }
            let message = unknown_message("section", &section.kind, &SECTIONS);
            self.report(section, message);
        }
    }

    fn report(&mut self, section: &IniSection, message: impl ToString) {
        let file = &self.document.file;
        self.findings.push(file, section.line, message.to_string());
    }

    fn read_run(&mut self) -> RunSettings {
        let mut run = RunSettings {
            seed: 1,
            warm_up: Duration::from_secs(2),
            duration: Duration::from_secs(5),
            load_percent: 50.0,
        };
        let Some(section) = find(self.document, "run") else {
            return run;
        };
        let mut reader = SectionReader::new(&self.document.file, section, self.findings);
        run.seed = reader.optional("seed").unwrap_or(run.seed);
        run.warm_up = span(&mut reader, "warm-up", run.warm_up);
        run.duration = span(&mut reader, "duration", run.duration);
        run.load_percent = reader.optional("load-percent").unwrap_or(run.load_percent);
        if run.warm_up + run.duration > LONGEST_RUN {
            reader.report(
                "duration",
                format!("a run is at most {}", TimeSpan(LONGEST_RUN)),
            );
        }
        reader.finish();
        run
    }

    fn read_fleet(&mut self) -> FleetSettings {
        let mut fleet = FleetSettings {
            nodes: 7,
            zones: Vec::new(),
            zone_delay: Duration::from_millis(10),
            caller_delay: Duration::from_millis(1),
            workers: 1,
            vm_lag: Duration::from_secs(1),
            locate_ttl: Duration::from_secs(2),
            callers: 4,
        };
        let Some(section) = find(self.document, "fleet") else {
            self.findings
                .push(&self.document.file, 0, "lacks the section [fleet]");
            return fleet;
        };
        let mut reader = SectionReader::new(&self.document.file, section, self.findings);
        fleet.nodes = reader.optional("nodes").unwrap_or(fleet.nodes);
        fleet.zones = reader.list("zones");
        fleet.zone_delay = span(&mut reader, "zone-delay", fleet.zone_delay);
        fleet.caller_delay = span(&mut reader, "caller-delay", fleet.caller_delay);
        fleet.workers = reader.optional("workers").unwrap_or(fleet.workers);
        fleet.vm_lag = span(&mut reader, "vm-lag", fleet.vm_lag);
        fleet.locate_ttl = span(&mut reader, "locate-ttl", fleet.locate_ttl);
        fleet.callers = reader.optional("callers").unwrap_or(fleet.callers);
        if fleet.zones.is_empty() {
            reader.report("zones", "names at least one availability zone");
        }
        if !(1..=MOST_NODES).contains(&fleet.nodes) {
            reader.report("nodes", format!("between 1 and {MOST_NODES}"));
        }
        if fleet.workers == 0 {
            reader.report("workers", "at least 1");
        }
        reader.finish();
        fleet
    }

    fn read_groups(&mut self) -> Vec<ServiceGroup> {
        let mut groups = Vec::new();
        let mut servers = 0;
        for section in sections(self.document, "services") {
            let mut reader = SectionReader::new(&self.document.file, section, self.findings);
            let group = read_group(&section.name, &mut reader);
            servers += group.count * group.servers;
            if servers > MOST_SERVERS {
                reader.report("count", format!("more than {MOST_SERVERS} servers in all"));
            }
            if group.service_names().len() != group.count as usize {
                reader.report("count", format!("`{}` names no services", group.name));
            }
            reader.finish();
            groups.push(group);
        }
        groups
    }

    fn read_indexes(&mut self, groups: &[ServiceGroup]) -> Vec<IndexSettings> {
        let mut indexes = Vec::new();
        let names: Vec<&str> = groups.iter().map(|group| group.name.as_str()).collect();
        for section in sections(self.document, "index") {
            let mut reader = SectionReader::new(&self.document.file, section, self.findings);
            let group = reader.required::<CompactString>("services");
            let place = names
                .iter()
                .position(|name| group.as_ref().is_some_and(|group| group == name));
            if let (Some(group), None) = (&group, place) {
                reader.report("services", unknown_message("group", group, &names));
            }
            let shards = reader.required("shards").unwrap_or(1_u32);
            let version = reader.optional("version").unwrap_or(SnapshotVersion(17));
            reader.finish();
            let name = match section.name.parse() {
                Ok(name) => name,
                Err(error) => {
                    self.report(section, error);
                    continue;
                }
            };
            if let Some(group) = place {
                indexes.push(IndexSettings {
                    name,
                    group,
                    shards: shards.max(1),
                    version,
                });
            }
        }
        indexes
    }

    fn read_loads(&mut self) -> Vec<ClassLoadSettings> {
        let mut loads = Vec::new();
        for section in sections(self.document, "load") {
            let mut reader = SectionReader::new(&self.document.file, section, self.findings);
            let share = reader.required("share").unwrap_or_default();
            let deadline = reader.optional::<TimeSpan>("deadline").map(|span| span.0);
            let records = reader.optional("records").unwrap_or(1_000);
            let size = reader.optional::<ByteSize>("selection-size");
            reader.finish();
            match section.name.parse::<ClassName>() {
                Ok(class) => loads.push(ClassLoadSettings {
                    class,
                    share,
                    deadline,
                    records,
                    selection_size: size.map_or(0, |size| size.0 as usize),
                }),
                Err(error) => self.report(section, error),
            }
        }
        loads
    }

    fn read_faults(&mut self) -> Vec<FaultEntry> {
        let mut faults = Vec::new();
        for section in sections(self.document, "fault") {
            faults.extend(FaultEntry::read(
                &self.document.file,
                section,
                self.findings,
            ));
        }
        faults
    }

    fn read_experiment(&mut self) -> ExperimentSwitches {
        let switches = ExperimentSwitches::default();
        let Some(section) = find(self.document, "experiment") else {
            return switches;
        };
        let mut reader = SectionReader::new(&self.document.file, section, self.findings);
        let switches = switches.read(&mut reader);
        reader.finish();
        switches
    }

    fn read_variants(
        &mut self,
        experiment: ExperimentSwitches,
        run: &RunSettings,
    ) -> Vec<VariantSettings> {
        let mut variants = Vec::new();
        for section in sections(self.document, "variant") {
            let mut reader = SectionReader::new(&self.document.file, section, self.findings);
            let experiment = experiment.read(&mut reader);
            let load_percent = reader.optional("load-percent").unwrap_or(run.load_percent);
            let faults = reader.choice("faults", &SWITCH).unwrap_or(true);
            reader.finish();
            variants.push(VariantSettings {
                name: section.name.clone(),
                experiment,
                load_percent,
                faults,
            });
        }
        if variants.is_empty() {
            variants.push(VariantSettings {
                name: CompactString::const_new("run"),
                experiment,
                load_percent: run.load_percent,
                faults: true,
            });
        }
        variants
    }
}

fn find<'a>(document: &'a IniDocument, kind: &'static str) -> Option<&'a IniSection> {
    sections(document, kind).next()
}

pub(super) fn sections<'a>(
    document: &'a IniDocument,
    kind: &'static str,
) -> impl Iterator<Item = &'a IniSection> {
    let sections = document.sections.iter();
    sections.filter(move |section| section.kind == kind)
}

fn span(reader: &mut SectionReader<'_>, key: &'static str, default: Duration) -> Duration {
    reader
        .optional::<TimeSpan>(key)
        .map_or(default, |span| span.0)
}

fn read_group(name: &CompactString, reader: &mut SectionReader<'_>) -> ServiceGroup {
    let mean = span(reader, "service-time", Duration::from_millis(10));
    let mut time = ServiceTime::new(mean);
    time.spread = reader.optional("spread").unwrap_or(time.spread);
    time.straggler_share = reader.optional("straggler-share").unwrap_or(0.0);
    time.straggler_factor = reader.optional("straggler-factor").unwrap_or(10.0);
    let cold = reader.optional::<TimeSpan>("cold-start");
    let cold_factor = reader.optional("cold-factor").unwrap_or(3.0);
    let group = ServiceGroup {
        name: name.clone(),
        count: reader.optional("count").unwrap_or(1),
        servers: reader.optional("servers").unwrap_or(2),
        slots: reader.optional("slots").unwrap_or(2),
        connections: reader.optional("connections").unwrap_or(25),
        connection_cost: span(reader, "connection-cost", Duration::from_millis(5)),
        service_time: time,
        cold_start: cold.map(|span| ColdStart {
            duration: span.0,
            factor: cold_factor,
        }),
        crash_downtime: span(reader, "crash-downtime", Duration::from_secs(2)),
    };
    if group.count == 0 || group.servers == 0 || group.slots == 0 || mean.is_zero() {
        reader.report(
            "count",
            "count, servers, slots and service-time are above 0",
        );
    }
    group
}

#[cfg(test)]
#[path = "read_tests.rs"]
mod tests;
