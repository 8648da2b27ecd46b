//! A loss at each step of a hand-over, a repair and a replacement: after so many messages and ends of writes, with the
//! last message delivered or lost, machines lose their disks, alone or while all others lose power.
//!
//! A set of `n` bears (`n` - 1) / 2 losses. A member that hands over is no loss before it is gone; one that was lost counts
//! until its successor has run for `catch-up-s`. Where all losses together are borne, the value is read back everywhere
//! and the set decides again. Where they are more, nothing but the value may ever be shown.
//!
//! Each seed draws one order of messages and is played at each of its steps. CI plays some of the steps;
//! `STEP_SEEDS=first..end` plays these schedules at every step.

use register::RegisterKey;
use rstest::rstest;
use simulation::{Fate, MachineIndex, Millis};

use crate::crew::Crew;
use crate::in_time::{run_for, whole_crew, CATCH_UP_MILLIS};
use crate::machine::{Request, Seen, ValueId};
use crate::second_loss::{answer, change, read_back, run_unnoticed, CHANGE_MILLIS, GRACE_MILLIS};

/// The member that goes.
const MEMBER: MachineIndex = 0;
/// What was confirmed before.
const VALUE: ValueId = 7;
/// Machines that were struck come back after this.
const BACK_AFTER: Millis = 500;
/// A member whose disk is to be repaired comes back after this, before the others have told each other of the value.
const REPAIRED_AFTER: Millis = 50;
/// Time between looks at who is reached.
const DETECT_EVERY: Millis = 50;
/// Steps are counted for so long: suspicion, the new set, the transfer.
const LONGEST_CHANGE: Millis = 3_500;
/// CI plays one schedule, and one in so many of its steps.
const CI_STRIDE: usize = 9;

/// How the member goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    /// It hands its place over to a machine that waits, and goes as soon as nothing keeps it.
    HandOver,
    /// It begins to hand over, and is lost for good at the step that is looked at.
    HandOverCutShort,
    /// It comes back at its address with an empty disk.
    Repair,
    /// It is gone for good, and an empty machine waits.
    Replacement,
}

/// What is lost at one step beside the member that goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Loss {
    /// Machines that lose their disks.
    disks: usize,
    /// All others lose power at that moment.
    others_lose_power: bool,
}

/// One case.
#[derive(Clone, Copy, Debug)]
struct Case {
    size: usize,
    how: Change,
    fate: Fate,
    seed: u64,
    step: usize,
}

#[derive(Debug, Default)]
struct Totals {
    steps: usize,
    /// Losses that the set bears.
    borne: usize,
    /// Losses that are more than it bears, and those of them after which the value was read.
    beyond: usize,
    beyond_read: usize,
}

impl Case {
    /// Losses that a set of this size bears at once.
    fn borne(&self) -> usize {
        (self.size - 1) / 2
    }

    /// Losses that stand at the step: a member that hands over is none before it is gone.
    fn lost_before(&self) -> usize {
        usize::from(self.how != Change::HandOver)
    }

    /// The set at that step; `None` if the change takes fewer steps.
    fn play(&self) -> Option<Crew> {
        let mut crew = begin(self.seed, self.size, self.how);
        let is_there = run_steps(&mut crew, self.how, self.step, self.fate);
        (is_there && !is_settled(&crew, self.how)).then_some(crew)
    }

    /// A loss at that step, and all that has to hold afterwards.
    fn check(&self, mut crew: Crew, loss: Loss, totals: &mut Totals) {
        if self.how == Change::HandOverCutShort {
            crew.remove(MEMBER);
        }
        strike(&mut crew, self.step, loss);
        run_for(&mut crew, CATCH_UP_MILLIS);
        if self.how == Change::HandOver {
            let_go(&mut crew);
            run_for(&mut crew, CATCH_UP_MILLIS);
        }
        let what = format!("{self:?}, {loss:?}");
        if self.lost_before() + loss.disks <= self.borne() {
            totals.borne += 1;
            read_back(&mut crew, VALUE, &what);
        } else {
            totals.beyond += 1;
            totals.beyond_read += usize::from(reads_the_value(&mut crew, &what));
        }
    }
}

/// A set at the beginning of the change, with the value confirmed by a bare majority a moment ago: the member that goes holds
/// it, and as many as the set bears to lose do not yet.
fn begin(seed: u64, size: usize, how: Change) -> Crew {
    let mut crew = whole_crew(7_000 + seed, size);
    if matches!(how, Change::HandOver | Change::HandOverCutShort) {
        crew.add_empty();
        run_for(&mut crew, 600);
    }
    let lagging = size / 2 + 1..size;
    lagging.clone().for_each(|machine| crew.world.crash(machine));
    assert_eq!(change(&mut crew, 1, 1, 0, VALUE), Seen::Done);
    lagging.for_each(|machine| crew.start(machine));
    match how {
        Change::HandOver | Change::HandOverCutShort => crew.leave(MEMBER),
        Change::Repair => {
            crew.wipe(MEMBER);
            run_unnoticed(&mut crew, REPAIRED_AFTER);
            crew.start(MEMBER);
        }
        Change::Replacement => {
            crew.remove(MEMBER);
            crew.add_empty();
        }
    }
    crew
}

