use googletest::prelude::*;
use tokio::time::Instant;

use super::*;

const FIRST: Duration = Duration::from_secs(2);
const SILENCE: Duration = Duration::from_secs(1);

/// Returns a call whose answer of `bytes` bytes arrives one byte at a time.
async fn drip(traffic: LinkTraffic, bytes: usize, period: Duration) -> Result<usize, StoreError> {
    for _ in 0..bytes {
        tokio::time::sleep(period).await;
        traffic.add(1);
    }
    Ok(bytes)
}

/// Guards against following a store's answer that never ends. A long one over a slow link is whole.
#[gtest]
#[tokio::test(start_paused = true)]
async fn an_answer_that_does_not_end_is_lost() {
    let traffic = LinkTraffic::default();
    let period = Duration::from_millis(400);
    let whole = drip(traffic.clone(), 140, period);
    let result = answer_while_receiving(FIRST, SILENCE, &traffic, whole).await;
    expect_that!(result.ok(), some(eq(140)));
    let begun = Instant::now();
    let endless = drip(traffic.clone(), usize::MAX, period);
    let result = answer_while_receiving(FIRST, SILENCE, &traffic, endless).await;
    expect_that!(result.is_err(), eq(true));
    expect_that!(begun.elapsed(), le(FIRST + LONGEST_ARRIVAL + SILENCE));
}
