//! An upstream as seen by this process: its registered entry, its connections and its health.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::HeaderValue;
use smallvec::SmallVec;

use crate::gateway::ident::{
    InstanceName, PlaceName, StartTime, UpstreamIncarnation, UpstreamService,
};
use crate::gateway::loss::{LossCheck, LossVerdict};
use crate::gateway::policy::cold::SendWindow;
use crate::gateway::policy::health::UpstreamHealth;
use crate::gateway::slots::{SlotPermit, SlotPriority, SlotQueue};
use crate::http_link::{HttpLink, LinkError};
use crate::quarantine::LostRequest;

/// Entry that an upstream has registered about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Name of the upstream.
    pub instance: InstanceName,
    /// Start time of the upstream; `None` on deployments whose upstreams don't state it.
    pub started: Option<StartTime>,
    /// Service that the upstream belongs to.
    pub service: UpstreamService,
    /// Address on which the upstream listens.
    pub address: SocketAddr,
    /// Availability zone of the upstream.
    pub zone: PlaceName,
    /// Number of requests that the upstream runs concurrently.
    pub slots: usize,
    /// Number of heartbeats of this incarnation when it wrote the entry.
    pub heartbeats: u64,
    /// Whether the upstream is about to leave.
    pub leaving: bool,
    /// Remaining time for which the upstream is slow after its start.
    pub cold_remaining: Duration,
}

impl UpstreamEntry {
    /// Returns the incarnation that wrote the entry.
    pub fn incarnation(&self) -> UpstreamIncarnation {
        UpstreamIncarnation::new(self.instance.clone(), self.started)
    }
}

/// How long before the upstream's own idle timeout a pooled connection is given up. A request that is sent while the
/// upstream closes the connection is lost.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
/// Time without a refusal after which one more connection is allowed.
const RAISE_PERIOD: Duration = Duration::from_secs(1);
/// How long spare connections are kept, that is all pooled ones but the most recently used. An upstream counts the
/// connections of a VM that has lost power until its own idle timeout. If all spare ones were kept, VMs that restart
/// together would be refused connections for about 8 s.
const SPARE_IDLE_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle timeout of a pooled connection whose upstream states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Most declined requests that are remembered with a connection; one with more of them is closed.
const MAX_DECLINED_REQUESTS: usize = 64;

/// A request that an upstream declined, which may be sent to it again until its caller's wait ends.
#[derive(Debug)]
struct DeclinedRequest {
    id: HeaderValue,
    repeated_until: Instant,
}

/// Pooled connection.
#[derive(Debug)]
struct IdleLink {
    link: HttpLink,
    declined_requests: SmallVec<[DeclinedRequest; 2]>,
    idle_since: Instant,
    max_idle: Duration,
}

/// An upstream, its connections and its health.
#[derive(Debug)]
pub struct Upstream {
    /// Entry that the upstream registered last.
    entry: RefCell<Rc<UpstreamEntry>>,
    /// Health of the upstream as learnt from requests.
    pub health: RefCell<UpstreamHealth>,
    idle_links: RefCell<Vec<IdleLink>>,
    slots: SlotQueue,
    /// Number of connections that this process may hold to the upstream.
    connection_share: Cell<usize>,
    /// Time at which the upstream last refused a connection or a connection was last restored; `None` if the whole
    /// share is allowed.
    limited_since: Cell<Option<Instant>>,
    leaving: Cell<bool>,
    /// Whether the upstream's availability zone is evacuated.
    evacuated: Cell<bool>,
    /// Time until which the upstream is cold according to its entry.
    reported_cold_until: Cell<Instant>,
    /// Time until which the upstream may be cold without having stated it.
    assumed_cold_until: Cell<Instant>,
    /// Whether an unreadable load report has been logged.
    pub load_warned: Cell<bool>,
    /// Requests that this process sent to the upstream while it was cold.
    pub cold_sends: RefCell<SendWindow>,
    /// Requests whose connection broke, until it is known whether the upstream was lost.
    lost_requests: RefCell<Vec<LostRequest>>,
    /// Check whether the upstream was lost, while it runs.
    loss_check: RefCell<Option<Rc<LossCheck>>>,
}

/// Connection in use, together with the permit to hold it.
#[derive(Debug)]
pub struct ActiveLink {
    /// Connection to the upstream.
    pub link: HttpLink,
    declined_requests: SmallVec<[DeclinedRequest; 2]>,
    /// Whether the connection has carried an earlier request.
    pub reused: bool,
    /// Whether the request has got the connection before one of another organisation that was first by deadline.
    pub has_overtaken: bool,
    permit: SlotPermit,
}

impl ActiveLink {
    /// Records that the upstream declined a request. The request isn't sent on this connection again: a late copy of the
    /// refusal would be taken for the answer to it, since both state the same request.
    pub fn record_declined(&mut self, id: &HeaderValue, repeated_until: Instant) {
        self.declined_requests.push(DeclinedRequest {
            id: id.clone(),
            repeated_until,
        });
    }
}

