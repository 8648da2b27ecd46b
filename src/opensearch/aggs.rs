//! Aggregations that can be merged exactly from the shards' answers, and their merge.

use super::merge::{compare, sort_value};
use super::search::whole;
use miniserde::json::{self, Number, Object, Value};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Buckets asked of each shard: all, or the merge would miss some.
const ALL_BUCKETS: u64 = 10_000;
/// How deep aggregations may nest.
const DEPTH: usize = 4;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Metric {
    Sum,
    Min,
    Max,
    Count,
    Avg,
    Stats,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BucketOrder {
    Count,
    Key { descending: bool },
}

#[derive(Debug)]
enum Agg {
    Metric(Metric),
    /// A single bucket.
    Filter(Aggs),
    /// Buckets by key.
    Buckets {
        size: usize,
        least: u64,
        order: BucketOrder,
        terms: bool,
        subs: Aggs,
    },
}

/// Aggregations by name.
#[derive(Debug, Default)]
pub struct Aggs(BTreeMap<String, Agg>);

fn only(about: &Object, allowed: &[&str]) -> Result<(), String> {
    match about.keys().find(|name| !allowed.contains(&name.as_str())) {
        Some(name) => Err(format!("aggregation option [{name}] can't be merged exactly")),
        None => Ok(()),
    }
}

fn bucket_order(value: Option<Value>, terms: bool) -> Result<BucketOrder, String> {
    let Some(value) = value else {
        return Ok(if terms { BucketOrder::Count } else { BucketOrder::Key { descending: false } });
    };
    if let Value::Object(order) = &value {
        if let (1, Some((name, Value::String(way)))) = (order.len(), order.iter().next()) {
            match (name.as_str(), way.as_str()) {
                ("_count", "desc") => return Ok(BucketOrder::Count),
                ("_key", "asc") => return Ok(BucketOrder::Key { descending: false }),
                ("_key", "desc") => return Ok(BucketOrder::Key { descending: true }),
                _ => {}
            }
        }
    }
    Err("buckets are ordered by [_count] descending or by [_key]".into())
}

impl Aggs {
    /// Reads the aggregations of a request; also gives what the shards are asked.
    ///
    /// # Errors
    /// Names what can't be merged exactly.
    pub fn read(aggs: Object) -> Result<(Aggs, Object), String> {
        Self::read_level(aggs, 0)
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn read_level(aggs: Object, depth: usize) -> Result<(Aggs, Object), String> {
        if depth > DEPTH {
            return Err("aggregations nest too deep".into());
        }
        let (mut read, mut asked) = (BTreeMap::new(), Object::new());
        for (name, about) in aggs {
            let Value::Object(mut about) = about else { return Err(format!("[{name}] is no aggregation")) };
            let subs = match (about.remove("aggs"), about.remove("aggregations")) {
                (None, None) => Object::new(),
                (Some(Value::Object(subs)), None) | (None, Some(Value::Object(subs))) => subs,
                _ => return Err(format!("the sub-aggregations of [{name}] are no object")),
            };
            let mut kinds = about.into_iter();
            let (Some((kind, Value::Object(body))), None) = (kinds.next(), kinds.next()) else {
                return Err(format!("[{name}] has not exactly one kind"));
            };
            let (subs, subs_asked) = Self::read_level(subs, depth + 1)?;
            let (agg, kind, body) = Self::read_one(&kind, body, subs)?;
            if matches!(agg, Agg::Metric(_)) && !subs_asked.is_empty() {
                return Err(format!("[{name}] takes no sub-aggregations"));
            }
            let mut one = Object::new();
            one.insert(kind, Value::Object(body));
            if !subs_asked.is_empty() {
                one.insert("aggs".into(), Value::Object(subs_asked));
            }
            asked.insert(name.clone(), Value::Object(one));
            read.insert(name, agg);
        }
        Ok((Aggs(read), asked))
    }

    fn read_one(kind: &str, mut body: Object, subs: Aggs) -> Result<(Agg, String, Object), String> {
        let metric = |metric, asked: &str, body: Object| {
            only(&body, &["field", "missing"])?;
            Ok((Agg::Metric(metric), asked.to_string(), body))
        };
        match kind {
            "sum" => metric(Metric::Sum, kind, body),
            "min" => metric(Metric::Min, kind, body),
            "max" => metric(Metric::Max, kind, body),
            "value_count" => metric(Metric::Count, kind, body),
            "stats" => metric(Metric::Stats, kind, body),
            // A mean of means is none: the shards give sum and count.
            "avg" => metric(Metric::Avg, "stats", body),
            "filter" => Ok((Agg::Filter(subs), kind.into(), body)),
            "terms" | "histogram" | "date_histogram" => {
                let terms = kind == "terms";
                let allowed: &[&str] = match kind {
                    "terms" => &["field", "missing", "size", "min_doc_count", "order"],
                    "histogram" => &["field", "missing", "interval", "offset", "min_doc_count", "order"],
                    _ => &[
                        "field",
                        "missing",
                        "fixed_interval",
                        "calendar_interval",
                        "time_zone",
                        "offset",
                        "format",
                        "min_doc_count",
                        "order",
                    ],
                };
                only(&body, allowed)?;
                let size =
                    body.remove("size").map_or(Ok(10), |v| whole(&v).ok_or("[size] is a whole number"))?;
                let least = body.remove("min_doc_count").as_ref().map(whole);
                let least = match least {
                    None if terms => 1,
                    Some(Some(least)) if least > 0 => least,
                    _ => return Err("[min_doc_count] of 1 or more is needed for an exact merge".into()),
                };
                let order = bucket_order(body.remove("order"), terms)?;
                if terms {
                    body.insert("size".into(), Value::Number(Number::U64(ALL_BUCKETS)));
                }
                body.insert("min_doc_count".into(), Value::Number(Number::U64(1)));
                let size = if terms { size as usize } else { usize::MAX };
                Ok((Agg::Buckets { size, least, order, terms, subs }, kind.into(), body))
            }
            other => Err(format!("aggregation [{other}] can't be merged exactly")),
        }
    }

    /// Merges what the shards gave for these aggregations into the members of a JSON object.
    ///
    /// # Errors
    /// Tells what a shard left out or what can't be merged exactly.
    pub fn merge(&self, shards: &[&Object]) -> Result<String, String> {
        let mut members = Vec::new();
        for (name, agg) in &self.0 {
            let given = shards.iter().map(|shard| match shard.get(name) {
                Some(Value::Object(given)) => Ok(given),
                _ => Err(format!("a shard gave no aggregation [{name}]")),
            });
            let given = given.collect::<Result<Vec<&Object>, String>>()?;
            members.push(format!("{}:{}", json::to_string(name), agg.merge(&given)?));
        }
        Ok(members.join(","))
    }
}

fn float(object: &Object, name: &str) -> Result<Option<f64>, String> {
    match object.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::Number(Number::F64(n))) => Ok(Some(*n)),
        Some(Value::Number(Number::U64(n))) => Ok(Some(*n as f64)),
        Some(Value::Number(Number::I64(n))) => Ok(Some(*n as f64)),
        Some(_) => Err(format!("a shard's [{name}] is no number")),
    }
}

