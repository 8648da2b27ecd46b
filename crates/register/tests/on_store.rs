//! A machine of the group with a real store: what it answered is there after a restart.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;

use register::record::Entry;
use register::{
    Decision, Effect, Identity, Input, Outcome, RegisterKey, RegisterNode, RequestId, StoredState, Value,
};
use store::Store;

const ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 1), 7640);
const DEADLINE: u64 = 1_000_000;

struct Machine {
    node: RegisterNode,
    store: Store,
    answers: Vec<Outcome>,
    now: u64,
}

impl Machine {
    /// The only machine of its group.
    fn start(folder: &Path, first_start: bool) -> Machine {
        let (store, entries) = Store::open(folder).expect("opens");
        let entries = entries.into_iter().map(|entry| Entry { slot: entry.slot, bytes: Value(entry.bytes) });
        let stored = StoredState::from_entries(entries).expect("whole");
        let seed = if first_start { 1 } else { 2 };
        let node =
            RegisterNode::recover(stored, Identity { address: ADDRESS }, &[ADDRESS], first_start, seed);
        Machine { node, store, answers: Vec::new(), now: 1_000 }
    }

    fn step(&mut self, input: Input) {
        self.now += 1;
        let mut effects = Vec::new();
        self.node.step(self.now, input, &mut effects);
        for effect in effects {
            match effect {
                Effect::Write { token, record } => {
                    let entry = |entry: Entry| store::Entry { slot: entry.slot, bytes: entry.bytes.0 };
                    let entries: Vec<store::Entry> = record.entries.into_iter().map(entry).collect();
                    self.store.write(&entries).expect("writes");
                    self.step(Input::DiskDone { token, result: Ok(()) });
                }
                Effect::Answer { outcome, .. } => self.answers.push(outcome),
                _ => {}
            }
        }
    }

    fn change(&mut self, value: Vec<u8>) -> Outcome {
        let value = Value::from(value);
        let decide = Box::new(move |_: Option<&register::Accepted>| Decision::Write(value.clone()));
        let (request, key) = (RequestId(1), RegisterKey::Configuration);
        self.step(Input::Propose { request, key, deadline: DEADLINE, decide });
        self.answers.pop().expect("answered")
    }

    fn read(&mut self) -> Vec<u8> {
        self.step(Input::Read { request: RequestId(2), key: RegisterKey::Configuration, deadline: DEADLINE });
        match self.answers.pop() {
            Some(Outcome::Read { current: Some(current) }) => current.value.bytes().to_vec(),
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn changes_are_there_after_each_restart() {
    let folder = tempfile::tempdir().expect("folder");
    for round in 0..4_u8 {
        let mut machine = Machine::start(folder.path(), round == 0);
        let expected = vec![round; 100_000 * (4 - usize::from(round))];
        if round > 0 {
            assert_eq!(machine.read()[0], round - 1);
        }
        assert!(matches!(machine.change(expected.clone()), Outcome::Decided { .. }));
        assert_eq!(machine.read(), expected);
    }
}
