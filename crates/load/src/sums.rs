//! Sums over what several sources told.

use std::collections::BTreeMap;

use crate::{Load, Loads, Millis};

/// A source that was not heard for so long counts no more; sources tell the whole once a second.
pub const SOURCE_AGE_MS: Millis = 2_500;

#[derive(Debug, Clone, Default)]
struct Told {
    heard: Millis,
    loads: Loads,
}

/// What each source told last.
#[derive(Debug, Clone)]
pub struct LoadSums<Source> {
    sources: BTreeMap<Source, Told>,
}

impl<Source> Default for LoadSums<Source> {
    fn default() -> LoadSums<Source> {
        LoadSums { sources: BTreeMap::new() }
    }
}

impl<Source: Ord> LoadSums<Source> {
    /// A source told changes, or the whole.
    pub fn take(&mut self, now: Millis, source: Source, news: &peer::Loads) {
        let told = self.sources.entry(source).or_default();
        told.heard = now;
        if news.is_whole != 0 {
            told.loads.clear();
        }
        for one in &news.loads {
            let load = Load { tokens: one.tokens, calls: one.calls };
            if load.is_none() {
                told.loads.remove(&one.replica);
            } else {
                told.loads.insert(one.replica, load);
            }
        }
    }

    /// Whether a source was heard lately.
    pub fn hears(&self, source: &Source) -> bool {
        self.sources.contains_key(source)
    }

    /// A source has ended.
    pub fn forget(&mut self, source: &Source) {
        self.sources.remove(source);
    }

    /// Drops sources that were not heard for long.
    pub fn expire(&mut self, now: Millis) {
        self.sources.retain(|_, told| now.saturating_sub(told.heard) < SOURCE_AGE_MS);
    }

    /// Adds the sums to `totals`.
    pub fn add_to(&self, totals: &mut Loads) {
        for (replica, load) in self.sources.values().flat_map(|told| &told.loads) {
            let total = totals.entry(*replica).or_default();
            *total = total.plus(*load);
        }
    }

    /// The sums.
    pub fn totals(&self) -> Loads {
        let mut totals = Loads::new();
        self.add_to(&mut totals);
        totals
    }
}
