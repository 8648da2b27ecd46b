//! The acceptor: what one disk has promised and accepted.
//!
//! The acceptor changes its state in memory and marks the slots that differ from the disk. Its answers leave
//! only when the disk holds what they tell ([`crate::durability`]).
//!
//! Knowing a newer decided set seals the acceptor: it takes part in no round of the older epoch any more, and
//! only then gives its registers to members of the newer set. Having accepted a next set that may never be
//! decided seals nothing, so a change of sets that gets stuck holds no caller up.

use std::collections::BTreeSet;

use strum::{EnumCount, IntoEnumIterator};

use crate::ballot::Ballot;
use crate::key::RegisterKey;
use crate::message::{Call, Pull, Refusal, RegisterMessage, RegisterReport, Reply, StateReport, NO_EPOCH};
use crate::record::{Record, RegisterState, Registers, Slot, StoredState};
use crate::set::{AcceptorId, KnownSet};
use crate::transfer::Baseline;
use crate::value::{Accepted, Carried, Report};

/// The part of the state that a failed write takes back.
#[derive(Clone, Debug)]
pub struct Snapshot {
    data_epoch: Option<u32>,
    registers: Registers,
}

/// What a call asks for.
pub enum CallKind {
    /// Promise, and tell what is accepted.
    Prepare { held: Ballot },
    /// Accept.
    Accept { value: Carried },
    /// Tell what is accepted.
    Query { held: Ballot },
}

/// The slots an answer tells of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// None: the answer may leave at once.
    Nothing,
    /// The id, the group and one register.
    Register(RegisterKey),
    /// Everything.
    Whole,
}

/// An answer and what must be on disk before it leaves.
pub struct Answer {
    /// The answer.
    pub message: RegisterMessage,
    /// What it tells of.
    pub basis: Basis,
}

/// The acceptor of one disk.
pub struct Acceptor {
    state: StoredState,
    durable: Snapshot,
    dirty: BTreeSet<Slot>,
}

impl Acceptor {
    /// An acceptor whose state the disk holds.
    pub fn stored(state: StoredState) -> Acceptor {
        let durable = Snapshot { data_epoch: state.data_epoch, registers: state.registers.clone() };
        Acceptor { state, durable, dirty: BTreeSet::new() }
    }

    /// An acceptor on an empty disk. `known` is the first set at the first start of the whole system.
    pub fn new(id: AcceptorId, known: Option<KnownSet>) -> Acceptor {
        let is_first_member = known.as_ref().is_some_and(|known| known.set.contains(id));
        let state = StoredState {
            id,
            data_epoch: is_first_member.then_some(0),
            known,
            registers: Registers::default(),
        };
        let mut acceptor = Acceptor::stored(state);
        acceptor.dirty.extend([Slot::Identity, Slot::Group]);
        acceptor
    }

    /// The acceptor's id.
    pub fn id(&self) -> AcceptorId {
        self.state.id
    }

    /// The newest decided set known.
    pub fn known(&self) -> Option<&KnownSet> {
        self.state.known.as_ref()
    }

    /// The epoch of the newest decided set known, [`NO_EPOCH`] if none.
    pub fn epoch(&self) -> u32 {
        self.known().map_or(NO_EPOCH, |known| known.set.epoch)
    }

    /// What it has accepted in a register.
    pub fn accepted(&self, key: RegisterKey) -> Option<&Accepted> {
        self.state.registers[key.index()].accepted.as_ref()
    }

    /// The highest round it has promised in a register.
    pub fn promised(&self, key: RegisterKey) -> Ballot {
        self.state.registers[key.index()].promised
    }

    /// Whether it takes part in the newest epoch known.
    pub fn is_installed(&self) -> bool {
        self.state.data_epoch.is_some() && self.state.data_epoch == self.known().map(|known| known.set.epoch)
    }

    /// Whether it has accepted a next set that it does not know to be decided.
    pub fn has_open_next_set(&self) -> bool {
        self.accepted(RegisterKey::Members).is_some()
    }

    /// Whether it is a member of the newest set known.
    pub fn is_member(&self) -> bool {
        self.known().is_some_and(|known| known.set.contains(self.id()))
    }

    /// Whether the disk does not hold all of `basis` yet.
    pub fn is_dirty(&self, basis: Basis) -> bool {
        self.dirty.iter().any(|slot| basis.includes(*slot))
    }

