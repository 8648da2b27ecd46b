//! Only a replica gives numbers to its heartbeats: reports and judgements take none, and merging is a join.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};

use catalog::{Beat, Catalog, Heard, Limits, Merged, ModelVersion, Record, State, WeightsReport};
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rstest::rstest;

const BEAT_MS: u64 = 1_200;

fn catalogue() -> Catalog {
    Catalog::new(Limits::for_beats(BEAT_MS, 2_000))
}

fn weights(version: u64) -> Vec<ModelVersion> {
    vec![ModelVersion { name: "m".to_string(), version }]
}

fn record(beat: u64, state: State, version: u64) -> Record {
    Record {
        id: "a".to_string(),
        service: "reader".to_string(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 8080),
        zone: "north".to_string(),
        free_slots: 12,
        state,
        beat,
        models: weights(version),
        cold_left_ms: 0,
        software: "v1".to_string(),
    }
}

fn known(table: &Catalog) -> (State, u64) {
    let record = table.get("a").expect("known");
    (record.state, record.models[0].version)
}

/// Guards against the review's case 3 (DRAIN): reports, told back by a peer, ran ahead of the replica's own numbers.
#[rstest]
fn a_draining_is_heard_after_any_number_of_reports() {
    let (mut holder, mut home) = (catalogue(), catalogue());
    home.heartbeat(0, record(5, State::Ready, 1));
    holder.merge(0, record(5, State::Ready, 1));
    for version in 2..20 {
        let report = holder.note_models("a", &weights(version)).expect("news");
        home.merge(10, holder.get("a").cloned().expect("known"));
        home.take_report(&report);
        holder.merge(10, home.get("a").cloned().expect("known"));
        holder.peer_beats(10, &home.take_beats());
    }
    assert_eq!(home.get("a").map(|record| record.beat), Some(5), "the replica has given no other number");
    assert_eq!(home.heartbeat(BEAT_MS, record(6, State::Draining, 19)), Heard::News);
    assert_eq!(known(&home), (State::Draining, 19));
}

/// The heartbeat after a report may have been sent before the weights were there; the one after next counts alone.
#[rstest]
#[case::sent_before(6, 2)]
#[case::after_next(7, 1)]
fn a_report_stands_beside_one_more_heartbeat(#[case] beat: u64, #[case] expected: u64) {
    let (mut reader, mut peer) = (catalogue(), catalogue());
    reader.heartbeat(0, record(5, State::Ready, 1));
    peer.merge(0, record(5, State::Ready, 1));
    let report = reader.note_models("a", &weights(2)).expect("news");
    assert!(peer.take_report(&report));
    for table in [&mut reader, &mut peer] {
        table.heartbeat(20, record(beat, State::Ready, 1));
        assert_eq!(known(table), (State::Ready, expected));
    }
}

/// A peer that hears a report only after the heartbeat that it stands beside.
#[rstest]
#[case::the_same(5, true)]
#[case::the_next(6, true)]
#[case::one_later(7, false)]
fn a_report_that_comes_late_counts_as_far_as_it_stands(#[case] known_beat: u64, #[case] is_news: bool) {
    let mut table = catalogue();
    table.heartbeat(0, record(known_beat, State::Ready, 1));
    let report = WeightsReport { id: "a".to_string(), after_beat: 5, models: weights(2) };
    assert_eq!(table.take_report(&report), is_news);
    assert_eq!(known(&table), (State::Ready, if is_news { 2 } else { 1 }));
    assert!(!table.take_report(&report), "the second time it is none");
}

#[rstest]
fn reports_of_unknown_and_of_ended_replicas_are_no_news() {
    let mut table = catalogue();
    assert_eq!(table.note_models("a", &weights(2)), None);
    table.heartbeat(0, record(5, State::Ready, 1));
    table.leave(10, "a");
    assert_eq!(table.note_models("a", &weights(2)), None);
    assert_eq!(known(&table), (State::Gone, 1));
}

