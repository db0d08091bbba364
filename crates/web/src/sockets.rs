//! Socket options that the standard library cannot set.

use crate::prelude::*;
use std::os::fd::AsRawFd;

/// How long bytes sent to a client may stay unacknowledged before its connection is closed.
pub const CLIENT_USER_TIMEOUT: Span = Span::seconds(5);

/// Sets how long sent bytes may stay unacknowledged before the connection is closed, because a peer behind a network
/// partition sends nothing that would close it. Systems without this option leave the connection unchanged.
#[allow(unsafe_code)]
pub fn set_user_timeout(stream: &impl AsRawFd, span: Span) {
    let millis = span.as_millis() as libc::c_uint;
    // SAFETY: the descriptor is open for as long as `stream` is borrowed, and the pointer and length are
    // those of a live integer that the call only reads.
    unsafe {
        libc::setsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_USER_TIMEOUT,
            std::ptr::from_ref(&millis).cast(),
            size_of::<libc::c_uint>() as libc::socklen_t,
        );
    }
}
