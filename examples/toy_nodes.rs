//! Two toy book nodes for trying the OpenSearch front: `cargo run --example toy_nodes`.
//!
//! Each holds the same few orders in four shards by account. They know `match_all` and `term`, sorts by
//! field, `search_after`, and the `sum`, `stats` and `terms` aggregations: enough for the README's examples.

use miniserde::json::{self, Object, Value};
use std::cmp::Ordering;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use steppick::net::http::{self, Request, Response};
use steppick::opensearch::merge::{compare, sort_value, SortValue};
use steppick::opensearch::search::whole;

const SHARDS: i64 = 4;
/// Account, side, quantity, price in millimes.
const ORDERS: [(i64, &str, i64, i64); 10] = [
    (1001, "buy", 50, 8200),
    (1001, "sell", 20, 8350),
    (1002, "buy", 10, 15100),
    (1003, "buy", 500, 2475),
    (1003, "sell", 120, 2500),
    (1004, "sell", 75, 15250),
    (1005, "buy", 30, 8190),
    (1006, "buy", 400, 2480),
    (1006, "sell", 40, 8400),
    (1007, "sell", 15, 15090),
];

struct Order {
    id: String,
    fields: Object,
}

fn orders(shard: i64) -> Vec<Order> {
    let of = ORDERS.iter().enumerate().filter(|(_, order)| order.0 % SHARDS == shard);
    let order = |(n, (account, side, quantity, price)): (usize, &(i64, &str, i64, i64))| {
        let text = format!(
            "{{\"account\":{account},\"side\":\"{side}\",\"quantity\":{quantity},\"price\":{price}}}"
        );
        Order { id: format!("order-{n}"), fields: json::from_str(&text).expect("an object") }
    };
    of.map(order).collect()
}

impl Order {
    fn value(&self, field: &str) -> SortValue {
        match field {
            "_id" => SortValue::Text(self.id.clone()),
            "_score" => SortValue::Whole(1),
            field => self.fields.get(field).and_then(sort_value).unwrap_or(SortValue::Missing),
        }
    }

    fn fits(&self, query: Option<&Value>) -> bool {
        let Some(Value::Object(query)) = query else { return true };
        let Some(Value::Object(term)) = query.get("term") else { return query.contains_key("match_all") };
        term.iter().all(|(field, value)| sort_value(value).is_some_and(|wanted| wanted == self.value(field)))
    }
}

fn show(value: &SortValue) -> String {
    match value {
        SortValue::Whole(n) => n.to_string(),
        SortValue::Float(n) => json::to_string(n),
        SortValue::Text(text) => json::to_string(text),
        SortValue::Missing => "null".into(),
    }
}

/// The sort of a body: fields, and whether each is descending.
fn sort(body: &Object) -> Vec<(String, bool)> {
    let Some(Value::Array(keys)) = body.get("sort") else { return Vec::new() };
    let descending = |about: &Value| json::to_string(about).contains("desc");
    let key = |key: &Value| match key {
        Value::String(field) => Some((field.clone(), field == "_score")),
        Value::Object(key) => key.iter().next().map(|(field, about)| (field.clone(), descending(about))),
        _ => None,
    };
    keys.iter().filter_map(key).collect()
}

fn order_of(a: &[SortValue], b: &[SortValue], keys: &[(String, bool)]) -> Ordering {
    let each = a.iter().zip(b).zip(keys).map(|((a, b), (_, descending))| {
        let order = compare(a, b).unwrap_or(Ordering::Equal);
        if *descending {
            order.reverse()
        } else {
            order
        }
    });
    each.fold(Ordering::Equal, Ordering::then)
}

