//! What a program of the router fleet is told from outside.

pub mod digest;
mod event;
mod logging;
mod scheduling;

pub use event::{Event, ProcessEvent};
pub use logging::{level, logger, start_log, LoggingError, LEVEL_VARIABLE};
pub use scheduling::run_delay;

use settings::{ProcessSettings, SettingsError};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;

/// The digest of the sources that this program was built from; see [`digest`].
pub const SOURCE_DIGEST: &str = env!("STEPPICK_SOURCE_DIGEST");

/// The version, with the digest of the sources.
pub const VERSION: &str =
    concat!(env!("CARGO_PKG_VERSION"), " (sources ", env!("STEPPICK_SOURCE_DIGEST"), ")");

/// Words that may wait.
const QUEUE: usize = 4;

/// What a program is told.
#[derive(Debug)]
pub enum Control {
    /// End, within the grace that the settings give.
    Terminate,
    /// The settings changed.
    Reload(Box<ProcessSettings>),
}

/// Passes signals on: SIGTERM ends the process, SIGHUP has it read its settings anew. Needs a running runtime. From the
/// return on no signal is lost, and none ends the process by itself.
pub fn signals() -> mpsc::Receiver<Control> {
    let (tell, control) = mpsc::channel(QUEUE);
    match (signal(SignalKind::terminate()), signal(SignalKind::hangup())) {
        (Ok(end), Ok(reload)) => drop(tokio::spawn(pass_on(tell, end, reload))),
        (Err(why), _) | (_, Err(why)) => {
            ProcessEvent::SignalsUnusable.error(format_args!("{why}"));
        }
    }
    control
}

async fn pass_on(tell: mpsc::Sender<Control>, mut end: Signal, mut reload: Signal) {
    loop {
        let told = tokio::select! {
            _ = end.recv() => Control::Terminate,
            _ = reload.recv() => match reread() {
                Ok(settings) => Control::Reload(Box::new(settings)),
                Err(why) => {
                    ProcessEvent::SettingsUnusable.error(format_args!("{why}"));
                    continue;
                }
            },
        };
        if tell.send(told).await.is_err() {
            return;
        }
    }
}

fn reread() -> Result<ProcessSettings, SettingsError> {
    ProcessSettings::load(&ProcessSettings::path_from_environment()?)
}
