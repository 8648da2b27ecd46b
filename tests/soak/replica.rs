//! Stand-in replicas: they send heartbeats, and queue and run requests.

use crate::call::call;
use crate::fleet::{Fleet, BEAT_EVERY_MS, DRAIN_MS};
use crate::orders::{order, report, Shown};
use crate::record::{Millis, Record, Seen};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use stand_in::{Request, Wire};
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::Semaphore;
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, timeout};

/// The model that all replicas serve.
pub const MODEL: &str = "m";
/// Requests that run at a time.
const SLOTS: usize = 4;
/// Requests that run or wait at most.
const MOST_OPEN: usize = 24;
/// How long a heartbeat or a leave may take.
const PATIENCE: Duration = Duration::from_millis(1_000);
/// How long a replica serves on after its end was acknowledged, beyond what is asked.
const SERVES_ON_MS: u64 = 300;
/// One heartbeat in so many comes once more, late, to any controller.
const LATE_BEATS: u32 = 12;
/// How late it comes, ms.
const LATE_MS: std::ops::Range<u64> = 300..3_000;
/// Events of a stream.
pub const EVENTS: u32 = 5;

/// How a replica ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It says `draining`, serves on, says that it leaves.
    Drain,
    /// It says that it leaves, and serves on.
    Leave,
    /// Without a word.
    Crash,
}

pub struct State {
    pub id: String,
    service: usize,
    address: SocketAddrV4,
    fleet: Fleet,
    pub record: Record,
    pub version: Cell<u64>,
    /// What its heartbeats say of it.
    word: Cell<&'static str>,
    pub loading: Cell<bool>,
    pub running: Cell<usize>,
    open: Cell<usize>,
    pub orders: Cell<u64>,
    /// The highest fence seen.
    pub fence: Cell<u64>,
    /// What reports show, with since when.
    pub shown: RefCell<Vec<(Millis, Shown)>>,
    /// Until then nothing passes between it and the controllers.
    cut_until: Cell<Millis>,
    beats: Cell<u64>,
    slots: Semaphore,
    pub random: RefCell<SmallRng>,
    pub tasks: RefCell<JoinSet<()>>,
    connections: RefCell<JoinSet<()>>,
}

impl State {
    /// Notes what reports are to show from now on.
    pub fn show(&self) {
        let shown =
            Shown { version: self.version.get(), orders: self.orders.get(), is_loading: self.loading.get() };
        self.shown.borrow_mut().push((self.record.now(), shown));
    }

    fn is_cut_off(&self) -> bool {
        self.record.now() < self.cut_until.get()
    }

    /// Whether one draw in so many comes out.
    pub fn draws_one_in(&self, many: u32) -> bool {
        self.random.borrow_mut().random_ratio(1, many)
    }
}

/// One life of a replica.
#[derive(Clone)]
pub struct Replica(Rc<State>);

impl Replica {
    /// Starts a replica at a place; it has this version of the weights.
    pub async fn start(
        fleet: &Fleet,
        record: &Record,
        id: &str,
        place: usize,
        version: u64,
        seed: u64,
    ) -> Replica {
        let address = fleet.replica(place);
        let state = Rc::new(State {
            id: id.to_string(),
            service: place % crate::fleet::SERVICES,
            address,
            fleet: fleet.clone(),
            record: record.clone(),
            version: Cell::new(version),
            word: Cell::new("ready"),
            loading: Cell::new(false),
            running: Cell::new(0),
            open: Cell::new(0),
            orders: Cell::new(0),
            fence: Cell::new(0),
            shown: RefCell::default(),
            cut_until: Cell::new(0),
            beats: Cell::new(0),
            slots: Semaphore::new(SLOTS),
            random: RefCell::new(SmallRng::seed_from_u64(seed)),
            tasks: RefCell::default(),
            connections: RefCell::default(),
        });
        state.show();
        let listener = listener(address);
        let accepting = accept(state.clone(), listener);
        state.tasks.borrow_mut().spawn_local(accepting);
        let beating = beat(state.clone());
        state.tasks.borrow_mut().spawn_local(beating);
        Replica(state)
    }

    pub fn version(&self) -> u64 {
        self.0.version.get()
    }

    pub fn id(&self) -> &str {
        &self.0.id
    }

    /// Nothing passes between it and the controllers for so long.
    pub fn cut_off(&self, time: Millis) {
        self.0.cut_until.set(self.0.record.now() + time);
    }

