//! Versions of models that the operators named.

use evidence::Ms;
use std::collections::HashMap;

/// The part of the time to move to a named version after which nothing goes to an older one any more.
const MOVED_BY: f64 = 0.7;
/// The version of a model that was never named.
const FIRST_VERSION: u64 = 1;

#[derive(Debug, Clone, Copy, PartialEq)]
struct Named {
    version: u64,
    acknowledged: Ms,
}

/// The newest named version of each model.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Weights {
    named: HashMap<String, Named>,
}

impl Weights {
    /// A version was named and acknowledged at this time; older names are no news.
    pub fn name(&mut self, model: &str, version: u64, acknowledged: Ms) {
        let named = self.named.entry(model.to_string()).or_insert(Named { version, acknowledged });
        if version > named.version {
            *named = Named { version, acknowledged };
        } else if version == named.version {
            named.acknowledged = named.acknowledged.min(acknowledged);
        }
    }

    /// The newest version.
    pub fn newest(&self, model: &str) -> u64 {
        self.named.get(model).map_or(FIRST_VERSION, |named| named.version)
    }

    /// The version that a request must run on by now, if any; `bound` is the time to move to a named version, ms.
    pub fn required(&self, model: &str, now: Ms, bound: Ms) -> Option<u64> {
        let named = self.named.get(model)?;
        (now - named.acknowledged >= MOVED_BY * bound).then_some(named.version)
    }
}
