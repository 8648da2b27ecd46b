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

#[test]
fn a_quiet_group_says_little_and_writes_nothing() {
    const SECONDS: usize = 30;
    let mut network = Network::start(3);
    network.propose(0, RegisterKey::Configuration, write(b"one"));
    network.run_for(2_000);
    let before = (network.messages, network.bytes, network.writes);
    network.run_for(1_000 * SECONDS as u64);
    let messages = (network.messages - before.0) as f64 / SECONDS as f64;
    let bytes = (network.bytes - before.1) as f64 / SECONDS as f64;
    println!("three machines, quiet: {messages:.1} messages and {bytes:.0} bytes a second together");
    assert_eq!(network.writes, before.2);
    assert!((10.0..=21.0).contains(&messages), "{messages}");
    assert!(bytes <= 2_000.0, "{bytes}");
}

#[test]
fn a_change_sends_its_value_once_to_each_other_machine() {
    const LENGTH: usize = 200_000;
    let mut network = Network::start(3);
    network.run_for(1_000);
    let before = (network.messages, network.bytes, network.writes);
    let value = Value::from(vec![7; LENGTH]);
    network.propose(0, RegisterKey::Configuration, Box::new(move |_| Decision::Write(value.clone())));
    network.run_for(100);
    let (messages, bytes) = (network.messages - before.0, network.bytes - before.1);
    let writes = network.writes - before.2;
    println!("a change of {LENGTH} bytes: {messages} messages, {bytes} bytes, {writes} writes");
    assert!((2 * LENGTH..2 * LENGTH + 4_000).contains(&bytes), "{bytes}");
    assert_eq!(writes, 6, "two at each machine");
}

#[test]
fn a_read_sends_no_value_that_the_reader_holds() {
    let mut network = Network::start(3);
    let value = Value::from(vec![7; 200_000]);
    network.propose(0, RegisterKey::Configuration, Box::new(move |_| Decision::Write(value.clone())));
    network.run_for(1_000);
    let before = (network.bytes, network.writes);
    assert!(matches!(network.read(1, RegisterKey::Configuration), Outcome::Read { current: Some(_) }));
    println!("a read: {} bytes", network.bytes - before.0);
    assert!((1..2_000).contains(&(network.bytes - before.0)));
    assert_eq!(network.writes, before.1);
}
