//! The frames between coordinators and book nodes: a length of four bytes, a letter and the rest.

use crate::core::Send;
use crate::interface::*;
use crate::net::{NodeReply, PeerError};
use std::fmt::Write;

/// Longest frame that is taken from a node, bytes.
const FRAME_LIMIT: usize = 256 * 1024;

/// One frame.
pub fn frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    let mut bytes = ((rest.len() + 1) as u32).to_le_bytes().to_vec();
    bytes.push(letter);
    bytes.extend_from_slice(rest);
    bytes
}

/// The call of one part: its name and the frame.
pub fn query(name: &str, text: &str, key: Option<&str>, send: &Send, now: Ms) -> (String, Vec<u8>) {
    let shard = send.shard;
    let id = format!("{name}.{shard}{}", if send.second.is_some() { ".f" } else { "" });
    let wait = (send.stop_at - now).floor().max(1.0);
    let mut line = format!("{id} {shard} d={wait}");
    if let Some(key) = key {
        let _ = write!(line, ",k={key}");
    }
    if let Some(second) = &send.second {
        let from: Vec<String> = second.from.iter().map(usize::to_string).collect();
        let _ = write!(line, ",from={},whole={}", from.join("+"), u8::from(second.whole));
    }
    let _ = writeln!(line, " {}", text.len());
    line.push_str(text);
    (id, frame(b'Q', line.as_bytes()))
}

/// Reads one reply off the front of `input`.
///
/// # Errors
/// Tells why the connection can't go on.
pub fn reply(input: &mut Vec<u8>) -> Result<Option<NodeReply<String>>, PeerError> {
    let Some(length) = input.get(..4) else { return Ok(None) };
    let length = u32::from_le_bytes([length[0], length[1], length[2], length[3]]) as usize;
    if length == 0 || length > FRAME_LIMIT {
        return Err(PeerError::FrameLength(length));
    }
    let Some(body) = input.get(4..4 + length) else { return Ok(None) };
    let (letter, rest) = (body[0], &body[1..]);
    let text = std::str::from_utf8(rest).map_err(|_| PeerError::NotUtf8)?;
    let read = match letter {
        b'A' => answer(text).ok_or_else(|| PeerError::Answer(text.chars().take(60).collect()))?,
        b'L' => load(text),
        b'P' => NodeReply::Load(Outcome::Fault, Report::default()),
        b'E' => return Err(PeerError::Refused(text.chars().take(60).collect())),
        other => return Err(PeerError::FrameKind(other)),
    };
    input.drain(..4 + length);
    Ok(Some(read))
}

fn answer(text: &str) -> Option<NodeReply<String>> {
    let (line, value) = text.split_once('\n')?;
    let mut words = line.split(' ');
    let (id, end, score) = (words.next()?, words.next()?, words.next()?);
    let end = match end {
        "ok" => Ok((score.parse().ok()?, value.to_string())),
        "err" => Err(Outcome::Fault),
        "busy" => Err(Outcome::NoRoom),
        _ => return None,
    };
    Some(NodeReply::Part(Some(id.to_string()), end, false))
}

fn load(text: &str) -> NodeReply<String> {
    let value = |name: &str| {
        let entry = text.trim().split(',').find_map(|entry| entry.strip_prefix(name)?.strip_prefix('='));
        entry.and_then(|value| value.parse::<f64>().ok()).filter(|value| value.is_finite())
    };
    let outcome = if text.trim() == "err" { Outcome::Fault } else { Outcome::Pass };
    NodeReply::Load(outcome, Report { held: value("inflight"), busy: value("util") })
}
