//! The phases of a release and the steps between them.

use deku::{DekuRead, DekuWrite};
use strum::IntoEnumIterator;

/// How far a release has got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, DekuRead, DekuWrite)]
#[strum(serialize_all = "kebab-case")]
#[deku(id_type = "u8")]
pub enum Phase {
    /// The new version gets a small share of the traffic and is compared with the one before.
    #[deku(id = 1)]
    Trial,
    /// The share rises to all of the traffic; what the old version has is answered.
    #[deku(id = 2)]
    Shift,
    /// The new version has all of the traffic, and the old one owes nothing. Final.
    #[deku(id = 3)]
    Finished,
    /// The new version gets nothing more; proxies are being told.
    #[deku(id = 4)]
    Reverting,
    /// All proxies in touch send nothing to the new version. Final.
    #[deku(id = 5)]
    Reverted,
}

/// What moves a release on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Step {
    /// The trial went well and its time is over.
    Shift,
    /// Nothing is owed by the old version any more.
    Finish,
    /// The new version is worse, or could not be judged.
    Revert,
    /// The proxies know of the revert.
    CompleteRevert,
}

/// What the operator is told of a release.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// Both versions may be needed.
    Serving,
    /// The old replicas may stop at once.
    Finished,
    /// The new replicas may drain.
    Reverted,
}

impl Phase {
    /// The phase that follows on a step; `None` where the step does not fit.
    pub fn after(self, step: Step) -> Option<Phase> {
        match (self, step) {
            (Phase::Trial, Step::Shift) => Some(Phase::Shift),
            (Phase::Shift, Step::Finish) => Some(Phase::Finished),
            (Phase::Trial | Phase::Shift, Step::Revert) => Some(Phase::Reverting),
            (Phase::Reverting, Step::CompleteRevert) => Some(Phase::Reverted),
            _ => None,
        }
    }

    /// Whether nothing follows.
    pub fn is_over(self) -> bool {
        matches!(self, Phase::Finished | Phase::Reverted)
    }

    /// Whether the new version gets no new requests.
    pub fn is_reverted(self) -> bool {
        matches!(self, Phase::Reverting | Phase::Reverted)
    }

    /// What the operator is told.
    pub fn state(self) -> State {
        match self {
            Phase::Trial | Phase::Shift | Phase::Reverting => State::Serving,
            Phase::Finished => State::Finished,
            Phase::Reverted => State::Reverted,
        }
    }

    /// The phase with a number from a message.
    pub fn from_number(number: u8) -> Option<Phase> {
        Phase::iter().find(|phase| phase.number() == number)
    }

    /// Its number in messages.
    pub fn number(self) -> u8 {
        match self {
            Phase::Trial => 1,
            Phase::Shift => 2,
            Phase::Finished => 3,
            Phase::Reverting => 4,
            Phase::Reverted => 5,
        }
    }
}
