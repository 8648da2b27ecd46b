//! A model of a node's connection: what the node has seen of the byte stream, against random steps.

mod support;

use std::collections::BTreeMap;
use steppick::core::AttemptId;
use steppick::net::node::{Called, NodeConn, NodeState, Purpose};
use steppick::{Outcome, RequestId};
use support::{check, Step};

const NOTICE: u8 = 0x80;

fn attempt(id: u8) -> AttemptId {
    AttemptId { part: RequestId(u64::from(id)), number: 0 }
}

fn id_of(purpose: &Purpose) -> u8 {
    match purpose {
        Purpose::Part(id, _) => id.part.0 as u8,
        other => panic!("no part: {other:?}"),
    }
}

/// The node's view: frames are an id, a length and filler; a notice is two bytes.
#[derive(Default)]
struct Seen {
    bytes: Vec<u8>,
}

impl Seen {
    /// Whole frames, and the id and length of one that has begun.
    fn frames(&self) -> (Vec<u8>, Option<u8>) {
        let (mut whole, mut rest) = (Vec::new(), self.bytes.as_slice());
        while let Some(id) = rest.first() {
            match rest.get(1).map(|length| *length as usize) {
                Some(length) if rest.len() >= length => rest = &rest[length..],
                _ => return (whole, Some(*id)),
            }
            whole.push(*id);
        }
        (whole, None)
    }

    /// Whether the first byte of a part's frame has left.
    fn began(&self, id: u8) -> bool {
        let (whole, begun) = self.frames();
        whole.contains(&id) || begun == Some(id)
    }
}

#[derive(Debug, PartialEq, Clone, Copy)]
enum End {
    Answered,
    Cancelled,
    Dropped,
    Broken(Outcome),
}

fn holds(steps: Vec<Step>) -> bool {
    let mut conn = NodeConn::new(0.0);
    let mut seen = Seen::default();
    let mut ends: BTreeMap<u8, Option<End>> = BTreeMap::new();
    let mut next = 0;
    let end = |ends: &mut BTreeMap<u8, Option<End>>, id: u8, how: End| {
        let old = ends.insert(id, Some(how)).expect("it was pushed");
        assert_eq!(old, None, "part {id} ends once");
    };
    for (what, a, b) in steps {
        let open = conn.state() == NodeState::Open;
        match what % 8 {
            0 | 1 if next < 100 => {
                let mut bytes = vec![next, a % 9 + 3];
                bytes.resize(bytes[1] as usize, b);
                conn.push(Purpose::Part(attempt(next), next.to_string()), bytes, 0.0);
                ends.insert(next, None);
                next += 1;
            }
            2 => conn.connected(0.0),
            3 | 4 if open => {
                let count = conn.output().len().min(1 + a as usize % 12);
                seen.bytes.extend_from_slice(&conn.output()[..count]);
                conn.wrote(count, 0.0);
            }
            5 => {
                let (whole, _) = seen.frames();
                let Some(id) = whole.get(a as usize % whole.len().max(1)).filter(|id| **id < NOTICE) else {
                    continue;
                };
                if let Some(purpose) = conn.answered(Some(&id.to_string()), 0.0) {
                    assert_eq!(id_of(&purpose), *id);
                    end(&mut ends, *id, End::Answered);
                }
            }
            6 if next > 0 => {
                let id = a % next;
                // A dialect without notices must close for what the node has seen any of.
                let called = conn.cancel(attempt(id), |_| (b % 4 > 0).then(|| vec![id | NOTICE, 2]), 0.0);
                if ends[&id].is_some() {
                    assert_eq!(called, Called::Removed, "an ended part costs nothing");
                    continue;
                }
                let expected = match (seen.began(id), b % 4 > 0) {
                    (false, _) => Called::Removed,
                    (true, true) => Called::Told,
                    (true, false) => Called::MustClose,
                };
                assert_eq!(called, expected, "part {id}");
                if called != Called::MustClose {
                    end(&mut ends, id, End::Cancelled);
                }
            }
            7 if a % 4 == 0 => {
                for purpose in conn.drop_unsent(0.0) {
                    let id = id_of(&purpose);
                    assert!(!seen.began(id), "part {id} had begun");
                    end(&mut ends, id, End::Dropped);
                }
            }
            _ => {}
        }
    }
    let (whole, _) = seen.frames();
    for (purpose, outcome) in conn.broken() {
        let id = id_of(&purpose);
        let expected = if whole.contains(&id) { Outcome::Cut } else { Outcome::NoRoute };
        assert_eq!(outcome, expected, "part {id}");
        end(&mut ends, id, End::Broken(outcome));
    }
    assert!(ends.values().all(Option::is_some), "no part is forgotten: {ends:?}");
    for id in whole.iter().filter(|id| **id >= NOTICE) {
        let part = id - NOTICE;
        assert!(whole.contains(&part), "a notice follows the whole frame of {part}");
    }
    conn.is_idle()
}

#[test]
fn a_node_connection_keeps_to_its_model() {
    check(holds as fn(Vec<Step>) -> bool);
}

#[test]
fn a_probe_without_an_answer_does_not_keep_its_connection_in_use() {
    let mut conn = NodeConn::new(0.0);
    conn.connected(0.0);
    conn.push(Purpose::Probe(0.0), vec![1], 0.0);
    conn.wrote(1, 0.0);
    assert!(!conn.is_idle());
    assert_eq!((conn.oldest_probe(), conn.expire_probes(-1.0, 0.0)), (Some(0.0), 0));
    assert_eq!(conn.expire_probes(0.0, 0.0), 1);
    assert!(conn.is_idle());
    // Near the end of its idle time it is not used again.
    assert!(conn.has_room(1, 100.0, 99.0) && !conn.has_room(1, 100.0, 100.0));
}

#[test]
fn a_connection_that_carries_something_and_brings_nothing_is_silent() {
    let mut conn = NodeConn::new(0.0);
    conn.push(Purpose::Part(attempt(1), "1".into()), vec![1], 0.0);
    assert_eq!(conn.silent_for(50.0), 0.0, "it is not up");
    conn.connected(50.0);
    conn.wrote(1, 60.0);
    assert_eq!(conn.silent_for(150.0), 100.0);
    // Calling the part off proves nothing, and neither does a pause in which nothing is asked.
    conn.cancel(attempt(1), |_| Some(vec![2]), 150.0);
    conn.wrote(1, 150.0);
    conn.push(Purpose::Probe(500.0), vec![1], 500.0);
    conn.wrote(1, 500.0);
    assert_eq!(conn.silent_for(520.0), 120.0);
    conn.overtaken = Some(510.0);
    // Half a reply proves nothing either.
    conn.received(b"half", 530.0);
    assert_eq!((conn.silent_for(540.0), conn.overtaken), (140.0, Some(510.0)));
    conn.heard(540.0);
    assert_eq!((conn.silent_for(550.0), conn.overtaken), (10.0, None));
}
