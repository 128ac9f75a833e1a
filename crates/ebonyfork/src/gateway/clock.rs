//! The clock of all decisions.

use std::time::{Duration, Instant};

/// The steady clock; in tests it is virtual.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Time since the machine started, as the kernel counts it: it goes on while the VM is suspended, unlike [`now`].
pub fn boot_time() -> Duration {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: `time` is valid for writes and is all that the call writes.
    let status = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &raw mut time) };
    debug_assert_eq!(status, 0, "Linux has had this clock since 2.6.39");
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
