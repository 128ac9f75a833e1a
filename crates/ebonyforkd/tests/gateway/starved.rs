//! Callers of one service, organisation or kind that are never served while all others are.

use super::*;

/// Requests of each service that are judged.
const TRIES: usize = 20;
/// Number of services; the keys of half of them sort behind the odd entry.
const SERVICES: usize = 6;
/// Key of another writer's entry. It sorts among those of the upstreams.
const ODD_KEY: &str = "servers/i-2-odd-0";

/// Services with one upstream each and a route each, beside a store.
struct ManyServices {
    store: StoreServer,
    upstreams: Vec<UpstreamServer>,
}

fn service_name(number: usize) -> String {
    format!("s{number}")
}

/// Returns a configuration with a route for each service.
fn services_config(version: u64) -> String {
    let numbers = 0..SERVICES;
    let routes = numbers.clone().map(|number| {
        format!(
            r#"{{"name":"r{number}","host":"t.example","prefix":"/r{number}/","routeType":"idempotent",
            "timeoutMs":4000,"sloMs":500,"maxAttempts":2,"service":"s{number}"}}"#
        )
    });
    let services = numbers.map(|number| format!(r#"{{"name":"s{number}","maxConns":200}}"#));
    let (routes, services) = (
        routes.collect::<Vec<_>>().join(","),
        services.collect::<Vec<_>>().join(","),
    );
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{services}],
        "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

impl ManyServices {
    /// Starts with an upstream for each of the first `registered` services.
    async fn start(registered: usize) -> Self {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = StoreServer::start(free).await.expect("a store");
        let mut services = Self {
            store,
            upstreams: Vec::new(),
        };
        for number in 0..registered {
            // Keys `i-0-...` to `i-5-...`: the odd one sorts in the middle.
            services.add_upstream(number).await;
        }
        let config = services_config(3);
        services.store.put("op/config", config);
        services
    }

    /// Registers an upstream of a service.
    async fn add_upstream(&mut self, number: usize) {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        let instance = format!("i-{number}-{}", self.upstreams.len());
        let work = Duration::from_millis(5);
        let upstream = UpstreamServer::start(free, &instance, &service_name(number), work).await;
        let upstream = upstream.expect("an upstream");
        let key = format!("servers/{instance}");
        self.store.put(&key, upstream.entry("a-1", "ready"));
        self.upstreams.push(upstream);
    }

    /// Registers an entry that is that of an upstream but for the time for which it stays slow.
    fn put_odd_entry(&self) {
        let entry = self.upstreams[0].entry("a-1", "ready");
        let mut entry: serde_json::Value = serde_json::from_str(&entry).expect("an entry");
        entry["warmupLeftMs"] = 1e22.into();
        self.store.put(ODD_KEY, entry.to_string());
    }
}

/// Returns how many requests of each service a VM answers with success.
async fn count_served(gateway: &GatewayProcess) -> [usize; SERVICES] {
    let mut served = [0; SERVICES];
    for attempt in 0..TRIES {
        for (number, served) in served.iter_mut().enumerate() {
            let id = format!("r-{number}-{attempt}");
            let answer = get(gateway.callers, &format!("/r{number}/1"), &id).await;
            *served += usize::from(answer.is_some_and(|answer| answer.status() == 200));
        }
    }
    served
}

/// An odd entry must cost just itself: a VM that started beside it applied no entry that sorts behind it, counted as
/// ready, and answered 503 to every request for the services of these entries.
#[gtest]
#[tokio::test]
async fn a_vm_that_starts_beside_an_odd_entry_serves_every_service() {
    let services = ManyServices::start(SERVICES).await;
    let mut running = Vec::new();
    for (name, address) in [
        ("starved-a", "127.230.0.100"),
        ("starved-b", "127.230.0.101"),
        ("starved-c", "127.230.0.102"),
    ] {
        let gateway = start_gateway(name, address, services.store.address());
        wait_status(gateway.ready, "/v1/ready", 200).await;
        running.push(gateway);
    }
    services.put_odd_entry();
    // The entry has reached the running VMs by now, and stands in what they pass on.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let late = start_gateway("starved-d", "127.230.0.103", services.store.address());
    wait_status(late.ready, "/v1/ready", 200).await;
    expect_that!(count_served(&late).await, eq([TRIES; SERVICES]));
    for gateway in &running {
        expect_that!(count_served(gateway).await, eq([TRIES; SERVICES]));
    }
}

/// A VM that runs must go on following the store after an odd entry: it applied nothing any more, so a service that came
/// later got 503 for ever.
#[gtest]
#[tokio::test]
async fn a_service_that_registers_after_an_odd_entry_is_served() {
    let mut services = ManyServices::start(SERVICES - 1).await;
    let gateway = start_gateway("starved-e", "127.230.0.104", services.store.address());
    wait_status(gateway.callers, "/r0/1", 200).await;
    services.put_odd_entry();
    tokio::time::sleep(Duration::from_secs(1)).await;
    services.add_upstream(SERVICES - 1).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    expect_that!(count_served(&gateway).await, eq([TRIES; SERVICES]));
}
