//! The connection pool of one upstream: which connections are open or idle, and when another may be opened.
//!
//! The number of connections, including those being opened, never exceeds the connection share. The most recently used
//! idle connection is taken first, so that the others can reach the idle timeout and close. Pure: connections to open
//! and close are issued as actions through the [`RelayTables`].

use std::time::Duration;

use crate::relay::action::{RelayAction, RelayTables};
use crate::relay::ids::{ConnectionId, UpstreamId};

/// Time after which an idle connection is closed. It is short enough that a typical upstream does not close the
/// connection first, while a request is being sent on it.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Initial backoff after a failed attempt to open a connection. It doubles up to [`MAX_OPEN_BACKOFF`].
const INITIAL_OPEN_BACKOFF: Duration = Duration::from_millis(10);
/// Maximum backoff after a failed attempt to open a connection.
const MAX_OPEN_BACKOFF: Duration = Duration::from_secs(1);

/// An open connection without an attempt in flight.
#[derive(Debug, Clone, Copy)]
struct IdleConnection {
    connection: ConnectionId,
    idle_since: Duration,
}

/// The connections to one upstream.
#[derive(Debug)]
pub(super) struct ConnectionPool {
    upstream: UpstreamId,
    /// Maximum number of connections to the upstream that this VM may hold for attempts.
    connection_share: u32,
    /// The idle connections; the most recently used one is last.
    idle_connections: Vec<IdleConnection>,
    /// Number of connections that were opened and whose end was not reported yet.
    open_connection_count: u32,
    /// Number of connections being opened.
    opening_connection_count: u32,
    /// Number of consecutive failures to open a connection.
    consecutive_failures: u32,
    /// Earliest time at which the next connection may be opened.
    retry_at: Duration,
}

impl ConnectionPool {
    /// Creates a pool without connections and with a connection share of zero.
    pub(super) fn new(upstream: UpstreamId) -> Self {
        Self {
            upstream,
            connection_share: 0,
            idle_connections: Vec::new(),
            open_connection_count: 0,
            opening_connection_count: 0,
            consecutive_failures: 0,
            retry_at: Duration::ZERO,
        }
    }

    pub(super) fn connection_share(&self) -> u32 {
        self.connection_share
    }

    /// Returns the number of connections that are open or being opened.
    pub(super) fn connection_count(&self) -> u32 {
        self.open_connection_count + self.opening_connection_count
    }

    /// Returns the number of idle connections.
    pub(super) fn idle_connection_count(&self) -> usize {
        self.idle_connections.len()
    }

    /// Returns whether no connection is open and the last attempt to open one failed less than its backoff ago.
    pub(super) fn is_unreachable(&self, now: Duration) -> bool {
        self.open_connection_count == 0 && now < self.retry_at
    }

    /// Replaces the connection share and closes idle connections beyond it.
    pub(super) fn set_connection_share(&mut self, connection_share: u32, tables: &mut RelayTables) {
        self.connection_share = connection_share;
        self.close_surplus_connections(tables);
    }

    /// Adds a connection that was opened, as idle.
    pub(super) fn add_opened_connection(&mut self, now: Duration, connection: ConnectionId) {
        self.opening_connection_count -= 1;
        self.open_connection_count += 1;
        self.consecutive_failures = 0;
        self.retry_at = now;
        self.put_back_connection(now, connection);
    }

    /// Removes a connection that could not be opened, and starts the backoff.
    pub(super) fn remove_failed_connection(
        &mut self,
        now: Duration,
        connection: ConnectionId,
        tables: &mut RelayTables,
    ) {
        self.opening_connection_count -= 1;
        tables.forget_connection(connection);
        let backoff = INITIAL_OPEN_BACKOFF * (1 << u32::min(self.consecutive_failures, 10));
        self.consecutive_failures += 1;
        self.retry_at = now + Duration::min(backoff, MAX_OPEN_BACKOFF);
    }

    /// Removes a connection that has ended.
    pub(super) fn remove_ended_connection(
        &mut self,
        connection: ConnectionId,
        tables: &mut RelayTables,
    ) {
        self.idle_connections
            .retain(|idle_connection| idle_connection.connection != connection);
        self.open_connection_count -= 1;
        tables.forget_connection(connection);
    }

    /// Removes and returns the most recently used idle connection.
    pub(super) fn take_idle_connection(&mut self) -> Option<ConnectionId> {
        self.idle_connections
            .pop()
            .map(|idle_connection| idle_connection.connection)
    }

    /// Makes a connection idle again.
    pub(super) fn put_back_connection(&mut self, now: Duration, connection: ConnectionId) {
        let idle_since = now;
        self.idle_connections.push(IdleConnection {
            connection,
            idle_since,
        });
    }

    /// Opens connections until `wanted_connection_count` are being opened, within the connection share. Does nothing
    /// while a connection is idle or during the backoff.
    pub(super) fn open_needed_connections(
        &mut self,
        now: Duration,
        wanted_connection_count: u32,
        tables: &mut RelayTables,
    ) {
        if now < self.retry_at || !self.idle_connections.is_empty() {
            return;
        }
        while self.opening_connection_count < wanted_connection_count
            && self.connection_count() < self.connection_share
        {
            self.opening_connection_count += 1;
            tables.open_connection(self.upstream);
        }
    }

    /// Closes idle connections beyond the connection share.
    pub(super) fn close_surplus_connections(&mut self, tables: &mut RelayTables) {
        let mut surplus_count = self
            .connection_count()
            .saturating_sub(self.connection_share);
        while surplus_count > 0
            && let Some(connection) = self.take_idle_connection()
        {
            tables.actions.push(RelayAction::Close { connection });
            surplus_count -= 1;
        }
    }

    /// Closes connections that have reached the idle timeout.
    pub(super) fn close_timed_out_connections(&mut self, now: Duration, tables: &mut RelayTables) {
        let is_kept =
            |idle_connection: &IdleConnection| idle_connection.idle_since + IDLE_TIMEOUT > now;
        for idle_connection in self
            .idle_connections
            .iter()
            .filter(|idle_connection| !is_kept(idle_connection))
        {
            let connection = idle_connection.connection;
            tables.actions.push(RelayAction::Close { connection });
        }
        self.idle_connections.retain(is_kept);
    }

    /// Closes all idle connections.
    pub(super) fn close_idle_connections(&mut self, tables: &mut RelayTables) {
        for IdleConnection { connection, .. } in self.idle_connections.drain(..) {
            tables.actions.push(RelayAction::Close { connection });
        }
    }
}
