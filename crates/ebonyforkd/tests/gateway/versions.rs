//! Two gateways that have different versions of the configuration.

use super::*;

/// Records of each part of the stand-in's answers.
const RECORD_BYTES: usize = 16;
/// Numbers of records that the two versions ask for.
const TOP: [usize; 2] = [5, 12];

fn gather_config(version: u64, top: usize) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r","host":"t.example","prefix":"/r/","routeType":"idempotent",
        "timeoutMs":4000,"sloMs":500,"maxAttempts":2,"gather":["s0","s1"],"topK":{top},"minCoverage":1}}],
        "services":[{{"name":"s0","maxConns":20}},{{"name":"s1","maxConns":20}}],
        "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

/// Returns whether a body holds the greatest records of the parts that the answer names, for one of the versions.
fn is_whole(answer: &Response<bytes::Bytes>, upstreams: &[UpstreamServer]) -> bool {
    let stamps = answer.headers()["part-stamps"].to_str().expect("text");
    let mut records = Vec::new();
    for stamp in stamps.split(',') {
        let mut arrivals = upstreams.iter().flat_map(UpstreamServer::arrivals);
        let part = arrivals.find(|arrival| arrival.signature == stamp.trim());
        let body = part.expect("a part that an upstream has sent").body;
        records.extend(body.chunks_exact(RECORD_BYTES).map(<[u8]>::to_vec));
    }
    records.sort_unstable_by(|a, b| b.cmp(a));
    TOP.iter()
        .any(|top| records[..*top].concat() == *answer.body())
}

/// Guards against answers that lack records because the VM that gathered distant shards had cut them to the number of
/// its own version: the asking VM may have the older or the newer version, with the larger or the smaller number.
#[gtest]
#[tokio::test]
async fn answers_are_whole_while_two_vms_have_different_versions() {
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let stores = [
        StoreServer::start(free).await.expect("a store"),
        StoreServer::start(free).await.expect("a store"),
    ];
    let mut upstreams = Vec::new();
    for service in ["s0", "s1"] {
        let work = Duration::from_millis(5);
        let upstream = UpstreamServer::start(free, &format!("i-{service}"), service, work).await;
        let upstream = upstream.expect("an upstream");
        for store in &stores {
            let key = format!("servers/i-{service}");
            store.put(&key, upstream.entry("b-1", "ready"));
        }
        upstreams.push(upstream);
    }
    for store in &stores {
        store.put("op/config", gather_config(1, TOP[0]));
    }
    let zones = "a-1 = a\nb-1 = b";
    let asking = start_gateway_in("asks", "127.230.0.30", stores[0].address(), ("a-1", zones));
    let other = start_gateway_in("helps", "127.230.0.31", stores[1].address(), ("b-1", zones));
    for gateway in [&asking, &other] {
        wait_status(gateway.ready, "/v1/ready", 200).await;
    }
    // Each store knows both VMs, as one store would.
    for (from, to) in [(0, 1), (1, 0)] {
        for key in stores[from].keys("ebonyfork/") {
            if stores[to].get(&key).is_none()
                && let Some((value, _revision)) = stores[from].get(&key)
            {
                stores[to].put(&key, value);
            }
        }
    }
    wait_status(asking.callers, "/r/0", 200).await;
    // Versions and numbers of the asking and of the other VM.
    let rounds = [
        ((2, TOP[1]), (3, TOP[0])),
        ((5, TOP[1]), (4, TOP[0])),
        ((6, TOP[0]), (7, TOP[1])),
        ((9, TOP[0]), (8, TOP[1])),
    ];
    let mut number = 0;
    for (own, others) in rounds {
        stores[0].put("op/config", gather_config(own.0, own.1));
        stores[1].put("op/config", gather_config(others.0, others.1));
        let begun = Instant::now();
        let mut last_records = 0;
        // Long enough for both VMs to learn of their versions, unless the machine is busy.
        while begun.elapsed() < Duration::from_millis(1_500)
            || (last_records != own.1 && begun.elapsed() < PATIENCE)
        {
            number += 1;
            let id = format!("r-{number}");
            let answer = get(asking.callers, "/r/1", &id).await.expect("an answer");
            if answer.status().as_u16() != 200 {
                continue;
            }
            last_records = answer.body().len() / RECORD_BYTES;
            expect_that!(
                is_whole(&answer, &upstreams),
                eq(true),
                "versions {own:?} and {others:?}: {last_records} records"
            );
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        expect_that!(last_records, eq(own.1), "versions {own:?} and {others:?}");
    }
}