    /// Whether some slot differs from the disk.
    pub fn needs_write(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// The answer to a call; `None` if this acceptor has none to give.
    pub fn call(&mut self, call: Call, kind: CallKind) -> Option<Answer> {
        if let Some(answer) = self.answer_of_other_epoch(call.ballot.epoch) {
            return Some(answer);
        }
        if call.to != self.id() || !self.is_installed() {
            return None;
        }
        match kind {
            CallKind::Prepare { held } => Some(self.prepare(call, held)),
            CallKind::Accept { value } => Some(self.accept(call, value)),
            CallKind::Query { held } => self.query(call, held),
        }
    }

    fn answer_of_other_epoch(&self, epoch: u32) -> Option<Answer> {
        let message = match self.known() {
            None => RegisterMessage::Behind { epoch: NO_EPOCH },
            Some(known) if known.set.epoch < epoch => RegisterMessage::Behind { epoch: known.set.epoch },
            Some(known) if known.set.epoch > epoch => RegisterMessage::Set { known: known.clone() },
            Some(_) => return None,
        };
        Some(Answer { message, basis: Basis::Nothing })
    }

    fn refusal(&self, call: Call, refusal: Refusal) -> Answer {
        let message = RegisterMessage::Refused { reply: self.reply(call), refusal };
        Answer { message, basis: Basis::Nothing }
    }

    fn reply(&self, call: Call) -> Reply {
        Reply { from: self.id(), key: call.key, ballot: call.ballot }
    }

    fn prepare(&mut self, call: Call, held: Ballot) -> Answer {
        let register = &mut self.state.registers[call.key.index()];
        if call.ballot < register.promised {
            let promised = register.promised;
            return self.refusal(call, Refusal::Promised(promised));
        }
        if call.ballot > register.promised {
            register.promised = call.ballot;
            self.dirty.insert(Slot::Promised(call.key));
        }
        let report = Report::of(self.accepted(call.key), held);
        let message = RegisterMessage::Promise { reply: self.reply(call), report };
        Answer { message, basis: Basis::Register(call.key) }
    }

    fn accept(&mut self, call: Call, value: Carried) -> Answer {
        let register = &mut self.state.registers[call.key.index()];
        if call.ballot < register.promised {
            let promised = register.promised;
            return self.refusal(call, Refusal::Promised(promised));
        }
        let is_of_this_round = value.ballot == call.ballot;
        let resolved = value.resolve(register.accepted.as_ref());
        let Some(accepted) = resolved.filter(|_| is_of_this_round) else {
            return self.refusal(call, Refusal::ValueMissing);
        };
        let earlier = register.accepted.replace(accepted);
        let now = register.accepted.as_ref();
        if register.promised < call.ballot {
            register.promised = call.ballot;
            self.dirty.insert(Slot::Promised(call.key));
        }
        if earlier.as_ref().map(|earlier| earlier.origin) != now.map(|now| now.origin) {
            self.dirty.insert(Slot::Value(call.key));
        }
        if earlier.as_ref() != now {
            self.dirty.insert(Slot::Accepted(call.key));
        }
        let message = RegisterMessage::Accepted { reply: self.reply(call) };
        Answer { message, basis: Basis::Register(call.key) }
    }

    /// Tells what the disk holds, so a slow or full disk does not hold reads up: an acceptance that no answer
    /// told of has not happened yet.
    fn query(&self, call: Call, held: Ballot) -> Option<Answer> {
        if self.durable.data_epoch != Some(call.ballot.epoch) {
            return None;
        }
        let report = Report::of(self.durable.registers[call.key.index()].accepted.as_ref(), held);
        let message = RegisterMessage::QueryReply { reply: self.reply(call), report };
        Some(Answer { message, basis: Basis::Nothing })
    }

    /// Takes in a decided set. `false` if it is not newer than the one known.
    pub fn adopt(&mut self, known: KnownSet) -> bool {
        if self.known().is_some_and(|current| current.set.epoch >= known.set.epoch) {
            return false;
        }
        self.state.known = Some(known);
        self.dirty.insert(Slot::Group);
        self.clear_members_register();
        true
    }

    /// The register of the next set is one of its epoch; the newer set makes it void.
    fn clear_members_register(&mut self) {
        let register = &mut self.state.registers[RegisterKey::Members.index()];
        if register.accepted.take().is_some() {
            self.dirty.insert(Slot::Accepted(RegisterKey::Members));
            self.dirty.insert(Slot::Value(RegisterKey::Members));
        }
    }

    /// The registers for a member of the set of `epoch` that is to be installed.
    pub fn state_for(&self, pull: &Pull) -> Option<Answer> {
        let epoch = pull.epoch;
        let data_epoch = self.state.data_epoch?;
        let is_sealed_source = data_epoch.checked_add(1) == Some(epoch) && self.epoch() >= epoch;
        let is_active_source = data_epoch == epoch;
        if self.known().is_none() || !(is_sealed_source || is_active_source) {
            return None;
        }
        let held = pull.held.iter().copied().chain(std::iter::repeat(Ballot::ZERO));
        let keys = RegisterKey::ORDINARY.into_iter();
        let report = |(key, held)| RegisterReport { key, report: Report::of(self.accepted(key), held) };
        let is_told = |(key, _): &(RegisterKey, Ballot)| !key.is_new() || self.accepted(*key).is_some();
        let registers = keys.zip(held).filter(is_told).map(report).collect();
        let state = StateReport::new(epoch, self.id(), data_epoch, registers);
        Some(Answer { message: RegisterMessage::State { state }, basis: Basis::Whole })
    }

    /// Takes over these registers and takes part in the newest epoch from now on.
    pub fn install(&mut self, values: Baseline) {
        self.state.data_epoch = self.known().map(|known| known.set.epoch);
        self.state.registers = Registers::default();
        for (key, accepted) in values {
            let promised = accepted.ballot;
            self.state.registers[key.index()] = RegisterState { promised, accepted: Some(accepted) };
        }
        self.dirty.insert(Slot::Group);
        for key in RegisterKey::iter() {
            self.dirty.extend([Slot::Promised(key), Slot::Accepted(key), Slot::Value(key)]);
        }
    }

    /// What has to be written for the disk to hold the present state, the slots of it, and that state. The
    /// slots count as clean from now on.
    pub fn take_write(&mut self) -> (Record, BTreeSet<Slot>, Snapshot) {
        let slots = std::mem::take(&mut self.dirty);
        let written = slots.iter().filter(|slot| !self.is_unused(**slot));
        let entries = written.map(|slot| self.state.entry(*slot)).collect();
        let snapshot =
            Snapshot { data_epoch: self.state.data_epoch, registers: self.state.registers.clone() };
        (Record { entries }, slots, snapshot)
    }

    /// Whether a slot is of a register that earlier releases don't know, and that neither this acceptor nor its disk has
    /// used.
    fn is_unused(&self, slot: Slot) -> bool {
        let (Slot::Promised(key) | Slot::Accepted(key) | Slot::Value(key)) = slot else { return false };
        let unused = RegisterState::default();
        let registers = [&self.state.registers, &self.durable.registers];
        key.is_new() && registers.iter().all(|registers| registers[key.index()] == unused)
    }

    /// The disk holds `snapshot`.
    pub fn written(&mut self, snapshot: Snapshot) {
        self.durable = snapshot;
    }

    /// A write of `slots` failed: promises and values that no answer told of are taken back. The disk may
    /// hold any of them, so the slots stay dirty and are written again before the next answer.
    pub fn take_back(&mut self, slots: BTreeSet<Slot>) {
        self.state.data_epoch = self.durable.data_epoch;
        self.state.registers = self.durable.registers.clone();
        self.dirty.extend(slots);
        if self.state.known.as_ref().map(|known| known.set.epoch) != self.state.data_epoch {
            self.clear_members_register();
        }
    }
}

impl Basis {
    /// Whether `slot` is part of it.
    pub fn includes(self, slot: Slot) -> bool {
        match (self, slot) {
            (Basis::Nothing, _) => false,
            (Basis::Whole, _) | (_, Slot::Identity | Slot::Group) => true,
            (Basis::Register(key), Slot::Promised(of) | Slot::Accepted(of) | Slot::Value(of)) => key == of,
        }
    }
}

const _: () = assert!(RegisterKey::COUNT == RegisterKey::ORDINARY.len() + 1);
