//! Distributes a route's requests among weighted services, evenly over short runs of requests.

use std::cell::RefCell;

use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::gateway::ident::{RouteName, UpstreamService};
use crate::gateway::route::WeightedService;

/// Current credit of each service of a route, in requests.
type CreditList = SmallVec<[(UpstreamService, f64); 2]>;

/// Smooth weighted round robin: each request credits every service with its fraction of the weights and goes to the
/// service with the highest credit.
#[derive(Debug, Default)]
pub struct WeightedRoundRobin {
    credits: RefCell<FxHashMap<RouteName, CreditList>>,
}

impl WeightedRoundRobin {
    /// Creates a scheduler without credits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Picks the service for the next request of a route; `None` if no service has a positive weight.
    ///
    /// # Examples
    ///
    /// ```
    /// use ebonyfork::gateway::{RouteName, UpstreamService, WeightedRoundRobin, WeightedService};
    ///
    /// let weighted_service = |name: &str, weight| WeightedService { service: UpstreamService::new(name), weight };
    /// let services = [weighted_service("old", 3.0), weighted_service("new", 1.0)];
    /// let scheduler = WeightedRoundRobin::new();
    /// let route = RouteName::new("r");
    /// let picks = (0..8).filter_map(|_n| scheduler.pick(&route, &services));
    /// assert_eq!(picks.filter(|service| service.as_str() == "new").count(), 2);
    /// ```
    pub fn pick(&self, route: &RouteName, services: &[WeightedService]) -> Option<UpstreamService> {
        let weight_sum: f64 = services.iter().map(|candidate| candidate.weight).sum();
        if weight_sum <= 0.0 {
            return None;
        }
        let mut credits = self.credits.borrow_mut();
        let credits = credits.entry(route.clone()).or_default();
        credits.retain(|(service, _credit)| {
            services
                .iter()
                .any(|candidate| candidate.service == *service)
        });
        let mut best_index: Option<usize> = None;
        for candidate in services {
            let index = credits
                .iter()
                .position(|(service, _credit)| *service == candidate.service);
            let index = index.unwrap_or_else(|| {
                credits.push((candidate.service.clone(), 0.0));
                credits.len() - 1
            });
            credits[index].1 += candidate.weight / weight_sum;
            if candidate.weight > 0.0
                && best_index.is_none_or(|best_index| credits[index].1 > credits[best_index].1)
            {
                best_index = Some(index);
            }
        }
        let best_index = best_index?;
        credits[best_index].1 -= 1.0;
        Some(credits[best_index].0.clone())
    }
}
