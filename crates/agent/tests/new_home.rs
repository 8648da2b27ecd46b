//! What an agent tells a new home: replicas that the home may not know, as its controllers forget them when all of them
//! restart.

mod support;

use agent::machine::{Effect, Input};
use peer::{Alive, Message, ReplicaState, NEVER};
use rstest::rstest;
use support::{controller, record, Bench};

/// More than the silence after which a replica counts as lost, with the heartbeats of these tests, ms.
const LONG: u64 = 4_000;
/// Less than that, ms.
const SHORT: u64 = 1_500;

/// The ids of the replicas that effects report, each with the controller that hears it.
fn reported(effects: &[Effect]) -> Vec<(u8, String)> {
    let mut reported = Vec::new();
    for effect in effects {
        let Effect::SendController { to, message: Message::Replicas(replicas) } = effect else { continue };
        let ids = replicas.records.iter().map(|record| record.id.as_str().to_string());
        reported.extend(ids.map(|id| (to.ip().octets()[3], id)));
    }
    reported
}

/// The controller says that it was in contact with a majority so long ago.
fn in_contact(bench: &mut Bench, number: u8, majority_age_ms: u32) -> Vec<Effect> {
    bench.tell(number, Message::Alive(Alive { majority_age_ms, configuration: 0 }))
}

/// Lets time go by.
fn later(bench: &mut Bench, time: u64) -> Vec<Effect> {
    bench.now += time;
    bench.step(Input::Tick)
}

/// An agent whose home has told of two replicas, and has then restarted.
fn with_restarted_home() -> Bench {
    let mut bench = Bench::new();
    bench.up(1);
    later(&mut bench, 1_000);
    in_contact(&mut bench, 1, 0);
    bench.tell(1, record("stays", 3, ReplicaState::Ready));
    bench.tell(1, record("went", 3, ReplicaState::Ready));
    bench.down(1);
    later(&mut bench, 200);
    bench.up(1);
    in_contact(&mut bench, 1, 0);
    bench
}

#[rstest]
fn what_a_restarted_home_does_not_tell_of_is_reported_to_it() {
    let mut bench = with_restarted_home();
    bench.tell(1, record("stays", 5, ReplicaState::Ready));
    assert_eq!(reported(&later(&mut bench, SHORT)), [], "it may not have heard a heartbeat yet");
    bench.now += LONG;
    let effects = in_contact(&mut bench, 1, 0);
    assert_eq!(reported(&effects), [(1, "went".to_string())]);
    assert_eq!(reported(&later(&mut bench, LONG)), [], "once");
}

#[rstest]
fn a_home_without_contact_to_a_majority_hears_it_when_it_is_back() {
    let mut bench = with_restarted_home();
    bench.now += 3 * LONG;
    assert_eq!(reported(&in_contact(&mut bench, 1, NEVER)), [], "it may not judge");
    bench.now += LONG;
    let effects = in_contact(&mut bench, 1, 0);
    let mut ids = reported(&effects);
    ids.sort();
    assert_eq!(ids, [(1, "stays".to_string()), (1, "went".to_string())]);
}

/// The home became that at 1,200 ms; other upkeep falls on 5,000 and 10,000 ms.
#[rstest]
fn the_agent_wakes_to_report() {
    let mut bench = with_restarted_home();
    bench.now = 5_000;
    bench.step(Input::Tick);
    assert!(bench.machine.deadline() <= 1_200 + LONG, "at {} ms", bench.machine.deadline());
}

#[rstest]
fn an_agent_whose_home_has_gone_does_not_spin() {
    let mut bench = with_restarted_home();
    bench.down(1);
    bench.now = 10_000;
    bench.step(Input::Tick);
    assert!(bench.machine.deadline() > bench.now);
}

#[rstest]
fn what_other_controllers_tell_does_not_count() {
    let mut bench = with_restarted_home();
    bench.up(2);
    bench.tell(1, record("stays", 5, ReplicaState::Ready));
    bench.tell(2, record("went", 3, ReplicaState::Ready));
    bench.now += LONG;
    assert_eq!(reported(&in_contact(&mut bench, 1, 0)), [(1, "went".to_string())]);
}

#[rstest]
fn what_a_former_home_told_does_not_count() {
    let mut bench = with_restarted_home();
    bench.tell(1, record("stays", 5, ReplicaState::Ready));
    bench.tell(1, record("went", 3, ReplicaState::Ready));
    bench.up(2);
    bench.now += SHORT;
    in_contact(&mut bench, 2, 0);
    later(&mut bench, SHORT);
    in_contact(&mut bench, 2, 0);
    assert_eq!(bench.machine.home_controller(bench.now), Some(controller(2)), "the other one lost contact");
    bench.tell(2, record("stays", 5, ReplicaState::Ready));
    bench.now += LONG;
    assert_eq!(reported(&in_contact(&mut bench, 2, 0)), [(2, "went".to_string())]);
}

#[rstest]
fn ends_are_not_reported() {
    let mut bench = with_restarted_home();
    bench.tell(1, record("stays", 5, ReplicaState::Ready));
    bench.tell(1, record("went", 3, ReplicaState::Gone));
    bench.now += LONG;
    assert_eq!(reported(&in_contact(&mut bench, 1, 0)), []);
}

#[rstest]
fn another_home_is_told_as_well() {
    let mut bench = with_restarted_home();
    bench.down(1);
    bench.up(2);
    later(&mut bench, SHORT);
    in_contact(&mut bench, 2, 0);
    assert_eq!(bench.machine.home_controller(bench.now), Some(controller(2)));
    bench.tell(2, record("stays", 5, ReplicaState::Ready));
    bench.now += LONG;
    assert_eq!(reported(&in_contact(&mut bench, 2, 0)), [(2, "went".to_string())]);
}

#[rstest]
fn many_are_reported_in_parts() {
    const MANY: usize = 150;
    let mut bench = Bench::new();
    bench.up(1);
    in_contact(&mut bench, 1, 0);
    (0..MANY).for_each(|number| drop(bench.tell(1, record(&format!("r-{number}"), 3, ReplicaState::Ready))));
    bench.down(1);
    bench.up(1);
    let mut parts = Vec::new();
    for _ in 0..10 {
        bench.now += LONG;
        parts.push(reported(&in_contact(&mut bench, 1, 0)));
    }
    assert!(parts.iter().all(|part| part.len() <= MANY / 2), "a home that starts is not flooded");
    let mut ids: Vec<_> = parts.concat();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), MANY, "all of them in the end");
}
