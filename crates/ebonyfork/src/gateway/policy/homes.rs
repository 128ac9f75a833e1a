//! In which regions the requests of a route may be served, and which VMs callers of a host may be told of.
//!
//! A caller may reach any VM, so what the VM does with the request counts: it sends it only to upstreams of a home region.
//! Which VMs callers are told of has to do with bytes that cross regions: the caller's own region, or a home.

use std::fmt;

use smallvec::SmallVec;

use crate::gateway::ident::PlaceName;

/// The regions in which a route's requests may be served.
///
/// # Examples
///
/// ```
/// use ebonyfork::gateway::{HomeRegions, PlaceName};
///
/// let north = PlaceName::new("north");
/// let homes = HomeRegions::new([north.clone()]);
/// assert!(homes.allows(Some(&north)));
/// assert!(!homes.allows(Some(&PlaceName::new("south"))));
/// assert!(HomeRegions::default().allows(None));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HomeRegions {
    /// Empty where requests may be served anywhere.
    regions: SmallVec<[PlaceName; 2]>,
}

impl HomeRegions {
    /// Only these regions; anywhere if there are none.
    pub fn new(regions: impl IntoIterator<Item = PlaceName>) -> Self {
        Self {
            regions: regions.into_iter().collect(),
        }
    }

    /// The regions; empty where requests may be served anywhere.
    pub fn regions(&self) -> &[PlaceName] {
        &self.regions
    }

    /// Whether some regions are excluded.
    pub fn is_limited(&self) -> bool {
        !self.regions.is_empty()
    }

    /// Whether a request may be served in a region. A place whose region is not known is at home nowhere.
    pub fn allows(&self, region: Option<&PlaceName>) -> bool {
        !self.is_limited() || region.is_some_and(|region| self.regions.contains(region))
    }
}

impl fmt::Display for HomeRegions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.is_limited() {
            return f.write_str("anywhere");
        }
        for (number, region) in self.regions.iter().enumerate() {
            let separator = if number == 0 { "" } else { "," };
            write!(f, "{separator}{region}")?;
        }
        Ok(())
    }
}

/// The regions whose VMs callers of one host may be told of, beside their own region.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostRegions {
    /// `None` where no route of the host is limited.
    limits: Option<RegionLimits>,
}

/// Regions that the limited routes of a host name.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RegionLimits {
    /// At home on every limited route.
    shared: SmallVec<[PlaceName; 2]>,
    /// At home on one of them at least.
    any: SmallVec<[PlaceName; 2]>,
}

impl HostRegions {
    /// What the routes of a host allow together.
    pub fn new<'a>(routes: impl IntoIterator<Item = &'a HomeRegions>) -> Self {
        let mut limits: Option<RegionLimits> = None;
        for homes in routes {
            if !homes.is_limited() {
                continue;
            }
            let Some(limits) = &mut limits else {
                limits = Some(RegionLimits {
                    shared: homes.regions.clone(),
                    any: homes.regions.clone(),
                });
                continue;
            };
            limits
                .shared
                .retain(|region| homes.regions.contains(region));
            for region in &homes.regions {
                if !limits.any.contains(region) {
                    limits.any.push(region.clone());
                }
            }
        }
        Self { limits }
    }

    /// Whether some route of the host is limited.
    pub fn is_limited(&self) -> bool {
        self.limits.is_some()
    }

    /// How well a VM's region suits a caller: the least is the best, `None` if the caller may not be told of the VM as
    /// long as there is another one.
    pub fn rank(&self, region: &PlaceName, callers: &PlaceName) -> Option<usize> {
        let Some(limits) = &self.limits else {
            return Some(0);
        };
        if region == callers {
            return Some(0);
        }
        if limits.shared.contains(region) {
            return Some(1);
        }
        limits.any.contains(region).then_some(2)
    }
}

#[cfg(test)]
#[path = "homes_tests.rs"]
mod tests;
