//! Records of replicas on the wire.

use std::net::{Ipv4Addr, SocketAddrV4};

use catalog::{ModelVersion, Record, State, WeightsReport};
use peer::{Message, ReplicaRecord, ReplicaSoftware, ReplicaState, Replicas, Software};

/// A record as it is sent.
pub fn record_to_wire(record: &Record) -> ReplicaRecord {
    let mut wire = ReplicaRecord::new(&record.id, &record.service, record.address.into(), &record.zone);
    wire.state = match record.state {
        State::Ready => ReplicaState::Ready,
        State::Lost => ReplicaState::Lost,
        State::Draining => ReplicaState::Draining,
        State::Gone => ReplicaState::Gone,
    };
    wire.beat = record.beat;
    wire.free_slots = record.free_slots;
    wire.cold_left_ms = record.cold_left_ms;
    wire.with_models(models_to_wire(&record.models))
}

/// A record as it came.
pub fn record_from_wire(wire: &ReplicaRecord) -> Record {
    let nowhere = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);
    Record {
        id: wire.id.as_str().to_string(),
        service: wire.service.as_str().to_string(),
        address: wire.address.socket().unwrap_or(nowhere),
        zone: wire.zone.as_str().to_string(),
        free_slots: wire.free_slots,
        state: match wire.state {
            ReplicaState::Ready => State::Ready,
            ReplicaState::Lost => State::Lost,
            ReplicaState::Draining => State::Draining,
            ReplicaState::Gone => State::Gone,
        },
        beat: wire.beat,
        models: models_from_wire(&wire.models),
        cold_left_ms: wire.cold_left_ms,
        software: String::new(),
    }
}

/// Messages that tell of these records: their software first, so that whoever knows of a replica knows what it runs.
pub fn messages_of_records(records: &[Record]) -> Vec<Message> {
    if records.is_empty() {
        return Vec::new();
    }
    let known = records.iter().filter(|record| !record.software.is_empty());
    let software = |record: &Record| ReplicaSoftware {
        id: record.id.as_str().into(),
        version: record.software.as_str().into(),
    };
    let software: Vec<ReplicaSoftware> = known.map(software).collect();
    let software = (!software.is_empty()).then(|| Message::Software(Software::from(software)));
    let records: Vec<ReplicaRecord> = records.iter().map(record_to_wire).collect();
    software.into_iter().chain([Message::Replicas(Replicas::from(records))]).collect()
}

/// A report as it is sent.
pub fn report_to_wire(report: &WeightsReport) -> peer::WeightsReport {
    peer::WeightsReport::new(&report.id, report.after_beat, models_to_wire(&report.models))
}

/// A report as it came.
pub fn report_from_wire(wire: &peer::WeightsReport) -> WeightsReport {
    WeightsReport {
        id: wire.id.as_str().to_string(),
        after_beat: wire.after_beat,
        models: models_from_wire(&wire.models),
    }
}

fn models_to_wire(models: &[ModelVersion]) -> Vec<peer::ModelVersion> {
    let wire = |model: &ModelVersion| peer::ModelVersion {
        name: model.name.as_str().into(),
        version: model.version,
    };
    models.iter().map(wire).collect()
}

fn models_from_wire(wire: &[peer::ModelVersion]) -> Vec<ModelVersion> {
    let model = |wire: &peer::ModelVersion| ModelVersion {
        name: wire.name.as_str().to_string(),
        version: wire.version,
    };
    wire.iter().map(model).collect()
}
