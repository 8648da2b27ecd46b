//! A member that is to end hands its place over, if another machine waits for one.
//!
//! Whether the machine comes back is not told to it. If a machine waits outside the set, giving it the place costs
//! nothing either way: a set of the same size follows, in which nobody is about to go. Without this, a set of three whose
//! member was removed bore no loss until the others had suspected it for long enough.

use std::net::SocketAddrV4;

use crate::node::RegisterNode;
use crate::rules::REPLACE_AFTER_MILLIS;
use crate::Millis;

impl RegisterNode {
    pub(crate) fn leave(&mut self, now: Millis) {
        self.is_leaving = true;
        self.upkeep_at = now;
    }

    /// A machine that said that it ends counts as suspected for as long as it takes to be replaced.
    pub(crate) fn peer_left(&mut self, now: Millis, address: SocketAddrV4) {
        self.peer_suspected(now, address);
        let since = now.saturating_sub(REPLACE_AFTER_MILLIS);
        if let Some(known) = self.suspected_since.get_mut(&address) {
            *known = since.min(*known);
        }
        self.upkeep_at = now;
    }

    /// Whether nothing keeps this machine, which is to end: no other waits for its place, or the set that follows is
    /// whole without it. Until then it gives its registers to whoever is being installed.
    pub fn has_handed_over(&self) -> bool {
        let Some(set) = self.set() else { return true };
        if self.acceptor.is_member() {
            let waits = |address: &SocketAddrV4| set.at(*address).is_none();
            return !self.acceptor.is_installed() || !self.joiners.keys().any(waits);
        }
        set.members.iter().all(|member| self.contact.is_active(member.id, set.epoch))
    }
}
