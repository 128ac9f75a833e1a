//! Clocks used for all decisions.

use std::time::{Duration, Instant};

/// Returns the time of the monotonic clock, which is virtual in tests.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Returns the time since boot. Unlike [`now`], this clock keeps running while the VM is suspended.
pub fn boot_time() -> Duration {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: `time` is valid for writes, and the call writes nothing else.
    let status = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &raw mut time) };
    debug_assert_eq!(status, 0, "Linux has had this clock since 2.6.39");
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
