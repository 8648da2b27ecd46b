//! What the registers hold, as bytes.

use std::net::{Ipv4Addr, SocketAddrV4};

use configuration::Digest;
use deku::ctx::Endian;
use deku::{DekuContainerRead, DekuContainerWrite, DekuRead, DekuWrite};
use quick_error::quick_error;
use weights::{NamedWeights, Naming};

/// Most changes remembered with a configuration, so that one that is sent again is known as taken. At 1,900 changes a day
/// that is six hours of repeats, and 20 KB with each configuration. An order on a version older than these is not
/// refused but left without a clear answer: see [`Fate::Forgotten`].
pub const MOST_TAKEN: usize = 512;
/// Shorter lists have never lost an entry, whichever release wrote them: their first change was made on nothing.
const NEVER_SHORTENED: usize = 64;
/// Most models whose versions are named.
pub const MOST_MODELS: usize = 64;

quick_error! {
    /// Why the bytes of a register are not its value.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ValueError {
        Unreadable(register: &'static str, why: String) {
            display("register {}: the value can't be read: {}; run the same release on all core machines",
                register, why)
        }
    }
}

/// A change that took effect.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "endian: Endian", endian = "endian")]
pub struct TakenChange {
    /// The version that it made.
    pub version: u64,
    /// Digest of the operator's order.
    pub order: Digest,
}

/// What is known of an order, by what a configuration remembers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It took effect.
    Taken,
    /// It builds on the version that is in place, and has not taken effect.
    Open,
    /// It has not taken effect and never will: another change was made on its version, or there is no such version.
    Lost,
    /// It builds on a version of which nobody remembers what was made of it.
    Forgotten,
}

/// Value of the configuration register.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "little")]
pub struct ConfigurationValue {
    pub version: u64,
    #[deku(update = "self.taken.len()")]
    taken_count: u16,
    /// The newest changes that took effect, the newest last.
    #[deku(count = "taken_count")]
    pub taken: Vec<TakenChange>,
    #[deku(update = "self.body.len()")]
    body_length: u32,
    /// The configuration, JSON.
    #[deku(count = "body_length")]
    pub body: Vec<u8>,
}

impl ConfigurationValue {
    /// The value that follows `before` by the order of that digest.
    pub fn after(before: Option<&ConfigurationValue>, version: u64, order: Digest, body: Vec<u8>) -> Self {
        let mut taken: Vec<TakenChange> = before.map(|before| before.taken.clone()).unwrap_or_default();
        taken.push(TakenChange { version, order });
        let surplus = taken.len().saturating_sub(MOST_TAKEN);
        taken.drain(..surplus);
        ConfigurationValue {
            version,
            taken_count: taken.len() as u16,
            taken,
            body_length: body.len() as u32,
            body,
        }
    }

    /// What became of the order of that digest, which builds on version `based_on`.
    ///
    /// The remembered changes form a chain: each was made on the version of the one before it, and on each version one
    /// change at most takes effect.
    pub fn fate(&self, order: &Digest, based_on: u64) -> Fate {
        if self.taken.iter().any(|change| change.order == *order) {
            return Fate::Taken;
        }
        if based_on == self.version {
            return Fate::Open;
        }
        let oldest = self.taken.first().map_or(self.version, |change| change.version);
        let is_whole = self.taken.len() < NEVER_SHORTENED;
        if is_whole || based_on >= oldest {
            Fate::Lost
        } else {
            Fate::Forgotten
        }
    }

    pub fn read(bytes: &[u8]) -> Result<Self, ValueError> {
        read("configuration", bytes)
    }

    pub fn bytes(&self) -> Vec<u8> {
        self.to_bytes().unwrap_or_default()
    }
}

/// A version of a model's weights that was named.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "endian: Endian", endian = "endian")]
pub struct NamedVersion {
    #[deku(update = "self.model.len()")]
    model_length: u16,
    #[deku(count = "model_length")]
    model: Vec<u8>,
    pub version: u64,
    /// Time of day at which it was named, milliseconds since 1970.
    pub named_at_ms: u64,
}

impl NamedVersion {
    pub fn new(model: &str, version: u64, named_at_ms: u64) -> Self {
        NamedVersion {
            model_length: model.len() as u16,
            model: model.as_bytes().to_vec(),
            version,
            named_at_ms,
        }
    }

    pub fn model(&self) -> &str {
        std::str::from_utf8(&self.model).unwrap_or("")
    }
}

