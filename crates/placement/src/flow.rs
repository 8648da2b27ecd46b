//! Flows from demands to nodes: each demand is divisible and may go to a set of nodes, each node takes so much.
//!
//! Demands with the same set are one, so a flow has as many sources as there are distinct sets. Sets are the bits of
//! a word. Amounts are ms of work a second; what is under [`EPS`] of the whole counts as nothing.

use std::collections::BTreeMap;

/// Slack against rounding, as a share of the whole demand.
pub const EPS: f64 = 1e-9;

/// Demand by the set of nodes that may take it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Demands {
    by_set: BTreeMap<u128, f64>,
}

impl Demands {
    /// Adds demand that may go to `set`.
    pub fn add(&mut self, set: u128, amount: f64) {
        if amount > 0.0 {
            *self.by_set.entry(set).or_default() += amount;
        }
    }

    /// All of it.
    pub fn total(&self) -> f64 {
        self.by_set.values().sum()
    }

    /// What can go to nodes of `set` only.
    pub fn bound_to(&self, set: u128) -> f64 {
        self.by_set.iter().filter(|(own, _)| **own & !set == 0).map(|(_, amount)| amount).sum()
    }
}

/// What a flow found.
#[derive(Debug)]
pub enum Fit {
    /// All fits.
    All,
    /// These nodes can't take what only they may take: the tightest such set.
    Over(u128),
}

/// Whether all demand fits into the room of each node. Augments along shortest paths (Edmonds and Karp); the nodes
/// reached from what is left over are a minimum cut.
pub fn fits(demands: &Demands, room: &[f64]) -> Fit {
    let slack = EPS * demands.total().max(1.0);
    let sets: Vec<(u128, f64)> = demands.by_set.iter().map(|(set, amount)| (*set, *amount)).collect();
    let mut left: Vec<f64> = sets.iter().map(|(_, amount)| *amount).collect();
    let mut free: Vec<f64> = room.to_vec();
    let mut sent = vec![vec![0.0f64; room.len()]; sets.len()];
    fill(&sets, &mut left, &mut free, &mut sent);
    loop {
        // Breadth first over nodes: how each was reached, by which set and from which node.
        let mut via: Vec<Option<(usize, Option<usize>)>> = vec![None; room.len()];
        let mut queue = std::collections::VecDeque::new();
        let mut seen = vec![false; sets.len()];
        let mut reached = 0u128;
        for (s, (set, _)) in sets.iter().enumerate().filter(|(s, _)| left[*s] > slack) {
            seen[s] = true;
            for node in bits(*set & !reached) {
                via[node] = Some((s, None));
                queue.push_back(node);
            }
            reached |= *set;
        }
        let mut end = None;
        while let Some(node) = queue.pop_front() {
            if free[node] > slack {
                end = Some(node);
                break;
            }
            for (s, (set, _)) in sets.iter().enumerate() {
                if !seen[s] && sent[s][node] > slack {
                    seen[s] = true;
                    for next in bits(*set & !reached) {
                        via[next] = Some((s, Some(node)));
                        queue.push_back(next);
                    }
                    reached |= *set;
                }
            }
        }
        let Some(end) = end else {
            let over = left.iter().any(|left| *left > slack);
            return if over { Fit::Over(reached) } else { Fit::All };
        };
        // How much fits along the path, then along it.
        let (mut amount, mut at) = (free[end], end);
        while let Some((s, from)) = via[at] {
            match from {
                Some(from) => (amount, at) = (amount.min(sent[s][from]), from),
                None => {
                    amount = amount.min(left[s]);
                    break;
                }
            }
        }
        free[end] -= amount;
        let mut at = end;
        while let Some((s, from)) = via[at] {
            sent[s][at] += amount;
            match from {
                Some(from) => {
                    sent[s][from] -= amount;
                    at = from;
                }
                None => {
                    left[s] -= amount;
                    break;
                }
            }
        }
    }
}

/// A first flow: those with the fewest nodes first, each in proportion to what is free. Where there is room enough it
/// is all that is needed.
fn fill(sets: &[(u128, f64)], left: &mut [f64], free: &mut [f64], sent: &mut [Vec<f64>]) {
    let mut order: Vec<usize> = (0..sets.len()).collect();
    order.sort_by_key(|s| sets[*s].0.count_ones());
    for s in order {
        let room: f64 = bits(sets[s].0).map(|node| free[node]).sum();
        let share = (left[s] / room).min(1.0);
        if room <= 0.0 || !share.is_finite() {
            continue;
        }
        for node in bits(sets[s].0) {
            let amount = free[node] * share;
            free[node] -= amount;
            left[s] -= amount;
            sent[s][node] += amount;
        }
    }
}

