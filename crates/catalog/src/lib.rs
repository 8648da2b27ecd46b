//! Knowledge of the replicas of all services, built from their heartbeats.
//!
//! Controllers, agents and proxies each hold a [`Catalog`]. Records merge as a lattice, so that the order
//! in which news arrives, and how often, does not matter. Nothing here reads a clock or a socket: times are
//! milliseconds of a steady clock that the caller hands in.

mod catalog;
mod changes;
mod home;
mod limits;
mod record;
mod report;

pub use catalog::{Beat, Catalog, Heard, Merged};
pub use home::{home_of, Controller};
pub use limits::Limits;
pub use record::{ModelVersion, Record, State};
pub use report::WeightsReport;

/// Milliseconds of the caller's steady clock.
pub type Millis = u64;
