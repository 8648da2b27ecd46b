//! What this machine knows to be decided.

use strum::EnumCount;

use crate::ballot::Ballot;
use crate::key::RegisterKey;
use crate::message::LearnedBallot;
use crate::value::Accepted;
use crate::Millis;

/// How long an accepted value may stay undecided before this machine settles it.
const SETTLE_MILLIS: Millis = 1_000;

/// A decided value and what is being done to know a newer one.
#[derive(Clone, Debug, Default)]
struct Register {
    decided: Option<Accepted>,
    is_confirmed: bool,
    unsettled: Option<(Ballot, Millis)>,
}

/// The decided values of all registers.
#[derive(Clone, Debug, Default)]
pub struct Learner {
    registers: [Register; RegisterKey::COUNT],
}

impl Learner {
    /// The newest decided value known.
    pub fn decided(&self, key: RegisterKey) -> Option<&Accepted> {
        self.registers[key.index()].decided.as_ref()
    }

    /// The ballot of the newest decided value, [`Ballot::ZERO`] if none.
    pub fn ballot(&self, key: RegisterKey) -> Ballot {
        self.decided(key).map_or(Ballot::ZERO, |decided| decided.ballot)
    }

    /// The newest decided ballots, for a digest.
    pub fn ballots(&self) -> Vec<LearnedBallot> {
        let known = RegisterKey::ORDINARY.iter().filter(|key| self.decided(**key).is_some());
        known.map(|key| LearnedBallot { key: *key, ballot: self.ballot(*key) }).collect()
    }

    /// Takes in a decided value. `true` if it is another version than the one known.
    pub fn learn(&mut self, key: RegisterKey, value: Accepted) -> bool {
        let register = &mut self.registers[key.index()];
        register.is_confirmed = true;
        match &register.decided {
            Some(known) if known.ballot >= value.ballot => false,
            known => {
                let is_other = known.as_ref().is_none_or(|known| known.origin != value.origin);
                register.decided = Some(value);
                is_other
            }
        }
    }

    /// A majority holds nothing in this register.
    pub fn learn_empty(&mut self, key: RegisterKey) {
        self.registers[key.index()].is_confirmed = true;
    }

    /// Whether this process has heard of the register from a majority, or of a decided value.
    pub fn is_confirmed(&self, key: RegisterKey) -> bool {
        self.registers[key.index()].is_confirmed
    }

    /// Whether the value that the own acceptor accepted at `accepted` stayed undecided for so long that this
    /// machine should settle it. Machines of a higher `rank` wait longer.
    pub fn is_unsettled(&mut self, now: Millis, key: RegisterKey, accepted: Ballot, rank: Millis) -> bool {
        let is_open = accepted > self.ballot(key);
        let register = &mut self.registers[key.index()];
        if !is_open {
            register.unsettled = None;
            return false;
        }
        match register.unsettled {
            Some((ballot, since)) if ballot == accepted => now >= since + SETTLE_MILLIS * (1 + rank),
            _ => {
                register.unsettled = Some((accepted, now));
                false
            }
        }
    }
}