    /// Ends the replica.
    pub async fn end(self, how: End) {
        let state = &self.0;
        match how {
            End::Drain => {
                state.word.set("draining");
                self.acknowledged().await;
                sleep(Duration::from_millis(DRAIN_MS + SERVES_ON_MS)).await;
                leave(state).await;
            }
            End::Leave => {
                if leave(state).await {
                    state.record.note(Seen::Drained { replica: state.id.clone() });
                }
                sleep(Duration::from_millis(DRAIN_MS + SERVES_ON_MS)).await;
            }
            End::Crash => state.record.note(Seen::Crashed { replica: state.id.clone() }),
        }
        // Runs that began end in order, unless it crashes.
        while how != End::Crash && state.running.get() > 0 {
            sleep(Duration::from_millis(10)).await;
        }
        state.tasks.borrow_mut().abort_all();
        state.connections.borrow_mut().abort_all();
    }

    /// Says that it drains until somebody acknowledges it.
    async fn acknowledged(&self) {
        let state = &self.0;
        for attempt in 0..20 {
            let controller = state.fleet.controller(attempt % state.fleet.size().controllers);
            if heartbeat(state, controller).await.is_some() {
                state.record.note(Seen::Drained { replica: state.id.clone() });
                return;
            }
        }
    }
}

fn listener(address: SocketAddrV4) -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("settable");
    socket.bind(address.into()).expect("a free address");
    socket.listen(256).expect("listening")
}

async fn accept(state: Rc<State>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let serving = serve(state.clone(), Wire::new(stream));
        let mut connections = state.connections.borrow_mut();
        while connections.try_join_next().is_some() {}
        connections.spawn_local(serving);
    }
}