fn aggregation(orders: &[Order], about: &Value) -> String {
    let Value::Object(about) = about else { return "{}".into() };
    let Some((kind, Value::Object(body))) = about.iter().find(|(name, _)| *name != "aggs") else {
        return "{}".into();
    };
    let field = if let Some(Value::String(field)) = body.get("field") { field } else { "" };
    let values: Vec<SortValue> = orders.iter().map(|order| order.value(field)).collect();
    let numbers = values.iter().filter_map(|v| if let SortValue::Whole(n) = v { Some(*n) } else { None });
    let (count, sum) = (numbers.clone().count(), numbers.clone().sum::<i128>());
    if kind != "terms" {
        let least = |n: Option<i128>| n.map_or("null".into(), |n| n.to_string());
        let (min, max) = (least(numbers.clone().min()), least(numbers.max()));
        return format!("{{\"value\":{sum},\"count\":{count},\"min\":{min},\"max\":{max},\"sum\":{sum}}}");
    }
    let mut keys: Vec<String> = values.iter().map(show).collect();
    keys.sort();
    let buckets = keys.chunk_by(|a, b| a == b);
    let buckets: Vec<String> =
        buckets.map(|same| format!("{{\"key\":{},\"doc_count\":{}}}", same[0], same.len())).collect();
    format!("{{\"sum_other_doc_count\":0,\"buckets\":[{}]}}", buckets.join(","))
}

fn answer(request: &Request) -> Response {
    let shard = request.query.split("_shards:").nth(1).and_then(|rest| rest.split('&').next());
    let shard = shard.and_then(|shard| shard.parse().ok());
    let body = std::str::from_utf8(&request.body).ok().and_then(|text| json::from_str::<Object>(text).ok());
    let (Some(shard), Some(body)) = (shard, body) else { return Response::new(400, "{}") };
    let mut found: Vec<Order> = orders(shard).into_iter().filter(|o| o.fits(body.get("query"))).collect();
    let (keys, total) = (sort(&body), found.len());
    let values = |order: &Order| keys.iter().map(|(field, _)| order.value(field)).collect::<Vec<_>>();
    found.sort_by(|a, b| order_of(&values(a), &values(b), &keys));
    let aggs = match body.get("aggs") {
        Some(Value::Object(aggs)) => {
            aggs.iter().map(|(n, a)| format!("\"{n}\":{}", aggregation(&found, a))).collect()
        }
        _ => Vec::new(),
    };
    if let Some(Value::Array(after)) = body.get("search_after") {
        let after: Vec<SortValue> = after.iter().filter_map(sort_value).collect();
        found.retain(|order| order_of(&values(order), &after, &keys) == Ordering::Greater);
    }
    let size = body.get("size").and_then(whole).unwrap_or(10) as usize;
    let hit = |order: &Order| {
        let sort: Vec<String> = values(order).iter().map(show).collect();
        let (id, source) = (&order.id, json::to_string(&order.fields));
        format!("{{\"_id\":\"{id}\",\"_score\":1.0,\"sort\":[{}],\"_source\":{source}}}", sort.join(","))
    };
    let hits: Vec<String> = found.iter().take(size).map(hit).collect();
    let (hits, aggs) = (hits.join(","), aggs.join(","));
    Response::new(
        200,
        format!(
            "{{\"took\":1,\"timed_out\":false,\"_shards\":{{\"total\":1,\"successful\":1,\"failed\":0}},\
             \"hits\":{{\"total\":{{\"value\":{total},\"relation\":\"eq\"}},\"max_score\":null,\"hits\":[{hits}]}},\
             \"aggregations\":{{{aggs}}}}}"
        ),
    )
}

pub fn serve(mut stream: TcpStream, port: u16) -> std::io::Result<()> {
    let (mut input, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        match http::request(&input) {
            Ok(Some((request, used))) => {
                input.drain(..used);
                println!("{port}: {} {}?{}", request.method, request.path, request.query);
                stream.write_all(&answer(&request).bytes(false))?;
            }
            Ok(None) => match stream.read(&mut buffer)? {
                0 => return Ok(()),
                count => input.extend_from_slice(&buffer[..count]),
            },
            Err(_) => return stream.write_all(&Response::new(400, "{}").bytes(true)),
        }
    }
}

fn main() -> std::io::Result<()> {
    let listen = |port: u16| -> std::io::Result<_> {
        let listener = TcpListener::bind(("127.0.0.1", port))?;
        println!("a toy book node listens on 127.0.0.1:{port}");
        Ok(std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                std::thread::spawn(move || serve(stream, port));
            }
        }))
    };
    for node in [listen(9301)?, listen(9302)?] {
        let _ = node.join();
    }
    Ok(())
}
