//! The controller as one state machine: register, membership, catalogue, subscribers and duty together.

mod agents;
mod calls;
mod contact;
mod duties;
mod ends;
mod loads;
mod peers;
mod releases;
mod sources;
mod status;

use process::Event;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use feed::{PrefixTable, View};
use links::LinkId;
use membership::{Member, Membership};
use peer::Message;
use register::{Accepted, Record, RequestId, WriteFailed, WriteToken};
use register::{Effect as RegisterEffect, Input as RegisterInput, Outcome, RegisterKey, RegisterNode};

use crate::command::{Command, Reply};
use crate::duty::holder::Holder;
use crate::duty::moves::{Moves, ReplicaCall, Report};
use crate::ends::{Ends, StoredEnds};
use crate::event::ControllerEvent;
use crate::values::ConfigurationValue;
use crate::Millis;

use agents::Agents;
use calls::Pending;
use contact::Barrier;
pub use contact::CONTACT_LEASE_MS;
use loads::LoadExchange;
use peers::{Absence, Peers};
use releases::ReleaseDuty;

/// The moment of an input.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moment {
    /// Steady clock.
    pub now: Millis,
    /// Time of day, milliseconds since 1970.
    pub wall_ms: u64,
}

/// Names a call of a replica or an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What a controller is told.
#[derive(Debug)]
pub enum Input {
    /// A call came.
    Call {
        call: CallId,
        command: Command,
    },
    /// The link to another controller, which this side dialled, is up.
    PeerUp {
        peer: SocketAddrV4,
    },
    PeerDown {
        peer: SocketAddrV4,
    },
    /// Another controller linked to this one, and speaks this version of the protocol.
    PeerHello {
        peer: SocketAddrV4,
        protocol: u16,
    },
    /// Another controller sent a message on a link that it dialled.
    PeerMessage {
        from: SocketAddrV4,
        message: Message,
    },
    /// An agent connected and said who it is.
    AgentUp {
        link: LinkId,
        hello: peer::Hello,
    },
    AgentMessage {
        link: LinkId,
        message: Message,
    },
    /// What was sent to an agent is on its way.
    AgentFlushed {
        link: LinkId,
    },
    AgentDown {
        link: LinkId,
    },
    /// A write came to its end.
    DiskDone {
        token: WriteToken,
        result: Result<(), WriteFailed>,
    },
    /// A write of ends came to its end.
    EndsWritten {
        token: WriteToken,
        result: Result<(), WriteFailed>,
    },
    /// A replica answered an order with this status, or not at all.
    Ordered {
        replica: String,
        status: Option<u16>,
    },
    /// A replica answered a question, or not.
    Reported {
        replica: String,
        report: Option<Report>,
    },
    /// A replica that is read here keeps other parts of prompts.
    Prefixes {
        prefixes: peer::Prefixes,
    },
    /// The settings name other seeds.
    Seeds {
        seeds: Vec<SocketAddrV4>,
    },
    /// Time went by.
    Tick,
    /// The process is to end.
    Terminate,
}

/// What a controller wants done, in this order.
#[derive(Debug)]
pub enum Effect {
    Reply {
        call: CallId,
        reply: Reply,
    },
    SendPeer {
        to: SocketAddrV4,
        message: Message,
    },
    SendAgent {
        link: LinkId,
        messages: Vec<Message>,
    },
    /// Write all entries or none, then hand in [`Input::DiskDone`].
    Write {
        token: WriteToken,
        record: Record,
    },
    /// Write the entry of the store of ends, then hand in [`Input::EndsWritten`].
    WriteEnds {
        token: WriteToken,
        record: Record,
    },
    CallReplica(ReplicaCall),
}

/// Times that the settings give.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    pub beat_every_ms: Millis,
    pub lease_ms: Millis,
    pub reuse_after_ms: Millis,
    /// Within this after a version of weights is named nothing may begin on an older one.
    pub version_ms: Millis,
}

/// One controller.
pub struct Machine {
    started: Millis,
    timing: Timing,
    me: Member,
    stores: Vec<sources::Store>,
    /// Not there before the disk is open: a disk may hang while replicas are heard already.
    register: Option<RegisterNode>,
    membership: Membership,
    /// Register members that the register was told are not there, with why.
    absent: BTreeMap<SocketAddrV4, Absence>,
    view: View,
    holder: Holder,
    moves: Moves,
    releases: ReleaseDuty,
    loads: LoadExchange,
    peers: Peers,
    agents: Agents,
    pending: BTreeMap<RequestId, Pending>,
    /// Calls whose answers wait until a majority has heard what they told.
    barrier: Barrier,
    ends: Ends,
    last_request: u64,
    next_upkeep: Millis,
    /// Replicas are judged from then on.
    judges_from: Millis,
    next_beats: Millis,
    next_behind_log: Millis,
    terminating: bool,
    replies: Vec<Effect>,
}

