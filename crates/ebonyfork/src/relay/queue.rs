//! The queue of one upstream: least slack first, fair between organisations, bounded.
//!
//! Each organisation has a lane: a heap ordered by the latest time at which an attempt should start to be answered in
//! time, its usual service time taken [`START_MARGIN`] times. A lane's *virtual time* grows by the expected cost of
//! what it is served, and a lane that was empty starts at the queue's virtual time: an organisation that wakes owes
//! nothing for the time it slept and is served at once, however long another's backlog is. Among the lanes that are
//! within [`FAIR_QUANTUM`] of the one furthest behind, the attempt with the least slack goes first, so that urgency
//! decides as long as nobody is ahead of its share.
//!
//! The least slack first is ruinous under overload if what has next to none is still sent: every slot then works on what
//! will just miss. So an attempt that is past its latest start is given up at once while others wait that are not.
//!
//! Ids are dense, heaps and lanes are reused: in a steady state nothing is allocated.

use std::time::Duration;

use cranelift_entity::packed_option::PackedOption;
use cranelift_entity::{PrimaryMap, SecondaryMap};

use crate::relay::ids::{ClassId, LaneId, OrganisationId, WorkId};
use crate::settings::QueueOrder;

/// Attempts that may wait for one upstream.
pub const QUEUE_LIMIT: usize = 1_024;
/// Attempts of one organisation that may wait for one upstream.
pub const ORGANISATION_LIMIT: usize = QUEUE_LIMIT / 2;
/// How many attempts of mean cost an organisation may be ahead of another before urgency stops to count.
pub const FAIR_QUANTUM: u64 = 4;
/// Usual service times that an attempt should have left when it is sent.
pub const START_MARGIN: u64 = 2;
/// Lanes kept for organisations without a backlog.
const IDLE_LANES: usize = 64;

/// One attempt that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueEntry {
    /// The attempt.
    pub work: WorkId,
    /// Whose it is.
    pub organisation: OrganisationId,
    /// Its class.
    pub class: ClassId,
    /// When its caller stops waiting.
    pub deadline: Duration,
    /// Expected time at the upstream; counts against the organisation's share.
    pub cost: Duration,
}

/// What became of an attempt that was pushed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PushResult {
    /// It waits.
    Queued,
    /// The queue is full: this attempt, perhaps the pushed one, was taken out and has to be refused.
    Evicted(WorkId),
}

/// Where an attempt waits.
#[derive(Debug, Clone, Copy, Default)]
struct QueueSlot {
    lane: PackedOption<LaneId>,
    position: u32,
}

#[derive(Debug, Clone, Copy)]
struct LaneEntry {
    /// Latest start in microseconds (or zero), then order of arrival.
    key: (u64, u64),
    work: WorkId,
    class: ClassId,
    deadline: Duration,
    cost: u64,
}

#[derive(Debug)]
struct QueueLane {
    organisation: OrganisationId,
    heap: Vec<LaneEntry>,
    virtual_time: u64,
}

/// The attempts that wait for one upstream.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use ebonyfork::relay::{ClassId, OrganisationId, QueueEntry, RelayQueue, WorkId};
/// use ebonyfork::settings::QueueOrder;
///
/// let entry = |work, deadline| QueueEntry {
///     work: WorkId::from_u32(work),
///     organisation: OrganisationId::from_u32(0),
///     class: ClassId::from_u32(0),
///     deadline: Duration::from_millis(deadline),
///     cost: Duration::from_millis(1),
/// };
/// let mut queue = RelayQueue::new(QueueOrder::Slack);
/// queue.push(entry(0, 90));
/// queue.push(entry(1, 30));
/// queue.push(entry(2, 5));
/// let mut expired = Vec::new();
/// let first = queue.pop(Duration::from_millis(10), 1, |_class| true, &mut expired);
/// assert_eq!(first, Some(WorkId::from_u32(1)));
/// assert_eq!(expired, [WorkId::from_u32(2)]);
/// ```
#[derive(Debug)]
pub struct RelayQueue {
    order: QueueOrder,
    lanes: PrimaryMap<LaneId, QueueLane>,
    by_organisation: SecondaryMap<OrganisationId, PackedOption<LaneId>>,
    active: Vec<LaneId>,
    idle: Vec<LaneId>,
    slots: SecondaryMap<WorkId, QueueSlot>,
    length: usize,
    arrivals: u64,
    virtual_time: u64,
    mean_cost: u64,
}

impl RelayQueue {
    /// An empty queue.
    pub fn new(order: QueueOrder) -> Self {
        Self {
            order,
            lanes: PrimaryMap::new(),
            by_organisation: SecondaryMap::new(),
            active: Vec::new(),
            idle: Vec::new(),
            slots: SecondaryMap::new(),
            length: 0,
            arrivals: 0,
            virtual_time: 0,
            mean_cost: 0,
        }
    }

