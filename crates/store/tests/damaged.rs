//! Files with drawn damage: no panic, and either what was written once or a typed error that names a remedy.

mod fault;

use fault::written::{content, entry, open, pattern, reopened, Content};
use fault::{FaultyFile, FaultyMedium};
use proptest::prelude::*;
use stand_in::damage::{damaged, edits};
use store::StoreError;

/// A file after some writes, and what it held after each of them.
fn written(changes: u8) -> (Vec<u8>, Vec<Content>) {
    let medium = FaultyMedium::default();
    let (mut store, empty) = open(&medium).expect("opens");
    let mut states = vec![empty];
    for change in 0..=changes {
        let entries = [entry(16, &[change; 40]), entry(18, &pattern(3_000, change)), entry(0, b"id")];
        store.write(&entries).expect("writes");
        let mut state = states.last().cloned().unwrap_or_default();
        state.extend(content(entries.to_vec()));
        states.push(state);
    }
    drop(store);
    (medium.file().bytes(), states)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_damaged_file_gives_what_was_written_or_a_remedy(changes in 0..4_u8, edits in edits()) {
        let (bytes, states) = written(changes);
        match reopened(FaultyFile::of_bytes(damaged(&bytes, &edits))) {
            Ok(found) => prop_assert!(states.contains(&found), "content that nobody wrote"),
            Err(why) => {
                let is_typed = matches!(why, StoreError::Damaged { .. } | StoreError::Format { .. } | StoreError::Io { .. });
                prop_assert!(is_typed, "{why:?}");
                prop_assert!(why.to_string().contains(';'), "no remedy: {why}");
            }
        }
    }
}
