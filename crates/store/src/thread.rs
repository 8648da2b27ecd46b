//! A thread that waits for the disk in place of its caller.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Instant;

use crate::error::StoreError;
use crate::store::{Entry, Store};

/// Batches that may wait for the disk at once.
pub const MAX_WAITING: usize = 64;

/// Entries to be written together.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Given back with the end of the write.
    pub token: u64,
    /// All are written or none.
    pub entries: Vec<Entry>,
}

/// The end of a write.
#[derive(Clone, Debug)]
pub struct Done {
    /// Which batch.
    pub token: u64,
    /// Whether the disk holds it. After an error it may hold it or not.
    pub result: Result<(), Arc<StoreError>>,
}

/// The disk is so slow that [`MAX_WAITING`] batches wait. Nothing of the batch was written; try again when one
/// is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

impl fmt::Display for QueueFull {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{MAX_WAITING} writes wait for the disk; try again when one is done")
    }
}

impl std::error::Error for QueueFull {}

/// When the batches that are not done were handed in, oldest first.
type Pending = Arc<Mutex<VecDeque<Instant>>>;

/// A store behind a thread of its own. Batches that wait together are written together.
pub struct StorageThread {
    batches: SyncSender<Batch>,
    pending: Pending,
    thread: JoinHandle<()>,
}

impl StorageThread {
    /// Starts the thread. `report` is called on it with the end of each write, in the order of the batches; it
    /// must not wait for anything.
    pub fn start(store: Store, report: impl FnMut(Done) + Send + 'static) -> std::io::Result<StorageThread> {
        let (batches, received) = sync_channel(MAX_WAITING);
        let pending = Pending::default();
        let shared = pending.clone();
        let thread = std::thread::Builder::new().name("storage".to_owned());
        let thread = thread.spawn(move || write_batches(store, &received, &shared, report))?;
        Ok(StorageThread { batches, pending, thread })
    }

    /// Hands a batch in. Never waits for the disk.
    pub fn submit(&self, batch: Batch) -> Result<(), QueueFull> {
        let mut pending = lock(&self.pending);
        match self.batches.try_send(batch) {
            Ok(()) => {
                pending.push_back(Instant::now());
                Ok(())
            }
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => Err(QueueFull),
        }
    }

    /// Since when the oldest batch waits: a disk that hangs shows here.
    pub fn waiting_since(&self) -> Option<Instant> {
        lock(&self.pending).front().copied()
    }

    /// Writes what was handed in and ends the thread. Waits for the disk.
    pub fn finish(self) {
        drop(self.batches);
        // A panic of the thread was printed when it happened; there is nothing left to end.
        let _ = self.thread.join();
    }
}

fn lock(pending: &Pending) -> MutexGuard<'_, VecDeque<Instant>> {
    pending.lock().unwrap_or_else(PoisonError::into_inner)
}

fn write_batches(
    mut store: Store,
    received: &Receiver<Batch>,
    pending: &Pending,
    mut report: impl FnMut(Done),
) {
    while let Ok(first) = received.recv() {
        let mut tokens = Vec::new();
        let mut entries = BTreeMap::new();
        for batch in std::iter::once(first).chain(received.try_iter()) {
            tokens.push(batch.token);
            entries.extend(batch.entries.into_iter().map(|entry| (entry.slot, entry)));
        }
        let entries: Vec<Entry> = entries.into_values().collect();
        let result = store.write(&entries).map_err(Arc::new);
        for token in tokens {
            lock(pending).pop_front();
            report(Done { token, result: result.clone() });
        }
    }
}
