//! Random instances and a brute force that shares no code with the solver.
#![allow(dead_code)]

use placement::*;
use rand::{rngs::SmallRng, Rng, SeedableRng};

/// A random instance of up to 8 nodes and 3 sites, small enough for the brute force.
pub fn random(seed: u64) -> Instance {
    let mut rng = SmallRng::seed_from_u64(seed);
    let sites = rng.random_range(1..=3usize);
    let nodes = rng.random_range(1..=8usize);
    let coordinators = rng.random_range(1..=(12 / nodes).clamp(1, 3));
    let site = |rng: &mut SmallRng| format!("s{}", rng.random_range(0..sites));
    let capacity = [500.0, 800.0, 1000.0, 2000.0];
    let loose = rng.random_bool(0.6);
    let node = |n: usize, rng: &mut SmallRng| Node {
        name: format!("n{n}"),
        site: if n < sites { format!("s{n}") } else { site(rng) },
        capacity: capacity[rng.random_range(0..4)],
        connections: if loose { coordinators } else { rng.random_range(0..=coordinators) },
        cold_share: 0.28,
        connection_cost: [1.0, 1.0, 2.0, 0.5][rng.random_range(0..4)],
    };
    let nodes: Vec<Node> = (0..nodes).map(|n| node(n, &mut rng)).collect();
    let work: f64 = rng.random_range(20.0..400.0) * nodes.len() as f64;
    let coordinator = |c: usize, rng: &mut SmallRng| Coordinator {
        name: format!("c{c}"),
        site: site(rng),
        descriptors: if loose { nodes.len() } else { rng.random_range(1..=nodes.len()) },
        work: [("view".to_string(), rng.random_range(0.0..1.0) * work / coordinators as f64)].into(),
    };
    let coordinators: Vec<Coordinator> = (0..coordinators).map(|c| coordinator(c, &mut rng)).collect();
    let books = rng.random_range(1..=6usize);
    let ring = rng.random_bool(0.5);
    let replicas = rng.random_range(1..=4usize).min(nodes.len());
    let book = |number: usize, rng: &mut SmallRng| {
        let mut own: Vec<usize> = if ring {
            (0..replicas).map(|j| (number + j) % nodes.len()).collect()
        } else {
            (0..replicas).map(|_| rng.random_range(0..nodes.len())).collect()
        };
        own.sort_unstable();
        own.dedup();
        let replicas = own.into_iter().map(|n| format!("n{n}")).collect();
        Book { number, replicas, demand: [1.0, 1.0, 3.0, 0.0][rng.random_range(0..4)] }
    };
    let mut books: Vec<Book> = (0..books).map(|b| book(b, &mut rng)).collect();
    books[0].demand = 1.0;
    let popular = rng.random_bool(0.3).then_some(Popular { book: 0, share: 0.4 });
    Instance {
        sites: (0..sites).map(|s| Site { name: format!("s{s}"), delay_ms: Vec::new() }).collect(),
        nodes,
        coordinators,
        books,
        popular: popular.into_iter().collect(),
        headroom: [1.0, 0.9, 0.8][rng.random_range(0..3)],
        survive: Survive {
            site: rng.random_bool(0.5),
            node: rng.random_bool(0.5),
            share: [1.0, 0.7][rng.random_range(0..2)],
        },
    }
}

