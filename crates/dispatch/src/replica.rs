//! Replicas as the fleet tells of them, with this proxy's record of calls.

use crate::health::Health;
use evidence::Ms;
use prefix_index::ReplicaNumber;
use std::net::SocketAddr;
use std::rc::Rc;

/// A replica's state, in the order in which states replace each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
pub enum ReplicaState {
    /// It takes requests.
    Ready,
    /// It is not heard of.
    Lost,
    /// It said that it is leaving.
    Draining,
    /// It has left, for good.
    Gone,
}

/// The version of a model's weights at a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelVersion {
    /// The model.
    pub model: String,
    /// Its version.
    pub version: u64,
}

/// What the fleet tells of one life of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaRecord {
    /// Unique to this life.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at the same time.
    pub slots: u32,
    /// Its state.
    pub state: ReplicaState,
    /// The weights that it has.
    pub models: Vec<ModelVersion>,
    /// The number of the beat that this was said with.
    pub beat: u64,
}

/// A replica and this proxy's calls to it.
#[derive(Debug)]
pub(crate) struct Replica {
    pub number: ReplicaNumber,
    pub id: Rc<str>,
    pub record: ReplicaRecord,
    pub health: Health,
    /// Calls of this proxy that are out.
    pub out: u32,
    /// Prompt tokens of calls out that have not begun to answer.
    pub pending_tokens: f64,
    /// Versions that answers told of, later than the record.
    heard: Vec<ModelVersion>,
}

impl Replica {
    pub fn new(number: ReplicaNumber, record: ReplicaRecord) -> Replica {
        let id = Rc::from(record.id.as_str());
        Replica {
            number,
            id,
            record,
            health: Health::default(),
            out: 0,
            pending_tokens: 0.0,
            heard: Vec::new(),
        }
    }

    /// Takes a later record of the same life.
    pub fn update(&mut self, record: ReplicaRecord) {
        if (record.beat, record.state) < (self.record.beat, self.record.state) {
            return;
        }
        if record.beat > self.record.beat {
            // What answers told goes unless the beat tells less: weights only go up within one life.
            self.heard.retain(|heard| {
                record.models.iter().any(|told| told.model == heard.model && told.version < heard.version)
            });
        }
        self.record = record;
    }

    /// An answer told the version of a model.
    pub fn hear_version(&mut self, model: &str, version: u64) {
        match self.heard.iter_mut().find(|heard| heard.model == model) {
            Some(heard) => heard.version = version,
            None => self.heard.push(ModelVersion { model: model.to_string(), version }),
        }
    }

    /// The version of a model's weights here, as far as is known.
    pub fn version(&self, model: &str) -> Option<u64> {
        let of =
            |list: &[ModelVersion]| list.iter().find(|known| known.model == model).map(|known| known.version);
        of(&self.heard).or_else(|| of(&self.record.models))
    }

    pub fn is_ready(&self) -> bool {
        self.record.state == ReplicaState::Ready
    }

    /// Whether requests may go there as far as evidence tells.
    pub fn is_well(&self, now: Ms) -> bool {
        !self.health.is_avoided(now)
    }
}
