//! What a measurement switches off is off, and nothing else.

mod support;

use dispatch::{CostModel, Dispatcher, Engine, Mechanism, Mechanisms, Outcome, Store};
use rstest::rstest;
use std::collections::HashSet;
use support::*;

/// Proxies of one fleet that know nothing, without one mechanism; the replicas that each chooses for the same start.
fn chosen(off: &[Mechanism]) -> HashSet<String> {
    let choose = |seed| {
        let mut dispatcher = Dispatcher::new(BOUNDS, 1 << 20, seed, 0.0);
        dispatcher.set_mechanisms(Mechanisms::without(off));
        (1..=9).for_each(|number| dispatcher.update_replica(record(number, 1)));
        sent(&mut dispatcher, prompt(&format!("aa:9000,{seed}:10")), START).1.id.to_string()
    };
    (0..20).map(choose).collect()
}

#[test]
fn without_homes_proxies_do_not_meet() {
    assert_eq!(chosen(&[]).len(), 1);
    assert_eq!(chosen(&[Mechanism::Twins, Mechanism::Stores]).len(), 1);
    assert!(chosen(&[Mechanism::Homes]).len() > 3);
}

#[rstest]
#[case::none(&[], true)]
#[case::stores(&[Mechanism::Stores], false)]
#[case::another(&[Mechanism::Homes], true)]
fn without_stores_nothing_is_saved(#[case] off: &[Mechanism], #[case] expected: bool) {
    let mut dispatcher = dispatcher(2);
    let engine = Engine { token_bytes: 163_840.0, link_mbps: 1_100_000.0 };
    let store = Store { address: "10.0.9.9:8000".parse().expect("one"), zone: "a".into(), link_mbps: 1e5 };
    dispatcher.set_moves([(String::from("s"), engine)].into(), vec![store]);
    dispatcher.set_mechanisms(Mechanisms::without(off));
    let (_, target) = sent(&mut dispatcher, prompt("aa:5000,b1:10"), START);
    assert_eq!((target.save.is_some(), target.fetch.is_some()), (expected, expected));
}

#[rstest]
#[case::none(&[], true)]
#[case::full_marks(&[Mechanism::FullMarks], false)]
#[case::another(&[Mechanism::Avoidance], true)]
fn without_full_marks_a_replica_that_was_full_is_asked_again(
    #[case] off: &[Mechanism],
    #[case] expected: bool,
) {
    let mut dispatcher = dispatcher(1);
    dispatcher.set_mechanisms(Mechanisms::without(off));
    let (mut call, target) = sent(&mut dispatcher, prompt("a:1"), START);
    dispatcher.ended(&mut call, target.replica, FULL, START);
    let mut next = dispatcher.begin(prompt("b:1"), START);
    assert_eq!(dispatcher.send(&mut next, START).is_err(), expected);
}

#[rstest]
#[case::none(&[], false)]
#[case::avoidance(&[Mechanism::Avoidance], true)]
fn without_avoidance_a_replica_out_of_reach_is_tried_again(
    #[case] off: &[Mechanism],
    #[case] expected: bool,
) {
    let mut dispatcher = dispatcher(2);
    dispatcher.set_mechanisms(Mechanisms::without(off));
    let (mut call, lost) = sent(&mut dispatcher, prompt("a:1"), START);
    dispatcher.ended(&mut call, lost.replica, Outcome::Unreached, START);
    let tries = (0..40).map(|n| answered(&mut dispatcher, prompt(&format!("c{n}:1")), START).replica);
    assert_eq!(tries.filter(|replica| *replica == lost.replica).count() > 0, expected);
}

#[test]
fn without_the_slack_a_target_changes_nothing() {
    let without = Mechanisms::without(&[Mechanism::TargetSlack]);
    assert_eq!(CostModel::new(Some(800.0), without), CostModel::new(None, without));
    assert_ne!(CostModel::new(Some(800.0), Mechanisms::default()), CostModel::new(None, without));
}

#[test]
fn mechanisms_are_named_as_on_the_command_line() {
    assert_eq!("store-admission".parse(), Ok(Mechanism::StoreAdmission));
    assert!("StoreAdmission".parse::<Mechanism>().is_err());
}
