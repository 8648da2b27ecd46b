//! The disk of the register and that of ends of replicas: storage threads, or memory where the machine has no disk.
//!
//! Both lie in one folder, in files of their own: an earlier release that follows finds in the register's what it knows.

use process::Event;
use std::path::{Path, PathBuf};
use std::thread::sleep;
use std::time::Duration;

use register::record::Entry;
use register::{Record, StoredState, Value, WriteFailed, WriteToken};
use store::{Batch, Done, StorageThread, Store, StoreError};
use tokio::sync::{mpsc, oneshot};

use crate::ends::StoredEnds;
use crate::error::ControllerError;
use crate::event::ControllerEvent;
use crate::surroundings::OpenMedium;

/// Time between attempts to open a disk that is full or refuses.
const OPEN_AGAIN: Duration = Duration::from_millis(200);
/// The file of the register.
const REGISTER_FILE: &str = store::FILE_NAME;
/// The file of ends of replicas.
const ENDS_FILE: &str = "ends.redb";

/// The end of a write.
#[derive(Debug)]
pub struct DiskDone {
    pub writer: Writer,
    pub token: WriteToken,
    pub result: Result<(), WriteFailed>,
}

/// Whose write came to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Writer {
    Register,
    Ends,
}

/// Takes writes of one file.
pub struct Disk {
    writer: Writer,
    done: mpsc::UnboundedSender<DiskDone>,
    thread: Option<StorageThread>,
}

/// Comes to its end when the disk is open.
pub type Opening = oneshot::Receiver<Result<Opened, ControllerError>>;

/// What was found on a disk.
pub struct Opened {
    pub register: Disk,
    pub ends: Disk,
    /// What the register's file holds; `None` if it is empty.
    pub stored: Option<StoredState>,
    pub stored_ends: StoredEnds,
    /// Whether the disk held something that can't be used any more, so that its acceptor is gone for good.
    pub was_damaged: bool,
}

/// What was read from both files.
struct Contents {
    register: (Store, Option<StoredState>),
    ends: (Store, StoredEnds),
}

impl Disk {
    /// Opens the folder on a thread of its own, since a disk may hang. Waits while it is full or refuses. The ends
    /// of writes go to `done`.
    pub fn open(
        folder: Option<PathBuf>,
        open_medium: OpenMedium,
        done: mpsc::UnboundedSender<DiskDone>,
    ) -> Opening {
        let (opened, opening) = oneshot::channel();
        std::thread::spawn(move || {
            // Nobody waits for it once the process ends.
            let _ = opened.send(Disk::open_now(folder.as_deref(), open_medium, done));
        });
        opening
    }

    fn open_now(
        folder: Option<&Path>,
        open_medium: OpenMedium,
        done: mpsc::UnboundedSender<DiskDone>,
    ) -> Result<Opened, ControllerError> {
        let Some(folder) = folder else {
            let in_memory = |writer| Disk { writer, done: done.clone(), thread: None };
            return Ok(Opened {
                register: in_memory(Writer::Register),
                ends: in_memory(Writer::Ends),
                stored: None,
                stored_ends: StoredEnds::default(),
                was_damaged: false,
            });
        };
        let (Contents { register: (register, stored), ends: (ends, stored_ends) }, was_damaged) =
            open_stores(folder, open_medium)?;
        let fault = |why: std::io::Error| ControllerError::Disk(folder.to_path_buf(), why.to_string());
        Ok(Opened {
            register: Disk::start(Writer::Register, register, &done).map_err(fault)?,
            ends: Disk::start(Writer::Ends, ends, &done).map_err(fault)?,
            stored,
            stored_ends,
            was_damaged,
        })
    }

    fn start(writer: Writer, store: Store, done: &mpsc::UnboundedSender<DiskDone>) -> std::io::Result<Disk> {
        let report = done.clone();
        let thread = StorageThread::start(store, move |end| {
            // Nobody hears of it once the process ends.
            let _ = report.send(ended(writer, &end));
        })?;
        Ok(Disk { writer, done: done.clone(), thread: Some(thread) })
    }

