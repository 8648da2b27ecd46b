//! How a request that was taken ended, as its client sees it. No I/O.

use strum::{EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr};

/// The one end of a request. Whoever takes one returns this: there is no way out without telling the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
#[must_use]
pub enum Ending {
    /// A replica's whole answer was passed on.
    Answered,
    /// The client was given a whole answer of the proxy's own.
    Refused,
    /// The answer had begun and is not whole; the connection is reset.
    CutOff,
    /// The client has left, or did not take what it was given; the connection is closed.
    ClientGone,
}

impl Ending {
    /// Whether the connection can go on: the client has the whole answer.
    pub fn is_whole(self) -> bool {
        matches!(self, Ending::Answered | Ending::Refused)
    }
}

/// How the requests of a process have ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndingCounts {
    taken: u64,
    ended: [u64; Ending::COUNT],
}

impl EndingCounts {
    /// Requests that were taken: those that have ended and those that are under way.
    pub fn taken(&self) -> u64 {
        self.taken
    }

    /// Requests that have ended, by how.
    pub fn ended(&self) -> impl Iterator<Item = (Ending, u64)> + '_ {
        Ending::iter().map(|ending| (ending, self.ended[ending as usize]))
    }

    pub(crate) fn count_taken(&mut self) {
        self.taken += 1;
    }

    pub(crate) fn count_ended(&mut self, ending: Ending) {
        self.ended[ending as usize] += 1;
    }
}
