//! A disk for controllers of the test build: it keeps in memory what was not synced, so that a process that is killed, as by a
//! loss of power, loses it; and while it is in trouble it delays syncs, fails them, or refuses writes.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use redb::{DatabaseError, StorageBackend};
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use store::{FileMedium, Medium};

/// Names the seed of the disk's troubles; without it the disk has none, and only forgets what was not synced.
pub const SEED_VARIABLE: &str = "SOAK_DISK_SEED";
/// What is wrong is drawn anew so often.
const SPELL_MS: u128 = 700;
/// A disk that is started is well for so long.
const WELL_FIRST: Duration = Duration::from_millis(2_500);
/// Longest time of a sync in a slow spell.
const SLOWEST_SYNC_MS: u64 = 400;
/// One write in so many reaches the file before it is synced.
const WRITTEN_EARLY_ONE_IN: u32 = 4;

/// What is wrong in one spell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    SlowSyncs,
    FailedSyncs,
    RefusedWrites,
}

/// A file in a folder, on such a disk.
#[derive(Debug)]
struct SoakMedium {
    file: FileMedium,
    troubles: Troubles,
}

/// When which trouble comes.
#[derive(Debug, Clone, Copy)]
struct Troubles {
    seed: Option<u64>,
    started: Instant,
}

/// Opens a file on such a disk.
pub fn open(folder: &Path, name: &str) -> io::Result<Box<dyn Medium>> {
    let seed = std::env::var(SEED_VARIABLE).ok().and_then(|text| text.parse().ok());
    let troubles = Troubles { seed, started: Instant::now() };
    Ok(Box::new(SoakMedium { file: FileMedium::new(folder, name)?, troubles }))
}

impl Troubles {
    /// The same for all files of a disk, since it goes by the time of day.
    fn now(&self) -> Trouble {
        let Some(seed) = self.seed else { return Trouble::None };
        if self.started.elapsed() < WELL_FIRST {
            return Trouble::None;
        }
        let spell = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() / SPELL_MS;
        match SmallRng::seed_from_u64(seed ^ spell as u64).random_range(0..10) {
            0..=1 => Trouble::SlowSyncs,
            2 => Trouble::FailedSyncs,
            3 => Trouble::RefusedWrites,
            _ => Trouble::None,
        }
    }
}

impl Medium for SoakMedium {
    fn path(&self) -> &Path {
        self.file.path()
    }

    fn open(&self) -> Result<Option<Arc<dyn StorageBackend>>, DatabaseError> {
        let file = self.file.open()?;
        file.map(|file| SoakFile::over(file, self.troubles)).transpose().map_err(DatabaseError::from)
    }

    fn create(&self) -> Result<Arc<dyn StorageBackend>, DatabaseError> {
        SoakFile::over(self.file.create()?, self.troubles).map_err(DatabaseError::from)
    }

    fn publish(&self) -> io::Result<()> {
        self.file.publish()
    }
}

/// Writes that were not synced, over the file.
#[derive(Debug)]
struct SoakFile {
    file: Arc<dyn StorageBackend>,
    troubles: Troubles,
    unsynced: Mutex<Unsynced>,
}

#[derive(Debug)]
struct Unsynced {
    length: u64,
    writes: Vec<(u64, Vec<u8>)>,
    random: SmallRng,
}

impl SoakFile {
    fn over(file: Arc<dyn StorageBackend>, troubles: Troubles) -> io::Result<Arc<dyn StorageBackend>> {
        let length = file.len()?;
        let random = SmallRng::seed_from_u64(troubles.seed.unwrap_or_default());
        let unsynced = Mutex::new(Unsynced { length, writes: Vec::new(), random });
        Ok(Arc::new(SoakFile { file, troubles, unsynced }))
    }

    fn unsynced(&self) -> MutexGuard<'_, Unsynced> {
        self.unsynced.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn refuse(&self, when: Trouble, why: io::ErrorKind) -> io::Result<()> {
        if self.troubles.now() == when {
            return Err(io::Error::new(why, "the disk of this test is in trouble"));
        }
        Ok(())
    }
}

impl StorageBackend for SoakFile {
    fn len(&self) -> io::Result<u64> {
        Ok(self.unsynced().length)
    }

    fn read(&self, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let unsynced = self.unsynced();
        let mut bytes = vec![0; length];
        let on_file = self.file.len()?.saturating_sub(offset).min(length as u64) as usize;
        bytes[..on_file].copy_from_slice(&self.file.read(offset, on_file)?);
        for (at, written) in &unsynced.writes {
            lay_over(&mut bytes, offset, written, *at);
        }
        Ok(bytes)
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        self.refuse(Trouble::RefusedWrites, io::ErrorKind::StorageFull)?;
        self.unsynced().length = length;
        Ok(())
    }

    fn sync_data(&self, _eventual: bool) -> io::Result<()> {
        if self.troubles.now() == Trouble::SlowSyncs {
            let time = self.unsynced().random.random_range(1..SLOWEST_SYNC_MS);
            sleep(Duration::from_millis(time));
        }
        self.refuse(Trouble::FailedSyncs, io::ErrorKind::Other)?;
        let mut unsynced = self.unsynced();
        if self.file.len()? != unsynced.length {
            self.file.set_len(unsynced.length)?;
        }
        for (at, written) in std::mem::take(&mut unsynced.writes) {
            self.file.write(at, &written)?;
        }
        self.file.sync_data(false)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.refuse(Trouble::RefusedWrites, io::ErrorKind::StorageFull)?;
        let mut unsynced = self.unsynced();
        let fits = offset + data.len() as u64 <= self.file.len()?;
        if fits && unsynced.random.random_ratio(1, WRITTEN_EARLY_ONE_IN) {
            self.file.write(offset, data)?;
        }
        unsynced.writes.push((offset, data.to_vec()));
        Ok(())
    }
}

/// Copies the part of `written`, which begins at `at`, that lies in `bytes`, which begin at `offset`.
fn lay_over(bytes: &mut [u8], offset: u64, written: &[u8], at: u64) {
    let begin = at.max(offset);
    let end = (at + written.len() as u64).min(offset + bytes.len() as u64);
    if begin >= end {
        return;
    }
    let source = &written[(begin - at) as usize..(end - at) as usize];
    bytes[(begin - offset) as usize..(end - offset) as usize].copy_from_slice(source);
}
