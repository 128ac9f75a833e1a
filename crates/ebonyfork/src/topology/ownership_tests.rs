use googletest::prelude::*;

use super::*;
use crate::topology::{UpstreamEntry, VmEntry};

fn view(vms: impl IntoIterator<Item = u8>) -> TopologyView {
    let vm = |last_octet: u8| VmEntry {
        vm: format!("10.0.0.{last_octet}").parse().unwrap(),
        zone: "zone-a".parse().unwrap(),
        incarnation: None,
        leaving: false,
    };
    let upstream = UpstreamEntry {
        upstream: upstream(),
        zone: "zone-a".parse().unwrap(),
        service: "tender-00".parse().unwrap(),
        leaving: false,
    };
    TopologyView::new(vms.into_iter().map(vm), [upstream])
}

fn upstream() -> UpstreamAddress {
    "10.1.0.1:80".parse().unwrap()
}

/// The shares of any three of seven VMs fit the limit, whichever views they hold, and the owner in a view may always
/// hold a connection.
#[gtest]
fn shares_of_any_three_views_fit_the_limit() {
    for limit in [3, 4, 5, 6, 7, 8, 25, 45, 100] {
        let mut max_shares = [0; 7];
        for view_mask in 1..1_u8 << 7 {
            let view = view((0..7).filter(|vm| view_mask & (1 << vm) != 0));
            for (vm, max_share) in max_shares.iter_mut().enumerate() {
                let vm = format!("10.0.0.{vm}").parse().unwrap();
                *max_share = u32::max(*max_share, connection_share(&view, vm, upstream(), limit));
            }
            let primary = owner_pair(&view, upstream()).unwrap().primary;
            expect_that!(connection_share(&view, primary, upstream(), limit), ge(1));
        }
        max_shares.sort_unstable();
        expect_that!(
            max_shares[4..].iter().sum::<u32>(),
            le(limit),
            "limit {limit}"
        );
    }
}

#[gtest]
fn a_leaving_vm_moves_only_the_upstreams_it_owned() {
    let full_view = view(0..7);
    let mut moved_count = 0;
    for port in 1..=700 {
        let upstream = UpstreamAddress(([10, 1, 0, 1], port).into());
        let pair_before = choose_pair(full_view.owner_candidates(), upstream).unwrap();
        let pair_after = choose_pair(view(1..7).owner_candidates(), upstream).unwrap();
        if pair_before.primary == "10.0.0.0".parse().unwrap() {
            moved_count += 1;
            expect_that!(pair_after.primary, eq(pair_before.standby));
        } else {
            expect_that!(pair_after.primary, eq(pair_before.primary));
        }
    }
    expect_that!(moved_count, all![ge(60), le(140)]);
}
