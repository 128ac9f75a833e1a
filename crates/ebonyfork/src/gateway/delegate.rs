//! Asking other VMs for parts: which VM, what it was asked, what comes back.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use tokio::sync::mpsc::UnboundedSender;

use crate::gateway::clock::now;
use crate::gateway::partial::{
    FailedShard, PartialMessage, PartialQuery, PartialReply, ShardReach,
};
use crate::gateway::policy::health::UpstreamHealth;
use crate::gateway::policy::latency::millis;
use crate::ident::VmAddress;
use crate::wire::{PeerMessage, PeerPool};

/// Queries that a VM is assumed to gather side by side without becoming slower.
const VM_SLOTS: usize = 16;
/// Share of its replies that must show that it knows upstreams for a VM to be asked: one that does not, because the store
/// turns it away, hands everything back and costs a way there and back.
const USEFUL_SHARE: f64 = 0.5;
/// A VM whose oldest answer is overdue by this factor over the usual time is not asked: it is frozen, cut off or gone.
const OVERDUE: f64 = 3.0;

/// What a query hears of a group of shards that another VM gathers.
#[derive(Debug)]
pub enum GroupNews {
    /// Parts came in, or won't.
    Reply(PartialReply),
    /// The VM can't be reached; `sent` tells whether it may have got the query.
    Down {
        /// Whether the query was handed to the socket.
        sent: bool,
    },
}

/// News of one group.
#[derive(Debug)]
pub struct GroupEvent {
    /// The group's number in its query.
    pub group: usize,
    /// What happened.
    pub news: GroupNews,
}

#[derive(Debug)]
struct PendingPartial {
    events: UnboundedSender<GroupEvent>,
    group: usize,
    vm: VmAddress,
    began: Instant,
    usual_ms: f64,
    /// Whether the VM has shown that it works on it.
    heard: bool,
}

/// Whether a reply shows that the VM knows upstreams to ask. That they decline or lose what they are asked is no fault of
/// the VM: without it their requests come directly from all VMs, and nobody sees the queue at the upstream.
fn shows_upstreams(reply: &PartialReply) -> bool {
    let unknown = |failed: &FailedShard| failed.reach == ShardReach::Unsent && !failed.avoid;
    !reply.parts.is_empty() || !reply.failed.iter().all(unknown)
}

/// Queries that other VMs gather parts for.
#[derive(Debug, Default)]
pub struct DelegateTable {
    pool: OnceCell<PeerPool>,
    next: Cell<u64>,
    pending: RefCell<FxHashMap<u64, PendingPartial>>,
    vms: RefCell<FxHashMap<VmAddress, UpstreamHealth>>,
}

impl DelegateTable {
    /// Sets the links; done once at the start.
    pub fn set_pool(&self, pool: PeerPool) {
        let first = self.pool.set(pool);
        debug_assert!(first.is_ok(), "the links are set once");
    }

    /// Sends a message to a VM; false if it was not sent.
    pub fn tell(&self, vm: VmAddress, message: PeerMessage) -> bool {
        let Some(pool) = self.pool.get() else {
            return false;
        };
        match pool.send(vm, message) {
            Ok(()) => true,
            Err(error) => {
                log::debug!("message to {vm}: {error}");
                false
            }
        }
    }

    /// Bytes that have come in on the link to a VM, whole messages or not.
    pub fn received_bytes(&self, vm: VmAddress) -> u64 {
        let traffic = self.pool.get().and_then(|pool| pool.traffic(vm));
        traffic.map_or(0, |traffic| traffic.received())
    }

    /// Chooses the VM that is expected to answer soonest; none if all are overdue.
    pub fn choose_vm(&self, vms: &[VmAddress], usual_ms: f64) -> Option<VmAddress> {
        self.pool.get()?;
        let time = now();
        let mut known = self.vms.borrow_mut();
        let mut best: Option<(f64, VmAddress)> = None;
        let offset = rand::random_range(0..vms.len().max(1));
        for number in 0..vms.len() {
            let vm = vms[(number + offset) % vms.len()];
            let health = known
                .entry(vm)
                .or_insert_with(|| UpstreamHealth::new(time, Duration::ZERO));
            let overdue = millis(health.oldest_age(time)) > usual_ms * OVERDUE;
            if overdue || health.is_ejected(time) || health.success(time) < USEFUL_SHARE {
                continue;
            }
            let expected = health.expected_ms(time, usual_ms, VM_SLOTS);
            if best.is_none_or(|(least, _vm)| expected < least) {
                best = Some((expected, vm));
            }
        }
        best.map(|(_expected, vm)| vm)
    }

