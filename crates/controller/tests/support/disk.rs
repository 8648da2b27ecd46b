//! A simulated disk: entries that are written together after a while.

use std::collections::BTreeMap;

use controller::ends::StoredEnds;
use register::record::Entry;
use register::{Record, StoredState, Value, WriteToken};

/// A write under way.
struct Write {
    token: WriteToken,
    record: Record,
    done_at: u64,
}

#[derive(Default)]
pub struct Disk {
    entries: BTreeMap<u16, Value>,
    writes: Vec<Write>,
    pub hangs: bool,
}

impl Disk {
    pub fn start(&mut self, token: WriteToken, record: Record, done_at: u64) {
        self.writes.push(Write { token, record, done_at });
    }

    /// The writes that end by `now`.
    pub fn end(&mut self, now: u64) -> Vec<WriteToken> {
        if self.hangs {
            return Vec::new();
        }
        let (done, left): (Vec<Write>, Vec<Write>) =
            self.writes.drain(..).partition(|write| write.done_at <= now);
        self.writes = left;
        let mut tokens = Vec::new();
        for write in done {
            for entry in write.record.entries {
                self.entries.insert(entry.slot, entry.bytes);
            }
            tokens.push(write.token);
        }
        tokens
    }

    /// What a process that starts finds; writes that had not ended are not there.
    fn found(&mut self) -> impl Iterator<Item = Entry> + '_ {
        self.writes.clear();
        self.entries.iter().map(|(slot, bytes)| Entry { slot: *slot, bytes: bytes.clone() })
    }

    /// What the disk holds of the register.
    pub fn stored(&mut self) -> Option<StoredState> {
        StoredState::from_entries(self.found()).expect("entries that were written can be read")
    }

    /// What the disk holds of ended replicas.
    pub fn stored_ends(&mut self) -> StoredEnds {
        StoredEnds::from_entries(self.found()).expect("entries that were written can be read")
    }

    /// The slots that hold something.
    pub fn slots(&self) -> impl Iterator<Item = u16> + '_ {
        self.entries.keys().copied()
    }

    /// Bytes of all entries.
    pub fn bytes(&self) -> usize {
        self.entries.values().map(|bytes| bytes.0.len()).sum()
    }

    pub fn wipe(&mut self) {
        self.entries.clear();
        self.writes.clear();
    }
}
