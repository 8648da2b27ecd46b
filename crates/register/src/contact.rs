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

/// The newest digest of one machine.
#[derive(Clone, Copy, Debug)]
struct Heard {
    acceptor: AcceptorId,
    is_active_in: Option<u32>,
    stamp: u64,
    answered: Option<Millis>,
}

/// What digests told.
pub struct Contact {
    heard: BTreeMap<SocketAddrV4, Heard>,
    stamps: VecDeque<(u64, Millis)>,
    last_stamp: u64,
}

impl Contact {
    /// Stamps begin at `first_stamp`, a number drawn for this process, so that an echo of an earlier process
    /// is never taken for one of this.
    pub fn new(first_stamp: u64) -> Contact {
        Contact { heard: BTreeMap::new(), stamps: VecDeque::new(), last_stamp: first_stamp }
    }

    /// A stamp for digests that leave now.
    pub fn stamp(&mut self, now: Millis) -> u64 {
        self.last_stamp = self.last_stamp.wrapping_add(1).max(1);
        if self.stamps.len() == MAX_STAMPS {
            self.stamps.pop_front();
        }
        self.stamps.push_back((self.last_stamp, now));
        self.last_stamp
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

    /// The newest time such that digests sent then or later were answered by a majority of `set`, all active
    /// in it. `own` is the acceptor of this machine if it is active: it answers at once.
    pub fn confirmed_at(&self, now: Millis, set: &AcceptorSet, own: Option<AcceptorId>) -> Option<Millis> {
        let mut answered: Vec<Millis> =
            set.members.iter().filter_map(|member| self.answered(now, set.epoch, member.id, own)).collect();
        answered.sort_unstable_by(|left, right| right.cmp(left));
        answered.get(set.majority() - 1).copied()
    }

    fn answered(&self, now: Millis, epoch: u32, id: AcceptorId, own: Option<AcceptorId>) -> Option<Millis> {
        if own == Some(id) {
            return Some(now);
        }
        let heard = self.heard.values().find(|heard| heard.acceptor == id)?;
        heard.answered.filter(|_| heard.is_active_in == Some(epoch))
    }
}
