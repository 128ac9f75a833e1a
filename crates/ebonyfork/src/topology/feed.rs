//! Keeps the topology view current: polls the VM list, follows membership and handles reports of leaving upstreams.
//!
//! While reading the list fails, the last list stays in force. Each change is published as a new view.

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use xtra::WeakAddress;
use xtra::prelude::*;

use crate::ident::{SessionId, UpstreamAddress, VmAddress, ZoneName};
use crate::membership::MemberSnapshot;
use crate::topology::join::TopologyJoin;
use crate::topology::listed::VmRecord;
use crate::topology::view::TopologyView;

/// Minimum time between two reads of the VM list.
pub const LIST_PERIOD: Duration = Duration::from_secs(2);
/// Minimum time between two reads per item of the VM list, which bounds the read load on the store for long lists.
const LIST_PERIOD_PER_RECORD: Duration = Duration::from_millis(4);
/// Time between two checks whether the view changes without new input.
const VIEW_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Settings of the topology feed.
#[derive(Debug)]
pub struct TopologySettings {
    own_session: SessionId,
    zone: ZoneName,
    list_period: Duration,
    /// The deployment's other VMs on the list, published for membership.
    seeds: watch::Sender<Arc<[VmAddress]>>,
}

impl TopologySettings {
    /// Creates the settings of process `own_session` in `zone`.
    pub fn new(own_session: SessionId, zone: ZoneName) -> Self {
        Self {
            own_session,
            zone,
            list_period: LIST_PERIOD,
            seeds: watch::Sender::new(Arc::from([])),
        }
    }

    /// Sets the minimum time between two reads of the VM list.
    #[must_use]
    pub fn with_list_period(mut self, period: Duration) -> Self {
        self.list_period = period;
        self
    }

    /// Returns a receiver of the deployment's other VMs on the list. Membership needs it before the feed can start.
    pub fn seeds(&self) -> watch::Receiver<Arc<[VmAddress]>> {
        self.seeds.subscribe()
    }
}

/// Handle to the topology feed. Cheap to clone; the feed stops when the last clone is dropped.
#[derive(Debug, Clone)]
pub struct TopologyHandle {
    actor: Address<FeedActor>,
    seeds: watch::Receiver<Arc<[VmAddress]>>,
    _tasks: Arc<JoinSet<()>>,
}

impl TopologyHandle {
    /// Starts the feed. `list` reads the VM list once, `members` is the membership snapshot, and views are published to
    /// `writer`.
    pub fn start<E: Display + Send + 'static>(
        settings: TopologySettings,
        list: impl Fn() -> BoxFuture<'static, Result<Vec<VmRecord>, E>> + Send + Sync + 'static,
        members: watch::Receiver<Arc<MemberSnapshot>>,
        writer: watch::Sender<Arc<TopologyView>>,
    ) -> Self {
        let seeds = settings.seeds();
        let period = settings.list_period;
        let mut actor = FeedActor {
            started: Instant::now(),
            join: TopologyJoin::new(settings.own_session, settings.zone),
            members: members.clone(),
            seeds: settings.seeds,
            writer,
            next_change: None,
        };
        actor.apply_members();
        actor.publish();
        let (address, mailbox) = Mailbox::unbounded();
        let mut tasks = JoinSet::new();
        tasks.spawn(xtra::run(mailbox, actor));
        tasks.spawn(poll_list(address.downgrade(), list, period));
        tasks.spawn(follow_members(address.downgrade(), members));
        tasks.spawn(tick(address.downgrade()));
        Self {
            actor: address,
            seeds,
            _tasks: Arc::new(tasks),
        }
    }

    /// Records that an upstream has reported that it is leaving; it gets no new work from now on.
    pub fn mark_leaving(&self, upstream: UpstreamAddress) {
        // Sending to an unbounded mailbox completes at the first poll; the return value is not awaited.
        let _send_result = self
            .actor
            .send(LeavingReport(upstream))
            .detach()
            .now_or_never();
    }

    /// Returns a receiver of the deployment's other VMs on the list.
    pub fn seeds(&self) -> watch::Receiver<Arc<[VmAddress]>> {
        self.seeds.clone()
    }
}

/// Reads the VM list periodically and passes it to the actor.
async fn poll_list<E: Display>(
    actor: WeakAddress<FeedActor>,
    list: impl Fn() -> BoxFuture<'static, Result<Vec<VmRecord>, E>>,
    period: Duration,
) {
    let mut wait = period;
    loop {
        match list().await {
            Ok(records) => {
                wait = period.max(LIST_PERIOD_PER_RECORD * records.len() as u32);
                if actor.send(ListRead(records)).await.is_err() {
                    return;
                }
            }
            Err(error) => log::warn!("VM list not read, keeping the last one: {error}"),
        }
        tokio::time::sleep(wait).await;
    }
}

