//! Distributes a route's requests among weighted services, evenly over short runs of requests.

use std::cell::RefCell;

use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::gateway::ident::{RouteName, UpstreamService};
use crate::gateway::route::WeightedService;

/// Current credit of each service of a route, in requests.
type OwedList = SmallVec<[(UpstreamService, f64); 2]>;

/// Smooth weighted round robin: each request credits every service with its fraction of the weights and goes to the
/// service with the highest credit.
#[derive(Debug, Default)]
pub struct WeightShares {
    owed: RefCell<FxHashMap<RouteName, OwedList>>,
}

impl WeightShares {
    /// Creates a scheduler without credits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Picks the service for the next request of a route; `None` if no service has a positive weight.
    ///
    /// # Examples
    ///
    /// ```
    /// use ebonyfork::gateway::{RouteName, UpstreamService, WeightShares, WeightedService};
    ///
    /// let part = |name: &str, weight| WeightedService { service: UpstreamService::new(name), weight };
    /// let parts = [part("old", 3.0), part("new", 1.0)];
    /// let shares = WeightShares::new();
    /// let route = RouteName::new("r");
    /// let picks = (0..8).filter_map(|_n| shares.pick(&route, &parts));
    /// assert_eq!(picks.filter(|service| service.as_str() == "new").count(), 2);
    /// ```
    pub fn pick(&self, route: &RouteName, parts: &[WeightedService]) -> Option<UpstreamService> {
        let sum: f64 = parts.iter().map(|part| part.weight).sum();
        if sum <= 0.0 {
            return None;
        }
        let mut owed = self.owed.borrow_mut();
        let owed = owed.entry(route.clone()).or_default();
        owed.retain(|(service, _due)| parts.iter().any(|part| part.service == *service));
        let mut best: Option<usize> = None;
        for part in parts {
            let place = owed
                .iter()
                .position(|(service, _due)| *service == part.service);
            let place = place.unwrap_or_else(|| {
                owed.push((part.service.clone(), 0.0));
                owed.len() - 1
            });
            owed[place].1 += part.weight / sum;
            if part.weight > 0.0 && best.is_none_or(|best| owed[place].1 > owed[best].1) {
                best = Some(place);
            }
        }
        let best = best?;
        owed[best].1 -= 1.0;
        Some(owed[best].0.clone())
    }
}
