//! Versions of a model's weights that are named before the move to the one before is over.

mod support;

use dispatch::Ms;
use support::*;

/// The time to move to a named version in these tests' bounds, ms.
const BOUND: Ms = 6_000.0;
/// Nothing goes to older weights from this part of the bound on.
const DUE: Ms = 0.7 * BOUND;

/// Replica `i-1` has version 1, `i-2` version 2; version 2 was named at `START`, and others after it in these steps.
fn overlapping(steps: &[Ms]) -> dispatch::Dispatcher {
    let mut dispatcher = dispatcher(1);
    dispatcher.update_replica(record(2, 2));
    dispatcher.name_version("m", 2, START);
    for (step, version) in steps.iter().zip(3..) {
        dispatcher.name_version("m", version, START + step);
    }
    dispatcher
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
            let mut ask = prompt(&format!("{number:x}:1"));
            ask.deadline = START + 20_000.0;
            let target = answered(&mut dispatcher, ask, START + DUE + 10.0);
            assert_eq!((&*target.id, target.version), ("i-2", Some(2)), "after {steps:?}");
        }
    }
}
