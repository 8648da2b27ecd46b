//! One replica as its heartbeats describe it, and how two descriptions merge.

use std::cmp::Ordering;
use std::net::{Ipv4Addr, SocketAddrV4};

/// What is known of a replica's willingness to serve; a later variant wins at the same heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// It takes requests.
    Ready,
    /// No controller has heard it for several heartbeats; a later heartbeat takes this back.
    Lost,
    /// It said that it is about to end.
    Draining,
    /// It ended. Final for its id.
    Gone,
}

/// The version of a model's weights that a replica holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelVersion {
    pub name: String,
    pub version: u64,
}

/// One life of a replica: each start has an id of its own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    pub id: String,
    pub service: String,
    pub address: SocketAddrV4,
    pub zone: String,
    /// Requests that it works on at the same time.
    pub free_slots: u32,
    pub state: State,
    /// Number of the heartbeat (`call-count`) that this description comes from.
    pub beat: u64,
    pub models: Vec<ModelVersion>,
    /// How much longer it stays slow from its start, milliseconds, as of the heartbeat.
    pub cold_left_ms: u32,
    /// Version of its software; empty where nobody told.
    pub software: String,
}

impl Record {
    /// The end of a replica of which nothing else is known.
    pub fn ended(id: &str) -> Record {
        Record {
            id: id.to_string(),
            service: String::new(),
            address: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
            zone: String::new(),
            free_slots: 0,
            state: State::Gone,
            beat: 0,
            models: Vec::new(),
            cold_left_ms: 0,
            software: String::new(),
        }
    }

    /// Orders two descriptions of one replica: the greater one holds.
    ///
    /// `Gone` is above all; otherwise the later heartbeat is above, and at the same heartbeat the graver state.
    pub fn order(&self, other: &Record) -> Ordering {
        let gone = |record: &Record| record.state == State::Gone;
        gone(self).cmp(&gone(other)).then(self.beat.cmp(&other.beat)).then(self.state.cmp(&other.state))
    }

    /// The least description that includes both: that of the greater in [`Record::order`]. Of two with the same heartbeat
    /// each field counts by itself, and of weights the newest, since one of them may stem from a report after it. A later
    /// heartbeat counts alone: a replica may go back to older weights.
    #[must_use]
    pub fn join(&self, other: &Record) -> Record {
        let (mut greater, lesser) =
            if self.order(other).is_lt() { (other.clone(), self) } else { (self.clone(), other) };
        if greater.is_as_late_as(lesser) {
            greater.take_same_heartbeat(lesser);
        }
        // It stays the same in a life, and a word that does not tell it takes nothing back.
        if greater.software < lesser.software {
            greater.software.clone_from(&lesser.software);
        }
        greater.sorted()
    }

    fn is_as_late_as(&self, other: &Record) -> bool {
        self.beat == other.beat && (self.state == State::Gone) == (other.state == State::Gone)
    }

    /// Joins the fields of two descriptions from one heartbeat. A replica sends one number once, so they seldom differ but
    /// in weights and in the count-down; where they do, all who merge them come to the same.
    fn take_same_heartbeat(&mut self, other: &Record) {
        self.take_newer_weights(&other.models);
        self.cold_left_ms = self.cold_left_ms.min(other.cold_left_ms);
        if self.place() < other.place() {
            self.service.clone_from(&other.service);
            self.zone.clone_from(&other.zone);
            (self.address, self.free_slots) = (other.address, other.free_slots);
        }
    }

    /// What does not change in a replica's life.
    fn place(&self) -> (SocketAddrV4, &str, &str, u32) {
        (self.address, &self.service, &self.zone, self.free_slots)
    }

    /// Takes over what `others` tell of weights where it is newer.
    pub(crate) fn take_newer_weights(&mut self, others: &[ModelVersion]) {
        for model in others {
            match self.models.iter_mut().find(|known| known.name == model.name) {
                Some(known) => known.version = known.version.max(model.version),
                None => self.models.push(model.clone()),
            }
        }
        self.sort_models();
    }

    fn sort_models(&mut self) {
        self.models.sort_by(|a, b| a.name.cmp(&b.name).then(b.version.cmp(&a.version)));
        self.models.dedup_by(|later, earlier| later.name == earlier.name);
    }

    /// The same with each model once, in order of their names, as [`Record::join`] leaves them.
    pub(crate) fn sorted(mut self) -> Record {
        self.sort_models();
        self
    }

    /// Whether somebody who holds this, merged with what `other` tells, should tell it in return.
    pub(crate) fn says_more_than(&self, other: &Record) -> bool {
        self.order(other).is_gt() || self.is_news_after(&other.clone().sorted())
    }

    /// Whether subscribers must hear of the step from `before` to this description. Heartbeats that change
    /// nothing but their number, and the count-down from a cold start, are not news.
    pub fn is_news_after(&self, before: &Record) -> bool {
        self.state != before.state
            || self.models != before.models
            || self.address != before.address
            || self.free_slots != before.free_slots
            || self.service != before.service
            || self.zone != before.zone
            || self.software != before.software
            || (self.cold_left_ms == 0) != (before.cold_left_ms == 0)
    }
}
