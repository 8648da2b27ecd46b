//! Both ends of proxied connections as properties of bytes, over drawn histories: clients that send several requests at once
//! and cancel at any byte, replicas that answer early, break off or reset at any byte of an answer, say more than one, answer
//! with any status, framing and length, or say nothing.
//!
//! Each client's bytes are answers to its requests, in order; each replica's bytes are whole heads of requests that a client
//! sent, each with its own body; a request that may not be repeated and may have run goes nowhere else. Every request of a
//! client that stays has one end by its deadline and half a second: a whole answer, or an answer that is cut off and with it
//! the connection.
//!
//! `PROPTEST_CASES` plays more of them.

mod support;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use http::RequestHead;
use proptest::collection::vec;
use proptest::prelude::*;
use support::*;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Histories that CI plays.
const CASES: u32 = 48;
/// Longest time for which a history that failed is made smaller, ms.
const SHRINK_MS: u32 = 10_000;
/// Events of a stream.
const EVENTS: u32 = 4;
/// Turns of the one thread, in which the proxy takes an answer and lets its connection rest.
const TURNS: usize = 100;
/// Longest body of a request, bytes.
const LONGEST_BODY: usize = 40_000;

/// What a request's `Deadline-Left` tells, ms: in histories in which a replica says nothing, and in all others.
const DEADLINE_WITH_SILENCE: u64 = 200;
const DEADLINE: u64 = 4_000;
/// How long after its deadline a request may be without an end.
const SLACK: Duration = Duration::from_millis(500);
/// Longest body of an answer that is no success; longer ones than a proxy holds until they are whole are among them.
const LONGEST_REFUSAL: usize = 100_000;
/// A status that is proof by itself.
const MISDIRECTED: u16 = 421;
/// What bodies of such answers are made of: they are no events, though they look like some.
const REFUSAL_BODY: &str = "id: o\n\n";

/// A route of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Read,
    Write,
    Stream,
    Resume,
}

/// What a replica does with one request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Reaction {
    /// It answers with success, written in pieces of so many bytes.
    Answers { piece: usize },
    /// It answers, and says more than one answer: at once, or while the connection rests.
    AnswersTwice { at_once: bool },
    /// It fails.
    Fails,
    /// It refuses with proof, after the whole request or before its body.
    Refuses { before_body: bool },
    /// It breaks off after this part of its answer.
    BreaksOff { part: f64, by_reset: bool },
    /// It answers something that is no success, up to this part of it.
    Odd { status: u16, framing: OddFraming, length: usize, part: f64 },
    /// It says nothing.
    Silent,
}

/// How an answer tells its end.
#[derive(Debug, Clone, Copy, PartialEq)]
enum OddFraming {
    Length,
    Chunks,
    UntilClose,
}

#[derive(Debug, Clone)]
struct Client {
    requests: Vec<(Kind, usize)>,
    /// Bytes written at a time.
    piece: usize,
    /// It goes after this part of its bytes.
    cancels_after: Option<f64>,
}

#[derive(Debug, Clone)]
struct History {
    clients: Vec<Client>,
    reactions: Vec<Reaction>,
}

impl History {
    /// What its requests' `Deadline-Left` tells, ms.
    fn deadline(&self) -> u64 {
        if self.reactions.contains(&Reaction::Silent) {
            DEADLINE_WITH_SILENCE
        } else {
            DEADLINE
        }
    }
}

fn odd_reactions() -> impl Strategy<Value = Reaction> {
    // A success without a seal is none.
    let status =
        prop::sample::select(vec![101_u16, 200, 204, 302, 304, 400, 404, 408, 421, 429, 500, 503, 504]);
    let framing = prop::sample::select(vec![OddFraming::Length, OddFraming::Chunks, OddFraming::UntilClose]);
    let length = prop_oneof![Just(0), 1..100_usize, 0..LONGEST_REFUSAL];
    let part = prop_oneof![2 => Just(1.0), 1 => 0.0..1.0];
    (status, framing, length, part).prop_map(|(status, framing, length, part)| Reaction::Odd {
        status,
        framing,
        length,
        part,
    })
}

