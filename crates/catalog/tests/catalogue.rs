//! The table of replicas: merges in any order agree, silence is judged late and taken back, changes reach
//! subscribers.

use std::net::{Ipv4Addr, SocketAddrV4};

use catalog::{home_of, Beat, Catalog, Controller, Heard, Limits, Merged, ModelVersion, Record, State};
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rstest::rstest;

const BEAT_MS: u64 = 1_200;
const REUSE_MS: u64 = 2_000;

fn catalogue() -> Catalog {
    Catalog::new(Limits::for_beats(BEAT_MS, REUSE_MS))
}

fn address(last: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), 8080)
}

fn record(id: &str, last: u8, beat: u64, state: State) -> Record {
    Record {
        id: id.to_string(),
        service: "reader".to_string(),
        address: address(last),
        zone: "north".to_string(),
        free_slots: 12,
        state,
        beat,
        models: vec![ModelVersion { name: "m".to_string(), version: 1 }],
        cold_left_ms: 0,
        software: "v1".to_string(),
    }
}

fn state_of(catalogue: &Catalog, id: &str) -> Option<State> {
    catalogue.get(id).map(|record| record.state)
}

#[rstest]
fn a_heartbeat_that_changes_nothing_is_no_news() {
    let mut table = catalogue();
    assert_eq!(table.heartbeat(0, record("a", 1, 1, State::Ready)), Heard::News);
    assert_eq!(table.heartbeat(BEAT_MS, record("a", 1, 2, State::Ready)), Heard::Same);
    assert_eq!(table.heartbeat(2 * BEAT_MS, record("a", 1, 3, State::Draining)), Heard::News);
    assert_eq!(table.heartbeat(2 * BEAT_MS, record("a", 1, 2, State::Ready)), Heard::Late);
    assert_eq!(state_of(&table, "a"), Some(State::Draining));
}

#[rstest]
fn an_end_is_final_whatever_comes_later() {
    let mut table = catalogue();
    table.heartbeat(0, record("a", 1, 1, State::Ready));
    assert!(table.leave(10, "a"));
    assert!(!table.leave(20, "a"), "the second leave is no news");
    assert_eq!(table.heartbeat(30, record("a", 1, 9, State::Ready)), Heard::Late);
    assert_eq!(table.merge(30, record("a", 1, 9, State::Ready)), Merged::Older);
    assert_eq!(state_of(&table, "a"), Some(State::Gone));
}

#[rstest]
fn the_end_of_an_unknown_replica_is_kept_and_told() {
    let mut table = catalogue();
    assert!(table.leave(10, "a"));
    assert_eq!(table.heartbeat(20, record("a", 1, 3, State::Draining)), Heard::Late);
    assert_eq!(table.snapshot().len(), 1);
}

#[rstest]
#[case::three_missed(3 * BEAT_MS, State::Ready)]
#[case::three_missed_and_the_slack(3 * BEAT_MS + BEAT_MS / 4 + 1, State::Lost)]
fn silence_makes_a_replica_lost(#[case] silent: u64, #[case] expected: State) {
    let mut table = catalogue();
    table.heartbeat(0, record("a", 1, 1, State::Ready));
    table.tick(silent, true);
    assert_eq!(state_of(&table, "a"), Some(expected));
}

#[rstest]
fn without_a_majority_nothing_is_said_lost() {
    let mut table = catalogue();
    table.heartbeat(0, record("a", 1, 1, State::Ready));
    assert!(!table.tick(60_000, false));
    assert_eq!(state_of(&table, "a"), Some(State::Ready));
}

#[rstest]
fn a_peer_that_hears_a_replica_keeps_it_ready() {
    let mut table = catalogue();
    table.merge(0, record("a", 1, 1, State::Ready));
    table.peer_beats(3_000, &[Beat { id: "a".to_string(), beat: 4 }]);
    table.tick(5_000, true);
    assert_eq!(state_of(&table, "a"), Some(State::Ready));
}

