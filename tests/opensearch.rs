//! The second front from request to answer: the real program between a client and stand-in book nodes.

mod support;

use miniserde::json::{self, Number, Object, Value};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use support::hand::Hand;
use support::{apart, message, stand_in, Client, Folder, Notes, Program};

/// How a stand-in behaves, by shard.
#[derive(Clone, Copy, PartialEq)]
enum Mood {
    Serves,
    /// A shard failure inside a 200.
    FailsInside,
    /// Serves, with much white space.
    ServesLong,
    /// Serves more than is taken.
    ServesTooLong,
    Busy,
    Breaks,
    Silent,
}

type Moods = Arc<Mutex<BTreeMap<usize, Mood>>>;

/// A book node that holds every shard: shard s has the prices 4n + s for n below 5.
struct Node {
    address: SocketAddr,
    asked: Notes,
    moods: Moods,
}

fn prices(shard: usize) -> Vec<usize> {
    (0..5).map(|n| 4 * n + shard).collect()
}

fn member<'a>(object: &'a Object, name: &str) -> Option<&'a Value> {
    object.get(name)
}

fn whole(value: Option<&Value>) -> Option<usize> {
    match value {
        Some(Value::Number(Number::U64(n))) => Some(*n as usize),
        _ => None,
    }
}

fn found(shard: usize, body: &str) -> String {
    let body: Object = json::from_str(body).expect("the body is JSON");
    let size = whole(member(&body, "size")).expect("a size");
    let after = match member(&body, "search_after") {
        Some(Value::Array(values)) => whole(values.first()),
        _ => None,
    };
    let id_key = json::to_string(&body).contains("_id");
    let hit = |price: &usize| {
        let sort = if id_key { format!("{price},\"d{price}\"") } else { format!("{price}") };
        format!("{{\"_id\":\"d{price}\",\"_score\":null,\"sort\":[{sort}]}}")
    };
    let all = prices(shard);
    let page = all.iter().filter(|price| after.is_none_or(|after| **price > after)).take(size);
    let hits: Vec<String> = page.map(hit).collect();
    let sum: usize = all.iter().sum();
    let kinds = if shard % 2 == 0 { "even" } else { "odd" };
    let one = format!("{{\"key\":\"{kinds}\",\"doc_count\":{}}}", all.len());
    format!(
        "{{\"took\":1,\"timed_out\":false,\"_shards\":{{\"total\":1,\"successful\":1,\"skipped\":0,\"failed\":0}},\
         \"hits\":{{\"total\":{{\"value\":5,\"relation\":\"eq\"}},\"max_score\":null,\"hits\":[{}]}},\
         \"aggregations\":{{\"mean\":{{\"count\":5,\"min\":0,\"max\":0,\"avg\":0,\"sum\":{sum}}},\
         \"parity\":{{\"doc_count_error_upper_bound\":0,\"sum_other_doc_count\":0,\"buckets\":[{one}]}}}}}}",
        hits.join(",")
    )
}

fn serve(stream: TcpStream, asked: &Notes, moods: &Moods) {
    let mut reader = BufReader::new(stream);
    while let Some((head, body)) = message(&mut reader) {
        let shard = head.split("_shards:").nth(1).and_then(|rest| rest.split('&').next());
        let shard: usize = shard.expect("a shard").parse().expect("a number");
        asked.lock().expect("no panic").push(format!("{shard} {body}"));
        let mood = moods.lock().expect("no panic").get(&shard).copied().unwrap_or(Mood::Serves);
        let (status, text) = match mood {
            Mood::Serves => ("200 OK", found(shard, &body)),
            Mood::ServesLong => ("200 OK", found(shard, &body) + &" ".repeat(500_000)),
            Mood::ServesTooLong => ("200 OK", found(shard, &body) + &" ".repeat(1 << 20)),
            Mood::FailsInside => (
                "200 OK",
                "{\"timed_out\":false,\"_shards\":{\"total\":1,\"successful\":0,\"failed\":1,\"failures\":[{}]},\
                 \"hits\":{\"total\":{\"value\":0,\"relation\":\"eq\"},\"max_score\":null,\"hits\":[]}}"
                    .to_string(),
            ),
            Mood::Busy => ("429 Too Many Requests", "{}".to_string()),
            Mood::Breaks => return,
            // The thread ends with the test's process.
            Mood::Silent => loop {
                std::thread::park();
            },
        };
        let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", text.len());
        if reader.get_mut().write_all((head + &text).as_bytes()).is_err() {
            return;
        }
    }
}