impl Upstream {
    /// Creates an upstream to which this process may hold `connection_share` connections, but never more than it has
    /// slots. Excess requests would wait in the upstream's own queue, where urgent ones can't overtake.
    pub fn new(entry: UpstreamEntry, now: Instant, connection_share: usize) -> Self {
        let connection_share = connection_share.min(entry.slots).max(1);
        Self {
            health: RefCell::new(UpstreamHealth::new(now, entry.cold_remaining)),
            leaving: Cell::new(entry.leaving),
            evacuated: Cell::new(false),
            reported_cold_until: Cell::new(now + entry.cold_remaining),
            assumed_cold_until: Cell::new(now),
            load_warned: Cell::new(false),
            cold_sends: RefCell::new(SendWindow::new()),
            entry: RefCell::new(Rc::new(entry)),
            idle_links: RefCell::default(),
            slots: SlotQueue::new(connection_share),
            connection_share: Cell::new(connection_share),
            limited_since: Cell::new(None),
            lost_requests: RefCell::default(),
            loss_check: RefCell::default(),
        }
    }

    /// Returns the entry that the upstream registered last.
    pub fn entry(&self) -> Rc<UpstreamEntry> {
        Rc::clone(&self.entry.borrow())
    }

    /// Updates the entry with a newer one of the same incarnation.
    pub fn update(&self, entry: UpstreamEntry, now: Instant) {
        if entry.heartbeats > self.entry.borrow().heartbeats {
            self.health.borrow_mut().record_heartbeat();
        }
        self.leaving.set(entry.leaving);
        self.reported_cold_until.set(now + entry.cold_remaining);
        *self.entry.borrow_mut() = Rc::new(entry);
    }

    /// Marks the upstream as leaving: it gets no new requests, and its pooled connections are closed.
    pub fn mark_leaving(&self) {
        self.leaving.set(true);
        self.close_idle_links();
    }

    /// Returns whether the upstream is leaving and gets no new requests.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Sets whether the upstream's availability zone is evacuated.
    pub fn set_evacuated(&self, evacuated: bool) {
        self.evacuated.set(evacuated);
    }

