//! The rules, checked on the core's effects alone while random things happen to it: no I/O, no clock.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use steppick::core::{AttemptId, Core, Effect as Out, Input, NewQuery};
use steppick::*;
use support::{check, core, listed, settings, Step};

const NODES: u8 = 6;

#[derive(Default)]
struct Asked {
    class: usize,
    expires_at: f64,
    parts: usize,
    finals: usize,
    gone: bool,
}

struct World {
    core: Core<u32>,
    now: f64,
    told_off: BTreeMap<ReplicaId, f64>,
    asked: BTreeMap<RequestId, Asked>,
    out: BTreeMap<AttemptId, (RequestId, ReplicaId)>,
    /// Of each part: attempts, and when the first that may have run was sent.
    tries: BTreeMap<RequestId, usize>,
    first: BTreeMap<RequestId, Vec<(AttemptId, f64)>>,
    in_shards: BTreeMap<RequestId, BTreeSet<usize>>,
    shard_of: BTreeMap<AttemptId, (usize, bool)>,
    withdrawn: BTreeSet<AttemptId>,
}

impl World {
    fn step(&mut self, inputs: Vec<Input<u32>>) {
        let mut effects = Vec::new();
        self.core.step(self.now, inputs, &mut effects);
        for effect in effects {
            match effect {
                Out::Send(send) => {
                    let set = settings();
                    let asked = &self.asked[&send.query];
                    assert!(asked.finals == 0 && !asked.gone, "nothing is sent for an ended query");
                    let told = self.told_off.get(&send.replica);
                    assert!(told.is_none_or(|told| self.now <= told + 1000.0), "drain kept");
                    assert!((0..set.reach).any(|j| (send.shard + j) % 4 == send.replica.0 as usize % 4));
                    let tries = self.tries.entry(send.attempt.part).or_default();
                    *tries += 1;
                    assert!(*tries <= set.try_limit, "most attempts of a part");
                    let ran = self.first.entry(send.attempt.part).or_default();
                    match set.classes[asked.class].effect {
                        Effect::Safe => assert_eq!(send.leave_by, None),
                        Effect::Keyed(window) => {
                            let until = ran.first().map(|(_, at)| at + window);
                            assert!(until.is_none_or(|until| self.now <= until), "keyed repeat");
                            assert_eq!(send.leave_by, until, "nor may it leave later");
                        }
                        Effect::Unsafe => assert!(ran.is_empty(), "unsafe repeat"),
                    }
                    ran.push((send.attempt, self.now));
                    if let Some(second) = &send.second {
                        let known = &self.in_shards[&send.query];
                        assert!(
                            second.from.iter().all(|shard| known.contains(shard)),
                            "only shards that are in"
                        );
                        assert!(second.from.contains(&send.shard) && second.whole);
                    }
                    self.shard_of.insert(send.attempt, (send.shard, send.second.is_some()));
                    self.out.insert(send.attempt, (send.query, send.replica));
                }
                Out::Cancel(id, _) => {
                    self.out.remove(&id);
                }
                Out::Withdraw(id) => {
                    self.withdrawn.insert(id);
                }
                Out::Answer(query, whole, values) => {
                    let asked = self.end(query);
                    let fetch = settings().classes[asked.class].fetch;
                    let expected = if fetch > 0 { asked.parts.min(fetch) } else { asked.parts };
                    assert!(whole && values.len() == expected, "whole with all parts");
                }
                Out::Refuse(query, after) => {
                    let class = self.end(query).class;
                    assert!(after.is_some_and(|after| after <= 500.0), "advice inside its limit");
                    let ran =
                        self.out.iter().any(|(id, (q, _))| *q == query && !self.first[&id.part].is_empty());
                    assert!(
                        settings().classes[class].effect == Effect::Safe || !ran,
                        "a refusal is harmless"
                    );
                }
                Out::Fail(query, ..) => {
                    self.end(query);
                }
                Out::Probe(_) | Out::DropUnsent(_) | Out::Log(_) => {}
            }
        }
    }

