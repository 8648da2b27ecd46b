//! A register node as a machine of the simulated world.

use std::net::SocketAddrV4;

use register::message::{decode, encode};
use register::record::{Entry, StoredState};
use register::{
    Accepted, Decide, Decision, Effect, Identity, Input, Outcome, RegisterKey, RegisterMessage, RegisterNode,
    RequestId, Value, WriteFailed, WriteToken,
};
use simulation::{Action, Boot, Entries, Event, Machine, Millis};

/// Names a value; 0 stands for none.
pub type ValueId = u64;

/// What a test asks of a machine.
pub enum Request {
    Change {
        operation: usize,
        key: RegisterKey,
        deadline: Millis,
        expected: ValueId,
        new: ValueId,
    },
    Read {
        operation: usize,
        key: RegisterKey,
        deadline: Millis,
    },
    Suspect {
        address: SocketAddrV4,
    },
    Reach {
        address: SocketAddrV4,
    },
    /// That machine said that it ends.
    Left {
        address: SocketAddrV4,
    },
    /// This machine is to end.
    Leave,
}

/// How an operation ended, in ids of values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    Done,
    Conflict(ValueId),
    Read(ValueId),
    Unclear,
    NotDone,
}

/// What a machine tells the test.
pub enum Report {
    Ended { operation: usize, seen: Seen },
    Learned { key: RegisterKey, value: ValueId },
}

/// What a machine starts with besides its disk.
#[derive(Clone)]
pub struct Settings {
    pub seeds: Vec<SocketAddrV4>,
    pub first_start: bool,
}

pub struct RegisterMachine {
    pub node: RegisterNode,
}

/// The bytes of a value; every seventh is longer than a packet.
pub fn value_of(id: ValueId) -> Value {
    let mut bytes = id.to_le_bytes().to_vec();
    if id % 7 == 0 {
        bytes.resize(3_000, 7);
    }
    Value::from(bytes)
}

fn id_of(accepted: Option<&Accepted>) -> ValueId {
    let Some(accepted) = accepted else { return 0 };
    let bytes = accepted.value.bytes()[..8].try_into().expect("values have an id");
    u64::from_le_bytes(bytes)
}

fn change(expected: ValueId, new: ValueId) -> Decide {
    Box::new(
        move |current| {
            if id_of(current) == expected {
                Decision::Write(value_of(new))
            } else {
                Decision::Keep
            }
        },
    )
}

fn seen(outcome: &Outcome) -> Seen {
    match outcome {
        Outcome::Decided { .. } => Seen::Done,
        Outcome::Kept { current } => Seen::Conflict(id_of(current.as_ref())),
        Outcome::Read { current } => Seen::Read(id_of(current.as_ref())),
        Outcome::Unclear => Seen::Unclear,
        Outcome::NoMajority | Outcome::Overloaded | Outcome::TooLong | Outcome::Reserved => Seen::NotDone,
    }
}

/// The state on a disk.
pub fn stored_state(entries: Entries) -> Option<StoredState> {
    let entry = |(slot, bytes)| Entry { slot, bytes: Value(bytes) };
    StoredState::from_entries(entries.into_iter().map(entry)).expect("disks of the world are whole")
}

impl Machine for RegisterMachine {
    type Message = RegisterMessage;
    type Request = Request;
    type Report = Report;
    type Settings = Settings;

    fn start(settings: &Settings, boot: Boot) -> RegisterMachine {
        let stored = stored_state(boot.stored);
        let identity = Identity { address: boot.address };
        let node = RegisterNode::recover(stored, identity, &settings.seeds, settings.first_start, boot.seed);
        RegisterMachine { node }
    }

    fn wake_at(&self) -> Millis {
        self.node.wake_at()
    }

    fn step(&mut self, now: Millis, event: Event<Self>, actions: &mut Vec<Action<Self>>) {
        let input = match event {
            Event::Message { from, message } => Input::Received { from, message },
            Event::Written { token, is_done } => {
                let result = if is_done { Ok(()) } else { Err(WriteFailed::Failed) };
                Input::DiskDone { token: WriteToken(token), result }
            }
            Event::Wake => Input::Tick,
            Event::Request(request) => input_of(request),
        };
        let mut effects = Vec::new();
        self.node.step(now, input, &mut effects);
        actions.extend(effects.into_iter().filter_map(action_of));
    }
}

fn input_of(request: Request) -> Input {
    match request {
        Request::Change { operation, key, deadline, expected, new } => {
            let request = RequestId(operation as u64);
            Input::Propose { request, key, deadline, decide: change(expected, new) }
        }
        Request::Read { operation, key, deadline } => {
            Input::Read { request: RequestId(operation as u64), key, deadline }
        }
        Request::Suspect { address } => Input::PeerSuspected { address },
        Request::Reach { address } => Input::PeerReachable { address },
        Request::Left { address } => Input::PeerLeft { address },
        Request::Leave => Input::Leave,
    }
}

fn action_of(effect: Effect) -> Option<Action<RegisterMachine>> {
    match effect {
        Effect::Send { to, message } => {
            let bytes = encode(&message);
            let (message, length) = decode(&bytes).expect("messages decode");
            assert_eq!(length, bytes.len());
            Some(Action::Send { to, message })
        }
        Effect::Write { token, record } => {
            let entries = record.entries.into_iter().map(|entry| (entry.slot, entry.bytes.0)).collect();
            Some(Action::Write { token: token.0, entries })
        }
        Effect::Answer { request, outcome } => {
            Some(Action::Report(Report::Ended { operation: request.0 as usize, seen: seen(&outcome) }))
        }
        Effect::Learned { key, value } => {
            Some(Action::Report(Report::Learned { key, value: id_of(Some(&value)) }))
        }
        Effect::SetChanged { .. } => None,
    }
}
