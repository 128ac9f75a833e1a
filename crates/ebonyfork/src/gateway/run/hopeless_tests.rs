use std::rc::Rc;

use googletest::prelude::*;
use tokio::task::LocalSet;

use super::*;
use crate::gateway::core::GatewayCore;
use crate::gateway::fixture::entry;
use crate::gateway::fixture_upstream::{ScriptedReply, ScriptedUpstream};
use crate::gateway::ident::{ConfigVersion, UpstreamService};
use crate::gateway::organisation::{
    CredentialDigest, OrganisationDeclaration, OrganisationEntry, OrganisationName,
    OrganisationTable,
};
use crate::gateway::policy::homes::HomeRegions;
use crate::gateway::route::{CallerLimits, RouteTable};
use crate::gateway::run::tests::{LONG_TIME, core, gather_route, register_in, request, upstreams};
use crate::gateway::run::{RunReport, run_request};
use crate::quarantine::QuarantineStatus;

const SECOND: Duration = Duration::from_secs(1);

fn install_organisation(core: &GatewayCore) {
    let declaration = OrganisationDeclaration {
        organisation: OrganisationEntry {
            name: OrganisationName::new("north-office"),
            quota: None,
            priority: None,
            home_regions: HomeRegions::default(),
        },
        credentials: [CredentialDigest::new(b"example")].into_iter().collect(),
    };
    let organisations = OrganisationTable::new([declaration]).expect("one organisation");
    let limits = CallerLimits {
        header_bytes: 16_384,
        body_bytes: 262_144,
        header_timeout: SECOND,
        idle_timeout: SECOND,
    };
    let table = RouteTable::new(ConfigVersion(1), [], [], limits);
    core.install_table(table.with_organisations(organisations));
}

/// Registers an upstream to which connections have failed for the last three seconds.
fn register_lost(core: &GatewayCore, service: &str) {
    let address = ([127, 0, 0, 1], 1).into();
    let key = compact_str::format_compact!("{service}-lost");
    let entry = entry(&key, service, "north-a", address);
    core.registry.put(&key, entry, now(), 4);
    for upstream in core.registry.upstreams(&UpstreamService::new(service)) {
        let mut health = upstream.health.borrow_mut();
        for step in (0..=10).rev() {
            let failed_at = now()
                .checked_sub(SECOND * 3 / 10 * step)
                .expect("a time after the machine's start");
            health.record_start(failed_at);
            health.record_unreachable(failed_at, failed_at);
        }
    }
}

async fn run_query(core: &Rc<GatewayCore>, wait: Duration) -> RunReport {
    let (route, target) = gather_route(&["s0", "s1", "s2"], 0.9);
    let quarantine_status = QuarantineStatus::Clear;
    run_request(core, &route, target, request(wait), quarantine_status).await
}

fn request_count(upstreams: &[ScriptedUpstream]) -> usize {
    let counts = upstreams
        .iter()
        .map(|upstream| upstream.log.borrow().requests.len());
    counts.sum()
}

/// Guards against sending shards of a query that can't be answered, and against refusing it while that is uncertain.
#[gtest]
#[tokio::test]
async fn nothing_is_sent_for_a_hopeless_query() {
    let test = async {
        // Whether organisations are configured, the caller's wait, and whether the query is hopeless.
        let cases = [
            (true, SECOND, true),
            (true, LONG_TIME, false),
            (false, SECOND, false),
        ];
        for (has_organisations, wait, is_hopeless) in cases {
            let core = core();
            if has_organisations {
                install_organisation(&core);
            }
            let known_upstreams = upstreams(&core, "s0", 2, ScriptedReply::Answer(16)).await;
            register_lost(&core, "s1");
            register_lost(&core, "s2");
            let report = run_query(&core, wait).await;
            // Once shards have been sent, the caller can't be told that nothing ran.
            let status = if is_hopeless { 503 } else { 502 };
            expect_that!(report.reply.status().as_u16(), eq(status));
            expect_that!(
                report.outcome == "hopeless",
                eq(is_hopeless),
                "{}",
                report.outcome
            );
            expect_that!(request_count(&known_upstreams) == 0, eq(is_hopeless));
            if !is_hopeless {
                continue;
            }
            let retry_after = report.reply.headers()["retry-after"].to_str();
            let retry_after: f64 = retry_after.expect("a text").parse().expect("seconds");
            expect_that!(retry_after, all![gt(1.0), le(2.4)]);
        }
    };
    LocalSet::new().run_until(test).await;
}

/// An upstream that was never tried may answer, so the query is sent.
#[gtest]
#[tokio::test]
async fn a_query_with_untried_upstreams_is_answered() {
    let test = async {
        let core = core();
        install_organisation(&core);
        let mut known_upstreams = Vec::new();
        for service in ["s0", "s1", "s2"] {
            register_lost(&core, service);
            let upstream = ScriptedUpstream::start(ScriptedReply::Answer(16)).await;
            register_in(&core, service, "south-a", &upstream);
            known_upstreams.push(upstream);
        }
        let report = run_query(&core, SECOND).await;
        expect_that!(report.reply.status().as_u16(), eq(200));
        expect_that!(request_count(&known_upstreams), eq(3));
    };
    LocalSet::new().run_until(test).await;
}
