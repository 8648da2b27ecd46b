//! Where the file lives: a folder, or something else in tests.

use std::fmt::Debug;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use redb::backends::FileBackend;
use redb::{DatabaseError, StorageBackend};

/// Opens the bytes of the store. A store is made in two steps: what [`Medium::create`] gives becomes what
/// [`Medium::open`] gives once [`Medium::publish`] has returned.
pub trait Medium: Send {
    /// What messages call it.
    fn path(&self) -> &Path;
    /// The published store, `None` if there is none.
    fn open(&self) -> Result<Option<Arc<dyn StorageBackend>>, DatabaseError>;
    /// An empty place for a new store.
    fn create(&self) -> Result<Arc<dyn StorageBackend>, DatabaseError>;
    /// Makes what was created the store, durably.
    fn publish(&self) -> io::Result<()>;
}

/// A file in a folder.
#[derive(Debug)]
pub struct FileMedium {
    directory: PathBuf,
    path: PathBuf,
    new_path: PathBuf,
}

impl FileMedium {
    /// The store `name` in `directory`, which is made if it is not there.
    pub fn new(directory: &Path, name: &str) -> io::Result<FileMedium> {
        fs::create_dir_all(directory)?;
        let path = directory.join(name);
        let new_path = directory.join(format!("{name}.new"));
        Ok(FileMedium { directory: directory.to_owned(), path, new_path })
    }
}

impl Medium for FileMedium {
    fn path(&self) -> &Path {
        &self.path
    }

    fn open(&self) -> Result<Option<Arc<dyn StorageBackend>>, DatabaseError> {
        match OpenOptions::new().read(true).write(true).open(&self.path) {
            Ok(file) => Ok(Some(Arc::new(FileBackend::new(file)?))),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error.into()),
        }
    }

    fn create(&self) -> Result<Arc<dyn StorageBackend>, DatabaseError> {
        let mut options = OpenOptions::new();
        options.read(true).write(true).create(true).truncate(true);
        Ok(Arc::new(FileBackend::new(options.open(&self.new_path)?)?))
    }

    fn publish(&self) -> io::Result<()> {
        fs::rename(&self.new_path, &self.path)?;
        File::open(&self.directory)?.sync_all()
    }
}

/// Lets `redb` use a shared backend.
#[derive(Debug)]
pub(crate) struct SharedBackend(pub(crate) Arc<dyn StorageBackend>);

impl StorageBackend for SharedBackend {
    fn len(&self) -> io::Result<u64> {
        self.0.len()
    }

    fn read(&self, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        self.0.read(offset, length)
    }

    /// A longer file is synced at once. The header that speaks of the new length is written before the next
    /// sync; if power were lost then, the header could be there without the length.
    fn set_len(&self, length: u64) -> io::Result<()> {
        let is_longer = length > self.0.len()?;
        self.0.set_len(length)?;
        if is_longer {
            self.0.sync_data(false)?;
        }
        Ok(())
    }

    fn sync_data(&self, eventual: bool) -> io::Result<()> {
        self.0.sync_data(eventual)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.0.write(offset, data)
    }
}
