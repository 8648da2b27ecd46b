//! Why a configuration can't be used.

use quick_error::quick_error;
use std::fmt;

/// One thing in a configuration that makes no sense.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Where, such as `routes[3] 'r-a'`.
    pub place: String,
    /// Which field.
    pub field: &'static str,
    /// What is wrong, and what to do.
    pub remedy: String,
}

impl Fault {
    /// A fault in a field of a place.
    pub fn new(place: impl Into<String>, field: &'static str, remedy: impl Into<String>) -> Fault {
        Fault { place: place.into(), field, remedy: remedy.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{}: {}: {}", self.place, self.field, self.remedy)
    }
}

/// Most faults that one message names.
const MOST_NAMED: usize = 20;

fn list(faults: &[Fault]) -> String {
    let mut named: Vec<String> = faults.iter().take(MOST_NAMED).map(Fault::to_string).collect();
    if faults.len() > MOST_NAMED {
        named.push(format!("and {} more", faults.len() - MOST_NAMED));
    }
    named.join("; ")
}

quick_error! {
    /// Why a configuration can't be used.
    #[derive(Debug, Clone, PartialEq, Eq)]
    #[allow(missing_docs)]
    pub enum ConfigurationError {
        /// The body is not the JSON that is expected.
        Unreadable(why: String) {
            display("the body can't be read as a configuration: {}; send it whole, as JSON", why)
        }
        /// It can be read, but makes no sense.
        Invalid(faults: Vec<Fault>) {
            display("{}", list(faults))
        }
        /// Changes build on another version.
        OtherBase { expected: u64, found: u64 } {
            display("the changes build on version {}, but version {} is in place; send the whole", expected, found)
        }
    }
}
