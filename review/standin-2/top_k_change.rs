//! A route is removed and added again with another `topK`. A machine that has the new version hands shards to one that still has
//! the old version.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Case;
use crate::platform::Store;
use crate::tools::{Bounds, Caller, Gateway, Network, Record, Reply, Runs, Server, ServerPlan};

const ZONES: [(&str, &str); 2] = [("liberia-a", "guanacaste"), ("limon-a", "limon")];
const SHARDS: usize = 8;
const CONSUMERS: usize = 4;
/// Values of `topK`, in turn.
const TOP: [usize; 2] = [5, 20];
/// Changes of the configuration, each of two versions.
const CHANGES: usize = 4;
/// Time between two versions (pages: `config_storm`, 0.33 s).
const GAP: Duration = Duration::from_millis(330);
/// How long machine 2 is partitioned from the store after a change (pages: `core_cut`, one machine for 5.5 s).
const CUT: Duration = Duration::from_millis(4_500);
/// Calm before each change.
const CALM: Duration = Duration::from_secs(8);
const DEADLINE_MS: u64 = 800;

fn config(version: u64, top: Option<usize>) -> String {
    let shards: Vec<String> = (0..SHARDS)
        .map(|shard| format!("\"owner-portal-{shard}\""))
        .collect();
    let services: Vec<String> = (0..SHARDS)
        .map(|shard| {
            format!(r#"{{"name":"owner-portal-{shard}","maxConns":26,"healthPath":"/health"}}"#)
        })
        .collect();
    let route = top.map_or(String::new(), |top| {
        format!(
            r#"{{"name":"sitting-history","host":"search.example","prefix":"/history/","routeType":"idempotent","timeoutMs":800,
            "sloMs":150,"maxAttempts":2,"priority":1,"gather":[{}],"topK":{top},"minCoverage":0.89}}"#,
            shards.join(",")
        )
    });
    format!(
        r#"{{"version":{version},"routes":[{route}],"services":[{}],
        "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        services.join(",")
    )
}

