//! Maintains the claims that decide which VM sends to the cold upstreams of an availability zone. The rules are in
//! [`crate::gateway::policy::cold`].

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::format_compact;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::gateway::claim_write::{AppliedWrite, ClaimTarget, write_claim};
use crate::gateway::clock::now;
use crate::gateway::core::{GatewayCore, ServiceState};
use crate::gateway::ident::PlaceName;
use crate::gateway::policy::claim::StoreClaim;
use crate::gateway::policy::cold::COLD_CLAIM;
use crate::gateway::upstream::Upstream;
use crate::gateway::vms::rendezvous;
use crate::ident::{SessionId, VmAddress};
use crate::store::{StoreEra, StorePort};

/// Time between two checks of the claims.
const CLAIM_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Claims on all availability zones, as known to this process.
#[derive(Debug)]
pub struct ColdClaims {
    own_session: SessionId,
    /// Era of the store, and the time at which this process learnt of it.
    era: Cell<(StoreEra, Duration)>,
    zones: RefCell<FxHashMap<PlaceName, StoreClaim>>,
}

impl ColdClaims {
    /// Creates an empty set of claims; `own` is the session of this process.
    pub fn new(own_session: SessionId) -> Self {
        Self {
            own_session,
            era: Cell::default(),
            zones: RefCell::default(),
        }
    }

    /// Calls a function with the claim on a zone.
    pub fn with_zone<T>(
        &self,
        zone: &PlaceName,
        use_claim: impl FnOnce(&mut StoreClaim) -> T,
    ) -> T {
        let mut zones = self.zones.borrow_mut();
        let claim = zones.entry(zone.clone()).or_insert_with(|| {
            let mut claim = StoreClaim::new(self.own_session, COLD_CLAIM);
            let (era, since) = self.era.get();
            claim.enter_era(era, since);
            claim
        });
        use_claim(claim)
    }

    /// Records that the store has entered an era. Claims of earlier eras become void.
    pub fn enter_era(&self, era: StoreEra, now: Duration) {
        let (known_era, _since) = self.era.get();
        if era <= known_era {
            return;
        }
        self.era.set((era, now));
        for claim in self.zones.borrow_mut().values_mut() {
            claim.enter_era(era, now);
        }
    }

    /// Returns whether this process may send to cold upstreams of a zone.
    pub fn may_send(&self, zone: &PlaceName, now: Duration) -> bool {
        let zones = self.zones.borrow();
        zones.get(zone).is_some_and(|claim| claim.is_usable(now))
    }

    /// Returns whether any process may be sending to cold upstreams of a zone.
    pub fn is_held(&self, zone: &PlaceName, now: Duration) -> bool {
        let zones = self.zones.borrow();
        zones.get(zone).is_some_and(|claim| claim.is_held(now))
    }
}

impl GatewayCore {
    /// Returns how many requests per second this VM may send to an upstream while that is cold: 0 if it does not hold
    /// the claim on the zone, `None` if the upstream is warm, or if no bound or rate is stated.
    fn cold_rate_limit(&self, upstream: &Upstream, time: Duration) -> Option<usize> {
        let cold_bound = self.settings.cold_bound?;
        if !upstream.is_cold(now()) {
            return None;
        }
        let entry = upstream.entry();
        let service_terms = self.table()?.service(&entry.service)?;
        let limit = cold_bound.pace(service_terms.cold_rate)?;
        let has_claim = self.cold_claims.may_send(&entry.zone, time);
        Some(if has_claim { limit } else { 0 })
    }

    /// Returns whether the limit for cold upstreams allows another request to an upstream.
    pub fn allows_cold_send(&self, upstream: &Upstream) -> bool {
        let time = self.running_time();
        let limit = self.cold_rate_limit(upstream, time);
        limit.is_none_or(|limit| upstream.cold_sends.borrow().remaining(limit, time) > 0)
    }

    /// Counts a request that is about to be sent to an upstream. Returns false if the limit for cold upstreams forbids
    /// sending it.
    pub fn reserve_cold_send(&self, upstream: &Upstream) -> bool {
        let time = self.running_time();
        let limit = self.cold_rate_limit(upstream, time);
        limit.is_none_or(|limit| upstream.cold_sends.borrow_mut().try_record(limit, time))
    }

