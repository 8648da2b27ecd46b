//! The second loss: a member is replaced, and as soon as a deployment counts the replacement as done, as many machines
//! as it bears lose their disks, while all others lose power. Nothing that was confirmed may be gone, and the group has
//! to decide again.
//!
//! A deployment counts a machine as lost until its successor has run for `catch-up-s`, and bears half of the members
//! (rounded down) otherwise.

use register::RegisterKey;
use rstest::rstest;
use simulation::{MachineIndex, Millis};

use crate::crew::Crew;
use crate::in_time::{run_for, whole_crew, CATCH_UP_MILLIS};
use crate::machine::{Report, Request, Seen, ValueId};

/// Longest time until a lost machine is noticed by the others.
const NOTICED_MILLIS: Millis = 1_200;
/// A machine that is told to end is gone after this, whatever it does.
pub const GRACE_MILLIS: Millis = 8_000;
/// A change is given up after so long.
pub const CHANGE_MILLIS: Millis = 2_000;

/// How the member goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Going {
    /// It is lost without a word; an empty machine comes after so long.
    Lost { successor_after: Millis },
    /// The empty machine comes first, then the member is told to end. It is gone as soon as it says that nothing keeps
    /// it, or after its grace.
    Planned { told_after: Millis },
    /// It loses its disk and comes back at its address after so long.
    Wiped { back_after: Millis },
}

/// Runs without anybody being noticed as gone.
pub fn run_unnoticed(crew: &mut Crew, millis: Millis) {
    let end = crew.world.now() + millis;
    while crew.world.run_until(end).is_some() {}
}

/// Changes the configuration register until a machine confirms it.
pub fn change(crew: &mut Crew, at: MachineIndex, operation: usize, expected: ValueId, new: ValueId) -> Seen {
    let deadline = crew.world.now() + CHANGE_MILLIS;
    let key = RegisterKey::Configuration;
    crew.world.request(at, Request::Change { operation, key, deadline, expected, new });
    answer(crew, operation)
}

pub fn answer(crew: &mut Crew, operation: usize) -> Seen {
    let until = crew.world.now() + 2 * CHANGE_MILLIS;
    while let Some(reported) = crew.world.run_until(until) {
        match reported.report {
            Report::Ended { operation: ended, seen } if ended == operation => return seen,
            _ => {}
        }
    }
    panic!("operation {operation} is not answered:\n{}", crew.summary());
}

/// Plays the replacement; the successor's place, and the time of its start.
fn replace(crew: &mut Crew, member: MachineIndex, going: Going) -> Millis {
    match going {
        Going::Lost { successor_after } => {
            crew.remove(member);
            run_unnoticed(crew, successor_after);
            crew.add_empty();
            let started = crew.world.now();
            run_unnoticed(crew, NOTICED_MILLIS.saturating_sub(successor_after));
            started
        }
        Going::Planned { told_after } => {
            crew.add_empty();
            let started = crew.world.now();
            run_for(crew, told_after);
            crew.leave(member);
            let grace_ends = crew.world.now() + GRACE_MILLIS;
            let is_kept = |crew: &Crew| {
                crew.world.process(member).is_some_and(|process| !process.node.has_handed_over())
            };
            while crew.world.now() < grace_ends && is_kept(crew) {
                run_unnoticed(crew, 1);
            }
            crew.remove(member);
            started
        }
        Going::Wiped { back_after } => {
            crew.wipe(member);
            run_unnoticed(crew, back_after);
            crew.start(member);
            crew.world.now()
        }
    }
}

#[rstest]
fn nothing_confirmed_is_lost_and_a_majority_is_left(
    #[values(3, 5, 9)] size: usize,
    #[values(
        Going::Lost { successor_after: 0 },
        Going::Lost { successor_after: 1_000 },
        Going::Planned { told_after: 0 },
        Going::Planned { told_after: 1_000 },
        Going::Wiped { back_after: 50 },
        Going::Wiped { back_after: 1_000 }
    )]
    going: Going,
) {
    for seed in 0..16 {
        let mut crew = whole_crew(1_000 + seed, size);
        let member = seed as usize % size;
        let asked = (member + 1) % size;
        assert_eq!(change(&mut crew, asked, 1, 0, 7), Seen::Done);
        let started = replace(&mut crew, member, going);
        // A change right after the replacement: the newest value may be the newcomer's and one other's alone.
        let ends = started + CATCH_UP_MILLIS;
        assert!(crew.world.now() < ends, "the machine that leaves keeps its successor waiting");
        let rest = ends - crew.world.now();
        run_for(&mut crew, rest);
        assert_eq!(change(&mut crew, asked, 2, 7, 14), Seen::Done, "{going:?} seed {seed}");
        strike(&mut crew, seed as usize, size);
        read_back(&mut crew, 14, &format!("{going:?} size {size} seed {seed}"));
    }
}