/// Plays that many steps; `false` if the change takes fewer. The last message has the fate that is asked for.
fn run_steps(crew: &mut Crew, how: Change, steps: usize, fate: Fate) -> bool {
    let ends = crew.world.now() + LONGEST_CHANGE;
    let mut detect_at = crew.world.now();
    let mut done = 0;
    while crew.world.now() < ends {
        if how == Change::HandOver && has_handed_over(crew) {
            crew.remove(MEMBER);
        }
        if crew.world.now() >= detect_at {
            crew.detect();
            detect_at = crew.world.now() + DETECT_EVERY;
        }
        if done == steps {
            return true;
        }
        let is_last = done + 1 == steps;
        let step = crew.world.run_one(detect_at, if is_last { fate } else { Fate::Delivered });
        done += usize::from(step.is_some());
    }
    false
}

/// Whether nothing keeps the member any more.
fn has_handed_over(crew: &Crew) -> bool {
    crew.world.process(MEMBER).is_some_and(|process| process.node.has_handed_over())
}

/// Whether the newcomer takes part: no step is left.
fn is_settled(crew: &Crew, how: Change) -> bool {
    let newcomer = if how == Change::Repair { MEMBER } else { crew.world.len() - 1 };
    crew.world.process(newcomer).is_some_and(|process| process.node.is_active())
}

/// Machines other than the member that goes lose their disks, others perhaps power; all come back.
fn strike(crew: &mut Crew, step: usize, loss: Loss) {
    let present = crew.present();
    let others: Vec<MachineIndex> = present.iter().copied().filter(|machine| *machine != MEMBER).collect();
    for number in 0..loss.disks {
        crew.wipe(others[(step + number) % others.len()]);
    }
    if loss.others_lose_power {
        present.iter().for_each(|machine| crew.world.crash(*machine));
    }
    run_for(crew, BACK_AFTER);
    present.into_iter().for_each(|machine| crew.start(machine));
}

/// The member that hands over goes as soon as nothing keeps it, or after its grace.
fn let_go(crew: &mut Crew) {
    if !crew.present().contains(&MEMBER) {
        return;
    }
    crew.leave(MEMBER);
    let grace_ends = crew.world.now() + GRACE_MILLIS;
    while crew.world.now() < grace_ends && !has_handed_over(crew) {
        run_for(crew, DETECT_EVERY);
    }
    crew.remove(MEMBER);
}

/// Whether the newcomer reads the value; anything else that it reads is a fault.
fn reads_the_value(crew: &mut Crew, what: &str) -> bool {
    const OPERATION: usize = 300;
    let deadline = crew.world.now() + CHANGE_MILLIS;
    let newcomer = *crew.present().last().expect("machines are there");
    let key = RegisterKey::Configuration;
    crew.world.request(newcomer, Request::Read { operation: OPERATION, key, deadline });
    match answer(crew, OPERATION) {
        Seen::Read(value) => {
            assert_eq!(value, VALUE, "{what}:\n{}", crew.summary());
            true
        }
        seen => {
            assert!(matches!(seen, Seen::NotDone | Seen::Unclear), "{what}: {seen:?}");
            false
        }
    }
}

/// Seeds, and how many steps to go on by.
fn schedules() -> (std::ops::Range<u64>, usize) {
    let told = std::env::var("STEP_SEEDS").ok();
    let Some((first, end)) = told.as_deref().and_then(|text| text.split_once("..")) else {
        return (0..1, CI_STRIDE);
    };
    let number = |text: &str| text.parse().expect("STEP_SEEDS is first..end");
    (number(first)..number(end), 1)
}

#[rstest]
fn a_loss_at_any_step_is_borne_or_shows_nothing_wrong(
    #[values(3, 5, 7)] size: usize,
    #[values(Change::HandOver, Change::HandOverCutShort, Change::Repair, Change::Replacement)] how: Change,
    #[values(Fate::Delivered, Fate::Lost)] fate: Fate,
) {
    let mut totals = Totals::default();
    let (seeds, stride) = schedules();
    for seed in seeds {
        for step in (0..).step_by(stride) {
            let case = Case { size, how, fate, seed, step };
            if case.play().is_none() {
                break;
            }
            totals.steps += 1;
            let fewest = usize::from(how != Change::HandOverCutShort);
            for disks in fewest..=case.borne().min(2) {
                for others_lose_power in [false, true] {
                    let crew = case.play().expect("the same seed plays the same");
                    case.check(crew, Loss { disks, others_lose_power }, &mut totals);
                }
            }
        }
    }
    assert!(totals.steps > 5, "the change was played step by step: {totals:?}");
    println!("size {size}, {how:?}, {fate:?}: {totals:?}");
}
