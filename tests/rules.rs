//! Seeded property test: random settings and event streams, every rule checked on every action.

mod common;

use common::*;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::collections::BTreeMap;
use steppick::*;

struct Asked {
    query: RequestId,
    shard: usize,
    weight: f64,
    second: bool,
    attempts: Vec<(ReplicaId, f64, Option<Outcome>)>,
    passed: bool,
}

struct Open {
    class: usize,
    parts: Vec<RequestId>,
    expires_at: f64,
    second: bool,
    first_whole: bool,
}

fn random_settings(rng: &mut SmallRng) -> Settings {
    let classes = (0..rng.random_range(1..4)).map(|_| {
        let whole_at = [1.0, 1.0, 0.67][rng.random_range(0..3)];
        Class {
            aim: rng.random_range(200.0..1500.0),
            late_share: [0.0, 0.3][rng.random_range(0..2)],
            effect: [Effect::Safe, Effect::Keyed(300.0), Effect::Unsafe][rng.random_range(0..3)],
            whole_at,
            floor: if whole_at == 1.0 { [1.0, 0.6][rng.random_range(0..2)] } else { whole_at },
            fetch: [0, 2][rng.random_range(0..2)],
            ..class()
        }
    });
    Settings {
        classes: classes.collect(),
        siblings: rng.random_range(1..20),
        cells: rng.random_range(1..5),
        reach: rng.random_range(1..3),
        parts_a_call: [1, 4, 8][rng.random_range(0..3)],
        call_cost: [0.0, 30.0][rng.random_range(0..2)],
        must_subscribe: rng.random(),
        may_cancel: rng.random(),
        may_copy: rng.random(),
        may_probe: rng.random(),
        probe_reports: rng.random(),
        may_advise: rng.random(),
        try_limit: rng.random_range(1..5),
        cross_zone_fee: [0.0, 0.04][rng.random_range(0..2)],
        budget: rng.random::<bool>().then_some(Budget { free: 3.0, share: 0.1, window: 5000.0 }),
        ..settings()
    }
}

