//! How far away a caller is: the round-trip time that the kernel measured when the connection was opened.
//!
//! A target counts from the moment at which the caller began. By the time its request has been read, a caller on a new
//! connection has spent a look-up, a handshake and the way here, and the answer still has to go back.

use std::os::fd::AsRawFd;
use std::time::Duration;

use tokio::net::TcpStream;

/// Round-trip time that is assumed where the kernel does not tell: 1 ms each way and some for the hosts.
const ASSUMED: Duration = Duration::from_micros(2_400);
/// Longest round-trip time that is believed: it is measured once, and a lost packet makes it seconds.
const LONGEST: Duration = Duration::from_millis(60);
/// Round trips of a request on a new connection: look-up, handshake, request with its answer.
const NEW_TRIPS: u32 = 3;
/// Round trips on a connection that is kept: callers that send seldom look up anew each time.
const KEPT_TRIPS: u32 = 2;

/// The caller's part of the time that a request takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerTrip {
    round_trip: Duration,
}

impl CallerTrip {
    /// The trip with a given round-trip time.
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

    /// What the caller's side takes of a request's time: on a new connection, or on one that is kept.
    pub fn time(self, new: bool) -> Duration {
        let trips = if new { NEW_TRIPS } else { KEPT_TRIPS };
        self.round_trip * trips
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
#[path = "trip_tests.rs"]
mod tests;
