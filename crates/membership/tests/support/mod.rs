//! Members by number.

use std::net::{Ipv4Addr, SocketAddrV4};

use membership::Member;

/// The inner address of a member.
pub fn address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 7640)
}

/// A member; neighbours by number are in different zones.
pub fn member(number: u8) -> Member {
    Member {
        node: format!("core-{number}"),
        peer: address(number),
        control: SocketAddrV4::new(*address(number).ip(), 8169),
        zone: format!("zone-{}", number % 3),
    }
}
