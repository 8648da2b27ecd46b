//! The disk of one machine: entries that are written all or none.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::Rng;

use crate::machine::Entries;
use crate::Millis;

/// What is wrong with a disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiskTrouble {
    /// Nothing.
    #[default]
    None,
    /// It refuses every write.
    Full,
    /// Writes come to no end until the trouble is over.
    Hanging,
}

/// A write that has not come to its end.
#[derive(Clone, Debug)]
pub struct Pending {
    /// Names the write.
    pub token: u64,
    entries: Entries,
}

/// The disk of one machine.
#[derive(Clone, Debug)]
pub struct Disk {
    /// What is wrong with it now.
    pub trouble: DiskTrouble,
    /// Shortest and longest time of a write.
    pub write_millis: (Millis, Millis),
    /// Reports writes as done before they are: a fault that tests put in to see that it is noticed.
    pub lies: bool,
    stored: BTreeMap<u16, Arc<[u8]>>,
    pending: Vec<Pending>,
}

impl Default for Disk {
    fn default() -> Disk {
        Disk {
            trouble: DiskTrouble::None,
            write_millis: (1, 3),
            lies: false,
            stored: BTreeMap::new(),
            pending: Vec::new(),
        }
    }
}

impl Disk {
    /// Takes a write in; returns how long it takes.
    pub fn begin(&mut self, token: u64, entries: Entries, random: &mut SmallRng) -> Millis {
        self.pending.push(Pending { token, entries });
        random.random_range(self.write_millis.0..=self.write_millis.1)
    }

    /// Ends a write. `None` if it hangs or is not under way, else whether the disk took it. A write that the
    /// disk refuses may have reached it all the same.
    pub fn end(&mut self, token: u64, random: &mut SmallRng) -> Option<bool> {
        let index = self.pending.iter().position(|pending| pending.token == token)?;
        match self.trouble {
            DiskTrouble::Hanging => None,
            DiskTrouble::None => {
                let pending = self.pending.remove(index);
                self.store(pending);
                Some(true)
            }
            DiskTrouble::Full => {
                let pending = self.pending.remove(index);
                if random.random_range(0..4) == 0 {
                    self.store(pending);
                }
                Some(false)
            }
        }
    }

    /// Writes that are under way.
    pub fn pending_tokens(&self) -> Vec<u64> {
        self.pending.iter().map(|pending| pending.token).collect()
    }

    /// The process or the machine's power goes: each write under way is on the disk or is not.
    pub fn lose_power(&mut self, random: &mut SmallRng) {
        for pending in std::mem::take(&mut self.pending) {
            if random.random() {
                self.store(pending);
            }
        }
    }

    /// The disk is replaced by an empty one.
    pub fn wipe(&mut self) {
        self.pending.clear();
        self.stored.clear();
    }

    /// What it holds.
    pub fn entries(&self) -> Entries {
        self.stored.iter().map(|(slot, bytes)| (*slot, bytes.clone())).collect()
    }

    /// Puts entries on the disk from outside.
    pub fn put(&mut self, entries: Entries) {
        self.stored.extend(entries);
    }

    fn store(&mut self, pending: Pending) {
        self.stored.extend(pending.entries);
    }
}
