//! What parties outside the fleet saw during one run, in typed events with times.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

/// Milliseconds since the run began.
pub type Millis = u64;

/// A process of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Process {
    Controller(usize),
    Agent(usize),
    Proxy(usize),
}

/// How a process was disturbed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disturbance {
    Started,
    Terminated,
    Killed,
    Reloaded,
    /// It was stopped in its tracks.
    Frozen,
    /// It goes on.
    Thawed,
    /// Its links to other processes are in trouble.
    LinksTroubled,
    /// They are whole again.
    LinksWhole,
    /// It ended; `expected` if the signals that it was sent explain how.
    Ended {
        expected: bool,
    },
}

impl Disturbance {
    /// Whether nothing is heard of the process from now on, though it is there.
    pub fn stops(self) -> bool {
        matches!(self, Disturbance::Frozen | Disturbance::LinksTroubled)
    }

    /// Whether that is over.
    pub fn goes_on(self) -> bool {
        matches!(self, Disturbance::Thawed | Disturbance::LinksWhole)
    }
}

/// How a client's request ended for the client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// A whole answer; `sound` if a success is that of the replica which ran this request.
    Answered { status: u16, sound: bool },
    /// The connection ended before a whole answer; `began` if a part had come.
    Cut { began: bool },
    /// Nothing whole by the client's deadline.
    Expired,
}

/// What a route allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Reading,
    Writing,
    Stream,
}

/// Something that was seen.
#[derive(Debug, Clone)]
pub enum Seen {
    Process {
        process: Process,
        what: Disturbance,
    },
    /// A client has sent the whole of a request.
    Sent {
        request: u64,
        edge: usize,
        kind: Kind,
    },
    Ended {
        request: u64,
        ending: Ending,
    },
    /// A client has sent a request that tests a route of one configuration only.
    Probing {
        request: u64,
    },
    /// It was answered.
    Probed {
        edge: usize,
        sent: Millis,
        version: u64,
        status: u16,
    },
    /// A request reached a replica.
    Arrived {
        request: u64,
        replica: String,
    },
    /// A replica began to work on a request.
    Ran {
        request: u64,
        replica: String,
        version: u64,
        salt: String,
    },
    /// A replica ended without a word.
    Crashed {
        replica: String,
    },
    /// A controller acknowledged that a replica drains or has left.
    Drained {
        replica: String,
    },
    /// An order to move to other weights reached a replica.
    Ordered {
        replica: String,
        holder: String,
        fence: u64,
        status: u16,
    },
    Named {
        version: u64,
    },
    /// A change of the configuration was sent for the first time: from now on it may be in force.
    Ordering {
        version: u64,
    },
    /// A change of the configuration was acknowledged.
    Configured {
        order: u64,
        based_on: u64,
        version: u64,
    },
    /// It was refused.
    Refused {
        order: u64,
        version: u64,
        status: u16,
    },
    /// The configuration was read.
    Read {
        sent: Millis,
        version: u64,
    },
    /// A part of what a sound fleet does again after the last disturbance was not seen.
    Unrecovered {
        what: String,
    },
}

/// An event with its time.
#[derive(Debug, Clone)]
pub struct Event {
    pub at: Millis,
    pub seen: Seen,
}

/// The events of a run; clones share them.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    events: Rc<RefCell<Vec<Event>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { started: Instant::now(), events: Rc::default() }
    }

    pub fn now(&self) -> Millis {
        self.started.elapsed().as_millis() as Millis
    }

    pub fn note(&self, seen: Seen) {
        self.events.borrow_mut().push(Event { at: self.now(), seen });
    }

    pub fn events(&self) -> Vec<Event> {
        self.events.borrow().clone()
    }
}
