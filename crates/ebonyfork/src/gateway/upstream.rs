//! One upstream as this process knows it: what it registered, its connections, what was learnt about it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::gateway::health::UpstreamHealth;
use crate::gateway::ident::{InstanceName, PlaceName, UpstreamService};
use crate::http_link::{HttpLink, LinkError};
use crate::quarantine::LostRequest;

/// What an upstream has registered about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// This life of the upstream.
    pub instance: InstanceName,
    /// The service it belongs to.
    pub service: UpstreamService,
    /// Where it listens.
    pub address: SocketAddr,
    /// The availability zone it is in.
    pub zone: PlaceName,
    /// Requests that it runs side by side.
    pub slots: usize,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// How much longer it is slow after its start.
    pub cold: Duration,
}

/// Margin by which a kept connection is given up before the upstream's own idle time ends: a request that crosses the
/// upstream's close is lost.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// How long a connection is kept whose upstream states no idle time.
const IDLE_ASSUMED: Duration = Duration::from_secs(4);

/// A kept connection.
#[derive(Debug)]
struct IdleLink {
    link: HttpLink,
    since: Instant,
    keep: Duration,
}

/// One upstream.
#[derive(Debug)]
pub struct Upstream {
    /// What it registered last.
    entry: RefCell<Rc<UpstreamEntry>>,
    /// What was learnt about it.
    pub health: RefCell<UpstreamHealth>,
    idle: RefCell<Vec<IdleLink>>,
    permits: std::sync::Arc<Semaphore>,
    share: Cell<usize>,
    leaving: Cell<bool>,
    /// Connections that broke under a request or while idle, with the time of the last.
    broken: Cell<Option<Instant>>,
    /// Requests under which a connection broke, until it is known whether the upstream was lost.
    lost: RefCell<Vec<LostRequest>>,
}

/// A connection that is in use, with the right to hold it.
#[derive(Debug)]
pub struct HeldLink {
    /// The connection.
    pub link: HttpLink,
    /// Whether it has carried a request before.
    pub reused: bool,
    permit: OwnedSemaphorePermit,
}

impl Upstream {
    /// An upstream that may be given `share` connections by this process.
    pub fn new(entry: UpstreamEntry, now: Instant, share: usize) -> Self {
        let share = share.max(1);
        Self {
            health: RefCell::new(UpstreamHealth::new(now, entry.cold)),
            leaving: Cell::new(entry.leaving),
            entry: RefCell::new(Rc::new(entry)),
            idle: RefCell::default(),
            permits: std::sync::Arc::new(Semaphore::new(share)),
            share: Cell::new(share),
            broken: Cell::new(None),
            lost: RefCell::default(),
        }
    }

    /// What it registered last.
    pub fn entry(&self) -> Rc<UpstreamEntry> {
        Rc::clone(&self.entry.borrow())
    }

    /// Takes in what the same life of the upstream has registered anew.
    pub fn update(&self, entry: UpstreamEntry) {
        self.leaving.set(entry.leaving);
        *self.entry.borrow_mut() = Rc::new(entry);
    }

    /// Marks it as leaving: it gets no new requests and no connection is kept.
    pub fn leave(&self) {
        self.leaving.set(true);
        self.drop_idle();
    }

    /// Whether it gets no new requests.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Changes how many connections this process may hold.
    pub fn set_share(&self, share: usize) {
        let share = share.max(1);
        let before = self.share.replace(share);
        if share > before {
            self.permits.add_permits(share - before);
            return;
        }
        let surplus = before - share;
        let forgotten = self.permits.forget_permits(surplus);
        // Permits in use can't be taken back at once; they count until the next change.
        self.share.set(share + surplus - forgotten);
        self.idle.borrow_mut().truncate(share);
    }

    /// Connections that this process may hold.
    pub fn share(&self) -> usize {
        self.share.get()
    }

    /// Closes the kept connections.
    pub fn drop_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Whether a kept connection was found to have ended since a moment.
    pub fn broke_since(&self, since: Instant) -> bool {
        self.broken.get().is_some_and(|broken| broken >= since)
    }

    /// Notes that a connection broke.
    pub fn note_broken(&self, now: Instant) {
        self.broken.set(Some(now));
    }

    /// Notes a request under which a connection broke; tells whether it is the first since [`Self::take_lost`].
    pub fn add_lost(&self, request: LostRequest) -> bool {
        let mut lost = self.lost.borrow_mut();
        lost.push(request);
        lost.len() == 1
    }

    /// Takes the requests under which connections broke.
    pub fn take_lost(&self) -> Vec<LostRequest> {
        self.lost.take()
    }

    /// Waits for the right to use a connection and takes a kept one that has lain idle for less than `fresh`, or opens
    /// one within a bound.
    pub async fn connect(&self, fresh: Duration, within: Duration) -> Result<HeldLink, LinkError> {
        let Ok(permit) = std::sync::Arc::clone(&self.permits).acquire_owned().await else {
            let reason = "the upstream is gone".into();
            return Err(LinkError::Unsent { reason });
        };
        if let Some(link) = self.take_idle(fresh) {
            return Ok(HeldLink {
                link,
                reused: true,
                permit,
            });
        }
        let address = self.entry.borrow().address;
        let link = HttpLink::open(address, within).await?;
        Ok(HeldLink {
            link,
            reused: false,
            permit,
        })
    }

    fn take_idle(&self, fresh: Duration) -> Option<HttpLink> {
        let now = tokio::time::Instant::now().into_std();
        let mut idle = self.idle.borrow_mut();
        while let Some(kept) = idle.pop() {
            let age = now.saturating_duration_since(kept.since);
            if kept.link.is_closed() {
                self.broken.set(Some(now));
                continue;
            }
            if age > kept.keep.min(fresh) || !kept.link.is_ready() {
                continue;
            }
            return Some(kept.link);
        }
        None
    }

    /// Keeps a connection for later requests; `stated` is the idle time that the upstream has named.
    pub fn keep(&self, held: HeldLink, stated: Option<Duration>) {
        let keep = stated.map_or(IDLE_ASSUMED, |stated| stated.saturating_sub(IDLE_MARGIN));
        let now = tokio::time::Instant::now().into_std();
        let mut idle = self.idle.borrow_mut();
        let room = idle.len() < self.share.get();
        if room && !self.leaving.get() && !keep.is_zero() && !held.link.is_closed() {
            idle.push(IdleLink {
                link: held.link,
                since: now,
                keep,
            });
        }
        drop(idle);
        drop(held.permit);
    }

    /// Closes kept connections that nobody has used in time.
    pub fn drop_stale(&self, now: Instant) {
        let stale = |kept: &IdleLink| now.saturating_duration_since(kept.since) > kept.keep;
        let mut idle = self.idle.borrow_mut();
        idle.retain(|kept| !stale(kept) && !kept.link.is_closed());
    }

    /// Connections kept idle.
    pub fn idle_count(&self) -> usize {
        self.idle.borrow().len()
    }
}
