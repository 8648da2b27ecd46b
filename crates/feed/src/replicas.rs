//! How far one receiver has got in the changes of replicas.
//!
//! Changes are of two kinds. That a replica drains or has ended is told at once by every feeder: its word has been, or is
//! about to be, confirmed. Everything else is told by the receiver's home only, and many such changes go together: a
//! fleet that starts would otherwise tell every receiver of every replica in a message of its own, from every feeder.
//! That a replica is lost is such a change, too: it is a controller's judgement, and one that is overloaded judges
//! thousands at a time.

use catalog::{Record, State};
use peer::Message;

use crate::records::messages_of_records;
use crate::view::View;
use crate::Millis;

/// How far one receiver has got.
#[derive(Debug, Clone)]
pub struct ReplicaFeed {
    /// Whether the receiver hears of ready replicas from here.
    is_home: bool,
    /// Least time between two messages on what is not urgent.
    pause: Millis,
    next_ready: Millis,
    /// Numbers of the last changes that were sent; `None` before the snapshot.
    seen_ready: Option<u64>,
    seen_urgent: Option<u64>,
}

impl ReplicaFeed {
    /// A receiver to which this feeder is the home.
    pub fn of_home(pause: Millis) -> ReplicaFeed {
        ReplicaFeed { is_home: true, pause, next_ready: 0, seen_ready: None, seen_urgent: None }
    }

    /// Whether this feeder is the receiver's home. One that becomes the home begins with a snapshot: what the receiver
    /// has heard elsewhere is not known here.
    pub fn set_home(&mut self, is_home: bool) {
        if is_home && !self.is_home {
            self.seen_ready = None;
        }
        self.is_home = is_home;
    }

    /// When something may be due that is held back now.
    pub fn deadline(&self, view: &View) -> Millis {
        let is_behind = self.is_home && self.seen_ready != Some(view.replicas.last_change());
        if is_behind {
            self.next_ready
        } else {
            Millis::MAX
        }
    }

    /// Whether the receiver has been sent all that it is to hear.
    pub fn is_up_to_date(&self, view: &View) -> bool {
        let newest = Some(view.replicas.last_change());
        self.seen_urgent == newest && (!self.is_home || self.seen_ready == newest)
    }

    /// The records that the receiver has not got yet and that are due; what is returned counts as sent.
    pub fn messages(&mut self, now: Millis, view: &View) -> Vec<Message> {
        let newest = view.replicas.last_change();
        let mut records = Vec::new();
        if self.seen_urgent != Some(newest) {
            records.extend(changes(view, self.seen_urgent).into_iter().filter(is_urgent));
            self.seen_urgent = Some(newest);
        }
        if self.is_home && self.seen_ready != Some(newest) && now >= self.next_ready {
            records.extend(changes(view, self.seen_ready).into_iter().filter(|record| !is_urgent(record)));
            self.seen_ready = Some(newest);
            self.next_ready = now + self.pause;
        }
        messages_of_records(&records)
    }
}

fn is_urgent(record: &Record) -> bool {
    matches!(record.state, State::Draining | State::Gone)
}

fn changes(view: &View, seen: Option<u64>) -> Vec<Record> {
    let changes = seen.and_then(|seen| view.replicas.changes_since(seen));
    changes.unwrap_or_else(|| view.replicas.snapshot())
}
