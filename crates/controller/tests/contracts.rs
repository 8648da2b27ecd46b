//! What replicas and operators are promised, point by point; `docs/contracts.md` lists which test holds which.

mod support;

use catalog::{ModelVersion, Record, State};
use controller::duty::moves::{Moves, ReplicaCall, Report};
use rstest::rstest;
use std::net::{Ipv4Addr, SocketAddrV4};
use support::{configuration, Cluster};
use weights::{NamedWeights, Naming};

const BOUND_MS: u64 = 8_000;

fn started(seed: u64, size: usize) -> Cluster {
    let mut cluster = Cluster::new(seed, size);
    cluster.play(1_500);
    cluster
}

fn status(cluster: &mut Cluster, host: usize, path: &str, based_on: Option<&str>, body: &str) -> Option<u16> {
    cluster.call(host, "POST", path, based_on, body).map(|reply| reply.status)
}

fn read(cluster: &mut Cluster, host: usize) -> Option<(u16, String)> {
    let reply = cluster.call(host, "GET", "/config/read", None, "")?;
    Some((reply.status, String::from_utf8(reply.body).expect("text")))
}

/// Disks are lost right after an acknowledgement, and all other machines lose power at the same moment: what was
/// acknowledged is read back whole, again and again, at every controller, and can be changed.
#[rstest]
#[case::three(3, &[0])]
#[case::three_another(3, &[2])]
#[case::five(5, &[0, 1])]
#[case::five_others(5, &[1, 4])]
fn what_was_acknowledged_outlives_disks_lost_while_all_others_lose_power(
    #[case] size: usize,
    #[case] wiped: &[usize],
    #[values(1, 2, 3)] seed: u64,
    #[values(0, 1, 2, 5, 20)] after_ms: u64,
) {
    let mut cluster = started(seed, size);
    let body = configuration(1, 3);
    let taker = seed as usize % size;
    assert_eq!(status(&mut cluster, taker, "/config/replace", Some("0"), &body), Some(200));
    let named = r#"{"model":"m","version":2}"#;
    assert_eq!(status(&mut cluster, taker, "/version-put", None, named), Some(200));
    cluster.play(after_ms);
    cluster.restart_all(1_200, wiped);
    cluster.play(6_000);
    for _ in 0..3 {
        for host in 0..size {
            assert_eq!(read(&mut cluster, host), Some((200, body.clone())), "at {host}");
        }
        cluster.play(1_000);
    }
    let reply = cluster.call(0, "GET", "/fleet/status", None, "").expect("answered");
    let shown: serde_json::Value = serde_json::from_slice(&reply.body).expect("JSON");
    assert_eq!(shown["weights"][0]["version"], 2);
    let next = configuration(2, 4);
    assert_eq!(status(&mut cluster, 1, "/config/replace", Some("1"), &next), Some(200));
}

/// Some replicas leave first and serve on; heartbeats that come after it, late ones too, do not bring them back.
#[rstest]
fn a_replica_that_leaves_first_stays_gone() {
    let mut cluster = started(1, 3);
    cluster.heartbeat(0, "a", 1, "ready", 1);
    cluster.play(100);
    assert_eq!(status(&mut cluster, 1, "/nodes/a/leave", None, ""), Some(200));
    for beat in [2, 1, 3] {
        cluster.heartbeat(beat as usize % 3, "a", 1, "ready", beat);
        cluster.play(100);
        for host in 0..3 {
            assert_eq!(cluster.state_at(host, "a"), Some(State::Gone), "at {host} after heartbeat {beat}");
        }
    }
}

#[rstest]
fn a_heartbeat_that_is_seconds_late_does_not_take_back_a_later_one() {
    let mut cluster = started(2, 3);
    for (beat, state) in [(1, "ready"), (3, "draining")] {
        cluster.heartbeat(0, "a", 1, state, beat);
        cluster.play(50);
    }
    cluster.play(3_000);
    cluster.heartbeat(1, "a", 1, "ready", 2);
    cluster.play(100);
    for host in 0..3 {
        assert_eq!(cluster.state_at(host, "a"), Some(State::Draining), "at {host}");
    }
}

fn replica(version: u64) -> Record {
    Record {
        id: "i-1".into(),
        service: "s".into(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 1), 8080),
        zone: "z".into(),
        free_slots: 4,
        state: State::Ready,
        beat: 1,
        models: vec![ModelVersion { name: "m".into(), version }],
        cold_left_ms: 0,
        software: "v1".to_string(),
    }
}

fn report(busy: bool, call_count: u64) -> Report {
    Report { models: vec![ModelVersion { name: "m".into(), version: 1 }], busy, call_count }
}

