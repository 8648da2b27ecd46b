//! The links between machines.

use std::collections::BTreeSet;

use rand::rngs::SmallRng;
use rand::Rng;

use crate::world::MachineIndex;
use crate::Millis;

/// How links behave.
#[derive(Clone, Debug)]
pub struct Links {
    /// Shortest way of a message.
    pub shortest: Millis,
    /// Longest way of a message. Messages overtake each other within these bounds.
    pub longest: Millis,
    /// Messages lost, of a thousand.
    pub lost_per_mille: u32,
    /// Messages that arrive twice, of a thousand.
    pub doubled_per_mille: u32,
    cut: BTreeSet<(MachineIndex, MachineIndex)>,
}

impl Default for Links {
    fn default() -> Links {
        Links { shortest: 1, longest: 4, lost_per_mille: 0, doubled_per_mille: 0, cut: BTreeSet::new() }
    }
}

impl Links {
    /// Cuts one direction.
    pub fn cut(&mut self, from: MachineIndex, to: MachineIndex) {
        self.cut.insert((from, to));
    }

    /// Joins all that was cut.
    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// Whether messages may pass in this direction.
    pub fn passes(&self, from: MachineIndex, to: MachineIndex) -> bool {
        !self.cut.contains(&(from, to))
    }

    /// After how long a message sent now arrives, once for each copy.
    pub fn deliveries(&self, from: MachineIndex, to: MachineIndex, random: &mut SmallRng) -> Vec<Millis> {
        let is_lost = !self.passes(from, to) || random.random_range(0..1000) < self.lost_per_mille;
        if is_lost {
            return Vec::new();
        }
        let copies = 1 + usize::from(random.random_range(0..1000) < self.doubled_per_mille);
        (0..copies).map(|_| random.random_range(self.shortest..=self.longest)).collect()
    }
}