/// It is lost as of the last heartbeat that anybody heard: an older word of it takes nothing back.
#[rstest]
fn a_replica_is_lost_as_of_its_last_heartbeat() {
    let mut table = catalogue();
    table.merge(0, record("a", 1, 1, State::Ready));
    table.peer_beats(3_000, &[Beat { id: "a".to_string(), beat: 4 }]);
    table.tick(8_000, true);
    assert_eq!(table.merge(8_100, record("a", 1, 3, State::Ready)), Merged::Older);
    assert_eq!(state_of(&table, "a"), Some(State::Lost));
}

#[rstest]
fn a_controller_that_hears_a_replica_corrects_one_that_calls_it_lost() {
    let (mut hears, mut silent) = (catalogue(), catalogue());
    hears.heartbeat(0, record("a", 1, 1, State::Ready));
    silent.merge(0, record("a", 1, 1, State::Ready));
    for beat in 2..6 {
        hears.heartbeat(beat * BEAT_MS, record("a", 1, beat, State::Ready));
    }
    assert!(silent.tick(5 * BEAT_MS, true));
    let lost = silent.get("a").cloned().expect("known");
    assert_eq!(lost.state, State::Lost);

    assert_eq!(hears.merge(5 * BEAT_MS, lost), Merged::Older);
    let better = hears.get("a").cloned().expect("known");
    assert_eq!(silent.merge(5 * BEAT_MS, better), Merged::News);
    assert_eq!(state_of(&silent, "a"), Some(State::Ready));
}

#[rstest]
fn what_a_record_says_is_not_hidden_by_a_heartbeat_number_that_came_first() {
    let mut table = catalogue();
    table.merge(0, record("a", 1, 1, State::Ready));
    table.peer_beats(100, &[Beat { id: "a".to_string(), beat: 2 }]);
    let newer = Record {
        models: vec![ModelVersion { name: "m".to_string(), version: 2 }],
        ..record("a", 1, 2, State::Ready)
    };
    assert_eq!(table.merge(110, newer), Merged::News);
    assert_eq!(table.get("a").map(|record| record.models[0].version), Some(2));
}

#[rstest]
fn weights_seen_between_two_heartbeats_reach_others_and_are_not_taken_back() {
    let (mut here, mut there) = (catalogue(), catalogue());
    here.heartbeat(0, record("a", 1, 5, State::Ready));
    there.merge(0, record("a", 1, 5, State::Ready));
    let newer = vec![ModelVersion { name: "m".to_string(), version: 2 }];
    assert!(here.note_models("a", &newer).is_some());
    let told = here.get("a").cloned().expect("known");
    assert_eq!(there.merge(10, told), Merged::News, "though its heartbeat is the same");
    assert_eq!(there.get("a").map(|record| record.models.clone()), Some(newer.clone()));

    here.heartbeat(20, record("a", 1, 6, State::Ready));
    assert_eq!(here.get("a").map(|record| record.models.clone()), Some(newer), "that heartbeat was late");
}

/// A report of a replica that counts as lost says nothing of its next heartbeat, which takes that back.
#[rstest]
fn weights_seen_at_a_lost_replica_do_not_keep_it_lost() {
    let mut table = catalogue();
    table.heartbeat(0, record("a", 1, 5, State::Ready));
    table.tick(5_000, true);
    let newer = [ModelVersion { name: "m".to_string(), version: 2 }];
    assert!(table.note_models("a", &newer).is_some());
    assert_eq!(state_of(&table, "a"), Some(State::Lost));
    table.heartbeat(5_100, record("a", 1, 6, State::Ready));
    assert_eq!(state_of(&table, "a"), Some(State::Ready));
}

/// Guards against incident VERSION (12 of 48): what a replica held once hides what it holds now.
#[rstest]
fn a_later_heartbeat_that_tells_older_weights_is_believed() {
    let with = |version, beat| {
        let models = vec![ModelVersion { name: "m".to_string(), version }];
        Record { models, ..record("a", 1, beat, State::Ready) }
    };
    let (mut here, mut there) = (catalogue(), catalogue());
    here.heartbeat(0, with(3, 4));
    there.merge(0, with(3, 4));
    assert_eq!(here.heartbeat(1_200, with(2, 5)), Heard::News);
    assert_eq!(there.merge(1_200, with(2, 5)), Merged::News);
    for table in [&here, &there] {
        assert_eq!(table.get("a").map(|record| record.models[0].version), Some(2));
    }
    assert_eq!(there.merge(1_300, with(3, 4)), Merged::Older, "an earlier word takes nothing back");
}

