//! What an acceptor keeps on disk: entries by slot, written together or not at all.

use std::io::Cursor;

use deku::{DekuContainerRead, DekuContainerWrite, DekuRead, DekuWrite};
use strum::{EnumCount, IntoEnumIterator};

use crate::ballot::Ballot;
use crate::error::RecordError;
use crate::key::RegisterKey;
use crate::set::{AcceptorId, KnownSet};
use crate::value::{Accepted, Body, Carried, Value};

/// One register of an acceptor.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegisterState {
    /// No round below this is taken part in.
    pub promised: Ballot,
    /// The value accepted last.
    pub accepted: Option<Accepted>,
}

/// One register for each [`RegisterKey`].
pub type Registers = [RegisterState; RegisterKey::COUNT];

/// Everything that an acceptor knows of itself after a restart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredState {
    /// The acceptor of this disk.
    pub id: AcceptorId,
    /// The newest decided set it knows.
    pub known: Option<KnownSet>,
    /// The epoch in which its registers were active last.
    pub data_epoch: Option<u32>,
    /// The registers.
    pub registers: Registers,
}

/// A part of an acceptor's state with an entry of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Slot {
    /// The acceptor's id.
    Identity,
    /// The known set and the data epoch.
    Group,
    /// What a register has promised.
    Promised(RegisterKey),
    /// What a register has accepted, without the bytes.
    Accepted(RegisterKey),
    /// The bytes of what a register has accepted.
    Value(RegisterKey),
}

const FIRST_REGISTER_SLOT: u16 = 16;
const SLOTS_OF_REGISTER: u16 = 4;

impl Slot {
    /// The number under which the entry is stored.
    pub fn number(self) -> u16 {
        let of_register =
            |key: RegisterKey, part| FIRST_REGISTER_SLOT + key as u16 * SLOTS_OF_REGISTER + part;
        match self {
            Slot::Identity => 0,
            Slot::Group => 1,
            Slot::Promised(key) => of_register(key, 0),
            Slot::Accepted(key) => of_register(key, 1),
            Slot::Value(key) => of_register(key, 2),
        }
    }

    /// The slot of a stored entry.
    pub fn from_number(number: u16) -> Option<Slot> {
        match number {
            0 => return Some(Slot::Identity),
            1 => return Some(Slot::Group),
            _ => {}
        }
        let offset = number.checked_sub(FIRST_REGISTER_SLOT)?;
        let key = RegisterKey::from_repr(u8::try_from(offset / SLOTS_OF_REGISTER).ok()?)?;
        match offset % SLOTS_OF_REGISTER {
            0 => Some(Slot::Promised(key)),
            1 => Some(Slot::Accepted(key)),
            2 => Some(Slot::Value(key)),
            _ => None,
        }
    }
}

/// An entry to be stored. Empty bytes stand for "nothing accepted".
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// See [`Slot::number`].
    pub slot: u16,
    /// What the slot holds from now on.
    pub bytes: Value,
}

/// Entries that are written together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// The entries, one a slot.
    pub entries: Vec<Entry>,
}

#[derive(DekuRead, DekuWrite)]
#[deku(endian = "little")]
struct IdentityEntry {
    id: AcceptorId,
}

#[derive(DekuRead, DekuWrite)]
#[deku(endian = "little")]
struct PromisedEntry {
    promised: Ballot,
}

#[derive(DekuRead, DekuWrite)]
#[deku(endian = "little")]
struct AcceptedEntry {
    carried: Carried,
}

#[derive(DekuRead, DekuWrite)]
#[deku(endian = "little")]
struct GroupEntry {
    data_epoch_count: u8,
    #[deku(count = "data_epoch_count")]
    data_epoch: Vec<u32>,
    known_count: u8,
    #[deku(count = "known_count")]
    known: Vec<KnownSet>,
}

fn bytes_of<T: DekuContainerWrite>(entry: &T) -> Value {
    Value::from(entry.to_bytes().expect("every entry has bytes"))
}

fn parse<T: for<'a> DekuContainerRead<'a>>(slot: u16, bytes: &[u8]) -> Result<T, RecordError> {
    let mut cursor = Cursor::new(bytes);
    let parsed = T::from_reader((&mut cursor, 0));
    let (_, entry) = parsed.map_err(|error| RecordError::Entry { slot, cause: error.to_string() })?;
    if cursor.position() as usize != bytes.len() {
        return Err(RecordError::Entry { slot, cause: "bytes follow its end".to_owned() });
    }
    Ok(entry)
}

