//! Bytes of messages: a header (version, body length), then the body.

use std::io::Cursor;

use deku::{DekuContainerRead, DekuContainerWrite};

use crate::error::DecodeError;
use crate::key::RegisterKey;
use crate::message::RegisterMessage;
use crate::value::MAX_VALUE_BYTES;

/// The protocol version.
const VERSION: u8 = 1;

/// Bytes of the header: the version, then the body's length as four bytes, little-endian.
pub const HEADER_BYTES: usize = 5;

/// Room in the longest body for all but its values.
const BODY_OVERHEAD_BYTES: usize = 4096;

/// The longest body: one value of each ordinary register.
pub const MAX_BODY_BYTES: usize = RegisterKey::ORDINARY.len() * MAX_VALUE_BYTES + BODY_OVERHEAD_BYTES;

/// The bytes of `message`, header first.
pub fn encode(message: &RegisterMessage) -> Vec<u8> {
    let body = message.to_bytes().expect("every message has bytes");
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.push(VERSION);
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// The length of the body whose header starts `bytes`; `None` until the header is whole.
pub fn body_length(bytes: &[u8]) -> Result<Option<usize>, DecodeError> {
    let Some(header) = bytes.get(..HEADER_BYTES) else {
        return Ok(None);
    };
    if header[0] != VERSION {
        return Err(DecodeError::Version { found: header[0] });
    }
    let length = u32::from_le_bytes([header[1], header[2], header[3], header[4]]) as usize;
    if length > MAX_BODY_BYTES {
        return Err(DecodeError::TooLong { length, limit: MAX_BODY_BYTES });
    }
    Ok(Some(length))
}

/// The message that starts `bytes`, and how many bytes it took.
pub fn decode(bytes: &[u8]) -> Result<(RegisterMessage, usize), DecodeError> {
    let truncated = |expected| DecodeError::Truncated { expected, found: bytes.len() };
    let length = body_length(bytes)?.ok_or_else(|| truncated(HEADER_BYTES))?;
    let end = HEADER_BYTES + length;
    let body = bytes.get(HEADER_BYTES..end).ok_or_else(|| truncated(end))?;
    let malformed = |cause: String| DecodeError::Malformed { cause };
    let mut cursor = Cursor::new(body);
    let (_, message) =
        RegisterMessage::from_reader((&mut cursor, 0)).map_err(|error| malformed(error.to_string()))?;
    if cursor.position() as usize != length {
        return Err(malformed(format!("{} bytes follow the message", length - cursor.position() as usize)));
    }
    Ok((message, end))
}
