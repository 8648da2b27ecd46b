//! The table of replicas: heartbeats in, changes out.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use crate::changes::ChangeLog;
use crate::report::StandingReports;
use crate::{Limits, Millis, ModelVersion, Record, State, WeightsReport};

/// Replicas whose software is remembered before their records come.
const MOST_AWAITED: usize = 8_192;

/// What became of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// It says something new: subscribers must hear it.
    News,
    /// Nothing new but the time.
    Same,
    /// An older one than is known, or of an id that has ended.
    Late,
    /// There is no room for another replica.
    Full,
}

/// What became of a record from elsewhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merged {
    /// It was newer and says something new.
    News,
    /// It was known.
    Same,
    /// The catalogue knows better: the sender should be told.
    Older,
}

/// A heartbeat heard by a controller, as told to its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Beat {
    pub id: String,
    pub beat: u64,
}

#[derive(Debug, Clone)]
struct Entry {
    record: Record,
    /// Weights that were seen since, until heartbeats tell of them.
    reports: StandingReports,
    /// When a heartbeat was last heard here or by a peer.
    heard: Millis,
    /// The highest heartbeat heard here or by a peer; the record may stem from an earlier one.
    heard_beat: u64,
    /// When a heartbeat was last heard here, if ever.
    heard_here: Option<Millis>,
    /// Number of the last change that subscribers must hear.
    changed: u64,
    /// Heard here since the peers were last told.
    untold: bool,
    /// When it was first seen here that it is lost, while it is.
    lost_since: Option<Millis>,
}

impl Entry {
    /// The record with the number of the newest heartbeat that anybody heard. It told nothing else: numbers are passed on
    /// behind what their heartbeats told.
    fn newest(&self) -> Record {
        Record { beat: self.heard_beat.max(self.record.beat), ..self.record.clone() }
    }
}

/// Replicas by id, with the order of their changes.
#[derive(Debug, Clone)]
pub struct Catalog {
    limits: Limits,
    entries: HashMap<String, Entry>,
    changes: ChangeLog,
    by_address: HashMap<SocketAddrV4, String>,
    /// The software of replicas whose records are told next.
    awaited_software: HashMap<String, String>,
    /// Lost replicas that were forgotten since the last call of [`Catalog::take_forgotten`].
    forgotten_ids: Vec<String>,
}

impl Catalog {
    pub fn new(limits: Limits) -> Catalog {
        Catalog {
            limits,
            entries: HashMap::new(),
            changes: ChangeLog::default(),
            by_address: HashMap::new(),
            awaited_software: HashMap::new(),
            forgotten_ids: Vec::new(),
        }
    }

    /// Notes the software of a replica, before the record that is told next.
    pub fn note_software(&mut self, id: &str, version: &str) {
        if let Some(entry) = self.entries.get(id) {
            let record = Record { software: version.to_string(), ..entry.record.clone() };
            self.take(record);
        } else {
            // What is left over belongs to replicas that there was no room for.
            if self.awaited_software.len() >= MOST_AWAITED {
                self.awaited_software.clear();
            }
            self.awaited_software.insert(id.to_string(), version.to_string());
        }
    }

    /// Takes a heartbeat that a replica sent here.
    pub fn heartbeat(&mut self, now: Millis, record: Record) -> Heard {
        if !self.entries.contains_key(&record.id) {
            return self.first_heartbeat(now, record);
        }
        let Some(entry) = self.entries.get_mut(&record.id) else { return Heard::Late };
        if entry.record.state == State::Gone || record.beat < entry.record.beat {
            return Heard::Late;
        }
        entry.heard = now;
        entry.heard_beat = entry.heard_beat.max(record.beat);
        entry.heard_here = Some(now);
        entry.untold = true;
        // A heartbeat with the number of one that was counted as lost is the same one, heard again.
        match self.take(record) {
            Merged::News => Heard::News,
            _ => Heard::Same,
        }
    }

    fn first_heartbeat(&mut self, now: Millis, record: Record) -> Heard {
        if let Some(former) = self.by_address.get(&record.address).cloned() {
            let heard = self.entries.get(&former).map_or(0, |entry| entry.heard);
            if now.saturating_sub(heard) < self.limits.reuse_after_ms {
                return Heard::Late;
            }
            self.give_up_address(now, &former);
        }
        if self.live().count() >= self.limits.most_replicas {
            return Heard::Full;
        }
        self.insert(now, record, Some(now));
        Heard::News
    }

    /// Takes a replica's word that it ends. Whether that was news.
    pub fn leave(&mut self, now: Millis, id: &str) -> bool {
        if !self.entries.contains_key(id) {
            // Unknown here: a peer may know it, so the end is kept and told.
            self.insert(now, Record::ended(id), None);
            return true;
        }
        self.end(now, id)
    }

