//! Organisations of the soak's configuration: two without a limit, small ones below their limits, a loud one above its own.

use serde_json::{Value, json};

/// Organisation without a limit, in whose name most requests are sent.
pub(super) const MAIN: &str = "main";
/// Organisation without a limit, of the lowest priority.
pub(super) const LOW: &str = "low";
/// Organisations that stay below their limit, each of a priority of its own.
pub(super) const SMALL: [&str; 2] = ["small-a", "small-b"];
/// Organisation that asks for more than its limit.
pub(super) const LOUD: &str = "loud";
/// Limit of the loud organisation, in requests a second over all VMs.
pub(super) const LOUD_RATE: f64 = 20.0;
/// Limit of a small one: three times what one VM asks for in the name of it, for each VM.
const SMALL_RATE_PER_VM: f64 = 10.0;

/// The organisations as operators write them.
pub(super) fn declare(vms: usize) -> Value {
    let organisation = |name: &str, priority: u8, rate: f64| {
        json!({
            "name": name, "apiKeys": [key(name)], "priority": priority, "ratePerS": rate, "burstSize": rate,
        })
    };
    let small_rate = SMALL_RATE_PER_VM * vms as f64;
    json!([
        organisation(MAIN, 1, 0.0),
        organisation(LOW, 3, 0.0),
        organisation(SMALL[0], 0, small_rate),
        organisation(SMALL[1], 2, small_rate),
        organisation(LOUD, 1, LOUD_RATE),
    ])
}

/// The header by which callers of an organisation are known.
pub(super) fn credential(organisation: &str) -> String {
    format!("Bearer {}", key(organisation))
}

fn key(organisation: &str) -> String {
    format!("key-of-{organisation}")
}
