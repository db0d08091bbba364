//! The only two clocks: boot time, which decides, and wall time, which is only ever printed.

use crate::prelude::*;

/// Now, on the clock that counts suspended time as well.
#[allow(unsafe_code)]
pub fn boot_now() -> Instant {
    let mut read_time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the pointer is to a live, writable timespec; the call writes nothing else.
    let answer = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &mut read_time) };
    assert_eq!(answer, 0, "the boot-time clock cannot be read");
    Instant(read_time.tv_sec as u64 * 1_000_000_000 + read_time.tv_nsec as u64)
}

/// Wall time in milliseconds, for log lines and recordings only.
pub fn unix_millis() -> u64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
