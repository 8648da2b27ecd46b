//! Contact with a majority, and what a controller confirms without it: nothing.
//!
//! Two things rest on the register's digests, which prove contact with a majority of the acceptors:
//!
//! * The **contact lease**: a heartbeat of a replica that is ready is taken in at any time, but acknowledged only while
//!   the newest proof is younger than [`CONTACT_LEASE_MS`]. Otherwise the replica is told to call another controller,
//!   so a controller that is cut off keeps no replica to itself.
//! * The **barrier** for a replica that drains or leaves: the answer waits until a majority has answered a digest that
//!   left *after* the record. Record and digest travel on the same links in this order, so a majority of the
//!   controllers holds the record by then, and every agent is linked to all of them. One that leaves waits for a majority
//!   of disks as well ([`crate::ends`]).

use std::collections::VecDeque;

use register::{DigestNumber, Input as RegisterInput, RegisterNode};

use crate::command::Reply;
use crate::machine::calls::CALL_MS;
use crate::machine::peers::RecordsSent;
use crate::machine::{CallId, Effect, Machine, Moment};
use crate::Millis;

/// Age of the newest proof of contact up to which a controller counts as in contact. Digests leave every 300 ms and come
/// back in less, so this many milliseconds are several lost digests.
pub const CONTACT_LEASE_MS: Millis = 1_500;
/// When a caller that found a controller without contact may come back to it.
const RETRY_AFTER_MS: u64 = 1_000;

/// A call whose answer waits for the barrier.
#[derive(Debug)]
struct Waiting {
    call: CallId,
    since: Millis,
    /// The newest digest that left before what the call told. `None` until a digest has left behind that.
    told_after: Option<DigestNumber>,
    reply: Reply,
    /// The replica whose end a majority has to keep first, if it is one.
    end: Option<String>,
}

/// The calls that wait for proof, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct Barrier {
    waiting: VecDeque<Waiting>,
    /// A digest is to leave after what is fed next.
    wants_digest: bool,
}

impl Barrier {
    /// Holds an answer until a majority has heard what the call told.
    pub fn hold(&mut self, now: Millis, call: CallId, reply: Reply) {
        self.waiting.push_back(Waiting { call, since: now, told_after: None, reply, end: None });
        self.wants_digest = true;
    }

    /// Holds the acknowledgement of a replica's end until a majority has heard of it and keeps it.
    pub fn hold_end(&mut self, now: Millis, call: CallId, id: String) {
        let reply = Reply::empty(200);
        self.waiting.push_back(Waiting { call, since: now, told_after: None, reply, end: Some(id) });
        self.wants_digest = true;
    }

    /// When the oldest call is to be answered, proof or not.
    pub fn deadline(&self) -> Millis {
        self.waiting.front().map_or(Millis::MAX, |waiting| waiting.since + CALL_MS)
    }

    /// Whether no answer waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// A digest leaves now behind all that was told so far; `last` is the one before it.
    fn digest_leaves(&mut self, last: DigestNumber) {
        self.wants_digest = false;
        for waiting in &mut self.waiting {
            waiting.told_after.get_or_insert(last);
        }
    }

    /// The answers that are due: those that `confirmed` proves, with an end that is kept, and those that have waited too
    /// long.
    fn take_due(
        &mut self,
        now: Millis,
        confirmed: Option<DigestNumber>,
        is_end_kept: impl Fn(&str) -> bool,
    ) -> Vec<Due> {
        let mut due = Vec::new();
        let mut left = VecDeque::new();
        for waiting in self.waiting.drain(..) {
            let is_heard = waiting.told_after.is_some_and(|last| confirmed > Some(last));
            let is_proved = is_heard && waiting.end.as_deref().is_none_or(&is_end_kept);
            if !is_proved && now < waiting.since + CALL_MS {
                left.push_back(waiting);
                continue;
            }
            let Waiting { call, reply, end, .. } = waiting;
            due.push(Due { call, reply: if is_proved { reply } else { without_contact() }, end });
        }
        self.waiting = left;
        due
    }

    /// Whether a call waits for a replica's end to be kept.
    fn wants_end(&self, id: &str) -> bool {
        self.waiting.iter().any(|waiting| waiting.end.as_deref() == Some(id))
    }
}

/// A call that is to be answered now.
struct Due {
    call: CallId,
    reply: Reply,
    end: Option<String>,
}

/// The answer of a controller that can't prove contact with a majority.
pub(crate) fn without_contact() -> Reply {
    Reply::later(503, "this controller has no contact with a majority; call another one", RETRY_AFTER_MS)
}

impl Machine {
    fn prove_contact(&mut self, at: Moment, out: &mut Vec<Effect>) {
        let Some(last) = self.register.as_ref().map(RegisterNode::last_digest) else { return };
        self.barrier.digest_leaves(last);
        self.register(at, RegisterInput::ProveContact, out);
    }

    /// Age of the newest proof that this machine is on the majority's side.
    pub(crate) fn majority_age(&self, now: Millis) -> Millis {
        self.confirmed_at(now).map_or(Millis::MAX, |at| now.saturating_sub(at))
    }

    /// Whether the contact lease holds.
    pub(crate) fn has_contact(&self, now: Millis) -> bool {
        self.majority_age(now) < CONTACT_LEASE_MS
    }

    fn confirmed_at(&self, now: Millis) -> Option<Millis> {
        self.register.as_ref().and_then(|register| register.confirmed_at(now))
    }

    /// Sends digests behind the records that were just sent, and answers what is proved or has waited too long.
    pub(crate) fn settle_barrier(&mut self, at: Moment, records_sent: &RecordsSent, out: &mut Vec<Effect>) {
        if self.barrier.wants_digest && records_sent.is_complete(&self.view) {
            self.prove_contact(at, out);
        }
        if self.barrier.is_empty() {
            return;
        }
        let confirmed = self.register.as_ref().and_then(|register| register.confirmed_digest(at.now));
        let mut barrier = std::mem::take(&mut self.barrier);
        let due = barrier.take_due(at.now, confirmed, |id| self.is_end_kept(id));
        self.barrier = barrier;
        for Due { call, reply, end } in due {
            self.replies.push(Effect::Reply { call, reply });
            if let Some(id) = end.filter(|id| !self.barrier.wants_end(id)) {
                self.ends.unwant(&id);
            }
        }
    }
}
