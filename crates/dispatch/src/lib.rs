//! The design on the ordinary path: a request goes whole to one replica of its route's service; candidates are the
//! ready replicas that keep the longest start of its prompt; a first send takes the candidate with the fewest of this
//! proxy's calls out. What may be sent again, and what the client is told when all is given up, is decided here.
//!
//! No I/O, no clock, no randomness of its own: the time and the generator's seed are handed in.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod budget;
mod call;
mod candidates;
mod cause;
mod choose;
mod dispatcher;
mod figures;
mod fleet_load;
mod health;
mod home;
mod judging;
mod mechanisms;
mod moves;
mod moving;
mod replica;
mod salt;
mod sending;
mod speed;
mod twins;
mod versions;

pub use budget::{BudgetLimits, RetryBudget};
pub use call::{Ask, Call, Final, Next, Outcome, Rules, Target};
pub use cause::Cause;
pub use choose::{pick, Candidate, CostModel, ReadRate};
pub use dispatcher::{Bounds, Dispatcher};
pub use evidence::Ms;
pub use figures::{Figures, LateReason, TokenUse};
pub use health::Health;
pub use home::{home, HOME_SAVES};
pub use mechanisms::{Mechanism, Mechanisms};
pub use moves::{Engine, Engines, Store};
pub use prefix_index::{Part, PartKey, ReplicaNumber};
pub use salt::{Salts, Tenant, TenantPolicy};
pub use twins::{Twins, MOST_TWINS};
