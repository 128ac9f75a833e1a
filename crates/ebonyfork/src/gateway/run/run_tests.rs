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

const ID: &str = "r-1";
/// Much longer than any operation in these tests.
const LONG: Duration = Duration::from_secs(10);

/// Creates a process that has run long enough to hold its share of the slack for repeats.
fn core() -> Rc<GatewayCore> {
    core_with(settings())
}

fn core_with(settings: GatewaySettings) -> Rc<GatewayCore> {
    let mut core = GatewayCore::new(settings, dialect());
    core.started -= LONG;
    Rc::new(core)
}

/// Counts enough requests to a service to fill its token bucket.
fn earn_repeats(core: &GatewayCore, service: &str) {
    for _ in 0..1_000 {
        let service = UpstreamService::new(service);
        core.retry_budget
            .borrow_mut()
            .record_request(&service, core.running_time());
    }
}

/// Starts and registers upstreams of a service that all behave in the same way.
async fn upstreams(
    core: &GatewayCore,
    service: &str,
    count: usize,
    reply: ScriptedReply,
) -> Vec<ScriptedUpstream> {
    earn_repeats(core, service);
    let mut started = Vec::new();
    for number in 0..count {
        let upstream = ScriptedUpstream::start(reply).await;
        let key = format_compact!("{service}-{number}");
        let entry = entry(&key, service, "north-a", upstream.address);
        core.registry.put(&key, entry, now(), 4);
        started.push(upstream);
    }
    started
}

fn route(attempts: usize, destination: RouteTarget) -> Rc<RouteEntry> {
    Rc::new(RouteEntry {
        name: crate::gateway::RouteName::new("r"),
        host: "t.example".into(),
        prefix: "/".into(),
        idempotency: Idempotency::Idempotent,
        timeout: LONG,
        target: Duration::from_millis(500),
        attempts,
        priority: 0,
        destination,
        home_regions: HomeRegions::default(),
    })
}

fn one(attempts: usize) -> (Rc<RouteEntry>, RunTarget) {
    let service = UpstreamService::new("s");
    let route = route(attempts, RouteTarget::One(service.clone()));
    (route, RunTarget::One(service))
}

