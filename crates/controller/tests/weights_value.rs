//! The value of the weights register: what it keeps of namings, and bytes of earlier releases.

use controller::values::{WeightsValue, MOST_MODELS};
use rstest::rstest;

const START_MS: u64 = 1_700_000_000_000;

/// A value with versions of model `m` named at these times after `START_MS`.
fn named(steps: &[(u64, u64)]) -> WeightsValue {
    steps.iter().fold(WeightsValue::default(), |value, (version, at)| {
        value.with("m", *version, START_MS + at).expect("few models")
    })
}

fn versions(value: &WeightsValue) -> Vec<(u64, i64)> {
    value.namings().map(|(_, naming)| (naming.version, naming.named_at - START_MS as i64)).collect()
}

#[rstest]
fn what_is_named_stays_when_a_newer_version_is_named() {
    let value = named(&[(2, 0), (3, 3_400), (4, 6_800)]);
    assert_eq!(versions(&value), [(4, 6_800), (3, 3_400), (2, 0)]);
    assert_eq!(value.version_of("m"), Some(4));
    let read = WeightsValue::read(&value.bytes()).expect("sound");
    assert_eq!(read, value);
}

#[rstest]
fn namings_of_long_ago_are_forgotten() {
    let day = 86_400_000;
    let value = named(&[(2, 0), (3, day), (4, 2 * day)]);
    assert_eq!(versions(&value), [(4, 2 * day as i64), (3, day as i64)]);
}

/// As an earlier release wrote it: model length, model, version, time of day; one entry a model.
#[rstest]
fn a_value_of_an_earlier_release_is_gone_on_with() {
    let mut bytes = vec![1, 0, 1, 0, b'm'];
    bytes.extend_from_slice(&2_u64.to_le_bytes());
    bytes.extend_from_slice(&START_MS.to_le_bytes());
    let old = WeightsValue::read(&bytes).expect("sound");
    let next = old.with("m", 3, START_MS + 50).expect("few models");
    assert_eq!(versions(&next), [(3, 50), (2, 0)]);
    assert_eq!(&next.bytes()[5..13], &3_u64.to_le_bytes(), "the newest first: earlier releases take that");
}

#[rstest]
fn many_namings_do_not_take_the_room_of_models() {
    let many: Vec<(u64, u64)> = (2..200).map(|version| (version, version * 10)).collect();
    let mut value = named(&many);
    for number in 1..MOST_MODELS {
        value = value.with(&format!("other-{number}"), 2, START_MS).expect("room");
    }
    assert!(value.with("one-too-many", 2, START_MS).is_none());
    assert!(value.with("m", 200, START_MS + 9_000).is_some());
}
