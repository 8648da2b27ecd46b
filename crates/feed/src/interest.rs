//! Parts of prompts that receivers want to hear of.

use std::collections::HashMap;

use crate::Millis;

/// A part that nobody has asked for again for so long is no longer told. Askers say so again while they want it, at
/// least every [`ASK_AGAIN_MS`] in which they see it.
pub const FORGET_MS: Millis = 30_000;
/// How often an asker repeats itself at most.
pub const ASK_AGAIN_MS: Millis = 10_000;
/// Parts that may be wanted at a time; more are not taken in until some are forgotten.
const MOST_PARTS: usize = 400_000;
/// Parts that one asker remembers.
const MOST_ASKED: usize = 100_000;

/// The parts that are wanted, with when each was asked for last.
#[derive(Debug, Clone, Default)]
pub struct Wanted {
    parts: HashMap<u64, Millis>,
}

impl Wanted {
    /// Someone wants to hear of a part; tells whether that is news.
    pub fn ask(&mut self, now: Millis, part: u64) -> bool {
        if let Some(asked) = self.parts.get_mut(&part) {
            *asked = now;
            return false;
        }
        let has_room = self.parts.len() < MOST_PARTS;
        if has_room {
            self.parts.insert(part, now);
        }
        has_room
    }

    /// Whether a part is wanted.
    pub fn has(&self, part: u64) -> bool {
        self.parts.contains_key(&part)
    }

    /// All parts that are wanted.
    pub fn all(&self) -> impl Iterator<Item = u64> + '_ {
        self.parts.keys().copied()
    }

    /// Forgets the parts that nobody has asked for lately, and names them.
    pub fn forget_old(&mut self, now: Millis) -> Vec<u64> {
        let is_old = |asked: Millis| now.saturating_sub(asked) >= FORGET_MS;
        let old: Vec<u64> =
            self.parts.iter().filter(|(_, asked)| is_old(**asked)).map(|(part, _)| *part).collect();
        for part in &old {
            self.parts.remove(part);
        }
        old
    }
}

/// What one asker has asked for, so that it repeats itself seldom.
#[derive(Debug, Clone, Default)]
pub struct Asked {
    asked: HashMap<u64, Millis>,
    waiting: Vec<u64>,
}

impl Asked {
    /// A part was seen; it is asked for unless it was lately.
    pub fn see(&mut self, now: Millis, part: u64) {
        let lately = self.asked.get(&part).is_some_and(|at| now.saturating_sub(*at) < ASK_AGAIN_MS);
        if lately {
            return;
        }
        if self.asked.len() >= MOST_ASKED {
            self.asked.retain(|_, at| now.saturating_sub(*at) < ASK_AGAIN_MS);
        }
        self.asked.insert(part, now);
        self.waiting.push(part);
    }

    /// Whoever was asked has forgotten it all.
    pub fn start_again(&mut self) {
        self.waiting = self.asked.keys().copied().collect();
    }

    /// What is to be asked for now.
    pub fn message(&mut self) -> Option<peer::Interest> {
        let parts = std::mem::take(&mut self.waiting);
        (!parts.is_empty()).then(|| peer::Interest::from(parts))
    }
}
