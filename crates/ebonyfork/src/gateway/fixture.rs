//! Values shared by the gateway's tests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderName, HeaderValue, StatusCode};

use crate::gateway::dialect::{GatewayDialect, StoredKind, WireNames};
use crate::gateway::exchange::UpstreamAnswer;
use crate::gateway::ident::{InstanceName, PlaceName, UpstreamService};
use crate::gateway::policy::budget::RetryBudgetConfig;
use crate::gateway::settings::{GatewaySettings, ListenAddresses, NodePlace, PlacementSettings};
use crate::gateway::upstream::UpstreamEntry;
use crate::settings::LogSettings;
use crate::store::{StoreItem, StoreRevision};

/// Returns header names that no platform uses.
pub fn wire_names() -> WireNames {
    WireNames {
        request_id: HeaderName::from_static("x-request-id"),
        deadline: HeaderName::from_static("x-deadline"),
        signature: HeaderName::from_static("x-signature"),
        expected_instance: HeaderName::from_static("x-instance"),
        organisation: HeaderName::from_static("x-organisation"),
        not_run: HeaderName::from_static("x-not-run"),
        load: HeaderName::from_static("x-load"),
        part_signatures: HeaderName::from_static("x-signatures"),
        missing_parts: HeaderName::from_static("x-missing"),
    }
}

/// Returns a dialect without store keys and control calls.
pub fn dialect() -> GatewayDialect {
    GatewayDialect {
        names: wire_names(),
        classify: |_key| StoredKind::Other,
        read_config: |_key, _value| unreachable!("no configuration is stored in this test"),
        replace_credentials: |_key, value| value,
        read_upstream: |_key, _value| unreachable!("no upstream is stored in this test"),
        vm_key: |caller| CompactString::new(caller.to_string()),
        claim_key: |zone| CompactString::new(zone.as_str()),
        quota_key: |part| compact_str::format_compact!("quota/{part}"),
        read_call: |_uri| None,
        write_locate: |_reply| (HeaderValue::from_static("text/plain"), Bytes::new()),
    }
}

/// Returns the place of a VM in zone `north-a` of a deployment with two regions.
pub fn place() -> NodePlace {
    let zones = [
        ("north-a", "north"),
        ("north-b", "north"),
        ("south-a", "south"),
    ];
    NodePlace {
        name: "vm-1".into(),
        address: [127, 0, 0, 1].into(),
        zone: PlaceName::new("north-a"),
        region: PlaceName::new("north"),
        cores: 0.25,
        zones: zones
            .into_iter()
            .map(|(zone, region)| (PlaceName::new(zone), PlaceName::new(region)))
            .collect(),
    }
}

/// Returns settings whose addresses are never bound.
pub fn settings() -> GatewaySettings {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    GatewaySettings {
        place: place(),
        capacity: crate::intake::VmCapacity::default(),
        listen: ListenAddresses {
            caller_address: address,
            ready_address: address,
            directory_address: address,
            metrics_address: address,
            peer_port: 0,
        },
        store: address,
        grace: Duration::from_secs(6),
        change_bound: Duration::from_secs(3),
        cold_bound: None,
        quota_bound: crate::gateway::policy::quota::QuotaBound::default(),
        credential_max_age: None,
        placement: PlacementSettings::default(),
        budget: RetryBudgetConfig {
            ratio: 0.2,
            slack: 50.0,
            window: Duration::from_secs(10),
        },
        log: LogSettings::default(),
    }
}

/// Returns the entry of an upstream with two slots that is neither cold nor leaving.
pub fn entry(instance: &str, service: &str, zone: &str, address: SocketAddr) -> UpstreamEntry {
    UpstreamEntry {
        instance: InstanceName::new(instance),
        started: None,
        service: UpstreamService::new(service),
        address,
        zone: PlaceName::new(zone),
        slots: 2,
        heartbeats: 1,
        leaving: false,
        cold_remaining: Duration::ZERO,
    }
}

/// Returns an upstream's answer with status 200, a signature and a body.
pub fn signed_answer(signature: &str, body: &'static [u8]) -> UpstreamAnswer {
    let mut headers = http::HeaderMap::new();
    let value = HeaderValue::from_str(signature).expect("a valid signature");
    headers.insert(wire_names().signature, value);
    UpstreamAnswer {
        status: StatusCode::OK,
        headers,
        body: Bytes::from_static(body).into(),
    }
}

/// Returns a store item with a text value.
pub fn item(key: &str, value: &str, revision: u64) -> StoreItem {
    StoreItem {
        key: key.into(),
        value: Bytes::from(value.to_owned()),
        revision: StoreRevision::new(revision),
    }
}
