use googletest::prelude::*;

use super::*;
use crate::entry::fixture::ms;

fn case(organisation: &OrganisationName, wait: Duration) -> AdmissionCase<'_> {
    AdmissionCase {
        class: ClassId::from_u32(0),
        organisation,
        latency: ms(100),
        wait,
        work: ms(20),
        cost: 0.2,
    }
}

#[gtest]
fn the_wait_that_is_allowed_follows_from_the_use() {
    let names: Vec<OrganisationName> = ["flood", "steady", "idle"]
        .map(|name| name.parse().unwrap())
        .into();
    let mut admission = AdmissionControl::default();
    let mut now = ms(0);
    for round in 0..200 {
        now += ms(10);
        admission.admit(now, case(&names[0], ms(0)));
        if round % 10 == 0 {
            admission.admit(now, case(&names[1], ms(0)));
        }
    }
    let cases = [
        (0, OrganisationTier::Heavy, 20),
        (1, OrganisationTier::Light, 60),
        (2, OrganisationTier::Light, 60),
    ];
    for (organisation, tier, allowed) in cases {
        let name = &names[organisation];
        expect_that!(admission.tier(now, name, 0.2), eq(tier));
        let refused = admission.admit(now, case(name, ms(allowed + 5)));
        expect_that!(refused, eq(AdmissionVerdict::Refused { excess: ms(5) }));
        let admitted = admission.admit(now, case(name, ms(allowed)));
        expect_that!(admitted, eq(AdmissionVerdict::Admitted { pressed: true }));
    }
    // After ten idle seconds nothing is left of the flood.
    now += Duration::from_secs(10);
    admission.admit(now, case(&names[1], ms(0)));
    expect_that!(
        admission.tier(now, &names[0], 0.2),
        eq(OrganisationTier::Light)
    );
}

#[gtest]
fn misses_tighten_the_limit_and_hits_relax_it_again() {
    let organisation = "steady".parse().unwrap();
    let class = ClassId::from_u32(0);
    let mut admission = AdmissionControl::default();
    let is_in = |admission: &mut AdmissionControl| {
        let verdict = admission.admit(ms(1), case(&organisation, ms(40)));
        matches!(verdict, AdmissionVerdict::Admitted { .. })
    };
    expect_that!(is_in(&mut admission), eq(true));
    for _ in 0..REVIEW_QUERIES * 10 {
        admission.review(class, 99.0, false);
    }
    expect_that!(is_in(&mut admission), eq(false));
    for _ in 0..REVIEW_QUERIES * 20 {
        admission.review(class, 99.0, true);
    }
    expect_that!(is_in(&mut admission), eq(true));
}
