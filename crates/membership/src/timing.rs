//! The protocol's times.

use crate::Millis;

/// The protocol's times, milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// One member is probed in each period.
    pub period: Millis,
    /// A probe without an answer for so long is put to third parties.
    pub answer: Millis,
    /// A suspicion that only one member holds lasts so long before the suspect is given up.
    pub suspicion_most: Millis,
    /// A suspicion that several members hold lasts so long.
    pub suspicion_least: Millis,
    /// Members that are out of reach, and seeds that never answered, are tried again so often.
    pub retry: Millis,
    /// All that is known is exchanged with one member so often.
    pub exchange: Millis,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            period: 500,
            answer: 150,
            suspicion_most: 3_000,
            suspicion_least: 1_500,
            retry: 500,
            exchange: 10_000,
        }
    }
}
