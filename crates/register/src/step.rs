//! How a node takes inputs.

use std::net::SocketAddrV4;

use crate::acceptor::{Answer, CallKind};
use crate::ballot::Ballot;
use crate::key::RegisterKey;
use crate::message::{Call, Digest, Pull, Refusal, RegisterMessage, Reply, StateReport, NO_EPOCH};
use crate::node::{Effect, Input, Joiner, Purpose, RegisterNode, RequestId, Running, MAX_REQUESTS};
use crate::proposal::{Finished, Outcome, Proposal, Surroundings, Work};
use crate::set::{AcceptorSet, KnownSet, Member};
use crate::transfer::Transfer;
use crate::value::{Accepted, Carried, Report};
use crate::Millis;

/// Machines outside the set that are remembered as asking to join.
const MAX_JOINERS: usize = 16;

/// Reachable machines that are remembered as able to tell the present set.
const MAX_REACHABLE: usize = 16;

/// Suspected machines that are remembered.
const MAX_SUSPECTED: usize = 256;

/// What an acceptor answered to a proposal.
enum Reaction {
    Promised(Report),
    Queried(Report),
    Accepted,
    Refused(Refusal),
}

impl RegisterNode {
    pub(crate) fn take_input(&mut self, now: Millis, input: Input, out: &mut Vec<Effect>) {
        match input {
            Input::Received { from, message } => self.received(now, from, message, out),
            Input::DiskDone { token, result } => {
                for ready in self.durability.done(now, &mut self.acceptor, token, result) {
                    self.send(ready.to, ready.message, out);
                }
            }
            Input::Propose { request, key, deadline, decide } => {
                self.request(request, key, deadline, Work::Change(decide), out);
            }
            Input::Read { request, key, deadline } => self.request(request, key, deadline, Work::Read, out),
            Input::Tick => self.upkeep(now, out),
            Input::ProveContact => self.send_digests(now, out),
            Input::PeerLinked { address } => self.peer_linked(address, out),
            Input::PeerReachable { address } => self.peer_reachable(address),
            Input::PeerSuspected { address } => self.peer_suspected(now, address),
            Input::PeerLeft { address } => {
                self.peer_left(now, address);
                self.upkeep(now, out);
            }
            Input::Leave => {
                self.leave(now);
                self.upkeep(now, out);
            }
        }
    }

    /// A proposal does not wait for its next repeat to reach a machine that starts, or that was cut off.
    fn peer_linked(&mut self, address: SocketAddrV4, out: &mut Vec<Effect>) {
        let calls: Vec<_> = self.calls_to(address).collect();
        for message in calls {
            self.send(address, message, out);
        }
    }

