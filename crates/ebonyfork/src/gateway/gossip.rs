//! Joins the gateway to gossip: who lives, and news about requests that crash upstreams.

use std::rc::Rc;

use tokio::task::JoinSet;

use crate::gateway::core::GatewayCore;
use crate::ident::{RevisionNumber, VmAddress, ZoneName};
use crate::membership::{MemberDigest, MemberHandle};
use crate::quarantine::{hear_notices, tell_notices};

/// Starts what carries news between the gateway and gossip.
pub(super) fn join_gossip(
    tasks: &mut JoinSet<()>,
    core: &Rc<GatewayCore>,
    members: &MemberHandle,
    own: (VmAddress, ZoneName),
) {
    tasks.spawn_local(follow_members(Rc::clone(core), members.clone(), own));
    tasks.spawn_local(tell_version(Rc::clone(core), members.clone()));
    tasks.spawn(tell_notices(members.clone(), core.quarantine.clone()));
    tasks.spawn(hear_notices(members.clone(), core.quarantine.clone()));
}

async fn follow_members(
    core: Rc<GatewayCore>,
    members: MemberHandle,
    (vm, zone): (VmAddress, ZoneName),
) {
    let mut snapshot = members.snapshot();
    loop {
        let seen = snapshot.borrow_and_update().clone();
        core.route_checks.note_members(&seen, vm, &zone);
        core.vms.take_members(seen);
        if snapshot.changed().await.is_err() {
            return;
        }
    }
}

/// Tells the other VMs which configuration is in force here, as this VM has read it from the store.
async fn tell_version(core: Rc<GatewayCore>, members: MemberHandle) {
    let mut told = core.route_checks.told_version();
    while told.changed().await.is_ok() {
        let version = *told.borrow_and_update();
        members.set_digest(MemberDigest {
            revision: RevisionNumber(version.0),
            load: 0,
        });
    }
}
