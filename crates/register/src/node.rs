//! One machine of the group: acceptor, proposer, learner and replacement together.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;

use quick_error::quick_error;
use strum::{EnumCount, IntoEnumIterator};

use crate::acceptor::{Acceptor, Basis};
use crate::contact::{Contact, DigestNumber, Sent};
use crate::durability::Durability;
use crate::key::RegisterKey;
use crate::learner::Learner;
use crate::message::RegisterMessage;
use crate::proposal::{Decide, Outcome, Proposal};
use crate::random::Random;
use crate::record::{Record, StoredState};
use crate::set::{AcceptorId, AcceptorSet, KnownSet, Member};
use crate::transfer::Transfer;
use crate::value::Accepted;
use crate::Millis;

/// Requests of callers that may be under way at once.
pub const MAX_REQUESTS: usize = 64;

/// Names a request; chosen by the caller, given back with the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Names a write; given back with its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriteToken(pub u64);

quick_error! {
    /// A write that the disk did not take. The node answers nothing that depends on it and tries again.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum WriteFailed {
        /// See the storage log for the file and the cause.
        Failed {
            display("the disk refused a write; free space or mend the disk, the node tries again by itself")
        }
    }
}

/// Who this machine is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Where other machines send register messages to.
    pub address: SocketAddrV4,
}

/// What a node is told.
pub enum Input {
    /// A message came in. `from` is the address at which its sender takes messages, not the port that a
    /// connection happened to come from.
    Received { from: SocketAddrV4, message: RegisterMessage },
    /// A write came to its end: everything in its record is on disk, or some of it may not be.
    DiskDone { token: WriteToken, result: Result<(), WriteFailed> },
    /// A caller wants a register changed.
    Propose { request: RequestId, key: RegisterKey, deadline: Millis, decide: Decide },
    /// A caller wants a confirmed value.
    Read { request: RequestId, key: RegisterKey, deadline: Millis },
    /// Time went by; see [`RegisterNode::wake_at`].
    Tick,
    /// Digests are to leave now: their answers prove contact later than this.
    ProveContact,
    /// Messages to this machine arrive from now on: what it has missed is sent again.
    PeerLinked { address: SocketAddrV4 },
    /// Membership takes this machine as reachable.
    PeerReachable { address: SocketAddrV4 },
    /// Membership suspects this machine.
    PeerSuspected { address: SocketAddrV4 },
    /// This machine said that it ends. One that waits may take its place at once.
    PeerLeft { address: SocketAddrV4 },
    /// This machine is to end. If another one waits, it takes this one's place; see
    /// [`RegisterNode::has_handed_over`].
    Leave,
}

/// What a node wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message. It may get lost.
    Send { to: SocketAddrV4, message: RegisterMessage },
    /// Write all entries or none, then hand in [`Input::DiskDone`]. Never two writes at a time.
    Write { token: WriteToken, record: Record },
    /// The answer to a request; exactly one each.
    Answer { request: RequestId, outcome: Outcome },
    /// A newer version of a register is decided.
    Learned { key: RegisterKey, value: Accepted },
    /// A newer acceptor set is decided.
    SetChanged { set: AcceptorSet },
}

/// Whose proposal it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// A caller's.
    Request(RequestId),
    /// The node's own.
    Upkeep,
    /// The node's own, on the register of the next set.
    NextSet,
}

pub(crate) struct Running {
    pub(crate) purpose: Purpose,
    pub(crate) proposal: Proposal,
}

pub(crate) struct Joiner {
    pub(crate) id: AcceptorId,
    pub(crate) asked: Millis,
}

/// One machine of the group.
pub struct RegisterNode {
    pub(crate) address: SocketAddrV4,
    pub(crate) seeds: Vec<SocketAddrV4>,
    pub(crate) random: Random,
    pub(crate) proposer: u64,
    pub(crate) acceptor: Acceptor,
    pub(crate) durability: Durability,
    pub(crate) learner: Learner,
    pub(crate) contact: Contact,
    pub(crate) transfer: Transfer,
    pub(crate) running: Vec<Running>,
    pub(crate) last_round: [u64; RegisterKey::COUNT],
    pub(crate) joiners: BTreeMap<SocketAddrV4, Joiner>,
    pub(crate) suspected_since: BTreeMap<SocketAddrV4, Millis>,
    pub(crate) reachable: BTreeSet<SocketAddrV4>,
    pub(crate) local: VecDeque<RegisterMessage>,
    pub(crate) upkeep_at: Millis,
    pub(crate) wants_next_set_since: Option<Millis>,
    /// This machine is to end.
    pub(crate) is_leaving: bool,
}