    fn end(&mut self, query: RequestId) -> &Asked {
        self.is_withdrawn(query);
        let asked = self.asked.get_mut(&query).expect("it was asked");
        assert!(!asked.gone, "a client that went needs no answer");
        assert!(self.now <= asked.expires_at + 20.0, "inside the client's time");
        asked.finals += 1;
        assert_eq!(asked.finals, 1, "one final answer");
        asked
    }

    /// Nothing of a query that is over may still begin.
    fn is_withdrawn(&self, query: RequestId) {
        let out = self.out.iter().filter(|(_, (of, _))| *of == query).map(|(id, _)| *id);
        out.for_each(|id| assert!(self.withdrawn.contains(&id), "{id:?} may still begin"));
    }

    /// Ends one attempt that is out.
    fn end_attempt(&mut self, id: AttemptId, outcome: Outcome) {
        let Some((query, _)) = self.out.remove(&id) else { return };
        if outcome.never_ran() {
            self.first.entry(id.part).or_default().retain(|(known, _)| *known != id);
        }
        if outcome == Outcome::Pass {
            let (shard, second) = self.shard_of[&id];
            if !second {
                self.in_shards.entry(query).or_default().insert(shard);
            }
            self.step(vec![Input::Served(id, shard as i64, 1)]);
        } else {
            self.step(vec![Input::Ended(id, outcome)]);
        }
    }
}

fn holds(steps: Vec<Step>) -> bool {
    let mut world = World {
        core: core(),
        now: 0.0,
        told_off: BTreeMap::new(),
        asked: BTreeMap::new(),
        out: BTreeMap::new(),
        tries: BTreeMap::new(),
        first: BTreeMap::new(),
        in_shards: BTreeMap::new(),
        shard_of: BTreeMap::new(),
        withdrawn: BTreeSet::new(),
    };
    let all = (0..NODES).map(|id| listed(u32::from(id), Lifecycle::On)).collect();
    world.step(vec![Input::List(ListKind::Restored, all)]);
    let idle = std::iter::repeat_n((255, 10, 0), 220);
    for (what, a, b) in steps.into_iter().chain(idle) {
        match what {
            0..=79 => {
                let id = world.core.new_id();
                let (class, parts) = (usize::from(a) % 4, usize::from(b) % 4 + 1);
                let shards = (0..parts).map(|n| ((n + usize::from(a)) % 4, 1.0 / parts as f64)).collect();
                let expires_at = world.now + 100.0 + 8.0 * f64::from(b);
                world.asked.insert(id, Asked { class, expires_at, parts, finals: 0, gone: false });
                world.step(vec![Input::Query(
                    id,
                    NewQuery { class, expires_at, retry: false, parts: shards, work: Vec::new() },
                )]);
            }
            80..=179 => {
                let outcomes = [
                    Outcome::Pass,
                    Outcome::Pass,
                    Outcome::Fault,
                    Outcome::Cut,
                    Outcome::NoRoute,
                    Outcome::NoRoom,
                ];
                let place = usize::from(a) % world.out.len().max(1);
                let id = world.out.keys().nth(place).copied();
                id.into_iter()
                    .for_each(|id| world.end_attempt(id, outcomes[usize::from(b) % outcomes.len()]));
            }
            180..=194 => {
                let lifecycle = [Lifecycle::On, Lifecycle::Fading, Lifecycle::Off][usize::from(b) % 3];
                let entry = listed(u32::from(a % NODES), lifecycle);
                if lifecycle == Lifecycle::On {
                    world.told_off.remove(&entry.id);
                } else {
                    world.told_off.entry(entry.id).or_insert(world.now);
                }
                world.step(vec![Input::List(ListKind::Update, vec![entry])]);
            }
            195..=199 => {
                let open = world.asked.iter_mut().find(|(_, asked)| asked.finals == 0 && !asked.gone);
                let Some((id, asked)) = open else { continue };
                asked.gone = true;
                let id = *id;
                world.step(vec![Input::Gone(id)]);
                world.is_withdrawn(id);
            }
            _ => {
                // As the loop does: a step whenever the core has one due, then one at the end of the sleep.
                let end = world.now + f64::from(a);
                while let Some(at) = world.core.next_step().filter(|at| *at < end) {
                    world.now = world.now.max(at);
                    world.step(Vec::new());
                }
                world.now = end;
                world.step(Vec::new());
            }
        }
    }
    assert!(world.asked.values().all(|asked| asked.gone || asked.finals == 1), "each query has its answer");
    assert_eq!(world.core.open_queries(), 0);
    world.core.counters.broken == 0
}

