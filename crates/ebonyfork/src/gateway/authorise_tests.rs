use googletest::prelude::*;
use http::{HeaderValue, header};

use super::*;
use crate::gateway::fixture::{dialect, settings, wire_names};
use crate::gateway::ident::{ConfigVersion, PlaceName, RouteName, UpstreamService};
use crate::gateway::organisation::{OrganisationDeclaration, OrganisationTable};
use crate::gateway::policy::homes::HomeRegions;
use crate::gateway::request::ForwardRequest;
use crate::gateway::route::{CallerLimits, Idempotency, RouteTarget};

const SECRET: &str = "k3y-that-must-stay-secret";

fn route(is_public: bool) -> RouteEntry {
    RouteEntry {
        name: RouteName::new("r"),
        host: "a.example".into(),
        prefix: "/a/".into(),
        idempotency: Idempotency::Idempotent,
        timeout: std::time::Duration::from_secs(1),
        target: std::time::Duration::from_millis(200),
        attempts: 2,
        priority: 1,
        destination: RouteTarget::One(UpstreamService::new("s")),
        home_regions: HomeRegions::new([PlaceName::new("north"), PlaceName::new("south")]),
        is_public,
    }
}

fn table(with_organisations: bool) -> RouteTable {
    let limits = CallerLimits {
        header_bytes: 16_384,
        body_bytes: 262_144,
        header_timeout: std::time::Duration::from_secs(3),
        idle_timeout: std::time::Duration::from_secs(15),
    };
    let table = RouteTable::new(ConfigVersion(7), [], [], limits);
    if !with_organisations {
        return table;
    }
    let organisation = OrganisationEntry {
        name: OrganisationName::new("north-office"),
        quota: None,
        priority: None,
        home_regions: HomeRegions::new([PlaceName::new("north")]),
    };
    let declaration = OrganisationDeclaration {
        organisation,
        credentials: [CredentialDigest::new(SECRET.as_bytes())]
            .into_iter()
            .collect(),
    };
    let organisations = OrganisationTable::new([declaration]).expect("one organisation");
    table.with_organisations(organisations)
}

fn core() -> GatewayCore {
    GatewayCore::new(settings(), dialect())
}

/// Returns a core whose copy of the store is up to date.
fn fresh_core() -> GatewayCore {
    let core = core();
    core.relay.note_up_to_date(crate::gateway::clock::now());
    core
}

fn credential_headers(credential: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let value = format!("Bearer {credential}");
    let value = HeaderValue::from_str(&value).expect("a valid header value");
    headers.insert(header::AUTHORIZATION, value);
    headers
}

#[gtest]
fn callers_need_a_credential_except_on_public_routes() {
    let core = fresh_core();
    let table = table(true);
    let none = HeaderMap::new();
    let refused = authorise(&core, &table, &route(false), &none);
    expect_that!(refused.err(), some(eq(RefusalReason::Unauthorised)));
    let public = authorise(&core, &table, &route(true), &none);
    expect_that!(public.expect("public").is_none(), eq(true));
    let known = authorise(&core, &table, &route(false), &credential_headers(SECRET));
    let caller = known.expect("known").expect("a caller");
    expect_that!(caller.organisation.name.as_str(), eq("north-office"));
    let unknown = authorise(&core, &table, &route(false), &credential_headers("other"));
    expect_that!(unknown.err(), some(eq(RefusalReason::Unauthorised)));
}

/// A deployment without organisations may use the header for its own purposes.
#[gtest]
fn without_organisations_no_credential_is_needed() {
    let caller = authorise(
        &fresh_core(),
        &table(false),
        &route(false),
        &HeaderMap::new(),
    );
    expect_that!(caller.expect("allowed").is_none(), eq(true));
}

/// A VM that is behind may not know a credential that was just added, and must not say that it is wrong.
#[gtest]
fn a_vm_with_an_old_copy_does_not_reject_unknown_credentials() {
    let refused = authorise(
        &core(),
        &table(true),
        &route(false),
        &credential_headers("other"),
    );
    expect_that!(refused.err(), some(eq(RefusalReason::OldConfig)));
}

#[gtest]
fn a_strict_deployment_refuses_known_credentials_once_the_copy_is_old() {
    let mut settings = settings();
    settings.credential_max_age = Some(std::time::Duration::from_secs(3));
    let core = GatewayCore::new(settings, dialect());
    let headers = credential_headers(SECRET);
    let refused = authorise(&core, &table(true), &route(false), &headers);
    expect_that!(refused.err(), some(eq(RefusalReason::OldConfig)));
    core.relay.note_up_to_date(crate::gateway::clock::now());
    expect_that!(
        authorise(&core, &table(true), &route(false), &headers).is_ok(),
        eq(true)
    );
}

/// The limits of a route and of an organisation both bind, also at a VM that gathers shards for another one.
#[gtest]
fn home_regions_of_route_and_organisation_both_bind() {
    let table = table(true);
    let route = Rc::new(route(false));
    let organisation = Some(OrganisationName::new("north-office"));
    let limited = route_of_passed_on(&table, &route, organisation).expect("a known organisation");
    expect_that!(
        limited.home_regions.allows(Some(&PlaceName::new("north"))),
        eq(true)
    );
    expect_that!(
        limited.home_regions.allows(Some(&PlaceName::new("south"))),
        eq(false)
    );
    let unknown = Some(OrganisationName::new("another"));
    expect_that!(
        route_of_passed_on(&table, &route, unknown).is_none(),
        eq(true)
    );
    expect_that!(route_of_passed_on(&table, &route, None), some(eq(&route)));
}

/// Upstreams, also those asked by another VM, get the organisation's name from us and never the credential.
#[gtest]
fn the_credential_is_replaced_by_the_organisation() {
    let names = wire_names();
    let table = table(true);
    let caller = authorise(
        &fresh_core(),
        &table,
        &route(false),
        &credential_headers(SECRET),
    );
    let caller = caller.expect("known").expect("a caller");
    let request = |organisation: Option<&OrganisationEntry>| {
        let request = http::Request::builder()
            .uri("/a/1")
            .header(header::AUTHORIZATION, format!("Bearer {SECRET}"))
            .header(&names.organisation, "forged");
        let (parts, ()) = request.body(()).expect("a valid request").into_parts();
        let now = crate::gateway::clock::now();
        let id = HeaderValue::from_static("1");
        ForwardRequest::new(&names, parts, bytes::Bytes::new(), id, now, now)
            .with_organisation(&names, organisation)
    };
    for (organisation, stated) in [
        (Some(&*caller.organisation), Some("north-office")),
        (None, None),
    ] {
        let request = request(organisation);
        let partial = request.to_partial();
        expect_that!(format!("{partial:?}").contains(SECRET), eq(false));
        let instance = crate::gateway::ident::InstanceName::new("i-1");
        let sent = request.build(&names, &instance, 250);
        expect_that!(
            sent.headers().get(header::AUTHORIZATION).is_none(),
            eq(true)
        );
        let value = sent.headers().get(&names.organisation);
        expect_that!(
            value.map(HeaderValue::as_bytes),
            eq(stated.map(str::as_bytes))
        );
    }
    expect_that!(format!("{caller:?} {table:?}").contains(SECRET), eq(false));
}
