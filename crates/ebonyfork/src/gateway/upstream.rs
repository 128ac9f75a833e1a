//! One upstream as this process knows it: what it registered, its connections, what was learnt about it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::gateway::ident::{BirthTime, InstanceName, PlaceName, UpstreamLife, UpstreamService};
use crate::gateway::loss::{LossCheck, LossFinding};
use crate::gateway::policy::cold::SendWindow;
use crate::gateway::policy::health::UpstreamHealth;
use crate::gateway::slots::{SlotOrder, SlotPermit, SlotQueue};
use crate::http_link::{HttpLink, LinkError};
use crate::quarantine::LostRequest;

/// What an upstream has registered about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// The upstream's name.
    pub instance: InstanceName,
    /// When it was started, where upstreams tell.
    pub born: Option<BirthTime>,
    /// The service it belongs to.
    pub service: UpstreamService,
    /// Where it listens.
    pub address: SocketAddr,
    /// The availability zone it is in.
    pub zone: PlaceName,
    /// Requests that it runs side by side.
    pub slots: usize,
    /// Heartbeats of this life when it wrote the entry.
    pub heartbeats: u64,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// How much longer it is slow after its start.
    pub cold: Duration,
}

impl UpstreamEntry {
    /// The life that has written the entry.
    pub fn life(&self) -> UpstreamLife {
        UpstreamLife::new(self.instance.clone(), self.born)
    }
}

/// Margin by which a kept connection is given up before the upstream's own idle time ends: a request that crosses the
/// upstream's close is lost.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Time without a refusal after which one more connection is tried.
const WIDEN_PERIOD: Duration = Duration::from_secs(1);
/// How long connections beyond the first are kept. An upstream counts the connections of a VM that has lost power until
/// its own idle time ends; with every spare one kept, VMs that all came back at once found no room for some 8 s.
const SPARE_KEPT: Duration = Duration::from_millis(400);
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
    slots: SlotQueue,
    /// Connections that this process may hold.
    share: Cell<usize>,
    /// When the upstream last turned a connection away, or a permit was given back since.
    narrowed: Cell<Option<Instant>>,
    leaving: Cell<bool>,
    /// Whether its availability zone is evacuated.
    evacuated: Cell<bool>,
    /// Until when it is cold by what it has registered.
    stated_cold: Cell<Instant>,
    /// Until when it may be cold although it has not said so.
    assumed_cold: Cell<Instant>,
    /// Whether the log tells that its load can't be read.
    pub load_warned: Cell<bool>,
    /// Requests that it got from this process while it was cold.
    pub cold_sends: RefCell<SendWindow>,
    /// Requests under which a connection broke, until it is known whether the upstream was lost.
    lost: RefCell<Vec<LostRequest>>,
    /// How that is looked at.
    loss_check: RefCell<Option<Rc<LossCheck>>>,
}

/// A connection that is in use, with the right to hold it.
#[derive(Debug)]
pub struct HeldLink {
    /// The connection.
    pub link: HttpLink,
    /// Whether it has carried a request before.
    pub reused: bool,
    permit: SlotPermit,
}

impl Upstream {
    /// An upstream that may be given `share` connections by this process, and never more than it has slots: what goes
    /// beyond them waits in its own queue, where a pressing request can't overtake.
    pub fn new(entry: UpstreamEntry, now: Instant, share: usize) -> Self {
        let share = share.min(entry.slots).max(1);
        Self {
            health: RefCell::new(UpstreamHealth::new(now, entry.cold)),
            leaving: Cell::new(entry.leaving),
            evacuated: Cell::new(false),
            stated_cold: Cell::new(now + entry.cold),
            assumed_cold: Cell::new(now),
            load_warned: Cell::new(false),
            cold_sends: RefCell::new(SendWindow::new()),
            entry: RefCell::new(Rc::new(entry)),
            idle: RefCell::default(),
            slots: SlotQueue::new(share),
            share: Cell::new(share),
            narrowed: Cell::new(None),
            lost: RefCell::default(),
            loss_check: RefCell::default(),
        }
    }

