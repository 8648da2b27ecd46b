//! What the index believes, forgets and costs.

use prefix_index::{Kept, Part, PartKey, PrefixIndex, PromptError, ReplicaNumber, Source, SENT_AGE};
use quickcheck::{Gen, QuickCheck};
use rstest::rstest;
use std::collections::HashMap;

const ONE: ReplicaNumber = ReplicaNumber(1);
const TWO: ReplicaNumber = ReplicaNumber(2);

fn prompt(text: &str) -> Vec<Part> {
    Part::read_prompt(text, "v1", "m").expect("a prompt")
}

fn index() -> PrefixIndex {
    PrefixIndex::new(1 << 20)
}

fn keep(index: &mut PrefixIndex, replica: ReplicaNumber, text: &str, source: Source) {
    for part in prompt(text) {
        index.keep(replica, part.key, part.tokens, source);
    }
}

fn lookup(index: &mut PrefixIndex, text: &str, now: f64) -> Vec<Kept> {
    let mut kept = Vec::new();
    index.lookup(&prompt(text), now, &mut kept);
    kept
}

fn kept(replica: ReplicaNumber, tokens: u32) -> Kept {
    Kept { replica, tokens }
}

#[test]
fn a_part_counts_only_behind_whole_ones() {
    let mut index = index();
    keep(&mut index, ONE, "a:100,b:50", Source::Reported);
    keep(&mut index, TWO, "a:60", Source::Reported);
    keep(&mut index, TWO, "b:50,c:10", Source::Reported);
    assert_eq!(lookup(&mut index, "a:100,b:50,c:10", 0.0), [kept(ONE, 150), kept(TWO, 60)]);
    assert_eq!(lookup(&mut index, "d:1,a:100", 0.0), []);
}

#[rstest]
#[case::salt("v2", "m")]
#[case::model("v1", "n")]
fn salts_and_models_share_nothing(#[case] salt: &str, #[case] model: &str) {
    let mut index = index();
    keep(&mut index, ONE, "a:100", Source::Reported);
    let other = Part::read_prompt("a:100", salt, model).expect("a prompt");
    let mut found = Vec::new();
    index.lookup(&other, 0.0, &mut found);
    assert_eq!(found, []);
}

#[test]
fn what_was_sent_is_believed_for_a_while_and_reports_until_taken_back() {
    let mut index = index();
    keep(&mut index, ONE, "a:100", Source::Sent(0.0));
    keep(&mut index, TWO, "a:100", Source::Sent(0.0));
    keep(&mut index, TWO, "a:100", Source::Reported);
    assert_eq!(lookup(&mut index, "a:100", SENT_AGE - 1.0), [kept(ONE, 100), kept(TWO, 100)]);
    assert_eq!(lookup(&mut index, "a:100", SENT_AGE), [kept(TWO, 100)]);
    index.drop_part(TWO, prompt("a:100")[0].key);
    assert_eq!(lookup(&mut index, "a:100", 0.0), [kept(ONE, 100)]);
}

#[test]
fn a_send_that_did_not_get_there_is_taken_back_alone() {
    let mut index = index();
    keep(&mut index, ONE, "a:100", Source::Sent(5.0));
    index.take_back(ONE, prompt("a:100")[0].key, 4.0);
    assert_eq!(lookup(&mut index, "a:100", 6.0), [kept(ONE, 100)]);
    index.take_back(ONE, prompt("a:100")[0].key, 5.0);
    assert_eq!(lookup(&mut index, "a:100", 6.0), []);
}

#[test]
fn a_new_boot_epoch_voids_what_was_known() {
    let mut index = index();
    index.epoch(ONE, 7);
    keep(&mut index, ONE, "a:100", Source::Reported);
    index.epoch(ONE, 7);
    assert_eq!(lookup(&mut index, "a:100", 0.0), [kept(ONE, 100)]);
    index.epoch(ONE, 8);
    assert_eq!(lookup(&mut index, "a:100", 0.0), []);
}

#[test]
fn memory_is_bounded_and_what_is_asked_for_stays() {
    let limit = 100_000;
    let mut index = PrefixIndex::new(limit);
    keep(&mut index, ONE, "feed:9", Source::Reported);
    for number in 0..100_000_u32 {
        let key = PartKey::new("v1", "m", &format!("{:x}", number + 0x1_0000));
        index.keep(ReplicaNumber(number % 7), key, 10, Source::Reported);
        assert!(index.bytes() <= limit + 200);
        if number % 100 == 0 {
            assert_eq!(lookup(&mut index, "feed:9", 0.0), [kept(ONE, 9)], "after {number}");
        }
    }
}

#[rstest]
#[case("a")]
#[case("a:")]
#[case("a:x")]
#[case("a:1,,b:2")]
#[case("a:-1")]
fn what_is_no_prompt_is_refused(#[case] text: &str) {
    assert_eq!(Part::read_prompt(text, "", ""), Err(PromptError));
}

/// The index answers as a plain table does.
#[test]
fn lookups_agree_with_a_plain_table() {
    fn holds(steps: Vec<(u8, u8, u8)>, asked: Vec<u8>) -> bool {
        let (mut index, mut table) = (index(), HashMap::<(u32, u8), u32>::new());
        let part = |id: u8| Part { key: PartKey::new("s", "m", &format!("{id:x}f")), tokens: 10 };
        for (replica, id, tokens) in steps {
            let (replica, id, tokens) = (u32::from(replica % 5), id % 6, u32::from(tokens % 12));
            if tokens == 0 {
                index.drop_part(ReplicaNumber(replica), part(id).key);
                table.remove(&(replica, id));
            } else {
                index.keep(ReplicaNumber(replica), part(id).key, tokens, Source::Reported);
                table.insert((replica, id), tokens);
            }
        }
        let mut ids: Vec<u8> = asked.iter().map(|id| id % 6).collect();
        ids.sort_unstable();
        ids.dedup();
        let asked: Vec<Part> = ids.iter().map(|id| part(*id)).collect();
        let mut found = Vec::new();
        index.lookup(&asked, 0.0, &mut found);
        let plain = (0..5).filter_map(|replica| {
            let mut sum = 0;
            for id in &ids {
                let tokens = table.get(&(replica, *id)).copied().unwrap_or(0);
                sum += tokens.min(10);
                if tokens < 10 {
                    break;
                }
            }
            (sum > 0).then_some(kept(ReplicaNumber(replica), sum))
        });
        found == plain.collect::<Vec<_>>()
    }
    QuickCheck::new().rng(Gen::new(60)).tests(500).quickcheck(holds as fn(_, _) -> bool);
}
