//! What is kept of namings, and what they oblige to.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use rstest::rstest;
use weights::{due_after, NamedWeights, Naming, Namings, MOST_NAMINGS, RETAIN_MS};

const BOUND: i64 = 6_000;

fn naming(version: u64, named_at: i64) -> Naming {
    Naming { version, named_at }
}

fn namings(all: &[(u64, i64)]) -> Namings {
    let mut namings = Namings::default();
    for (version, named_at) in all {
        namings.add(naming(*version, *named_at));
    }
    namings
}

fn pairs(namings: &Namings) -> Vec<(u64, i64)> {
    namings.iter().map(|naming| (naming.version, naming.named_at)).collect()
}

#[rstest]
fn a_newer_naming_leaves_the_older_one_due() {
    let namings = namings(&[(2, 0), (3, 3_400), (4, 6_800)]);
    assert_eq!(namings.floor(BOUND - 1, BOUND), None);
    assert_eq!(namings.floor(BOUND, BOUND), Some(2));
    assert_eq!(namings.floor(3_400 + BOUND, BOUND), Some(3));
    assert_eq!(namings.floor(6_800 + BOUND, BOUND), Some(4));
    assert_eq!(namings.first_above(1), Some(naming(2, 0)));
    assert_eq!(namings.first_above(2), Some(naming(3, 3_400)));
    assert_eq!(namings.first_above(4), None);
}

#[rstest]
#[case::known(&[(3, 0)], (3, 0), false, &[(3, 0)])]
#[case::older_and_later(&[(3, 0)], (2, 50), false, &[(3, 0)])]
#[case::told_with_a_longer_way(&[(3, 0)], (3, 70), false, &[(3, 0)])]
#[case::told_with_a_shorter_way(&[(3, 70)], (3, 0), false, &[(3, 0)])]
#[case::much_earlier(&[(3, 4_000)], (3, 0), true, &[(3, 0)])]
#[case::newer(&[(3, 0)], (4, 10), true, &[(4, 10), (3, 0)])]
#[case::older_that_comes_later(&[(4, 10)], (3, 0), false, &[(4, 10), (3, 0)])]
#[case::much_older_that_comes_later(&[(4, 3_000)], (3, 0), true, &[(4, 3_000), (3, 0)])]
#[case::newer_and_earlier(&[(3, 500), (2, 100)], (4, 0), true, &[(4, 0)])]
fn namings_merge(
    #[case] known: &[(u64, i64)],
    #[case] (version, named_at): (u64, i64),
    #[case] is_news: bool,
    #[case] expected: &[(u64, i64)],
) {
    let mut namings = namings(known);
    assert_eq!(namings.add(naming(version, named_at)), is_news);
    assert_eq!(pairs(&namings), expected);
}

#[rstest]
fn an_unknown_age_counts_as_due() {
    let namings = namings(&[(2, i64::MIN), (3, 100)]);
    assert_eq!(namings.floor(101, BOUND), Some(2));
}

#[rstest]
fn what_is_dropped_is_never_looser() {
    let all: Vec<(u64, i64)> = (2..200).map(|version| (version, version as i64 * 40)).collect();
    let kept = namings(&all);
    assert_eq!(kept.iter().count(), MOST_NAMINGS);
    assert_eq!(kept.newest(), Some(naming(199, 199 * 40)));
    for now in (0..20_000).step_by(10) {
        let asked = all.iter().rev().find(|(_, at)| now - at >= BOUND).map(|(version, _)| *version);
        assert!(kept.floor(now, BOUND) >= asked, "at {now}");
    }
}

#[rstest]
fn old_namings_are_forgotten_once_a_newer_one_is_old() {
    let mut namings = namings(&[(2, 0), (3, 1_000), (4, RETAIN_MS)]);
    namings.forget_old(RETAIN_MS + 999);
    assert_eq!(pairs(&namings), [(4, RETAIN_MS), (3, 1_000), (2, 0)], "only version 2 is old");
    namings.forget_old(RETAIN_MS + 1_000);
    assert_eq!(pairs(&namings), [(4, RETAIN_MS), (3, 1_000)], "3 takes the place of 2");
    assert_eq!(namings.floor(RETAIN_MS + 1_000, BOUND), Some(3));
}

#[rstest]
fn models_are_apart() {
    let mut weights = NamedWeights::default();
    assert!(weights.name("m", naming(2, 0)));
    assert!(weights.name("other", naming(7, 100)));
    assert!(!weights.name("m", naming(2, 0)));
    assert_eq!((weights.newest("m"), weights.newest("other"), weights.newest("unknown")), (2, 7, 1));
    assert_eq!(
        (weights.floor("m", 4_200, due_after(BOUND)), weights.floor("m", 4_199, due_after(BOUND))),
        (Some(2), None)
    );
    let all: Vec<_> = weights.iter().collect();
    assert_eq!(all, [("m", naming(2, 0)), ("other", naming(7, 100))]);
    assert_eq!(
        weights.describe(50).to_string(),
        "m version 2 named 50 ms ago; other version 7 named -50 ms ago"
    );
}

/// Namings as processes may hear them.
#[derive(Debug, Clone)]
struct Heard(Vec<(u64, i64)>);

impl Arbitrary for Heard {
    fn arbitrary(random: &mut Gen) -> Heard {
        let count = usize::arbitrary(random) % 20;
        let one = |random: &mut Gen| (u64::arbitrary(random) % 12, i64::from(u16::arbitrary(random) % 9_000));
        Heard((0..count).map(|_| one(random)).collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Heard>> {
        Box::new(self.0.shrink().map(Heard))
    }
}

#[test]
fn the_order_of_hearing_does_not_matter_and_every_bound_is_kept() {
    fn holds(heard: Heard) -> bool {
        let forwards = namings(&heard.0);
        let backwards: Vec<_> = heard.0.iter().rev().copied().collect();
        let twice: Vec<_> = heard.0.iter().chain(&heard.0).copied().collect();
        let same = forwards == namings(&backwards) && forwards == namings(&twice);
        let floor_is_exact = (0..16_000).step_by(250).all(|now| {
            let due = heard.0.iter().filter(|(_, at)| now - at >= BOUND).map(|(version, _)| *version).max();
            forwards.floor(now, BOUND) == due
        });
        same && floor_is_exact
    }
    QuickCheck::new().tests(2_000).quickcheck(holds as fn(Heard) -> bool);
}
