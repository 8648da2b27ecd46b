//! One client's request on its way: what was sent, what is proven, what may still be sent.

use crate::cause::Cause;
use crate::figures::{LateReason, Work};
use crate::salt::Tenant;
use evidence::Ms;
use prefix_index::{PartKey, ReplicaNumber};
use std::net::SocketAddrV4;
use std::rc::Rc;

/// Time left to a request below which it is not sent again, ms.
pub(crate) const LEAST_TIME: Ms = 20.0;
/// When to come back if no replica told, ms.
pub(crate) const COME_BACK: Ms = 150.0;

/// What a route allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rules {
    /// A request that may have run may be sent again.
    pub is_idempotent: bool,
    /// Most replicas that a request may be sent to.
    pub tries: u32,
}

/// A request to be dispatched.
#[derive(Debug, Clone)]
pub struct Ask {
    /// The service of its route.
    pub service: Rc<str>,
    /// Its route, by [`peer::replica_key`] of the name.
    pub route: u32,
    /// What its route allows.
    pub rules: Rules,
    /// `Model`, if it names one.
    pub model: Option<String>,
    /// `Prompt-Prefix`, if it has one.
    pub prompt: Option<String>,
    /// Its tenant, if it has one.
    pub tenant: Option<Tenant>,
    /// When it is given up.
    pub deadline: Ms,
    /// By when its first piece earns it its full worth, if its route tells.
    pub target: Option<Ms>,
}

/// Where and how to send a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// The replica.
    pub replica: ReplicaNumber,
    /// Its id, for `Expected-Node`.
    pub id: Rc<str>,
    /// Its address.
    pub address: SocketAddrV4,
    /// `Expect-Version`, for requests that name a model.
    pub version: Option<u64>,
    /// `Cache-Salt`, for requests that name a model.
    pub salt: Option<String>,
    /// `Kv-Fetch`: who has blocks of the prompt that the replica lacks.
    pub fetch: Option<SocketAddrV4>,
    /// `Kv-Save`: the store that is to have what the replica reads.
    pub save: Option<SocketAddrV4>,
}

/// How a send ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// No byte of the request was written.
    Unreached,
    /// The replica proved that the request has not run and won't: it is full or can't take it.
    Full {
        /// When to come back, if it told, ms.
        retry_after: Option<Ms>,
    },
    /// Proof as well: another replica has the address.
    Elsewhere,
    /// Proof as well: its weights are of another version.
    OtherVersion,
    /// The connection broke, or what came is no answer to this request.
    Broken,
    /// Nothing whole came by the deadline.
    Expired,
    /// A sound answer that the replica failed; the request counts as run.
    Failed,
    /// A sound answer.
    Answered,
    /// It had not begun when nothing may begin on the version any more that the replica has.
    Outdated,
    /// The client has left, or a twin won.
    Abandoned,
}

impl Outcome {
    /// Whether it is certain that the request neither ran nor will.
    fn is_proof(self) -> bool {
        matches!(self, Outcome::Unreached | Outcome::Full { .. } | Outcome::Elsewhere | Outcome::OtherVersion)
    }
}

impl Outcome {
    /// What a later answer of the same request is late for.
    fn setback(self) -> Option<LateReason> {
        match self {
            Outcome::Full { .. } => Some(LateReason::TurnedAway),
            Outcome::OtherVersion | Outcome::Outdated => Some(LateReason::Weights),
            Outcome::Unreached | Outcome::Elsewhere | Outcome::Broken | Outcome::Failed => {
                Some(LateReason::ReplicaFailed)
            }
            Outcome::Expired | Outcome::Answered | Outcome::Abandoned => None,
        }
    }
}

/// What follows the end of a send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Next {
    /// Send again: [`crate::Dispatcher::send`] tells where.
    Repeat,
    /// Nothing is sent any more: the answer of the send that has just ended is passed on if there is one, else this one
    /// is given.
    GiveUp(Final),
    /// Nothing: the answer was whole, another send of the same call is out, or nobody waits for an answer.
    Nothing,
}

/// The final answer of a request that was given up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Final {
    /// The status.
    pub status: u16,
    /// `Retry-After`, ms: only where the request has not run and won't.
    pub retry_after: Option<Ms>,
    /// Why.
    pub cause: Cause,
}

/// A send that is out.
#[derive(Debug, Clone)]
pub(crate) struct Out {
    pub replica: ReplicaNumber,
    pub at: Ms,
    /// What the replica has to do before its first piece.
    pub work: Work,
    /// Counted among the tokens that the replica has yet to read.
    pub is_pending: bool,
    pub parts: Vec<PartKey>,
    /// The version of its model that it expects there.
    pub version: Option<u64>,
}

/// A request on its way.
#[derive(Debug)]
pub struct Call {
    pub(crate) ask: Ask,
    /// Replicas that it was sent to, or that could not be reached.
    pub(crate) tried: Vec<ReplicaNumber>,
    /// Sends that counted, so far.
    pub(crate) sends: u32,
    /// Replicas that could not be reached.
    pub(crate) unreached: u32,
    /// Some send may have run.
    pub(crate) is_in_doubt: bool,
    /// When a replica that was full wants it back, ms from its answer.
    pub(crate) retry_after: Option<Ms>,
    pub(crate) out: Vec<Out>,
    /// Why a send before the last one brought no answer.
    pub(crate) setback: Option<LateReason>,
    /// A first piece has come.
    pub(crate) has_begun: bool,
}

impl Call {
    pub(crate) fn new(ask: Ask) -> Call {
        Call {
            ask,
            tried: Vec::new(),
            sends: 0,
            unreached: 0,
            is_in_doubt: false,
            retry_after: None,
            out: Vec::new(),
            setback: None,
            has_begun: false,
        }
    }

    /// What it asks.
    pub fn ask(&self) -> &Ask {
        &self.ask
    }

    /// Whether a send may have run without an answer.
    pub fn is_in_doubt(&self) -> bool {
        self.is_in_doubt
    }

    /// Sends so far that reached a replica or may have.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Notes how a send ended.
    pub(crate) fn note(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Unreached => {
                self.sends = self.sends.saturating_sub(1);
                self.unreached += 1;
            }
            Outcome::Full { retry_after } => self.retry_after = retry_after.or(self.retry_after),
            _ => {}
        }
        self.is_in_doubt |= !outcome.is_proof();
        self.setback = outcome.setback().or(self.setback);
    }

    /// Whether what has happened so far forbids another send.
    pub(crate) fn is_unrepeatable(&self) -> bool {
        self.is_in_doubt && !self.ask.rules.is_idempotent
    }

    /// The answer when all is given up.
    pub(crate) fn give_up(&self, cause: Cause, retry_after: Ms) -> Final {
        match cause {
            Cause::Expired if self.is_in_doubt => Final { status: 504, retry_after: None, cause },
            _ if self.is_in_doubt => Final { status: 502, retry_after: None, cause },
            _ => Final { status: 503, retry_after: Some(self.retry_after.unwrap_or(retry_after)), cause },
        }
    }
}
