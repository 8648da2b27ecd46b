//! Calls of replicas and operators, decoded into commands that are run elsewhere.

use std::net::SocketAddrV4;

use catalog::{ModelVersion, Record, State};
use serde::Deserialize;

use crate::change::{ConfigurationOrder, WeightsOrder};
use crate::release_order;

/// Longest body of an operator's call, bytes.
pub const MOST_BODY_BYTES: usize = 3 * 1024 * 1024;
/// Longest body of a replica's call, bytes.
const MOST_HEARTBEAT_BYTES: usize = 64 * 1024;
/// Longest id, name or zone that a replica may give, bytes.
const MOST_NAME_BYTES: usize = 256;

/// A call that makes sense.
#[derive(Debug, Clone)]
pub enum Command {
    /// A replica lives.
    Heartbeat(Box<Record>),
    /// A replica ends.
    Leave { id: String },
    /// The operator changes the configuration.
    Configure(Box<ConfigurationOrder>),
    /// The operator names a version of a model's weights.
    NameWeights(WeightsOrder),
    /// The operator brings a version of a service's software in.
    BeginRelease(rollout::Order),
    /// The operator reads how far a service's newest release is.
    ReadRelease { service: String },
    /// The operator reads the configuration.
    ReadConfiguration,
    /// The operator asks what this controller knows of the fleet.
    ShowStatus,
}

/// Answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    /// JSON, or empty.
    pub body: Vec<u8>,
    /// When the caller may come back, milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Reply {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Reply {
        Reply { status, body: body.into(), retry_after_ms: None }
    }

    /// An answer without anything to say.
    pub fn empty(status: u16) -> Reply {
        Reply::new(status, "{}")
    }

    /// A refusal that says why.
    pub fn refusal(status: u16, why: &str) -> Reply {
        #[derive(serde::Serialize)]
        struct Refusal<'a> {
            error: &'a str,
        }
        Reply::new(status, serde_json::to_vec(&Refusal { error: why }).unwrap_or_default())
    }

    /// The call has not been run; the caller may come back after so long.
    pub fn later(status: u16, why: &str, after_ms: u64) -> Reply {
        Reply { retry_after_ms: Some(after_ms), ..Reply::refusal(status, why) }
    }
}

/// A call as it came.
#[derive(Debug, Clone, Copy)]
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub based_on: Option<&'a str>,
    pub body: &'a [u8],
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Heartbeat {
    service: String,
    address: SocketAddrV4,
    #[serde(default)]
    zone: String,
    /// Of its software.
    #[serde(default)]
    version: String,
    #[serde(default)]
    free_slots: u32,
    state: String,
    #[serde(default)]
    cold_left_ms: f64,
    #[serde(default)]
    models: Vec<HeartbeatModel>,
    #[serde(default)]
    call_count: u64,
}

#[derive(Deserialize)]
struct HeartbeatModel {
    name: String,
    #[serde(default)]
    version: u64,
}

#[derive(Deserialize)]
struct VersionPut {
    model: String,
    version: u64,
}

/// Decodes a call, or says at once what is wrong with it.
pub fn decode(call: Call) -> Result<Command, Reply> {
    let path = call.path.split('?').next().unwrap_or_default();
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    match (call.method, segments.as_slice()) {
        ("POST", ["nodes", id, "heartbeat"]) => heartbeat(id, call.body),
        ("POST", ["nodes", id, "leave"]) => Ok(Command::Leave { id: checked_id(id)?.to_string() }),
        ("POST", ["config", "replace"]) => {
            let order = ConfigurationOrder::replace(based_on(call)?, operator_body(call)?.to_vec());
            configure(order)
        }
        ("POST", ["config", "update"]) => {
            configure(ConfigurationOrder::update(based_on(call)?, operator_body(call)?))
        }
        ("GET", ["config", "read"]) => Ok(Command::ReadConfiguration),
        ("GET", ["fleet", "status"]) => Ok(Command::ShowStatus),
        ("POST", ["version-put"]) => name_weights(operator_body(call)?),
        ("POST", ["releases", "begin"]) => {
            Ok(Command::BeginRelease(release_order::read(operator_body(call)?)?))
        }
        ("GET", ["releases", service, "read"]) => Ok(Command::ReadRelease { service: service.to_string() }),
        (
            _,
            ["nodes", _, "heartbeat" | "leave"]
            | ["config", _]
            | ["version-put"]
            | ["fleet", "status"]
            | ["releases", "begin"]
            | ["releases", _, "read"],
        ) => Err(Reply::refusal(405, "this path takes another method")),
        _ => Err(Reply::refusal(404, "no such path; see the operator's API")),
    }
}

