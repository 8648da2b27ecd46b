//! How far behind a process is: from when something was due to when it was done. No I/O.

use crate::ending::Ending;
use crate::histogram::Histogram;
use std::time::Duration;
use strum::{EnumCount, IntoEnumIterator};

/// The lags of one process.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Lags {
    read: Histogram,
    ended: [Histogram; Ending::COUNT],
}

impl Lags {
    /// A request was read so long after its last byte had come.
    pub fn read(&mut self, lag: Duration) {
        self.read.observe(lag);
    }

    /// A request ended so long after its deadline; zero if before it.
    pub fn ended(&mut self, ending: Ending, lag: Duration) {
        self.ended[ending as usize].observe(lag);
    }

    /// From the last byte of a request, in the kernel, to its being read whole.
    pub fn of_reads(&self) -> &Histogram {
        &self.read
    }

    /// From the deadlines of requests to their ends, by how they ended.
    pub fn of_ends(&self) -> impl Iterator<Item = (Ending, &Histogram)> {
        Ending::iter().map(|ending| (ending, &self.ended[ending as usize]))
    }
}
