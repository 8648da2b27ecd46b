//! Why a sub-command of the fleet failed.

use crate::cli::exit;
use configuration::ConfigurationError;
use quick_error::quick_error;
use settings::SettingsError;
use std::net::SocketAddr;
use std::path::PathBuf;

quick_error! {
    /// Why a sub-command failed.
    #[derive(Debug)]
    #[allow(missing_docs)]
    pub enum FleetError {
        /// Settings can't be used.
        Settings(why: SettingsError) {
            from()
            display("{}", why)
        }
        /// A program of the fleet can't start or go on.
        Program(why: String) {
            display("{}", why)
        }
        /// A file can't be read.
        File(path: PathBuf, why: std::io::Error) {
            display("{}: {}: check the path and its permissions", path.display(), why)
        }
        /// A configuration makes no sense.
        Configuration(path: PathBuf, why: ConfigurationError) {
            display("{}: {}", path.display(), why)
        }
        /// A controller can't be asked.
        Call(address: SocketAddr, why: std::io::Error) {
            display("{}: {}: check the address, or name another controller", address, why)
        }
        /// A controller said no.
        Refused(status: u16, said: String) {
            display("the controller answered {}: {}", status, said)
        }
    }
}

impl FleetError {
    /// The exit code, as `docs/operate/errors.md` lists them.
    pub fn exit_code(&self) -> u8 {
        match self {
            FleetError::Refused(..) | FleetError::Configuration(..) => exit::NO,
            _ => exit::FILE,
        }
    }
}
