//! Selects the shards of a query to postpone because their parts are unlikely to arrive in time.
//!
//! This handles an overload of some shards whose upstreams are slow or unavailable while the others have capacity. A
//! late part adds less to its query than its processing costs the queries behind it. The least likely shards are
//! postponed first, which takes load off the most loaded upstreams.

use smallvec::SmallVec;

/// A shard may be postponed if the probability that its part arrives in time is below this value.
const MIN_LIKELIHOOD: f64 = 0.3;

/// Likelihood that a shard's part arrives while it is useful.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShardLikelihood {
    /// Index of the shard in the query.
    pub shard: usize,
    /// Probability, from 0 to 1, that the part arrives while it is useful.
    pub likelihood: f64,
}

/// Returns whether a part is unlikely enough to arrive in time for its shard to be postponed.
pub fn is_unlikely(likelihood: f64) -> bool {
    likelihood < MIN_LIKELIHOOD
}

/// Returns the shards to postpone: at most `max_postponed`, the number that the answer can do without.
pub fn postponed_shards(
    shards: impl IntoIterator<Item = ShardLikelihood>,
    max_postponed: usize,
) -> SmallVec<[usize; 8]> {
    let is_postponable = |shard: &ShardLikelihood| is_unlikely(shard.likelihood);
    let mut shards: SmallVec<[ShardLikelihood; 8]> =
        shards.into_iter().filter(is_postponable).collect();
    shards.sort_unstable_by(|a, b| a.likelihood.total_cmp(&b.likelihood));
    shards.truncate(max_postponed);
    shards.into_iter().map(|shard| shard.shard).collect()
}

#[cfg(test)]
#[path = "postpone_tests.rs"]
mod tests;
