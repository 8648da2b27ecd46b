//! Digests between machines, and the proof of contact with a majority that they give.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

use crate::message::Digest;
use crate::set::{AcceptorId, AcceptorSet};
use crate::Millis;

/// Digests whose time of sending is kept.
const MAX_STAMPS: usize = 64;

/// Machines whose digests are kept.
const MAX_PEERS: usize = 64;

/// The order in which this machine's digests left. Several may leave in one millisecond, with something told between
/// them, so that their times alone don't say what each one left behind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct DigestNumber(u64);

impl DigestNumber {
    /// Later than all: what this machine itself has heard of its own.
    const OWN: DigestNumber = DigestNumber(u64::MAX);
}

/// A digest of this machine that left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Sent {
    /// Its place among the digests.
    pub number: DigestNumber,
    /// When it left.
    pub at: Millis,
}

/// The newest digest of one machine.
#[derive(Clone, Copy, Debug)]
struct Heard {
    acceptor: AcceptorId,
    is_active_in: Option<u32>,
    stamp: u64,
    answered: Option<Sent>,
}

/// What digests told.
pub struct Contact {
    heard: BTreeMap<SocketAddrV4, Heard>,
    stamps: VecDeque<(u64, Sent)>,
    last_stamp: u64,
    last_number: DigestNumber,
}

impl Contact {
    /// Stamps begin at `first_stamp`, a number drawn for this process, so that an echo of an earlier process
    /// is never taken for one of this.
    pub fn new(first_stamp: u64) -> Contact {
        Contact {
            heard: BTreeMap::new(),
            stamps: VecDeque::new(),
            last_stamp: first_stamp,
            last_number: DigestNumber::default(),
        }
    }

    /// A stamp for digests that leave now.
    pub fn stamp(&mut self, now: Millis) -> u64 {
        self.last_stamp = self.last_stamp.wrapping_add(1).max(1);
        self.last_number.0 += 1;
        if self.stamps.len() == MAX_STAMPS {
            self.stamps.pop_front();
        }
        self.stamps.push_back((self.last_stamp, Sent { number: self.last_number, at: now }));
        self.last_stamp
    }

    /// The newest digest that has left.
    pub fn last_number(&self) -> DigestNumber {
        self.last_number
    }

    /// The stamp to echo to a machine.
    pub fn echo_for(&self, address: SocketAddrV4) -> u64 {
        self.heard.get(&address).map_or(0, |heard| heard.stamp)
    }

    /// Takes in a digest.
    pub fn heard(&mut self, address: SocketAddrV4, digest: &Digest) {
        if self.heard.len() >= MAX_PEERS && !self.heard.contains_key(&address) {
            return;
        }
        let echoed = self.stamps.iter().find(|(stamp, _)| *stamp == digest.echo).map(|(_, sent)| *sent);
        let earlier = self.heard.get(&address).filter(|heard| heard.acceptor == digest.from);
        let answered = echoed.max(earlier.and_then(|heard| heard.answered));
        let is_active_in = (digest.active != 0).then_some(digest.epoch);
        let heard = Heard { acceptor: digest.from, is_active_in, stamp: digest.stamp, answered };
        self.heard.insert(address, heard);
    }

    /// Whether an acceptor said that it takes part in the set of `epoch`.
    pub fn is_active(&self, id: AcceptorId, epoch: u32) -> bool {
        self.heard.values().any(|heard| heard.acceptor == id && heard.is_active_in == Some(epoch))
    }

    /// Forgets machines that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(SocketAddrV4) -> bool) {
        self.heard.retain(|address, _| keep(*address));
    }

    /// The newest digest of this machine such that it, or a later one, was answered by a majority of `set`, all active in
    /// it. `own` is the acceptor of this machine if it is active: it answers at once.
    pub fn confirmed(&self, now: Millis, set: &AcceptorSet, own: Option<AcceptorId>) -> Option<Sent> {
        let mut answered: Vec<Sent> =
            set.members.iter().filter_map(|member| self.answered(now, set.epoch, member.id, own)).collect();
        answered.sort_unstable_by(|left, right| right.cmp(left));
        answered.get(set.majority() - 1).copied()
    }

    fn answered(&self, now: Millis, epoch: u32, id: AcceptorId, own: Option<AcceptorId>) -> Option<Sent> {
        if own == Some(id) {
            return Some(Sent { number: DigestNumber::OWN, at: now });
        }
        let heard = self.heard.values().find(|heard| heard.acceptor == id)?;
        heard.answered.filter(|_| heard.is_active_in == Some(epoch))
    }
}