pub fn run(case: &Case) -> Result<bool, String> {
    let record =
        Record::create(&case.folder.join("record.txt")).map_err(|error| error.to_string())?;
    let network = Network::choose();
    let store = Store::start();
    let runs = Arc::new(Runs::default());
    for shard in 0..SHARDS {
        let zone = ZONES[shard % 2].0;
        for copy in 0..2u8 {
            let plan = ServerPlan {
                service: format!("owner-portal-{shard}"),
                zone,
                capacity: 2,
                queue: 12,
                work: Duration::from_millis(8),
                records: 25,
                seed: shard as u64 + 1,
            };
            let address = network.at(10 + copy, 0);
            let address = std::net::SocketAddr::new(address.ip(), network.port + 10 + shard as u16);
            let server = Server::start(&format!("i-{shard}-{copy}"), address, plan, &runs, &record)
                .map_err(|error| error.to_string())?;
            store.put(&format!("servers/{}", server.id), &server.entry("ready", 1));
        }
    }
    let mut version = 7;
    store.put("op/config", &config(version, Some(TOP[0])));
    let bounds = Bounds {
        zones: ZONES.to_vec(),
        extra: String::new(),
        retry_slack: 58,
        drain_ms: 3000,
    };
    let mut gateways = Vec::new();
    for (number, (zone, _region)) in ZONES.iter().enumerate() {
        let gateway = Gateway::start(case, &network, number as u8 + 1, zone, &store, &bounds);
        gateways.push(gateway.map_err(|error| error.to_string())?);
    }
    for gateway in &gateways {
        if !gateway.wait_ready(Duration::from_secs(10)) {
            return Err("a gateway isn't ready".to_owned());
        }
    }
    thread::sleep(Duration::from_secs(6));
    let ends = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let asked = Arc::new(AtomicUsize::new(0));
    let mut consumers = Vec::new();
    for (machine, gateway) in gateways.iter().enumerate() {
        for consumer in 0..CONSUMERS {
            let (front, ends, answers, asked, record) = (
                gateway.front,
                Arc::clone(&ends),
                Arc::clone(&answers),
                Arc::clone(&asked),
                record.clone(),
            );
            consumers.push(thread::spawn(move || {
                let mut caller = Caller::new(front);
                let mut number = 0;
                while !ends.load(Ordering::Relaxed) {
                    number += 1;
                    asked.fetch_add(1, Ordering::Relaxed);
                    let id = format!("r{machine}-{consumer}-{number}");
                    let request = format!("GET /history/{id} HTTP/1.1\r\nHost: search.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\r\n");
                    record.line(&format!("consumer sends {id} to machine {}", machine + 1));
                    let reply = caller.ask(request.as_bytes(), Duration::from_millis(DEADLINE_MS));
                    if let Reply::Answer(message) = reply {
                        let stamps = message.head.header("part-stamps").unwrap_or("-").to_owned();
                        record.line(&format!("consumer gets {id} status={} records={} parts={stamps}", message.head.status, message.body.len() / 16));
                        if message.head.status == 200 {
                            answers.lock().unwrap().push((id, stamps, message.body));
                        }
                    } else {
                        record.line(&format!("consumer gets {id} {reply:?}"));
                    }
                    thread::sleep(Duration::from_millis(15));
                }
            }));
        }
    }
    for change in 1..=CHANGES {
        thread::sleep(CALM);
        let top = TOP[change % TOP.len()];
        if case.trouble {
            store.cut(gateways[1].ip, true);
            record.line("machine 2 is partitioned from the store");
        }
        thread::sleep(Duration::from_millis(100));
        version += 3;
        store.put("op/config", &config(version, None));
        record.line(&format!("operator: version {version} removes the route"));
        thread::sleep(GAP);
        version += 2;
        store.put("op/config", &config(version, Some(top)));
        record.line(&format!(
            "operator: version {version} adds the route with topK {top}"
        ));
        thread::sleep(CUT);
        store.cut(gateways[1].ip, false);
        record.line("the partition has healed");
    }
    thread::sleep(Duration::from_secs(1));
    ends.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let bodies: HashMap<String, Vec<u8>> = runs
        .runs
        .lock()
        .unwrap()
        .iter()
        .map(|run| (run.stamp.clone(), run.body.clone()))
        .collect();
    let mut wrong = 0;
    let answers = answers.lock().unwrap();
    for (id, stamps, body) in answers.iter() {
        let mut records: Vec<&[u8]> = Vec::new();
        for stamp in stamps.split(',') {
            match bodies.get(stamp.trim()) {
                Some(part) => records.extend(part.chunks_exact(16)),
                None => record.line(&format!(
                    "BROKEN MIXED {id} names a receipt that no server gave: {stamp}"
                )),
            }
        }
        records.sort_unstable_by(|a, b| b.cmp(a));
        let is_right = TOP.iter().any(|top| {
            records
                .iter()
                .take(*top)
                .copied()
                .collect::<Vec<_>>()
                .concat()
                == *body
        });
        if !is_right {
            wrong += 1;
            let first_wrong = body
                .chunks_exact(16)
                .zip(&records)
                .take_while(|(got, due)| got == *due)
                .count();
            record.line(&format!(
                "BROKEN MIXED {id}: {} records, neither the greatest {} nor the greatest {} of its parts; wrong from record {}",
                body.len() / 16,
                TOP[0],
                TOP[1],
                first_wrong + 1
            ));
        }
    }
    let summary = format!(
        "asked={} answered={} wrong={wrong}",
        asked.load(Ordering::Relaxed),
        answers.len()
    );
    record.line(&summary);
    record.flush();
    println!("{summary}");
    if answers.len() < 1_000 {
        return Err("too few answers".to_owned());
    }
    Ok(wrong > 0)
}
