//! Carries the quarantine's news between VMs by gossip.

use tokio::sync::broadcast::error::RecvError;

use crate::membership::{GossipNotice, MemberHandle};
use crate::quarantine::{QuarantineHandle, QuarantineNotice};

/// Publishes this process's news until the future is dropped.
pub async fn tell_notices(members: MemberHandle, quarantine: QuarantineHandle) {
    loop {
        quarantine.wait_news().await;
        for notice in quarantine.take_notices() {
            let number = notice.number();
            let Ok(payload) = postcard::to_stdvec(&notice) else {
                continue;
            };
            members.publish_notice(GossipNotice::new(payload).with_number(number));
        }
    }
}

/// Takes in the news of other members until gossip ends.
pub async fn hear_notices(members: MemberHandle, quarantine: QuarantineHandle) {
    let mut heard = members.notices();
    loop {
        let notice = match heard.recv().await {
            Ok(notice) => notice,
            Err(RecvError::Lagged(lost)) => {
                log::warn!("{lost} gossip notices were missed");
                continue;
            }
            Err(RecvError::Closed) => return,
        };
        match postcard::from_bytes::<QuarantineNotice>(&notice.payload) {
            Ok(news) => quarantine.merge(news.with_elapsed(notice.age())),
            Err(error) => log::warn!("gossip notice {:016x}: {error}", notice.number),
        }
    }
}