/// A replica that lacks a named version, and no move yet.
fn behind_by_one() -> ([Record; 1], NamedWeights, Moves) {
    let mut weights = NamedWeights::default();
    weights.name("m", Naming { version: 2, named_at: 0 });
    ([replica(1)], weights, Moves::new(BOUND_MS))
}

fn expected(calls: &[ReplicaCall]) -> Option<u64> {
    match calls {
        [ReplicaCall::Order { expected, .. }] => Some(*expected),
        _ => None,
    }
}

/// The replica is asked at 0 ms, says that it has taken four orders, and is given one under fence 7.
fn order(replicas: &[Record], weights: &NamedWeights, moves: &mut Moves) {
    let asked = moves.calls(0, replicas, weights, Some(7));
    assert!(matches!(asked.as_slice(), [ReplicaCall::Report { .. }]), "{asked:?}");
    moves.reported(0, "i-1", Some(&report(false, 4)));
    assert_eq!(expected(&moves.calls(0, replicas, weights, Some(7))), Some(4));
}

/// 202 and 200: it is on its way; 409 or silence: what became of it is asked; 400, 421: the order did not count. What
/// follows 412 is a test of its own: the order would be refused again.
#[rstest]
#[case::taken(Some(202), true)]
#[case::holds(Some(200), true)]
#[case::another_under_way(Some(409), true)]
#[case::no_answer(None, true)]
#[case::not_named(Some(400), false)]
#[case::another_replica(Some(421), false)]
fn an_order_is_followed_up_as_its_answer_says(#[case] status: Option<u16>, #[case] asks: bool) {
    let (replicas, weights, mut moves) = behind_by_one();
    order(&replicas, &weights, &mut moves);
    moves.ordered(10, "i-1", status);
    let next: Vec<ReplicaCall> =
        (10..1_500).step_by(10).flat_map(|now| moves.calls(now, &replicas, &weights, Some(7))).collect();
    match next.as_slice() {
        [ReplicaCall::Report { .. }] => assert!(asks),
        [ReplicaCall::Order { .. }] => assert!(!asks),
        other => panic!("{other:?}"),
    }
}

/// 412 tells of a higher fence: nothing leaves under the refused one, and the order is given again under a higher one.
#[rstest]
fn an_order_refused_for_its_fence_waits_for_a_higher_one() {
    let (replicas, weights, mut moves) = behind_by_one();
    order(&replicas, &weights, &mut moves);
    moves.ordered(10, "i-1", Some(412));
    let refused = (10..60_000).step_by(10).flat_map(|now| moves.calls(now, &replicas, &weights, Some(7)));
    assert_eq!(refused.collect::<Vec<_>>(), []);
    assert_eq!(moves.refused_fence(), Some(7));
    assert_eq!(expected(&moves.calls(60_000, &replicas, &weights, Some(8))), Some(4));
}

/// After an order whose fate is open, the next one names how many the replica took: it can't come twice.
#[rstest]
fn an_order_that_is_given_again_names_the_count_it_expects() {
    let (replicas, weights, mut moves) = behind_by_one();
    order(&replicas, &weights, &mut moves);
    moves.ordered(10, "i-1", None);
    assert_eq!(moves.calls(1_000, &replicas, &weights, Some(7)).len(), 1, "a question");
    moves.reported(1_010, "i-1", Some(&report(false, 5)));
    assert_eq!(expected(&moves.calls(1_020, &replicas, &weights, Some(7))), Some(5));
}

/// Guards against incident VERSION (12 of 48): an order without a count is taken whenever it arrives.
#[rstest]
fn every_order_names_the_count_it_expects() {
    let (replicas, weights, mut moves) = behind_by_one();
    assert_eq!(moves.calls(0, &replicas, &weights, Some(7)).len(), 1);
    moves.reported(10, "i-1", Some(&report(false, 4)));
    assert_eq!(expected(&moves.calls(20, &replicas, &weights, Some(7))), Some(4));
}

/// A report that nobody waits for any more, as the duty changed hands meanwhile, changes nothing of the order that is out.
#[rstest]
fn a_report_that_was_not_asked_for_is_passed_over() {
    let (replicas, weights, mut moves) = behind_by_one();
    order(&replicas, &weights, &mut moves);
    moves.reported(5, "i-1", Some(&report(false, 4)));
    assert_eq!(moves.calls(1_000, &replicas, &weights, Some(7)), []);
    moves.ordered(1_010, "i-1", Some(400));
    assert_eq!(expected(&moves.calls(2_010, &replicas, &weights, Some(7))), Some(4));
}
