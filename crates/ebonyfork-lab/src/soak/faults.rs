//! Draws faults and puts them in force: on links, processes, upstreams, the store; planned work meanwhile.

use std::net::IpAddr;
use std::time::Duration;

use ebonyfork_stand_in::guard::lock;
use ebonyfork_stand_in::store_faults::{StoreFaults, StoreOutage};
use ebonyfork_stand_in::upstream::UpstreamFaults;
use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::error::LabError;
use crate::soak::SoakSettings;
use crate::soak::fleet::GatewayFleet;
use crate::soak::odd_entries::OddWriter;
use crate::soak::place_events::run_place_event;
use crate::soak::proxy::LinkFault;
use crate::soak::world::{SoakWorld, ZONES};

/// Kinds of events, for drawing.
const KINDS: usize = 21;
/// Those of them that concern whole availability zones.
const PLACE_KINDS: std::ops::Range<usize> = 16..20;
/// How often an event is followed by one in which the store comes back from an older copy.
const RESTORE_SHARE: f64 = 0.15;
/// How often an event is followed by one in which a VM is lost and others start after it.
const LOSS_SHARE: f64 = 0.1;
/// How often an event is followed by a round of odd entries; there is one before all events and one after them as well.
const ODD_SHARE: f64 = 0.06;
/// How long a lost VM stays away after the others have started: until they have had to know of it for some seconds.
const LOSS_TIME: Duration = Duration::from_secs(11);
/// Keys that operators and upstreams write.
const FOREIGN_KEYS: [&str; 2] = ["op/", "servers/"];
/// How long a leaving upstream goes on serving.
const DRAIN_TIME: Duration = Duration::from_secs(4);

/// One event as it happened.
#[derive(Debug, Clone)]
pub struct SoakEvent {
    /// When it began.
    pub from: Instant,
    /// When it ended.
    pub until: Instant,
    /// What it was.
    pub what: String,
    /// Whether it was planned work, which must cost no caller anything.
    pub planned: bool,
    /// The one VM that it disturbed; others have to keep their promises meanwhile. None if it may have disturbed all.
    pub vm: Option<IpAddr>,
}

/// Runs events one after another, some of them overlapping, for a time.
pub(super) async fn run_faults(
    rng: &mut ChaCha8Rng,
    settings: &SoakSettings,
    world: &SoakWorld,
    fleet: &mut GatewayFleet,
) -> Result<Vec<SoakEvent>, LabError> {
    let end = Instant::now() + settings.time;
    let mut events = Vec::new();
    // It draws by itself, so that what else a seed draws stays the same.
    let mut restore_rng = rng.clone();
    restore_rng.set_stream(1);
    let mut loss_rng = rng.clone();
    loss_rng.set_stream(2);
    let mut odd_rng = rng.clone();
    odd_rng.set_stream(3);
    let mut odd_writer = OddWriter::new(odd_rng.clone(), settings.seed);
    odd_rng.set_stream(4);
    events.extend(odd_writer.run(world, fleet).await?);
    while Instant::now() < end {
        fleet.restart_ended()?;
        if odd_rng.random_bool(ODD_SHARE) {
            events.extend(odd_writer.run(world, fleet).await?);
        }
        if loss_rng.random_bool(LOSS_SHARE) {
            events.extend(run_loss(&mut loss_rng, fleet).await?);
        }
        let from = Instant::now();
        let drawn = if restore_rng.random_bool(RESTORE_SHARE) {
            run_restore(&mut restore_rng, world, fleet).await?
        } else {
            run_event(rng, world, fleet).await?
        };
        events.push(SoakEvent {
            from,
            until: Instant::now(),
            what: drawn.what,
            planned: drawn.planned,
            vm: drawn.vm,
        });
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..1_500))).await;
    }
    heal(world, fleet)?;
    // What another writer has left is no excuse for the calm time that follows.
    events.extend(odd_writer.begin(world, fleet).await?);
    Ok(events)
}

