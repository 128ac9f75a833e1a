use googletest::prelude::*;

use super::*;

fn postponed(likelihoods: &[f64], spare: usize) -> Vec<usize> {
    let shards = likelihoods.iter().enumerate();
    let shards = shards.map(|(shard, likelihood)| ShardLikelihood {
        shard,
        likelihood: *likelihood,
    });
    postponed_shards(shards, spare).to_vec()
}

#[gtest]
fn the_least_likely_shards_are_postponed_if_the_others_suffice() {
    let likelihoods = [0.9, 0.1, 0.25, 0.0, 0.31];
    expect_that!(postponed(&likelihoods, 4), eq(&vec![3, 1, 2]));
    expect_that!(postponed(&likelihoods, 2), eq(&vec![3, 1]));
    expect_that!(postponed(&likelihoods, 0), eq(&Vec::<usize>::new()));
}
