//! Who is told of which replicas, and how often.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

use catalog::{Limits, Record, State};
use feed::{ReplicaFeed, View};
use peer::{Message, ReplicaState};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const PAUSE: u64 = 100;

fn view() -> View {
    View::new(Limits::for_beats(1_200, 2_000))
}

fn heartbeat(view: &mut View, now: u64, number: u8, state: State, beat: u64) {
    let record = Record {
        id: format!("i-{number}"),
        service: "reader".into(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, number), 8080),
        zone: "north".into(),
        free_slots: 4,
        state,
        beat,
        models: Vec::new(),
        cold_left_ms: 0,
        software: "v1".to_string(),
    };
    view.replicas.heartbeat(now, record);
}

fn told(feed: &mut ReplicaFeed, now: u64, view: &View) -> Vec<(String, ReplicaState)> {
    let messages = feed.messages(now, view);
    let [Message::Software(software), Message::Replicas(replicas)] = messages.as_slice() else {
        assert!(messages.is_empty(), "software goes before its records: {messages:?}");
        return Vec::new();
    };
    assert_eq!(software.replicas.len(), replicas.records.len());
    replicas.records.iter().map(|record| (record.id.as_str().to_string(), record.state)).collect()
}

#[rstest]
fn ready_replicas_are_told_by_the_home_only_and_together() {
    let mut view = view();
    let (mut home, mut other) = (ReplicaFeed::of_home(PAUSE), ReplicaFeed::of_home(PAUSE));
    other.set_home(false);
    heartbeat(&mut view, 0, 1, State::Ready, 1);
    assert_eq!(told(&mut home, 0, &view).len(), 1, "the first at once");
    for number in 2..20 {
        heartbeat(&mut view, u64::from(number), number, State::Ready, 1);
        assert_eq!(told(&mut home, u64::from(number), &view), []);
        assert_eq!(told(&mut other, u64::from(number), &view), []);
    }
    assert_eq!(home.deadline(&view), PAUSE);
    assert_eq!(told(&mut home, PAUSE, &view).len(), 18, "the others together");
    assert_eq!((home.deadline(&view), other.deadline(&view)), (u64::MAX, u64::MAX));
}

#[rstest]
#[case(State::Draining, ReplicaState::Draining)]
#[case(State::Gone, ReplicaState::Gone)]
fn draining_and_ends_are_told_by_all_at_once(#[case] state: State, #[case] expected: ReplicaState) {
    let mut view = view();
    let (mut home, mut other) = (ReplicaFeed::of_home(PAUSE), ReplicaFeed::of_home(PAUSE));
    other.set_home(false);
    heartbeat(&mut view, 0, 1, State::Ready, 1);
    told(&mut home, 0, &view);
    told(&mut other, 0, &view);
    heartbeat(&mut view, 1, 1, state, 2);
    let expected = vec![("i-1".to_string(), expected)];
    assert_eq!(told(&mut home, 1, &view), expected);
    assert_eq!(told(&mut other, 1, &view), expected);
}

#[rstest]
fn a_judgement_is_told_by_the_home_only() {
    let mut view = view();
    let (mut home, mut other) = (ReplicaFeed::of_home(PAUSE), ReplicaFeed::of_home(PAUSE));
    other.set_home(false);
    heartbeat(&mut view, 0, 1, State::Ready, 1);
    told(&mut home, 0, &view);
    view.replicas.tick(20_000, true);
    assert_eq!(told(&mut home, 20_000, &view), [("i-1".to_string(), ReplicaState::Lost)]);
    assert_eq!(told(&mut other, 20_000, &view), []);
}

#[rstest]
fn a_feeder_that_becomes_the_home_tells_all() {
    let mut view = view();
    let mut feed = ReplicaFeed::of_home(PAUSE);
    feed.set_home(false);
    heartbeat(&mut view, 0, 1, State::Ready, 1);
    heartbeat(&mut view, 0, 2, State::Draining, 1);
    assert_eq!(told(&mut feed, 0, &view).len(), 1);
    feed.set_home(true);
    assert_eq!(told(&mut feed, 1, &view), [("i-1".to_string(), ReplicaState::Ready)]);
    feed.set_home(false);
    heartbeat(&mut view, 2, 3, State::Ready, 1);
    assert_eq!(told(&mut feed, 200, &view), []);
    feed.set_home(true);
    assert_eq!(told(&mut feed, 201, &view).len(), 2);
}

/// Changes in any order, and a receiver with two feeders of which either is its home: it holds what the feeders know.
#[rstest]
fn a_receiver_of_two_feeders_holds_what_they_know(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut view = view();
    let mut feeds = [ReplicaFeed::of_home(PAUSE), ReplicaFeed::of_home(PAUSE)];
    feeds[1].set_home(false);
    let mut receiver = self::view();
    let mut beat = 0;
    for step in 0..4_000_u64 {
        beat += 1;
        let number = random.random_range(1..30);
        match random.random_range(0..20) {
            0..=9 => heartbeat(&mut view, step, number, State::Ready, beat),
            10 => heartbeat(&mut view, step, number, State::Draining, beat),
            11 => heartbeat(&mut view, step, number, State::Lost, beat),
            12 => {
                let home = random.random_range(0..2);
                feeds[home].set_home(true);
                feeds[1 - home].set_home(false);
            }
            _ => {
                let feed = random.random_range(0..2);
                if let Some(Message::Replicas(news)) = feeds[feed].messages(step, &view).pop() {
                    receiver.take_replicas(step, &news);
                }
            }
        }
    }
    for feed in &mut feeds {
        if let Some(Message::Replicas(news)) = feed.messages(5_000, &view).pop() {
            receiver.take_replicas(5_000, &news);
        }
    }
    let states = |view: &View| {
        let records = view.replicas.snapshot().into_iter();
        records.map(|record| (record.id, record.state)).collect::<BTreeMap<_, _>>()
    };
    assert_eq!(states(&receiver), states(&view));
}
