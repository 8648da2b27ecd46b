//! Bodies that are passed on piece by piece, without being held whole.

use crate::{Bad, Chunks, Framing};

/// Reads a body as its bytes come.
#[derive(Debug, Clone)]
pub struct BodyReader {
    state: State,
    taken: usize,
}

#[derive(Debug, Clone)]
enum State {
    Length(usize),
    Chunked(Box<Chunks>),
}

impl BodyReader {
    /// A body with this framing.
    pub fn new(framing: Framing) -> BodyReader {
        let state = match framing {
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::Chunked(Box::default()),
        };
        BodyReader { state, taken: 0 }
    }

    /// Takes bytes off the front of `input` and appends the body's bytes among them; tells how many it used. After
    /// the end it uses none.
    ///
    /// # Errors
    /// Tells that the framing is broken.
    pub fn read(&mut self, input: &[u8], body: &mut Vec<u8>) -> Result<usize, Bad> {
        let before = body.len();
        let used = match &mut self.state {
            State::Length(left) => {
                let take = input.len().min(*left);
                body.extend_from_slice(&input[..take]);
                *left -= take;
                take
            }
            State::Chunked(chunks) => chunks.read(input, body)?,
        };
        self.taken += body.len() - before;
        Ok(used)
    }

    /// Whether the whole body has come.
    pub fn is_done(&self) -> bool {
        match &self.state {
            State::Length(left) => *left == 0,
            State::Chunked(chunks) => chunks.is_done(),
        }
    }

    /// How many bytes of the body have come.
    pub fn taken(&self) -> usize {
        self.taken
    }
}

/// Frames a body as it is passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyWriter {
    /// The length was told in the head; the bytes follow as they are.
    Plain,
    /// Each piece is a chunk.
    Chunked,
}

impl BodyWriter {
    /// Appends a piece of the body to `output`.
    pub fn piece(self, data: &[u8], output: &mut Vec<u8>) {
        if data.is_empty() {
            return;
        }
        if self == BodyWriter::Plain {
            return output.extend_from_slice(data);
        }
        output.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
        output.extend_from_slice(data);
        output.extend_from_slice(b"\r\n");
    }

    /// Appends the end of the body to `output`.
    pub fn end(self, output: &mut Vec<u8>) {
        if self == BodyWriter::Chunked {
            output.extend_from_slice(b"0\r\n\r\n");
        }
    }
}
