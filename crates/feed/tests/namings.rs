//! Named weights as they come from other processes.

use catalog::Limits;
use feed::{namings_from_wire, Subscriber, View};
use peer::{Message, NamedVersion, Weights, NEVER};
use weights::{NamedWeights, Naming};

/// Longer than any bound, ms.
const LONG: i64 = 1_000_000_000;

#[test]
fn an_age_that_is_not_known_counts_as_older_than_any_bound() {
    let told = Weights::from(vec![NamedVersion { model: "m".into(), version: 4, age_ms: NEVER }]);
    let mut weights = NamedWeights::default();
    for (model, naming) in namings_from_wire(5_000, &told) {
        weights.name(model, naming);
    }
    assert_eq!(weights.floor("m", 5_000, LONG), Some(4));
}

#[test]
fn an_age_counts_back_from_the_receivers_clock() {
    let told = Weights::from(vec![NamedVersion { model: "m".into(), version: 4, age_ms: 700 }]);
    let namings: Vec<_> = namings_from_wire(500, &told).collect();
    assert_eq!(namings.len(), 1);
    assert_eq!((namings[0].0, namings[0].1.version, namings[0].1.named_at), ("m", 4, -200));
}

/// What a feeder tells a subscriber that reads each message so much later than it was sent.
fn floor_after_late_reading(late: u64, until: u64) -> Vec<Option<u64>> {
    let limits = Limits::for_beats(1_200, 2_000);
    let (mut feeder, mut receiver) = (View::new(limits.clone()), View::new(limits));
    let mut subscriber = Subscriber::new(0);
    feeder.take_weights(1_000, [("m", Naming { version: 2, named_at: 1_000 })]);
    let mut floors = Vec::new();
    for now in (1_000..until).step_by(10) {
        // Only the first message is held up on its way.
        let read_at = if now == 1_000 { now + late } else { now.max(1_000 + late) };
        for message in subscriber.messages(now, &feeder, 0) {
            if let Message::Weights(weights) = message {
                receiver.take_weights_message(read_at, &weights);
            }
        }
        floors.push(receiver.weights().floor("m", now as i64, 6_000));
    }
    floors
}

/// A message that was held up on its way (a receiver that stood still, a full link) makes a naming look younger than it is.
/// What is told after it corrects that.
#[test]
fn an_age_that_came_late_is_corrected_by_the_next_one() {
    for late in [0, 900, 3_000, 5_000] {
        let floors = floor_after_late_reading(late, 7_200);
        assert_eq!(floors.last(), Some(&Some(2)), "{late} ms late");
    }
}

/// Ages are told again with the signs of life while they may matter, and not for good.
#[test]
fn ages_are_not_told_for_good() {
    let mut feeder = View::new(Limits::for_beats(1_200, 2_000));
    let mut subscriber = Subscriber::new(0);
    feeder.take_weights(0, [("m", Naming { version: 2, named_at: 0 })]);
    let is_weights = |message: &Message| matches!(message, Message::Weights(_));
    let mut tell = |from: u64, to: u64| -> usize {
        (from..to).step_by(10).flat_map(|now| subscriber.messages(now, &feeder, 0)).filter(is_weights).count()
    };
    assert!(tell(0, 30_000) <= 61);
    assert_eq!(tell(40_000, 100_000), 0);
}
