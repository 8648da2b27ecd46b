//! Branch and bound over connections: each is kept or not, the weights follow by flows.
//!
//! All but the limits on connections get easier with more of them. So what is still open counts as kept when a branch
//! is judged: if that does not fit, nothing below does, and its worst node is a bound for all below. A cover bound
//! tells what the connections of a branch cost at least. The work is bounded in looks at branches, not in time, so
//! that the same instance always gives the same result.

use crate::flow::{bits, cheapest, EPS};
use crate::instance::Instance;
use crate::rules::{Case, Links, Model};
use std::cmp::Ordering;
use std::fmt;

/// How good a placement is, in this order: least is best.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cost {
    /// Work over capacity at the worst node where nothing is lost.
    pub worst: f64,
    /// What all connections cost.
    pub connections: f64,
    /// Work that crosses sites, ms a second.
    pub crossing: f64,
}

/// What counts as equal when costs are compared.
const SAME: f64 = 1e-7;

fn order(a: f64, b: f64, scale: f64) -> Ordering {
    if (a - b).abs() <= SAME * scale.max(1.0) {
        Ordering::Equal
    } else {
        a.total_cmp(&b)
    }
}

impl Cost {
    /// Compares in the stated order, with slack for rounding.
    pub fn order(&self, other: &Cost) -> Ordering {
        order(self.worst, other.worst, 1.0)
            .then_with(|| order(self.connections, other.connections, self.connections))
            .then_with(|| order(self.crossing, other.crossing, self.crossing))
    }
}

impl fmt::Display for Cost {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Cost { worst, connections, crossing } = self;
        write!(
            f,
            "worst node {:.1}%, connections {connections:.1}, crossing {crossing:.1} ms/s",
            worst * 100.0
        )
    }
}

/// How sure it is that nothing is better.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Proof {
    /// Nothing is.
    Optimal,
    /// The work was over first: nothing is better than this.
    Bound(Cost),
}

/// The share of a coordinator's work on a book that a replica gets.
#[derive(Debug, Clone, PartialEq)]
pub struct Weight {
    /// Index of the node.
    pub node: usize,
    /// From 0 to 1; the shares of one book at one coordinator sum to 1.
    pub share: f64,
}

/// By coordinator and book, ascending by node.
pub type Weights = Vec<Vec<Vec<Weight>>>;

/// A placement that keeps all constraints.
#[derive(Debug, Clone, PartialEq)]
pub struct Solution {
    /// The connections that are kept open.
    pub links: Links,
    /// By coordinator and book, ascending by node.
    pub weights: Weights,
    /// Work of each node where nothing is lost, ms a second.
    pub load: Vec<f64>,
    /// How good it is.
    pub cost: Cost,
    /// How sure that is.
    pub proof: Proof,
    /// Branches that were looked at.
    pub looks: u64,
}

impl Solution {
    /// What each node has left, ms a second.
    pub fn spare(&self, instance: &Instance) -> Vec<f64> {
        instance.nodes.iter().zip(&self.load).map(|(node, load)| node.capacity - load).collect()
    }
}

/// What came of solving.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// A placement.
    Fits(Box<Solution>),
    /// None fits; this many branches show it.
    NothingFits(u64),
    /// None was found before the work was over.
    Unknown(u64),
}

/// How much work is done.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Branches that are looked at, at most.
    pub looks: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { looks: 400 }
    }
}

/// Works out the best placement. `watch` hears of each look, with the best cost so far, and ends the work by
/// returning false.
pub fn solve(
    instance: &Instance,
    limits: Limits,
    watch: &mut dyn FnMut(u64, Option<&Cost>) -> bool,
) -> Outcome {
    let model = Model::new(instance);
    let mut search = Search::new(&model, limits, watch);
    search.run();
    match (search.best, search.rest) {
        (Some((cost, links)), rest) => {
            let proof = match rest.filter(|rest| rest.order(&cost) == Ordering::Less) {
                Some(rest) => Proof::Bound(rest),
                None => Proof::Optimal,
            };
            Outcome::Fits(Box::new(describe(&model, links, cost, proof, search.looks)))
        }
        (None, None) => Outcome::NothingFits(search.looks),
        (None, Some(_)) => Outcome::Unknown(search.looks),
    }
}

/// Whether anything fits, or nothing if the work was over first.
pub(crate) fn can_fit(model: &Model, limits: Limits) -> Option<bool> {
    let mut watch = |_: u64, _: Option<&Cost>| true;
    let mut search = Search::new(model, limits, &mut watch);
    search.first = true;
    search.run();
    match (search.best, search.rest) {
        (Some(_), _) => Some(true),
        (None, None) => Some(false),
        (None, Some(_)) => None,
    }
}

/// What is kept and what is still open, by coordinator.
struct Branch {
    kept: Vec<u128>,
    open: Vec<u128>,
    /// Nothing below is better.
    bound: Cost,
}

