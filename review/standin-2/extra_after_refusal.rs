//! A full server declines a request that may run once, and an extra copy of that refusal arrives late, where the answer to the
//! repeat of the same request on the same connection is expected.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Case;
use crate::platform::Store;
use crate::tools::{
    Bounds, Caller, Gateway, Network, Record, Reply, Runs, Server, ServerPlan, runs_by_id,
};

const ZONE: &str = "sudogwon-a";
/// Machines of the system, as many as the small deployment has.
const MACHINES: u8 = 9;
/// Services with a route of their own, each of two servers. One consumer of each route uses each machine.
const SERVICES: usize = 5;
/// Length of the traffic.
const TRAFFIC: Duration = Duration::from_secs(66);
/// Length of a disruption, and the calm after it (pages: 5 s; any kind of trouble may come more than once).
const GARBLE: Duration = Duration::from_secs(5);
const CALM: Duration = Duration::from_secs(1);
/// Time that a consumer waits.
const DEADLINE_MS: u64 = 2_000;

pub fn run(case: &Case) -> Result<bool, String> {
    let record =
        Record::create(&case.folder.join("record.txt")).map_err(|error| error.to_string())?;
    let network = Network::choose();
    let store = Store::start();
    let runs = Arc::new(Runs::default());
    let mut servers = Vec::new();
    let (mut routes, mut services) = (Vec::new(), Vec::new());
    for service in 0..SERVICES {
        for copy in 0..2u8 {
            let plan = ServerPlan {
                service: format!("desk-{service}"),
                zone: ZONE,
                capacity: 2,
                queue: 1,
                work: Duration::from_millis(20),
                records: 0,
                seed: u64::from(copy) + 2 * service as u64,
            };
            let address =
                SocketAddr::new(network.ip(10 + copy), network.port + 10 + service as u16);
            let server = Server::start(
                &format!("i-{service}-{copy}"),
                address,
                plan,
                &runs,
                &record,
            )
            .map_err(|error| error.to_string())?;
            store.put(&format!("servers/{}", server.id), &server.entry("ready", 1));
            servers.push(server);
        }
        routes.push(format!(
            r#"{{"name":"update-{service}","host":"lookup.example","prefix":"/juror-{service}/","routeType":"non_idempotent",
            "timeoutMs":2000,"sloMs":300,"maxAttempts":2,"priority":1,"service":"desk-{service}"}}"#
        ));
        services.push(format!(
            r#"{{"name":"desk-{service}","maxConns":26,"healthPath":"/health"}}"#
        ));
    }
    store.put(
        "op/config",
        &format!(
            r#"{{"version":7,"routes":[{}],"services":[{}],
            "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
            routes.join(","),
            services.join(",")
        ),
    );
    let bounds = Bounds {
        zones: vec![(ZONE, "sudogwon")],
        extra: String::new(),
        retry_slack: 58,
        drain_ms: 4000,
    };
    let mut gateways = Vec::new();
    for machine in 1..=MACHINES {
        let gateway = Gateway::start(case, &network, machine, ZONE, &store, &bounds);
        gateways.push(gateway.map_err(|error| error.to_string())?);
    }
    for gateway in &gateways {
        if !gateway.wait_ready(Duration::from_secs(10)) {
            return Err("a gateway isn't ready".to_owned());
        }
    }
    thread::sleep(Duration::from_secs(3));
    let ends = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let mut consumers = Vec::new();
    for (machine, gateway) in gateways.iter().enumerate() {
        for service in 0..SERVICES {
            let (front, ends, answers, record) = (
                gateway.front,
                Arc::clone(&ends),
                Arc::clone(&answers),
                record.clone(),
            );
            consumers.push(thread::spawn(move || {
                let mut caller = Caller::new(front);
                let mut number = 0;
                while !ends.load(Ordering::Relaxed) {
                    number += 1;
                    let id = format!("r{machine}-{service}-{number}");
                    let body = format!("deferral of juror {id}");
                    let request = format!(
                        "POST /juror-{service}/{id} HTTP/1.1\r\nHost: lookup.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {DEADLINE_MS}\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    record.line(&format!("consumer sends {id} to machine {}", machine + 1));
                    let reply = caller.ask(request.as_bytes(), Duration::from_millis(DEADLINE_MS));
                    let (status, stamp) = match &reply {
                        Reply::Answer(message) => (message.head.status, message.head.header("response-stamp").unwrap_or("-").to_owned()),
                        _ => (0, "-".to_owned()),
                    };
                    record.line(&format!("consumer gets {id} status={status} stamp={stamp}"));
                    answers.lock().unwrap().push((id, status));
                    let pause = match &reply {
                        Reply::Answer(message) => message.head.header("retry-after").and_then(|text| text.parse().ok()).unwrap_or(0.005),
                        _ => 0.1,
                    };
                    thread::sleep(Duration::from_secs_f64(pause));
                }
            }));
        }
    }
    let until = Instant::now() + TRAFFIC;
    while Instant::now() < until {
        if case.trouble {
            record.line("garble begins at one server of each service");
            servers
                .iter()
                .step_by(2)
                .for_each(|server| server.garbles.store(true, Ordering::Relaxed));
        }
        thread::sleep(GARBLE);
        servers
            .iter()
            .for_each(|server| server.garbles.store(false, Ordering::Relaxed));
        record.line("garble ends");
        thread::sleep(CALM);
    }
    ends.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    thread::sleep(Duration::from_secs(3));
    let counts = runs_by_id(&runs);
    let (mut refused, mut twice, mut served) = (0, 0, 0);
    for (id, status) in answers.lock().unwrap().iter() {
        let count = counts.get(id).copied().unwrap_or(0);
        served += usize::from(*status == 200);
        if matches!(status, 408 | 421 | 429 | 503) && count > 0 {
            refused += 1;
            record.line(&format!(
                "BROKEN REFUSED {id} was answered {status} and ran {count} times"
            ));
        }
        if count > 1 {
            twice += 1;
            record.line(&format!(
                "BROKEN TWICE {id} ran {count} times, answered {status}"
            ));
        }
    }
    let summary = format!(
        "requests={} served={served} declined={} extras={} refused-but-run={refused} run-twice={twice}",
        answers.lock().unwrap().len(),
        runs.declined.load(Ordering::Relaxed),
        runs.extras.load(Ordering::Relaxed)
    );
    record.line(&summary);
    record.flush();
    println!("{summary}");
    Ok(refused + twice > 0)
}
