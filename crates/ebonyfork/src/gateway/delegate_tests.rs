use googletest::prelude::*;

use super::*;
use crate::gateway::partial::ShardSignature;

fn failed(progress: ShardProgress, avoid: bool) -> FailedShard {
    FailedShard {
        shard: 1,
        progress,
        avoid,
    }
}

/// Guards against avoiding a VM whose upstreams decline or lose every request. It must still be asked, since it alone
/// sees how many requests are queued at these upstreams.
#[gtest]
fn a_vm_is_not_avoided_because_of_its_upstreams() {
    let part = ShardSignature {
        shard: 0,
        signature: bytes::Bytes::from_static(b"s"),
        took_us: 10,
    };
    let cases = [
        (vec![part], vec![failed(ShardProgress::Unsent, false)], true),
        (vec![], vec![failed(ShardProgress::Declined, false)], true),
        (vec![], vec![failed(ShardProgress::Run, false)], true),
        (vec![], vec![failed(ShardProgress::Broken, false)], true),
        (vec![], vec![failed(ShardProgress::Unsent, true)], true),
        (vec![], vec![failed(ShardProgress::Unsent, false)], false),
        (vec![], vec![], false),
    ];
    for (parts, failed, expected) in cases {
        let reply = PartialReply {
            parts,
            failed,
            ..PartialReply::default()
        };
        expect_that!(shows_known_upstreams(&reply), eq(expected), "{reply:?}");
    }
}
