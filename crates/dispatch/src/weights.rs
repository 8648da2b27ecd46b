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
    /// A version was named and acknowledged at this time; older names are no news. Whether the version was not known.
    pub fn name(&mut self, model: &str, version: u64, acknowledged: Ms) -> bool {
        let is_first = !self.named.contains_key(model);
        let named = self.named.entry(model.to_string()).or_insert(Named { version, acknowledged });
        let is_newer = version > named.version;
        if is_newer {
            *named = Named { version, acknowledged };
        } else if version == named.version {
            named.acknowledged = named.acknowledged.min(acknowledged);
        }
        is_first || is_newer
    }

    /// The named versions as a line of a log. Times count from `now`, ms.
    pub fn describe(&self, now: Ms, bound: Ms) -> String {
        let of_model = |(model, named): (&String, &Named)| {
            let age = now - named.acknowledged;
            let out = MOVED_BY * bound - age;
            format!("{model} version {} named {age:.0} ms ago, older ones out in {out:.0} ms", named.version)
        };
        self.named.iter().map(of_model).collect::<Vec<_>>().join("; ")
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
