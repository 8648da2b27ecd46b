//! What replicas keep reaches every receiver, whether it follows closely, falls behind or comes late.

use std::collections::BTreeMap;

use feed::{PrefixFeed, PrefixTable};
use peer::{Message, PartChange, Prefixes};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

type Kept = BTreeMap<String, BTreeMap<u64, u32>>;

/// What a receiver makes of messages.
fn apply(kept: &mut Kept, messages: Vec<Message>) {
    for message in messages {
        let Message::Prefixes(prefixes) = message else { panic!("another message") };
        let parts = kept.entry(prefixes.replica.as_str().to_string()).or_default();
        if prefixes.reset != 0 {
            parts.clear();
        }
        for change in prefixes.changes {
            if change.tokens == 0 {
                parts.remove(&change.part);
            } else {
                parts.insert(change.part, change.tokens);
            }
        }
    }
}

fn tell(table: &mut PrefixTable, replica: &str, epoch: u64, reset: bool, changes: &[(u64, u32)]) {
    let changes = changes.iter().map(|(part, tokens)| PartChange { part: *part, tokens: *tokens }).collect();
    table.take(&Prefixes::new(replica, epoch, reset, changes));
}

#[rstest]
fn receivers_that_follow_differently_end_up_the_same(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut table = PrefixTable::default();
    let mut close = (PrefixFeed::default(), Kept::new());
    let mut far = (PrefixFeed::default(), Kept::new());
    for round in 0..400 {
        let replica = format!("r{}", random.random_range(0..4));
        let changes: Vec<(u64, u32)> = (0..random.random_range(0..200))
            .map(|_| (random.random_range(0..300), random.random_range(0..3)))
            .collect();
        let reset = random.random_bool(0.02);
        tell(&mut table, &replica, 1, reset, &changes);
        let messages = close.0.messages(&table);
        apply(&mut close.1, messages);
        if round % 150 == 0 {
            let messages = far.0.messages(&table);
            apply(&mut far.1, messages);
        }
    }
    let messages = far.0.messages(&table);
    apply(&mut far.1, messages);
    let (mut late, mut fresh) = (PrefixFeed::default(), Kept::new());
    apply(&mut fresh, late.messages(&table));
    assert_eq!(close.1, fresh);
    assert_eq!(far.1, fresh);
    assert!(!close.0.is_behind(&table));
}

#[rstest]
fn another_life_of_a_replica_starts_empty() {
    let mut table = PrefixTable::default();
    let (mut feed, mut kept) = (PrefixFeed::default(), Kept::new());
    tell(&mut table, "r", 1, true, &[(1, 10), (2, 20)]);
    apply(&mut kept, feed.messages(&table));
    tell(&mut table, "r", 2, false, &[(3, 30)]);
    apply(&mut kept, feed.messages(&table));
    assert_eq!(kept["r"], BTreeMap::from([(3, 30)]));
}

#[rstest]
fn what_changes_nothing_is_not_told() {
    let mut table = PrefixTable::default();
    let mut feed = PrefixFeed::default();
    tell(&mut table, "r", 1, true, &[(1, 10)]);
    feed.messages(&table);
    tell(&mut table, "r", 1, false, &[(1, 10), (9, 0)]);
    assert!(!feed.is_behind(&table));
}
