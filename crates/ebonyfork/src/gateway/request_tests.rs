use googletest::prelude::*;

use super::*;
use crate::gateway::fixture::wire_names;
use crate::gateway::policy::homes::HomeRegions;

fn forward(headers: &[(&str, &str)], target: &str, body: &'static [u8]) -> ForwardRequest {
    let mut builder = Request::builder().method("POST").uri(target);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let (parts, ()) = builder.body(()).expect("a valid request").into_parts();
    let now = Instant::now();
    let id = HeaderValue::from_static("9c41");
    ForwardRequest::new(&wire_names(), parts, Bytes::from_static(body), id, now, now)
}

#[gtest]
fn headers_of_one_connection_stay_behind() {
    let request = forward(
        &[
            ("host", "a.example"),
            ("connection", "keep-alive, X-Hop"),
            ("x-hop", "1"),
            ("keep-alive", "timeout=5"),
            ("te", "trailers"),
            ("transfer-encoding", "chunked"),
            ("upgrade", "h2c"),
            ("proxy-connection", "close"),
            ("content-length", "99"),
            ("expect", "100-continue"),
            ("x-kept", "yes"),
            ("x-deadline", "70000"),
            ("x-instance", "someone-else"),
            ("x-request-id", "9c41"),
        ],
        "/x/?q=%20a",
        b"body",
    );
    let upstream_request = request.build(&wire_names(), &InstanceName::new("i-1"), 250);
    let mut names: Vec<_> = upstream_request
        .headers()
        .keys()
        .map(HeaderName::as_str)
        .collect();
    names.sort_unstable();
    expect_that!(
        names,
        elements_are![
            eq(&"host"),
            eq(&"x-deadline"),
            eq(&"x-instance"),
            eq(&"x-kept"),
            eq(&"x-request-id")
        ]
    );
    expect_that!(
        upstream_request.headers()["x-deadline"]
            .to_str()
            .unwrap_or_default(),
        eq("250")
    );
    expect_that!(
        upstream_request.headers()["x-instance"]
            .to_str()
            .unwrap_or_default(),
        eq("i-1")
    );
    expect_that!(upstream_request.uri().to_string(), eq("/x/?q=%20a"));
}

#[gtest]
fn an_absolute_target_is_sent_as_a_path() {
    let request = forward(&[("host", "a.example")], "http://a.example/x/1?b=2", b"");
    let upstream_request = request.build(&wire_names(), &InstanceName::new("i-1"), 1);
    expect_that!(upstream_request.uri().to_string(), eq("/x/1?b=2"));
}

#[gtest]
fn a_fingerprint_names_the_request_and_not_the_attempt() {
    let first_attempt = forward(&[("host", "a"), ("x-request-id", "1")], "/x/", b"b");
    let second_attempt = forward(&[("host", "a"), ("x-request-id", "2")], "/x/", b"b");
    expect_that!(second_attempt.fingerprint, eq(first_attempt.fingerprint));
    let other_requests = [
        forward(&[("host", "b")], "/x/", b"b"),
        forward(&[("host", "a")], "/x/?q", b"b"),
        forward(&[("host", "a")], "/x/", b"c"),
    ];
    for other_request in other_requests {
        expect_that!(
            other_request.fingerprint,
            not(eq(first_attempt.fingerprint))
        );
    }
}

/// Guards against requests that lose their organisation when another VM gathers their parts, so that they would take
/// turns in queues as if they were nobody's. What a caller states about its organisation counts for nothing.
#[gtest]
fn a_passed_on_request_keeps_its_organisation() {
    let organisation = OrganisationEntry {
        name: OrganisationName::new("north-office"),
        quota: None,
        priority: None,
        home_regions: HomeRegions::default(),
    };
    let now = Instant::now();
    let pass_on = |request: ForwardRequest| {
        let passed_on = ForwardRequest::from_partial(&wire_names(), request.to_partial(), now, now);
        passed_on.map(|request| request.organisation)
    };
    let request = || forward(&[("host", "a"), ("x-organisation", "another")], "/x/", b"b");
    expect_that!(pass_on(request()), ok(none()));
    let with_organisation = request().with_organisation(&wire_names(), Some(&organisation));
    expect_that!(pass_on(with_organisation), ok(some(eq(&organisation.name))));
}
