use std::net::IpAddr;

use googletest::prelude::*;
use tokio::net::TcpListener;
use tokio::task::{JoinSet, LocalSet};
use tokio_util::sync::CancellationToken;

use super::metrics::QuotaEvent;
use super::*;
use crate::gateway::fixture::{dialect, settings};
use crate::gateway::ident::ConfigVersion;
use crate::gateway::organisation::{OrganisationDeclaration, OrganisationTable};
use crate::gateway::peers::{accept_links, follow_links, open_links};
use crate::gateway::policy::claim::ClaimRecord;
use crate::gateway::policy::cold::RequestRate;
use crate::gateway::policy::homes::HomeRegions;
use crate::gateway::policy::quota::{QUOTA_CLAIM, RequestQuota, RequesterKey};
use crate::gateway::route::{CallerLimits, RouteTable};
use crate::ident::RequestFingerprint;
use crate::store::{StoreEra, StoreRevision};
use crate::wire::PoolSettings;

const QUOTA: RequestQuota = RequestQuota {
    rate: RequestRate(0.5),
    burst: 4.0,
};

pub(super) fn organisation() -> OrganisationEntry {
    OrganisationEntry {
        name: OrganisationName::new("north-office"),
        quota: Some(QUOTA),
        priority: None,
        home_regions: HomeRegions::default(),
    }
}

/// Returns an organisation with one part, whose bucket holds one token and has the next 100 ms later.
fn fast_organisation() -> OrganisationEntry {
    OrganisationEntry {
        name: OrganisationName::new("south-office"),
        quota: Some(RequestQuota {
            rate: RequestRate(10.0),
            burst: 1.0,
        }),
        ..organisation()
    }
}

/// Returns the need of a request that can wait for a time, and whose caller waits a second.
fn need(longest_wait: Duration) -> TokenNeed {
    TokenNeed {
        request: TokenRequest {
            priority: 0,
            longest_wait,
            longest_stay: Duration::from_millis(300),
            fingerprint: RequestFingerprint(1),
        },
        caller_wait: Duration::from_secs(1),
    }
}

