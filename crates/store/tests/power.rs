//! What a store gives back after losses of power.

mod fault;

use fault::written::{
    content, drawn_fate, entry, is_thorough, open, pattern, reopened, snapshots_during, written_store,
    Content,
};
use fault::{Fate, FaultyFile, FaultyMedium};
use rstest::rstest;

#[rstest]
#[case(1)]
#[case(2)]
#[case(7)]
fn power_lost_at_rest_loses_nothing(#[case] changes: u8) {
    let (medium, _store, expected) = written_store(changes);
    for fate in [Fate::Absent, Fate::Torn, Fate::Present] {
        let found = reopened(medium.file().after_power_loss(|_| fate)).expect("opens");
        assert_eq!(found, expected, "{fate:?}");
    }
}

#[test]
fn power_lost_within_a_write_leaves_all_of_it_or_nothing() {
    let (medium, mut store, before) = written_store(3);
    let after = [entry(16, &[99; 40]), entry(18, &pattern(9_000, 99))];
    let mut expected = before.clone();
    expected.extend(content(after.to_vec()));
    let file = medium.file();
    let snapshots = snapshots_during(&file, || store.write(&after).expect("writes"));
    assert!(snapshots.len() > 3, "{} moments", snapshots.len());
    let draws = if is_thorough() { 64 } else { 10 };
    for (moment, file) in snapshots.iter().enumerate() {
        for losses in 0..draws {
            let lost = file.after_power_loss(|index| drawn_fate(losses, moment, index));
            let found = reopened(lost).unwrap_or_else(|error| panic!("moment {moment}, {losses}: {error}"));
            assert!(found == before || found == expected, "moment {moment}, losses {losses}: {found:?}");
        }
    }
}

#[test]
fn power_lost_while_the_file_grows_leaves_all_of_a_write_or_nothing() {
    let (medium, mut store, before) = written_store(1);
    let after = [entry(18, &pattern(3 << 20, 99)), entry(16, &[99; 40])];
    let mut expected = before.clone();
    expected.extend(content(after.to_vec()));
    let file = medium.file();
    let snapshots = snapshots_during(&file, || store.write(&after).expect("writes"));
    let step = if is_thorough() { 1 } else { 1 + snapshots.len() / 12 };
    let late = snapshots.len().saturating_sub(4);
    for (moment, file) in
        snapshots.iter().enumerate().filter(|(moment, _)| moment % step == 0 || *moment >= late)
    {
        for draw in 0..4 {
            let lost = file.after_power_loss(|index| drawn_fate(draw, moment, index));
            let found = reopened(lost).unwrap_or_else(|error| panic!("moment {moment}, {draw}: {error}"));
            assert!(found == before || found == expected, "moment {moment}, {draw}");
        }
    }
}

/// The start of the file tells its length. It may reach the disk when a growth since the last sync does not.
#[test]
fn the_start_of_the_file_never_tells_of_a_growth_that_can_be_lost() {
    let (medium, mut store, before) = written_store(1);
    let after = [entry(18, &pattern(3 << 20, 99))];
    let file = medium.file();
    let snapshots = snapshots_during(&file, || store.write(&after).expect("writes"));
    let with_changed_start =
        snapshots.iter().filter(|file| file.with_only_its_start().bytes() != file.synced());
    let mut looked_at = 0;
    for file in with_changed_start {
        looked_at += 1;
        let found =
            reopened(file.with_only_its_start()).unwrap_or_else(|error| panic!("{looked_at}: {error}"));
        assert_eq!(found, before, "{looked_at}");
    }
    assert!(looked_at > 0);
}

/// Whatever is lost of what a start or an orderly end wrote, the content is there.
fn assert_whole_after_any_loss(snapshots: &[FaultyFile], expected: &Content) {
    for (moment, file) in snapshots.iter().enumerate() {
        for draw in 0..if is_thorough() { 12 } else { 2 } {
            let lost = file.after_power_loss(|index| drawn_fate(draw, moment, index));
            let found = reopened(lost).unwrap_or_else(|error| panic!("moment {moment}, {draw}: {error}"));
            assert_eq!(found, *expected, "moment {moment}, {draw}");
        }
        let found = reopened(file.with_only_its_start()).expect("opens");
        assert_eq!(found, *expected, "moment {moment}, its start");
    }
}

#[test]
fn power_lost_while_a_store_is_closed_loses_nothing() {
    let (medium, store, expected) = written_store(3);
    let snapshots = snapshots_during(&medium.file(), || drop(store));
    assert_whole_after_any_loss(&snapshots, &expected);
}

#[test]
fn power_lost_while_a_store_is_opened_after_a_loss_of_power_loses_nothing() {
    let (medium, _store, expected) = written_store(3);
    let file = medium.file().after_power_loss(|_| Fate::Present);
    let snapshots = snapshots_during(&file, || {
        assert_eq!(reopened(file.clone()).expect("opens"), expected);
    });
    assert!(!snapshots.is_empty());
    assert_whole_after_any_loss(&snapshots, &expected);
}

/// One life after the other on the same file, each ended by a loss of power within its last write.
#[test]
fn a_long_life_of_power_losses_loses_nothing_acknowledged() {
    let (lives, cycles) = if is_thorough() { (12, 60) } else { (3, 20) };
    for life in 0..lives {
        let mut file = written_store(0).0.file().after_power_loss(|_| Fate::Present);
        let mut content_now = reopened(FaultyFile::of_bytes(file.bytes())).expect("opens");
        for cycle in 0..cycles {
            let draw = life * 1_000 + cycle;
            let (next, acknowledged, attempted) = live_once(&file, &content_now, draw);
            let found = reopened(FaultyFile::of_bytes(next.bytes()))
                .unwrap_or_else(|error| panic!("life {life}, cycle {cycle}: {error}"));
            assert!(found == acknowledged || found == attempted, "life {life}, cycle {cycle}");
            (file, content_now) = (next, found);
        }
    }
}

/// Opens the file, writes three times, and loses power within the last write. Returns the file, what was
/// acknowledged and what would be there with the last write.
fn live_once(file: &FaultyFile, content_now: &Content, draw: u64) -> (FaultyFile, Content, Content) {
    let medium = FaultyMedium::with(FaultyFile::of_bytes(file.bytes()));
    let (mut store, found) = open(&medium).expect("opens");
    assert_eq!(found, *content_now);
    let mut acknowledged = found;
    let mut attempted = acknowledged.clone();
    let mut snapshots = Vec::new();
    for write in 0..3 {
        let number = draw * 3 + write;
        let entries = [
            entry(16 + (number % 5) as u16, &number.to_le_bytes()),
            entry(30 + (number % 3) as u16, &pattern((number * 7_919 % 200_000) as usize, number as u8)),
        ];
        acknowledged = attempted.clone();
        attempted.extend(content(entries.to_vec()));
        snapshots = snapshots_during(&medium.file(), || store.write(&entries).expect("writes"));
    }
    let moment = (draw * 13) as usize % snapshots.len();
    let lost = snapshots[moment].after_power_loss(|index| drawn_fate(draw, moment, index));
    (lost, acknowledged, attempted)
}

#[test]
fn a_disk_that_fills_up_and_loses_power_keeps_what_was_acknowledged() {
    let (medium, mut store, expected) = written_store(2);
    medium.file().set_full(true);
    store.write(&[entry(16, b"no room")]).expect_err("full");
    let lost = medium.file().after_power_loss(|index| [Fate::Torn, Fate::Absent][index % 2]);
    assert_eq!(reopened(lost).expect("opens"), expected);
}
