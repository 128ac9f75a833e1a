//! State of one query over many shards: which parts have arrived, which may still arrive, and whether to answer now.

use std::time::Instant;

use bytes::Bytes;
use http::HeaderValue;

use crate::gateway::partial::ShardProgress;

/// Part of a query's answer that comes from one shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardPart {
    /// Signature of the upstream for this part.
    pub signature: HeaderValue,
    /// Records of the part.
    pub records: PartRecords,
}

impl ShardPart {
    /// Returns the records if they were not merged with those of other shards.
    pub fn own_records(&self) -> Option<&[u8]> {
        match &self.records {
            PartRecords::Own(records) => Some(records.as_ref()),
            PartRecords::Group(_) => None,
        }
    }
}

/// Location of a part's records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartRecords {
    /// The records arrived separately from those of other shards.
    Own(Bytes),
    /// The records were merged with those of other shards; holds the index of the group.
    Group(usize),
}

/// Outcome of one shard: whether its part may still arrive, has arrived or won't arrive.
#[derive(Debug, PartialEq, Eq)]
pub enum ShardOutcome {
    /// The shard's part may still arrive.
    Open,
    /// The shard's part has arrived.
    Answered(ShardPart),
    /// The shard's part won't arrive.
    Failed,
}

/// State of one shard of a query.
#[derive(Debug)]
pub struct ShardState {
    /// Whether the shard's part has arrived or may still arrive.
    pub outcome: ShardOutcome,
    /// Number of the shard's attempts in flight.
    pub in_flight: usize,
    /// Number of attempts that may have run at an upstream, including those in flight.
    pub possible_runs: usize,
    /// Number of attempts that upstreams declined.
    pub declined_attempts: usize,
    /// Number of attempts that ended before anything was sent.
    pub unsent_attempts: usize,
    /// Whether a connection broke during an attempt.
    pub connection_broke: bool,
    /// Whether the request to this shard was counted in the retry budget. It is counted once, on the VM that accepted
    /// the request from the caller.
    pub request_counted: bool,
    /// Whether the shard is not sent for now because its part is unlikely to arrive in time and the query has enough
    /// shards without it.
    pub postponed: bool,
}

impl ShardState {
    fn new() -> Self {
        Self {
            outcome: ShardOutcome::Open,
            in_flight: 0,
            possible_runs: 0,
            declined_attempts: 0,
            unsent_attempts: 0,
            connection_broke: false,
            request_counted: false,
            postponed: false,
        }
    }

    /// Returns how far the request got at the shard's upstreams.
    pub fn progress(&self) -> ShardProgress {
        if self.connection_broke {
            return ShardProgress::Broken;
        }
        if self.possible_runs > 0 {
            return ShardProgress::Run;
        }
        if self.declined_attempts > 0 {
            return ShardProgress::Declined;
        }
        ShardProgress::Unsent
    }

    /// Returns whether the shard's part may still arrive.
    pub fn is_open(&self) -> bool {
        matches!(self.outcome, ShardOutcome::Open)
    }
}

/// How a query over many shards ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GatherEnd {
    /// All parts have arrived.
    Whole,
    /// Enough parts have arrived, and waiting for the others isn't worthwhile.
    Partial,
    /// The required coverage can no longer be reached.
    InsufficientCoverage,
    /// The deadline has passed and the required coverage wasn't reached.
    DeadlinePassed,
}

/// State of one query over many shards.
#[derive(Debug)]
pub struct GatherState {
    shards: Vec<ShardState>,
    /// Number of shards whose part has arrived.
    answered_count: usize,
    /// Number of shards whose part won't arrive.
    failed_count: usize,
    /// Number of parts that an answer must contain at least.
    required_count: usize,
    /// Merged records of each group of shards.
    groups: Vec<Bytes>,
    /// Whether to wait for all parts until the deadline, because another VM decides when to answer.
    waits_for_all: bool,
    /// Time until which an answer has its full value.
    answer_by: Instant,
    /// Time by which the query must have ended, whatever its answer.
    finish_by: Instant,
}

impl GatherState {
    /// Creates a query over `shards` shards that needs the parts of `required_count` of them.
    pub fn new(
        shards: usize,
        required_count: usize,
        answer_by: Instant,
        finish_by: Instant,
    ) -> Self {
        Self {
            shards: (0..shards).map(|_number| ShardState::new()).collect(),
            answered_count: 0,
            failed_count: 0,
            required_count,
            groups: Vec::new(),
            waits_for_all: false,
            answer_by: answer_by.min(finish_by),
            finish_by,
        }
    }

    /// Makes the query wait for all parts until the deadline, regardless of the target.
    #[must_use]
    pub fn waiting_for_all(mut self) -> Self {
        self.waits_for_all = true;
        self
    }

    /// Brings the target and the deadline forward to `latest`.
    pub fn shorten(&mut self, latest: Instant) {
        self.answer_by = self.answer_by.min(latest);
        self.finish_by = self.finish_by.min(latest);
    }

    /// Returns the states of all shards.
    pub fn shards(&self) -> &[ShardState] {
        &self.shards
    }

    /// Returns one shard's state for updates of its attempt counts.
    pub fn shard_mut(&mut self, shard_index: usize) -> &mut ShardState {
        &mut self.shards[shard_index]
    }

