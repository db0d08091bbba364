//! The two system clocks in use: boot time, on which all decisions are based, and wall-clock time, which is only
//! printed.

use crate::prelude::*;

/// Returns the current time of `CLOCK_BOOTTIME`, which also advances while the machine is suspended.
///
/// Panics if the clock cannot be read.
#[allow(unsafe_code)]
pub fn boot_now() -> Instant {
    let mut read_time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the pointer is to a live, writable timespec; the call writes nothing else.
    let answer = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &mut read_time) };
    assert_eq!(answer, 0, "clock_gettime(CLOCK_BOOTTIME) failed");
    Instant(read_time.tv_sec as u64 * 1_000_000_000 + read_time.tv_nsec as u64)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch. For log lines and recordings only.
pub fn unix_millis() -> u64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
