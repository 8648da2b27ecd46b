//! The machines of a scenario: who is there, who suspects whom, which disks may be lost.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};

use rand::seq::SliceRandom;
use rand::Rng;
use register::record::{Slot, StoredState};
use register::AcceptorSet;
use simulation::{Entries, MachineIndex, Millis, World};

use crate::machine::{stored_state, RegisterMachine, Request, Settings};
use crate::scenario::Mutation;

const MAX_SEEDS: usize = 3;

/// How long the loss of a machine outside the set counts.
const LOST_OUTSIDE_MILLIS: Millis = 10_000;

pub struct Crew {
    pub world: World<RegisterMachine>,
    pub removed: BTreeSet<MachineIndex>,
    pub wiped_since_start: BTreeSet<MachineIndex>,
    pub lives: Vec<u64>,
    lost_outside: Vec<Millis>,
    false_suspicions: Vec<(MachineIndex, MachineIndex, Millis)>,
    leaving: BTreeSet<MachineIndex>,
    mutation: Mutation,
}

pub fn address(machine: MachineIndex) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, machine as u8 + 1), 7640)
}

impl Crew {
    /// `count` machines at the first start of the whole system.
    pub fn first_start(seed: u64, count: usize, mutation: Mutation) -> Crew {
        let mut crew = Crew {
            world: World::new(seed),
            removed: BTreeSet::new(),
            wiped_since_start: BTreeSet::new(),
            lives: Vec::new(),
            lost_outside: Vec::new(),
            false_suspicions: Vec::new(),
            leaving: BTreeSet::new(),
            mutation,
        };
        let seeds: Vec<_> = (0..count.min(MAX_SEEDS)).map(address).collect();
        for _ in 0..count {
            crew.add(Settings { seeds: seeds.clone(), first_start: true });
        }
        for machine in 0..count {
            crew.start(machine);
        }
        crew
    }

    fn add(&mut self, settings: Settings) -> MachineIndex {
        let machine = self.world.add(address(self.world.len()), settings);
        self.lives.push(0);
        self.world.disk_mut(machine).lies = self.mutation == Mutation::LyingDisks;
        machine
    }

    pub fn present(&self) -> Vec<MachineIndex> {
        (0..self.world.len()).filter(|machine| !self.removed.contains(machine)).collect()
    }

    /// Starts a process with the settings of this moment.
    pub fn start(&mut self, machine: MachineIndex) {
        if self.removed.contains(&machine) || self.world.process(machine).is_some() {
            return;
        }
        if self.lives[machine] > 0 {
            self.renew_settings(machine);
        }
        self.lives[machine] += 1;
        self.world.start(machine);
    }

    /// Three machines of now; one of them at least is in the group.
    fn some_seeds(&mut self) -> Vec<SocketAddrV4> {
        let mut present = self.present();
        present.shuffle(self.world.random());
        let set = self.newest_set();
        let is_member =
            |machine: &MachineIndex| set.as_ref().is_some_and(|set| set.at(address(*machine)).is_some());
        let member = present.iter().copied().find(is_member);
        member.into_iter().chain(present.into_iter().take(MAX_SEEDS - 1)).map(address).collect()
    }

    /// Seeds are some machines of now. A process that was ended before its disk held anything may still be
    /// told that it is the first start; one whose disk was wiped is not.
    fn renew_settings(&mut self, machine: MachineIndex) {
        let seeds = self.some_seeds();
        let was_first =
            self.world.settings_mut(machine).first_start && !self.wiped_since_start.contains(&machine);
        let first_start = was_first && self.world.random().random();
        let seeds = if first_start { self.world.settings_mut(machine).seeds.clone() } else { seeds };
        *self.world.settings_mut(machine) = Settings { seeds, first_start };
    }

    /// Adds an empty machine at a new address and starts it.
    pub fn add_empty(&mut self) {
        self.add_spare_without_start();
        self.start(self.world.len() - 1);
    }

    /// Adds an empty machine at a new address that does not run yet.
    pub fn add_spare_without_start(&mut self) {
        let machine = self.add(Settings { seeds: Vec::new(), first_start: false });
        self.renew_settings(machine);
    }

    /// Tells a machine that it is to end, and the others that it said so.
    pub fn leave(&mut self, machine: MachineIndex) {
        self.leaving.insert(machine);
        self.world.request(machine, Request::Leave);
        for other in self.present().into_iter().filter(|other| *other != machine) {
            if self.world.reaches(machine, other) {
                self.world.request(other, Request::Left { address: address(machine) });
            }
        }
    }

    /// A machine that was to end is started anew instead.
    pub fn stay(&mut self, machine: MachineIndex) {
        self.leaving.remove(&machine);
        self.world.crash(machine);
        self.start(machine);
    }

