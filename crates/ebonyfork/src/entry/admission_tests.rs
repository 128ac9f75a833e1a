use googletest::prelude::*;

use super::*;
use crate::entry::fixture::ms;

fn request(organisation: &OrganisationName, predicted_wait: Duration) -> AdmissionRequest<'_> {
    AdmissionRequest {
        class: ClassId::from_u32(0),
        organisation,
        latency_target: ms(100),
        predicted_wait,
        unloaded_time: ms(20),
        cost_seconds: 0.2,
    }
}

#[gtest]
fn the_allowed_wait_depends_on_usage() {
    let organisation_names: Vec<OrganisationName> = ["flood", "steady", "idle"]
        .map(|name| name.parse().unwrap())
        .into();
    let mut admission = AdmissionControl::default();
    let mut now = ms(0);
    for round in 0..200 {
        now += ms(10);
        admission.admit(now, request(&organisation_names[0], ms(0)));
        if round % 10 == 0 {
            admission.admit(now, request(&organisation_names[1], ms(0)));
        }
    }
    let expectations = [
        (0, OrganisationUsage::Heavy, 20),
        (1, OrganisationUsage::Light, 60),
        (2, OrganisationUsage::Light, 60),
    ];
    for (organisation, usage, allowed_wait) in expectations {
        let name = &organisation_names[organisation];
        expect_that!(admission.classify_usage(now, name, 0.2), eq(usage));
        let refusal_decision = admission.admit(now, request(name, ms(allowed_wait + 5)));
        expect_that!(
            refusal_decision,
            eq(AdmissionDecision::Refused { excess_wait: ms(5) })
        );
        let admission_decision = admission.admit(now, request(name, ms(allowed_wait)));
        expect_that!(
            admission_decision,
            eq(AdmissionDecision::Admitted {
                is_under_load: true
            })
        );
    }
    // After ten idle seconds the usage of the first organisation has decayed.
    now += Duration::from_secs(10);
    admission.admit(now, request(&organisation_names[1], ms(0)));
    expect_that!(
        admission.classify_usage(now, &organisation_names[0], 0.2),
        eq(OrganisationUsage::Light)
    );
}

#[gtest]
fn missed_targets_lower_the_limit_and_met_targets_raise_it_again() {
    let organisation = "steady".parse().unwrap();
    let class = ClassId::from_u32(0);
    let mut admission = AdmissionControl::default();
    let is_admitted = |admission: &mut AdmissionControl| {
        let decision = admission.admit(ms(1), request(&organisation, ms(40)));
        matches!(decision, AdmissionDecision::Admitted { .. })
    };
    expect_that!(is_admitted(&mut admission), eq(true));
    for _ in 0..QUERIES_PER_LIMIT_UPDATE * 10 {
        admission.record_target_result(class, 99.0, false);
    }
    expect_that!(is_admitted(&mut admission), eq(false));
    for _ in 0..QUERIES_PER_LIMIT_UPDATE * 20 {
        admission.record_target_result(class, 99.0, true);
    }
    expect_that!(is_admitted(&mut admission), eq(true));
}
