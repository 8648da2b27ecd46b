//! Named weights as they come from other processes.

use feed::namings_from_wire;
use peer::{NamedVersion, Weights, NEVER};
use weights::NamedWeights;

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
