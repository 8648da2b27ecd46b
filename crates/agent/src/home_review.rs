//! Replicas that a new home controller may not know.
//!
//! Controllers keep the catalogue of replicas in memory and learn it from heartbeats. A replica that ends while all
//! controllers restart is never heard of by them, so nobody would ever call it lost. The agents still know it: each
//! reports to its new home what that one has not told of in time, and the controllers judge it by its silence, as any
//! other replica.

use std::collections::HashSet;

use catalog::{Catalog, Record};
use peer::Replicas;

use crate::Millis;

/// Most replicas reported at a time: all agents report to controllers that have just started.
const MOST_REPORTED: usize = 64;

/// What the home has told of since it became the home.
#[derive(Debug)]
pub(crate) struct HomeReview {
    /// A home tells of every replica that lives within this.
    told_within: Millis,
    /// When what was not told of is reported; `None` when nothing is left to report.
    due: Option<Millis>,
    told: HashSet<String>,
}

impl HomeReview {
    /// No home yet; one tells of every replica that lives within `told_within`.
    pub fn new(told_within: Millis) -> HomeReview {
        HomeReview { told_within, due: None, told: HashSet::new() }
    }

    /// A controller has become the home.
    pub fn begin(&mut self, now: Millis) {
        self.told.clear();
        self.due = Some(now + self.told_within);
    }

    /// There is no home.
    pub fn stop(&mut self) {
        self.told.clear();
        self.due = None;
    }

    /// The home told of replicas.
    pub fn heard(&mut self, replicas: &Replicas) {
        if self.due.is_some() {
            self.told.extend(replicas.records.iter().map(|record| record.id.as_str().to_string()));
        }
    }

    /// When [`HomeReview::report`] may have something to tell.
    pub fn due(&self) -> Option<Millis> {
        self.due
    }

    /// What the home is to hear now: replicas that it has not told of. While it has no contact with a majority it can't
    /// judge them, and hears of them later.
    pub fn report(&mut self, now: Millis, has_contact: bool, known: &Catalog) -> Vec<Record> {
        if self.due.is_none_or(|due| now < due) {
            return Vec::new();
        }
        self.due = Some(now + self.told_within);
        if !has_contact {
            return Vec::new();
        }
        let is_untold = |record: &&Record| !self.told.contains(&record.id);
        let mut untold: Vec<Record> = known.live().filter(is_untold).cloned().collect();
        untold.sort_by(|a, b| a.id.cmp(&b.id));
        if untold.len() <= MOST_REPORTED {
            self.stop();
            return untold;
        }
        untold.truncate(MOST_REPORTED);
        self.told.extend(untold.iter().map(|record| record.id.clone()));
        untold
    }
}