    /// The calls under way that this member has not answered.
    fn calls_to(&self, address: SocketAddrV4) -> impl Iterator<Item = RegisterMessage> + '_ {
        let member = self.set().and_then(|set| set.at(address)).map(|member| member.id);
        let proposals = self.running.iter().map(|running| &running.proposal);
        proposals.filter_map(move |proposal| proposal.call_to(member?))
    }

    fn peer_reachable(&mut self, address: SocketAddrV4) {
        self.suspected_since.remove(&address);
        if self.reachable.len() < MAX_REACHABLE {
            self.reachable.insert(address);
        }
    }

    pub(crate) fn peer_suspected(&mut self, now: Millis, address: SocketAddrV4) {
        self.reachable.remove(&address);
        if self.suspected_since.len() < MAX_SUSPECTED {
            self.suspected_since.entry(address).or_insert(now);
        }
    }

    fn request(
        &mut self,
        request: RequestId,
        key: RegisterKey,
        deadline: Millis,
        work: Work,
        out: &mut Vec<Effect>,
    ) {
        let is_request = |running: &&Running| matches!(running.purpose, Purpose::Request(_));
        if key == RegisterKey::Members {
            out.push(Effect::Answer { request, outcome: Outcome::Reserved });
        } else if self.running.iter().filter(is_request).count() >= MAX_REQUESTS {
            out.push(Effect::Answer { request, outcome: Outcome::Overloaded });
        } else {
            self.start(Purpose::Request(request), Proposal::new(key, work, deadline));
        }
    }

    pub(crate) fn start(&mut self, purpose: Purpose, proposal: Proposal) {
        self.running.push(Running { purpose, proposal });
    }

    pub(crate) fn drain_local(&mut self, now: Millis, out: &mut Vec<Effect>) {
        while let Some(message) = self.local.pop_front() {
            self.received(now, self.address, message, out);
        }
    }

    fn received(&mut self, now: Millis, from: SocketAddrV4, message: RegisterMessage, out: &mut Vec<Effect>) {
        match message {
            RegisterMessage::Prepare { call, held } => self.call(from, call, CallKind::Prepare { held }, out),
            RegisterMessage::Accept { call, value } => self.call(from, call, CallKind::Accept { value }, out),
            RegisterMessage::Query { call, held } => self.call(from, call, CallKind::Query { held }, out),
            RegisterMessage::Promise { reply, report } => {
                self.react(now, reply, Reaction::Promised(report), out)
            }
            RegisterMessage::QueryReply { reply, report } => {
                self.react(now, reply, Reaction::Queried(report), out)
            }
            RegisterMessage::Accepted { reply } => self.react(now, reply, Reaction::Accepted, out),
            RegisterMessage::Refused { reply, refusal } => {
                self.react(now, reply, Reaction::Refused(refusal), out)
            }
            RegisterMessage::Set { known } => self.adopt(now, known, out),
            RegisterMessage::Behind { epoch } => self.send_set(from, epoch, out),
            RegisterMessage::Join { joiner, epoch } => self.joining(now, from, joiner, epoch, out),
            RegisterMessage::Pull { pull } => self.pulled(from, &pull, out),
            RegisterMessage::State { state } => self.state_came(state),
            RegisterMessage::Digest { digest } => self.digest_came(now, from, &digest, out),
            RegisterMessage::Fetch { key, held } => self.fetched(from, key, held, out),
            RegisterMessage::Decided { key, value } => self.decided_came(from, key, value, out),
        }
    }

    fn call(&mut self, from: SocketAddrV4, call: Call, kind: CallKind, out: &mut Vec<Effect>) {
        if let Some(answer) = self.acceptor.call(call, kind) {
            self.answer(from, answer, out);
        }
    }

    /// Sends an answer once the disk holds what it tells.
    fn answer(&mut self, to: SocketAddrV4, answer: Answer, out: &mut Vec<Effect>) {
        if let Some(ready) = self.durability.hold(&self.acceptor, to, answer) {
            self.send(ready.to, ready.message, out);
        }
    }

    fn react(&mut self, now: Millis, reply: Reply, reaction: Reaction, out: &mut Vec<Effect>) {
        let is_meant = |running: &Running| {
            running.proposal.key() == reply.key && running.proposal.ballot() == reply.ballot
        };
        let Some(index) = self.running.iter().position(is_meant) else {
            return;
        };
        let finished = self.with_proposal(now, index, out, |proposal, around| match reaction {
            Reaction::Promised(report) => proposal.promised(around, reply.from, report),
            Reaction::Queried(report) => proposal.queried(around, reply.from, report),
            Reaction::Accepted => proposal.accepted(around, reply.from),
            Reaction::Refused(refusal) => {
                proposal.refused(around, reply.from, refusal);
                None
            }
        });
        if let Some(finished) = finished {
            self.finish(now, index, finished, out);
        }
    }

    /// Runs `action` on a proposal with what it needs of this node, and sends its calls.
    fn with_proposal(
        &mut self,
        now: Millis,
        index: usize,
        out: &mut Vec<Effect>,
        action: impl FnOnce(&mut Proposal, &mut Surroundings) -> Option<Finished>,
    ) -> Option<Finished> {
        self.note_rounds();
        let key = self.running[index].proposal.key();
        let held = self.held(key).cloned();
        let set = &self.acceptor.known()?.set;
        let mut sends = Vec::new();
        let mut around = Surroundings {
            now,
            set,
            random: &mut self.random,
            last_round: &mut self.last_round[key.index()],
            proposer: self.proposer,
            held,
            sends: &mut sends,
        };
        let finished = action(&mut self.running[index].proposal, &mut around);
        for (to, message) in sends {
            self.send(to, message, out);
        }
        finished
    }

    /// Whether the proposal waits for an earlier change of the same register on this machine, or for a set.
    pub(crate) fn is_blocked(&self, index: usize) -> bool {
        let proposal = &self.running[index].proposal;
        let is_before =
            |earlier: &Running| earlier.proposal.is_exclusive() && earlier.proposal.key() == proposal.key();
        self.known().is_none() || (proposal.is_exclusive() && self.running[..index].iter().any(is_before))
    }

    pub(crate) fn tick_proposals(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let mut index = 0;
        while index < self.running.len() {
            let finished = if self.is_blocked(index) {
                self.running[index].proposal.expire(now)
            } else if now >= self.running[index].proposal.wake_at() {
                self.with_proposal(now, index, out, Proposal::tick)
            } else {
                None
            };
            match finished {
                Some(finished) => self.finish(now, index, finished, out),
                None => index += 1,
            }
        }
    }

    fn finish(&mut self, now: Millis, index: usize, finished: Finished, out: &mut Vec<Effect>) {
        let running = self.running.remove(index);
        let key = running.proposal.key();
        match (finished.decided, running.purpose) {
            (Some(value), Purpose::NextSet) => self.next_set_decided(now, &value, out),
            (Some(value), _) => {
                if finished.is_news {
                    self.spread(key, &value, out);
                }
                self.learn(key, value, out);
            }
            (None, _) if finished.outcome == (Outcome::Read { current: None }) => {
                self.learner.learn_empty(key)
            }
            (None, _) => {}
        }
        if let Purpose::Request(request) = running.purpose {
            out.push(Effect::Answer { request, outcome: finished.outcome });
        }
    }

    fn learn(&mut self, key: RegisterKey, value: Accepted, out: &mut Vec<Effect>) {
        if self.learner.learn(key, value.clone()) {
            out.push(Effect::Learned { key, value });
        }
    }

    /// Tells the other members of a decision. They hold the bytes from the round that made it, or fetch them.
    fn spread(&mut self, key: RegisterKey, value: &Accepted, out: &mut Vec<Effect>) {
        for to in self.other_members() {
            let value = Carried::of(value, value.origin);
            self.send(to, RegisterMessage::Decided { key, value }, out);
        }
    }

    pub(crate) fn other_members(&self) -> Vec<SocketAddrV4> {
        let members = self.set().into_iter().flat_map(|set| &set.members);
        members.map(|member| member.address).filter(|address| *address != self.address).collect()
    }

    fn next_set_decided(&mut self, now: Millis, value: &Accepted, out: &mut Vec<Effect>) {
        let (Some(set), Some(known)) = (AcceptorSet::from_value(&value.value), self.known()) else {
            return;
        };
        let known = KnownSet { set, previous: known.set.clone() };
        for to in Transfer::sources(&known) {
            self.send(to, RegisterMessage::Set { known: known.clone() }, out);
        }
        self.adopt(now, known, out);
    }

    fn adopt(&mut self, now: Millis, known: KnownSet, out: &mut Vec<Effect>) {
        if known.set.members.is_empty() || !self.acceptor.adopt(known.clone()) {
            return;
        }
        self.wants_next_set_since = None;
        self.transfer = Transfer::default();
        self.running.retain(|running| running.purpose != Purpose::NextSet);
        for running in &mut self.running {
            running.proposal.restart(now);
        }
        self.joiners.retain(|_, joiner| !known.set.contains(joiner.id));
        self.contact.retain(|address| known.set.at(address).is_some());
        self.restart_suspicions(now, &known);
        self.upkeep_at = now;
        out.push(Effect::SetChanged { set: known.set });
        self.pull(out);
    }

    /// A new member was heard when it asked to join: what was suspected at its address before does not count.
    fn restart_suspicions(&mut self, now: Millis, known: &KnownSet) {
        for newcomer in known.set.members.iter().filter(|member| !known.previous.contains(member.id)) {
            if let Some(since) = self.suspected_since.get_mut(&newcomer.address) {
                *since = now;
            }
        }
    }

    fn send_set(&mut self, to: SocketAddrV4, epoch: u32, out: &mut Vec<Effect>) {
        if epoch == NO_EPOCH || epoch < self.acceptor.epoch() {
            if let Some(known) = self.known().cloned() {
                self.send(to, RegisterMessage::Set { known }, out);
            }
        }
    }

    fn joining(
        &mut self,
        now: Millis,
        from: SocketAddrV4,
        joiner: Member,
        epoch: u32,
        out: &mut Vec<Effect>,
    ) {
        self.send_set(from, epoch, out);
        let is_known = self.joiners.contains_key(&joiner.address);
        let is_member = self.set().is_some_and(|set| set.contains(joiner.id));
        if !is_member && (is_known || self.joiners.len() < MAX_JOINERS) {
            self.joiners.insert(joiner.address, Joiner { id: joiner.id, asked: now });
        }
    }

    fn pulled(&mut self, from: SocketAddrV4, pull: &Pull, out: &mut Vec<Effect>) {
        let own_epoch = self.acceptor.epoch();
        let is_behind = self.known().is_none() || own_epoch < pull.epoch;
        if is_behind {
            self.send(from, RegisterMessage::Behind { epoch: own_epoch }, out);
        } else if let Some(answer) = self.acceptor.state_for(pull) {
            self.answer(from, answer, out);
        } else {
            self.send_set(from, pull.epoch, out);
        }
    }

    fn state_came(&mut self, state: StateReport) {
        if self.acceptor.is_installed() || !self.acceptor.is_member() {
            return;
        }
        let Some(known) = self.acceptor.known() else {
            return;
        };
        let acceptor = &self.acceptor;
        if let Some(baseline) = self.transfer.take(known, state, |key| acceptor.accepted(key)) {
            self.acceptor.install(baseline);
            self.transfer = Transfer::default();
        }
    }

    fn digest_came(&mut self, now: Millis, from: SocketAddrV4, digest: &Digest, out: &mut Vec<Effect>) {
        self.contact.heard(from, digest);
        let own_epoch = self.acceptor.epoch();
        if self.known().is_none() || (digest.epoch != NO_EPOCH && digest.epoch > own_epoch) {
            self.send(from, RegisterMessage::Behind { epoch: own_epoch }, out);
        } else {
            self.send_set(from, digest.epoch, out);
        }
        for learned in &digest.learned {
            if learned.key != RegisterKey::Members && learned.ballot > self.learner.ballot(learned.key) {
                let held = self.held(learned.key).map_or(Ballot::ZERO, |held| held.origin);
                self.send(from, RegisterMessage::Fetch { key: learned.key, held }, out);
            }
        }
        let is_member = self.set().is_some_and(|set| set.at(from).is_some());
        if !is_member {
            self.send_digest(now, from, out);
        }
    }

    fn fetched(&mut self, from: SocketAddrV4, key: RegisterKey, held: Ballot, out: &mut Vec<Effect>) {
        if let Some(decided) = self.learner.decided(key) {
            let value = Carried::of(decided, held);
            self.send(from, RegisterMessage::Decided { key, value }, out);
        }
    }

    fn decided_came(&mut self, from: SocketAddrV4, key: RegisterKey, value: Carried, out: &mut Vec<Effect>) {
        if key == RegisterKey::Members || value.ballot <= self.learner.ballot(key) {
            return;
        }
        let origin = value.origin;
        let candidates = [self.learner.decided(key), self.acceptor.accepted(key)];
        let held = candidates.into_iter().flatten().find(|held| held.origin == origin);
        match value.resolve(held) {
            Some(value) => self.learn(key, value, out),
            None => self.send(from, RegisterMessage::Fetch { key, held: Ballot::ZERO }, out),
        }
    }
}
