//! Operators: they change the configuration, name weights, and read back what is in force.

use crate::call::call;
use crate::client::{Clients, HOST, KEY};
use crate::fleet::{Fleet, SERVICES};
use crate::record::{Record, Seen};
use crate::replica::MODEL;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// An operator moves on after so long without an answer.
const PATIENCE: Duration = Duration::from_millis(1_000);
/// Pause before another controller is called.
const PAUSE: Duration = Duration::from_millis(40);

/// Changes that come in a row.
const CHANGES_IN_A_ROW: usize = 100;

/// An order to change the configuration, as it is sent again and again.
#[derive(Debug, Clone)]
struct Order {
    number: u64,
    based_on: u64,
    version: u64,
    body: String,
}

struct State {
    fleet: Fleet,
    record: Record,
    clients: Clients,
    random: RefCell<SmallRng>,
    /// The newest version that was acknowledged.
    current: Cell<u64>,
    /// The newest version that any order had.
    last_version: Cell<u64>,
    last_order: Cell<u64>,
    last_taken: RefCell<Option<Order>>,
    named: Cell<u64>,
    stopped: Cell<bool>,
    spare_routes: usize,
}

/// All operators of a run.
#[derive(Clone)]
pub struct Operators(Rc<State>);

impl Operators {
    /// Their first configuration has `spare_routes` routes that nobody asks for.
    pub fn new(
        fleet: &Fleet,
        record: &Record,
        clients: &Clients,
        seed: u64,
        spare_routes: usize,
    ) -> Operators {
        Operators(Rc::new(State {
            fleet: fleet.clone(),
            record: record.clone(),
            clients: clients.clone(),
            random: RefCell::new(SmallRng::seed_from_u64(seed)),
            current: Cell::new(0),
            last_version: Cell::new(0),
            last_order: Cell::new(0),
            last_taken: RefCell::default(),
            named: Cell::new(1),
            stopped: Cell::new(false),
            spare_routes,
        }))
    }

    pub fn stop(&self) {
        self.0.stopped.set(true);
    }

    pub fn named(&self) -> u64 {
        self.0.named.get()
    }

    fn controller(&self) -> usize {
        self.0.random.borrow_mut().random_range(0..self.0.fleet.size().controllers)
    }

    fn next_order(&self) -> Order {
        let state = &self.0;
        let version = state.last_version.get() + state.random.borrow_mut().random_range(1..4);
        state.last_version.set(version);
        state.last_order.set(state.last_order.get() + 1);
        let based_on = state.current.get();
        let body = if based_on == 0 { whole(version, state.spare_routes) } else { change(based_on, version) };
        Order { number: state.last_order.get(), based_on, version, body: body.to_string() }
    }

    /// Changes the configuration, and sends the change until it is taken or refused.
    pub async fn configure(self) {
        let order = self.next_order();
        self.send(order).await;
    }

    /// Changes of the configuration, each as soon as the one before has ended.
    pub async fn many_changes(self) {
        for _ in 0..CHANGES_IN_A_ROW {
            self.clone().configure().await;
        }
    }

    /// Two changes on one version at the same time.
    pub async fn race(self) {
        let (one, two) = (self.next_order(), self.next_order());
        tokio::join!(self.send(one), self.send(two));
    }

    /// Sends an order again that was taken.
    pub async fn repeat(self) {
        let taken = self.0.last_taken.borrow().clone();
        if let Some(order) = taken {
            self.send(order).await;
        }
    }

