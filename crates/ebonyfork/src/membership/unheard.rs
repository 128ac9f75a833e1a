//! Listed VMs that have never been heard of, and the verdict that one of them is unreachable.
//!
//! A registration outlives its process by the time of a lease, or longer while the store is down. A process that starts
//! meanwhile reads the registration of a VM that it has never known alive, and that no suspicion can therefore concern.
//! Each listed VM that is not a known member is pinged a few times with growing waits. One that leaves all of these pings
//! unanswered counts as unreachable until it is heard of, by itself or through another member.
//!
//! The verdict needs evidence that the answers are missing because of the VM: others were heard while it was silent, or
//! nobody at all for as long as it takes to count the known members as failed too.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, RngExt};
use smallvec::SmallVec;

use crate::ident::VmAddress;
use crate::membership::event::{MemberEvent, OutgoingDatagram, SnapshotChange};
use crate::membership::protocol::MemberProtocol;
use crate::membership::timing::{
    ISOLATION_TIME, KNOWN_MEMBER_SPREAD, MAX_UNHEARD_PINGS, RECONNECT_PERIOD, TICK_PERIOD,
    UNHEARD_PING_SPACING, UNHEARD_PING_WAITS,
};

/// VMs to ping in one tick.
type DueVms = SmallVec<[VmAddress; MAX_UNHEARD_PINGS]>;

/// A listed VM that is not a known member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct UnheardVm {
    /// Number of pings that count towards the verdict, at most one per entry of [`UNHEARD_PING_WAITS`].
    pings: usize,
    first_ping_at: Option<Duration>,
    last_ping_at: Duration,
    /// When the next ping is sent, or the verdict is reached.
    due_at: Duration,
    unreachable: bool,
}

/// The listed VMs that are not known members.
#[derive(Debug, Default)]
pub(super) struct UnheardVms {
    vms: BTreeMap<VmAddress, UnheardVm>,
}

impl UnheardVms {
    /// Adds the new ones of `unknown_vms` and removes those that are no longer among them. The first pings are spread
    /// over time: a process that has just started does not send all of them at once, and a VM that has just registered
    /// is not pinged by every process before gossip has introduced it.
    pub(super) fn replace(
        &mut self,
        now: Duration,
        unknown_vms: &[VmAddress],
        known_members: usize,
        rng: &mut impl Rng,
    ) {
        let mut old_vms = std::mem::take(&mut self.vms);
        let spread = spread_time(unknown_vms.len()).max(KNOWN_MEMBER_SPREAD * known_members as u32);
        for vm in unknown_vms {
            let unheard_vm = old_vms.remove(vm).unwrap_or_else(|| UnheardVm {
                pings: 0,
                first_ping_at: None,
                last_ping_at: now,
                due_at: now + spread.mul_f64(rng.random()),
                unreachable: false,
            });
            self.vms.insert(*vm, unheard_vm);
        }
    }

    /// Removes a VM that has become a known member.
    pub(super) fn remove(&mut self, vm: VmAddress) {
        self.vms.remove(&vm);
    }

    /// Adds a listed VM that is no longer a member because it failed long ago.
    pub(super) fn insert_unreachable(&mut self, now: Duration, vm: VmAddress) {
        let unheard_vm = UnheardVm {
            pings: UNHEARD_PING_WAITS.len(),
            first_ping_at: Some(now),
            last_ping_at: now,
            due_at: now,
            unreachable: true,
        };
        self.vms.insert(vm, unheard_vm);
    }

    /// Delays everything that is due before `earliest`, because answers may still wait in the socket.
    pub(super) fn postpone(&mut self, earliest: Duration) {
        for vm in self.vms.values_mut() {
            vm.due_at = vm.due_at.max(earliest);
        }
    }

    /// Schedules a ping of each unreachable VM, after this process has heard from a peer again.
    pub(super) fn ping_unreachable_soon(&mut self, now: Duration, rng: &mut impl Rng) {
        let spread = spread_time(self.unreachable().count());
        for vm in self.vms.values_mut().filter(|vm| vm.unreachable) {
            vm.due_at = now + spread.mul_f64(rng.random());
        }
    }

