//! Acceptor ids and acceptor sets.

use std::io::{Read, Seek, Write};
use std::net::{Ipv4Addr, SocketAddrV4};

use deku::ctx::Endian;
use deku::reader::Reader;
use deku::writer::Writer;
use deku::{DekuContainerRead, DekuContainerWrite, DekuError, DekuRead, DekuReader, DekuWrite, DekuWriter};

use crate::random::Random;
use crate::value::Value;

/// The largest acceptor set.
pub const MAX_MEMBERS: usize = 9;

/// Set in ids that were drawn, clear in ids of the first start.
const DRAWN_BIT: u64 = 1 << 63;

/// Names the acceptor that one disk holds. A machine whose disk came back empty is another acceptor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, DekuRead, DekuWrite)]
#[deku(ctx = "endian: Endian", endian = "endian")]
pub struct AcceptorId(pub u64);

impl AcceptorId {
    /// The id of the acceptor at `address` at the first start of the whole system. Every machine computes the
    /// same one, so the first set needs no exchange.
    pub fn of_first_start(address: SocketAddrV4) -> AcceptorId {
        let raw = (u64::from(u32::from(*address.ip())) << 16) | u64::from(address.port());
        AcceptorId(Random::new(raw).next_u64() & !DRAWN_BIT)
    }

    /// The id of an acceptor on a disk found empty at any later time.
    pub fn drawn(random: &mut Random) -> AcceptorId {
        AcceptorId(random.next_u64() | DRAWN_BIT)
    }
}

/// One acceptor of a set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member {
    /// The acceptor.
    pub id: AcceptorId,
    /// Where its machine takes messages.
    pub address: SocketAddrV4,
}

impl DekuReader<'_, Endian> for Member {
    fn from_reader_with_ctx<R: Read + Seek>(
        reader: &mut Reader<R>,
        endian: Endian,
    ) -> Result<Self, DekuError> {
        let id = AcceptorId::from_reader_with_ctx(reader, endian)?;
        let ip = u32::from_reader_with_ctx(reader, endian)?;
        let port = u16::from_reader_with_ctx(reader, endian)?;
        Ok(Member { id, address: SocketAddrV4::new(Ipv4Addr::from(ip), port) })
    }
}

impl DekuWriter<Endian> for Member {
    fn to_writer<W: Write + Seek>(&self, writer: &mut Writer<W>, endian: Endian) -> Result<(), DekuError> {
        self.id.to_writer(writer, endian)?;
        u32::from(*self.address.ip()).to_writer(writer, endian)?;
        self.address.port().to_writer(writer, endian)
    }
}

/// The acceptors of one epoch.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "endian: Endian", endian = "endian")]
pub struct AcceptorSet {
    /// Grows by one with each set.
    pub epoch: u32,
    #[deku(update = "self.members.len()", assert = "*member_count as usize <= MAX_MEMBERS")]
    member_count: u8,
    /// Sorted by address.
    #[deku(count = "member_count")]
    pub members: Vec<Member>,
}

impl AcceptorSet {
    /// A set of these members.
    pub fn new(epoch: u32, mut members: Vec<Member>) -> AcceptorSet {
        members.sort_by_key(|member| member.address);
        AcceptorSet { epoch, member_count: members.len() as u8, members }
    }

    /// The set of the first start: the acceptors at the seed addresses.
    pub fn of_first_start(seeds: &[SocketAddrV4]) -> AcceptorSet {
        let member =
            |address: &SocketAddrV4| Member { id: AcceptorId::of_first_start(*address), address: *address };
        let mut members: Vec<Member> = seeds.iter().map(member).collect();
        members.sort();
        members.dedup();
        members.truncate(MAX_MEMBERS);
        AcceptorSet::new(0, members)
    }

    /// How many acceptors are a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Whether `id` is a member.
    pub fn contains(&self, id: AcceptorId) -> bool {
        self.members.iter().any(|member| member.id == id)
    }

    /// The member at `address`.
    pub fn at(&self, address: SocketAddrV4) -> Option<&Member> {
        self.members.iter().find(|member| member.address == address)
    }
}

/// A decided set with the one before it, from which its members are installed.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "endian: Endian", endian = "endian")]
pub struct KnownSet {
    /// The decided set.
    pub set: AcceptorSet,
    /// The set that decided it; empty for the first set.
    pub previous: AcceptorSet,
}

impl KnownSet {
    /// The first set, which none came before.
    pub fn first(seeds: &[SocketAddrV4]) -> KnownSet {
        KnownSet { set: AcceptorSet::of_first_start(seeds), previous: AcceptorSet::new(0, Vec::new()) }
    }
}

/// An acceptor set as the value of its register.
#[derive(DekuRead, DekuWrite)]
#[deku(endian = "little")]
struct SetValue {
    set: AcceptorSet,
}

impl AcceptorSet {
    /// The set as a value of [`crate::RegisterKey::Members`].
    pub fn to_value(&self) -> Value {
        let wrapped = SetValue { set: self.clone() };
        Value::from(wrapped.to_bytes().expect("every set has bytes"))
    }

    /// The set that such a value holds.
    pub fn from_value(value: &Value) -> Option<AcceptorSet> {
        let (_, wrapped) = SetValue::from_bytes((value.bytes(), 0)).ok()?;
        Some(wrapped.set)
    }
}