impl StoredState {
    /// The entry of `slot` as this state has it.
    pub fn entry(&self, slot: Slot) -> Entry {
        let bytes = match slot {
            Slot::Identity => bytes_of(&IdentityEntry { id: self.id }),
            Slot::Group => bytes_of(&self.group_entry()),
            Slot::Promised(key) => {
                bytes_of(&PromisedEntry { promised: self.registers[key.index()].promised })
            }
            Slot::Accepted(key) => self.accepted_entry(key),
            Slot::Value(key) => match &self.registers[key.index()].accepted {
                Some(accepted) => accepted.value.clone(),
                None => Value::from(Vec::new()),
            },
        };
        Entry { slot: slot.number(), bytes }
    }

    fn group_entry(&self) -> GroupEntry {
        GroupEntry {
            data_epoch_count: self.data_epoch.is_some().into(),
            data_epoch: self.data_epoch.into_iter().collect(),
            known_count: self.known.is_some().into(),
            known: self.known.iter().cloned().collect(),
        }
    }

    fn accepted_entry(&self, key: RegisterKey) -> Value {
        match &self.registers[key.index()].accepted {
            None => Value::from(Vec::new()),
            Some(accepted) => bytes_of(&AcceptedEntry { carried: Carried::of(accepted, accepted.origin) }),
        }
    }

    /// The state that stored entries make up; `None` if there are none.
    pub fn from_entries(
        entries: impl IntoIterator<Item = Entry>,
    ) -> Result<Option<StoredState>, RecordError> {
        let mut found = FoundEntries::default();
        let mut any = false;
        for entry in entries {
            any = true;
            found.take(entry)?;
        }
        if !any {
            return Ok(None);
        }
        found.finish().map(Some)
    }
}

#[derive(Default)]
struct FoundEntries {
    id: Option<AcceptorId>,
    group: Option<GroupEntry>,
    registers: [FoundRegister; RegisterKey::COUNT],
}

#[derive(Default)]
struct FoundRegister {
    promised: Ballot,
    accepted: Option<Carried>,
    value: Option<Value>,
}

impl FoundEntries {
    fn take(&mut self, entry: Entry) -> Result<(), RecordError> {
        let number = entry.slot;
        let slot = Slot::from_number(number).ok_or(RecordError::UnknownSlot { slot: number })?;
        let bytes = entry.bytes.bytes();
        match slot {
            Slot::Identity => self.id = Some(parse::<IdentityEntry>(number, bytes)?.id),
            Slot::Group => self.group = Some(parse(number, bytes)?),
            Slot::Promised(key) => {
                self.registers[key.index()].promised = parse::<PromisedEntry>(number, bytes)?.promised;
            }
            Slot::Accepted(_) if bytes.is_empty() => {}
            Slot::Accepted(key) => {
                self.registers[key.index()].accepted = Some(parse::<AcceptedEntry>(number, bytes)?.carried);
            }
            Slot::Value(key) => self.registers[key.index()].value = Some(entry.bytes),
        }
        Ok(())
    }

    fn finish(self) -> Result<StoredState, RecordError> {
        let id = self.id.ok_or(RecordError::Missing { slot: Slot::Identity.number() })?;
        let group = self.group.ok_or(RecordError::Missing { slot: Slot::Group.number() })?;
        let mut registers = Registers::default();
        for (key, found) in RegisterKey::iter().zip(self.registers) {
            registers[key.index()] = found.finish(key)?;
        }
        let known = group.known.into_iter().next();
        Ok(StoredState { id, known, data_epoch: group.data_epoch.first().copied(), registers })
    }
}

impl FoundRegister {
    fn finish(self, key: RegisterKey) -> Result<RegisterState, RecordError> {
        let Some(mut carried) = self.accepted else {
            return Ok(RegisterState { promised: self.promised, accepted: None });
        };
        let missing = RecordError::Missing { slot: Slot::Value(key).number() };
        carried.body = Body::Full(self.value.ok_or_else(|| missing.clone())?);
        let accepted = carried.resolve(None).ok_or(missing)?;
        Ok(RegisterState { promised: self.promised, accepted: Some(accepted) })
    }
}
