//! Why a controller can't run.

use std::net::SocketAddrV4;
use std::path::PathBuf;

use quick_error::quick_error;

quick_error! {
    /// Why a controller can't run, and what to do.
    #[derive(Debug)]
    pub enum ControllerError {
        Setting(field: &'static str) {
            display("settings: {} is missing: a controller needs it; add it to the settings file", field)
        }
        Listen(address: SocketAddrV4, why: std::io::Error) {
            display("{}: can't listen: {}; end the process that holds the port, or correct the settings", address, why)
            source(why)
        }
        Runtime(why: std::io::Error) {
            display("the runtime can't start: {}; raise the limit of open files", why)
            source(why)
        }
        Disk(folder: PathBuf, why: String) {
            display("{}: {}", folder.display(), why)
        }
    }
}