fn node() -> Node {
    let (asked, moods) = (Notes::default(), Moods::default());
    let (notes, states) = (asked.clone(), moods.clone());
    Node { address: stand_in(move |stream| serve(stream, &notes, &states)), asked, moods }
}

impl Node {
    fn mood(&self, shard: usize, mood: Mood) {
        self.moods.lock().expect("no panic").insert(shard, mood);
    }

    fn count(&self) -> usize {
        self.asked.lock().expect("no panic").len()
    }
}

/// Two nodes that hold all four shards, the front and its files.
struct Site {
    folder: Folder,
    nodes: [Node; 2],
    program: Program,
    front: SocketAddr,
}

const SERVICE: &str = "_opensearch._tcp.books.example.";

fn records(nodes: &[Node; 2], states: [&str; 2]) -> String {
    let mut text = String::from("; stand-ins\n");
    for (n, node) in nodes.iter().enumerate() {
        let (port, state) = (node.address.port(), states[n]);
        text += &format!(
            "{SERVICE} 120 IN PTR n{n}.{SERVICE}\nn{n}.{SERVICE} SRV 0 10 {port} h{n}.example.\n\
             n{n}.{SERVICE} TXT \"cell={n}\" \"zone=a\" \"state={state}\"\nh{n}.example. A 127.0.0.1\n"
        );
    }
    text
}

impl Site {
    fn new(name: &str, effect: &str) -> Site {
        Self::with(name, effect, "1, 1")
    }

    fn with(name: &str, effect: &str, floor: &str) -> Site {
        Self::changed(name, effect, floor, |records| records, |front| front)
    }

    /// A site whose records and front file are changed before the start.
    fn changed(
        name: &str,
        effect: &str,
        floor: &str,
        records_as: impl Fn(String) -> String,
        front_as: impl Fn(String) -> String,
    ) -> Site {
        let folder = Folder::new(name);
        let nodes = [node(), node()];
        folder.write("nodes.zone", &records_as(records(&nodes, ["in_service"; 2])));
        let text = include_str!("../deploy/opensearch.json")
            .replace("127.0.0.1:9200", "127.0.0.1:0")
            .replace("book-nodes.zone", "nodes.zone")
            .replace("\"effect\": \"idempotent\"", &format!("\"effect\": \"{effect}\""))
            .replace("\"floor_by_class\": [1, 1]", &format!("\"floor_by_class\": [{floor}]"))
            .replace("\"queries_per_s\": 2, \"burst\": 4", "\"queries_per_s\": 0.001, \"burst\": 2");
        let path = folder.write("front.json", &front_as(text));
        let program = Program::start(&["--opensearch", path.to_str().expect("UTF-8")], None);
        let front = program.address();
        Site { folder, nodes, program, front }
    }

    fn ask(&self, path: &str, body: &str) -> (u16, String, String) {
        Client::new(self.front).ask("POST", path, "X-Opaque-Id: desk\r\n", body)
    }

    fn mood(&self, shard: usize, mood: Mood) {
        self.nodes.iter().for_each(|node| node.mood(shard, mood));
    }
}

/// The document ids of an answer, in order.
fn ids(body: &str) -> Vec<usize> {
    body.split("\"_id\":\"d")
        .skip(1)
        .map(|rest| rest.split('"').next().expect("an id").parse().expect("n"))
        .collect()
}

const BY_PRICE: &str = r#"{"size":6,"sort":[{"price":"asc"}],"query":{"match_all":{}}}"#;

