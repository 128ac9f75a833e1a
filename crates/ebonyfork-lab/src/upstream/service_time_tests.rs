use std::time::Duration;

use googletest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::ServiceTime;

#[googletest::test]
fn the_mean_is_kept_and_stragglers_come_at_their_share() {
    const DRAWS: u32 = 20_000;
    let mean = Duration::from_millis(10);
    let cases = [
        (ServiceTime::new(mean), 0.010, 0),
        (ServiceTime::new(mean).with_spread(0.6), 0.010, 0),
        // 1 % at ten times the mean adds 9 % to it.
        (
            ServiceTime::new(mean).with_stragglers(0.01, 10.0),
            0.0109,
            200,
        ),
    ];
    for (time, expected, stragglers) in cases {
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let mut sum = 0.0;
        let mut slow = 0;
        for _ in 0..DRAWS {
            let drawn = time.draw(&mut rng);
            sum += drawn.as_secs_f64();
            slow += u32::from(time.straggler_share > 0.0 && drawn > mean * 4);
        }
        let found = sum / f64::from(DRAWS);
        expect_that!(found, near(expected, expected * 0.03), "{time:?}");
        expect_that!(
            slow,
            all![ge(stragglers * 8 / 10), le(stragglers * 12 / 10)]
        );
    }
}
