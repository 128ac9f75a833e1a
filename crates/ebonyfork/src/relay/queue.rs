//! The queue of one upstream: least slack first, fair between organisations, bounded.
//!
//! Each organisation has a lane: a heap ordered by the latest time at which an attempt should start in order to be
//! answered before its deadline, assuming [`START_MARGIN`] times its usual service time. A lane's *virtual time*
//! advances by the expected cost of each attempt taken from it. A lane that was empty resumes at the queue's virtual
//! time, or at its own if that is later. An organisation is thus neither credited nor charged for the time that it was
//! idle, and its next attempts are sent promptly, however long the backlog of another organisation is. Among the lanes
//! within [`FAIR_QUANTUM`] of the lane with the least virtual time, the attempt with the least slack goes first.
//! Urgency therefore decides as long as no organisation is ahead of its share.
//!
//! Under overload, least slack first alone collapses: if attempts with almost no slack were still sent, every slot
//! would work on attempts that just miss their deadlines. An attempt past its latest start is therefore dropped at once
//! while enough other attempts wait to fill the free slots.
//!
//! Ids are dense, and heaps and lanes are reused, so the steady state allocates nothing.

use std::time::Duration;

use cranelift_entity::packed_option::PackedOption;
use cranelift_entity::{PrimaryMap, SecondaryMap};

use crate::relay::ids::{ClassId, LaneId, OrganisationId, WorkId};
use crate::settings::QueueOrder;

/// Maximum number of attempts waiting for one upstream.
pub const QUEUE_LIMIT: usize = 1_024;
/// Maximum number of attempts of one organisation waiting for one upstream.
pub const ORGANISATION_LIMIT: usize = QUEUE_LIMIT / 2;
/// Maximum lead of a lane's virtual time over the least virtual time of the lanes that may send, as a multiple of the
/// mean cost of an attempt. Lanes within this lead send their attempts in the order of slack. The attempts of a lane
/// that is further ahead wait, however urgent they are.
pub const FAIR_QUANTUM: u64 = 4;
/// Number of usual service times that an attempt should have left before its deadline when it is sent.
pub const START_MARGIN: u64 = 2;
/// An idle lane is reused for another organisation only while at least this many lanes are idle.
const IDLE_LANE_LIMIT: usize = 64;

/// A waiting attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueEntry {
    /// The attempt.
    pub work: WorkId,
    /// The organisation that the attempt belongs to.
    pub organisation: OrganisationId,
    /// The class of the attempt.
    pub class: ClassId,
    /// Time at which the caller stops waiting, since process start.
    pub deadline: Duration,
    /// Expected service time at the upstream, which counts against the organisation's share of the upstream.
    pub cost: Duration,
}

/// Whether an attempt had to be removed from the queue when one was pushed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PushResult {
    /// The attempt was queued and none was removed.
    Queued,
    /// The queue was full: this attempt, possibly the pushed one, was removed and has to be refused.
    Evicted(WorkId),
}

/// Position of an attempt in the queue.
#[derive(Debug, Clone, Copy, Default)]
struct QueueSlot {
    lane: PackedOption<LaneId>,
    position: u32,
}

/// A waiting attempt in the heap of its lane.
#[derive(Debug, Clone, Copy)]
struct LaneEntry {
    /// The key by which the heap is ordered: the latest start in microseconds since process start, or zero if the queue
    /// is in order of arrival, and the number of the arrival.
    key: (u64, u64),
    work: WorkId,
    class: ClassId,
    deadline: Duration,
    /// Expected service time in microseconds.
    cost: u64,
}

/// The waiting attempts of one organisation, or of all organisations if the queue is in order of arrival.
#[derive(Debug)]
struct QueueLane {
    organisation: OrganisationId,
    /// Binary heap with the least key first.
    heap: Vec<LaneEntry>,
    /// Sum of the costs, in microseconds, of the attempts taken from the lane, raised to the queue's virtual time
    /// whenever the lane becomes active.
    virtual_time: u64,
}

