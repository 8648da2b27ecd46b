//! From the placement in force to a new one, in steps that break nothing in between.

use crate::flow::bits;
use crate::instance::Instance;
use crate::rules::{Links, Model};
use std::collections::BTreeMap;

/// One connection that is opened or closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Change {
    /// Index of the coordinator.
    pub coordinator: usize,
    /// Index of the node.
    pub node: usize,
}

/// What is done at once. The weights of the new placement hold from the first step in which all their connections are
/// open; until then those of the old one do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// Connections that are opened.
    pub open: Vec<Change>,
    /// Connections that are closed.
    pub close: Vec<Change>,
    /// The connections after it.
    pub links: Links,
}

/// No order of steps keeps all constraints.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Stuck {
    /// The placement in force breaks a constraint by itself.
    #[error("the placement in force does not fit {0}")]
    Before(String),
    /// So does the new one.
    #[error("the new placement does not fit {0}")]
    After(String),
    /// Room for these is only made by closing what is still needed.
    #[error("no room for {0} connections without closing one that is still needed")]
    NoRoom(usize),
}

/// How many coordinators may open a connection to a node in one step: as many as its cold share of them, at least 1.
fn at_once(instance: &Instance, node: usize) -> usize {
    let node = &instance.nodes[node];
    ((instance.coordinators.len() as f64 * node.cold_share).floor() as usize).max(1)
}

/// Orders the steps from `from` to `to`: as many connections are opened in a step as each node bears; what is not
/// wanted any more is closed when room is short, if all still fits without it, and else at the end.
///
/// # Errors
/// Tells what stands in the way.
pub fn plan(instance: &Instance, from: &Links, to: &Links) -> Result<Vec<Step>, Stuck> {
    let model = Model::new(instance);
    let mut order = Vec::new();
    if let Some(case) = model.failing(&from.0, &mut order) {
        return Err(Stuck::Before(case.words(instance)));
    }
    if let Some(case) = model.failing(&to.0, &mut order) {
        return Err(Stuck::After(case.words(instance)));
    }
    let mut now = from.clone();
    let mut steps = Vec::new();
    loop {
        let mut step = Step { open: Vec::new(), close: Vec::new(), links: now.clone() };
        let mut opened: BTreeMap<usize, usize> = BTreeMap::new();
        let mut waiting = 0;
        for coordinator in 0..to.0.len() {
            for node in bits(to.0[coordinator] & !now.0[coordinator]) {
                let room = now.0[coordinator].count_ones() < clamp(model.at_coordinator[coordinator])
                    && now.at(node) < model.at_node[node];
                let bears = opened.get(&node).copied().unwrap_or(0) < at_once(instance, node);
                if room && bears {
                    now.0[coordinator] |= 1 << node;
                    *opened.entry(node).or_default() += 1;
                    step.open.push(Change { coordinator, node });
                } else {
                    waiting += 1;
                }
            }
        }
        if step.open.is_empty() {
            let made = if waiting > 0 { make_room(&model, &mut now, to) } else { close_rest(&mut now, to) };
            if made.is_empty() {
                return if waiting > 0 { Err(Stuck::NoRoom(waiting)) } else { Ok(steps) };
            }
            step.close = made;
        }
        step.links = now.clone();
        steps.push(step);
    }
}

fn clamp(most: usize) -> u32 {
    u32::try_from(most).unwrap_or(u32::MAX)
}

/// Closes one connection that is not wanted any more and stands where room is short, if all fits without it.
fn make_room(model: &Model, now: &mut Links, to: &Links) -> Vec<Change> {
    for coordinator in 0..to.0.len() {
        for node in bits(now.0[coordinator] & !to.0[coordinator]) {
            let full = now.0[coordinator].count_ones() >= clamp(model.at_coordinator[coordinator])
                && to.0[coordinator] & !now.0[coordinator] != 0;
            let wanted = |c: usize| (to.0[c] & !now.0[c]) >> node & 1 == 1;
            let full = full || now.at(node) >= model.at_node[node] && (0..to.0.len()).any(wanted);
            if !full {
                continue;
            }
            let held = now.0[coordinator];
            now.0[coordinator] &= !(1 << node);
            if model.failing(&now.0, &mut Vec::new()).is_none() {
                return vec![Change { coordinator, node }];
            }
            now.0[coordinator] = held;
        }
    }
    Vec::new()
}

/// Closes what is not wanted any more, once all that is wanted is open.
fn close_rest(now: &mut Links, to: &Links) -> Vec<Change> {
    let mut closed = Vec::new();
    for (coordinator, set) in now.0.iter_mut().enumerate() {
        closed.extend(bits(*set & !to.0[coordinator]).map(|node| Change { coordinator, node }));
        *set &= to.0[coordinator];
    }
    closed
}
