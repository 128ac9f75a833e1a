//! Timeouts, periods and limits of the membership protocol.

use std::time::Duration;

/// Time between two ticks of the protocol.
pub const TICK_PERIOD: Duration = Duration::from_millis(100);
/// Time between two probes by one process. Each member is probed about once per period, by some other member.
pub const PROBE_PERIOD: Duration = Duration::from_millis(500);
/// Wait for the answer to a direct probe before indirect probes are requested; several round trips between regions.
pub const DIRECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of members that are asked for an indirect probe of a member that has not answered.
pub const HELPER_COUNT: usize = 3;
/// How long a probe made for another member is kept in order to forward its answer.
pub const RELAY_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of concurrent probes made for other members.
pub const MAX_RELAYS: usize = 64;
/// A gap between ticks above this extends the open probe and suspicions: answers may still be unread in the socket.
pub const LATE_TICK_GAP: Duration = Duration::from_millis(250);
/// A gap between two calls from which the process counts as paused, so that expired timers show no failure.
pub const PAUSE_GAP: Duration = Duration::from_millis(900);
/// After this long without any datagram from a peer, missing answers are attributed to this process's own network.
pub const RECEIVE_SILENCE_TIME: Duration = Duration::from_secs(1);
/// After this long without any answer to its own probes, this process assumes that its probes do not leave the VM.
pub const ACK_SILENCE_TIME: Duration = Duration::from_secs(3);
/// After this long without any datagram from a peer, this process reports all other members as failed.
pub const ISOLATION_TIME: Duration = Duration::from_secs(5);
/// Time between two attempts to reach a failed member or an unreachable listed VM.
pub const RECONNECT_PERIOD: Duration = Duration::from_secs(2);
/// Waits for the answers to the pings of a listed VM that has not been heard of. After the last one the VM counts as
/// unreachable; together they last about as long as a suspicion in a small fleet.
pub const UNHEARD_PING_WAITS: [Duration; 3] = [
    Duration::from_millis(300),
    Duration::from_millis(900),
    Duration::from_millis(1_800),
];
/// Mean time between the first pings that a process sends to listed VMs.
pub const UNHEARD_PING_SPACING: Duration = Duration::from_millis(30);
/// Maximum number of listed VMs pinged in one tick.
pub const MAX_UNHEARD_PINGS: usize = 4;
/// Time that each known member adds to the spread of the first pings to a VM that is listed later. Gossip introduces
/// most VMs sooner, so a VM that joins a large fleet need not answer every member.
pub const KNOWN_MEMBER_SPREAD: Duration = Duration::from_millis(20);
/// Timeout of a request for a page of the member table.
pub const PAGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum time between two page requests that fetch changes missed by gossip.
pub const REPAIR_PERIOD: Duration = Duration::from_secs(10);
/// Ticks between two removals of expired notices and failed members.
pub const CLEANUP_TICKS: u32 = 600;
/// How long a failed member stays in the table.
pub const FAILED_RETENTION_TIME: Duration = Duration::from_mins(10);
/// Ticks between two gossip datagrams that are sent for load digests alone.
pub const DIGEST_TICKS: u32 = 5;
/// How many times one process sends a digest whose load has changed. Loss is harmless: the next digest replaces it.
pub const DIGEST_TRANSMISSIONS: usize = 4;
/// Share of gossip that stays in the sender's zone, where bytes cost nothing. Each fact is sent some twenty times by each
/// process that knows it, so the rest still carries it to all zones within a few rounds.
pub const OWN_ZONE_SHARE: f64 = 0.75;
/// How many times one process sends a digest with a new revision. A member that misses all of them learns the
/// revision with the next load digest.
pub const REVISION_TRANSMISSIONS: usize = 8;
/// Number of gossip datagrams sent at once to announce a planned stop.
pub const LEAVE_FANOUT: usize = 8;
/// Maximum bytes per second that one process sends, IP and UDP headers included: a third of the budget for control
/// traffic.
pub const SEND_RATE: u32 = 10_000;
/// Burst size of the send budget, in bytes.
pub const SEND_BURST: u32 = 6_000;
/// Maximum number of members in the table; more than twice the fleet size that the design targets.
pub const MEMBER_LIMIT: usize = 12_000;

/// Time that each member adds to the period between two digests of one member.
const DIGEST_PERIOD_PER_MEMBER: Duration = Duration::from_millis(30);
/// Shortest period between two digests of one member.
const DIGEST_PERIOD_MIN: Duration = Duration::from_secs(1);
/// Longest period between two digests of one member.
const DIGEST_PERIOD_MAX: Duration = Duration::from_mins(1);

/// Returns how long a suspected member has to refute the suspicion. The suspicion has to reach it and the refutation
/// has to spread, each in a number of gossip rounds that grows with the logarithm of the member count.
pub fn suspicion_time(members: usize) -> Duration {
    let rounds = ((members + 1) as f64).log2();
    Duration::from_millis((1_000.0 + 500.0 * rounds) as u64)
}

/// Minimum time from learning of a suspicion to declaring the member failed: a refutation may already be on its way.
pub const MIN_REFUTE_TIME: Duration = Duration::from_millis(1_500);

/// Returns how many times one process sends the same membership update or notice.
pub fn max_transmissions(members: usize) -> usize {
    4 + 2 * (members + 1).next_power_of_two().trailing_zeros() as usize
}

/// Returns the time between two digests of one member. It grows with the member count, so that the digests of all
/// members use a fixed share of the byte budget.
pub fn digest_period(members: usize) -> Duration {
    let period = DIGEST_PERIOD_PER_MEMBER * members as u32;
    period.clamp(DIGEST_PERIOD_MIN, DIGEST_PERIOD_MAX)
}