/// The attempts waiting for one upstream.
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
/// let mut expired_work = Vec::new();
/// let first_work = queue.pop(Duration::from_millis(10), 1, |_class| true, &mut expired_work);
/// assert_eq!(first_work, Some(WorkId::from_u32(1)));
/// assert_eq!(expired_work, [WorkId::from_u32(2)]);
/// ```
#[derive(Debug)]
pub struct RelayQueue {
    order: QueueOrder,
    lanes: PrimaryMap<LaneId, QueueLane>,
    lanes_by_organisation: SecondaryMap<OrganisationId, PackedOption<LaneId>>,
    /// Lanes with waiting attempts.
    active_lanes: Vec<LaneId>,
    /// Lanes without waiting attempts.
    idle_lanes: Vec<LaneId>,
    slots: SecondaryMap<WorkId, QueueSlot>,
    /// Number of waiting attempts.
    length: usize,
    /// Number of attempts pushed so far, which numbers the arrivals.
    arrival_count: u64,
    /// Greatest virtual time that a lane had when an attempt was taken from it, in microseconds.
    virtual_time: u64,
    /// Exponentially weighted mean of the costs, in microseconds.
    mean_cost: u64,
}

impl RelayQueue {
    /// Creates an empty queue.
    pub fn new(order: QueueOrder) -> Self {
        Self {
            order,
            lanes: PrimaryMap::new(),
            lanes_by_organisation: SecondaryMap::new(),
            active_lanes: Vec::new(),
            idle_lanes: Vec::new(),
            slots: SecondaryMap::new(),
            length: 0,
            arrival_count: 0,
            virtual_time: 0,
            mean_cost: 0,
        }
    }

    /// Returns the number of waiting attempts.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether the queue holds no attempts.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Queues an attempt. If its lane becomes too long, the attempt with the most slack in that lane is removed. If the
    /// whole queue becomes too long, the attempt with the most slack in the longest lane is removed, so that one
    /// organisation's backlog can't keep the attempts of others out.
    pub fn push(&mut self, entry: QueueEntry) -> PushResult {
        let lane = self.lane_for(entry.organisation);
        if self.lanes[lane].heap.is_empty() {
            self.activate(lane);
        }
        let cost = u64::max(1, entry.cost.as_micros() as u64);
        self.mean_cost = match self.mean_cost {
            0 => cost,
            mean => (mean * 15 + cost) / 16,
        };
        self.arrival_count += 1;
        let latest_start = match self.order {
            QueueOrder::Slack => {
                (entry.deadline.as_micros() as u64).saturating_sub(cost * START_MARGIN)
            }
            QueueOrder::Arrival => 0,
        };
        let lane_entry = LaneEntry {
            key: (latest_start, self.arrival_count),
            work: entry.work,
            class: entry.class,
            deadline: entry.deadline,
            cost,
        };
        self.insert_entry(lane, lane_entry);
        if self.lanes[lane].heap.len() > self.lane_limit() {
            return PushResult::Evicted(self.evict(lane));
        }
        if self.length > QUEUE_LIMIT {
            let longest_lane = self.longest_lane().unwrap_or(lane);
            return PushResult::Evicted(self.evict(longest_lane));
        }
        PushResult::Queued
    }

    /// Removes and returns the next attempt to send, where `send_capacity` is the number that may be sent now. Skips a
    /// lane while `allows` returns false for the class of its head. Attempts that are too late are moved to
    /// `expired_work`: those past their deadline, and those past their latest start while at least `send_capacity`
    /// others wait.
    pub fn pop(
        &mut self,
        now: Duration,
        send_capacity: usize,
        allows: impl Fn(ClassId) -> bool,
        expired_work: &mut Vec<WorkId>,
    ) -> Option<WorkId> {
        while let Some(lane) = self.next_lane(&allows) {
            let head = self.lanes[lane].heap[0];
            self.remove_at(lane, 0);
            let is_past_start =
                self.order == QueueOrder::Slack && head.key.0 < now.as_micros() as u64;
            if head.deadline <= now || is_past_start && self.length >= send_capacity {
                expired_work.push(head.work);
                continue;
            }
            self.virtual_time = u64::max(self.virtual_time, self.lanes[lane].virtual_time);
            self.lanes[lane].virtual_time += head.cost;
            return Some(head.work);
        }
        None
    }

