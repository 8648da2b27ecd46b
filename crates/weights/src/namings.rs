//! The namings of one model.

use crate::Millis;

/// Most namings kept of one model. Beyond it, the two oldest become one that is as strict as both.
pub const MOST_NAMINGS: usize = 32;
/// A naming is forgotten when a newer one is this old; longer than any bound.
pub const RETAIN_MS: Millis = 600_000;
/// Two processes work out the time of one naming with errors of less than this; such a difference is no news.
const CLOCK_ERROR_MS: Millis = 100;

/// A version that was named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Naming {
    pub version: u64,
    /// When it was named.
    pub named_at: Millis,
}

impl Naming {
    /// Whether keeping to this naming is keeping to `other` as well.
    fn includes(&self, other: &Naming) -> bool {
        self.version >= other.version && self.named_at <= other.named_at
    }
}

/// Namings of one model, none of which includes another: the newest first, versions and times strictly falling.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Namings {
    newest_first: Vec<Naming>,
}

impl Namings {
    /// Takes a naming in. Whether it is news that others must hear.
    pub fn add(&mut self, naming: Naming) -> bool {
        if self.newest_first.iter().any(|known| known.includes(&naming)) {
            return false;
        }
        let later = Naming { named_at: naming.named_at.saturating_add(CLOCK_ERROR_MS), ..naming };
        let is_news = !self.newest_first.iter().any(|known| known.includes(&later));
        self.newest_first.retain(|known| !naming.includes(known));
        let place = self.newest_first.partition_point(|known| known.version > naming.version);
        self.newest_first.insert(place, naming);
        self.join_oldest();
        is_news
    }

    /// Makes one of the two oldest while there are too many: the newer version, from the earlier time on.
    fn join_oldest(&mut self) {
        while self.newest_first.len() > MOST_NAMINGS {
            let Some(oldest) = self.newest_first.pop() else { return };
            if let Some(last) = self.newest_first.last_mut() {
                last.named_at = oldest.named_at;
            }
        }
    }

    /// Forgets namings that can't bind any more at `now`.
    pub fn forget_old(&mut self, now: Millis) {
        let is_old = |naming: &Naming| now.saturating_sub(naming.named_at) >= RETAIN_MS;
        let kept = self.newest_first.iter().position(is_old).map_or(usize::MAX, |oldest| oldest + 1);
        self.newest_first.truncate(kept);
    }

    /// The newest version.
    pub fn newest(&self) -> Option<Naming> {
        self.newest_first.first().copied()
    }

    /// The newest version that was named `wait` before `now`, or earlier.
    pub fn floor(&self, now: Millis, wait: Millis) -> Option<u64> {
        let is_due = |naming: &&Naming| now.saturating_sub(naming.named_at) >= wait;
        self.newest_first.iter().find(is_due).map(|naming| naming.version)
    }

    /// The naming above `version` that was made first.
    pub fn first_above(&self, version: u64) -> Option<Naming> {
        self.newest_first.iter().rev().find(|naming| naming.version > version).copied()
    }

    /// The namings, the newest first.
    pub fn iter(&self) -> impl Iterator<Item = Naming> + '_ {
        self.newest_first.iter().copied()
    }
}
