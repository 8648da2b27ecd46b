//! What register nodes say to each other.

use deku::ctx::Endian;
use deku::{DekuRead, DekuWrite};

use crate::ballot::Ballot;
use crate::key::RegisterKey;
use crate::set::{AcceptorId, KnownSet, Member};
use crate::value::{Carried, Report};

pub use crate::codec::{body_length, decode, encode, HEADER_BYTES, MAX_BODY_BYTES};

/// The epoch that stands for "knows no set".
pub const NO_EPOCH: u32 = u32::MAX;

/// Heads every call to an acceptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "endian: Endian", endian = "endian")]
pub struct Call {
    /// The acceptor meant. Another acceptor at the same address stays silent.
    pub to: AcceptorId,
    /// Which register.
    pub key: RegisterKey,
    /// The round; its epoch is the epoch of the call.
    pub ballot: Ballot,
}

/// Heads every answer of an acceptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "endian: Endian", endian = "endian")]
pub struct Reply {
    /// The acceptor that answers.
    pub from: AcceptorId,
    /// Which register.
    pub key: RegisterKey,
    /// The round of the call.
    pub ballot: Ballot,
}

/// Why an acceptor does not take part in a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", ctx = "endian: Endian", endian = "endian")]
pub enum Refusal {
    /// It promised a higher ballot.
    #[deku(id = 0)]
    Promised(Ballot),
    /// The value was left out and the acceptor does not hold it.
    #[deku(id = 1)]
    ValueMissing,
}

/// The newest decided ballot that a machine knows of a register.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "endian: Endian", endian = "endian")]
pub struct LearnedBallot {
    /// Which register.
    pub key: RegisterKey,
    /// The decided ballot.
    pub ballot: Ballot,
}

/// A register of an acceptor, for the installation of another.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "endian: Endian", endian = "endian")]
pub struct RegisterReport {
    /// Which register.
    pub key: RegisterKey,
    /// What the acceptor has accepted.
    pub report: Report,
}

/// Asks for the registers of an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "endian: Endian", endian = "endian")]
pub struct Pull {
    /// The set that is to be installed.
    pub epoch: u32,
    #[deku(update = "self.held.len()", assert = "*held_count as usize <= RegisterKey::ORDINARY.len()")]
    held_count: u8,
    /// Origins of the values that the sender holds, in the order of [`RegisterKey::ORDINARY`]. These values
    /// are left out of the answer.
    #[deku(count = "held_count")]
    pub held: Vec<Ballot>,
}

impl Pull {
    /// Asks for what is to be installed in `epoch`.
    pub fn new(epoch: u32, held: Vec<Ballot>) -> Pull {
        Pull { epoch, held_count: held.len() as u8, held }
    }
}

/// All registers of an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "endian: Endian", endian = "endian")]
pub struct StateReport {
    /// The set that is to be installed.
    pub epoch: u32,
    /// The acceptor whose registers these are.
    pub from: AcceptorId,
    /// The epoch of the registers: `epoch - 1` from a sealed acceptor, `epoch` from an active one.
    pub data_epoch: u32,
    #[deku(
        update = "self.registers.len()",
        assert = "*register_count as usize <= RegisterKey::ORDINARY.len()"
    )]
    register_count: u8,
    /// Each ordinary register.
    #[deku(count = "register_count")]
    pub registers: Vec<RegisterReport>,
}

impl StateReport {
    /// A report of these registers.
    pub fn new(epoch: u32, from: AcceptorId, data_epoch: u32, registers: Vec<RegisterReport>) -> StateReport {
        StateReport { epoch, from, data_epoch, register_count: registers.len() as u8, registers }
    }
}

/// What a machine knows, sent now and then to every member.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "endian: Endian", endian = "endian")]
pub struct Digest {
    /// The acceptor of the sender.
    pub from: AcceptorId,
    /// The newest epoch it knows, [`NO_EPOCH`] if none.
    pub epoch: u32,
    /// 1 if the sender takes part in `epoch`.
    pub active: u8,
    /// Names this digest among those of its sender.
    pub stamp: u64,
    /// The stamp of the newest digest that came from the receiver, 0 if none.
    pub echo: u64,
    #[deku(update = "self.learned.len()", assert = "*learned_count as usize <= RegisterKey::ORDINARY.len()")]
    learned_count: u8,
    /// The newest decided ballots.
    #[deku(count = "learned_count")]
    pub learned: Vec<LearnedBallot>,
}

impl Digest {
    /// A digest with these ballots.
    pub fn new(
        from: AcceptorId,
        epoch: u32,
        active: bool,
        stamp: u64,
        echo: u64,
        learned: Vec<LearnedBallot>,
    ) -> Digest {
        Digest {
            from,
            epoch,
            active: active.into(),
            stamp,
            echo,
            learned_count: learned.len() as u8,
            learned,
        }
    }
}

/// One message between register nodes.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "little")]
pub enum RegisterMessage {
    /// First round: promise, and tell what is accepted. Values of origin `held` are left out.
    #[deku(id = 0)]
    Prepare { call: Call, held: Ballot },
    /// The promise.
    #[deku(id = 1)]
    Promise { reply: Reply, report: Report },
    /// Second round: accept `value`.
    #[deku(id = 2)]
    Accept { call: Call, value: Carried },
    /// It is accepted and on disk.
    #[deku(id = 3)]
    Accepted { reply: Reply },
    /// What is accepted, without a promise.
    #[deku(id = 4)]
    Query { call: Call, held: Ballot },
    /// The answer to a query.
    #[deku(id = 5)]
    QueryReply { reply: Reply, report: Report },
    /// The acceptor takes no part in the round.
    #[deku(id = 6)]
    Refused { reply: Reply, refusal: Refusal },
    /// A decided set; also the answer to a call of an older epoch.
    #[deku(id = 7)]
    Set { known: KnownSet },
    /// The sender knows only the set of `epoch`; the receiver answers with a newer one.
    #[deku(id = 8)]
    Behind { epoch: u32 },
    /// The sender's acceptor is outside the set and asks to be in it.
    #[deku(id = 9)]
    Join { joiner: Member, epoch: u32 },
    /// The sender is to be installed in `epoch` and asks for registers.
    #[deku(id = 10)]
    Pull { pull: Pull },
    /// The registers of an acceptor.
    #[deku(id = 11)]
    State { state: StateReport },
    /// What the sender knows.
    #[deku(id = 12)]
    Digest { digest: Digest },
    /// The sender wants the decided value; it holds the one of origin `held`.
    #[deku(id = 13)]
    Fetch { key: RegisterKey, held: Ballot },
    /// A decided value.
    #[deku(id = 14)]
    Decided { key: RegisterKey, value: Carried },
}