    fn end(&mut self, now: Millis, id: &str) -> bool {
        let Some(entry) = self.entries.get_mut(id) else { return false };
        if entry.record.state == State::Gone {
            return false;
        }
        entry.heard = now;
        let gone = Record { state: State::Gone, ..entry.record.clone() };
        self.take(gone) == Merged::News
    }

    /// Another id was heard at the address of a replica that has been silent. One that drains has ended by that. Another
    /// is only taken for lost, since heartbeats may come late: its own next one takes that back.
    fn give_up_address(&mut self, now: Millis, id: &str) {
        let Some(entry) = self.entries.get(id) else { return };
        if entry.record.state == State::Draining {
            self.end(now, id);
            return;
        }
        let lost = Record { state: State::Lost, ..entry.newest() };
        self.take(lost);
    }

    /// Takes a record that a peer, a controller or a subscriber told. One without software says nothing of it.
    pub fn merge(&mut self, now: Millis, mut record: Record) -> Merged {
        let Some(entry) = self.entries.get_mut(&record.id) else {
            if record.state != State::Gone && self.live().count() >= self.limits.most_replicas {
                return Merged::Same;
            }
            self.insert(now, record, None);
            return Merged::News;
        };
        if record.beat > entry.heard_beat {
            entry.heard = now;
            entry.heard_beat = record.beat;
        }
        if record.software.is_empty() {
            record.software.clone_from(&entry.record.software);
        }
        let told = record.clone();
        match self.take(record) {
            Merged::Same if self.get(&told.id).is_some_and(|known| known.says_more_than(&told)) => {
                Merged::Older
            }
            merged => merged,
        }
    }

    /// Notes weights that a replica was seen to hold between two heartbeats; what the peers are to be told of it, if it is
    /// news. Older weights are none: what was seen is older than it looks.
    pub fn note_models(&mut self, id: &str, models: &[ModelVersion]) -> Option<WeightsReport> {
        let after_beat = self.entries.get(id)?.newest().beat;
        let report = WeightsReport { id: id.to_string(), after_beat, models: models.to_vec() };
        self.take_report(&report).then_some(report)
    }

    /// Takes a report that was read here or by a peer. Whether it is news.
    pub fn take_report(&mut self, report: &WeightsReport) -> bool {
        let Some(entry) = self.entries.get_mut(&report.id) else { return false };
        if entry.record.state == State::Gone {
            return false;
        }
        entry.reports.note(report);
        // One that was judged as of an earlier heartbeat is not judged as of a later one by this.
        let known = if entry.record.state == State::Ready { entry.newest() } else { entry.record.clone() };
        self.take(known) == Merged::News
    }

    /// Notes heartbeats that a peer heard. They only tell that a replica lives: what it says comes by `merge`,
    /// and so does its return after it was counted as lost, since the peer that hears it answers that.
    pub fn peer_beats(&mut self, now: Millis, beats: &[Beat]) {
        for heard in beats {
            let Some(entry) = self.entries.get_mut(&heard.id) else { continue };
            if heard.beat > entry.heard_beat {
                entry.heard = now;
                entry.heard_beat = heard.beat;
            }
        }
    }

    /// Heartbeats heard here since the last call, for the peers.
    pub fn take_beats(&mut self) -> Vec<Beat> {
        let mut beats = Vec::new();
        for entry in self.entries.values_mut().filter(|entry| entry.untold) {
            entry.untold = false;
            beats.push(Beat { id: entry.record.id.clone(), beat: entry.heard_beat });
        }
        beats.sort_by(|a, b| a.id.cmp(&b.id));
        beats
    }

    /// Passes judgement on silent replicas, and forgets those that ended long ago. Only a controller that
    /// `proved` a majority lately may say that a replica is lost. Whether anything is news.
    pub fn tick(&mut self, now: Millis, proved: bool) -> bool {
        let mut news = false;
        if proved {
            for (id, state) in self.overdue(now) {
                let Some(entry) = self.entries.get(&id) else { continue };
                let record = Record { state, ..entry.newest() };
                news |= self.take(record) == Merged::News;
            }
        }
        self.forget_lost(now);
        self.forget_ended(now);
        news
    }

    /// Replicas silent for too long, each with the state that this makes of it.
    fn overdue(&self, now: Millis) -> Vec<(String, State)> {
        let verdict = |entry: &Entry| {
            let silent = now.saturating_sub(entry.heard);
            match entry.record.state {
                State::Draining if silent > self.limits.gone_after_ms => Some(State::Gone),
                State::Ready if silent > self.limits.lost_after_ms => Some(State::Lost),
                _ => None,
            }
        };
        let entries = self.entries.iter();
        entries.filter_map(|(id, entry)| Some((id.clone(), verdict(entry)?))).collect()
    }