/// Value of the weights register: every naming that may still bind, of each model the newest first.
#[derive(Debug, Clone, Default, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "little")]
pub struct WeightsValue {
    #[deku(update = "self.models.len()")]
    model_count: u16,
    #[deku(count = "model_count")]
    pub models: Vec<NamedVersion>,
}

impl WeightsValue {
    /// The newest named version of a model, if it was ever named.
    pub fn version_of(&self, model: &str) -> Option<u64> {
        let of_model = self.models.iter().filter(|named| named.model() == model);
        of_model.map(|named| named.version).max()
    }

    /// This value with one more version named at the time of day `wall_ms`. What was named before, and may still be due,
    /// stays. `None` if there are too many models.
    pub fn with(&self, model: &str, version: u64, wall_ms: u64) -> Option<WeightsValue> {
        let mut weights = NamedWeights::default();
        for (model, naming) in self.namings() {
            weights.name(model, naming);
        }
        weights.name(model, Naming { version, named_at: wall_ms as i64 });
        weights.forget_old(wall_ms as i64);
        (weights.len() <= MOST_MODELS).then(|| WeightsValue::of(&weights))
    }

    /// All namings, with the time of day of each in milliseconds since 1970.
    pub fn namings(&self) -> impl Iterator<Item = (&str, Naming)> {
        let naming =
            |named: &NamedVersion| Naming { version: named.version, named_at: named.named_at_ms as i64 };
        self.models.iter().map(move |named| (named.model(), naming(named)))
    }

    /// The newest of a model comes first: releases that know of one naming a model look for the first.
    fn of(weights: &NamedWeights) -> WeightsValue {
        let version = |(model, naming): (&str, Naming)| {
            NamedVersion::new(model, naming.version, naming.named_at.max(0) as u64)
        };
        let models: Vec<NamedVersion> = weights.iter().map(version).collect();
        WeightsValue { model_count: models.len() as u16, models }
    }

    pub fn read(bytes: &[u8]) -> Result<Self, ValueError> {
        read("weights", bytes)
    }

    pub fn bytes(&self) -> Vec<u8> {
        self.to_bytes().unwrap_or_default()
    }
}

/// Value of the duty register: who may give orders to replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "little")]
pub struct DutyValue {
    holder_ip: u32,
    holder_port: u16,
    successor_ip: u32,
    successor_port: u16,
    /// Goes up with each holder.
    pub fence: u64,
    /// Goes up with each renewal, so that a renewal is another value.
    pub renewals: u64,
    released: u8,
}

impl DutyValue {
    pub fn held_by(holder: SocketAddrV4, fence: u64, renewals: u64) -> Self {
        DutyValue {
            holder_ip: u32::from(*holder.ip()),
            holder_port: holder.port(),
            successor_ip: 0,
            successor_port: 0,
            fence,
            renewals,
            released: 0,
        }
    }

    /// The same, held on.
    pub fn renewed(self) -> Self {
        DutyValue { renewals: self.renewals + 1, ..self }
    }

    /// The same, given up in favour of `successor`, if there is one.
    pub fn released(self, successor: Option<SocketAddrV4>) -> Self {
        let (ip, port) = successor.map_or((0, 0), |to| (u32::from(*to.ip()), to.port()));
        DutyValue { successor_ip: ip, successor_port: port, released: 1, ..self }
    }

    /// The controller that holds the duty, or held it last.
    pub fn holder(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from(self.holder_ip), self.holder_port)
    }

    pub fn successor(&self) -> Option<SocketAddrV4> {
        let named = self.successor_port != 0;
        named.then(|| SocketAddrV4::new(Ipv4Addr::from(self.successor_ip), self.successor_port))
    }

    /// Whether the holder gave it up.
    pub fn is_released(&self) -> bool {
        self.released != 0
    }

    pub fn read(bytes: &[u8]) -> Result<Self, ValueError> {
        read("duty", bytes)
    }

    pub fn bytes(&self) -> Vec<u8> {
        self.to_bytes().unwrap_or_default()
    }
}

/// Reads a value that is all of `bytes`.
pub(crate) fn read<T: for<'a> DekuContainerRead<'a>>(
    register: &'static str,
    bytes: &[u8],
) -> Result<T, ValueError> {
    let unreadable = |why: String| ValueError::Unreadable(register, why);
    match T::from_bytes((bytes, 0)) {
        Ok((([], _), value)) => Ok(value),
        Ok(((rest, _), _)) => Err(unreadable(format!("{} bytes too many", rest.len()))),
        Err(why) => Err(unreadable(why.to_string())),
    }
}
