use googletest::prelude::*;

use super::*;
use crate::gateway::fixture::{dialect, settings};
use crate::gateway::ident::ConfigVersion;
use crate::gateway::organisation::OrganisationDeclaration;
use crate::gateway::policy::cold::RequestRate;
use crate::gateway::policy::homes::HomeRegions;
use crate::gateway::policy::quota::{QUOTA_CLAIM, RequesterKey, TokenRequest};
use crate::gateway::quota::{AskedToken, TokenNeed};
use crate::gateway::refusal::RefusalReason;
use crate::gateway::route::{CallerLimits, RouteTable};
use crate::ident::RequestFingerprint;
use crate::store::StoreRevision;

/// A part has 2 tokens once it is held for 12 s, which is half of the term.
const QUOTA: RequestQuota = RequestQuota {
    rate: RequestRate(1.0),
    burst: 12.0,
};

fn organisation(name: &str, quota: Option<RequestQuota>) -> OrganisationEntry {
    OrganisationEntry {
        name: OrganisationName::new(name),
        quota,
        priority: None,
        home_regions: HomeRegions::default(),
    }
}

/// Returns a process that has run for a while, with these organisations.
fn start(organisations: Vec<OrganisationEntry>) -> Rc<GatewayCore> {
    let mut core = GatewayCore::new(settings(), dialect());
    // Long enough ago for all buckets to be full.
    core.started -= Duration::from_hours(1);
    let limits = CallerLimits {
        header_bytes: 1_000,
        body_bytes: 1_000,
        header_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    let declarations = organisations
        .into_iter()
        .map(|organisation| OrganisationDeclaration {
            organisation,
            credentials: SmallVec::new(),
        });
    let organisations = OrganisationTable::new(declarations).expect("different organisations");
    let table = RouteTable::new(ConfigVersion(7), [], [], limits);
    core.install_table(table.with_organisations(organisations));
    Rc::new(core)
}

/// Returns a request for a token that can't wait.
fn token_request() -> TokenRequest {
    TokenRequest {
        priority: 0,
        longest_wait: Duration::ZERO,
        longest_stay: Duration::ZERO,
        fingerprint: RequestFingerprint(1),
    }
}

/// Asks a part of this process for a token.
fn ask_own(core: &Rc<GatewayCore>, part: u8, organisation: &OrganisationName) {
    let requester = RequesterKey {
        session: core.session,
        number: 0,
    };
    core.decide_token(AskedToken {
        part,
        organisation: organisation.clone(),
        requester,
        request: token_request(),
        link: None,
    });
}

/// Makes a process hold a part.
fn hold(core: &GatewayCore, part: u8) {
    let begun_at = core.running_time().saturating_sub(QUOTA_CLAIM.term / 2);
    let revision = StoreRevision::new(u64::from(part) + 1);
    core.quota_desk.with_claim(part, |claim| {
        let write = claim.next_write(true, begun_at).expect("nobody holds it");
        claim.record_write(write, revision, begun_at, begun_at);
    });
}

async fn take(core: &Rc<GatewayCore>, organisation: &OrganisationEntry) {
    let need = TokenNeed {
        request: token_request(),
        caller_wait: Duration::from_secs(1),
    };
    let taken = core.take_quota_token(organisation, need, "r-1").await;
    core.count_quota_use(organisation, &taken);
}

/// The report is what operators explain a 429 by: it must show the parts of the holder with what is left in them, and
/// what became of the requests.
#[gtest]
#[tokio::test]
async fn a_holder_reports_its_parts_and_what_became_of_requests() {
    let limited = organisation("limited", Some(QUOTA));
    let core = start(vec![limited.clone(), organisation("free", None)]);
    for part in 0..QUOTA_PARTS as u8 - 1 {
        hold(&core, part);
    }
    core.quota_desk.with_claim(0, |claim| {
        let now = core.running_time();
        let _write = claim.next_write(false, now);
    });
    let name = limited.name.clone();
    for _number in 0..3 {
        ask_own(&core, 1, &name);
    }
    take(&core, &limited).await;
    let report = core.report_quotas(&QuotaQuery::First);
    expect_that!(report.version, some(eq(7)));
    expect_that!(report.next, none());
    let [reported] = report.organisations.as_slice() else {
        panic!("expected the organisation with a limit");
    };
    expect_that!((reported.rate, reported.burst), eq((1.0, 12.0)));
    expect_that!(reported.granted, eq(1));
    let parts: BTreeMap<_, _> = reported
        .parts
        .iter()
        .map(|part| (part.part, part))
        .collect();
    expect_that!(parts.len(), eq(QUOTA_PARTS));
    expect_that!(parts[&0].held, none());
    expect_that!(parts[&5].holder, none());
    let held = parts[&1].held.as_ref().expect("a held part");
    expect_that!(held.held_for_ms, ge(12_000));
    expect_that!(held.capacity, eq(2.0));
    expect_that!(held.granted, eq(2));
    expect_that!(held.refused, ge(1));
    expect_that!(held.tokens, lt(1.0));
    // The caller's request took its token from one of the other parts.
    let all = reported.parts.iter().filter_map(|part| part.held.as_ref());
    expect_that!(all.map(|held| held.granted).sum::<u32>(), eq(3));
}

/// A refusal must be counted under the reason that the caller was told.
#[gtest]
#[tokio::test]
async fn refusals_are_reported_by_reason() {
    let limited = organisation("limited", Some(QUOTA));
    let core = start(vec![limited.clone()]);
    take(&core, &limited).await;
    let over_quota = RefusalReason::OverQuota(Duration::ZERO);
    for outcome in [
        Ok(()),
        Err(over_quota),
        Err(over_quota),
        Err(RefusalReason::Stopping),
    ] {
        core.count_quota_use(&limited, &outcome);
    }
    let report = core.report_quotas(&QuotaQuery::Only(limited.name.clone()));
    let reported = &report.organisations[0];
    expect_that!(reported.granted, eq(1));
    let expected = [("other", 1), ("over-quota", 2), ("quota-unknown", 1)];
    let expected = expected.map(|(reason, count)| (CompactString::new(reason), count));
    expect_that!(reported.refused, eq(&BTreeMap::from(expected)));
}

/// A report of 100,000 organisations would hold up requests, so it comes in pages, which must lack none and repeat none.
#[gtest]
fn pages_cover_all_organisations_in_order() {
    let count = 2 * PAGE_ORGANISATIONS + 1;
    let names: Vec<_> = (0..count).map(|number| format!("o{number:04}")).collect();
    let limited = names.iter().map(|name| organisation(name, Some(QUOTA)));
    let core = start(limited.chain([organisation("free", None)]).collect());
    let mut seen = Vec::new();
    let mut query = QuotaQuery::First;
    loop {
        let report = core.report_quotas(&query);
        expect_that!(report.organisations.len(), le(PAGE_ORGANISATIONS));
        let page = report.organisations.into_iter();
        seen.extend(page.map(|organisation| organisation.name.to_string()));
        let Some(next) = report.next else { break };
        query = QuotaQuery::After(next);
    }
    expect_that!(seen, eq(&names));
    let only = |name: &str| core.report_quotas(&QuotaQuery::Only(OrganisationName::new(name)));
    expect_that!(only("o0300").organisations.len(), eq(1));
    expect_that!(only("free").organisations.len(), eq(0));
    expect_that!(only("none").organisations.len(), eq(0));
}
