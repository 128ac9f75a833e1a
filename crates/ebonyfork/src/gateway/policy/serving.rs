//! Which VMs take requests, of those that could.
//!
//! The work of a query takes a weak VM several times as long as a strong one, and all of it comes before the answer. And few
//! VMs that see much of the traffic know upstreams and callers better than hundreds that see little each. So the strong
//! ones serve alone, as long as they have the capacity and their answers do not lag.

use smallvec::SmallVec;

/// Processor of a VM, over that of the strongest, from which it counts as strong.
const STRONG_SHARE: f32 = 0.5;
/// Share of the processor of all VMs with which the strong ones take all the work in any case.
const CAPACITY_SHARE: f32 = 0.3;
/// Share with which they take it while they are not busy.
const CALM_SHARE: f32 = 0.1;
/// Strong VMs without which the others serve as well: one that fails must leave another to go to.
const CALM_LEAST: usize = 2;
/// Mean load of the strong VMs, in per mille, from which the weak ones take work as well.
const BUSY_LOAD: f32 = 500.0;

/// What a VM can take.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct VmCapacity {
    /// Processor that it has, in whole cores.
    pub cores: f32,
    /// How busy it is, in per mille of what it can take.
    pub load: u16,
}

/// Decides how many cores a VM must have to take requests; zero if all do.
pub fn least_cores(vms: impl IntoIterator<Item = VmCapacity>) -> f32 {
    let vms: SmallVec<[VmCapacity; 32]> = vms.into_iter().collect();
    let most = vms.iter().map(|vm| vm.cores).fold(0.0, f32::max);
    let least = most * STRONG_SHARE;
    let strong = || vms.iter().filter(|vm| vm.cores >= least);
    let count = strong().count();
    let all_cores: f32 = vms.iter().map(|vm| vm.cores).sum();
    let share = strong().map(|vm| vm.cores).sum::<f32>() / all_cores;
    let load = strong().map(|vm| f32::from(vm.load)).sum::<f32>() / count as f32;
    let calm = share >= CALM_SHARE && count >= CALM_LEAST && load < BUSY_LOAD;
    if calm || share >= CAPACITY_SHARE {
        return least;
    }
    0.0
}

#[cfg(test)]
#[path = "serving_tests.rs"]
mod tests;
