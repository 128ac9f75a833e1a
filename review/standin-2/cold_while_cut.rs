//! A server becomes cold and says so in the store while one machine is partitioned from the store.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Case;
use crate::platform::Store;
use crate::tools::{Bounds, Caller, Gateway, Network, Record, Reply, Runs, Server, ServerPlan};

/// Zone of the servers and of machine 1, and zone of machine 2.
const ZONES: [(&str, &str); 2] = [("central-a", "guate-central"), ("pacifico-a", "pacifico")];
/// What a cold server tolerates, as the configuration and the settings state it.
const WARMUP_PER_S: f64 = 2.0;
const COLD_OVERAGE: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
const WARMUP: Duration = Duration::from_secs(3);
/// Consumers of machine 2, and the pause of each between two requests: about 32 requests a second, 16 for each server.
const CONSUMERS: u64 = 4;
const PERIOD: Duration = Duration::from_millis(125);
/// How often a server becomes cold.
const ROUNDS: u64 = 5;
/// How long machine 2 is partitioned from the store (pages: `core_cut`, one machine for 5.5 s).
const CUT: Duration = Duration::from_millis(5_000);
const CALM: Duration = Duration::from_secs(9);

pub fn run(case: &Case) -> Result<bool, String> {
    let record =
        Record::create(&case.folder.join("record.txt")).map_err(|error| error.to_string())?;
    let network = Network::choose();
    let store = Store::start();
    let runs = Arc::new(Runs::default());
    let mut servers = Vec::new();
    for number in 0..2u8 {
        let plan = ServerPlan {
            service: "archivo-actas".to_owned(),
            zone: ZONES[0].0,
            capacity: 2,
            queue: 8,
            work: Duration::from_millis(5),
            records: 0,
            seed: u64::from(number),
        };
        let address = SocketAddr::new(network.ip(10 + number), network.port + 10);
        let server = Server::start(&format!("i-{number}"), address, plan, &runs, &record)
            .map_err(|error| error.to_string())?;
        store.put(&format!("servers/{}", server.id), &server.entry("ready", 1));
        servers.push(server);
    }
    store.put(
        "op/config",
        &format!(
            r#"{{"version":7,"routes":[{{"name":"archive-fetch","host":"meet.example","prefix":"/archive/","routeType":"idempotent",
            "timeoutMs":8000,"sloMs":1500,"maxAttempts":2,"priority":2,"service":"archivo-actas"}}],
            "services":[{{"name":"archivo-actas","maxConns":60,"healthPath":"/health","warmupS":3.0,"warmupPerS":{WARMUP_PER_S}}}],
            "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
        ),
    );
    let extra =
        format!("evacuation-ms = 5000\ncold-overage = {COLD_OVERAGE}\ncold-slack = {COLD_SLACK}\n");
    let bounds = Bounds {
        zones: ZONES.to_vec(),
        extra,
        retry_slack: 192,
        drain_ms: 5000,
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
    let ends = Arc::new(AtomicBool::new(false));
    let served = Arc::new(Mutex::new(0));
    let mut consumers = Vec::new();
    for consumer in 0..CONSUMERS {
        let (front, ends, served, record) = (
            gateways[1].front,
            Arc::clone(&ends),
            Arc::clone(&served),
            record.clone(),
        );
        consumers.push(thread::spawn(move || {
            let mut caller = Caller::new(front);
            let mut number = 0;
            let mut due = Instant::now() + PERIOD.mul_f64(consumer as f64 / CONSUMERS as f64);
            while !ends.load(Ordering::Relaxed) {
                thread::sleep(due.saturating_duration_since(Instant::now()));
                due += PERIOD;
                number += 1;
                let id = format!("r{consumer}-{number}");
                record.line(&format!("consumer sends {id} to machine 2"));
                let request = format!("GET /archive/{id} HTTP/1.1\r\nHost: meet.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 8000\r\n\r\n");
                match caller.ask(request.as_bytes(), Duration::from_secs(8)) {
                    Reply::Answer(message) => {
                        record.line(&format!("consumer gets {id} status={}", message.head.status));
                        *served.lock().unwrap() += u32::from(message.head.status == 200);
                    }
                    other => record.line(&format!("consumer gets {id} {other:?}")),
                }
            }
        }));
    }
    // Servers write to the store every 1.2 s; only a change of more than the count makes a difference to the machines.
    let mut cold_times = Vec::new();
    for round in 0..ROUNDS {
        thread::sleep(CALM);
        let server = &servers[(round % 2) as usize];
        if case.trouble {
            store.cut(gateways[1].ip, true);
            record.line("machine 2 is partitioned from the store");
        }
        thread::sleep(Duration::from_millis(100));
        let cold_from = record.at();
        record.line(&format!(
            "server {} becomes cold and writes so to the store",
            server.id
        ));
        server.set_cold(WARMUP);
        store.put(
            &format!("servers/{}", server.id),
            &server.entry("ready", 2 + 2 * round),
        );
        cold_times.push((
            server.id.clone(),
            cold_from,
            cold_from + WARMUP.as_secs_f64(),
        ));
        thread::sleep(WARMUP);
        record.line(&format!("server {} is warm", server.id));
        store.put(
            &format!("servers/{}", server.id),
            &server.entry("ready", 3 + 2 * round),
        );
        thread::sleep(CUT - WARMUP - Duration::from_millis(100));
        store.cut(gateways[1].ip, false);
        record.line("the partition has healed");
    }
    ends.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let bound = WARMUP_PER_S * COLD_OVERAGE + COLD_SLACK;
    let runs = runs.runs.lock().unwrap();
    let mut broken = 0;
    let mut most_of_all = 0;
    for (server, from, to) in &cold_times {
        let arrivals: Vec<f64> = runs
            .iter()
            .filter(|run| run.server == *server && run.at >= *from && run.at < *to)
            .map(|run| run.at)
            .collect();
        let in_second = |begin: f64| {
            arrivals
                .iter()
                .filter(|at| **at >= begin && **at < begin + 1.0)
                .count()
        };
        let most = arrivals.iter().map(|at| in_second(*at)).max().unwrap_or(0);
        most_of_all = most_of_all.max(most);
        record.line(&format!("server {server}, cold from {from:.3} to {to:.3}: at most {most} requests in one second, the bound is {bound}"));
        if most as f64 > bound {
            broken += 1;
            record.line(&format!("BROKEN FAILBACK {server}"));
        }
    }
    let summary = format!(
        "served={} cold={} broken={broken} most-in-a-second={most_of_all} bound={bound}",
        served.lock().unwrap(),
        cold_times.len()
    );
    record.line(&summary);
    record.flush();
    println!("{summary}");
    if *served.lock().unwrap() < 1_000 {
        return Err("too few answers".to_owned());
    }
    Ok(broken > 0)
}
