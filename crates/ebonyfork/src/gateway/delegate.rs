//! Delegates shards of a query to other VMs: chooses the VM, tracks the pending queries and dispatches the replies.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use tokio::sync::mpsc::UnboundedSender;

use crate::gateway::clock::now;
use crate::gateway::merge::RECORD_BYTES;
use crate::gateway::partial::{
    FailedShard, PartialMessage, PartialQuery, PartialReply, RecordCut, ShardProgress,
};
use crate::gateway::policy::health::UpstreamHealth;
use crate::gateway::policy::latency::millis;
use crate::ident::VmAddress;
use crate::wire::{PeerMessage, PeerPool};

/// Queries that a VM is assumed to gather concurrently without slowing down.
const ASSUMED_VM_CONCURRENCY: usize = 16;
/// Lowest fraction of a VM's replies that must show that it knows upstreams for it to be asked. A VM that knows none,
/// because the store refuses it, returns every shard and costs a round trip.
const MIN_USEFUL_REPLIES: f64 = 0.5;
/// A VM whose oldest pending query has taken more than this multiple of the usual time is not asked: it is frozen,
/// partitioned or gone.
const OVERDUE_FACTOR: f64 = 3.0;

/// Event about a group of shards that another VM gathers.
#[derive(Debug)]
pub enum GroupUpdate {
    /// Shards were answered or have failed.
    Reply(PartialReply),
    /// The VM can't be reached.
    Down {
        /// Whether the query was handed to the socket, so that the VM may have received it.
        sent: bool,
    },
}

/// Update about one of the groups into which a query divides its shards.
#[derive(Debug)]
pub struct GroupEvent {
    /// Index of the group within its query.
    pub group: usize,
    /// Reply or failure.
    pub update: GroupUpdate,
}

#[derive(Debug)]
struct PendingPartial {
    events: UnboundedSender<GroupEvent>,
    group: usize,
    vm: VmAddress,
    began_at: Instant,
    usual_latency_ms: f64,
    /// Records that each reply must hold.
    wanted: RecordCut,
    /// Whether a reply has arrived, which shows that the VM works on the query.
    has_replied: bool,
}

/// Returns whether a reply shows that the VM knows upstreams to ask. Requests that these upstreams decline or lose
/// don't count against the VM: if it were avoided for them, all VMs would send to these upstreams directly, and none
/// would see the length of their queues.
fn shows_known_upstreams(reply: &PartialReply) -> bool {
    let found_no_upstream =
        |failed: &FailedShard| failed.progress == ShardProgress::Unsent && !failed.avoid;
    !reply.parts.is_empty() || !reply.failed.iter().all(found_no_upstream)
}

/// Pending queries whose shards other VMs gather.
#[derive(Debug, Default)]
pub struct DelegateTable {
    pool: OnceCell<PeerPool>,
    next_number: Cell<u64>,
    pending: RefCell<FxHashMap<u64, PendingPartial>>,
    vm_health: RefCell<FxHashMap<VmAddress, UpstreamHealth>>,
}

impl DelegateTable {
    /// Sets the links to other VMs. Must be called once, at startup.
    pub fn set_pool(&self, pool: PeerPool) {
        let result = self.pool.set(pool);
        debug_assert!(result.is_ok(), "the links must be set only once");
    }

    /// Sends a message to a VM. Returns false if it was not sent.
    pub fn send_message(&self, vm: VmAddress, message: PeerMessage) -> bool {
        let Some(pool) = self.pool.get() else {
            return false;
        };
        match pool.send(vm, message) {
            Ok(()) => true,
            Err(error) => {
                log::debug!("message to {vm} not sent: {error}");
                false
            }
        }
    }

    /// Returns the number of bytes received on the link to a VM, including incomplete messages.
    pub fn received_bytes(&self, vm: VmAddress) -> u64 {
        let traffic = self.pool.get().and_then(|pool| pool.traffic(vm));
        traffic.map_or(0, |traffic| traffic.received_bytes())
    }

    /// Chooses the VM with the shortest expected latency; `None` if all of them are overdue or unhealthy.
    pub fn choose_vm(&self, vms: &[VmAddress], usual_latency_ms: f64) -> Option<VmAddress> {
        self.pool.get()?;
        let time = now();
        let mut vm_health = self.vm_health.borrow_mut();
        let mut best: Option<(f64, VmAddress)> = None;
        let offset = rand::random_range(0..vms.len().max(1));
        for number in 0..vms.len() {
            let vm = vms[(number + offset) % vms.len()];
            let health = vm_health
                .entry(vm)
                .or_insert_with(|| UpstreamHealth::new(time, Duration::ZERO));
            let is_overdue = millis(health.oldest_age(time)) > usual_latency_ms * OVERDUE_FACTOR;
            if is_overdue
                || health.is_ejected(time)
                || health.success_rate(time) < MIN_USEFUL_REPLIES
            {
                continue;
            }
            let expected_ms = health.expected_ms(time, usual_latency_ms, ASSUMED_VM_CONCURRENCY);
            if best.is_none_or(|(best_ms, _vm)| expected_ms < best_ms) {
                best = Some((expected_ms, vm));
            }
        }
        best.map(|(_expected_ms, vm)| vm)
    }

