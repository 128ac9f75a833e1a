use googletest::prelude::*;

use super::*;

const WAIT: Duration = Duration::from_secs(2);
const TIMEOUT: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(10);

/// Replays an answer: `arrived` returns how many bytes the upstream has sent after a time, and `read` how many the caller
/// can have read. Returns when it ended, in milliseconds, how many bytes were passed on, and why it was broken off.
fn replay(
    total_bytes: usize,
    arrived: impl Fn(Duration) -> usize,
    read: impl Fn(Duration) -> usize,
) -> (u128, usize, Option<StreamExcess>) {
    let start = Instant::now();
    let mut bound = StreamBound::new(start + WAIT, TIMEOUT);
    let (mut elapsed, mut passed_bytes) = (Duration::ZERO, 0);
    loop {
        elapsed += STEP;
        let now = start + elapsed;
        let ready_bytes = arrived(elapsed).min(total_bytes);
        let taken_bytes = ready_bytes.min(read(elapsed)).saturating_sub(passed_bytes);
        passed_bytes += taken_bytes;
        let excess = if taken_bytes > 0 {
            bound.record(now, taken_bytes)
        } else if ready_bytes > passed_bytes {
            (now > bound.read_by()).then_some(StreamExcess::Unread)
        } else {
            bound.check_silence(now)
        };
        if excess.is_some() || passed_bytes == total_bytes {
            return (elapsed.as_millis(), passed_bytes, excess);
        }
    }
}

fn rate(bytes_per_ms: usize) -> impl Fn(Duration) -> usize {
    move |elapsed| elapsed.as_millis() as usize * bytes_per_ms
}

/// Guards against passing on bodies without end, whatever their pace, and against holding an upstream for a caller who
/// doesn't read.
#[gtest]
fn a_body_without_end_is_broken_off() {
    let endless = usize::MAX;
    let (ended_ms, bytes, excess) = replay(endless, rate(30_000), rate(30_000));
    expect_that!(excess, some(eq(StreamExcess::Endless)));
    expect_that!(ended_ms, le(2_300));
    expect_that!(bytes, le(30_000 * 2_000 + MAX_LATE_BYTES + 300_000));
    let drip = |elapsed: Duration| elapsed.as_millis() as usize / 100;
    let (ended_ms, _bytes, excess) = replay(endless, drip, rate(30_000));
    expect_that!(excess, some(eq(StreamExcess::Late)));
    expect_that!(ended_ms, eq(2_250));
    let (ended_ms, _bytes, excess) = replay(endless, |_elapsed| 400_000, rate(30_000));
    expect_that!(excess, some(eq(StreamExcess::Late)));
    expect_that!(ended_ms, eq(2_250));
    let (ended_ms, _bytes, excess) = replay(endless, rate(30_000), |_elapsed| 1_000);
    expect_that!(excess, some(eq(StreamExcess::Unread)));
    expect_that!(ended_ms, le(5_010));
}

/// Guards against cutting long answers that are honest.
#[gtest]
fn a_whole_answer_arrives() {
    // It comes within the caller's wait.
    expect_that!(replay(50_000_000, rate(30_000), rate(30_000)).2, none());
    // It was sent in time, and its last bytes are under way.
    let delayed = |elapsed: Duration| rate(1_000)(elapsed.saturating_sub(STEP * 20));
    expect_that!(replay(2_000_000, delayed, rate(30_000)).2, none());
    // It was sent in time to a caller who reads until after its wait.
    expect_that!(replay(6_000_000, rate(30_000), rate(1_500)).2, none());
}