struct Search<'a> {
    model: &'a Model,
    limits: Limits,
    watch: &'a mut dyn FnMut(u64, Option<&Cost>) -> bool,
    best: Option<(Cost, Vec<u128>)>,
    /// Ends with the first that fits.
    first: bool,
    looks: u64,
    cases: Vec<usize>,
    /// What was left when the work was over: the least bound among it.
    rest: Option<Cost>,
}

/// First placements that are tried.
const GUESSES: usize = 6;

const NO_COST: Cost = Cost { worst: 0.0, connections: 0.0, crossing: 0.0 };

impl<'a> Search<'a> {
    fn new(
        model: &'a Model,
        limits: Limits,
        watch: &'a mut dyn FnMut(u64, Option<&Cost>) -> bool,
    ) -> Search<'a> {
        Search { model, limits, watch, best: None, first: false, looks: 0, cases: Vec::new(), rest: None }
    }

    fn run(&mut self) {
        let useful: Vec<u128> = (0..self.model.far.len()).map(|c| self.model.useful(c)).collect();
        if self.model.failing(&useful, &mut self.cases).is_some() {
            return;
        }
        (0..GUESSES).for_each(|turn| self.guess(&useful, turn));
        let kept = vec![0; useful.len()];
        let mut stack = vec![Branch { kept, open: useful, bound: NO_COST }];
        while let Some(branch) = stack.pop() {
            if self.first && self.best.is_some() {
                return;
            }
            self.looks += 1;
            let goes_on = (self.watch)(self.looks, self.best.as_ref().map(|(cost, _)| cost));
            if self.looks > self.limits.looks || !goes_on {
                stack.push(branch);
                self.rest = stack.iter().map(|branch| branch.bound).min_by(Cost::order);
                return;
            }
            self.look(branch, &mut stack);
        }
    }

    /// Whether the limits on connections hold.
    fn in_limits(&self, links: &[u128]) -> bool {
        let model = self.model;
        let own =
            links.iter().zip(&model.at_coordinator).all(|(set, most)| set.count_ones() as usize <= *most);
        own && (0..model.cost.len()).all(|node| count_at(links, node) <= model.at_node[node])
    }

    /// A first placement: drops connections one by one as long as all fits and the worst node gets no worse; first
    /// where a limit is exceeded, dearest first, and by turns among coordinators and nodes.
    fn guess(&mut self, useful: &[u128], kind: usize) {
        let model = self.model;
        let mut links = useful.to_vec();
        let Some(worst) = model.worst(&links) else { return };
        let mut most = if self.in_limits(&links) { worst } else { f64::INFINITY };
        for last in [false, true] {
            let mut pairs: Vec<(usize, usize)> = Vec::new();
            for (c, set) in links.iter().enumerate() {
                pairs.extend(bits(*set).map(|node| (c, node)));
            }
            // Every second or third node of a coordinator first, or in a mixed order.
            let count = model.cost.len();
            let turn = |c: usize, node: usize| match kind {
                0 | 1 => ((node + c) % (kind + 2), node),
                _ => ((node * (2 * kind + 1) + c * 3) % count, node),
            };
            let near = |(c, node): (usize, usize)| kind % 2 == 1 && model.far[c] >> node & 1 == 0;
            pairs.sort_by(|a, b| {
                let dear = model.cost[b.1].total_cmp(&model.cost[a.1]);
                dear.then(near(*a).cmp(&near(*b))).then(turn(a.0, a.1).cmp(&turn(b.0, b.1))).then(a.cmp(b))
            });
            for (c, node) in pairs {
                let over = links[c].count_ones() as usize > model.at_coordinator[c]
                    || count_at(&links, node) > model.at_node[node];
                if !last && !over {
                    continue;
                }
                let held = links[c];
                links[c] &= !(1 << node);
                let fits = self.model.failing(&links, &mut self.cases).is_none()
                    && model.worst(&links).is_some_and(|now| order(now, most, 1.0) != Ordering::Greater);
                if !fits {
                    links[c] = held;
                }
            }
            if !self.in_limits(&links) {
                return;
            }
            most = model.worst(&links).unwrap_or(most);
        }
        self.offer(links);
    }

    /// Takes a placement that keeps all constraints if it is the best so far.
    fn offer(&mut self, links: Vec<u128>) {
        let Some(cost) = self.cost(&links) else { return };
        if self.best.as_ref().is_none_or(|(best, _)| cost.order(best) == Ordering::Less) {
            self.best = Some((cost, links));
        }
    }

    fn cost(&self, links: &[u128]) -> Option<Cost> {
        let worst = self.model.worst(links)?;
        let connections = self.model.price(links);
        Some(Cost { worst, connections, crossing: crossing(self.model, links, worst).1 })
    }

    fn look(&mut self, branch: Branch, stack: &mut Vec<Branch>) {
        let model = self.model;
        let most: Vec<u128> = branch.kept.iter().zip(&branch.open).map(|(kept, open)| kept | open).collect();
        if !self.in_limits(&branch.kept) || model.failing(&most, &mut self.cases).is_some() {
            return;
        }
        let Some(worst) = model.worst(&most) else { return };
        let mut bound = Cost { worst, connections: self.cover(&branch), crossing: 0.0 };
        if let Some((best, _)) = &self.best {
            if bound.order(best) == Ordering::Greater {
                return;
            }
            let tied = order(bound.worst, best.worst, 1.0) == Ordering::Equal
                && order(bound.connections, best.connections, best.connections) == Ordering::Equal;
            if tied {
                // More connections never make more cross.
                bound.crossing = crossing(model, &most, worst).1;
                if bound.order(best) != Ordering::Less {
                    return;
                }
            }
        }
        let open = branch.open.iter().map(|set| set.count_ones()).sum::<u32>();
        if open == 0 {
            return self.offer(branch.kept);
        }
        if self.in_limits(&most) {
            self.offer(most);
            if self.first {
                return;
            }
        }
        // The dearest open connection of the coordinator with most of them.
        let c = (0..branch.open.len()).max_by_key(|c| (branch.open[*c].count_ones(), usize::MAX - c));
        let Some(c) = c else { return };
        let dearest = |a: &usize, b: &usize| model.cost[*a].total_cmp(&model.cost[*b]).then(b.cmp(a));
        let Some(node) = bits(branch.open[c]).max_by(dearest) else { return };
        let (mut kept, mut open) = (branch.kept.clone(), branch.open);
        open[c] &= !(1 << node);
        kept[c] |= 1 << node;
        stack.push(Branch { kept, open: open.clone(), bound });
        stack.push(Branch { kept: branch.kept, open, bound });
    }

    /// What the connections of a branch cost at least: each book that is asked for needs some replicas at each
    /// coordinator. Each missing one is priced at the least share that it could have in a node's cost (a feasible
    /// dual of the cover).
    fn cover(&self, branch: &Branch) -> f64 {
        let model = self.model;
        let mut sum = 0.0;
        for (c, (kept, open)) in branch.kept.iter().zip(&branch.open).enumerate() {
            if model.useful(c) == 0 {
                continue;
            }
            let work = model.cases.iter().find(|rule| rule.case == Case::Normal).map_or(0.0, |r| r.work[c]);
            let need = if work > 0.0 { model.need } else { 1 };
            let asked = model.replicas.iter().zip(&model.shares).filter(|(_, share)| **share > 0.0);
            let missing =
                asked.map(|(set, _)| (*set, need.saturating_sub((set & kept).count_ones() as usize)));
            let missing: Vec<(u128, usize)> = missing.filter(|(_, missing)| *missing > 0).collect();
            let holds = |node: usize| missing.iter().filter(|(set, _)| set >> node & 1 == 1).count();
            let mut each = vec![f64::INFINITY; model.cost.len()];
            for node in bits(*open) {
                each[node] = model.cost[node] / holds(node).max(1) as f64;
            }
            let price = |set: u128| bits(set & open).map(|node| each[node]).fold(f64::INFINITY, f64::min);
            let least: f64 = missing
                .iter()
                .map(|(set, count)| *count as f64 * price(*set))
                .filter(|p| p.is_finite())
                .sum();
            // Where all cost the same, there are only whole ones.
            let unit = bits(*open).map(|node| model.cost[node]).reduce(|a, b| if a == b { a } else { 0.0 });
            let unit = unit.unwrap_or(0.0);
            sum += if unit > 0.0 { ((least / unit) - 1e-6).ceil().max(0.0) * unit } else { least };
        }
        sum + model.price(&branch.kept)
    }
}