    /// Attempts that wait.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Takes an attempt in. When that makes the queue too long, the attempt with the most slack of the longest backlog
    /// is taken out, so that one organisation's backlog can't keep another's out.
    pub fn push(&mut self, entry: QueueEntry) -> PushResult {
        let lane = self.lane_of(entry.organisation);
        if self.lanes[lane].heap.is_empty() {
            self.activate(lane);
        }
        let cost = u64::max(1, entry.cost.as_micros() as u64);
        self.mean_cost = match self.mean_cost {
            0 => cost,
            mean => (mean * 15 + cost) / 16,
        };
        self.arrivals += 1;
        let urgency = match self.order {
            QueueOrder::Slack => {
                (entry.deadline.as_micros() as u64).saturating_sub(cost * START_MARGIN)
            }
            QueueOrder::Arrival => 0,
        };
        let stored = LaneEntry {
            key: (urgency, self.arrivals),
            work: entry.work,
            class: entry.class,
            deadline: entry.deadline,
            cost,
        };
        self.insert(lane, stored);
        if self.lanes[lane].heap.len() > self.lane_limit() {
            return PushResult::Evicted(self.evict(lane));
        }
        if self.length > QUEUE_LIMIT {
            let longest = self.longest_lane().unwrap_or(lane);
            return PushResult::Evicted(self.evict(longest));
        }
        PushResult::Queued
    }

    /// Takes out what is to be sent next when `room` more may be sent; a lane whose head is of a class that `allows`
    /// holds back waits. Attempts that are too late are taken out on the way: those whose deadline has passed, and those
    /// past their latest start as long as others fill the room.
    pub fn pop(
        &mut self,
        now: Duration,
        room: usize,
        allows: impl Fn(ClassId) -> bool,
        expired: &mut Vec<WorkId>,
    ) -> Option<WorkId> {
        while let Some(lane) = self.next_lane(&allows) {
            let head = self.lanes[lane].heap[0];
            self.remove_at(lane, 0);
            let late = self.order == QueueOrder::Slack && head.key.0 < now.as_micros() as u64;
            if head.deadline <= now || late && self.length >= room {
                expired.push(head.work);
                continue;
            }
            self.virtual_time = u64::max(self.virtual_time, self.lanes[lane].virtual_time);
            self.lanes[lane].virtual_time += head.cost;
            return Some(head.work);
        }
        None
    }

    /// Takes an attempt out; tells whether it was waiting.
    pub fn cancel(&mut self, work: WorkId) -> bool {
        let slot = self.slots[work];
        let Some(lane) = slot.lane.expand() else {
            return false;
        };
        self.remove_at(lane, slot.position as usize);
        true
    }

    /// Takes out every attempt whose deadline has passed.
    pub fn drop_expired(&mut self, now: Duration, expired: &mut Vec<WorkId>) {
        let mut number = 0;
        while number < self.active.len() {
            let lane = self.active[number];
            self.drop_expired_of(lane, now, expired);
            if !self.lanes[lane].heap.is_empty() {
                number += 1;
            }
        }
    }

    /// Takes out everything.
    pub fn drain(&mut self, taken: &mut Vec<WorkId>) {
        while let Some(lane) = self.active.last().copied() {
            let work = self.lanes[lane].heap[0].work;
            self.remove_at(lane, 0);
            taken.push(work);
        }
    }

    /// With attempts ordered by urgency the expired ones are nearly always at the head; in order of arrival they may
    /// be anywhere.
    fn drop_expired_of(&mut self, lane: LaneId, now: Duration, expired: &mut Vec<WorkId>) {
        match self.order {
            QueueOrder::Slack => {
                while let Some(head) = self.lanes[lane].heap.first().copied()
                    && head.deadline <= now
                {
                    self.remove_at(lane, 0);
                    expired.push(head.work);
                }
            }
            QueueOrder::Arrival => {
                let mut position = 0;
                while let Some(entry) = self.lanes[lane].heap.get(position).copied() {
                    if entry.deadline > now {
                        position += 1;
                        continue;
                    }
                    self.remove_at(lane, position);
                    expired.push(entry.work);
                    // What moved here may have come from anywhere in the heap.
                    position = 0;
                }
            }
        }
    }

    fn lane_limit(&self) -> usize {
        match self.order {
            QueueOrder::Slack => ORGANISATION_LIMIT,
            QueueOrder::Arrival => QUEUE_LIMIT,
        }
    }

