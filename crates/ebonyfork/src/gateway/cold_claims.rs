//! Carries out which VM sends to the cold upstreams of an availability zone ([`crate::gateway::policy::cold`] decides).

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::format_compact;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::gateway::clock::now;
use crate::gateway::core::{GatewayCore, ServiceState};
use crate::gateway::ident::PlaceName;
use crate::gateway::policy::cold::{ClaimWrite, ZoneClaim};
use crate::gateway::upstream::Upstream;
use crate::gateway::vms::rendezvous;
use crate::ident::{SessionId, VmAddress};
use crate::store::{StoreEra, StoreError, StorePort, StoreWrite, answer_within};

/// Time between two looks at what is claimed.
const LOOK_PERIOD: Duration = Duration::from_millis(100);
/// Longest wait for the store's answer.
const ANSWER_TIME: Duration = Duration::from_secs(1);

/// The claims on all availability zones as this process knows them.
#[derive(Debug)]
pub struct ColdClaims {
    own: SessionId,
    /// The store's era, and when this process learnt of it.
    era: Cell<(StoreEra, Duration)>,
    zones: RefCell<FxHashMap<PlaceName, ZoneClaim>>,
}

impl ColdClaims {
    /// Knows of no claim; `own` is this process.
    pub fn new(own: SessionId) -> Self {
        Self {
            own,
            era: Cell::default(),
            zones: RefCell::default(),
        }
    }

    /// Uses the claim on a zone.
    pub fn with_zone<T>(&self, zone: &PlaceName, use_claim: impl FnOnce(&mut ZoneClaim) -> T) -> T {
        let mut zones = self.zones.borrow_mut();
        let claim = zones.entry(zone.clone()).or_insert_with(|| {
            let mut claim = ZoneClaim::new(self.own);
            let (era, since) = self.era.get();
            claim.enter_era(era, since);
            claim
        });
        use_claim(claim)
    }

    /// Takes in that the store is in an era: what was claimed in the one before is void.
    pub fn enter_era(&self, era: StoreEra, now: Duration) {
        let (known, _since) = self.era.get();
        if era <= known {
            return;
        }
        self.era.set((era, now));
        for claim in self.zones.borrow_mut().values_mut() {
            claim.enter_era(era, now);
        }
    }

    /// Whether this process may send to cold upstreams of a zone.
    pub fn may_send(&self, zone: &PlaceName, now: Duration) -> bool {
        let zones = self.zones.borrow();
        zones.get(zone).is_some_and(|claim| claim.may_send(now))
    }

    /// Whether some process may be sending to cold upstreams of a zone.
    pub fn is_held(&self, zone: &PlaceName, now: Duration) -> bool {
        let zones = self.zones.borrow();
        zones.get(zone).is_some_and(|claim| claim.is_held(now))
    }
}

impl GatewayCore {
    /// Requests that an upstream may get from this VM in a second while it is cold, none without the claim on its zone;
    /// `None` if it is warm or states no rate.
    fn cold_pace(&self, upstream: &Upstream, time: Duration) -> Option<usize> {
        let bound = self.settings.cold_bound?;
        if !upstream.is_cold(now()) {
            return None;
        }
        let entry = upstream.entry();
        let terms = self.table()?.service(&entry.service)?;
        let pace = bound.pace(terms.cold_rate)?;
        let claimed = self.cold_claims.may_send(&entry.zone, time);
        Some(if claimed { pace } else { 0 })
    }

    /// Whether a request may be sent to an upstream for all that is known of its being cold.
    pub fn has_cold_room(&self, upstream: &Upstream) -> bool {
        let time = self.running_time();
        let pace = self.cold_pace(upstream, time);
        pace.is_none_or(|pace| upstream.cold_sends.borrow().remaining(pace, time) > 0)
    }

    /// Counts a request that is about to be sent to an upstream; false if it must not be sent because that is cold.
    pub fn take_cold_room(&self, upstream: &Upstream) -> bool {
        let time = self.running_time();
        let pace = self.cold_pace(upstream, time);
        pace.is_none_or(|pace| upstream.cold_sends.borrow_mut().try_record(pace, time))
    }