fn histories() -> impl Strategy<Value = History> {
    let kind = prop::sample::select(vec![Kind::Read, Kind::Write, Kind::Stream, Kind::Resume, Kind::Resume]);
    let request = (kind, 0..LONGEST_BODY);
    let cancels = prop_oneof![2 => Just(None), 1 => (0.0..1.0).prop_map(Some)];
    let client = (vec(request, 1..4), 1..5_000_usize, cancels)
        .prop_map(|(requests, piece, cancels_after)| Client { requests, piece, cancels_after });
    let reaction = prop_oneof![
        4 => (1..200_usize).prop_map(|piece| Reaction::Answers { piece }),
        1 => any::<bool>().prop_map(|at_once| Reaction::AnswersTwice { at_once }),
        1 => Just(Reaction::Fails),
        1 => any::<bool>().prop_map(|before_body| Reaction::Refuses { before_body }),
        2 => (0.0..1.0, any::<bool>()).prop_map(|(part, by_reset)| Reaction::BreaksOff { part, by_reset }),
        3 => odd_reactions(),
        1 => Just(Reaction::Silent),
    ];
    let reaction = reaction.boxed();
    // A stream breaks off behind its first event, and something happens to the send that is to take it up.
    let breaks_off =
        (0.6..1.0, any::<bool>()).prop_map(|(part, by_reset)| Reaction::BreaksOff { part, by_reset });
    let taking_up = (breaks_off, prop_oneof![reaction.clone(), odd_reactions()]);
    let series = prop_oneof![
        4 => reaction.prop_map(|reaction| vec![reaction]),
        1 => taking_up.prop_map(|(breaks_off, next)| vec![breaks_off, next]),
    ];
    (vec(client, 1..4), vec(series, 1..12))
        .prop_map(|(clients, series)| History { clients, reactions: series.concat() })
}

/// A request as its client sends it.
#[derive(Debug, Clone)]
struct Sent {
    id: String,
    kind: Kind,
    body: String,
    /// `Deadline-Left`, ms.
    deadline: u64,
}

impl Sent {
    fn new(client: usize, number: usize, (kind, length): (Kind, usize), deadline: u64) -> Sent {
        let id = format!("c{client}r{number}");
        let body = format!("{id}|").chars().cycle().take(length).collect();
        Sent { id, kind, body, deadline }
    }

    fn bytes(&self) -> String {
        let route = match self.kind {
            Kind::Read => "read",
            Kind::Write => "write",
            Kind::Stream => "stream",
            Kind::Resume => "resume",
        };
        let (id, length, deadline) = (&self.id, self.body.len(), self.deadline);
        format!(
            "POST /{route}/{id} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nDeadline-Left: {deadline}\r\n\
             Authorization: Bearer {KEY}\r\nContent-Length: {length}\r\n\r\n{}",
            self.body
        )
    }

    fn is_stream(&self) -> bool {
        matches!(self.kind, Kind::Stream | Kind::Resume)
    }

    /// Whether it may run more than once.
    fn may_repeat(&self) -> bool {
        matches!(self.kind, Kind::Read | Kind::Resume)
    }

    /// The body of a success that a replica gives in one answer.
    fn success(&self) -> String {
        format!("answer to {}", self.id)
    }

    fn event(&self, number: u32) -> String {
        format!("id: {number}\ndata: {} {number}\n\n", self.id)
    }

    /// The whole answer of a replica, from the event after `last` on.
    fn answer(&self, last: u32) -> String {
        if !self.is_stream() {
            return success(&self.id, &self.success());
        }
        let chunk = |event: String| format!("{:x}\r\n{event}\r\n", event.len());
        let events: String = (last + 1..=EVENTS).map(|number| chunk(self.event(number))).collect();
        format!("{}{events}{LAST_CHUNK}", stream_head(&self.id))
    }

    /// Whether a client may be given this body as a whole one.
    fn is_whole_body(&self, status: u16, body: &str) -> bool {
        if status != 200 {
            return body.replace(REFUSAL_BODY, "").is_empty();
        }
        let events: String = (1..=EVENTS).map(|number| self.event(number)).collect();
        body == if self.is_stream() { events } else { self.success() }
    }

    /// An answer of a replica that is no success.
    fn odd_answer(&self, status: u16, framing: OddFraming, length: usize) -> String {
        let body = REFUSAL_BODY.repeat(length / REFUSAL_BODY.len());
        let (id, length) = (&self.id, body.len());
        let (line, body) = match framing {
            OddFraming::Length => (format!("Content-Length: {length}\r\n"), body),
            OddFraming::UntilClose => (String::new(), body),
            OddFraming::Chunks => {
                let chunk = if length == 0 { String::new() } else { format!("{length:x}\r\n{body}\r\n") };
                ("Transfer-Encoding: chunked\r\n".into(), chunk + LAST_CHUNK)
            }
        };
        format!("HTTP/1.1 {status} Odd\r\nAttempt-Id: {id}\r\n{line}\r\n{body}")
    }
}

