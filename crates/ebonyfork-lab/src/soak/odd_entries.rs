//! Entries as other writers leave them in the store: fields out of range, unreadable values, odd keys.
//!
//! None of them may cost anything but itself. They come in rounds, in which versions move routes and VMs start beside them,
//! and stay until a later round takes them away.

use std::time::Duration;

use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::error::LabError;
use crate::soak::faults::{SoakEvent, write_next_config};
use crate::soak::fleet::GatewayFleet;
use crate::soak::judge::{CONFIG_BOUND, DISTURBED_MARGIN};
use crate::soak::moves::MOVE_SERVICES;
use crate::soak::world::{SHARDS, SoakWorld, ZONES};

/// Entries of a round.
const ROUND_ENTRIES: usize = 16;
/// Numbers that overflow a time, a count or the number type itself. A third of all odd entries have one.
const ODD_NUMBERS: [&str; 11] = [
    "9.3e21",
    "1e22",
    "1.8e22",
    "1e400",
    "1e308",
    "18446744073709551616",
    "18446744073709551615",
    "-1",
    "-1e22",
    "2.5",
    "0",
];
/// Fields of an entry that are numbers; the one that is a time twice, because it reaches more arithmetic.
const NUMBER_FIELDS: [&str; 5] = [
    "warmupLeftMs",
    "warmupLeftMs",
    "capacity",
    "sequence",
    "born",
];
/// Addresses at which nobody listens, and some that are none.
const ODD_ADDRESSES: [&str; 12] = [
    "127.0.0.1:65536",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:99999999999999999999",
    "127.0.0.1",
    "",
    ":9",
    "[::1]:9",
    "[::1",
    "localhost:9",
    "0.0.0.0:9",
    "255.255.255.255:9",
];
/// Values of another type.
const ODD_VALUES: [&str; 6] = ["null", "true", "[]", "{}", "\"2\"", "\"\""];
/// Depth of nested values.
const DEPTH: usize = 100_000;
/// Length of a very long key, and of a very long text.
const LONG_KEY: usize = 2_000;
const LONG_TEXT: usize = 60_000;

/// An entry that another writer leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
struct OddEntry {
    key: String,
    value: Vec<u8>,
    /// What is odd about it.
    what: String,
}

/// Writer of odd entries. It draws by itself.
#[derive(Debug)]
pub(super) struct OddWriter {
    rng: ChaCha8Rng,
    seed: u64,
    written: Vec<String>,
    count: usize,
}

impl OddWriter {
    pub(super) fn new(rng: ChaCha8Rng, seed: u64) -> Self {
        Self {
            rng,
            seed,
            written: Vec::new(),
            count: 0,
        }
    }

    /// Writes odd entries, restarts a VM beside them, and moves routes once no disturbance excuses a VM any more that does
    /// not follow. Returns after the move has to be in force everywhere.
    pub(super) async fn run(
        &mut self,
        world: &SoakWorld,
        fleet: &mut GatewayFleet,
    ) -> Result<Vec<SoakEvent>, LabError> {
        /// Time in which requests show whether a version is in force.
        const SHOWN: Duration = Duration::from_secs(1);
        let events = self.begin(world, fleet).await?;
        tokio::time::sleep(DISTURBED_MARGIN).await;
        write_next_config(world);
        tokio::time::sleep(CONFIG_BOUND + SHOWN).await;
        Ok(events)
    }

    /// Writes odd entries and restarts a VM beside them.
    pub(super) async fn begin(
        &mut self,
        world: &SoakWorld,
        fleet: &mut GatewayFleet,
    ) -> Result<Vec<SoakEvent>, LabError> {
        let from = Instant::now();
        if self.rng.random_bool(0.5) {
            for key in self.written.drain(..) {
                world.store.remove(&key);
            }
        }
        self.write(world).await?;
        let event = |from: Instant, what: String| SoakEvent {
            from,
            until: Instant::now(),
            what,
            planned: true,
            vm: None,
        };
        let mut events = vec![event(from, "odd entries".to_owned())];
        let vm = self.rng.random_range(0..fleet.vms.len());
        if self.rng.random_bool(0.5) {
            let from = Instant::now();
            let took = fleet.terminate(vm).await;
            fleet.start_vm(vm)?;
            events.push(SoakEvent {
                vm: Some(fleet.vms[vm].address.into()),
                ..event(
                    from,
                    format!("terminate vm-{vm} {took:?} beside odd entries"),
                )
            });
        }
        Ok(events)
    }

