//! The kernel's record of a connection, over loopback sockets.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};
use tcp_info::{since_last_received, since_last_sent};

/// More than the kernel's clock ticks can hide.
const NOTICEABLE: Duration = Duration::from_millis(30);

fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let client = TcpStream::connect(listener.local_addr().expect("bound")).expect("somebody listens");
    (client, listener.accept().expect("a connection").0)
}

#[test]
fn data_counts_from_when_it_came_and_not_from_when_it_is_read() {
    let (mut client, mut server) = pair();
    client.write_all(b"request").expect("connected");
    let sent = Instant::now();
    while since_last_received(&server).expect("a TCP socket") < NOTICEABLE {
        assert!(sent.elapsed() < Duration::from_secs(10), "the kernel's clock stands still");
    }
    assert!(sent.elapsed() >= NOTICEABLE - Duration::from_millis(10));
    assert!(since_last_sent(&client).expect("a TCP socket") >= NOTICEABLE - Duration::from_millis(10));
    server.read_exact(&mut [0; 7]).expect("connected");
    assert!(since_last_received(&server).expect("a TCP socket") >= NOTICEABLE);
}

#[test]
fn what_is_no_tcp_socket_is_an_error() {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    assert!(since_last_received(&socket).is_err());
}
