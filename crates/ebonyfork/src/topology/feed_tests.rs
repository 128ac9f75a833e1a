use std::sync::atomic::{AtomicU32, Ordering};

use compact_str::CompactString;
use googletest::prelude::*;

use super::*;
use crate::ident::IncarnationNumber;
use crate::topology::{OWN_GROUP, VmState};

fn record(last_octet: u8, group: &str, port: Option<u16>) -> VmRecord {
    VmRecord {
        ip: [10, 0, 0, last_octet].into(),
        port,
        zone: "a".parse().unwrap(),
        group: CompactString::new(group),
        state: VmState::Live,
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn the_view_survives_list_outages_and_applies_leaving_reports() {
    let own_session = SessionId::new(VmAddress([10, 0, 0, 1].into()), IncarnationNumber(5));
    let peer = VmAddress([10, 0, 0, 2].into());
    let read_count = Arc::new(AtomicU32::new(0));
    let list = {
        let read_count = Arc::clone(&read_count);
        move || -> BoxFuture<'static, std::result::Result<Vec<VmRecord>, &'static str>> {
            let read_number = read_count.fetch_add(1, Ordering::Relaxed);
            let records = vec![
                record(1, OWN_GROUP, None),
                record(2, OWN_GROUP, None),
                record(9, "tender-00", Some(80)),
            ];
            Box::pin(async move {
                if read_number == 1 {
                    Ok(records)
                } else {
                    Err("outage")
                }
            })
        }
    };
    let settings = TopologySettings::new(own_session, "a".parse().unwrap());
    let mut seeds = settings.seeds();
    let (writer, mut view) = watch::channel(Arc::default());
    let (_members, members) = watch::channel(Arc::default());
    let handle = TopologyHandle::start(settings, list, members, writer);
    // The first read fails, so that only the own VM is known. The second succeeds; all later ones fail.
    expect_that!(view.borrow_and_update().vms.len(), eq(1));
    seeds.changed().await.unwrap();
    expect_that!(&**seeds.borrow(), elements_are![eq(&peer)]);
    view.wait_for(|view| view.vms.len() == 2).await.unwrap();
    let upstream: UpstreamAddress = "10.0.0.9:80".parse().unwrap();
    expect_that!(view.borrow().upstreams[&upstream].leaving, eq(false));
    handle.mark_leaving(upstream);
    let report_wait = view.wait_for(|view| view.upstreams[&upstream].leaving);
    expect_that!(report_wait.await.is_ok(), eq(true));
    tokio::time::sleep(LIST_PERIOD * 60).await;
    expect_that!(read_count.load(Ordering::Relaxed), gt(30));
    expect_that!(view.borrow().upstreams[&upstream].leaving, eq(true));
}
