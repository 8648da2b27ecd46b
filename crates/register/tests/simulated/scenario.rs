//! One seed: machines, callers, faults, a calm end, and the verdict on what was seen.

use rand::seq::IndexedRandom;
use rand::Rng;
use register::RegisterKey;
use simulation::{MachineIndex, Millis, Reported};
use strum::EnumCount;

use crate::crew::Crew;
use crate::faults::Faults;
use crate::history::{Asked, History, Learned, Operation};
use crate::machine::{Report, Request, Seen, ValueId};

const OPERATION_MILLIS: Millis = 2_500;
const DETECT_MILLIS: Millis = 250;
const FAULTS_MILLIS: Millis = 25_000;
const CALM_MILLIS: Millis = 12_000;
const LAST_READS_MILLIS: Millis = 5_000;

/// A fault put into the program's surroundings that the checker has to notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    None,
    /// Writes are reported as done before they are on disk.
    LyingDisks,
    /// A machine that lost its disk comes back under its old acceptor id.
    IdKeptThroughWipe,
}

/// What a seed played.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    pub seeds: u64,
    pub operations: usize,
    pub done: usize,
    pub conflicts: usize,
    pub reads: usize,
    pub unclear: usize,
    pub not_done: usize,
    pub wipes: usize,
    pub replacements: usize,
    pub strikes_after_acknowledgement: usize,
    pub sets: u32,
}

impl Totals {
    pub fn add(&mut self, other: &Totals) {
        self.seeds += other.seeds;
        self.operations += other.operations;
        self.done += other.done;
        self.conflicts += other.conflicts;
        self.reads += other.reads;
        self.unclear += other.unclear;
        self.not_done += other.not_done;
        self.wipes += other.wipes;
        self.replacements += other.replacements;
        self.strikes_after_acknowledgement += other.strikes_after_acknowledgement;
        self.sets += other.sets;
    }

    fn count(&mut self, history: &History) {
        self.operations = history.operations.len();
        for operation in &history.operations {
            match operation.ended {
                Some((_, Seen::Done)) => self.done += 1,
                Some((_, Seen::Conflict(_))) => self.conflicts += 1,
                Some((_, Seen::Read(_))) => self.reads += 1,
                Some((_, Seen::NotDone)) => self.not_done += 1,
                Some((_, Seen::Unclear)) | None => self.unclear += 1,
            }
        }
    }
}

struct Scenario {
    crew: Crew,
    faults: Faults,
    history: History,
    newest: [ValueId; RegisterKey::COUNT],
    next_value: ValueId,
    detect_at: Millis,
    strike_on_acknowledgement: bool,
    fault_percent: u64,
    totals: Totals,
}

/// Plays a seed; an error tells what must not have been seen.
pub fn run_seed(seed: u64, mutation: Mutation) -> Result<Totals, String> {
    let mut scenario = Scenario::new(seed, mutation);
    scenario.play_faults();
    scenario.play_calm();
    let last = scenario.last_operations();
    scenario.history.check()?;
    if mutation == Mutation::None {
        let verdict = scenario.check_last(last);
        verdict.map_err(|violation| format!("{violation}\n{}", scenario.crew.summary()))?;
    }
    scenario.totals.seeds = 1;
    scenario.totals.sets = scenario.crew.epoch();
    scenario.totals.count(&scenario.history);
    Ok(scenario.totals)
}

impl Scenario {
    fn new(seed: u64, mutation: Mutation) -> Scenario {
        let count = [1, 2, 3, 3, 3, 3, 4, 5, 5, 9][(seed % 10) as usize];
        let mut crew = Crew::first_start(seed, count, mutation);
        if seed % 3 == 0 {
            crew.world.links.longest = 60;
            crew.world.links.lost_per_mille = 100;
            crew.world.links.doubled_per_mille = 50;
        }
        Scenario {
            crew,
            faults: Faults::default(),
            history: History::default(),
            newest: [0; RegisterKey::COUNT],
            next_value: 1,
            detect_at: 0,
            strike_on_acknowledgement: false,
            fault_percent: 1 + seed % 6,
            totals: Totals::default(),
        }
    }

    fn play_faults(&mut self) {
        let end = self.crew.world.now() + FAULTS_MILLIS;
        while self.crew.world.now() < end {
            let until = self.crew.world.now() + self.crew.world.random().random_range(5..150);
            self.run_until(until);
            if self.crew.world.random().random_range(0..100) < 80 {
                self.ask_something();
            }
            match self.crew.world.random().random_range(0..100) {
                chance if chance < self.fault_percent => self.faults.strike(&mut self.crew, &mut self.totals),
                98.. => self.strike_on_acknowledgement = true,
                _ => {}
            }
        }
    }

