//! Decides which of the available VMs take requests.
//!
//! A weak VM takes several times as long as a strong one for the processing of a query, all of which adds to the
//! response time. And a few VMs that each see much of the traffic know upstreams and callers better than hundreds that
//! see little of it. So only strong VMs take requests, as long as they have the capacity and are not busy.

use smallvec::SmallVec;

/// A VM counts as strong if it has at least this fraction of the cores of the largest VM.
const STRONG_RATIO: f32 = 0.5;
/// Fraction of the cores of all VMs that the strong VMs must have to take all requests regardless of their load.
const ALWAYS_SUFFICIENT_FRACTION: f32 = 0.3;
/// Fraction of the cores of all VMs that the strong VMs must have to take all requests while they are not busy.
const SUFFICIENT_FRACTION: f32 = 0.1;
/// Minimum number of strong VMs for [`SUFFICIENT_FRACTION`] to apply: if one fails there must be another to use.
const MIN_STRONG_VMS: usize = 2;
/// Mean load of the strong VMs, in per mille, from which the other VMs take requests too.
const BUSY_LOAD: f32 = 500.0;

/// Capacity and load of a VM.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct VmCapacity {
    /// CPU capacity in cores.
    pub cores: f32,
    /// Load in per mille of the capacity.
    pub load: u16,
}

/// Returns the number of cores that a VM must have to take requests; zero if all VMs take them.
pub fn min_serving_cores(vms: impl IntoIterator<Item = VmCapacity>) -> f32 {
    let vms: SmallVec<[VmCapacity; 32]> = vms.into_iter().collect();
    let max_cores = vms.iter().map(|vm| vm.cores).fold(0.0, f32::max);
    let min_cores = max_cores * STRONG_RATIO;
    let strong_vms = || vms.iter().filter(|vm| vm.cores >= min_cores);
    let strong_count = strong_vms().count();
    let all_cores: f32 = vms.iter().map(|vm| vm.cores).sum();
    let strong_fraction = strong_vms().map(|vm| vm.cores).sum::<f32>() / all_cores;
    let mean_load = strong_vms().map(|vm| f32::from(vm.load)).sum::<f32>() / strong_count as f32;
    let suffices_while_idle = strong_fraction >= SUFFICIENT_FRACTION
        && strong_count >= MIN_STRONG_VMS
        && mean_load < BUSY_LOAD;
    if suffices_while_idle || strong_fraction >= ALWAYS_SUFFICIENT_FRACTION {
        return min_cores;
    }
    0.0
}

#[cfg(test)]
#[path = "serving_tests.rs"]
mod tests;