#[rstest]
fn a_draining_replica_that_falls_silent_is_not_taken_for_lost_but_ends_at_last() {
    let mut table = catalogue();
    table.heartbeat(0, record("a", 1, 1, State::Draining));
    table.tick(20_000, true);
    assert_eq!(state_of(&table, "a"), Some(State::Draining));
    table.tick(121_000, true);
    assert_eq!(state_of(&table, "a"), Some(State::Gone));
}

/// Guards against the class of incident VERSION (a belief that nothing corrects): a replica that was cut off from all
/// controllers for 100 heartbeats counted as ended for good.
#[rstest]
fn a_replica_that_was_silent_for_very_long_is_known_again_with_its_next_heartbeat() {
    let (mut here, mut there) = (catalogue(), catalogue());
    here.heartbeat(0, record("a", 1, 5, State::Ready));
    here.tick(300_000, true);
    assert_eq!(state_of(&here, "a"), Some(State::Lost), "told before it is forgotten");
    there.merge(300_000, here.get("a").cloned().expect("known"));
    here.tick(421_000, true);
    assert_eq!(state_of(&here, "a"), None);
    assert_eq!(here.heartbeat(422_000, record("a", 1, 105, State::Ready)), Heard::News);
    assert_eq!(there.merge(422_000, here.get("a").cloned().expect("known")), Merged::News);
    for table in [&here, &there] {
        assert_eq!(state_of(table, "a"), Some(State::Ready));
    }
}

/// One that drains has said that it ends; another may live all the same, and only counts as lost.
#[rstest]
#[case::ready(State::Ready, State::Lost)]
#[case::draining(State::Draining, State::Gone)]
fn a_new_id_takes_the_address_of_a_silent_one(#[case] before: State, #[case] after: State) {
    let mut table = catalogue();
    table.heartbeat(0, record("old", 1, 7, before));
    assert_eq!(table.heartbeat(REUSE_MS, record("new", 1, 1, State::Ready)), Heard::News);
    assert_eq!(state_of(&table, "old"), Some(after));
    assert_eq!(state_of(&table, "new"), Some(State::Ready));
}

/// A heartbeat of an address's former holder comes seconds late, to a controller that has just started and has not heard
/// the present holder for a while either. The present one is not ended by it: its next heartbeat counts.
#[rstest]
fn a_replica_taken_for_a_former_one_is_known_again_with_its_next_heartbeat() {
    let mut table = catalogue();
    table.heartbeat(0, record("new", 1, 4, State::Ready));
    table.heartbeat(REUSE_MS + 500, record("old", 1, 7, State::Ready));
    assert_eq!(state_of(&table, "new"), Some(State::Lost));
    assert_eq!(table.heartbeat(REUSE_MS + 900, record("new", 1, 5, State::Ready)), Heard::News);
    assert_eq!(state_of(&table, "new"), Some(State::Ready));
}

#[rstest]
fn a_late_heartbeat_of_a_former_holder_does_not_end_the_present_one() {
    let mut table = catalogue();
    table.heartbeat(0, record("new", 1, 1, State::Ready));
    assert_eq!(table.heartbeat(500, record("old", 1, 7, State::Ready)), Heard::Late);
    assert_eq!(state_of(&table, "new"), Some(State::Ready));
    assert_eq!(state_of(&table, "old"), None);
}

#[rstest]
fn subscribers_get_each_change_once_and_a_snapshot_when_too_far_behind() {
    let mut table = catalogue();
    table.heartbeat(0, record("a", 1, 1, State::Ready));
    table.heartbeat(0, record("b", 2, 1, State::Ready));
    let seen = table.last_change();
    assert_eq!(table.changes_since(seen), Some(Vec::new()));
    table.heartbeat(10, record("a", 1, 2, State::Draining));
    table.leave(20, "a");
    let changes = table.changes_since(seen).expect("near");
    assert_eq!(changes.len(), 1, "only the last state of a record is told");
    assert_eq!(changes[0].state, State::Gone);

    table.tick(700_000, false);
    assert_eq!(table.changes_since(seen), None, "the end of `a` was forgotten");
    assert_eq!(table.snapshot().len(), 1);
}

