//! No input panics: sound inputs with random bytes changed, put in or cut off.

mod support;

use std::path::Path;
use steppick::net::http::{self, Chunks, Framing, Request};
use steppick::net::{Dialect, Roster, Take};
use steppick::opensearch::config::Config as OpenSearchConfig;
use steppick::opensearch::records::Records;
use steppick::opensearch::{Contract, OpenSearch};
use steppick::platform::classes::Classes;
use steppick::platform::config::Config;
use steppick::platform::watch::{Directory, List, Watch};
use steppick::platform::{frames, Platform};
use steppick::settings::Transport;
use steppick::{Class, Effect, RequestId, Settings};
use support::{check, class, settings, transport, Step};

fn spoil(sound: &[u8], steps: &[Step]) -> Vec<u8> {
    let mut bytes = sound.to_vec();
    for (what, a, b) in steps {
        let place = (usize::from(*a) * 256 + usize::from(*b) * 37) % bytes.len().max(1);
        match what % 4 {
            0 if place < bytes.len() => bytes[place] = *b,
            1 => bytes.insert(place.min(bytes.len()), *b),
            2 if place < bytes.len() => drop(bytes.remove(place)),
            3 if a % 16 == 0 => bytes.truncate(place),
            _ => {}
        }
    }
    bytes
}

const QUERY: &str = r#"{"shards":[{"shard":3,"weight":1,"cost":9000}],"q":"c41e77d0"}"#;
const QUERY_HEAD: &str =
    "POST /view HTTP/1.1\r\nX-Request-Id: 9b1f03aa5c7e2d41\r\nX-Deadline: 480m\r\nIdempotency-Key: k\r\n";
const SEARCH: &str = r#"{"size":3,"from":1,"sort":["price",{"n":{"order":"desc"}}],"query":{"match_all":{}},"track_total_hits":true,
    "aggs":{"a":{"terms":{"field":"x","size":5},"aggs":{"b":{"avg":{"field":"y"}}}}}}"#;
const REPLY: &str = r#"{"timed_out":false,"_shards":{"total":1,"successful":1,"failed":0},
    "hits":{"total":{"value":1,"relation":"eq"},"max_score":null,"hits":[{"_score":1,"sort":[1,"a"]}]}}"#;
const LINE: &str = r#"{"version":43,"full":false,"servers":[{"id":"s-1","addr":"10.1.0.18:7070","zone":"a","kind":"m2",
    "cell":3,"state":"terminating","weight":1.0,"started_ms":0}]}"#;

fn message(head: &str, body: &str) -> String {
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
}

fn platform() -> Platform {
    let view = Class { deadline: 1000.0, ..class(Effect::Keyed(400.0), 0) };
    let set = Settings { classes: vec![view], ..settings() };
    Platform::new(Classes::new(&["view".into()], set, Transport { shards: 24, ..transport() }))
}

fn opensearch() -> OpenSearch {
    let contract = Contract::new("*", vec![0], 1000.0, 1e9, 1e9);
    OpenSearch::new("books".into(), vec!["view".into()], vec![1000.0], 4, 500.0, vec![contract], 1)
}

fn holds(steps: Vec<Step>) -> bool {
    let spoilt = |text: &str| spoil(text.as_bytes(), &steps);
    if let Ok(Some((request, used))) = http::request(&spoilt(&message(QUERY_HEAD, QUERY))) {
        assert!(used > 0);
        let mut platform = platform();
        if let Take::Query(query) = platform.take(RequestId(1), &request, 0.0, true) {
            assert!(query.parts.iter().all(|(shard, weight)| *shard < 24 && *weight > 0.0));
        }
        opensearch().take(RequestId(1), &request, 0.0, true);
    }
    let (path, query) =
        ("/books/_search".to_string(), String::from_utf8_lossy(&spoilt("scroll=1m&timeout=3s")).into());
    let request = Request {
        path,
        query,
        method: "POST".into(),
        headers: Default::default(),
        body: spoilt(SEARCH),
        close: false,
    };
    let mut front = opensearch();
    front.take(RequestId(1), &request, 0.0, true);
    let mut reply = spoilt(&message("HTTP/1.1 200 OK\r\n", REPLY));
    if let Ok(Some(steppick::net::NodeReply::Part(_, Ok((_, value)), _))) = front.reply(&mut reply) {
        front.answer(RequestId(1), true, vec![(0, value)], 1.0);
    }
    let _ = Chunks::default().read(&spoilt("5;x=1\r\nabcde\r\n0\r\n\r\n"), &mut Vec::new());
    let _ = http::body(Framing::Chunked, &spoilt("5;x=1\r\nabcde\r\n0\r\n\r\n"), 10);
    let answer = frames::frame(b'A', b"9b1f03aa5c7e2d41.3 ok 1840277719 inflight=7,util=0.61\nvalue");
    let mut frames = spoil(&[answer, frames::frame(b'L', b"inflight=7,queue=0")].concat(), &steps);
    while let Ok(Some(_)) = frames::reply(&mut frames) {}
    let known: List = serde_json::from_str(r#"{"version":41,"full":true,"servers":[]}"#).expect("a list");
    let mut watch = Watch::new("127.0.0.1:1".parse().expect("an address"), Directory::new(0.0), &known).0;
    watch.request();
    let head =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{LINE}\n\r\n", LINE.len() + 1);
    let _ = watch.received(&spoilt(&head), 0.0, &mut Vec::new());
    let text = |text: &str| String::from_utf8_lossy(&spoilt(text)).into_owned();
    let _ = Records::new(0.0)
        .read(&text(include_str!("../deploy/book-nodes.zone")), "_opensearch._tcp.books.example.");
    let _ = OpenSearchConfig::read(&text(include_str!("../deploy/opensearch.json")), Path::new("."));
    let _ = Config::read(&text(&format!(
        "{{\"name\":\"n0\",\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:1\",\
        \"seed\":\"8c\",\"limits\":{{\"sockets\":9}},\"known\":{LINE},\"settings\":{}}}",
        include_str!("settings.json")
    )));
    true
}

#[test]
fn no_input_panics() {
    holds(Vec::new());
    check(holds as fn(Vec<Step>) -> bool);
}

#[test]
fn the_sound_inputs_are_taken() {
    let (request, _) = http::request(message(QUERY_HEAD, QUERY).as_bytes()).expect("sound").expect("whole");
    let mut platform = platform();
    // The cost of a part is its work in µs: the query carries it in ms.
    let Take::Query(query) = platform.take(RequestId(1), &request, 0.0, true) else { panic!("a query") };
    assert_eq!(query.work, vec![Some(9.0)]);
    let mut reply = message("HTTP/1.1 200 OK\r\n", REPLY).into_bytes();
    assert!(matches!(
        opensearch().reply(&mut reply),
        Ok(Some(steppick::net::NodeReply::Part(None, Ok(_), false)))
    ));
    assert!(reply.is_empty());
}