/// The least share of each node's capacity at which all demand fits, or the demand that no node may take. Raises the
/// share to what the tightest set needs until all fits (Newton's method on cuts, after Dinkelbach): exact but for
/// rounding, in few rounds.
pub fn utilisation(demands: &Demands, capacity: &[f64]) -> Option<f64> {
    if demands.bound_to(0) > 0.0 {
        return None;
    }
    let all: f64 = capacity.iter().sum();
    let mut share = demands.total() / all;
    loop {
        let room: Vec<f64> = capacity.iter().map(|capacity| share * capacity).collect();
        let Fit::Over(set) = fits(demands, &room) else { return Some(share) };
        let held: f64 = bits(set).map(|node| capacity[node]).sum();
        let needed = demands.bound_to(set) / held;
        if needed <= share * (1.0 + EPS) {
            return Some(share);
        }
        share = needed;
    }
}

/// The members of a set, ascending.
pub fn bits(mut set: u128) -> impl Iterator<Item = usize> {
    std::iter::from_fn(move || {
        let next = (set != 0).then(|| set.trailing_zeros() as usize)?;
        set &= set - 1;
        Some(next)
    })
}

/// One demand to be placed at least cost.
#[derive(Debug, Clone)]
pub struct Parcel {
    /// How much.
    pub amount: f64,
    /// The nodes that may take it.
    pub set: u128,
    /// The nodes at which it costs 1 a unit; elsewhere it costs nothing.
    pub dear: u128,
}

/// Places parcels into the room of the nodes so that least of them is dear: the amounts by parcel and node, and the
/// dear sum. Augments along cheapest paths (Bellman and Ford), so each flow on the way is the cheapest of its size.
pub fn cheapest(parcels: &[Parcel], room: &[f64]) -> (Vec<Vec<f64>>, f64) {
    let whole: f64 = parcels.iter().map(|parcel| parcel.amount).sum();
    let slack = EPS * whole.max(1.0);
    let mut left: Vec<f64> = parcels.iter().map(|parcel| parcel.amount).collect();
    let mut free = room.to_vec();
    let mut sent = vec![vec![0.0f64; room.len()]; parcels.len()];
    let cost = |parcel: usize, node: usize| i64::from(parcels[parcel].dear >> node & 1 == 1);
    loop {
        // Cheapest cost of reaching each node, and how.
        let mut to: Vec<Option<(i64, usize, Option<usize>)>> = vec![None; room.len()];
        for (p, parcel) in parcels.iter().enumerate().filter(|(p, _)| left[*p] > slack) {
            for node in bits(parcel.set) {
                if to[node].is_none_or(|(known, ..)| cost(p, node) < known) {
                    to[node] = Some((cost(p, node), p, None));
                }
            }
        }
        let mut changed = true;
        while changed {
            changed = false;
            for (p, parcel) in parcels.iter().enumerate() {
                for from in bits(parcel.set) {
                    let Some((base, ..)) = to[from].filter(|_| sent[p][from] > slack) else { continue };
                    for node in bits(parcel.set & !(1 << from)) {
                        let price = base - cost(p, from) + cost(p, node);
                        if to[node].is_none_or(|(known, ..)| price < known) {
                            to[node] = Some((price, p, Some(from)));
                            changed = true;
                        }
                    }
                }
            }
        }
        let ends = (0..room.len()).filter(|node| free[*node] > slack);
        let end = ends.filter_map(|node| to[node].map(|(price, ..)| (price, node))).min();
        let Some((_, end)) = end else { break };
        let (mut amount, mut at) = (free[end], end);
        let mut path = Vec::new();
        while let Some((_, p, from)) = to[at] {
            path.push((p, at, from));
            match from {
                Some(from) => (amount, at) = (amount.min(sent[p][from]), from),
                None => {
                    amount = amount.min(left[p]);
                    break;
                }
            }
        }
        free[end] -= amount;
        for (p, at, from) in path {
            sent[p][at] += amount;
            match from {
                Some(from) => sent[p][from] -= amount,
                None => left[p] -= amount,
            }
        }
    }
    let dear = |(p, row): (usize, &Vec<f64>)| {
        row.iter().enumerate().map(|(node, amount)| cost(p, node) as f64 * amount).sum::<f64>()
    };
    let sum = sent.iter().enumerate().map(dear).sum();
    (sent, sum)
}
