//! Named versions of weights on the wire: as ages, since clocks differ.

use peer::{NamedVersion, Weights, NEVER};
use weights::{NamedWeights, Naming};

use crate::Millis;

/// The namings of a message, by the receiver's clock. An age that is not known counts as older than any bound.
pub fn namings_from_wire(now: Millis, weights: &Weights) -> impl Iterator<Item = (&str, Naming)> {
    weights.versions.iter().map(move |named| {
        let known = now as i64 - i64::from(named.age_ms);
        let named_at = if named.age_ms == NEVER { i64::MIN } else { known };
        (named.model.as_str(), Naming { version: named.version, named_at })
    })
}

/// All namings as a message that leaves now. The newest of a model comes first: releases that know of one naming a model
/// take that.
pub(crate) fn namings_to_wire(now: Millis, weights: &NamedWeights) -> Weights {
    let version = |(model, naming): (&str, Naming)| NamedVersion {
        model: model.into(),
        version: naming.version,
        age_ms: (now as i64).saturating_sub(naming.named_at).clamp(0, i64::from(NEVER)) as u32,
    };
    Weights::from(weights.iter().map(version).collect::<Vec<_>>())
}
