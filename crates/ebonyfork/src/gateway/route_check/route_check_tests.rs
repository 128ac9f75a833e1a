use std::rc::Rc;

use googletest::prelude::*;
use tokio::net::TcpListener;
use tokio::task::{JoinSet, LocalSet};
use tokio_util::sync::CancellationToken;

use super::*;
use crate::gateway::fixture::{dialect, settings};
use crate::gateway::ident::{ConfigVersion, RouteName, UpstreamService};
use crate::gateway::peers::{accept_links, follow_links, open_links};
use crate::gateway::policy::homes::HomeRegions;
use crate::gateway::route::{CallerLimits, RepeatKind, RouteTarget};
use crate::ident::{IncarnationNumber, RevisionNumber, SessionId, VmAddress, ZoneName};
use crate::membership::{MemberDigest, MemberEntry, MemberSnapshot, MemberState};

fn vm(last: u8) -> VmAddress {
    format!("127.0.0.{last}").parse().expect("a valid address")
}

fn zone() -> ZoneName {
    "a".parse().expect("a valid name")
}

fn route(prefix: &str, service: &str) -> RouteEntry {
    RouteEntry {
        name: RouteName::new(prefix),
        host: "t.example".into(),
        prefix: prefix.into(),
        repeat: RepeatKind::Idempotent,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(500),
        attempts: 2,
        priority: 0,
        destination: RouteTarget::One(UpstreamService::new(service)),
        homes: HomeRegions::default(),
    }
}

