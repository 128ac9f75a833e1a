use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;

use super::*;
use crate::store::{LeaseGrant, LeaseId, StoreError, StorePage, StoreWatch, StoreWrite};

const KEY: &str = "config/newest";

fn item(revision: u64) -> StoreItem {
    StoreItem {
        key: KEY.into(),
        value: Bytes::from(revision.to_string()),
        revision: StoreRevision::new(revision),
    }
}

/// A store port that returns one fixed page and a list of watch results.
#[derive(Debug, Clone)]
struct ScriptedPort {
    page: StorePage,
    watch_results: Arc<Mutex<Vec<StoreWatch>>>,
}

impl StorePort for ScriptedPort {
    async fn read_item(&self, _key: &str) -> Result<Option<StoreItem>, StoreError> {
        unreachable!("the watch reads a range")
    }

    async fn read_page(
        &self,
        _prefix: &str,
        _after: Option<&str>,
    ) -> Result<StorePage, StoreError> {
        Ok(self.page.clone())
    }

    async fn watch(
        &self,
        _prefix: &str,
        _after: StoreRevision,
        _wait: Duration,
    ) -> Result<StoreWatch, StoreError> {
        let result = self.watch_results.lock().expect("no panic").pop();
        result.ok_or(StoreError::HistoryGone)
    }

    async fn write(&self, _write: StoreWrite) -> Result<StoreRevision, StoreError> {
        unreachable!("the watch writes nothing")
    }

    async fn open_lease(&self, _ttl: Duration) -> Result<LeaseGrant, StoreError> {
        unreachable!("the watch holds no lease")
    }

    async fn renew_lease(&self, _lease: LeaseId) -> Result<(), StoreError> {
        unreachable!("the watch holds no lease")
    }

    async fn end_lease(&self, _lease: LeaseId) -> Result<(), StoreError> {
        unreachable!("the watch holds no lease")
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_item_older_than_the_returned_one_is_skipped() {
    let watch_result = |revision: u64| StoreWatch {
        events: vec![StoreEvent::Written(item(revision))],
        revision: StoreRevision::new(revision + 1),
    };
    let port = ScriptedPort {
        page: StorePage {
            items: vec![item(20)],
            has_more: false,
            revision: StoreRevision::new(15),
        },
        // Watch results are popped from the end, so the last one is returned first.
        watch_results: Arc::new(Mutex::new(vec![watch_result(21), watch_result(17)])),
    };
    let mut watch = KeyWatch::new(port, KEY);
    expect_that!(watch.next().await, some(eq(&item(20))));
    expect_that!(watch.next().await, some(eq(&item(21))));
}
