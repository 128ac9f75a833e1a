//! Keeps this VM's entry in the store under a lease, so that the entry disappears with the process.
//!
//! A store that was restored from an older copy may lack the entry and the lease, and may have assigned the lease's
//! number to another process. The entry is therefore only valid in the era in which it was written, and is written
//! again under a new lease in the next era.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use tokio::sync::watch;

use crate::gateway::core::{GatewayCore, ServiceState};
use crate::gateway::vms::VmRecord;
use crate::store::{Backoff, LeaseId, StoreEra, StoreError, StorePort, StoreWrite, answer_within};

/// How long the entry outlives the process. Gossip detects a dead VM within about 2 s; the lease only cleans up.
const LEASE_TTL: Duration = Duration::from_secs(12);
/// Time between two renewals. Two renewals may fail before the lease expires.
const RENEWAL_PERIOD: Duration = Duration::from_secs(4);
/// Longest wait for an answer of the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest and longest wait after a failure while there is no entry.
const MIN_RETRY_WAIT: Duration = Duration::from_millis(200);
const MAX_RETRY_WAIT: Duration = Duration::from_secs(2);
/// Shortest and longest wait after a failure while there is an entry. The lease survives some failures, and each call
/// to an unavailable store has a cost.
const MIN_RENEWAL_RETRY_WAIT: Duration = Duration::from_secs(2);
const MAX_RENEWAL_RETRY_WAIT: Duration = RENEWAL_PERIOD;

/// Shortest time over which the entries of all VMs are written again in a new era, since all VMs learn of it at about
/// the same time.
const MIN_NEW_ERA_SPREAD: Duration = Duration::from_secs(1);
/// Time that each VM adds to it, so that the writes per second don't grow with the fleet: a thousand entries, with two
/// calls each.
const NEW_ERA_SPREAD_PER_VM: Duration = Duration::from_millis(1);

/// Returns the time over which `vms` VMs write their entries again in a new era.
fn new_era_spread(vms: usize) -> Duration {
    let spread = NEW_ERA_SPREAD_PER_VM * u32::try_from(vms).unwrap_or(u32::MAX);
    spread.max(MIN_NEW_ERA_SPREAD)
}

/// Maintains the entry of this process.
#[derive(Debug)]
pub struct VmRegistration<P> {
    core: Rc<GatewayCore>,
    port: P,
    lease: Rc<Cell<Option<LeaseId>>>,
    /// Era of the store in which the entry was written.
    written_era: Cell<StoreEra>,
}

impl<P: StorePort> VmRegistration<P> {
    /// Creates a registration that has not been written yet.
    pub fn new(core: Rc<GatewayCore>, port: P) -> Self {
        Self {
            core,
            port,
            lease: Rc::default(),
            written_era: Cell::default(),
        }
    }

    /// Returns the current lease, so that a planned shutdown can end it.
    pub fn lease(&self) -> Rc<Cell<Option<LeaseId>>> {
        Rc::clone(&self.lease)
    }

    /// Registers and renews until the future is dropped or a shutdown begins. The lease stays as it is when the future
    /// is dropped, and another run continues with it.
    pub async fn run(self: Rc<Self>) {
        let mut backoff = Backoff::new(MIN_RETRY_WAIT, MAX_RETRY_WAIT);
        let mut eras = self.core.eras();
        let mut renewal_backoff = Backoff::new(MIN_RENEWAL_RETRY_WAIT, MAX_RENEWAL_RETRY_WAIT);
        while self.core.state() == ServiceState::Serving {
            match self.renew_or_register().await {
                Ok(()) => {
                    backoff.reset();
                    renewal_backoff.reset();
                    self.wait_until_due(&mut eras).await;
                }
                Err(error) => {
                    let backoff = match self.lease.get() {
                        Some(_) => &mut renewal_backoff,
                        None => &mut backoff,
                    };
                    let wait = backoff.next_wait(&mut rand::rng());
                    log::info!(
                        "registration failed: {error}; retrying in {} ms",
                        wait.as_millis()
                    );
                    tokio::time::sleep(wait).await;
                }
            }
        }
    }

    /// Waits until the lease must be renewed, or the entry must be written again because the store is in a new era.
    async fn wait_until_due(&self, eras: &mut watch::Receiver<StoreEra>) {
        // The result must not keep a lock on the era: recording another one would block this thread for good.
        let later_era = async {
            let era = eras.wait_for(|era| *era > self.written_era.get()).await;
            era.is_ok()
        };
        if !matches!(
            tokio::time::timeout(RENEWAL_PERIOD, later_era).await,
            Ok(true)
        ) {
            return;
        }
        let spread = new_era_spread(self.core.vms.peak_count());
        let delay = spread.mul_f64(rand::random());
        tokio::time::sleep(delay).await;
    }

    /// Returns whether the entry is in the store as far as this VM knows.
    fn is_written(&self, key: &CompactString) -> bool {
        let is_lost = *self.core.eras().borrow() > self.written_era.get();
        !is_lost && !self.core.vms.is_missing(key)
    }

    /// Renews the lease, or opens a new one and writes the entry under it.
    async fn renew_or_register(&self) -> Result<(), StoreError> {
        let key = (self.core.dialect.vm_key)(self.core.settings.listen.caller_address);
        if let Some(lease) = self.lease.get()
            && self.is_written(&key)
        {
            match answer_within(STORE_TIMEOUT, self.port.renew_lease(lease)).await {
                Err(StoreError::LeaseEnded) => self.lease.set(None),
                other => return other,
            }
        }
        let known_era = *self.core.eras().borrow();
        let grant = answer_within(STORE_TIMEOUT, self.port.open_lease(LEASE_TTL)).await?;
        let write = StoreWrite {
            key,
            value: self.record()?,
            expected: None,
            lease: Some(grant.lease),
        };
        let revision = answer_within(STORE_TIMEOUT, self.port.write(write)).await?;
        self.lease.set(Some(grant.lease));
        // If the store reports an era lower than the known one, the entry counts as written in the known one.
        self.written_era.set(revision.era().max(known_era));
        self.core.enter_era(revision.era());
        log::info!("registered lease={} revision={revision}", grant.lease);
        Ok(())
    }

    fn record(&self) -> Result<Bytes, StoreError> {
        let place = &self.core.settings.place;
        let record = VmRecord {
            caller: self.core.settings.listen.caller_address,
            zone: CompactString::new(place.zone.as_str()),
            region: CompactString::new(place.region.as_str()),
            cores: place.cores as f32,
            vms: self.core.vms.count() as u32,
        };
        let encoding_result = postcard::to_stdvec(&record);
        encoding_result
            .map(Bytes::from)
            .map_err(|error| StoreError::Malformed {
                reason: compact_str::format_compact!("own record can't be encoded: {error}"),
            })
    }
}

#[cfg(test)]
#[path = "register_tests.rs"]
mod tests;
