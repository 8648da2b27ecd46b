//! When an agent that was told to end may go.
//!
//! A proxy ends later than its agent is told to: it serves for seconds after SIGTERM, and without its agent it would
//! hear neither of drainings nor of configurations meanwhile.

use std::collections::BTreeSet;

use links::LinkId;

use crate::Millis;

/// What is known of the proxy of this machine while it has no link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Unlinked {
    /// Its process has ended: it closed its last link.
    Ended,
    /// It may run: it has not linked in this life of the agent, or its link broke without its doing.
    MayRun,
}

/// The end of an agent, and who still needs it. No I/O.
#[derive(Debug)]
pub struct Ending {
    /// From the first word on that the agent is to end.
    ends_by: Option<Millis>,
    links: BTreeSet<LinkId>,
    unlinked: Unlinked,
}

impl Default for Ending {
    fn default() -> Ending {
        Ending { ends_by: None, links: BTreeSet::new(), unlinked: Unlinked::MayRun }
    }
}

impl Ending {
    /// A proxy linked.
    pub fn proxy_linked(&mut self, link: LinkId) {
        self.links.insert(link);
    }

    /// The link of a proxy ended; `by_peer` tells whether the proxy closed it.
    pub fn proxy_lost(&mut self, link: LinkId, by_peer: bool) {
        self.links.remove(&link);
        self.unlinked = if by_peer { Unlinked::Ended } else { Unlinked::MayRun };
    }

    /// The agent is to end, `patience` from now at the latest. A second word changes nothing.
    pub fn told_to_end(&mut self, now: Millis, patience: Millis) {
        self.ends_by.get_or_insert(now + patience);
    }

    /// Whether the agent was told to end.
    pub fn is_ending(&self) -> bool {
        self.ends_by.is_some()
    }

    /// When [`Ending::is_over`] turns true by itself.
    pub fn deadline(&self) -> Option<Millis> {
        self.ends_by
    }

    /// Whether the agent is to go now.
    pub fn is_over(&self, now: Millis) -> bool {
        let is_unneeded = self.links.is_empty() && self.unlinked == Unlinked::Ended;
        self.ends_by.is_some_and(|ends_by| is_unneeded || now >= ends_by)
    }
}
