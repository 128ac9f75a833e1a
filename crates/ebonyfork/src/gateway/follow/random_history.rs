//! Random histories of a fleet that follows a store, and what must hold at each moment of them.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::format_compact;
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::fixture::{FollowFleet, FollowVm, evacuation_key, pass, vm_key};
use super::store_fixture::{StoreContent, StoreReach};

/// What a history is played with.
#[derive(Debug, Clone, Copy)]
pub struct HistoryTerms {
    /// The zone of each VM.
    pub zones: &'static [&'static str],
    /// Bytes a second that each VM's link carries; none if it carries all at once.
    pub link_rate: Option<f64>,
    /// Time within which a change must be in force.
    pub change_bound: Duration,
    /// Time after the end of trouble on its own way to the store from which the bound holds for a VM again.
    pub calm_time: Duration,
    /// Numbers of routes that a configuration may have; none if it is only its version.
    pub routes: &'static [u64],
    /// Shortest time between two configurations.
    pub config_spacing: Duration,
    /// Whether the store may come back from an older copy.
    pub drills: bool,
}

impl Default for HistoryTerms {
    fn default() -> Self {
        Self {
            zones: &["a", "a", "a", "b", "b", "c"],
            link_rate: None,
            change_bound: Duration::from_secs(3),
            calm_time: Duration::from_secs(5),
            routes: &[],
            config_spacing: Duration::ZERO,
            drills: false,
        }
    }
}

/// What happens to a fleet at one step of a random history.
async fn random_step(fleet: &mut FollowFleet, rng: &mut ChaCha8Rng, history: &mut RandomHistory) {
    let place = rng.random_range(0..fleet.vms.len());
    let number = fleet.vms[place].number;
    match rng.random_range(0..100) {
        0..22 => history.put_config(fleet, rng),
        22..40 => {
            let key = format_compact!("upstream/{}", rng.random_range(0..12));
            fleet.store.put(&key, "s");
            history.removed.remove(&key);
        }
        40..58 => {
            let key = format_compact!("upstream/{}", rng.random_range(0..12));
            if fleet.store.keys(&key).contains(&key) {
                fleet.store.remove(&key);
                history.removed.insert(key, Instant::now());
            }
        }
        58..64 => fleet.put_vm(rng.random_range(0..4)),
        64..68 => fleet.store.remove(&vm_key(rng.random_range(0..4))),
        68..73 => history.disturb(fleet, number, StoreReach::Silent),
        73..78 => history.disturb(fleet, number, StoreReach::Refuses),
        78..88 => history.disturb(fleet, number, StoreReach::Answers),
        88..91 => {
            history.calm_since.insert(number, Instant::now());
            fleet.store.silence_open_calls(number);
        }
        91..94 => fleet.vms[place].break_links(),
        94..97 => fleet.store.forget_history(),
        97 if history.terms.link_rate.is_some() => history.suspect(fleet, number),
        98 if history.terms.link_rate.is_some() => history.slow_link(fleet, number, rng),
        _ => {
            history.lives += 1;
            history.calm_since.insert(number, Instant::now());
            fleet.restart(place, history.lives).await;
        }
    }
}

/// Zones that are evacuated at random.
const EVACUATED: [&str; 3] = ["north-a", "north-b", "south-a"];

/// Evacuates a zone, or takes an evacuation back, in some steps of a history. It draws by itself, so that the rest of a
/// history is the same with it and without.
fn random_evacuation(fleet: &FollowFleet, rng: &mut ChaCha8Rng, history: &mut RandomHistory) {
    if !rng.random_bool(0.2) {
        return;
    }
    let zone = EVACUATED[rng.random_range(0..EVACUATED.len())];
    let key = evacuation_key(zone);
    let evacuated = fleet.store.keys(&key).contains(&key);
    if evacuated {
        fleet.store.remove(&key);
    } else {
        fleet.store.put(&key, "{}");
    }
    history
        .evacuations
        .insert(key, (!evacuated, Instant::now()));
}

