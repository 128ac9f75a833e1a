use std::time::Duration;

use googletest::prelude::*;

use super::*;
use crate::gateway::fixture::{dialect, entry, settings};
use crate::gateway::policy::speed_advice::SpeedChange;
use crate::gateway::settings::{GatewaySettings, PlacementSettings};

fn core_with(shares_upstream_speed: bool) -> GatewayCore {
    let settings = GatewaySettings {
        placement: PlacementSettings {
            shares_upstream_speed,
        },
        ..settings()
    };
    let core = GatewayCore::new(settings, dialect());
    let address = ([127, 0, 0, 1], 1).into();
    let entry = entry("i-1", "s", "north-a", address);
    core.registry.put(&"u/1".into(), entry, now(), 2);
    core
}

fn message(instance: &str) -> SpeedMessage {
    let change = SpeedChange::Slow {
        slowness_percent: 800,
        observed_ms: 80,
    };
    SpeedMessage {
        reports: vec![SpeedReport {
            service: "s".into(),
            instance: instance.into(),
            started: None,
            change,
        }],
    }
}

fn expected_ms(core: &GatewayCore) -> f64 {
    let upstreams = core.registry.upstreams(&UpstreamService::new("s"));
    let health = upstreams[0].health.borrow();
    health.expected_ms(now(), 10.0, 2)
}

/// Guards against advice about another incarnation, and against any effect where the settings don't call for it.
#[gtest]
fn advice_applies_to_the_named_upstream_where_it_is_active() {
    let peer = crate::ident::VmAddress(([10, 0, 0, 2]).into());
    for (is_active, instance, expected) in [
        (true, "i-1", 80.0),
        (true, "i-2", 10.0),
        (false, "i-1", 10.0),
    ] {
        let core = core_with(is_active);
        apply_reports(&core, message(instance), &peer);
        expect_that!(
            expected_ms(&core),
            near(expected, 0.1),
            "{is_active} {instance}"
        );
    }
}

/// Guards against messages from deployments whose settings don't call for them.
#[gtest]
fn changes_are_queued_only_where_sharing_is_active() {
    for is_active in [true, false] {
        let core = core_with(is_active);
        let upstreams = core.registry.upstreams(&UpstreamService::new("s"));
        let start = now();
        let step = Duration::from_millis(80);
        record_answer(&core, &upstreams[0], start, start + step, 8.0);
        record_answer(&core, &upstreams[0], start + step, start + step * 2, 8.0);
        let is_queued = !core.speed_exchange.outbox.borrow().is_empty();
        expect_that!(is_queued, eq(is_active));
    }
}
