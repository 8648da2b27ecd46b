//! The operator's order to bring in a version, read from its body.

use rollout::Order;
use serde_json::{Map, Value};

use crate::command::Reply;

const SERVICE: &str = "service";
const TO_VERSION: &str = "to-version";
const OVER_S: &str = "over-s";
/// Longest value that a refusal repeats, characters.
const MOST_SHOWN: usize = 100;

/// Reads an order; whatever is wrong with it is named with its field and value.
pub(crate) fn read(body: &[u8]) -> Result<Order, Reply> {
    let refused = |why: String| Reply::refusal(400, &why);
    let value: Value =
        serde_json::from_slice(body).map_err(|why| refused(format!("the body can't be read: {why}")))?;
    let Value::Object(fields) = value else {
        return Err(refused(format!("the body must be an object; it is {}", shown(&value))));
    };
    let (service, to_version) = (text(&fields, SERVICE)?, text(&fields, TO_VERSION)?);
    let over_s = member(&fields, OVER_S)?;
    let seconds = over_s.as_f64();
    let seconds =
        seconds.ok_or_else(|| refused(format!("{OVER_S} must be a number; it is {}", shown(over_s))))?;
    Order::new(service, to_version, seconds).map_err(|why| refused(why.to_string()))
}

fn member<'a>(fields: &'a Map<String, Value>, name: &str) -> Result<&'a Value, Reply> {
    fields.get(name).ok_or_else(|| Reply::refusal(400, &format!("{name} is missing")))
}

fn text<'a>(fields: &'a Map<String, Value>, name: &str) -> Result<&'a str, Reply> {
    let value = member(fields, name)?;
    let refused = || Reply::refusal(400, &format!("{name} must be a text; it is {}", shown(value)));
    value.as_str().ok_or_else(refused)
}

fn shown(value: &Value) -> String {
    value.to_string().chars().take(MOST_SHOWN).collect()
}