/// Informs the actor about each new membership snapshot.
async fn follow_members(
    actor: WeakAddress<FeedActor>,
    mut members: watch::Receiver<Arc<MemberSnapshot>>,
) {
    while members.changed().await.is_ok() {
        if actor.send(MembersChanged).await.is_err() {
            return;
        }
    }
}

/// Sends a [`ViewCheck`] to the actor every [`VIEW_CHECK_PERIOD`].
async fn tick(actor: WeakAddress<FeedActor>) {
    loop {
        tokio::time::sleep(VIEW_CHECK_PERIOD).await;
        if actor.send(ViewCheck).await.is_err() {
            return;
        }
    }
}

/// Items of the VM list after a successful read.
struct ListRead(Vec<VmRecord>);
struct MembersChanged;
/// An upstream has reported that it is leaving.
struct LeavingReport(UpstreamAddress);
/// Asks the actor to publish a view if one is due without new input.
struct ViewCheck;

#[derive(Debug, xtra::Actor)]
struct FeedActor {
    /// Zero point of the clock of `join`.
    started: Instant,
    join: TopologyJoin,
    members: watch::Receiver<Arc<MemberSnapshot>>,
    seeds: watch::Sender<Arc<[VmAddress]>>,
    writer: watch::Sender<Arc<TopologyView>>,
    /// When the view changes without new input.
    next_change: Option<Duration>,
}

impl FeedActor {
    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn apply_members(&mut self) {
        let members = Arc::clone(&self.members.borrow_and_update());
        if self.join.apply_members(members) {
            self.publish();
        }
    }

    /// Publishes the current view if it differs from the last one.
    fn publish(&mut self) {
        let now = self.now();
        self.next_change = self.join.next_change(now);
        let view = self.join.view(now);
        self.writer.send_if_modified(|current_view| {
            let is_changed = **current_view != view;
            if is_changed {
                log_changes(current_view, &view);
                *current_view = Arc::new(view);
            }
            is_changed
        });
    }
}

impl Handler<ListRead> for FeedActor {
    type Return = ();

    async fn handle(&mut self, message: ListRead, _context: &mut Context<Self>) {
        if !self.join.apply_list(self.now(), message.0) {
            log::warn!(
                "VM list lacks more than half of the last one; waiting for the next read to confirm it"
            );
            return;
        }
        let peers = self.join.listed_peers();
        self.seeds.send_if_modified(|seeds| {
            let is_changed = **seeds != *peers;
            if is_changed {
                *seeds = peers.into();
            }
            is_changed
        });
        self.publish();
    }
}

impl Handler<MembersChanged> for FeedActor {
    type Return = ();

    async fn handle(&mut self, _message: MembersChanged, _context: &mut Context<Self>) {
        self.apply_members();
    }
}

impl Handler<LeavingReport> for FeedActor {
    type Return = ();

    async fn handle(&mut self, message: LeavingReport, _context: &mut Context<Self>) {
        self.join.mark_leaving(self.now(), message.0);
        self.publish();
    }
}

impl Handler<ViewCheck> for FeedActor {
    type Return = ();

    async fn handle(&mut self, _message: ViewCheck, _context: &mut Context<Self>) {
        if self
            .next_change
            .is_some_and(|change_at| change_at <= self.now())
        {
            self.publish();
        }
    }
}

/// Logs one decision line per VM or upstream that was added, changed or removed.
fn log_changes(old_view: &TopologyView, new_view: &TopologyView) {
    if !log::log_enabled!(target: "ebonyfork::decision", log::Level::Info) {
        return;
    }
    for (vm, entry) in &new_view.vms {
        let entry_before = old_view.vms.get(vm);
        if entry_before == Some(entry) {
            continue;
        }
        let incarnation = entry.incarnation.map(|number| number.0);
        log::info!(target: "ebonyfork::decision",
            "topology vm={vm} zone={} incarnation={incarnation:?} leaving={}", entry.zone, entry.leaving);
    }
    for vm in old_view
        .vms
        .keys()
        .filter(|vm| !new_view.vms.contains_key(vm))
    {
        log::info!(target: "ebonyfork::decision", "topology vm={vm} out");
    }
    if Arc::ptr_eq(&old_view.upstreams, &new_view.upstreams) {
        return;
    }
    for (upstream, entry) in new_view.upstreams.iter() {
        let leaving_before = old_view.upstreams.get(upstream).map(|entry| entry.leaving);
        if leaving_before != Some(entry.leaving) {
            log::info!(target: "ebonyfork::decision",
                "topology upstream={upstream} service={} leaving={}", entry.service, entry.leaving);
        }
    }
    for upstream in old_view.upstreams.keys() {
        if !new_view.upstreams.contains_key(upstream) {
            log::info!(target: "ebonyfork::decision", "topology upstream={upstream} out");
        }
    }
}

#[cfg(test)]
#[path = "feed_tests.rs"]
mod tests;
