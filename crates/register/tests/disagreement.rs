//! A read where the members that are left have accepted in different rounds, and the one that would tell is gone.

mod network;

use network::Network;
use register::{Decision, Outcome, RegisterKey, Value};

const KEY: RegisterKey = RegisterKey::Configuration;

/// One of the two that are left missed the change. The caller's time is as short as an operator's.
#[test]
fn two_that_disagree_do_not_wait_for_the_third() {
    for missed in 1..3 {
        let mut network = Network::start(3);
        network.propose(0, KEY, Box::new(|_| Decision::Write(Value::from(&b"one"[..]))));
        network.run_for(1_000);
        network.cut(missed);
        let outcome = network.propose(0, KEY, Box::new(|_| Decision::Write(Value::from(&b"two"[..]))));
        assert!(matches!(outcome, Outcome::Decided { .. }), "{outcome:?}");
        network.heal();
        network.cut(0);
        for reader in 1..3 {
            let outcome = network.read_within(reader, KEY, 850);
            let Outcome::Read { current: Some(current) } = outcome else {
                panic!("{missed} missed it, {reader} reads: {outcome:?}")
            };
            assert_eq!(current.value.bytes(), b"two");
        }
    }
}
