//! Errors, each with file, place and remedy.

use std::io;
use std::path::{Path, PathBuf};

use quick_error::quick_error;

quick_error! {
    /// Why the store could not do what was asked.
    #[derive(Debug)]
    pub enum StoreError {
        /// The disk is full.
        Full { path: PathBuf } {
            display("{}: the disk is full; free space, writes go on by themselves", path.display())
        }
        /// Another process has the file open.
        InUse { path: PathBuf } {
            display("{}: another process has it open; end that process first", path.display())
        }
        /// The operating system refused.
        Io { path: PathBuf, cause: io::Error } {
            display("{}: {}; check the disk and the rights of the data directory", path.display(), cause)
        }
        /// The content is not what was written.
        Damaged { path: PathBuf, place: String, cause: String } {
            display("{}: {}: {}; move the file away and start again, the machine then joins as a new one",
                path.display(), place, cause)
        }
        /// The file was written by another release.
        Format { path: PathBuf, found: u64, known: u64 } {
            display("{}: format {} where this release knows {}; start the release that wrote it",
                path.display(), found, known)
        }
        /// An entry over the limit.
        TooLong { slot: u16, length: usize, limit: usize } {
            display("entry {}: {} bytes are over {}; write less into this entry", slot, length, limit)
        }
    }
}

/// Linux' number for "quota exceeded", which the standard library's kinds of this release do not name.
const QUOTA_EXCEEDED: i32 = 122;

impl StoreError {
    /// The system's error for a file or folder.
    pub fn of_io(path: &Path, cause: io::Error) -> StoreError {
        let path = path.to_owned();
        let is_quota = cause.raw_os_error() == Some(QUOTA_EXCEEDED);
        match cause.kind() {
            io::ErrorKind::StorageFull => StoreError::Full { path },
            _ if is_quota => StoreError::Full { path },
            io::ErrorKind::InvalidData | io::ErrorKind::UnexpectedEof => {
                StoreError::Damaged { path, place: "the file".to_owned(), cause: cause.to_string() }
            }
            _ => StoreError::Io { path, cause },
        }
    }

    pub(crate) fn of_database(path: &Path, error: redb::Error) -> StoreError {
        match error {
            redb::Error::Io(cause) => StoreError::of_io(path, cause),
            redb::Error::DatabaseAlreadyOpen => StoreError::InUse { path: path.to_owned() },
            redb::Error::PreviousIo => {
                let cause = io::Error::other("an earlier operation on the file failed");
                StoreError::Io { path: path.to_owned(), cause }
            }
            other => StoreError::damaged(path, "the file", other.to_string()),
        }
    }

    pub(crate) fn damaged(path: &Path, place: impl Into<String>, cause: impl Into<String>) -> StoreError {
        StoreError::Damaged { path: path.to_owned(), place: place.into(), cause: cause.into() }
    }

    /// Whether the same write may succeed later.
    pub fn may_pass(&self) -> bool {
        matches!(self, StoreError::Full { .. } | StoreError::Io { .. })
    }
}
