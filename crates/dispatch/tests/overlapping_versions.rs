//! Versions of a model's weights that are named before the move to the one before is over.

mod support;

use dispatch::{Ms, Next, Outcome};
use support::*;

/// The time to move to a named version in these tests' bounds, ms.
const BOUND: Ms = 6_000.0;
/// Nothing goes to older weights from this part of the bound on.
const DUE: Ms = 0.7 * BOUND;

/// Replica `i-1` has version 1, `i-2` version 2; version 2 was named at `START`, and others after it in these steps.
fn overlapping(steps: &[Ms]) -> dispatch::Dispatcher {
    let mut dispatcher = dispatcher(1);
    dispatcher.update_replica(record(2, 2));
    named(&mut dispatcher, 2, START);
    for (step, version) in steps.iter().zip(3..) {
        named(&mut dispatcher, version, START + step);
    }
    dispatcher
}

/// A request with a prompt that may wait long after `START`.
fn patient(text: &str) -> dispatch::Ask {
    dispatch::Ask { deadline: START + 20_000.0, ..prompt(text) }
}

/// Times after `START` at which versions 3, 4 and so on are named, ms.
const LATER_NAMINGS: [&[Ms]; 4] = [
    &[3_400.0],
    &[2_000.0, 4_000.0],
    &[4_190.0],
    &[500.0, 1_000.0, 1_500.0, 2_000.0, 2_500.0, 3_000.0, 3_500.0, 4_000.0],
];

#[test]
fn the_bound_of_a_version_stands_while_newer_ones_are_named() {
    for steps in LATER_NAMINGS {
        let mut dispatcher = overlapping(steps);
        for number in 0..40 {
            let ask = patient(&format!("{number:x}:1"));
            let target = answered(&mut dispatcher, ask, START + DUE + 10.0);
            assert_eq!((&*target.id, target.version), ("i-2", Some(2)), "after {steps:?}");
        }
    }
}

/// Version 2 is due, versions 3 and 4 are not: what has 2 is asked for 2.
#[test]
fn a_version_between_the_least_and_the_newest_is_used_as_it_is() {
    let mut dispatcher = dispatcher(0);
    dispatcher.update_replica(record(3, 3));
    for (version, at) in [(2, 0.0), (3, 2_000.0), (4, 4_000.0)] {
        named(&mut dispatcher, version, START + at);
    }
    let ask = patient("a:1");
    assert_eq!(sent(&mut dispatcher, ask, START + DUE + 10.0).1.version, Some(3));
}

/// A replica whose version is out is asked for the newest only: it is on the way there.
#[test]
fn what_is_behind_the_least_version_is_asked_for_the_newest() {
    let mut dispatcher = overlapping(&[2_000.0, 4_000.0]);
    dispatcher.update_replica(later(2, 2, 2, peer::ReplicaState::Draining));
    let ask = patient("a:1");
    let (_, target) = sent(&mut dispatcher, ask, START + DUE + 10.0);
    assert_eq!((&*target.id, target.version), ("i-1", Some(4)));
}

/// A refusal for its version says that a replica has passed the one expected, and no more than that.
#[test]
fn a_refusal_for_its_version_tells_of_the_next_one_only() {
    let mut dispatcher = overlapping(&[1_000.0, 2_000.0]);
    dispatcher.update_replica(later(2, 2, 2, peer::ReplicaState::Draining));
    let mut expected = Vec::new();
    for step in 0..4 {
        let now = START + 2_100.0 + f64::from(step) * 500.0;
        let mut ask = prompt("a:1");
        ask.deadline = now + 5_000.0;
        let (mut call, target) = sent(&mut dispatcher, ask, now);
        expected.push(target.version);
        dispatcher.ended(&mut call, target.replica, Outcome::OtherVersion, now);
    }
    assert_eq!(expected, [Some(1), Some(2), Some(3), Some(4)]);
}

#[test]
fn a_request_has_to_begin_before_the_first_bound_above_its_version() {
    let dispatcher = overlapping(&[3_400.0]);
    let now = START + 4_000.0;
    assert_eq!(dispatcher.begin_by("m", 1, now), START + BOUND - 200.0);
    assert_eq!(dispatcher.begin_by("m", 2, now), START + 3_400.0 + BOUND - 200.0);
    assert_eq!(dispatcher.begin_by("m", 3, now), now + BOUND - 200.0, "one may be named at any moment");
}

