//! How soon a group is whole again after a loss, in calm.

use rstest::rstest;
use simulation::Millis;

use crate::crew::Crew;
use crate::scenario::Mutation;

/// A deployment counts a machine as lost for this long after it is back.
pub const CATCH_UP_MILLIS: Millis = 4_000;

/// A member is suspected for this long before another takes its place.
const SUSPICION_MILLIS: Millis = register::rules::REPLACE_AFTER_MILLIS;

const STEP_MILLIS: Millis = 50;
const SEEDS: std::ops::Range<u64> = 0..30;

pub fn run_for(crew: &mut Crew, millis: Millis) {
    let end = crew.world.now() + millis;
    while crew.world.now() < end {
        crew.detect();
        let stop = crew.world.now() + STEP_MILLIS;
        while crew.world.run_until(stop).is_some() {}
    }
}

/// Whether all machines that are there are active in one set, which is all of them.
pub fn is_whole(crew: &mut Crew) -> bool {
    let present = crew.present();
    let epoch = crew.epoch();
    present.iter().all(|machine| {
        crew.world.process(*machine).is_some_and(|process| {
            let set = process.node.set();
            let is_current = set.is_some_and(|set| set.epoch == epoch && set.members.len() == present.len());
            is_current && process.node.is_active()
        })
    })
}

pub fn millis_until_whole(crew: &mut Crew, limit: Millis) -> Millis {
    let begin = crew.world.now();
    while !is_whole(crew) {
        assert!(crew.world.now() < begin + limit, "not whole after {limit} ms:\n{}", crew.summary());
        run_for(crew, STEP_MILLIS);
    }
    crew.world.now() - begin
}

pub fn whole_crew(seed: u64, count: usize) -> Crew {
    let mut crew = Crew::first_start(seed, count, Mutation::None);
    millis_until_whole(&mut crew, CATCH_UP_MILLIS);
    crew
}

#[rstest]
#[case(3)]
#[case(5)]
#[case(9)]
fn a_machine_that_lost_its_disk_is_a_member_again(#[case] count: usize) {
    let mut slowest = 0;
    for seed in SEEDS {
        let mut crew = whole_crew(seed, count);
        let machine = seed as usize % count;
        crew.wipe(machine);
        run_for(&mut crew, 500);
        crew.start(machine);
        slowest = slowest.max(millis_until_whole(&mut crew, CATCH_UP_MILLIS));
    }
    println!("{count} machines: whole again after {slowest} ms at most");
}

#[rstest]
#[case(3)]
#[case(5)]
fn a_machine_at_a_new_address_takes_the_place_of_one_that_is_gone(#[case] count: usize) {
    let mut slowest = 0;
    for seed in SEEDS {
        let mut crew = whole_crew(seed, count);
        crew.remove(seed as usize % count);
        run_for(&mut crew, 500);
        crew.add_empty();
        let limit = SUSPICION_MILLIS + CATCH_UP_MILLIS;
        slowest = slowest.max(millis_until_whole(&mut crew, limit));
    }
    println!("{count} machines: whole again after {slowest} ms at most");
}

#[test]
fn as_many_disks_as_can_be_borne_are_lost_together_while_all_others_lose_power() {
    let mut slowest = 0;
    for seed in SEEDS {
        let mut crew = whole_crew(seed, 5);
        for machine in [seed as usize % 5, (seed as usize + 1) % 5] {
            crew.wipe(machine);
        }
        for machine in 0..5 {
            crew.world.crash(machine);
        }
        run_for(&mut crew, 800);
        for machine in 0..5 {
            crew.start(machine);
        }
        slowest = slowest.max(millis_until_whole(&mut crew, CATCH_UP_MILLIS));
    }
    println!("whole again after {slowest} ms at most");
}

/// A machine that was gone for long comes back with an empty disk. It must not be put out again for what was
/// suspected at its address before.
#[test]
fn a_machine_that_was_gone_for_long_stays_when_it_is_back() {
    for seed in SEEDS {
        let mut crew = whole_crew(seed, 3);
        let machine = seed as usize % 3;
        crew.wipe(machine);
        run_for(&mut crew, 3 * SUSPICION_MILLIS);
        crew.add_spare_without_start();
        crew.start(machine);
        crew.start(3);
        run_for(&mut crew, CATCH_UP_MILLIS);
        let epoch = crew.epoch();
        run_for(&mut crew, 2 * SUSPICION_MILLIS);
        assert_eq!(crew.epoch(), epoch, "the set goes on changing:\n{}", crew.summary());
    }
}
