use googletest::prelude::*;

use super::*;
use crate::gateway::clock::now;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[gtest]
fn slowness_excludes_the_network_time() {
    let now = now();
    let mut latency = RouteLatency::default();
    for _ in 0..500 {
        latency.histogram_mut(AttemptKind::Zone).record(ms(20), now);
        latency.histogram_mut(AttemptKind::Far).record(ms(44), now);
        latency
            .histogram_mut(AttemptKind::Delegated)
            .record(ms(50), now);
    }
    expect_that!(
        latency.slowness(AttemptKind::Zone, 20.0),
        all![gt(0.7), lt(1.3)]
    );
    expect_that!(
        latency.slowness(AttemptKind::Far, 44.0),
        all![gt(0.5), lt(1.5)]
    );
    expect_that!(latency.slowness(AttemptKind::Far, 224.0), gt(7.0));
    expect_that!(latency.fastest(PlaceDistance::Far), eq(AttemptKind::Far));
    expect_that!(latency.fastest(PlaceDistance::Zone), eq(AttemptKind::Zone));
}

/// Guards against gathered answers that leave no time to wait for a token because they are held until their target.
#[gtest]
fn the_usual_time_of_a_gathered_answer_is_that_of_its_attempts() {
    let mut latency = RouteLatency::default();
    let now = Instant::now();
    for _ in 0..500 {
        latency.record_answer(Duration::from_millis(95), now);
        for kind in [
            AttemptKind::Zone,
            AttemptKind::Region,
            AttemptKind::Delegated,
        ] {
            latency
                .histogram_mut(kind)
                .record(Duration::from_millis(20), now);
        }
    }
    let usual_ms = |is_gathered| latency.usual_time(is_gathered).as_millis();
    expect_that!(usual_ms(false), all!(ge(90), le(115)));
    expect_that!(usual_ms(true), all!(ge(19), le(30)));
}
