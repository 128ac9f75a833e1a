use googletest::prelude::*;

use super::*;

fn postpone(likelihoods: &[f64], max_postponed: usize) -> Vec<usize> {
    let shards = likelihoods.iter().enumerate();
    let shards = shards.map(|(shard, likelihood)| ShardLikelihood {
        shard,
        likelihood: *likelihood,
    });
    postponed_shards(shards, max_postponed).to_vec()
}

#[gtest]
fn the_least_likely_shards_are_postponed_if_the_others_suffice() {
    let likelihoods = [0.9, 0.1, 0.25, 0.0, 0.31];
    expect_that!(postpone(&likelihoods, 4), eq(&vec![3, 1, 2]));
    expect_that!(postpone(&likelihoods, 2), eq(&vec![3, 1]));
    expect_that!(postpone(&likelihoods, 0), eq(&Vec::<usize>::new()));
}