#[test]
fn hits_and_aggregations_are_merged_as_of_one_index() {
    let site = Site::new("merge", "idempotent");
    let aggs = r#"{"from":2,"size":5,"sort":["price"],"aggs":{"mean":{"avg":{"field":"price"}},
        "parity":{"terms":{"field":"parity","size":1}}}}"#;
    let (status, _, body) = site.ask("/books/_search", aggs);
    assert_eq!(status, 200, "{body}");
    assert_eq!(ids(&body), [2, 3, 4, 5, 6]);
    for part in [
        r#""_shards":{"total":4,"successful":4,"skipped":0,"failed":0}"#,
        r#""total":{"value":20,"relation":"eq"}"#,
        r#""mean":{"value":9.5}"#,
        r#""parity":{"doc_count_error_upper_bound":0,"sum_other_doc_count":10,"buckets":[{"key":"even","doc_count":10}]}"#,
        r#""timed_out":false"#,
    ] {
        assert!(body.contains(part), "{part} in {body}");
    }
    // One page goes on where the other ended.
    let (_, _, body) = site.ask("/_search", r#"{"size":3,"sort":["price"],"search_after":[7]}"#);
    assert_eq!(ids(&body), [8, 9, 10]);
    let (_, _, body) = site.ask("/books/_search?preference=_shards:1,3", BY_PRICE);
    assert_eq!(ids(&body), [1, 3, 5, 7, 9, 11]);
    assert!(body.contains(r#""total":2,"successful":2"#), "{body}");
    // Nesting as deep as a body allows must not exhaust the stack.
    let deep = format!("{{\"query\":{{\"bool\":{}{}}}}}", "[".repeat(20_000), "]".repeat(20_000));
    assert_eq!(site.ask("/_search?preference=_shards:1", &deep).0, 200);
}

#[test]
fn a_scroll_outlives_a_node_that_drains() {
    let site = Site::new("scroll", "idempotent");
    let (status, _, body) = site.ask("/books/_search?scroll=1m", BY_PRICE);
    assert_eq!((status, ids(&body)), (200, vec![0, 1, 2, 3, 4, 5]), "{body}");
    let name = body.split("\"_scroll_id\":\"").nth(1).expect("a scroll").split('"').next().expect("a name");
    site.folder.write("nodes.zone", &records(&site.nodes, ["terminating", "in_service"]));
    site.program.line("1 in service");
    // What the grace of 1 s may still bring has come by then.
    std::thread::sleep(Duration::from_millis(1100));
    let (before, page) = (site.nodes[0].count(), format!("{{\"scroll\":\"1m\",\"scroll_id\":\"{name}\"}}"));
    let mut all = Vec::new();
    for _ in 0..3 {
        let (status, _, body) = site.ask("/_search/scroll", &page);
        assert_eq!(status, 200, "{body}");
        all.extend(ids(&body));
    }
    assert_eq!(all, (6..20).collect::<Vec<_>>(), "each hit once, in order");
    assert_eq!(site.nodes[0].count(), before, "nothing new goes to the draining node");
    // A search_after goes on across the drain as well.
    let (status, _, body) = site.ask("/_search", r#"{"size":3,"sort":["price"],"search_after":[16]}"#);
    assert_eq!((status, ids(&body)), (200, vec![17, 18, 19]), "{body}");
    assert_eq!(site.nodes[0].count(), before);
    let delete = format!("{{\"scroll_id\":\"{name}\"}}");
    let clear = |front| Client::new(front).ask("DELETE", "/_search/scroll", "X-Opaque-Id: desk\r\n", &delete);
    assert!(clear(site.front).2.contains("\"num_freed\":1"));
    assert_eq!(clear(site.front).0, 404);
    assert_eq!(site.ask("/_search/scroll", &page).0, 404);
}

#[test]
fn a_shard_that_failed_inside_a_200_is_no_part_of_a_whole_answer() {
    let site = Site::new("inside", "idempotent");
    // One replica fails the shard: the other answers for it.
    site.nodes[0].mood(2, Mood::FailsInside);
    for _ in 0..4 {
        let (status, _, body) = site.ask("/_search", BY_PRICE);
        assert_eq!((status, ids(&body)), (200, vec![0, 1, 2, 3, 4, 5]), "{body}");
        assert!(body.contains(r#""successful":4,"skipped":0,"failed":0"#), "{body}");
    }
    // Both fail it: no answer claims to be one.
    site.nodes[1].mood(2, Mood::FailsInside);
    let (status, head, body) = site.ask("/_search", BY_PRICE);
    assert!(status == 429 || status >= 500, "{head}{body}");
    assert!(body.contains("\"error\"") && !body.contains("\"hits\""), "{body}");
    assert_eq!(status == 429, head.contains("Retry-After: 0."), "{head}");
}

#[test]
fn repeats_keep_to_what_the_class_allows() {
    let site = Site::new("unsafe", "at_most_once");
    site.mood(1, Mood::Breaks);
    let before: usize = site.nodes.iter().map(Node::count).sum();
    let (status, _, body) = site.ask("/_search?preference=_shards:1", BY_PRICE);
    assert_eq!(status, 503, "{body}");
    let after: usize = site.nodes.iter().map(Node::count).sum();
    assert_eq!(after - before, 1, "a part that may have run is not sent again");
    // Turned away is proof that it never ran: that may be sent again.
    site.mood(1, Mood::Serves);
    site.nodes[0].mood(1, Mood::Busy);
    for _ in 0..4 {
        assert_eq!(site.ask("/_search?preference=_shards:1", BY_PRICE).0, 200);
    }
}

#[test]
fn a_silent_node_costs_no_more_than_the_deadline() {
    let site = Site::new("silent", "at_most_once");
    site.mood(0, Mood::Silent);
    let (status, _, body) = site.ask("/_search?timeout=300ms", BY_PRICE);
    assert_eq!(status, 504, "{body}");
    assert!(body.contains("not answered in time"), "{body}");
    let waiting = site.front;
    let asked = apart(move || {
        Client::new(waiting).ask("POST", "/_search?timeout=200ms", "X-Opaque-Id: desk\r\n", BY_PRICE)
    });
    assert_eq!(asked.join().expect("an answer").0, 504);
}

#[test]
fn a_contract_gives_classes_and_a_budget() {
    let site = Site::new("contract", "idempotent");
    let ask = |team: &str, class: &str| {
        let headers = format!("X-Opaque-Id: {team}\r\nX-Class: {class}\r\n");
        Client::new(site.front).ask("POST", "/_search", &headers, BY_PRICE)
    };
    assert_eq!(ask("desk", "book-view").0, 200);
    assert_eq!(ask("desk", "eod-report").0, 403);
    assert_eq!(ask("nobody", "book-view").0, 403);
    assert_eq!(ask("reports", "eod-report").0, 200);
    assert_eq!(ask("reports", "book-view").0, 200);
    let (status, head, body) = ask("reports", "eod-report");
    assert_eq!(status, 429, "{body}");
    assert!(head.contains("Retry-After: 0.500"), "{head}");
    assert!(body.contains("rejected_execution_exception"), "{body}");
}

#[test]
fn what_is_wrong_or_not_exact_is_rejected_in_opensearch_terms() {
    let mut site = Site::new("reject", "idempotent");
    let before: usize = site.nodes.iter().map(Node::count).sum();
    for (path, body) in [
        ("/_search", "{"),
        ("/_search", "[]"),
        ("/_search", "{\"size\":-1}"),
        ("/_search", "{\"size\":10001}"),
        ("/_search", "{\"knn\":{}}"),
        ("/_search", "{\"collapse\":{\"field\":\"a\"}}"),
        ("/_search", "{\"sort\":[\"_doc\"]}"),
        ("/_search", "{\"sort\":[\"price\"],\"search_after\":[1,2]}"),
        ("/_search", "{\"search_after\":[1]}"),
        ("/_search", "{\"aggs\":{\"c\":{\"cardinality\":{\"field\":\"a\"}}}}"),
        ("/_search", "{\"aggs\":{\"c\":{\"terms\":{\"field\":\"a\",\"order\":{\"x\":\"asc\"}}}}}"),
        ("/_search", "{\"aggs\":{\"c\":{\"histogram\":{\"field\":\"a\",\"interval\":5}}}}"),
        ("/_search?q=a", "{}"),
        ("/_search?timeout=soon", "{}"),
        ("/_search?preference=_local", "{}"),
        ("/_search?preference=_shards:9", "{}"),
        ("/_search?scroll=1m", "{\"from\":1}"),
    ] {
        let (status, _, answer) = site.ask(path, body);
        assert_eq!(status, 400, "{path} {body}: {answer}");
        assert!(
            answer.starts_with("{\"error\":{\"root_cause\":[{\"type\":\"")
                && answer.ends_with("\"status\":400}")
        );
    }
    assert_eq!(site.ask("/other/_search", "{}").0, 404);
    assert_eq!(site.ask("/_cat/nodes", "").0, 404);
    assert_eq!(Client::new(site.front).ask("PUT", "/_search", "", "").0, 405);
    let mut client = Client::new(site.front);
    client.write(b"POST /_search HTTP/1.1\r\nContent-Length: 70000\r\n\r\n");
    assert_eq!(client.read().0, 413);
    let mut client = Client::new(site.front);
    client.write(b"what is this\r\n\r\n");
    assert_eq!(client.read().0, 400);
    assert!(client.is_ended());
    let after: usize = site.nodes.iter().map(Node::count).sum();
    assert_eq!(after, before, "no node hears of what is rejected");
    // An orderly end answers what was taken and counts.
    assert!(site.program.terminate());
    let line = site.program.line("opensearch: queries");
    assert!(line.contains("broken: 0"), "{line}");
}

#[test]
fn an_answer_that_lacks_a_shard_says_so_and_only_where_the_class_allows_it() {
    let site = Site::with("partial", "at_most_once", "1, 0.5");
    site.mood(0, Mood::Silent);
    let (status, _, body) = site.ask("/_search?timeout=1000ms", BY_PRICE);
    assert_eq!((status, ids(&body)), (200, vec![1, 2, 3, 5, 6, 7]), "{body}");
    let shards = r#""_shards":{"total":4,"successful":3,"skipped":0,"failed":1,"failures":[{"shard":0,"#;
    assert!(body.contains(shards) && body.contains("\"timed_out\":true"), "{body}");
    let strict = "/_search?timeout=1000ms&allow_partial_search_results=false";
    assert_eq!(site.ask(strict, BY_PRICE).0, 504);
    // The next page of a scroll would go on after the hits that are missing.
    assert_eq!(site.ask("/_search?timeout=1000ms&scroll=1m", BY_PRICE).0, 504);
    // Below the class's least share there is no answer.
    [1, 2].into_iter().for_each(|shard| site.mood(shard, Mood::Silent));
    assert!(site.ask("/_search?timeout=1000ms", BY_PRICE).0 >= 500);
}

#[test]
fn a_node_fresh_from_starting_is_sent_no_more_than_its_credit() {
    // A node that starts with next to no capacity and takes for ever to warm up earns no credit at all.
    let started = |text: String| text.replace("\"cell=1\"", "\"cell=1\" \"started_ms=4102444800000\"");
    let cold = |text: String| text.replace("\"cold_from\": 0.28", "\"cold_from\": 0.0001");
    let site = Site::changed("cold", "idempotent", "1, 1", started, cold);
    for _ in 0..10 {
        assert_eq!(site.ask("/_search", BY_PRICE).0, 200);
    }
    assert_eq!(site.nodes[1].count(), 0);
    assert!(site.nodes[0].count() >= 40);
}

#[test]
fn each_query_of_a_crowd_has_one_final_answer_at_once() {
    let mut site = Site::new("crowd", "idempotent");
    let front = site.front;
    let ask = || apart(move || Client::new(front).ask("POST", "/_search", "X-Opaque-Id: desk\r\n", BY_PRICE));
    let crowd: Vec<_> = (0..60).map(|_| ask()).collect();
    let mut served = 0;
    for answer in crowd {
        let (status, head, body) = answer.join().expect("an answer");
        assert!(status == 200 || status == 429 && head.contains("Retry-After: 0."), "{head}{body}");
        served += usize::from(status == 200);
    }
    assert!(served > 0);
    assert!(site.program.terminate());
    let line = site.program.line("opensearch: queries");
    assert!(
        line.contains(&format!("answered: {served}, whole: {served}")) && line.contains("broken: 0"),
        "{line}"
    );
}

#[test]
fn a_long_answer_is_read_to_its_end_and_one_too_long_is_none() {
    let site = Site::new("long", "idempotent");
    site.mood(3, Mood::ServesLong);
    for _ in 0..4 {
        let (status, _, body) = site.ask("/_search", BY_PRICE);
        assert_eq!((status, ids(&body)), (200, vec![0, 1, 2, 3, 4, 5]), "{body}");
    }
    site.mood(3, Mood::ServesTooLong);
    let (status, _, body) = site.ask("/_search", BY_PRICE);
    assert!(status == 429 || status >= 500, "{body}");
}

#[test]
fn for_a_client_that_has_gone_a_node_s_connection_is_ended_and_nothing_new_begins() {
    let node = Hand::new();
    let port = node.address.port();
    let one = format!(
        "{SERVICE} PTR n0.{SERVICE}\nn0.{SERVICE} SRV 0 10 {port} h0.example.\n\
         n0.{SERVICE} TXT \"cell=0\" \"zone=a\" \"state=in_service\"\nh0.example. A 127.0.0.1\n"
    );
    let site = Site::changed("gone", "idempotent", "1, 1", |_| one.clone(), |front| front);
    let mut client = Client::new(site.front);
    client.write(
        format!(
            "POST /_search?preference=_shards:0 HTTP/1.1\r\nX-Opaque-Id: desk\r\nContent-Length: {}\r\n\r\n{BY_PRICE}",
            BY_PRICE.len()
        )
        .as_bytes(),
    );
    let mut peer = node.accept();
    assert!(peer.head().contains("_shards:0"));
    drop(client);
    assert!(peer.ends_within(Duration::from_millis(1000)), "the call is called off by its connection's end");
    assert!(node.accept_within(Duration::from_millis(500)).is_none(), "and is not made again");
}
