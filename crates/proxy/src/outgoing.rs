//! The request as it goes to a replica. No I/O.

use crate::plan::Plan;
use dispatch::{Ms, Target};
use http::RequestHead;
use std::io::Write;

/// Headers that only the fleet sets towards replicas, and those that are not for replicas.
const NOT_PASSED: [&str; 11] = [
    "authorization",
    "cache-salt",
    "content-length",
    "deadline-left",
    "expect",
    "expect-version",
    "expected-node",
    "kv-fetch",
    "kv-save",
    "priority",
    "tenant",
];

/// What one send of a request tells its replica.
#[derive(Debug, Clone, Copy)]
pub struct SendFacts<'send> {
    /// Where it goes.
    pub target: &'send Target,
    /// `Priority`, if the configuration in force gives it one.
    pub priority: Option<u64>,
    /// How long it may take, ms.
    pub time_left: Ms,
    /// The event after which a stream goes on.
    pub last_event_id: Option<&'send str>,
}

/// The bytes of a request for one send.
pub fn request_bytes(head: &RequestHead, body: &[u8], plan: &Plan, facts: SendFacts) -> Vec<u8> {
    let SendFacts { target, priority, time_left, last_event_id } = facts;
    let mut bytes = Vec::with_capacity(1024 + body.len());
    let mut line = |name: &str, value: &[u8]| {
        bytes.extend_from_slice(name.as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value);
        bytes.extend_from_slice(b"\r\n");
    };
    let is_replaced = |name: &str| last_event_id.is_some() && name.eq_ignore_ascii_case("last-event-id");
    let is_held_back = |name: &str| NOT_PASSED.iter().any(|known| name.eq_ignore_ascii_case(known));
    let passed = head.lines.end_to_end().filter(|(name, _)| !is_held_back(name) && !is_replaced(name));
    for (name, value) in passed {
        line(name, value);
    }
    if let Some(id) = last_event_id {
        line("Last-Event-Id", id.as_bytes());
    }
    line("Deadline-Left", format!("{}", time_left.max(0.0).floor()).as_bytes());
    line("Expected-Node", target.id.as_bytes());
    if let Some(tenant) = &plan.ask.tenant {
        line("Tenant", tenant.name.as_bytes());
    }
    if let Some(priority) = priority {
        line("Priority", format!("{priority}").as_bytes());
    }
    if let Some(version) = target.version {
        line("Expect-Version", format!("{version}").as_bytes());
    }
    if let Some(salt) = &target.salt {
        line("Cache-Salt", salt.as_bytes());
    }
    if let Some(source) = target.fetch {
        line("Kv-Fetch", format!("{source}").as_bytes());
    }
    if let Some(store) = target.save {
        line("Kv-Save", format!("{store}").as_bytes());
    }
    let told_length = head.lines.count("content-length") > 0 || head.framing == http::Framing::Chunked;
    if told_length || !body.is_empty() {
        line("Content-Length", format!("{}", body.len()).as_bytes());
    }
    let mut whole = Vec::with_capacity(bytes.len() + body.len() + 256);
    // Writing into a vector can't fail.
    let _ = write!(whole, "{} {} HTTP/1.1\r\n", head.method(), head.target());
    whole.extend_from_slice(&bytes);
    whole.extend_from_slice(b"\r\n");
    whole.extend_from_slice(body);
    whole
}
