//! The files by which two processes of one coordinator know of each other: what is torn, foreign or old says nothing.

mod support;

use quickcheck::TestResult;
use std::path::PathBuf;
use steppick::net::shared::{ProcessState, SharedFiles, STALE};
use support::{check, Folder};

const NOW: f64 = 1_764_650_000_000.25;

fn state(id: u64, written_at: f64) -> ProcessState {
    ProcessState {
        id,
        started_at: NOW - 5000.0,
        written_at,
        is_serving: true,
        is_ending: false,
        is_directed: true,
        clients: 61,
        nodes: 24,
        open: 17,
    }
}

fn open(folder: &Folder, id: u64, now: f64) -> Option<SharedFiles> {
    SharedFiles::open(&folder.0, "127.0.0.1:7070".parse().expect("an address"), id, now)
}

fn slots(folder: &Folder) -> [PathBuf; 2] {
    [0, 1].map(|slot| folder.0.join(format!("steppick-127.0.0.1_7070-{slot}")))
}

#[test]
fn a_state_reads_back_as_it_was() {
    let state = state(u64::MAX, NOW);
    assert_eq!(ProcessState::decode(&state.encode()), Some(state));
}

#[test]
fn a_text_that_is_cut_anywhere_says_nothing() {
    let text = state(7, NOW).encode();
    for end in 0..text.len() {
        assert_eq!(ProcessState::decode(&text[..end]), None, "{end}");
        // The system may have put the rest of an older, longer text behind it.
        assert_eq!(
            ProcessState::decode(&format!("{}{text}", &text[..end])),
            (end == 0).then(|| state(7, NOW))
        );
    }
}

#[test]
fn a_text_with_changed_bytes_says_nothing() {
    let changed = |place: u16, byte: u8| {
        let sound = state(7, NOW).encode();
        let mut bytes = sound.clone().into_bytes();
        let place = usize::from(place) % bytes.len();
        bytes[place] = byte;
        let Ok(text) = String::from_utf8(bytes) else { return TestResult::discard() };
        // The checksum is written in lower case and read in either.
        let same = text.eq_ignore_ascii_case(&sound);
        TestResult::from_bool(same || ProcessState::decode(&text).is_none())
    };
    check(changed as fn(u16, u8) -> TestResult);
}

#[test]
fn a_file_of_another_version_says_nothing() {
    let text = state(7, NOW).encode().replacen("process-1", "process-2", 1);
    assert_eq!(ProcessState::decode(&text), None);
}

#[test]
fn each_of_two_processes_reads_the_other_and_a_third_takes_no_part() {
    let folder = Folder::new("shared-two");
    let first = open(&folder, 1, NOW).expect("a file");
    assert_eq!(first.other(NOW), None);
    first.write(&state(1, NOW)).expect("written");
    let second = open(&folder, 2, NOW).expect("the other file");
    second.write(&state(2, NOW)).expect("written");
    assert_eq!(first.other(NOW).map(|state| state.id), Some(2));
    assert_eq!(second.other(NOW).map(|state| state.id), Some(1));
    assert!(open(&folder, 3, NOW).is_none());
    drop(first);
    assert_eq!(second.other(NOW), None, "who ends in order takes its file along");
    assert!(open(&folder, 3, NOW).is_some());
}

#[test]
fn a_file_that_is_not_renewed_says_nothing_and_its_place_is_free() {
    let folder = Folder::new("shared-old");
    let [first, second] = slots(&folder);
    std::fs::write(&first, state(1, NOW).encode()).expect("written");
    std::fs::write(&second, state(2, NOW + 2.0 * STALE).encode()).expect("written");
    let later = NOW + STALE + 1.0;
    let mine = open(&folder, 3, later).expect("the place of the one that was killed");
    mine.write(&state(3, later)).expect("written");
    assert_eq!(
        ProcessState::decode(&std::fs::read_to_string(&first).expect("a file")).map(|s| s.id),
        Some(3)
    );
    assert!(mine.other(NOW + STALE / 2.0).is_none(), "written too far ahead of the clock");
    assert_eq!(mine.other(later).map(|state| state.id), Some(2));
    assert_eq!(mine.other(NOW + 3.0 * STALE + 1.0), None);
}

#[test]
fn what_another_process_put_in_the_own_place_stays_when_this_one_ends() {
    let folder = Folder::new("shared-lost");
    let mine = open(&folder, 1, NOW).expect("a file");
    mine.write(&state(1, NOW)).expect("written");
    // It was asleep for so long that another one took its place.
    let [first, _] = slots(&folder);
    std::fs::write(&first, state(2, NOW).encode()).expect("written");
    drop(mine);
    assert!(first.exists());
}

#[test]
fn a_folder_that_can_not_be_written_is_told_and_nothing_else_fails() {
    let folder = Folder::new("shared-none");
    let files = open(&folder, 1, NOW).expect("a file");
    std::fs::remove_dir_all(&folder.0).expect("removed");
    assert!(files.write(&state(1, NOW)).is_err());
    assert_eq!(files.other(NOW), None);
}
