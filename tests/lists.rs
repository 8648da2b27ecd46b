//! Where lists of book nodes come from: the watch, split anywhere, and DNS-SD records.

mod support;

use steppick::net::{News, Roster};
use steppick::opensearch::records::Records;
use steppick::platform::watch::{Directory, List, Watch};
use steppick::{Lifecycle, ListKind, ReplicaId};
use support::{check, Step};

fn entry(n: u8, state: &str, started: u32) -> String {
    format!(
        "{{\"id\":\"s-{n}\",\"addr\":\"127.0.0.1:{}\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":{n},\"state\":\"{state}\",\
         \"weight\":1.0,\"started_ms\":{started}}}",
        7000 + u16::from(n)
    )
}

fn watch() -> Watch {
    let known: List =
        miniserde::json::from_str(r#"{"version":41,"full":true,"servers":[]}"#).expect("a list");
    Watch::new("127.0.0.1:1".parse().expect("an address"), Directory::new(1000.0), &known).0
}

fn seen(news: &[News]) -> Vec<(ListKind, Vec<(ReplicaId, Lifecycle)>)> {
    news.iter().map(|n| (n.kind, n.entries.iter().map(|e| (e.id, e.lifecycle)).collect())).collect()
}

const STATES: [(&str, Lifecycle); 3] =
    [("in_service", Lifecycle::On), ("terminating", Lifecycle::Fading), ("terminated", Lifecycle::Off)];

/// Lines in chunks of random sizes, fed in pieces of random sizes, bring the news of the lines.
fn holds(lines: Vec<Step>, cuts: Vec<u8>) -> bool {
    let (mut wire, mut expected) =
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec(), Vec::new());
    let mut ids: Vec<u8> = Vec::new();
    let (mut text, mut version) = (String::new(), 41);
    for (what, a, b) in lines {
        if what % 4 == 0 {
            text += "\n";
            continue;
        }
        let (node, (state, lifecycle)) = (a % 8, STATES[usize::from(b) % 3]);
        let full = what % 8 == 1;
        let told = version + u64::from(b % 2);
        let list = entry(node, state, 0);
        text += &format!("{{\"version\":{told},\"full\":{full},\"servers\":[{list}]}}\n");
        if full || told > version {
            version = told;
            ids.extend((!ids.contains(&node)).then_some(node));
            let place = ids.iter().position(|known| *known == node).expect("it was named") as u32 + 1;
            let kind = if full { ListKind::Replace } else { ListKind::Update };
            expected.push((kind, vec![(ReplicaId(place), lifecycle)]));
        }
    }
    let size = |n: usize| cuts.get(n).map_or(7, |cut| usize::from(*cut) + 1);
    let (mut rest, mut n) = (text.as_bytes(), 0);
    while !rest.is_empty() {
        let (chunk, after) = rest.split_at(rest.len().min(size(n)));
        wire.extend(format!("{:x}\r\n", chunk.len()).bytes());
        wire.extend(chunk);
        wire.extend(b"\r\n");
        (rest, n) = (after, n + 1);
    }
    let (mut watch, mut news, mut fed) = (watch(), Vec::new(), 0);
    watch.request();
    while fed < wire.len() {
        let end = wire.len().min(fed + size(n) / 3 + 1);
        watch.received(&wire[fed..end], &mut news).expect("a sound watch");
        (fed, n) = (end, n + 1);
    }
    assert!(String::from_utf8(watch.request()).expect("ASCII").contains(&format!("after={version} ")));
    seen(&news) == expected
}

#[test]
fn a_watch_may_be_split_anywhere() {
    check(holds as fn(Vec<Step>, Vec<u8>) -> bool);
}

#[test]
fn what_came_before_a_bad_line_counts() {
    let (mut watch, mut news) = (watch(), Vec::new());
    watch.request();
    let line =
        format!("{{\"version\":43,\"full\":false,\"servers\":[{}]}}\nnonsense\n", entry(1, "terminating", 0));
    let wire = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n", line.len());
    assert!(watch.received(wire.as_bytes(), &mut news).is_err());
    assert_eq!(seen(&news), [(ListKind::Update, vec![(ReplicaId(1), Lifecycle::Fading)])]);
}

#[test]
fn one_bad_entry_hides_no_other_and_times_are_the_module_s() {
    let (mut watch, mut news) = (watch(), Vec::new());
    watch.request();
    let entries = [
        entry(1, "asleep", 0),
        entry(2, "in_service", 5000).replace("127", "x"),
        entry(3, "in_service", 5000),
    ];
    let line = format!("{{\"version\":43,\"full\":true,\"servers\":[{}]}}\n", entries.join(","));
    let wire = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n", line.len());
    watch.received(wire.as_bytes(), &mut news).expect("a sound watch");
    let entries = &news[0].entries;
    assert_eq!(entries[0].lifecycle, Lifecycle::Fading, "an unknown state is not in service");
    assert_eq!((entries.len(), entries[1].born), (2, Some(4000.0)));
}

const ZONE: &str = r#"
; comment
_os._tcp.x. 120 IN PTR Book\032One._os._tcp.x.
_OS._tcp.x. PTR two._os._tcp.x.
Book\032One._os._tcp.x. SRV 5 10 9999 spare.x.
Book\032One._os._tcp.x. SRV 0 20 9301 h.x.
Book\032One._os._tcp.x. TXT "txtvers=1" "CELL=3" "cell=4" "zone=lac 2" "started_ms=1500"
two._os._tcp.x. IN SRV 0 0 9302 h.x.
two._os._tcp.x. TXT "cell=1" "state=terminating"
h.x. A 127.0.0.1
"#;

#[test]
fn records_name_the_nodes() {
    let mut records = Records::new(1000.0);
    let news = records.read(ZONE, "_os._tcp.x").expect("sound records");
    let first = &news.entries[0];
    assert_eq!((first.cell, first.zone.as_str(), first.size, first.born), (3, "lac 2", 2.0, Some(500.0)));
    assert_eq!(news.entries[1].lifecycle, Lifecycle::Fading);
    assert_eq!(news.addrs[0].1.to_string(), "127.0.0.1:9301", "the lowest priority counts");
    // A node keeps its number when the file changes; one that is left out is not in the list.
    let later = ZONE.replace("_os._tcp.x. 120 IN PTR", ";");
    let news = records.read(&later, "_os._tcp.x.").expect("sound records");
    assert_eq!((news.entries.len(), news.entries[0].id), (1, ReplicaId(2)));
}

#[test]
fn records_that_make_no_sense_are_named() {
    for (from, to, told) in [
        ("h.x. A 127.0.0.1", "", "no address"),
        ("h.x. A 127.0.0.1", "h.x. A here", "line 10"),
        ("\"cell=1\"", "\"cell\"", "`cell`"),
        ("SRV 0 0 9302", "SRV 0 0 99999", "line 8"),
        ("two._os._tcp.x. IN SRV 0 0 9302 h.x.", "", "no SRV"),
        ("\"zone=lac 2\"", "\"zone=lac 2", "quote"),
        ("032", "3", "\\DDD"),
    ] {
        let why = Records::new(0.0).read(&ZONE.replace(from, to), "_os._tcp.x").expect_err(told);
        assert!(why.contains(told), "{told}: {why}");
    }
}
