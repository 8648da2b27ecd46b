//! A medium in memory whose disk can fill up, lose power and be cut off.
#![allow(dead_code)]

pub mod written;

use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};

use redb::{DatabaseError, StorageBackend};
use store::Medium;

/// A write or change of length since the last sync.
#[derive(Clone, Debug)]
enum Change {
    Write { offset: usize, bytes: Vec<u8> },
    Length(usize),
}

/// What becomes of a write that was not synced when power went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Present,
    Absent,
    /// Only the first half is there.
    Torn,
}

#[derive(Clone, Debug, Default)]
struct Bytes {
    synced: Vec<u8>,
    changes: Vec<Change>,
    now: Vec<u8>,
}

#[derive(Debug, Default)]
struct Disk {
    bytes: Bytes,
    changes_until_full: Option<usize>,
    is_hanging: bool,
    syncs: usize,
    record: Option<Vec<FaultyFile>>,
}

/// One file in memory; clones share it.
#[derive(Clone, Debug, Default)]
pub struct FaultyFile {
    disk: Arc<(Mutex<Disk>, Condvar)>,
}

impl FaultyFile {
    pub fn of_bytes(bytes: Vec<u8>) -> FaultyFile {
        let file = FaultyFile::default();
        file.lock().bytes = Bytes { synced: bytes.clone(), changes: Vec::new(), now: bytes };
        file
    }

    fn lock(&self) -> MutexGuard<'_, Disk> {
        self.disk.0.lock().expect("no test panics with the lock")
    }

    /// Writes are refused from now on, as on a full disk, or taken again.
    pub fn set_full(&self, is_full: bool) {
        self.lock().changes_until_full = is_full.then_some(0);
    }

    /// The disk is full after so many more changes.
    pub fn set_full_after(&self, changes: usize) {
        self.lock().changes_until_full = Some(changes);
    }

    /// Writes and syncs wait until it ends.
    pub fn set_hanging(&self, is_hanging: bool) {
        self.lock().is_hanging = is_hanging;
        self.disk.1.notify_all();
    }

    pub fn bytes(&self) -> Vec<u8> {
        self.lock().bytes.now.clone()
    }

    /// What a loss of power cannot take.
    pub fn synced(&self) -> Vec<u8> {
        self.lock().bytes.synced.clone()
    }

    pub fn syncs(&self) -> usize {
        self.lock().syncs
    }

    pub fn unsynced(&self) -> usize {
        self.lock().bytes.changes.len()
    }

    /// The file after a loss of power; `fate` tells what becomes of each unsynced change.
    pub fn after_power_loss(&self, fate: impl Fn(usize) -> Fate) -> FaultyFile {
        let disk = self.lock();
        let mut bytes = disk.bytes.synced.clone();
        for (index, change) in disk.bytes.changes.iter().enumerate() {
            apply(&mut bytes, change, fate(index));
        }
        FaultyFile::of_bytes(bytes)
    }

    /// From now on the file is kept as it is before each change and sync.
    pub fn record(&self) {
        self.lock().record = Some(Vec::new());
    }

    /// What was kept since [`FaultyFile::record`].
    pub fn recorded(&self) -> Vec<FaultyFile> {
        self.lock().record.take().unwrap_or_default()
    }

    /// The file after a loss of power that takes all since the last sync except what was written at its start.
    pub fn with_only_its_start(&self) -> FaultyFile {
        let disk = self.lock();
        let mut bytes = disk.bytes.synced.clone();
        for change in &disk.bytes.changes {
            if matches!(change, Change::Write { offset: 0, .. }) {
                apply(&mut bytes, change, Fate::Present);
            }
        }
        FaultyFile::of_bytes(bytes)
    }

    fn change(&self, change: Change) -> io::Result<()> {
        let mut disk = self.wait_while_hanging();
        disk.keep();
        match &mut disk.changes_until_full {
            Some(0) => return Err(io::ErrorKind::StorageFull.into()),
            Some(left) => *left -= 1,
            None => {}
        }
        apply(&mut disk.bytes.now, &change, Fate::Present);
        disk.bytes.changes.push(change);
        Ok(())
    }

    fn wait_while_hanging(&self) -> MutexGuard<'_, Disk> {
        let (_, ended) = &*self.disk;
        ended.wait_while(self.lock(), |disk| disk.is_hanging).expect("no test panics with the lock")
    }
}

impl Disk {
    fn keep(&mut self) {
        if let Some(record) = &mut self.record {
            let file = FaultyFile::default();
            file.lock().bytes = self.bytes.clone();
            record.push(file);
        }
    }
}

fn apply(bytes: &mut Vec<u8>, change: &Change, fate: Fate) {
    match (change, fate) {
        (_, Fate::Absent) => {}
        (Change::Length(length), _) => bytes.resize(*length, 0),
        (Change::Write { offset, bytes: written }, fate) => {
            let length = if fate == Fate::Torn { written.len() / 2 } else { written.len() };
            let end = offset + length;
            if bytes.len() < end {
                bytes.resize(end, 0);
            }
            bytes[*offset..end].copy_from_slice(&written[..length]);
        }
    }
}

impl StorageBackend for FaultyFile {
    fn len(&self) -> io::Result<u64> {
        Ok(self.lock().bytes.now.len() as u64)
    }

    fn read(&self, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let disk = self.lock();
        let range = offset as usize..offset as usize + length;
        disk.bytes.now.get(range).map(<[u8]>::to_vec).ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        self.change(Change::Length(length as usize))
    }

    fn sync_data(&self, _eventual: bool) -> io::Result<()> {
        let mut disk = self.wait_while_hanging();
        disk.keep();
        disk.syncs += 1;
        disk.bytes.synced = disk.bytes.now.clone();
        disk.bytes.changes.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.change(Change::Write { offset: offset as usize, bytes: data.to_vec() })
    }
}

/// A folder with one file, published or not.
#[derive(Clone, Debug, Default)]
pub struct FaultyMedium {
    pub published: Arc<Mutex<Option<FaultyFile>>>,
    created: Arc<Mutex<Option<FaultyFile>>>,
    is_full_when_created: Arc<AtomicBool>,
}

impl FaultyMedium {
    pub fn with(file: FaultyFile) -> FaultyMedium {
        let medium = FaultyMedium::default();
        *medium.published.lock().expect("unharmed") = Some(file);
        medium
    }

    pub fn set_full_when_created(&self, is_full: bool) {
        self.is_full_when_created.store(is_full, Ordering::Relaxed);
    }

    pub fn file(&self) -> FaultyFile {
        self.published.lock().expect("unharmed").clone().expect("published")
    }
}

impl Medium for FaultyMedium {
    fn path(&self) -> &Path {
        Path::new("data/state.redb")
    }

    fn open(&self) -> Result<Option<Arc<dyn StorageBackend>>, DatabaseError> {
        let published = self.published.lock().expect("unharmed");
        Ok(published.clone().map(|file| Arc::new(file) as Arc<dyn StorageBackend>))
    }

    fn create(&self) -> Result<Arc<dyn StorageBackend>, DatabaseError> {
        let file = FaultyFile::default();
        file.set_full(self.is_full_when_created.load(Ordering::Relaxed));
        *self.created.lock().expect("unharmed") = Some(file.clone());
        Ok(Arc::new(file))
    }

    fn publish(&self) -> io::Result<()> {
        let created = self.created.lock().expect("unharmed").take();
        *self.published.lock().expect("unharmed") = created;
        Ok(())
    }
}