    async fn write(&mut self, world: &SoakWorld) -> Result<(), LabError> {
        let mut entries = Vec::new();
        for _ in 0..ROUND_ENTRIES {
            self.count += 1;
            entries.push(draw_entry(&mut self.rng, self.seed, self.count));
        }
        for entry in &entries {
            self.put(world, entry);
        }
        if self.rng.random_bool(0.5) {
            let entry = self.start_answering(world).await?;
            self.put(world, &entry);
            entries.push(entry);
        }
        if self.rng.random_bool(0.5) {
            self.change_often(world, &entries).await;
        }
        let whats: Vec<_> = entries.iter().map(|entry| entry.what.as_str()).collect();
        eprintln!("odd entries: {}", whats.join(", "));
        Ok(())
    }

    fn put(&mut self, world: &SoakWorld, entry: &OddEntry) {
        world.store.put(&entry.key, &entry.value);
        self.written.push(entry.key.clone());
    }

    /// Starts an upstream that answers and draws its entry, which has one odd number. The upstream goes on after its entry
    /// has gone.
    async fn start_answering(&mut self, world: &SoakWorld) -> Result<OddEntry, LabError> {
        let instance = format!("i-{:x}-odd-{}", self.seed, self.count);
        let service = draw_service(&mut self.rng);
        let zone = ZONES[self.rng.random_range(0..ZONES.len())];
        let entry = world.start_odd_upstream(&service, zone, &instance).await?;
        let field = NUMBER_FIELDS[self.rng.random_range(0..NUMBER_FIELDS.len())];
        let number = ODD_NUMBERS[self.rng.random_range(0..ODD_NUMBERS.len())];
        let mut fields = entry_fields(&entry);
        set_field(&mut fields, field, number);
        Ok(OddEntry {
            key: format!("servers/{instance}"),
            value: entry_text(&fields).into_bytes(),
            what: format!("{field}={number} of an upstream of {service} that answers"),
        })
    }

    /// Changes one key a hundred times a second, between two of the values.
    async fn change_often(&mut self, world: &SoakWorld, entries: &[OddEntry]) {
        const CHANGES: usize = 100;
        const CHANGE_PERIOD: Duration = Duration::from_millis(10);
        let key = &entries[0].key;
        let other = &entries[1 + self.rng.random_range(0..entries.len() - 1)];
        for number in 0..CHANGES {
            let value = [&other.value, &entries[0].value][number % 2];
            world.store.put(key, value);
            tokio::time::sleep(CHANGE_PERIOD).await;
        }
    }
}

/// Fields of an entry with their values as JSON text, because no number type holds all of them.
type EntryFields = Vec<(String, String)>;

fn entry_fields(entry: &serde_json::Value) -> EntryFields {
    let fields = entry.as_object().into_iter().flatten();
    fields
        .map(|(name, value)| (name.clone(), value.to_string()))
        .collect()
}

fn set_field(fields: &mut EntryFields, name: &str, value: impl Into<String>) {
    fields.retain(|(field, _value)| field != name);
    fields.push((name.to_owned(), value.into()));
}

fn entry_text(fields: &EntryFields) -> String {
    let fields: Vec<_> = fields
        .iter()
        .map(|(name, value)| format!("\"{name}\":{value}"))
        .collect();
    format!("{{{}}}", fields.join(","))
}

fn draw_service(rng: &mut impl Rng) -> String {
    let number = rng.random_range(0..SHARDS + MOVE_SERVICES.len());
    let moved = number.checked_sub(SHARDS);
    moved.map_or_else(
        || format!("shard{number}"),
        |place| MOVE_SERVICES[place].to_owned(),
    )
}

