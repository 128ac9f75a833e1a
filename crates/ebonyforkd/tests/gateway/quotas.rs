//! `GET /quotas` of a running gateway.

use ebonyfork::gateway::{OrganisationReport, QuotaReport};
use ebonyfork_stand_in::store_faults::StoreFaults;

use super::*;

const CREDENTIAL: &str = "bc582dm2buc7takhi73v";

/// Returns a configuration with one organisation that has a limit and one that has none.
fn config_with_limit() -> String {
    let tenants = format!(
        r#""tenants":[{{"name":"ralo620","apiKeys":["{CREDENTIAL}"],"ratePerS":2,"burstSize":6}},
        {{"name":"free","apiKeys":["r5y2"]}}],"routes""#
    );
    config(3, "idempotent").replace("\"routes\"", &tenants)
}

async fn status(callers: SocketAddr, number: usize) -> Option<u16> {
    let bearer = format!("Bearer {CREDENTIAL}");
    let id = format!("q-{number}");
    let answer = get_with(callers, "/r/1", &id, &[("authorization", &bearer)]).await;
    answer.map(|answer| answer.status().as_u16())
}

async fn read_report(metrics: SocketAddr, target: &str) -> QuotaReport {
    let answer = get(metrics, target, "report").await.expect("an answer");
    expect_that!(answer.headers()["content-type"], eq("application/json"));
    let body = answer.into_body();
    let text = String::from_utf8_lossy(&body);
    assert!(!text.contains(CREDENTIAL), "{text}");
    serde_json::from_slice(&body).expect("a report")
}

fn tokens_granted(organisation: &OrganisationReport) -> u32 {
    let held = organisation
        .parts
        .iter()
        .filter_map(|part| part.held.as_ref());
    held.map(|held| held.granted - held.given_back).sum()
}

/// The counts of the report must be those of the answers, and the parts those that this VM holds in the store.
#[gtest]
#[tokio::test]
async fn a_report_tells_what_became_of_requests() {
    let (store, _upstream) = store_and_upstream().await;
    // A process that has just learnt of an era writes no claim for 28 s.
    store.set_faults(StoreFaults {
        omits_era: true,
        ..StoreFaults::default()
    });
    store.put("op/config", config_with_limit());
    let gateway = start_gateway("quotas", "127.230.0.12", store.address());
    let mut statuses = Vec::new();
    let waiting = async {
        while statuses.last() != Some(&200) {
            // Connections are refused until the process listens; these requests reach nobody.
            statuses.extend(status(gateway.callers, statuses.len()).await);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    let waited = tokio::time::timeout(PATIENCE, waiting).await;
    expect_that!(waited.is_ok(), eq(true));
    for number in 0..20 {
        statuses.extend(status(gateway.callers, 1_000 + number).await);
    }
    let metrics = "127.230.0.12:7103".parse().expect("an address");
    let report = read_report(metrics, "/quotas").await;
    let [organisation] = report.organisations.as_slice() else {
        panic!("expected the organisation with a limit: {report:?}");
    };
    let count = |status: u16| statuses.iter().filter(|other| **other == status).count() as u32;
    expect_that!(organisation.granted, eq(count(200)));
    expect_that!(tokens_granted(organisation), eq(count(200)));
    expect_that!(organisation.refused["over-quota"], eq(count(429)));
    expect_that!(organisation.refused["over-quota"], gt(0));
    // Requests before the configuration was read get 503 as well, but none of those needed a token.
    expect_that!(organisation.refused["quota-unknown"], gt(0));
    expect_that!(organisation.refused["quota-unknown"], le(count(503)));
    // Each part of the quota holds at least two tokens.
    let holders = organisation.parts.iter().map(|part| part.holder);
    expect_that!(holders.collect::<Vec<_>>(), eq(&vec![Some(report.vm); 3]));
    let one = read_report(metrics, "/quotas?organisation=ralo620").await;
    expect_that!(one.organisations.len(), eq(1));
    let other = read_report(metrics, "/quotas?organisation=free").await;
    expect_that!(other.organisations.len(), eq(0));
    let text = get(metrics, "/metrics", "metrics").await.expect("metrics");
    expect_that!(text.body().ends_with(b"# EOF\n"), eq(true));
}
