//! The world: machines, links, disks and time.

use std::collections::VecDeque;
use std::net::SocketAddrV4;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::disk::{Disk, DiskTrouble};
use crate::links::Links;
use crate::machine::{Action, Boot, Event, Machine};
use crate::queue::Queue;
use crate::Millis;

/// Inputs that a frozen machine keeps.
pub const MAX_BACKLOG: usize = 1_000;

/// Wakes of one moment after which a machine is taken as stuck.
const MAX_WAKES: u32 = 10_000;

/// Names a machine: the order in which machines were added.
pub type MachineIndex = usize;

/// What a machine told.
pub struct Reported<R> {
    /// When.
    pub at: Millis,
    /// Which machine.
    pub machine: MachineIndex,
    /// What.
    pub report: R,
}

struct Place<M: Machine> {
    address: SocketAddrV4,
    settings: M::Settings,
    disk: Disk,
    process: Option<M>,
    life: u64,
    is_frozen: bool,
    backlog: VecDeque<Event<M>>,
}

/// What becomes of a message at its step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It is delivered.
    Delivered,
    /// It is lost.
    Lost,
}

/// What happened at one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A message reached its machine, or was lost.
    Message,
    /// A write came to its end.
    WriteEnd,
}

enum Due<M: Machine> {
    Message { from: SocketAddrV4, to: MachineIndex, message: M::Message },
    WriteEnd { machine: MachineIndex, life: u64, token: u64 },
}

/// Machines in simulated time.
pub struct World<M: Machine> {
    /// How links behave now.
    pub links: Links,
    now: Millis,
    random: SmallRng,
    places: Vec<Place<M>>,
    due: Queue<Due<M>>,
    reports: VecDeque<Reported<M::Report>>,
}

impl<M: Machine> World<M> {
    /// An empty world.
    pub fn new(seed: u64) -> World<M> {
        World {
            links: Links::default(),
            now: 1_000,
            random: SmallRng::seed_from_u64(seed),
            places: Vec::new(),
            due: Queue::default(),
            reports: VecDeque::new(),
        }
    }

    /// The time.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// The world's random numbers, for the test's own choices.
    pub fn random(&mut self) -> &mut SmallRng {
        &mut self.random
    }

    /// How many machines were ever added.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether no machine was ever added.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Adds a machine with an empty disk that does not run yet.
    pub fn add(&mut self, address: SocketAddrV4, settings: M::Settings) -> MachineIndex {
        self.places.push(Place {
            address,
            settings,
            disk: Disk::default(),
            process: None,
            life: 0,
            is_frozen: false,
            backlog: VecDeque::new(),
        });
        self.places.len() - 1
    }

    /// The address of a machine.
    pub fn address(&self, machine: MachineIndex) -> SocketAddrV4 {
        self.places[machine].address
    }

    /// The settings that the machine's next life starts with.
    pub fn settings_mut(&mut self, machine: MachineIndex) -> &mut M::Settings {
        &mut self.places[machine].settings
    }

    /// The disk of a machine.
    pub fn disk_mut(&mut self, machine: MachineIndex) -> &mut Disk {
        &mut self.places[machine].disk
    }

    /// The process on a machine, for tests that look inside.
    pub fn process(&self, machine: MachineIndex) -> Option<&M> {
        self.places[machine].process.as_ref()
    }

    /// Whether a process runs there and is not frozen.
    pub fn is_running(&self, machine: MachineIndex) -> bool {
        self.places[machine].process.is_some() && !self.places[machine].is_frozen
    }

    /// Whether messages from `from` reach a process on `to` that takes them.
    pub fn reaches(&self, from: MachineIndex, to: MachineIndex) -> bool {
        self.is_running(from) && self.is_running(to) && self.links.passes(from, to)
    }

    /// Starts a process on a machine that has none.
    pub fn start(&mut self, machine: MachineIndex) {
        let (now, seed) = (self.now, self.random.random());
        let place = &mut self.places[machine];
        if place.process.is_some() {
            return;
        }
        place.life += 1;
        let boot = Boot { address: place.address, stored: place.disk.entries(), seed, now };
        place.process = Some(M::start(&place.settings, boot));
        self.step(machine, Event::Wake);
    }

    /// Ends the process on a machine, by a kill or a loss of power.
    pub fn crash(&mut self, machine: MachineIndex) {
        let place = &mut self.places[machine];
        place.process = None;
        place.is_frozen = false;
        place.backlog.clear();
        place.disk.lose_power(&mut self.random);
    }

    /// Ends the process on a machine and replaces its disk by an empty one.
    pub fn wipe(&mut self, machine: MachineIndex) {
        self.crash(machine);
        self.places[machine].disk.wipe();
    }

    /// Stops a process for a while.
    pub fn freeze(&mut self, machine: MachineIndex) {
        self.places[machine].is_frozen = self.places[machine].process.is_some();
    }

    /// Lets a stopped process go on; it gets at once what came meanwhile.
    pub fn thaw(&mut self, machine: MachineIndex) {
        self.places[machine].is_frozen = false;
        for event in std::mem::take(&mut self.places[machine].backlog) {
            self.step(machine, event);
        }
    }

    /// Puts a disk into trouble or out of it.
    pub fn trouble_disk(&mut self, machine: MachineIndex, trouble: DiskTrouble) {
        let (now, place) = (self.now, &mut self.places[machine]);
        let was_hanging = place.disk.trouble == DiskTrouble::Hanging;
        place.disk.trouble = trouble;
        if was_hanging {
            for token in place.disk.pending_tokens() {
                let due = Due::WriteEnd { machine, life: place.life, token };
                self.due.push(now + 1, due, &mut self.random);
            }
        }
    }

