//! Runs random histories of a fleet that follows a store, and checks invariants at each step.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::format_compact;
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::fixture::{FollowFleet, FollowVm, evacuation_key, sleep_seconds, vm_key};
use super::store_fixture::{StoreContent, StoreReach};

/// Settings of a history.
#[derive(Debug, Clone, Copy)]
pub struct HistorySettings {
    /// The zone of each VM.
    pub zones: &'static [&'static str],
    /// Rate of each VM's link in bytes per second; none if the links are not limited.
    pub link_rate: Option<f64>,
    /// Time within which a change must be in force.
    pub change_bound: Duration,
    /// Time after a VM's own connection to the store recovers until the bound holds for it again.
    pub recovery_time: Duration,
    /// Numbers of routes that a configuration may have; empty if it has only a version.
    pub routes: &'static [u64],
    /// Shortest time between two configurations.
    pub config_spacing: Duration,
    /// Whether the store may be restored from an older copy.
    pub restores: bool,
}

impl Default for HistorySettings {
    fn default() -> Self {
        Self {
            zones: &["a", "a", "a", "b", "b", "c"],
            link_rate: None,
            change_bound: Duration::from_secs(3),
            recovery_time: Duration::from_secs(5),
            routes: &[],
            config_spacing: Duration::ZERO,
            restores: false,
        }
    }
}

/// Runs one random step of a history.
async fn random_step(fleet: &mut FollowFleet, rng: &mut ChaCha8Rng, history: &mut RandomHistory) {
    let index = rng.random_range(0..fleet.vms.len());
    let number = fleet.vms[index].number;
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
        68..73 => history.set_store_reach(fleet, number, StoreReach::Silent),
        73..78 => history.set_store_reach(fleet, number, StoreReach::Refuses),
        78..88 => history.set_store_reach(fleet, number, StoreReach::Answers),
        88..91 => {
            history.healthy_since.insert(number, Instant::now());
            fleet.store.silence_open_calls(number);
        }
        91..94 => fleet.vms[index].break_links(),
        94..97 => fleet.store.forget_history(),
        97 if history.settings.link_rate.is_some() => history.suspect(fleet, number),
        98 if history.settings.link_rate.is_some() => history.slow_link(fleet, number, rng),
        _ => {
            history.incarnations += 1;
            history.healthy_since.insert(number, Instant::now());
            fleet.restart(index, history.incarnations).await;
        }
    }
}

/// Zones that random steps evacuate.
const EVACUATED: [&str; 3] = ["north-a", "north-b", "south-a"];

/// Evacuates a zone or revokes an evacuation in some steps of a history. It has its own random numbers, so that the
/// rest of a history is the same with and without evacuations.
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

/// The events so far that limit what a VM may hold.
struct RandomHistory {
    settings: HistorySettings,
    version: u64,
    incarnations: u64,
    /// When each version was written.
    versions: Vec<(Instant, u64)>,
    /// When each upstream that no longer exists was removed.
    removed: BTreeMap<compact_str::CompactString, Instant>,
    /// Whether each zone is evacuated, and since when.
    evacuations: BTreeMap<compact_str::CompactString, (bool, Instant)>,
    /// Since when each VM's own connection to the store has been undisturbed.
    healthy_since: BTreeMap<u8, Instant>,
    /// VMs whose calls to the store get no response.
    cut_off: BTreeMap<u8, StoreReach>,
    /// The VM with a slow link.
    slow: Option<u8>,
    /// The VM that gossip suspects.
    suspected: Option<u8>,
    /// The store's content at each step, if it may be restored.
    copies: Vec<StoreContent>,
    /// When the store was last restored from an older copy.
    restored_at: Option<Instant>,
}

impl RandomHistory {
    fn new(settings: HistorySettings) -> Self {
        Self {
            settings,
            version: 0,
            incarnations: 1,
            versions: Vec::new(),
            removed: BTreeMap::new(),
            evacuations: BTreeMap::new(),
            healthy_since: BTreeMap::new(),
            cut_off: BTreeMap::new(),
            slow: None,
            suspected: None,
            copies: Vec::new(),
            restored_at: None,
        }
    }

    /// Returns whether an evacuation that the operators revoked may still be in force. VMs keep an evacuation that the
    /// store lost for a while if they had not received its removal.
    fn may_retain_evacuation(&self) -> bool {
        self.restored_at
            .is_some_and(|at| at.elapsed() < EVACUATION_RETENTION)
    }

    fn put_config(&mut self, fleet: &FollowFleet, rng: &mut ChaCha8Rng) {
        let last = self.versions.last();
        if last.is_some_and(|(at, _version)| at.elapsed() < self.settings.config_spacing) {
            return;
        }
        self.version += 1;
        let routes = self.settings.routes;
        if routes.is_empty() {
            fleet.put_config(self.version);
        } else {
            let routes = routes[rng.random_range(0..routes.len())];
            fleet.put_routes(self.version, routes);
        }
        self.versions.push((Instant::now(), self.version));
    }

    /// Makes gossip suspect a VM instead of the previous one, while all VMs respond.
    fn suspect(&mut self, fleet: &FollowFleet, number: u8) {
        self.suspected = (self.suspected != Some(number)).then_some(number);
        fleet.suspect(self.suspected);
    }