async fn serve(state: Rc<State>, mut wire: Wire) {
    while let Some(request) = wire.request().await {
        let goes_on = match (request.head.method(), request.head.path()) {
            ("POST" | "GET", "/order" | "/report") if state.is_cut_off() => {
                sleep(Duration::from_millis(state.cut_until.get().saturating_sub(state.record.now()))).await;
                return;
            }
            ("POST", "/order") => match order(&state, &request) {
                Some(answer) => wire.write(answer).await,
                None => {
                    sleep(PATIENCE).await;
                    return;
                }
            },
            ("GET", "/report") => wire.write(report(&state)).await,
            ("GET", "/kv-events") => {
                sleep(Duration::from_millis(400)).await;
                wire.write(answer(200, "", r#"{"boot-epoch":1,"next-token":0,"lost":false,"events":[]}"#))
                    .await
            }
            ("GET", "/kv-list") => {
                wire.write(answer(200, "", r#"{"boot-epoch":1,"next-token":0,"held":[]}"#)).await
            }
            ("GET", "/health") => wire.write(answer(200, "", "")).await,
            _ => {
                state.open.set(state.open.get() + 1);
                let goes_on = handle(&state, &mut wire, &request).await;
                state.open.set(state.open.get() - 1);
                goes_on
            }
        };
        if !goes_on {
            return;
        }
    }
}

/// Takes a client's request. Whether the connection goes on.
async fn handle(state: &Rc<State>, wire: &mut Wire, request: &Request) -> bool {
    let Some(id) = request.header("attempt-id").and_then(|id| id.parse::<u64>().ok()) else { return false };
    state.record.note(Seen::Arrived { request: id, replica: state.id.clone() });
    if request.header("expected-node").is_some_and(|node| node != state.id) {
        return wire.write(refusal(state, id, 421)).await;
    }
    if state.open.get() > MOST_OPEN {
        return wire.write(refusal(state, id, 503)).await;
    }
    let deadline = request.header("deadline-left").and_then(|left| left.parse().ok()).unwrap_or(4_000);
    let slot = tokio::select! {
        slot = timeout(Duration::from_millis(deadline), state.slots.acquire()) => slot,
        _ = wire.more() => return false,
    };
    let Ok(Ok(_slot)) = slot else { return wire.write(refusal(state, id, 503)).await };
    // Before a request begins, its version is looked at; while an order is under way none begins.
    let version = state.version.get();
    if state.loading.get() {
        return wire.write(refusal(state, id, 503)).await;
    }
    if request
        .header("expect-version")
        .and_then(|text| text.parse().ok())
        .is_some_and(|expected: u64| expected != version)
    {
        return wire.write(refusal(state, id, 421)).await;
    }
    let salt = request.header("cache-salt").unwrap_or_default().to_string();
    state.record.note(Seen::Ran { request: id, replica: state.id.clone(), version, salt });
    state.running.set(state.running.get() + 1);
    let goes_on = run(state, wire, request, id).await;
    state.running.set(state.running.get() - 1);
    goes_on
}

async fn run(state: &Rc<State>, wire: &mut Wire, request: &Request, id: u64) -> bool {
    let work = state.random.borrow_mut().random_range(2..60);
    sleep(Duration::from_millis(work)).await;
    let version = state.version.get();
    let head = format!("Attempt-Id: {id}\r\nServer-Seal: {}\r\nVersions: {version}\r\n", state.id);
    if !request.head.path().starts_with("/stream/") {
        return wire.write(answer(200, &head, &format!("answer {id}"))).await;
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if !wire.write(head).await {
        return false;
    }
    let last = request.header("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
    for event in last + 1..=EVENTS {
        let text = format!("id: {event}\ndata: {id}\n\n");
        if !wire.write(format!("{:x}\r\n{text}\r\n", text.len())).await {
            return false;
        }
        let pause = state.random.borrow_mut().random_range(5..80);
        sleep(Duration::from_millis(pause)).await;
    }
    wire.write("0\r\n\r\n").await
}

/// An answer with a body of that length.
pub fn answer(status: u16, head: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} Status\r\n{head}Content-Length: {}\r\n\r\n{body}", body.len())
}

fn refusal(state: &State, id: u64, status: u16) -> String {
    answer(status, &format!("Attempt-Id: {id}\r\nNot-Run: 1\r\nVersions: {}\r\n", state.version.get()), "")
}

async fn beat(state: Rc<State>) {
    let mut controller = state.random.borrow_mut().random_range(0..state.fleet.size().controllers);
    let mut beat_to: Option<SocketAddrV4> = None;
    loop {
        let told = heartbeat(&state, beat_to.unwrap_or_else(|| state.fleet.controller(controller))).await;
        match told {
            Some(next) => {
                beat_to = next;
                sleep(Duration::from_millis(BEAT_EVERY_MS)).await;
            }
            None => {
                beat_to = None;
                controller = (controller + 1) % state.fleet.size().controllers;
                sleep(Duration::from_millis(30)).await;
            }
        }
    }
}

/// Sends a heartbeat; `None` unless it was acknowledged, else where to send the next one.
async fn heartbeat(state: &Rc<State>, to: SocketAddrV4) -> Option<Option<SocketAddrV4>> {
    if state.is_cut_off() {
        sleep(Duration::from_millis(BEAT_EVERY_MS)).await;
        return None;
    }
    state.beats.set(state.beats.get() + 1);
    let body = json!({
        "service": format!("s{}", state.service), "address": state.address.to_string(),
        "zone": format!("z{}", state.service), "version": "v1", "free-slots": SLOTS, "state": state.word.get(),
        "cold-left-ms": 0, "stage": "both_ways", "call-count": state.beats.get(),
        "models": [{"name": MODEL, "version": state.version.get(), "adapters": []}],
    });
    let head = format!("POST /nodes/{}/heartbeat HTTP/1.1\r\nContent-Type: application/json\r\n", state.id);
    if state.draws_one_in(LATE_BEATS) {
        // It comes also after the replica's end.
        drop(spawn_local(late_heartbeat(state.clone(), head.clone(), body.to_string())));
    }
    let (status, body) = call(to, &head, &body.to_string(), PATIENCE).await?;
    if !(200..300).contains(&status) {
        return None;
    }
    let told: Value = serde_json::from_slice(&body).unwrap_or_default();
    Some(told["beat-to"].as_str().and_then(|address| address.parse().ok()))
}

/// The same heartbeat comes once more, late, to any controller.
async fn late_heartbeat(state: Rc<State>, head: String, body: String) {
    let (late, controller) = {
        let mut random = state.random.borrow_mut();
        (random.random_range(LATE_MS), random.random_range(0..state.fleet.size().controllers))
    };
    sleep(Duration::from_millis(late)).await;
    if !state.is_cut_off() {
        let _ = call(state.fleet.controller(controller), &head, &body, PATIENCE).await;
    }
}

/// Says that the replica leaves; whether that was acknowledged.
async fn leave(state: &Rc<State>) -> bool {
    let head = format!("POST /nodes/{}/leave HTTP/1.1\r\n", state.id);
    for attempt in 0..20 {
        let controller = state.fleet.controller(attempt % state.fleet.size().controllers);
        if let Some((200..=299, _)) = call(controller, &head, "", PATIENCE).await {
            return true;
        }
    }
    false
}
