//! Mechanisms of the decisions that a measurement may switch off one by one, to tell what each is worth.

use strum::{EnumString, VariantNames};

/// A mechanism of the decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum Mechanism {
    /// A second send that leaves with the first.
    Twins,
    /// The same replica at every proxy for a start that nobody is known to keep.
    Homes,
    /// Replicas fetch kept blocks from each other and from stores.
    Moves,
    /// Replicas have stores keep the starts that they read.
    Stores,
    /// A store takes what is likely to be asked for again.
    StoreAdmission,
    /// Reading again what somebody keeps weighs more than its time.
    RereadWeight,
    /// Waiting that leaves enough time to the route's target costs little.
    TargetSlack,
    /// What other proxies have out counts.
    FleetLoad,
    /// Answers that came late tell of the next ones.
    ObservedDelay,
    /// A replica that turned a request away is left alone for a while.
    FullMarks,
    /// A replica that can't be reached is avoided for a while.
    Avoidance,
}

/// The mechanisms that are on; all of them, unless a measurement says otherwise.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Mechanisms {
    off: u32,
}

impl Mechanisms {
    /// All mechanisms but these.
    pub fn without(off: &[Mechanism]) -> Mechanisms {
        Mechanisms { off: off.iter().fold(0, |bits, one| bits | bit(*one)) }
    }

    /// Whether a mechanism is on.
    pub fn has(self, mechanism: Mechanism) -> bool {
        self.off & bit(mechanism) == 0
    }
}

fn bit(mechanism: Mechanism) -> u32 {
    1 << mechanism as u8
}
