//! Replicas as the fleet tells of them, with this proxy's record of calls.

use crate::health::Health;
use evidence::Ms;
use load::Load;
use peer::{replica_key, ModelVersion, ReplicaRecord, ReplicaState};
use prefix_index::ReplicaNumber;
use std::net::SocketAddrV4;
use std::rc::Rc;

/// A replica and this proxy's calls to it.
#[derive(Debug)]
pub(crate) struct Replica {
    pub number: ReplicaNumber,
    pub id: Rc<str>,
    /// Its name in messages on load.
    pub key: u32,
    pub address: SocketAddrV4,
    pub record: ReplicaRecord,
    /// Version of its software; empty where nobody told.
    pub software: String,
    pub health: Health,
    /// Calls of this proxy that are out.
    pub out: u32,
    /// Prompt tokens of calls out that have not begun to answer.
    pub pending_tokens: f64,
    /// Versions of models that answers told of, later than the record.
    heard: Vec<(String, u64)>,
}

impl Replica {
    /// `None` if the record holds no address.
    pub fn new(number: ReplicaNumber, record: ReplicaRecord, software: String) -> Option<Replica> {
        let id = Rc::from(record.id.as_str());
        let key = replica_key(record.id.as_str());
        let address = record.address.socket()?;
        let health = Health::default();
        Some(Replica {
            number,
            id,
            key,
            address,
            record,
            software,
            health,
            out: 0,
            pending_tokens: 0.0,
            heard: Vec::new(),
        })
    }

    /// Takes another record of the same life: the later one counts. Of two with the same heartbeat the newest weights count,
    /// since one of them may stem from a report after it.
    pub fn update(&mut self, mut record: ReplicaRecord) {
        let is_as_late = record.is_as_late_as(&self.record);
        if !record.supersedes(&self.record) {
            if is_as_late {
                self.record.take_newer_weights(&record);
            }
            return;
        }
        if is_as_late {
            record.take_newer_weights(&self.record);
        } else {
            // What answers told stands while the beat tells less: a beat is older than it looks.
            self.heard.retain(|(model, heard)| told(&record, model).is_some_and(|told| told < *heard));
        }
        self.record = record;
    }

    /// An answer told the version of a model. One that is older than what is known left before the replica moved.
    pub fn hear_version(&mut self, model: &str, version: u64) {
        if self.version(model).is_some_and(|known| known >= version) {
            return;
        }
        match self.heard.iter_mut().find(|(known, _)| known == model) {
            Some((_, heard)) => *heard = version,
            None => self.heard.push((model.to_string(), version)),
        }
    }

    /// What was heard of a model in answers is refuted: what the record tells counts again.
    pub fn forget_heard(&mut self, model: &str) {
        self.heard.retain(|(known, _)| known != model);
    }

    /// The version of a model's weights here, as far as is known.
    pub fn version(&self, model: &str) -> Option<u64> {
        let heard = self.heard.iter().find(|(known, _)| known == model).map(|(_, version)| *version);
        heard.or_else(|| told(&self.record, model))
    }

    /// What this proxy has out here.
    pub fn load(&self) -> Load {
        let calls = u16::try_from(self.out).unwrap_or(u16::MAX);
        Load { tokens: self.pending_tokens as u32, calls }
    }

    pub fn is_ready(&self) -> bool {
        self.record.state == ReplicaState::Ready
    }

    pub fn is_lost(&self) -> bool {
        self.record.state == ReplicaState::Lost
    }

    /// Whether requests may go there as far as evidence tells.
    pub fn is_well(&self, now: Ms) -> bool {
        !self.health.is_avoided(now)
    }
}

/// The version of a model's weights that a record tells.
fn told(record: &ReplicaRecord, model: &str) -> Option<u64> {
    let known: Option<&ModelVersion> = record.models.iter().find(|known| known.name.as_str() == model);
    known.map(|known| known.version)
}
