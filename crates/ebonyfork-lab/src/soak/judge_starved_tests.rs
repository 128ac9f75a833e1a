use bytes::Bytes;
use ebonyfork_stand_in::upstream::ArrivalRecord;
use googletest::prelude::*;
use http::HeaderMap;

use super::*;
use crate::soak::callers::{CallEnd, CallRecord};
use crate::soak::judge::tests::event;
use crate::soak::probes::{PROBED_ORGANISATIONS, ReadyRecord};
use crate::soak::world::ZONES;

const SEED: u64 = 7;
/// Number of VMs.
const VMS: u8 = 3;
/// Time of the record.
const LASTING: Duration = Duration::from_secs(6);
const PERIOD: Duration = Duration::from_millis(20);

fn vm(number: u8) -> IpAddr {
    [127, 0, 0, number + 1].into()
}

/// A record of calm time, which a test changes before it is judged.
struct Fixture {
    /// When the recorded time begins; the VMs were started long before.
    begin: Instant,
    probes: ProbeRecords,
    arrivals: BTreeMap<String, Vec<(String, ArrivalRecord)>>,
    versions: Vec<WrittenVersion>,
    lives: Vec<VmLife>,
    events: Vec<SoakEvent>,
}

impl Fixture {
    /// Everything is served on all VMs.
    fn new() -> Self {
        let started = Instant::now();
        let begin = started + QUOTA_WAIT;
        let life = |number: u8| VmLife {
            vm: vm(number),
            zone: ZONES[usize::from(number)],
            from: started,
            until: None,
        };
        let mut fixture = Self {
            begin,
            probes: ProbeRecords::default(),
            arrivals: BTreeMap::new(),
            versions: vec![(3, started, false)],
            lives: (0..VMS).map(life).collect(),
            events: Vec::new(),
        };
        let mut at = begin;
        let mut turn = 0;
        while at < begin + LASTING {
            for number in 0..VMS {
                let route = PROBED_ROUTES[turn % PROBED_ROUTES.len()];
                let organisations = PROBED_ORGANISATIONS.into_iter().chain([LOUD]);
                for organisation in organisations {
                    fixture.add(vm(number), organisation, route, at);
                }
                fixture.probes.ready.push(ReadyRecord {
                    vm: vm(number),
                    at,
                    is_ready: true,
                });
            }
            at += PERIOD;
            turn += 1;
        }
        fixture
    }

    fn add(&mut self, vm: IpAddr, organisation: &'static str, route: &'static str, at: Instant) {
        let id = format!("p{}", self.probes.calls.len());
        let services: Vec<String> = match route {
            "gather" => (0..SHARDS).map(|shard| format!("shard{shard}")).collect(),
            LONG_SERVICE => vec![LONG_SERVICE.to_owned()],
            moved => vec![service_of(SEED, 3, moved).to_owned()],
        };
        let run = |service: String| {
            let run = ArrivalRecord {
                request: id.clone(),
                at,
                ran: true,
                signature: String::new(),
                body: Vec::new(),
                cold: None,
            };
            (service, run)
        };
        let runs = services.into_iter().map(run).collect();
        self.arrivals.insert(id.clone(), runs);
        let call = CallRecord {
            id,
            route,
            vm: (vm, 80).into(),
            from: at,
            until: at + PERIOD / 2,
            end: end_with(200),
        };
        self.probes.calls.push(ProbeRecord { organisation, call });
    }

    /// Has some calls answered 503.
    fn refuse(mut self, is_refused: impl Fn(&ProbeRecord) -> bool) -> Self {
        for probe in &mut self.probes.calls {
            if is_refused(probe) {
                probe.call.end = end_with(503);
            }
        }
        self
    }

    fn judge(&self) -> String {
        let mut runs = RunIndex::new();
        for (id, arrivals) in &self.arrivals {
            let found = arrivals
                .iter()
                .map(|(service, run)| (service.as_str(), run));
            runs.insert(id, found.collect());
        }
        let record = ServiceRecord {
            seed: SEED,
            probes: &self.probes,
            runs: &runs,
            versions: &self.versions,
            lives: &self.lives,
            events: &self.events,
        };
        let windows = record.windows(self.begin + LASTING);
        let mut found = Vec::new();
        for window in windows.iter().filter(|window| window.from >= self.begin) {
            found.extend(record.check_window(*window));
        }
        found.join("; ")
    }
}

fn end_with(status: u16) -> CallEnd {
    CallEnd::Answered {
        status,
        headers: HeaderMap::new(),
        body: Bytes::new(),
    }
}

#[gtest]
fn calm_time_in_which_all_is_served_is_good() {
    let good = Fixture::new();
    expect_that!(good.judge(), eq(""));
    // Some refusals of each are no starvation.
    let mixed = good.refuse(|probe| probe.call.id.ends_with('7'));
    expect_that!(mixed.judge(), eq(""));
}

