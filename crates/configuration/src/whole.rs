//! Whole numbers in configurations.

use facet::Facet;

/// The largest number that JSON readers agree on.
const LARGEST: f64 = 9_007_199_254_740_992.0;

/// A whole number from 0 to 2^53. The JSON library wraps negative and too large numbers around where a plain integer
/// is read, so they are read as floating point and checked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Facet)]
#[facet(proxy = f64)]
pub struct Whole(pub u64);

impl TryFrom<f64> for Whole {
    type Error = String;

    fn try_from(value: f64) -> Result<Whole, String> {
        if value.fract() != 0.0 || !(0.0..=LARGEST).contains(&value) {
            return Err(format!("{value} is no whole number from 0 to 2^53"));
        }
        Ok(Whole(value as u64))
    }
}

impl From<&Whole> for f64 {
    fn from(value: &Whole) -> f64 {
        value.0 as f64
    }
}