#[test]
fn the_rules_hold_whatever_happens() {
    check(holds as fn(Vec<Step>) -> bool);
}

#[test]
fn what_is_queued_at_a_draining_node_is_dropped_with_the_news() {
    let mut core = core();
    let mut effects = Vec::new();
    core.step(0.0, vec![Input::List(ListKind::Replace, vec![listed(0, Lifecycle::Fading)])], &mut effects);
    assert_eq!(effects, vec![Out::DropUnsent(ReplicaId(0))]);
    effects.clear();
    core.step(2000.0, Vec::new(), &mut effects);
    assert!(effects.is_empty(), "once is enough: {effects:?}");
}

#[test]
fn a_full_coordinator_refuses_at_once_with_advice() {
    let mut core = core();
    let mut effects = Vec::new();
    let ask = NewQuery {
        class: 0,
        expires_at: 2000.0,
        retry: false,
        parts: vec![(0, 0.5), (1, 0.5)],
        work: Vec::new(),
    };
    let inputs = (0..20).map(|_| Input::Query(core.new_id(), ask.clone())).collect();
    core.step(0.0, inputs, &mut effects);
    // 40 may be held: a query of two parts counts three, so 14 fit.
    let advised =
        |e: &Out<u32>| !matches!(e, Out::Refuse(_, after) if after.is_none_or(|after| after > 500.0));
    assert!(effects.iter().all(advised));
    assert_eq!(core.counters.refused_full, 6);
}

#[test]
fn what_another_process_holds_counts_for_the_limit_on_what_is_held() {
    for (elsewhere, refused) in [(0, 6), (10, 10), (39, 19), (500, 20)] {
        let (mut core, mut effects) = (core(), Vec::new());
        core.share(2, elsewhere);
        let (class, expires_at, retry, work) = (0, 2000.0, false, Vec::new());
        let ask = NewQuery { class, expires_at, retry, parts: vec![(0, 0.5), (1, 0.5)], work };
        let inputs = (0..20).map(|_| Input::Query(core.new_id(), ask.clone())).collect();
        core.step(0.0, inputs, &mut effects);
        assert_eq!(core.counters.refused_full, refused, "{elsewhere} elsewhere");
    }
}

#[test]
fn what_is_earned_with_time_is_split_between_processes_and_whole_again_for_one() {
    let budget = Some(Budget { free: 10.0, share: 0.1, window: 1000.0 });
    let set = Settings { budget, ..settings() };
    let room = |set: &Settings| set.cold_room(0.0, 1.0).expect("cold");
    let half = set.shared_by(2);
    assert_eq!(room(&half), room(&set) / 2.0);
    assert_eq!(
        half.budget.map(|budget| (budget.free, budget.share, budget.window)),
        Some((5.0, 0.1, 1000.0))
    );
    assert_eq!(room(&set.shared_by(1)), room(&set));
}

#[test]
fn who_is_failed_is_told_when_to_come_back_unless_a_repeat_could_do_harm() {
    for (class, advised) in [(1, true), (2, false)] {
        let (mut core, mut effects) = (core(), Vec::new());
        let list = Input::List(ListKind::Replace, (0..4).map(|id| listed(id, Lifecycle::On)).collect());
        let ask =
            NewQuery { class, expires_at: 300.0, retry: false, parts: vec![(0, 1.0)], work: Vec::new() };
        let id = core.new_id();
        core.step(0.0, vec![list, Input::Query(id, ask)], &mut effects);
        while let Some(at) = core.next_step().filter(|at| *at <= 400.0) {
            core.step(at, Vec::new(), &mut effects);
        }
        let told = effects.iter().find_map(|effect| match effect {
            Out::Fail(query, _, after) => Some((*query, after.is_some_and(|after| after <= 500.0))),
            _ => None,
        });
        assert_eq!(told, Some((id, advised)), "class {class}");
    }
}
