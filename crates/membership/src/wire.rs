//! Messages as bytes.

use std::net::{Ipv4Addr, SocketAddrV4};

use deku::ctx::Endian;
use deku::{DekuContainerRead, DekuContainerWrite, DekuRead, DekuWrite};
use quick_error::quick_error;

use crate::{Member, Message, Status, Update};

quick_error! {
    /// Why bytes are not a message.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum WireError {
        Malformed(why: String) {
            display("membership message: {}; run releases that fit on all core machines", why)
        }
    }
}

#[derive(Debug, Clone, Copy, DekuRead, DekuWrite)]
#[deku(ctx = "endian: Endian", endian = "endian")]
struct WireAddress {
    ip: u32,
    port: u16,
}

#[derive(Debug, Clone, DekuRead, DekuWrite)]
#[deku(ctx = "endian: Endian", endian = "endian")]
struct WireText {
    length: u8,
    #[deku(count = "length")]
    bytes: Vec<u8>,
}

#[derive(Debug, Clone, DekuRead, DekuWrite)]
#[deku(ctx = "endian: Endian", endian = "endian")]
struct WireUpdate {
    node: WireText,
    zone: WireText,
    peer: WireAddress,
    control: WireAddress,
    incarnation: u64,
    /// See [`status_number`].
    status: u8,
    /// Who suspects; no address where nobody does.
    by: WireAddress,
}

#[derive(Debug, Clone, DekuRead, DekuWrite)]
#[deku(endian = "little")]
struct WireMessage {
    /// See [`encode`].
    kind: u8,
    number: u64,
    target: WireAddress,
    update_count: u8,
    #[deku(count = "update_count")]
    updates: Vec<WireUpdate>,
}

const PROBE: u8 = 1;
const ANSWER: u8 = 2;
const PROBE_FOR: u8 = 3;
const NO_ANSWER: u8 = 4;
const EXCHANGE: u8 = 5;
const EXCHANGE_REPLY: u8 = 6;

const ALIVE: u8 = 1;
const SUSPECT: u8 = 2;
const DOWN: u8 = 3;
const LEFT: u8 = 4;

const NOBODY: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);

/// A message as bytes.
///
/// # Errors
/// The message can't be written; it holds more than the protocol has room for.
pub fn encode(message: &Message) -> Result<Vec<u8>, WireError> {
    let (kind, number, target) = match message {
        Message::Probe { number, .. } => (PROBE, *number, NOBODY),
        Message::Answer { number, .. } => (ANSWER, *number, NOBODY),
        Message::ProbeFor { number, target, .. } => (PROBE_FOR, *number, *target),
        Message::NoAnswer { number, .. } => (NO_ANSWER, *number, NOBODY),
        Message::Exchange { reply: false, .. } => (EXCHANGE, 0, NOBODY),
        Message::Exchange { reply: true, .. } => (EXCHANGE_REPLY, 0, NOBODY),
    };
    let updates: Vec<WireUpdate> = message.updates().iter().map(WireUpdate::from).collect();
    let update_count =
        u8::try_from(updates.len()).map_err(|_| WireError::Malformed("too many updates".to_string()))?;
    let wire = WireMessage { kind, number, target: target.into(), update_count, updates };
    wire.to_bytes().map_err(|why| WireError::Malformed(why.to_string()))
}

/// Reads a message.
///
/// # Errors
/// Tells what is wrong with the bytes.
pub fn decode(bytes: &[u8]) -> Result<Message, WireError> {
    let (_, wire) =
        WireMessage::from_bytes((bytes, 0)).map_err(|why| WireError::Malformed(why.to_string()))?;
    let updates = wire.updates.into_iter().map(Update::try_from).collect::<Result<Vec<Update>, _>>()?;
    let (number, target) = (wire.number, wire.target.into());
    Ok(match wire.kind {
        PROBE => Message::Probe { number, updates },
        ANSWER => Message::Answer { number, updates },
        PROBE_FOR => Message::ProbeFor { number, target, updates },
        NO_ANSWER => Message::NoAnswer { number, updates },
        EXCHANGE => Message::Exchange { reply: false, updates },
        EXCHANGE_REPLY => Message::Exchange { reply: true, updates },
        other => return Err(WireError::Malformed(format!("kind {other} is unknown"))),
    })
}

impl From<SocketAddrV4> for WireAddress {
    fn from(address: SocketAddrV4) -> WireAddress {
        WireAddress { ip: u32::from(*address.ip()), port: address.port() }
    }
}

impl From<WireAddress> for SocketAddrV4 {
    fn from(address: WireAddress) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from(address.ip), address.port)
    }
}

impl From<&str> for WireText {
    fn from(text: &str) -> WireText {
        let mut end = text.len().min(usize::from(u8::MAX));
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        WireText { length: end as u8, bytes: text.as_bytes()[..end].to_vec() }
    }
}

impl WireText {
    fn into_string(self) -> Result<String, WireError> {
        String::from_utf8(self.bytes).map_err(|_| WireError::Malformed("a name is not UTF-8".to_string()))
    }
}

impl From<&Update> for WireUpdate {
    fn from(update: &Update) -> WireUpdate {
        let by = match update.status {
            Status::Suspect { by } => by,
            _ => NOBODY,
        };
        WireUpdate {
            node: update.member.node.as_str().into(),
            zone: update.member.zone.as_str().into(),
            peer: update.member.peer.into(),
            control: update.member.control.into(),
            incarnation: update.incarnation,
            status: status_number(update.status),
            by: by.into(),
        }
    }
}

impl TryFrom<WireUpdate> for Update {
    type Error = WireError;

    fn try_from(wire: WireUpdate) -> Result<Update, WireError> {
        let status = match wire.status {
            ALIVE => Status::Alive,
            SUSPECT => Status::Suspect { by: wire.by.into() },
            DOWN => Status::Down,
            LEFT => Status::Left,
            other => return Err(WireError::Malformed(format!("status {other} is unknown"))),
        };
        let member = Member {
            node: wire.node.into_string()?,
            peer: wire.peer.into(),
            control: wire.control.into(),
            zone: wire.zone.into_string()?,
        };
        Ok(Update { member, incarnation: wire.incarnation, status })
    }
}

fn status_number(status: Status) -> u8 {
    match status {
        Status::Alive => ALIVE,
        Status::Suspect { .. } => SUSPECT,
        Status::Down => DOWN,
        Status::Left => LEFT,
    }
}
