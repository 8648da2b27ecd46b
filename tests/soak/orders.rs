//! How stand-in replicas take orders to move to other weights, and what they report of it.

use crate::record::{Millis, Seen};
use crate::replica::{answer, State, MODEL};
use rand::Rng;
use serde_json::{json, Value};
use stand_in::Request;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How long new weights take once all runs have ended.
const LOAD: Duration = Duration::from_millis(150);
/// A report shows things as they stood so long ago.
const REPORT_LAG: Duration = Duration::from_millis(200);
/// One order in so many is taken without an answer.
const UNANSWERED_ORDERS: u32 = 8;
/// One order in so many is not answered and reaches the replica so much later, ms.
const LATE_ORDERS: u32 = 6;
const LATE_ORDER_MS: std::ops::Range<u64> = 1_100..5_000;

/// What a report shows.
#[derive(Debug, Clone, Copy)]
pub struct Shown {
    pub version: u64,
    pub orders: u64,
    pub is_loading: bool,
}

/// An order to move to other weights.
struct Order {
    replica: Option<String>,
    version: u64,
    holder: String,
    fence: u64,
    expected: Option<u64>,
}

impl Order {
    fn read(request: &Request) -> Order {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        Order {
            replica: request.header("expected-node").map(str::to_string),
            version: body["version"].as_u64().unwrap_or_default(),
            holder: body["holder"].as_str().unwrap_or_default().to_string(),
            fence: body["fence"].as_u64().unwrap_or_default(),
            expected: body["expected"].as_u64(),
        }
    }

    /// What a replica answers to it now.
    fn status(&self, state: &State) -> u16 {
        match () {
            () if self.replica.as_ref().is_some_and(|node| *node != state.id) => 421,
            () if self.fence < state.fence.get() => 412,
            () if self.version == state.version.get() && !state.loading.get() => 200,
            () if state.loading.get() => 409,
            () if self.expected.is_some_and(|expected| expected != state.orders.get()) => 409,
            () => 202,
        }
    }
}

/// Takes an order; `None` if it is not answered. Some of these are done long after, some at once.
pub fn order(state: &Rc<State>, request: &Request) -> Option<String> {
    let order = Order::read(request);
    let (holder, fence, status) = (order.holder.clone(), order.fence, order.status(state));
    state.record.note(Seen::Ordered { replica: state.id.clone(), holder, fence, status });
    if state.draws_one_in(LATE_ORDERS) {
        state.tasks.borrow_mut().spawn_local(order_late(state.clone(), order));
        return None;
    }
    carry_out(state, &order);
    (!state.draws_one_in(UNANSWERED_ORDERS)).then(|| answer(status, "", "{}"))
}

/// The order reaches the replica when nobody waits for its answer any more.
async fn order_late(state: Rc<State>, order: Order) {
    let late = state.random.borrow_mut().random_range(LATE_ORDER_MS);
    sleep(Duration::from_millis(late)).await;
    carry_out(&state, &order);
}

fn carry_out(state: &Rc<State>, order: &Order) {
    let status = order.status(state);
    if status != 421 {
        state.fence.set(state.fence.get().max(order.fence));
    }
    if status == 202 {
        state.orders.set(state.orders.get() + 1);
        state.loading.set(true);
        state.show();
        state.tasks.borrow_mut().spawn_local(load(state.clone(), order.version));
    }
}

/// Runs end first; then the weights are loaded.
async fn load(state: Rc<State>, version: u64) {
    while state.running.get() > 0 {
        sleep(Duration::from_millis(5)).await;
    }
    sleep(LOAD).await;
    state.version.set(version);
    state.loading.set(false);
    state.show();
}

/// What the replica shows of itself.
pub fn report(state: &State) -> String {
    let shown_at = state.record.now().saturating_sub(REPORT_LAG.as_millis() as Millis);
    let shown = state.shown.borrow();
    let of_then = shown.iter().rev().find(|(since, _)| *since <= shown_at).or(shown.first());
    let (_, Shown { version, orders, is_loading }) = *of_then.expect("it shows something from its start on");
    let body = json!({
        "stage": "both_ways", "busy": is_loading, "call-count": orders, "waiting": 0,
        "running": state.running.get(), "cache-used": 0, "cache-total": 90_000, "handles": 0,
        "models": [{"name": MODEL, "version": version, "adapters": []}],
    });
    answer(200, "", &body.to_string())
}