    /// Drops replicas that have been lost for long. Whoever else knows them does the same.
    fn forget_lost(&mut self, now: Millis) {
        let mut void = Vec::new();
        for (id, entry) in &mut self.entries {
            if entry.record.state != State::Lost {
                entry.lost_since = None;
            } else if now.saturating_sub(*entry.lost_since.get_or_insert(now)) > self.limits.gone_after_ms {
                void.push(id.clone());
            }
        }
        void.iter().for_each(|id| self.remove(id));
        self.forgotten_ids.extend(void);
    }

    /// The replicas that were forgotten as lost since the last call: whatever else is known of them may go.
    pub fn take_forgotten(&mut self) -> Vec<String> {
        std::mem::take(&mut self.forgotten_ids)
    }

    /// Drops ended ids that are too old or too many.
    fn forget_ended(&mut self, now: Millis) {
        let mut ended: Vec<(Millis, String)> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.record.state == State::Gone)
            .map(|(id, entry)| (entry.heard, id.clone()))
            .collect();
        ended.sort_unstable();
        let surplus = ended.len().saturating_sub(self.limits.most_gone);
        for (place, (heard, id)) in ended.into_iter().enumerate() {
            if place < surplus || now.saturating_sub(heard) > self.limits.remember_gone_ms {
                self.remove(&id);
            }
        }
    }

    fn remove(&mut self, id: &str) {
        let Some(entry) = self.entries.remove(id) else { return };
        self.changes.forget(entry.changed);
        if self.by_address.get(&entry.record.address).is_some_and(|holder| holder == id) {
            self.by_address.remove(&entry.record.address);
        }
    }

    fn insert(&mut self, now: Millis, mut record: Record, heard_here: Option<Millis>) {
        let id = record.id.clone();
        if let Some(software) = self.awaited_software.remove(&id) {
            record.software = record.software.max(software);
        }
        if record.state != State::Gone {
            self.by_address.insert(record.address, id.clone());
        }
        let entry = Entry {
            heard: now,
            heard_beat: record.beat,
            heard_here,
            changed: 0,
            untold: heard_here.is_some(),
            lost_since: None,
            reports: StandingReports::default(),
            record: record.sorted(),
        };
        self.entries.insert(id.clone(), entry);
        self.note_change(&id);
    }

    /// Joins a record with the one known, and with the reports that stand beside it.
    fn take(&mut self, record: Record) -> Merged {
        let id = record.id.clone();
        let Some(entry) = self.entries.get_mut(&id) else { return Merged::Same };
        let mut record = entry.record.join(&record);
        entry.reports.apply(&mut record);
        let news = record.is_news_after(&entry.record);
        let (before, after) = (entry.record.address, record.address);
        let gone = record.state == State::Gone;
        entry.record = record;
        let holds_address = self.by_address.get(&before).is_some_and(|holder| *holder == id);
        if holds_address && (gone || before != after) {
            self.by_address.remove(&before);
        }
        if !gone && before != after {
            self.by_address.insert(after, id.clone());
        }
        if !news {
            return Merged::Same;
        }
        self.note_change(&id);
        Merged::News
    }

    /// Has a record told to all subscribers once more: somebody was seen to know less.
    pub fn tell_again(&mut self, id: &str) {
        self.note_change(id);
    }

    fn note_change(&mut self, id: &str) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        let is_urgent = matches!(entry.record.state, State::Draining | State::Gone);
        entry.changed = self.changes.note(entry.changed, id, is_urgent);
    }

    /// Number of the last change.
    pub fn last_change(&self) -> u64 {
        self.changes.last()
    }

    /// Number of the last change to a replica that drains or has ended.
    pub fn last_urgent_change(&self) -> u64 {
        self.changes.last_urgent()
    }

    /// All records, the ended ones too, in the order of their last changes.
    pub fn snapshot(&self) -> Vec<Record> {
        self.records_after(0)
    }

    /// The records that changed after change number `since`; `None` if some of those are forgotten, so that
    /// the subscriber must take a snapshot.
    pub fn changes_since(&self, since: u64) -> Option<Vec<Record>> {
        self.changes.reaches_back_to(since).then(|| self.records_after(since))
    }

    fn records_after(&self, since: u64) -> Vec<Record> {
        let ids = self.changes.ids_after(since);
        ids.filter_map(|id| self.get(id).cloned()).collect()
    }

    pub fn get(&self, id: &str) -> Option<&Record> {
        self.entries.get(id).map(|entry| &entry.record)
    }

    /// When a replica's heartbeat was last heard here, not by a peer.
    pub fn heard_here(&self, id: &str) -> Option<Millis> {
        self.entries.get(id).and_then(|entry| entry.heard_here)
    }

    /// Records of replicas that have not ended, in no order.
    pub fn live(&self) -> impl Iterator<Item = &Record> {
        self.entries.values().map(|entry| &entry.record).filter(|record| record.state != State::Gone)
    }
}
