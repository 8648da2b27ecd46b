//! What processes tell each other of replicas.

use crate::message::MOST_RECORDS;
use crate::{Address, Text};
use deku::prelude::*;

/// Life of a replica. The order is the order of merging at one beat number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum ReplicaState {
    /// Takes requests.
    #[deku(id = "1")]
    Ready,
    /// Was not heard of for too long; a later beat takes this back.
    #[deku(id = "2")]
    Lost,
    /// Ends what it has and takes nothing new.
    #[deku(id = "3")]
    Draining,
    /// Has left; final.
    #[deku(id = "4")]
    Gone,
}

/// A model with the version of its weights.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct ModelVersion {
    /// Name of the model.
    pub name: Text,
    /// Version of its weights.
    #[deku(endian = "little")]
    pub version: u64,
}

/// What is known of one life of a replica.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct ReplicaRecord {
    /// Unique to this life.
    pub id: Text,
    /// Name of its service.
    pub service: Text,
    /// Where it takes requests.
    pub address: Address,
    /// Its zone.
    pub zone: Text,
    /// Its state.
    pub state: ReplicaState,
    /// Number of the beat that told it.
    #[deku(endian = "little")]
    pub beat: u64,
    /// Requests that it works on at once.
    #[deku(endian = "little")]
    pub free_slots: u32,
    /// How much longer it is slow from its start, ms.
    #[deku(endian = "little")]
    pub cold_left_ms: u32,
    #[deku(endian = "little", update = "self.models.len()")]
    model_count: u16,
    /// Its models.
    #[deku(count = "model_count")]
    pub models: Vec<ModelVersion>,
}

impl ReplicaRecord {
    /// A ready replica without models.
    pub fn new(id: &str, service: &str, address: Address, zone: &str) -> ReplicaRecord {
        ReplicaRecord {
            id: id.into(),
            service: service.into(),
            address,
            zone: zone.into(),
            state: ReplicaState::Ready,
            beat: 0,
            free_slots: 0,
            cold_left_ms: 0,
            model_count: 0,
            models: Vec::new(),
        }
    }

    /// The record with other models.
    #[must_use]
    pub fn with_models(mut self, models: Vec<ModelVersion>) -> ReplicaRecord {
        self.model_count = models.len() as u16;
        self.models = models;
        self
    }

    /// Whether this record is to take the place of another of the same id.
    pub fn supersedes(&self, other: &ReplicaRecord) -> bool {
        let gone = |record: &ReplicaRecord| record.state == ReplicaState::Gone;
        (gone(self), self.beat, self.state) > (gone(other), other.beat, other.state)
    }

    /// Whether another record of the same id stems from the same heartbeat.
    pub fn is_as_late_as(&self, other: &ReplicaRecord) -> bool {
        let is_gone = |record: &ReplicaRecord| record.state == ReplicaState::Gone;
        self.beat == other.beat && is_gone(self) == is_gone(other)
    }

    /// Takes over weights that another record of the same life tells and that are newer than those here.
    pub fn take_newer_weights(&mut self, other: &ReplicaRecord) {
        for told in &other.models {
            if let Some(known) = self.models.iter_mut().find(|known| known.name == told.name) {
                known.version = known.version.max(told.version);
            }
        }
    }
}

/// News of replicas.
#[derive(Debug, Clone, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct Replicas {
    #[deku(assert = "*count <= MOST_RECORDS", endian = "little", update = "self.records.len()")]
    count: u32,
    /// The records; each is merged by itself.
    #[deku(count = "count")]
    pub records: Vec<ReplicaRecord>,
}

impl From<Vec<ReplicaRecord>> for Replicas {
    fn from(records: Vec<ReplicaRecord>) -> Replicas {
        Replicas { count: records.len() as u32, records }
    }
}

/// The software that a replica runs; it stays the same in a life.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct ReplicaSoftware {
    /// Id of the replica.
    pub id: Text,
    /// Version of its software.
    pub version: Text,
}

/// The software of replicas. It goes before their records, so that whoever knows of a replica knows what it runs.
#[derive(Debug, Clone, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct Software {
    #[deku(assert = "*count <= MOST_RECORDS", endian = "little", update = "self.replicas.len()")]
    count: u32,
    /// The replicas.
    #[deku(count = "count")]
    pub replicas: Vec<ReplicaSoftware>,
}

impl From<Vec<ReplicaSoftware>> for Software {
    fn from(replicas: Vec<ReplicaSoftware>) -> Software {
        Software { count: replicas.len() as u32, replicas }
    }
}

/// A replica that a controller heard.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct Beat {
    /// Id of the replica.
    pub id: Text,
    /// Number of its newest beat.
    #[deku(endian = "little")]
    pub beat: u64,
}

/// Replicas that a controller heard since its last such message.
#[derive(Debug, Clone, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct Beats {
    #[deku(assert = "*count <= MOST_RECORDS", endian = "little", update = "self.heard.len()")]
    count: u32,
    /// The replicas.
    #[deku(count = "count")]
    pub heard: Vec<Beat>,
}

impl From<Vec<Beat>> for Beats {
    fn from(heard: Vec<Beat>) -> Beats {
        Beats { count: heard.len() as u32, heard }
    }
}

/// Replicas that have ended.
#[derive(Debug, Clone, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct Ends {
    #[deku(assert = "*count <= MOST_RECORDS", endian = "little", update = "self.ids.len()")]
    count: u32,
    /// Their ids.
    #[deku(count = "count")]
    pub ids: Vec<Text>,
}

impl From<Vec<Text>> for Ends {
    fn from(ids: Vec<Text>) -> Ends {
        Ends { count: ids.len() as u32, ids }
    }
}

/// Weights that a replica was seen to hold after one of its heartbeats.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct WeightsReport {
    /// Id of the replica.
    pub id: Text,
    /// Number of the newest beat that was known then.
    #[deku(endian = "little")]
    pub after_beat: u64,
    #[deku(endian = "little", update = "self.models.len()")]
    model_count: u16,
    /// Its models.
    #[deku(count = "model_count")]
    pub models: Vec<ModelVersion>,
}

impl WeightsReport {
    /// A report of these models.
    pub fn new(id: &str, after_beat: u64, models: Vec<ModelVersion>) -> WeightsReport {
        WeightsReport { id: id.into(), after_beat, model_count: models.len() as u16, models }
    }
}

/// Reports that a controller read since its last such message.
#[derive(Debug, Clone, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct WeightsReports {
    #[deku(assert = "*count <= MOST_RECORDS", endian = "little", update = "self.reports.len()")]
    count: u32,
    /// The reports; each is merged by itself.
    #[deku(count = "count")]
    pub reports: Vec<WeightsReport>,
}

impl From<Vec<WeightsReport>> for WeightsReports {
    fn from(reports: Vec<WeightsReport>) -> WeightsReports {
        WeightsReports { count: reports.len() as u32, reports }
    }
}
