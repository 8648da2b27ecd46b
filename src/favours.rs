//! The placement of one coordinator, put in the terms of the list that it knows. No I/O.
//!
//! A placement was worked out ahead and may name nodes that are gone or miss nodes that are new: what still fits is
//! used. It breaks ties of the design's first send only, and names the connections that are kept warm, which are
//! opened one at a time.

use crate::interface::{Ms, ReplicaId};
use placement::Favour;
use std::collections::BTreeMap;

/// Pause between two connections that are opened to be kept warm, ms: no burst of handshakes, and a coordinator with
/// 23 nodes has them all in 5 s.
const OPEN_GAP: Ms = 200.0;
/// Pause before a connection to the same node is opened anew, ms: a node that refuses is not dialled all the time.
const AGAIN_GAP: Ms = 5000.0;

/// Weights of the replicas of a shard, for ties.
pub type Weights = BTreeMap<(usize, ReplicaId), f64>;

/// What became of a placement's names.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Fit {
    /// Nodes that the placement names and the list does not.
    pub unlisted: Vec<String>,
    /// Nodes that are listed and not placed.
    pub unplaced: Vec<String>,
}

/// What one coordinator favours.
#[derive(Debug, Default)]
pub struct Favours {
    names: BTreeMap<String, ReplicaId>,
    favour: Option<Favour>,
    warm: Vec<(ReplicaId, Ms)>,
    open_at: Ms,
}

impl Favours {
    /// Names of the list; true if any is new.
    pub fn listed(&mut self, names: &[(ReplicaId, String)]) -> bool {
        let known = self.names.len();
        self.names.extend(names.iter().map(|(id, name)| (name.clone(), *id)));
        self.names.len() != known
    }

    /// A placement, or none any more.
    pub fn placed(&mut self, favour: Option<Favour>) {
        self.favour = favour;
    }

    /// Whether a placement holds.
    pub fn is_placed(&self) -> bool {
        self.favour.is_some()
    }

    /// Puts the placement in terms of the list. Weights that are left of a shard keep their proportions; a shard of
    /// which none is left has none, and chance breaks its ties as without a placement.
    pub fn resolve(&mut self) -> (Weights, Fit) {
        let (mut weights, mut fit) = (Weights::new(), Fit::default());
        self.warm.clear();
        let Some(favour) = &self.favour else { return (weights, fit) };
        for (shard, each) in &favour.books {
            for (name, share) in each {
                match self.names.get(name) {
                    Some(id) if *share > 0.0 => {
                        weights.insert((*shard, *id), *share);
                    }
                    Some(_) => {}
                    None => fit.unlisted.push(name.clone()),
                }
            }
        }
        for name in &favour.warm {
            match self.names.get(name) {
                Some(id) => self.warm.push((*id, f64::NEG_INFINITY)),
                None => fit.unlisted.push(name.clone()),
            }
        }
        fit.unlisted.sort();
        fit.unlisted.dedup();
        let placed = |name: &String| {
            favour.warm.contains(name) || favour.books.values().any(|each| each.contains_key(name))
        };
        fit.unplaced = self.names.keys().filter(|name| !placed(name)).cloned().collect();
        (weights, fit)
    }

    /// The replica to which a connection is to be opened now, of those that `lacks` tells to have none; at most one.
    pub fn next_warm(&mut self, now: Ms, lacks: impl Fn(ReplicaId) -> bool) -> Option<ReplicaId> {
        if self.warm.is_empty() || now < self.open_at {
            return None;
        }
        self.open_at = now + OPEN_GAP;
        let due = |(id, tried): &&mut (ReplicaId, Ms)| now - *tried >= AGAIN_GAP && lacks(*id);
        let (id, tried) = self.warm.iter_mut().find(due)?;
        *tried = now;
        Some(*id)
    }

    /// When to look again.
    pub fn next_due(&self) -> Option<Ms> {
        (!self.warm.is_empty()).then_some(self.open_at)
    }
}
