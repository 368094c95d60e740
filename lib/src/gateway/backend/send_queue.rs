//! Asks the kernel for the send queue of a socket.

use std::ffi::c_int;
use std::os::fd::AsFd;

use rustix::ioctl::Getter;
use rustix::ioctl::Opcode;
use rustix::ioctl::ioctl;

/// Linux's call for the size of the send queue, the same number on x86-64 and arm64.
const SIOCOUTQ: Opcode = 0x5411;

/// Bytes that were written to a TCP socket and that the other end has not acknowledged. Zero if the connection was
/// reset, which drops the queue and shows as an error of the connection.
#[expect(unsafe_code, reason = "no library has a function for this call")]
pub(super) fn unacknowledged_bytes(socket: impl AsFd) -> usize {
    // SAFETY: the call writes an `int`, and nothing else.
    let bytes = unsafe { ioctl(socket, Getter::<SIOCOUTQ, c_int>::new()) };
    bytes.map_or(0, |bytes| usize::try_from(bytes).unwrap_or(0))
}