/// Guards against callers that are never served while others are.
#[gtest]
fn what_a_vm_never_serves_is_found() {
    let at = |probe: &ProbeRecord| probe.call.vm.ip() == vm(1);
    let whole = Fixture::new().refuse(at);
    expect_that!(whole.judge(), contains_substring("127.0.0.2: 0 of"));
    let kind = Fixture::new().refuse(|probe| at(probe) && probe.call.route == "home");
    expect_that!(kind.judge(), contains_substring("home at 127.0.0.2: 0 of"));
    let organisation = Fixture::new().refuse(|probe| at(probe) && probe.organisation == "small-a");
    expect_that!(
        organisation.judge(),
        contains_substring("small-a at 127.0.0.2: 0 of")
    );
    let all = Fixture::new().refuse(|_probe| true);
    expect_that!(all.judge(), contains_substring("main at 127.0.0.3: 0 of"));
    // Less than a quarter as often as all.
    let seldom = Fixture::new().refuse(|probe| at(probe) && !probe.call.id.ends_with('7'));
    expect_that!(seldom.judge(), contains_substring("127.0.0.2:"));
}

/// A shard of which a VM knows no upstream is a missing part of an answer that counts as served.
#[gtest]
fn a_service_that_a_vm_never_reaches_is_found() {
    let mut fixture = Fixture::new();
    for probe in &fixture.probes.calls {
        if probe.call.vm.ip() == vm(2) {
            let runs = fixture.arrivals.get_mut(&probe.call.id).expect("runs");
            runs.retain(|(service, _run)| service != "shard4");
        }
    }
    expect_that!(
        fixture.judge(),
        contains_substring("services shard4 at 127.0.0.3: never served")
    );
}

#[gtest]
fn a_loud_organisation_without_service_is_found() {
    let fixture = Fixture::new().refuse(|probe| probe.organisation == LOUD);
    expect_that!(fixture.judge(), contains_substring("loud: 0 served"));
}

#[gtest]
fn a_vm_that_is_not_ready_is_found() {
    let mut fixture = Fixture::new();
    let at = fixture.begin + LASTING - Duration::from_secs(1);
    fixture.probes.ready.push(ReadyRecord {
        vm: vm(0),
        at,
        is_ready: false,
    });
    expect_that!(
        fixture.judge(),
        contains_substring("127.0.0.1: 1 times not ready")
    );
}

/// What disturbs a VM excuses it alone, and what disturbs all excuses all; odd entries and new versions excuse nobody.
#[gtest]
fn only_disturbances_excuse() {
    let begin = Fixture::new().begin;
    for (what, disturbed, broken) in [
        ("kill vm-1", Some(vm(1)), false),
        ("kill vm-2", Some(vm(2)), true),
        ("store Busy", None, false),
        ("odd entries", None, true),
        ("configuration extra=true", None, true),
    ] {
        let mut fixture = Fixture::new().refuse(|probe| probe.call.vm.ip() == vm(1));
        fixture.events.push(SoakEvent {
            vm: disturbed,
            ..event(what, begin, Duration::from_secs(5))
        });
        expect_that!(fixture.judge().is_empty(), eq(!broken), "{what}");
    }
}

/// Who has a limit need not be served soon after the start of the tier or after the store's return from an older copy, and
/// must be at other times.
#[gtest]
fn limited_organisations_may_wait_for_claims() {
    let small = |probe: &ProbeRecord| SMALL.contains(&probe.organisation);
    let mut fixture = Fixture::new().refuse(small);
    expect_that!(fixture.judge(), contains_substring("small-b at"));
    let restore = event(
        "store came back 1s older",
        fixture.begin - QUOTA_WAIT / 2,
        Duration::ZERO,
    );
    fixture.events.push(restore);
    expect_that!(fixture.judge(), eq(""));
    let mut low = Fixture::new().refuse(|probe| probe.organisation == "low");
    low.events = fixture.events;
    expect_that!(low.judge(), contains_substring("low at"));
}

/// The verdict has one line for each window.
#[gtest]
fn a_window_gives_one_violation() {
    let fixture = Fixture::new().refuse(|_probe| true);
    let record = ServiceRecord {
        seed: SEED,
        probes: &fixture.probes,
        runs: &RunIndex::new(),
        versions: &fixture.versions,
        lives: &fixture.lives,
        events: &[],
    };
    let windows = record.windows(fixture.begin + LASTING).len();
    let found = check_starved(record, fixture.begin + LASTING);
    expect_that!(found.len(), eq(windows));
}

/// Seeds 2 and 3 were red for a VM that the soak had killed for 11 s: its own event had ended, and no process ran.
#[gtest]
fn a_vm_that_is_away_is_not_judged() {
    let mut fixture = Fixture::new().refuse(|probe| probe.call.vm.ip() == vm(1));
    fixture.lives[1].until = Some(fixture.begin - CALM_AFTER * 2);
    expect_that!(fixture.judge(), eq(""));
    let again = VmLife {
        from: fixture.begin - CALM_AFTER,
        until: None,
        ..fixture.lives[1]
    };
    fixture.lives.push(again);
    expect_that!(fixture.judge(), contains_substring("127.0.0.2: 0 of"));
}