fn run(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let set = random_settings(&mut rng);
    let mut aggregator = Aggregator::new(set.clone(), seed);
    let servers = rng.random_range(0..9u32);
    let mut cell_of: BTreeMap<ReplicaId, usize> = BTreeMap::new();
    let mut state: BTreeMap<ReplicaId, Lifecycle> = BTreeMap::new();
    let mut entries = Vec::new();
    for id in 0..servers {
        let cell = rng.random_range(0..set.cells);
        cell_of.insert(ReplicaId(id), cell);
        state.insert(ReplicaId(id), Lifecycle::On);
        entries.push(listed(id, cell));
    }
    let mut events = vec![list(ListKind::Restored, entries)];
    let (mut now, mut next, mut number) = (1000.0, 1u64, 0u64);
    let mut open: BTreeMap<RequestId, Open> = BTreeMap::new();
    let mut parts: BTreeMap<RequestId, Asked> = BTreeMap::new();
    let mut numbers: BTreeMap<RequestId, u64> = BTreeMap::new();
    let (mut taken, mut extra): (Vec<f64>, Vec<f64>) = (Vec::new(), Vec::new());
    let (mut copies, mut firsts) = (0, 0);
    let mut more: Vec<RequestId> = Vec::new();
    let mut wake: Option<f64> = None;
    for tick in 0..1500 {
        let asking = tick < 1000;
        // Second steps asked for in the last tick.
        for query in more.drain(..) {
            let Some(held) = open.get_mut(&query) else { continue };
            let count = set.classes[held.class].fetch;
            for _ in 0..count {
                let id = RequestId(next);
                next += 1;
                let shard = parts[&held.parts[0]].shard;
                let weight = 1.0 / count as f64;
                events.push(Event::Part { id, number: numbers[&query], shard, weight, work: None });
                taken.push(now);
                held.parts.push(id);
                let asked = Asked { query, shard, weight, second: true, attempts: vec![], passed: false };
                parts.insert(id, asked);
            }
        }
        if asking && rng.random_bool(0.15) {
            let class = rng.random_range(0..set.classes.len());
            let count = rng.random_range(1..7);
            let query = RequestId(next);
            next += 1;
            let expires_in = rng.random_range(100.0..2500.0);
            events.push(Event::Query { id: query, class, number, parts: count, expires_in, retry: false });
            taken.push(now);
            let mut held = Open {
                class,
                parts: vec![],
                expires_at: now + expires_in,
                second: false,
                first_whole: false,
            };
            for n in 0..count {
                let id = RequestId(next);
                next += 1;
                let weight = 1.0 / count as f64;
                events.push(Event::Part { id, number, shard: n, weight, work: None });
                taken.push(now);
                held.parts.push(id);
                let asked = Asked { query, shard: n, weight, second: false, attempts: vec![], passed: false };
                parts.insert(id, asked);
            }
            numbers.insert(query, number);
            open.insert(query, held);
            number += 1;
        }
        for (part, asked) in &mut parts {
            for (attempt, (replica, at, ended)) in asked.attempts.iter_mut().enumerate() {
                if ended.is_some() || !rng.random_bool(0.06) {
                    continue;
                }
                let outcome = match rng.random_range(0..16) {
                    0 => Outcome::Fault,
                    1 => Outcome::NoRoom,
                    2 => Outcome::NoRoute,
                    3 => Outcome::Cut,
                    4 => Outcome::TooSlow,
                    _ => Outcome::Pass,
                };
                *ended = Some(outcome);
                asked.passed |= outcome == Outcome::Pass;
                let (part, replica, elapsed) = (*part, *replica, now - *at);
                events.push(Event::Done { part, attempt, replica, outcome, elapsed });
            }
        }
        if servers > 0 && rng.random_bool(0.01) {
            let id = rng.random_range(0..servers);
            let lifecycle = [Lifecycle::On, Lifecycle::Fading, Lifecycle::Off][rng.random_range(0..3)];
            state.insert(ReplicaId(id), lifecycle);
            let born = rng.random::<bool>().then_some(now);
            events.push(list(
                ListKind::Update,
                vec![Listed { born, ..with(id, cell_of[&ReplicaId(id)], lifecycle) }],
            ));
        }
        if rng.random_bool(0.01) {
            events.push(list(ListKind::Unavailable, vec![]));
        }
        if wake.is_some_and(|at| at <= now) {
            wake = None;
            events.push(Event::Woken);
        }
        let mut actions = Vec::new();
        if !events.is_empty() {
            aggregator.step(now, &events, &mut actions);
        }
        events.clear();
        for action in &actions {
            match action {
                Action::Send { part, replica, .. } => {
                    let asked = parts.get_mut(part).expect("a part it was given");
                    let held = open.get(&asked.query).expect("nothing goes out after the end");
                    let class = &set.classes[held.class];
                    assert!(!asked.passed, "seed {seed}: a part that is in goes out again");
                    assert_eq!(state[replica], Lifecycle::On, "seed {seed}: drains are kept");
                    let cell = cell_of[replica];
                    assert!((0..set.reach).any(|j| (asked.shard + j) % set.cells == cell), "holds the shard");
                    assert!(asked.attempts.len() < set.try_limit, "seed {seed}: try limit");
                    let out = asked.attempts.iter().filter(|a| a.2.is_none()).count();
                    assert!(out == 0 || set.may_copy, "seed {seed}: copies are not allowed");
                    let unproved = asked.attempts.iter().find(|a| !a.2.is_some_and(Outcome::never_ran));
                    match (class.effect, unproved) {
                        (Effect::Unsafe, Some(_)) => panic!("seed {seed}: an effect may happen twice"),
                        (Effect::Keyed(window), Some(first)) => assert!(now <= first.1 + window),
                        _ => {}
                    }
                    firsts += usize::from(asked.attempts.is_empty());
                    copies += usize::from(out > 0);
                    if !asked.attempts.is_empty() {
                        extra.push(now);
                        if let Some(budget) = set.budget {
                            let from = now - budget.window;
                            let made = extra.iter().filter(|at| **at >= from).count() as f64;
                            let earned = taken.iter().filter(|at| **at > from).count() as f64;
                            assert!(made <= budget.free + budget.share * earned, "seed {seed}: budget");
                        }
                    }
                    asked.attempts.push((*replica, now, None));
                }
                Action::Cancel { part, attempt } => {
                    assert!(set.may_cancel, "seed {seed}: cancels are not allowed");
                    let ended = &mut parts.get_mut(part).expect("given").attempts[*attempt].2;
                    if ended.is_none() {
                        *ended = Some(Outcome::Cancelled);
                        let (part, attempt, replica) = (*part, *attempt, ReplicaId(0));
                        let (outcome, elapsed) = (Outcome::Cancelled, 1.0);
                        events.push(Event::Done { part, attempt, replica, outcome, elapsed });
                    }
                }
                Action::Answer { query, whole } => {
                    let held = open.get_mut(query).expect("one final outcome");
                    let class = &set.classes[held.class];
                    let step = held.parts.iter().map(|part| &parts[part]).filter(|p| p.second == held.second);
                    let share: f64 = step.clone().filter(|p| p.passed).map(|p| p.weight).sum();
                    let need = if held.second { 1.0 } else { class.whole_at };
                    let least = if class.floor < class.whole_at { class.floor } else { need };
                    assert!(share + 1e-4 >= least, "seed {seed}: under the floor");
                    assert!(!whole || share + 1e-4 >= need, "seed {seed}: not whole");
                    assert!(!whole || !held.second || held.first_whole, "seed {seed}: the first was partial");
                    if class.fetch > 0 && !held.second {
                        (held.second, held.first_whole) = (true, *whole);
                        more.push(*query);
                    } else {
                        open.remove(query);
                    }
                }
                Action::Refuse { query, retry_after } => {
                    let held = open.remove(query).expect("one final outcome");
                    assert!(retry_after.is_none() || set.may_advise);
                    if set.classes[held.class].effect == Effect::Unsafe {
                        let ran =
                            |a: &(ReplicaId, f64, Option<Outcome>)| !a.2.is_some_and(Outcome::never_ran);
                        let none = held.parts.iter().all(|part| !parts[part].attempts.iter().any(ran));
                        assert!(none, "seed {seed}: refused though a part may have run");
                    }
                }
                Action::Fail { query, .. } => {
                    open.remove(query).expect("one final outcome");
                }
                Action::Wake { after } => wake = Some(now + after),
                Action::Subscribe => assert!(set.must_subscribe),
                Action::Probe { replica } => {
                    assert!(set.may_probe, "seed {seed}: probes are not allowed");
                    let held = rng.random::<bool>().then(|| rng.random_range(-5.0..500.0));
                    let busy = rng.random::<bool>().then(|| rng.random_range(-1.0..3.0));
                    let outcome = [Outcome::Pass, Outcome::TooSlow, Outcome::NoRoute][rng.random_range(0..3)];
                    let report = Report { held, busy };
                    events.push(Event::Probed { replica: *replica, outcome, report });
                }
                Action::Log(_) => {}
            }
        }
        for (query, held) in &open {
            assert!(now < held.expires_at + 5.0, "seed {seed}: {query:?} is lost");
        }
        now += 5.0;
    }
    assert!(open.is_empty(), "seed {seed}: queries left over");
    assert!(copies as f64 <= 0.2 * firsts as f64 + 16.0, "seed {seed}: {copies} copies of {firsts} parts");
}

#[test]
fn every_rule_holds_over_random_settings_and_events() {
    for seed in 0..150 {
        run(seed);
    }
}