    async fn send(&self, order: Order) {
        let state = &self.0;
        let path = if order.based_on == 0 { "replace" } else { "update" };
        let head = format!(
            "POST /config/{path} HTTP/1.1\r\nBased-On: {}\r\nContent-Type: application/json\r\n",
            order.based_on
        );
        let Order { number, based_on, version, .. } = order;
        state.record.note(Seen::Ordering { version });
        while !state.stopped.get() {
            let controller = state.fleet.controller(self.controller());
            match call(controller, &head, &order.body, PATIENCE).await {
                Some((200, _)) => {
                    state.current.set(state.current.get().max(version));
                    state.clients.newest.set(state.current.get());
                    state.record.note(Seen::Configured { order: number, based_on, version });
                    *state.last_taken.borrow_mut() = Some(order);
                    return;
                }
                Some((status @ (400..=407 | 409..=428 | 430..=499), _)) => {
                    return state.record.note(Seen::Refused { order: number, version, status });
                }
                _ => sleep(PAUSE).await,
            }
        }
    }

    /// Names the next version of the weights, until that is acknowledged.
    pub async fn name(self) {
        let state = &self.0;
        let version = state.named.get() + 1;
        state.named.set(version);
        let body = json!({"model": MODEL, "version": version}).to_string();
        let head = "POST /version-put HTTP/1.1\r\nContent-Type: application/json\r\n";
        while !state.stopped.get() {
            let controller = state.fleet.controller(self.controller());
            if let Some((200..=299, _)) = call(controller, head, &body, PATIENCE).await {
                return state.record.note(Seen::Named { version });
            }
            sleep(PAUSE).await;
        }
    }

    /// Reads the configuration at any controller, again and again.
    pub async fn read(self) {
        let state = &self.0;
        while !state.stopped.get() {
            let sent = state.record.now();
            let controller = state.fleet.controller(self.controller());
            let answer = call(controller, "GET /config/read HTTP/1.1\r\n", "", PATIENCE).await;
            if let Some((200, body)) = answer {
                let value: Value = serde_json::from_slice(&body).unwrap_or_default();
                let version = value["version"].as_u64().unwrap_or_default();
                state.record.note(Seen::Read { sent, version });
            }
            sleep(Duration::from_millis(120)).await;
        }
    }
}

fn route(name: &str, path: &str, kind: &str, service: usize) -> Value {
    json!({
        "name": name, "host": HOST, "path-start": path, "kind": kind, "give-up-ms": 2_400, "target-ms": 300,
        "priority": 0, "service": format!("s{service}"), "tries": 3, "public": false, "stick-to-node": true,
        "can-resume": kind == "streaming", "gap_aim_ms": 250,
    })
}

/// The route that one version alone has.
fn only(version: u64) -> Value {
    route(
        &format!("only-{version}"),
        &format!("/only-{version}/"),
        "read_only",
        (version % SERVICES as u64) as usize,
    )
}

fn whole(version: u64, spare_routes: usize) -> Value {
    let services: Vec<Value> = (0..SERVICES)
        .map(|service| {
            json!({"name": format!("s{service}"), "health-path": "/health", "max-conns": 360, "protocol": "h1", "tls": false,
                "engine": {"free-slots": 4, "cache-tokens": 90_000, "token-bytes": 163_840, "link-mbps": 1_000_000.0,
                "stride": 6, "max-calls": 12, "models": [{"name": MODEL}]}})
        })
        .collect();
    let mut routes = vec![
        route("read", "/read/", "read_only", 0),
        route("write", "/write/", "writing", 1),
        route("stream", "/stream/", "streaming", 0),
        only(version),
    ];
    let spare =
        |number: usize| route(&format!("spare-{number}"), &format!("/spare-{number}/"), "read_only", 0);
    routes.extend((0..spare_routes).map(spare));
    json!({
        "version": version,
        "routes": routes,
        "services": services,
        "caps": {"max-header-bytes": 16_384, "max-body-bytes": 4_194_304, "header-wait-ms": 3_000, "idle-ms": 15_000},
        "customers": [{"name": "tenant-1", "api-keys": [KEY], "priority": 1, "isolated": false}],
    })
}

fn change(based_on: u64, version: u64) -> Value {
    json!({
        "version": version, "upsert": {"routes": [only(version)]},
        "remove": {"routes": [format!("only-{based_on}")]},
    })
}
