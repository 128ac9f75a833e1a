//! The connections to one upstream: how many there are, which are idle, when another may be opened.
//!
//! Never more than the share, those being opened included. The one used last goes first, so that the others may fall
//! idle and close. Pure: what is to be opened and closed goes into the [`RelayTables`].

use std::time::Duration;

use crate::relay::action::{RelayAction, RelayTables};
use crate::relay::ids::{ConnectionId, UpstreamId};

/// An idle connection is closed after this time, before the usual upstream closes it under a request.
pub(super) const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// First pause after a connection could not be opened; it doubles up to [`OPEN_PAUSE_LIMIT`].
const OPEN_PAUSE: Duration = Duration::from_millis(10);
const OPEN_PAUSE_LIMIT: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
struct IdleConnection {
    connection: ConnectionId,
    since: Duration,
}

/// The connections to one upstream.
#[derive(Debug)]
pub(super) struct ConnectionPool {
    upstream: UpstreamId,
    /// Most connections there may be.
    share: u32,
    idle: Vec<IdleConnection>,
    /// Connections opened and not known to have ended.
    open: u32,
    /// Connections being opened.
    opening: u32,
    failures: u32,
    open_again: Duration,
}

impl ConnectionPool {
    /// Starts without connections, and without a share.
    pub(super) fn new(upstream: UpstreamId) -> Self {
        Self {
            upstream,
            share: 0,
            idle: Vec::new(),
            open: 0,
            opening: 0,
            failures: 0,
            open_again: Duration::ZERO,
        }
    }

    pub(super) fn share(&self) -> u32 {
        self.share
    }

    /// Connections open or being opened.
    pub(super) fn total(&self) -> u32 {
        self.open + self.opening
    }

    /// Connections that could take an attempt now.
    pub(super) fn idle(&self) -> usize {
        self.idle.len()
    }

    /// Tells whether the upstream has just refused a connection and none is left.
    pub(super) fn is_unreachable(&self, now: Duration) -> bool {
        self.open == 0 && now < self.open_again
    }

    /// Replaces the share and closes idle connections beyond it.
    pub(super) fn set_share(&mut self, share: u32, tables: &mut RelayTables) {
        self.share = share;
        self.close_surplus(tables);
    }

    /// A connection is open.
    pub(super) fn opened(&mut self, now: Duration, connection: ConnectionId) {
        self.opening -= 1;
        self.open += 1;
        self.failures = 0;
        self.open_again = now;
        self.put_back(now, connection);
    }

    /// A connection could not be opened: no other is tried for a while.
    pub(super) fn open_failed(
        &mut self,
        now: Duration,
        connection: ConnectionId,
        tables: &mut RelayTables,
    ) {
        self.opening -= 1;
        tables.forget_connection(connection);
        let pause = OPEN_PAUSE * (1 << u32::min(self.failures, 10));
        self.failures += 1;
        self.open_again = now + Duration::min(pause, OPEN_PAUSE_LIMIT);
    }

    /// A connection has ended.
    pub(super) fn ended(&mut self, connection: ConnectionId, tables: &mut RelayTables) {
        self.idle.retain(|idle| idle.connection != connection);
        self.open -= 1;
        tables.forget_connection(connection);
    }

    /// Takes the idle connection that was used last.
    pub(super) fn take(&mut self) -> Option<ConnectionId> {
        self.idle.pop().map(|idle| idle.connection)
    }

    /// A connection is idle again.
    pub(super) fn put_back(&mut self, now: Duration, connection: ConnectionId) {
        let since = now;
        self.idle.push(IdleConnection { connection, since });
    }

    /// Opens connections until `wanted` are being opened, as far as the share allows.
    pub(super) fn open_needed(&mut self, now: Duration, wanted: u32, tables: &mut RelayTables) {
        if now < self.open_again || !self.idle.is_empty() {
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

    /// Closes what has been idle for long.
    pub(super) fn close_unused(&mut self, now: Duration, tables: &mut RelayTables) {
        let keep = |idle: &IdleConnection| idle.since + IDLE_LIMIT > now;
        for idle in self.idle.iter().filter(|idle| !keep(idle)) {
            let connection = idle.connection;
            tables.actions.push(RelayAction::Close { connection });
        }
        self.idle.retain(keep);
    }

    /// Closes every idle connection.
    pub(super) fn close_idle(&mut self, tables: &mut RelayTables) {
        for IdleConnection { connection, .. } in self.idle.drain(..) {
            tables.actions.push(RelayAction::Close { connection });
        }
    }
}
