//! Installation of this machine's acceptor in a new set.
//!
//! The registers come from a sealed majority of the previous set: sealed acceptors accept nothing more under
//! their epoch, so whatever was decided there is in their registers. One active member of the new set does as
//! well: its registers began with such a majority's and have only grown.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use crate::key::RegisterKey;
use crate::message::StateReport;
use crate::set::{AcceptorId, KnownSet};
use crate::value::{Accepted, Report};

/// The values that an acceptor begins with, by register.
pub type Baseline = BTreeMap<RegisterKey, Accepted>;

/// What has come in for one installation.
#[derive(Default)]
pub struct Transfer {
    sealed: BTreeSet<AcceptorId>,
    highest: Baseline,
}

impl Transfer {
    /// Where to ask for registers.
    pub fn sources(known: &KnownSet) -> BTreeSet<SocketAddrV4> {
        let members = known.previous.members.iter().chain(&known.set.members);
        members.map(|member| member.address).collect()
    }

    /// Takes in the registers of an acceptor; gives the baseline once it is whole. `held` is what the own
    /// acceptor has accepted, for values that were left out.
    pub fn take<'a>(
        &mut self,
        known: &KnownSet,
        state: StateReport,
        held: impl Fn(RegisterKey) -> Option<&'a Accepted>,
    ) -> Option<Baseline> {
        if state.epoch != known.set.epoch {
            return None;
        }
        let is_active_source = state.data_epoch == state.epoch && known.set.contains(state.from);
        let is_sealed_source =
            state.data_epoch.checked_add(1) == Some(state.epoch) && known.previous.contains(state.from);
        let from = state.from;
        if is_active_source {
            return resolve(state, held);
        }
        if !is_sealed_source {
            return None;
        }
        for (key, accepted) in resolve(state, held)? {
            let is_higher = self.highest.get(&key).is_none_or(|highest| highest.ballot < accepted.ballot);
            if is_higher {
                self.highest.insert(key, accepted);
            }
        }
        self.sealed.insert(from);
        let is_whole = self.sealed.len() >= known.previous.majority();
        is_whole.then(|| std::mem::take(&mut self.highest))
    }
}

/// The accepted values of a state report; `None` if some bytes are not there.
fn resolve<'a>(state: StateReport, held: impl Fn(RegisterKey) -> Option<&'a Accepted>) -> Option<Baseline> {
    let mut values = Baseline::new();
    for register in state.registers {
        if let Report::Accepted(carried) = register.report {
            values.insert(register.key, carried.resolve(held(register.key))?);
        }
    }
    Some(values)
}
