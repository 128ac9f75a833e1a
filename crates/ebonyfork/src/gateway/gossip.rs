//! Joins the gateway to gossip: who lives, and news about requests that crash upstreams.

use std::rc::Rc;

use tokio::task::JoinSet;

use crate::gateway::core::GatewayCore;
use crate::membership::MemberHandle;
use crate::quarantine::{hear_notices, tell_notices};

/// Starts what carries news between the gateway and gossip.
pub(super) fn join_gossip(tasks: &mut JoinSet<()>, core: &Rc<GatewayCore>, members: &MemberHandle) {
    tasks.spawn_local(follow_members(Rc::clone(core), members.clone()));
    tasks.spawn(tell_notices(members.clone(), core.quarantine.clone()));
    tasks.spawn(hear_notices(members.clone(), core.quarantine.clone()));
}

async fn follow_members(core: Rc<GatewayCore>, members: MemberHandle) {
    let mut snapshot = members.snapshot();
    loop {
        let seen = snapshot.borrow_and_update().clone();
        core.vms.take_members(seen);
        if snapshot.changed().await.is_err() {
            return;
        }
    }
}