    /// Hands something in from outside. `false` if no process runs there.
    pub fn request(&mut self, machine: MachineIndex, request: M::Request) -> bool {
        if !self.is_running(machine) {
            return false;
        }
        self.step(machine, Event::Request(request));
        true
    }

    /// Lets time pass until a machine reports something or `until` has come.
    pub fn run_until(&mut self, until: Millis) -> Option<Reported<M::Report>> {
        let mut wakes = 0;
        loop {
            if let Some(reported) = self.reports.pop_front() {
                return Some(reported);
            }
            if let Some(due) = self.due.pop_due(self.now) {
                self.take(due);
                continue;
            }
            if let Some(machine) = self.machine_to_wake() {
                wakes += 1;
                assert!(wakes < MAX_WAKES, "machine {machine} wants to wake at {} without end", self.now);
                self.step(machine, Event::Wake);
                continue;
            }
            wakes = 0;
            if self.now >= until {
                return None;
            }
            self.now = self.next_moment().min(until).max(self.now + 1);
        }
    }

    /// Lets time pass until one message or one end of a write has come, or until `until`: `None` then. Reports stay for
    /// [`World::run_until`].
    pub fn run_one(&mut self, until: Millis, fate: Fate) -> Option<Step> {
        loop {
            self.wake_due();
            if let Some(due) = self.due.pop_due(self.now) {
                return Some(self.take_one(due, fate));
            }
            if self.now >= until {
                return None;
            }
            self.now = self.next_moment().min(until).max(self.now + 1);
        }
    }

    fn take_one(&mut self, due: Due<M>, fate: Fate) -> Step {
        match due {
            Due::Message { .. } if fate == Fate::Lost => Step::Message,
            due @ Due::Message { .. } => {
                self.take(due);
                Step::Message
            }
            due @ Due::WriteEnd { .. } => {
                self.take(due);
                Step::WriteEnd
            }
        }
    }

    /// Wakes all machines that want to wake now.
    fn wake_due(&mut self) {
        let mut wakes = 0;
        while let Some(machine) = self.machine_to_wake() {
            wakes += 1;
            assert!(wakes < MAX_WAKES, "machine {machine} wants to wake at {} without end", self.now);
            self.step(machine, Event::Wake);
        }
    }

    fn next_moment(&self) -> Millis {
        let wakes =
            self.places.iter().filter(|place| !place.is_frozen).filter_map(|place| place.process.as_ref());
        wakes.map(Machine::wake_at).chain(self.due.first_at()).min().unwrap_or(Millis::MAX)
    }

    fn machine_to_wake(&self) -> Option<MachineIndex> {
        let is_due = |place: &Place<M>| {
            !place.is_frozen && place.process.as_ref().is_some_and(|process| process.wake_at() <= self.now)
        };
        self.places.iter().position(is_due)
    }

    fn take(&mut self, due: Due<M>) {
        match due {
            Due::Message { from, to, message } => self.deliver(to, Event::Message { from, message }),
            Due::WriteEnd { machine, life, token } => {
                if self.places[machine].life == life {
                    self.end_write(machine, token);
                }
            }
        }
    }

    fn end_write(&mut self, machine: MachineIndex, token: u64) {
        let disk = &mut self.places[machine].disk;
        let ended = disk.end(token, &mut self.random);
        let is_told_already = disk.lies;
        if let (Some(is_done), false) = (ended, is_told_already) {
            self.deliver(machine, Event::Written { token, is_done });
        }
    }

    fn deliver(&mut self, machine: MachineIndex, event: Event<M>) {
        let place = &mut self.places[machine];
        if place.process.is_none() {
            return;
        }
        if !place.is_frozen {
            self.step(machine, event);
        } else if place.backlog.len() < MAX_BACKLOG {
            place.backlog.push_back(event);
        }
    }

    fn step(&mut self, machine: MachineIndex, event: Event<M>) {
        let now = self.now;
        let Some(process) = &mut self.places[machine].process else {
            return;
        };
        let mut actions = Vec::new();
        process.step(now, event, &mut actions);
        for action in actions {
            self.act(machine, action);
        }
    }

    fn act(&mut self, machine: MachineIndex, action: Action<M>) {
        match action {
            Action::Send { to, message } => self.send(machine, to, message),
            Action::Write { token, entries } => self.write(machine, token, entries),
            Action::Report(report) => self.reports.push_back(Reported { at: self.now, machine, report }),
        }
    }

    fn send(&mut self, from: MachineIndex, to: SocketAddrV4, message: M::Message) {
        let Some(receiver) = self.places.iter().position(|place| place.address == to) else {
            return;
        };
        let address = self.places[from].address;
        for after in self.links.deliveries(from, receiver, &mut self.random) {
            let due = Due::Message { from: address, to: receiver, message: message.clone() };
            self.due.push(self.now + after, due, &mut self.random);
        }
    }

    fn write(&mut self, machine: MachineIndex, token: u64, entries: crate::Entries) {
        let place = &mut self.places[machine];
        let after = place.disk.begin(token, entries, &mut self.random);
        let due = Due::WriteEnd { machine, life: place.life, token };
        let is_told_early = place.disk.lies;
        self.due.push(self.now + after, due, &mut self.random);
        if is_told_early {
            self.step(machine, Event::Written { token, is_done: true });
        }
    }
}
