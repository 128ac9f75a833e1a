use std::rc::Rc;

use googletest::prelude::*;
use tokio::net::TcpListener;
use tokio::task::{JoinSet, LocalSet};
use tokio_util::sync::CancellationToken;

use super::*;
use crate::gateway::fixture::{dialect, settings};
use crate::gateway::ident::{ConfigVersion, RouteName, UpstreamService};
use crate::gateway::organisation::{
    OrganisationDeclaration, OrganisationEntry, OrganisationName, OrganisationTable,
};
use crate::gateway::peers::{accept_links, follow_links, open_links};
use crate::gateway::policy::homes::HomeRegions;
use crate::gateway::route::{CallerLimits, Idempotency, RouteTarget};
use crate::ident::{IncarnationNumber, RevisionNumber, SessionId, VmAddress, ZoneName};
use crate::membership::{MemberDigest, MemberEntry, MemberSnapshot, MemberState};
use crate::wire::PoolSettings;

fn vm(host_number: u8) -> VmAddress {
    format!("127.0.0.{host_number}")
        .parse()
        .expect("a valid address")
}

fn zone() -> ZoneName {
    "a".parse().expect("a valid name")
}

fn route(prefix: &str, service: &str) -> RouteEntry {
    RouteEntry {
        name: RouteName::new(prefix),
        host: "t.example".into(),
        prefix: prefix.into(),
        idempotency: Idempotency::Idempotent,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(500),
        attempts: 2,
        priority: 0,
        destination: RouteTarget::One(UpstreamService::new(service)),
        home_regions: HomeRegions::default(),
        is_public: false,
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

/// Returns gossip's members: the second VM alone, in a given state and with a given version in force.
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

/// Two VMs that are linked to each other. The first one's copy of the store is stale, because it has never been read.
struct TwoVms {
    first_core: Rc<GatewayCore>,
    second_core: Rc<GatewayCore>,
    tasks: Vec<JoinSet<()>>,
}

impl TwoVms {
    async fn start() -> Self {
        let mut listeners = Vec::new();
        let first_listener = TcpListener::bind((vm(1).0, 0)).await.expect("a free port");
        let port = first_listener.local_addr().expect("a bound address").port();
        listeners.push(first_listener);
        let second_listener = TcpListener::bind((vm(2).0, port)).await;
        listeners.push(second_listener.expect("the same port"));
        let mut cores = Vec::new();
        let mut tasks = Vec::new();
        for (host_number, listener) in (1..).zip(listeners) {
            let core = Rc::new(GatewayCore::new(settings(), dialect()));
            let session = SessionId::new(vm(host_number), IncarnationNumber(1));
            let (pool, events) =
                open_links(PoolSettings::new(session, port), CancellationToken::new());
            core.delegates.set_pool(pool.clone());
            let mut vm_tasks = JoinSet::new();
            vm_tasks.spawn_local(accept_links(pool, listener));
            vm_tasks.spawn_local(follow_links(Rc::clone(&core), events));
            cores.push(core);
            tasks.push(vm_tasks);
        }
        let second_core = cores.remove(1);
        let first_core = cores.remove(0);
        Self {
            first_core,
            second_core,
            tasks,
        }
    }

    fn put_tables(&self, first_table: RouteTable, second_table: RouteTable) {
        let newest_version = second_table.version().0;
        self.first_core.install_table(first_table);
        self.second_core.install_table(second_table);
        let members = members(newest_version, MemberState::Alive);
        self.first_core
            .route_checks
            .note_members(&members, vm(1), &zone());
    }

    async fn check(&self, path: &str) -> Result<(), RefusalReason> {
        self.check_credential(path, None).await
    }

    async fn check_credential(
        &self,
        path: &str,
        credential: Option<CredentialDigest>,
    ) -> Result<(), RefusalReason> {
        let table = self.first_core.table().expect("a table");
        let route = table.find("t.example", path).map(Rc::clone);
        let route = route.expect("a route");
        check_route(&self.first_core, &table, &route, credential).await
    }
}

/// A VM that knows that its copy is stale and that another VM has a newer version in force must not serve a route that
/// changed in it. Without a check with that VM it serves its old routes until its copy is up to date again, 8 s in one
/// case.
#[gtest]
#[tokio::test]
async fn a_stale_route_that_has_changed_is_refused() {
    let test = async {
        let vms = TwoVms::start().await;
        vms.put_tables(
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
        let is_old_config_error = err(eq(RefusalReason::OldConfig));
        expect_that!(vms.check("/b/1").await, is_old_config_error, "moved");
        let is_old_config_error = err(eq(RefusalReason::OldConfig));
        expect_that!(vms.check("/c/1").await, is_old_config_error, "removed");
        let is_old_config_error = err(eq(RefusalReason::OldConfig));
        expect_that!(
            vms.check("/d/e/1").await,
            is_old_config_error,
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
        vms.put_tables(table(10, &[("/a/", "s")]), table(14, &[("/a/", "s")]));
        expect_that!(vms.check("/a/1").await, ok(eq(())));
        vms.tasks.remove(1).shutdown().await;
        expect_that!(vms.check("/a/2").await, ok(eq(())), "known to be unchanged");
        let newer_members = members(15, MemberState::Alive);
        vms.first_core
            .route_checks
            .note_members(&newer_members, vm(1), &zone());
        let is_old_config_error = err(eq(RefusalReason::OldConfig));
        expect_that!(vms.check("/a/3").await, is_old_config_error, "no response");
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
        vms.put_tables(table(14, &[("/a/", "s")]), table(14, &[("/a/", "moved")]));
        expect_that!(vms.first_core.relay.is_stale(), eq(true));
        expect_that!(vms.check("/a/1").await, ok(eq(())));
        let checks = &vms.first_core.route_checks;
        checks.note_members(&members(15, MemberState::Failed), vm(1), &zone());
        expect_that!(
            vms.check("/a/1").await,
            ok(eq(())),
            "announced by a failed VM"
        );
        checks.note_members(&members(15, MemberState::Alive), vm(1), &zone());
        vms.first_core.relay.note_up_to_date(now());
        expect_that!(vms.check("/a/1").await, ok(eq(())), "not overdue yet");
    };
    LocalSet::new().run_until(test).await;
}

/// A store restored from an older copy may lack the newest version. A VM that starts then reads the previous version
/// from an up-to-date copy, and must not serve its routes unchecked once the newest version is overdue.
#[gtest]
#[tokio::test]
async fn a_version_lost_by_the_store_is_noticed_once_overdue() {
    let test = async {
        let vms = TwoVms::start().await;
        let lost_routes = [("/a/", "s"), ("/b/", "moved"), ("/c/", "new")];
        vms.put_tables(
            table(10, &[("/a/", "s"), ("/b/", "s")]),
            table(14, &lost_routes),
        );
        vms.first_core.relay.note_up_to_date(now());
        vms.first_core.compare_own_version();
        expect_that!(vms.check("/b/1").await, ok(eq(())), "not overdue yet");
        expect_that!(vms.first_core.no_route_reason(), eq(RefusalReason::NoRoute));
        let behind_since = now().checked_sub(settings().change_bound);
        let Some(behind_since) = behind_since else {
            return;
        };
        vms.first_core
            .route_checks
            .note_own_version(ConfigVersion(9), behind_since);
        vms.first_core
            .route_checks
            .note_own_version(ConfigVersion(10), behind_since);
        expect_that!(vms.check("/a/1").await, ok(eq(())), "unchanged");
        let is_old_config_error = err(eq(RefusalReason::OldConfig));
        expect_that!(vms.check("/b/1").await, is_old_config_error, "moved");
        expect_that!(
            vms.first_core.no_route_reason(),
            eq(RefusalReason::OldConfig)
        );
        vms.first_core.install_table(table(14, &lost_routes));
        expect_that!(vms.check("/b/1").await, ok(eq(())), "written again");
        expect_that!(vms.first_core.no_route_reason(), eq(RefusalReason::NoRoute));
    };
    LocalSet::new().run_until(test).await;
}

/// A pending request must be dropped after its caller disconnected or its timeout expired, even if the VM that was
/// asked never responds: otherwise such requests accumulate.
#[gtest]
#[tokio::test]
async fn abandoned_requests_are_dropped() {
    let test = async {
        let mut vms = TwoVms::start().await;
        vms.put_tables(table(10, &[("/a/", "s")]), table(14, &[("/a/", "s")]));
        vms.tasks.remove(1).shutdown().await;
        for _request in 0..3 {
            let route_check = vms.check("/a/1");
            let outcome = tokio::time::timeout(Duration::from_millis(5), route_check).await;
            expect_that!(outcome.is_err(), eq(true), "the caller has left");
        }
        expect_that!(vms.first_core.route_checks.pending_request_count(), eq(1));
    };
    LocalSet::new().run_until(test).await;
}

fn organisation(name: &str, credentials: &[&[u8]]) -> OrganisationDeclaration {
    OrganisationDeclaration {
        organisation: OrganisationEntry {
            name: OrganisationName::new(name),
            quota: None,
            priority: None,
            home_regions: HomeRegions::default(),
        },
        credentials: credentials
            .iter()
            .map(|credential| CredentialDigest::new(credential))
            .collect(),
    }
}

fn organisations(declarations: [OrganisationDeclaration; 2]) -> OrganisationTable {
    OrganisationTable::new(declarations).expect("distinct organisations")
}

/// A credential that the newer version has removed must not be served by a VM that is behind, on a route that is the
/// same in both versions. The other credentials are served.
#[gtest]
#[tokio::test]
async fn a_removed_credential_is_refused_on_an_unchanged_route() {
    let test = async {
        let vms = TwoVms::start().await;
        let older = organisations([
            organisation("kept", &[b"1", b"2"]),
            organisation("removed", &[b"3"]),
        ]);
        let newer = organisations([
            organisation("kept", &[b"1"]),
            organisation("added", &[b"4"]),
        ]);
        vms.put_tables(
            table(10, &[("/a/", "s")]).with_organisations(older),
            table(11, &[("/a/", "s")]).with_organisations(newer),
        );
        let check = async |credential: &[u8]| {
            let credential = Some(CredentialDigest::new(credential));
            vms.check_credential("/a/1", credential).await
        };
        expect_that!(check(b"1").await, ok(eq(())));
        expect_that!(check(b"2").await, err(eq(RefusalReason::OldConfig)));
        expect_that!(check(b"3").await, err(eq(RefusalReason::OldConfig)));
        drop(vms.tasks);
    };
    LocalSet::new().run_until(test).await;
}
