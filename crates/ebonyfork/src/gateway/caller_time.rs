//! Estimates how much of a request's latency target passes on the caller's side: the time before the request was sent,
//! and the network round trip.
//!
//! A target counts from the moment at which the caller started. Before it sends its request, the caller may have looked
//! up which VMs to use, over a separate connection, and may have opened a connection to this VM. With a one-way latency
//! of 3 ms this takes 0 to 23 ms. A caller states how long it will still wait. If all callers of a route wait equally
//! long, the time that has passed is the difference from the longest stated wait ([`WaitTrack`]). The kernel measures
//! the round trip.
//!
//! A VM that sees few requests of a route may never see a full wait, so VMs exchange the longest wait stated to them.

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
/// Longest plausible time before a request. A larger difference comes from a retried request, which has a target of its
/// own, or from a caller that waits less long than others.
const MAX_TIME_BEFORE: Duration = Duration::from_millis(80);
/// Number of stated waits from which the longest is taken for a full wait. One in two to five is.
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
        let measured = kernel_round_trip(stream).filter(|trip| !trip.is_zero());
        Self::new(measured.unwrap_or(DEFAULT_ROUND_TRIP))
    }

    /// Returns the caller's share of a request's time. `first` tells whether it is the first request on its connection.
    pub fn for_request(self, first: bool) -> CallerTime {
        CallerTime {
            distance: self,
            first,
        }
    }
}

/// Caller's share of one request's time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerTime {
    distance: CallerDistance,
    first: bool,
}

impl CallerTime {
    /// Returns the total: the time before the request was sent, assumed if `before` is `None`, plus the round trip.
    pub fn total(self, before: Option<Duration>) -> Duration {
        let round_trip = self.distance.round_trip;
        let Some(before) = before else {
            let trips = if self.first {
                FIRST_REQUEST_ROUND_TRIPS
            } else {
                LATER_REQUEST_ROUND_TRIPS
            };
            return round_trip * trips;
        };
        // The first request on a connection was preceded by the handshake.
        let handshake = if self.first {
            round_trip
        } else {
            Duration::ZERO
        };
        before.max(handshake) + round_trip
    }
}

/// Longest wait of the recent past.
#[derive(Debug, Default)]
struct LongestWait {
    /// Longest waits of the current and of the previous period.
    longest: [Duration; 2],
    since: Option<Instant>,
}

impl LongestWait {
    fn get(&self) -> Duration {
        self.longest[0].max(self.longest[1])
    }

    fn record(&mut self, wait: Duration, now: Instant) {
        let since = *self.since.get_or_insert(now);
        if now.saturating_duration_since(since) >= WAIT_RETENTION {
            self.longest = [Duration::ZERO, self.longest[0]];
            self.since = Some(now);
        }
        self.longest[0] = self.longest[0].max(wait);
    }
}

/// Tracks how long the callers of a route wait in total, from the waits that they state to this VM and to others.
#[derive(Debug, Default)]
pub struct WaitTrack {
    own: LongestWait,
    from_peers: LongestWait,
    samples: u32,
}

impl WaitTrack {
    /// Records the wait that a caller states. Returns how much time had passed before, if it can be determined.
    pub fn record(&mut self, stated: Duration, now: Instant) -> Option<Duration> {
        self.own.record(stated, now);
        self.samples = self.samples.saturating_add(1);
        let own = self.own.get();
        let from_peers = self.peer_longest();
        let before = from_peers.unwrap_or(own).max(own).saturating_sub(stated);
        let known = self.samples >= MIN_WAIT_SAMPLES || from_peers.is_some();
        (known && before <= MAX_TIME_BEFORE).then_some(before)
    }

    /// Returns the longest wait that callers have stated to this VM; zero if there was none.
    pub fn own_longest(&self) -> Duration {
        self.own.get()
    }

    /// Records the longest wait that callers have stated to another VM. VMs report only what callers have stated to
    /// them directly, so a wait that no caller states any more expires on all VMs. A wait far longer than any stated to
    /// this VM comes from a caller that waits longer than others and is ignored.
    pub fn record_peer_wait(&mut self, wait: Duration, now: Instant) {
        let own = self.own.get();
        let plausible = own.is_zero() || wait.saturating_sub(own) <= MAX_TIME_BEFORE;
        if plausible && !wait.is_zero() {
            self.from_peers.record(wait, now);
        }
    }

    /// Returns the longest wait stated to other VMs, unless it far exceeds those stated to this VM.
    fn peer_longest(&self) -> Option<Duration> {
        let from_peers = self.from_peers.get();
        let plausible = from_peers.saturating_sub(self.own.get()) <= MAX_TIME_BEFORE;
        (plausible && !from_peers.is_zero()).then_some(from_peers)
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
