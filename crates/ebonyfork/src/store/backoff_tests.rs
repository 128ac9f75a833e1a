use googletest::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::*;

#[gtest]
fn waits_double_up_to_the_maximum_and_start_again_after_a_success() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_secs(1));
    for full_wait_ms in [100, 200, 400, 800, 1_000, 1_000] {
        let wait_ms = backoff.next_wait(&mut rng).as_secs_f64() * 1_000.0;
        let full_wait_ms = f64::from(full_wait_ms);
        expect_that!(wait_ms, all!(ge(full_wait_ms / 2.0), le(full_wait_ms)));
    }
    backoff.reset();
    expect_that!(backoff.next_wait(&mut rng), le(Duration::from_millis(100)));
    for _ in 0..100 {
        expect_that!(backoff.next_wait(&mut rng), le(Duration::from_secs(1)));
    }
}
