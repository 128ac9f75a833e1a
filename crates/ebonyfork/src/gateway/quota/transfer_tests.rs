use googletest::prelude::*;
use tokio::net::TcpListener;
use tokio::task::{JoinSet, LocalSet};

use super::super::holder::AskedToken;
use super::super::tests::{organisation, start_vm};
use super::*;
use crate::gateway::policy::claim::ClaimRecord;
use crate::gateway::policy::quota::{QUOTA_CLAIM, QuotaAnswer, RequesterKey, TokenRequest};
use crate::ident::RequestFingerprint;
use crate::store::{StoreEra, StoreRevision};

/// Two VMs on linked addresses. The first holds the first part of the organisation's quota, the second the other one.
struct TwoHolders {
    cores: [Rc<GatewayCore>; 2],
    parts: [u8; 2],
    tasks: [JoinSet<()>; 2],
}

fn terms(core: &GatewayCore) -> PartTerms {
    let quota = organisation().quota.expect("a quota");
    PartTerms::new(core.settings.quota_bound, quota)
}

impl TwoHolders {
    async fn start() -> Self {
        let first_listener = TcpListener::bind("127.0.0.5:0").await.expect("a free port");
        let port = first_listener.local_addr().expect("a bound address").port();
        let second_listener = TcpListener::bind(("127.0.0.6", port)).await;
        let (first, first_tasks) = start_vm(5, first_listener, port);
        let (second, second_tasks) = start_vm(6, second_listener.expect("the same port"), port);
        let parts: Vec<u8> = terms(&first).parts_of(&organisation().name).collect();
        let holders = Self {
            cores: [first, second],
            parts: [parts[0], parts[1]],
            tasks: [first_tasks, second_tasks],
        };
        holders.hold(0);
        holders.hold(1);
        holders
    }

    /// Lets a VM hold its part, and the other VM know of it.
    fn hold(&self, index: usize) {
        let (core, other) = (&self.cores[index], &self.cores[1 - index]);
        let part = self.parts[index];
        let revision = StoreRevision::new(u64::from(part) + 1);
        let begun_at = core.running_time().saturating_sub(QUOTA_CLAIM.term / 2);
        core.quota_desk.with_claim(part, |claim| {
            let write = claim.next_write(true, begun_at).expect("nobody holds it");
            claim.record_write(write, revision, begun_at, begun_at);
        });
        let record = ClaimRecord {
            holder: Some(core.session),
            era: StoreEra::UNSTATED,
            offers_allowance: false,
        };
        let now = other.running_time();
        let desk = &other.quota_desk;
        desk.with_claim(part, |claim| claim.observe(revision, record, now));
    }

    /// Takes tokens of the first part until it refuses. Returns how many it granted.
    fn drain(&self) -> usize {
        let core = &self.cores[0];
        let asked = |number| AskedToken {
            part: self.parts[0],
            organisation: organisation().name,
            requester: RequesterKey {
                session: core.session,
                number,
            },
            request: TokenRequest {
                priority: 0,
                longest_wait: Duration::ZERO,
                longest_stay: Duration::ZERO,
                fingerprint: RequestFingerprint(number),
            },
            link: None,
        };
        let answers = (0..20).map(|number| core.decide_token(asked(number)));
        answers
            .take_while(|answer| matches!(answer, QuotaAnswer::Granted { .. }))
            .count()
    }

    fn count(&self, index: usize, event: QuotaEvent) -> u64 {
        self.cores[index].metrics.quota.total(event)
    }

    async fn wait_for(&self, index: usize, event: QuotaEvent) {
        for _step in 0..200 {
            if self.count(index, event) > 0 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Guards against an organisation that uses one VM and gets only the tokens of the part that is held there.
#[gtest]
#[tokio::test]
async fn a_holder_without_tokens_gets_those_of_another_part() {
    let test = async {
        let holders = TwoHolders::start().await;
        let first = holders.drain();
        expect_that!(first, ge(1));
        holders.wait_for(0, QuotaEvent::TransferReceived).await;
        expect_that!(holders.count(1, QuotaEvent::TransferGiven), eq(1));
        expect_that!(holders.count(0, QuotaEvent::TransferReceived), eq(1));
        expect_that!(holders.drain(), ge(1));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a refusal that waits for a holder that is lost: the part goes on with its own tokens.
#[gtest]
#[tokio::test]
async fn a_lost_holder_gives_nothing_and_delays_nothing() {
    let test = async {
        let mut holders = TwoHolders::start().await;
        holders.tasks[1].shutdown().await;
        expect_that!(holders.drain(), ge(1));
        tokio::time::sleep(Duration::from_millis(60)).await;
        expect_that!(holders.drain(), eq(0));
        expect_that!(holders.count(0, QuotaEvent::TransferReceived), eq(0));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against tokens that are added although this process has asked for none.
#[gtest]
#[tokio::test]
async fn a_transfer_that_was_not_asked_for_is_dropped() {
    let test = async {
        let holders = TwoHolders::start().await;
        let core = &holders.cores[0];
        expect_that!(holders.drain(), ge(1));
        holders.wait_for(0, QuotaEvent::TransferReceived).await;
        holders.drain();
        let key = (999, holders.parts[1], organisation().name);
        core.take_transfer(key, 1, Duration::ZERO);
        expect_that!(holders.drain(), eq(0));
    };
    LocalSet::new().run_until(test).await;
}
