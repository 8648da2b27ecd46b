//! The merge of the shards' hits, in the order that one index would give them.

use super::search::{Order, Search};
use miniserde::json::{self, Array, Number, Object, Value};
use miniserde::Deserialize;
use std::cmp::Ordering;

/// What of a node's answer is used.
#[derive(Deserialize, Debug)]
pub struct NodeBody {
    /// The node stopped early.
    pub timed_out: bool,
    /// How its shards fared.
    pub _shards: Shards,
    hits: Hits,
    aggregations: Option<Object>,
}

/// How shards fared.
#[derive(Deserialize, Debug)]
pub struct Shards {
    /// Asked.
    pub total: u64,
    /// Of these, answered.
    pub successful: u64,
    /// Of these, failed.
    pub failed: u64,
}

#[derive(Deserialize, Debug)]
struct Hits {
    total: Option<Total>,
    max_score: Option<f64>,
    hits: Vec<Object>,
}

#[derive(Deserialize, Debug)]
struct Total {
    value: u64,
    relation: String,
}

/// A value by which hits or buckets are ordered.
#[derive(Debug, Clone, PartialEq)]
pub enum SortValue {
    /// A whole number.
    Whole(i128),
    /// A number.
    Float(f64),
    /// A word.
    Text(String),
    /// None: last.
    Missing,
}

/// Reads a value by which things are ordered.
pub fn sort_value(value: &Value) -> Option<SortValue> {
    Some(match value {
        Value::Null => SortValue::Missing,
        Value::Bool(value) => SortValue::Whole(i128::from(*value)),
        Value::Number(Number::U64(n)) => SortValue::Whole(i128::from(*n)),
        Value::Number(Number::I64(n)) => SortValue::Whole(i128::from(*n)),
        Value::Number(Number::F64(n)) => SortValue::Float(*n),
        // A missing floating-point value comes as one of these words.
        Value::String(text) if text == "Infinity" => SortValue::Float(f64::INFINITY),
        Value::String(text) if text == "-Infinity" => SortValue::Float(f64::NEG_INFINITY),
        Value::String(text) => SortValue::Text(text.clone()),
        Value::Array(_) | Value::Object(_) => return None,
    })
}

/// Compares two values, ascending; `None` where they are of unlike kinds. Both-missing is equal.
pub fn compare(a: &SortValue, b: &SortValue) -> Option<Ordering> {
    use SortValue::{Float, Missing, Text, Whole};
    match (a, b) {
        (Missing, Missing) => Some(Ordering::Equal),
        (Missing, _) => Some(Ordering::Greater),
        (_, Missing) => Some(Ordering::Less),
        (Whole(a), Whole(b)) => Some(a.cmp(b)),
        (Text(a), Text(b)) => Some(a.cmp(b)),
        (Float(a), Float(b)) => a.partial_cmp(b),
        (Whole(a), Float(b)) => (*a as f64).partial_cmp(b),
        (Float(a), Whole(b)) => a.partial_cmp(&(*b as f64)),
        _ => None,
    }
}

/// Compares the sort values of two hits. What is missing comes last in either direction.
fn compare_all(a: &[SortValue], b: &[SortValue], descending: &[bool]) -> Option<Ordering> {
    for ((a, b), descending) in a.iter().zip(b).zip(descending) {
        let order = compare(a, b)?;
        let missing = *a == SortValue::Missing || *b == SortValue::Missing;
        let order = if *descending && !missing { order.reverse() } else { order };
        if order != Ordering::Equal {
            return Some(order);
        }
    }
    Some(Ordering::Equal)
}

fn values(hit: &Object, order: &Order) -> Result<Vec<SortValue>, String> {
    match order {
        Order::Score => {
            let score = hit.get("_score").and_then(sort_value).ok_or("a hit without [_score]")?;
            Ok(vec![score])
        }
        Order::Values(keys) => match hit.get("sort") {
            Some(Value::Array(list)) if list.len() == keys.len() => list
                .iter()
                .map(|v| sort_value(v).ok_or_else(|| "a sort value that can't be ordered".into()))
                .collect(),
            _ => Err("a hit without its [sort] values".into()),
        },
    }
}

/// The merged members of an answer: `hits`, then `aggregations` where there are any.
#[derive(Debug)]
pub struct Merged {
    /// JSON members.
    pub members: String,
    /// The sort values of the last hit, where hits have them.
    pub last: Option<Array>,
}

/// Merges the answers of a search's shards, in the order of the shards.
///
/// # Errors
/// Tells what can't be merged exactly.
pub fn merge(search: &Search, shards: &[&NodeBody]) -> Result<Merged, String> {
    let by_score = [true];
    let descending: &[bool] = match &search.order {
        Order::Score => &by_score,
        Order::Values(keys) => keys,
    };
    let mut hits = Vec::new();
    for shard in shards {
        for hit in &shard.hits.hits {
            hits.push((values(hit, &search.order)?, hit));
        }
    }
    // A stable sort: ties keep the order of the shards, and within a shard its own.
    let mut fault = false;
    hits.sort_by(|a, b| {
        compare_all(&a.0, &b.0, descending).unwrap_or_else(|| {
            fault = true;
            Ordering::Equal
        })
    });
    if fault {
        return Err("sort values of unlike kinds".into());
    }
    let page: Vec<&Object> = hits.iter().skip(search.from).take(search.size).map(|(_, hit)| *hit).collect();
    let best = shards.iter().filter_map(|shard| shard.hits.max_score).reduce(f64::max);
    let mut members = String::from("\"hits\":{");
    if let Some(limit) = search.track {
        let totals = shards.iter().map(|shard| shard.hits.total.as_ref().ok_or("a shard gave no total"));
        let totals = totals.collect::<Result<Vec<&Total>, _>>()?;
        let sum: u64 = totals.iter().map(|total| total.value).sum();
        let beyond = totals.iter().any(|total| total.relation != "eq") || sum > limit;
        let relation = if beyond { "gte" } else { "eq" };
        members += &format!("\"total\":{{\"value\":{},\"relation\":\"{relation}\"}},", sum.min(limit));
    }
    let listed: Vec<String> = page.iter().map(|hit| json::to_string(*hit)).collect();
    members += &format!("\"max_score\":{},\"hits\":[{}]}}", json::to_string(&best), listed.join(","));
    if !search.aggs.is_empty() {
        let given =
            shards.iter().map(|shard| shard.aggregations.as_ref().ok_or("a shard gave no aggregations"));
        let given = given.collect::<Result<Vec<&Object>, _>>()?;
        members += &format!(",\"aggregations\":{{{}}}", search.aggs.merge(&given)?);
    }
    let last = page.last().and_then(|hit| match hit.get("sort") {
        Some(Value::Array(values)) => Some(values.clone()),
        _ => None,
    });
    Ok(Merged { members, last })
}
