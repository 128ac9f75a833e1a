//! What of a target is the caller's: the time before its request was sent, and the way here and back.
//!
//! A target counts from the moment at which the caller began. Before it sends its request it may have looked up which
//! VMs to use, which takes a connection of its own, and opened one to this VM: none, one or both, 0 to 23 ms at a
//! distance of 3 ms. A caller states how long it will still wait. On a route that callers wait for equally long the
//! difference from the longest wait stated is the time that has passed ([`WaitTrack`]); the kernel knows the way.
//!
//! A VM that sees few requests of a route may never meet a whole wait, so VMs tell one another the longest stated to them.

use std::os::fd::AsRawFd;
use std::time::{Duration, Instant};

use tokio::net::TcpStream;

/// Round-trip time that is assumed where the kernel does not tell: 1 ms each way and some for the hosts.
const ASSUMED: Duration = Duration::from_micros(2_400);
/// Longest round-trip time that is believed: it is measured once, and a lost packet makes it seconds.
const LONGEST: Duration = Duration::from_millis(60);
/// Round trips of a request on a new connection while it can't be told: handshake and request of the look-up, both again
/// here, and one for the work of the hosts.
const NEW_ROUND_TRIPS: u32 = 5;
/// Round trips on a connection that is kept while it can't be told: one in two callers has looked up before.
const KEPT_ROUND_TRIPS: u32 = 2;
/// Longest time before a request that is believed. What seems longer is a repeated request, which has a target of its
/// own, or one of a caller that waits less long than others.
const LONGEST_BEFORE: Duration = Duration::from_millis(80);
/// Stated waits before the longest of them is believed to be a whole one: one in two to five is.
const WAITS_LEAST: u32 = 10;
/// How long a stated wait is remembered at least; twice as long at most.
const WAIT_MEMORY: Duration = Duration::from_secs(30);

/// How far away a caller is: the round-trip time that the kernel measured when the connection was opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerDistance {
    round_trip: Duration,
}

impl CallerDistance {
    /// The distance with a given round-trip time.
    pub fn new(round_trip: Duration) -> Self {
        Self {
            round_trip: round_trip.min(LONGEST),
        }
    }

    /// Asks the kernel.
    pub fn measure(stream: &TcpStream) -> Self {
        let measured = kernel_round_trip(stream).filter(|trip| !trip.is_zero());
        Self::new(measured.unwrap_or(ASSUMED))
    }

    /// What the caller's side takes of a request's time, as the first on its connection or a later one.
    pub fn request(self, first: bool) -> CallerTime {
        CallerTime {
            distance: self,
            first,
        }
    }
}

/// What the caller's side takes of one request's time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerTime {
    distance: CallerDistance,
    first: bool,
}

impl CallerTime {
    /// All of it: what passed before the request was sent, if that is known, and the way here and back.
    pub fn total(self, before: Option<Duration>) -> Duration {
        let round_trip = self.distance.round_trip;
        let Some(before) = before else {
            let trips = if self.first {
                NEW_ROUND_TRIPS
            } else {
                KEPT_ROUND_TRIPS
            };
            return round_trip * trips;
        };
        // The first request on a connection has had its handshake.
        let handshake = if self.first {
            round_trip
        } else {
            Duration::ZERO
        };
        before.max(handshake) + round_trip
    }
}

/// The longest wait of the last while.
#[derive(Debug, Default)]
struct LongestWait {
    /// The longest lately, and in the time before that.
    longest: [Duration; 2],
    since: Option<Instant>,
}

impl LongestWait {
    fn get(&self) -> Duration {
        self.longest[0].max(self.longest[1])
    }

    fn note(&mut self, wait: Duration, now: Instant) {
        let since = *self.since.get_or_insert(now);
        if now.saturating_duration_since(since) >= WAIT_MEMORY {
            self.longest = [Duration::ZERO, self.longest[0]];
            self.since = Some(now);
        }
        self.longest[0] = self.longest[0].max(wait);
    }
}

/// How long the callers of a route wait in all, from what they state when they send, here or to other VMs.
#[derive(Debug, Default)]
pub struct WaitTrack {
    own: LongestWait,
    heard: LongestWait,
    stated: u32,
}

impl WaitTrack {
    /// Takes in the wait that a caller states, and returns how long before that it began, if that can be told.
    pub fn note(&mut self, stated: Duration, now: Instant) -> Option<Duration> {
        self.own.note(stated, now);
        self.stated = self.stated.saturating_add(1);
        let own = self.own.get();
        let heard = self.heard_longest();
        let before = heard.unwrap_or(own).max(own).saturating_sub(stated);
        let known = self.stated >= WAITS_LEAST || heard.is_some();
        (known && before <= LONGEST_BEFORE).then_some(before)
    }

    /// The longest wait that callers have stated to this VM; zero if there was none.
    pub fn own_longest(&self) -> Duration {
        self.own.get()
    }

    /// Takes in the longest wait that callers have stated to another VM. Each VM tells what it was told by callers only, so
    /// that a wait that nobody states any more is forgotten everywhere. One far longer than any stated here is of a caller
    /// that waits longer than others.
    pub fn hear(&mut self, wait: Duration, now: Instant) {
        let own = self.own.get();
        let usual = own.is_zero() || wait.saturating_sub(own) <= LONGEST_BEFORE;
        if usual && !wait.is_zero() {
            self.heard.note(wait, now);
        }
    }

    /// The longest wait stated to other VMs, unless it is far beyond those stated here.
    fn heard_longest(&self) -> Option<Duration> {
        let heard = self.heard.get();
        let usual = heard.saturating_sub(self.own.get()) <= LONGEST_BEFORE;
        (usual && !heard.is_zero()).then_some(heard)
    }
}

fn kernel_round_trip(stream: &TcpStream) -> Option<Duration> {
    let mut info = std::mem::MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the descriptor is open for as long as `stream` is borrowed; the kernel writes at most `length` bytes to
    // `info`, which is that long and all of whose bit patterns are valid, zeros included.
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