    /// Treats the upstreams of a zone as cold for their usual warm-up time, because they may have become cold
    /// unnoticed.
    pub fn assume_cold(&self, zone: &PlaceName) {
        let Some(table) = self.table() else {
            return;
        };
        let time = now();
        self.registry.for_each(|upstream| {
            let entry = upstream.entry();
            if entry.zone != *zone {
                return;
            }
            if let Some(service_terms) = table.service(&entry.service) {
                upstream.assume_cold(time + service_terms.cold_time);
            }
        });
    }

    /// Ends the evacuation of a zone. Its upstreams may have become cold in the meantime.
    pub fn end_evacuation(&self, zone: &PlaceName) {
        // Must come first, so that no request is sent to the upstreams as if they were warm.
        self.assume_cold(zone);
        self.registry.end_evacuation(zone);
    }

    /// Removes entries and evacuations that the store has lost and nobody has written again in time.
    pub fn expire_missing(&self, time: Instant) {
        self.registry.expire(time);
        for zone in self.registry.lapsed_evacuations(time) {
            self.end_evacuation(&zone);
        }
    }

    /// Treats upstreams as cold after the first read of the store, in zones where a process holds a claim. Other
    /// upstreams there may have become cold while no process was running on this VM, without having stated it yet.
    pub fn assume_cold_where_claimed(&self) {
        let time = self.running_time();
        for zone in self.settings.place.zones.keys() {
            if self.cold_claims.is_held(zone, time) {
                self.assume_cold(zone);
            }
        }
    }

    /// Returns the zones whose cold upstreams need a sender now or soon. An evacuated zone is included because its
    /// upstreams are usually cold when the evacuation ends.
    fn cold_zones(&self) -> FxHashSet<PlaceName> {
        let Some((cold_bound, table)) = self.settings.cold_bound.zip(self.table()) else {
            return FxHashSet::default();
        };
        let time = now();
        let zones = RefCell::new(FxHashSet::default());
        self.registry.for_each(|upstream| {
            if !upstream.is_cold(time) && !upstream.is_evacuated() {
                return;
            }
            let entry = upstream.entry();
            let service_terms = table.service(&entry.service);
            if service_terms
                .is_some_and(|service_terms| cold_bound.pace(service_terms.cold_rate).is_some())
            {
                zones.borrow_mut().insert(entry.zone.clone());
            }
        });
        zones.into_inner()
    }
}

/// Acquires, renews and releases claims until the future is dropped.
pub async fn run_claims(core: Rc<GatewayCore>, port: impl StorePort) {
    if core.settings.cold_bound.is_none() {
        return;
    }
    loop {
        tokio::time::sleep(CLAIM_CHECK_PERIOD).await;
        let is_serving = core.state() == ServiceState::Serving;
        let cold_zones = core.cold_zones();
        let relevant_zones: FxHashSet<PlaceName> = {
            let zones = core.cold_claims.zones.borrow();
            zones
                .keys()
                .cloned()
                .chain(cold_zones.iter().cloned())
                .collect()
        };
        for zone in relevant_zones {
            let is_wanted = is_serving && cold_zones.contains(&zone) && is_sender(&core, &zone);
            let time = core.running_time();
            let write = core
                .cold_claims
                .with_zone(&zone, |claim| claim.next_write(is_wanted, time));
            if let Some(write) = write {
                let target = ClaimTarget {
                    key: (core.dialect.claim_key)(&zone),
                    label: format_compact!("cold zone {zone}"),
                };
                let record = {
                    let core = Rc::clone(&core);
                    move |applied: AppliedWrite| {
                        core.cold_claims.with_zone(&zone, |claim| {
                            claim.record_write(
                                applied.write,
                                applied.revision,
                                applied.begun_at,
                                applied.answered_at,
                            );
                        });
                    }
                };
                let write = write_claim(Rc::clone(&core), port.clone(), target, write, record);
                tokio::task::spawn_local(write);
            }
        }
    }
}

/// Returns whether this VM should send to the cold upstreams of a zone: it is the one chosen among the VMs that serve
/// the zone.
fn is_sender(core: &GatewayCore, zone: &PlaceName) -> bool {
    let vms = core.vms.serving_near(zone, &core.settings.place);
    rendezvous(&vms, zone) == Some(VmAddress(core.settings.place.address))
}