    /// Stores the first part of a shard; further parts of the same shard are ignored.
    pub fn add_part(&mut self, shard_index: usize, signature: HeaderValue, records: Bytes) {
        let shard = &mut self.shards[shard_index];
        if !shard.is_open() {
            return;
        }
        shard.outcome = ShardOutcome::Answered(ShardPart {
            signature,
            records: PartRecords::Own(records),
        });
        self.answered_count += 1;
    }

    /// Stores parts whose records were merged. Merged records can't be separated, so a part that arrived separately for
    /// one of these shards is replaced; otherwise its records would count twice. The whole group is dropped if one of
    /// its shards has failed or is in another group already.
    pub fn add_merged_group(&mut self, parts: Vec<(usize, HeaderValue)>, records: Bytes) {
        let is_grouped = |shard: &ShardState| {
            matches!(
                &shard.outcome,
                ShardOutcome::Answered(ShardPart {
                    records: PartRecords::Group(_),
                    ..
                })
            )
        };
        let is_unusable = |(shard_index, _): &(usize, HeaderValue)| {
            let shard = &self.shards[*shard_index];
            is_grouped(shard) || shard.outcome == ShardOutcome::Failed
        };
        if parts.iter().any(is_unusable) {
            return;
        }
        let group = self.groups.len();
        self.groups.push(records);
        for (shard_index, signature) in parts {
            let shard = &mut self.shards[shard_index];
            if shard.is_open() {
                self.answered_count += 1;
            }
            shard.outcome = ShardOutcome::Answered(ShardPart {
                signature,
                records: PartRecords::Group(group),
            });
        }
    }

    /// Marks a shard as failed unless its part has arrived.
    pub fn fail(&mut self, shard_index: usize) {
        let shard = &mut self.shards[shard_index];
        if !shard.is_open() {
            return;
        }
        shard.outcome = ShardOutcome::Failed;
        self.failed_count += 1;
    }

    /// Returns the number of further shards that can be left out without missing the required coverage.
    pub fn spare_shards(&self) -> usize {
        let postponed_count = self.shards.iter().filter(|shard| shard.postponed).count();
        (self.shards.len() - self.failed_count - postponed_count)
            .saturating_sub(self.required_count)
    }

    /// Returns whether the required coverage can't be reached without postponed shards.
    pub fn needs_postponed(&self) -> bool {
        let postponed_count = self.shards.iter().filter(|shard| shard.postponed).count();
        self.shards.len() - self.failed_count - postponed_count < self.required_count
    }

    /// Resumes one postponed shard, if any, and returns its index.
    pub fn resume_next_postponed(&mut self) -> Option<usize> {
        let shard_index = self.shards.iter().position(|shard| shard.postponed)?;
        self.shards[shard_index].postponed = false;
        Some(shard_index)
    }

    /// Returns the number of parts that have arrived.
    pub fn answered_count(&self) -> usize {
        self.answered_count
    }

    /// Returns whether enough parts for an answer have arrived.
    pub fn has_enough_parts(&self) -> bool {
        self.answered_count >= self.required_count
    }

    /// Returns the number of shards for which a connection broke during an attempt.
    pub fn lost_count(&self) -> usize {
        self.shards
            .iter()
            .filter(|shard| shard.connection_broke)
            .count()
    }

    /// Returns the time until which a further part increases the value of the answer; `None` once it has passed.
    pub fn useful_until(&self, now: Instant) -> Option<Instant> {
        (now < self.answer_by).then_some(self.answer_by)
    }

    /// Returns how the query ends if it ends now. The value of an answer rises with the square of its coverage until
    /// the target and is close to nothing after it, so the query waits for all parts until the target and after that
    /// only until there are enough.
    pub fn check_end(&self, now: Instant) -> Option<GatherEnd> {
        let shard_count = self.shards.len();
        if self.answered_count == shard_count {
            return Some(GatherEnd::Whole);
        }
        let open_count = shard_count - self.answered_count - self.failed_count;
        let postponed_count = self.shards.iter().filter(|shard| shard.postponed).count();
        if open_count == postponed_count && self.has_enough_parts() {
            return Some(GatherEnd::Partial);
        }
        if self.answered_count + open_count < self.required_count {
            return Some(GatherEnd::InsufficientCoverage);
        }
        if now >= self.answer_by && self.has_enough_parts() && !self.waits_for_all {
            return Some(GatherEnd::Partial);
        }
        (now >= self.finish_by).then_some(GatherEnd::DeadlinePassed)
    }

    /// Returns the next time at which [`Self::check_end`] may end the query without a further event.
    pub fn next_end_check(&self, now: Instant) -> Instant {
        if now < self.answer_by {
            self.answer_by
        } else {
            self.finish_by
        }
    }

    /// Returns the signatures of the parts that have arrived.
    pub fn signatures(&self) -> impl Iterator<Item = &HeaderValue> {
        self.parts().map(|part| &part.signature)
    }

    /// Returns the records of the parts that have arrived, merged or separate.
    pub fn records(&self) -> impl Iterator<Item = &[u8]> {
        let separate_records = self.parts().filter_map(ShardPart::own_records);
        separate_records.chain(self.groups.iter().map(Bytes::as_ref))
    }

    fn parts(&self) -> impl Iterator<Item = &ShardPart> {
        self.shards.iter().filter_map(|shard| match &shard.outcome {
            ShardOutcome::Answered(part) => Some(part),
            ShardOutcome::Open | ShardOutcome::Failed => None,
        })
    }
}

#[cfg(test)]
#[path = "gather_tests.rs"]
mod tests;
