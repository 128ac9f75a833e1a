//! Faults of a timeline.

use std::time::Duration;

use compact_str::CompactString;
use ebonyfork::finding::FindingList;
use ebonyfork::ident::{ClassName, IndexName, OrganisationName, ServiceName, ShardNumber};
use ebonyfork::ini::{IniSection, SectionReader};
use ebonyfork::quantity::TimeSpan;

/// Servers that a fault strikes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerChoice {
    /// Service.
    pub service: ServiceName,
    /// One of its servers, counted from 0; all if none.
    pub server: Option<u32>,
}

/// What is wrong with the store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum StoreFault {
    /// Every call gets a 503.
    Down,
    /// Calls get no answer.
    Silent,
    /// Every answer is late by this time.
    Slow(Duration),
    /// This share of answers is lost after the call took effect.
    LostAnswers(f64),
    /// Limits the calls per second that the store accepts.
    Limited(u32),
    /// It starts again with the data it had when the load began.
    OlderData,
}

/// What happens.
#[derive(Debug, Clone, PartialEq)]
pub enum FaultKind {
    /// Servers take a multiple of their service times.
    Straggler {
        /// Servers.
        target: ServerChoice,
        /// Multiple.
        factor: f64,
    },
    /// Servers are lost and come back afterwards.
    Crash {
        /// Servers.
        target: ServerChoice,
    },
    /// Every server switches to the next index version at its own time.
    Roll {
        /// Index.
        index: IndexName,
        /// How long a server keeps the old version beside the new one.
        keep: Duration,
    },
    /// A shard moves to another service; the catalogue follows later.
    Move {
        /// Index.
        index: IndexName,
        /// Shard.
        shard: ShardNumber,
        /// Its new service.
        to: ServiceName,
        /// How much later the catalogue says so.
        lag: Duration,
    },
    /// Servers leave: they drain, and are gone afterwards.
    Drain {
        /// Servers.
        target: ServerChoice,
        /// Whether the status endpoint goes on saying that all is well.
        lying: bool,
    },
    /// Servers' status endpoints say that all is well and idle while they are slow.
    LyingStatus {
        /// Servers.
        target: ServerChoice,
        /// Multiple of their service times.
        factor: f64,
    },
    /// The platform's service has a fault.
    Store {
        /// Which.
        fault: StoreFault,
    },
    /// VMs of the tier die at once; each comes back afterwards.
    Kill {
        /// How many.
        nodes: u32,
    },
    /// A VM of the tier stops running and goes on afterwards.
    Freeze {
        /// Which, counted from 0.
        node: u32,
    },
    /// Every VM of the tier is stopped as planned and started again, one after the other.
    Restart {
        /// Between two of them.
        pause: Duration,
    },
    /// Operators publish at once, each a change of their own onto the same head.
    Race {
        /// How many.
        operators: u32,
    },
    /// One request that crashes upstreams is sent again and again.
    Killer {
        /// Its class.
        class: ClassName,
        /// Times a second.
        rate: f64,
    },
    /// An organisation sends a multiple of its load.
    Burst {
        /// The organisation.
        organisation: OrganisationName,
        /// Multiple.
        factor: f64,
    },
}

/// One fault of a timeline.
#[derive(Debug, Clone, PartialEq)]
pub struct FaultEntry {
    /// Name in the scenario.
    pub name: CompactString,
    /// Line of its section.
    pub line: u32,
    /// When it begins, since the start of the load.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What happens.
    pub kind: FaultKind,
}

const KINDS: [(&str, &str); 13] = [
    ("straggler", "straggler"),
    ("crash", "crash"),
    ("roll", "roll"),
    ("move", "move"),
    ("drain", "drain"),
    ("lying-status", "lying-status"),
    ("store", "store"),
    ("kill", "kill"),
    ("freeze", "freeze"),
    ("restart", "restart"),
    ("race", "race"),
    ("killer", "killer"),
    ("burst", "burst"),
];
const SWITCH: [(&str, bool); 2] = [("on", true), ("off", false)];
/// Default of how long a fault lasts.
const LASTS: Duration = Duration::from_secs(2);
/// Default multiple of a slow server.
const SLOW_FACTOR: f64 = 10.0;

