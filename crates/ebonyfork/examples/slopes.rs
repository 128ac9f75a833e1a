//! Measures how costs grow with size and prints one line per slope, for docs/CAPACITY.md.
//!
//! Each quantity is measured at four sizes or more; a least-squares line gives the cost at size zero, the cost per
//! further element, and the residual: the root mean square of the deviations in per cent of the mean.
//!
//!     cargo run --release --example slopes

use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use ebonyfork::catalog::{IndexCatalog, VersionShards};
use ebonyfork::declaration::{DeclaredConfig, DeclaredFile};
use ebonyfork::ident::{RevisionNumber, SnapshotVersion, VmAddress};
use ebonyfork::topology::{TopologyView, UpstreamEntry, VmEntry, owner_pair};
use ebonyfork::wire::PeerMessage;

#[path = "../benches/support/codec_messages.rs"]
mod codec_messages;

use codec_messages::{outcomes, submit, upstream};

/// Measuring time of each point.
const TIME_PER_POINT: Duration = Duration::from_millis(120);
/// Number of availability zones at the design size.
const ZONE_COUNT: usize = 10;

/// A line fitted to measured points.
struct FittedLine {
    intercept: f64,
    slope: f64,
    residual_percent: f64,
}

impl FittedLine {
    /// Fits a line to points by least squares.
    fn new(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let mut covariance = 0.0;
        let mut variance = 0.0;
        for (x, y) in points {
            covariance += (x - mean_x) * (y - mean_y);
            variance += (x - mean_x).powi(2);
        }
        let slope = covariance / variance;
        let intercept = mean_y - slope * mean_x;
        let mut squared_deviations = 0.0;
        for (x, y) in points {
            squared_deviations += (intercept + slope * x - y).powi(2);
        }
        let residual_percent = (squared_deviations / count).sqrt() / mean_y * 100.0;
        Self {
            intercept,
            slope,
            residual_percent,
        }
    }
}

/// Measures a quantity at each size, and prints the points and the fitted line as a table row.
fn report_slope(name: &str, unit: &str, sizes: &[u32], measure: impl Fn(u32) -> f64) {
    let mut points = Vec::new();
    for size in sizes {
        points.push((f64::from(*size), measure(*size)));
    }
    let line = FittedLine::new(&points);
    let point_texts: Vec<String> = points
        .iter()
        .map(|(size, cost)| format!("{size}: {cost:.0}"))
        .collect();
    println!(
        "| {name} | {} | {:.1} | {:.3} | {:.0} % | {unit} |",
        point_texts.join(", "),
        line.intercept,
        line.slope,
        line.residual_percent
    );
}

/// Returns the duration of one call in nanoseconds, as the fastest of several rounds.
fn nanoseconds_per_call<T>(mut call: impl FnMut() -> T) -> f64 {
    const ROUNDS: u32 = 5;
    let mut fastest_ns = f64::MAX;
    for _ in 0..ROUNDS {
        let started = Instant::now();
        let mut calls = 0_u32;
        while started.elapsed() < TIME_PER_POINT / ROUNDS {
            black_box(call());
            calls += 1;
        }
        fastest_ns = fastest_ns.min(started.elapsed().as_nanos() as f64 / f64::from(calls));
    }
    fastest_ns
}

fn vm(number: u32) -> VmAddress {
    VmAddress(IpAddr::V4(Ipv4Addr::from(0x0b00_0000 + number)))
}

fn encode(message: &PeerMessage) -> Vec<u8> {
    postcard::to_stdvec(message).expect("a message encodes")
}

fn report_codec(name: &str, message: impl Fn(u32) -> PeerMessage) {
    const SIZES: [u32; 5] = [1, 4, 16, 64, 210];
    report_slope(&format!("{name}: bytes by attempts"), "B", &SIZES, |size| {
        encode(&message(size)).len() as f64
    });
    report_slope(
        &format!("{name}: encode by attempts"),
        "ns",
        &SIZES,
        |size| {
            let message = message(size);
            nanoseconds_per_call(|| encode(&message))
        },
    );
    report_slope(
        &format!("{name}: decode by attempts"),
        "ns",
        &SIZES,
        |size| {
            let bytes = encode(&message(size));
            nanoseconds_per_call(|| postcard::from_bytes::<PeerMessage>(&bytes))
        },
    );
}

