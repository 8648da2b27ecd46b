//! Ballots: the total order of rounds.

use deku::ctx::Endian;
use deku::{DekuRead, DekuWrite};

/// The number of a round. Ordered by epoch first, so that every round of a newer acceptor set is above every
/// round of an older one. `proposer` is drawn at random at each start of a process and makes ballots unique.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, DekuRead, DekuWrite)]
#[deku(ctx = "endian: Endian", endian = "endian")]
pub struct Ballot {
    /// The acceptor set under which the round runs.
    pub epoch: u32,
    /// Grows with each attempt.
    pub round: u64,
    /// The process that runs the round.
    pub proposer: u64,
}

impl Ballot {
    /// Below every ballot that a proposer makes.
    pub const ZERO: Ballot = Ballot { epoch: 0, round: 0, proposer: 0 };
}