    /// Sends a query to a VM. Returns the number of the query, or `None` if the query was not sent.
    pub fn send(
        &self,
        vm: VmAddress,
        mut query: PartialQuery,
        usual_latency_ms: f64,
        (group, events): (usize, UnboundedSender<GroupEvent>),
    ) -> Option<u64> {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        query.number = number;
        let wanted = query.wanted;
        let message = PeerMessage::Partial(PartialMessage::Query(query));
        if !self.send_message(vm, message) {
            return None;
        }
        let began_at = now();
        if let Some(health) = self.vm_health.borrow_mut().get_mut(&vm) {
            health.record_start(began_at);
        }
        let pending = PendingPartial {
            events,
            group,
            vm,
            began_at,
            usual_latency_ms,
            wanted,
            has_replied: false,
        };
        self.pending.borrow_mut().insert(number, pending);
        Some(number)
    }

    /// Dispatches a reply to its query. A reply to a query that has ended is ignored. Parts whose merged records were
    /// cut to fewer than the query needs are discarded.
    pub fn take_reply(&self, mut reply: PartialReply) {
        let mut pending = self.pending.borrow_mut();
        let Some(query) = pending.get_mut(&reply.number) else {
            return;
        };
        let is_complete = reply.is_complete(query.wanted);
        if !query.has_replied {
            query.has_replied = true;
            self.record_first_reply(query, is_complete && shows_known_upstreams(&reply));
        }
        if !is_complete {
            log::info!(
                target: "ebonyfork::decision",
                "partial reply incomplete vm={} shards={} records={} cut={:?} wanted={:?}",
                query.vm, reply.parts.len(), reply.records.len() / RECORD_BYTES, reply.cut, query.wanted
            );
            reply.discard_parts();
        }
        let event = GroupEvent {
            group: query.group,
            update: GroupUpdate::Reply(reply),
        };
        // Sending fails if the query has just ended.
        let _ended = query.events.send(event);
    }

    fn record_first_reply(&self, query: &PendingPartial, is_useful: bool) {
        let time = now();
        let elapsed_ms = millis(time.saturating_duration_since(query.began_at));
        if let Some(health) = self.vm_health.borrow_mut().get_mut(&query.vm) {
            if is_useful {
                health.record_answer(query.began_at, time, elapsed_ms / query.usual_latency_ms);
            } else {
                health.record_failure(query.began_at, time);
            }
        }
    }

    /// Ends a query and, unless it has finished, cancels it at the VM that gathers its shards.
    pub fn end(&self, number: u64, is_finished: bool) {
        let Some(query) = self.pending.borrow_mut().remove(&number) else {
            return;
        };
        if !query.has_replied
            && let Some(health) = self.vm_health.borrow_mut().get_mut(&query.vm)
        {
            let time = now();
            let elapsed_ms = millis(time.saturating_duration_since(query.began_at));
            health.record_abandoned(query.began_at, time, elapsed_ms / query.usual_latency_ms);
        }
        if is_finished {
            return;
        }
        // If the VM can't be reached, its part of the query ends at the deadline.
        let _sent = self.send_message(
            query.vm,
            PeerMessage::Partial(PartialMessage::Cancel(number)),
        );
    }

    /// Fails all pending queries of a VM whose link has broken.
    pub fn link_down(&self, vm: VmAddress, unsent_messages: VecDeque<PeerMessage>) {
        let mut unsent_numbers = Vec::new();
        for message in unsent_messages {
            if let PeerMessage::Partial(PartialMessage::Query(query)) = message {
                unsent_numbers.push(query.number);
            }
        }
        let time = now();
        let mut failed_queries = Vec::new();
        self.pending.borrow_mut().retain(|number, query| {
            if query.vm != vm {
                return true;
            }
            failed_queries.push((query.began_at, query.has_replied));
            let event = GroupEvent {
                group: query.group,
                update: GroupUpdate::Down {
                    sent: !unsent_numbers.contains(number),
                },
            };
            // Sending fails if the query has just ended.
            let _ended = query.events.send(event);
            false
        });
        log::info!(
            target: "ebonyfork::decision",
            "link down vm={vm} queries={} unsent={}",
            failed_queries.len(), unsent_numbers.len()
        );
        let mut vm_health = self.vm_health.borrow_mut();
        let Some(health) = vm_health.get_mut(&vm) else {
            return;
        };
        for (began_at, has_replied) in failed_queries {
            if !has_replied {
                health.record_unreachable(began_at, time);
            }
        }
    }
}

#[cfg(test)]
#[path = "delegate_tests.rs"]
mod tests;