    /// Returns whether the upstream's availability zone is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.evacuated.get()
    }

    /// Treats the upstream as cold until the given time, because it may have become cold without having stated it yet.
    pub fn assume_cold(&self, until: Instant) {
        self.assumed_cold_until
            .set(until.max(self.assumed_cold_until.get()));
    }

    /// Returns whether the upstream is cold or assumed to be.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until()
    }

    /// Returns whether the upstream is cold according to its entry.
    pub fn is_stated_cold(&self, now: Instant) -> bool {
        now < self.reported_cold_until.get()
    }

    /// Returns the time until which the upstream is cold or assumed to be.
    pub fn cold_until(&self) -> Instant {
        self.reported_cold_until
            .get()
            .max(self.assumed_cold_until.get())
    }

    /// Returns whether the upstream may get new requests: it is not leaving, and its availability zone is not
    /// evacuated.
    pub fn takes_requests(&self) -> bool {
        !self.leaving.get() && !self.evacuated.get()
    }

    /// Sets how many connections this process may hold.
    pub fn set_connection_share(&self, connection_share: usize) {
        let connection_share = connection_share.min(self.entry().slots).max(1);
        self.connection_share.set(connection_share);
        let is_limited = self.limited_since.get().is_some();
        self.apply_limit(if is_limited {
            self.slots.limit()
        } else {
            connection_share
        });
    }

    /// Sets how many connections may be in use at a time, within the share.
    fn apply_limit(&self, limit: usize) {
        let limit = limit.clamp(1, self.connection_share.get());
        self.slots.set_limit(limit);
        self.idle_links.borrow_mut().truncate(limit);
    }

    /// Allows one connection less because the upstream has refused a connection or a request.
    pub fn reduce_limit(&self, now: Instant) {
        self.limited_since.set(Some(now));
        self.apply_limit(self.slots.limit().saturating_sub(1));
    }

    /// Allows one connection more if the upstream has refused nothing for a while.
    pub fn raise_limit(&self, now: Instant) {
        let Some(since) = self.limited_since.get() else {
            return;
        };
        if now.saturating_duration_since(since) < RAISE_PERIOD {
            return;
        }
        self.apply_limit(self.slots.limit() + 1);
        let is_restored = self.slots.limit() >= self.connection_share.get();
        self.limited_since.set((!is_restored).then_some(now));
    }

    /// Closes the pooled connections.
    pub fn close_idle_links(&self) {
        self.idle_links.borrow_mut().clear();
    }

    /// Adds a request whose connection broke. Returns the check of the upstream and whether it is a new one, that is
    /// the first since [`Self::take_lost_requests`].
    pub fn add_lost_request(&self, request: LostRequest) -> (Rc<LossCheck>, bool) {
        self.lost_requests.borrow_mut().push(request);
        let mut running_check = self.loss_check.borrow_mut();
        let is_new = running_check.is_none();
        let check =
            running_check.get_or_insert_with(|| Rc::new(LossCheck::new(LossVerdict::Pending)));
        (Rc::clone(check), is_new)
    }

    /// Ends the check and returns the requests whose connections broke.
    pub fn take_lost_requests(&self) -> Vec<LostRequest> {
        self.loss_check.take();
        self.lost_requests.take()
    }

    /// Waits for a permit, then returns a pooled connection that has been idle for at most `max_idle` and on which the
    /// request was not declined, or opens a new one within `connect_timeout`.
    pub async fn connect(
        &self,
        request_id: &HeaderValue,
        priority: SlotPriority,
        max_idle: Duration,
        connect_timeout: Duration,
    ) -> Result<ActiveLink, LinkError> {
        let Some(permit) = self.slots.acquire(priority).await else {
            let reason = "the upstream was removed".into();
            return Err(LinkError::Unsent { reason });
        };
        let has_overtaken = permit.has_overtaken;
        if let Some(idle_link) = self.take_idle_link(request_id, max_idle) {
            return Ok(ActiveLink {
                link: idle_link.link,
                declined_requests: idle_link.declined_requests,
                reused: true,
                has_overtaken,
                permit,
            });
        }
        let address = self.entry.borrow().address;
        let link = HttpLink::open(address, connect_timeout).await?;
        Ok(ActiveLink {
            link,
            declined_requests: SmallVec::new(),
            reused: false,
            has_overtaken,
            permit,
        })
    }

    /// Returns whether there is a connection, in use or pooled.
    pub fn has_connection(&self, now: Instant) -> bool {
        let idle_links = self.idle_links.borrow();
        self.slots.in_use() > 0
            || idle_links.iter().any(|idle_link| {
                now.saturating_duration_since(idle_link.idle_since) <= idle_link.max_idle
                    && idle_link.link.is_ready()
            })
    }

    /// Takes a pooled connection for a request. If only connections are left on which it was declined, one of them is
    /// closed in favour of a new one.
    fn take_idle_link(&self, request_id: &HeaderValue, max_idle: Duration) -> Option<IdleLink> {
        let now = tokio::time::Instant::now().into_std();
        let mut idle_links = self.idle_links.borrow_mut();
        let mut unusable_links: SmallVec<[IdleLink; 2]> = SmallVec::new();
        let mut usable_link = None;
        while let Some(idle_link) = idle_links.pop() {
            let age = now.saturating_duration_since(idle_link.idle_since);
            if age > idle_link.max_idle.min(max_idle) || !idle_link.link.is_ready() {
                continue;
            }
            let mut declined_requests = idle_link.declined_requests.iter();
            if declined_requests.any(|declined| declined.id == *request_id) {
                unusable_links.push(idle_link);
                continue;
            }
            usable_link = Some(idle_link);
            break;
        }
        if usable_link.is_none() {
            unusable_links.pop();
        }
        idle_links.extend(unusable_links.into_iter().rev());
        usable_link
    }

    /// Returns a connection to the pool. `stated_timeout` is the idle timeout that the upstream has
    /// stated.
    pub fn release(&self, active_link: ActiveLink, stated_timeout: Option<Duration>) {
        let max_idle = stated_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |stated_timeout| {
            stated_timeout.saturating_sub(IDLE_TIMEOUT_MARGIN)
        });
        let now = tokio::time::Instant::now().into_std();
        let mut idle_links = self.idle_links.borrow_mut();
        let mut declined_requests = active_link.declined_requests;
        declined_requests.retain(|declined| now < declined.repeated_until);
        let has_room = idle_links.len() < self.connection_share.get()
            && declined_requests.len() <= MAX_DECLINED_REQUESTS;
        if has_room && !self.leaving.get() && !max_idle.is_zero() && !active_link.link.is_closed() {
            idle_links.push(IdleLink {
                link: active_link.link,
                declined_requests,
                idle_since: now,
                max_idle,
            });
        }
        drop(idle_links);
        drop(active_link.permit);
    }

    /// Closes pooled connections whose idle timeout has passed.
    pub fn close_expired(&self, now: Instant) {
        let mut idle_links = self.idle_links.borrow_mut();
        // The last connection is the most recently used one, so those before it are spare.
        let last_index = idle_links.len().saturating_sub(1);
        let mut index = 0;
        idle_links.retain(|idle_link| {
            let max_idle = if index < last_index {
                idle_link.max_idle.min(SPARE_IDLE_TIMEOUT)
            } else {
                idle_link.max_idle
            };
            index += 1;
            now.saturating_duration_since(idle_link.idle_since) <= max_idle
                && !idle_link.link.is_closed()
        });
    }
}

#[cfg(test)]
#[path = "upstream_tests.rs"]
mod tests;
