use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::gateway::organisation::OrganisationName;
use crate::gateway::policy::cold::RequestRate;
use crate::gateway::settings::PlaceDistance;
use crate::ident::{IncarnationNumber, RequestFingerprint, SessionId, VmAddress};

const BOUND: QuotaBound = QuotaBound {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};
const HOLD: PartHold = PartHold {
    since: Duration::from_secs(1),
    has_allowance: false,
};
/// Time by which the model advances in each step, in milliseconds. At most one request of an organisation arrives in it.
const STEP_MS: u64 = 2;
/// Longest wait of a request for a token.
const TOKEN_WAIT: Duration = Duration::from_millis(40);

/// A quota as a single bucket, counted apart from the code under test.
struct WholeQuota {
    quota: RequestQuota,
    tokens: f64,
    refilled_at: Duration,
}

impl WholeQuota {
    /// Returns whether a request is within the limit.
    fn take(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let refilled = self.tokens + self.quota.rate.0 * elapsed;
        self.refilled_at = now;
        self.tokens = refilled.min(self.quota.burst);
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}

/// Organisation of the model: its requests arrive near some of the holders.
struct Tenant {
    name: OrganisationName,
    terms: PartTerms,
    arrivals: f64,
    near: Vec<usize>,
    requests: usize,
    granted: usize,
    /// Requests that were refused although the quota, as a single bucket, had a token for them.
    refused_within_limit: usize,
    whole_quota: WholeQuota,
    /// Requests that were refused although a part that could be asked had a token.
    wrongly_refused: usize,
}

impl Tenant {
    fn new(number: usize, rate: f64, demand: f64, near: Vec<usize>) -> Self {
        let quota = RequestQuota {
            rate: RequestRate(rate),
            burst: rate.ceil(),
        };
        Self {
            name: OrganisationName::new(format!("organisation-{number}")),
            terms: PartTerms::new(BOUND, quota),
            arrivals: rate * demand,
            near,
            requests: 0,
            granted: 0,
            refused_within_limit: 0,
            whole_quota: WholeQuota {
                quota,
                tokens: quota.burst,
                refilled_at: Duration::ZERO,
            },
            wrongly_refused: 0,
        }
    }
}

/// Holders of six parts, and organisations that ask the nearest one.
struct Fleet {
    rng: ChaCha8Rng,
    ledgers: Vec<PartLedger>,
    asks_others: bool,
    last_number: u64,
}

impl Fleet {
    fn run(tenants: &mut [Tenant], seconds: u64, asks_others: bool) {
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(3),
            ledgers: (0..QUOTA_PARTS).map(|_| PartLedger::new()).collect(),
            asks_others,
            last_number: 0,
        };
        for step in 0..seconds * 1_000 / STEP_MS {
            let now = Duration::from_millis(60_000 + step * STEP_MS);
            for tenant in &mut *tenants {
                fleet.check(tenant, now);
                if fleet
                    .rng
                    .random_bool(tenant.arrivals * STEP_MS as f64 / 1_000.0)
                {
                    let near = tenant.near[fleet.rng.random_range(0..tenant.near.len())];
                    tenant.requests += 1;
                    fleet.ask(tenant, near, now);
                }
            }
        }
    }

    fn check(&mut self, tenant: &mut Tenant, now: Duration) {
        for ledger in &mut self.ledgers {
            let check = ledger.check_waiting(&tenant.name, tenant.terms, HOLD, now);
            let granted = check.ended.iter().filter(|end| end.is_granted);
            tenant.granted += granted.count();
        }
    }

    fn views(tenant: &Tenant, near: usize) -> Vec<PartView> {
        let view = |part: u8| PartView {
            part,
            has_holder: true,
            distance: match usize::from(part) {
                part if part == near => PlaceDistance::Zone,
                part if part / 2 == near / 2 => PlaceDistance::Region,
                _ => PlaceDistance::Far,
            },
            is_silent: false,
            state: PartState::MayGrant,
        };
        tenant.terms.parts_of(&tenant.name).map(view).collect()
    }

