//! Estimates how much of a request's latency target passes on the caller's side: the time before the request was sent,
//! and the network round trip.
//!
//! A target counts from the moment at which the caller started. Before it sends its request, the caller may have looked
//! up which VMs to use, over a separate connection, and may have opened a connection to this VM. With a one-way latency
//! of 3 ms this takes 0 to 23 ms. A caller states how long it will still wait. If all callers of a route wait equally
//! long, the time that has passed is the difference from the longest stated wait ([`WaitTrack`]). The kernel measures
//! the round trip.
//!
//! A VM that sees few requests of a route may never see a full wait, so VMs exchange the longest wait stated to them. If
//! most callers look up a VM before each request, no VM sees a full wait. But callers usually wait for as long as the
//! route's timeout, so a stated wait just below that time counts as the rest of it.

use std::os::fd::AsRawFd;
use std::time::{Duration, Instant};

use tokio::net::TcpStream;

/// Round-trip time assumed if the kernel provides none: 1 ms each way, plus processing on both hosts.
const DEFAULT_ROUND_TRIP: Duration = Duration::from_micros(2_400);
/// Upper bound on the measured round-trip time. It is measured only once, and a lost packet raises it to seconds.
const MAX_ROUND_TRIP: Duration = Duration::from_millis(60);
/// Round trips assumed for the first request on a connection if the time before it is unknown: handshake and request of
/// the look-up, handshake and request of this connection, and one for processing on the hosts.
const FIRST_REQUEST_ROUND_TRIPS: u32 = 5;
/// Round trips assumed for a later request on a connection if the time before it is unknown: one in two callers has
/// done a look-up before.
const LATER_REQUEST_ROUND_TRIPS: u32 = 2;
/// Variation of the round-trip time as a fraction of it. Only one round trip is measured for each connection, after which
/// TCP assumes the same variation (RFC 6298). An answer that is late by a few milliseconds is worth far less than one that
/// lacks the part that these milliseconds would have brought.
const ROUND_TRIP_VARIATION: f64 = 0.5;
/// Longest plausible time before a request. A larger difference comes from a retried request, which has a target of its
/// own, or from a caller that waits less long than others.
const MAX_TIME_BEFORE: Duration = Duration::from_millis(80);
/// Number of stated waits from which the longest is taken for a full wait. One in two to five stated waits is full.
const MIN_WAIT_SAMPLES: u32 = 10;
/// Shortest time for which a stated wait is remembered; the longest is twice that.
const WAIT_RETENTION: Duration = Duration::from_secs(30);

/// Network distance of a caller: the round-trip time that the kernel measured when the connection was opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerDistance {
    round_trip: Duration,
}

impl CallerDistance {
    /// Creates a distance from a round-trip time.
    pub fn new(round_trip: Duration) -> Self {
        Self {
            round_trip: round_trip.min(MAX_ROUND_TRIP),
        }
    }

    /// Measures the distance of the caller on a connection.
    pub fn measure(stream: &TcpStream) -> Self {
        let round_trip = kernel_round_trip(stream).filter(|trip| !trip.is_zero());
        Self::new(round_trip.unwrap_or(DEFAULT_ROUND_TRIP))
    }

    /// Returns what a request from this distance takes on the caller's side. `is_first` tells whether the request is
    /// the first on its connection.
    pub fn for_request(self, is_first: bool) -> CallerOverhead {
        CallerOverhead {
            distance: self,
            is_first,
        }
    }
}

/// Part of one request's latency target that passes on the caller's side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerOverhead {
    distance: CallerDistance,
    is_first: bool,
}

impl CallerOverhead {
    /// Returns the total: the time before the request was sent plus the round trip and its variation. If `time_before` is
    /// `None`, returns an assumption that includes processing on the hosts.
    pub fn total(self, time_before: Option<Duration>) -> Duration {
        let round_trip = self.distance.round_trip;
        let Some(time_before) = time_before else {
            let trips = if self.is_first {
                FIRST_REQUEST_ROUND_TRIPS
            } else {
                LATER_REQUEST_ROUND_TRIPS
            };
            return round_trip * trips;
        };
        // The first request on a connection was preceded by the handshake.
        let handshake = if self.is_first {
            round_trip
        } else {
            Duration::ZERO
        };
        time_before.max(handshake) + round_trip.mul_f64(1.0 + ROUND_TRIP_VARIATION)
    }
}

