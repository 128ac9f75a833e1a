use googletest::prelude::*;

use super::*;

/// Seeds 1 and 201 once shared a network: 4,760 answers of the one run were taken for answers of the other.
#[gtest]
fn runs_side_by_side_have_networks_of_their_own() {
    let (first, _first_claim) = claim_network(1).expect("a free network");
    let (second, _second_claim) = claim_network(201).expect("a free network");
    expect_that!(second, not(eq(first)));
}

/// A gateway that ends by itself must fail the run, also if it is started again.
#[gtest]
#[tokio::test]
async fn a_process_that_ends_by_itself_is_found() {
    let settings = SoakSettings {
        seed: 7,
        time: Duration::ZERO,
        vms: 1,
        program: PathBuf::from("false"),
        folder: std::env::temp_dir().join(format!("ebonyfork-fleet-{}", std::process::id())),
    };
    let world = SoakWorld::start(settings.seed, ZONES.len())
        .await
        .expect("a world");
    let mut fleet = GatewayFleet::start(&settings, &world)
        .await
        .expect("processes start");
    expect_that!(fleet.failures(), is_empty());
    for vm in &mut fleet.vms {
        let child = vm.child.as_mut().expect("a process");
        child.wait().await.expect("it ends");
    }
    fleet.restart_ended().expect("processes start again");
    expect_that!(
        fleet.failures(),
        each(contains_substring("ended by itself: exit status: 1"))
    );
    expect_that!(fleet.failures().len(), eq(ZONES.len()));
    fleet.end().await;
    std::fs::remove_dir_all(&settings.folder).expect("the folder goes");
}

/// A task that panics ends without its process; only the log tells.
#[gtest]
fn panics_in_a_log_are_found() {
    let calm = "INFO request r1 answered\nWARN store lost: reset\n";
    expect_that!(panics_in("vm-1", calm.as_bytes()), none());
    let panic = "thread 'main' (7) panicked at src/time.rs:1:2:\noverflow when adding\n";
    let log = [calm, panic, calm, panic].concat().into_bytes();
    expect_that!(
        panics_in("vm-1", &[&b"\xff\n"[..], &log].concat()),
        some(contains_substring("vm-1 panicked 2 times").and(contains_substring("overflow when")))
    );
}
