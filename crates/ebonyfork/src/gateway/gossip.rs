//! Connects the gateway to gossip: membership, load, and notices about requests that crash upstreams.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinSet;

use crate::gateway::core::GatewayCore;
use crate::gateway::policy::latency::millis;
use crate::ident::{RevisionNumber, VmAddress, ZoneName};
use crate::membership::{MemberDigest, MemberHandle};
use crate::quarantine::{publish_notices, receive_notices};

/// Time between two updates of the published load.
const LOAD_PERIOD: Duration = Duration::from_secs(1);
/// Lag of a VM's answers at which it counts as fully loaded.
const FULL_LOAD_LAG: Duration = Duration::from_millis(40);
/// Number of steps to which the load is rounded.
const LOAD_STEPS: f64 = 8.0;

/// Starts the tasks that exchange information between the gateway and gossip.
pub(super) fn connect_gossip(
    tasks: &mut JoinSet<()>,
    core: &Rc<GatewayCore>,
    membership: &MemberHandle,
    own_vm: (VmAddress, ZoneName),
) {
    tasks.spawn_local(follow_members(Rc::clone(core), membership.clone(), own_vm));
    tasks.spawn_local(publish_digest(Rc::clone(core), membership.clone()));
    tasks.spawn(publish_notices(membership.clone(), core.quarantine.clone()));
    tasks.spawn(receive_notices(membership.clone(), core.quarantine.clone()));
}

async fn follow_members(
    core: Rc<GatewayCore>,
    members: MemberHandle,
    (vm, zone): (VmAddress, ZoneName),
) {
    let mut snapshot = members.snapshot();
    loop {
        let membership = snapshot.borrow_and_update().clone();
        core.route_checks.note_members(&membership, vm, &zone);
        core.compare_own_version();
        core.vms.apply_members(membership);
        if snapshot.changed().await.is_err() {
            return;
        }
    }
}

/// Publishes the version of the configuration in force, as this VM has read it from the store, and the load of this VM.
async fn publish_digest(core: Rc<GatewayCore>, membership: MemberHandle) {
    let mut version = core.route_checks.announced_version();
    let mut published_digest = MemberDigest::default();
    loop {
        let digest = MemberDigest {
            revision: RevisionNumber(version.borrow_and_update().0),
            load: vm_load(core.answer_lag.borrow().margin()),
        };
        core.vms.set_own_load(digest.load);
        if digest != published_digest {
            membership.set_digest(digest);
            published_digest = digest;
        }
        if let Ok(Err(_closed)) = tokio::time::timeout(LOAD_PERIOD, version.changed()).await {
            return;
        }
    }
}

/// Returns the load of a VM whose answers lag by `lag`, in per mille, rounded down to a step so that insignificant
/// changes are not published.
fn vm_load(lag: Duration) -> u16 {
    let steps = (millis(lag) / millis(FULL_LOAD_LAG) * LOAD_STEPS).floor();
    (steps * 1_000.0 / LOAD_STEPS).min(1_000.0) as u16
}