fn table(version: u64, routes: &[(&str, &str)]) -> RouteTable {
    let limits = CallerLimits {
        header_bytes: 1_000,
        body_bytes: 1_000,
        header_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    let routes = routes
        .iter()
        .map(|(prefix, service)| route(prefix, service));
    RouteTable::new(ConfigVersion(version), routes, [], limits)
}

/// Returns what gossip states about the second VM.
fn members(version: u64, state: MemberState) -> MemberSnapshot {
    MemberSnapshot::new([MemberEntry {
        vm: vm(2),
        zone: zone(),
        incarnation: IncarnationNumber(1),
        state,
        digest: MemberDigest {
            revision: RevisionNumber(version),
            load: 0,
        },
    }])
}

/// Two linked VMs; the first one's copy of the store is stale.
struct TwoVms {
    first: Rc<GatewayCore>,
    second: Rc<GatewayCore>,
    tasks: Vec<JoinSet<()>>,
}

impl TwoVms {
    async fn start() -> Self {
        let mut listeners = Vec::new();
        let first = TcpListener::bind((vm(1).0, 0)).await.expect("a free port");
        let port = first.local_addr().expect("a bound address").port();
        listeners.push(first);
        let second = TcpListener::bind((vm(2).0, port)).await;
        listeners.push(second.expect("the same port"));
        let mut cores = Vec::new();
        let mut tasks = Vec::new();
        for (last, listener) in (1..).zip(listeners) {
            let core = Rc::new(GatewayCore::new(settings(), dialect()));
            let session = SessionId::new(vm(last), IncarnationNumber(1));
            let (pool, events) = open_links(session, port, CancellationToken::new());
            core.delegates.set_pool(pool.clone());
            let mut set = JoinSet::new();
            set.spawn_local(accept_links(pool, listener));
            set.spawn_local(follow_links(Rc::clone(&core), events));
            cores.push(core);
            tasks.push(set);
        }
        let second = cores.remove(1);
        let first = cores.remove(0);
        Self {
            first,
            second,
            tasks,
        }
    }

    fn put(&self, own: RouteTable, other: RouteTable) {
        let newest = other.version().0;
        self.first.install_table(own);
        self.second.install_table(other);
        let members = members(newest, MemberState::Alive);
        self.first
            .route_checks
            .note_members(&members, vm(1), &zone());
    }

    async fn check(&self, path: &str) -> Result<(), RefusalReason> {
        let table = self.first.table().expect("a table");
        let route = table.find("t.example", path).map(Rc::clone);
        check_route(&self.first, &table, &route.expect("a route")).await
    }
}

/// A VM must not serve a route that has changed once it knows that its configuration is outdated. A VM knew for 8 s
/// that its copy was stale and that a newer version was in force elsewhere, but still served its old routes, although
/// it could have found out which ones had changed.
#[gtest]
#[tokio::test]
async fn a_stale_route_that_has_changed_is_refused() {
    let test = async {
        let vms = TwoVms::start().await;
        vms.put(
            table(
                10,
                &[("/a/", "s"), ("/b/", "s"), ("/c/", "s"), ("/d/", "s")],
            ),
            table(
                14,
                &[
                    ("/a/", "s"),
                    ("/b/", "moved"),
                    ("/d/", "s"),
                    ("/d/e/", "new"),
                ],
            ),
        );
        expect_that!(vms.check("/a/1").await, ok(eq(())), "unchanged");
        let refused = err(eq(RefusalReason::OldConfig));
        expect_that!(vms.check("/b/1").await, refused, "moved");
        let refused = err(eq(RefusalReason::OldConfig));
        expect_that!(vms.check("/c/1").await, refused, "removed");
        let refused = err(eq(RefusalReason::OldConfig));
        expect_that!(
            vms.check("/d/e/1").await,
            refused,
            "a longer prefix matches now"
        );
    };
    LocalSet::new().run_until(test).await;
}

#[gtest]
#[tokio::test]
async fn a_route_is_checked_once_per_version() {
    let test = async {
        let mut vms = TwoVms::start().await;
        vms.put(table(10, &[("/a/", "s")]), table(14, &[("/a/", "s")]));
        expect_that!(vms.check("/a/1").await, ok(eq(())));
        vms.tasks.remove(1).shutdown().await;
        expect_that!(vms.check("/a/2").await, ok(eq(())), "known to be unchanged");
        let later = members(15, MemberState::Alive);
        vms.first.route_checks.note_members(&later, vm(1), &zone());
        let refused = err(eq(RefusalReason::OldConfig));
        expect_that!(vms.check("/a/3").await, refused, "no response");
    };
    LocalSet::new().run_until(test).await;
}

/// While the store is unreachable for all VMs, every copy is stale and no VM has a newer version, so all of them go on
/// serving.
#[gtest]
#[tokio::test]
async fn without_a_newer_version_elsewhere_every_route_is_served() {
    let test = async {
        let vms = TwoVms::start().await;
        vms.put(table(14, &[("/a/", "s")]), table(14, &[("/a/", "moved")]));
        expect_that!(vms.first.relay.is_stale(), eq(true));
        expect_that!(vms.check("/a/1").await, ok(eq(())));
        let checks = &vms.first.route_checks;
        checks.note_members(&members(15, MemberState::Failed), vm(1), &zone());
        expect_that!(
            vms.check("/a/1").await,
            ok(eq(())),
            "announced by a failed VM"
        );
        checks.note_members(&members(15, MemberState::Alive), vm(1), &zone());
        vms.first.relay.note_proof(now());
        expect_that!(vms.check("/a/1").await, ok(eq(())), "not overdue yet");
    };
    LocalSet::new().run_until(test).await;
}

/// A store was restored without the newest version, and a VM that started at that time served the routes of the
/// previous one.
#[gtest]
#[tokio::test]
async fn a_version_lost_by_the_store_is_noticed_once_overdue() {
    let test = async {
        let vms = TwoVms::start().await;
        let lost = [("/a/", "s"), ("/b/", "moved"), ("/c/", "new")];
        vms.put(table(10, &[("/a/", "s"), ("/b/", "s")]), table(14, &lost));
        vms.first.relay.note_proof(now());
        vms.first.compare_own_version();
        expect_that!(vms.check("/b/1").await, ok(eq(())), "not overdue yet");
        expect_that!(vms.first.no_route_reason(), eq(RefusalReason::NoRoute));
        let since = now().checked_sub(settings().change_bound);
        let Some(since) = since else { return };
        vms.first
            .route_checks
            .note_own_version(ConfigVersion(9), since);
        vms.first
            .route_checks
            .note_own_version(ConfigVersion(10), since);
        expect_that!(vms.check("/a/1").await, ok(eq(())), "unchanged");
        let refused = err(eq(RefusalReason::OldConfig));
        expect_that!(vms.check("/b/1").await, refused, "moved");
        expect_that!(vms.first.no_route_reason(), eq(RefusalReason::OldConfig));
        vms.first.install_table(table(14, &lost));
        expect_that!(vms.check("/b/1").await, ok(eq(())), "written again");
        expect_that!(vms.first.no_route_reason(), eq(RefusalReason::NoRoute));
    };
    LocalSet::new().run_until(test).await;
}

/// A request whose caller had left, or that timed out, was never dropped if the VM that was asked did not respond.
#[gtest]
#[tokio::test]
async fn abandoned_requests_are_dropped() {
    let test = async {
        let mut vms = TwoVms::start().await;
        vms.put(table(10, &[("/a/", "s")]), table(14, &[("/a/", "s")]));
        vms.tasks.remove(1).shutdown().await;
        for _request in 0..3 {
            let asking = vms.check("/a/1");
            let left = tokio::time::timeout(Duration::from_millis(5), asking).await;
            expect_that!(left.is_err(), eq(true), "the caller has left");
        }
        expect_that!(vms.first.route_checks.pending_requests(), eq(1));
    };
    LocalSet::new().run_until(test).await;
}
