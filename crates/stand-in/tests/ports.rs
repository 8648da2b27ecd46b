//! Ports of tests stay theirs.

use stand_in::ports::{unused_ports, Refusing};
use std::io::ErrorKind;
use std::net::{Ipv4Addr, TcpListener, TcpStream};

#[test]
fn an_address_that_refuses_is_nobody_elses() {
    let refusing = Refusing::bind();
    let address = refusing.address();
    assert_eq!(TcpStream::connect(address).expect_err("refused").kind(), ErrorKind::ConnectionRefused);
    assert_eq!(TcpListener::bind(address).expect_err("held").kind(), ErrorKind::AddrInUse);
    let listener = refusing.listen();
    TcpStream::connect(address).expect("a listener");
    // What a test had before: a dropped listener's port is anybody's.
    drop(listener);
    TcpListener::bind(address).expect("free again");
}

#[test]
fn ports_are_given_out_once() {
    let hosts = [Ipv4Addr::LOCALHOST, Ipv4Addr::new(127, 0, 0, 2)];
    let mut given: Vec<u16> =
        (0..20).map(|_| unused_ports(&hosts, 2)).flat_map(|first| [first, first + 1]).collect();
    given.sort_unstable();
    let count = given.len();
    given.dedup();
    assert_eq!(given.len(), count);
    let taken = TcpListener::bind((hosts[1], 0)).expect("any port").local_addr().expect("bound").port();
    assert!(!given.contains(&taken));
}
