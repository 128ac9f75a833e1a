use googletest::prelude::*;

use super::*;
use crate::gateway::policy::fairness::replay::{
    FairReplay, KINDS, OrganisationDemand, ReplayOrder, ReplayReport,
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Number of organisations in addition to the one with the high demand.
const OTHERS: usize = 20;
/// Requests per second of each of them; together they use 0.4 of the upstream's capacity.
const OTHER_RATE: f64 = 8.0;

/// Returns the demand of one organisation that sends `multiple` times as much as all others together.
fn uneven_demand(multiple: f64) -> Vec<OrganisationDemand> {
    let mut demands = vec![OrganisationDemand::new(OTHER_RATE); OTHERS];
    demands.push(OrganisationDemand::new(
        OTHER_RATE * OTHERS as f64 * multiple,
    ));
    demands
}

/// Replays only one of the organisations, with the same requests.
fn report_alone(organisation: usize, seed: u64) -> ReplayReport {
    let mut demands = vec![OrganisationDemand::new(0.0); OTHERS + 1];
    demands[organisation] = OrganisationDemand::new(OTHER_RATE);
    FairReplay::new(&demands, ReplayOrder::FairTurns, seed).run()
}

fn check_others(order: ReplayOrder, seed: u64) -> bool {
    let report = FairReplay::new(&uneven_demand(10.0), order, seed).run();
    (0..OTHERS).all(|organisation| {
        let value = report.value(organisation);
        let value_alone = report_alone(organisation, seed).value(organisation);
        value >= 0.95 * value_alone
    })
}

/// Guards against an organisation that takes the connections of all others. Each other organisation is served as if it
/// were alone; with the order by deadline none is.
#[gtest]
fn an_organisation_with_high_demand_does_not_delay_the_others() {
    for seed in 0..2 {
        expect_that!(
            check_others(ReplayOrder::FairTurns, seed),
            eq(true),
            "{seed}"
        );
        expect_that!(
            check_others(ReplayOrder::Deadline, seed),
            eq(false),
            "{seed}"
        );
    }
}

/// Guards against an urgent kind of request being served less often than others, whichever of them has the shorter
/// target. In an order by deadline the kind with the shortest target goes first, although its priority may be the last.
#[gtest]
fn no_kind_is_served_less_often_than_a_less_urgent_one() {
    // The busy organisation alone asks for 1.5 times the capacity, or for 4 times.
    for (multiple, longest_first) in [(3.75, false), (10.0, false), (3.75, true), (10.0, true)] {
        let mut demands = uneven_demand(multiple);
        if longest_first {
            demands = demands
                .into_iter()
                .map(OrganisationDemand::with_longest_first)
                .collect();
        }
        let report = FairReplay::new(&demands, ReplayOrder::FairTurns, 1).run();
        for organisations in [0..OTHERS, OTHERS..OTHERS + 1, 0..OTHERS + 1] {
            let mut served: Vec<f64> = (0..KINDS.len())
                .map(|kind| report.served_fraction(organisations.clone(), kind))
                .collect();
            if longest_first {
                served.reverse();
            }
            for kinds in served.windows(2) {
                // Differences below 0.01 are due to the random arrivals of a few hundred requests.
                expect_that!(
                    kinds[0],
                    ge(kinds[1] - 0.01),
                    "{organisations:?} {served:?}"
                );
            }
        }
    }
}

/// Organisations that all want more than they get are served in proportion to their weights.
#[gtest]
fn busy_organisations_are_served_by_weight() {
    let demands: Vec<_> = [Some(0), Some(1), Some(2), None]
        .into_iter()
        .map(|priority| OrganisationDemand::new(400.0).with_priority(priority))
        .collect();
    let report = FairReplay::new(&demands, ReplayOrder::FairTurns, 5).run();
    let total: usize = (0..demands.len()).map(|number| report.served(number)).sum();
    for (organisation, weight) in [4.0, 2.0, 1.0, 1.0].into_iter().enumerate() {
        let fraction = report.served(organisation) as f64 / total as f64;
        expect_that!(fraction, near(weight / 8.0, 0.02), "{organisation}");
    }
}

/// Guards against an organisation whose requests take long getting more than its share of the time.
#[gtest]
fn turns_are_measured_by_service_time() {
    let mut demands = vec![OrganisationDemand::new(400.0); 2];
    demands[1] = OrganisationDemand::new(100.0).with_service_time(ms(40));
    let report = FairReplay::new(&demands, ReplayOrder::FairTurns, 6).run();
    let ratio = report.served(0) as f64 / report.served(1) as f64;
    expect_that!(ratio, near(4.0, 0.4));
}

/// Without organisations, the order is by deadline as ever.
#[gtest]
fn without_organisations_only_the_deadline_decides() {
    let demands = vec![OrganisationDemand::new(1_000.0)];
    let served_order = |order| {
        FairReplay::new(&demands, order, 7)
            .run()
            .into_served_order()
    };
    let by_deadline = served_order(ReplayOrder::Deadline);
    expect_that!(by_deadline.len(), gt(1_000));
    expect_that!(served_order(ReplayOrder::Unshared) == by_deadline, eq(true));
}

/// Guards against state that grows with the number of organisations, of which there may be 100,000.
#[gtest]
fn state_is_bounded() {
    let mut order = SlotOrder::default();
    let now = Instant::now();
    let waiter = |number: u32| SlotPriority {
        useful_until: Some(now + ms(500)),
        service_time: ms(10),
        received: now,
        share: QueueShare::new(FlowKey::new(&number.to_string()), None, 0),
    };
    for number in 0..100_000 {
        order.record_grant(&waiter(number), number % 3 == 0, 5);
        expect_that!(order.flow_count(), le(2 * MAX_FLOWS));
    }
    expect_that!(order.flow_count(), gt(0));
    // An organisation that was passed over keeps its turn when a new round begins.
    let (served, passed_over) = (waiter(99_998), waiter(100_000));
    let next = order.next_waiter([served, passed_over].iter(), now);
    expect_that!(next.map(|next| next.index), some(eq(1)));
    order.record_grant(&passed_over, false, 0);
    expect_that!(order.flow_count(), eq(0));
}

/// Prints the figures of docs/design/fairness.md. Run with
/// `cargo test -p ebonyfork --lib compare_orders -- --ignored --nocapture`.
#[gtest]
#[ignore = "prints a comparison"]
fn compare_orders() {
    let many = vec![OrganisationDemand::new(1.9); 200];
    let mut weighted = uneven_demand(10.0);
    for (number, demand) in weighted.iter_mut().enumerate() {
        *demand = demand.with_priority(Some((number % 3) as u8));
    }
    let mut long = uneven_demand(2.0);
    long[OTHERS] = OrganisationDemand::new(80.0).with_service_time(ms(90));
    let cases = [
        (
            "one organisation with 10 times the demand",
            uneven_demand(10.0),
        ),
        ("the same with weights 4, 2, 1", weighted),
        ("one organisation with requests of 90 ms", long),
        ("200 organisations at 0.95 of the capacity", many),
    ];
    for (name, demands) in cases {
        println!("{name}");
        for order in [
            ReplayOrder::Deadline,
            ReplayOrder::FairTurns,
            ReplayOrder::DeficitRoundRobin,
        ] {
            let others = 0..demands.len().min(OTHERS);
            let mut values = Vec::new();
            let mut waits: Vec<Duration> = Vec::new();
            let mut kinds = [0.0; 3];
            for seed in 0..5 {
                let report = FairReplay::new(&demands, order, seed).run();
                values.extend(others.clone().map(|number| report.value(number)));
                waits.extend(others.clone().flat_map(|number| report.waits(number)));
                for (kind, sum) in kinds.iter_mut().enumerate() {
                    *sum += report.served_fraction(0..demands.len(), kind) / 5.0;
                }
            }
            waits.sort_unstable();
            let quantile = |q: f64| waits[((waits.len() - 1) as f64 * q) as usize];
            let mean = values.iter().sum::<f64>() / values.len() as f64;
            let worst = values.iter().copied().fold(1.0, f64::min);
            println!(
                "  {order:?}: others: mean {mean:.3} worst {worst:.3} wait median {:.1?} p99 {:.1?}; \
                 served by kind {kinds:.3?}",
                quantile(0.5),
                quantile(0.99)
            );
        }
    }
}

/// Guards against a kind of request that is served less than a quarter as often as all, at an upstream that is asked for
/// twice its capacity or more: within an organisation, the route's priority decides alone.
#[gtest]
fn no_kind_is_starved_in_overload() {
    for (count, rate) in [(20, 40.0), (20, 80.0), (1, 1_000.0)] {
        let demands = vec![OrganisationDemand::new(rate); count];
        let report = FairReplay::new(&demands, ReplayOrder::FairTurns, 1).run();
        let served: Vec<f64> = (0..KINDS.len())
            .map(|kind| report.served_fraction(0..count, kind))
            .collect();
        // All kinds are sent equally often.
        let all = served.iter().sum::<f64>() / KINDS.len() as f64;
        let least = served.iter().copied().fold(1.0, f64::min);
        expect_that!(least, ge(all / 4.0), "{count} at {rate}/s: {served:?}");
    }
}
