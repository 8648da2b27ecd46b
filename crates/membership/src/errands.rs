//! Probes sent on behalf of other members that wanted a second opinion.

use std::net::SocketAddrV4;

use crate::Millis;

/// Most errands at a time; further ones are not run.
const MOST_ERRANDS: usize = 32;

#[derive(Debug, Clone)]
pub(crate) struct Errand {
    /// Number of the probe sent.
    pub number: u64,
    /// Number under which the other member asked.
    pub asked_number: u64,
    pub asked_by: SocketAddrV4,
    /// When the other member is told that there is no answer.
    pub say_no_at: Millis,
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Errands {
    running: Vec<Errand>,
}

impl Errands {
    pub fn has_room(&self) -> bool {
        self.running.len() < MOST_ERRANDS
    }

    pub fn add(&mut self, errand: Errand) {
        self.running.push(errand);
    }

    /// The errand whose probe was answered.
    pub fn answered(&mut self, number: u64) -> Option<Errand> {
        let place = self.running.iter().position(|errand| errand.number == number)?;
        Some(self.running.swap_remove(place))
    }

    /// Errands that got no answer in time.
    pub fn take_overdue(&mut self, now: Millis) -> Vec<Errand> {
        let (overdue, running) = self.running.drain(..).partition(|errand| now >= errand.say_no_at);
        self.running = running;
        overdue
    }

    pub fn deadline(&self) -> Option<Millis> {
        self.running.iter().map(|errand| errand.say_no_at).min()
    }
}
