//! The start of all machines at once after a loss of power while a value was being written.

use rand::Rng;
use register::RegisterKey;
use rstest::rstest;
use simulation::Millis;

use crate::crew::Crew;
use crate::in_time::run_for;
use crate::machine::Request;
use crate::scenario::Mutation;

const MEMBERS: usize = 5;
const KEY: RegisterKey = RegisterKey::Configuration;
const SEEDS: u64 = 1_000;
/// By then all machines are members.
const SET_MILLIS: Millis = 4_000;
/// Power is lost within this after the change was asked for.
const CHANGE_MILLIS: Millis = 600;
/// Machines start within this of each other, at the most.
const BETWEEN_STARTS_MILLIS: Millis = 20;
/// All machines know the value within this, as they know a change: the operators' bound for being known everywhere.
const KNOWN_WITHIN_MILLIS: Millis = 5_000;
/// Longer than any start that is looked for.
const PATIENCE_MILLIS: Millis = 60_000;
const STEP_MILLIS: Millis = 10;

/// Shortest and longest times of disks and links.
#[derive(Clone, Copy)]
struct Times {
    write: (Millis, Millis),
    way: (Millis, Millis),
}

const QUICK: Times = Times { write: (1, 3), way: (1, 4) };
const BUSY: Times = Times { write: (20, 120), way: (1, 40) };
const SLOW: Times = Times { write: (50, 250), way: (1, 120) };

#[rstest]
#[case::quick(QUICK)]
#[case::busy(BUSY)]
#[case::slow(SLOW)]
fn all_know_the_value_soon_after_a_common_start(#[case] times: Times) {
    let of_seed = |seed: u64| (start_millis(seed, times), seed);
    let mut starts: Vec<(Millis, u64)> = (0..SEEDS).map(of_seed).collect();
    starts.sort_unstable();
    let (longest, seed) = starts[starts.len() - 1];
    println!("median {} ms, longest {longest} ms (seed {seed})", starts[starts.len() / 2].0);
    assert!(longest <= KNOWN_WITHIN_MILLIS, "seed {seed}: known everywhere after {longest} ms");
}

/// How long it takes from the first start on until all machines know the value.
fn start_millis(seed: u64, times: Times) -> Millis {
    let mut crew = Crew::first_start(seed, MEMBERS, Mutation::None);
    run_for(&mut crew, SET_MILLIS);
    for machine in 0..MEMBERS {
        crew.world.disk_mut(machine).write_millis = times.write;
    }
    (crew.world.links.shortest, crew.world.links.longest) = times.way;
    lose_power_in_a_change(&mut crew);
    let began = crew.world.now();
    for machine in 0..MEMBERS {
        let pause = crew.world.random().random_range(0..BETWEEN_STARTS_MILLIS);
        run_for(&mut crew, pause);
        crew.start(machine);
    }
    while !(0..MEMBERS).all(|machine| knows(&crew, machine)) && crew.world.now() < began + PATIENCE_MILLIS {
        run_for(&mut crew, STEP_MILLIS);
    }
    crew.world.now() - began
}

fn lose_power_in_a_change(crew: &mut Crew) {
    let deadline = crew.world.now() + SET_MILLIS;
    crew.world.request(0, Request::Change { operation: 1, key: KEY, deadline, expected: 0, new: 1 });
    let left = crew.world.random().random_range(0..CHANGE_MILLIS);
    run_for(crew, left);
    (0..MEMBERS).for_each(|machine| crew.world.crash(machine));
}

fn knows(crew: &Crew, machine: usize) -> bool {
    crew.world.process(machine).is_some_and(|process| process.node.is_confirmed(KEY))
}
