//! Clients: each keeps one connection to one edge machine for as long as that machine keeps it.

use crate::fleet::Fleet;
use crate::record::{Ending, Kind, Millis, Record, Seen};
use crate::replica::{EVENTS, MODEL};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use stand_in::{Answer, Wire};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The key of all clients.
pub const KEY: &str = "key-1";
/// The host of all routes.
pub const HOST: &str = "h.example";
/// How long a client waits for an answer.
pub const DEADLINE_MS: Millis = 2_500;

/// What clients share.
#[derive(Clone)]
pub struct Clients {
    pub fleet: Fleet,
    pub record: Record,
    pub last_request: Rc<Cell<u64>>,
    /// The newest configuration that was acknowledged, or sent.
    pub newest: Rc<Cell<u64>>,
    pub stopped: Rc<Cell<bool>>,
}

impl Clients {
    /// One client of an edge machine, until all stop.
    pub async fn play(self, edge: usize, seed: u64) {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut wire: Option<Wire> = None;
        while !self.stopped.get() {
            let pause = random.random_range(5..60);
            sleep(Duration::from_millis(pause)).await;
            if wire.is_none() {
                wire = Wire::connect(self.fleet.front(edge).into()).await;
            }
            let Some(mut open) = wire.take() else { continue };
            let goes_on = match random.random_range(0..10) {
                0 => self.probe(&mut open, edge).await,
                1..=3 => self.ask(&mut open, edge, Kind::Writing).await,
                4..=6 => self.ask(&mut open, edge, Kind::Stream).await,
                _ => self.ask(&mut open, edge, Kind::Reading).await,
            };
            wire = goes_on.then_some(open);
        }
    }

    /// Sends a request and waits for its end. Whether the connection goes on.
    async fn ask(&self, wire: &mut Wire, edge: usize, kind: Kind) -> bool {
        let request = self.last_request.get() + 1;
        self.last_request.set(request);
        let path = match kind {
            Kind::Reading => "/read/x",
            Kind::Writing => "/write/x",
            Kind::Stream => "/stream/x",
        };
        let text = format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {request}\r\nDeadline-Left: {DEADLINE_MS}\r\n\
             Authorization: Bearer {KEY}\r\nModel: {MODEL}\r\nToken-Counts: 10,5\r\nPrompt-Prefix: a{:x}:10\r\n\
             Content-Length: 4\r\n\r\nbody",
            request % 7
        );
        if !wire.write(text).await {
            return false;
        }
        self.record.note(Seen::Sent { request, edge, kind });
        let patience = Duration::from_millis(DEADLINE_MS + 500);
        let (ending, goes_on) = match timeout(patience, wire.answer()).await {
            Err(_) => (Ending::Expired, false),
            Ok(None) => (Ending::Cut { began: false }, false),
            Ok(Some(Answer { body: None, .. })) => (Ending::Cut { began: true }, false),
            Ok(Some(Answer { head, body: Some(body) })) => {
                let sound = is_sound(request, kind, &body) && head.lines.get("server-seal").is_some();
                (Ending::Answered { status: head.status, sound }, !head.close)
            }
        };
        self.record.note(Seen::Ended { request, ending });
        goes_on
    }

    /// Asks for the route that the newest configuration alone has.
    async fn probe(&self, wire: &mut Wire, edge: usize) -> bool {
        let (version, sent) = (self.newest.get(), self.record.now());
        let request = self.last_request.get() + 1;
        self.last_request.set(request);
        let text = format!(
            "POST /only-{version}/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {request}\r\n\
             Deadline-Left: {DEADLINE_MS}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n"
        );
        if !wire.write(text).await {
            return false;
        }
        self.record.note(Seen::Probing { request });
        let patience = Duration::from_millis(DEADLINE_MS + 500);
        let Ok(Some(Answer { head, body: Some(_) })) = timeout(patience, wire.answer()).await else {
            return false;
        };
        self.record.note(Seen::Probed { edge, sent, version, status: head.status });
        !head.close
    }
}

/// Whether a body is the whole answer to this request.
fn is_sound(request: u64, kind: Kind, body: &[u8]) -> bool {
    let text = String::from_utf8_lossy(body);
    if kind != Kind::Stream {
        return text == format!("answer {request}");
    }
    let events: Vec<String> = (1..=EVENTS).map(|event| format!("id: {event}\ndata: {request}\n\n")).collect();
    text == events.concat()
}
