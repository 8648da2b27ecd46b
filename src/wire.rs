//! Codec of the simulator's wire: JSON lines to [`Event`]s, [`Action`]s to JSON lines. Translation only.

use crate::interface::*;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use thiserror::Error;

pub use crate::settings::{Profile, ReportNames};

/// One input line.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Line {
    Tick { clock_ms: f64 },
    End {},
    Attach(Box<Attach>),
    Sheet { bank: u64, records: Vec<Record> },
    BackendsChanged { i: u64, kind: Change, bank: Option<u64> },
    Incoming(Box<Incoming>),
    DeadlineHit { i: u64 },
    Kill { i: u64 },
    Started { i: u64 },
    Withdrawn { i: u64, ticket: String },
    Sampled { i: u64, server: u32, rc: String, stats: Option<Vec<Option<f64>>> },
    Done { i: u64, ticket: String, hop: usize, server: u32, rc: String, elapsed_ms: f64 },
    Inbox { i: u64 },
}

/// A fresh instance.
#[derive(Debug, Deserialize)]
#[allow(missing_docs)]
pub struct Attach {
    pub i: u64,
    pub random_seed: u64,
    pub profile_data: Profile,
}

/// A query or a part of one.
#[derive(Debug, Deserialize)]
#[allow(missing_docs)]
pub struct Incoming {
    pub i: u64,
    pub ticket: String,
    pub profile: String,
    pub expires_in_ms: f64,
    pub whole_no: f64,
    pub segment_no: f64,
    pub size_or_weight: f64,
    #[serde(default)]
    pub effort_ms: Option<f64>,
    #[serde(default)]
    pub retry: Option<bool>,
}

/// What a list message brings.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Change {
    Update,
    Replace,
    Restored,
    Unavailable,
}

/// One entry of a sheet.
#[derive(Debug, Deserialize)]
#[allow(missing_docs)]
pub struct Record {
    pub server: u32,
    #[serde(default)]
    pub nominal: Option<f64>,
    #[serde(default)]
    pub dc: Option<String>,
    #[serde(default)]
    pub born_ms: Option<f64>,
    pub cell: usize,
    #[serde(default)]
    pub model: Option<String>,
    pub lifecycle: String,
}

