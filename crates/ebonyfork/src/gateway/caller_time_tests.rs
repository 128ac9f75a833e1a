use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpListener;

use super::*;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Timeout of a route whose callers wait less long.
const LONG_TIMEOUT: Duration = Duration::from_mins(1);

#[gtest]
fn a_new_connection_has_cost_more() {
    let distance = CallerDistance::new(ms(6));
    expect_that!(distance.for_request(true).total(None), eq(ms(30)));
    expect_that!(distance.for_request(false).total(None), eq(ms(12)));
    let distance_after_loss = CallerDistance::new(Duration::from_secs(3));
    expect_that!(
        distance_after_loss.for_request(false).total(None),
        eq(MAX_ROUND_TRIP * 2)
    );
}

#[gtest]
fn a_known_time_before_the_request_replaces_the_assumed_one() {
    let distance = CallerDistance::new(ms(6));
    // Reused connection without a look-up; reused connection after a look-up; new connection with its handshake only;
    // new connection after a look-up.
    expect_that!(distance.for_request(false).total(Some(ms(0))), eq(ms(9)));
    expect_that!(distance.for_request(false).total(Some(ms(15))), eq(ms(24)));
    expect_that!(distance.for_request(true).total(Some(ms(0))), eq(ms(15)));
    expect_that!(distance.for_request(true).total(Some(ms(23))), eq(ms(32)));
}

/// Load pattern: callers in a zone without upstreams, 4 ms away, over a network whose delays vary by up to three tenths.
/// If an answer left as late as the nominal round trip allows, more than half of the answers would be late by a
/// millisecond or two.
#[gtest]
fn answers_to_distant_callers_arrive_in_time_over_a_varying_network() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let target = ms(100);
    let one_way = ms(4);
    let overhead = CallerDistance::new(one_way * 2).for_request(false);
    let mut late_count = 0;
    for _ in 0..1_000 {
        let mut varied = || one_way.mul_f64(1.0 + rng.random_range(0.0..0.3));
        let arrived_at = varied();
        let answered_at = arrived_at + target.saturating_sub(overhead.total(Some(ms(0))));
        late_count += usize::from(answered_at + varied() > target);
    }
    expect_that!(late_count, lt(50));
}

#[gtest]
fn the_longest_stated_wait_counts_as_a_full_wait() {
    let now = Instant::now();
    let mut track = WaitTrack::default();
    for number in 1..MIN_WAIT_SAMPLES {
        let stated_wait = if number == 4 { ms(800) } else { ms(785) };
        expect_that!(
            track.record(stated_wait, LONG_TIMEOUT, now),
            none(),
            "too few samples"
        );
    }
    expect_that!(track.record(ms(800), LONG_TIMEOUT, now), some(eq(ms(0))));
    expect_that!(track.record(ms(777), LONG_TIMEOUT, now), some(eq(ms(23))));
    // A retried request, or a caller that waits less long, has a target of its own.
    expect_that!(track.record(ms(500), LONG_TIMEOUT, now), none());
}

/// Guards against ignoring the time before a request on a VM that sees few requests of a route. It learns the longest
/// wait from other VMs, does not pass on what it learnt from them, and ignores values far above those stated to it.
#[gtest]
fn the_longest_wait_is_learnt_from_other_vms() {
    let now = Instant::now();
    let mut track = WaitTrack::default();
    expect_that!(track.record(ms(1_187), LONG_TIMEOUT, now), none());
    track.record_peer_wait(ms(1_200), now);
    expect_that!(track.record(ms(1_187), LONG_TIMEOUT, now), some(eq(ms(13))));
    expect_that!(track.own_longest(), eq(ms(1_187)));
    track.record_peer_wait(ms(2_400), now);
    expect_that!(track.record(ms(1_187), LONG_TIMEOUT, now), some(eq(ms(13))));
}

/// Guards against a wait reported by another VM before any caller stated one: it must not override what callers state
/// later.
#[gtest]
fn a_wait_reported_by_another_vm_does_not_override_the_callers_own() {
    let now = Instant::now();
    let mut track = WaitTrack::default();
    track.record_peer_wait(ms(60_000), now);
    expect_that!(track.record(ms(1_187), LONG_TIMEOUT, now), none());
}

/// Load pattern: many VMs that each see few requests, so that callers look up a VM before almost every one. No VM sees a
/// full wait, and the longest stated one is that of a request that was only delayed less than the others.
#[gtest]
fn a_wait_just_below_the_timeout_is_the_rest_of_it() {
    let now = Instant::now();
    let timeout = ms(1_200);
    let mut track = WaitTrack::default();
    for _ in 0..2 * MIN_WAIT_SAMPLES {
        expect_that!(track.record(ms(1_181), timeout, now), some(eq(ms(19))));
        expect_that!(track.record(ms(1_175), timeout, now), some(eq(ms(25))));
    }
    // A retried request.
    expect_that!(track.record(ms(900), timeout, now), none());
    // Callers that wait longer than the timeout show that it isn't theirs.
    track.record(ms(1_250), timeout, now);
    expect_that!(track.record(ms(1_200), timeout, now), some(eq(ms(50))));
}

/// Guards against comparing with waits that callers no longer state, after they have come to wait less long.
#[gtest]
fn old_waits_expire() {
    let now = Instant::now();
    let mut track = WaitTrack::default();
    for second in 0..20 {
        track.record(ms(800), LONG_TIMEOUT, now + Duration::from_secs(second));
    }
    for second in 20..90 {
        track.record(ms(400), LONG_TIMEOUT, now + Duration::from_secs(second));
    }
    let end = now + Duration::from_secs(90);
    expect_that!(track.record(ms(390), LONG_TIMEOUT, end), some(eq(ms(10))));
}

#[gtest]
#[tokio::test]
async fn the_measured_distance_of_the_loopback_is_short() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (stream, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    let _stream = stream.expect("connected");
    let (accepted, _peer) = accepted.expect("accepted");
    let time = CallerDistance::measure(&accepted).for_request(false);
    expect_that!(time.total(None), le(MAX_ROUND_TRIP * 2));
}