/// What replicas saw.
#[derive(Default)]
struct Seen {
    sent: BTreeMap<String, Sent>,
    reactions: Vec<Reaction>,
    next: Cell<usize>,
    /// For each request whether each of its arrivals may have run.
    arrivals: RefCell<BTreeMap<String, Vec<bool>>>,
    faults: RefCell<Vec<String>>,
}

impl Seen {
    fn fault(&self, what: String) {
        self.faults.borrow_mut().push(what);
    }

    fn next_reaction(&self) -> Reaction {
        let next = self.next.get();
        self.next.set(next + 1);
        self.reactions[next % self.reactions.len()]
    }

    /// A request's head has come.
    fn arrived(&self, head: &RequestHead) -> Option<Sent> {
        let id = head.lines.get("attempt-id").unwrap_or_default();
        let Some(sent) = self.sent.get(id) else {
            self.fault(format!("no client sent {id:?}"));
            return None;
        };
        if !head.path().ends_with(&format!("/{id}")) {
            self.fault(format!("{id} has the path {}", head.path()));
        }
        let mut arrivals = self.arrivals.borrow_mut();
        let before = arrivals.entry(id.to_string()).or_default();
        if before.contains(&true) && !sent.may_repeat() {
            self.fault(format!("{id} may have run, and came again"));
        }
        before.push(true);
        Some(sent.clone())
    }

    /// The last arrival of a request was refused with proof.
    fn did_not_run(&self, id: &str) {
        if let Some(last) = self.arrivals.borrow_mut().get_mut(id).and_then(|arrivals| arrivals.last_mut()) {
            *last = false;
        }
    }
}

/// One connection of a replica.
async fn serve_connection(mut wire: Wire, seen: Rc<Seen>) {
    while let Some(head) = wire.request_head().await {
        let Some(sent) = seen.arrived(&head) else { return };
        let reaction = seen.next_reaction();
        let before_body = reaction == Reaction::Refuses { before_body: true };
        if before_body {
            seen.did_not_run(&sent.id);
            if !wire.write(not_run(&sent.id)).await {
                return;
            }
        }
        // Whoever sends it may give up in the middle of a body, never go on with other bytes.
        let Some(body) = wire.whole_body(head.framing).await else { return };
        if body != sent.body.as_bytes() {
            return seen.fault(format!("the body of {} is another's", sent.id));
        }
        let last = head.lines.get("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        if !before_body && !react(&mut wire, &seen, &sent, reaction, last).await {
            if matches!(reaction, Reaction::BreaksOff { by_reset: true, .. }) {
                wire.reset();
            }
            return;
        }
    }
    if !wire.input().is_empty() {
        // A head that was cut off is the end of a connection; anything else is no request.
        let rest = wire.input();
        if RequestHead::read(rest, 1 << 20).is_err() {
            seen.fault(format!("no request: {:?}", String::from_utf8_lossy(rest)));
        }
    }
}

/// Whether the connection goes on.
async fn react(wire: &mut Wire, seen: &Seen, sent: &Sent, reaction: Reaction, last: u32) -> bool {
    let answer = sent.answer(last);
    match reaction {
        Reaction::Answers { piece } => {
            for bytes in answer.as_bytes().chunks(piece) {
                if !wire.write(bytes).await {
                    return false;
                }
            }
            true
        }
        Reaction::AnswersTwice { at_once: true } => {
            wire.write(format!("{answer}{}", success("smuggled", "of nobody"))).await
        }
        Reaction::AnswersTwice { at_once: false } => {
            let is_answered = wire.write(&answer).await;
            for _ in 0..TURNS {
                tokio::task::yield_now().await;
            }
            is_answered && wire.write(success("smuggled", "of nobody")).await
        }
        Reaction::Fails => {
            let id = &sent.id;
            wire.write(format!("HTTP/1.1 500 Broken\r\nAttempt-Id: {id}\r\nContent-Length: 0\r\n\r\n")).await
        }
        Reaction::Refuses { .. } => {
            seen.did_not_run(&sent.id);
            wire.write(not_run(&sent.id)).await
        }
        Reaction::BreaksOff { part, .. } => write_part(wire, &answer, part).await,
        Reaction::Odd { status, framing, length, part } => {
            if status == MISDIRECTED {
                seen.did_not_run(&sent.id);
            }
            let answer = sent.odd_answer(status, framing, length);
            if part < 1.0 || framing == OddFraming::UntilClose {
                return write_part(wire, &answer, part).await;
            }
            wire.write(answer).await
        }
        Reaction::Silent => {
            // Whoever waits gives up.
            while wire.more().await {}
            false
        }
    }
}

