//! Where lists of book nodes come from: the watch, split anywhere, and DNS-SD records.

mod support;

use steppick::members::clock::{missed_counts_at, Standing, HEARTBEAT, MISSED};
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
    let known: List = serde_json::from_str(r#"{"version":41,"full":true,"servers":[]}"#).expect("a list");
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
        watch.received(&wire[fed..end], 0.0, &mut news).expect("a sound watch");
        (fed, n) = (end, n + 1);
    }
    assert!(String::from_utf8(watch.request()).expect("ASCII").contains(&format!("after={version} ")));
    seen(&news) == expected
}

#[test]
fn a_watch_may_be_split_anywhere() {
    check(holds as fn(Vec<Step>, Vec<u8>) -> bool);
}

/// A list over many lines, as discovery may indent it.
fn indented(list: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(list).expect("a list");
    serde_json::to_string_pretty(&value).expect("JSON") + "\n"
}

/// What the model's agent does with a watch that is open.
#[derive(Clone, Copy, PartialEq)]
enum Open {
    Sound,
    /// It has fallen silent then, alone.
    Silent(f64),
    /// From then on it brings a list byte by byte that never ends.
    Trickling(f64),
}

/// An agent that learns changes, is silent during outages, refuses connections, resets watches, lets them fall silent or
/// trickle, against the list's clock and the watch. First of all, a change is known 6 s after discovery had it and could
/// be reached, whatever became of the calls before. Besides, each must have come when it counts as told, with a grace of
/// 500 ms on top.
fn in_time(script: Vec<Step>) -> bool {
    const STEP: f64 = 10.0;
    const GRACE: f64 = 500.0;
    let (mut watch, mut standing, mut open) = (watch(), Standing::Down(0.0), Open::Sound);
    let (mut now, mut version, mut seen) = (0.0, 41u64, 41u64);
    // Version and when it counts as told at the latest.
    let mut told: Vec<(u64, f64)> = Vec::new();
    let (mut outage_until, mut refuses_until, mut heard) = (f64::NEG_INFINITY, f64::NEG_INFINITY, 0.0);
    // Version and since when discovery has it.
    let mut had: Vec<(u64, f64)> = Vec::new();
    let answer = |watch: &mut Watch, version: u64, indent: bool| {
        let list =
            format!("{{\"version\":{version},\"full\":true,\"servers\":[{}]}}", entry(1, "in_service", 0));
        let body = if indent { indented(&list) } else { list + "\n" };
        let wire =
            format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n", body.len());
        watch.request();
        watch.received(wire.as_bytes(), 0.0, &mut Vec::new()).expect("a sound watch");
    };
    let calm = std::iter::repeat_n((255, 0, 0), 20);
    for (what, a, b) in script.into_iter().chain(calm) {
        match what % 8 {
            0 | 1 if now >= outage_until => version += 1,
            2 if open == Open::Sound && matches!(standing, Standing::Telling(_)) => {
                open = Open::Silent(now);
                told.iter_mut()
                    .filter(|told| told.0 > seen)
                    .for_each(|told| told.1 = missed_counts_at(now, None));
            }
            3 => {
                // The connection is reset; the agent takes a new one at once.
                (standing, open) = (Standing::Down(now), Open::Sound);
            }
            4 => outage_until = now + f64::from(a) * 20.0,
            5 => refuses_until = now + f64::from(a) * 20.0,
            6 if open == Open::Sound && matches!(standing, Standing::Telling(_)) => {
                open = Open::Trickling(now);
                told.iter_mut()
                    .filter(|told| told.0 > seen)
                    .for_each(|told| told.1 = missed_counts_at(now, None));
                let begun = b"18\r\n{\"version\":9,\"full\":true\r\n";
                let whole = watch.received(begun, now, &mut Vec::new()).expect("a sound watch");
                assert!(!whole, "a list that has only begun");
            }
            _ => {}
        }
        if version > told.last().map_or(41, |told| told.0) {
            let missed = match open {
                Open::Silent(from) | Open::Trickling(from) => missed_counts_at(from, None).max(now),
                Open::Sound => now,
            };
            told.push((version, missed));
            had.push((version, now));
        }
        let end = now + f64::from(b) * 10.0;
        while now < end {
            now += STEP;
            let up = now >= outage_until;
            match standing {
                // The agent answers a question within a step, unless discovery is down.
                Standing::Asked(_) if up => {
                    answer(&mut watch, version, b % 2 == 0);
                    (standing, seen, heard, open) = (Standing::Telling(now), version, now, Open::Sound);
                }
                Standing::Dialling(_) if now < refuses_until => standing = Standing::Down(now),
                Standing::Dialling(_) => standing = Standing::Asked(now),
                Standing::Telling(heard) if matches!(open, Open::Trickling(_)) => {
                    let whole = watch.received(b"1\r\n \r\n", now, &mut Vec::new()).expect("a sound watch");
                    standing = Standing::Telling(if whole { now } else { heard });
                }
                Standing::Telling(_)
                    if up && open == Open::Sound && (seen < version || now - heard >= HEARTBEAT) =>
                {
                    (standing, seen, heard) = (Standing::Telling(now), version, now);
                }
                _ => {}
            }
            if now >= standing.ask_again_at() {
                standing = Standing::Dialling(now);
            }
            let reached = outage_until.max(refuses_until);
            let late = had.iter().find(|(v, at)| *v > seen && now > at.max(reached) + MISSED + STEP);
            if let Some((v, at)) = late {
                println!("version {v} was there at {at}, is not known at {now}: {standing:?}");
                return false;
            }
            // What the agent learned while it was up, but could not say before an outage, counts once it is back.
            let late = told.iter().find(|(v, at)| *v > seen && now > at.max(reached) + GRACE + STEP);
            if let Some((v, at)) = late {
                println!("version {v} counted at {at} and is not known at {now}: {standing:?}");
                return false;
            }
        }
    }
    true
}

#[test]
fn each_change_is_known_when_it_counts_as_told() {
    check(in_time as fn(Vec<Step>) -> bool);
}

#[test]
fn an_indented_list_is_read_like_any_other() {
    let (mut watch, mut news) = (watch(), Vec::new());
    watch.request();
    let list = format!("{{\"version\":43,\"full\":false,\"servers\":[{}]}}", entry(1, "terminating", 0));
    let body =
        format!("\n{}{}\n", indented(&list), indented(&list.replace("43", "44").replace("false", "true")));
    let wire = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n", body.len());
    for byte in wire.bytes() {
        watch.received(&[byte], 0.0, &mut news).expect("a sound watch");
    }
    let one = vec![(ReplicaId(1), Lifecycle::Fading)];
    assert_eq!(seen(&news), [(ListKind::Update, one.clone()), (ListKind::Replace, one)]);
}

#[test]
fn what_came_before_a_bad_line_counts() {
    let (mut watch, mut news) = (watch(), Vec::new());
    watch.request();
    let line =
        format!("{{\"version\":43,\"full\":false,\"servers\":[{}]}}\nnonsense\n", entry(1, "terminating", 0));
    let wire = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n", line.len());
    assert!(watch.received(wire.as_bytes(), 0.0, &mut news).is_err());
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
    watch.received(wire.as_bytes(), 0.0, &mut news).expect("a sound watch");
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
        assert!(why.to_string().contains(told), "{told}: {why}");
    }
}