    /// The lane of an organisation; in order of arrival all share one.
    fn lane_of(&mut self, organisation: OrganisationId) -> LaneId {
        let organisation = match self.order {
            QueueOrder::Slack => organisation,
            QueueOrder::Arrival => OrganisationId::from_u32(0),
        };
        if let Some(lane) = self.by_organisation[organisation].expand() {
            return lane;
        }
        let lane = match self.spare_lane() {
            Some(lane) => lane,
            None => self.lanes.push(QueueLane {
                organisation,
                heap: Vec::new(),
                virtual_time: 0,
            }),
        };
        self.lanes[lane].organisation = organisation;
        self.lanes[lane].virtual_time = self.virtual_time;
        self.by_organisation[organisation] = lane.into();
        self.idle.push(lane);
        lane
    }

    /// An idle lane whose organisation is not ahead of its share, so that forgetting it loses nothing.
    fn spare_lane(&mut self) -> Option<LaneId> {
        if self.idle.len() < IDLE_LANES {
            return None;
        }
        let limit = self.virtual_time;
        let spare = |lane: &LaneId| self.lanes[*lane].virtual_time <= limit;
        let position = self.idle.iter().position(spare)?;
        let lane = self.idle.swap_remove(position);
        self.by_organisation[self.lanes[lane].organisation] = PackedOption::default();
        Some(lane)
    }

    fn activate(&mut self, lane: LaneId) {
        self.idle.retain(|other| *other != lane);
        self.active.push(lane);
        let state = &mut self.lanes[lane];
        state.virtual_time = u64::max(state.virtual_time, self.virtual_time);
    }

    fn next_lane(&self, allows: &impl Fn(ClassId) -> bool) -> Option<LaneId> {
        let mut least = u64::MAX;
        for lane in self.active.iter().copied() {
            let state = &self.lanes[lane];
            if allows(state.heap[0].class) {
                least = u64::min(least, state.virtual_time);
            }
        }
        let horizon = least.saturating_add(FAIR_QUANTUM * self.mean_cost);
        let mut chosen = None;
        for lane in self.active.iter().copied() {
            let state = &self.lanes[lane];
            let LaneEntry { key, class, .. } = state.heap[0];
            let worse = chosen.is_some_and(|(best, _)| best <= key);
            if state.virtual_time > horizon || worse || !allows(class) {
                continue;
            }
            chosen = Some((key, lane));
        }
        chosen.map(|(_, lane)| lane)
    }

    fn longest_lane(&self) -> Option<LaneId> {
        let length = |lane: &LaneId| self.lanes[*lane].heap.len();
        self.active.iter().copied().max_by_key(length)
    }

    /// Takes out the attempt with the most slack. It is a leaf of the heap, so the first half needs no look.
    fn evict(&mut self, lane: LaneId) -> WorkId {
        let heap = &self.lanes[lane].heap;
        let mut worst = heap.len() - 1;
        for position in heap.len() / 2..heap.len() {
            if heap[position].key > heap[worst].key {
                worst = position;
            }
        }
        let work = heap[worst].work;
        self.remove_at(lane, worst);
        work
    }

    fn insert(&mut self, lane: LaneId, entry: LaneEntry) {
        let heap = &mut self.lanes[lane].heap;
        heap.push(entry);
        let last = heap.len() - 1;
        self.length += 1;
        self.sift_up(lane, last);
    }

    fn remove_at(&mut self, lane: LaneId, position: usize) {
        let heap = &mut self.lanes[lane].heap;
        let removed = heap.swap_remove(position);
        let (length, moved) = (heap.len(), position < heap.len());
        self.slots[removed.work] = QueueSlot::default();
        self.length -= 1;
        if moved {
            let position = self.sift_up(lane, position);
            self.sift_down(lane, position);
        }
        if length == 0 {
            self.active.retain(|other| *other != lane);
            self.idle.push(lane);
        }
    }

    fn sift_up(&mut self, lane: LaneId, mut position: usize) -> usize {
        let heap = &mut self.lanes[lane].heap;
        while position > 0 {
            let parent = (position - 1) / 2;
            if heap[parent].key <= heap[position].key {
                break;
            }
            heap.swap(parent, position);
            let moved = heap[position].work;
            self.slots[moved].position = position as u32;
            position = parent;
        }
        let work = heap[position].work;
        self.slots[work] = QueueSlot {
            lane: lane.into(),
            position: position as u32,
        };
        position
    }

    fn sift_down(&mut self, lane: LaneId, mut position: usize) {
        let heap = &mut self.lanes[lane].heap;
        loop {
            let mut least = position;
            for child in [2 * position + 1, 2 * position + 2] {
                if child < heap.len() && heap[child].key < heap[least].key {
                    least = child;
                }
            }
            if least == position {
                return;
            }
            heap.swap(least, position);
            for moved in [least, position] {
                self.slots[heap[moved].work].position = moved as u32;
            }
            position = least;
        }
    }
}

#[cfg(test)]
#[path = "queue_tests.rs"]
mod tests;
