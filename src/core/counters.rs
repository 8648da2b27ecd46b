//! What the coordinator took in, sent and answered.

use crate::interface::Outcome;
use std::fmt;

/// Counts since the start.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Counters {
    pub queries: u64,
    pub answered: u64,
    pub whole: u64,
    pub refused: u64,
    pub refused_full: u64,
    pub failed: u64,
    pub overdue: u64,
    pub gone: u64,
    pub sent: u64,
    /// Attempts whose last byte was written to a node, also where they were called off meanwhile.
    pub written: u64,
    pub repeats: u64,
    pub served: u64,
    pub errors: u64,
    pub turned_away: u64,
    pub timed_out: u64,
    pub no_connection: u64,
    pub reset: u64,
    pub cancelled: u64,
    pub not_sent: u64,
    pub probes: u64,
    pub lists: u64,
    pub bad_requests: u64,
    pub bad_frames: u64,
    pub connections: u64,
    /// Copies not sent since the answer had come meanwhile.
    pub copies_spared: u64,
    /// Connections opened to be kept warm.
    pub warmed: u64,
    /// Things that must hold and did not.
    pub broken: u64,
}

impl Counters {
    /// Counts how an attempt ended.
    pub fn outcome(&mut self, outcome: Outcome) {
        *match outcome {
            Outcome::Pass => &mut self.served,
            Outcome::Fault => &mut self.errors,
            Outcome::NoRoom => &mut self.turned_away,
            Outcome::TooSlow => &mut self.timed_out,
            Outcome::NoRoute => &mut self.no_connection,
            Outcome::Cut => &mut self.reset,
            Outcome::Cancelled => &mut self.cancelled,
            Outcome::NotSent => &mut self.not_sent,
        } += 1;
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        // The derived form names each field; only its frame is dropped.
        let text = format!("{self:?}");
        f.write_str(text.trim_start_matches("Counters { ").trim_end_matches(" }"))
    }
}
