use googletest::prelude::*;

use super::*;
use crate::topology::{UpstreamEntry, VmEntry};

fn view(vms: impl IntoIterator<Item = u8>) -> TopologyView {
    let vm = |last: u8| VmEntry {
        vm: format!("10.0.0.{last}").parse().unwrap(),
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

/// Three VMs, each with any view of seven VMs that it is part of itself: their shares fit, and the owner by a view
/// always has one.
#[gtest]
fn any_three_views_fit_the_limit() {
    for limit in [3, 4, 5, 6, 7, 8, 25, 45, 100] {
        let mut most = [0; 7];
        for members in 1..1_u8 << 7 {
            let view = view((0..7).filter(|vm| members & (1 << vm) != 0));
            for (vm, most) in most.iter_mut().enumerate() {
                let vm = format!("10.0.0.{vm}").parse().unwrap();
                *most = u32::max(*most, connection_share(&view, vm, upstream(), limit));
            }
            let primary = owner_pair(&view, upstream()).unwrap().primary;
            expect_that!(connection_share(&view, primary, upstream(), limit), ge(1));
        }
        most.sort_unstable();
        expect_that!(most[4..].iter().sum::<u32>(), le(limit), "limit {limit}");
    }
}

#[gtest]
fn vm_that_leaves_moves_only_what_it_held() {
    let all = view(0..7);
    let mut moved = 0;
    for port in 1..=700 {
        let upstream = UpstreamAddress(([10, 1, 0, 1], port).into());
        let before = pair_among(all.staying(), upstream).unwrap();
        let after = pair_among(view(1..7).staying(), upstream).unwrap();
        if before.primary == "10.0.0.0".parse().unwrap() {
            moved += 1;
            expect_that!(after.primary, eq(before.standby));
        } else {
            expect_that!(after.primary, eq(before.primary));
        }
    }
    expect_that!(moved, all![ge(60), le(140)]);
}
