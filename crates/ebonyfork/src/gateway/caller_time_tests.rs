use googletest::prelude::*;
use tokio::net::TcpListener;

use super::*;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[gtest]
fn a_new_connection_has_cost_more() {
    let distance = CallerDistance::new(ms(6));
    expect_that!(distance.request(true).total(None), eq(ms(30)));
    expect_that!(distance.request(false).total(None), eq(ms(12)));
    let lost = CallerDistance::new(Duration::from_secs(3));
    expect_that!(lost.request(false).total(None), eq(LONGEST * 2));
}

#[gtest]
fn what_passed_before_a_request_replaces_what_is_assumed() {
    let distance = CallerDistance::new(ms(6));
    // Reused connection without a look-up; reused connection after a look-up; new connection with its handshake only;
    // new connection after a look-up.
    expect_that!(distance.request(false).total(Some(ms(0))), eq(ms(6)));
    expect_that!(distance.request(false).total(Some(ms(15))), eq(ms(21)));
    expect_that!(distance.request(true).total(Some(ms(0))), eq(ms(12)));
    expect_that!(distance.request(true).total(Some(ms(23))), eq(ms(29)));
}

#[gtest]
fn the_longest_wait_stated_is_a_whole_one() {
    let now = Instant::now();
    let mut track = WaitTrack::default();
    for number in 1..WAITS_LEAST {
        let stated = if number == 4 { ms(800) } else { ms(785) };
        expect_that!(track.note(stated, now), none(), "too few to tell");
    }
    expect_that!(track.note(ms(800), now), some(eq(ms(0))));
    expect_that!(track.note(ms(777), now), some(eq(ms(23))));
    // A retried request, or a caller that waits less long, has a target of its own.
    expect_that!(track.note(ms(500), now), none());
}

/// Guards against ignoring the time before a request on a VM that sees few requests of a route. It learns the longest
/// wait from other VMs, does not pass on what it learnt from them, and ignores values far above those stated to it.
#[gtest]
fn the_longest_wait_is_heard_from_other_vms() {
    let now = Instant::now();
    let mut track = WaitTrack::default();
    expect_that!(track.note(ms(1_187), now), none());
    track.hear(ms(1_200), now);
    expect_that!(track.note(ms(1_187), now), some(eq(ms(13))));
    expect_that!(track.own_longest(), eq(ms(1_187)));
    track.hear(ms(2_400), now);
    expect_that!(track.note(ms(1_187), now), some(eq(ms(13))));
}

/// Guards against a wait reported by another VM before any caller stated one: it must not override what callers state
/// later.
#[gtest]
fn a_wait_that_was_heard_does_not_spoil_the_callers_own() {
    let now = Instant::now();
    let mut track = WaitTrack::default();
    track.hear(ms(60_000), now);
    expect_that!(track.note(ms(1_187), now), none());
}

/// Guards against comparing with waits that callers no longer state, after they have come to wait less long.
#[gtest]
fn waits_are_forgotten() {
    let now = Instant::now();
    let mut track = WaitTrack::default();
    for second in 0..20 {
        track.note(ms(800), now + Duration::from_secs(second));
    }
    for second in 20..90 {
        track.note(ms(400), now + Duration::from_secs(second));
    }
    let later = now + Duration::from_secs(90);
    expect_that!(track.note(ms(390), later), some(eq(ms(10))));
}

#[gtest]
#[tokio::test]
async fn the_kernel_knows_the_loopback_to_be_near() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (stream, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    let _stream = stream.expect("connected");
    let (accepted, _peer) = accepted.expect("accepted");
    let time = CallerDistance::measure(&accepted).request(false);
    expect_that!(time.total(None), le(LONGEST * 2));
}
