//! The state of one query over many shards: which parts are in, which can still come, and whether to answer now.

use std::time::Instant;

use bytes::Bytes;
use http::HeaderValue;

use crate::gateway::partial::ShardReach;

/// One shard's part of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardPart {
    /// The upstream's signature under it.
    pub signature: HeaderValue,
    /// Its records.
    pub records: PartRecords,
}

impl ShardPart {
    /// Its records, if they came by themselves.
    pub fn own_records(&self) -> Option<&[u8]> {
        match &self.records {
            PartRecords::Own(records) => Some(records.as_ref()),
            PartRecords::Group(_) => None,
        }
    }
}

/// Where the records of a part are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartRecords {
    /// They came by themselves.
    Own(Bytes),
    /// They were merged with those of other shards: the number of that group.
    Group(usize),
}

/// What is known of one shard.
#[derive(Debug, PartialEq, Eq)]
pub enum ShardStanding {
    /// Its part may still come.
    Open,
    /// Its part is in.
    Answered(ShardPart),
    /// Its part won't come.
    Failed,
}

/// One shard of a query.
#[derive(Debug)]
pub struct ShardState {
    /// What is known of it.
    pub standing: ShardStanding,
    /// Attempts that are out.
    pub out: usize,
    /// Attempts that may have run, those that are out included.
    pub ran: usize,
    /// Attempts that an upstream declined.
    pub declined: usize,
    /// Attempts of which nothing was sent.
    pub unsent: usize,
    /// Whether a connection broke under it.
    pub lost: bool,
    /// Whether the request is counted in the budget: once, by the VM that has taken it from the caller.
    pub counted: bool,
    /// Whether it is not sent for now: its part is unlikely to come in time, and enough others are there.
    pub postponed: bool,
}

impl ShardState {
    fn new() -> Self {
        Self {
            standing: ShardStanding::Open,
            out: 0,
            ran: 0,
            declined: 0,
            unsent: 0,
            lost: false,
            counted: false,
            postponed: false,
        }
    }

    /// How far the request has got with it.
    pub fn reach(&self) -> ShardReach {
        if self.lost {
            return ShardReach::Broken;
        }
        if self.ran > 0 {
            return ShardReach::Run;
        }
        if self.declined > 0 {
            return ShardReach::Declined;
        }
        ShardReach::Unsent
    }

    /// Whether its part may still come.
    pub fn is_open(&self) -> bool {
        matches!(self.standing, ShardStanding::Open)
    }
}

/// How a query over many shards ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GatherEnd {
    /// All parts are in.
    Whole,
    /// Enough parts are in, and waiting for the others is not worth it.
    Partial,
    /// Too few parts can be had.
    TooThin,
    /// Too few parts have come in time.
    Late,
}

/// The state of one query.
#[derive(Debug)]
pub struct GatherState {
    shards: Vec<ShardState>,
    answered: usize,
    failed: usize,
    least: usize,
    /// Records of groups of shards that came merged.
    groups: Vec<Bytes>,
    /// Whether to wait for all parts until the end: another VM decides when to answer.
    patient: bool,
    /// Until when an answer is of full worth.
    answer_by: Instant,
    /// Until when there must be an answer of some kind.
    finish_by: Instant,
}

impl GatherState {
    /// A query over `shards` shards that needs the parts of `least` of them.
    pub fn new(shards: usize, least: usize, answer_by: Instant, finish_by: Instant) -> Self {
        Self {
            shards: (0..shards).map(|_number| ShardState::new()).collect(),
            answered: 0,
            failed: 0,
            least,
            groups: Vec::new(),
            patient: false,
            answer_by: answer_by.min(finish_by),
            finish_by,
        }
    }

    /// Waits for all parts until the end, whatever the target says.
    #[must_use]
    pub fn with_patience(mut self) -> Self {
        self.patient = true;
        self
    }

    /// All shards.
    pub fn shards(&self) -> &[ShardState] {
        &self.shards
    }

    /// One shard, for counting its attempts.
    pub fn shard_mut(&mut self, number: usize) -> &mut ShardState {
        &mut self.shards[number]
    }

    /// The first part of a shard is in; a second one changes nothing.
    pub fn take_part(&mut self, number: usize, signature: HeaderValue, records: Bytes) {
        let shard = &mut self.shards[number];
        if !shard.is_open() {
            return;
        }
        shard.standing = ShardStanding::Answered(ShardPart {
            signature,
            records: PartRecords::Own(records),
        });
        self.answered += 1;
    }