fn count_at(links: &[u128], node: usize) -> usize {
    links.iter().filter(|set| **set >> node & 1 == 1).count()
}

/// The weights by which least work crosses while the worst node is used no more than `worst`, and that work.
fn crossing(model: &Model, links: &[u128], worst: f64) -> (Vec<Vec<f64>>, f64) {
    let parcels: Vec<_> = model.parcels(links).into_iter().map(|(_, parcel)| parcel).collect();
    let slack = EPS * parcels.iter().map(|parcel| parcel.amount).sum::<f64>().max(1.0);
    let room: Vec<f64> = model.capacity.iter().map(|capacity| capacity * worst + slack).collect();
    cheapest(&parcels, &room)
}

/// The solution with its weights, from the connections.
fn describe(model: &Model, links: Vec<u128>, cost: Cost, proof: Proof, looks: u64) -> Solution {
    let parcels = model.parcels(&links);
    let (sent, _) = crossing(model, &links, cost.worst);
    let mut load = vec![0.0; model.cost.len()];
    for row in &sent {
        row.iter().enumerate().for_each(|(node, amount)| load[node] += amount);
    }
    let weight = |c: usize, replicas: u128| {
        let set = replicas & links[c];
        let place = parcels.iter().position(|(own, parcel)| *own == c && parcel.set == set);
        let Some(place) = place else {
            let share = 1.0 / set.count_ones().max(1) as f64;
            return bits(set).map(|node| Weight { node, share }).collect::<Vec<_>>();
        };
        let all: f64 = sent[place].iter().sum();
        let each = bits(set).map(|node| Weight { node, share: (sent[place][node] / all).max(0.0) });
        each.collect()
    };
    let weights =
        (0..links.len()).map(|c| model.replicas.iter().map(|set| weight(c, *set)).collect()).collect();
    Solution { links: Links(links), weights, load, cost, proof, looks }
}