impl RegisterNode {
    /// A node from what its disk holds.
    ///
    /// * `stored`: what the disk holds, `None` if it is empty. An acceptor on an empty disk is a new one.
    /// * `seeds`: addresses of machines to ask for the present set. At the first start of the whole system
    ///   they are the first set.
    /// * `first_start`: the whole system starts for the first time, with all disks empty.
    /// * `random_seed`: drawn anew for each start of the process, never used twice.
    pub fn recover(
        stored: Option<StoredState>,
        identity: Identity,
        seeds: &[SocketAddrV4],
        first_start: bool,
        random_seed: u64,
    ) -> RegisterNode {
        let mut random = Random::new(random_seed);
        let address = identity.address;
        let acceptor = match stored {
            Some(state) => Acceptor::stored(state),
            None if first_start => first_acceptor(address, seeds, &mut random),
            None => Acceptor::new(AcceptorId::drawn(&mut random), None),
        };
        RegisterNode {
            address,
            seeds: seeds.to_vec(),
            proposer: random.next_u64(),
            contact: Contact::new(random.next_u64()),
            random,
            acceptor,
            durability: Durability::default(),
            learner: Learner::default(),
            transfer: Transfer::default(),
            running: Vec::new(),
            last_round: [0; RegisterKey::COUNT],
            joiners: BTreeMap::new(),
            suspected_since: BTreeMap::new(),
            reachable: BTreeSet::new(),
            local: VecDeque::new(),
            upkeep_at: 0,
            wants_next_set_since: None,
            is_leaving: false,
        }
    }

    /// The newest decided value of a register that this machine knows.
    pub fn learned(&self, key: RegisterKey) -> Option<&Accepted> {
        self.learner.decided(key)
    }

    /// Whether this process knows what a majority held in the register at some time since it started: only
    /// then does an absent value mean that there is none.
    pub fn is_confirmed(&self, key: RegisterKey) -> bool {
        self.learner.is_confirmed(key)
    }

    /// The newest decided set that this machine knows.
    pub fn set(&self) -> Option<&AcceptorSet> {
        self.acceptor.known().map(|known| &known.set)
    }

    /// The acceptor of this machine.
    pub fn acceptor_id(&self) -> AcceptorId {
        self.acceptor.id()
    }

    /// Whether this machine's acceptor takes part in the newest set known.
    pub fn is_active(&self) -> bool {
        self.acceptor.is_installed()
    }

    /// The settings name other machines to ask for the present set.
    pub fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.seeds = seeds.to_vec();
    }

    /// The newest time such that digests sent then or later were answered by a majority of the acceptors:
    /// until then at least, this machine was on the majority's side.
    pub fn confirmed_at(&self, now: Millis) -> Option<Millis> {
        self.confirmed(now).map(|sent| sent.at)
    }

    /// The newest digest such that it, or a later one, was answered by a majority of the acceptors. What was told on the
    /// same links before it, that majority has heard.
    pub fn confirmed_digest(&self, now: Millis) -> Option<DigestNumber> {
        self.confirmed(now).map(|sent| sent.number)
    }

    /// The newest digest that has left.
    pub fn last_digest(&self) -> DigestNumber {
        self.contact.last_number()
    }

    fn confirmed(&self, now: Millis) -> Option<Sent> {
        let own = self.is_active().then(|| self.acceptor.id());
        self.contact.confirmed(now, self.set()?, own)
    }

    /// When the next [`Input::Tick`] is due.
    pub fn wake_at(&self) -> Millis {
        let wake_at = |(index, running): (usize, &Running)| {
            if self.is_blocked(index) {
                running.proposal.deadline()
            } else {
                running.proposal.wake_at()
            }
        };
        let proposals = self.running.iter().enumerate().map(wake_at);
        proposals.chain([self.upkeep_at]).min().unwrap_or(self.upkeep_at)
    }

    /// Takes one input; what is to be done is pushed to `out`.
    pub fn step(&mut self, now: Millis, input: Input, out: &mut Vec<Effect>) {
        self.take_input(now, input, out);
        self.drain_local(now, out);
        self.tick_proposals(now, out);
        self.drain_local(now, out);
        self.durability.flush(now, &mut self.acceptor, out);
    }

    pub(crate) fn known(&self) -> Option<&KnownSet> {
        self.acceptor.known()
    }

    pub(crate) fn member(&self) -> Member {
        Member { id: self.acceptor.id(), address: self.address }
    }

    pub(crate) fn identity_is_durable(&self) -> bool {
        self.durability.holds(&self.acceptor, Basis::Register(RegisterKey::Members))
    }

    pub(crate) fn send(&mut self, to: SocketAddrV4, message: RegisterMessage, out: &mut Vec<Effect>) {
        if to == self.address {
            self.local.push_back(message);
        } else {
            out.push(Effect::Send { to, message });
        }
    }

    /// The newest value of a register in this machine's memory, decided or not.
    pub(crate) fn held(&self, key: RegisterKey) -> Option<&Accepted> {
        let accepted = self.acceptor.accepted(key);
        let decided = self.learner.decided(key);
        accepted.into_iter().chain(decided).max_by_key(|value| value.ballot)
    }

    pub(crate) fn note_rounds(&mut self) {
        for key in RegisterKey::iter() {
            let held = self.held(key).map_or(0, |held| held.ballot.round);
            let last = &mut self.last_round[key.index()];
            *last = (*last).max(held).max(self.acceptor.promised(key).round);
        }
    }
}

fn first_acceptor(address: SocketAddrV4, seeds: &[SocketAddrV4], random: &mut Random) -> Acceptor {
    let known = KnownSet::first(seeds);
    let id = known.set.at(address).map_or_else(|| AcceptorId::drawn(random), |member| member.id);
    Acceptor::new(id, Some(known))
}
