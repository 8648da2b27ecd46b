//! The keys of a configuration. A file that lacks one which the file taken before it has is not what its writer meant:
//! read alone, it could pass, with the default in place of what is missing.

use crate::settings::ConfigError;
use serde_json::Value;

/// The list of nodes as it was known at a start: its entries come from discovery, not from whoever writes the file.
const LIST: &str = "known";

/// The keys of a file, at each depth.
#[derive(Debug, Clone)]
pub struct Form(Value);

impl Form {
    /// The keys of a file.
    ///
    /// # Errors
    /// Tells where it is no JSON.
    pub fn read(text: &str) -> Result<Form, ConfigError> {
        let mut value: Value = ConfigError::parse(text)?;
        value.as_object_mut().and_then(|fields| fields.get_mut(LIST)).map(Value::take);
        Ok(Form(value))
    }

    /// Checks that a later file lacks none of the keys.
    ///
    /// # Errors
    /// Names the first one that it lacks.
    pub fn fits(&self, later: &Form) -> Result<(), ConfigError> {
        lacks(&self.0, &later.0, "").map_or(Ok(()), |path| Err(ConfigError::Lacks(path)))
    }
}

/// The path of the first key of `earlier` that `later` lacks. Of a list, those keys count that all its earlier entries
/// have: entries come and go.
fn lacks(earlier: &Value, later: &Value, path: &str) -> Option<String> {
    match (earlier, later) {
        (Value::Object(earlier), _) => earlier.iter().find_map(|(key, value)| {
            let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
            match later.get(key) {
                Some(later) => lacks(value, later, &path),
                None => Some(path),
            }
        }),
        (Value::Array(earlier), Value::Array(later)) => {
            let (first, others) = earlier.split_first()?;
            let shared = |key: &String| others.iter().all(|entry| entry.get(key).is_some());
            let keys: Vec<&String> = first.as_object()?.keys().filter(|key| shared(key)).collect();
            let missing = |entry: &Value| keys.iter().find(|key| entry.get(key).is_none()).copied();
            let found = later.iter().enumerate().find_map(|(n, entry)| Some((n, missing(entry)?)));
            found.map(|(n, key)| format!("{path}[{n}].{key}"))
        }
        _ => None,
    }
}
