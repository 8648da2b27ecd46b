//! A connection to a book node as a state machine: frames queue, leave byte by byte and are answered. It
//! knows of every attempt whether its first and its last byte was written. No I/O.

use crate::core::AttemptId;
use crate::interface::{Ms, Outcome};
use std::collections::VecDeque;

/// Where a connection to a node is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NodeState {
    /// Being opened since then.
    Connecting(Ms),
    /// Up.
    Open,
    /// Up, finishing what it carries; takes nothing new.
    Retired,
}

/// What a frame is for.
#[derive(Debug, Clone, PartialEq)]
pub enum Purpose {
    /// One attempt, and the name that its answer bears.
    Part(AttemptId, String),
    /// A probe for load, asked for then.
    Probe(Ms),
    /// Nobody waits for what it brings.
    Other,
}

#[derive(Debug)]
struct Frame {
    purpose: Purpose,
    bytes: Vec<u8>,
    /// By when its last byte must have left, if at all.
    leave_by: Option<Ms>,
    /// It carries an attempt, also where that was called off meanwhile.
    is_attempt: bool,
}

impl Frame {
    fn new(purpose: Purpose, bytes: Vec<u8>) -> Frame {
        let is_attempt = matches!(purpose, Purpose::Part(..));
        Frame { purpose, bytes, leave_by: None, is_attempt }
    }
}

/// What calling an attempt off asks of the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Called {
    /// It was not here, or nothing of it had left.
    Removed,
    /// The node was sent, or will be sent, the frame that says so.
    Told,
    /// The dialect has no such frame: close the connection.
    MustClose,
}

/// One connection to a node.
#[derive(Debug)]
pub struct NodeConn {
    state: NodeState,
    queue: VecDeque<Frame>,
    /// Bytes of the first frame that were written.
    written: usize,
    /// Frames fully written and not answered yet, oldest first.
    out: VecDeque<Purpose>,
    /// Bytes that came and make no whole reply yet.
    pub input: Vec<u8>,
    /// When bytes last went either way.
    pub active_at: Ms,
    /// How long it has carried something since the node was last heard on it: up to the last time that it
    /// carried nothing, and since when it carries something again.
    waited: Ms,
    waits_since: Option<Ms>,
    /// The node answered on another connection then, while this one was silent.
    pub overtaken: Option<Ms>,
    /// Attempts whose last byte was written.
    pub attempts_written: u64,
}

impl NodeConn {
    /// A connection that is being opened.
    pub fn new(now: Ms) -> Self {
        NodeConn {
            state: NodeState::Connecting(now),
            queue: VecDeque::new(),
            written: 0,
            out: VecDeque::new(),
            input: Vec::new(),
            active_at: now,
            waited: 0.0,
            waits_since: None,
            overtaken: None,
            attempts_written: 0,
        }
    }

    /// Where it is.
    pub fn state(&self) -> NodeState {
        self.state
    }

    /// It is up.
    pub fn connected(&mut self, now: Ms) {
        if let NodeState::Connecting(_) = self.state {
            (self.state, self.active_at) = (NodeState::Open, now);
            self.waits(now);
        }
    }

    /// Keeps account of whether something is carried.
    fn waits(&mut self, now: Ms) {
        if self.is_idle() {
            self.waited += self.waits_since.take().map_or(0.0, |since| now - since);
        } else if !matches!(self.state, NodeState::Connecting(_)) {
            self.waits_since.get_or_insert(now);
        }
    }

    /// How long nothing was heard of the node while something was carried. A connection may fall silent alone,
    /// with the node well: calls that are sent after one that is lost in it are lost too. What was called off
    /// meanwhile makes it no better.
    pub fn silent_for(&self, now: Ms) -> Ms {
        self.waited + self.waits_since.map_or(0.0, |since| now - since)
    }

    /// Takes bytes in. That they come proves little: a reply that never ends holds up all behind it.
    pub fn received(&mut self, bytes: &[u8], now: Ms) {
        self.input.extend_from_slice(bytes);
        self.active_at = now;
    }