#[rstest]
fn a_subscriber_of_an_earlier_life_takes_a_snapshot() {
    let table = catalogue();
    assert_eq!(table.changes_since(17), None);
}

#[rstest]
fn ended_ids_are_bounded_in_number() {
    let limits = Limits { most_gone: 3, ..Limits::for_beats(BEAT_MS, REUSE_MS) };
    let mut table = Catalog::new(limits);
    for number in 0..10 {
        table.leave(number, &format!("r{number}"));
    }
    table.tick(20, true);
    assert_eq!(table.snapshot().len(), 3);
    assert!(table.get("r9").is_some() && table.get("r0").is_none());
}

#[rstest]
fn a_full_table_turns_further_replicas_away() {
    let limits = Limits { most_replicas: 2, ..Limits::for_beats(BEAT_MS, REUSE_MS) };
    let mut table = Catalog::new(limits);
    table.heartbeat(0, record("a", 1, 1, State::Ready));
    table.heartbeat(0, record("b", 2, 1, State::Ready));
    assert_eq!(table.heartbeat(0, record("c", 3, 1, State::Ready)), Heard::Full);
    table.leave(0, "a");
    assert_eq!(table.heartbeat(0, record("c", 3, 1, State::Ready)), Heard::News);
}

/// Records in any order, with repeats, give the same table.
#[rstest]
fn merges_commute(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let states = [State::Ready, State::Lost, State::Draining, State::Gone];
    let news: Vec<Record> = (0..60)
        .map(|_| {
            let replica = random.random_range(1..6u8);
            let state = *states.choose(&mut random).expect("some");
            let mut one = record(&format!("r{replica}"), replica, random.random_range(1..9), state);
            one.models[0].version = random.random_range(1..4);
            one
        })
        .collect();
    let outcome = |news: &[Record]| {
        let mut table = catalogue();
        for one in news {
            table.merge(0, one.clone());
        }
        let mut records = table.snapshot();
        records.sort_by(|a, b| a.id.cmp(&b.id));
        records
            .into_iter()
            .map(|r| (r.id, r.state, r.models, if r.state == State::Gone { 0 } else { r.beat }))
            .collect::<Vec<_>>()
    };
    let expected = outcome(&news);
    for _ in 0..20 {
        let mut shuffled = news.clone();
        shuffled.extend(news.iter().take(10).cloned());
        shuffled.shuffle(&mut random);
        assert_eq!(outcome(&shuffled), expected);
    }
}

#[rstest]
fn heartbeats_go_to_a_controller_of_the_replicas_zone() {
    let controller = |last: u8, zone: &str| Controller { control: address(last), zone: zone.to_string() };
    let all = [controller(1, "north"), controller(2, "south"), controller(3, "south")];
    assert_eq!(home_of("a", "north", &all).map(|home| home.control), Some(address(1)));
    let far = home_of("a", "east", &all).expect("some");
    let rest: Vec<Controller> =
        all.iter().filter(|controller| controller.control != far.control).cloned().collect();
    assert!(home_of("a", "east", &rest).is_some());
    assert_eq!(home_of("a", "east", &[]), None);
}

#[rstest]
fn the_loss_of_a_controller_moves_only_its_replicas() {
    let all: Vec<Controller> =
        (1..6).map(|last| Controller { control: address(last), zone: "north".to_string() }).collect();
    let rest = &all[1..];
    let mut moved = 0;
    for number in 0..200 {
        let id = format!("i-{number:08x}");
        let before = home_of(&id, "north", &all).expect("some");
        let after = home_of(&id, "north", rest).expect("some");
        if before.control != all[0].control {
            assert_eq!(before, after);
        } else {
            moved += 1;
        }
    }
    assert!((15..80).contains(&moved), "the hash spreads: {moved} of 200 had that home");
}
