//! Events that concern whole availability zones: evacuations and cold returns.

use std::time::Duration;

use ebonyfork_stand_in::guard::lock;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::error::LabError;
use crate::soak::faults::{DrawnEvent, pause, run_outage};
use crate::soak::fleet::GatewayFleet;
use crate::soak::world::{SoakWorld, ZONES};

/// One of the events that concern whole availability zones.
pub(super) async fn run_place_event(
    kind: usize,
    rng: &mut ChaCha8Rng,
    world: &SoakWorld,
    fleet: &mut GatewayFleet,
) -> Result<DrawnEvent, LabError> {
    let vm = rng.random_range(0..fleet.vms.len());
    let lasting = pause(rng, 300, 4_000);
    let what = match kind {
        kind @ (16 | 17) => {
            let zones = evacuate(rng, world, lasting, kind == 17).await;
            return Ok(DrawnEvent::new(format!("evacuation of {zones:?}")).with_plan());
        }
        18 => {
            let mut other = ChaCha8Rng::seed_from_u64(rng.random());
            let away = rng.random_bool(0.5);
            let disturbance = async {
                if away {
                    run_outage(true, lasting, &mut other, world).await;
                    return Ok(());
                }
                fleet.kill(vm).await;
                tokio::time::sleep(lasting).await;
                fleet.start_vm(vm)
            };
            let evacuation = evacuate(rng, world, lasting, false);
            let (zones, disturbed) = tokio::join!(evacuation, disturbance);
            disturbed?;
            let what = if away {
                "store".to_owned()
            } else {
                format!("vm-{vm}")
            };
            format!("{what} away beside an evacuation of {zones:?}")
        }
        _ => {
            let zone = ZONES[rng.random_range(0..ZONES.len())];
            return_cold(world, zone, pause(rng, 100, 2_000)).await?;
            format!("cold return of {zone}")
        }
    };
    Ok(DrawnEvent::new(what))
}

/// A zone is evacuated for a time, and another one before the first is taken back if they are to overlap.
async fn evacuate(
    rng: &mut impl Rng,
    world: &SoakWorld,
    lasting: Duration,
    overlapping: bool,
) -> Vec<&'static str> {
    /// Beyond the time that an evacuation may take to be in force.
    const LEAST: Duration = Duration::from_secs(4);
    let first = rng.random_range(0..ZONES.len());
    let mut zones = vec![ZONES[first]];
    world.evacuate(zones[0]);
    tokio::time::sleep(LEAST).await;
    if overlapping {
        let second = ZONES[(first + 1) % ZONES.len()];
        zones.push(second);
        world.evacuate(second);
        tokio::time::sleep(LEAST).await;
    }
    for zone in &zones {
        world.readmit(zone);
        tokio::time::sleep(lasting).await;
    }
    zones
}

/// All upstreams of a zone crash together and come back together, cold.
async fn return_cold(
    world: &SoakWorld,
    zone: &'static str,
    away: Duration,
) -> Result<(), LabError> {
    let mut services = Vec::new();
    loop {
        let place = lock(&world.upstreams)
            .iter()
            .position(|upstream| upstream.zone == zone);
        let Some(place) = place else { break };
        let (service, _zone) = world.end_upstream(place, None);
        services.push(service);
    }
    tokio::time::sleep(away).await;
    for service in services {
        world.add_upstream(&service, zone).await?;
    }
    Ok(())
}