    /// Makes a VM's link slower and restores the previous slow link.
    fn slow_link(&mut self, fleet: &FollowFleet, number: u8, rng: &mut ChaCha8Rng) {
        let Some(rate) = self.settings.link_rate else {
            return;
        };
        if let Some(before) = self.slow.take() {
            fleet.set_link_rate(before, rate);
            self.healthy_since.insert(before, Instant::now());
        }
        if rng.random_bool(0.8) {
            fleet.set_link_rate(number, rate / 5.0);
            self.slow = Some(number);
        }
    }

    fn set_store_reach(&mut self, fleet: &FollowFleet, number: u8, reach: StoreReach) {
        if reach == StoreReach::Answers && !self.cut_off.contains_key(&number) {
            return;
        }
        fleet.store.set_reach(number, reach);
        self.healthy_since.insert(number, Instant::now());
        self.cut_off.remove(&number);
        if reach != StoreReach::Answers {
            self.cut_off.insert(number, reach);
        }
    }

    fn is_healthy(&self, number: u8) -> bool {
        let since = self.healthy_since.get(&number);
        let healthy = since.is_none_or(|since| since.elapsed() > self.settings.recovery_time);
        healthy && !self.cut_off.contains_key(&number) && self.slow != Some(number)
    }

    /// Checks the invariants: a VM never goes back, and a VM whose own connection to the store is good is up to date,
    /// whatever happened to the VM that it follows.
    fn check(&self, vm: &FollowVm, seen: &mut BTreeMap<u8, u64>) {
        let version = vm.version();
        let before = seen.insert(vm.number, version).unwrap_or_default();
        expect_that!(version, ge(before), "VM {} went back", vm.number);
        if !self.is_healthy(vm.number) {
            return;
        }
        let due = self.versions.iter().rev();
        let due = due.map(|(at, version)| (at.elapsed(), *version));
        let mut due = due;
        let due = due.find(|(age, _version)| *age > self.settings.change_bound);
        if let Some((age, due)) = due {
            expect_that!(version, ge(due), "VM {} after {age:?}", vm.number);
        }
        let evacuations = vm.evacuations();
        for (key, (evacuated, since)) in &self.evacuations {
            if !evacuated && self.may_retain_evacuation() {
                continue;
            }
            if since.elapsed() > self.settings.change_bound {
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
                le(self.settings.change_bound),
                "VM {} still uses {key}",
                vm.number
            );
        }
    }
}

/// How long an evacuation that the store lost may be kept, including the time until a VM notices the loss.
const EVACUATION_RETENTION: Duration = Duration::from_secs(15);
/// Number of steps, about 5 s, from which the restored copy is selected.
const RESTORE_WINDOW_STEPS: usize = 25;

/// In some steps makes the store unreachable for a moment and restores it from an older copy. VMs may start during that
/// time, and a second restore may follow before lost items have been written again, in any order.
async fn random_restore(
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
    let restores = if rng.random_bool(0.3) { 2 } else { 1 };
    for _restore in 0..restores {
        for vm in &fleet.vms {
            fleet.store.set_reach(vm.number, StoreReach::Refuses);
        }
        sleep_seconds(rng.random_range(0.0..2.5)).await;
        let oldest = history.copies.len().saturating_sub(RESTORE_WINDOW_STEPS);
        let index = rng.random_range(oldest..history.copies.len());
        fleet.store.restore(history.copies[index].clone());
        // Later restores can only select copies up to this one.
        history.copies.truncate(index + 1);
        for vm in &fleet.vms {
            let reach = history.cut_off.get(&vm.number).copied();
            let reach = reach.unwrap_or(StoreReach::Answers);
            fleet.store.set_reach(vm.number, reach);
        }
        if rng.random_bool(0.3) {
            let index = rng.random_range(0..fleet.vms.len());
            history.incarnations += 1;
            seen.remove(&fleet.vms[index].number);
            fleet.restart(index, history.incarnations).await;
        }
        for _check in 0..rng.random_range(1..8) {
            sleep_seconds(0.25).await;
            history.restored_at = Some(Instant::now());
            for vm in &fleet.vms {
                history.healthy_since.insert(vm.number, Instant::now());
                history.check(vm, seen);
            }
        }
    }
    fleet.store.rewrite_lost(&truth, rng);
}

/// Runs one history.
pub async fn run_history(seed: u64, settings: HistorySettings) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut restore_rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(32));
    let mut zone_rng = ChaCha8Rng::seed_from_u64(!seed);
    let mut fleet =
        FollowFleet::start_with(settings.zones, settings.link_rate, settings.change_bound).await;
    let mut history = RandomHistory::new(settings);
    let mut seen = BTreeMap::new();
    sleep_seconds(3.0).await;
    for _step in 0..150 {
        let incarnations = history.incarnations;
        random_step(&mut fleet, &mut rng, &mut history).await;
        random_evacuation(&fleet, &mut zone_rng, &mut history);
        if history.incarnations != incarnations {
            seen.clear();
        }
        if settings.restores {
            random_restore(&mut fleet, &mut restore_rng, &mut history, &mut seen).await;
        }
        sleep_seconds(rng.random_range(0.0..0.4)).await;
        for vm in &fleet.vms {
            history.check(vm, &mut seen);
        }
    }
    for vm in 1..=fleet.vms.len() as u8 {
        fleet.store.set_reach(vm, StoreReach::Answers);
        if let Some(rate) = settings.link_rate {
            fleet.set_link_rate(vm, rate);
        }
    }
    // Longer than any VM follows or avoids another one, and longer than a missing entry is kept.
    sleep_seconds(10.0).await;
    if settings.restores {
        sleep_seconds(EVACUATION_RETENTION.as_secs_f64()).await;
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