    /// Removes an attempt and returns whether it was waiting.
    pub fn cancel(&mut self, work: WorkId) -> bool {
        let slot = self.slots[work];
        let Some(lane) = slot.lane.expand() else {
            return false;
        };
        self.remove_at(lane, slot.position as usize);
        true
    }

    /// Moves every attempt whose deadline has passed to `expired_work`. If lanes
    /// are ordered by slack, expired attempts that are not at the head of their lane may remain.
    pub fn drop_expired_work(&mut self, now: Duration, expired_work: &mut Vec<WorkId>) {
        let mut index = 0;
        while index < self.active_lanes.len() {
            let lane = self.active_lanes[index];
            self.drop_expired_work_in_lane(lane, now, expired_work);
            if !self.lanes[lane].heap.is_empty() {
                index += 1;
            }
        }
    }

    /// Moves all attempts to `removed_work`.
    pub fn drain(&mut self, removed_work: &mut Vec<WorkId>) {
        while let Some(lane) = self.active_lanes.last().copied() {
            let work = self.lanes[lane].heap[0].work;
            self.remove_at(lane, 0);
            removed_work.push(work);
        }
    }

    /// Drops the expired attempts of one lane. In a heap ordered by slack they are nearly always at the head, so only
    /// the head is checked; in order of arrival they may be anywhere.
    fn drop_expired_work_in_lane(
        &mut self,
        lane: LaneId,
        now: Duration,
        expired_work: &mut Vec<WorkId>,
    ) {
        match self.order {
            QueueOrder::Slack => {
                while let Some(head) = self.lanes[lane].heap.first().copied()
                    && head.deadline <= now
                {
                    self.remove_at(lane, 0);
                    expired_work.push(head.work);
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
                    expired_work.push(entry.work);
                    // The entry swapped into this position may come from anywhere in the heap.
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

    /// Returns the lane of an organisation, creating it if needed. With [`QueueOrder::Arrival`], all organisations
    /// share a single lane.
    fn lane_for(&mut self, organisation: OrganisationId) -> LaneId {
        let organisation = match self.order {
            QueueOrder::Slack => organisation,
            QueueOrder::Arrival => OrganisationId::from_u32(0),
        };
        if let Some(lane) = self.lanes_by_organisation[organisation].expand() {
            return lane;
        }
        let lane = match self.reclaim_lane() {
            Some(lane) => lane,
            None => self.lanes.push(QueueLane {
                organisation,
                heap: Vec::new(),
                virtual_time: 0,
            }),
        };
        self.lanes[lane].organisation = organisation;
        self.lanes[lane].virtual_time = self.virtual_time;
        self.lanes_by_organisation[organisation] = lane.into();
        self.idle_lanes.push(lane);
        lane
    }

    /// Releases and returns an idle lane for reuse, if enough lanes are idle. Only a lane whose virtual time is not
    /// ahead of the queue's is reused: otherwise its organisation would lose the record of having used more than its
    /// share.
    fn reclaim_lane(&mut self) -> Option<LaneId> {
        if self.idle_lanes.len() < IDLE_LANE_LIMIT {
            return None;
        }
        let queue_virtual_time = self.virtual_time;
        let is_reclaimable = |lane: &LaneId| self.lanes[*lane].virtual_time <= queue_virtual_time;
        let position = self.idle_lanes.iter().position(is_reclaimable)?;
        let lane = self.idle_lanes.swap_remove(position);
        self.lanes_by_organisation[self.lanes[lane].organisation] = PackedOption::default();
        Some(lane)
    }

    /// Marks a lane as active, and raises its virtual time to that of the queue.
    fn activate(&mut self, lane: LaneId) {
        self.idle_lanes.retain(|other_lane| *other_lane != lane);
        self.active_lanes.push(lane);
        let lane_state = &mut self.lanes[lane];
        lane_state.virtual_time = u64::max(lane_state.virtual_time, self.virtual_time);
    }

    /// Returns the lane whose head is sent next: the head with the least slack among the lanes whose virtual time is
    /// within [`FAIR_QUANTUM`] of the least one.
    fn next_lane(&self, allows: &impl Fn(ClassId) -> bool) -> Option<LaneId> {
        let mut least_virtual_time = u64::MAX;
        for lane in self.active_lanes.iter().copied() {
            let lane_state = &self.lanes[lane];
            if allows(lane_state.heap[0].class) {
                least_virtual_time = u64::min(least_virtual_time, lane_state.virtual_time);
            }
        }
        let max_virtual_time = least_virtual_time.saturating_add(FAIR_QUANTUM * self.mean_cost);
        let mut chosen_head = None;
        for lane in self.active_lanes.iter().copied() {
            let lane_state = &self.lanes[lane];
            let LaneEntry { key, class, .. } = lane_state.heap[0];
            let follows_chosen = chosen_head.is_some_and(|(chosen_key, _)| chosen_key <= key);
            if lane_state.virtual_time > max_virtual_time || follows_chosen || !allows(class) {
                continue;
            }
            chosen_head = Some((key, lane));
        }
        chosen_head.map(|(_, lane)| lane)
    }

    fn longest_lane(&self) -> Option<LaneId> {
        let lane_length = |lane: &LaneId| self.lanes[*lane].heap.len();
        self.active_lanes.iter().copied().max_by_key(lane_length)
    }

    /// Removes and returns the attempt with the most slack in a lane. It is a leaf of the heap, so only the second half
    /// of the heap is searched.
    fn evict(&mut self, lane: LaneId) -> WorkId {
        let heap = &self.lanes[lane].heap;
        let mut most_slack_position = heap.len() - 1;
        for position in heap.len() / 2..heap.len() {
            if heap[position].key > heap[most_slack_position].key {
                most_slack_position = position;
            }
        }
        let work = heap[most_slack_position].work;
        self.remove_at(lane, most_slack_position);
        work
    }

    fn insert_entry(&mut self, lane: LaneId, entry: LaneEntry) {
        let heap = &mut self.lanes[lane].heap;
        heap.push(entry);
        let last_position = heap.len() - 1;
        self.length += 1;
        self.sift_up(lane, last_position);
    }

    fn remove_at(&mut self, lane: LaneId, position: usize) {
        let heap = &mut self.lanes[lane].heap;
        let removed_entry = heap.swap_remove(position);
        let (length, has_moved) = (heap.len(), position < heap.len());
        self.slots[removed_entry.work] = QueueSlot::default();
        self.length -= 1;
        if has_moved {
            let position = self.sift_up(lane, position);
            self.sift_down(lane, position);
        }
        if length == 0 {
            self.active_lanes.retain(|other_lane| *other_lane != lane);
            self.idle_lanes.push(lane);
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
            let moved_work = heap[position].work;
            self.slots[moved_work].position = position as u32;
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
            let mut least_position = position;
            for child in [2 * position + 1, 2 * position + 2] {
                if child < heap.len() && heap[child].key < heap[least_position].key {
                    least_position = child;
                }
            }
            if least_position == position {
                return;
            }
            heap.swap(least_position, position);
            for moved_position in [least_position, position] {
                self.slots[heap[moved_position].work].position = moved_position as u32;
            }
            position = least_position;
        }
    }
}

#[cfg(test)]
#[path = "queue_tests.rs"]
mod tests;
