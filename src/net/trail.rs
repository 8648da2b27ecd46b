//! A bounded trail of close calls, for whoever has to explain one later. No I/O.
//!
//! Two sockets keep no order between them: whoever reads both may see a query's final answer before a frame that was
//! written a fraction of a millisecond earlier, and take it for one sent on after the answer. The trail remembers the
//! queries whose last frame and final answer came close, under the names that their clients gave them.

use crate::interface::{Ms, RequestId};
use std::collections::{HashMap, VecDeque};
use std::fmt;

/// Closer than this, ms, the last frame and the final answer of a query are remembered.
const NEAR: Ms = 20.0;
/// Queries remembered at most: some minutes of a busy day, under 100 KiB.
const MOST: usize = 1024;

/// A query whose last frame and final answer came close.
#[derive(Debug, Clone, PartialEq)]
pub struct Near {
    /// What its client calls it.
    pub name: String,
    /// Which attempt the last frame carried, from 0.
    pub attempt: usize,
    /// Frames that had left for it.
    pub frames: usize,
    /// When the last of them had left, and when the answer was made, ms.
    pub frame_at: Ms,
    /// See `frame_at`.
    pub answer_at: Ms,
}

impl fmt::Display for Near {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Near { name, attempt, frames, frame_at, answer_at } = self;
        let gap = answer_at - frame_at;
        write!(
            f,
            "{name}: {frames} frames, attempt {attempt} left at {frame_at:.2}, answered {gap:.2} ms later"
        )
    }
}

struct Open {
    name: String,
    frames: usize,
    /// Number and time of the last frame.
    last: Option<(usize, Ms)>,
}

/// What is remembered.
#[derive(Default)]
pub struct Trail {
    /// No more than queries are open.
    open: HashMap<RequestId, Open>,
    /// Queries of which a frame was written in this turn: it left some time before the turn's end.
    written: Vec<RequestId>,
    near: VecDeque<Near>,
}

impl Trail {
    /// A query was taken.
    pub fn opened(&mut self, query: RequestId, name: String) {
        self.open.insert(query, Open { name, frames: 0, last: None });
    }

    /// The last byte of a frame of the query was written in the turn that began at `now`.
    pub fn wrote(&mut self, query: RequestId, attempt: usize, now: Ms) {
        if let Some(open) = self.open.get_mut(&query) {
            open.frames += 1;
            open.last = Some((attempt, now));
            self.written.push(query);
        }
    }

    /// The turn has ended: all that was written in it had left by then.
    pub fn turned(&mut self, now: Ms) {
        for query in self.written.drain(..) {
            if let Some((_, at)) = self.open.get_mut(&query).and_then(|open| open.last.as_mut()) {
                *at = now;
            }
        }
    }

    /// The query had its final answer, or its client has gone.
    pub fn ended(&mut self, query: RequestId, now: Ms) {
        let Some(Open { name, frames, last: Some((attempt, frame_at)) }) = self.open.remove(&query) else {
            return;
        };
        if now - frame_at < NEAR {
            if self.near.len() == MOST {
                self.near.pop_front();
            }
            self.near.push_back(Near { name, attempt, frames, frame_at, answer_at: now });
        }
    }

    /// What is remembered, oldest first.
    pub fn near(&self) -> impl Iterator<Item = &Near> {
        self.near.iter()
    }
}