    /// The upstreams of a zone may have become cold unnoticed: they count as cold for as long as it usually takes.
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
            if let Some(terms) = table.service(&entry.service) {
                upstream.assume_cold(time + terms.cold_time);
            }
        });
    }

    /// The upstreams of an evacuated zone may get requests again; they may have become cold.
    pub fn readmit(&self, zone: &PlaceName) {
        // First, so that nothing is sent meanwhile as to warm ones.
        self.assume_cold(zone);
        self.registry.readmit(zone);
    }

    /// Takes out what the store has lost and nobody has written again in time.
    pub fn expire_missing(&self, time: Instant) {
        self.registry.expire(time);
        for zone in self.registry.ended_evacuations(time) {
            self.readmit(&zone);
        }
    }

    /// This process has just read the store for the first time. Where somebody sends to cold upstreams, others may have
    /// become cold while no process of this VM ran, and not have said so yet.
    pub fn assume_cold_where_claimed(&self) {
        let time = self.running_time();
        for zone in self.settings.place.zones.keys() {
            if self.cold_claims.is_held(zone, time) {
                self.assume_cold(zone);
            }
        }
    }

    /// Zones for whose cold upstreams somebody should send, or soon should: an evacuation usually ends cold.
    fn cold_zones(&self) -> FxHashSet<PlaceName> {
        let Some((bound, table)) = self.settings.cold_bound.zip(self.table()) else {
            return FxHashSet::default();
        };
        let time = now();
        let zones = RefCell::new(FxHashSet::default());
        self.registry.for_each(|upstream| {
            if !upstream.is_cold(time) && !upstream.is_evacuated() {
                return;
            }
            let entry = upstream.entry();
            let terms = table.service(&entry.service);
            if terms.is_some_and(|terms| bound.pace(terms.cold_rate).is_some()) {
                zones.borrow_mut().insert(entry.zone.clone());
            }
        });
        zones.into_inner()
    }
}

/// Claims zones, renews claims and gives them back until the future is dropped.
pub async fn run_claims(core: Rc<GatewayCore>, port: impl StorePort) {
    if core.settings.cold_bound.is_none() {
        return;
    }
    loop {
        tokio::time::sleep(LOOK_PERIOD).await;
        let serving = core.state() == ServiceState::Serving;
        let cold = core.cold_zones();
        let known: FxHashSet<PlaceName> = {
            let zones = core.cold_claims.zones.borrow();
            zones.keys().cloned().chain(cold.iter().cloned()).collect()
        };
        for zone in known {
            let wanted = serving && cold.contains(&zone) && is_sender(&core, &zone);
            let time = core.running_time();
            let write = core
                .cold_claims
                .with_zone(&zone, |claim| claim.next_write(wanted, time));
            if let Some(write) = write {
                tokio::task::spawn_local(do_write(Rc::clone(&core), port.clone(), zone, write));
            }
        }
    }
}

/// Whether this VM is the one that should send to cold upstreams of a zone: it takes requests beside them.
fn is_sender(core: &GatewayCore, zone: &PlaceName) -> bool {
    let vms = core.vms.serving_for(zone, &core.settings.place);
    rendezvous(&vms, zone) == Some(VmAddress(core.settings.place.address))
}

async fn do_write(core: Rc<GatewayCore>, port: impl StorePort, zone: PlaceName, write: ClaimWrite) {
    let begun = core.running_time();
    let value = match postcard::to_stdvec(&write.record) {
        Ok(value) => Bytes::from(value),
        Err(error) => {
            log::error!("claim of zone {zone}: {error}");
            return;
        }
    };
    let stored = StoreWrite {
        key: (core.dialect.claim_key)(&zone),
        value,
        expected: Some(write.expected),
        lease: None,
    };
    let written = answer_within(ANSWER_TIME, port.write(stored)).await;
    let outcome = match &written {
        Ok(revision) => {
            let time = core.running_time();
            core.enter_era(revision.era());
            core.cold_claims.with_zone(&zone, |claim| {
                claim.record_write(write, *revision, begun, time);
            });
            let void = write.expected.era() != revision.era();
            format_compact!("revision={revision} void={void}")
        }
        Err(StoreError::Conflict { current }) => {
            core.enter_era(current.era());
            format_compact!("another VM was first, {current}")
        }
        Err(error) => format_compact!("failed: {error}"),
    };
    let holder = write.record.holder.map(|holder| holder.to_string());
    log::info!(
        target: "ebonyfork::decision",
        "cold zone {zone} claim holder={} expected={} {outcome}",
        holder.as_deref().unwrap_or("-"),
        write.expected
    );
}
