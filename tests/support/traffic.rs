//! What clients that keep sending count.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The platform kills this long after SIGTERM: the longest deadline, 2 s here, and 0.7 s.
pub const KILL: Duration = Duration::from_millis(2700);

/// How clients' requests ended.
#[derive(Default)]
pub struct Count {
    pub answered: AtomicU64,
    pub refused: AtomicU64,
    pub failed: AtomicU64,
    pub lost: AtomicU64,
    /// Sent once more since a kept connection was closed between requests as one crossed.
    pub crossed: AtomicU64,
    pub unconnected: AtomicU64,
}

impl Count {
    pub fn of(counter: &AtomicU64) -> u64 {
        counter.load(Ordering::SeqCst)
    }

    pub fn add(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::SeqCst);
    }

    /// The counter of requests that were answered with this status.
    pub fn with_status(&self, status: u16) -> &AtomicU64 {
        match status {
            200 => &self.answered,
            429 | 503 => &self.refused,
            _ => &self.failed,
        }
    }
}