    /// Starts a write.
    pub fn write(&mut self, token: WriteToken, record: Record) {
        let writer = self.writer;
        let Some(thread) = &self.thread else {
            let _ = self.done.send(DiskDone { writer, token, result: Ok(()) });
            return;
        };
        let entries = record.entries.into_iter();
        let entries = entries.map(|entry| store::Entry { slot: entry.slot, bytes: entry.bytes.0 }).collect();
        if thread.submit(Batch { token: token.0, entries }).is_err() {
            let _ = self.done.send(DiskDone { writer, token, result: Err(WriteFailed::Failed) });
        }
    }
}

fn ended(writer: Writer, end: &Done) -> DiskDone {
    let result = end.result.clone().map_err(|why| {
        ControllerEvent::DiskRefused.warn(format_args!("{why}"));
        WriteFailed::Failed
    });
    DiskDone { writer, token: WriteToken(end.token), result }
}

/// Opens the files and reads them. Where one is damaged both are moved away: the machine is then a new acceptor, as after the
/// loss of its disk.
fn open_stores(folder: &Path, open_medium: OpenMedium) -> Result<(Contents, bool), ControllerError> {
    let mut was_damaged = false;
    loop {
        match read_stores(folder, open_medium) {
            Ok(contents) => return Ok((contents, was_damaged)),
            // A former process of this machine may still be ending.
            Err(Unreadable::Store(why)) if why.may_pass() || matches!(why, StoreError::InUse { .. }) => {
                ControllerEvent::DiskRefused.warn(format_args!("{why}"));
                sleep(OPEN_AGAIN);
                continue;
            }
            Err(Unreadable::Store(why @ StoreError::Damaged { .. })) => {
                ControllerEvent::DiskDamaged.error(format_args!("{why}; the files are moved away"))
            }
            Err(Unreadable::Store(why)) => {
                return Err(ControllerError::Disk(folder.to_path_buf(), why.to_string()))
            }
            Err(Unreadable::Content(why)) => ControllerEvent::DiskDamaged
                .error(format_args!("{}: {why}; the files are moved away", folder.display())),
        }
        was_damaged = true;
        for name in [REGISTER_FILE, ENDS_FILE] {
            if let Err(why) = store::move_away(folder, name) {
                ControllerEvent::DiskRefused.warn(format_args!("{}: {why}", folder.display()));
                sleep(OPEN_AGAIN);
            }
        }
    }
}

/// Why a file can't be used.
enum Unreadable {
    Store(StoreError),
    Content(String),
}

impl From<StoreError> for Unreadable {
    fn from(why: StoreError) -> Unreadable {
        Unreadable::Store(why)
    }
}

fn open_store(
    folder: &Path,
    name: &str,
    open_medium: OpenMedium,
) -> Result<(Store, Vec<store::Entry>), StoreError> {
    let medium = open_medium(folder, name).map_err(|cause| StoreError::of_io(folder, cause))?;
    Store::open_on(medium)
}

fn read_stores(folder: &Path, open_medium: OpenMedium) -> Result<Contents, Unreadable> {
    let content = |why: &dyn std::fmt::Display| Unreadable::Content(why.to_string());
    let (register, found) = open_store(folder, REGISTER_FILE, open_medium)?;
    let stored = StoredState::from_entries(found.into_iter().map(entry)).map_err(|why| content(&why))?;
    let (ends, found) = open_store(folder, ENDS_FILE, open_medium)?;
    let stored_ends = StoredEnds::from_entries(found.into_iter().map(entry)).map_err(|why| content(&why))?;
    Ok(Contents { register: (register, stored), ends: (ends, stored_ends) })
}

fn entry(stored: store::Entry) -> Entry {
    Entry { slot: stored.slot, bytes: Value(stored.bytes) }
}
