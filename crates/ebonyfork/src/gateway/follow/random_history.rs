//! Runs random histories of a fleet that follows a store, and checks invariants at each step.
//!
//! A history is a sequence of random steps: writes, removals, outages of the store for single VMs, broken links and
//! restarts. The seed determines the steps.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::format_compact;
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::fixture::{FollowFleet, FollowVm, evacuation_key, sleep_seconds, vm_key};
use super::store_fixture::{StoreContent, StoreReach};

/// Settings of a random history.
#[derive(Debug, Clone, Copy)]
pub struct HistorySettings {
    /// The zone of each VM.
    pub zones: &'static [&'static str],
    /// Rate of each VM's link in bytes per second; none if the links are not limited.
    pub link_rate: Option<f64>,
    /// Time within which a change must be in force.
    pub max_change_delay: Duration,
    /// Time that a VM may take to catch up after the end of a disturbance of its connection to the store. Until then,
    /// changes need not be in force on the VM within `max_change_delay`.
    pub recovery_time: Duration,
    /// The number of routes of each configuration is drawn from these numbers; they are empty if configurations have a
    /// version and no routes.
    pub route_counts: &'static [u64],
    /// Minimum time between the writes of two configurations.
    pub min_config_interval: Duration,
    /// Whether the store may be restored from an older copy.
    pub restores_store: bool,
}

impl Default for HistorySettings {
    fn default() -> Self {
        Self {
            zones: &["a", "a", "a", "b", "b", "c"],
            link_rate: None,
            max_change_delay: Duration::from_secs(3),
            recovery_time: Duration::from_secs(5),
            route_counts: &[],
            min_config_interval: Duration::ZERO,
            restores_store: false,
        }
    }
}

