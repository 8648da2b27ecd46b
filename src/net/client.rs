//! A client's connection as a state machine: bytes in, requests out, answers in, bytes out. No I/O.

use super::http::{self, Bad, Request};
use crate::interface::{Ms, RequestId};
use std::collections::VecDeque;

/// Bytes held for one client beyond which nothing more is read: a request of the greatest size, chunked in a
/// sensible way. All clients together stay within the memory limit.
const READ_LIMIT: usize = 160 * 1024;
/// Bytes of answers that wait to be written beyond which no further request of the client is taken.
const WRITE_LIMIT: usize = 64 * 1024;
/// Times of arrival that are kept for one client's input.
const MARKS: usize = 64;

/// Where a client's connection is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ClientState {
    /// Between requests, or inside one that has not fully come.
    Reading,
    /// A query waits for its final answer.
    Asked(RequestId),
    /// The last answer is being written; nothing more is read.
    Closing,
    /// The last answer has left since then; what still comes is thrown away until the client ends too.
    Lingering(Ms),
}

/// One client's connection.
#[derive(Debug)]
pub struct ClientConn {
    state: ClientState,
    input: Vec<u8>,
    /// How much of the input was taken: moving the rest for each of many small requests would cost its square.
    taken: usize,
    output: Vec<u8>,
    /// The request being answered asked to close after it.
    close: bool,
    /// Since when it has been between requests or inside one.
    reading_since: Ms,
    /// Whether a whole request has ever come.
    has_asked: bool,
    /// When bytes last came or an answer last left.
    pub active_at: Ms,
    /// When the last byte of the request in hand came.
    pub request_at: Ms,
    /// How far the input reached at which time: a pipelined request's time runs from its own last byte.
    marks: VecDeque<(usize, Ms)>,
    /// More came than is held. What is held whole is answered, then the connection is closed.
    overrun: bool,
    /// Since when the output has not been empty.
    unwritten_since: Option<Ms>,
}

impl ClientConn {
    /// A connection that was just accepted.
    pub fn new(now: Ms) -> Self {
        ClientConn {
            state: ClientState::Reading,
            input: Vec::new(),
            taken: 0,
            output: Vec::new(),
            close: false,
            reading_since: now,
            has_asked: false,
            active_at: now,
            request_at: now,
            marks: VecDeque::new(),
            overrun: false,
            unwritten_since: None,
        }
    }

    /// Where it is.
    pub fn state(&self) -> ClientState {
        self.state
    }

    /// Whether more bytes are read now. Also beyond what is held: else a client that has sent much would not be seen to
    /// go.
    pub fn wants_input(&self) -> bool {
        self.state != ClientState::Closing
    }

    /// Takes bytes in.
    pub fn received(&mut self, bytes: &[u8], now: Ms) {
        let takes = matches!(self.state, ClientState::Reading | ClientState::Asked(_));
        if !takes || bytes.is_empty() {
            return;
        }
        self.active_at = now;
        if self.overrun {
            return;
        }
        self.input.drain(..std::mem::take(&mut self.taken));
        let room = READ_LIMIT - self.input.len();
        self.overrun = bytes.len() > room;
        self.input.extend_from_slice(&bytes[..bytes.len().min(room)]);
        // A client that sends byte by byte: the earlier time holds for more, which makes its request older, not younger.
        let full = self.marks.len() >= MARKS;
        match self.marks.back_mut().filter(|_| full) {
            Some(mark) => mark.0 = self.input.len(),
            None => self.marks.push_back((self.input.len(), now)),
        }
    }

