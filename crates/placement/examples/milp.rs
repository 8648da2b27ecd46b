//! The other way, for comparison: the same connections as a mixed integer programme (crate `microlp`), with one copy of
//! all flows for each case. Prints how long each takes to find the cheapest connections for the worst node's use that
//! branch and bound found. `cargo run --release -p placement --example milp [MOST_NODES]`

use microlp::{ComparisonOp, OptimizationDirection, Problem, Variable};
use placement::*;
use std::time::Instant;

fn ring(nodes: usize) -> Instance {
    let site = |n: usize| ["lac-2", "charguia", "ariana"][n % 3].to_string();
    let node = |n| Node {
        name: format!("n{n}"),
        site: site(n),
        capacity: 2000.0,
        connections: 2,
        cold_share: 0.28,
        connection_cost: 1.0 + 0.1 * (n % 4) as f64,
    };
    let coordinator = |c: usize| Coordinator {
        name: format!("c{c}"),
        site: site(c),
        descriptors: nodes,
        work: [("all".to_string(), 800.0 * nodes as f64 * [0.6, 0.4][c])].into(),
    };
    let book = |b: usize| Book {
        number: b,
        replicas: (0..4.min(nodes)).map(|j| format!("n{}", (b + j) % nodes)).collect(),
        demand: 1.0,
    };
    Instance {
        sites: (0..3).map(|s| Site { name: site(s), delay_ms: Vec::new() }).collect(),
        nodes: (0..nodes).map(node).collect(),
        coordinators: (0..2).map(coordinator).collect(),
        books: (0..nodes).map(book).collect(),
        popular: Vec::new(),
        headroom: 0.9,
        survive: Survive { site: false, node: true, share: 1.0 },
    }
}

/// The price of the cheapest connections at no more than `worst` use, with any one node lost.
fn milp(instance: &Instance, worst: f64) -> Option<f64> {
    let mut problem = Problem::new(OptimizationDirection::Minimize);
    let (nodes, coordinators) = (instance.nodes.len(), instance.coordinators.len());
    let mut keep = |node: usize| problem.add_binary_var(instance.nodes[node].connection_cost);
    let links: Vec<Vec<Variable>> = (0..coordinators).map(|_| (0..nodes).map(&mut keep).collect()).collect();
    let shares = instance.shares();
    for lost in std::iter::once(None).chain((0..nodes).map(Some)) {
        let mut at_node: Vec<Vec<(Variable, f64)>> = vec![Vec::new(); nodes];
        for (c, coordinator) in instance.coordinators.iter().enumerate() {
            let work: f64 = coordinator.work.values().sum();
            for (book, share) in instance.books.iter().zip(&shares) {
                let holders = (0..nodes).filter(|n| book.replicas.contains(&instance.nodes[*n].name));
                let mut whole = Vec::new();
                for node in holders.filter(|n| Some(*n) != lost) {
                    let part = problem.add_var(0.0, (0.0, 1.0));
                    problem.add_constraint([(part, 1.0), (links[c][node], -1.0)], ComparisonOp::Le, 0.0);
                    at_node[node].push((part, work * share));
                    whole.push((part, 1.0));
                }
                problem.add_constraint(whole, ComparisonOp::Eq, 1.0);
            }
        }
        for (node, load) in at_node.into_iter().enumerate() {
            let most = if lost.is_none() { worst.min(instance.headroom) } else { instance.headroom };
            problem.add_constraint(load, ComparisonOp::Le, instance.nodes[node].capacity * most + 1e-6);
        }
    }
    problem.solve().ok().map(|solution| solution.objective())
}

fn main() {
    let most = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(6);
    println!("nodes  branch_and_bound_ms  price  proof    milp_ms  price");
    for nodes in 4..=most {
        let instance = ring(nodes);
        let began = Instant::now();
        let Outcome::Fits(found) = solve(&instance, Limits { looks: 200_000 }, &mut |_, _| true) else {
            continue;
        };
        let ours = began.elapsed().as_secs_f64() * 1000.0;
        let began = Instant::now();
        let other = milp(&instance, found.cost.worst);
        let theirs = began.elapsed().as_secs_f64() * 1000.0;
        let proof = if found.proof == Proof::Optimal { "proved" } else { "bound" };
        let price = other.map_or("none".to_string(), |price| format!("{price:.2}"));
        println!("{nodes:5}  {ours:19.1}  {:5.2}  {proof:7}  {theirs:7.1}  {price}", found.cost.connections);
    }
}
