//! Parts that were asked for reach receivers, and no others.

use std::collections::{BTreeMap, BTreeSet};

use feed::{Asked, PrefixFeed, PrefixTable, ASK_AGAIN_MS, FORGET_MS};
use peer::{Message, PartChange, Prefixes, UNREACHABLE};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

type Kept = BTreeMap<(String, u64), u32>;

fn apply(kept: &mut Kept, messages: Vec<Message>) {
    for message in messages {
        let Message::Prefixes(news) = message else { panic!("another message") };
        let replica = news.replica.as_str().to_string();
        if news.reset != 0 {
            kept.retain(|(of, _), _| *of != replica);
        }
        for change in news.changes {
            let place = (replica.clone(), change.part);
            match change.tokens {
                0 => drop(kept.remove(&place)),
                tokens => drop(kept.insert(place, tokens)),
            }
        }
    }
}

fn tell(table: &mut PrefixTable, replica: &str, changes: &[(u64, u32)]) {
    let changes = changes.iter().map(|(part, tokens)| PartChange { part: *part, tokens: *tokens }).collect();
    table.take(&Prefixes::new(replica, 1, false, changes));
}

#[rstest]
fn who_keeps_a_part_is_told_when_it_is_asked_for() {
    let mut table = PrefixTable::of_wanted_parts();
    let (mut feed, mut kept) = (PrefixFeed::default(), Kept::new());
    tell(&mut table, "r", &[(1, 10), (2, 20)]);
    apply(&mut kept, feed.messages(&table));
    assert_eq!(kept, Kept::new());
    table.ask(0, &[2, 3]);
    apply(&mut kept, feed.messages(&table));
    assert_eq!(kept, Kept::from([(("r".into(), 2), 20)]));
    tell(&mut table, "s", &[(3, 30), (4, 40)]);
    apply(&mut kept, feed.messages(&table));
    assert_eq!(kept, Kept::from([(("r".into(), 2), 20), (("s".into(), 3), 30)]));
}

#[rstest]
fn a_part_that_nobody_asks_for_any_more_is_taken_back() {
    let mut table = PrefixTable::of_wanted_parts();
    let (mut feed, mut kept) = (PrefixFeed::default(), Kept::new());
    tell(&mut table, "r", &[(1, 10), (2, 20)]);
    table.ask(0, &[1, 2]);
    apply(&mut kept, feed.messages(&table));
    table.ask(FORGET_MS - 1, &[2]);
    table.forget_unwanted(FORGET_MS);
    tell(&mut table, "r", &[(1, 11)]);
    apply(&mut kept, feed.messages(&table));
    assert_eq!(kept, Kept::from([(("r".into(), 2), 20)]));
}

#[rstest]
fn receivers_that_cannot_ask_are_told_all() {
    let mut table = PrefixTable::of_wanted_parts();
    let (mut feed, mut kept) = (PrefixFeed::default(), Kept::new());
    tell(&mut table, "r", &[(1, 10)]);
    apply(&mut kept, feed.messages(&table));
    table.tell_all();
    apply(&mut kept, feed.messages(&table));
    tell(&mut table, "r", &[(2, 20)]);
    apply(&mut kept, feed.messages(&table));
    assert_eq!(kept, Kept::from([(("r".into(), 1), 10), (("r".into(), 2), 20)]));
}

/// Changes, questions and time in any order: a receiver that follows has what is kept of what is wanted.
#[rstest]
fn receivers_hold_what_is_kept_of_what_is_wanted(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut table = PrefixTable::of_wanted_parts();
    let (mut feed, mut held) = (PrefixFeed::default(), Kept::new());
    let (mut all, mut asked) = (Kept::new(), BTreeMap::<u64, u64>::new());
    for step in 0..3_000_u64 {
        let now = step * 100;
        match random.random_range(0..10) {
            0..=6 => {
                let (replica, part) = (format!("r{}", random.random_range(0..5)), random.random_range(0..60));
                let tokens = random.random_range(0..3);
                tell(&mut table, &replica, &[(part, tokens)]);
                match tokens {
                    0 => drop(all.remove(&(replica, part))),
                    tokens => drop(all.insert((replica, part), tokens)),
                }
            }
            7 => {
                let part = random.random_range(0..60);
                table.ask(now, &[part]);
                asked.insert(part, now);
            }
            8 => {
                table.forget_unwanted(now);
                asked.retain(|_, at| now - *at < FORGET_MS);
            }
            _ => apply(&mut held, feed.messages(&table)),
        }
    }
    apply(&mut held, feed.messages(&table));
    let wanted: BTreeSet<u64> = asked.keys().copied().collect();
    all.retain(|(_, part), _| wanted.contains(part));
    assert_eq!(held, all);
}

