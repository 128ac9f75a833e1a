use googletest::prelude::*;

use super::*;
use crate::gateway::fixture::{dialect, entry, settings};
use crate::gateway::ident::ConfigVersion;
use crate::gateway::policy::cold::{ColdBound, RequestRate};
use crate::gateway::route::{CallerLimits, RouteTable, ServiceTerms};

fn core() -> GatewayCore {
    let mut settings = settings();
    settings.cold_bound = Some(ColdBound {
        overage: 1.5,
        slack: 5.0,
    });
    let core = GatewayCore::new(settings, dialect());
    let terms = ServiceTerms {
        connections: 20,
        cold_rate: RequestRate(2.0),
        cold_time: Duration::from_secs(3),
    };
    let limits = CallerLimits {
        header_bytes: 1,
        body_bytes: 1,
        header_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    core.install_table(RouteTable::new(
        ConfigVersion(1),
        [],
        [(UpstreamService::new("s"), terms)],
        limits,
    ));
    let entry = entry("a", "s", "north-a", ([127, 0, 0, 1], 1).into());
    core.registry.put(&"a".into(), entry, now(), 1);
    core
}

/// Guards against VMs that follow each other for a moment and pass one notice on between them without end.
#[gtest]
fn a_notice_that_comes_back_is_no_news() {
    let peer = VmAddress([127, 0, 0, 9].into());
    // 0.4 ms and 3 ms are what an entry may state.
    for (remaining, trip) in [
        (Duration::from_micros(400), 0),
        (Duration::from_millis(3), 10),
    ] {
        let core = core();
        let report = ColdReport::new("s", "a", remaining);
        let news = (0..20)
            .filter(|_| {
                std::thread::sleep(Duration::from_millis(trip));
                apply_report(&core, &report, peer)
            })
            .count();
        expect_that!(news, le(1), "{remaining:?}");
    }
}
