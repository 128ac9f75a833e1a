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
    /// let part = |name: &str, weight| WeightedService { service: UpstreamService::new(name), weight };
    /// let parts = [part("old", 3.0), part("new", 1.0)];
    /// let scheduler = WeightedRoundRobin::new();
    /// let route = RouteName::new("r");
    /// let picks = (0..8).filter_map(|_n| scheduler.pick(&route, &parts));
    /// assert_eq!(picks.filter(|service| service.as_str() == "new").count(), 2);
    /// ```
    pub fn pick(&self, route: &RouteName, parts: &[WeightedService]) -> Option<UpstreamService> {
        let sum: f64 = parts.iter().map(|part| part.weight).sum();
        if sum <= 0.0 {
            return None;
        }
        let mut credits = self.credits.borrow_mut();
        let credits = credits.entry(route.clone()).or_default();
        credits.retain(|(service, _credit)| parts.iter().any(|part| part.service == *service));
        let mut best: Option<usize> = None;
        for part in parts {
            let index = credits
                .iter()
                .position(|(service, _credit)| *service == part.service);
            let index = index.unwrap_or_else(|| {
                credits.push((part.service.clone(), 0.0));
                credits.len() - 1
            });
            credits[index].1 += part.weight / sum;
            if part.weight > 0.0 && best.is_none_or(|best| credits[index].1 > credits[best].1) {
                best = Some(index);
            }
        }
        let best = best?;
        credits[best].1 -= 1.0;
        Some(credits[best].0.clone())
    }
}
