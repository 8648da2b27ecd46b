//! The store itself.

use std::collections::BTreeMap;
use std::panic::{self, AssertUnwindSafe};
use std::path::Path;
use std::sync::Arc;

use redb::{Builder, Database, ReadableTable, TableDefinition};

use crate::chunks::{join, split};
use crate::error::StoreError;
use crate::medium::{FileMedium, Medium, SharedBackend};

/// Memory for pages of the file.
pub const CACHE_BYTES: usize = 256 << 10;

/// The longest entry.
pub const MAX_ENTRY_BYTES: usize = 8 << 20;

/// The format of the tables below.
const FORMAT: u64 = 1;

/// Pieces of entries by slot and number.
const PIECES: TableDefinition<(u16, u16), &[u8]> = TableDefinition::new("pieces");

/// The format, under key 0.
const ABOUT: TableDefinition<u8, u64> = TableDefinition::new("about");

/// The name of the file, where a folder holds one store.
pub const FILE_NAME: &str = "state.redb";

/// What a slot holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Names the entry.
    pub slot: u16,
    /// Its content.
    pub bytes: Arc<[u8]>,
}

/// How much of the file is looked at when it is opened.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Check {
    /// What the database needs itself.
    None,
    /// Every page.
    Pages,
}

/// Entries on disk.
pub struct Store {
    medium: Box<dyn Medium>,
    database: Option<Database>,
}

impl Store {
    /// Opens the store in `directory`, or makes an empty one, and reads all entries.
    pub fn open(directory: &Path) -> Result<(Store, Vec<Entry>), StoreError> {
        Store::open_named(directory, FILE_NAME)
    }

    /// Opens the store in that file of `directory`, or makes an empty one, and reads all entries.
    pub fn open_named(directory: &Path, name: &str) -> Result<(Store, Vec<Entry>), StoreError> {
        let medium = FileMedium::new(directory, name);
        let medium = medium.map_err(|cause| StoreError::of_io(directory, cause))?;
        Store::open_on(Box::new(medium))
    }

    /// Opens the store on a medium, or makes an empty one, and reads all entries.
    pub fn open_on(medium: Box<dyn Medium>) -> Result<(Store, Vec<Entry>), StoreError> {
        let mut store = Store { medium, database: None };
        match store.open_published(Check::Pages)? {
            Some(database) => store.database = Some(database),
            None => store.make()?,
        }
        let entries = store.read_all()?;
        Ok((store, entries))
    }

    /// Writes all entries or none, and returns when the disk holds them. After an error it is not known which.
    pub fn write(&mut self, entries: &[Entry]) -> Result<(), StoreError> {
        let too_long = entries.iter().find(|entry| entry.bytes.len() > MAX_ENTRY_BYTES);
        if let Some(entry) = too_long {
            let (slot, length) = (entry.slot, entry.bytes.len());
            return Err(StoreError::TooLong { slot, length, limit: MAX_ENTRY_BYTES });
        }
        if self.database.is_none() {
            self.database = self.open_published(Check::None)?;
        }
        let path = self.medium.path();
        let Some(database) = self.database.take() else {
            return Err(StoreError::damaged(path, "the file", "it is gone"));
        };
        guarded(path, || match write_entries(&database, entries) {
            Ok(()) => Ok(database),
            Err(failed) => Err(StoreError::of_database(path, *failed.0)),
        })?
        .map(|database| self.database = Some(database))
    }

    /// The published database.
    fn open_published(&self, check: Check) -> Result<Option<Database>, StoreError> {
        let path = self.medium.path();
        let of_database = |error: redb::DatabaseError| StoreError::of_database(path, error.into());
        let Some(backend) = self.medium.open().map_err(of_database)? else {
            return Ok(None);
        };
        let length = backend.len().map_err(|cause| StoreError::of_io(path, cause))?;
        if length == 0 {
            return Err(StoreError::damaged(path, "the file", "it is empty"));
        }
        let open = || {
            let mut database = open_backend(SharedBackend(backend))?;
            if check == Check::Pages {
                database.check_integrity()?;
            }
            Ok(database)
        };
        let database = guarded(path, open)?.map_err(of_database)?;
        Ok(Some(database))
    }

