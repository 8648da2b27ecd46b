//! What a placement does, over cores without sockets and stand-in nodes in simulated time: the worst node's use,
//! connections opened and work that crosses sites, with and without a placement, before and after a site is lost.
//!
//!     cargo run --release --example placement_effect

use placement::{solve, Book, Coordinator, Instance, Limits, Node, Outcome, Placement, Site, Survive};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use steppick::core::{AttemptId, Core, Effect, Input, NewQuery};
use steppick::favours::Favours;
use steppick::settings::Transport;
use steppick::*;

const NODES: usize = 23;
const SITES: [&str; 3] = ["lac-2", "charguia", "ariana"];
/// Share of the queries that reach each coordinator.
const ARRIVALS: [f64; 4] = [0.4, 0.3, 0.2, 0.1];
/// Queries a second, parts of each, and mean work of a part, ms.
const RATE: f64 = 40.0;
const PARTS: usize = 4;
const WORK: f64 = 100.0;
/// Cores of a node; one way between sites and inside one, ms.
const CORES: usize = 2;
const DELAY: (f64, f64) = (1.0, 0.1);
/// When a site is lost, when that is told, and when the run ends, ms.
const LOST_AT: f64 = 60_000.0;
const TOLD_AT: f64 = 62_000.0;
const END: f64 = 120_000.0;
/// The lost site.
const LOST: &str = "charguia";

fn site(n: usize) -> &'static str {
    SITES[n % 3]
}

fn instance() -> Instance {
    let node = |n: usize| Node {
        name: format!("n{n}"),
        site: site(n).into(),
        capacity: 1000.0 * CORES as f64,
        connections: 4,
        cold_share: 0.28,
        connection_cost: 1.0,
    };
    let all = RATE * PARTS as f64 * WORK;
    let coordinator = |c: usize| Coordinator {
        name: format!("c{c}"),
        site: site(c).into(),
        descriptors: NODES,
        work: [("book-view".to_string(), all * ARRIVALS[c])].into(),
    };
    let book = |number: usize| Book {
        number,
        replicas: (0..4).map(|j| format!("n{}", (number + j) % NODES)).collect(),
        demand: 1.0,
    };
    Instance {
        sites: SITES.iter().map(|name| Site { name: name.to_string(), delay_ms: Vec::new() }).collect(),
        nodes: (0..NODES).map(node).collect(),
        coordinators: (0..4).map(coordinator).collect(),
        books: (0..NODES).map(book).collect(),
        popular: Vec::new(),
        headroom: 0.9,
        survive: Survive { site: true, node: true, share: 1.0 },
    }
}

fn settings(c: usize) -> Settings {
    let class = Class {
        aim: 2500.0,
        deadline: 7500.0,
        worth: 1.0,
        late_share: 0.3,
        effect: steppick::Effect::Safe,
        whole_at: 1.0,
        floor: 1.0,
        partial_earns: 0.9,
        fetch: 0,
    };
    Settings {
        siblings: 4,
        zone: site(c).into(),
        classes: vec![class],
        cells: NODES,
        reach: 4,
        parts_a_call: 1,
        call_cost: 0.0,
        must_subscribe: false,
        ask_within: 10_000.0,
        period: 5.0,
        may_cancel: true,
        may_copy: true,
        may_probe: false,
        probe_reports: false,
        may_advise: true,
        advice_limit: 500.0,
        try_limit: 3,
        cold_from: 0.28,
        cold_time: 13_000.0,
        fall_multiple: 2.5,
        overload_time: 1000.0,
        worth_by_work: false,
        cross_zone_fee: 1.0,
        probe_fee: 0.0,
        budget: None,
    }
}

const TRANSPORT: Transport =
    Transport { dial_timeout: 250.0, idle_close: 15_000.0, streams: 100, max_open: 10_000, shards: NODES };

fn listed(lost: bool) -> Vec<Listed> {
    let entry = |n: usize| Listed {
        id: ReplicaId(n as u32 + 1),
        cell: n,
        zone: site(n).into(),
        model: "std-2c".into(),
        size: 1.0,
        born: None,
        lifecycle: if lost && site(n) == LOST { Lifecycle::Off } else { Lifecycle::On },
    };
    (0..NODES).map(entry).collect()
}

/// What one half of a run came to.
#[derive(Default, Clone)]
struct Half {
    work: Vec<f64>,
    crossing: f64,
    /// Connections that were opened: the first send of a coordinator to a node, and again after it stood idle.
    opened: usize,
    used: BTreeSet<(usize, usize)>,
    /// Sends over connections that the placement plans, and all.
    planned: (usize, usize),
    answered: usize,
    not: usize,
    times: Vec<f64>,
}

