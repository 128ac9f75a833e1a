//! Times, counts and rates of membership, with what they follow from.

use std::time::Duration;

/// Time between two ticks of the protocol.
pub const TICK_PERIOD: Duration = Duration::from_millis(100);
/// Time between two probes: a member is probed about once in this time by somebody, whatever their number.
pub const PROBE_PERIOD: Duration = Duration::from_millis(500);
/// Wait for a direct answer before others are asked to probe; several times the way between regions and back.
pub const DIRECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Members asked to probe on our behalf.
pub const HELPER_COUNT: usize = 3;
/// How long an answer to somebody else's probe is passed on.
pub const RELAY_TIME: Duration = Duration::from_secs(1);
/// Most probes that are passed on at a time.
pub const RELAY_LIMIT: usize = 64;
/// A tick this late may come before answers that wait in the socket: they are read first.
pub const LATE_GAP: Duration = Duration::from_millis(250);
/// A gap this long between two calls means that the process was paused: its timers prove nothing.
pub const PAUSE_GAP: Duration = Duration::from_millis(900);
/// Without any word from a peer for this long, missing answers are laid to ourselves.
pub const DEAF_TIME: Duration = Duration::from_secs(1);
/// Without any answer to our own probes for this long, they are taken not to leave this VM.
pub const MUTE_TIME: Duration = Duration::from_secs(3);
/// Without any word from a peer for this long, all of them are out of reach.
pub const ISOLATION_TIME: Duration = Duration::from_secs(5);
/// Time between two probes of failed members and of listed VMs that never answered.
pub const SLOW_PERIOD: Duration = Duration::from_secs(2);
/// Listed VMs probed at a time until enough members are known.
pub const SEED_FANOUT: usize = 3;
/// Half the wait between the first two such probes; it doubles up to [`SLOW_PERIOD`].
pub const SEED_WAIT: Duration = Duration::from_millis(100);
/// Members that are enough to learn the others from.
pub const ENOUGH_MEMBERS: usize = 3;
/// How long a page of members is waited for.
pub const PAGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two pages that repair what gossip missed.
pub const REPAIR_PERIOD: Duration = Duration::from_secs(10);
/// Ticks between two looks at what can be forgotten.
pub const FORGET_TICKS: u32 = 600;
/// How long a failed member is remembered.
pub const FORGET_TIME: Duration = Duration::from_mins(10);
/// Ticks between two datagrams that carry only digests.
pub const DIGEST_TICKS: u32 = 5;
/// How often one process tells a digest: a lost one is replaced by the next.
pub const DIGEST_TELLINGS: usize = 4;
/// How often one process tells a digest with a new revision. Who misses it all the same learns it with the next load.
pub const REVISION_TELLINGS: usize = 8;
/// Members told at once that this one leaves.
pub const LEAVE_FANOUT: usize = 8;
/// Bytes a second that one process sends at most, IP and UDP headers included: a third of the control budget.
pub const SEND_RATE: u32 = 10_000;
/// Bytes that may be saved up.
pub const SEND_BURST: u32 = 6_000;
/// Most members that are held; more than twice the fleet we design for.
pub const MEMBER_LIMIT: usize = 12_000;

const DIGEST_PERIOD_EACH: Duration = Duration::from_millis(30);
const DIGEST_PERIOD_MIN: Duration = Duration::from_secs(1);
const DIGEST_PERIOD_MAX: Duration = Duration::from_mins(1);

/// How long a suspect has to refute. The suspicion must reach it and the refutation come back, each in a number of
/// gossip rounds that grows with the logarithm of the members.
pub fn suspicion_time(members: usize) -> Duration {
    let rounds = ((members + 1) as f64).log2();
    Duration::from_millis((1_000.0 + 500.0 * rounds) as u64)
}

/// Whoever hears late of a suspicion waits at least this long: the refutation may come right behind it.
pub const REFUTE_TIME: Duration = Duration::from_millis(1_500);

/// How often one process tells a fact about a member's life.
pub fn telling_limit(members: usize) -> usize {
    4 + 2 * (members + 1).next_power_of_two().trailing_zeros() as usize
}

/// Time between two digests of one member, so that the digests of all keep to a fixed share of the bytes.
pub fn digest_period(members: usize) -> Duration {
    let period = DIGEST_PERIOD_EACH * members as u32;
    period.clamp(DIGEST_PERIOD_MIN, DIGEST_PERIOD_MAX)
}