impl FaultEntry {
    /// Reads a `[fault NAME]` section.
    pub(super) fn read(
        file: &str,
        section: &IniSection,
        findings: &mut FindingList,
    ) -> Option<Self> {
        let mut reader = SectionReader::new(file, section, findings);
        let stated = reader.required::<CompactString>("kind").is_some();
        let kind = if stated {
            reader.choice("kind", &KINDS)
        } else {
            None
        };
        let at = reader.required::<TimeSpan>("at").map(|span| span.0);
        let lasts = span(&mut reader, "for").unwrap_or(LASTS);
        let kind = kind.and_then(|kind| read_kind(kind, lasts, &mut reader));
        reader.finish();
        Some(Self {
            name: section.name.clone(),
            line: section.line,
            at: at?,
            lasts,
            kind: kind?,
        })
    }
}

fn span(reader: &mut SectionReader<'_>, key: &'static str) -> Option<Duration> {
    reader.optional::<TimeSpan>(key).map(|span| span.0)
}

fn read_kind(kind: &str, lasts: Duration, reader: &mut SectionReader<'_>) -> Option<FaultKind> {
    let factor = |reader: &mut SectionReader<'_>| reader.optional("factor").unwrap_or(SLOW_FACTOR);
    Some(match kind {
        "straggler" => FaultKind::Straggler {
            factor: factor(reader),
            target: read_target(reader)?,
        },
        "crash" => FaultKind::Crash {
            target: read_target(reader)?,
        },
        "roll" => FaultKind::Roll {
            index: reader.required("index")?,
            keep: span(reader, "keep").unwrap_or(lasts),
        },
        "move" => FaultKind::Move {
            index: reader.required("index")?,
            shard: reader.required("shard")?,
            to: reader.required("to")?,
            lag: span(reader, "lag").unwrap_or(lasts),
        },
        "drain" => FaultKind::Drain {
            lying: reader.choice("lying", &SWITCH).unwrap_or(false),
            target: read_target(reader)?,
        },
        "lying-status" => FaultKind::LyingStatus {
            factor: factor(reader),
            target: read_target(reader)?,
        },
        "store" => FaultKind::Store {
            fault: read_store(reader)?,
        },
        "kill" => FaultKind::Kill {
            nodes: reader.optional("nodes").unwrap_or(1),
        },
        "freeze" => FaultKind::Freeze {
            node: reader.optional("node").unwrap_or(0),
        },
        "restart" => FaultKind::Restart {
            pause: span(reader, "pause").unwrap_or_default(),
        },
        "race" => FaultKind::Race {
            operators: reader.optional("operators").unwrap_or(2),
        },
        "killer" => FaultKind::Killer {
            class: reader.required("class")?,
            rate: reader.optional("rate").unwrap_or(2.0),
        },
        _ => FaultKind::Burst {
            organisation: reader.required("organisation")?,
            factor: reader.required("factor")?,
        },
    })
}

fn read_target(reader: &mut SectionReader<'_>) -> Option<ServerChoice> {
    Some(ServerChoice {
        service: reader.required("service")?,
        server: reader.optional("server"),
    })
}

fn read_store(reader: &mut SectionReader<'_>) -> Option<StoreFault> {
    const MODES: [(&str, &str); 6] = [
        ("down", "down"),
        ("silent", "silent"),
        ("slow", "slow"),
        ("lost-answers", "lost-answers"),
        ("limited", "limited"),
        ("older-data", "older-data"),
    ];
    reader.required::<CompactString>("mode")?;
    Some(match reader.choice("mode", &MODES)? {
        "down" => StoreFault::Down,
        "silent" => StoreFault::Silent,
        "slow" => StoreFault::Slow(reader.required::<TimeSpan>("delay")?.0),
        "lost-answers" => StoreFault::LostAnswers(reader.required("share")?),
        "limited" => StoreFault::Limited(reader.required("rate")?),
        _ => StoreFault::OlderData,
    })
}
