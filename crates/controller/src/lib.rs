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
mod error;
pub mod machine;
pub mod program;
mod replica_calls;
pub mod values;

pub use error::ControllerError;

use settings::ProcessSettings;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;

use program::Control;

/// Milliseconds of a steady clock.
pub type Millis = u64;

/// Runs a controller until SIGTERM.
///
/// # Errors
/// Tells what it lacks.
pub fn run(settings: ProcessSettings) -> Result<(), ControllerError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().enable_time().build();
    runtime.map_err(ControllerError::Runtime)?.block_on(async {
        let (tell, control) = mpsc::channel(4);
        tokio::spawn(signals(tell));
        program::run(settings, control).await
    })
}

/// Passes signals on: SIGTERM ends the process, SIGHUP has it read its settings anew.
async fn signals(tell: mpsc::Sender<Control>) -> std::io::Result<()> {
    let mut end = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    loop {
        let told = tokio::select! {
            _ = end.recv() => Control::Terminate,
            _ = reload.recv() => match reread() {
                Ok(settings) => Control::Reload(Box::new(settings)),
                Err(why) => {
                    log::error!("2004 settings stay as they were: {why}");
                    continue;
                }
            },
        };
        if tell.send(told).await.is_err() {
            return Ok(());
        }
    }
}

fn reread() -> Result<ProcessSettings, settings::SettingsError> {
    ProcessSettings::load(&ProcessSettings::path_from_environment()?)
}
