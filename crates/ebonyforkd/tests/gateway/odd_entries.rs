//! Entries of another writer among those of the upstreams: each may cost itself, and nothing else.

use super::*;

/// Time within which a change must be in force, as in the settings of [`start_gateway_with`].
const CHANGE_BOUND: Duration = Duration::from_secs(3);
/// Time for which requests are counted after the bound.
const COUNTED_TIME: Duration = Duration::from_secs(1);
/// Time for a VM to read the entries, far above what it takes.
const READ_TIME: Duration = Duration::from_millis(500);
/// VMs that run when the entries are written. One of the first zone's two follows the other.
const RUNNING_VMS: [&str; 3] = ["a-1", "a-1", "b-1"];
const ZONES: &str = "a-1 = a\nb-1 = b";

fn two_services(version: u64, service: &str) -> String {
    config(version, "idempotent").replace(
        r#""service":"s"}],"services":["#,
        &format!(
            r#""service":"{service}"}},{{"name":"k","host":"t.example","prefix":"/k/","routeType":"idempotent",
            "timeoutMs":4000,"sloMs":500,"maxAttempts":2,"service":"kept"}}],"services":[{{"name":"moved","maxConns":20}},
            {{"name":"kept","maxConns":20}},"#
        ),
    )
}

/// What became of the requests that were sent to one VM.
#[derive(Debug, Default, PartialEq, Eq)]
struct VmOutcome {
    requests: usize,
    succeeded: usize,
    /// Requests run by the service that only the older version names.
    run_by_old: usize,
    /// Requests run by the upstream that has left the store.
    run_by_removed: usize,
    /// Status of the readiness check.
    readiness: u16,
}

/// A store with one upstream of each service, and one that leaves.
struct OddDeployment {
    store: StoreServer,
    old: UpstreamServer,
    removed: UpstreamServer,
    _others: [UpstreamServer; 2],
}

impl OddDeployment {
    async fn start() -> Self {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = StoreServer::start(free).await.expect("a store");
        let mut upstreams = Vec::new();
        // The odd entries sort behind those of the first two and before the others.
        for (instance, service) in [
            ("a-old", "s"),
            ("b-removed", "kept"),
            ("y-kept", "kept"),
            ("z-moved", "moved"),
        ] {
            let work = Duration::from_millis(2);
            let upstream = UpstreamServer::start(free, instance, service, work).await;
            let upstream = upstream.expect("an upstream");
            let key = format!("servers/{instance}");
            store.put(&key, upstream.entry("a-1", "ready"));
            upstreams.push(upstream);
        }
        store.put("op/config", two_services(1, "s"));
        let [old, removed, kept, moved] = upstreams.try_into().expect("four upstreams");
        Self {
            store,
            old,
            removed,
            _others: [kept, moved],
        }
    }

    /// Sends requests to a VM one after the other for [`COUNTED_TIME`].
    async fn count(&self, vm: &GatewayProcess) -> VmOutcome {
        let runs = |upstream: &UpstreamServer| {
            let arrivals = upstream.arrivals().into_iter();
            let ids = arrivals.map(|arrival| arrival.request);
            ids.collect::<Vec<_>>()
        };
        let began = Instant::now();
        let mut outcome = VmOutcome::default();
        while began.elapsed() < COUNTED_TIME {
            let target = ["/r/1", "/k/1"][outcome.requests % 2];
            let id = format!("{}-{}", vm.callers.ip(), outcome.requests);
            outcome.requests += 1;
            let answer = get(vm.callers, target, &id).await;
            outcome.succeeded += usize::from(answer.is_some_and(|answer| answer.status() == 200));
        }
        let prefix = format!("{}-", vm.callers.ip());
        let count = |upstream| {
            let mut ids = runs(upstream);
            ids.retain(|id| id.starts_with(&prefix));
            ids.len()
        };
        outcome.run_by_old = count(&self.old);
        outcome.run_by_removed = count(&self.removed);
        let readiness = get(vm.ready, "/v1/ready", "ready").await;
        outcome.readiness = readiness.map_or(0, |answer| answer.status().as_u16());
        outcome
    }
}

/// Writes entries while three VMs run, then a version that moves the routes and a removal, and starts a fourth VM. After the
/// time that a change may take, all four serve by the new version, from the upstreams that the store holds.
async fn check_entries(name: &str, first_host: u8, entries: &[(String, Vec<u8>)]) {
    let deployment = OddDeployment::start().await;
    let start = |index: u8, zone| {
        let address = format!("127.230.0.{}", first_host + index);
        let name = format!("{name}-{index}");
        start_gateway_in(&name, &address, deployment.store.address(), (zone, ZONES))
    };
    let mut vms = Vec::new();
    for (index, zone) in (0..).zip(RUNNING_VMS) {
        vms.push(start(index, zone));
    }
    for vm in &vms {
        wait_status(vm.ready, "/v1/ready", 200).await;
        wait_status(vm.callers, "/r/1", 200).await;
        wait_status(vm.callers, "/k/1", 200).await;
    }
    for (key, value) in entries {
        deployment.store.put(key, value);
    }
    tokio::time::sleep(READ_TIME).await;
    vms.push(start(3, "b-1"));
    deployment.store.put("op/config", two_services(2, "moved"));
    deployment.store.remove("servers/b-removed");
    tokio::time::sleep(CHANGE_BOUND).await;
    let counts = vms.iter().map(|vm| deployment.count(vm));
    let mut outcomes = Vec::new();
    for count in counts {
        outcomes.push(count.await);
    }
    for (outcome, vm) in outcomes.iter().zip(&vms) {
        let address = vm.callers;
        expect_that!(outcome.run_by_old, eq(0), "{name} {address}: {outcome:?}");
        expect_that!(
            outcome.run_by_removed,
            eq(0),
            "{name} {address}: {outcome:?}"
        );
        expect_that!(outcome.requests, gt(20), "{name} {address}: {outcome:?}");
        expect_that!(
            outcome.succeeded,
            eq(outcome.requests),
            "{name} {address}: {outcome:?}"
        );
        expect_that!(outcome.readiness, eq(200), "{name} {address}: {outcome:?}");
    }
}

