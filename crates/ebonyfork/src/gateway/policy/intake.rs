//! Which connection gives way when callers hold all that a VM has for them.
//!
//! Load pattern: many callers open connections and stop just short of the end of a head or of a body of legal size, or don't
//! read their answers, beside ordinary callers whose requests are complete within moments. A timeout for each of them
//! limits neither their number nor their sum, and a first come, first served budget is taken by those who never finish.
//!
//! So whoever holds the most for the longest gives way first: the product of bytes and time without an end. A caller that sends a
//! byte now and then gains nothing, since the time counts from the beginning of the head or body. A request that is
//! complete never gives way, as it may have run.

use std::time::{Duration, Instant};

/// Time for which a holding is kept whatever it takes: ordinary callers send a request within it.
const PROTECTED_TIME: Duration = Duration::from_millis(250);

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IntakePhase {
    /// No request has begun.
    Idle,
    /// A request head is arriving.
    Head,
    /// A request body is arriving.
    Body,
    /// A complete request is being served.
    Running,
    /// An answer is being written.
    Answer,
    /// An answer has been written, and the caller is still sending a request that was refused.
    Closing,
}

/// What a connection holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IntakeHolding {
    /// What the connection is doing.
    pub phase: IntakePhase,
    /// Time since which it does that; of an answer, the time at which its caller last read some of it.
    pub since: Instant,
    /// Memory that it holds, in bytes.
    pub bytes: usize,
}

/// What has run out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScarceResource {
    /// Room for connections.
    Connections,
    /// Memory for requests.
    Requests,
    /// Memory for answers that are not read yet.
    Answers,
}

impl ScarceResource {
    /// Returns the resource as one word, for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Requests => "requests",
            Self::Answers => "answers",
        }
    }

    /// Returns whether the end of a connection in a phase frees the resource and breaks no promise.
    fn is_freed_by(self, phase: IntakePhase) -> bool {
        match (self, phase) {
            (_, IntakePhase::Running) => false,
            (Self::Connections, _) => true,
            (Self::Requests, phase) => phase == IntakePhase::Body,
            (Self::Answers, phase) => phase == IntakePhase::Answer,
        }
    }
}

/// Returns the connection that gives way so that the resource is free for another; `None` if none should.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use ebonyfork::gateway::{IntakeHolding, IntakePhase, ScarceResource, choose_yielding};
///
/// let now = Instant::now() + Duration::from_secs(60);
/// let body = |bytes, age| IntakeHolding {
///     phase: IntakePhase::Body,
///     since: now - Duration::from_secs(age),
///     bytes,
/// };
/// let holdings = [("small", body(200, 3)), ("large", body(260_000, 2)), ("old", body(260_000, 9))];
/// assert_eq!(choose_yielding(holdings, ScarceResource::Requests, now), Some("old"));
/// ```
pub fn choose_yielding<K>(
    holdings: impl IntoIterator<Item = (K, IntakeHolding)>,
    resource: ScarceResource,
    now: Instant,
) -> Option<K> {
    let mut chosen = None;
    let mut highest_weight = 0;
    for (key, holding) in holdings {
        let age = now.saturating_duration_since(holding.since);
        if age < PROTECTED_TIME || !resource.is_freed_by(holding.phase) {
            continue;
        }
        let weight = age.as_millis() * holding.bytes as u128;
        if weight > highest_weight {
            highest_weight = weight;
            chosen = Some(key);
        }
    }
    chosen
}

/// Shares of a VM's memory and descriptors that callers may take. What is left is the process's own: its copy of the store, its
/// work, and its connections to upstreams, other VMs and the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IntakeBudget {
    /// Connections of callers.
    pub connections: usize,
    /// Memory of all connections of callers, in bytes.
    pub connection_bytes: usize,
    /// Memory for request bodies, and for the attempts of requests to many shards, in bytes.
    pub request_bytes: usize,
    /// Memory for answers that are not read yet, in bytes.
    pub answer_bytes: usize,
    /// Connections at each of the listeners that callers don't send requests to.
    pub control_connections: usize,
    /// Connections that other VMs have opened.
    pub peer_connections: usize,
    /// Memory for incomplete messages of other VMs, in bytes.
    pub peer_bytes: usize,
}

/// Most that a request may take of the last part of the memory for requests, in bytes: ordinary requests find room there when
/// large ones have filled the rest.
pub const SMALL_REQUEST_BYTES: usize = 16 * 1024;

impl IntakeBudget {
    /// Creates the budget of a VM with so much memory, in bytes, and so many descriptors.
    pub fn new(memory_bytes: usize, descriptors: usize) -> Self {
        /// Fewest and most connections at a listener other than that for requests: one caller each of the platform and of the
        /// operators, and some that look up addresses.
        const CONTROL_CONNECTIONS: (usize, usize) = (8, 64);
        let (control_min, control_max) = CONTROL_CONNECTIONS;
        Self {
            connections: descriptors / 2,
            connection_bytes: memory_bytes / 5,
            request_bytes: memory_bytes * 3 / 10,
            answer_bytes: memory_bytes / 10,
            control_connections: (descriptors / 32).clamp(control_min, control_max),
            peer_connections: descriptors / 5,
            peer_bytes: memory_bytes / 10,
        }
    }

    /// Creates a budget without limits, for processes that serve no callers.
    pub fn unlimited() -> Self {
        const UNLIMITED: usize = usize::MAX / 2;
        Self {
            connections: UNLIMITED,
            connection_bytes: UNLIMITED,
            request_bytes: UNLIMITED,
            answer_bytes: UNLIMITED,
            control_connections: UNLIMITED,
            peer_connections: UNLIMITED,
            peer_bytes: UNLIMITED,
        }
    }

    /// Returns the budget of the listener for other VMs.
    #[must_use]
    pub fn for_peers(&self) -> Self {
        Self {
            connections: self.peer_connections,
            ..*self
        }
    }

    /// Returns the budget of a listener that callers don't send requests to.
    #[must_use]
    pub fn for_control(&self) -> Self {
        Self {
            connections: self.control_connections,
            ..*self
        }
    }

    /// Returns the part of the memory for requests that large ones may take, in bytes.
    pub fn long_request_bytes(&self) -> usize {
        self.request_bytes - self.request_bytes / 4
    }

    /// Returns whether a request may grow from one size to another while all requests together take `used` bytes.
    pub fn allows_request(&self, used: usize, from: usize, to: usize) -> bool {
        let limit = if to <= SMALL_REQUEST_BYTES {
            self.request_bytes
        } else {
            self.long_request_bytes()
        };
        used + to.saturating_sub(from) <= limit
    }
}

#[cfg(test)]
#[path = "intake_tests.rs"]
mod tests;
