//! Exchanges quarantine notices between VMs by gossip.

use tokio::sync::broadcast::error::RecvError;

use crate::membership::{GossipNotice, MemberHandle};
use crate::quarantine::{QuarantineHandle, QuarantineNotice};

/// Publishes the notices of this process until the future is dropped.
pub async fn publish_notices(members: MemberHandle, quarantine: QuarantineHandle) {
    loop {
        quarantine.wait_for_notices().await;
        for notice in quarantine.take_notices() {
            let number = notice.number();
            let Ok(payload) = postcard::to_stdvec(&notice) else {
                continue;
            };
            members.publish_notice(GossipNotice::new(payload).with_number(number));
        }
    }
}

/// Merges the notices of other members until gossip ends.
pub async fn receive_notices(members: MemberHandle, quarantine: QuarantineHandle) {
    let mut receiver = members.notices();
    loop {
        let notice = match receiver.recv().await {
            Ok(notice) => notice,
            Err(RecvError::Lagged(lost)) => {
                log::warn!("gossip receiver lagged, {lost} notices lost");
                continue;
            }
            Err(RecvError::Closed) => return,
        };
        match postcard::from_bytes::<QuarantineNotice>(&notice.payload) {
            Ok(quarantine_notice) => quarantine.merge(quarantine_notice.with_elapsed(notice.age())),
            Err(error) => log::warn!("invalid gossip notice {:016x}: {error}", notice.number),
        }
    }
}