    /// Takes a machine away for good.
    pub fn remove(&mut self, machine: MachineIndex) {
        self.note_loss(machine);
        self.world.wipe(machine);
        self.leaving.remove(&machine);
        self.removed.insert(machine);
    }

    /// Ends a process and empties its disk.
    pub fn wipe(&mut self, machine: MachineIndex) {
        self.note_loss(machine);
        let kept = self.kept_through_wipe(machine);
        self.world.wipe(machine);
        self.world.disk_mut(machine).put(kept);
        self.wiped_since_start.insert(machine);
    }

    /// With the mutation, the machine comes back as the acceptor that it was, with empty registers.
    fn kept_through_wipe(&mut self, machine: MachineIndex) -> Entries {
        if self.mutation != Mutation::IdKeptThroughWipe {
            return Vec::new();
        }
        let kept = [Slot::Identity.number(), Slot::Group.number()];
        let entries = self.world.disk_mut(machine).entries();
        entries.into_iter().filter(|(slot, _)| kept.contains(slot)).collect()
    }

    fn stored(&mut self, machine: MachineIndex) -> Option<StoredState> {
        stored_state(self.world.disk_mut(machine).entries())
    }

    fn newest_set(&mut self) -> Option<AcceptorSet> {
        let mut sets = Vec::new();
        for machine in self.present() {
            sets.extend(self.stored(machine).and_then(|state| state.known).map(|known| known.set));
            sets.extend(self.world.process(machine).and_then(|process| process.node.set().cloned()));
        }
        sets.into_iter().max_by_key(|set| set.epoch)
    }

    pub fn epoch(&mut self) -> u32 {
        self.newest_set().map_or(0, |set| set.epoch)
    }

    /// Whether the group bears the loss of this machine's disk: a majority of the newest set keeps its disks.
    /// A machine outside the set may be a member in the next moment, in the place of one that is still there; so
    /// its loss counts like a member's, now and for a while.
    pub fn may_lose_disk(&mut self, machine: MachineIndex) -> bool {
        let Some(set) = self.newest_set() else {
            return false;
        };
        let now = self.world.now();
        self.lost_outside.retain(|at| now < at + LOST_OUTSIDE_MILLIS);
        let lost = address(machine);
        let is_member = self.stored(machine).is_some_and(|state| set.contains(state.id));
        let lost_outside = self.lost_outside.len() + usize::from(!is_member);
        let mut keeping = 0;
        for other in self.present() {
            let Some(state) = self.stored(other) else { continue };
            let is_installed = set.contains(state.id) && state.data_epoch == Some(set.epoch);
            keeping += usize::from(is_installed && address(other) != lost);
        }
        keeping >= set.majority() + lost_outside
    }

    fn note_loss(&mut self, machine: MachineIndex) {
        let id = self.stored(machine).map(|state| state.id);
        let is_member = |set: AcceptorSet| id.is_some_and(|id| set.contains(id));
        if !self.newest_set().is_some_and(is_member) {
            self.lost_outside.push(self.world.now());
        }
    }

    /// Who knows which set, for messages of failed seeds.
    pub fn summary(&mut self) -> String {
        let mut lines = Vec::new();
        for machine in self.present() {
            let Some(process) = self.world.process(machine) else { continue };
            let node = &process.node;
            let set = node.set().map(|set| (set.epoch, set.members.clone()));
            let (id, is_active) = (node.acceptor_id(), node.is_active());
            let data_epoch = self.stored(machine).and_then(|state| state.data_epoch);
            lines.push(format!(
                "{machine}: {id:?} active {is_active} installed in {data_epoch:?}, knows {set:?}"
            ));
        }
        lines.join("\n")
    }

    /// Makes one machine suspect another without reason until `until`.
    pub fn suspect_falsely(&mut self, by: MachineIndex, whom: MachineIndex, until: Millis) {
        self.false_suspicions.push((by, whom, until));
    }

    /// Tells each machine whom it should suspect, as probes would.
    pub fn detect(&mut self) {
        let now = self.world.now();
        self.false_suspicions.retain(|(_, _, until)| now < *until);
        for by in self.present() {
            for whom in (0..self.world.len()).filter(|whom| *whom != by) {
                let is_false = self.false_suspicions.iter().any(|(b, w, _)| (*b, *w) == (by, whom));
                if self.leaving.contains(&whom) {
                    continue;
                }
                let is_reached = self.world.reaches(whom, by) && self.world.reaches(by, whom) && !is_false;
                let address = address(whom);
                let request =
                    if is_reached { Request::Reach { address } } else { Request::Suspect { address } };
                self.world.request(by, request);
            }
        }
    }
}
