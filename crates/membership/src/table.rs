//! The members known, with how long each has been out of reach.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use crate::{Millis, Status, Update};

/// Members that are out of reach are forgotten after so long.
const FORGET_AFTER_MS: Millis = 600_000;
/// Most members kept.
const MOST_MEMBERS: usize = 64;

#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub update: Update,
    /// When it ceased to be alive.
    pub absent_since: Option<Millis>,
    /// Who suspects this incarnation.
    pub accusers: BTreeSet<SocketAddrV4>,
}

/// What became of an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Taken {
    News,
    /// The same suspicion by someone else: it grows stronger, and is passed on.
    Confirmation,
    Known,
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Table {
    entries: BTreeMap<SocketAddrV4, Entry>,
}

impl Table {
    pub fn get(&self, member: SocketAddrV4) -> Option<&Entry> {
        self.entries.get(&member)
    }

    pub fn updates(&self) -> impl Iterator<Item = &Update> {
        self.entries.values().map(|entry| &entry.update)
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Addresses of the members that fit `wanted`.
    pub fn addresses(&self, wanted: impl Fn(Status) -> bool) -> Vec<SocketAddrV4> {
        let fitting = self.entries.iter().filter(|(_, entry)| wanted(entry.update.status));
        fitting.map(|(address, _)| *address).collect()
    }

    pub fn take(&mut self, now: Millis, update: &Update) -> Taken {
        let Some(entry) = self.entries.get_mut(&update.member.peer) else {
            // Members out of reach are not learned of from others, or each would bring back what another forgot.
            if update.status != Status::Alive || self.entries.len() >= MOST_MEMBERS {
                return Taken::Known;
            }
            let entry = Entry { update: update.clone(), absent_since: None, accusers: BTreeSet::new() };
            self.entries.insert(update.member.peer, entry);
            self.note_status(now, update);
            return Taken::News;
        };
        if update.replaces(&entry.update) {
            entry.update = update.clone();
            self.note_status(now, update);
            return Taken::News;
        }
        match update.status {
            Status::Suspect { by }
                if update.incarnation == entry.update.incarnation
                    && matches!(entry.update.status, Status::Suspect { .. })
                    && entry.accusers.insert(by) =>
            {
                Taken::Confirmation
            }
            _ => Taken::Known,
        }
    }

    fn note_status(&mut self, now: Millis, update: &Update) {
        let Some(entry) = self.entries.get_mut(&update.member.peer) else { return };
        match update.status {
            Status::Alive => {
                entry.absent_since = None;
                entry.accusers.clear();
            }
            Status::Suspect { by } => {
                entry.absent_since.get_or_insert(now);
                entry.accusers.insert(by);
            }
            Status::Down | Status::Left => {
                entry.absent_since.get_or_insert(now);
            }
        }
    }

    /// Drops members that have been out of reach for long.
    pub fn forget(&mut self, now: Millis) {
        let recent = |since: Millis| now.saturating_sub(since) < FORGET_AFTER_MS;
        self.entries.retain(|_, entry| entry.absent_since.is_none_or(recent));
    }
}