#[rstest]
fn an_asker_repeats_itself_seldom() {
    let mut asked = Asked::default();
    asked.see(0, 7);
    asked.see(1, 7);
    assert_eq!(asked.message().map(|message| message.parts), Some(vec![7]));
    asked.see(ASK_AGAIN_MS - 1, 7);
    assert_eq!(asked.message(), None);
    asked.see(ASK_AGAIN_MS, 7);
    assert_eq!(asked.message().map(|message| message.parts), Some(vec![7]));
    asked.start_again();
    assert_eq!(asked.message().map(|message| message.parts), Some(vec![7]));
}

/// That a replica keeps nothing is told unless it is new to the whole fleet: another feeder may have told something of it.
#[rstest]
fn an_empty_replica_is_no_news_while_it_is_new() {
    let mut table = PrefixTable::of_wanted_parts();
    let mut feed = PrefixFeed::default();
    table.ask(0, &[1]);
    assert_eq!(feed.messages(&table), [], "the snapshot");
    table.take_of(&Prefixes::new("new", 1, true, Vec::new()), true);
    assert_eq!(feed.messages(&table), []);
    table.take_of(&Prefixes::new("known elsewhere", 1, true, Vec::new()), false);
    let reset = |replica, epoch| Message::Prefixes(Prefixes::new(replica, epoch, true, Vec::new()));
    assert_eq!(feed.messages(&table), [reset("known elsewhere", 1)]);
    table.take_of(&Prefixes::new("new", 2, true, Vec::new()), true);
    assert_eq!(feed.messages(&table), [reset("new", 2)], "it was read here before");
    table.take_of(&Prefixes::new("down", UNREACHABLE, true, Vec::new()), true);
    assert_eq!(feed.messages(&table), [reset("down", UNREACHABLE)]);
}

/// Two receivers with interests of their own and one table, in any order: each holds what is kept of what it wants.
#[rstest]
fn each_receiver_holds_what_it_asked_for(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut table = PrefixTable::of_wanted_parts();
    let mut feeds = [PrefixFeed::default(), PrefixFeed::default()];
    feeds.iter_mut().for_each(|feed| feed.set_narrow(true));
    let mut is_narrow = true;
    let mut held = [Kept::new(), Kept::new()];
    let mut asked = [BTreeMap::<u64, u64>::new(), BTreeMap::new()];
    let mut all = Kept::new();
    for step in 0..4_000_u64 {
        let now = step * 100;
        let receiver = random.random_range(0..2);
        if random.random_range(0..300) == 0 {
            is_narrow = !is_narrow;
            feeds.iter_mut().for_each(|feed| feed.set_narrow(is_narrow));
        }
        match random.random_range(0..12) {
            0..=5 => {
                let (replica, part) = (format!("r{}", random.random_range(0..5)), random.random_range(0..60));
                let tokens = random.random_range(0..3);
                tell(&mut table, &replica, &[(part, tokens)]);
                match tokens {
                    0 => drop(all.remove(&(replica, part))),
                    tokens => drop(all.insert((replica, part), tokens)),
                }
            }
            6 => {
                let replica = format!("r{}", random.random_range(0..5));
                table.take(&Prefixes::new(&replica, 1, true, Vec::new()));
                all.retain(|(of, _), _| *of != replica);
            }
            7 | 8 => {
                let part = random.random_range(0..60);
                table.ask(now, &[part]);
                feeds[receiver].ask(now, &[part]);
                asked[receiver].insert(part, now);
            }
            9 => {
                for number in 0..2 {
                    feeds[number].forget_old(now);
                    asked[number].retain(|_, at| now - *at < FORGET_MS);
                }
                table.forget_unwanted(now);
            }
            _ => apply(&mut held[receiver], feeds[receiver].messages(&table)),
        }
    }
    for receiver in 0..2 {
        feeds[receiver].set_narrow(true);
        apply(&mut held[receiver], feeds[receiver].messages(&table));
        let mut expected = all.clone();
        expected.retain(|(_, part), _| asked[receiver].contains_key(part));
        assert_eq!(held[receiver], expected, "receiver {receiver}");
    }
}

/// In a large fleet a replica that keeps nothing is news only to whom something was told of it; the first news drop what
/// others told, and who heard of all before is told of each once.
#[rstest]
fn a_narrow_receiver_hears_nothing_of_replicas_that_keep_nothing_for_it() {
    let mut table = PrefixTable::of_wanted_parts();
    let mut feed = PrefixFeed::default();
    feed.set_narrow(true);
    table.take(&Prefixes::new("empty", 1, true, Vec::new()));
    tell(&mut table, "r", &[(1, 10)]);
    assert_eq!(feed.messages(&table), []);
    table.ask(0, &[1]);
    feed.ask(0, &[1]);
    let first = Prefixes::new("r", 1, true, vec![PartChange { part: 1, tokens: 10 }]);
    assert_eq!(feed.messages(&table), [Message::Prefixes(first)]);
    table.take(&Prefixes::new("r", 2, true, Vec::new()));
    assert_eq!(feed.messages(&table), [Message::Prefixes(Prefixes::new("r", 2, true, Vec::new()))]);
    feed.set_narrow(false);
    feed.messages(&table);
    feed.set_narrow(true);
    assert_eq!(feed.messages(&table).len(), 2, "each replica once");
}