    /// Makes an empty store and publishes it when it is whole.
    fn make(&mut self) -> Result<(), StoreError> {
        let path = self.medium.path();
        let of_database = |error: redb::DatabaseError| StoreError::of_database(path, error.into());
        let backend = self.medium.create().map_err(of_database)?;
        let database = open_backend(SharedBackend(backend)).map_err(of_database)?;
        write_format(&database).map_err(|failed| StoreError::of_database(path, *failed.0))?;
        self.medium.publish().map_err(|cause| StoreError::of_io(path, cause))?;
        self.database = Some(database);
        Ok(())
    }

    fn read_all(&self) -> Result<Vec<Entry>, StoreError> {
        let path = self.medium.path();
        let Some(database) = &self.database else {
            return Ok(Vec::new());
        };
        let read = guarded(path, || read_wholes(database))?;
        let (format, wholes) = read.map_err(|failed| StoreError::of_database(path, *failed.0))?;
        if format != FORMAT {
            return Err(StoreError::Format { path: path.to_owned(), found: format, known: FORMAT });
        }
        let entry = |(slot, whole): (u16, Vec<u8>)| match join(&whole) {
            Ok(bytes) => Ok(Entry { slot, bytes: bytes.into() }),
            Err(cause) => Err(StoreError::damaged(path, format!("entry {slot}"), cause)),
        };
        wholes.into_iter().map(entry).collect()
    }
}

/// Runs what uses the database. Where pages contradict each other `redb` panics; that is an error like another.
fn guarded<T>(path: &Path, action: impl FnOnce() -> T) -> Result<T, StoreError> {
    panic::catch_unwind(AssertUnwindSafe(action))
        .map_err(|_| StoreError::damaged(path, "its structure", "it does not hold together"))
}

/// An error of the database, small enough to be returned by everything.
struct Failed(Box<redb::Error>);

impl<E: Into<redb::Error>> From<E> for Failed {
    fn from(error: E) -> Failed {
        Failed(Box::new(error.into()))
    }
}

/// Moves a damaged store in that file of `directory` out of the way, so that an empty one can be made. One that was moved
/// away earlier is replaced; where there is none, nothing is done.
pub fn move_away(directory: &Path, name: &str) -> std::io::Result<()> {
    let moved = std::fs::rename(directory.join(name), directory.join(format!("{name}.damaged")));
    match moved {
        Err(why) if why.kind() == std::io::ErrorKind::NotFound => Ok(()),
        Err(why) => Err(why),
        Ok(()) => std::fs::File::open(directory)?.sync_all(),
    }
}

fn open_backend(backend: SharedBackend) -> Result<Database, redb::DatabaseError> {
    let mut builder = Builder::new();
    builder.set_cache_size(CACHE_BYTES);
    builder.create_with_backend(backend)
}

fn write_format(database: &Database) -> Result<(), Failed> {
    let transaction = database.begin_write()?;
    transaction.open_table(ABOUT)?.insert(0, FORMAT)?;
    transaction.open_table(PIECES)?;
    transaction.commit()?;
    Ok(())
}

fn write_entries(database: &Database, entries: &[Entry]) -> Result<(), Failed> {
    let transaction = database.begin_write()?;
    {
        let mut table = transaction.open_table(PIECES)?;
        for entry in entries {
            let pieces = split(&entry.bytes);
            for (number, piece) in pieces.iter().enumerate() {
                table.insert((entry.slot, number as u16), piece.as_slice())?;
            }
            table.retain_in((entry.slot, pieces.len() as u16)..=(entry.slot, u16::MAX), |_, _| false)?;
        }
    }
    transaction.commit()?;
    Ok(())
}

/// The format, and the pieces of each slot one after the other.
fn read_wholes(database: &Database) -> Result<(u64, BTreeMap<u16, Vec<u8>>), Failed> {
    let transaction = database.begin_read()?;
    let format = transaction.open_table(ABOUT)?.get(0)?.map_or(0, |format| format.value());
    let mut wholes: BTreeMap<u16, Vec<u8>> = BTreeMap::new();
    for piece in transaction.open_table(PIECES)?.iter()? {
        let (key, bytes) = piece?;
        wholes.entry(key.value().0).or_default().extend_from_slice(bytes.value());
    }
    Ok((format, wholes))
}
