//! What the core keeps of queries, parts, attempts and replicas.

use super::messages::Second;
use crate::interface::{Ms, ReplicaId, RequestId};

/// Kinds of [`crate::interface::Outcome`].
pub(super) const OUTCOMES: usize = 8;

pub(super) struct Query {
    pub number: u64,
    pub class: usize,
    pub taken_at: Ms,
    pub expires_at: Ms,
    pub parts: Vec<RequestId>,
    pub second: Option<Second>,
    /// The program ends before its time is over.
    pub cut_short: bool,
    /// How its attempts ended, by [`crate::interface::Outcome`]: for the trace of its final answer.
    pub outcomes: [u16; OUTCOMES],
}

pub(super) struct Part<V> {
    pub query: RequestId,
    pub shard: usize,
    pub weight: f64,
    pub step: usize,
    pub tries: usize,
    /// When the first attempt that may have run was sent.
    pub may_have_run: Option<Ms>,
    pub out: Vec<usize>,
    pub value: Option<(i64, V)>,
}

pub(super) struct Attempt {
    pub replica: ReplicaId,
    pub sent_at: Ms,
    pub stop_at: Ms,
}

pub(super) struct Known {
    pub cell: usize,
    /// It drains or is gone. When that was told is never known exactly (the agent may have had it before a watch was
    /// open), so nothing new goes out from the news on, and what had not begun is taken back: the grace is not used.
    pub off: bool,
    /// The list holds it.
    pub listed: bool,
}
