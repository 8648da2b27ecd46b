//! The controller of the router fleet: takes the heartbeats of replicas and the orders of operators, keeps the
//! registers with the other controllers, feeds the agents, and moves replicas to named weights.
//!
//! All decisions are in [`machine::Machine`], which takes inputs and returns effects; the rest joins it to
//! sockets, the disk and the clock.

pub mod change;
pub mod command;
pub mod duty;
pub mod machine;
pub mod values;

/// Milliseconds of a steady clock.
pub type Millis = u64;
