//! The constraints, in the form in which they are checked: sets as bits, demand as numbers.

use crate::conflict::Constraint;
use crate::flow::{bits, fits, utilisation, Demands, Fit, Parcel};
use crate::instance::Instance;

/// The connections of each coordinator, as a set of nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Links(pub(crate) Vec<u128>);

impl Links {
    /// Whether a coordinator keeps a connection to a node.
    pub fn has(&self, coordinator: usize, node: usize) -> bool {
        self.0[coordinator] >> node & 1 == 1
    }

    /// The nodes of a coordinator, ascending.
    pub fn of(&self, coordinator: usize) -> impl Iterator<Item = usize> {
        bits(self.0[coordinator])
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.0.iter().map(|set| set.count_ones() as usize).sum()
    }

    pub(crate) fn at(&self, node: usize) -> usize {
        self.0.iter().filter(|set| **set >> node & 1 == 1).count()
    }
}

/// A state in which all must fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Case {
    /// Nothing is lost.
    Normal,
    /// A site is lost, with its nodes and coordinators; their clients come to the other coordinators.
    SiteLost(usize),
    /// A node is lost.
    NodeLost(usize),
}

impl Case {
    /// The same for an operator.
    pub fn words(&self, instance: &Instance) -> String {
        match self {
            Case::Normal => "with nothing lost".into(),
            Case::SiteLost(site) => format!("when {} is lost", instance.sites[*site].name),
            Case::NodeLost(node) => format!("when {} is lost", instance.nodes[*node].name),
        }
    }
}

#[derive(Debug, Clone)]
pub(crate) struct CaseRule {
    pub case: Case,
    /// The nodes that are there.
    pub alive: u128,
    /// Work of each coordinator then.
    pub work: Vec<f64>,
}

/// An instance, ready to be checked.
#[derive(Debug, Clone)]
pub(crate) struct Model {
    /// Share of each book in the load.
    pub shares: Vec<f64>,
    pub replicas: Vec<u128>,
    /// What each node can do, and the part of it that may be planned for.
    pub capacity: Vec<f64>,
    pub room: Vec<f64>,
    pub cases: Vec<CaseRule>,
    /// Most coordinators at a node, most nodes of a coordinator.
    pub at_node: Vec<usize>,
    pub at_coordinator: Vec<usize>,
    pub cost: Vec<f64>,
    /// For each coordinator, the nodes at other sites.
    pub far: Vec<u128>,
    /// Replicas that each book needs at each coordinator, at least.
    pub need: usize,
}

impl Model {
    pub fn new(instance: &Instance) -> Model {
        let work: Vec<f64> = instance.coordinators.iter().map(|c| c.work.values().sum()).collect();
        let all = (0..instance.nodes.len()).fold(0u128, |set, node| set | 1 << node);
        let mut cases = vec![CaseRule { case: Case::Normal, alive: all, work: work.clone() }];
        let degraded =
            |work: &[f64]| work.iter().map(|work| work * instance.survive.share).collect::<Vec<_>>();
        if instance.survive.site && instance.sites.len() > 1 {
            for (s, site) in instance.sites.iter().enumerate() {
                let gone = bits(all).filter(|n| instance.nodes[*n].site == site.name);
                let alive = gone.fold(all, |set, node| set & !(1 << node));
                let stays: Vec<bool> = instance.coordinators.iter().map(|c| c.site != site.name).collect();
                // Where no coordinator is left nobody asks.
                if alive == all || !stays.contains(&true) {
                    continue;
                }
                let kept: f64 = work.iter().zip(&stays).filter(|(_, stays)| **stays).map(|(w, _)| w).sum();
                let (total, left) =
                    (work.iter().sum::<f64>(), stays.iter().filter(|stays| **stays).count() as f64);
                let moved = work.iter().zip(&stays).map(|(work, stays)| match stays {
                    false => 0.0,
                    true if kept > 0.0 => work * total / kept,
                    true => total / left,
                });
                let moved: Vec<f64> = moved.collect();
                cases.push(CaseRule { case: Case::SiteLost(s), alive, work: degraded(&moved) });
            }
        }
        if instance.survive.node {
            for node in bits(all) {
                let alive = all & !(1 << node);
                cases.push(CaseRule { case: Case::NodeLost(node), alive, work: degraded(&work) });
            }
        }
        let place = |name: &String| instance.nodes.iter().position(|node| node.name == *name);
        let set = |names: &Vec<String>| names.iter().filter_map(place).fold(0u128, |set, n| set | 1 << n);
        let capacity: Vec<f64> = instance.nodes.iter().map(|node| node.capacity).collect();
        Model {
            shares: instance.shares(),
            replicas: instance.books.iter().map(|book| set(&book.replicas)).collect(),
            room: capacity.iter().map(|capacity| capacity * instance.headroom).collect(),
            capacity,
            cases,
            at_node: instance.nodes.iter().map(|node| node.connections).collect(),
            at_coordinator: instance.coordinators.iter().map(|c| c.descriptors).collect(),
            cost: instance.nodes.iter().map(|node| node.connection_cost).collect(),
            far: (0..instance.coordinators.len())
                .map(|c| bits(all).filter(|n| instance.crosses(c, *n)).fold(0, |set, n| set | 1 << n))
                .collect(),
            need: if instance.survive.node { 2 } else { 1 },
        }
    }

