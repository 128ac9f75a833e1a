use googletest::prelude::*;

use super::*;
use crate::soak::judge::tests::event;

const ZONE: &str = "north-a";

fn vm(last: u8) -> IpAddr {
    IpAddr::from([127, 10, 0, last])
}

/// A directory that is in touch must neither name a VM that is gone nor leave out one that runs; one that was itself
/// disturbed may.
#[gtest]
fn lost_vms_that_are_named_and_running_ones_that_are_not_are_found() {
    let start = Instant::now();
    let at = |seconds: u64| start + Duration::from_secs(seconds);
    let life = |last: u8, until: Option<Instant>| VmLife {
        vm: vm(last),
        zone: ZONE,
        from: start,
        until,
    };
    let lives = [life(1, None), life(2, Some(at(20))), life(3, None)];
    let answers = |seconds: u64, named: &[u8]| {
        let record = LocateRecord {
            directory: vm(1),
            zone: ZONE,
            at: at(seconds),
            named: named
                .iter()
                .map(|last| SocketAddr::new(vm(*last), 80))
                .collect(),
        };
        vec![record; GONE_ALLOWED + 1]
    };
    let disturbance = SoakEvent {
        vm: Some(vm(1)),
        ..event("freeze vm-1", at(28), Duration::from_secs(1))
    };
    // Seconds of the answers, the VMs they name, events, and the number of violations.
    let cases = [
        (19, &[1, 2, 3][..], vec![], 0),
        (27, &[1, 2, 3], vec![], 0),
        (29, &[1, 2, 3], vec![], 1),
        (29, &[1, 2, 3], vec![disturbance], 0),
        (30, &[1], vec![], 1),
        (9, &[1], vec![], 0),
        (30, &[1, 3], vec![], 0),
    ];
    for (seconds, named, events, expected) in cases {
        let violations = check_directories(&answers(seconds, named), &lives, &events);
        expect_that!(
            violations.len(),
            eq(expected),
            "{seconds} {named:?} {violations:?}"
        );
    }
    let few = &answers(29, &[1, 2, 3])[..GONE_ALLOWED];
    expect_that!(check_directories(few, &lives, &[]).len(), eq(0));
}