/// A VM is lost and other processes start after that, one of them or all; then nothing else happens until they must have
/// learnt of the loss.
async fn run_loss(
    rng: &mut impl Rng,
    fleet: &mut GatewayFleet,
) -> Result<Vec<SoakEvent>, LabError> {
    let lost = rng.random_range(0..fleet.vms.len());
    let other = (lost + rng.random_range(1..fleet.vms.len())) % fleet.vms.len();
    let loses_all = rng.random_bool(0.5);
    let from = Instant::now();
    fleet.kill(lost).await;
    if loses_all {
        for number in 0..fleet.vms.len() {
            fleet.kill(number).await;
        }
        tokio::time::sleep(pause(rng, 50, 1_500)).await;
    } else {
        tokio::time::sleep(pause(rng, 500, 6_000)).await;
        fleet.kill(other).await;
        tokio::time::sleep(pause(rng, 50, 500)).await;
    }
    for number in (0..fleet.vms.len()).filter(|number| *number != lost) {
        fleet.start_vm(number)?;
    }
    let event = |from: Instant, what: String| SoakEvent {
        from,
        until: Instant::now(),
        what,
        planned: false,
        vm: None,
    };
    let loss = event(from, format!("kill vm-{lost} for long, all={loses_all}"));
    tokio::time::sleep(LOSS_TIME).await;
    let from = Instant::now();
    fleet.start_vm(lost)?;
    Ok(vec![loss, event(from, format!("start of vm-{lost}"))])
}

/// Ends all faults.
fn heal(world: &SoakWorld, fleet: &mut GatewayFleet) -> Result<(), LabError> {
    world.store.set_faults(StoreFaults::default());
    for upstream in lock(&world.upstreams).iter() {
        upstream.server.set_faults(UpstreamFaults::default());
        upstream.proxy.set_fault(LinkFault::None);
    }
    for number in 0..fleet.vms.len() {
        fleet.vms[number].link.set_fault(LinkFault::None);
        fleet.signal(number, libc::SIGCONT);
        fleet.start_vm(number)?;
    }
    Ok(())
}

fn draw_link_fault(rng: &mut impl Rng) -> LinkFault {
    /// A link of 14 Mbit/s, the slowest that a VM has.
    const SLOW_LINK: u32 = 14_000_000 / 8;
    match rng.random_range(0..4) {
        0 => match rng.random_range(20..400) {
            20..100 => LinkFault::Rate(SLOW_LINK),
            delay => LinkFault::Delay(Duration::from_millis(delay)),
        },
        1 => LinkFault::Reset,
        2 => LinkFault::Silent,
        _ => LinkFault::OneWay,
    }
}

pub(super) fn pause(rng: &mut impl Rng, least_ms: u64, most_ms: u64) -> Duration {
    Duration::from_millis(rng.random_range(least_ms..most_ms))
}

/// What an event was.
pub(super) struct DrawnEvent {
    what: String,
    planned: bool,
    vm: Option<IpAddr>,
}

impl DrawnEvent {
    pub(super) fn new(what: String) -> Self {
        Self {
            what,
            planned: false,
            vm: None,
        }
    }

    pub(super) fn with_plan(self) -> Self {
        Self {
            planned: true,
            ..self
        }
    }

    fn with_vm(self, vm: IpAddr) -> Self {
        Self {
            vm: Some(vm),
            ..self
        }
    }
}

/// Lets a fault last while configurations come in quick succession: whoever depends on what is disturbed must not fall
/// behind with it.
async fn last_with_changes(rng: &mut impl Rng, world: &SoakWorld, lasting: Duration) {
    let end = Instant::now() + lasting;
    while Instant::now() < end {
        write_next_config(world);
        let left = end.saturating_duration_since(Instant::now());
        tokio::time::sleep(pause(rng, 200, 1_500).min(left)).await;
    }
}

/// Writes a configuration with the extra route if the last one was without it, and the other way round.
pub(super) fn write_next_config(world: &SoakWorld) -> bool {
    let extra = lock(&world.versions).len() % 2 == 1;
    world.write_config(extra);
    extra
}

