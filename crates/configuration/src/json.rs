//! Reading JSON whole: the library stops behind the first value, and what follows it must be an error here.

use crate::ConfigurationError;
use facet::Facet;
use facet_json::RawJson;

fn unreadable(why: impl ToString) -> ConfigurationError {
    ConfigurationError::Unreadable(why.to_string())
}

/// The text, if it is one JSON value and nothing else.
fn one_value(json: &[u8]) -> Result<&str, ConfigurationError> {
    let text = std::str::from_utf8(json).map_err(unreadable)?.trim();
    let first: RawJson = facet_json::from_str_borrowed(text).map_err(unreadable)?;
    if first.as_str().len() < text.len() {
        return Err(unreadable(format!("something follows after byte {}", first.as_str().len())));
    }
    Ok(text)
}

/// Reads a value of its own.
///
/// # Errors
/// Tells what can't be read.
pub(crate) fn read<T: Facet<'static>>(json: &[u8]) -> Result<T, ConfigurationError> {
    facet_json::from_str(one_value(json)?).map_err(unreadable)
}

/// Reads a value that keeps parts of the text, and another one from the same text.
///
/// # Errors
/// Tells what can't be read.
pub(crate) fn read_twice<'text, One: Facet<'text>, Other: Facet<'static>>(
    json: &'text [u8],
) -> Result<(One, Other), ConfigurationError> {
    let text = one_value(json)?;
    let one = facet_json::from_str_borrowed(text).map_err(unreadable)?;
    Ok((one, facet_json::from_str(text).map_err(unreadable)?))
}