/// Time between looks at silent replicas, absent members and work.
const UPKEEP_EVERY_MS: Millis = 100;
/// A controller whose own upkeep is late by more has been frozen or overloaded: heartbeats may wait unread here.
const LATE_MS: Millis = 500;
/// It judges no silence for so many heartbeats then, nor after it was without contact: others may have heard replicas
/// meanwhile, and it hears of that from one after the other.
const JUDGES_AFTER_BEATS: Millis = 3;
/// A replica with no more heartbeats behind it has not been read by any other controller.
const NEW_FOR_BEATS: u64 = 3;
/// Time between messages on heartbeats heard to the other controllers.
const BEATS_EVERY_MS: Millis = 400;

impl Machine {
    pub fn new(now: Millis, timing: Timing, me: Member, membership: Membership) -> Machine {
        let limits = catalog::Limits::for_beats(timing.beat_every_ms, timing.reuse_after_ms);
        let mut view = View::new(limits);
        view.prefixes = PrefixTable::of_wanted_parts();
        Machine {
            started: now,
            timing,
            stores: Vec::new(),
            register: None,
            membership,
            absent: BTreeMap::new(),
            view,
            holder: Holder::new(now, me.peer, timing.lease_ms),
            moves: Moves::new(timing.version_ms),
            releases: ReleaseDuty::default(),
            loads: LoadExchange::default(),
            peers: Peers::default(),
            agents: Agents::default(),
            pending: BTreeMap::new(),
            barrier: Barrier::default(),
            ends: Ends::default(),
            last_request: 0,
            next_upkeep: now,
            judges_from: now,
            next_beats: now,
            next_behind_log: now,
            terminating: false,
            replies: Vec::new(),
            me,
        }
    }

    /// The disk is open: from now on the register takes part. What the disk holds of ended replicas counts.
    pub fn attach(&mut self, at: Moment, register: RegisterNode, ends: StoredEnds) {
        self.register = Some(register);
        for id in self.ends.open(at.wall_ms, ends) {
            self.view.replicas.leave(at.now, &id);
        }
    }

    /// Takes one input; what is to be done is pushed to `out`.
    pub fn step(&mut self, at: Moment, input: Input, out: &mut Vec<Effect>) {
        match input {
            Input::Call { call, command } => self.call(at, call, command, out),
            Input::PeerUp { peer } => {
                self.peers.up(peer);
                self.register(at, RegisterInput::PeerLinked { address: peer }, out);
            }
            Input::PeerDown { peer } => self.peers.down(peer),
            Input::PeerHello { peer, protocol } => self.peers.hello(peer, protocol),
            Input::PeerMessage { from, message } => self.peer_message(at, from, message, out),
            Input::AgentUp { link, hello } => {
                if hello.protocol < peer::TELLS_INTEREST {
                    self.view.prefixes.tell_all();
                }
                self.agents.up(at.now, link, &hello);
            }
            Input::AgentMessage { link, message } => self.agent_message(at, link, message),
            Input::AgentFlushed { link } => self.agents.flushed(link),
            Input::AgentDown { link } => {
                self.agents.down(at.now, link);
                self.loads.agent_down(link);
            }
            Input::DiskDone { token, result } => {
                self.register(at, RegisterInput::DiskDone { token, result }, out);
            }
            Input::EndsWritten { token, result } => self.ends.written(at.now, token, result.is_ok()),
            Input::Ordered { replica, status } => self.moves.ordered(at.now, &replica, status),
            Input::Reported { replica, report } => self.reported(at, &replica, report),
            Input::Prefixes { prefixes } => {
                let beat = self.view.replicas.get(prefixes.replica.as_str()).map(|record| record.beat);
                let is_new = beat.is_some_and(|beat| beat <= NEW_FOR_BEATS);
                self.view.prefixes.take_of(&prefixes, is_new);
            }
            Input::Seeds { seeds } => self.set_seeds(&seeds),
            Input::Tick => self.tick(at, out),
            Input::Terminate => self.terminate(at, out),
        }
        let records_sent = self.feed(at, out);
        self.keep_ends(at.now, out);
        self.settle_barrier(at, &records_sent, out);
        out.append(&mut self.replies);
    }

    /// When the next [`Input::Tick`] is due.
    pub fn deadline(&self) -> Millis {
        let membership = if self.terminating { Millis::MAX } else { self.membership.deadline() };
        let timers = [
            self.register.as_ref().map_or(Millis::MAX, RegisterNode::wake_at),
            membership,
            self.next_upkeep,
            self.next_beats,
            self.agents.deadline(&self.view),
            self.peers.deadline(&self.view),
            self.loads.deadline(),
            self.barrier.deadline(),
            self.ends.deadline(),
        ];
        timers.into_iter().min().unwrap_or(self.next_upkeep)
    }

    /// The controllers to which links should be up.
    pub fn wanted_peers(&self) -> BTreeSet<SocketAddrV4> {
        let mut wanted: BTreeSet<SocketAddrV4> = self.membership.addresses().into_iter().collect();
        wanted.extend(self.set_addresses());
        wanted.remove(&self.me.peer);
        wanted
    }

    /// Whether nothing is left to finish before the process ends.
    pub fn is_idle(&self) -> bool {
        let has_handed_over = self.register.as_ref().is_none_or(RegisterNode::has_handed_over);
        self.pending.is_empty() && self.barrier.is_empty() && has_handed_over
    }