fn drawn(random: &mut SmallRng) -> Record {
    let states = [State::Ready, State::Lost, State::Draining, State::Gone];
    let mut one = record(random.random_range(1..4), *states.choose(random).expect("some"), 1);
    one.address = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, random.random_range(1..3)), 8080);
    one.free_slots = random.random_range(1..3);
    one.zone = ["north", "south"].choose(random).expect("some").to_string();
    one.service = ["reader", "writer"].choose(random).expect("some").to_string();
    one.cold_left_ms = random.random_range(0..3);
    one.software = ["", "v1", "v2"].choose(random).expect("some").to_string();
    let names = ["m", "n", "o"].iter().filter(|_| random.random_bool(0.7)).collect::<Vec<_>>();
    let version = |name: &&str| ModelVersion { name: name.to_string(), version: random.random_range(1..4) };
    one.models = names.into_iter().map(version).collect();
    one
}

/// Whatever two words of one number say, in any field: merging is commutative, associative and idempotent.
#[rstest]
fn merging_is_a_join(#[values(1, 2, 3, 4)] seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    for _ in 0..3_000 {
        let (a, b, c) = (drawn(&mut random), drawn(&mut random), drawn(&mut random));
        assert_eq!(a.join(&b), b.join(&a));
        assert_eq!(a.join(&b).join(&c), a.join(&b.join(&c)));
        assert_eq!(a.join(&b).join(&b), a.join(&b));
        assert_eq!(a.join(&a).join(&a), a.join(&a));
    }
}

/// One message between two controllers.
#[derive(Debug, Clone)]
enum Message {
    Record(Record),
    Report(WeightsReport),
    Beats(Vec<Beat>),
}

/// Controllers with links that keep their order, each at its own pace.
struct Group {
    tables: Vec<Catalog>,
    links: BTreeMap<(usize, usize), VecDeque<Message>>,
    seen: Vec<u64>,
    sent: usize,
}

impl Group {
    fn new(size: usize) -> Group {
        let tables = (0..size).map(|_| catalogue()).collect();
        Group { tables, links: BTreeMap::new(), seen: vec![0; size], sent: 0 }
    }

    fn send(&mut self, from: usize, message: &Message) {
        for to in (0..self.tables.len()).filter(|to| *to != from) {
            self.links.entry((from, to)).or_default().push_back(message.clone());
            self.sent += 1;
        }
    }

    /// Tells the others what has changed since the last time.
    fn feed(&mut self, from: usize) {
        let table = &self.tables[from];
        let records = table.changes_since(self.seen[from]).unwrap_or_else(|| table.snapshot());
        self.seen[from] = table.last_change();
        records.into_iter().for_each(|record| self.send(from, &Message::Record(record)));
    }

    fn deliver(&mut self, now: u64, from: usize, to: usize) {
        let Some(message) = self.links.get_mut(&(from, to)).and_then(VecDeque::pop_front) else { return };
        let table = &mut self.tables[to];
        match message {
            Message::Record(record) => {
                let id = record.id.clone();
                if table.merge(now, record) == Merged::Older {
                    table.tell_again(&id);
                }
            }
            Message::Report(report) => {
                table.take_report(&report);
            }
            Message::Beats(beats) => table.peer_beats(now, &beats),
        }
    }

    /// Delivers all that is on its way, in a drawn order of links, and what is told in return, until nothing is; how many
    /// messages were sent. What was on its way is told back once at most, and that once more by whoever knows better.
    fn settle(&mut self, now: u64, random: &mut SmallRng) -> usize {
        const MOST_ROUNDS: usize = 5;
        let before = self.sent;
        for _ in 0..MOST_ROUNDS {
            let mut waiting: Vec<(usize, usize)> = self.links.keys().copied().collect();
            waiting.shuffle(random);
            for (from, to) in waiting {
                for _ in 0..self.links[&(from, to)].len() {
                    self.deliver(now, from, to);
                }
            }
            (0..self.tables.len()).for_each(|at| self.feed(at));
        }
        assert!(self.links.values().all(VecDeque::is_empty), "they still tell each other");
        self.sent - before
    }
}

