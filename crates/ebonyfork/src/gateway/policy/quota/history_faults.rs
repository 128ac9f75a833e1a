//! Faults of the random histories.

use std::time::Duration;

use rand::RngExt;

use super::QUOTA_PARTS;
use super::history_fixture::{ModelVm, QuotaHistory, session};
use crate::gateway::policy::claim::StoreClaim;

/// Fault that is due at a later time.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// Kills a VM.
    Kill(usize),
    /// Kills all VMs at the same moment.
    KillAll,
    /// Stops all VMs as planned, so that they release their claims.
    StopAll,
    /// Restores the store from its older copy.
    Restore,
}

/// Faults that are due, and how often others happen by chance.
#[derive(Debug, Default)]
pub(super) struct Faults {
    due: Vec<(Duration, Fault)>,
    /// Factor of the chances, from 0 to 1. Phases with few faults show what faults at a chosen moment do; with many,
    /// most parts have no holder and few tokens are granted.
    rate: f64,
}

impl QuotaHistory {
    /// Returns the factor of the chances of faults.
    pub(super) fn fault_rate(&self) -> f64 {
        self.faults.as_ref().map_or(0.0, |faults| faults.rate)
    }

    fn schedule(&mut self, delay: Duration, fault: Fault) {
        if let Some(faults) = &mut self.faults {
            faults.due.push((self.now + delay, fault));
        }
    }

    /// Begins or ends a pause of the demand. Many holders are lost shortly after a pause, when full buckets have just
    /// been used up: then tokens that new holders have in addition count most.
    pub(super) fn change_demand(&mut self) {
        if self.now < self.demand.1 {
            return;
        }
        let asks = !self.demand.0;
        let length = if asks { 0.3..1.6 } else { 0.4..1.2 };
        let windows = self.rng.random_range(length);
        let is_calm = self.rng.random_bool(0.6);
        let rate = if is_calm { 0.02 } else { 1.0 };
        self.faults.iter_mut().for_each(|faults| faults.rate = rate);
        self.demand = (asks, self.now + self.terms.bound.window.mul_f64(windows));
        if !asks || self.rng.random_bool(0.5) {
            return;
        }
        let is_planned = self.rng.random_bool(0.3);
        let fault = if is_planned {
            Fault::StopAll
        } else {
            Fault::KillAll
        };
        let mut delay = self.random_ms(100..2_000).min(self.terms.bound.window / 5);
        self.schedule(delay, fault);
        while self.rng.random_bool(0.5) {
            delay += self.random_ms(300..2_000);
            self.schedule(delay, Fault::KillAll);
        }
        if self.rng.random_bool(0.2) {
            self.older_stored = self.stored.clone();
            delay += self.random_ms(100..5_000);
            self.schedule(delay, Fault::Restore);
        }
    }

    pub(super) fn inject_due_faults(&mut self) {
        let now = self.now;
        let Some(faults) = &mut self.faults else {
            return;
        };
        let due: Vec<_> = faults.due.extract_if(.., |(at, _)| *at <= now).collect();
        for (_at, fault) in due {
            match fault {
                Fault::Kill(number) => self.kill(number),
                Fault::KillAll => (0..self.vms.len()).for_each(|number| self.kill(number)),
                Fault::StopAll => {
                    for number in 0..self.vms.len() {
                        self.vms[number].leaving_until = now + self.random_ms(50..1_000);
                    }
                }
                Fault::Restore => self.restore(),
            }
        }
    }

    /// Kills a VM, which starts again after a moment.
    fn kill(&mut self, number: usize) {
        let is_quick = self.rng.random_bool(0.7);
        let started_at = self.now + self.random_ms(0..if is_quick { 20 } else { 1_500 });
        let vm = &self.vms[number];
        let (incarnation, clock_rate) = (vm.incarnation + 1, vm.clock_rate);
        let claim_terms = self.claim_terms();
        self.vms[number] = ModelVm::new(number, incarnation, started_at, clock_rate, claim_terms);
    }

    fn restore(&mut self) {
        self.stored = self.older_stored.clone();
        self.era.0 += 1;
    }

    pub(super) fn inject_faults(&mut self) {
        let now = self.now;
        let fault_rate = self.fault_rate();
        if self.rng.random_bool(0.002 * fault_rate) {
            self.store_down_until = now + self.random_ms(1_000..15_000);
        }
        if self.rng.random_bool(0.01) {
            self.older_stored = self.stored.clone();
        }
        if self.rng.random_bool(0.001 * fault_rate) {
            if self.rng.random_bool(0.5) {
                // The copy is from before the claims were written.
                self.older_stored = vec![None; QUOTA_PARTS];
            }
            self.restore();
        }
        let herd_kill = self.rng.random_bool(0.001 * fault_rate);
        for number in 0..self.vms.len() {
            self.disturb_vm(number, herd_kill);
        }
    }

    /// Disturbs a VM by chance. Holders are hit more often, because the other VMs hold nothing.
    fn disturb_vm(&mut self, number: usize, herd_kill: bool) {
        let now = self.now;
        let own_vm = session(number, 0).vm;
        let mut holders = self.vms[number].claims.iter().map(StoreClaim::holder);
        let holds = holders.any(|holder| holder.map(|holder| holder.vm) == Some(own_vm));
        let chance = self.fault_rate() * if holds { 0.004 } else { 0.0005 };
        if self.rng.random_bool(chance) {
            self.vms[number].paused_until = now + self.random_ms(100..40_000);
        }
        if self.rng.random_bool(chance) {
            self.vms[number].store_cut_until = now + self.random_ms(1_000..60_000);
        }
        if self.rng.random_bool(chance) {
            self.vms[number].read_cut_until = now + self.random_ms(100..10_000);
        }
        if self.rng.random_bool(chance / 2.0) {
            self.vms[number].leaving_until = now + self.random_ms(50..5_000);
        }
        if self.rng.random_bool(chance) || (herd_kill && self.rng.random_bool(0.8)) {
            self.kill(number);
            if self.rng.random_bool(0.4) {
                let delay = self.random_ms(200..4_000);
                self.schedule(delay, Fault::Kill(number));
            }
        }
    }
}
