//! The load that all proxies together put on each replica. A proxy tells what it has out there, its controller sums up
//! what its zone's proxies told, controllers tell each other their sums, and every proxy hears the total. No I/O; the
//! time is handed in, in milliseconds.
//!
//! What is told is changes, with the whole once a second: a receiver that missed something is right again by then, and
//! a source that has not been heard for [`SOURCE_AGE_MS`] counts no more.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod news;
mod sums;

pub use news::{told_every, LoadNews};
pub use sums::{LoadSums, SOURCE_AGE_MS};

use std::collections::BTreeMap;

/// Milliseconds on the steady clock of the process.
pub type Millis = u64;

/// What is out at one replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Prompt tokens of calls that have not begun to answer.
    pub tokens: u32,
    /// Calls without a whole answer.
    pub calls: u16,
}

impl Load {
    /// Whether nothing is out.
    pub fn is_none(self) -> bool {
        self == Load::default()
    }

    /// Both together.
    #[must_use]
    pub fn plus(self, other: Load) -> Load {
        Load {
            tokens: self.tokens.saturating_add(other.tokens),
            calls: self.calls.saturating_add(other.calls),
        }
    }

    /// This load without a part of it.
    #[must_use]
    pub fn less(self, part: Load) -> Load {
        Load { tokens: self.tokens.saturating_sub(part.tokens), calls: self.calls.saturating_sub(part.calls) }
    }
}

/// Loads by the key of the replica ([`peer::replica_key`]).
pub type Loads = BTreeMap<u32, Load>;
