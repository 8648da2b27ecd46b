//! The phases of the process's life, from SIGTERM on. No I/O; times in ms.

use dispatch::Ms;

/// How long requests are still taken after SIGTERM: until the platform, which asks each second, has seen twice that this proxy
/// is not ready. What is sent 3 s after the signal or later must be answered to its end, and may run longer than the process.
const ACCEPT_AFTER_TERM: Ms = 2_900.0;
/// How long before the platform's SIGKILL the process ends by itself.
const END_MARGIN: Ms = 500.0;

/// Where in its life the process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It is not ready and closes connections after their answers, but takes all that comes.
    Leaving,
    /// It takes no connections and no requests, and ends what it has.
    Finishing,
    /// It ends.
    Over,
}

/// The process's life.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Lifecycle {
    /// From SIGTERM to SIGKILL, ms.
    pub grace: Ms,
    told_to_end: Option<Ms>,
}

impl Lifecycle {
    /// A process that serves.
    pub fn new(grace: Ms) -> Lifecycle {
        Lifecycle { grace, told_to_end: None }
    }

    /// SIGTERM came.
    pub fn end(&mut self, now: Ms) {
        self.told_to_end.get_or_insert(now);
    }

    /// The phase now, with so many requests under way.
    pub fn phase(&self, now: Ms, under_way: usize) -> Phase {
        let Some(told) = self.told_to_end else { return Phase::Serving };
        let last = (self.grace - END_MARGIN).max(0.0);
        match now - told {
            since if since >= last => Phase::Over,
            since if since < ACCEPT_AFTER_TERM.min(last / 2.0) => Phase::Leaving,
            _ if under_way == 0 => Phase::Over,
            _ => Phase::Finishing,
        }
    }
}
