use std::sync::{Arc, Mutex};

use googletest::prelude::*;
use tokio::task::LocalSet;

use super::*;
use crate::gateway::fixture::{dialect, settings};
use crate::store::{LeaseGrant, StoreItem, StorePage, StoreRevision, StoreWatch};

/// Store that records the operations on leases and reports a configurable era.
#[derive(Debug, Default)]
struct LeaseLog {
    era: u64,
    opened: Vec<LeaseId>,
    renewed: Vec<LeaseId>,
    written: Vec<LeaseId>,
}

#[derive(Debug, Clone, Default)]
struct LeasePort(Arc<Mutex<LeaseLog>>);

impl LeasePort {
    fn log(&self) -> std::sync::MutexGuard<'_, LeaseLog> {
        self.0.lock().expect("no panic")
    }
}

impl StorePort for LeasePort {
    async fn read_item(&self, _key: &str) -> std::result::Result<Option<StoreItem>, StoreError> {
        unreachable!("registrations never read")
    }

    async fn read_page(
        &self,
        _prefix: &str,
        _after: Option<&str>,
    ) -> std::result::Result<StorePage, StoreError> {
        unreachable!("registrations never read")
    }

    async fn watch(
        &self,
        _prefix: &str,
        _after: StoreRevision,
        _wait: Duration,
    ) -> std::result::Result<StoreWatch, StoreError> {
        unreachable!("registrations never watch")
    }

    async fn write(&self, write: StoreWrite) -> std::result::Result<StoreRevision, StoreError> {
        let mut log = self.log();
        log.written.extend(write.lease);
        Ok(StoreRevision::new(1).with_era(StoreEra(log.era)))
    }

    async fn open_lease(&self, ttl: Duration) -> std::result::Result<LeaseGrant, StoreError> {
        let mut log = self.log();
        let lease = LeaseId(log.opened.len() as u64 + 1);
        log.opened.push(lease);
        Ok(LeaseGrant { lease, ttl })
    }

    async fn renew_lease(&self, lease: LeaseId) -> std::result::Result<(), StoreError> {
        self.log().renewed.push(lease);
        Ok(())
    }

    async fn end_lease(&self, _lease: LeaseId) -> std::result::Result<(), StoreError> {
        Ok(())
    }
}

/// Guards against relying on an entry from an earlier era. A store that was restored without the entry may have
/// assigned the number of its lease to another process: renewing it then succeeds, but keeps that process's keys alive.
#[gtest]
#[tokio::test(start_paused = true)]
async fn the_entry_is_written_again_in_a_new_era() {
    let test = async {
        let core = Rc::new(GatewayCore::new(settings(), dialect()));
        let port = LeasePort::default();
        port.log().era = 1;
        let registration = Rc::new(VmRegistration::new(Rc::clone(&core), port.clone()));
        let lease = registration.lease();
        tokio::task::spawn_local(registration.run());
        tokio::time::sleep(Duration::from_secs(9)).await;
        expect_that!(
            port.log().renewed,
            elements_are![eq(&LeaseId(1)), eq(&LeaseId(1))]
        );
        port.log().era = 2;
        core.enter_era(StoreEra(2));
        tokio::time::sleep(MIN_NEW_ERA_SPREAD + Duration::from_millis(10)).await;
        expect_that!(
            port.log().written,
            elements_are![eq(&LeaseId(1)), eq(&LeaseId(2))]
        );
        expect_that!(lease.get(), some(eq(LeaseId(2))));
        // Learning of the current era again, or of an earlier one, does not invalidate the entry.
        core.enter_era(StoreEra(2));
        core.enter_era(StoreEra(1));
        tokio::time::sleep(Duration::from_secs(5)).await;
        expect_that!(port.log().opened.len(), eq(2));
        expect_that!(port.log().renewed.last(), some(eq(&LeaseId(2))));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a process that hangs for good after the store was restored: it learns of the store's era again, with any
/// change, while the registration waits to be written in that era. The test runs on a thread of its own, because a
/// blocked thread could not fail.
#[gtest]
fn an_era_is_recorded_while_the_registration_waits() {
    const PATIENCE: Duration = Duration::from_secs(20);
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime");
        let test = async {
            let core = Rc::new(GatewayCore::new(settings(), dialect()));
            let port = LeasePort::default();
            port.log().era = 1;
            let registration = Rc::new(VmRegistration::new(Rc::clone(&core), port.clone()));
            tokio::task::spawn_local(registration.run());
            tokio::time::sleep(Duration::from_secs(1)).await;
            port.log().era = 2;
            for _change in 0..100 {
                core.enter_era(StoreEra(2));
                tokio::time::sleep(MIN_NEW_ERA_SPREAD / 50).await;
            }
            port.log().written.len()
        };
        sender.send(LocalSet::new().block_on(&runtime, test))
    });
    expect_that!(receiver.recv_timeout(PATIENCE), ok(eq(2)));
}

/// Load pattern: all VMs write their entries again once they know that the store was restored. The writes per second must
/// not grow with the fleet, or a store that refuses some of them is asked again by all.
#[gtest]
fn the_writes_of_a_new_era_do_not_grow_with_the_fleet() {
    let writes_per_s = |vms: usize| vms as f64 / new_era_spread(vms).as_secs_f64();
    for vms in [7, 985, 1_970, 4_900] {
        expect_that!(writes_per_s(vms), le(1_000.0 + 1e-6), "{vms} VMs");
    }
    expect_that!(new_era_spread(7), eq(MIN_NEW_ERA_SPREAD));
}
