//! The burst of one tenant's quota is lowered by one version and restored by another some seconds later.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Case;
use crate::platform::Store;
use crate::tools::{Bounds, Caller, Gateway, Network, Record, Reply, Runs, Server, ServerPlan};

const ZONES: [(&str, &str); 2] = [("central-a", "guate-central"), ("pacifico-a", "pacifico")];
const RATE: f64 = 20.0;
const BURST: f64 = 150.0;
const LOW_BURST: f64 = 1.0;
/// Bounds of the site.
const WINDOW_S: f64 = 5.0;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
/// Consumers of the tenant at each machine.
const CONSUMERS: usize = 12;
/// Rounds of 14 s: their moments spread over the ten seconds between two clean-ups of the program.
const ROUNDS: usize = 7;
/// Time in which the tenant sends nothing and its buckets fill.
const REST: Duration = Duration::from_millis(8_900);
/// Time in which the tenant sends many times its usual, before the first version and after the second.
const PRESS: [Duration; 2] = [Duration::from_millis(500), Duration::from_millis(600)];
/// Time between the two versions.
const LOWERED: Duration = Duration::from_millis(3_600);

fn config(version: u64, burst: f64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"live-roster","host":"meet.example","prefix":"/roster/","routeType":"idempotent",
        "timeoutMs":1200,"sloMs":100,"maxAttempts":2,"priority":0,"service":"archivo-actas"}}],
        "services":[{{"name":"archivo-actas","maxConns":520,"healthPath":"/health"}}],
        "tenants":[{{"name":"north","apiKeys":["key-north"],"ratePerS":{RATE},"burstSize":{burst}}},{{"name":"south","apiKeys":["key-south"]}}],
        "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

pub fn run(case: &Case) -> Result<bool, String> {
    let record =
        Record::create(&case.folder.join("record.txt")).map_err(|error| error.to_string())?;
    let network = Network::choose();
    let store = Store::start();
    let runs = Arc::new(Runs::default());
    for number in 0..2u8 {
        let plan = ServerPlan {
            service: "archivo-actas".to_owned(),
            zone: ZONES[usize::from(number)].0,
            capacity: 40,
            queue: 40,
            work: Duration::from_millis(3),
            records: 0,
            seed: u64::from(number),
        };
        let address = SocketAddr::new(network.ip(10 + number), network.port + 10);
        let server = Server::start(&format!("i-{number}"), address, plan, &runs, &record)
            .map_err(|error| error.to_string())?;
        store.put(&format!("servers/{}", server.id), &server.entry("ready", 1));
    }
    let mut version = 7;
    store.put("op/config", &config(version, BURST));
    let extra =
        format!("quota-window-s = {WINDOW_S}\nquota-overage = {OVERAGE}\nquota-slack = {SLACK}\n");
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
    // Machines claim the parts of the quota once they know one another.
    thread::sleep(Duration::from_secs(5));
    let ends = Arc::new(AtomicBool::new(false));
    // Consumers at each machine that send now.
    let pressing = Arc::new(AtomicUsize::new(0));
    let sent = Arc::new(Mutex::new(HashMap::new()));
    let served = Arc::new(AtomicUsize::new(0));
    let mut consumers = Vec::new();
    for (machine, gateway) in gateways.iter().enumerate() {
        for consumer in 0..CONSUMERS {
            let (front, ends, pressing, sent, served, record) = (
                gateway.front,
                Arc::clone(&ends),
                Arc::clone(&pressing),
                Arc::clone(&sent),
                Arc::clone(&served),
                record.clone(),
            );
            consumers.push(thread::spawn(move || {
                let mut caller = Caller::new(front);
                let mut number = 0;
                while !ends.load(Ordering::Relaxed) {
                    if consumer >= pressing.load(Ordering::Relaxed) {
                        thread::sleep(Duration::from_millis(5));
                        continue;
                    }
                    number += 1;
                    let id = format!("r{machine}-{consumer}-{number}");
                    record.line(&format!("consumer sends {id} to machine {}", machine + 1));
                    sent.lock().unwrap().insert(id.clone(), record.at());
                    let request = format!(
                        "GET /roster/{id} HTTP/1.1\r\nHost: meet.example\r\nAuthorization: Bearer key-north\r\nRequest-Id: {id}\r\nDeadline-Ms: 1200\r\n\r\n"
                    );
                    let reply = caller.ask(request.as_bytes(), Duration::from_millis(1_200));
                    let mut pause = 0.004;
                    if let Reply::Answer(message) = &reply {
                        record.line(&format!("consumer gets {id} status={}", message.head.status));
                        served.fetch_add(usize::from(message.head.status == 200), Ordering::Relaxed);
                        if message.head.status != 200 {
                            pause = message.head.header("retry-after").and_then(|text| text.parse().ok()).unwrap_or(0.05);
                        }
                    }
                    thread::sleep(Duration::from_secs_f64(f64::min(pause, 0.1)));
                }
            }));
        }
    }
    for _round in 0..ROUNDS {
        pressing.store(0, Ordering::Relaxed);
        thread::sleep(REST);
        pressing.store(CONSUMERS, Ordering::Relaxed);
        record.line("the tenant sends many times its usual");
        thread::sleep(PRESS[0]);
        pressing.store(1, Ordering::Relaxed);
        if case.trouble {
            version += 2;
            store.put("op/config", &config(version, LOW_BURST));
            record.line(&format!(
                "operator: version {version} lowers burstSize to {LOW_BURST}"
            ));
        }
        // A few requests under the lower quota, then none.
        thread::sleep(Duration::from_millis(300));
        pressing.store(0, Ordering::Relaxed);
        thread::sleep(LOWERED - Duration::from_millis(300));
        if case.trouble {
            version += 3;
            store.put("op/config", &config(version, BURST));
            record.line(&format!(
                "operator: version {version} restores burstSize {BURST}"
            ));
        }
        thread::sleep(Duration::from_millis(400));
        pressing.store(CONSUMERS, Ordering::Relaxed);
        thread::sleep(PRESS[1]);
    }
    ends.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let sent = sent.lock().unwrap();
    let arrivals: Vec<(f64, f64)> = runs
        .runs
        .lock()
        .unwrap()
        .iter()
        .filter_map(|run| Some((*sent.get(&run.id)?, run.at)))
        .collect();
    let mut most = 0;
    for (begin, _) in &arrivals {
        let count = arrivals
            .iter()
            .filter(|(sent, ran)| sent >= begin && *ran < begin + WINDOW_S)
            .count();
        if count > most {
            most = count;
            record.line(&format!("window from {begin:.3}: {count} requests"));
        }
    }
    let bound = (RATE * WINDOW_S + BURST) * (1.0 + OVERAGE) + SLACK;
    let summary = format!(
        "served={} most-in-a-window={most} bound={bound}",
        served.load(Ordering::Relaxed)
    );
    record.line(&summary);
    if most as f64 > bound {
        record.line("BROKEN QUOTA");
    }
    record.flush();
    println!("{summary}");
    if served.load(Ordering::Relaxed) < 1_000 {
        return Err("too few answers".to_owned());
    }
    Ok(most as f64 > bound)
}