    fn decide(
        &mut self,
        tenant: &Tenant,
        part: u8,
        wait: Duration,
        now: Duration,
    ) -> TokenDecision {
        self.last_number += 1;
        let address = VmAddress([10, 0, 0, 1].into());
        let requester = RequesterKey {
            session: SessionId::new(address, IncarnationNumber(1)),
            number: self.last_number,
        };
        let request = TokenRequest {
            priority: 1,
            longest_wait: wait,
            longest_stay: Duration::ZERO,
            fingerprint: RequestFingerprint(self.last_number),
        };
        let ledger = &mut self.ledgers[usize::from(part)];
        ledger.decide(&tenant.name, tenant.terms, HOLD, (requester, request), now)
    }

    fn ask(&mut self, tenant: &mut Tenant, near: usize, now: Duration) {
        let is_within_limit = tenant.whole_quota.take(now);
        let views = Self::views(tenant, near);
        let first = plan_asks(&views)[0][0];
        let refusal = match self.decide(tenant, first, TOKEN_WAIT, now) {
            TokenDecision::Granted { .. } => {
                tenant.granted += 1;
                return;
            }
            TokenDecision::WaitUntil { .. } => return,
            TokenDecision::Refused(refusal) => refusal,
        };
        let reach = if refusal.is_over_limit {
            TOKEN_WAIT
        } else {
            Duration::from_secs(1)
        };
        let others = other_parts(&views, &[first], reach);
        if self.asks_others {
            for part in &others {
                let decision = self.decide(tenant, *part, Duration::ZERO, now);
                if matches!(decision, TokenDecision::Granted { .. }) {
                    tenant.granted += 1;
                    return;
                }
            }
        }
        tenant.refused_within_limit += usize::from(is_within_limit);
        let has_token = |part: &u8| {
            let ledger = &mut self.ledgers[usize::from(*part)];
            let taken = ledger.take(&tenant.name, tenant.terms, HOLD, now);
            if taken.is_ok() {
                ledger.give_back(&tenant.name, tenant.terms, HOLD.since, now, now);
            }
            taken.is_ok()
        };
        tenant.wrongly_refused += usize::from(others.iter().any(has_token));
    }
}

/// Load pattern: 80 organisations with quotas from 0.5 to 40 requests a second, one of which sends ten times its limit.
/// The others have half of their limit as demand, in one or two of six zones, and none of their requests within the limit
/// may be refused.
#[gtest]
fn an_organisation_above_its_limit_doesnt_affect_the_others() {
    let mut tenants: Vec<Tenant> = (0..80)
        .map(|number| {
            let rate = [0.5, 2.0, 8.0, 40.0][number % 4];
            let near = vec![number % 6, (number / 6) % 6];
            Tenant::new(number, rate, 0.5, near)
        })
        .collect();
    tenants[7].arrivals = 10.0 * 40.0;
    Fleet::run(&mut tenants, 20, true);
    for (number, tenant) in tenants.iter().enumerate() {
        if number != 7 {
            let served = tenant.granted as f64 / tenant.requests as f64;
            expect_that!(tenant.refused_within_limit, eq(0), "{}", tenant.name);
            expect_that!(served, ge(0.95), "{}", tenant.name);
        }
    }
    let most = BOUND.limit(RequestQuota {
        rate: RequestRate(40.0 * 4.0),
        burst: 40.0,
    });
    expect_that!(tenants[7].granted as f64, le(most));
}

/// Load pattern: a small quota (0.5 requests a second, a burst of one) is divided into parts of little more than a token.
/// Its requests must find the token wherever it is.
#[gtest]
fn a_small_quota_is_not_refused_while_a_part_has_a_token() {
    let run = |asks_others| {
        let mut tenants: Vec<Tenant> = (0..40)
            .map(|number| Tenant::new(number, 0.5, 1.0, vec![number % 6]))
            .collect();
        Fleet::run(&mut tenants, 120, asks_others);
        let refused = tenants.iter().map(|tenant| tenant.wrongly_refused);
        refused.sum::<usize>()
    };
    expect_that!(run(true), eq(0));
    expect_that!(run(false), gt(100));
}