/// Longest wait stated in the current and the previous period; each lasts at least [`WAIT_RETENTION`].
#[derive(Debug, Default)]
struct LongestWait {
    /// Longest wait of the current period, and of the previous one.
    longest_waits: [Duration; 2],
    period_start: Option<Instant>,
}

impl LongestWait {
    fn get(&self) -> Duration {
        self.longest_waits[0].max(self.longest_waits[1])
    }

    fn record(&mut self, wait: Duration, now: Instant) {
        let period_start = *self.period_start.get_or_insert(now);
        if now.saturating_duration_since(period_start) >= WAIT_RETENTION {
            self.longest_waits = [Duration::ZERO, self.longest_waits[0]];
            self.period_start = Some(now);
        }
        self.longest_waits[0] = self.longest_waits[0].max(wait);
    }
}

/// Tracks how long the callers of a route wait in total, from the waits that they state to this VM and to others.
#[derive(Debug, Default)]
pub struct WaitTrack {
    own_waits: LongestWait,
    peer_waits: LongestWait,
    sample_count: u32,
}

impl WaitTrack {
    /// Records the wait that a caller states. Returns how much time had passed before, if it can be determined.
    pub fn record(
        &mut self,
        stated_wait: Duration,
        route_timeout: Duration,
        now: Instant,
    ) -> Option<Duration> {
        self.own_waits.record(stated_wait, now);
        self.sample_count = self.sample_count.saturating_add(1);
        let own_longest = self.own_waits.get();
        let peer_longest = self.peer_longest();
        let time_before_in_timeout = route_timeout.checked_sub(stated_wait);
        if let Some(time_before) = time_before_in_timeout
            && time_before <= MAX_TIME_BEFORE
            && own_longest.max(peer_longest.unwrap_or_default()) <= route_timeout
        {
            return Some(time_before);
        }
        let time_before = peer_longest
            .unwrap_or(own_longest)
            .max(own_longest)
            .saturating_sub(stated_wait);
        let is_determinable = self.sample_count >= MIN_WAIT_SAMPLES || peer_longest.is_some();
        (is_determinable && time_before <= MAX_TIME_BEFORE).then_some(time_before)
    }

    /// Returns the longest wait that callers have stated to this VM; zero if there was none.
    pub fn own_longest(&self) -> Duration {
        self.own_waits.get()
    }

    /// Records the longest wait that callers have stated to another VM. VMs report only what callers have stated to
    /// them directly, so a wait that no caller states any more expires on all VMs. A wait far longer than any stated to
    /// this VM comes from a caller that waits longer than others and is ignored.
    pub fn record_peer_wait(&mut self, wait: Duration, now: Instant) {
        let own_longest = self.own_waits.get();
        let is_plausible =
            own_longest.is_zero() || wait.saturating_sub(own_longest) <= MAX_TIME_BEFORE;
        if is_plausible && !wait.is_zero() {
            self.peer_waits.record(wait, now);
        }
    }

    /// Returns the longest wait stated to other VMs, unless it far exceeds those stated to this VM.
    fn peer_longest(&self) -> Option<Duration> {
        let longest = self.peer_waits.get();
        let is_plausible = longest.saturating_sub(self.own_waits.get()) <= MAX_TIME_BEFORE;
        (is_plausible && !longest.is_zero()).then_some(longest)
    }
}

fn kernel_round_trip(stream: &TcpStream) -> Option<Duration> {
    let mut info = std::mem::MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the descriptor is open for as long as `stream` is borrowed. The kernel writes at most `length` bytes to
    // `info`, which is that long and all of whose bit patterns are valid, including zeros.
    let (status, info) = unsafe {
        let status = libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &raw mut length,
        );
        (status, info.assume_init())
    };
    (status == 0).then(|| Duration::from_micros(u64::from(info.tcpi_rtt)))
}

#[cfg(test)]
#[path = "caller_time_tests.rs"]
mod tests;
