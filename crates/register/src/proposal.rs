//! One attempt of a caller to read or change a register, over as many rounds as it takes.

mod rounds;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use crate::ballot::Ballot;
use crate::key::RegisterKey;
use crate::message::{Call, RegisterMessage};
use crate::random::Random;
use crate::set::{AcceptorId, AcceptorSet};
use crate::value::{Accepted, Value};
use crate::Millis;

/// When calls that got no answer are sent again.
const RESEND_MILLIS: Millis = 200;

/// How often a read asks for agreement before it runs a full round.
const MAX_QUERIES: u32 = 2;

/// Bounds of the random wait after a higher ballot: doubled with each refusal.
const FIRST_BACK_OFF_MILLIS: Millis = 16;
const LAST_BACK_OFF_MILLIS: Millis = 512;

/// Attempts after which a change that cannot be settled ends as unclear.
const MAX_ATTEMPTS: usize = 32;

/// What a caller wants done with the current value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Replace it by this value.
    Write(Value),
    /// Leave it, and tell the caller what it is.
    Keep,
}

/// Decides what follows the current value. Must be pure: it may be asked more than once.
pub type Decide = Box<dyn Fn(Option<&Accepted>) -> Decision + Send>;

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The change took effect as version `version`. `current` is that value, or a newer one built on it.
    Decided { version: Ballot, current: Accepted },
    /// The change did not take effect and never will; the current value is this.
    Kept { current: Option<Accepted> },
    /// The value read, confirmed by a majority after the read began.
    Read { current: Option<Accepted> },
    /// The change may have taken effect, or may do so later, or never.
    Unclear,
    /// No majority answered in time. Nothing was changed and nothing will be.
    NoMajority,
    /// Too many requests are under way. Nothing was changed; ask again when some have ended.
    Overloaded,
    /// The new value is longer than [`crate::value::MAX_VALUE_BYTES`]. Nothing was changed.
    TooLong,
    /// The register belongs to the group itself. Nothing was changed.
    Reserved,
}

/// What a proposal does.
pub enum Work {
    /// A confirmed read.
    Read,
    /// A change by a function of the caller.
    Change(Decide),
    /// Have the highest accepted value decided.
    Settle,
    /// Decide the next acceptor set, by default this one.
    NextSet(Option<Value>),
}

enum Phase {
    Waiting { until: Millis },
    Querying(Querying),
    Preparing(Preparing),
    Accepting(Box<Accepting>),
}

/// Reports of a read without promises.
#[derive(Default)]
struct Querying {
    reports: BTreeMap<AcceptorId, Ballot>,
    values: Vec<Accepted>,
    refused: BTreeSet<AcceptorId>,
}

/// Promises of the first round.
#[derive(Default)]
struct Preparing {
    origins: BTreeMap<AcceptorId, Ballot>,
    ballots: Vec<Ballot>,
    best: Option<Accepted>,
    refused: BTreeSet<AcceptorId>,
}

/// Acceptances of the second round.
struct Accepting {
    value: Accepted,
    holders: BTreeSet<AcceptorId>,
    accepted: BTreeSet<AcceptorId>,
    refused: BTreeSet<AcceptorId>,
    outcome: Outcome,
}

/// What a proposal needs of its node.
pub struct Surroundings<'a> {
    /// The time.
    pub now: Millis,
    /// The newest decided set.
    pub set: &'a AcceptorSet,
    /// For waits.
    pub random: &'a mut Random,
    /// The highest round seen in this register.
    pub last_round: &'a mut u64,
    /// This process.
    pub proposer: u64,
    /// The newest value of this register that this machine holds.
    pub held: Option<Accepted>,
    /// Calls to send.
    pub sends: &'a mut Vec<(SocketAddrV4, RegisterMessage)>,
}

/// The end of a proposal.
pub struct Finished {
    /// What the caller is told.
    pub outcome: Outcome,
    /// What is known to be decided now.
    pub decided: Option<Accepted>,
    /// Whether the other machines may not have heard of it.
    pub is_news: bool,
}

/// One read or change under way.
pub struct Proposal {
    key: RegisterKey,
    work: Work,
    deadline: Millis,
    phase: Phase,
    ballot: Ballot,
    held: Option<Accepted>,
    resend_at: Millis,
    back_off: Millis,
    queries: u32,
    attempts: Vec<Ballot>,
}

impl Proposal {
    /// A proposal that begins with its next tick.
    pub fn new(key: RegisterKey, work: Work, deadline: Millis) -> Proposal {
        Proposal {
            key,
            work,
            deadline,
            phase: Phase::Waiting { until: 0 },
            ballot: Ballot::ZERO,
            held: None,
            resend_at: 0,
            back_off: FIRST_BACK_OFF_MILLIS,
            queries: 0,
            attempts: Vec::new(),
        }
    }

