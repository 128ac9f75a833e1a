//! Benchmarks of operations whose cost grows with the number of VMs: membership, topology views and locate answers.

use std::hint::black_box;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use ebonyfork::ident::{IncarnationNumber, SessionId, VmAddress, ZoneName};
use ebonyfork::locate::{LocateSettings, locate_addresses};
use ebonyfork::membership::{
    DATAGRAM_LIMIT, DatagramWriter, DigestUpdate, GossipFact, MemberDigest, MemberEntry,
    MemberHealth, MemberMessage, MemberProtocol, MemberSnapshot, MemberState, MemberUpdate,
    MemberVersion, SenderHeader,
};
use ebonyfork::topology::TopologyJoin;
use ebonyfork::topology::{OWN_GROUP, VmRecord, VmState};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Numbers of VMs; the largest is the design size.
const FLEET_SIZES: [u32; 4] = [9, 100, 1_000, 4_900];
const ZONE_COUNT: u32 = 10;
/// Number of upstreams per VM, as at the design size.
const UPSTREAMS_PER_VM: u32 = 6;

fn vm(number: u32) -> VmAddress {
    VmAddress(Ipv4Addr::from(0x0a00_0000 + number).into())
}

fn zone(number: u32) -> ZoneName {
    format!("zone-{}", number % ZONE_COUNT)
        .parse()
        .expect("a name")
}

fn session(number: u32) -> SessionId {
    SessionId::new(vm(number), IncarnationNumber(1_700_000_000_000))
}

fn member_snapshot(size: u32) -> MemberSnapshot {
    MemberSnapshot::new((0..size).map(|number| MemberEntry {
        vm: vm(number),
        zone: zone(number),
        incarnation: session(number).incarnation,
        state: MemberState::Alive,
        digest: MemberDigest::default(),
    }))
}

fn vm_records(size: u32) -> Vec<VmRecord> {
    let own_vms = (0..size).map(|number| VmRecord {
        ip: vm(number).0,
        port: None,
        zone: zone(number),
        group: OWN_GROUP.into(),
        state: VmState::Live,
    });
    let upstreams = (0..size * UPSTREAMS_PER_VM).map(|number| VmRecord {
        ip: Ipv4Addr::from(0x0b00_0000 + number).into(),
        port: Some(80),
        zone: zone(number),
        group: format!("service-{}", number / 2).into(),
        state: VmState::Live,
    });
    own_vms.chain(upstreams).collect()
}

fn topology_join(size: u32) -> TopologyJoin {
    let mut topology_join = TopologyJoin::new(session(0), zone(0));
    topology_join.apply_list(Duration::ZERO, vm_records(size));
    topology_join.apply_members(Arc::new(member_snapshot(size)));
    topology_join
}

/// Measures building a topology view and answering one locate request from it.
fn bench_topology(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("fleet");
    for size in FLEET_SIZES {
        let topology_join = topology_join(size);
        group.bench_function(BenchmarkId::new("view", size), |bencher| {
            bencher.iter(|| black_box(topology_join.view(Duration::from_secs(1))));
        });
        let view = topology_join.view(Duration::from_secs(1));
        let members = member_snapshot(size);
        let settings = LocateSettings {
            session: session(0),
            zone: zone(0),
            caller_port: 7100,
            ttl: Duration::from_secs(5),
        };
        let organisation = "roofers".parse().expect("a name");
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        group.bench_function(BenchmarkId::new("locate", size), |bencher| {
            bencher.iter(|| {
                locate_addresses(&view, &members, &settings, Some(&organisation), &mut rng)
            });
        });
    }
    group.finish();
}

fn sender_header(number: u32) -> SenderHeader {
    SenderHeader {
        vm: vm(number),
        version: MemberVersion {
            incarnation: session(number).incarnation,
            refutation: 0,
        },
        zone: zone(number),
        leaving: false,
        digest: MemberDigest::default(),
        digest_sequence: 1,
    }
}

/// Returns the protocol state of a member that knows `size` members.
fn member_protocol(size: u32) -> MemberProtocol {
    let mut member_protocol = MemberProtocol::new(Duration::ZERO, session(0), zone(0), 0, 1);
    let mut outgoing = Vec::new();
    let mut number = 1;
    while number < size {
        let message = MemberMessage::Page { next: None };
        let mut writer = DatagramWriter::new(0, DATAGRAM_LIMIT, &sender_header(1), message);
        while number < size {
            let update = MemberUpdate {
                vm: vm(number),
                version: sender_header(number).version,
                health: MemberHealth::Alive,
                leaving: false,
                age_ds: 0,
                zone: Some(zone(number)),
            };
            if !writer.push(&GossipFact::Member(update)) {
                break;
            }
            number += 1;
        }
        member_protocol.receive_datagram(Duration::ZERO, vm(1), &writer.finish(), &mut outgoing);
    }
    member_protocol
}

/// Measures one membership snapshot, one tick, and one full datagram of digests.
fn bench_membership(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("member");
    for size in FLEET_SIZES {
        let mut member_protocol = member_protocol(size);
        group.bench_function(BenchmarkId::new("snapshot", size), |bencher| {
            bencher.iter(|| black_box(member_protocol.snapshot()));
        });
        let mut now = Duration::ZERO;
        let mut outgoing = Vec::new();
        group.bench_function(BenchmarkId::new("tick", size), |bencher| {
            bencher.iter(|| {
                now += Duration::from_millis(100);
                outgoing.clear();
                member_protocol.tick(now, &mut outgoing);
            });
        });
        let mut digest_sequence = 1;
        let mut datagrams = Vec::new();
        for _datagram in 0..64 {
            let mut writer =
                DatagramWriter::new(0, DATAGRAM_LIMIT, &sender_header(1), MemberMessage::Gossip);
            let mut number = 1;
            loop {
                digest_sequence += 1;
                number = number % size.max(3) + 1;
                let update = DigestUpdate {
                    session: session(number),
                    digest_sequence,
                    digest: MemberDigest::default(),
                };
                if !writer.push(&GossipFact::Digest(update)) {
                    break;
                }
            }
            datagrams.push(writer.finish());
        }
        let mut next_datagram = 0;
        group.bench_function(BenchmarkId::new("datagram", size), |bencher| {
            bencher.iter(|| {
                next_datagram = (next_datagram + 1) % datagrams.len();
                outgoing.clear();
                member_protocol.receive_datagram(
                    now,
                    vm(1),
                    &datagrams[next_datagram],
                    &mut outgoing,
                );
            });
        });
    }
    group.finish();
}

criterion_group!(benches, bench_topology, bench_membership);
criterion_main!(benches);
