//! What the kernel knows of a TCP connection (`TCP_INFO`). The only crate of the fleet with unsafe code.

#![warn(missing_docs)]
#![deny(unsafe_op_in_unsafe_fn)]

use std::io;
use std::mem::{size_of, zeroed};
use std::os::fd::{AsFd, AsRawFd};
use std::time::Duration;

/// How long ago the kernel received the last data of a connection, read or not. A connection without data counts from the
/// moment it was established. As exact as the kernel's clock ticks: 1 to 10 ms.
///
/// # Errors
/// The descriptor is no TCP socket.
pub fn since_last_received(socket: &impl AsFd) -> io::Result<Duration> {
    Ok(Duration::from_millis(tcp_info(socket)?.tcpi_last_data_recv.into()))
}

/// How long ago the last data of a connection was sent, by the kernel's clock ticks.
///
/// # Errors
/// The descriptor is no TCP socket.
pub fn since_last_sent(socket: &impl AsFd) -> io::Result<Duration> {
    Ok(Duration::from_millis(tcp_info(socket)?.tcpi_last_data_sent.into()))
}

fn tcp_info(socket: &impl AsFd) -> io::Result<libc::tcp_info> {
    let descriptor = socket.as_fd().as_raw_fd();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the structure holds integers only, for which all bits zero are a value.
    let mut info: libc::tcp_info = unsafe { zeroed() };
    // SAFETY: the descriptor is open while it is borrowed; the kernel writes at most `length` bytes into `info`.
    let result = unsafe {
        libc::getsockopt(
            descriptor,
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            (&raw mut info).cast(),
            &raw mut length,
        )
    };
    match result {
        0 => Ok(info),
        _ => Err(io::Error::last_os_error()),
    }
}
