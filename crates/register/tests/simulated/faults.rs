//! The faults of a scenario, each with its end.

use rand::seq::IndexedRandom;
use rand::Rng;
use simulation::{DiskTrouble, MachineIndex, Millis};

use crate::crew::Crew;
use crate::scenario::Totals;

/// The end of a fault.
enum Relief {
    Start(MachineIndex),
    Thaw(MachineIndex),
    Heal,
    MendDisk(MachineIndex),
    Add,
    Leave(MachineIndex),
    Remove(MachineIndex),
}

/// Faults under way.
#[derive(Default)]
pub struct Faults {
    reliefs: Vec<(Millis, Relief)>,
}

const MOST_MACHINES: usize = 24;

impl Faults {
    /// Ends what is due to end.
    pub fn relieve(&mut self, crew: &mut Crew) {
        let now = crew.world.now();
        let (due, later) = std::mem::take(&mut self.reliefs).into_iter().partition(|(at, _)| *at <= now);
        self.reliefs = later;
        let due: Vec<(Millis, Relief)> = due;
        for (_, relief) in due {
            apply(relief, crew);
        }
    }

    /// Ends everything.
    pub fn relieve_all(&mut self, crew: &mut Crew) {
        for (_, relief) in std::mem::take(&mut self.reliefs) {
            apply(relief, crew);
        }
        crew.world.links.heal();
        crew.world.links.lost_per_mille = 0;
        crew.world.links.doubled_per_mille = 0;
        crew.world.links.longest = 4;
        for machine in crew.present() {
            crew.world.trouble_disk(machine, DiskTrouble::None);
            crew.start(machine);
        }
    }

    fn later(&mut self, crew: &mut Crew, range: std::ops::Range<Millis>, relief: Relief) {
        let at = crew.world.now() + crew.world.random().random_range(range);
        self.reliefs.push((at, relief));
    }

    /// Starts one fault, drawn at random.
    pub fn strike(&mut self, crew: &mut Crew, totals: &mut Totals) {
        let present = crew.present();
        let Some(machine) = present.choose(crew.world.random()).copied() else {
            return;
        };
        let other = present.choose(crew.world.random()).copied().unwrap_or(machine);
        match crew.world.random().random_range(0..100) {
            0..20 => self.crash(crew, machine),
            20..25 => present.iter().for_each(|machine| self.crash(crew, *machine)),
            25..35 => {
                self.wipe(crew, machine, totals);
            }
            35..45 => {
                crew.world.freeze(machine);
                self.later(crew, 100..7_000, Relief::Thaw(machine));
            }
            45..55 => self.isolate(crew, machine),
            55..65 => self.cut_one_way(crew, machine, other),
            65..75 => self.trouble_disk(crew, machine, DiskTrouble::Full),
            75..85 => self.trouble_disk(crew, machine, DiskTrouble::Hanging),
            85..89 => self.replace(crew, machine, totals),
            89..92 => self.replace_planned(crew, machine, totals),
            _ => {
                let until = crew.world.now() + crew.world.random().random_range(1_000..9_000);
                crew.suspect_falsely(machine, other, until);
            }
        }
    }

    fn crash(&mut self, crew: &mut Crew, machine: MachineIndex) {
        crew.world.crash(machine);
        self.later(crew, 20..4_000, Relief::Start(machine));
    }

    fn wipe(&mut self, crew: &mut Crew, machine: MachineIndex, totals: &mut Totals) -> bool {
        if !crew.may_lose_disk(machine) {
            return false;
        }
        totals.wipes += 1;
        crew.wipe(machine);
        self.later(crew, 20..4_000, Relief::Start(machine));
        true
    }

    /// As many machines as can be borne lose their disks; sometimes all others lose power.
    pub fn strike_after_acknowledgement(&mut self, crew: &mut Crew, at: MachineIndex, totals: &mut Totals) {
        let present = crew.present();
        let mut order: Vec<MachineIndex> = present.iter().copied().filter(|machine| *machine != at).collect();
        if crew.world.random().random() {
            order.insert(0, at);
        }
        let wiped: Vec<MachineIndex> =
            order.into_iter().filter(|machine| self.wipe(crew, *machine, totals)).collect();
        if crew.world.random().random() {
            let others = present.iter().filter(|machine| !wiped.contains(machine));
            others.for_each(|machine| self.crash(crew, *machine));
        }
    }

    fn isolate(&mut self, crew: &mut Crew, machine: MachineIndex) {
        for other in crew.present() {
            crew.world.links.cut(machine, other);
            crew.world.links.cut(other, machine);
        }
        self.later(crew, 200..7_000, Relief::Heal);
    }

    fn cut_one_way(&mut self, crew: &mut Crew, from: MachineIndex, to: MachineIndex) {
        crew.world.links.cut(from, to);
        self.later(crew, 200..7_000, Relief::Heal);
    }

    fn trouble_disk(&mut self, crew: &mut Crew, machine: MachineIndex, trouble: DiskTrouble) {
        crew.world.trouble_disk(machine, trouble);
        self.later(crew, 100..6_000, Relief::MendDisk(machine));
    }

    fn replace(&mut self, crew: &mut Crew, machine: MachineIndex, totals: &mut Totals) {
        if crew.world.len() >= MOST_MACHINES || !crew.may_lose_disk(machine) {
            return;
        }
        totals.replacements += 1;
        crew.remove(machine);
        self.later(crew, 20..3_000, Relief::Add);
    }
}

impl Faults {
    /// The successor comes first; then the machine is told to end, and is gone for good some seconds later.
    fn replace_planned(&mut self, crew: &mut Crew, machine: MachineIndex, totals: &mut Totals) {
        if crew.world.len() >= MOST_MACHINES || !crew.may_lose_disk(machine) {
            return;
        }
        totals.replacements += 1;
        crew.add_empty();
        let leaves_at = crew.world.now() + crew.world.random().random_range(0..2_000);
        self.reliefs.push((leaves_at, Relief::Leave(machine)));
        let gone_at = leaves_at + crew.world.random().random_range(500..8_000);
        self.reliefs.push((gone_at, Relief::Remove(machine)));
    }
}

fn apply(relief: Relief, crew: &mut Crew) {
    match relief {
        Relief::Start(machine) => crew.start(machine),
        Relief::Thaw(machine) => crew.world.thaw(machine),
        Relief::Heal => crew.world.links.heal(),
        Relief::MendDisk(machine) => crew.world.trouble_disk(machine, DiskTrouble::None),
        Relief::Add => crew.add_empty(),
        Relief::Leave(machine) => crew.leave(machine),
        Relief::Remove(machine) => {
            if crew.may_lose_disk(machine) {
                crew.remove(machine);
            } else {
                crew.stay(machine);
            }
        }
    }
}