/// What was taken back may have begun: it goes elsewhere only if it may be repeated, and says nothing of the replica.
#[test]
fn what_is_taken_back_is_in_doubt() {
    for (is_idempotent, repeated) in [(true, true), (false, false)] {
        let mut dispatcher = dispatcher(3);
        let (mut call, target) = sent(&mut dispatcher, ask(is_idempotent, 2), START);
        let next = dispatcher.ended(&mut call, target.replica, Outcome::Outdated, START);
        assert_eq!(next == Next::Repeat, repeated);
        assert!(call.is_in_doubt());
        if !repeated {
            assert_eq!(last(next).status, 502);
        }
    }
}

/// A controller sees in a report that a replica has moved, and tells it with the number of the heartbeat before.
#[test]
fn newer_weights_are_taken_in_also_with_a_heartbeat_that_is_known() {
    let mut dispatcher = dispatcher(1);
    dispatcher.update_replica(record(2, 2));
    named(&mut dispatcher, 2, START);
    dispatcher.update_replica(record(1, 2));
    let used = (0..40).map(|number| {
        let ask = patient(&format!("{number:x}:1"));
        answered(&mut dispatcher, ask, START + DUE + 10.0).id
    });
    let used: std::collections::BTreeSet<_> = used.collect();
    assert_eq!(used.len(), 2, "{used:?}");
}

/// Guards against incident VERSION (12 of 48): a proxy sends for good to a replica that has gone back to older weights.
#[test]
fn a_later_record_that_tells_older_weights_is_believed() {
    let mut dispatcher = dispatcher(1);
    named(&mut dispatcher, 2, START);
    dispatcher.update_replica(later(1, 2, 4, peer::ReplicaState::Ready));
    dispatcher.update_replica(later(2, 2, 4, peer::ReplicaState::Ready));
    dispatcher.update_replica(later(1, 1, 5, peer::ReplicaState::Ready));
    for number in 0..40 {
        let ask = patient(&format!("{number:x}:1"));
        let target = answered(&mut dispatcher, ask, START + DUE + 10.0);
        assert_eq!((&*target.id, target.version), ("i-2", Some(2)));
    }
}

/// An older record of the same replica takes nothing back.
#[test]
fn an_older_record_takes_no_weights_back() {
    let mut dispatcher = dispatcher(0);
    dispatcher.update_replica(later(1, 2, 5, peer::ReplicaState::Ready));
    dispatcher.update_replica(later(1, 1, 4, peer::ReplicaState::Ready));
    named(&mut dispatcher, 2, START);
    let ask = patient("a:1");
    assert_eq!(sent(&mut dispatcher, ask, START + 10.0).1.version, Some(2));
}

/// A proxy that takes a replica for newer than it is asks it for what it has after one refusal.
#[test]
fn a_belief_that_is_too_new_is_given_up_when_it_is_refused() {
    let mut dispatcher = dispatcher(1);
    named(&mut dispatcher, 2, START);
    let replica = dispatcher.replica_number("i-1").expect("known");
    dispatcher.hear_version(replica, "m", 2);
    let mut expected = Vec::new();
    for step in 0..2 {
        let now = START + 100.0 + f64::from(step) * 600.0;
        let (mut call, target) = sent(&mut dispatcher, prompt("a:1"), now);
        expected.push(target.version);
        dispatcher.ended(&mut call, target.replica, Outcome::OtherVersion, now);
    }
    assert_eq!(expected, [Some(2), Some(1)]);
}

/// Answers on different connections pass each other: one that began before the move says nothing of what is there now.
#[test]
fn an_answer_that_comes_late_takes_no_weights_back() {
    let mut dispatcher = dispatcher(1);
    named(&mut dispatcher, 2, START);
    let replica = dispatcher.replica_number("i-1").expect("known");
    dispatcher.hear_version(replica, "m", 2);
    dispatcher.hear_version(replica, "m", 1);
    assert_eq!(sent(&mut dispatcher, prompt("a:1"), START + 10.0).1.version, Some(2));
}
