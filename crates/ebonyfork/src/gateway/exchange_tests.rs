use bytes::Bytes;
use futures_util::future::join_all;
use googletest::prelude::*;
use http::{HeaderValue, Request};
use tokio::task::LocalSet;

use super::*;
use crate::gateway::fixture::{dialect, entry, settings, wire_names};
use crate::gateway::fixture_upstream::{ScriptedReply, ScriptedUpstream};
use crate::gateway::ident::ConfigVersion;
use crate::gateway::organisation::{
    CredentialDigest, OrganisationDeclaration, OrganisationEntry, OrganisationName,
    OrganisationTable,
};
use crate::gateway::policy::homes::HomeRegions;
use crate::gateway::route::{CallerLimits, RouteTable};

const SECOND: Duration = Duration::from_secs(1);

fn organisation(name: &str) -> OrganisationEntry {
    OrganisationEntry {
        name: OrganisationName::new(name),
        quota: None,
        priority: None,
        home_regions: HomeRegions::default(),
    }
}

fn core_with_organisations(names: &[&str]) -> Rc<GatewayCore> {
    let declarations = names.iter().map(|name| OrganisationDeclaration {
        organisation: organisation(name),
        credentials: [CredentialDigest::new(name.as_bytes())]
            .into_iter()
            .collect(),
    });
    let organisations = OrganisationTable::new(declarations).expect("distinct organisations");
    let limits = CallerLimits {
        header_bytes: 16_384,
        body_bytes: 262_144,
        header_timeout: SECOND,
        idle_timeout: SECOND,
    };
    let table = RouteTable::new(ConfigVersion(1), [], [], limits);
    let core = GatewayCore::new(settings(), dialect());
    core.install_table(table.with_organisations(organisations));
    Rc::new(core)
}

fn request(id: &'static str, organisation_name: &str) -> ForwardRequest {
    let builder = Request::get("/1").header("x-request-id", id);
    let (parts, ()) = builder.body(()).expect("a request").into_parts();
    let received = now();
    let names = wire_names();
    let id = HeaderValue::from_static(id);
    ForwardRequest::new(
        &names,
        parts,
        Bytes::new(),
        id,
        received,
        received + SECOND * 10,
    )
    .with_organisation(&names, Some(&organisation(organisation_name)))
}

/// Guards against requests that enter the queue of an upstream without their organisation: they would be served by
/// deadline alone.
#[gtest]
#[tokio::test]
async fn requests_take_turns_by_their_organisation() {
    let test = async {
        let core = core_with_organisations(&["north-office", "south-office"]);
        let server = ScriptedUpstream::start(ScriptedReply::Answer(16)).await;
        let entry = entry("i-1", "s", "north-a", server.address);
        let upstream = Rc::new(Upstream::new(entry, now(), 1));
        let context = AttemptContext {
            core,
            latency: Rc::default(),
            idempotency: Idempotency::Idempotent,
            route_priority: 0,
            answer_use: AnswerUse::Merge { max_records: 10 },
        };
        let useful_until = Some(now() + SECOND * 5);
        let requests = [
            request("a", "north-office"),
            request("b", "north-office"),
            request("c", "north-office"),
            request("x", "south-office"),
        ];
        let run = |request| run_attempt(&context, &upstream, request, useful_until, || true);
        join_all(requests.iter().map(run)).await;
        let served: Vec<_> = server
            .log
            .borrow()
            .requests
            .iter()
            .map(|(_, id)| id.clone())
            .collect();
        // The first request finds the connection free, which is no turn.
        expect_that!(served, elements_are![eq("a"), eq("b"), eq("x"), eq("c")]);
        expect_that!(context.core.metrics.fairness.overtakes.get(), eq(1));
    };
    LocalSet::new().run_until(test).await;
}
