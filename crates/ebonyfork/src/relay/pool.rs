//! The connection pool of one upstream: which connections are open or idle, and when another may be opened.
//!
//! The number of connections, including those being opened, never exceeds the share. The most recently used idle
//! connection is taken first, so that the others can reach the idle limit and close. Pure: connections to open and
//! close are issued as actions through the [`RelayTables`].

use std::time::Duration;

use crate::relay::action::{RelayAction, RelayTables};
use crate::relay::ids::{ConnectionId, UpstreamId};

/// An idle connection is closed after this time, before a typical upstream would close it while a request is being
/// sent.
pub(super) const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Initial backoff after a failed attempt to open a connection. It doubles up to [`MAX_OPEN_BACKOFF`].
const OPEN_BACKOFF: Duration = Duration::from_millis(10);
const MAX_OPEN_BACKOFF: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
struct IdleConnection {
    connection: ConnectionId,
    idle_since: Duration,
}

/// The connections to one upstream.
#[derive(Debug)]
pub(super) struct ConnectionPool {
    upstream: UpstreamId,
    /// Maximum number of connections.
    share: u32,
    idle: Vec<IdleConnection>,
    /// Connections that were opened and whose end was not reported yet.
    open: u32,
    /// Connections being opened.
    opening: u32,
    /// Consecutive failures to open a connection.
    failures: u32,
    /// No connection is opened before this time.
    retry_at: Duration,
}

impl ConnectionPool {
    /// Creates a pool without connections and with a share of zero.
    pub(super) fn new(upstream: UpstreamId) -> Self {
        Self {
            upstream,
            share: 0,
            idle: Vec::new(),
            open: 0,
            opening: 0,
            failures: 0,
            retry_at: Duration::ZERO,
        }
    }

    pub(super) fn share(&self) -> u32 {
        self.share
    }

    /// Returns the number of connections that are open or being opened.
    pub(super) fn total(&self) -> u32 {
        self.open + self.opening
    }

    /// Returns the number of idle connections.
    pub(super) fn idle(&self) -> usize {
        self.idle.len()
    }

    /// Returns whether no connection is open and the last attempt to open one failed less than its backoff ago.
    pub(super) fn is_unreachable(&self, now: Duration) -> bool {
        self.open == 0 && now < self.retry_at
    }

    /// Replaces the share and closes idle connections beyond it.
    pub(super) fn set_share(&mut self, share: u32, tables: &mut RelayTables) {
        self.share = share;
        self.close_surplus(tables);
    }

    /// Adds a connection that was opened, as idle.
    pub(super) fn opened(&mut self, now: Duration, connection: ConnectionId) {
        self.opening -= 1;
        self.open += 1;
        self.failures = 0;
        self.retry_at = now;
        self.put_back(now, connection);
    }

    /// Removes a connection that could not be opened, and starts the backoff.
    pub(super) fn open_failed(
        &mut self,
        now: Duration,
        connection: ConnectionId,
        tables: &mut RelayTables,
    ) {
        self.opening -= 1;
        tables.forget_connection(connection);
        let backoff = OPEN_BACKOFF * (1 << u32::min(self.failures, 10));
        self.failures += 1;
        self.retry_at = now + Duration::min(backoff, MAX_OPEN_BACKOFF);
    }

    /// Removes a connection that has ended.
    pub(super) fn ended(&mut self, connection: ConnectionId, tables: &mut RelayTables) {
        self.idle.retain(|idle| idle.connection != connection);
        self.open -= 1;
        tables.forget_connection(connection);
    }

    /// Takes the most recently used idle connection.
    pub(super) fn take(&mut self) -> Option<ConnectionId> {
        self.idle.pop().map(|idle| idle.connection)
    }

    /// Makes a connection idle again.
    pub(super) fn put_back(&mut self, now: Duration, connection: ConnectionId) {
        let idle_since = now;
        self.idle.push(IdleConnection {
            connection,
            idle_since,
        });
    }

    /// Opens connections until `wanted` are being opened, within the share. Does nothing while a connection is idle or
    /// during the backoff.
    pub(super) fn open_needed(&mut self, now: Duration, wanted: u32, tables: &mut RelayTables) {
        if now < self.retry_at || !self.idle.is_empty() {
            return;
        }
        while self.opening < wanted && self.total() < self.share {
            self.opening += 1;
            tables.open(self.upstream);
        }
    }

    /// Closes idle connections beyond the share.
    pub(super) fn close_surplus(&mut self, tables: &mut RelayTables) {
        let mut surplus = self.total().saturating_sub(self.share);
        while surplus > 0
            && let Some(connection) = self.take()
        {
            tables.actions.push(RelayAction::Close { connection });
            surplus -= 1;
        }
    }

    /// Closes connections that have reached the idle limit.
    pub(super) fn close_timed_out(&mut self, now: Duration, tables: &mut RelayTables) {
        let keep = |idle: &IdleConnection| idle.idle_since + IDLE_LIMIT > now;
        for idle in self.idle.iter().filter(|idle| !keep(idle)) {
            let connection = idle.connection;
            tables.actions.push(RelayAction::Close { connection });
        }
        self.idle.retain(keep);
    }

    /// Closes all idle connections.
    pub(super) fn close_idle(&mut self, tables: &mut RelayTables) {
        for IdleConnection { connection, .. } in self.idle.drain(..) {
            tables.actions.push(RelayAction::Close { connection });
        }
    }
}