fn count(object: &Object, name: &str) -> Result<u64, String> {
    object.get(name).and_then(whole).ok_or_else(|| format!("a shard gave no [{name}]"))
}

fn text(value: Option<f64>) -> String {
    value.map_or_else(|| "null".into(), |value| json::to_string(&value))
}

impl Metric {
    fn merge(self, given: &[&Object]) -> Result<String, String> {
        let all = |name: &str| given.iter().map(|o| float(o, name)).collect::<Result<Vec<_>, _>>();
        let best = |name: &str, pick: fn(f64, f64) -> f64| {
            Ok::<_, String>(all(name)?.into_iter().flatten().reduce(pick))
        };
        let sum = |name: &str| Ok::<f64, String>(all(name)?.into_iter().flatten().sum());
        let counts = |name: &str| given.iter().map(|o| count(o, name)).sum::<Result<u64, _>>();
        Ok(match self {
            Metric::Sum => format!("{{\"value\":{}}}", text(Some(sum("value")?))),
            Metric::Min => format!("{{\"value\":{}}}", text(best("value", f64::min)?)),
            Metric::Max => format!("{{\"value\":{}}}", text(best("value", f64::max)?)),
            Metric::Count => format!("{{\"value\":{}}}", counts("value")?),
            Metric::Avg | Metric::Stats => {
                let (count, sum) = (counts("count")?, sum("sum")?);
                let avg = text((count > 0).then(|| sum / count as f64));
                if self == Metric::Avg {
                    return Ok(format!("{{\"value\":{avg}}}"));
                }
                let (min, max) = (text(best("min", f64::min)?), text(best("max", f64::max)?));
                let sum = text(Some(sum));
                format!("{{\"count\":{count},\"min\":{min},\"max\":{max},\"avg\":{avg},\"sum\":{sum}}}")
            }
        })
    }
}