    /// A whole reply came.
    pub fn heard(&mut self, now: Ms) {
        (self.waited, self.overtaken) = (0.0, None);
        self.waits_since = self.waits_since.map(|_| now);
    }

    /// It takes nothing new from now on.
    pub fn retire(&mut self) {
        self.state = NodeState::Retired;
    }

    /// What it carries, queued frames too.
    pub fn load(&self) -> usize {
        let parts = self.queue.iter().map(|frame| &frame.purpose).chain(&self.out);
        parts.filter(|purpose| **purpose != Purpose::Other).count()
    }

    /// Whether nothing is queued or out.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.out.is_empty()
    }

    /// Whether it is up and carries nothing.
    pub fn rests(&self) -> bool {
        self.state == NodeState::Open && self.is_idle()
    }

    /// Whether one more call fits. A connection near the end of its idle time is not used again: what is
    /// written to it may meet the other side's close and end as a reset.
    pub fn has_room(&self, streams: usize, retire_after: Ms, now: Ms) -> bool {
        let fresh = !self.is_idle() || now - self.active_at < retire_after;
        self.state != NodeState::Retired && fresh && self.load() < streams
    }

    /// Queues a frame.
    pub fn push(&mut self, purpose: Purpose, bytes: Vec<u8>, now: Ms) {
        self.queue.push_back(Frame::new(purpose, bytes));
        self.waits(now);
    }

    /// What is to be written next.
    pub fn output(&self) -> &[u8] {
        self.queue.front().map_or(&[], |frame| &frame.bytes[self.written..])
    }

    /// So many bytes of the output were written; tells the attempt whose last byte that was.
    pub fn wrote(&mut self, count: usize, now: Ms) -> Option<AttemptId> {
        self.active_at = now;
        self.written += count;
        let mut whole = None;
        if self.queue.front().is_some_and(|frame| self.written >= frame.bytes.len()) {
            self.written = 0;
            let frame = self.queue.pop_front();
            self.attempts_written += u64::from(frame.as_ref().is_some_and(|frame| frame.is_attempt));
            let purpose = frame.map(|frame| frame.purpose);
            if let Some(Purpose::Part(id, _)) = &purpose {
                whole = Some(*id);
            }
            self.out.extend(purpose.filter(|purpose| *purpose != Purpose::Other));
        }
        self.waits(now);
        whole
    }

    /// Takes off what a reply of this name answers; `None` names the oldest that is out.
    pub fn answered(&mut self, name: Option<&str>, now: Ms) -> Option<Purpose> {
        let fits = |purpose: &Purpose| match (purpose, name) {
            (_, None) => true,
            (Purpose::Part(_, known), Some(name)) => known == name,
            _ => false,
        };
        let place = self.out.iter().position(fits)?;
        let purpose = self.out.remove(place);
        self.waits(now);
        purpose
    }

    /// Takes off the oldest probe that is out.
    pub fn probe_answered(&mut self, now: Ms) -> bool {
        let place = self.out.iter().position(|purpose| matches!(purpose, Purpose::Probe(_)));
        let found = place.and_then(|place| self.out.remove(place)).is_some();
        self.waits(now);
        found
    }

    /// When the oldest probe that is out was asked for.
    pub fn oldest_probe(&self) -> Option<Ms> {
        self.out.iter().find_map(|purpose| if let Purpose::Probe(at) = purpose { Some(*at) } else { None })
    }

    /// Takes off the probes asked for before then; tells how many.
    pub fn expire_probes(&mut self, before: Ms, now: Ms) -> usize {
        let held = self.out.len();
        self.out.retain(|purpose| !matches!(purpose, Purpose::Probe(at) if *at <= before));
        self.waits(now);
        held - self.out.len()
    }

    /// Calls an attempt off: a frame not begun is taken out; one partly written is finished first, since the
    /// node could not tell where the next frame begins, and the notice that `notice` makes follows it.
    pub fn cancel(&mut self, id: AttemptId, notice: impl Fn(&str) -> Option<Vec<u8>>, now: Ms) -> Called {
        let told = |purpose: &Purpose| match purpose {
            Purpose::Part(_, name) => notice(name),
            _ => None,
        };
        let is = |purpose: &Purpose| matches!(purpose, Purpose::Part(known, _) if *known == id);
        if let Some(place) = self.queue.iter().position(|frame| is(&frame.purpose)) {
            if place > 0 || self.written == 0 {
                self.queue.remove(place);
                self.waits(now);
                return Called::Removed;
            }
            let Some(bytes) = told(&self.queue[0].purpose) else { return Called::MustClose };
            self.queue[0].purpose = Purpose::Other;
            self.queue.insert(1, Frame::new(Purpose::Other, bytes));
            return Called::Told;
        }
        let Some(place) = self.out.iter().position(is) else { return Called::Removed };
        let Some(bytes) = told(&self.out[place]) else { return Called::MustClose };
        self.out.remove(place);
        self.push(Purpose::Other, bytes, now);
        Called::Told
    }

    /// The frame of an attempt has to leave by then, or not at all, if it is still here.
    pub fn must_leave_by(&mut self, id: AttemptId, at: Ms) {
        let is = |frame: &&mut Frame| matches!(frame.purpose, Purpose::Part(known, _) if known == id);
        if let Some(frame) = self.queue.iter_mut().find(is) {
            frame.leave_by = Some(frame.leave_by.map_or(at, |old| old.min(at)));
        }
    }

    /// When the first frame is due that has to leave by a time.
    pub fn leave_by(&self) -> Option<Ms> {
        self.queue.iter().filter_map(|frame| frame.leave_by).min_by(f64::total_cmp)
    }

    /// Takes out the attempts that had to leave by now. `None`: one of them has begun, and only closing the connection
    /// keeps its last byte back.
    pub fn expire_frames(&mut self, now: Ms) -> Option<Vec<AttemptId>> {
        let due = |frame: &Frame| frame.leave_by.is_some_and(|at| at <= now);
        if self.written > 0 && self.queue.front().is_some_and(due) {
            return None;
        }
        let (late, rest) = std::mem::take(&mut self.queue).into_iter().partition::<VecDeque<_>, _>(due);
        self.queue = rest;
        self.waits(now);
        let ids = late.into_iter().filter_map(|frame| match frame.purpose {
            Purpose::Part(id, _) => Some(id),
            Purpose::Probe(_) | Purpose::Other => None,
        });
        Some(ids.collect())
    }

    /// Takes out an attempt whose first byte has not left; tells whether it was so.
    pub fn withdraw(&mut self, id: AttemptId, now: Ms) -> bool {
        let is = |frame: &Frame| matches!(frame.purpose, Purpose::Part(known, _) if known == id);
        let place = self.queue.iter().position(is).filter(|place| *place > 0 || self.written == 0);
        let found = place.and_then(|place| self.queue.remove(place)).is_some();
        self.waits(now);
        found
    }

    /// Takes out all parts and probes whose first byte has not left.
    pub fn drop_unsent(&mut self, now: Ms) -> Vec<Purpose> {
        let begun = usize::from(self.written > 0).min(self.queue.len());
        let rest = self.queue.split_off(begun);
        let (keep, dropped) = rest.into_iter().partition::<VecDeque<_>, _>(|f| f.purpose == Purpose::Other);
        self.queue.extend(keep);
        self.waits(now);
        dropped.into_iter().map(|frame| frame.purpose).collect()
    }

    /// The connection broke: how each attempt on it ended. Before the last byte of a frame was written the
    /// node cannot have run it; after that it may have.
    pub fn broken(&mut self) -> Vec<(Purpose, Outcome)> {
        self.written = 0;
        self.state = NodeState::Retired;
        let out = self.out.drain(..).map(|purpose| (purpose, Outcome::Cut));
        let queued = self.queue.drain(..).map(|frame| (frame.purpose, Outcome::NoRoute));
        out.chain(queued).filter(|(purpose, _)| *purpose != Purpose::Other).collect()
    }
}