/// As many as the set bears lose their disks, chosen by `first`; all others lose power; all come back.
fn strike(crew: &mut Crew, first: usize, size: usize) {
    let present = crew.present();
    let most = (size - 1) / 2;
    let struck: Vec<MachineIndex> =
        (0..most).map(|number| present[(first + number) % present.len()]).collect();
    for machine in &struck {
        crew.wipe(*machine);
    }
    for machine in &present {
        crew.world.crash(*machine);
    }
    run_unnoticed(crew, 1_000);
    for machine in present {
        crew.start(machine);
    }
}

pub fn read_back(crew: &mut Crew, expected: ValueId, what: &str) {
    run_for(crew, CATCH_UP_MILLIS);
    for (number, machine) in crew.present().into_iter().enumerate() {
        let deadline = crew.world.now() + CHANGE_MILLIS;
        let (operation, key) = (100 + number, RegisterKey::Configuration);
        crew.world.request(machine, Request::Read { operation, key, deadline });
        let seen = answer(crew, operation);
        assert_eq!(seen, Seen::Read(expected), "{what}, machine {machine}:\n{}", crew.summary());
    }
    assert_eq!(change(crew, crew.present()[0], 200, expected, 21), Seen::Done, "{what}: it decides again");
}

/// A member that leaves may hold the only copy, or half of what it takes to decide.
#[rstest]
fn a_leaving_member_of_a_set_of_one_or_two_hands_all_over(
    #[values(1, 2)] size: usize,
    #[values(0, 300, 1_000)] told_after: Millis,
) {
    for seed in 0..16 {
        let mut crew = whole_crew(1_500 + seed, size);
        assert_eq!(change(&mut crew, 0, 1, 0, 7), Seen::Done);
        // Without a machine that waits, ending would mean the loss; the successor has to be known before.
        let going = Going::Planned { told_after: 1_500 + told_after };
        replace(&mut crew, 0, going);
        run_for(&mut crew, CATCH_UP_MILLIS);
        read_back(&mut crew, 7, &format!("size {size} seed {seed}"));
    }
}

/// Whoever holds the oldest disk is struck, again and again: repairs never leave one disk as the only copy.
#[rstest]
fn the_oldest_disk_is_never_the_only_copy(#[values(3, 4, 5)] size: usize) {
    for seed in 0..8 {
        let mut crew = whole_crew(2_000 + seed, size.min(3));
        for _ in 3..size {
            crew.add_empty();
        }
        run_for(&mut crew, CATCH_UP_MILLIS);
        assert_eq!(change(&mut crew, 0, 1, 0, 7), Seen::Done);
        for struck in 0..size {
            crew.wipe(struck);
            run_for(&mut crew, 1_000);
            crew.start(struck);
            run_for(&mut crew, CATCH_UP_MILLIS);
        }
        read_back(&mut crew, 7, &format!("size {size} seed {seed}"));
    }
}

/// The second loss comes earlier than a deployment may strike, at each step of a planned replacement: nothing confirmed
/// is ever read back otherwise. Whether the group decides again depends on the step.
#[rstest]
fn an_early_second_loss_shows_nothing_wrong(#[values(3, 5)] size: usize) {
    let mut decides = 0;
    const STEPS: u64 = 60;
    for step in 0..STEPS {
        let mut crew = whole_crew(3_000 + step, size);
        assert_eq!(change(&mut crew, 0, 1, 0, 7), Seen::Done);
        crew.add_empty();
        run_for(&mut crew, 600);
        crew.leave(0);
        run_unnoticed(&mut crew, step);
        crew.world.wipe(0);
        crew.remove(0);
        crew.wipe(1);
        run_for(&mut crew, 500);
        crew.start(1);
        run_for(&mut crew, 2 * CATCH_UP_MILLIS);
        let deadline = crew.world.now() + CHANGE_MILLIS;
        crew.world.request(2, Request::Read { operation: 9, key: RegisterKey::Configuration, deadline });
        match answer(&mut crew, 9) {
            Seen::Read(value) => {
                assert_eq!(value, 7, "step {step}");
                decides += 1;
            }
            seen => assert!(matches!(seen, Seen::NotDone | Seen::Unclear), "{seen:?}"),
        }
    }
    println!("size {size}: decides again after {decides} of {STEPS} early losses");
}

/// A member that is told to end while nobody waits for its place just ends: it may be back in a moment.
#[rstest]
fn a_member_without_a_successor_ends_at_once() {
    let mut crew = whole_crew(4_000, 3);
    crew.leave(1);
    run_for(&mut crew, 100);
    assert!(crew.world.process(1).is_some_and(|process| process.node.has_handed_over()));
    assert_eq!(crew.epoch(), 0);
}