    /// The same without some constraints.
    pub fn without(&self, dropped: &[Constraint]) -> Model {
        let mut model = self.clone();
        let most: f64 = self.cases.iter().map(|case| case.work.iter().sum::<f64>()).fold(0.0, f64::max);
        for constraint in dropped {
            match constraint {
                Constraint::Demand(book) => model.shares[*book] = 0.0,
                Constraint::Capacity(node) => model.room[*node] = 2.0 * most + 1.0,
                Constraint::In(case) => model.cases.retain(|rule| rule.case != *case),
                Constraint::Connections(node) => model.at_node[*node] = usize::MAX,
                Constraint::Descriptors(coordinator) => model.at_coordinator[*coordinator] = usize::MAX,
            }
        }
        let twice = |rule: &CaseRule| matches!(rule.case, Case::NodeLost(_));
        if model.need == 2 && model.cases.iter().filter(|rule| twice(rule)).count() < model.room.len() {
            model.need = 1;
        }
        model
    }

    /// The nodes that could be of any use to a coordinator.
    pub fn useful(&self, coordinator: usize) -> u128 {
        if self.cases.iter().all(|rule| rule.work[coordinator] == 0.0) {
            return 0;
        }
        let asked = self.replicas.iter().zip(&self.shares).filter(|(_, share)| **share > 0.0);
        asked.fold(0, |set, (replicas, _)| set | replicas)
    }

    /// Demand in a case by the nodes that may take it.
    pub fn demands(&self, rule: &CaseRule, links: &[u128]) -> Demands {
        let mut demands = Demands::default();
        for (links, work) in links.iter().zip(&rule.work).filter(|(_, work)| **work > 0.0) {
            for (replicas, share) in self.replicas.iter().zip(&self.shares) {
                demands.add(replicas & links & rule.alive, work * share);
            }
        }
        demands
    }

    /// The first case that does not fit, looking at those first that failed lately: `order` is kept by the caller.
    pub fn failing(&self, links: &[u128], order: &mut Vec<usize>) -> Option<Case> {
        if order.len() != self.cases.len() {
            *order = (0..self.cases.len()).collect();
        }
        let fails = |n: &usize| {
            let rule = &self.cases[*n];
            let demands = self.demands(rule, links);
            demands.bound_to(0) > 0.0 || matches!(fits(&demands, &self.room), Fit::Over(_))
        };
        let place = order.iter().position(fails)?;
        let found = order.remove(place);
        order.insert(0, found);
        Some(self.cases[found].case)
    }

    /// The worst node's share of use where nothing is lost.
    pub fn worst(&self, links: &[u128]) -> Option<f64> {
        match self.cases.iter().find(|rule| rule.case == Case::Normal) {
            Some(rule) => utilisation(&self.demands(rule, links), &self.capacity),
            None => Some(0.0),
        }
    }

    pub fn price(&self, links: &[u128]) -> f64 {
        links.iter().flat_map(|set| bits(*set)).map(|node| self.cost[node]).sum()
    }

    /// What is to be placed where nothing is lost: of which coordinator, and the parcel.
    pub fn parcels(&self, links: &[u128]) -> Vec<(usize, Parcel)> {
        let mut parcels: Vec<(usize, Parcel)> = Vec::new();
        let Some(rule) = self.cases.iter().find(|rule| rule.case == Case::Normal) else { return parcels };
        for (c, (own, work)) in links.iter().zip(&rule.work).enumerate() {
            let from = parcels.len();
            for (replicas, share) in self.replicas.iter().zip(&self.shares) {
                let (set, amount) = (replicas & own, work * share);
                if amount <= 0.0 {
                    continue;
                }
                match parcels[from..].iter_mut().find(|(_, parcel)| parcel.set == set) {
                    Some((_, parcel)) => parcel.amount += amount,
                    None => parcels.push((c, Parcel { amount, set, dear: self.far[c] })),
                }
            }
        }
        parcels
    }
}
