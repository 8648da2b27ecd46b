//! Holds answers back until the disk holds what they tell.
//!
//! One write is under way at a time. What changes meanwhile goes into the next one, with all answers that
//! wait for it, so a slow disk makes larger writes and not more of them.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddrV4;

use crate::acceptor::{Acceptor, Answer, Basis, Snapshot};
use crate::message::RegisterMessage;
use crate::node::{Effect, WriteFailed, WriteToken};
use crate::record::Slot;
use crate::Millis;

/// Answers that wait for one write, at most; the oldest go first.
const MAX_WAITING: usize = 256;

/// How long after a failed write the next is tried.
const RETRY_MILLIS: Millis = 200;

/// An answer with its receiver.
pub struct Addressed {
    /// Who gets it.
    pub to: SocketAddrV4,
    /// The answer.
    pub message: RegisterMessage,
}

struct InFlight {
    token: WriteToken,
    slots: BTreeSet<Slot>,
    snapshot: Snapshot,
    waiting: VecDeque<Addressed>,
}

/// The writes of one acceptor.
#[derive(Default)]
pub struct Durability {
    in_flight: Option<InFlight>,
    waiting: VecDeque<Addressed>,
    last_token: u64,
    retry_at: Millis,
}

impl Durability {
    /// Takes an answer; gives it back if it may leave at once.
    pub fn hold(&mut self, acceptor: &Acceptor, to: SocketAddrV4, answer: Answer) -> Option<Addressed> {
        let addressed = Addressed { to, message: answer.message };
        if acceptor.is_dirty(answer.basis) {
            push_bounded(&mut self.waiting, addressed);
            return None;
        }
        match &mut self.in_flight {
            Some(in_flight) if in_flight.touches(answer.basis) => {
                push_bounded(&mut in_flight.waiting, addressed);
                None
            }
            _ => Some(addressed),
        }
    }

    /// Whether the disk holds all of `basis`.
    pub fn holds(&self, acceptor: &Acceptor, basis: Basis) -> bool {
        let is_under_way = self.in_flight.as_ref().is_some_and(|in_flight| in_flight.touches(basis));
        !acceptor.is_dirty(basis) && !is_under_way
    }

    /// Starts the next write if there is something to write and no write under way.
    pub fn flush(&mut self, now: Millis, acceptor: &mut Acceptor, out: &mut Vec<Effect>) {
        if self.in_flight.is_some() || !acceptor.needs_write() || now < self.retry_at {
            return;
        }
        self.last_token += 1;
        let token = WriteToken(self.last_token);
        let (record, slots, snapshot) = acceptor.take_write();
        let waiting = std::mem::take(&mut self.waiting);
        self.in_flight = Some(InFlight { token, slots, snapshot, waiting });
        out.push(Effect::Write { token, record });
    }

    /// A write came to its end; returns the answers that may leave.
    pub fn done(
        &mut self,
        now: Millis,
        acceptor: &mut Acceptor,
        token: WriteToken,
        result: Result<(), WriteFailed>,
    ) -> VecDeque<Addressed> {
        match self.in_flight.take() {
            Some(in_flight) if in_flight.token == token => match result {
                Ok(()) => {
                    acceptor.written(in_flight.snapshot);
                    in_flight.waiting
                }
                Err(WriteFailed::Failed) => {
                    acceptor.take_back(in_flight.slots);
                    self.waiting.clear();
                    self.retry_at = now + RETRY_MILLIS;
                    VecDeque::new()
                }
            },
            other => {
                self.in_flight = other;
                VecDeque::new()
            }
        }
    }
}

impl InFlight {
    fn touches(&self, basis: Basis) -> bool {
        self.slots.iter().any(|slot| basis.includes(*slot))
    }
}

fn push_bounded(queue: &mut VecDeque<Addressed>, addressed: Addressed) {
    if queue.len() == MAX_WAITING {
        queue.pop_front();
    }
    queue.push_back(addressed);
}
