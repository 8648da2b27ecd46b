//! The agent beside each proxy: keeps a link to every controller, merges what they tell, and feeds its proxy
//! over loopback. What it knows never goes back within its life, whichever controllers come and go.

mod controllers;
pub mod ending;
mod error;
pub mod event;
mod home_review;
pub mod machine;
pub mod program;

pub use error::AgentError;

use settings::ProcessSettings;

/// Milliseconds of a steady clock.
pub type Millis = u64;

/// Runs an agent until SIGTERM.
///
/// # Errors
/// Tells what it lacks.
pub fn run(settings: ProcessSettings) -> Result<(), AgentError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().enable_time().build();
    runtime.map_err(AgentError::Runtime)?.block_on(async { program::run(settings, process::signals()).await })
}
