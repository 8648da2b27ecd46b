//! The decisions pinned: the same seeds and events give the same actions, so that the module can be moved about and
//! reworked without changing what it decides. A change of behaviour changes the digests below, and says so in its commit.

mod common;

use common::{class, listed, settings};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::collections::BTreeMap;
use steppick::*;

/// 64-bit FNV-1a over the text of all actions: stable from one toolchain to the next.
fn digest(hash: &mut u64, actions: &[Action]) {
    for byte in format!("{actions:?}").bytes() {
        *hash = (*hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
}

/// A stream of random queries, outcomes, lists and reports for a fleet of so many; the digest of all that is done.
fn play(siblings: usize, parts_a_call: usize, seed: u64) -> u64 {
    let partial = Class { floor: 0.5, whole_at: 0.75, late_share: 0.3, ..class() };
    let keyed = Class { effect: Effect::Keyed(800.0), worth: 2.0, ..class() };
    let set = Settings {
        siblings,
        cells: 3,
        reach: 2,
        parts_a_call,
        call_cost: 5.0,
        may_probe: true,
        probe_reports: true,
        classes: vec![class(), partial, keyed, Class { fetch: 2, ..class() }],
        ..settings()
    };
    let mut rng = SmallRng::seed_from_u64(seed);
    let (mut module, mut hash) = (Aggregator::new(set.clone(), seed), 0xcbf2_9ce4_8422_2325);
    let (mut now, mut next) = (50_000.0, 1u64);
    let replica = |n: u32, born| Listed { born, ..listed(n, n as usize % 3) };
    let mut events = vec![Event::List {
        kind: ListKind::Restored,
        entries: (0..12).map(|n| replica(n, (n == 5).then_some(now))).collect(),
    }];
    let mut tries: BTreeMap<RequestId, usize> = BTreeMap::new();
    let mut due: Vec<(f64, Event)> = Vec::new();
    for _ in 0..2400 {
        let mut actions = Vec::new();
        module.step(now, &events, &mut actions);
        digest(&mut hash, &actions);
        events.clear();
        for action in &actions {
            match action {
                Action::Send { part, replica, .. } => {
                    let attempt = *tries.entry(*part).and_modify(|n| *n += 1).or_insert(0);
                    let slow = if replica.0 == 7 { 400.0 } else { 40.0 };
                    let elapsed = slow * rng.random_range(0.5..2.0);
                    let outcome = match rng.random_range(0..40) {
                        0 => Outcome::Fault,
                        1 => Outcome::NoRoom,
                        2 => Outcome::NoRoute,
                        3 => Outcome::Cut,
                        _ => Outcome::Pass,
                    };
                    let (part, replica) = (*part, *replica);
                    if rng.random_range(0..60) > 0 {
                        let done = Event::Done { part, attempt, replica, outcome, elapsed };
                        due.push((now + elapsed, done));
                    }
                }
                Action::Probe { replica } => {
                    let report = Report { held: Some(rng.random_range(0.0..6.0)), busy: None };
                    due.push((
                        now + 2.0,
                        Event::Probed { replica: *replica, outcome: Outcome::Pass, report },
                    ));
                }
                _ => {}
            }
        }
        now += 5.0;
        due.sort_by(|a, b| a.0.total_cmp(&b.0));
        let ready = due.partition_point(|(at, _)| *at <= now);
        events.extend(due.drain(..ready).map(|(_, event)| event));
        if rng.random_range(0..12) == 0 {
            let (number, count) = (next, rng.random_range(1..8usize));
            let class = rng.random_range(0..set.classes.len());
            let expires_in = rng.random_range(1500.0..3000.0);
            let id = RequestId(next);
            events.push(Event::Query { id, class, number, parts: count, expires_in, retry: false });
            for shard in 0..count {
                let (id, weight) = (RequestId(next + 1 + shard as u64), 1.0 / count as f64);
                events.push(Event::Part {
                    id,
                    number,
                    shard,
                    weight,
                    work: Some(rng.random_range(20.0..60.0)),
                });
            }
            next += 10;
        }
        if rng.random_range(0..200) == 0 {
            let (n, lifecycle) = (rng.random_range(0..12), [Lifecycle::On, Lifecycle::Fading]);
            let entry = Listed { lifecycle: lifecycle[rng.random_range(0..2)], ..replica(n, Some(now)) };
            events.push(Event::List { kind: ListKind::Update, entries: vec![entry] });
        }
        events.push(Event::Woken);
    }
    hash
}

#[test]
fn the_same_seeds_give_the_same_actions() {
    let seen: Vec<String> = [(1, 1), (3, 16), (9, 1), (10, 1), (300, 16)]
        .iter()
        .map(|(siblings, parts_a_call)| {
            format!("{siblings} siblings: {:016x}", play(*siblings, *parts_a_call, 7))
        })
        .collect();
    assert_eq!(seen, include_str!("pinned.txt").lines().collect::<Vec<_>>());
}