/// Heartbeats at any controller, late and twice, reports, judgements and records told again, each in a drawn order. An
/// acknowledged word is in force everywhere once all messages are delivered, and heartbeats from before it change nothing.
#[rstest]
fn all_controllers_come_to_the_same_and_keep_what_a_replica_said_last(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    for history in 0..60 {
        let mut random = SmallRng::seed_from_u64(seed * 1_000 + history);
        let size = random.random_range(3..6);
        let mut group = Group::new(size);
        let (mut now, mut beat, mut version) = (0, 0, 1);
        let mut heartbeats = Vec::new();
        for _ in 0..random.random_range(20..120) {
            now += random.random_range(1..600);
            let at = random.random_range(0..size);
            match random.random_range(0..12) {
                0..=2 => {
                    beat += 1;
                    let mut told = record(beat, State::Ready, version);
                    told.cold_left_ms = 20_000_u32.saturating_sub(now as u32);
                    heartbeats.push(told.clone());
                    group.tables[at].heartbeat(now, told);
                }
                3 => {
                    if let Some(late) = heartbeats.choose(&mut random) {
                        group.tables[at].heartbeat(now, late.clone());
                    }
                }
                4 | 5 => {
                    version += random.random_range(0..2);
                    if let Some(report) = group.tables[at].note_models("a", &weights(version)) {
                        group.feed(at);
                        group.send(at, &Message::Report(report));
                    }
                }
                6 => {
                    group.tables[at].tick(now, true);
                }
                7 => {
                    group.feed(at);
                    let beats = group.tables[at].take_beats();
                    group.send(at, &Message::Beats(beats));
                }
                8 => group.seen[at] = 0,
                _ => {
                    let from = random.random_range(0..size);
                    group.deliver(now, from, at);
                }
            }
            group.feed(at);
        }
        let (at, expected) =
            (random.random_range(0..size), [State::Draining, State::Gone][history as usize % 2]);
        if expected == State::Gone {
            group.tables[at].leave(now, "a");
        } else {
            group.tables[at].heartbeat(now, record(beat + 1, State::Draining, version));
        }
        assert_eq!(group.tables[at].get("a").map(|record| record.state), Some(expected), "it counts at once");
        group.feed(at);
        group.settle(now, &mut random);
        for late in &heartbeats {
            group.tables[random.random_range(0..size)].heartbeat(now, late.clone());
            (0..size).for_each(|at| group.feed(at));
        }
        group.settle(now, &mut random);
        for table in &group.tables {
            let known = table.get("a").map(|record| (record.state, record.beat, record.models.clone()));
            let first = group.tables[0].get("a");
            assert_eq!(known.as_ref().map(|known| known.0), Some(expected), "history {history}");
            let first = first.map(|record| (record.state, record.beat, record.models.clone()));
            assert_eq!(known, first, "history {history}");
        }
    }
}

/// Guards against controllers that hold different words for one number and tell each other theirs until the next one: the
/// time of a cold start counts down, and a report was told under the same number.
#[rstest]
fn different_words_for_one_number_are_told_once(#[values(1, 2, 3, 4)] seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut group = Group::new(5);
    let word = |cold_left_ms| Record { cold_left_ms, ..record(5, State::Ready, 1) };
    for at in 0..5 {
        group.tables[at].merge(0, word(9_000 - at as u32));
    }
    let report = group.tables[1].note_models("a", &weights(2)).expect("news");
    (0..5).for_each(|at| group.feed(at));
    group.send(1, &Message::Report(report));
    let messages = group.settle(10, &mut random);
    assert!(messages <= 4 * 5 * 5, "{messages} messages between five controllers");
    for table in &group.tables {
        assert_eq!(known(table), (State::Ready, 2));
    }
}
