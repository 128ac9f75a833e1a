use std::cell::RefCell;

use bytes::Bytes;
use compact_str::format_compact;
use googletest::prelude::*;
use http::Request;
use http::header::HeaderValue;
use http_body_util::BodyExt;
use tokio::task::LocalSet;

use super::*;
use crate::gateway::exchange::{AttemptOutcome, run_attempt};
use crate::gateway::fixture::{dialect, entry, settings, wire_names};
use crate::gateway::fixture_upstream::{ScriptedReply, ScriptedUpstream};
use crate::gateway::ident::{ConfigVersion, PlaceName};
use crate::gateway::partial::ShardProgress;
use crate::gateway::policy::cold::{ColdBound, RequestRate};
use crate::gateway::policy::homes::HomeRegions;
use crate::gateway::reply_body::ReplyBody;
use crate::gateway::route::{CallerLimits, RouteTable, RouteTarget, ServiceTerms};
use crate::gateway::settings::GatewaySettings;
use crate::gateway::upstream::UpstreamEntry;
use crate::store::StoreRevision;

const REQUEST_ID: &str = "r-1";
/// Much longer than any operation in these tests.
pub(super) const LONG_TIME: Duration = Duration::from_secs(10);

/// Makes a paused clock advance by a millisecond at a time. Without this limit it would jump to the next timer while data
/// is ready on a socket.
pub(super) fn limit_clock_steps() {
    tokio::task::spawn_local(async {
        loop {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    });
}

/// Creates a process that has run long enough to hold its share of the slack, from which it may send repeats.
pub(super) fn core() -> Rc<GatewayCore> {
    core_with(settings())
}

fn core_with(settings: GatewaySettings) -> Rc<GatewayCore> {
    let mut core = GatewayCore::new(settings, dialect());
    core.started -= LONG_TIME;
    Rc::new(core)
}

/// Counts enough requests to a service to fill its token bucket.
pub(super) fn earn_repeats(core: &GatewayCore, service: &str) {
    for _ in 0..1_000 {
        let service = UpstreamService::new(service);
        core.retry_budget
            .borrow_mut()
            .record_request(&service, core.running_time());
    }
}

/// Starts and registers upstreams of a service that all behave in the same way.
pub(super) async fn upstreams(
    core: &GatewayCore,
    service: &str,
    count: usize,
    reply: ScriptedReply,
) -> Vec<ScriptedUpstream> {
    earn_repeats(core, service);
    let mut started_upstreams = Vec::new();
    for number in 0..count {
        let upstream = ScriptedUpstream::start(reply).await;
        let key = format_compact!("{service}-{number}");
        let entry = entry(&key, service, "north-a", upstream.address);
        core.registry.put(&key, entry, now(), 4);
        started_upstreams.push(upstream);
    }
    started_upstreams
}

fn route(attempts: usize, destination: RouteTarget) -> Rc<RouteEntry> {
    Rc::new(RouteEntry {
        name: crate::gateway::RouteName::new("r"),
        host: "t.example".into(),
        prefix: "/".into(),
        idempotency: Idempotency::Idempotent,
        timeout: LONG_TIME,
        target: Duration::from_millis(500),
        attempts,
        priority: 0,
        destination,
        home_regions: HomeRegions::default(),
        is_public: false,
    })
}

pub(super) fn single_route(attempts: usize) -> (Rc<RouteEntry>, RunTarget) {
    let service = UpstreamService::new("s");
    let route = route(attempts, RouteTarget::One(service.clone()));
    (route, RunTarget::One(service))
}

pub(super) fn request(time_left: Duration) -> Rc<ForwardRequest> {
    let (parts, ()) = Request::get("/1")
        .header("host", "t.example")
        .header("x-request-id", REQUEST_ID)
        .body(())
        .expect("a request")
        .into_parts();
    let id = HeaderValue::from_static(REQUEST_ID);
    let received = now();
    let finish_by = received + time_left;
    let names = wire_names();
    Rc::new(ForwardRequest::new(
        &names,
        parts,
        Bytes::new(),
        id,
        received,
        finish_by,
    ))
}

pub(super) async fn run(core: &Rc<GatewayCore>, attempts: usize) -> RunReport {
    let (route, target) = single_route(attempts);
    run_request(
        core,
        &route,
        target,
        request(LONG_TIME),
        QuarantineStatus::Clear,
    )
    .await
}

/// A request runs on no more upstreams than its route allows, whatever the outcomes of its attempts.
#[gtest]
#[tokio::test]
async fn a_request_runs_on_no_more_upstreams_than_its_route_allows() {
    let test = async {
        for max_upstreams in 1..=3 {
            let core = core();
            let disconnecting_upstreams = upstreams(&core, "s", 4, ScriptedReply::Break).await;
            let report = run(&core, max_upstreams).await;
            expect_that!(report.reply.status().as_u16(), eq(502));
            let reached_upstreams = disconnecting_upstreams
                .iter()
                .filter(|upstream| !upstream.log.borrow().requests.is_empty());
            expect_that!(
                reached_upstreams.count(),
                all![ge(1), le(max_upstreams)],
                "{max_upstreams}"
            );
            let request_count: usize = disconnecting_upstreams
                .iter()
                .map(|upstream| upstream.log.borrow().requests.len())
                .sum();
            expect_that!(
                request_count,
                le(4),
                "sends on the same upstreams are bounded too"
            );
        }
    };
    LocalSet::new().run_until(test).await;
}

#[gtest]
#[tokio::test]
async fn each_shard_keeps_to_the_limit_separately() {
    let test = async {
        let core = core();
        let mut upstreams_by_shard = Vec::new();
        for service in ["s0", "s1", "s2"] {
            upstreams_by_shard.push(upstreams(&core, service, 3, ScriptedReply::Break).await);
        }
        let gather_terms = GatherTerms {
            shards: ["s0", "s1", "s2"].map(UpstreamService::new).to_vec(),
            max_records: 10,
            min_coverage: 0.9,
        };
        let route = route(2, RouteTarget::Gather(gather_terms.clone()));
        let target = RunTarget::Gather(gather_terms);
        run_request(
            &core,
            &route,
            target,
            request(LONG_TIME),
            QuarantineStatus::Clear,
        )
        .await;
        for shard_upstreams in &upstreams_by_shard {
            let reached_upstreams = shard_upstreams
                .iter()
                .filter(|upstream| !upstream.log.borrow().requests.is_empty());
            expect_that!(reached_upstreams.count(), le(2));
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Work for a caller that has disconnected ends within 500 ms, and none is started.
#[gtest]
#[tokio::test]
async fn the_attempts_of_a_disconnected_caller_end_soon() {
    let test = async {
        // The caller disconnects early, while an answer may still come, or when the attempts are late already.
        for leaves_after in [15, 150] {
            let core = core();
            let holding_upstreams = upstreams(&core, "s", 2, ScriptedReply::Hold).await;
            let caller_timeout = Duration::from_millis(leaves_after);
            let timed_run = tokio::time::timeout(caller_timeout, run(&core, 2)).await;
            expect_that!(timed_run.is_err(), eq(true));
            check_ends(&holding_upstreams, now()).await;
        }
    };
    LocalSet::new().run_until(test).await;
}

async fn check_ends(holding_upstreams: &[ScriptedUpstream], disconnected_at: Instant) {
    tokio::time::sleep(Duration::from_millis(700)).await;
    let mut ended_requests = 0;
    for upstream in holding_upstreams {
        let log = upstream.log.borrow();
        let late_requests = log
            .requests
            .iter()
            .filter(|(at, _id)| *at > disconnected_at);
        expect_that!(late_requests.count(), eq(0));
        expect_that!(log.ended.len(), eq(log.requests.len()));
        for end in &log.ended {
            let delay = end.saturating_duration_since(disconnected_at);
            expect_that!(delay, lt(Duration::from_millis(500)));
        }
        ended_requests += log.ended.len();
    }
    expect_that!(ended_requests, ge(1));
}

/// An attempt that waits for a connection when its caller disconnects is never sent.
#[gtest]
#[tokio::test]
async fn nothing_is_sent_for_a_disconnected_caller() {
    let test = async {
        let core = core();
        let reply = ScriptedReply::Slow {
            whole: 10,
            begun: 1,
            rest_after: Duration::from_millis(120),
        };
        let upstream = ScriptedUpstream::start(reply).await;
        let entry = entry("s-0", "s", "north-a", upstream.address);
        core.registry.put(&"s-0".into(), entry, now(), 1);
        let first_run = tokio::task::spawn_local({
            let core = Rc::clone(&core);
            async move { run(&core, 1).await }
        });
        while upstream.log.borrow().requests.is_empty() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let caller_timeout = Duration::from_millis(10);
        let timed_run = tokio::time::timeout(caller_timeout, run(&core, 1)).await;
        expect_that!(timed_run.is_err(), eq(true));
        let report = first_run.await.expect("no panic");
        expect_that!(report.reply.status().as_u16(), eq(200));
        tokio::time::sleep(Duration::from_millis(100)).await;
        expect_that!(upstream.log.borrow().requests.len(), eq(1));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a busy loop: with a wake-up time in the past, a waiting request would keep the processor busy until
/// its answer.
#[gtest]
#[tokio::test(start_paused = true)]
async fn the_next_wake_is_never_in_the_past() {
    let test = async {
        for idempotency in [Idempotency::Idempotent, Idempotency::Once] {
            let core = core();
            let _holding_upstreams = upstreams(&core, "s", 2, ScriptedReply::Hold).await;
            let (route, target) = single_route(2);
            let route = Rc::new(RouteEntry {
                idempotency,
                ..RouteEntry::clone(&route)
            });
            let mut run = QueryRun::new(&core, &route, target, request(LONG_TIME));
            run.begin(QuarantineStatus::Clear);
            for after_ms in [1, 40, 100, 450, 2_000, 8_000] {
                // Hedges that are sent take the time from the clock.
                let time = run.request.received + Duration::from_millis(after_ms);
                tokio::time::advance(time.saturating_duration_since(now())).await;
                run.check_stragglers(time);
                let wake = run.next_wake(time);
                expect_that!(wake, gt(time), "{idempotency:?} after {after_ms} ms");
            }
        }
    };
    LocalSet::new().run_until(test).await;
}

/// An attempt that ran out of time before it was sent doesn't affect the upstream's health.
#[gtest]
#[tokio::test]
async fn an_attempt_without_time_left_does_not_affect_its_upstream() {
    let test = async {
        let core = core();
        let _started_upstreams = upstreams(&core, "s", 1, ScriptedReply::Answer(1)).await;
        let upstream = Rc::clone(&core.registry.upstreams(&UpstreamService::new("s"))[0]);
        let context = AttemptContext {
            core: Rc::clone(&core),
            latency: Rc::<RefCell<_>>::default(),
            idempotency: Idempotency::Idempotent,
            route_priority: 0,
            answer_use: AnswerUse::Merge { max_records: 10 },
        };
        let request = request(Duration::ZERO);
        let outcome = run_attempt(&context, &upstream, &request, None, || true).await;
        expect_that!(matches!(outcome, AttemptOutcome::Unsent(_)), eq(true));
        let health = upstream.health.borrow();
        expect_that!(health.is_ejected(now()), eq(false));
    };
    LocalSet::new().run_until(test).await;
}

/// Reads a body to its end; returns the number of bytes and whether the body was complete.
pub(super) async fn read_body(body: &mut ReplyBody) -> (usize, bool) {
    let mut length = 0;
    // Like an HTTP server, stop polling once the body reports its end.
    while !hyper::body::Body::is_end_stream(body) {
        match body.frame().await {
            // The orderly end of a body without a stated length.
            None => return (length, true),
            Some(Err(_cut)) => return (length, false),
            Some(Ok(frame)) => length += frame.data_ref().map_or(0, Bytes::len),
        }
    }
    (length, true)
}

#[gtest]
#[tokio::test]
async fn a_long_answer_is_passed_on_while_it_comes_in() {
    const WHOLE: usize = 12 << 20;
    let test = async {
        let core = core();
        let reply = ScriptedReply::Slow {
            whole: WHOLE,
            begun: 1 << 20,
            rest_after: Duration::from_millis(300),
        };
        let started_upstreams = upstreams(&core, "s", 1, reply).await;
        let began = now();
        let mut report = run(&core, 2).await;
        let report_delay = now().saturating_duration_since(began);
        expect_that!(report_delay, lt(Duration::from_millis(250)));
        let body = report.reply.body_mut();
        let stated_length = hyper::body::Body::size_hint(body).exact();
        expect_that!(stated_length, some(eq(WHOLE as u64)));
        expect_that!(read_body(body).await, eq((WHOLE, true)));
        // The connection is reused for the next request.
        let mut next_report = run(&core, 2).await;
        expect_that!(
            read_body(next_report.reply.body_mut()).await,
            eq((WHOLE, true))
        );
        expect_that!(started_upstreams[0].log.borrow().connections, eq(1));
    };
    LocalSet::new().run_until(test).await;
}

#[gtest]
#[tokio::test]
async fn a_truncated_answer_never_looks_complete() {
    let test = async {
        // A truncated short answer isn't passed on at all; a truncated long one ends with an error.
        for (whole, begun, status) in [(100_000, 50_000, 502), (2 << 20, 1 << 20, 200)] {
            let core = core();
            let reply = ScriptedReply::Truncated { whole, begun };
            let _started_upstreams = upstreams(&core, "s", 1, reply).await;
            let mut report = run(&core, 1).await;
            expect_that!(report.reply.status().as_u16(), eq(status));
            if status == 200 {
                let (length, complete) = read_body(report.reply.body_mut()).await;
                expect_that!(length, le(begun));
                expect_that!(complete, eq(false));
            }
        }
    };
    LocalSet::new().run_until(test).await;
}

#[gtest]
#[tokio::test]
async fn a_caller_that_disconnects_ends_the_upstreams_work() {
    let test = async {
        let core = core();
        let reply = ScriptedReply::Slow {
            whole: 2 << 20,
            begun: 1 << 20,
            rest_after: LONG_TIME,
        };
        let started_upstreams = upstreams(&core, "s", 1, reply).await;
        let report = run(&core, 1).await;
        drop(report);
        // The connection was closed, so the next request needs a new connection.
        let second_report = run(&core, 1).await;
        expect_that!(second_report.reply.status().as_u16(), eq(200));
        expect_that!(started_upstreams[0].log.borrow().connections, eq(2));
    };
    LocalSet::new().run_until(test).await;
}

pub(super) fn gather_route(shards: &[&str], min_coverage: f64) -> (Rc<RouteEntry>, RunTarget) {
    let gather_terms = GatherTerms {
        shards: shards
            .iter()
            .map(|shard| UpstreamService::new(*shard))
            .collect(),
        max_records: 10,
        min_coverage,
    };
    let route = route(2, RouteTarget::Gather(gather_terms.clone()));
    (route, RunTarget::Gather(gather_terms))
}

/// A query for which too few shards have an upstream is refused before anything runs, and the caller is told when to
/// retry.
#[gtest]
#[tokio::test]
async fn nothing_is_sent_while_too_few_shards_have_an_upstream() {
    let test = async {
        let core = core();
        let known_upstreams = upstreams(&core, "s0", 2, ScriptedReply::Answer(16)).await;
        let (route, target) = gather_route(&["s0", "s1", "s2"], 0.9);
        let quarantine_status = QuarantineStatus::Clear;
        let report =
            run_request(&core, &route, target, request(LONG_TIME), quarantine_status).await;
        expect_that!(report.reply.status().as_u16(), eq(503));
        expect_that!(report.reply.headers().contains_key("retry-after"), eq(true));
        for upstream in &known_upstreams {
            expect_that!(upstream.log.borrow().requests.len(), eq(0));
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Entries that expired during a store outage return one by one; a request waits for them if its deadline allows.
#[gtest]
#[tokio::test]
async fn a_request_waits_for_upstreams_that_are_about_to_be_registered() {
    let test = async {
        // Deadline of the request in ms and expected status.
        for (time_left_ms, status) in [(5_000, 200), (600, 503)] {
            let core = core();
            core.registry.record_read(now());
            let _first_upstreams = upstreams(&core, "s0", 1, ScriptedReply::Answer(16)).await;
            let (route, target) = gather_route(&["s0", "s1"], 0.9);
            let request = request(Duration::from_millis(time_left_ms));
            let running_request = tokio::task::spawn_local({
                let core = Rc::clone(&core);
                let quarantine_status = QuarantineStatus::Clear;
                async move { run_request(&core, &route, target, request, quarantine_status).await }
            });
            tokio::time::sleep(Duration::from_millis(200)).await;
            expect_that!(
                running_request.is_finished(),
                eq(status == 503),
                "{time_left_ms}"
            );
            let _second_upstreams = upstreams(&core, "s1", 1, ScriptedReply::Answer(16)).await;
            let report = running_request.await.expect("no panic");
            expect_that!(report.reply.status().as_u16(), eq(status), "{time_left_ms}");
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Upstreams that declined a request have received it, so the VM that requested the parts spends a repeat for the next
/// attempt. The request itself is only counted there; gathering parts adds no tokens.
#[gtest]
#[tokio::test]
async fn a_gathering_vm_reports_declined_shards() {
    let test = async {
        let mut settings = settings();
        // The tokens refilled from the share of the slack are negligible while the test runs.
        settings.budget.window = Duration::from_hours(10_000);
        let core = core_with(settings);
        let _declining_upstreams = upstreams(&core, "s0", 1, ScriptedReply::Decline).await;
        let disconnecting_upstreams = upstreams(&core, "s1", 1, ScriptedReply::Break).await;
        let (route, target) = gather_route(&["s0", "s1", "s2"], 0.0);
        let RunTarget::Gather(gather_terms) = target else {
            panic!("expected shards");
        };
        let service = UpstreamService::new("s1");
        let spend_repeat = |core: &GatewayCore| {
            let time = core.running_time();
            core.retry_budget.borrow_mut().spend(&service, time)
        };
        while spend_repeat(&core).is_ok() {}
        let tokens_before = core
            .retry_budget
            .borrow()
            .available_repeats(&service, core.running_time());
        let mut failed_shards = Vec::new();
        let answer_by = now() + LONG_TIME;
        run_partial(
            &core,
            &route,
            gather_terms,
            request(LONG_TIME),
            answer_by,
            |reply| {
                failed_shards.extend(reply.failed);
            },
        )
        .await;
        failed_shards.sort_by_key(|shard| shard.shard);
        let progress: Vec<_> = failed_shards.iter().map(|shard| shard.progress).collect();
        expect_that!(
            progress,
            elements_are![
                eq(&ShardProgress::Declined),
                eq(&ShardProgress::Run),
                eq(&ShardProgress::Unsent)
            ]
        );
        expect_that!(
            disconnecting_upstreams[0].log.borrow().requests.len(),
            ge(1)
        );
        let time = core.running_time();
        let tokens_after = core.retry_budget.borrow().available_repeats(&service, time);
        expect_that!(
            tokens_after - tokens_before,
            lt(0.1),
            "a counted request earns 0.19"
        );
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against treating harmless broken connections as crashes: upstreams that reset a connection and accept the
/// next one have not crashed, so the lost shards are retried in parallel and none waits for another.
#[gtest]
#[tokio::test(start_paused = true)]
async fn shards_lost_by_harmless_breaks_do_not_wait_for_one_another() {
    let test = async {
        limit_clock_steps();
        let core = core();
        let services = ["s0", "s1", "s2", "s3"];
        let mut other_upstreams = Vec::new();
        let mut disconnecting_upstreams = Vec::new();
        for service in services {
            disconnecting_upstreams
                .extend(upstreams(&core, service, 1, ScriptedReply::Break).await);
            let other_upstream = ScriptedUpstream::start(ScriptedReply::Hold).await;
            let key = format_compact!("{service}-other");
            let entry = entry(&key, service, "north-a", other_upstream.address);
            core.registry.put(&key, entry, now(), 4);
            other_upstreams.push(other_upstream);
            // Makes the upstream that breaks its connections the one that is chosen first.
            let listed_upstreams = core.registry.upstreams(&UpstreamService::new(service));
            let health = &listed_upstreams[1].health;
            health.borrow_mut().record_failure(now(), now());
        }
        let (route, target) = gather_route(&services, 1.0);
        let request = request(Duration::from_millis(600));
        run_request(&core, &route, target, request, QuarantineStatus::Clear).await;
        for other_upstream in &other_upstreams {
            expect_that!(other_upstream.log.borrow().requests.len(), ge(1));
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Upstreams that are gone after a connection to them broke may have been crashed by the request. Once two are lost,
/// one shard is sent as a probe; if its upstream is lost too, nothing more is sent.
#[gtest]
#[tokio::test]
async fn a_request_that_crashes_upstreams_is_not_sent_to_more() {
    let test = async {
        let core = core();
        let services = ["s0", "s1", "s2", "s3", "s4", "s5"];
        let mut crashing_upstreams = Vec::new();
        for service in services {
            crashing_upstreams.extend(upstreams(&core, service, 2, ScriptedReply::Crash).await);
        }
        let (route, target) = gather_route(&services, 1.0);
        let request = request(Duration::from_secs(2));
        let report = run_request(&core, &route, target, request, QuarantineStatus::Clear).await;
        expect_that!(report.reply.status().as_u16(), eq(502));
        let reached_upstreams = crashing_upstreams
            .iter()
            .filter(|upstream| !upstream.log.borrow().requests.is_empty());
        // Six first attempts, one retry before the first broken connection is confirmed as a loss, and the probe.
        expect_that!(reached_upstreams.count(), le(8));
    };
    LocalSet::new().run_until(test).await;
}

/// A request that only waited for a connection until its deadline has not run. The reply says so and when to retry,
/// and the request isn't sent later.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_request_that_only_waited_for_a_connection_has_not_run() {
    let test = async {
        limit_clock_steps();
        let core = core();
        let upstream = ScriptedUpstream::start(ScriptedReply::Hold).await;
        let entry = entry("only", "s", "north-a", upstream.address);
        core.registry.put(&"only".into(), entry, now(), 1);
        let (route, target) = single_route(1);
        let first_run = run_request(
            &core,
            &route,
            target.clone(),
            request(Duration::from_millis(600)),
            QuarantineStatus::Clear,
        );
        let second_run = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let request = request(Duration::from_millis(200));
            run_request(
                &core,
                &route,
                target.clone(),
                request,
                QuarantineStatus::Clear,
            )
            .await
        };
        let (first_report, second_report) = tokio::join!(first_run, second_run);
        expect_that!(first_report.reply.status().as_u16(), eq(504));
        expect_that!(second_report.reply.status().as_u16(), eq(503));
        expect_that!(
            second_report.reply.headers().contains_key("retry-after"),
            eq(true)
        );
        tokio::time::sleep(Duration::from_millis(400)).await;
        expect_that!(upstream.log.borrow().requests.len(), eq(1));
    };
    LocalSet::new().run_until(test).await;
}

/// Registers an upstream of a service in a zone, with its port in the key.
pub(super) fn register_in(
    core: &GatewayCore,
    service: &str,
    zone: &str,
    upstream: &ScriptedUpstream,
) {
    let key = format_compact!("{service}-{zone}-{}", upstream.address.port());
    let entry = entry(&key, service, zone, upstream.address);
    // The upstream has been known for long enough to be probed.
    let known_since = now()
        .checked_sub(LONG_TIME)
        .expect("a time after the start of the clock");
    core.registry.put(&key, entry, known_since, 4);
}

fn with_home_regions(route: &Rc<RouteEntry>, regions: &[&str]) -> Rc<RouteEntry> {
    Rc::new(RouteEntry {
        home_regions: HomeRegions::new(regions.iter().map(PlaceName::new)),
        ..RouteEntry::clone(route)
    })
}

fn arrivals(upstreams: &[ScriptedUpstream]) -> usize {
    let counts = upstreams
        .iter()
        .map(|upstream| upstream.log.borrow().requests.len());
    counts.sum()
}

/// All attempts stay in the home regions whatever their outcome: first attempts, retries, hedges and probes.
#[gtest]
#[tokio::test]
async fn no_attempt_leaves_the_home_regions() {
    let test = async {
        for reply in [
            ScriptedReply::Answer(16),
            ScriptedReply::Break,
            ScriptedReply::Decline,
            ScriptedReply::Crash,
            ScriptedReply::Hold,
        ] {
            for is_gathered in [false, true] {
                let core = core();
                let services = ["s", "s1", "s2"];
                let (mut home_upstreams, mut other_upstreams) = (Vec::new(), Vec::new());
                for service in services {
                    earn_repeats(&core, service);
                    for zone in ["north-a", "north-b", "south-a", "unknown"] {
                        let upstream = ScriptedUpstream::start(reply).await;
                        register_in(&core, service, zone, &upstream);
                        let list = if zone == "south-a" {
                            &mut home_upstreams
                        } else {
                            &mut other_upstreams
                        };
                        list.push(upstream);
                    }
                }
                let (route, target) = if is_gathered {
                    gather_route(&services, 0.3)
                } else {
                    single_route(3)
                };
                let route = with_home_regions(&route, &["south"]);
                let request = request(Duration::from_millis(900));
                run_request(&core, &route, target, request, QuarantineStatus::Clear).await;
                expect_that!(
                    arrivals(&other_upstreams),
                    eq(0),
                    "{reply:?} gathered={is_gathered}"
                );
                expect_that!(
                    arrivals(&home_upstreams),
                    ge(1),
                    "{reply:?} gathered={is_gathered}"
                );
            }
        }
    };
    LocalSet::new().run_until(test).await;
}

/// A request doesn't wait if its only upstreams are in other regions or in evacuated availability zones: the caller is
/// told at once that nothing ran and when to retry.
#[gtest]
#[tokio::test]
async fn a_request_without_an_upstream_at_home_is_refused_at_once() {
    let test = async {
        for evacuated in [false, true] {
            let core = core();
            core.registry.record_read(now());
            let upstream = ScriptedUpstream::start(ScriptedReply::Answer(16)).await;
            register_in(&core, "s", "south-a", &upstream);
            let (route, target) = single_route(2);
            let home_region = if evacuated { "south" } else { "north" };
            if evacuated {
                core.registry.evacuate(&PlaceName::new("south-a"));
            }
            let route = with_home_regions(&route, &[home_region]);
            let began = now();
            let report = run_request(
                &core,
                &route,
                target,
                request(LONG_TIME),
                QuarantineStatus::Clear,
            )
            .await;
            if evacuated {
                expect_that!(now() - began, lt(Duration::from_millis(100)));
            }
            expect_that!(report.reply.status().as_u16(), eq(503));
            expect_that!(report.outcome, eq("not-at-home"));
            expect_that!(report.reply.headers().contains_key("retry-after"), eq(true));
            expect_that!(upstream.log.borrow().requests.len(), eq(0));
        }
    };
    LocalSet::new().run_until(test).await;
}

/// An attempt that waits for a connection when its availability zone is evacuated is not sent; a running attempt
/// completes.
#[gtest]
#[tokio::test]
async fn waiting_attempts_are_not_sent_to_an_evacuated_zone() {
    let test = async {
        let core = core();
        let upstream = ScriptedUpstream::start(ScriptedReply::Slow {
            whole: 16,
            begun: 1,
            rest_after: Duration::from_millis(300),
        })
        .await;
        let entry = entry("only", "s", "north-a", upstream.address);
        core.registry.put(&"only".into(), entry, now(), 1);
        let (route, target) = single_route(1);
        let run = || {
            run_request(
                &core,
                &route,
                target.clone(),
                request(Duration::from_millis(900)),
                QuarantineStatus::Clear,
            )
        };
        let second_run = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            run().await
        };
        let evacuation = async {
            tokio::time::sleep(Duration::from_millis(150)).await;
            core.registry.evacuate(&PlaceName::new("north-a"));
        };
        let (first_report, second_report, ()) = tokio::join!(run(), second_run, evacuation);
        expect_that!(first_report.reply.status().as_u16(), eq(200));
        expect_that!(second_report.reply.status().as_u16(), eq(503));
        expect_that!(upstream.log.borrow().requests.len(), eq(1));
    };
    LocalSet::new().run_until(test).await;
}

/// Creates a process with a bound on requests to cold upstreams, and a service whose upstreams tolerate
/// `tolerated_rate` requests per second while cold.
fn core_with_cold(tolerated_rate: f64) -> Rc<GatewayCore> {
    let core = core_with(GatewaySettings {
        cold_bound: Some(ColdBound {
            overage: 1.5,
            slack: 5.0,
        }),
        ..settings()
    });
    let service_properties = ServiceTerms {
        connections: 60,
        cold_rate: RequestRate(tolerated_rate),
        cold_time: Duration::from_secs(3),
    };
    let limits = CallerLimits {
        header_bytes: 1_000,
        body_bytes: 1_000,
        header_timeout: LONG_TIME,
        idle_timeout: LONG_TIME,
    };
    let services = [(UpstreamService::new("s"), service_properties)];
    core.install_table(RouteTable::new(ConfigVersion(1), [], services, limits));
    core
}

/// Registers an upstream that reports that it is cold.
async fn cold_upstream(core: &GatewayCore, instance: &str) -> ScriptedUpstream {
    let upstream = ScriptedUpstream::start(ScriptedReply::Answer(16)).await;
    let entry = UpstreamEntry {
        cold_remaining: Duration::from_secs(2),
        ..entry(instance, "s", "north-a", upstream.address)
    };
    core.registry.put(&instance.into(), entry, now(), 4);
    upstream
}

/// Makes this process the holder of the claim on its zone.
fn hold_claim(core: &GatewayCore) {
    let zone = &core.settings.place.zone;
    core.cold_claims.with_zone(zone, |claim| {
        let time = core.running_time();
        let write = claim.next_write(true, time).expect("nobody holds it");
        claim.record_write(write, StoreRevision::new(1), time, time);
    });
}

/// Guards against crashing a zone that returns cold: a VM without the claim sends nothing to cold upstreams, and
/// requests go to warm upstreams if there are any.
#[gtest]
#[tokio::test]
async fn a_cold_upstream_is_left_to_the_vm_that_has_the_claim() {
    let test = async {
        let core = core_with_cold(3.0);
        let cold_server = cold_upstream(&core, "cold").await;
        let report = run(&core, 2).await;
        expect_that!(report.reply.status().as_u16(), eq(503));
        let retry_after = report.reply.headers()["retry-after"].to_str();
        let retry_after: f64 = retry_after.expect("a text").parse().expect("seconds");
        expect_that!(retry_after, all![gt(1.0), le(2.0)]);
        let warm_server = ScriptedUpstream::start(ScriptedReply::Answer(16)).await;
        register_in(&core, "s", "south-a", &warm_server);
        for _ in 0..8 {
            let report = run(&core, 2).await;
            expect_that!(report.reply.status().as_u16(), eq(200));
        }
        expect_that!(cold_server.log.borrow().requests.len(), eq(0));
        expect_that!(warm_server.log.borrow().requests.len(), eq(8));
    };
    LocalSet::new().run_until(test).await;
}

/// The claim holder sends cold upstreams as many requests as they tolerate and uses other upstreams for the rest, on
/// all routes.
#[gtest]
#[tokio::test]
async fn the_vm_that_has_the_claim_keeps_to_the_pace() {
    let test = async {
        let core = core_with_cold(3.0);
        hold_claim(&core);
        let cold_server = cold_upstream(&core, "cold").await;
        let warm_server = ScriptedUpstream::start(ScriptedReply::Answer(16)).await;
        register_in(&core, "s", "south-a", &warm_server);
        // Start and end of each request that went to the cold upstream.
        let mut request_spans = Vec::new();
        for _ in 0..20 {
            let (requests_before, began) = (cold_server.log.borrow().requests.len(), now());
            let report = run(&core, 2).await;
            expect_that!(report.reply.status().as_u16(), eq(200));
            if cold_server.log.borrow().requests.len() > requests_before {
                request_spans.push((began, now()));
            }
        }
        // The cold upstream gets at most three requests in any second, however long a busy machine takes for all of
        // them.
        expect_that!(request_spans.len(), ge(3));
        for four_spans in request_spans.windows(4) {
            let (first_begin, last_end) = (four_spans[0].0, four_spans[3].1);
            expect_that!(last_end - first_begin, ge(Duration::from_secs(1)));
        }
        expect_that!(
            cold_server.log.borrow().requests.len(),
            eq(request_spans.len())
        );
        expect_that!(
            warm_server.log.borrow().requests.len(),
            eq(20 - request_spans.len())
        );
    };
    LocalSet::new().run_until(test).await;
}

/// After an evacuation upstreams are treated as cold, because they may be cold again without having reported it yet.
#[gtest]
#[tokio::test]
async fn upstreams_are_cold_after_an_evacuation() {
    let test = async {
        for (tolerated_rate, expected) in [(3.0, 503), (0.0, 200)] {
            let core = core_with_cold(tolerated_rate);
            let upstream = ScriptedUpstream::start(ScriptedReply::Answer(16)).await;
            register_in(&core, "s", "north-a", &upstream);
            let zone = PlaceName::new("north-a");
            core.registry.evacuate(&zone);
            core.assume_cold(&zone);
            core.registry.end_evacuation(&zone);
            let report = run(&core, 2).await;
            expect_that!(
                report.reply.status().as_u16(),
                eq(expected),
                "{tolerated_rate}"
            );
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Load pattern: each VM of a large fleet sees few requests, and each shard has many upstreams. A VM that spread its
/// requests over all of them would open a new connection for most requests, the more upstreams there are. At most one
/// request in five may open one.
#[gtest]
#[tokio::test]
async fn a_vm_with_few_requests_reuses_its_connections() {
    let test = async {
        const REQUESTS: usize = 30;
        for upstream_count in [7, 21] {
            let core = core();
            let started = upstreams(&core, "s", upstream_count, ScriptedReply::Answer(10)).await;
            for _ in 0..REQUESTS {
                let report = run(&core, 2).await;
                expect_that!(report.reply.status().as_u16(), eq(200));
                drop(report);
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            let connections = started
                .iter()
                .map(|upstream| upstream.log.borrow().connections);
            expect_that!(
                connections.sum::<usize>(),
                le(REQUESTS / 5),
                "{upstream_count} upstreams"
            );
        }
    };
    LocalSet::new().run_until(test).await;
}