/// What a placement breaks; indexes are those of the instance.
#[derive(Debug, Clone, PartialEq)]
pub enum Broken {
    /// A weight where the book is not held, or no connection is kept: coordinator, book and node.
    Elsewhere(usize, usize, usize),
    /// The weights of a coordinator on a book sum to this in place of 1.
    Sum(usize, usize, f64),
    /// Work of a node, and what may be planned for it, ms a second.
    Overload(usize, f64, f64),
    /// More coordinators than a node bears, so many.
    Connections(usize, usize),
    /// More nodes than a coordinator has descriptors for, so many.
    Descriptors(usize, usize),
    /// What is left does not do in this case.
    Lost(Case),
}

impl Broken {
    /// The same for an operator, by names.
    pub fn words(&self, instance: &Instance) -> String {
        let coordinator = |c: &usize| &instance.coordinators[*c].name;
        let node = |n: &usize| &instance.nodes[*n].name;
        let book = |b: &usize| instance.books[*b].number;
        match self {
            Broken::Elsewhere(c, b, n) => {
                let (c, b, n) = (coordinator(c), book(b), node(n));
                format!("{c}, book {b}: {n} does not hold it, or {c} keeps no connection to {n}")
            }
            Broken::Sum(c, b, sum) => {
                format!("{}, book {}: the weights sum to {sum:.3}", coordinator(c), book(b))
            }
            Broken::Overload(n, load, room) => {
                format!("{}: {load:.0} ms/s, of which {room:.0} may be planned", node(n))
            }
            Broken::Connections(n, count) => {
                let most = instance.nodes[*n].connections;
                format!("{}: {count} coordinators connect, it takes {most}", node(n))
            }
            Broken::Descriptors(c, count) => {
                let most = instance.coordinators[*c].descriptors;
                format!("{}: {count} connections, it has descriptors for {most}", coordinator(c))
            }
            Broken::Lost(case) => {
                format!(
                    "{}, the demand does not fit over the connections that are kept",
                    case.words(instance)
                )
            }
        }
    }
}

/// Checks a placement against all constraints, whoever made it.
pub fn check(instance: &Instance, links: &Links, weights: &[Vec<Vec<Weight>>]) -> Vec<Broken> {
    let model = Model::new(instance);
    let mut broken = Vec::new();
    let mut load = vec![0.0; model.cost.len()];
    for (coordinator, books) in weights.iter().enumerate() {
        let work: f64 = instance.coordinators[coordinator].work.values().sum();
        for (book, each) in books.iter().enumerate() {
            let asked = work * model.shares[book];
            for Weight { node, share } in each {
                load[*node] += asked * share;
                if *share > 0.0 && (model.replicas[book] & links.0[coordinator]) >> node & 1 == 0 {
                    broken.push(Broken::Elsewhere(coordinator, book, *node));
                }
            }
            let sum: f64 = each.iter().map(|weight| weight.share).sum();
            if asked > 0.0 && (sum - 1.0).abs() > 1e-6 {
                broken.push(Broken::Sum(coordinator, book, sum));
            }
        }
    }
    for (node, (load, room)) in load.iter().zip(&model.room).enumerate() {
        if *load > room * (1.0 + 1e-6) + 1e-6 {
            broken.push(Broken::Overload(node, *load, *room));
        }
        let count = links.at(node);
        if count > model.at_node[node] {
            broken.push(Broken::Connections(node, count));
        }
    }
    for (coordinator, set) in links.0.iter().enumerate() {
        let count = set.count_ones() as usize;
        if count > model.at_coordinator[coordinator] {
            broken.push(Broken::Descriptors(coordinator, count));
        }
    }
    for rule in &model.cases {
        let mut one = model.clone();
        one.cases.retain(|other| other.case == rule.case);
        if one.failing(&links.0, &mut Vec::new()).is_some() {
            broken.push(Broken::Lost(rule.case));
        }
    }
    broken
}
