//! An agent's state machine under the test's own clock, without sockets.
#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddrV4};

use agent::machine::{Effect, Input, Machine, Place};
use catalog::Limits;
use links::LinkId;
use peer::{Address, Hello, Message, ReplicaRecord, ReplicaState, Replicas, Role, PROTOCOL};

/// The inner address of a controller.
pub fn controller(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 7640)
}

/// An agent with its clock.
pub struct Bench {
    pub machine: Machine,
    pub now: u64,
}

impl Bench {
    pub fn new() -> Bench {
        let seeds = vec![controller(1), controller(2), controller(3)];
        let place = Place { machine: "edge-1".into(), zone: "east".into() };
        Bench { machine: Machine::new(0, place, seeds, Limits::for_beats(1_200, 2_000)), now: 0 }
    }

    pub fn step(&mut self, input: Input) -> Vec<Effect> {
        let mut out = Vec::new();
        self.machine.step(self.now, input, &mut out);
        out
    }

    pub fn up(&mut self, number: u8) {
        self.step(Input::ControllerUp { controller: controller(number) });
    }

    pub fn down(&mut self, number: u8) {
        self.step(Input::ControllerDown { controller: controller(number) });
    }

    pub fn tell(&mut self, number: u8, message: Message) -> Vec<Effect> {
        self.step(Input::ControllerMessage { controller: controller(number), message })
    }

    pub fn proxy(&mut self, configuration: u64) -> (LinkId, Vec<Message>) {
        let link = LinkId(77);
        let hello = Hello {
            protocol: PROTOCOL,
            role: Role::Proxy,
            machine: "edge-1".into(),
            zone: "north".into(),
            incarnation: 1,
            address: Address::NONE,
            configuration,
        };
        let effects = self.step(Input::ProxyUp { link, hello });
        (link, to_proxy(effects))
    }

    /// Lets a batch reach the proxy, and gives what comes next.
    pub fn flush(&mut self, link: LinkId) -> Vec<Message> {
        let effects = self.step(Input::ProxyFlushed { link });
        to_proxy(effects)
    }
}

/// The messages for the proxy among effects.
pub fn to_proxy(effects: Vec<Effect>) -> Vec<Message> {
    let batches = effects.into_iter().filter_map(|effect| match effect {
        Effect::SendProxy { messages, .. } => Some(messages),
        Effect::SendController { .. } => None,
    });
    batches.flatten().collect()
}

/// Where effects send messages to controllers.
pub fn to_controllers(effects: &[Effect]) -> Vec<SocketAddrV4> {
    let sends = effects.iter().filter_map(|effect| match effect {
        Effect::SendController { to, .. } => Some(*to),
        Effect::SendProxy { .. } => None,
    });
    sends.collect()
}

/// A message on one replica.
pub fn record(id: &str, beat: u64, state: ReplicaState) -> Message {
    let address = SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 1), 8080);
    let mut record = ReplicaRecord::new(id, "reader", address.into(), "north");
    record.beat = beat;
    record.state = state;
    Message::Replicas(Replicas::from(vec![record]))
}