/// What has happened so far, as far as it bounds what a VM may hold.
struct RandomHistory {
    terms: HistoryTerms,
    version: u64,
    lives: u64,
    /// When each version was written.
    versions: Vec<(Instant, u64)>,
    /// When each upstream that is gone was removed.
    removed: BTreeMap<compact_str::CompactString, Instant>,
    /// Whether each zone is evacuated, and since when.
    evacuations: BTreeMap<compact_str::CompactString, (bool, Instant)>,
    /// Since when each VM's own way to the store has been good.
    calm_since: BTreeMap<u8, Instant>,
    /// VMs whose calls to the store are not answered.
    cut_off: BTreeMap<u8, StoreReach>,
    /// The VM whose link is slow.
    slow: Option<u8>,
    /// The VM that gossip suspects.
    suspected: Option<u8>,
    /// What the store held at each step, if it may come back from that.
    copies: Vec<StoreContent>,
    /// When the store came back from an older copy last.
    drilled: Option<Instant>,
}

impl RandomHistory {
    fn new(terms: HistoryTerms) -> Self {
        Self {
            terms,
            version: 0,
            lives: 1,
            versions: Vec::new(),
            removed: BTreeMap::new(),
            evacuations: BTreeMap::new(),
            calm_since: BTreeMap::new(),
            cut_off: BTreeMap::new(),
            slow: None,
            suspected: None,
            copies: Vec::new(),
            drilled: None,
        }
    }

    /// Whether an evacuation that the operators have taken back may still be in force: one that the store lost is kept for
    /// a while, by VMs that had not heard yet that it was taken back.
    fn may_be_kept(&self) -> bool {
        self.drilled.is_some_and(|at| at.elapsed() < KEPT_TIME)
    }

    fn put_config(&mut self, fleet: &FollowFleet, rng: &mut ChaCha8Rng) {
        let last = self.versions.last();
        if last.is_some_and(|(at, _version)| at.elapsed() < self.terms.config_spacing) {
            return;
        }
        self.version += 1;
        let routes = self.terms.routes;
        if routes.is_empty() {
            fleet.put_config(self.version);
        } else {
            let routes = routes[rng.random_range(0..routes.len())];
            fleet.put_routes(self.version, routes);
        }
        self.versions.push((Instant::now(), self.version));
    }

    /// Gossip suspects a VM, and no longer the one before, while all of them answer.
    fn suspect(&mut self, fleet: &FollowFleet, number: u8) {
        self.suspected = (self.suspected != Some(number)).then_some(number);
        fleet.suspect(self.suspected);
    }

    /// A VM's link becomes slower, and that of the one before as fast as it was.
    fn slow_link(&mut self, fleet: &FollowFleet, number: u8, rng: &mut ChaCha8Rng) {
        let Some(rate) = self.terms.link_rate else {
            return;
        };
        if let Some(before) = self.slow.take() {
            fleet.set_link_rate(before, rate);
            self.calm_since.insert(before, Instant::now());
        }
        if rng.random_bool(0.8) {
            fleet.set_link_rate(number, rate / 5.0);
            self.slow = Some(number);
        }
    }

    fn disturb(&mut self, fleet: &FollowFleet, number: u8, reach: StoreReach) {
        if reach == StoreReach::Answers && !self.cut_off.contains_key(&number) {
            return;
        }
        fleet.store.set_reach(number, reach);
        self.calm_since.insert(number, Instant::now());
        self.cut_off.remove(&number);
        if reach != StoreReach::Answers {
            self.cut_off.insert(number, reach);
        }
    }

    fn is_calm(&self, number: u8) -> bool {
        let since = self.calm_since.get(&number);
        let calm = since.is_none_or(|since| since.elapsed() > self.terms.calm_time);
        calm && !self.cut_off.contains_key(&number) && self.slow != Some(number)
    }

    /// What must hold at any moment: a VM never goes back, and one whose own way to the store is good is up to date,
    /// whatever the VM that it follows has been through.
    fn check(&self, vm: &FollowVm, seen: &mut BTreeMap<u8, u64>) {
        let version = vm.version();
        let before = seen.insert(vm.number, version).unwrap_or_default();
        expect_that!(version, ge(before), "VM {} went back", vm.number);
        if !self.is_calm(vm.number) {
            return;
        }
        let due = self.versions.iter().rev();
        let due = due.map(|(at, version)| (at.elapsed(), *version));
        let mut due = due;
        let due = due.find(|(age, _version)| *age > self.terms.change_bound);
        if let Some((age, due)) = due {
            expect_that!(version, ge(due), "VM {} after {age:?}", vm.number);
        }
        let evacuations = vm.evacuations();
        for (key, (evacuated, since)) in &self.evacuations {
            if !evacuated && self.may_be_kept() {
                continue;
            }
            if since.elapsed() > self.terms.change_bound {
                expect_that!(
                    evacuations.contains(key),
                    eq(*evacuated),
                    "VM {} {key}",
                    vm.number
                );
            }
        }
        for key in vm.upstreams() {
            let Some(removed) = self.removed.get(&key) else {
                continue;
            };
            expect_that!(
                removed.elapsed(),
                le(self.terms.change_bound),
                "VM {} still uses {key}",
                vm.number
            );
        }
    }
}

