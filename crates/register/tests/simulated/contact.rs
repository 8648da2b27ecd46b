//! The proof of contact with a majority.

use simulation::{MachineIndex, Millis};

use crate::crew::Crew;
use crate::scenario::Mutation;

/// Two rounds of digests and the way there and back.
const FRESH_MILLIS: Millis = 700;

const STEP_MILLIS: Millis = 50;

fn run_for(crew: &mut Crew, millis: Millis) {
    let end = crew.world.now() + millis;
    while crew.world.now() < end {
        crew.detect();
        let stop = crew.world.now() + STEP_MILLIS;
        while crew.world.run_until(stop).is_some() {}
    }
}

/// How long ago the machine was on a majority's side for sure.
fn age(crew: &Crew, machine: MachineIndex) -> Option<Millis> {
    let now = crew.world.now();
    let process = crew.world.process(machine).expect("runs");
    process.node.confirmed_at(now).map(|at| now - at)
}

fn calm_crew(seed: u64, count: usize) -> Crew {
    let mut crew = Crew::first_start(seed, count, Mutation::None);
    run_for(&mut crew, 4_000);
    crew
}

#[test]
fn is_fresh_on_the_side_of_the_majority_and_grows_old_on_the_other() {
    for seed in 0..20 {
        let mut crew = calm_crew(seed, 5);
        for outside in [3, 4] {
            for inside in [0, 1, 2] {
                crew.world.links.cut(inside, outside);
                crew.world.links.cut(outside, inside);
            }
        }
        let cut_for = 3_000;
        run_for(&mut crew, cut_for);
        for machine in 0..3 {
            assert!(age(&crew, machine).is_some_and(|age| age <= FRESH_MILLIS), "seed {seed}, {machine}");
        }
        for machine in [3, 4] {
            assert!(age(&crew, machine).is_some_and(|age| age >= cut_for), "seed {seed}, {machine}");
        }
        crew.world.links.heal();
        run_for(&mut crew, FRESH_MILLIS + STEP_MILLIS);
        for machine in 0..5 {
            assert!(age(&crew, machine).is_some_and(|age| age <= FRESH_MILLIS), "seed {seed}, {machine}");
        }
    }
}

#[test]
fn one_way_is_not_enough() {
    let mut crew = calm_crew(7, 3);
    for other in [1, 2] {
        crew.world.links.cut(other, 0);
    }
    run_for(&mut crew, 3_000);
    assert!(age(&crew, 0).is_some_and(|age| age >= 3_000), "{:?}", age(&crew, 0));
    assert!(age(&crew, 1).is_some_and(|age| age <= FRESH_MILLIS));
}

#[test]
fn a_frozen_machine_that_wakes_has_an_old_one() {
    let mut crew = calm_crew(8, 3);
    crew.world.freeze(2);
    run_for(&mut crew, 5_000);
    crew.world.thaw(2);
    assert!(age(&crew, 2).is_some_and(|age| age >= 4_000), "{:?}", age(&crew, 2));
}

#[test]
fn a_process_that_has_just_started_has_none() {
    let mut crew = calm_crew(9, 3);
    crew.world.crash(1);
    crew.start(1);
    assert_eq!(age(&crew, 1), None);
    run_for(&mut crew, FRESH_MILLIS);
    assert!(age(&crew, 1).is_some());
}
