//! Divides the repeats to a service among organisations while its bucket is running low.
//!
//! This handles an organisation with many requests whose repeats empty the bucket of a failing service, so that the
//! requests of the others fail as well. While less than half of the bucket is left, an organisation that has spent more
//! than its share of the repeats in the last window is denied, and the rest is left to the others. One other
//! organisation is always assumed, so that the first one to need repeats doesn't take all of them.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::gateway::policy::fairness::{FlowKey, organisation_weight};

/// Largest number of organisations whose repeats are counted for one service. Others count as having spent none.
const MAX_SPENDERS: usize = 1_024;
/// Smallest weight that is assumed for all other organisations together: that of one without a priority.
const MIN_OTHER_WEIGHT: u64 = 1;

/// Organisation on whose behalf a repeat is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RepeatSpender {
    flow: FlowKey,
    weight: u64,
}

impl RepeatSpender {
    /// Creates the spender of an organisation with a priority.
    pub fn new(flow: FlowKey, priority: Option<u8>) -> Self {
        Self {
            flow,
            weight: organisation_weight(priority),
        }
    }
}

/// Repeats that one organisation has spent.
#[derive(Debug, Clone, Copy)]
struct SpentRepeats {
    weight: u64,
    /// Repeats in the current period, which is as long as the window.
    current: u32,
    /// Repeats in the period before it.
    previous: u32,
}

/// Repeats to one service that each organisation has spent in the last window.
#[derive(Debug, Clone, Default)]
pub(super) struct RepeatShares {
    spenders: FxHashMap<FlowKey, SpentRepeats>,
    /// Start of the current period.
    period_start: Duration,
}

impl RepeatShares {
    /// Begins a new period if the current one has ended, and forgets organisations that have spent nothing in two.
    pub fn update(&mut self, window: Duration, now: Duration) {
        let elapsed = now.saturating_sub(self.period_start);
        if elapsed < window {
            return;
        }
        let is_next_period = elapsed < window * 2;
        self.period_start = if is_next_period {
            self.period_start + window
        } else {
            now
        };
        for spent in self.spenders.values_mut() {
            spent.previous = if is_next_period { spent.current } else { 0 };
            spent.current = 0;
        }
        self.spenders.retain(|_flow, spent| spent.previous > 0);
    }

    /// Counts a repeat.
    pub fn record(&mut self, spender: RepeatSpender) {
        let is_known = self.spenders.contains_key(&spender.flow);
        if !is_known && self.spenders.len() >= MAX_SPENDERS {
            return;
        }
        let spent = self.spenders.entry(spender.flow).or_insert(SpentRepeats {
            weight: spender.weight,
            current: 0,
            previous: 0,
        });
        spent.weight = spender.weight;
        spent.current += 1;
    }

    /// Returns whether an organisation has spent more than its share of the repeats in the last window. The window
    /// consists of the current period and the remaining part of the previous one.
    pub fn is_over_share(&self, spender: RepeatSpender, window: Duration, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.period_start);
        let previous_fraction = 1.0 - elapsed.div_duration_f64(window).min(1.0);
        let in_window = |spent: &SpentRepeats| {
            f64::from(spent.current) + f64::from(spent.previous) * previous_fraction
        };
        let Some(own_spent) = self.spenders.get(&spender.flow) else {
            return false;
        };
        let total_spent: f64 = self.spenders.values().map(in_window).sum();
        let total_weight: u64 = self.spenders.values().map(|spent| spent.weight).sum();
        let other_weight = (total_weight - own_spent.weight).max(MIN_OTHER_WEIGHT);
        let own_fraction = spender.weight as f64 / (spender.weight + other_weight) as f64;
        // Rounded up, since the shares of many organisations are fractions of a repeat.
        in_window(own_spent) > (total_spent * own_fraction).ceil()
    }

    /// Returns the number of organisations whose repeats are counted.
    #[cfg(test)]
    pub fn spender_count(&self) -> usize {
        self.spenders.len()
    }
}

#[cfg(test)]
#[path = "share_tests.rs"]
mod tests;
