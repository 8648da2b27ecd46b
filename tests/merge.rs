//! The merge, checked against one index that holds all documents: random documents over random shards.

mod support;

use miniserde::json::{self, Object};
use steppick::opensearch::merge::{merge, NodeBody};
use steppick::opensearch::search::Search;
use support::{check, Step};

/// A document: its place in the order of creation, price and quantity; the price may be missing.
#[derive(Clone, Debug)]
struct Doc {
    id: usize,
    price: Option<i64>,
    quantity: i64,
}

fn price(doc: &Doc) -> String {
    doc.price.map_or("null".into(), |price| price.to_string())
}

/// Documents in order: by price (missing last), then the dearer quantity first, then by id.
fn sorted(docs: &[Doc]) -> Vec<Doc> {
    let mut docs = docs.to_vec();
    docs.sort_by_key(|doc| (doc.price.is_none(), doc.price, -doc.quantity, doc.id));
    docs
}

fn histogram(docs: &[Doc], name: &str, key: impl Fn(&Doc) -> i64) -> String {
    let mut keys: Vec<i64> = docs.iter().map(&key).collect();
    keys.sort_unstable();
    keys.dedup();
    let bucket = |k: &i64| {
        let of: Vec<&Doc> = docs.iter().filter(|doc| key(doc) == *k).collect();
        let sum: i64 = of.iter().map(|doc| doc.quantity).sum();
        format!("{{\"key\":{k},\"doc_count\":{},\"sum\":{{\"value\":{sum}.0}}}}", of.len())
    };
    let buckets: Vec<String> = keys.iter().map(bucket).collect();
    format!("\"{name}\":{{\"buckets\":[{}]}}", buckets.join(","))
}

/// What one shard, or the one index, answers.
fn node(docs: &[Doc], size: usize) -> String {
    let hit = |doc: &Doc| {
        let (price, quantity, id) = (price(doc), doc.quantity, doc.id);
        format!("{{\"_id\":\"{id}\",\"sort\":[{price},{quantity},{id}]}}")
    };
    let hits: Vec<String> = sorted(docs).iter().take(size).map(hit).collect();
    format!(
        "\"hits\":{{\"total\":{{\"value\":{},\"relation\":\"eq\"}},\"max_score\":null,\"hits\":[{}]}},\"aggregations\":{{{}}}",
        docs.len(),
        hits.join(","),
        histogram(docs, "h", |doc| doc.quantity / 4 * 4)
    )
}

fn holds(steps: Vec<Step>, size: u8) -> bool {
    let size = usize::from(size) % 20 + 1;
    let each = steps.iter().enumerate().map(|(id, (shard, price, quantity))| {
        let price = (price % 5 > 0).then(|| i64::from(price % 7));
        (usize::from(*shard) % 4, Doc { id, price, quantity: i64::from(quantity % 16) })
    });
    let docs: Vec<(usize, Doc)> = each.collect();
    let text = format!(
        "{{\"size\":{size},\"sort\":[\"price\",{{\"quantity\":\"desc\"}},\"n\"],\"aggs\":{{\"h\":{{\"histogram\":\
         {{\"field\":\"quantity\",\"interval\":4,\"min_doc_count\":1}},\"aggs\":{{\"sum\":{{\"sum\":{{\"field\":\"quantity\"}}}}}}}}}}}}"
    );
    let search = Search::read(json::from_str::<Object>(&text).expect("a body"), false).expect("a search");
    let bodies: Vec<NodeBody> = (0..4)
        .map(|shard| {
            let own: Vec<Doc> =
                docs.iter().filter(|(s, _)| *s == shard).map(|(_, doc)| doc.clone()).collect();
            let head = "\"timed_out\":false,\"_shards\":{\"total\":1,\"successful\":1,\"failed\":0}";
            json::from_str(&format!("{{{head},{}}}", node(&own, size))).expect("an answer")
        })
        .collect();
    let merged = merge(&search, &bodies.iter().collect::<Vec<_>>()).expect("a merge");
    let all: Vec<Doc> = docs.into_iter().map(|(_, doc)| doc).collect();
    let normal =
        |text: &str| json::to_string(&json::from_str::<Object>(&format!("{{{text}}}")).expect("JSON"));
    assert_eq!(normal(&merged.members), normal(&node(&all, size)));
    true
}

#[test]
fn shards_merge_into_what_one_index_answers() {
    check(holds as fn(Vec<Step>, u8) -> bool);
}