    /// What is known of the fleet.
    pub fn view(&self) -> &View {
        &self.view
    }

    fn tick(&mut self, at: Moment, out: &mut Vec<Effect>) {
        self.register(at, RegisterInput::Tick, out);
        for send in self.membership.tick(at.now) {
            self.send_membership(send, out);
        }
        if at.now >= self.next_beats {
            self.next_beats = at.now + BEATS_EVERY_MS;
            self.tell_beats();
        }
        if at.now >= self.next_upkeep {
            let is_late = at.now > self.next_upkeep + LATE_MS;
            if is_late || !self.has_contact(at.now) {
                self.judges_from = at.now + JUDGES_AFTER_BEATS * self.timing.beat_every_ms;
            }
            self.next_upkeep = at.now + UPKEEP_EVERY_MS;
            let may_judge = at.now >= self.judges_from;
            self.view.replicas.tick(at.now, may_judge);
            self.compare_membership(at, out);
            self.update_fleet(at.now);
            self.consider_duty(at, out);
            self.consider_releases(at, out);
            self.view.forget_prefixes_of_ended();
            self.agents.forget_parts(at.now);
            self.view.prefixes.forget_unwanted(at.now);
        }
    }

    /// Machines to ask for the others, where all that are known may be gone.
    fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.membership.set_seeds(seeds);
        if let Some(register) = &mut self.register {
            register.set_seeds(seeds);
        }
    }

    /// Runs the register and takes its effects.
    fn register(&mut self, at: Moment, input: RegisterInput, out: &mut Vec<Effect>) {
        let Some(register) = &mut self.register else { return };
        let mut effects = Vec::new();
        register.step(at.now, input, &mut effects);
        self.run_register(at, effects, out);
        self.tell_held_back();
    }

    fn run_register(&mut self, at: Moment, effects: Vec<RegisterEffect>, out: &mut Vec<Effect>) {
        for effect in effects {
            match effect {
                RegisterEffect::Send { to, message } => self.send_register(to, &message, out),
                RegisterEffect::Write { token, record } => out.push(Effect::Write { token, record }),
                RegisterEffect::Answer { request, outcome } => self.request_ended(at, request, outcome),
                RegisterEffect::Learned { key, value } => self.learned(at, key, &value),
                RegisterEffect::SetChanged { set } => {
                    ControllerEvent::AcceptorSet.info(format_args!(
                        "acceptor set of epoch {}: {} members",
                        set.epoch,
                        set.members.len()
                    ));
                }
            }
        }
    }

    /// A newer version of a register is decided.
    fn learned(&mut self, at: Moment, key: RegisterKey, accepted: &Accepted) {
        let bytes = accepted.value.bytes();
        match key {
            RegisterKey::Configuration => self.learned_configuration(bytes),
            RegisterKey::Weights => self.learned_weights(at, bytes),
            RegisterKey::Duty => self.learned_duty(at, bytes),
            RegisterKey::Releases => self.learned_releases(at, bytes),
            RegisterKey::Members => {}
        }
    }

    fn learned_configuration(&mut self, bytes: &[u8]) {
        let value = match ConfigurationValue::read(bytes) {
            Ok(value) => value,
            Err(why) => return ControllerEvent::ConfigurationUnreadable.error(format_args!("{why}")),
        };
        self.take_or_hold_back(value);
    }

    fn take_configuration(&mut self, value: ConfigurationValue) {
        self.note_stores(&value.body);
        match self.view.take_configuration(value.version, value.body) {
            Ok(_) => ControllerEvent::ConfigurationDecided
                .info(format_args!("configuration {} is in force", value.version)),
            Err(why) => ControllerEvent::ConfigurationUnreadable
                .error(format_args!("configuration {}: {why}", value.version)),
        }
    }

    fn set_addresses(&self) -> Vec<SocketAddrV4> {
        let set = self.register.as_ref().and_then(RegisterNode::set);
        let members = set.into_iter().flat_map(|set| &set.members);
        members.map(|member| member.address).collect()
    }

    /// Starts a request at the register; its end comes as [`Pending`].
    fn request(
        &mut self,
        at: Moment,
        pending: Pending,
        input: impl FnOnce(RequestId) -> RegisterInput,
        out: &mut Vec<Effect>,
    ) {
        self.last_request += 1;
        let request = RequestId(self.last_request);
        self.pending.insert(request, pending);
        if self.register.is_none() {
            return self.request_ended(at, request, Outcome::NoMajority);
        }
        self.register(at, input(request), out);
    }

    fn request_ended(&mut self, at: Moment, request: RequestId, outcome: Outcome) {
        let Some(pending) = self.pending.remove(&request) else { return };
        match pending {
            Pending::Call { call, kind } => {
                let reply = calls::reply(&kind, at, outcome);
                self.replies.push(Effect::Reply { call, reply });
            }
            Pending::Duty => self.duty_settled(at, outcome),
            Pending::ReleaseStep => self.release_settled(at, outcome),
        }
    }
}