async fn run_event(
    rng: &mut ChaCha8Rng,
    world: &SoakWorld,
    fleet: &mut GatewayFleet,
) -> Result<DrawnEvent, LabError> {
    let vm = rng.random_range(0..fleet.vms.len());
    let address = IpAddr::V4(fleet.vms[vm].address);
    let upstreams = lock(&world.upstreams).len();
    let upstream = rng.random_range(0..upstreams);
    let lasting = pause(rng, 300, 4_000);
    let kind = rng.random_range(0..KINDS);
    if PLACE_KINDS.contains(&kind) {
        return run_place_event(kind, rng, world, fleet).await;
    }
    let what = match kind {
        0 => {
            fleet.kill(vm).await;
            tokio::time::sleep(pause(rng, 50, 1_500)).await;
            fleet.start_vm(vm)?;
            return Ok(DrawnEvent::new(format!("kill vm-{vm}")).with_vm(address));
        }
        1 => {
            fleet.signal(vm, libc::SIGSTOP);
            last_with_changes(rng, world, lasting).await;
            fleet.signal(vm, libc::SIGCONT);
            return Ok(DrawnEvent::new(format!("freeze vm-{vm} {lasting:?}")).with_vm(address));
        }
        2 | 3 => {
            let took = fleet.terminate(vm).await;
            fleet.start_vm(vm)?;
            let event = DrawnEvent::new(format!("terminate vm-{vm} {took:?}"));
            return Ok(event.with_plan().with_vm(address));
        }
        4 => {
            let fault = draw_link_fault(rng);
            fleet.vms[vm].link.set_fault(fault);
            last_with_changes(rng, world, lasting).await;
            fleet.vms[vm].link.set_fault(LinkFault::None);
            let event = DrawnEvent::new(format!("store link of vm-{vm} {fault:?} {lasting:?}"));
            return Ok(event.with_vm(address));
        }
        5 | 6 => {
            let fault = draw_link_fault(rng);
            set_proxy(world, upstream, fault);
            tokio::time::sleep(lasting).await;
            set_proxy(world, upstream, LinkFault::None);
            format!("link of upstream {upstream} {fault:?} {lasting:?}")
        }
        7 => {
            let faults = draw_upstream_faults(rng);
            set_upstream(world, upstream, faults);
            tokio::time::sleep(lasting).await;
            set_upstream(world, upstream, UpstreamFaults::default());
            format!("upstream {upstream} {faults:?} {lasting:?}")
        }
        8 => {
            let (service, zone) = world.end_upstream(upstream, None);
            tokio::time::sleep(pause(rng, 100, 2_000)).await;
            world.add_upstream(&service, zone).await?;
            format!("crash of an upstream of {service}")
        }
        9 => {
            drain(world, upstream).await?;
            return Ok(DrawnEvent::new(format!("upstream {upstream} drained")).with_plan());
        }
        kind @ (10 | 11) => run_outage(kind == 10, lasting, rng, world).await,
        12 => {
            kill_all(fleet, pause(rng, 50, 1_500)).await?;
            "kill every vm-".to_owned()
        }
        13 => {
            world.store.compact();
            "store history forgotten".to_owned()
        }
        14 => {
            let seen = rng.random_bool(0.5);
            let instance = world
                .restart_upstream(upstream, pause(rng, 50, 2_000), seen)
                .await?;
            format!("restart of {instance} under its name, entry gone: {seen}")
        }
        15 => {
            world.write_foreign(lasting).await;
            format!("entries of another writer {lasting:?}")
        }
        _ => {
            let extra = write_next_config(world);
            return Ok(DrawnEvent::new(format!("configuration extra={extra}")).with_plan());
        }
    };
    Ok(DrawnEvent::new(what))
}

/// The store is away for a moment and comes back from an older copy, perhaps twice, while a VM may start; then operators and
/// upstreams write again what it has lost.
async fn run_restore(
    rng: &mut ChaCha8Rng,
    world: &SoakWorld,
    fleet: &mut GatewayFleet,
) -> Result<DrawnEvent, LabError> {
    let copy = world.store.backup();
    // What the store is going to lose: an evacuation, and that an upstream leaves.
    let evacuated = rng
        .random_bool(0.5)
        .then(|| ZONES[rng.random_range(0..ZONES.len())]);
    if let Some(zone) = evacuated {
        world.evacuate(zone);
    }
    let upstreams = lock(&world.upstreams).len();
    let leaving = if rng.random_bool(0.5) {
        Some(begin_drain(world, rng.random_range(0..upstreams)).await?)
    } else {
        None
    };
    let lasting = pause(rng, 300, 6_000);
    last_with_changes(rng, world, lasting).await;
    let held = world.store.backup();
    let rounds = if rng.random_bool(0.3) { 2 } else { 1 };
    for _round in 0..rounds {
        let lasting = pause(rng, 100, 2_500);
        run_outage(true, lasting, rng, world).await;
        world.store.restore(copy.clone());
        if rng.random_bool(0.3) {
            let vm = rng.random_range(0..fleet.vms.len());
            fleet.kill(vm).await;
            tokio::time::sleep(pause(rng, 50, 500)).await;
            fleet.start_vm(vm)?;
        }
        tokio::time::sleep(pause(rng, 1, 1_500)).await;
    }
    world.store.write_again(&held, &FOREIGN_KEYS, rng);
    if let Some(leaving) = &leaving {
        tokio::time::sleep_until(leaving.since + DRAIN_TIME).await;
        world.end_upstream(leaving.number, Some(leaving.since));
    }
    if let Some(zone) = evacuated {
        tokio::time::sleep(pause(rng, 500, 2_000)).await;
        world.readmit(zone);
    }
    let era = world.store.era();
    let drained = leaving.is_some();
    Ok(DrawnEvent::new(format!(
        "store came back {lasting:?} older, era {era} evacuated={evacuated:?} drained={drained}"
    )))
}

