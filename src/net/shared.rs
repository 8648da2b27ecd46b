//! What two processes of one coordinator tell each other while one replaces the other: a small file each, in the folder
//! that they share.
//!
//! There are two files for each listening address. A process takes the one that nobody renews, and reads the other. Files
//! are renamed into place whole; one that is torn, of another version or not renewed lately says nothing, so what a killed
//! process left does no harm.

use crate::interface::Ms;
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The first word of a file: another program or version writes another one.
const FORMAT: &str = "steppick-process-1";
/// A file is renewed this often, ms, ...
pub const RENEW: Ms = 100.0;
/// ... and says nothing when it was written longer ago than this, or so far ahead of the clock, ms.
pub const STALE: Ms = 1000.0;
/// A longer file is none of ours, bytes.
const LONGEST: u64 = 4096;

/// What a process says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ProcessState {
    /// Differs from process to process.
    pub id: u64,
    /// When it began to listen, Unix time in ms.
    pub started_at: Ms,
    /// When it wrote this, Unix time in ms.
    pub written_at: Ms,
    /// It knows its nodes and accepts clients.
    pub is_serving: bool,
    /// It was ordered to end.
    pub is_ending: bool,
    /// The system directs new connections to the newest listener.
    pub is_directed: bool,
    /// Clients' connections that it holds.
    pub clients: usize,
    /// Connections to nodes that it holds.
    pub nodes: usize,
    /// Queries and parts without an end yet.
    pub open: usize,
}

impl ProcessState {
    /// The text of a file: the format, a checksum and the state.
    pub fn encode(&self) -> String {
        let state = serde_json::to_string(self).unwrap_or_default();
        format!("{FORMAT} {:016x} {state}\n", checksum(state.as_bytes()))
    }

    /// Reads the text of a file; `None` where it is torn or none of this version.
    pub fn decode(text: &str) -> Option<ProcessState> {
        let mut words = text.strip_suffix('\n')?.splitn(3, ' ');
        let (format, sum, state) = (words.next()?, words.next()?, words.next()?);
        let sum = u64::from_str_radix(sum, 16).ok()?;
        let is_whole = format == FORMAT && sum == checksum(state.as_bytes());
        is_whole.then(|| serde_json::from_str(state).ok())?
    }

    /// Whether it was written lately.
    pub fn is_fresh(&self, unix_now: Ms) -> bool {
        (unix_now - self.written_at).abs() <= STALE
    }
}

/// FNV-1a, 64 bits.
fn checksum(bytes: &[u8]) -> u64 {
    let step = |sum: u64, byte: &u8| (sum ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, step)
}

/// The two files of an address, as one of the two processes sees them.
#[derive(Debug)]
pub struct SharedFiles {
    own: PathBuf,
    other: PathBuf,
    id: u64,
}

impl SharedFiles {
    /// Takes the file that nobody renews; `None` where two processes renew theirs.
    pub fn open(folder: &Path, address: SocketAddr, id: u64, unix_now: Ms) -> Option<SharedFiles> {
        let name = address.to_string().replace([':', '[', ']', '%'], "_");
        let [first, second] = [0, 1].map(|slot| folder.join(format!("steppick-{name}-{slot}")));
        let (own, other) = match [&first, &second].map(|path| read(path, unix_now).is_some()) {
            [false, _] => (first, second),
            [true, false] => (second, first),
            [true, true] => return None,
        };
        Some(SharedFiles { own, other, id })
    }

    /// What the other process says, where there is one.
    pub fn other(&self, unix_now: Ms) -> Option<ProcessState> {
        read(&self.other, unix_now)
    }

    /// Puts a state into the own file.
    ///
    /// # Errors
    /// Passes on what the system says; the file is as it was then.
    pub fn write(&self, state: &ProcessState) -> io::Result<()> {
        let whole = self.own.with_extension("new");
        std::fs::write(&whole, state.encode())?;
        std::fs::rename(&whole, &self.own)
    }
}

impl Drop for SharedFiles {
    fn drop(&mut self) {
        if text(&self.own).and_then(|text| ProcessState::decode(&text)).is_some_and(|own| own.id == self.id) {
            let _ = std::fs::remove_file(&self.own);
        }
    }
}

fn text(path: &Path) -> Option<String> {
    let mut text = String::new();
    File::open(path).ok()?.take(LONGEST).read_to_string(&mut text).ok()?;
    Some(text)
}

fn read(path: &Path, unix_now: Ms) -> Option<ProcessState> {
    ProcessState::decode(&text(path)?).filter(|state| state.is_fresh(unix_now))
}
