//! Frames: a length, then a message.

use crate::Message;
use deku::{DekuContainerRead, DekuContainerWrite};
use quick_error::quick_error;

/// Longest message, bytes; a whole configuration fits in.
pub const LONGEST_FRAME: usize = 8 << 20;
/// Length of the length, bytes.
const PREFIX: usize = 4;
/// Room that a reader gives back once it is empty, bytes.
const KEPT_ROOM: usize = 64 << 10;

quick_error! {
    /// Why a stream of messages can't go on; its connection is to be closed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    #[allow(missing_docs)]
    pub enum FrameError {
        /// A frame is longer than any message.
        TooLong(length: usize) {
            display("a frame of {} bytes, the longest is {}: the peer speaks another protocol", length, LONGEST_FRAME)
        }
        /// A message can't be read.
        Malformed(why: String) {
            display("a message can't be read: {}; check that both sides are of versions that fit", why)
        }
    }
}

/// A message as a frame.
///
/// # Errors
/// The message is longer than a frame may be.
pub fn encode(message: &Message) -> Result<Vec<u8>, FrameError> {
    let body = message.to_bytes().map_err(|why| FrameError::Malformed(why.to_string()))?;
    if body.len() > LONGEST_FRAME {
        return Err(FrameError::TooLong(body.len()));
    }
    let mut frame = Vec::with_capacity(PREFIX + body.len());
    frame.extend_from_slice(&(body.len() as u32).to_le_bytes());
    frame.extend_from_slice(&body);
    Ok(frame)
}

/// Takes bytes in and gives messages out. Holds at most one frame and what came with it.
#[derive(Debug, Default)]
pub struct FrameReader {
    buffer: Vec<u8>,
    read: usize,
}

impl FrameReader {
    /// Takes bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next message, once it is whole.
    ///
    /// # Errors
    /// Tells why the stream can't go on.
    pub fn next_message(&mut self) -> Result<Option<Message>, FrameError> {
        let waiting = &self.buffer[self.read..];
        let Some(prefix) = waiting.first_chunk::<PREFIX>() else {
            self.compact();
            return Ok(None);
        };
        let length = u32::from_le_bytes(*prefix) as usize;
        if length > LONGEST_FRAME {
            return Err(FrameError::TooLong(length));
        }
        let Some(body) = waiting.get(PREFIX..PREFIX + length) else {
            self.compact();
            return Ok(None);
        };
        let (_, message) =
            Message::from_bytes((body, 0)).map_err(|why| FrameError::Malformed(why.to_string()))?;
        self.read += PREFIX + length;
        Ok(Some(message))
    }

    /// Drops what was read.
    fn compact(&mut self) {
        self.buffer.drain(..self.read);
        self.read = 0;
        if self.buffer.is_empty() && self.buffer.capacity() > KEPT_ROOM {
            self.buffer = Vec::new();
        }
    }
}
