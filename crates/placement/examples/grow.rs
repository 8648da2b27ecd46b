//! How the time to solve grows with the number of nodes: a ring of sites, each node holding parts of books, as in
//! service. `cargo run --release -p placement --example grow [LOOKS]`

use placement::*;
use std::time::Instant;

fn ring(nodes: usize, use_of: f64, popular: bool) -> Instance {
    let site = |n: usize| ["lac-2", "charguia", "ariana"][n % 3].to_string();
    let capacity = |n: usize| 2000.0 * [1.0, 0.8, 1.2][n / 3 % 3];
    let all: f64 = (0..nodes).map(capacity).sum();
    let node = |n| Node {
        name: format!("n{n}"),
        site: site(n),
        capacity: capacity(n),
        connections: 4,
        cold_share: 0.28,
        connection_cost: 1.0,
    };
    let coordinator = |c: usize| Coordinator {
        name: format!("c{c}"),
        site: site(c),
        descriptors: nodes,
        work: [("all".to_string(), use_of * all * [0.4, 0.3, 0.2, 0.1][c])].into(),
    };
    let book = |b: usize| Book {
        number: b,
        replicas: (0..4).map(|j| format!("n{}", (b / 2 + j) % nodes)).collect(),
        demand: 1.0,
    };
    Instance {
        sites: (0..3).map(|s| Site { name: site(s), delay_ms: Vec::new() }).collect(),
        nodes: (0..nodes).map(node).collect(),
        coordinators: (0..4).map(coordinator).collect(),
        books: (0..2 * nodes).map(book).collect(),
        popular: if popular { vec![Popular { book: 3, share: 0.1 }] } else { Vec::new() },
        headroom: 0.9,
        survive: Survive { site: true, node: true, share: 1.0 },
    }
}

fn main() {
    let looks = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(Limits::default().looks);
    println!("nodes  use  popular  time_ms  looks  outcome");
    for nodes in [8, 12, 16, 23, 32, 50, 75, 100] {
        for (use_of, popular) in [(0.4, false), (0.4, true), (0.58, false), (0.9, false)] {
            let instance = ring(nodes, use_of, popular);
            let began = Instant::now();
            let outcome = solve(&instance, Limits { looks }, &mut |_, _| true);
            let ms = began.elapsed().as_secs_f64() * 1000.0;
            let (looks, text) = match &outcome {
                Outcome::Fits(found) => (found.looks, format!("{}; {:?}", found.cost, found.proof)),
                Outcome::NothingFits(looks) => {
                    let why = explain(&instance, Limits { looks: 2000 });
                    (*looks, format!("nothing fits: {}", why.ok().flatten().map_or("?".into(), |c| c.words)))
                }
                Outcome::Unknown(looks) => (*looks, "unknown".into()),
            };
            println!("{nodes:5}  {use_of:.2}  {popular:7}  {ms:7.0}  {looks:5}  {text}");
        }
    }
}