fn table() -> RouteTable {
    let limits = CallerLimits {
        header_bytes: 1_000,
        body_bytes: 1_000,
        header_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    let declaration = |organisation| OrganisationDeclaration {
        organisation,
        credentials: SmallVec::new(),
    };
    let declarations = [organisation(), fast_organisation()].map(declaration);
    let organisations = OrganisationTable::new(declarations).expect("two organisations");
    RouteTable::new(ConfigVersion(1), [], [], limits).with_organisations(organisations)
}

/// A VM that receives requests, and one that holds all parts, on linked addresses.
struct HolderFleet {
    asking: Rc<GatewayCore>,
    holding: Rc<GatewayCore>,
    holder_tasks: JoinSet<()>,
    _asking_tasks: JoinSet<()>,
}

pub(super) fn start_vm(
    host: u8,
    listener: TcpListener,
    port: u16,
) -> (Rc<GatewayCore>, JoinSet<()>) {
    let mut settings = settings();
    settings.place.address = IpAddr::from([127, 0, 0, host]);
    let mut core = GatewayCore::new(settings, dialect());
    // Long enough ago for all buckets to be full.
    core.started -= Duration::from_mins(2);
    let core = Rc::new(core);
    core.install_table(table());
    let (pool, events) = open_links(
        PoolSettings::new(core.session, port),
        CancellationToken::new(),
    );
    core.delegates.set_pool(pool.clone());
    let mut tasks = JoinSet::new();
    tasks.spawn_local(accept_links(pool, listener));
    tasks.spawn_local(follow_links(Rc::clone(&core), events));
    (core, tasks)
}

impl HolderFleet {
    async fn start() -> Self {
        let first_listener = TcpListener::bind("127.0.0.3:0").await.expect("a free port");
        let port = first_listener.local_addr().expect("a bound address").port();
        let second_listener = TcpListener::bind(("127.0.0.4", port)).await;
        let second_listener = second_listener.expect("the same port");
        let (asking, asking_tasks) = start_vm(3, first_listener, port);
        let (holding, holder_tasks) = start_vm(4, second_listener, port);
        for part in 0..QUOTA_PARTS as u8 {
            let revision = StoreRevision::new(u64::from(part) + 1);
            let begun_at = holding.running_time().saturating_sub(QUOTA_CLAIM.term / 2);
            holding.quota_desk.with_claim(part, |claim| {
                let write = claim.next_write(true, begun_at).expect("nobody holds it");
                claim.record_write(write, revision, begun_at, begun_at);
            });
            let record = ClaimRecord {
                holder: Some(holding.session),
                era: StoreEra::UNSTATED,
                offers_allowance: false,
            };
            let time = asking.running_time();
            asking
                .quota_desk
                .with_claim(part, |claim| claim.observe(revision, record, time));
        }
        Self {
            asking,
            holding,
            holder_tasks,
            _asking_tasks: asking_tasks,
        }
    }

    async fn take_fast(&self, longest_wait_ms: u64) -> Result<(), RefusalReason> {
        let need = need(Duration::from_millis(longest_wait_ms));
        self.asking
            .take_quota_token(&fast_organisation(), need, "r-3")
            .await
    }

    /// Returns how often the holder took a decision.
    fn count(&self, event: QuotaEvent) -> u64 {
        self.holding.metrics.quota.total(event)
    }

    async fn take(&self) -> Result<(), RefusalReason> {
        let need = need(Duration::ZERO);
        self.asking
            .take_quota_token(&organisation(), need, "r-1")
            .await
    }
}

#[gtest]
#[tokio::test]
async fn a_request_takes_a_token_of_whichever_part_has_one() {
    let test = async {
        let fleet = HolderFleet::start().await;
        for number in 0..4 {
            expect_that!(fleet.take().await, ok(eq(())), "request {number}");
            // Lets the tokens return that were granted in addition.
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let refused = fleet.take().await;
        expect_that!(refused, err(matches_pattern!(RefusalReason::OverQuota(_))));
        // A holder grants its own requests without a link.
        let own = fleet
            .holding
            .take_quota_token(&organisation(), need(Duration::ZERO), "r-2")
            .await;
        expect_that!(own, err(matches_pattern!(RefusalReason::OverQuota(_))));
    };
    LocalSet::new().run_until(test).await;
}

/// A VM gives back a token that it doesn't use, because the grant came too late. What a holder reports as granted, less
/// what came back, must be what the requests used, or operators would take the difference for use.
#[gtest]
#[tokio::test]
async fn a_holder_reports_grants_that_came_back() {
    let test = async {
        let fleet = HolderFleet::start().await;
        for _request in 0..2 {
            expect_that!(fleet.take().await, ok(eq(())));
        }
        let counts = || {
            let report = fleet.holding.report_quotas(&QuotaQuery::First);
            let parts = report.organisations[0].parts.clone();
            let held = parts.into_iter().filter_map(|part| part.held);
            held.fold((0, 0), |(granted, given_back), held| {
                (granted + held.granted, given_back + held.given_back)
            })
        };
        expect_that!(counts(), eq((2, 0)));
        let granted_at = fleet.holding.running_time();
        let grant = GrantTimes {
            held_since_ns: 0,
            granted_at_ns: granted_at.as_nanos() as u64,
        };
        let report = fleet.holding.report_quotas(&QuotaQuery::First);
        let part = report.organisations[0].parts[0].part;
        fleet.asking.give_back(part, &organisation().name, grant);
        tokio::time::sleep(Duration::from_millis(20)).await;
        expect_that!(counts(), eq((2, 1)));
        let asking = fleet.asking.report_quotas(&QuotaQuery::First);
        let parts = &asking.organisations[0].parts;
        expect_that!(parts.iter().all(|part| part.held.is_none()), eq(true));
        let holder = Some(fleet.holding.session.vm);
        expect_that!(parts.iter().all(|part| part.holder == holder), eq(true));
    };
    LocalSet::new().run_until(test).await;
}

/// Without an answer of a holder nothing is granted, and the caller is told that another VM may know more.
#[gtest]
#[tokio::test]
async fn nothing_is_granted_without_the_holder() {
    let test = async {
        let mut fleet = HolderFleet::start().await;
        fleet.holder_tasks.shutdown().await;
        let refused = fleet.take().await;
        expect_that!(refused, err(eq(RefusalReason::QuotaUnknown)));
    };
    LocalSet::new().run_until(test).await;
}

/// A holder whose term has ended grants nothing, whatever its caller believes.
#[gtest]
#[tokio::test]
async fn nothing_is_granted_after_the_term() {
    let test = async {
        let fleet = HolderFleet::start().await;
        for part in 0..QUOTA_PARTS as u8 {
            fleet
                .holding
                .quota_desk
                .enter_era(StoreEra(1), fleet.holding.running_time());
            let terms = PartTerms::new(fleet.holding.settings.quota_bound, QUOTA);
            let time = fleet.holding.running_time();
            let name = organisation().name;
            let requester = RequesterKey {
                session: fleet.holding.session,
                number: 1,
            };
            let asked = (requester, need(Duration::ZERO).request);
            let desk = &fleet.holding.quota_desk;
            let decision = desk.decide_own(part, &name, terms, asked, time);
            expect_that!(decision, none());
        }
        expect_that!(fleet.take().await, err(eq(RefusalReason::QuotaUnknown)));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against refusing a request whose token is due within its wait.
#[gtest]
#[tokio::test]
async fn a_request_waits_at_the_holder_for_the_next_token() {
    let test = async {
        let fleet = HolderFleet::start().await;
        expect_that!(fleet.take_fast(0).await, ok(eq(())));
        let (first, second) = tokio::join!(fleet.take_fast(400), fleet.take_fast(600));
        expect_that!((first, second), eq((Ok(()), Ok(()))));
        expect_that!(fleet.count(QuotaEvent::Waited), eq(2));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a token that is granted to a request whose caller has left.
#[gtest]
#[tokio::test]
async fn a_request_that_leaves_releases_its_token() {
    let test = async {
        let fleet = HolderFleet::start().await;
        expect_that!(fleet.take_fast(0).await, ok(eq(())));
        let leaving = tokio::time::timeout(Duration::from_millis(30), fleet.take_fast(500));
        expect_that!(leaving.await, err(anything()));
        expect_that!(fleet.take_fast(500).await, ok(eq(())));
        expect_that!(fleet.count(QuotaEvent::Waited), eq(1));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a return that was promised a token and finds none.
#[gtest]
#[tokio::test]
async fn a_refused_request_finds_its_token_when_it_returns() {
    let test = async {
        let fleet = HolderFleet::start().await;
        expect_that!(fleet.take_fast(0).await, ok(eq(())));
        let Err(RefusalReason::OverQuota(wait)) = fleet.take_fast(0).await else {
            panic!("the bucket is empty");
        };
        tokio::time::sleep(wait).await;
        // The return may use another VM.
        let returned = fleet
            .holding
            .take_quota_token(&fast_organisation(), need(Duration::ZERO), "r-4")
            .await;
        expect_that!(returned, ok(eq(())));
        expect_that!(fleet.count(QuotaEvent::Promised), eq(1));
        expect_that!(fleet.count(QuotaEvent::PromiseKept), eq(1));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a request that waits for a holder which has lost its reservation.
#[gtest]
#[tokio::test]
async fn a_waiting_request_learns_that_its_holder_is_lost() {
    let test = async {
        let mut fleet = HolderFleet::start().await;
        expect_that!(fleet.take_fast(0).await, ok(eq(())));
        let asking = Rc::clone(&fleet.asking);
        let waiting = tokio::task::spawn_local(async move {
            let need = need(Duration::from_mins(1));
            let organisation = fast_organisation();
            asking.take_quota_token(&organisation, need, "r-5").await
        });
        tokio::time::sleep(Duration::from_millis(20)).await;
        fleet.holder_tasks.shutdown().await;
        let vm = fleet.holding.session.vm;
        fleet.asking.quota_desk.lose_holder(vm);
        let refused = waiting.await.expect("the task ends");
        expect_that!(refused, err(eq(RefusalReason::QuotaUnknown)));
    };
    LocalSet::new().run_until(test).await;
}
