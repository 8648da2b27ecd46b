//! Ports for tests that no other test, run at the same time, comes upon.

use socket2::{Domain, Socket, Type};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::ops::Range;
use std::sync::atomic::{AtomicU16, Ordering};

/// Below the ports that the system gives to sockets which ask for any.
const RESERVED: Range<u16> = 20_000..30_000;
/// Test programs that run at the same time begin at different multiples of this.
const PORTS_PER_PROCESS: u16 = 101;
/// So many of them begin at different ports.
const PROCESSES: u16 = 97;
/// Connections that wait to be accepted.
const BACKLOG: i32 = 128;

/// An address that refuses connections. Its port is held: no other socket gets it meanwhile, as it may after a listener
/// was dropped.
#[derive(Debug)]
pub struct Refusing {
    socket: Socket,
}

impl Refusing {
    /// A new one on 127.0.0.1.
    ///
    /// # Panics
    /// Without a free port.
    pub fn bind() -> Refusing {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0).into()).expect("a free port");
        Refusing { socket }
    }

    /// Where it refuses.
    ///
    /// # Panics
    /// Never: it is bound to IPv4.
    pub fn address(&self) -> SocketAddrV4 {
        let address = self.socket.local_addr().expect("bound");
        address.as_socket_ipv4().expect("bound to IPv4")
    }

    /// Listens there from now on.
    ///
    /// # Panics
    /// If the system allows no listener.
    pub fn listen(self) -> TcpListener {
        self.socket.listen(BACKLOG).expect("bound");
        self.socket.into()
    }
}

/// The first of `count` successive ports that are free on all of these addresses, for a program that is told its ports. No
/// other call in this process returns them, and no socket that asks for any port gets them.
pub fn unused_ports(hosts: &[Ipv4Addr], count: u16) -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first_of_process = std::process::id() as u16 % PROCESSES * PORTS_PER_PROCESS;
    loop {
        let step = NEXT.fetch_add(count, Ordering::Relaxed);
        let first = RESERVED.start + first_of_process.wrapping_add(step) % (RESERVED.end - RESERVED.start);
        let is_free = |port: u16| hosts.iter().all(|host| TcpListener::bind((*host, port)).is_ok());
        if first + count <= RESERVED.end && (first..first + count).all(is_free) {
            return first;
        }
    }
}
