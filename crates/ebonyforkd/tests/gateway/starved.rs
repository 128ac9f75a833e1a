//! Callers of one service, organisation or kind that are never served while all others are.

use ebonyfork_stand_in::store_faults::StoreFaults;

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

    fn put_odd_entry(&self) {
        self.store.put(ODD_KEY, odd_entry(&self.upstreams[0]));
    }
}

/// Returns an entry that is that of an upstream but for the time for which it stays slow.
fn odd_entry(upstream: &UpstreamServer) -> String {
    let entry = upstream.entry("a-1", "ready");
    let mut entry: serde_json::Value = serde_json::from_str(&entry).expect("an entry");
    entry["warmupLeftMs"] = 1e22.into();
    entry.to_string()
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

const CREDENTIAL: &str = "bc582dm2buc7takhi73v";
const ADDED_CREDENTIAL: &str = "r5y2k9d7w3nq0a8x4v6t";

/// Returns an organisation of the configuration.
fn organisation(name: &str, credential: &str) -> String {
    format!(r#"{{"name":"{name}","apiKeys":["{credential}"],"ratePerS":50,"burstSize":50}}"#)
}

/// Returns a configuration with organisations and with one route at a prefix.
fn organisations_config(version: u64, prefix: &str, organisations: &[&str]) -> String {
    let tenants = format!(r#""tenants":[{}],"routes""#, organisations.join(","));
    let config = config(version, "idempotent").replace("\"routes\"", &tenants);
    config.replace("/r/", prefix)
}

async fn status_for(gateway: &GatewayProcess, target: &str, credential: &str) -> Option<u16> {
    let bearer = format!("Bearer {credential}");
    let answer = get_with(
        gateway.callers,
        target,
        "o-1",
        &[("authorization", &bearer)],
    )
    .await;
    answer.map(|answer| answer.status().as_u16())
}

/// Asks again for two seconds, far more than a change takes on one machine. Returns the last status.
async fn wait_served(gateway: &GatewayProcess, target: &str, credential: &str) -> Option<u16> {
    let begun = Instant::now();
    loop {
        let status = status_for(gateway, target, credential).await;
        if status == Some(200) || begun.elapsed() > Duration::from_secs(2) {
            return status;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Starts a store that states no era: a process that learns of one writes no claim on a quota for 28 s.
async fn store_without_era() -> (StoreServer, UpstreamServer) {
    let (store, upstream) = store_and_upstream().await;
    store.set_faults(StoreFaults {
        omits_era: true,
        ..StoreFaults::default()
    });
    (store, upstream)
}

/// Guards against an organisation that is never served because its credential came with a version later than an odd
/// entry: its callers got 401, which nobody repeats, and 503 `old-config` once the copy of the store was old.
#[gtest]
#[tokio::test]
async fn an_organisation_that_is_added_after_an_odd_entry_is_served() {
    let (store, upstream) = store_without_era().await;
    let first = organisation("first", CREDENTIAL);
    let added = organisation("added", ADDED_CREDENTIAL);
    store.put("op/config", organisations_config(3, "/r/", &[&first]));
    let gateway = start_gateway("starved-f", "127.230.0.105", store.address());
    wait_status(gateway.ready, "/v1/ready", 200).await;
    // A new process claims no part of a quota in its first seconds.
    tokio::time::sleep(Duration::from_secs(4)).await;
    expect_that!(
        wait_served(&gateway, "/r/1", CREDENTIAL).await,
        some(eq(200))
    );
    store.put(ODD_KEY, odd_entry(&upstream));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let config = organisations_config(4, "/r/", &[&first, &added]);
    store.put("op/config", config);
    let status = wait_served(&gateway, "/r/2", ADDED_CREDENTIAL).await;
    expect_that!(status, some(eq(200)));
}

/// Starts a gateway with one organisation, which is served.
async fn start_with_organisation(name: &str, address: &str, store: &StoreServer) -> GatewayProcess {
    let good = organisation("good", CREDENTIAL);
    store.put("op/config", organisations_config(1, "/r/", &[&good]));
    let gateway = start_gateway(name, address, store.address());
    wait_status(gateway.ready, "/v1/ready", 200).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let status = wait_served(&gateway, "/r/1", CREDENTIAL).await;
    expect_that!(status, some(eq(200)));
    gateway
}

/// Guards against an extreme number of one organisation that costs all callers the version: they were sent to where a moved
/// route was, a credential that the version removes stayed valid, and one that it adds got 401.
#[gtest]
#[tokio::test]
async fn an_extreme_organisation_does_not_cost_the_others_the_version() {
    let (store, _upstream) = store_without_era().await;
    let good = organisation("good", CREDENTIAL);
    let gateway = start_with_organisation("starved-g", "127.230.0.106", &store).await;
    let extreme_organisations = [
        r#"{"name":"odd","apiKeys":["k"],"ratePerS":1e400}"#,
        r#"{"name":"odd","apiKeys":["k"],"ratePerS":1e300,"burstSize":1e300}"#,
        r#"{"name":"odd","apiKeys":["k"],"ratePerS":1e-300}"#,
        r#"{"name":"odd","apiKeys":["k"],"priority":300}"#,
        r#"{"name":"odd","apiKeys":["k"],"priority":7.0}"#,
        r#"{"name":"","apiKeys":["k"]}"#,
    ];
    for (version, odd) in (2..).zip(extreme_organisations) {
        let prefix = format!("/v{version}/");
        let config = organisations_config(version, &prefix, &[odd, &good]);
        store.put("op/config", config);
        let target = format!("{prefix}1");
        let status = wait_served(&gateway, &target, CREDENTIAL).await;
        expect_that!(status, some(eq(200)), "{odd}");
        // The organisation itself may be refused, but its request must not cost the others anything.
        let _status = status_for(&gateway, &target, "k").await;
        let status = wait_served(&gateway, &target, CREDENTIAL).await;
        expect_that!(status, some(eq(200)), "after a request of {odd}");
    }
}

/// Guards against a version of which a part is put in force: one that can't be read is refused as a whole, the version in
/// force stays, and the next one that can be read takes its place.
#[gtest]
#[tokio::test]
async fn a_version_with_an_unreadable_organisation_is_refused_as_a_whole() {
    let (store, _upstream) = store_without_era().await;
    let good = organisation("good", CREDENTIAL);
    let gateway = start_with_organisation("starved-h", "127.230.0.107", &store).await;
    let unreadable_organisations = [
        r#"{"name":"odd","apiKeys":["k"],"ratePerS":"2"}"#,
        r#"{"name":"odd","apiKeys":["k"],"ratePerS":-1}"#,
        r#"{"name":"odd","apiKeys":["k"],"ratePerS":1,"burstSize":null}"#,
        r#"{"name":"odd","apiKeys":["k"],"priority":-1}"#,
        r#"{"name":"odd","apiKeys":["k"],"priority":"high"}"#,
        r#"{"apiKeys":["k"]}"#,
        r#"{"name":7,"apiKeys":["k"]}"#,
        r#"{"name":"odd","apiKeys":7}"#,
        r#"{"name":"odd","apiKeys":["k",7]}"#,
        r#"{"name":"good","apiKeys":["k"]}"#,
        "7",
    ];
    for (round, odd) in (1..).zip(unreadable_organisations) {
        let odd_prefix = format!("/odd{round}/");
        let odd_config = organisations_config(round * 2, &odd_prefix, &[odd, &good]);
        store.put("op/config", odd_config);
        tokio::time::sleep(Duration::from_millis(200)).await;
        let status = status_for(&gateway, &format!("{odd_prefix}1"), CREDENTIAL).await;
        expect_that!(status, some(eq(404)), "{odd}");
        let prefix = format!("/v{round}/");
        let config = organisations_config(round * 2 + 1, &prefix, &[&good]);
        store.put("op/config", config);
        let status = wait_served(&gateway, &format!("{prefix}1"), CREDENTIAL).await;
        expect_that!(status, some(eq(200)), "after {odd}");
    }
}

/// Number of organisations with small quotas.
const SMALL_ORGANISATIONS: usize = 40;
/// Routes of three kinds: name, target and priority.
const KINDS: [(&str, u32, u8); 3] = [("urgent", 100, 0), ("usual", 300, 1), ("patient", 1_500, 2)];

/// What is tolerated in addition to a quota, as large deployments state it: a small quota then has four parts.
const QUOTA_BOUND: &str = "quota-window-s = 5\nquota-overage = 0.1\nquota-slack = 20\n";

/// Returns a configuration with small organisations and a route for each kind of request.
fn small_config() -> String {
    let organisations = (0..SMALL_ORGANISATIONS).map(|number| {
        let (rate, burst) = (1 + number % 3, 1 + number % 2);
        format!(
            r#"{{"name":"small-{number}","apiKeys":["credential-{number}"],"ratePerS":{rate},"burstSize":{burst}}}"#
        )
    });
    let routes = KINDS.map(|(name, target, priority)| {
        format!(
            r#"{{"name":"{name}","host":"t.example","prefix":"/{name}/","routeType":"idempotent","timeoutMs":4000,
            "sloMs":{target},"maxAttempts":2,"service":"s","priority":{priority}}}"#
        )
    });
    format!(
        r#"{{"version":3,"tenants":[{}],"routes":[{}],"services":[{{"name":"s","maxConns":400}}],
        "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        organisations.collect::<Vec<_>>().join(","),
        routes.join(",")
    )
}

/// Served and sent requests by organisation and by kind.
#[derive(Debug)]
struct ServedCounts {
    organisations: [(usize, usize); SMALL_ORGANISATIONS],
    kinds: [(usize, usize); 3],
}

impl ServedCounts {
    /// Returns the share of all requests that is served, and the smallest share of an organisation and of a kind.
    fn shares(&self) -> (f64, f64, f64) {
        let share = |(served, sent): &(usize, usize)| *served as f64 / (*sent).max(1) as f64;
        let sum = |counts: &[(usize, usize)]| {
            counts
                .iter()
                .fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
        };
        let least = |counts: &[(usize, usize)]| counts.iter().map(share).fold(1.0, f64::min);
        (
            share(&sum(&self.kinds)),
            least(&self.organisations),
            least(&self.kinds),
        )
    }
}

/// Sends requests of all organisations at half of their limit, each at a random VM.
async fn send_calm(gateways: &[GatewayProcess], period: Duration) -> ServedCounts {
    let mut sent = tokio::task::JoinSet::new();
    let callers: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.callers).collect();
    for organisation in 0..SMALL_ORGANISATIONS {
        let callers = callers.clone();
        sent.spawn(async move {
            let pause = Duration::from_secs(2) / (1 + organisation as u32 % 3);
            // Organisations send at different times.
            tokio::time::sleep(pause.mul_f64(organisation as f64 / SMALL_ORGANISATIONS as f64))
                .await;
            let begun = Instant::now();
            let mut answers = Vec::new();
            while begun.elapsed() < period {
                let number = answers.len();
                let kind = (organisation + number) % KINDS.len();
                let address = callers[(organisation * 7 + number * 5) % callers.len()];
                let bearer = format!("Bearer credential-{organisation}");
                let target = format!("/{}/1", KINDS[kind].0);
                let id = format!("c-{organisation}-{number}");
                let answer = get_with(address, &target, &id, &[("authorization", &bearer)]).await;
                answers.push((kind, answer.is_some_and(|answer| answer.status() == 200)));
                tokio::time::sleep(pause).await;
            }
            (organisation, answers)
        });
    }
    let mut counts = ServedCounts {
        organisations: [(0, 0); SMALL_ORGANISATIONS],
        kinds: [(0, 0); 3],
    };
    while let Some(result) = sent.join_next().await {
        let (organisation, answers) = result.expect("the task ends");
        for (kind, is_served) in answers {
            for count in [
                &mut counts.organisations[organisation],
                &mut counts.kinds[kind],
            ] {
                count.0 += usize::from(is_served);
                count.1 += 1;
            }
        }
    }
    counts
}

/// Guards against organisations with small quotas, or kinds of their requests, that are served less than a quarter as
/// often as all: in calm, and after three of nine VMs were killed.
#[gtest]
#[tokio::test]
async fn small_organisations_and_all_kinds_are_served() {
    let (store, _upstream) = store_without_era().await;
    store.put("op/config", small_config());
    let zones = "a-1 = a\na-2 = a\nb-1 = b";
    let mut gateways = Vec::new();
    for number in 0..9 {
        let zone = ["a-1", "a-2", "b-1"][number % 3];
        let name = format!("small-{number}");
        let address = format!("127.230.0.{}", 110 + number);
        let place = (Duration::from_secs(4), zone, zones);
        let store = store.address();
        gateways.push(start_gateway_with(
            &name,
            &address,
            store,
            place,
            QUOTA_BOUND,
        ));
    }
    for gateway in &gateways {
        wait_status(gateway.ready, "/v1/ready", 200).await;
    }
    // Parts are claimed 3 s after the start.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let calm = send_calm(&gateways, Duration::from_secs(10)).await.shares();
    let mut killed = gateways.split_off(6);
    for gateway in &mut killed {
        gateway.child.kill().await.expect("a killed process");
    }
    let after = send_calm(&gateways, Duration::from_secs(10)).await.shares();
    for (all, organisation, kind) in [calm, after] {
        println!(
            "served: all {all:.3}, worst organisation {organisation:.3}, worst kind {kind:.3}"
        );
        expect_that!(organisation, ge(all / 4.0));
        expect_that!(kind, ge(all / 4.0));
        expect_that!(all, ge(0.8));
    }
}
