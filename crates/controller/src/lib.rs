//! The controller of the router fleet: takes the heartbeats of replicas and the orders of operators, keeps the
//! registers with the other controllers, feeds the agents, and moves replicas to named weights.
//!
//! All decisions are in [`machine::Machine`], which takes inputs and returns effects; the rest joins it to
//! sockets, the disk and the clock.

pub mod change;
pub mod command;
mod control_api;
mod disk;
pub mod duty;
pub mod ends;
mod error;
pub mod event;
pub mod http_client;
pub mod kv_events;
pub mod machine;
pub mod program;
mod release_order;
mod replica_calls;
pub mod surroundings;
pub mod values;

pub use error::ControllerError;
pub use surroundings::Surroundings;

use settings::ProcessSettings;

/// Milliseconds of a steady clock.
pub type Millis = u64;

/// Runs a controller until SIGTERM.
///
/// # Errors
/// Tells what it lacks.
pub fn run(settings: ProcessSettings) -> Result<(), ControllerError> {
    run_on(Surroundings::default(), settings)
}

/// Runs a controller on other sockets and files until SIGTERM.
///
/// # Errors
/// Tells what it lacks.
pub fn run_on(surroundings: Surroundings, settings: ProcessSettings) -> Result<(), ControllerError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().enable_time().build();
    runtime
        .map_err(ControllerError::Runtime)?
        .block_on(async { program::run(surroundings, settings, process::signals()).await })
}
