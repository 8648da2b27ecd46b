//! Values and what is known with them.

use std::fmt;
use std::io::{Read, Seek, Write};
use std::sync::Arc;

use deku::ctx::{Endian, ReadExact};
use deku::reader::Reader;
use deku::writer::Writer;
use deku::{DekuError, DekuRead, DekuReader, DekuWrite, DekuWriter};

use crate::ballot::Ballot;

/// The longest value in bytes.
pub const MAX_VALUE_BYTES: usize = 4 << 20;

/// How many earlier versions a value names.
pub const MAX_LINEAGE: usize = 8;

/// The opaque bytes of a register, shared and never changed.
#[derive(Clone, PartialEq, Eq)]
pub struct Value(pub Arc<[u8]>);

impl Value {
    /// The bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl From<Vec<u8>> for Value {
    fn from(bytes: Vec<u8>) -> Value {
        Value(bytes.into())
    }
}

impl From<&[u8]> for Value {
    fn from(bytes: &[u8]) -> Value {
        Value(bytes.into())
    }
}

impl fmt::Debug for Value {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Value({} bytes)", self.0.len())
    }
}

impl DekuReader<'_, Endian> for Value {
    fn from_reader_with_ctx<R: Read + Seek>(
        reader: &mut Reader<R>,
        endian: Endian,
    ) -> Result<Self, DekuError> {
        let length = u32::from_reader_with_ctx(reader, endian)? as usize;
        if length > MAX_VALUE_BYTES {
            return Err(DekuError::Parse("a value is over MAX_VALUE_BYTES"));
        }
        let bytes = Vec::<u8>::from_reader_with_ctx(reader, ReadExact(length))?;
        Ok(Value(bytes.into()))
    }
}

impl DekuWriter<Endian> for Value {
    fn to_writer<W: Write + Seek>(&self, writer: &mut Writer<W>, endian: Endian) -> Result<(), DekuError> {
        (self.0.len() as u32).to_writer(writer, endian)?;
        writer.write_bytes(&self.0)
    }
}

/// A value with the round that had it accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// The round in which an acceptor accepted it last.
    pub ballot: Ballot,
    /// The round that first proposed it: the version that callers compare with.
    pub origin: Ballot,
    /// Origins of the values before it, newest first, at most [`MAX_LINEAGE`].
    pub lineage: Vec<Ballot>,
    /// The bytes.
    pub value: Value,
}

impl Accepted {
    /// The lineage of a value that follows this one.
    pub fn next_lineage(&self) -> Vec<Ballot> {
        let earlier = self.lineage.iter().take(MAX_LINEAGE - 1);
        std::iter::once(self.origin).chain(earlier.copied()).collect()
    }

    /// Whether `attempt` is this value or one it was built on.
    pub fn includes(&self, attempt: Ballot) -> bool {
        self.origin == attempt || self.lineage.contains(&attempt)
    }

    /// Whether the lineage reaches back far enough to say that `attempt`, if not included, is none of the
    /// values before this one.
    pub fn covers(&self, attempt: Ballot) -> bool {
        self.lineage.len() < MAX_LINEAGE || self.lineage.last().is_some_and(|oldest| *oldest < attempt)
    }
}

/// The bytes of a value, or that the receiver holds them already.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", ctx = "endian: Endian", endian = "endian")]
pub enum Body {
    /// The receiver said that it holds the value of this origin.
    #[deku(id = 0)]
    Held,
    /// The bytes.
    #[deku(id = 1)]
    Full(Value),
}

/// An accepted value as it travels.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "endian: Endian", endian = "endian")]
pub struct Carried {
    /// See [`Accepted::ballot`].
    pub ballot: Ballot,
    /// See [`Accepted::origin`].
    pub origin: Ballot,
    #[deku(update = "self.lineage.len()", assert = "*lineage_length as usize <= MAX_LINEAGE")]
    lineage_length: u8,
    /// See [`Accepted::lineage`].
    #[deku(count = "lineage_length")]
    pub lineage: Vec<Ballot>,
    /// See [`Accepted::value`].
    pub body: Body,
}

impl Carried {
    /// What travels to a receiver that holds the value of origin `held`.
    pub fn of(accepted: &Accepted, held: Ballot) -> Carried {
        let body = if accepted.origin == held { Body::Held } else { Body::Full(accepted.value.clone()) };
        Carried {
            ballot: accepted.ballot,
            origin: accepted.origin,
            lineage_length: accepted.lineage.len() as u8,
            lineage: accepted.lineage.clone(),
            body,
        }
    }

    /// The accepted value, with the bytes from `held` where they were left out. `None` if they are not there.
    pub fn resolve(self, held: Option<&Accepted>) -> Option<Accepted> {
        let value = match self.body {
            Body::Full(value) => value,
            Body::Held => held.filter(|held| held.origin == self.origin)?.value.clone(),
        };
        Some(Accepted { ballot: self.ballot, origin: self.origin, lineage: self.lineage, value })
    }
}

/// What an acceptor has accepted in a register.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", ctx = "endian: Endian", endian = "endian")]
pub enum Report {
    /// Nothing yet.
    #[deku(id = 0)]
    Empty,
    /// This.
    #[deku(id = 1)]
    Accepted(Carried),
}

impl Report {
    /// The report of `accepted` to a receiver that holds the value of origin `held`.
    pub fn of(accepted: Option<&Accepted>, held: Ballot) -> Report {
        accepted.map_or(Report::Empty, |accepted| Report::Accepted(Carried::of(accepted, held)))
    }

    /// The ballot accepted, [`Ballot::ZERO`] if none.
    pub fn ballot(&self) -> Ballot {
        match self {
            Report::Empty => Ballot::ZERO,
            Report::Accepted(carried) => carried.ballot,
        }
    }

    /// The origin accepted, [`Ballot::ZERO`] if none.
    pub fn origin(&self) -> Ballot {
        match self {
            Report::Empty => Ballot::ZERO,
            Report::Accepted(carried) => carried.origin,
        }
    }
}