/// Changes the store, a VM, or the connection between them at random.
async fn apply_random_step(
    fleet: &mut FollowFleet,
    rng: &mut ChaCha8Rng,
    history: &mut RandomHistory,
) {
    let index = rng.random_range(0..fleet.vms.len());
    let number = fleet.vms[index].number;
    match rng.random_range(0..100) {
        0..22 => history.put_config(fleet, rng),
        22..40 => {
            let key = format_compact!("upstream/{}", rng.random_range(0..12));
            fleet.store.put(&key, "s");
            history.removed_at.remove(&key);
        }
        40..58 => {
            let key = format_compact!("upstream/{}", rng.random_range(0..12));
            if fleet.store.keys(&key).contains(&key) {
                fleet.store.remove(&key);
                history.removed_at.insert(key, Instant::now());
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
        94..97 => fleet.store.forget_changes(),
        97 if history.settings.link_rate.is_some() => history.suspect(fleet, number),
        98 if history.settings.link_rate.is_some() => history.slow_down_link(fleet, number, rng),
        _ => {
            history.last_incarnation += 1;
            history.healthy_since.insert(number, Instant::now());
            fleet.restart(index, history.last_incarnation).await;
        }
    }
}

/// Availability zones that random steps evacuate.
const EVACUATED_ZONES: [&str; 3] = ["north-a", "north-b", "south-a"];

/// In some steps of a history, evacuates a zone or revokes its evacuation. `rng` is used for evacuations only, so that
/// the other steps of a history are the same with and without evacuations.
fn change_random_evacuation(
    fleet: &FollowFleet,
    rng: &mut ChaCha8Rng,
    history: &mut RandomHistory,
) {
    if !rng.random_bool(0.2) {
        return;
    }
    let zone = EVACUATED_ZONES[rng.random_range(0..EVACUATED_ZONES.len())];
    let key = evacuation_key(zone);
    let is_evacuated = fleet.store.keys(&key).contains(&key);
    if is_evacuated {
        fleet.store.remove(&key);
    } else {
        fleet.store.put(&key, "{}");
    }
    history
        .evacuations
        .insert(key, (!is_evacuated, Instant::now()));
}

/// What the steps of a random history have written, removed and disturbed so far. The invariants are checked against
/// it.
struct RandomHistory {
    settings: HistorySettings,
    /// The configuration version written last.
    last_version: u64,
    /// Highest incarnation number of any VM. All VMs start with incarnation 1, and each restart takes the next number.
    last_incarnation: u64,
    /// Each configuration version with the time at which it was written.
    written_versions: Vec<(Instant, u64)>,
    /// When each upstream that no longer exists was removed.
    removed_at: BTreeMap<compact_str::CompactString, Instant>,
    /// Whether each zone is evacuated, and since when.
    evacuations: BTreeMap<compact_str::CompactString, (bool, Instant)>,
    /// Since when each VM's own connection to the store has been undisturbed.
    healthy_since: BTreeMap<u8, Instant>,
    /// VMs whose calls to the store are refused or get no response, with that outcome.
    failing_reaches: BTreeMap<u8, StoreReach>,
    /// Number of the VM whose link was made slower; none if all links have the same rate.
    slow_vm: Option<u8>,
    /// Number of the VM that gossip suspects; none if it suspects no VM.
    suspected_vm: Option<u8>,
    /// The store's content at each step, from which the store may be restored; empty if it is never restored.
    store_copies: Vec<StoreContent>,
    /// When the VMs were last checked after a restore of the store from an older copy; none before the first restore.
    restored_at: Option<Instant>,
}

impl RandomHistory {
    fn new(settings: HistorySettings) -> Self {
        Self {
            settings,
            last_version: 0,
            last_incarnation: 1,
            written_versions: Vec::new(),
            removed_at: BTreeMap::new(),
            evacuations: BTreeMap::new(),
            healthy_since: BTreeMap::new(),
            failing_reaches: BTreeMap::new(),
            slow_vm: None,
            suspected_vm: None,
            store_copies: Vec::new(),
            restored_at: None,
        }
    }

    /// Returns whether an evacuation that the operators revoked may still be in force: if the store lost the evacuation
    /// before a VM received its removal, the VM keeps it for up to [`EVACUATION_RETENTION`].
    fn may_retain_evacuation(&self) -> bool {
        self.restored_at
            .is_some_and(|at| at.elapsed() < EVACUATION_RETENTION)
    }

    /// Writes the next configuration, unless the last one was written too recently.
    fn put_config(&mut self, fleet: &FollowFleet, rng: &mut ChaCha8Rng) {
        let last_write = self.written_versions.last();
        if last_write.is_some_and(|(at, _version)| at.elapsed() < self.settings.min_config_interval)
        {
            return;
        }
        self.last_version += 1;
        let route_counts = self.settings.route_counts;
        if route_counts.is_empty() {
            fleet.put_config(self.last_version);
        } else {
            let route_count = route_counts[rng.random_range(0..route_counts.len())];
            fleet.put_routes(self.last_version, route_count);
        }
        self.written_versions
            .push((Instant::now(), self.last_version));
    }

    /// Makes gossip suspect the VM `number` and no other VM. If gossip suspects that VM already, it suspects none from
    /// now on. All VMs go on responding.
    fn suspect(&mut self, fleet: &FollowFleet, number: u8) {
        self.suspected_vm = (self.suspected_vm != Some(number)).then_some(number);
        fleet.suspect(self.suspected_vm);
    }

    /// Restores the rate of the slow link, if any, and usually makes another VM's link five times slower.
    fn slow_down_link(&mut self, fleet: &FollowFleet, number: u8, rng: &mut ChaCha8Rng) {
        let Some(rate) = self.settings.link_rate else {
            return;
        };
        if let Some(previous_vm) = self.slow_vm.take() {
            fleet.set_link_rate(previous_vm, rate);
            self.healthy_since.insert(previous_vm, Instant::now());
        }
        if rng.random_bool(0.8) {
            fleet.set_link_rate(number, rate / 5.0);
            self.slow_vm = Some(number);
        }
    }

    /// Sets the outcome of a VM's calls to the store.
    fn set_store_reach(&mut self, fleet: &FollowFleet, number: u8, reach: StoreReach) {
        if reach == StoreReach::Answers && !self.failing_reaches.contains_key(&number) {
            return;
        }
        fleet.store.set_reach(number, reach);
        self.healthy_since.insert(number, Instant::now());
        self.failing_reaches.remove(&number);
        if reach != StoreReach::Answers {
            self.failing_reaches.insert(number, reach);
        }
    }

    /// Returns whether a VM's own connection to the store is good, and has been for long enough to be up to date.
    fn is_healthy(&self, number: u8) -> bool {
        let since = self.healthy_since.get(&number);
        let has_recovered = since.is_none_or(|since| since.elapsed() > self.settings.recovery_time);
        has_recovered && !self.failing_reaches.contains_key(&number) && self.slow_vm != Some(number)
    }

    /// Checks the invariants on a VM: its configuration version never decreases, and if its own connection to the store
    /// is good, it is up to date, whatever happened to the VM that it follows. `seen_versions` holds the version that
    /// each VM had at its last check.
    fn check_vm(&self, vm: &FollowVm, seen_versions: &mut BTreeMap<u8, u64>) {
        let version = vm.version();
        let previous_version = seen_versions.insert(vm.number, version).unwrap_or_default();
        expect_that!(version, ge(previous_version), "VM {} went back", vm.number);
        if !self.is_healthy(vm.number) {
            return;
        }
        let newest_first = self.written_versions.iter().rev();
        let ages = newest_first.map(|(at, version)| (at.elapsed(), *version));
        let mut ages = ages;
        let due_version = ages.find(|(age, _version)| *age > self.settings.max_change_delay);
        if let Some((age, due_version)) = due_version {
            expect_that!(version, ge(due_version), "VM {} after {age:?}", vm.number);
        }
        let evacuations = vm.evacuations();
        for (key, (is_evacuated, since)) in &self.evacuations {
            if !is_evacuated && self.may_retain_evacuation() {
                continue;
            }
            if since.elapsed() > self.settings.max_change_delay {
                expect_that!(
                    evacuations.contains(key),
                    eq(*is_evacuated),
                    "VM {} {key}",
                    vm.number
                );
            }
        }
        for key in vm.upstreams() {
            let Some(removed_at) = self.removed_at.get(&key) else {
                continue;
            };
            expect_that!(
                removed_at.elapsed(),
                le(self.settings.max_change_delay),
                "VM {} still uses {key}",
                vm.number
            );
        }
    }
}

/// Maximum time for which a VM keeps an evacuation that the store lost, including the time until the VM notices the
/// loss.
const EVACUATION_RETENTION: Duration = Duration::from_secs(15);
/// Number of past steps, about 5 s in total, from which the content to restore is selected.
const RESTORE_WINDOW_STEPS: usize = 25;

/// In some steps makes the store unreachable for all VMs for up to 2.5 s and restores it from an older copy, after
/// which a VM may be restarted. A second restore may follow before the lost items are written again, in random order.
async fn restore_store_at_random(
    fleet: &mut FollowFleet,
    rng: &mut ChaCha8Rng,
    history: &mut RandomHistory,
    seen_versions: &mut BTreeMap<u8, u64>,
) {
    history.store_copies.push(fleet.store.content());
    if !rng.random_bool(0.04) {
        return;
    }
    let intended_content = fleet.store.content();
    let restore_count = if rng.random_bool(0.3) { 2 } else { 1 };
    for _restore in 0..restore_count {
        for vm in &fleet.vms {
            fleet.store.set_reach(vm.number, StoreReach::Refuses);
        }
        sleep_seconds(rng.random_range(0.0..2.5)).await;
        let oldest_index = history
            .store_copies
            .len()
            .saturating_sub(RESTORE_WINDOW_STEPS);
        let index = rng.random_range(oldest_index..history.store_copies.len());
        fleet.store.restore(history.store_copies[index].clone());
        // A later restore must not select a copy that is newer than the restored one.
        history.store_copies.truncate(index + 1);
        for vm in &fleet.vms {
            let reach = history.failing_reaches.get(&vm.number).copied();
            let reach = reach.unwrap_or(StoreReach::Answers);
            fleet.store.set_reach(vm.number, reach);
        }
        if rng.random_bool(0.3) {
            let index = rng.random_range(0..fleet.vms.len());
            history.last_incarnation += 1;
            seen_versions.remove(&fleet.vms[index].number);
            fleet.restart(index, history.last_incarnation).await;
        }
        for _check in 0..rng.random_range(1..8) {
            sleep_seconds(0.25).await;
            history.restored_at = Some(Instant::now());
            for vm in &fleet.vms {
                history.healthy_since.insert(vm.number, Instant::now());
                history.check_vm(vm, seen_versions);
            }
        }
    }
    fleet.store.rewrite_lost_items(&intended_content, rng);
}

/// Runs a fleet through 150 random steps and checks the invariants on each VM after every step. Then ends all
/// disturbances and checks that each VM holds what the store holds.
pub async fn run_history(seed: u64, settings: HistorySettings) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut restore_rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(32));
    let mut zone_rng = ChaCha8Rng::seed_from_u64(!seed);
    let mut fleet = FollowFleet::start_with(
        settings.zones,
        settings.link_rate,
        settings.max_change_delay,
    )
    .await;
    let mut history = RandomHistory::new(settings);
    let mut seen_versions = BTreeMap::new();
    sleep_seconds(3.0).await;
    for _step in 0..150 {
        let incarnation_before_step = history.last_incarnation;
        apply_random_step(&mut fleet, &mut rng, &mut history).await;
        change_random_evacuation(&fleet, &mut zone_rng, &mut history);
        if history.last_incarnation != incarnation_before_step {
            seen_versions.clear();
        }
        if settings.restores_store {
            restore_store_at_random(
                &mut fleet,
                &mut restore_rng,
                &mut history,
                &mut seen_versions,
            )
            .await;
        }
        sleep_seconds(rng.random_range(0.0..0.4)).await;
        for vm in &fleet.vms {
            history.check_vm(vm, &mut seen_versions);
        }
    }
    for vm in 1..=fleet.vms.len() as u8 {
        fleet.store.set_reach(vm, StoreReach::Answers);
        if let Some(rate) = settings.link_rate {
            fleet.set_link_rate(vm, rate);
        }
    }
    // Three delays must end during this time: how long a VM that the store refused follows another VM, how long a
    // failed source is avoided, and how long an entry that the store lost is kept.
    sleep_seconds(10.0).await;
    if settings.restores_store {
        sleep_seconds(EVACUATION_RETENTION.as_secs_f64()).await;
    }
    for vm in &fleet.vms {
        expect_that!(vm.version(), eq(history.last_version), "VM {}", vm.number);
        let upstreams = fleet.store.keys("upstream/");
        expect_that!(vm.upstreams(), eq(&upstreams), "VM {}", vm.number);
        expect_that!(vm.vms(), eq(&fleet.store.keys("vm/")), "VM {}", vm.number);
        let evacuations = fleet.store.keys("evacuate/");
        expect_that!(vm.evacuations(), eq(&evacuations), "VM {}", vm.number);
    }
}
