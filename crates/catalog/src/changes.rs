//! The order of changes to records, for subscribers that take up where they left off.

use std::collections::BTreeMap;

/// Ids by the number of their last change. Numbers go up; one that is forgotten leaves a gap that subscribers are told of.
#[derive(Debug, Clone, Default)]
pub(crate) struct ChangeLog {
    ids: BTreeMap<u64, String>,
    last: u64,
    last_urgent: u64,
    /// A subscriber that has not got further than this must take a snapshot.
    forgotten: u64,
}

impl ChangeLog {
    /// Notes a change to the record whose change before had the number `former`; the number of this one.
    pub fn note(&mut self, former: u64, id: &str, is_urgent: bool) -> u64 {
        self.ids.remove(&former);
        self.last += 1;
        if is_urgent {
            self.last_urgent = self.last;
        }
        self.ids.insert(self.last, id.to_string());
        self.last
    }

    /// Drops a record with this last change.
    pub fn forget(&mut self, change: u64) {
        self.ids.remove(&change);
        self.forgotten = self.forgotten.max(change);
    }

    /// Number of the last change.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Number of the last change that subscribers hear at once.
    pub fn last_urgent(&self) -> u64 {
        self.last_urgent
    }

    /// Whether all that changed after change number `since` is known.
    pub fn reaches_back_to(&self, since: u64) -> bool {
        (self.forgotten..=self.last).contains(&since)
    }

    /// The ids that changed after change number `since`, in order.
    pub fn ids_after(&self, since: u64) -> impl Iterator<Item = &String> {
        self.ids.range(since.saturating_add(1)..).map(|(_, id)| id)
    }
}
