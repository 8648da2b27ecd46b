//! The list's clock, stated once for every way in which a list comes.
//!
//! Source: the platform's protocol page and the page of the standing test. All times are milliseconds.
//!
//! - A list that is pushed counts as told from the moment the agent has it, whether or not a watch is open, and from the
//!   first moment of a process. So a stream that ended is asked for again at once, and nothing that waits to be sent
//!   to a node outlives the news that the node drains.
//! - A stream that has fallen silent is broken. What it misses counts as told [`MISSED`] after it fell silent or, for a
//!   call that may wait, [`MISSED_CALL`] after that wait is over, whichever is later, and whether or not it came.
//! - While discovery is down the agent is silent. What it learns on its return counts at once, so an unanswered
//!   question is asked anew in a time well under the shortest grace of a drain.

use crate::interface::Ms;

/// An empty line arrives on a watch this often while nothing changes.
pub const HEARTBEAT: Ms = 2000.0;
/// Silence beyond the heartbeat after which a watch is broken: a line may be late by the agent's or our own pause.
const LATE: Ms = 400.0;
/// The agent answers at once: a question without an answer for so long is asked anew.
pub const ANSWER: Ms = 300.0;
/// Time for a connection to come up: the agent is on the same machine.
const DIAL: Ms = 300.0;
/// Pause after a connection that was refused or ended.
const PAUSE: Ms = 50.0;
/// What a silent stream misses counts as told so long after it fell silent.
pub const MISSED: Ms = 6000.0;
/// The same after the end of the wait of a call that may wait.
pub const MISSED_CALL: Ms = 2000.0;

/// How the stream that brings the list stands, and since when.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Standing {
    /// Not there since then.
    Down(Ms),
    /// Being opened since then.
    Dialling(Ms),
    /// Asked then; nothing has come yet.
    Asked(Ms),
    /// Something came then.
    Telling(Ms),
}

impl Standing {
    /// When it has to be asked for again, unless something comes before.
    pub fn ask_again_at(self) -> Ms {
        match self {
            Standing::Down(since) => since + PAUSE,
            Standing::Dialling(since) => since + DIAL,
            Standing::Asked(since) => since + ANSWER,
            Standing::Telling(heard) => heard + HEARTBEAT + LATE,
        }
    }
}

/// When what a stream misses counts as told, whether it came or not: it fell silent at `silent_from`, and the call that it
/// answers, if it may wait, would have waited until `wait_until`.
pub fn missed_counts_at(silent_from: Ms, wait_until: Option<Ms>) -> Ms {
    wait_until.map_or(f64::NEG_INFINITY, |until| until + MISSED_CALL).max(silent_from + MISSED)
}

// The slowest way back, with two questions lost on it, still ends before what was missed counts.
const _: () = assert!(HEARTBEAT + LATE + 2.0 * (DIAL + ANSWER) + PAUSE < MISSED);