/// Writes a part of an answer; the connection does not go on.
async fn write_part(wire: &mut Wire, answer: &str, part: f64) -> bool {
    let _ = wire.write(&answer.as_bytes()[..(part * answer.len() as f64) as usize]).await;
    false
}

/// What a client is to see by a request's deadline and a little more. One thread plays all: if it stood still, whatever is due
/// comes within a few turns.
async fn in_time<T>(sent: &Sent, due: impl Future<Output = T>) -> Option<T> {
    let mut due = pin!(due);
    let until = Duration::from_millis(sent.deadline) + SLACK;
    if let Ok(seen) = timeout(until, &mut due).await {
        return Some(seen);
    }
    for _ in 0..TURNS {
        tokio::select! {
            biased;
            seen = &mut due => return Some(seen),
            () = tokio::task::yield_now() => {}
        }
    }
    None
}

/// Plays a client, and looks at what it is given.
async fn play_client(mut wire: Wire, plan: Client, requests: Vec<Sent>, seen: Rc<Seen>) {
    let bytes: String = requests.iter().map(Sent::bytes).collect();
    let part = plan.cancels_after.map_or(bytes.len(), |part| (part * bytes.len() as f64) as usize);
    for piece in bytes.as_bytes()[..part].chunks(plan.piece) {
        if !wire.write(piece).await {
            break;
        }
    }
    if plan.cancels_after.is_some() {
        return wire.reset();
    }
    for sent in &requests {
        let Some(answer) = in_time(sent, wire.answer()).await else {
            return seen.fault(format!("{} has no end", sent.id));
        };
        let Some(answer) = answer else {
            return seen.fault(format!("{} is not answered", sent.id));
        };
        let id = answer.head.lines.get("attempt-id");
        if id.is_some_and(|id| id != sent.id) {
            return seen.fault(format!("{} is answered as {id:?}", sent.id));
        }
        let Some(body) = answer.body else {
            // It is cut off, and with it the connection.
            if in_time(sent, wire.more()).await != Some(false) {
                seen.fault(format!("{} is not whole, and its connection goes on", sent.id));
            }
            return;
        };
        let body = String::from_utf8_lossy(&body);
        if !sent.is_whole_body(answer.head.status, &body) {
            return seen.fault(format!("{} is answered with {} and {body:?}", sent.id, answer.head.status));
        }
    }
    if !wire.input().is_empty() {
        seen.fault(format!("bytes for no request: {:?}", String::from_utf8_lossy(wire.input())));
    }
}

async fn play_history(history: History) -> Vec<String> {
    let (one, two) = (Replica::new("i-1").await, Replica::new("i-2").await);
    let fixture = Fixture::new(&[&one, &two]).await;
    let requests: Vec<Vec<Sent>> = (0..)
        .zip(&history.clients)
        .map(|(client, plan)| {
            let requests = (0..).zip(&plan.requests);
            requests
                .map(|(number, request)| Sent::new(client, number, *request, history.deadline()))
                .collect()
        })
        .collect();
    let by_id = requests.iter().flatten().map(|sent| (sent.id.clone(), sent.clone())).collect();
    let seen = Rc::new(Seen { sent: by_id, reactions: history.reactions, ..Seen::default() });
    for replica in [one, two] {
        let seen = seen.clone();
        spawn_local(async move {
            loop {
                spawn_local(serve_connection(replica.accept().await.into_wire(), seen.clone()));
            }
        });
    }
    let mut clients = Vec::new();
    for (plan, requests) in history.clients.into_iter().zip(requests) {
        let wire = fixture.client().await.into_wire();
        clients.push(spawn_local(play_client(wire, plan, requests, seen.clone())));
    }
    for client in clients {
        client.await.expect("no panic");
    }
    let faults = seen.faults.borrow().clone();
    faults
}

fn faults_of(history: History) -> Vec<String> {
    let faults = Rc::new(RefCell::new(Vec::new()));
    let found = faults.clone();
    play(|| async move { *found.borrow_mut() = play_history(history).await });
    let faults = faults.borrow().clone();
    faults
}

proptest! {
    #![proptest_config(ProptestConfig { cases: CASES, failure_persistence: None, max_shrink_time: SHRINK_MS, ..ProptestConfig::default() })]

    #[test]
    fn bytes_belong_to_their_requests(history in histories()) {
        let faults = faults_of(history);
        prop_assert!(faults.is_empty(), "{faults:#?}");
    }
}