    /// Iterates over the unreachable VMs in ascending order.
    pub(super) fn unreachable(&self) -> impl Iterator<Item = VmAddress> {
        let unreachable_vms = self.vms.iter().filter(|(_, vm)| vm.unreachable);
        unreachable_vms.map(|(address, _)| *address)
    }

    /// Returns the VMs that have been due for longest, at most [`MAX_UNHEARD_PINGS`].
    fn due_vms(&self, now: Duration) -> DueVms {
        let due_vms = self.vms.iter().filter(|(_, vm)| vm.due_at <= now);
        let mut due_vms: Vec<_> = due_vms.map(|(address, vm)| (vm.due_at, *address)).collect();
        due_vms.sort_unstable();
        due_vms.truncate(MAX_UNHEARD_PINGS);
        due_vms.into_iter().map(|(_, address)| address).collect()
    }
}

/// Returns the time over which the pings to `count` VMs are spread.
fn spread_time(count: usize) -> Duration {
    UNHEARD_PING_SPACING * count as u32
}

impl UnheardVm {
    /// Returns whether the wait for the answer to the last counted ping is over.
    fn awaits_verdict(&self) -> bool {
        !self.unreachable && self.pings == UNHEARD_PING_WAITS.len()
    }

    /// Counts a ping and schedules what comes after it.
    fn record_ping(&mut self, now: Duration, unreachable_count: usize) {
        self.first_ping_at.get_or_insert(now);
        self.last_ping_at = now;
        if self.unreachable {
            self.due_at = now + RECONNECT_PERIOD * unreachable_count as u32;
            return;
        }
        // A ping that could not lead to a verdict is repeated.
        self.pings = (self.pings + 1).min(UNHEARD_PING_WAITS.len());
        self.due_at = now + UNHEARD_PING_WAITS[self.pings - 1];
    }
}

impl MemberProtocol {
    /// Pings the listed VMs that are due and reaches the verdicts that are due.
    pub(super) fn tick_unheard(&mut self, now: Duration, outbox: &mut Vec<OutgoingDatagram>) {
        for address in self.unheard.due_vms(now) {
            let Some(vm) = self.unheard.vms.get(&address).copied() else {
                continue;
            };
            if vm.awaits_verdict() && self.is_silence_conclusive(now, &vm) {
                self.record_unreachable(now, address);
                continue;
            }
            let is_sent = self.ping_once(now, address, outbox);
            let unreachable_count = self.unheard.unreachable().count();
            let Some(vm) = self.unheard.vms.get_mut(&address) else {
                continue;
            };
            if is_sent {
                vm.record_ping(now, unreachable_count);
            } else {
                vm.due_at = now + TICK_PERIOD;
            }
        }
    }

    /// Returns whether a VM's silence is its own: either others were heard since its last ping, or this process has
    /// heard nobody for [`ISOLATION_TIME`].
    fn is_silence_conclusive(&self, now: Duration, vm: &UnheardVm) -> bool {
        let Some(last_received) = self.last_received() else {
            let pinged_since = vm.first_ping_at.unwrap_or(now);
            return now.saturating_sub(pinged_since) >= ISOLATION_TIME;
        };
        let hears_others = last_received > vm.last_ping_at
            && self.has_recent_contact(now)
            && self.has_recent_ack(now);
        hears_others || now.saturating_sub(last_received) >= ISOLATION_TIME
    }

    fn record_unreachable(&mut self, now: Duration, address: VmAddress) {
        let unreachable_count = self.unheard.unreachable().count() + 1;
        let Some(vm) = self.unheard.vms.get_mut(&address) else {
            return;
        };
        vm.unreachable = true;
        vm.due_at = now + RECONNECT_PERIOD * unreachable_count as u32;
        self.counters.unreachable += 1;
        self.change = SnapshotChange::Members;
        self.events.push(MemberEvent::Unreachable {
            vm: address,
            pings: vm.pings,
            silence: now.saturating_sub(vm.first_ping_at.unwrap_or(now)),
        });
    }
}

#[cfg(test)]
#[path = "unheard_tests.rs"]
mod tests;
