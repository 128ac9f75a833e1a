//! Which shards of a query are left out at first, because their parts are unlikely to come in time.
//!
//! Answers it: overload of some shards, whose upstreams are slow or away, while the others have room. What such a part would
//! add is less than what its work takes from the queries behind it. The least likely go first, so that the load falls where
//! it is highest.

use smallvec::SmallVec;

/// Likelihood of a part in time below which its shard is left out.
const LEAST_LIKELIHOOD: f64 = 0.3;

/// How likely a shard's part comes while it is of use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShardLikelihood {
    /// The shard.
    pub shard: usize,
    /// From 0 to 1.
    pub likelihood: f64,
}

/// Whether a part is so unlikely to come in time that its shard may be postponed.
pub fn is_hopeless(likelihood: f64) -> bool {
    likelihood < LEAST_LIKELIHOOD
}

/// Chooses the shards to postpone: at most `surplus`, without which there is still an answer.
pub fn postponed_shards(
    shards: impl IntoIterator<Item = ShardLikelihood>,
    surplus: usize,
) -> SmallVec<[usize; 8]> {
    let hopeless = |shard: &ShardLikelihood| is_hopeless(shard.likelihood);
    let mut shards: SmallVec<[ShardLikelihood; 8]> = shards.into_iter().filter(hopeless).collect();
    shards.sort_unstable_by(|a, b| a.likelihood.total_cmp(&b.likelihood));
    shards.truncate(surplus);
    shards.into_iter().map(|shard| shard.shard).collect()
}

#[cfg(test)]
#[path = "postpone_tests.rs"]
mod tests;