fn configure(order: Result<ConfigurationOrder, configuration::ConfigurationError>) -> Result<Command, Reply> {
    let order = order.map_err(|why| Reply::refusal(400, &why.to_string()))?;
    Ok(Command::Configure(Box::new(order)))
}

fn based_on(call: Call) -> Result<u64, Reply> {
    let text = call.based_on.map(str::trim);
    text.and_then(|text| text.parse().ok())
        .ok_or_else(|| Reply::refusal(400, "header Based-On must hold the version that the change builds on"))
}

fn operator_body(call: Call<'_>) -> Result<&[u8], Reply> {
    if call.body.len() > MOST_BODY_BYTES {
        return Err(too_large());
    }
    Ok(call.body)
}

/// The answer to a body that is longer than is taken.
pub fn too_large() -> Reply {
    Reply::refusal(413, &format!("the body is over {MOST_BODY_BYTES} bytes; send /config/update instead"))
}

fn name_weights(body: &[u8]) -> Result<Command, Reply> {
    let put: VersionPut = parse(body)?;
    if put.version == 0 || put.model.is_empty() || put.model.len() > MOST_NAME_BYTES {
        return Err(Reply::refusal(400, "model must be named, and versions start at 1"));
    }
    Ok(Command::NameWeights(WeightsOrder { model: put.model, version: put.version }))
}

fn heartbeat(id: &str, body: &[u8]) -> Result<Command, Reply> {
    let id = checked_id(id)?;
    if body.len() > MOST_HEARTBEAT_BYTES {
        return Err(Reply::refusal(413, "the heartbeat is too long"));
    }
    let heartbeat: Heartbeat = parse(body)?;
    let state = match heartbeat.state.as_str() {
        "draining" => State::Draining,
        "ready" => State::Ready,
        _ => return Err(Reply::refusal(400, "state must be ready or draining")),
    };
    if heartbeat.service.is_empty() || heartbeat.service.len() > MOST_NAME_BYTES {
        return Err(Reply::refusal(400, "service must be named"));
    }
    if heartbeat.version.len() > MOST_NAME_BYTES {
        return Err(Reply::refusal(400, "version is too long"));
    }
    let models = heartbeat.models.into_iter();
    Ok(Command::Heartbeat(Box::new(Record {
        id: id.to_string(),
        service: heartbeat.service,
        address: heartbeat.address,
        zone: heartbeat.zone,
        free_slots: heartbeat.free_slots,
        state,
        beat: heartbeat.call_count,
        models: models.map(|model| ModelVersion { name: model.name, version: model.version }).collect(),
        cold_left_ms: heartbeat.cold_left_ms.clamp(0.0, f64::from(u32::MAX)) as u32,
        software: heartbeat.version,
    })))
}

fn checked_id(id: &str) -> Result<&str, Reply> {
    let fits = !id.is_empty() && id.len() <= MOST_NAME_BYTES;
    fits.then_some(id).ok_or_else(|| Reply::refusal(400, "the path must hold the replica's id"))
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Reply> {
    serde_json::from_slice(body).map_err(|why| Reply::refusal(400, &format!("the body can't be read: {why}")))
}
