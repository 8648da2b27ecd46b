//! A search request: what of it the coordinator must know to merge the shards' answers, and the body that
//! each shard is sent. What can't be merged exactly is rejected here.

use super::aggs::Aggs;
use miniserde::json::{self, Array, Number, Object, Value};

/// OpenSearch's own limit on `from + size`.
const RESULT_WINDOW: u64 = 10_000;
/// Hits are counted exactly up to this many unless the request says otherwise.
const TRACK_DEFAULT: u64 = 10_000;
/// Fields of the body that are handed to the shards as they are.
const PASSED: [&str; 12] = [
    "query",
    "post_filter",
    "min_score",
    "_source",
    "fields",
    "docvalue_fields",
    "stored_fields",
    "highlight",
    "version",
    "seq_no_primary_term",
    "track_scores",
    "explain",
];

/// How hits are ordered: by score, or by the values of their `sort`, each descending or not.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Best score first.
    Score,
    /// By sort values; true: descending.
    Values(Vec<bool>),
}

/// What is needed to merge.
#[derive(Debug)]
pub struct Search {
    /// Hits that are skipped.
    pub from: usize,
    /// Hits that are wanted.
    pub size: usize,
    /// Their order.
    pub order: Order,
    /// Up to how many hits are counted; `None`: not at all.
    pub track: Option<u64>,
    /// The aggregations.
    pub aggs: Aggs,
    /// The body for the shards, without `search_after`.
    body: Object,
    after: Option<Array>,
}

/// Reads a whole number that is not negative.
pub fn whole(value: &Value) -> Option<u64> {
    match value {
        Value::Number(Number::U64(n)) => Some(*n),
        Value::Number(Number::I64(n)) => u64::try_from(*n).ok(),
        _ => None,
    }
}

fn number(n: u64) -> Value {
    Value::Number(Number::U64(n))
}

/// Reads one sort key: its field and whether it is descending.
fn sort_key(value: &Value) -> Result<(String, bool), String> {
    let (field, about) = match value {
        Value::String(field) => (field, None),
        Value::Object(object) if object.len() == 1 => {
            object.iter().next().map(|(field, about)| (field, Some(about))).ok_or("an empty sort key")?
        }
        _ => return Err("a sort key is a field or an object of one field".into()),
    };
    if field.starts_with('_') && field != "_score" && field != "_id" {
        return Err(format!("sorting by [{field}] can't be merged exactly"));
    }
    let mut order = None;
    match about {
        None => {}
        Some(Value::String(text)) => order = Some(text.as_str()),
        Some(Value::Object(options)) => {
            for (name, option) in options {
                match (name.as_str(), option) {
                    ("order", Value::String(text)) => order = Some(text),
                    ("missing", Value::String(text)) if text == "_last" => {}
                    ("unmapped_type" | "mode", Value::String(_)) => {}
                    _ => return Err(format!("sort option [{name}] can't be merged exactly")),
                }
            }
        }
        Some(_) => return Err("a sort order is a word or an object".into()),
    }
    match order {
        Some("asc") => Ok((field.clone(), false)),
        Some("desc") => Ok((field.clone(), true)),
        None => Ok((field.clone(), field == "_score")),
        Some(other) => Err(format!("unknown sort order [{other}]")),
    }
}

impl Search {
    /// Reads the body of a request. A scroll needs an order without ties, since each of its pages goes on
    /// after the last hit of the one before: the document's id is added as the last key.
    ///
    /// # Errors
    /// Tells what is malformed or can't be merged exactly.
    pub fn read(mut body: Object, scroll: bool) -> Result<Search, String> {
        let mut size = 10;
        let mut from = 0;
        if let Some(value) = body.remove("size") {
            size = whole(&value).ok_or("[size] is a whole number")?;
        }
        if let Some(value) = body.remove("from") {
            from = whole(&value).ok_or("[from] is a whole number")?;
        }
        if from.saturating_add(size) > RESULT_WINDOW {
            return Err(format!("[from] + [size] must be at most {RESULT_WINDOW}"));
        }
        let mut keys = match body.remove("sort") {
            None => Array::new(),
            Some(Value::Array(keys)) => keys,
            Some(key) => [key].into_iter().collect(),
        };
        let mut read = keys.iter().map(sort_key).collect::<Result<Vec<_>, String>>()?;
        if scroll {
            if from > 0 || body.contains_key("search_after") {
                return Err("a scroll takes neither [from] nor [search_after]".into());
            }
            if read.is_empty() {
                keys.push(Value::String("_score".into()));
                read.push(("_score".into(), true));
            }
            if !read.iter().any(|(field, _)| field == "_id") {
                keys.push(Value::String("_id".into()));
                read.push(("_id".into(), false));
            }
        }
        let after = match body.remove("search_after") {
            None => None,
            Some(Value::Array(after)) if after.len() == read.len() && !read.is_empty() && from == 0 => {
                let plain = |v: &Value| !matches!(v, Value::Array(_) | Value::Object(_));
                Some(after).filter(|after| after.iter().all(plain)).map(Some).ok_or("bad [search_after]")?
            }
            Some(_) => return Err("[search_after] has a value for each sort key, and [from] is 0".into()),
        };
        let track = match body.remove("track_total_hits") {
            None => Some(TRACK_DEFAULT),
            Some(Value::Bool(true)) => Some(u64::MAX),
            Some(Value::Bool(false)) => None,
            Some(value) => Some(whole(&value).ok_or("[track_total_hits] is a boolean or a whole number")?),
        };
        let aggs = match (body.remove("aggs"), body.remove("aggregations")) {
            (None, None) => None,
            (Some(Value::Object(aggs)), None) | (None, Some(Value::Object(aggs))) => Some(aggs),
            _ => return Err("[aggs] is one object".into()),
        };
        if let Some(unknown) = body.keys().find(|name| !PASSED.contains(&name.as_str())) {
            return Err(format!("[{unknown}] is not supported: its results can't be merged exactly"));
        }
        if body.get("query").is_some_and(|query| !matches!(query, Value::Object(q) if q.len() == 1)) {
            return Err("[query] is an object of one query".into());
        }
        body.insert("size".into(), number(from + size));
        body.insert(
            "track_total_hits".into(),
            match track {
                None => Value::Bool(false),
                Some(u64::MAX) => Value::Bool(true),
                Some(limit) => number(limit),
            },
        );
        let order = if read.is_empty() {
            Order::Score
        } else {
            Order::Values(read.iter().map(|key| key.1).collect())
        };
        if !read.is_empty() {
            body.insert("sort".into(), Value::Array(keys));
        }
        let (aggs, for_shards) = Aggs::read(aggs.unwrap_or_default())?;
        if !for_shards.is_empty() {
            body.insert("aggs".into(), Value::Object(for_shards));
        }
        Ok(Search { from: from as usize, size: size as usize, order, track, aggs, body, after })
    }

    /// The body that each shard is sent.
    pub fn shard_body(&mut self) -> String {
        if let Some(after) = self.after.take() {
            self.body.insert("search_after".into(), Value::Array(after));
        }
        json::to_string(&self.body)
    }

    /// Goes on after a hit with these sort values. Further pages carry no aggregations.
    pub fn go_on_after(&mut self, values: Array) {
        self.body.remove("aggs");
        self.aggs = Aggs::default();
        self.after = Some(values);
    }
}
