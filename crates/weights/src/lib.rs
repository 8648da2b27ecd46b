//! Versions of models' weights that operators named, and from when on each is due.
//!
//! A naming is an obligation with a deadline: within a bound after it, no request may begin on older weights. A later
//! naming adds an obligation and leaves the earlier one as it is; what is kept here is therefore not the newest version
//! but every naming that may still be the one that binds. Merging is idempotent and independent of order, so
//! processes may hear the same namings from several sides. No I/O; times are handed in.

mod namings;

pub use namings::{Naming, Namings, MOST_NAMINGS, RETAIN_MS};

use std::collections::BTreeMap;
use std::fmt;

/// Milliseconds of the caller's clock; may lie before its start.
pub type Millis = i64;

/// The version of a model that was never named.
pub const FIRST_VERSION: u64 = 1;

/// The part of a bound, in tenths, after which a naming is due: from then on proxies send nothing to older weights, and
/// controllers order every replica that still has them. The rest of the bound is for what waits in replicas' queues.
const DUE_TENTHS: Millis = 7;

/// Time from a naming to the moment at which it is due; `bound` is the time by which nothing may begin on older weights.
pub fn due_after(bound: Millis) -> Millis {
    bound.saturating_mul(DUE_TENTHS) / 10
}

/// The namings of all models.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NamedWeights {
    models: BTreeMap<String, Namings>,
}

impl NamedWeights {
    /// Takes a naming in. Whether it is news that others must hear.
    pub fn name(&mut self, model: &str, naming: Naming) -> bool {
        match self.models.get_mut(model) {
            Some(namings) => namings.add(naming),
            None => self.models.entry(model.to_string()).or_default().add(naming),
        }
    }

    /// Forgets namings that can't bind any more at `now`.
    pub fn forget_old(&mut self, now: Millis) {
        self.models.values_mut().for_each(|namings| namings.forget_old(now));
    }

    /// The namings of a model, if it was ever named.
    pub fn of(&self, model: &str) -> Option<&Namings> {
        self.models.get(model)
    }

    /// The newest version of a model.
    pub fn newest(&self, model: &str) -> u64 {
        self.of(model).and_then(Namings::newest).map_or(FIRST_VERSION, |naming| naming.version)
    }

    /// The least version on which a request for a model may begin, if any: the newest that was named `wait` ago or
    /// earlier.
    pub fn floor(&self, model: &str, now: Millis, wait: Millis) -> Option<u64> {
        self.of(model)?.floor(now, wait)
    }

    /// The naming above `version` that was made first: the one whose bound ends first for whoever has that version.
    pub fn first_above(&self, model: &str, version: u64) -> Option<Naming> {
        self.of(model)?.first_above(version)
    }

    /// All models with their namings.
    pub fn models(&self) -> impl Iterator<Item = (&str, &Namings)> {
        self.models.iter().map(|(model, namings)| (model.as_str(), namings))
    }

    /// Number of models.
    pub fn len(&self) -> usize {
        self.models.len()
    }

    /// Whether no model was ever named.
    pub fn is_empty(&self) -> bool {
        self.models.is_empty()
    }

    /// All namings, by model, the newest first.
    pub fn iter(&self) -> impl Iterator<Item = (&str, Naming)> {
        self.models().flat_map(|(model, namings)| namings.iter().map(move |naming| (model, naming)))
    }

    /// The namings as a line of a log, with ages at `now`.
    pub fn describe(&self, now: Millis) -> Description<'_> {
        Description { weights: self, now }
    }
}

/// Namings with their ages, for logs.
#[derive(Debug, Clone, Copy)]
pub struct Description<'a> {
    weights: &'a NamedWeights,
    now: Millis,
}

impl fmt::Display for Description<'_> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, (model, namings)) in self.weights.models().enumerate() {
            let separator = if at == 0 { "" } else { "; " };
            write!(out, "{separator}{model}")?;
            for (place, naming) in namings.iter().enumerate() {
                let comma = if place == 0 { "" } else { "," };
                let age = self.now.saturating_sub(naming.named_at);
                write!(out, "{comma} version {} named {age} ms ago", naming.version)?;
            }
        }
        Ok(())
    }
}
