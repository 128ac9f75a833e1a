//! Claims on the parts: which parts this process holds.

use std::rc::Rc;
use std::time::Duration;

use compact_str::format_compact;
use smallvec::SmallVec;

use super::metrics::QuotaEvent;
use crate::gateway::claim_write::{AppliedWrite, ClaimTarget, write_claim};
use crate::gateway::core::{GatewayCore, ServiceState};
use crate::gateway::ident::PlaceName;
use crate::gateway::organisation::OrganisationTable;
use crate::gateway::policy::quota::{PartHold, QUOTA_PARTS, wants_free_part};
use crate::gateway::settings::PlaceDistance;
use crate::gateway::vms::rendezvous_rank;
use crate::store::StorePort;

/// Time between two checks of the claims.
const CLAIM_CHECK_PERIOD: Duration = Duration::from_millis(200);
/// Time between two checks whether the store has been read. Until a process that has restarted renews its claims, it
/// refuses requests for tokens of its parts.
const FIRST_READ_CHECK_PERIOD: Duration = Duration::from_millis(10);
/// Time after the start in which a process claims no part that another VM may want: it doesn't know the VMs yet, and
/// claims stay where they are.
const SETTLE_TIME: Duration = Duration::from_secs(3);

impl GatewayCore {
    /// Updates the distances to the holders of all parts.
    fn update_holder_distances(&self) {
        for part in self.quota_desk.parts.borrow_mut().iter_mut() {
            let zone = part
                .claim
                .holder()
                .and_then(|holder| self.vms.zone_of(holder.vm));
            part.distance = zone.map_or(PlaceDistance::Far, |zone| {
                self.settings.place.distance(&zone)
            });
        }
    }

    /// Logs and counts a hold that has begun with an allowance.
    fn note_start(&self, part: u8, applied: AppliedWrite) {
        let now = applied.answered_at;
        let hold = self
            .quota_desk
            .with_claim(part, |claim| PartHold::of_claim(claim, now));
        let Some(hold) = hold.flatten() else {
            return;
        };
        // Renewals begin no hold.
        if hold.since != now || !hold.has_allowance {
            return;
        }
        self.metrics.quota.count(QuotaEvent::StartAllowance);
        log::info!(
            target: "ebonyfork::decision",
            "quota part={part} {} revision={}",
            QuotaEvent::StartAllowance.label(),
            applied.revision
        );
    }
}

/// Acquires, renews and releases claims on the parts until the future is dropped.
pub async fn run_quota_claims(core: Rc<GatewayCore>, port: impl StorePort) {
    while core.table().is_none() {
        tokio::time::sleep(FIRST_READ_CHECK_PERIOD).await;
    }
    loop {
        let table = core.table();
        let has_quotas = table
            .and_then(|table| table.organisations().map(OrganisationTable::has_quotas))
            .unwrap_or_default();
        if has_quotas {
            core.update_holder_distances();
        }
        for part in 0..QUOTA_PARTS as u8 {
            let is_wanted = has_quotas && wants_part(&core, part);
            let now = core.running_time();
            let write = core
                .quota_desk
                .with_claim(part, |claim| claim.next_write(is_wanted, now));
            let Some(write) = write.flatten() else {
                continue;
            };
            let target = ClaimTarget {
                key: (core.dialect.quota_key)(part),
                label: format_compact!("quota part {part}"),
            };
            let record = {
                let core = Rc::clone(&core);
                move |applied: AppliedWrite| {
                    core.quota_desk.with_claim(part, |claim| {
                        claim.record_write(
                            applied.write,
                            applied.revision,
                            applied.begun_at,
                            applied.answered_at,
                        );
                    });
                    core.note_start(part, applied);
                }
            };
            let write = write_claim(Rc::clone(&core), port.clone(), target, write, record);
            tokio::task::spawn_local(write);
        }
        tokio::time::sleep(CLAIM_CHECK_PERIOD).await;
    }
}

/// Returns whether this VM should hold a part: it does already, or nobody does and it is the one chosen among the VMs that
/// serve the part's availability zone, or one of the next if those before it leave the part free. Holders keep their
/// parts, because a new one starts with fewer tokens. A restarted VM takes its part again without settling.
fn wants_part(core: &GatewayCore, part: u8) -> bool {
    if core.state() != ServiceState::Serving {
        return false;
    }
    let own_vm = core.session.vm;
    let claim = core
        .quota_desk
        .with_claim(part, |claim| (claim.holder(), claim.free_since()));
    let Some((holder, free_since)) = claim else {
        return false;
    };
    if holder.is_some_and(|holder| holder.vm == own_vm) {
        return true;
    }
    let Some(free_time) = core
        .running_time()
        .checked_sub(free_since.max(SETTLE_TIME))
        .filter(|_free_time| core.uptime() >= SETTLE_TIME)
    else {
        return false;
    };
    let place = &core.settings.place;
    let mut zones: SmallVec<[&PlaceName; 8]> = place.zones.keys().collect();
    zones.sort_unstable();
    let Some(zone) = zones.get(usize::from(part) % zones.len().max(1)) else {
        return false;
    };
    let vms = core.vms.serving_near(zone, place);
    let rank = rendezvous_rank(&vms, format_args!("quota part {part}"), own_vm);
    rank.is_some_and(|rank| wants_free_part(rank, free_time))
}
