//! Placements worked out ahead: for each coordinator and book a weight for each replica, and which connections are
//! kept open, so that the worst node is used least, then connections cost least, then least work crosses sites.
//!
//! No I/O and no clock: an [`Instance`] goes in, a [`Solution`] or a [`Conflict`] comes out, always the same for the
//! same instance. The units are ms of work a second (a core that is always busy does 1,000) and ms of delay.
//!
//! - [`Instance::read`] reads and checks an instance; a fault names its field.
//! - [`solve`] finds the best placement by branch and bound over connections, with flows for the weights; it says
//!   whether that is proved or which gap is left.
//! - [`explain`] finds a smallest set of constraints that conflict where nothing fits.
//! - [`plan`] orders the steps from one placement to another.
#![warn(missing_docs)]

mod conflict;
mod file;
mod flow;
mod instance;
mod plan;
mod rules;
mod solve;

pub use conflict::{explain, fits_without, Conflict, Constraint};
pub use file::{Favour, Placement, FORMAT};
pub use instance::{Book, Coordinator, Fault, Instance, Node, Popular, Site, Survive};
pub use plan::{plan, Change, Step, Stuck};
pub use rules::{Case, Links};
pub use solve::{check, solve, Broken, Cost, Limits, Outcome, Proof, Solution, Weight, Weights};