    fn play_calm(&mut self) {
        self.faults.relieve_all(&mut self.crew);
        self.run_until(self.crew.world.now() + CALM_MILLIS);
    }

    /// A read and a change of each register at each machine.
    fn last_operations(&mut self) -> Vec<usize> {
        let first = self.history.operations.len();
        for machine in self.crew.present() {
            for key in RegisterKey::ORDINARY {
                self.ask(machine, key, Asked::Read);
            }
        }
        self.run_until(self.crew.world.now() + LAST_READS_MILLIS);
        (first..self.history.operations.len()).collect()
    }

    /// In the end every machine answers, and all know the same.
    fn check_last(&self, last: Vec<usize>) -> Result<(), String> {
        for index in last {
            let operation = &self.history.operations[index];
            let Some((_, Seen::Read(value))) = operation.ended else {
                return Err(format!("no answer in the calm at the end: {operation:?}"));
            };
            let process = self.crew.world.process(operation.machine).expect("runs");
            let learned = process.node.learned(operation.key).map(|learned| learned.value.clone());
            let expected = (value != 0).then(|| crate::machine::value_of(value));
            if learned != expected {
                return Err(format!("a machine did not learn {value} in the calm at the end: {operation:?}"));
            }
        }
        Ok(())
    }

    fn run_until(&mut self, until: Millis) {
        loop {
            self.faults.relieve(&mut self.crew);
            let now = self.crew.world.now();
            if now >= self.detect_at {
                self.detect_at = now + DETECT_MILLIS;
                self.crew.detect();
            }
            if now >= until {
                return;
            }
            let stop = until.min(self.detect_at).min(now + 20);
            while let Some(reported) = self.crew.world.run_until(stop) {
                self.reported(reported);
            }
        }
    }

    fn reported(&mut self, reported: Reported<Report>) {
        match reported.report {
            Report::Ended { operation, seen } => self.ended(reported.at, reported.machine, operation, seen),
            Report::Learned { key, value } => {
                let machine = reported.machine;
                let life = self.crew.lives[machine];
                self.history.learned.push(Learned { key, machine, life, value });
            }
        }
    }

    fn ended(&mut self, at: Millis, machine: MachineIndex, index: usize, seen: Seen) {
        let operation = &mut self.history.operations[index];
        assert!(operation.ended.is_none(), "answered twice: {operation:?} and {seen:?}");
        operation.ended = Some((at, seen));
        let newest = &mut self.newest[operation.key.index()];
        match (seen, operation.asked) {
            (Seen::Done, Asked::Change { new, .. }) => *newest = new,
            (Seen::Conflict(value) | Seen::Read(value), _) => *newest = value,
            _ => {}
        }
        if seen == Seen::Done && std::mem::take(&mut self.strike_on_acknowledgement) {
            self.totals.strikes_after_acknowledgement += 1;
            self.faults.strike_after_acknowledgement(&mut self.crew, machine, &mut self.totals);
        }
    }

    fn ask_something(&mut self) {
        let present = self.crew.present();
        let random = self.crew.world.random();
        let Some(machine) = present.choose(random).copied() else {
            return;
        };
        let key = RegisterKey::ORDINARY[[0, 0, 0, 1, 2, 3][random.random_range(0..6)]];
        let is_change = random.random_range(0..100) < 60;
        let is_stale = random.random_range(0..100) < 15;
        let asked = if is_change {
            let newest = self.newest[key.index()];
            let expected = if is_stale { newest.saturating_sub(1) } else { newest };
            self.next_value += 1;
            Asked::Change { expected, new: self.next_value }
        } else {
            Asked::Read
        };
        self.ask(machine, key, asked);
    }

    fn ask(&mut self, machine: MachineIndex, key: RegisterKey, asked: Asked) {
        if !self.crew.world.is_running(machine) {
            return;
        }
        let began = self.crew.world.now();
        let (operation, deadline) = (self.history.operations.len(), began + OPERATION_MILLIS);
        self.history.operations.push(Operation { key, machine, asked, began, ended: None });
        let request = match asked {
            Asked::Read => Request::Read { operation, key, deadline },
            Asked::Change { expected, new } => Request::Change { operation, key, deadline, expected, new },
        };
        self.crew.world.request(machine, request);
    }
}