impl Agg {
    fn merge(&self, given: &[&Object]) -> Result<String, String> {
        let with = |subs: &Aggs, given: &[&Object]| {
            let members = subs.merge(given)?;
            Ok::<_, String>(if members.is_empty() { members } else { format!(",{members}") })
        };
        match self {
            Agg::Metric(metric) => metric.merge(given),
            Agg::Filter(subs) => {
                let docs = given.iter().map(|o| count(o, "doc_count")).sum::<Result<u64, _>>()?;
                Ok(format!("{{\"doc_count\":{docs}{}}}", with(subs, given)?))
            }
            Agg::Buckets { size, least, order, terms, subs } => {
                let mut buckets = Vec::new();
                for shard in given {
                    if *terms && count(shard, "sum_other_doc_count")? > 0 {
                        return Err("a shard has more buckets than can be merged exactly".into());
                    }
                    let Some(Value::Array(list)) = shard.get("buckets") else {
                        return Err("a shard gave no buckets".into());
                    };
                    for bucket in list {
                        let Value::Object(bucket) = bucket else {
                            return Err("a bucket is no object".into());
                        };
                        let key = bucket.get("key").and_then(sort_value).ok_or("a bucket has no key")?;
                        buckets.push((key, bucket));
                    }
                }
                let mut fault = None;
                buckets.sort_by(|a, b| {
                    compare(&a.0, &b.0).unwrap_or_else(|| {
                        fault = Some("bucket keys of unlike kinds");
                        Ordering::Equal
                    })
                });
                if let Some(fault) = fault {
                    return Err(fault.into());
                }
                let mut merged = Vec::new();
                for group in buckets.chunk_by(|a, b| compare(&a.0, &b.0) == Some(Ordering::Equal)) {
                    let group: Vec<&Object> = group.iter().map(|(_, bucket)| *bucket).collect();
                    let docs = group.iter().map(|o| count(o, "doc_count")).sum::<Result<u64, _>>()?;
                    if docs < *least {
                        continue;
                    }
                    let shown = group[0].get("key_as_string").map(json::to_string);
                    let shown = shown.map_or_else(String::new, |text| format!(",\"key_as_string\":{text}"));
                    let key = group[0].get("key").map(json::to_string).unwrap_or_default();
                    let rest = with(subs, &group)?;
                    merged.push((docs, format!("{{\"key\":{key}{shown},\"doc_count\":{docs}{rest}}}")));
                }
                match order {
                    // The keys are ascending already, which breaks ties as OpenSearch does.
                    BucketOrder::Count => merged.sort_by_key(|(docs, _)| std::cmp::Reverse(*docs)),
                    BucketOrder::Key { descending: true } => merged.reverse(),
                    BucketOrder::Key { descending: false } => {}
                }
                let other: u64 = merged.iter().skip(*size).map(|(docs, _)| docs).sum();
                let list: Vec<String> = merged.into_iter().take(*size).map(|(_, text)| text).collect();
                let head = if *terms {
                    format!("\"doc_count_error_upper_bound\":0,\"sum_other_doc_count\":{other},")
                } else {
                    String::new()
                };
                Ok(format!("{{{head}\"buckets\":[{}]}}", list.join(",")))
            }
        }
    }
}
