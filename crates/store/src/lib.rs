//! Entries on disk, written together or not at all.
//!
//! A [`Store`] keeps entries by slot in one `redb` file. Each entry carries a checksum of its own, and all are
//! read back and checked when the file is opened; damaged content is refused, never served. A file is made
//! under another name and renamed when it is whole, so a start that was interrupted leaves no half file.
//!
//! A write that fails leaves the store usable: the file is opened again with the next write, so a full disk
//! that has room again is no reason to restart. Whether the entries of a failed write are on disk is not known
//! until they are written again.
//!
//! [`StorageThread`] keeps the waiting for the disk away from its caller.
//!
//! Bounds: the cache takes [`CACHE_BYTES`]; an entry takes at most [`MAX_ENTRY_BYTES`]; long entries are kept in
//! pieces, so that their space is used again by entries of other lengths.

mod chunks;
pub mod error;
pub mod medium;
mod store;
pub mod thread;

pub use error::StoreError;
pub use medium::{FileMedium, Medium};
pub use store::{move_away, Entry, Store, CACHE_BYTES, FILE_NAME, MAX_ENTRY_BYTES};
pub use thread::{Batch, Done, QueueFull, StorageThread};
