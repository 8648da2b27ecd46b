//! What a controller runs on beside its settings: the system's sockets and files, or stand-ins for them in tests.

use std::io;
use std::net::SocketAddrV4;
use std::path::Path;

use store::{FileMedium, Medium};

/// Opens the medium of a file in a folder.
pub type OpenMedium = fn(&Path, &str) -> io::Result<Box<dyn Medium>>;

/// The system that a controller runs on. No setting chooses it: a program that is not for tests takes the default.
#[derive(Debug, Clone, Copy)]
pub struct Surroundings {
    /// Where the listener for peers and agents is bound, who call the address that is handed in.
    pub bound_at: fn(SocketAddrV4) -> SocketAddrV4,
    /// Where its files are.
    pub open_medium: OpenMedium,
}

impl Default for Surroundings {
    fn default() -> Surroundings {
        Surroundings { bound_at: |address| address, open_medium: open_file }
    }
}

fn open_file(folder: &Path, name: &str) -> io::Result<Box<dyn Medium>> {
    Ok(Box::new(FileMedium::new(folder, name)?))
}
