//! Things that are due, in order of time; those of one moment in random order.

use std::collections::BTreeMap;

use rand::rngs::SmallRng;
use rand::Rng;

use crate::Millis;

/// A queue by time.
pub struct Queue<T> {
    due: BTreeMap<(Millis, u32, u64), T>,
    pushed: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Queue<T> {
        Queue { due: BTreeMap::new(), pushed: 0 }
    }
}

impl<T> Queue<T> {
    /// Adds something that is due at `at`.
    pub fn push(&mut self, at: Millis, thing: T, random: &mut SmallRng) {
        self.pushed += 1;
        self.due.insert((at, random.random(), self.pushed), thing);
    }

    /// When the first thing is due.
    pub fn first_at(&self) -> Option<Millis> {
        self.due.first_key_value().map(|((at, _, _), _)| *at)
    }

    /// Takes the first thing if it is due.
    pub fn pop_due(&mut self, now: Millis) -> Option<T> {
        if self.first_at()? > now {
            return None;
        }
        self.due.pop_first().map(|(_, thing)| thing)
    }
}