    /// What it registered last.
    pub fn entry(&self) -> Rc<UpstreamEntry> {
        Rc::clone(&self.entry.borrow())
    }

    /// Takes in what the same life of the upstream has registered anew.
    pub fn update(&self, entry: UpstreamEntry, now: Instant) {
        self.leaving.set(entry.leaving);
        self.stated_cold.set(now + entry.cold);
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

    /// States whether its availability zone is evacuated.
    pub fn set_evacuated(&self, evacuated: bool) {
        self.evacuated.set(evacuated);
    }

    /// Whether its availability zone is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.evacuated.get()
    }

    /// It may have become cold and not have said so yet.
    pub fn assume_cold(&self, until: Instant) {
        self.assumed_cold.set(until.max(self.assumed_cold.get()));
    }

    /// Whether it is cold, as far as is known.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until()
    }

    /// Until when it is cold, as far as is known.
    pub fn cold_until(&self) -> Instant {
        self.stated_cold.get().max(self.assumed_cold.get())
    }

    /// Whether it may get new requests: it does not leave and its availability zone is not evacuated.
    pub fn takes_requests(&self) -> bool {
        !self.leaving.get() && !self.evacuated.get()
    }

    /// Changes how many connections this process may hold.
    pub fn set_share(&self, share: usize) {
        let share = share.min(self.entry().slots).max(1);
        self.share.set(share);
        let narrowed = self.narrowed.get().is_some();
        self.grant(if narrowed {
            self.slots.granted()
        } else {
            share
        });
    }

    /// Changes how many connections may be used at a time, within the share.
    fn grant(&self, wanted: usize) {
        let wanted = wanted.clamp(1, self.share.get());
        self.slots.grant(wanted);
        self.idle.borrow_mut().truncate(wanted);
    }

    /// The upstream has turned a connection or a request away: fewer are tried at a time.
    pub fn narrow(&self, now: Instant) {
        self.narrowed.set(Some(now));
        self.grant(self.slots.granted().saturating_sub(1));
    }

    /// Gives back a permit when the upstream has turned nothing away for a while.
    pub fn widen(&self, now: Instant) {
        let Some(narrowed) = self.narrowed.get() else {
            return;
        };
        if now.saturating_duration_since(narrowed) < WIDEN_PERIOD {
            return;
        }
        self.grant(self.slots.granted() + 1);
        let whole = self.slots.granted() >= self.share.get();
        self.narrowed.set((!whole).then_some(now));
    }

    /// Closes the kept connections.
    pub fn drop_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Notes a request under which a connection broke. Returns how that is looked at, and whether it is the first since
    /// [`Self::take_lost`].
    pub fn add_lost(&self, request: LostRequest) -> (Rc<LossCheck>, bool) {
        self.lost.borrow_mut().push(request);
        let mut current = self.loss_check.borrow_mut();
        let first = current.is_none();
        let check = current.get_or_insert_with(|| Rc::new(LossCheck::new(LossFinding::Open)));
        (Rc::clone(check), first)
    }

    /// Takes the requests under which connections broke.
    pub fn take_lost(&self) -> Vec<LostRequest> {
        self.loss_check.take();
        self.lost.take()
    }

    /// Waits for the right to use a connection and takes a kept one that has lain idle for less than `fresh`, or opens
    /// one within a bound.
    pub async fn connect(
        &self,
        order: SlotOrder,
        fresh: Duration,
        within: Duration,
    ) -> Result<HeldLink, LinkError> {
        let Some(permit) = self.slots.acquire(order).await else {
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
        let mut idle = self.idle.borrow_mut();
        // The last one was used last, so the ones before it are spare.
        let last = idle.len().saturating_sub(1);
        let mut number = 0;
        idle.retain(|kept| {
            let allowed = if number < last {
                kept.keep.min(SPARE_KEPT)
            } else {
                kept.keep
            };
            number += 1;
            now.saturating_duration_since(kept.since) <= allowed && !kept.link.is_closed()
        });
    }
}

#[cfg(test)]
#[path = "upstream_tests.rs"]
mod tests;