    /// Sends a query to a VM; returns its number, or nothing if it was not sent.
    pub fn send(
        &self,
        vm: VmAddress,
        mut query: PartialQuery,
        usual_ms: f64,
        (group, events): (usize, UnboundedSender<GroupEvent>),
    ) -> Option<u64> {
        let number = self.next.get();
        self.next.set(number + 1);
        query.number = number;
        let message = PeerMessage::Partial(PartialMessage::Query(query));
        if !self.tell(vm, message) {
            return None;
        }
        let began = now();
        if let Some(health) = self.vms.borrow_mut().get_mut(&vm) {
            health.record_start(began);
        }
        let pending = PendingPartial {
            events,
            group,
            vm,
            began,
            usual_ms,
            heard: false,
        };
        self.pending.borrow_mut().insert(number, pending);
        Some(number)
    }

    /// Hands a reply to its query. A reply to a query that has ended is of no use any more.
    pub fn take_reply(&self, reply: PartialReply) {
        let mut pending = self.pending.borrow_mut();
        let Some(query) = pending.get_mut(&reply.number) else {
            return;
        };
        if !query.heard {
            query.heard = true;
            self.note_heard(query, shows_upstreams(&reply));
        }
        let event = GroupEvent {
            group: query.group,
            news: GroupNews::Reply(reply),
        };
        // The query may have ended just now.
        let _ended = query.events.send(event);
    }

    fn note_heard(&self, query: &PendingPartial, useful: bool) {
        let time = now();
        let took = millis(time.saturating_duration_since(query.began));
        if let Some(health) = self.vms.borrow_mut().get_mut(&query.vm) {
            if useful {
                health.record_answer(query.began, time, took / query.usual_ms);
            } else {
                health.record_failure(query.began, time);
            }
        }
    }

    /// Ends a query at the VM that gathers parts for it.
    pub fn end(&self, number: u64, finished: bool) {
        let Some(query) = self.pending.borrow_mut().remove(&number) else {
            return;
        };
        if !query.heard
            && let Some(health) = self.vms.borrow_mut().get_mut(&query.vm)
        {
            let time = now();
            let waited = millis(time.saturating_duration_since(query.began));
            health.record_abandoned(query.began, time, waited / query.usual_ms);
        }
        if finished {
            return;
        }
        // A VM that can't be reached ends the query at its own time.
        let _told = self.tell(
            query.vm,
            PeerMessage::Partial(PartialMessage::Cancel(number)),
        );
    }

    /// The link to a VM has broken: all its queries are told.
    pub fn link_down(&self, vm: VmAddress, unsent: VecDeque<PeerMessage>) {
        let mut left = Vec::new();
        for message in unsent {
            if let PeerMessage::Partial(PartialMessage::Query(query)) = message {
                left.push(query.number);
            }
        }
        let time = now();
        let mut down = Vec::new();
        self.pending.borrow_mut().retain(|number, query| {
            if query.vm != vm {
                return true;
            }
            down.push((query.began, query.heard));
            let event = GroupEvent {
                group: query.group,
                news: GroupNews::Down {
                    sent: !left.contains(number),
                },
            };
            // The query may have ended just now.
            let _ended = query.events.send(event);
            false
        });
        log::info!(
            target: "ebonyfork::decision",
            "link down vm={vm} queries={} unsent={}",
            down.len(), left.len()
        );
        let mut known = self.vms.borrow_mut();
        let Some(health) = known.get_mut(&vm) else {
            return;
        };
        for (began, heard) in down {
            if !heard {
                health.record_unreachable(began, time);
            }
        }
    }
}

#[cfg(test)]
#[path = "delegate_tests.rs"]
mod tests;
