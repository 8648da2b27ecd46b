//! Records of replicas on the wire.

use std::net::{Ipv4Addr, SocketAddrV4};

use catalog::{ModelVersion, Record, State};
use peer::{ReplicaRecord, ReplicaState};

/// A record as it is sent.
pub fn record_to_wire(record: &Record) -> ReplicaRecord {
    let models = record.models.iter();
    let models = models
        .map(|model| peer::ModelVersion { name: model.name.as_str().into(), version: model.version })
        .collect();
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
    wire.with_models(models)
}

/// A record as it came.
pub fn record_from_wire(wire: &ReplicaRecord) -> Record {
    let nowhere = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);
    let models = wire.models.iter();
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
        models: models
            .map(|model| ModelVersion { name: model.name.as_str().to_string(), version: model.version })
            .collect(),
        cold_left_ms: wire.cold_left_ms,
    }
}
