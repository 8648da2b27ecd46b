//! The operator's order to move a service to another version.

use quick_error::quick_error;

use crate::Millis;

/// Longest name of a service or version, bytes.
pub const MOST_NAME_BYTES: usize = 256;
/// Longest time that a release may take, ms: a day.
pub const LONGEST_MS: Millis = 24 * 3_600 * 1_000;
/// Shortest time, ms: less than this can't be measured.
const SHORTEST_MS: Millis = 1;

quick_error! {
    /// Why an order makes no sense.
    #[derive(Debug, Clone, PartialEq)]
    #[allow(missing_docs)]
    pub enum OrderError {
        /// A name is empty or too long.
        Name(field: &'static str, length: usize) {
            display("{} must hold 1 to {} bytes; it holds {}", field, MOST_NAME_BYTES, length)
        }
        /// The time is no positive number, or too long.
        Duration(seconds: f64) {
            display("over-s must be above 0 and at most {}; it is {}", LONGEST_MS / 1_000, seconds)
        }
    }
}

/// An order that makes sense by itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    service: String,
    to_version: String,
    over_ms: Millis,
}

impl Order {
    /// Moves `service` to `to_version` within `over_s` seconds.
    ///
    /// # Errors
    /// Names the field that makes no sense.
    pub fn new(service: &str, to_version: &str, over_s: f64) -> Result<Order, OrderError> {
        let checked = |field, text: &str| match text.len() {
            1..=MOST_NAME_BYTES => Ok(text.to_string()),
            length => Err(OrderError::Name(field, length)),
        };
        let service = checked("service", service)?;
        let to_version = checked("to-version", to_version)?;
        let over_ms = over_s * 1_000.0;
        let fits = over_ms >= SHORTEST_MS as f64 && over_ms <= LONGEST_MS as f64;
        if !fits {
            return Err(OrderError::Duration(over_s));
        }
        Ok(Order { service, to_version, over_ms: over_ms as Millis })
    }

    /// The service whose traffic moves.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// The version that is to get it.
    pub fn to_version(&self) -> &str {
        &self.to_version
    }

    /// How long that may take, ms.
    pub fn over_ms(&self) -> Millis {
        self.over_ms
    }
}
