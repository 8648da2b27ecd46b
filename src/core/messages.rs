//! What the core is told, and what it wants carried out.

use crate::interface::{ListKind, Listed, Ms, Outcome, ReplicaId, Report, RequestId};

/// Names one attempt of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The part.
    pub part: RequestId,
    /// Its number, from 0.
    pub number: usize,
}

/// A query as a front hands it over.
#[derive(Debug, Clone)]
pub struct NewQuery {
    /// Index into [`Settings::classes`].
    pub class: usize,
    /// When its client stops waiting.
    pub expires_at: Ms,
    /// The client marks this as another try.
    pub retry: bool,
    /// Shard and weight of each part.
    pub parts: Vec<(usize, f64)>,
    /// The work of each part in ms, as the request states it, in the order of `parts`; empty where it states none.
    pub work: Vec<Option<Ms>>,
}

/// What the core is told; `V` is the value of a part.
#[derive(Debug, Clone)]
pub enum Input<V> {
    /// News of the list of replicas.
    List(ListKind, Vec<Listed>),
    /// A query was taken; its id comes from [`Core::new_id`].
    Query(RequestId, NewQuery),
    /// The client of a query has gone.
    Gone(RequestId),
    /// A part was served, with its score and value.
    Served(AttemptId, i64, V),
    /// An attempt ended otherwise.
    Ended(AttemptId, Outcome),
    /// A probe was answered.
    Probed(ReplicaId, Outcome, Report),
}

/// What a part of the second step carries.
#[derive(Debug, Clone, PartialEq)]
pub struct Second {
    /// The shards that were in.
    pub from: Vec<usize>,
    /// Whether the first step was whole.
    pub whole: bool,
}

/// One attempt to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Send {
    /// The attempt.
    pub attempt: AttemptId,
    /// The query of its part.
    pub query: RequestId,
    /// The shard that it asks.
    pub shard: usize,
    /// Where it goes.
    pub replica: ReplicaId,
    /// When the core stops waiting for it.
    pub stop_at: Ms,
    /// Where it repeats an attempt that may have run: by when the last byte of both must have left. A connection may
    /// come up, or drain, long after the frame was queued, and outside the window a repeat runs again.
    pub leave_by: Option<Ms>,
    /// Present in a second step.
    pub second: Option<Second>,
    /// A copy of what went out in an earlier step and may have been answered since.
    pub late: bool,
}

/// How a query ends without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// Its time was over.
    TimedOut,
    /// A part could not be had.
    Unserved,
}

/// What is to be carried out, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect<V> {
    /// Send an attempt.
    Send(Send),
    /// Call an attempt off.
    Cancel(AttemptId, ReplicaId),
    /// Nobody waits for an attempt any more: it does not go out if it has not begun to.
    Withdraw(AttemptId),
    /// Final answer of a query: whether it is whole, and the shards with their values.
    Answer(RequestId, bool, Vec<(usize, V)>),
    /// Final answer: refused, with advice when to come back.
    Refuse(RequestId, Option<Ms>),
    /// Final answer: failed, with advice when to come back.
    Fail(RequestId, Failure, Option<Ms>),
    /// Ask a replica for its load.
    Probe(ReplicaId),
    /// A replica drains or is gone: what is not begun does not go out.
    DropUnsent(ReplicaId),
    /// A line for on-call staff.
    Log(String),
}
