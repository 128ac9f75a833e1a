//! Determines in which regions the requests of a route may be served, and which VMs callers of a host may be referred
//! to.
//!
//! Any VM may receive a request, so the limit is enforced by the VM that handles it: it sends the request only to
//! upstreams in the route's home regions. The choice of VMs for callers only reduces traffic between regions: VMs in
//! the caller's own region or in a home region are offered.

use std::fmt;

use smallvec::SmallVec;

use crate::gateway::ident::PlaceName;

/// Regions in which a route's requests may be served (its home regions).
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
    /// Whether requests may only be served in the home regions.
    is_limited: bool,
    /// Home regions; empty if requests may be served in any region, or if two limits exclude each other.
    regions: SmallVec<[PlaceName; 2]>,
}

impl HomeRegions {
    /// Creates the home regions of a route. If `regions` is empty, requests may be served in any region.
    pub fn new(regions: impl IntoIterator<Item = PlaceName>) -> Self {
        let regions: SmallVec<[PlaceName; 2]> = regions.into_iter().collect();
        Self {
            is_limited: !regions.is_empty(),
            regions,
        }
    }

    /// Returns the regions that both limits allow.
    ///
    /// # Examples
    ///
    /// ```
    /// use ebonyfork::gateway::{HomeRegions, PlaceName};
    ///
    /// let north = PlaceName::new("north");
    /// let limited = HomeRegions::new([north.clone()]);
    /// assert_eq!(limited.and(&HomeRegions::default()), limited);
    /// let nowhere = limited.and(&HomeRegions::new([PlaceName::new("south")]));
    /// assert!(!nowhere.allows(Some(&north)));
    /// ```
    #[must_use]
    pub fn and(&self, other: &Self) -> Self {
        if !other.is_limited {
            return self.clone();
        }
        if !self.is_limited {
            return other.clone();
        }
        let is_in_both = |region: &&PlaceName| other.regions.contains(region);
        Self {
            is_limited: true,
            regions: self.regions.iter().filter(is_in_both).cloned().collect(),
        }
    }

    /// Returns the home regions; empty if requests may be served in any region.
    pub fn regions(&self) -> &[PlaceName] {
        &self.regions
    }

    /// Returns whether requests are limited to certain regions.
    pub fn is_limited(&self) -> bool {
        self.is_limited
    }

    /// Returns whether a request may be served in a region. If any limit applies, an unknown region is not allowed.
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

/// Regions whose VMs the callers of one host may be referred to, besides the caller's own region.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostRegions {
    /// Home regions of the host's limited routes; `None` if no route of the host is limited.
    limits: Option<RegionLimits>,
}

/// Home regions of the limited routes of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RegionLimits {
    /// Regions that every limited route allows.
    regions_of_all_routes: SmallVec<[PlaceName; 2]>,
    /// Regions that at least one limited route allows.
    regions_of_some_route: SmallVec<[PlaceName; 2]>,
}

impl HostRegions {
    /// Combines the home regions of all routes of a host.
    pub fn new<'a>(routes: impl IntoIterator<Item = &'a HomeRegions>) -> Self {
        let mut limits: Option<RegionLimits> = None;
        for homes in routes {
            if !homes.is_limited() {
                continue;
            }
            let Some(limits) = &mut limits else {
                limits = Some(RegionLimits {
                    regions_of_all_routes: homes.regions.clone(),
                    regions_of_some_route: homes.regions.clone(),
                });
                continue;
            };
            limits
                .regions_of_all_routes
                .retain(|region| homes.regions.contains(region));
            for region in &homes.regions {
                if !limits.regions_of_some_route.contains(region) {
                    limits.regions_of_some_route.push(region.clone());
                }
            }
        }
        Self { limits }
    }

    /// Returns whether any route of the host is limited.
    pub fn is_limited(&self) -> bool {
        self.limits.is_some()
    }

    /// Returns how suitable a VM in `region` is for a caller in `caller_region`: lower is better. `None` means that the
    /// caller is only referred to the VM if there is no other.
    pub fn rank(&self, region: &PlaceName, caller_region: &PlaceName) -> Option<usize> {
        let Some(limits) = &self.limits else {
            return Some(0);
        };
        if region == caller_region {
            return Some(0);
        }
        if limits.regions_of_all_routes.contains(region) {
            return Some(1);
        }
        limits.regions_of_some_route.contains(region).then_some(2)
    }
}

#[cfg(test)]
#[path = "homes_tests.rs"]
mod tests;