    /// Which register.
    pub fn key(&self) -> RegisterKey {
        self.key
    }

    /// The round under way.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// When it ends at the latest.
    pub fn deadline(&self) -> Millis {
        self.deadline
    }

    /// Whether it must not run beside another change of the same register on this machine.
    pub fn is_exclusive(&self) -> bool {
        !matches!(self.work, Work::Read)
    }

    /// When [`Proposal::tick`] has something to do.
    pub fn wake_at(&self) -> Millis {
        let next = match &self.phase {
            Phase::Waiting { until } => *until,
            _ => self.resend_at,
        };
        next.min(self.deadline)
    }

    /// Begins again under a newer acceptor set.
    pub fn restart(&mut self, now: Millis) {
        self.phase = Phase::Waiting { until: now };
    }

    /// How it ends when nothing more is done for it.
    pub fn give_up(&self) -> Finished {
        let outcome = if self.attempts.is_empty() { Outcome::NoMajority } else { Outcome::Unclear };
        Finished { outcome, decided: None, is_news: false }
    }

    /// How it ends if its time is up.
    pub fn expire(&self, now: Millis) -> Option<Finished> {
        (now >= self.deadline).then(|| self.give_up())
    }

    /// Lets time pass.
    pub fn tick(&mut self, around: &mut Surroundings) -> Option<Finished> {
        if around.now >= self.deadline {
            return self.expire(around.now);
        }
        match &self.phase {
            Phase::Waiting { until } if around.now >= *until => self.begin(around),
            Phase::Waiting { .. } => {}
            _ if around.now < self.resend_at => {}
            _ if self.is_refused_by_any() => self.back_off(around),
            // A majority answered and does not agree: whoever has not answered by now may be gone for good, so the read
            // does not wait for it but has the value decided by those that are there.
            Phase::Querying(querying) if querying.reports.len() >= around.set.majority() => {
                self.queries = MAX_QUERIES;
                self.begin(around);
            }
            _ => self.send_calls(around),
        }
        None
    }

    fn begin(&mut self, around: &mut Surroundings) {
        let is_query = matches!(self.work, Work::Read) && self.queries < MAX_QUERIES;
        if is_query {
            self.queries += 1;
            self.phase = Phase::Querying(Querying::default());
        } else {
            self.phase = Phase::Preparing(Preparing::default());
        }
        self.start_round(around);
    }

    fn start_round(&mut self, around: &mut Surroundings) {
        *around.last_round += 1;
        let (epoch, round) = (around.set.epoch, *around.last_round);
        self.ballot = Ballot { epoch, round, proposer: around.proposer };
        self.held = around.held.clone();
        self.send_calls(around);
    }

    fn back_off(&mut self, around: &mut Surroundings) {
        let wait = 1 + around.random.below(self.back_off);
        self.back_off = (self.back_off * 2).min(LAST_BACK_OFF_MILLIS);
        self.phase = Phase::Waiting { until: around.now + wait };
    }

    fn is_refused_by_any(&self) -> bool {
        match &self.phase {
            Phase::Waiting { .. } => false,
            Phase::Querying(querying) => !querying.refused.is_empty(),
            Phase::Preparing(preparing) => !preparing.refused.is_empty(),
            Phase::Accepting(accepting) => !accepting.refused.is_empty(),
        }
    }

    /// Sends the calls of this phase to each member that has not answered.
    fn send_calls(&mut self, around: &mut Surroundings) {
        self.resend_at = around.now + RESEND_MILLIS;
        for member in &around.set.members {
            if let Some(message) = self.call_to(member.id) {
                around.sends.push((member.address, message));
            }
        }
    }

    /// The call of this phase to a member, unless it has answered.
    pub fn call_to(&self, member: AcceptorId) -> Option<RegisterMessage> {
        self.call_message(Call { to: member, key: self.key, ballot: self.ballot })
    }

    fn call_message(&self, call: Call) -> Option<RegisterMessage> {
        let held = self.held.as_ref().map_or(Ballot::ZERO, |held| held.origin);
        match &self.phase {
            Phase::Waiting { .. } => None,
            Phase::Querying(querying) => {
                (!querying.reports.contains_key(&call.to)).then_some(RegisterMessage::Query { call, held })
            }
            Phase::Preparing(preparing) => {
                (!preparing.origins.contains_key(&call.to)).then_some(RegisterMessage::Prepare { call, held })
            }
            Phase::Accepting(accepting) => accepting.call_message(call),
        }
    }
}
