//! Socket options that the standard library cannot set.

use crate::prelude::*;
use std::os::fd::AsRawFd;

/// How long sent bytes may stay unacknowledged before the connection is closed, because a peer behind a network
/// partition sends nothing that would close it.
const USER_TIMEOUT: Span = Span::millis(2000);

/// Keepalive of an idle connection: seconds before the first probe, seconds between probes, and number of probes.
const KEEPALIVE: [(libc::c_int, libc::c_int); 3] =
    [(libc::TCP_KEEPIDLE, 3), (libc::TCP_KEEPINTVL, 1), (libc::TCP_KEEPCNT, 3)];

/// Detects a peer that is gone, whether anything is being sent to it or not.
pub(crate) fn detect_dead_peer(stream: &TcpStream) {
    set_option(stream, libc::IPPROTO_TCP, libc::TCP_USER_TIMEOUT, USER_TIMEOUT.as_millis() as libc::c_int);
    set_option(stream, libc::SOL_SOCKET, libc::SO_KEEPALIVE, 1);
    for (option, value) in KEEPALIVE {
        set_option(stream, libc::IPPROTO_TCP, option, value);
    }
}

/// Sets an option; a system without it leaves the connection unchanged.
#[allow(unsafe_code)]
fn set_option(stream: &TcpStream, level: libc::c_int, option: libc::c_int, value: libc::c_int) {
    // SAFETY: the descriptor is open while `stream` is borrowed; the pointer and length are those of a live
    // integer that the call only reads.
    unsafe {
        libc::setsockopt(
            stream.as_raw_fd(),
            level,
            option,
            std::ptr::from_ref(&value).cast(),
            size_of::<libc::c_int>() as libc::socklen_t,
        );
    }
}