/// The store is away, or slow and forgetful, for a time.
pub(super) async fn run_outage(
    away: bool,
    lasting: Duration,
    rng: &mut ChaCha8Rng,
    world: &SoakWorld,
) -> String {
    let outages = [
        StoreOutage::Busy,
        StoreOutage::Limited,
        StoreOutage::Reset,
        StoreOutage::Silent,
    ];
    let (faults, what) = if away {
        let outage = outages[rng.random_range(0..outages.len())];
        let faults = StoreFaults {
            outage: Some(outage),
            ..StoreFaults::default()
        };
        (faults, format!("store {outage:?} {lasting:?}"))
    } else {
        let faults = StoreFaults {
            delay: Duration::from_millis(rng.random_range(50..400)),
            lose_writes: 0.5,
            late: Duration::from_millis(rng.random_range(0..2_000)),
            ..StoreFaults::default()
        };
        (faults, format!("store slow, writes lost {lasting:?}"))
    };
    world.store.set_faults(faults);
    tokio::time::sleep(lasting).await;
    world.store.set_faults(StoreFaults::default());
    what
}

/// All VMs lose power at the same moment and come back together.
async fn kill_all(fleet: &mut GatewayFleet, away: Duration) -> Result<(), LabError> {
    for number in 0..fleet.vms.len() {
        fleet.kill(number).await;
    }
    tokio::time::sleep(away).await;
    for number in 0..fleet.vms.len() {
        fleet.start_vm(number)?;
    }
    Ok(())
}

fn set_proxy(world: &SoakWorld, number: usize, fault: LinkFault) {
    if let Some(upstream) = lock(&world.upstreams).get(number) {
        upstream.proxy.set_fault(fault);
    }
}

fn set_upstream(world: &SoakWorld, number: usize, faults: UpstreamFaults) {
    if let Some(upstream) = lock(&world.upstreams).get(number) {
        upstream.server.set_faults(faults);
    }
}

fn draw_upstream_faults(rng: &mut impl Rng) -> UpstreamFaults {
    let none = UpstreamFaults::default();
    match rng.random_range(0..7) {
        0 => UpstreamFaults { slow: 12.0, ..none },
        1 => UpstreamFaults { shed: 0.6, ..none },
        2 => UpstreamFaults { lose: 0.3, ..none },
        3 => UpstreamFaults {
            foreign: 0.2,
            ..none
        },
        4 => UpstreamFaults {
            garble: 0.3,
            ..none
        },
        5 => UpstreamFaults {
            garble: 1.0,
            ..none
        },
        _ => UpstreamFaults {
            silent: true,
            ..none
        },
    }
}

/// An upstream that is leaving.
#[derive(Debug, Clone, Copy)]
struct LeavingUpstream {
    number: usize,
    since: Instant,
}

/// An upstream says that it leaves, with another one in its place.
async fn begin_drain(world: &SoakWorld, number: usize) -> Result<LeavingUpstream, LabError> {
    let (service, zone) = {
        let upstreams = lock(&world.upstreams);
        let upstream = &upstreams[number];
        (upstream.server.service().to_owned(), upstream.zone)
    };
    world.add_upstream(&service, zone).await?;
    let since = Instant::now();
    let upstreams = lock(&world.upstreams);
    world.register(&upstreams[number], "draining");
    Ok(LeavingUpstream { number, since })
}

/// Another upstream starts, this one says that it leaves, serves on and ends; its address goes to another service.
async fn drain(world: &SoakWorld, number: usize) -> Result<(), LabError> {
    let leaving = begin_drain(world, number).await?;
    let service = lock(&world.upstreams)[number].server.service().to_owned();
    tokio::time::sleep(DRAIN_TIME).await;
    let reused = {
        let upstreams = lock(&world.upstreams);
        let other = upstreams
            .iter()
            .find(|other| other.server.service() != service);
        other.map(|other| other.server.address())
    };
    if let Some(reused) = reused {
        lock(&world.upstreams)[number].proxy.set_target(reused);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    world.end_upstream(number, Some(leaving.since));
    Ok(())
}