/// The best cost by trying all sets of connections, or nothing where none fits. The worst node's use is the largest
/// demand over capacity among all sets of nodes (Hall's condition for divisible goods); the least crossing is the
/// best value among whole-numbered dual prices.
pub fn brute(instance: &Instance) -> Option<(f64, f64, f64)> {
    let (nodes, coordinators) = (instance.nodes.len(), instance.coordinators.len());
    let plain: f64 = instance.books.iter().map(|b| b.demand).sum();
    let loud: f64 = instance.popular.iter().map(|p| p.share).sum();
    let part: Vec<f64> = instance
        .books
        .iter()
        .map(|b| {
            let own: f64 = instance.popular.iter().filter(|p| p.book == b.number).map(|p| p.share).sum();
            own + if plain > 0.0 { (1.0 - loud) * b.demand / plain } else { 0.0 }
        })
        .collect();
    let holds: Vec<usize> = instance
        .books
        .iter()
        .map(|b| (0..nodes).filter(|n| b.replicas.contains(&instance.nodes[*n].name)).map(|n| 1 << n).sum())
        .collect();
    let work: Vec<f64> = instance.coordinators.iter().map(|c| c.work.values().sum()).collect();
    let whole = (1usize << nodes) - 1;
    // Each state: the nodes that are there, and the work of each coordinator.
    let mut states = vec![(whole, work.clone())];
    if instance.survive.site && instance.sites.len() > 1 {
        for site in &instance.sites {
            let dead: usize =
                (0..nodes).filter(|n| instance.nodes[*n].site == site.name).map(|n| 1 << n).sum();
            let here = |c: &usize| instance.coordinators[*c].site == site.name;
            let stay: Vec<usize> = (0..coordinators).filter(|c| !here(c)).collect();
            if dead == 0 || stay.is_empty() {
                continue;
            }
            let all: f64 = work.iter().sum();
            let rest: f64 = stay.iter().map(|c| work[*c]).sum();
            let mut moved = vec![0.0; coordinators];
            for c in &stay {
                moved[*c] = if rest > 0.0 { work[*c] * all / rest } else { all / stay.len() as f64 };
            }
            states.push((whole & !dead, moved));
        }
    }
    if instance.survive.node {
        (0..nodes).for_each(|n| states.push((whole & !(1 << n), work.clone())));
    }
    let size = |set: usize| -> f64 {
        (0..nodes).filter(|n| set >> n & 1 == 1).map(|n| instance.nodes[n].capacity).sum()
    };
    let sizes: Vec<f64> = (0..=whole).map(size).collect();
    // Demand that can go nowhere but into each set.
    let bound = |links: &[usize], alive: usize, work: &[f64], share: f64| -> Vec<f64> {
        let mut sum = vec![0.0; whole + 1];
        for (own, work) in links.iter().zip(work) {
            for (set, part) in holds.iter().zip(&part) {
                if work * part > 0.0 {
                    sum[set & own & alive] += work * part * share;
                }
            }
        }
        for n in 0..nodes {
            for set in 0..=whole {
                if set >> n & 1 == 1 {
                    sum[set] += sum[set & !(1 << n)];
                }
            }
        }
        sum
    };
    let fits = |links: &[usize], state: usize| {
        let (alive, work) = &states[state];
        let share = if state == 0 { 1.0 } else { instance.survive.share };
        let sum = bound(links, *alive, work, share);
        (0..=whole).all(|set| sum[set] <= sizes[set] * instance.headroom + 1e-6)
    };
    let mut best: Option<(f64, f64, Vec<Vec<usize>>)> = None;
    for choice in 0..1usize << (nodes * coordinators) {
        let links: Vec<usize> = (0..coordinators).map(|c| choice >> (c * nodes) & whole).collect();
        let narrow = links.iter().zip(&instance.coordinators);
        let at = |n: usize| links.iter().filter(|own| **own >> n & 1 == 1).count();
        if narrow.into_iter().any(|(own, c)| own.count_ones() as usize > c.descriptors)
            || (0..nodes).any(|n| at(n) > instance.nodes[n].connections)
        {
            continue;
        }
        let price: f64 = links
            .iter()
            .map(|own| {
                let each = (0..nodes).filter(|n| own >> n & 1 == 1);
                each.map(|n| instance.nodes[n].connection_cost).sum::<f64>()
            })
            .sum();
        if !fits(&links, 0) {
            continue;
        }
        let sum = bound(&links, whole, &work, 1.0);
        let use_of = (1..=whole).map(|set| sum[set] / sizes[set]).fold(0.0, f64::max);
        if let Some((worst, cost, _)) = &best {
            if use_of > worst + 1e-7 || use_of > worst - 1e-7 && price > cost + 1e-7 {
                continue;
            }
        }
        if !(1..states.len()).all(|state| fits(&links, state)) {
            continue;
        }
        match &mut best {
            Some((worst, cost, ties)) if use_of > *worst - 1e-7 && price > *cost - 1e-7 => ties.push(links),
            _ => best = Some((use_of, price, vec![links])),
        }
    }
    let (worst, cost, ties) = best?;
    let across = |links: &Vec<usize>| least_crossing(instance, links, &holds, &part, &work, worst);
    let crossing = ties.iter().map(across).fold(f64::INFINITY, f64::min);
    Some((worst, cost, crossing))
}

/// Dual of the transport problem with prices 0 and 1: a whole-numbered price for each node is enough.
fn least_crossing(
    instance: &Instance,
    links: &[usize],
    holds: &[usize],
    part: &[f64],
    work: &[f64],
    worst: f64,
) -> f64 {
    let nodes = instance.nodes.len();
    let most = if nodes > 6 { 3usize } else { 4 };
    let mut best = 0.0f64;
    for choice in 0..most.pow(nodes as u32) {
        let price: Vec<f64> = (0..nodes).map(|n| (choice / most.pow(n as u32) % most) as f64).collect();
        let mut value: f64 = -(0..nodes).map(|n| worst * instance.nodes[n].capacity * price[n]).sum::<f64>();
        for (c, own) in links.iter().enumerate() {
            let far = |n: usize| instance.nodes[n].site != instance.coordinators[c].site;
            for (set, part) in holds.iter().zip(part).filter(|(_, part)| **part > 0.0) {
                let open = (0..nodes).filter(|n| set & own >> n & 1 == 1 && own >> n & 1 == 1);
                let open = open.filter(|n| set >> n & 1 == 1);
                let least =
                    open.map(|n| f64::from(u8::from(far(n))) + price[n]).fold(f64::INFINITY, f64::min);
                if work[c] > 0.0 {
                    value += work[c] * part * least;
                }
            }
        }
        best = best.max(value);
    }
    best
}