fn run(plan: &Placement, placed: Option<&Placement>, seed: u64) -> [Half; 2] {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut cores: Vec<Core<()>> =
        (0..4).map(|c| Core::new(settings(c), TRANSPORT, seed * 10 + c as u64)).collect();
    let mut inputs: Vec<Vec<Input<()>>> = vec![vec![Input::List(ListKind::Replace, listed(false))]; 4];
    if let Some(placement) = placed {
        for (c, core) in cores.iter_mut().enumerate() {
            let mut favours = Favours::default();
            favours
                .listed(&(0..NODES).map(|n| (ReplicaId(n as u32 + 1), format!("n{n}"))).collect::<Vec<_>>());
            favours.placed(placement.coordinators.get(&format!("c{c}")).cloned());
            core.favour(favours.resolve().0);
        }
    }
    let mut halves = [Half { work: vec![0.0; NODES], ..Half::default() }, Half::default()];
    halves[1] = halves[0].clone();
    let mut free = vec![[0.0f64; CORES]; NODES];
    // Replies on their way: when, to whom, which.
    let mut replies: BTreeMap<(u64, usize, AttemptId), ()> = BTreeMap::new();
    let mut last: BTreeMap<(usize, usize), f64> = BTreeMap::new();
    let mut asked: BTreeMap<(usize, RequestId), f64> = BTreeMap::new();
    let gone = |c: usize, now: f64| now >= LOST_AT && site(c) == LOST;
    let (mut now, mut next) = (0.0f64, 0.0f64);
    let mut told = false;
    while now < END {
        let half = usize::from(now >= LOST_AT);
        while next <= now {
            let mut c = 0;
            let mut draw = rng.random::<f64>();
            while c < 3 && draw >= ARRIVALS[c] {
                draw -= ARRIVALS[c];
                c += 1;
            }
            // The front deals a lost coordinator's clients out to the others.
            while gone(c, now) {
                c = rng.random_range(0..4);
            }
            let id = cores[c].new_id();
            let from = rng.random_range(0..NODES);
            let parts = (0..PARTS).map(|p| ((from + p) % NODES, 1.0 / PARTS as f64)).collect();
            let query =
                NewQuery { class: 0, expires_at: now + 7500.0, retry: false, parts, work: Vec::new() };
            inputs[c].push(Input::Query(id, query));
            asked.insert((c, id), now);
            next += -(1.0 - rng.random::<f64>()).ln() / RATE * 1000.0;
        }
        while let Some((&(at, c, id), ())) =
            replies.first_key_value().filter(|((at, ..), ())| *at as f64 <= now * 1e3)
        {
            replies.remove(&(at, c, id));
            inputs[c].push(Input::Served(id, 0, ()));
        }
        if now >= TOLD_AT && !told {
            told = true;
            inputs.iter_mut().for_each(|inputs| inputs.push(Input::List(ListKind::Update, listed(true))));
        }
        for c in (0..4).filter(|c| !gone(*c, now)) {
            if inputs[c].is_empty() && cores[c].next_step().is_none_or(|at| at > now) {
                continue;
            }
            let mut effects = Vec::new();
            cores[c].step(now, std::mem::take(&mut inputs[c]), &mut effects);
            for effect in effects {
                match effect {
                    Effect::Send(send) => {
                        let n = send.replica.0 as usize - 1;
                        let known = last.insert((c, n), now);
                        halves[half].opened += usize::from(known.is_none_or(|at| now - at > 12_000.0));
                        halves[half].used.insert((c, n));
                        let wanted = plan.coordinators[&format!("c{c}")].warm.contains(&format!("n{n}"));
                        halves[half].planned.0 += usize::from(wanted);
                        halves[half].planned.1 += 1;
                        let delay = if site(n) == site(c) { DELAY.1 } else { DELAY.0 };
                        if now >= LOST_AT && site(n) == LOST {
                            continue;
                        }
                        let work = WORK * rng.random_range(0.5..1.5);
                        halves[half].work[n] += work;
                        halves[half].crossing += if site(n) == site(c) { 0.0 } else { work };
                        let core = (0..CORES).min_by(|a, b| free[n][*a].total_cmp(&free[n][*b])).unwrap_or(0);
                        let end = free[n][core].max(now + delay) + work;
                        free[n][core] = end;
                        if !(site(n) == LOST && end >= LOST_AT) {
                            replies.insert((((end + delay) * 1e3) as u64, c, send.attempt), ());
                        }
                    }
                    Effect::Answer(id, ..) => {
                        halves[half].answered += 1;
                        halves[half].times.extend(asked.remove(&(c, id)).map(|at| now - at));
                    }
                    Effect::Refuse(..) | Effect::Fail(..) => halves[half].not += 1,
                    _ => {}
                }
            }
        }
        now += 1.0;
    }
    halves
}

fn main() {
    let instance = instance();
    let Outcome::Fits(solution) = solve(&instance, Limits::default(), &mut |_, _| true) else {
        return println!("nothing fits");
    };
    println!("{} nodes, 3 sites, 4 coordinators; planned: {}, {:?}", NODES, solution.cost, solution.proof);
    let placement = Placement::of(&instance, &solution, 1);
    println!("placed  half         seed  worst%  pairs  opened  planned%  crossing%  answered  not  p50_ms  p99_ms");
    for seed in [1, 2, 3] {
        for (name, placed) in [("no", None), ("yes", Some(&placement))] {
            for (mut half, when) in run(&placement, placed, seed).into_iter().zip(["all there", "site lost"])
            {
                let worst = half.work.iter().copied().fold(0.0, f64::max) / (LOST_AT * CORES as f64) * 100.0;
                let all: f64 = half.work.iter().sum();
                half.times.sort_by(f64::total_cmp);
                let at = |share: f64| half.times[(half.times.len() as f64 * share) as usize];
                println!(
                    "{name:6}  {when:11}  {seed:4}  {worst:6.1}  {:5}  {:6}  {:8.1}  {:9.1}  {:8}  {:3}  {:6.0}  {:6.0}",
                    half.used.len(),
                    half.opened,
                    100.0 * half.planned.0 as f64 / half.planned.1 as f64,
                    half.crossing / all * 100.0,
                    half.answered,
                    half.not,
                    at(0.5),
                    at(0.99),
                );
            }
        }
    }
}
