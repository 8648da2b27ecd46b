//! Which replica is ordered to move, and to what, played on the plan of moves alone.

use std::net::{Ipv4Addr, SocketAddrV4};

use catalog::{ModelVersion, Record, State};
use controller::duty::moves::{Moves, ReplicaCall, Report};
use rstest::rstest;
use weights::{NamedWeights, Naming};

const MODEL: &str = "m";
/// Time to move to a named version, ms; nothing is due in these tests.
const BOUND: u64 = 100_000;
const FENCE: Option<u64> = Some(1);

fn replica(id: &str, version: u64) -> Record {
    Record {
        id: id.to_string(),
        service: "reader".to_string(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 8080),
        zone: "north".to_string(),
        free_slots: 1,
        state: State::Ready,
        beat: 1,
        models: vec![ModelVersion { name: MODEL.to_string(), version }],
        cold_left_ms: 0,
        software: "v1".to_string(),
    }
}

/// Five replicas, of which one loads at a time; the last by id has the oldest weights.
fn replicas() -> Vec<Record> {
    let versions = [("r1", 2), ("r2", 2), ("r3", 2), ("r4", 2), ("r5", 1)];
    versions.map(|(id, version)| replica(id, version)).to_vec()
}

/// Names versions, each at a time in ms.
fn named(namings: &[(u64, i64)]) -> NamedWeights {
    let mut weights = NamedWeights::default();
    for (version, named_at) in namings {
        weights.name(MODEL, Naming { version: *version, named_at: *named_at });
    }
    weights
}

/// The next calls, after every replica that was asked has told that nothing is under way.
fn next_calls(moves: &mut Moves, now: u64, replicas: &[Record], weights: &NamedWeights) -> Vec<ReplicaCall> {
    next_calls_under(moves, now, replicas, weights, FENCE)
}

fn next_calls_under(
    moves: &mut Moves,
    now: u64,
    replicas: &[Record],
    weights: &NamedWeights,
    fence: Option<u64>,
) -> Vec<ReplicaCall> {
    let calls = moves.calls(now, replicas, weights, fence);
    let (asked, mut ordered): (Vec<_>, Vec<_>) =
        calls.into_iter().partition(|call| matches!(call, ReplicaCall::Report { .. }));
    for call in asked {
        let ReplicaCall::Report { replica, .. } = call else { continue };
        let held = replicas.iter().find(|record| record.id == replica);
        let models = held.map(|record| record.models.clone()).unwrap_or_default();
        moves.reported(now, &replica, Some(&Report { models, busy: false, call_count: 0 }));
    }
    ordered.extend(moves.calls(now, replicas, weights, fence));
    ordered
}

/// The replicas that are ordered, each with the version.
fn orders(calls: &[ReplicaCall]) -> Vec<(&str, u64)> {
    let order = |call| match call {
        &ReplicaCall::Order { ref replica, version, .. } => Some((replica.as_str(), version)),
        ReplicaCall::Report { .. } => None,
    };
    calls.iter().filter_map(order).collect()
}

#[rstest]
fn the_replica_whose_bound_ends_first_is_ordered_first() {
    let weights = named(&[(2, 0), (3, 1_000)]);
    let calls = next_calls(&mut Moves::new(BOUND), 1_100, &replicas(), &weights);
    assert_eq!(orders(&calls), [("r5", 3)]);
}

#[rstest]
fn a_replica_that_does_not_answer_its_order_leaves_its_place_at_once() {
    let weights = named(&[(2, 0), (3, 1_000)]);
    let mut moves = Moves::new(BOUND);
    next_calls(&mut moves, 1_100, &replicas(), &weights);
    assert_eq!(orders(&next_calls(&mut moves, 1_110, &replicas(), &weights)), [], "one at a time");
    moves.ordered(1_120, "r5", None);
    assert_eq!(orders(&next_calls(&mut moves, 1_120, &replicas(), &weights)), [("r1", 3)]);
}

#[rstest]
fn an_order_that_is_given_again_asks_for_what_is_newest_by_then() {
    let mut moves = Moves::new(BOUND);
    let calls = next_calls(&mut moves, 100, &replicas(), &named(&[(2, 0)]));
    assert_eq!(orders(&calls), [("r5", 2)]);
    moves.ordered(110, "r5", Some(503));
    let calls = next_calls(&mut moves, 2_000, &replicas(), &named(&[(2, 0), (3, 1_500)]));
    assert_eq!(orders(&calls), [("r5", 3)]);
}

#[rstest]
fn of_several_models_the_one_whose_bound_ends_first_is_ordered() {
    let mut weights = named(&[(2, 1_000)]);
    weights.name("n", Naming { version: 2, named_at: 0 });
    let mut both = replica("r1", 1);
    both.models.push(ModelVersion { name: "n".to_string(), version: 1 });
    let calls = next_calls(&mut Moves::new(BOUND), 1_100, &[both], &weights);
    let models: Vec<&str> = calls
        .iter()
        .filter_map(|call| match call {
            ReplicaCall::Order { model, .. } => Some(model.as_str()),
            ReplicaCall::Report { .. } => None,
        })
        .collect();
    assert_eq!(models, ["n"]);
}

/// A replica that refuses an order for its fence has seen a higher one: nobody is ordered or asked again under this one.
#[rstest]
fn a_fence_that_was_refused_is_not_used_again() {
    let weights = named(&[(2, 0), (3, 1_000)]);
    let mut moves = Moves::new(BOUND);
    assert_eq!(orders(&next_calls(&mut moves, 1_100, &replicas(), &weights)), [("r5", 3)]);
    moves.ordered(1_110, "r5", Some(412));
    for now in [1_120, 2_200, 5_000, 60_000] {
        assert_eq!(moves.calls(now, &replicas(), &weights, FENCE), [], "at {now} ms");
    }
    assert_eq!(orders(&next_calls_under(&mut moves, 60_010, &replicas(), &weights, Some(2))), [("r5", 3)]);
}