/// Returns a topology with VMs spread evenly over ten availability zones and all upstreams in the first zone.
fn topology(vms: u32, upstreams: u32) -> TopologyView {
    let zone: ebonyfork::ident::ZoneName = "zone-a".parse().expect("a valid name");
    let vm_entry = |number| VmEntry {
        vm: vm(number),
        zone: format!(
            "zone-{}",
            b"abcdefghij"[number as usize % ZONE_COUNT] as char
        )
        .parse()
        .expect("a valid name"),
        incarnation: None,
        leaving: false,
    };
    let upstream_entry = |number: u32| UpstreamEntry {
        upstream: upstream(number),
        zone: zone.clone(),
        service: format!("service-{}", number / 2)
            .parse()
            .expect("a valid name"),
        leaving: false,
    };
    TopologyView::new((0..vms).map(vm_entry), (0..upstreams).map(upstream_entry))
}

fn report_topology() {
    report_slope(
        "ownership: one upstream, by VMs of ten zones",
        "ns",
        &[100, 500, 1_500, 4_900],
        |vms| {
            let topology = topology(vms, 1);
            nanoseconds_per_call(|| owner_pair(&topology, upstream(0)))
        },
    );
    report_slope(
        "topology view: rebuilt, by upstreams",
        "ns",
        &[500, 2_000, 8_000, 31_000],
        |count| nanoseconds_per_call(|| topology(100, count)),
    );
}

fn catalog(shards: u32) -> IndexCatalog {
    let service = |number: u32| {
        format!("service-{number:05}")
            .parse()
            .expect("a valid name")
    };
    let shards = VersionShards {
        version: SnapshotVersion(17),
        shards: (0..shards).map(service).collect(),
    };
    IndexCatalog {
        epoch: 5,
        versions: vec![shards],
    }
}

fn report_catalog() {
    const SIZES: [u32; 4] = [20, 210, 1_000, 5_000];
    report_slope(
        "index catalogue: bytes by shards of a version",
        "B",
        &SIZES,
        |shards| {
            serde_json::to_vec(&catalog(shards))
                .expect("a catalogue encodes")
                .len() as f64
        },
    );
    report_slope(
        "index catalogue: read by shards of a version",
        "ns",
        &SIZES,
        |shards| {
            let bytes = serde_json::to_vec(&catalog(shards)).expect("a catalogue encodes");
            nanoseconds_per_call(|| serde_json::from_slice::<IndexCatalog>(&bytes))
        },
    );
}

fn declarations(organisations: u32) -> DeclaredFile {
    let mut text = String::from(
        "[service tender-00]\nconnections = 25\n[class tender-search]\nindex = tenders\n\
         scope = all\nlatency = 300ms\npercentile = 99\ncoverage = 0.98\ngives-way = latency\n\
         idempotent = yes\n",
    );
    for number in 0..organisations {
        text.push_str("[organisation organisation-");
        text.push_str(&number.to_string());
        text.push_str("]\nclasses = tender-search\n");
    }
    DeclaredFile::new("all.ini", text)
}

fn report_declarations() {
    const SIZES: [u32; 4] = [50, 250, 1_000, 4_000];
    report_slope(
        "declarations: bytes by organisations",
        "B",
        &SIZES,
        |organisations| declarations(organisations).text.len() as f64,
    );
    report_slope(
        "declarations: parsed and checked by organisations",
        "ns",
        &SIZES,
        |organisations| {
            let files = [declarations(organisations)];
            nanoseconds_per_call(|| DeclaredConfig::parse(&files, RevisionNumber(1)))
        },
    );
}

fn main() {
    println!("| what, by which size | points | at size 0 | per element | residual | unit |");
    println!("| --- | --- | --- | --- | --- | --- |");
    report_codec("submit batch", submit);
    report_codec("outcome batch", outcomes);
    report_topology();
    report_catalog();
    report_declarations();
}
