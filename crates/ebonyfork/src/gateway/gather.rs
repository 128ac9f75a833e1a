//! The state of one query over many shards: which parts are in, which can still come, and whether to answer now.

use std::time::Instant;

use crate::gateway::exchange::UpstreamAnswer;

/// What is known of one shard.
#[derive(Debug)]
pub enum ShardStanding {
    /// Its part may still come.
    Open,
    /// Its part is in.
    Answered(UpstreamAnswer),
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
            postponed: false,
        }
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
            answer_by: answer_by.min(finish_by),
            finish_by,
        }
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
    pub fn take_part(&mut self, number: usize, part: UpstreamAnswer) {
        let shard = &mut self.shards[number];
        if !shard.is_open() {
            return;
        }
        shard.standing = ShardStanding::Answered(part);
        self.answered += 1;
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

    /// Whether any attempt may have run.
    pub fn has_run(&self) -> bool {
        self.shards.iter().any(|shard| shard.ran > 0)
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
        if now >= self.answer_by && self.is_enough() {
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

    /// Takes the part out of a request to one service.
    pub fn take_single(&mut self) -> Option<UpstreamAnswer> {
        let shard = self.shards.first_mut()?;
        match std::mem::replace(&mut shard.standing, ShardStanding::Failed) {
            ShardStanding::Answered(part) => Some(part),
            ShardStanding::Open | ShardStanding::Failed => None,
        }
    }

    /// The parts that are in.
    pub fn parts(&self) -> impl Iterator<Item = &UpstreamAnswer> {
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
