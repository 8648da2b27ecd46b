//! Listening where another process of the same coordinator may listen too, while one replaces the other.
//!
//! Each listener has an accept queue of its own in the system, and what lies in the queue of a listener that closes is
//! reset. So new connections are directed to the newest listener alone: the queue of an older one is empty soon, stays
//! so, and its listener can close without a loss.

use nix::libc::{sock_filter, sock_fprog, BPF_K, BPF_RET};
use nix::sys::socket::{setsockopt, sockopt};
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};

/// Connections that may wait to be accepted; the system has a limit of its own.
const BACKLOG: i32 = 4096;
/// The place of the newest listener among two of one address: the system numbers them from 0 in the order in which they
/// began to listen. Where there is one alone, the system finds no such place and chooses the one that is there.
const NEWEST: u32 = 1;

/// A listener, and whether the system directs new connections to the newest listener at its address; else it spreads them
/// over all.
#[derive(Debug)]
pub struct Listening {
    /// The listener; it does not block.
    pub socket: TcpListener,
    /// New connections are directed.
    pub is_directed: bool,
}

/// Listens at an address, beside another process of the same user that does.
///
/// # Errors
/// Passes on what the system says.
pub fn listen(address: SocketAddr) -> io::Result<Listening> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    setsockopt(&socket, sockopt::ReusePort, &true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    let directed = direct_to_newest(&socket);
    if let Err(why) = &directed {
        tracing::warn!(
            "{address}: {why}; while a process replaces another, connections are spread over both"
        );
    }
    Ok(Listening { socket: socket.into(), is_directed: directed.is_ok() })
}

/// Hands the system a program of one instruction, which names the place of the listener for each new connection.
fn direct_to_newest(socket: &Socket) -> io::Result<()> {
    let code = (BPF_RET | BPF_K) as u16;
    let mut program = [sock_filter { code, jt: 0, jf: 0, k: NEWEST }];
    let program = sock_fprog { len: 1, filter: program.as_mut_ptr() };
    Ok(setsockopt(socket, sockopt::AttachReusePortCbpf, &program)?)
}
