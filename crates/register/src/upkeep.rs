//! What a node does by itself as time goes by.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use crate::ballot::Ballot;
use crate::key::RegisterKey;
use crate::message::{Digest, Pull, RegisterMessage};
use crate::node::{Effect, Purpose, RegisterNode, Running};
use crate::proposal::{Proposal, Work};
use crate::rules::{next_members_without, Suspicions};
use crate::set::{AcceptorSet, Member};
use crate::transfer::Transfer;
use crate::Millis;

/// How often digests go out and all else is looked at.
const UPKEEP_MILLIS: Millis = 300;

/// How long a joiner counts after it asked last.
const JOINER_MILLIS: Millis = 1_000;

/// How much longer each further member waits before it proposes the next set.
const RANK_MILLIS: Millis = 400;

/// How long without an answer of a majority until the seeds and other reachable machines are asked for
/// the present set.
const CONTACT_MILLIS: Millis = 2_000;

/// How long the node's own proposals may take.
const OWN_DEADLINE_MILLIS: Millis = 3_000;

impl RegisterNode {
    pub(crate) fn upkeep(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if now < self.upkeep_at {
            return;
        }
        self.upkeep_at = now + UPKEEP_MILLIS;
        self.joiners.retain(|_, joiner| now < joiner.asked + JOINER_MILLIS);
        if self.is_out_of_contact(now) {
            self.ask_for_set(out);
        }
        if self.known().is_none() {
            return;
        }
        self.send_digests(now, out);
        self.ask_to_join(out);
        self.pull(out);
        self.propose_next_set(now);
        self.confirm_registers(now);
    }

    /// Whether the members known may all be gone, so that only others can tell the present set.
    fn is_out_of_contact(&self, now: Millis) -> bool {
        let confirmed = self.confirmed_at(now);
        !self.acceptor.is_member() || confirmed.is_none_or(|at| now > at + CONTACT_MILLIS)
    }

    fn ask_for_set(&mut self, out: &mut Vec<Effect>) {
        let epoch = self.acceptor.epoch();
        let mut others: BTreeSet<SocketAddrV4> = self.seeds.iter().chain(&self.reachable).copied().collect();
        others.remove(&self.address);
        for to in others {
            self.send(to, RegisterMessage::Behind { epoch }, out);
        }
    }

    /// Sends a digest to every other member.
    pub(crate) fn send_digests(&mut self, now: Millis, out: &mut Vec<Effect>) {
        for to in self.other_members() {
            self.send_digest(now, to, out);
        }
    }

    pub(crate) fn send_digest(&mut self, now: Millis, to: SocketAddrV4, out: &mut Vec<Effect>) {
        let stamp = self.contact.stamp(now);
        let digest = Digest::new(
            self.acceptor.id(),
            self.acceptor.epoch(),
            self.is_active(),
            stamp,
            self.contact.echo_for(to),
            self.learner.ballots(),
        );
        self.send(to, RegisterMessage::Digest { digest }, out);
    }

    /// The id may be told only when the disk holds it: a lost id would be a member that never answers.
    fn ask_to_join(&mut self, out: &mut Vec<Effect>) {
        if self.acceptor.is_member() || !self.identity_is_durable() {
            return;
        }
        let message = RegisterMessage::Join { joiner: self.member(), epoch: self.acceptor.epoch() };
        for to in self.other_members() {
            self.send(to, message.clone(), out);
        }
    }

    /// Asks for the registers to be installed with, if this machine is a member that has none yet.
    pub(crate) fn pull(&mut self, out: &mut Vec<Effect>) {
        let Some(known) = self.known() else {
            return;
        };
        if self.acceptor.is_installed() || !self.acceptor.is_member() {
            return;
        }
        let origin =
            |key: &RegisterKey| self.acceptor.accepted(*key).map_or(Ballot::ZERO, |accepted| accepted.origin);
        let is_told = |key: &&RegisterKey| !key.is_new() || self.acceptor.accepted(**key).is_some();
        let held = RegisterKey::ORDINARY.iter().filter(is_told).map(origin).collect();
        let pull = Pull::new(known.set.epoch, held);
        for source in Transfer::sources(known) {
            self.send(source, RegisterMessage::Pull { pull: pull.clone() }, out);
        }
    }

    fn propose_next_set(&mut self, now: Millis) {
        let is_running = self.running.iter().any(|running| running.purpose == Purpose::NextSet);
        if is_running || !self.acceptor.is_installed() {
            return;
        }
        let next = self.next_set(now);
        if next.is_none() && !self.acceptor.has_open_next_set() {
            self.wants_next_set_since = None;
            return;
        }
        let since = *self.wants_next_set_since.get_or_insert(now);
        // A member that leaves knows best that it does: it need not wait for others to propose.
        if !self.is_leaving && now < since + self.rank() * RANK_MILLIS {
            return;
        }
        self.wants_next_set_since = None;
        let work = Work::NextSet(next.map(|set| set.to_value()));
        let proposal = Proposal::new(RegisterKey::Members, work, now + OWN_DEADLINE_MILLIS);
        self.start(Purpose::NextSet, proposal);
    }

    fn next_set(&self, now: Millis) -> Option<AcceptorSet> {
        let set = self.set()?;
        let suspected_for =
            |(address, since): (&SocketAddrV4, &Millis)| (*address, now.saturating_sub(*since));
        let suspicions: Suspicions = self.suspected_since.iter().map(suspected_for).collect();
        let leaving = self.is_leaving.then_some(self.address);
        let joiners: Vec<Member> = self
            .joiners
            .iter()
            .map(|(address, joiner)| Member { id: joiner.id, address: *address })
            .collect();
        let members = next_members_without(set, &suspicions, &joiners, leaving)?;
        Some(AcceptorSet::new(set.epoch + 1, members))
    }

    /// How many members come before this machine that may be there: they are not suspected, and no acceptor
    /// with an empty disk has taken their place.
    fn rank(&self) -> Millis {
        let members = self.set().into_iter().flat_map(|set| &set.members);
        let before = members
            .take_while(|member| member.address != self.address)
            .filter(|member| !self.suspected_since.contains_key(&member.address))
            .filter(|member| !self.joiners.contains_key(&member.address));
        before.count() as Millis
    }

    /// Learns registers that this process knows nothing of, and settles values that stay undecided.
    fn confirm_registers(&mut self, now: Millis) {
        let rank = self.rank();
        for key in RegisterKey::ORDINARY {
            let is_running =
                |running: &Running| running.purpose == Purpose::Upkeep && running.proposal.key() == key;
            if self.running.iter().any(is_running) {
                continue;
            }
            let accepted = self.acceptor.accepted(key).map_or(Ballot::ZERO, |accepted| accepted.ballot);
            let is_unsettled = self.learner.is_unsettled(now, key, accepted, rank);
            let work = if is_unsettled {
                Work::Settle
            } else if !self.learner.is_confirmed(key) {
                Work::Read
            } else {
                continue;
            };
            self.start(Purpose::Upkeep, Proposal::new(key, work, now + OWN_DEADLINE_MILLIS));
        }
    }
}
