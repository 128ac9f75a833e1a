//! Connects the gateway to gossip: membership, load, and notices about requests that crash upstreams.

use std::rc::Rc;
use std::time::Duration;

use crate::gateway::core::GatewayCore;
use crate::gateway::policy::latency::millis;
use crate::gateway::supervisor::TaskSupervisor;
use crate::gateway::tasks::TaskName;
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
    tasks: &mut TaskSupervisor,
    core: &Rc<GatewayCore>,
    membership: &MemberHandle,
    own_vm: (VmAddress, ZoneName),
) {
    let (shared_core, members) = (Rc::clone(core), membership.clone());
    tasks.start(TaskName::MemberFollower, move || {
        follow_members(Rc::clone(&shared_core), members.clone(), own_vm.clone())
    });
    let (shared_core, members) = (Rc::clone(core), membership.clone());
    tasks.start(TaskName::DigestPublisher, move || {
        publish_digest(Rc::clone(&shared_core), members.clone())
    });
    let (members, quarantine) = (membership.clone(), core.quarantine.clone());
    tasks.start(TaskName::NoticePublisher, move || {
        publish_notices(members.clone(), quarantine.clone())
    });
    let (members, quarantine) = (membership.clone(), core.quarantine.clone());
    tasks.start(TaskName::NoticeReceiver, move || {
        receive_notices(members.clone(), quarantine.clone())
    });
    let members = membership.clone();
    tasks.start_required(TaskName::Membership, move || wait_for_end(members.clone()));
}

/// Returns when one of the tasks of gossip has ended. Its state (the incarnation, what it knows of the members) is lost then.
async fn wait_for_end(membership: MemberHandle) {
    let reason = membership.ended().await;
    log::error!("gossip ended: {reason}");
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