/// How long an evacuation may be kept that the store has lost, and the time until a VM hears of that.
const KEPT_TIME: Duration = Duration::from_secs(15);
/// Steps of a history within which a copy is taken from which the store may come back: some 5 s.
const COPY_STEPS: usize = 25;

/// In some steps the store is away for a moment and comes back from an older copy; VMs may start just then, and it may happen
/// again before what was lost has been written again, in any order.
async fn random_drill(
    fleet: &mut FollowFleet,
    rng: &mut ChaCha8Rng,
    history: &mut RandomHistory,
    seen: &mut BTreeMap<u8, u64>,
) {
    history.copies.push(fleet.store.content());
    if !rng.random_bool(0.04) {
        return;
    }
    let truth = fleet.store.content();
    let drills = if rng.random_bool(0.3) { 2 } else { 1 };
    for _drill in 0..drills {
        for vm in &fleet.vms {
            fleet.store.set_reach(vm.number, StoreReach::Refuses);
        }
        pass(rng.random_range(0.0..2.5)).await;
        let oldest = history.copies.len().saturating_sub(COPY_STEPS);
        let place = rng.random_range(oldest..history.copies.len());
        fleet.store.restore(history.copies[place].clone());
        // Later drills find what this one has left.
        history.copies.truncate(place + 1);
        for vm in &fleet.vms {
            let reach = history.cut_off.get(&vm.number).copied();
            let reach = reach.unwrap_or(StoreReach::Answers);
            fleet.store.set_reach(vm.number, reach);
        }
        if rng.random_bool(0.3) {
            let place = rng.random_range(0..fleet.vms.len());
            history.lives += 1;
            seen.remove(&fleet.vms[place].number);
            fleet.restart(place, history.lives).await;
        }
        for _look in 0..rng.random_range(1..8) {
            pass(0.25).await;
            history.drilled = Some(Instant::now());
            for vm in &fleet.vms {
                history.calm_since.insert(vm.number, Instant::now());
                history.check(vm, seen);
            }
        }
    }
    fleet.store.write_again(&truth, rng);
}

/// Plays one history.
pub async fn play_history(seed: u64, terms: HistoryTerms) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut drill_rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(32));
    let mut zone_rng = ChaCha8Rng::seed_from_u64(!seed);
    let mut fleet = FollowFleet::start_with(terms.zones, terms.link_rate, terms.change_bound).await;
    let mut history = RandomHistory::new(terms);
    let mut seen = BTreeMap::new();
    pass(3.0).await;
    for _step in 0..150 {
        let lives = history.lives;
        random_step(&mut fleet, &mut rng, &mut history).await;
        random_evacuation(&fleet, &mut zone_rng, &mut history);
        if history.lives != lives {
            seen.clear();
        }
        if terms.drills {
            random_drill(&mut fleet, &mut drill_rng, &mut history, &mut seen).await;
        }
        pass(rng.random_range(0.0..0.4)).await;
        for vm in &fleet.vms {
            history.check(vm, &mut seen);
        }
    }
    for vm in 1..=fleet.vms.len() as u8 {
        fleet.store.set_reach(vm, StoreReach::Answers);
        if let Some(rate) = terms.link_rate {
            fleet.set_link_rate(vm, rate);
        }
    }
    // Longer than any VM follows another one or avoids one, and than a missing entry is kept.
    pass(10.0).await;
    if terms.drills {
        pass(KEPT_TIME.as_secs_f64()).await;
    }
    for vm in &fleet.vms {
        expect_that!(vm.version(), eq(history.version), "VM {}", vm.number);
        let upstreams = fleet.store.keys("upstream/");
        expect_that!(vm.upstreams(), eq(&upstreams), "VM {}", vm.number);
        expect_that!(vm.vms(), eq(&fleet.store.keys("vm/")), "VM {}", vm.number);
        let evacuations = fleet.store.keys("evacuate/");
        expect_that!(vm.evacuations(), eq(&evacuations), "VM {}", vm.number);
    }
}