/// Returns an entry of an upstream that nothing listens for, with one field replaced or added.
fn entry_with(field: &str, value: &str) -> Vec<u8> {
    let mut fields = vec![
        ("service", r#""other""#),
        ("address", r#""127.230.0.79:9""#),
        ("zone", r#""a-1""#),
        ("version", r#""v1""#),
        ("capacity", "2"),
        ("state", r#""ready""#),
        ("warmupLeftMs", "0"),
        ("sequence", "1"),
        ("born", "1"),
    ];
    fields.retain(|(name, _value)| *name != field);
    fields.push((field, value));
    let fields = fields
        .iter()
        .map(|(name, value)| format!(r#""{name}":{value}"#));
    let body = format!("{{{}}}", fields.collect::<Vec<_>>().join(","));
    body.into_bytes()
}

/// Returns the entries with a key for each, between those of the deployment's upstreams.
fn keyed(values: impl IntoIterator<Item = Vec<u8>>) -> Vec<(String, Vec<u8>)> {
    let numbered = (0..).zip(values);
    numbered
        .map(|(number, value): (u32, _)| (format!("servers/m-odd-{number}"), value))
        .collect()
}

/// Guards against one entry that ends following the store on all VMs: its time is representable, but not as a point in time
/// of this machine's clock.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_that_stays_cold_for_ages_ends_no_follower() {
    let times = ["9.3e21", "1e22", "1.8e22"];
    let entries = keyed(times.map(|time| entry_with("warmupLeftMs", time)));
    check_entries("cold-ages", 80, &entries).await;
}

/// Guards against entries whose numbers are outside the range of their type, or of a sum that they enter.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_with_numbers_out_of_range_end_no_follower() {
    let digits = "9".repeat(400);
    let numbers = [
        "-0.0",
        "-1",
        "-1e22",
        "0.5",
        "2.5",
        "4294967296",
        "9223372036854775807",
        "18446744073709551615",
        "18446744073709551616",
        "1e15",
        "1e19",
        "1e308",
        "1e400",
        digits.as_str(),
    ];
    let fields = ["warmupLeftMs", "capacity", "sequence", "born"];
    let values = fields
        .iter()
        .flat_map(|field| numbers.iter().map(|number| entry_with(field, number)));
    check_entries("odd-numbers", 84, &keyed(values)).await;
}

/// Guards against deep nesting that overflows the stack of the reader, in a known field, an unknown one and as the entry.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn deeply_nested_entries_end_no_follower() {
    let mut values = Vec::new();
    for depth in [120, 3_000, 100_000] {
        let arrays = "[".repeat(depth) + &"]".repeat(depth);
        let objects = r#"{"a":"#.repeat(depth) + "1" + &"}".repeat(depth);
        for nested in [arrays, objects] {
            values.push(entry_with("zone", &nested));
            values.push(entry_with("unknown", &nested));
            values.push(nested.into_bytes());
        }
        values.push("[".repeat(depth).into_bytes());
    }
    check_entries("odd-nested", 88, &keyed(values)).await;
}

/// Guards against entries with addresses, types and texts that no upstream writes, and with odd keys.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_of_other_shapes_end_no_follower() {
    let addresses = [
        "127.0.0.1:65536",
        "127.0.0.1:0",
        "127.0.0.1:-1",
        "127.0.0.1:99999999999999999999",
        "127.0.0.1",
        ":80",
        "",
        "localhost:80",
        "[::1]:80",
        "255.255.255.255:9",
        "0.0.0.0:9",
    ];
    let mut values: Vec<_> = addresses
        .iter()
        .map(|address| entry_with("address", &format!("{address:?}")))
        .collect();
    let fields = [
        "service",
        "address",
        "zone",
        "version",
        "capacity",
        "state",
        "warmupLeftMs",
        "sequence",
        "born",
    ];
    for field in fields {
        for value in ["null", "true", "7", r#""""#, r#""text""#, "[]", "{}", "[1]"] {
            values.push(entry_with(field, value));
        }
    }
    let long_text = format!("{:?}", "s".repeat(60_000));
    values.push(entry_with("service", &long_text));
    values.push(entry_with("zone", &long_text));
    let bodies = [
        "",
        " ",
        "null",
        "0",
        "1e400",
        "[]",
        "{}",
        "true",
        r#""""#,
        r#"{"service""#,
        "\u{0}",
    ];
    values.extend(bodies.map(Vec::from));
    values.push(vec![0xff; 64]);
    let mut entries = keyed(values);
    let keys = [
        "servers/".to_owned(),
        "servers//".to_owned(),
        "servers/ ".to_owned(),
        "servers/\u{0}".to_owned(),
        format!("servers/{}", "k".repeat(4_000)),
    ];
    for key in keys {
        entries.push((key, entry_with("zone", r#""b-1""#)));
    }
    check_entries("odd-shapes", 92, &entries).await;
}
