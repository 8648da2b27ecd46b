//! The register's disk: a storage thread, or memory where the machine has no disk.

use process::Event;
use std::path::Path;
use std::time::Duration;

use register::{Record, StoredState, Value, WriteFailed, WriteToken};
use store::{Batch, Done, StorageThread, Store, StoreError};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::error::ControllerError;
use crate::event::ControllerEvent;

/// Time between attempts to open a disk that is full or refuses.
const OPEN_AGAIN: Duration = Duration::from_millis(200);

/// The end of a write.
#[derive(Debug)]
pub struct DiskDone {
    pub token: WriteToken,
    pub result: Result<(), WriteFailed>,
}

/// Takes the register's writes.
pub struct Disk {
    done: mpsc::UnboundedSender<DiskDone>,
    thread: Option<StorageThread>,
}

/// What was found on a disk.
pub struct Opened {
    pub disk: Disk,
    /// What the disk holds; `None` if it is empty.
    pub stored: Option<StoredState>,
    /// Whether the disk held something that can't be used any more, so that its acceptor is gone for good.
    pub was_damaged: bool,
    /// Where the ends of writes come out.
    pub ends: mpsc::UnboundedReceiver<DiskDone>,
}

impl Disk {
    /// Opens the folder. Waits while the disk is full or refuses.
    pub async fn open(folder: Option<&Path>) -> Result<Opened, ControllerError> {
        let (done, ends) = mpsc::unbounded_channel();
        let Some(folder) = folder else {
            let disk = Disk { done, thread: None };
            return Ok(Opened { disk, stored: None, was_damaged: false, ends });
        };
        let fault = |why: String| ControllerError::Disk(folder.to_path_buf(), why);
        let (store, stored, was_damaged) = open_store(folder).await?;
        let report = done.clone();
        let thread = StorageThread::start(store, move |end| {
            // Nobody hears of it once the process ends.
            let _ = report.send(ended(&end));
        });
        let thread = thread.map_err(|why| fault(why.to_string()))?;
        Ok(Opened { disk: Disk { done, thread: Some(thread) }, stored, was_damaged, ends })
    }

    /// Starts a write.
    pub fn write(&mut self, token: WriteToken, record: Record) {
        let Some(thread) = &self.thread else {
            let _ = self.done.send(DiskDone { token, result: Ok(()) });
            return;
        };
        let entries = record.entries.into_iter();
        let entries = entries.map(|entry| store::Entry { slot: entry.slot, bytes: entry.bytes.0 }).collect();
        if thread.submit(Batch { token: token.0, entries }).is_err() {
            let _ = self.done.send(DiskDone { token, result: Err(WriteFailed::Failed) });
        }
    }
}

fn ended(end: &Done) -> DiskDone {
    let result = end.result.clone().map_err(|why| {
        ControllerEvent::DiskRefused.warn(format_args!("{why}"));
        WriteFailed::Failed
    });
    DiskDone { token: WriteToken(end.token), result }
}

/// Opens the store and reads the acceptor's state. What is damaged is moved away: the machine is then a new
/// acceptor, as after the loss of its disk.
async fn open_store(folder: &Path) -> Result<(Store, Option<StoredState>, bool), ControllerError> {
    let mut was_damaged = false;
    loop {
        match Store::open(folder) {
            Ok((store, entries)) => match state(entries) {
                Ok(stored) => return Ok((store, stored, was_damaged)),
                Err(why) => {
                    ControllerEvent::DiskDamaged
                        .error(format_args!("{}: {why}; the file is moved away", folder.display()));
                    drop(store);
                }
            },
            // A former process of this machine may still be ending.
            Err(why) if why.may_pass() || matches!(why, StoreError::InUse { .. }) => {
                ControllerEvent::DiskRefused.warn(format_args!("{why}"));
                sleep(OPEN_AGAIN).await;
                continue;
            }
            Err(why @ StoreError::Damaged { .. }) => {
                ControllerEvent::DiskDamaged.error(format_args!("{why}; the file is moved away"))
            }
            Err(why) => return Err(ControllerError::Disk(folder.to_path_buf(), why.to_string())),
        }
        was_damaged = true;
        if let Err(why) = store::move_away(folder) {
            ControllerEvent::DiskRefused.warn(format_args!("{}: {why}", folder.display()));
            sleep(OPEN_AGAIN).await;
        }
    }
}

fn state(entries: Vec<store::Entry>) -> Result<Option<StoredState>, register::RecordError> {
    let entries = entries.into_iter();
    let entries =
        entries.map(|entry| register::record::Entry { slot: entry.slot, bytes: Value(entry.bytes) });
    StoredState::from_entries(entries)
}