    /// Parts came in whose records are merged. They can't be taken apart: a part of these shards that came by itself
    /// gives way, so that no shard's records count twice. Parts of which one is in another group already are dropped.
    pub fn take_group(&mut self, parts: Vec<(usize, HeaderValue)>, records: Bytes) {
        let grouped = |shard: &ShardState| {
            matches!(
                &shard.standing,
                ShardStanding::Answered(ShardPart {
                    records: PartRecords::Group(_),
                    ..
                })
            )
        };
        let unusable = |(number, _): &(usize, HeaderValue)| {
            let shard = &self.shards[*number];
            grouped(shard) || shard.standing == ShardStanding::Failed
        };
        if parts.iter().any(unusable) {
            return;
        }
        let group = self.groups.len();
        self.groups.push(records);
        for (number, signature) in parts {
            let shard = &mut self.shards[number];
            if shard.is_open() {
                self.answered += 1;
            }
            shard.standing = ShardStanding::Answered(ShardPart {
                signature,
                records: PartRecords::Group(group),
            });
        }
    }

    /// A shard's part won't come.
    pub fn fail(&mut self, number: usize) {
        let shard = &mut self.shards[number];
        if !shard.is_open() {
            return;
        }
        shard.standing = ShardStanding::Failed;
        self.failed += 1;
    }

    /// Shards that can be left out without making the answer too thin.
    pub fn surplus(&self) -> usize {
        let postponed = self.shards.iter().filter(|shard| shard.postponed).count();
        (self.shards.len() - self.failed - postponed).saturating_sub(self.least)
    }

    /// Whether the answer would be too thin without postponed shards.
    pub fn lacks(&self) -> bool {
        let postponed = self.shards.iter().filter(|shard| shard.postponed).count();
        self.shards.len() - self.failed - postponed < self.least
    }

    /// Ends the postponement of a shard, if one is postponed.
    pub fn resume_one(&mut self) -> Option<usize> {
        let number = self.shards.iter().position(|shard| shard.postponed)?;
        self.shards[number].postponed = false;
        Some(number)
    }

    /// Parts that are in.
    pub fn answered(&self) -> usize {
        self.answered
    }

    /// Whether enough parts for an answer are in.
    pub fn is_enough(&self) -> bool {
        self.answered >= self.least
    }

    /// Shards whose upstream was lost under the query.
    pub fn lost(&self) -> usize {
        self.shards.iter().filter(|shard| shard.lost).count()
    }

    /// Until when a further part still adds to the worth of the answer; `None` once that has passed.
    pub fn useful_until(&self, now: Instant) -> Option<Instant> {
        (now < self.answer_by).then_some(self.answer_by)
    }

    /// Whether the query ends now. Its worth rises with the square of the coverage up to the target and is almost
    /// nothing after it: so it waits for all parts until then, and from then on only until there are enough.
    pub fn judge(&self, now: Instant) -> Option<GatherEnd> {
        let total = self.shards.len();
        if self.answered == total {
            return Some(GatherEnd::Whole);
        }
        let open = total - self.answered - self.failed;
        let postponed = self.shards.iter().filter(|shard| shard.postponed).count();
        if open == postponed && self.is_enough() {
            return Some(GatherEnd::Partial);
        }
        if self.answered + open < self.least {
            return Some(GatherEnd::TooThin);
        }
        if now >= self.answer_by && self.is_enough() && !self.patient {
            return Some(GatherEnd::Partial);
        }
        (now >= self.finish_by).then_some(GatherEnd::Late)
    }

    /// The next moment at which [`Self::judge`] may end the query without news.
    pub fn next_judgement(&self, now: Instant) -> Instant {
        if now < self.answer_by {
            self.answer_by
        } else {
            self.finish_by
        }
    }

    /// Signatures of the parts that are in.
    pub fn signatures(&self) -> impl Iterator<Item = &HeaderValue> {
        self.parts().map(|part| &part.signature)
    }

    /// Records of the parts that are in, merged in groups or not.
    pub fn records(&self) -> impl Iterator<Item = &[u8]> {
        let own = self.parts().filter_map(ShardPart::own_records);
        own.chain(self.groups.iter().map(Bytes::as_ref))
    }

    fn parts(&self) -> impl Iterator<Item = &ShardPart> {
        self.shards
            .iter()
            .filter_map(|shard| match &shard.standing {
                ShardStanding::Answered(part) => Some(part),
                ShardStanding::Open | ShardStanding::Failed => None,
            })
    }
}

#[cfg(test)]
#[path = "gather_tests.rs"]
mod tests;