fn one_of(rng: &mut impl Rng, values: &[&'static str]) -> &'static str {
    values[rng.random_range(0..values.len())]
}

/// Draws an odd entry, at an address where nobody listens.
fn draw_entry(rng: &mut impl Rng, seed: u64, number: usize) -> OddEntry {
    let mut fields = entry_fields(&serde_json::json!({
        "service": draw_service(rng), "address": "127.0.0.1:9", "zone": ZONES[0], "version": "v1",
        "capacity": 2, "state": "ready", "warmupLeftMs": 0, "sequence": 1, "born": 1,
    }));
    let mut key = draw_key(rng, seed, number);
    let mut value = None;
    let what = match rng.random_range(0..12) {
        0..4 => {
            let (field, odd) = (one_of(rng, &NUMBER_FIELDS), one_of(rng, &ODD_NUMBERS));
            set_field(&mut fields, field, odd);
            format!("{field}={odd}")
        }
        4 | 5 => {
            let odd = one_of(rng, &ODD_ADDRESSES);
            set_field(&mut fields, "address", format!("{odd:?}"));
            format!("address={odd}")
        }
        6 => {
            let (open, close) = [("[", "]"), ("{\"a\":", "}")][rng.random_range(0..2)];
            let nested = format!("{}0{}", open.repeat(DEPTH), close.repeat(DEPTH));
            let place = one_of(rng, &["unknown", "zone", "whole"]);
            if place == "whole" {
                value = Some(nested.into_bytes());
            } else {
                set_field(&mut fields, place, nested);
            }
            format!("nested {open} in {place}")
        }
        7 | 8 => {
            let place = rng.random_range(0..fields.len());
            let (name, odd) = (fields[place].0.clone(), one_of(rng, &ODD_VALUES));
            if rng.random_bool(0.3) {
                fields.remove(place);
            } else {
                set_field(&mut fields, &name, odd);
            }
            format!("{name} missing or {odd}")
        }
        9 => {
            let mut bytes = entry_text(&fields).into_bytes();
            bytes.truncate(rng.random_range(0..bytes.len()));
            bytes.extend(rng.random::<[u8; 8]>());
            value = Some(bytes);
            "unreadable bytes".to_owned()
        }
        10 => {
            set_field(
                &mut fields,
                "service",
                format!("\"{}\"", "s".repeat(LONG_TEXT)),
            );
            "long service".to_owned()
        }
        _ => {
            key = draw_own_key(rng, number);
            value = Some(rng.random::<[u8; 16]>().to_vec());
            format!("bytes at {key}")
        }
    };
    OddEntry {
        value: value.unwrap_or_else(|| entry_text(&fields).into_bytes()),
        what: format!("{what} ({})", key.get(..40).unwrap_or(&key)),
        key,
    }
}

/// A key below that of the servers: before, among and behind the real entries, without a name, very long.
fn draw_key(rng: &mut impl Rng, seed: u64, number: usize) -> String {
    let life = rng.random_range(1..20);
    match rng.random_range(0..7) {
        0 => format!("servers/a-odd-{number}"),
        1 | 2 => format!("servers/i-{seed:x}-{life}-odd-{number}"),
        3 => format!("servers/i-{seed:x}-{life}/{number}"),
        4 => format!("servers/odd-{number}"),
        5 => format!("servers/{}{number}", "k".repeat(LONG_KEY)),
        _ => "servers/".to_owned(),
    }
}

/// A key below those of the tier itself, none that it uses.
fn draw_own_key(rng: &mut impl Rng, number: usize) -> String {
    let prefix = one_of(
        rng,
        &["ebonyfork/vm/", "ebonyfork/cold/", "ebonyfork/quota/"],
    );
    match rng.random_range(0..4) {
        0 => prefix.to_owned(),
        // No part of a quota has such a number, and no VM such an address.
        1 => format!("{prefix}{}", 200 + number),
        2 => format!("{prefix}127.0.0.1:9"),
        _ => format!("{prefix}odd-{number}"),
    }
}

#[cfg(test)]
#[path = "odd_entries_tests.rs"]
mod tests;
