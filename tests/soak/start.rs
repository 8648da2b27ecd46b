//! How soon a whole fleet serves again after all its machines have lost power at once.
//!
//! `START_EDGES` sets how many edge machines there are, two processes each.

use crate::plan::{Action, Size};
use crate::record::{Disturbance, Ending, Event, Millis, Process, Seen};
use crate::{from_environment, play_story, Run};
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Edge machines in CI.
const CI_EDGES: usize = 6;
/// Routes of the large configurations of operators.
const ROUTES: usize = 1_160;
/// Every machine serves within this from its start on.
const SERVES_WITHIN: Millis = 5_000;
const SEED: u64 = 1;
/// By then the first acceptor set, of the seeds, has grown to all controllers and is on their disks.
const SET_CHANGE: Duration = Duration::from_millis(2_000);
const LOOK_EVERY: Duration = Duration::from_millis(50);

#[test]
fn every_machine_of_a_fleet_that_lost_power_serves_soon() {
    let edges = from_environment("START_EDGES").unwrap_or(CI_EDGES);
    let size = Size { controllers: 5, edges, replicas: 3, clients: 1 };
    let (faults, events) = play_story(&format!("start {edges}"), |folder| async move {
        let run = Run::start(SEED, size, ROUTES, &folder);
        run.begin(SEED).await;
        run.recovered().await;
        sleep(SET_CHANGE).await;
        run.act(Action::PowerOff);
        run.recovered().await;
        let all_served = async {
            while waits(&run.record.events(), edges).is_none() {
                sleep(LOOK_EVERY).await;
            }
        };
        // Machines that did not serve until then fail the test below.
        let _ = timeout(Duration::from_millis(SERVES_WITHIN), all_served).await;
        run.stop().await
    });
    assert!(faults.is_empty(), "{faults:#?}");
    let mut waits = waits(&events, edges).expect("every machine starts twice and serves");
    waits.sort_unstable();
    let (middle, last) = (waits[waits.len() / 2], waits[waits.len() - 1]);
    println!("{edges} edge machines serve after {} ms, {middle} ms (median), {last} ms (last)", waits[0]);
    assert!(last <= SERVES_WITHIN, "the last of {edges} machines served after {last} ms");
}

/// How long each edge machine took from its second start to the first success that a client had of it; `None` before each
/// one has started twice and served.
fn waits(events: &[Event], edges: usize) -> Option<Vec<Millis>> {
    let mut sent_to: HashMap<u64, usize> = HashMap::new();
    let mut started: Vec<Vec<Millis>> = vec![Vec::new(); edges];
    let mut served: Vec<Option<Millis>> = vec![None; edges];
    for event in events {
        match &event.seen {
            Seen::Process { process: Process::Proxy(edge), what: Disturbance::Started } => {
                started[*edge].push(event.at);
                served[*edge] = None;
            }
            Seen::Sent { request, edge, .. } => drop(sent_to.insert(*request, *edge)),
            Seen::Ended { request, ending: Ending::Answered { status: 200, .. } } => {
                served[sent_to[request]].get_or_insert(event.at);
            }
            _ => {}
        }
    }
    let wait = |edge: usize| match started[edge].as_slice() {
        [_, second] => Some(served[edge]? - second),
        _ => None,
    };
    (0..edges).map(wait).collect()
}
