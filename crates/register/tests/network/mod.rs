//! A network without losses for tests of the ordinary path: messages take 1 ms, writes 2 ms.
#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};

use register::message::{decode, encode};
use register::{
    Decide, Effect, Identity, Input, Millis, Outcome, RegisterKey, RegisterMessage, RegisterNode, RequestId,
    WriteToken,
};

const DELAY_MILLIS: Millis = 1;
const WRITE_MILLIS: Millis = 2;
const DEADLINE_MILLIS: Millis = 5_000;

enum Due {
    Message { from: SocketAddrV4, to: usize, message: RegisterMessage },
    Written { machine: usize, token: WriteToken },
}

pub struct Network {
    pub now: Millis,
    pub nodes: Vec<RegisterNode>,
    seeds: Vec<SocketAddrV4>,
    due: BTreeMap<Millis, VecDeque<Due>>,
    answers: BTreeMap<RequestId, Outcome>,
    last_request: u64,
    /// Messages sent between machines.
    pub messages: usize,
    /// Their bytes, without those of the transport.
    pub bytes: usize,
    /// Writes begun.
    pub writes: usize,
    /// A machine that nothing reaches and that reaches nobody.
    cut_off: Option<usize>,
}

pub fn address(machine: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, machine as u8 + 1), 7640)
}

impl Network {
    pub fn start(count: usize) -> Network {
        let seeds: Vec<SocketAddrV4> = (0..count).map(address).collect();
        let (nodes, due, answers) = Default::default();
        let (messages, bytes, writes) = (0, 0, 0);
        let mut network = Network {
            now: 0,
            nodes,
            seeds,
            due,
            answers,
            last_request: 0,
            messages,
            bytes,
            writes,
            cut_off: None,
        };
        for _ in 0..count {
            network.add(true);
        }
        network.run_for(50);
        network
    }

    pub fn add(&mut self, first_start: bool) {
        let machine = self.nodes.len();
        let identity = Identity { address: address(machine) };
        let node = RegisterNode::recover(None, identity, &self.seeds, first_start, machine as u64 + 77);
        self.nodes.push(node);
        self.step(machine, Input::Tick);
    }

    pub fn propose(&mut self, machine: usize, key: RegisterKey, decide: Decide) -> Outcome {
        self.last_request += 1;
        let request = RequestId(self.last_request);
        let deadline = self.now + DEADLINE_MILLIS;
        self.step(machine, Input::Propose { request, key, deadline, decide });
        self.run_until_answer(request)
    }

    /// Cuts one machine off.
    pub fn cut(&mut self, machine: usize) {
        self.cut_off = Some(machine);
    }

    /// Nobody is cut off any more.
    pub fn heal(&mut self) {
        self.cut_off = None;
    }

    pub fn read(&mut self, machine: usize, key: RegisterKey) -> Outcome {
        self.read_within(machine, key, DEADLINE_MILLIS)
    }

    /// A read that is given up after so long.
    pub fn read_within(&mut self, machine: usize, key: RegisterKey, millis: Millis) -> Outcome {
        self.last_request += 1;
        let request = RequestId(self.last_request);
        let deadline = self.now + millis;
        self.step(machine, Input::Read { request, key, deadline });
        self.run_until_answer(request)
    }

    fn run_until_answer(&mut self, request: RequestId) -> Outcome {
        loop {
            if let Some(outcome) = self.answers.remove(&request) {
                return outcome;
            }
            self.run_for(1);
        }
    }

    pub fn run_for(&mut self, millis: Millis) {
        let end = self.now + millis;
        while self.now < end {
            self.now += 1;
            for due in self.due.remove(&self.now).unwrap_or_default() {
                match due {
                    Due::Message { from, to, message } => self.step(to, Input::Received { from, message }),
                    Due::Written { machine, token } => {
                        self.step(machine, Input::DiskDone { token, result: Ok(()) });
                    }
                }
            }
            for machine in 0..self.nodes.len() {
                if self.nodes[machine].wake_at() <= self.now {
                    self.step(machine, Input::Tick);
                }
            }
        }
    }

    fn step(&mut self, machine: usize, input: Input) {
        let mut effects = Vec::new();
        self.nodes[machine].step(self.now, input, &mut effects);
        for effect in effects {
            self.take(machine, effect);
        }
    }

    fn take(&mut self, machine: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                let receiver = (0..self.nodes.len()).find(|other| address(*other) == to);
                let bytes = encode(&message);
                self.messages += 1;
                self.bytes += bytes.len();
                let (message, _) = decode(&bytes).expect("decodes");
                let is_cut = |machine: usize| self.cut_off == Some(machine);
                if let Some(to) = receiver.filter(|to| !is_cut(*to) && !is_cut(machine)) {
                    let due = Due::Message { from: address(machine), to, message };
                    self.due.entry(self.now + DELAY_MILLIS).or_default().push_back(due);
                }
            }
            Effect::Write { token, .. } => {
                self.writes += 1;
                let due = Due::Written { machine, token };
                self.due.entry(self.now + WRITE_MILLIS).or_default().push_back(due);
            }
            Effect::Answer { request, outcome } => {
                self.answers.insert(request, outcome);
            }
            Effect::Learned { .. } | Effect::SetChanged { .. } => {}
        }
    }
}