fn request(left: Duration) -> Rc<ForwardRequest> {
    let (parts, ()) = Request::get("/1")
        .header("host", "t.example")
        .header("x-request-id", ID)
        .body(())
        .expect("a request")
        .into_parts();
    let id = HeaderValue::from_static(ID);
    let received = now();
    let finish_by = received + left;
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

async fn run(core: &Rc<GatewayCore>, attempts: usize) -> RunReport {
    let (route, target) = one(attempts);
    run_request(core, &route, target, request(LONG), QuarantineStatus::Clear).await
}

/// The route's limit on upstreams holds for all outcomes of the attempts, and for each shard separately.
#[gtest]
#[tokio::test]
async fn a_request_runs_on_no_more_upstreams_than_its_route_allows() {
    let test = async {
        for allowed in 1..=3 {
            let core = core();
            let broken = upstreams(&core, "s", 4, ScriptedReply::Break).await;
            let report = run(&core, allowed).await;
            expect_that!(report.reply.status().as_u16(), eq(502));
            let reached = broken
                .iter()
                .filter(|upstream| !upstream.log.borrow().requests.is_empty());
            expect_that!(reached.count(), all![ge(1), le(allowed)], "{allowed}");
            let sent: usize = broken
                .iter()
                .map(|upstream| upstream.log.borrow().requests.len())
                .sum();
            expect_that!(sent, le(4), "sends on the same upstreams are bounded too");
        }
    };
    LocalSet::new().run_until(test).await;
}

#[gtest]
#[tokio::test]
async fn each_shard_keeps_to_the_limit_separately() {
    let test = async {
        let core = core();
        let mut all = Vec::new();
        for service in ["s0", "s1", "s2"] {
            all.push(upstreams(&core, service, 3, ScriptedReply::Break).await);
        }
        let terms = GatherTerms {
            shards: ["s0", "s1", "s2"].map(UpstreamService::new).to_vec(),
            max_records: 10,
            min_coverage: 0.9,
        };
        let route = route(2, RouteTarget::Gather(terms.clone()));
        let target = RunTarget::Gather(terms);
        run_request(
            &core,
            &route,
            target,
            request(LONG),
            QuarantineStatus::Clear,
        )
        .await;
        for shard in &all {
            let reached = shard
                .iter()
                .filter(|upstream| !upstream.log.borrow().requests.is_empty());
            expect_that!(reached.count(), le(2));
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Work for a caller that has disconnected ends within 500 ms, and none is started.
#[gtest]
#[tokio::test]
async fn the_attempts_of_a_disconnected_caller_end_soon() {
    let test = async {
        // The caller disconnects early, while an answer may still come, or after the attempts are late.
        for leaves_after in [15, 150] {
            let core = core();
            let held = upstreams(&core, "s", 2, ScriptedReply::Hold).await;
            let leaving = Duration::from_millis(leaves_after);
            let left = tokio::time::timeout(leaving, run(&core, 2)).await;
            expect_that!(left.is_err(), eq(true));
            check_ends(&held, now()).await;
        }
    };
    LocalSet::new().run_until(test).await;
}

async fn check_ends(held: &[ScriptedUpstream], gone: Instant) {
    tokio::time::sleep(Duration::from_millis(700)).await;
    let mut ended = 0;
    for upstream in held {
        let log = upstream.log.borrow();
        let late = log.requests.iter().filter(|(at, _id)| *at > gone);
        expect_that!(late.count(), eq(0));
        expect_that!(log.ended.len(), eq(log.requests.len()));
        for end in &log.ended {
            let after = end.saturating_duration_since(gone);
            expect_that!(after, lt(Duration::from_millis(500)));
        }
        ended += log.ended.len();
    }
    expect_that!(ended, ge(1));
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
        let first = tokio::task::spawn_local({
            let core = Rc::clone(&core);
            async move { run(&core, 1).await }
        });
        while upstream.log.borrow().requests.is_empty() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let short = Duration::from_millis(10);
        let left = tokio::time::timeout(short, run(&core, 1)).await;
        expect_that!(left.is_err(), eq(true));
        let report = first.await.expect("no panic");
        expect_that!(report.reply.status().as_u16(), eq(200));
        tokio::time::sleep(Duration::from_millis(100)).await;
        expect_that!(upstream.log.borrow().requests.len(), eq(1));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a busy loop: with a wake-up time in the past, a waiting request would keep the processor busy until
/// its answer.
#[gtest]
#[tokio::test]
async fn the_next_wake_is_never_in_the_past() {
    let test = async {
        for idempotency in [Idempotency::Idempotent, Idempotency::Once] {
            let core = core();
            let _held = upstreams(&core, "s", 2, ScriptedReply::Hold).await;
            let (route, target) = one(2);
            let route = Rc::new(RouteEntry {
                idempotency,
                ..RouteEntry::clone(&route)
            });
            let mut run = QueryRun::new(&core, &route, target, request(LONG));
            run.begin(QuarantineStatus::Clear);
            for after_ms in [1, 40, 100, 450, 2_000, 8_000] {
                let time = run.request.received + Duration::from_millis(after_ms);
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
        let _started = upstreams(&core, "s", 1, ScriptedReply::Answer(1)).await;
        let upstream = Rc::clone(&core.registry.upstreams(&UpstreamService::new("s"))[0]);
        let context = AttemptContext {
            core: Rc::clone(&core),
            latency: Rc::<RefCell<_>>::default(),
            idempotency: Idempotency::Idempotent,
            stream_idle_timeout: None,
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
async fn read_body(body: &mut ReplyBody) -> (usize, bool) {
    let mut length = 0;
    // Like an HTTP server, stop polling once the body reports its end.
    while !hyper::body::Body::is_end_stream(body) {
        let Some(Ok(frame)) = body.frame().await else {
            return (length, false);
        };
        length += frame.data_ref().map_or(0, Bytes::len);
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
        let started = upstreams(&core, "s", 1, reply).await;
        let began = now();
        let mut report = run(&core, 2).await;
        let first = now().saturating_duration_since(began);
        expect_that!(first, lt(Duration::from_millis(250)));
        let body = report.reply.body_mut();
        let stated = hyper::body::Body::size_hint(body).exact();
        expect_that!(stated, some(eq(WHOLE as u64)));
        expect_that!(read_body(body).await, eq((WHOLE, true)));
        // The connection is reused for the next request.
        let mut next = run(&core, 2).await;
        expect_that!(read_body(next.reply.body_mut()).await, eq((WHOLE, true)));
        expect_that!(started[0].log.borrow().connections, eq(1));
    };
    LocalSet::new().run_until(test).await;
}

#[gtest]
#[tokio::test]
async fn a_truncated_answer_never_looks_complete() {
    let test = async {
        // A short answer isn't passed on at all; a long one ends with an error.
        for (whole, begun, status) in [(100_000, 50_000, 502), (2 << 20, 1 << 20, 200)] {
            let core = core();
            let reply = ScriptedReply::Truncated { whole, begun };
            let _started = upstreams(&core, "s", 1, reply).await;
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
            rest_after: LONG,
        };
        let started = upstreams(&core, "s", 1, reply).await;
        let report = run(&core, 1).await;
        drop(report);
        // The connection was closed, so the next request needs a new one.
        let second = run(&core, 1).await;
        expect_that!(second.reply.status().as_u16(), eq(200));
        expect_that!(started[0].log.borrow().connections, eq(2));
    };
    LocalSet::new().run_until(test).await;
}

fn gather_route(shards: &[&str], min_coverage: f64) -> (Rc<RouteEntry>, RunTarget) {
    let terms = GatherTerms {
        shards: shards
            .iter()
            .map(|shard| UpstreamService::new(*shard))
            .collect(),
        max_records: 10,
        min_coverage,
    };
    let route = route(2, RouteTarget::Gather(terms.clone()));
    (route, RunTarget::Gather(terms))
}

/// A query for which too few shards have an upstream is refused before anything runs, and the caller is told when to
/// retry.
#[gtest]
#[tokio::test]
async fn nothing_is_sent_while_too_few_shards_have_an_upstream() {
    let test = async {
        let core = core();
        let known = upstreams(&core, "s0", 2, ScriptedReply::Answer(16)).await;
        let (route, target) = gather_route(&["s0", "s1", "s2"], 0.9);
        let clear = QuarantineStatus::Clear;
        let report = run_request(&core, &route, target, request(LONG), clear).await;
        expect_that!(report.reply.status().as_u16(), eq(503));
        expect_that!(report.reply.headers().contains_key("retry-after"), eq(true));
        for upstream in &known {
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
        for (patience, status) in [(5_000, 200), (600, 503)] {
            let core = core();
            core.registry.record_read(now());
            let _first = upstreams(&core, "s0", 1, ScriptedReply::Answer(16)).await;
            let (route, target) = gather_route(&["s0", "s1"], 0.9);
            let request = request(Duration::from_millis(patience));
            let running = tokio::task::spawn_local({
                let core = Rc::clone(&core);
                let clear = QuarantineStatus::Clear;
                async move { run_request(&core, &route, target, request, clear).await }
            });
            tokio::time::sleep(Duration::from_millis(200)).await;
            expect_that!(running.is_finished(), eq(status == 503), "{patience}");
            let _second = upstreams(&core, "s1", 1, ScriptedReply::Answer(16)).await;
            let report = running.await.expect("no panic");
            expect_that!(report.reply.status().as_u16(), eq(status), "{patience}");
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
        // The refill from the slack is negligible while the test runs.
        settings.budget.window = Duration::from_hours(10_000);
        let core = core_with(settings);
        let _declining = upstreams(&core, "s0", 1, ScriptedReply::Decline).await;
        let held = upstreams(&core, "s1", 1, ScriptedReply::Break).await;
        let (route, target) = gather_route(&["s0", "s1", "s2"], 0.0);
        let RunTarget::Gather(terms) = target else {
            panic!("expected shards");
        };
        let service = UpstreamService::new("s1");
        let spend = |core: &GatewayCore| {
            let time = core.running_time();
            core.retry_budget.borrow_mut().spend(&service, time)
        };
        while spend(&core).is_ok() {}
        let before = core
            .retry_budget
            .borrow()
            .available(&service, core.running_time());
        let mut failed = Vec::new();
        let answer_by = now() + LONG;
        run_partial(&core, &route, terms, request(LONG), answer_by, |reply| {
            failed.extend(reply.failed);
        })
        .await;
        failed.sort_by_key(|shard| shard.shard);
        let progress: Vec<_> = failed.iter().map(|shard| shard.progress).collect();
        expect_that!(
            progress,
            elements_are![
                eq(&ShardProgress::Declined),
                eq(&ShardProgress::Run),
                eq(&ShardProgress::Unsent)
            ]
        );
        expect_that!(held[0].log.borrow().requests.len(), ge(1));
        let time = core.running_time();
        let after = core.retry_budget.borrow().available(&service, time);
        expect_that!(after - before, lt(0.1), "a counted request earns 0.19");
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against treating harmless breaks as crashes: upstreams that reset a connection and accept the next one have
/// not crashed, so the lost shards are retried in parallel and none waits for another.
#[gtest]
#[tokio::test]
async fn shards_lost_by_harmless_breaks_do_not_wait_for_one_another() {
    let test = async {
        let core = core();
        let services = ["s0", "s1", "s2", "s3"];
        let mut others = Vec::new();
        let mut breaking = Vec::new();
        for service in services {
            breaking.extend(upstreams(&core, service, 1, ScriptedReply::Break).await);
            let other = ScriptedUpstream::start(ScriptedReply::Hold).await;
            let key = format_compact!("{service}-other");
            let entry = entry(&key, service, "north-a", other.address);
            core.registry.put(&key, entry, now(), 4);
            others.push(other);
            // Makes the upstream that breaks the first choice.
            let listed = core.registry.upstreams(&UpstreamService::new(service));
            let health = &listed[1].health;
            health.borrow_mut().record_failure(now(), now());
        }
        let (route, target) = gather_route(&services, 1.0);
        let request = request(Duration::from_millis(600));
        run_request(&core, &route, target, request, QuarantineStatus::Clear).await;
        for other in &others {
            expect_that!(other.log.borrow().requests.len(), ge(1));
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Upstreams that are gone after a break may have been crashed by the request. Once two are lost, one shard is sent as
/// a probe; if its upstream is lost too, nothing more is sent.
#[gtest]
#[tokio::test]
async fn a_request_that_crashes_upstreams_is_not_sent_to_more() {
    let test = async {
        let core = core();
        let services = ["s0", "s1", "s2", "s3", "s4", "s5"];
        let mut crashing = Vec::new();
        for service in services {
            crashing.extend(upstreams(&core, service, 2, ScriptedReply::Crash).await);
        }
        let (route, target) = gather_route(&services, 1.0);
        let request = request(Duration::from_secs(2));
        let report = run_request(&core, &route, target, request, QuarantineStatus::Clear).await;
        expect_that!(report.reply.status().as_u16(), eq(502));
        let reached = crashing
            .iter()
            .filter(|upstream| !upstream.log.borrow().requests.is_empty());
        // Six first attempts, one retry before the first break is confirmed as a loss, and the probe.
        expect_that!(reached.count(), le(8));
    };
    LocalSet::new().run_until(test).await;
}

/// A request that only waited for a connection until its deadline has not run. The answer says so and when to retry,
/// and the request isn't sent later.
#[gtest]
#[tokio::test]
async fn a_request_that_only_waited_for_a_connection_has_not_run() {
    let test = async {
        let core = core();
        let upstream = ScriptedUpstream::start(ScriptedReply::Hold).await;
        let entry = entry("only", "s", "north-a", upstream.address);
        core.registry.put(&"only".into(), entry, now(), 1);
        let (route, target) = one(1);
        let first = run_request(
            &core,
            &route,
            target.clone(),
            request(Duration::from_millis(600)),
            QuarantineStatus::Clear,
        );
        let second = async {
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
        let (first, second) = tokio::join!(first, second);
        expect_that!(first.reply.status().as_u16(), eq(504));
        expect_that!(second.reply.status().as_u16(), eq(503));
        expect_that!(second.reply.headers().contains_key("retry-after"), eq(true));
        tokio::time::sleep(Duration::from_millis(400)).await;
        expect_that!(upstream.log.borrow().requests.len(), eq(1));
    };
    LocalSet::new().run_until(test).await;
}

/// Registers an upstream of a service in a zone, with its port in the key.
fn register_in(core: &GatewayCore, service: &str, zone: &str, upstream: &ScriptedUpstream) {
    let key = format_compact!("{service}-{zone}-{}", upstream.address.port());
    let entry = entry(&key, service, zone, upstream.address);
    // Old enough to be probed.
    let known_since = now()
        .checked_sub(LONG)
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
            for gathered in [false, true] {
                let core = core();
                let services = ["s", "s1", "s2"];
                let (mut home, mut other) = (Vec::new(), Vec::new());
                for service in services {
                    earn_repeats(&core, service);
                    for zone in ["north-a", "north-b", "south-a", "unknown"] {
                        let upstream = ScriptedUpstream::start(reply).await;
                        register_in(&core, service, zone, &upstream);
                        let list = if zone == "south-a" {
                            &mut home
                        } else {
                            &mut other
                        };
                        list.push(upstream);
                    }
                }
                let (route, target) = if gathered {
                    gather_route(&services, 0.3)
                } else {
                    one(3)
                };
                let route = with_home_regions(&route, &["south"]);
                let request = request(Duration::from_millis(900));
                run_request(&core, &route, target, request, QuarantineStatus::Clear).await;
                expect_that!(arrivals(&other), eq(0), "{reply:?} gathered={gathered}");
                expect_that!(arrivals(&home), ge(1), "{reply:?} gathered={gathered}");
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
            let (route, target) = one(2);
            let home = if evacuated { "south" } else { "north" };
            if evacuated {
                core.registry.evacuate(&PlaceName::new("south-a"));
            }
            let route = with_home_regions(&route, &[home]);
            let began = now();
            let report = run_request(
                &core,
                &route,
                target,
                request(LONG),
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
        let (route, target) = one(1);
        let run = || {
            run_request(
                &core,
                &route,
                target.clone(),
                request(Duration::from_millis(900)),
                QuarantineStatus::Clear,
            )
        };
        let second = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            run().await
        };
        let evacuation = async {
            tokio::time::sleep(Duration::from_millis(150)).await;
            core.registry.evacuate(&PlaceName::new("north-a"));
        };
        let (first, second, ()) = tokio::join!(run(), second, evacuation);
        expect_that!(first.reply.status().as_u16(), eq(200));
        expect_that!(second.reply.status().as_u16(), eq(503));
        expect_that!(upstream.log.borrow().requests.len(), eq(1));
    };
    LocalSet::new().run_until(test).await;
}

/// Creates a process with a bound on requests to cold upstreams, and a service whose upstreams tolerate `tolerated`
/// requests per second while cold.
fn core_with_cold(tolerated: f64) -> Rc<GatewayCore> {
    let core = core_with(GatewaySettings {
        cold_bound: Some(ColdBound {
            overage: 1.5,
            slack: 5.0,
        }),
        ..settings()
    });
    let terms = ServiceTerms {
        connections: 60,
        cold_rate: RequestRate(tolerated),
        cold_time: Duration::from_secs(3),
    };
    let limits = CallerLimits {
        header_bytes: 1_000,
        body_bytes: 1_000,
        header_timeout: LONG,
        idle_timeout: LONG,
    };
    let services = [(UpstreamService::new("s"), terms)];
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
        let cold = cold_upstream(&core, "cold").await;
        let report = run(&core, 2).await;
        expect_that!(report.reply.status().as_u16(), eq(503));
        let wait = report.reply.headers()["retry-after"].to_str();
        let wait: f64 = wait.expect("a text").parse().expect("seconds");
        expect_that!(wait, all![gt(1.0), le(2.0)]);
        let warm = ScriptedUpstream::start(ScriptedReply::Answer(16)).await;
        register_in(&core, "s", "south-a", &warm);
        for _ in 0..8 {
            let report = run(&core, 2).await;
            expect_that!(report.reply.status().as_u16(), eq(200));
        }
        expect_that!(cold.log.borrow().requests.len(), eq(0));
        expect_that!(warm.log.borrow().requests.len(), eq(8));
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
        let cold = cold_upstream(&core, "cold").await;
        let warm = ScriptedUpstream::start(ScriptedReply::Answer(16)).await;
        register_in(&core, "s", "south-a", &warm);
        // Start and end of each request that went to the cold upstream.
        let mut spans = Vec::new();
        for _ in 0..20 {
            let (before, began) = (cold.log.borrow().requests.len(), now());
            let report = run(&core, 2).await;
            expect_that!(report.reply.status().as_u16(), eq(200));
            if cold.log.borrow().requests.len() > before {
                spans.push((began, now()));
            }
        }
        // At most three in any second, however long a busy machine takes for all requests.
        expect_that!(spans.len(), ge(3));
        for four in spans.windows(4) {
            let (first, last) = (four[0].0, four[3].1);
            expect_that!(last - first, ge(Duration::from_secs(1)));
        }
        expect_that!(cold.log.borrow().requests.len(), eq(spans.len()));
        expect_that!(warm.log.borrow().requests.len(), eq(20 - spans.len()));
    };
    LocalSet::new().run_until(test).await;
}

/// After an evacuation upstreams are treated as cold, because they may be cold again without having reported it yet.
#[gtest]
#[tokio::test]
async fn upstreams_are_cold_after_an_evacuation() {
    let test = async {
        for (tolerated, expected) in [(3.0, 503), (0.0, 200)] {
            let core = core_with_cold(tolerated);
            let upstream = ScriptedUpstream::start(ScriptedReply::Answer(16)).await;
            register_in(&core, "s", "north-a", &upstream);
            let zone = PlaceName::new("north-a");
            core.registry.evacuate(&zone);
            core.assume_cold(&zone);
            core.registry.end_evacuation(&zone);
            let report = run(&core, 2).await;
            expect_that!(report.reply.status().as_u16(), eq(expected), "{tolerated}");
        }
    };
    LocalSet::new().run_until(test).await;
}