    /// The next whole request, where none is being answered and the client reads its answers.
    pub fn next_request(&mut self) -> Option<Result<Request, Bad>> {
        let rest = &self.input[self.taken..];
        if self.state != ClientState::Reading || rest.is_empty() || self.output.len() >= WRITE_LIMIT {
            return None;
        }
        match http::request(rest) {
            // Nothing more is held: a request that does not fit must not hang.
            Ok(None) if self.overrun || rest.len() >= READ_LIMIT => {
                self.close = true;
                Some(Err(Bad::TooLarge))
            }
            Ok(None) => None,
            Ok(Some((request, used))) => {
                self.taken += used;
                self.request_at =
                    self.marks.iter().find(|mark| mark.0 >= used).map_or(self.active_at, |mark| mark.1);
                self.marks.retain(|mark| mark.0 > used);
                self.marks.iter_mut().for_each(|mark| mark.0 -= used);
                if self.taken == self.input.len() {
                    // An idle connection holds no buffer.
                    (self.input, self.taken) = (Vec::new(), 0);
                }
                self.close = request.close;
                self.has_asked = true;
                Some(Ok(request))
            }
            Err(bad) => {
                self.close = true;
                Some(Err(bad))
            }
        }
    }

    /// The request just read is a query with this id.
    pub fn asked(&mut self, id: RequestId) {
        self.state = ClientState::Asked(id);
    }

    /// Puts the one final answer of the request in hand into the output.
    pub fn answer(&mut self, response: &http::Response, close: bool, now: Ms) {
        let close = close || self.close;
        self.output.extend(response.bytes(close));
        self.unwritten_since.get_or_insert(now);
        (self.active_at, self.reading_since) = (now, now);
        self.state = if close { ClientState::Closing } else { ClientState::Reading };
    }

    /// What is to be written.
    pub fn output(&self) -> &[u8] {
        &self.output
    }

    /// So many bytes of the output were written.
    pub fn wrote(&mut self, count: usize) {
        self.output.drain(..count);
        self.unwritten_since = self.unwritten_since.filter(|_| !self.output.is_empty());
    }

    /// Since when answers wait for the client to read, where nothing else is under way.
    pub fn unwritten_since(&self) -> Option<Ms> {
        self.unwritten_since.filter(|_| !matches!(self.state, ClientState::Asked(_)))
    }

    /// Whether it is between requests with nothing left to do.
    pub fn is_idle(&self) -> bool {
        self.state == ClientState::Reading && self.input.len() == self.taken && self.output.is_empty()
    }

    /// Whether it has been idle since before then. A connection that has only just come, or was only just
    /// answered, is likely to bring a request that is already on its way.
    pub fn is_quiet(&self, before: Ms) -> bool {
        self.is_idle() && self.active_at < before
    }

    /// Whether it has ever brought a whole request.
    pub fn has_asked(&self) -> bool {
        self.has_asked
    }

    /// Whether it came after that time and has brought no whole request.
    pub fn came_without_request(&self, after: Ms) -> bool {
        self.state == ClientState::Reading && !self.has_asked && self.reading_since > after
    }

    /// Since when a request has been coming that is not whole yet.
    pub fn incomplete_since(&self) -> Option<Ms> {
        let first = self.marks.front().filter(|_| self.state == ClientState::Reading);
        first.map(|mark| mark.1.max(self.reading_since))
    }

    /// Gives up waiting for the rest of a request.
    pub fn give_up(&mut self, response: &http::Response, now: Ms) {
        (self.input, self.taken) = (Vec::new(), 0);
        self.marks.clear();
        self.answer(response, true, now);
    }

    /// Whether nothing that was taken is lost if it is closed now: nothing was asked and nothing has come
    /// since `before`, or its last answer has left.
    pub fn may_go(&self, before: Ms) -> bool {
        match self.state {
            ClientState::Reading => self.output.is_empty() && (self.is_idle() || self.active_at < before),
            ClientState::Lingering(_) => true,
            ClientState::Asked(_) | ClientState::Closing => false,
        }
    }

    /// Begins to linger once the last answer has left; true if it did so now. Closing at once, with bytes
    /// of the client unread, would reset the connection and could take the answer with it.
    pub fn linger(&mut self, now: Ms) -> bool {
        let over = self.state == ClientState::Closing && self.output.is_empty();
        if over {
            self.state = ClientState::Lingering(now);
        }
        over
    }
}
