//! Ranges of the numbers that come from outside: entries, configurations, headers, messages.
//!
//! A number is checked once, where it is decoded: it becomes a typed value within its range, or an error. Inside, such
//! values are added to times and multiplied with counts without further checks. An [`std::time::Instant`]
//! can't represent the sum of now and 2⁶³ seconds, and an addition that overflows ends the task that does it.
//!
//! The maxima exceed what any deployment needs by orders of magnitude, and sums of millions of such values can still be
//! represented.

use std::time::Duration;

use serde::{Deserialize, Deserializer};

/// Longest time that is accepted: a longer one is a mistake, because no caller, warm-up or connection lasts for a day.
pub const MAX_STATED_TIME: Duration = Duration::from_hours(24);
/// Largest rate that is accepted, in requests per second.
pub const MAX_STATED_RATE: f64 = 1e9;
/// Largest number of requests that may be sent at once.
pub const MAX_STATED_BURST: f64 = 1e9;
/// Largest weight of a service among those of a route. The sum of a million of them is finite.
pub const MAX_STATED_WEIGHT: f64 = 1e300;
/// Largest count that is accepted: slots of an upstream, connections, attempts, records of an answer.
pub const MAX_STATED_COUNT: usize = 1_000_000;
/// Largest size of a request head or body, in bytes.
pub const MAX_STATED_BYTES: usize = 1 << 30;
/// Largest processor capacity of a VM, in cores.
pub const MAX_STATED_CORES: f32 = 100_000.0;

/// Deserializes a time that another VM states. One above [`MAX_STATED_TIME`] counts as that.
pub fn bounded_time<'de, D: Deserializer<'de>>(field: D) -> Result<Duration, D::Error> {
    Ok(Duration::deserialize(field)?.min(MAX_STATED_TIME))
}

/// Deserializes the processor capacity of a VM, in cores. One that is not above 0 and at most [`MAX_STATED_CORES`] is an
/// error.
pub fn checked_cores<'de, D: Deserializer<'de>>(field: D) -> Result<f32, D::Error> {
    let cores = f32::deserialize(field)?;
    if cores > 0.0 && cores <= MAX_STATED_CORES {
        return Ok(cores);
    }
    log::warn!("cores of a VM record are out of range: {cores}");
    Err(serde::de::Error::custom("cores are out of range"))
}
