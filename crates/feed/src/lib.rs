//! What a process knows of the fleet ([`View`]), and what each of its subscribers has not heard yet
//! ([`Subscriber`]): a snapshot at first, then changes. Controllers feed agents, and agents feed proxies, in the
//! same way. No I/O; times are milliseconds of a steady clock that the caller hands in.

mod held;
mod interest;
mod namings;
mod prefixes;
mod records;
mod replicas;
mod subscriber;
mod view;

pub use held::{ConfigurationTaken, HeldConfiguration};
pub use interest::{Asked, Wanted, ASK_AGAIN_MS, FORGET_MS};
pub use namings::namings_from_wire;
pub use prefixes::{PrefixFeed, PrefixTable};
pub use records::{messages_of_records, record_from_wire, record_to_wire, report_from_wire, report_to_wire};
pub use replicas::ReplicaFeed;
pub use rollout::Releases;
pub use subscriber::{Subscriber, HOME_FIRST_MS};
pub use view::{ReplicasTaken, UrgentChange, View};

/// Milliseconds of the caller's steady clock.
pub type Millis = u64;
