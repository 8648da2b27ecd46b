//! Small values that messages are made of.

use deku::prelude::*;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};

/// A short text, 64 KiB at most; what is longer is cut at a character.
#[derive(Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord, DekuRead, DekuWrite)]
pub struct Text {
    #[deku(endian = "little", update = "self.bytes.len()")]
    length: u16,
    #[deku(count = "length")]
    bytes: Vec<u8>,
}

impl Text {
    /// The text; empty where a peer sent what is no UTF-8.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.bytes).unwrap_or_default()
    }
}

impl From<&str> for Text {
    fn from(text: &str) -> Text {
        let mut end = text.len().min(usize::from(u16::MAX));
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        let bytes = text.as_bytes()[..end].to_vec();
        Text { length: end as u16, bytes }
    }
}

impl From<String> for Text {
    fn from(text: String) -> Text {
        Text::from(text.as_str())
    }
}

impl fmt::Debug for Text {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{:?}", self.as_str())
    }
}

impl fmt::Display for Text {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// An IPv4 address and port.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, DekuRead, DekuWrite)]
pub struct Address {
    ip: [u8; 4],
    #[deku(endian = "little")]
    port: u16,
}

impl Address {
    /// No address.
    pub const NONE: Address = Address { ip: [0; 4], port: 0 };

    /// The address for sockets; `None` for [`Address::NONE`].
    pub fn socket(self) -> Option<SocketAddrV4> {
        (self.port != 0).then(|| SocketAddrV4::new(Ipv4Addr::from(self.ip), self.port))
    }
}

impl From<SocketAddrV4> for Address {
    fn from(address: SocketAddrV4) -> Address {
        Address { ip: address.ip().octets(), port: address.port() }
    }
}