/// Why a line of the simulator's wire can't be used; the adapter ends with exit code 1, since a reply would be wrong.
#[derive(Debug, Error)]
#[allow(missing_docs)]
pub enum WireError {
    #[error("field `{field}`: {why}")]
    Json { field: String, why: serde_json::Error },
    #[error("field `ticket` is not 16 hex digits: `{0}`")]
    Ticket(String),
    #[error("field `{field}` has unknown value `{value}`")]
    Unknown { field: &'static str, value: String },
    #[error("field `bank`: no sheet of that number came before")]
    Bank,
    #[error(transparent)]
    Settings(#[from] crate::settings::ConfigError),
    #[error("standard input or output: {0}")]
    Io(#[from] std::io::Error),
}

/// Reads one line.
///
/// # Errors
/// Tells what is malformed and in which field.
pub fn read_line(text: &str) -> Result<Line, WireError> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let line = serde_path_to_error::deserialize(&mut reader)
        .map_err(|error| WireError::Json { field: error.path().to_string(), why: error.into_inner() })?;
    reader.end().map_err(|why| WireError::Json { field: ".".into(), why })?;
    Ok(line)
}

/// Reads a request id: 16 hex digits.
///
/// # Errors
/// Names the field when it is malformed.
pub fn request_id(text: &str) -> Result<RequestId, WireError> {
    let number = u64::from_str_radix(text, 16).ok().filter(|_| text.len() == 16);
    number.map(RequestId).ok_or_else(|| WireError::Ticket(text.into()))
}

/// Reads a completion code.
///
/// # Errors
/// Names the field when the code is unknown.
pub fn outcome(code: &str) -> Result<Outcome, WireError> {
    Ok(match code {
        "pass" => Outcome::Pass,
        "fault" => Outcome::Fault,
        "no_room" => Outcome::NoRoom,
        "too_slow" => Outcome::TooSlow,
        "no_route" => Outcome::NoRoute,
        "cut" => Outcome::Cut,
        "undone" => Outcome::Cancelled,
        "stale_send" => Outcome::NotSent,
        other => return Err(WireError::Unknown { field: "rc", value: other.into() }),
    })
}

impl Incoming {
    /// Puts the request in the module's terms; `names` are the class names in order.
    ///
    /// # Errors
    /// Names the field that makes no sense.
    pub fn event(&self, names: &[String]) -> Result<Event, WireError> {
        let id = request_id(&self.ticket)?;
        let number = self.whole_no as u64;
        if self.segment_no >= 0.0 {
            let (shard, weight) = (self.segment_no as usize, self.size_or_weight);
            let work = self.effort_ms.filter(|work| work.is_finite() && *work > 0.0);
            return Ok(Event::Part { id, number, shard, weight, work });
        }
        let class = names.iter().position(|name| *name == self.profile);
        Ok(Event::Query {
            id,
            class: class
                .ok_or_else(|| WireError::Unknown { field: "profile", value: self.profile.clone() })?,
            number,
            parts: self.size_or_weight as usize,
            expires_in: self.expires_in_ms,
            retry: self.retry.unwrap_or(false),
        })
    }
}

impl Record {
    /// Puts the entry in the module's terms.
    ///
    /// # Errors
    /// Names the field that makes no sense.
    pub fn listed(&self) -> Result<Listed, WireError> {
        Ok(Listed {
            id: ReplicaId(self.server),
            cell: self.cell,
            zone: self.dc.clone().unwrap_or_default(),
            model: self.model.clone().unwrap_or_default(),
            size: self.nominal.unwrap_or(1.0),
            born: self.born_ms.filter(|born| *born > 0.0),
            lifecycle: match self.lifecycle.as_str() {
                "on" => Lifecycle::On,
                "fading" => Lifecycle::Fading,
                "off" => Lifecycle::Off,
                other => return Err(WireError::Unknown { field: "lifecycle", value: other.into() }),
            },
        })
    }
}

/// Puts the news of a list in the module's terms.
pub fn list_event(kind: Change, entries: Option<&Arc<[Listed]>>) -> Event {
    let kind = match kind {
        Change::Update => ListKind::Update,
        Change::Replace => ListKind::Replace,
        Change::Restored => ListKind::Restored,
        Change::Unavailable => ListKind::Unavailable,
    };
    Event::List { kind, entries: entries.map(|list| list.to_vec()).unwrap_or_default() }
}

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum Out<'a> {
    Send { i: u64, ticket: String, server: u32, stop_at_ms: f64 },
    Abandon { i: u64, ticket: String, hop: usize },
    Assemble { i: u64, ticket: String, whole: bool },
    Reject { i: u64, ticket: String, cool_down_ms: Option<f64> },
    Fail { i: u64, ticket: String },
    WakeMe { i: u64, cookie: u64, in_ms: f64 },
    Ping { i: u64, server: u32 },
    Track { i: u64, whole: bool },
    WriteLog { i: u64, what: &'a str },
    Next {},
}

fn ticket(id: RequestId) -> String {
    format!("{:016x}", id.0)
}

/// Writes one action of instance `i` as a line without its line end.
pub fn action_line(i: u64, action: &Action) -> String {
    let out = match action {
        Action::Send { part, replica, stop_at } => {
            Out::Send { i, ticket: ticket(*part), server: replica.0, stop_at_ms: *stop_at }
        }
        Action::Cancel { part, attempt } => Out::Abandon { i, ticket: ticket(*part), hop: *attempt },
        Action::Answer { query, whole } => Out::Assemble { i, ticket: ticket(*query), whole: *whole },
        Action::Refuse { query, retry_after } => {
            Out::Reject { i, ticket: ticket(*query), cool_down_ms: *retry_after }
        }
        // The simulator's wire has no advice on failures.
        Action::Fail { query, .. } => Out::Fail { i, ticket: ticket(*query) },
        Action::Wake { after } => Out::WakeMe { i, cookie: 0, in_ms: *after },
        Action::Probe { replica } => Out::Ping { i, server: replica.0 },
        Action::Subscribe => Out::Track { i, whole: true },
        Action::Log(what) => Out::WriteLog { i, what },
    };
    serde_json::to_string(&out).expect("plain data always serialises")
}

/// The line that ends a reply.
pub fn end_line() -> String {
    serde_json::to_string(&Out::Next {}).expect("plain data always serialises")
}
