//! Stores with content, and what is found when they are opened again.

use std::collections::BTreeMap;

use store::{Entry, Store, StoreError};

use super::{Fate, FaultyFile, FaultyMedium};

pub type Content = BTreeMap<u16, Vec<u8>>;

pub fn entry(slot: u16, bytes: &[u8]) -> Entry {
    Entry { slot, bytes: bytes.into() }
}

pub fn content(entries: Vec<Entry>) -> Content {
    entries.into_iter().map(|entry| (entry.slot, entry.bytes.to_vec())).collect()
}

pub fn open(medium: &FaultyMedium) -> Result<(Store, Content), StoreError> {
    let (store, entries) = Store::open_on(Box::new(medium.clone()))?;
    Ok((store, content(entries)))
}

pub fn reopened(file: FaultyFile) -> Result<Content, StoreError> {
    open(&FaultyMedium::with(file)).map(|(_, content)| content)
}

/// Bytes that differ from place to place.
pub fn pattern(length: usize, salt: u8) -> Vec<u8> {
    (0..length).map(|at| (at % 251) as u8 ^ salt).collect()
}

/// A store with `changes` writes after the first, each acknowledged.
pub fn written_store(changes: u8) -> (FaultyMedium, Store, Content) {
    let medium = FaultyMedium::default();
    let (mut store, _) = open(&medium).expect("opens");
    let mut expected = Content::new();
    for change in 0..=changes {
        let entries = [entry(16, &[change; 40]), entry(18, &pattern(3_000, change)), entry(0, b"id")];
        store.write(&entries).expect("writes");
        expected.extend(content(entries.to_vec()));
    }
    (medium, store, expected)
}

/// A different fate for each unsynced change, moment and draw.
pub fn drawn_fate(draw: u64, moment: usize, index: usize) -> Fate {
    let mixed = (draw * 31 + moment as u64 * 7 + index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 60;
    [Fate::Present, Fate::Absent, Fate::Torn][mixed as usize % 3]
}

/// The file as it is before each of its changes while `action` runs.
pub fn snapshots_during(file: &FaultyFile, action: impl FnOnce()) -> Vec<FaultyFile> {
    file.record();
    action();
    file.recorded()
}

pub fn thorough_step() -> Option<usize> {
    std::env::var("STORE_CUT_STEP").ok().map(|step| step.parse().expect("a number"))
}

pub fn is_thorough() -> bool {
    thorough_step().is_some()
}
