//! The ordinary path on a network that loses nothing and disks that are quick.

mod network;

use network::Network;
use register::{Decision, Outcome, RegisterKey, Value};

fn write(bytes: &'static [u8]) -> register::Decide {
    Box::new(move |_| Decision::Write(Value::from(bytes)))
}

#[test]
fn a_change_is_decided_and_learned_by_all_machines() {
    let mut network = Network::start(3);
    let outcome = network.propose(0, RegisterKey::Configuration, write(b"one"));
    let Outcome::Decided { version, current } = outcome else { panic!("{outcome:?}") };
    assert_eq!(current.value.bytes(), b"one");
    network.run_for(1_000);
    for machine in 0..3 {
        let learned = network.nodes[machine].learned(RegisterKey::Configuration).expect("learned");
        assert_eq!((learned.origin, learned.value.bytes()), (version, &b"one"[..]), "machine {machine}");
    }
}

#[test]
fn the_function_sees_the_value_before_and_may_keep_it() {
    let mut network = Network::start(3);
    network.propose(0, RegisterKey::Duty, write(b"one"));
    let keep = Box::new(|current: Option<&register::Accepted>| {
        assert_eq!(current.map(|current| current.value.bytes()), Some(&b"one"[..]));
        Decision::Keep
    });
    let outcome = network.propose(1, RegisterKey::Duty, keep);
    let Outcome::Kept { current: Some(current) } = outcome else { panic!("{outcome:?}") };
    assert_eq!(current.value.bytes(), b"one");
    assert!(
        matches!(network.read(2, RegisterKey::Duty), Outcome::Read { current: Some(found) } if found == current)
    );
    assert_eq!(network.read(2, RegisterKey::Weights), Outcome::Read { current: None });
}

#[test]
fn every_small_set_works() {
    for count in [1, 2, 3, 5, 9] {
        let mut network = Network::start(count);
        for machine in 0..count {
            let outcome = network.propose(machine, RegisterKey::Configuration, write(b"any"));
            assert!(matches!(outcome, Outcome::Decided { .. }), "{count}: {outcome:?}");
        }
        network.run_for(1_000);
        let now = network.now;
        let confirmed = network.nodes[0].confirmed_at(now).expect("in contact");
        assert!(now - confirmed < 700, "{count}: {confirmed} at {now}");
    }
}

#[test]
fn a_machine_outside_the_first_set_joins_it() {
    let mut network = Network::start(3);
    network.propose(0, RegisterKey::Configuration, write(b"one"));
    network.add(false);
    network.add(false);
    network.run_for(4_000);
    for machine in 0..5 {
        let set = network.nodes[machine].set().expect("known");
        assert_eq!(set.members.len(), 5, "machine {machine}: {set:?}");
        assert!(network.nodes[machine].is_active(), "machine {machine}");
    }
    let outcome = network.read(4, RegisterKey::Configuration);
    assert!(matches!(outcome, Outcome::Read { current: Some(found) } if found.value.bytes() == b"one"));
}
