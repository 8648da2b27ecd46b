//! Every order of messages, writes and one crash, for small cases of the real [`RegisterNode`].
//!
//! The explorer replays a machine's inputs from its start, since nodes can't be copied. Machines are deterministic, so a
//! state of the whole is told by what each machine was given, in order: two schedules that differ only in the order of
//! inputs of different machines lead to the same state, which is looked at once. A message that is never delivered is one
//! that was lost, so each invariant is checked in every state and losses need no choice of their own.
//!
//! CI looks at a bounded number of states of each case; `EXHAUSTIVE=states` raises the bound. The output says whether a
//! case was looked at whole.

use std::collections::{BTreeMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{Ipv4Addr, SocketAddrV4};

use register::message::{decode, encode};
use register::record::{Entry, StoredState};
use register::{
    Accepted, Decision, Effect, Identity, Input, Outcome, RegisterKey, RegisterMessage, RegisterNode,
    RequestId, Value, WriteToken,
};
use rstest::rstest;

const KEY: RegisterKey = RegisterKey::Configuration;
const MACHINES: usize = 3;
const MAJORITY: usize = 2;
/// Requests end after this; nothing else happens that late.
const DEADLINE: u64 = 10_000;
/// Upkeep runs then, which is not part of these cases; waits after a refusal are shorter.
const UPKEEP_AT: u64 = 300;
const STATES_IN_CI: usize = 30_000;

/// What may happen next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// A caller of a machine wants its own value written where there is none.
    Propose {
        machine: usize,
    },
    /// A caller of a machine wants to read.
    Read {
        machine: usize,
    },
    Deliver {
        to: usize,
        from: usize,
        bytes: Vec<u8>,
    },
    Written {
        machine: usize,
        token: u64,
    },
    /// Power goes and comes back at once; writes under way are lost.
    Crash {
        machine: usize,
    },
    /// The machine's clock reaches the end of a wait.
    Wake {
        machine: usize,
    },
}

/// What a case allows.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    proposers: usize,
    readers: usize,
    crashes: usize,
    wakes: usize,
    /// Writes end by a step of their own, in place of at once.
    slow_disks: bool,
}

struct Host {
    node: RegisterNode,
    now: u64,
    entries: BTreeMap<u16, Value>,
    writes: BTreeMap<u64, Vec<Entry>>,
    life: u64,
    /// Tells what the machine was given so far, in order.
    given: u64,
}

/// One state, and what led to it.
struct State {
    hosts: Vec<Host>,
    /// Messages on their way.
    flying: Vec<Step>,
    answers: BTreeMap<u64, Outcome>,
    /// For each reader: the value that was decided before it asked.
    decided_before: BTreeMap<u64, Option<Value>>,
    crashes: usize,
    wakes: usize,
    bounds: Bounds,
    asked: HashSet<Step>,
}

fn address(machine: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, machine as u8 + 1), 7640)
}

fn machine_at(address: SocketAddrV4) -> usize {
    usize::from(address.ip().octets()[3] - 1)
}

fn value_of(machine: usize) -> Value {
    Value::from(vec![machine as u8 + 1])
}

fn is_of_rounds(message: &RegisterMessage) -> bool {
    use RegisterMessage::{Accept, Accepted, Prepare, Promise, Query, QueryReply, Refused};
    matches!(
        message,
        Prepare { .. }
            | Promise { .. }
            | Accept { .. }
            | Accepted { .. }
            | Query { .. }
            | QueryReply { .. }
            | Refused { .. }
    )
}

impl State {
    fn first(bounds: Bounds) -> State {
        let hosts = (0..MACHINES).map(|machine| Host {
            node: recovered(machine, None, 0),
            now: 0,
            entries: BTreeMap::new(),
            writes: BTreeMap::new(),
            life: 0,
            given: 0,
        });
        let mut state = State {
            hosts: hosts.collect(),
            flying: Vec::new(),
            answers: BTreeMap::new(),
            decided_before: BTreeMap::new(),
            crashes: 0,
            wakes: 0,
            bounds,
            asked: HashSet::new(),
        };
        for machine in 0..MACHINES {
            state.start(machine);
        }
        state
    }

    /// The upkeep of the start: its messages, reads of all registers among them, are lost; its writes end at once.
    fn start(&mut self, machine: usize) {
        let on_their_way = self.flying.len();
        self.give(machine, Input::Tick);
        self.end_writes(machine);
        self.flying.truncate(on_their_way);
    }

    fn end_writes(&mut self, machine: usize) {
        while let Some(token) = self.hosts[machine].writes.keys().next().copied() {
            self.end_write(machine, token);
        }
    }

    fn end_write(&mut self, machine: usize, token: u64) {
        let entries = self.hosts[machine].writes.remove(&token).expect("it is under way");
        self.hosts[machine].entries.extend(entries.into_iter().map(|entry| (entry.slot, entry.bytes)));
        self.give(machine, Input::DiskDone { token: WriteToken(token), result: Ok(()) });
    }

    fn give(&mut self, machine: usize, input: Input) {
        let host = &mut self.hosts[machine];
        let mut effects = Vec::new();
        host.node.step(host.now, input, &mut effects);
        for effect in effects {
            match effect {
                Effect::Send { to, message } if is_of_rounds(&message) => {
                    let (to, bytes) = (machine_at(to), encode(&message));
                    self.flying.push(Step::Deliver { to, from: machine, bytes });
                }
                Effect::Write { token, record } => {
                    self.hosts[machine].writes.insert(token.0, record.entries);
                }
                Effect::Answer { request, outcome } => {
                    self.answers.insert(request.0, outcome);
                }
                _ => {}
            }
        }
        if !self.bounds.slow_disks {
            self.end_writes(machine);
        }
    }

    fn take(&mut self, step: &Step) {
        let machine = match step {
            Step::Propose { machine }
            | Step::Read { machine }
            | Step::Written { machine, .. }
            | Step::Crash { machine }
            | Step::Wake { machine }
            | Step::Deliver { to: machine, .. } => *machine,
        };
        let mut hasher = DefaultHasher::new();
        (self.hosts[machine].given, step).hash(&mut hasher);
        self.hosts[machine].given = hasher.finish();
        match step {
            Step::Propose { machine } => {
                self.asked.insert(step.clone());
                let value = value_of(*machine);
                let decide = Box::new(move |current: Option<&Accepted>| match current {
                    None => Decision::Write(value.clone()),
                    Some(_) => Decision::Keep,
                });
                let request = RequestId(*machine as u64);
                let input = Input::Propose { request, key: KEY, deadline: DEADLINE, decide };
                self.give(*machine, input);
            }
            Step::Read { machine } => {
                self.asked.insert(step.clone());
                let request = 100 + *machine as u64;
                self.decided_before.insert(request, self.decided());
                let input = Input::Read { request: RequestId(request), key: KEY, deadline: DEADLINE };
                self.give(*machine, input);
            }
            Step::Deliver { to, from, bytes } => {
                let place = self.flying.iter().position(|flying| flying == step).expect("it is on its way");
                self.flying.remove(place);
                let (message, _) = decode(bytes).expect("it was encoded here");
                self.give(*to, Input::Received { from: address(*from), message });
            }
            Step::Written { machine, token } => self.end_write(*machine, *token),
            Step::Crash { machine } => self.crash(*machine),
            Step::Wake { machine } => {
                self.wakes += 1;
                self.hosts[*machine].now = self.hosts[*machine].node.wake_at();
                self.give(*machine, Input::Tick);
            }
        }
    }

    fn crash(&mut self, machine: usize) {
        self.crashes += 1;
        let host = &mut self.hosts[machine];
        host.writes.clear();
        host.life += 1;
        host.now = 0;
        host.node = recovered(machine, stored(host), host.life);
        self.start(machine);
    }

    /// What may happen next.
    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        let proposals = (0..self.bounds.proposers).map(|machine| Step::Propose { machine });
        // Readers ask at the last machines, so that with three each machine has a caller.
        let reads = (0..self.bounds.readers).map(|reader| Step::Read { machine: MACHINES - 1 - reader });
        steps.extend(proposals.chain(reads).filter(|step| !self.asked.contains(step)));
        let mut seen = HashSet::new();
        steps.extend(self.flying.iter().filter(|step| seen.insert(*step)).cloned());
        for (machine, host) in self.hosts.iter().enumerate() {
            steps.extend(host.writes.keys().map(|token| Step::Written { machine, token: *token }));
            if self.crashes < self.bounds.crashes && !self.asked.is_empty() {
                steps.push(Step::Crash { machine });
            }
            if self.wakes < self.bounds.wakes && host.node.wake_at() < UPKEEP_AT {
                steps.push(Step::Wake { machine });
            }
        }
        steps
    }

    /// Names the state.
    fn name(&self) -> u128 {
        let given: Vec<u64> = self.hosts.iter().map(|host| host.given).collect();
        let half = |seed: u8| {
            let mut hasher = DefaultHasher::new();
            (seed, &given).hash(&mut hasher);
            u128::from(hasher.finish())
        };
        half(1) << 64 | half(2)
    }

    /// The value that some caller was told to be decided.
    fn decided(&self) -> Option<Value> {
        self.answers.values().find_map(|outcome| match outcome {
            Outcome::Decided { current, .. } | Outcome::Kept { current: Some(current) } => {
                Some(current.value.clone())
            }
            Outcome::Read { current: Some(current) } => Some(current.value.clone()),
            _ => None,
        })
    }

    fn check(&self) -> Result<(), String> {
        let confirmed = |outcome: &&Outcome| matches!(outcome, Outcome::Decided { .. });
        let confirmations = self.answers.values().filter(confirmed).count();
        if confirmations > 1 {
            return Err(format!("{confirmations} callers were confirmed on the same value"));
        }
        let Some(decided) = self.decided() else { return Ok(()) };
        for outcome in self.answers.values() {
            let shown = match outcome {
                Outcome::Decided { current, .. } => Some(&current.value),
                Outcome::Kept { current } | Outcome::Read { current } => {
                    current.as_ref().map(|current| &current.value)
                }
                _ => None,
            };
            if shown.is_some_and(|shown| *shown != decided) {
                return Err(format!("callers were shown {shown:?} and {decided:?}"));
            }
        }
        for (request, before) in &self.decided_before {
            if let (Some(before), Some(Outcome::Read { current })) = (before, self.answers.get(request)) {
                if current.as_ref().map(|current| &current.value) != Some(before) {
                    return Err(format!("a read that began after {before:?} was told shows {current:?}"));
                }
            }
        }
        self.check_disks(&decided)
    }

    /// Of every majority of the disks, the highest acceptance is the decided value: whatever is lost besides, it stays.
    fn check_disks(&self, decided: &Value) -> Result<(), String> {
        for lost in 0..MACHINES {
            let left = self.hosts.iter().enumerate().filter(|(machine, _)| *machine != lost);
            let accepted: Vec<Accepted> =
                left.filter_map(|(_, host)| stored(host)?.registers[KEY.index()].accepted.clone()).collect();
            let highest = accepted.into_iter().max_by_key(|accepted| accepted.ballot);
            if highest.as_ref().map(|highest| &highest.value) != Some(decided) {
                return Err(format!("without machine {lost} the disks of {MAJORITY} show {highest:?}"));
            }
        }
        Ok(())
    }
}

fn stored(host: &Host) -> Option<StoredState> {
    let entries = host.entries.iter().map(|(slot, bytes)| Entry { slot: *slot, bytes: bytes.clone() });
    StoredState::from_entries(entries).expect("whole entries")
}

fn recovered(machine: usize, stored: Option<StoredState>, life: u64) -> RegisterNode {
    let seeds: Vec<SocketAddrV4> = (0..MACHINES).map(address).collect();
    let identity = Identity { address: address(machine) };
    RegisterNode::recover(stored, identity, &seeds, true, 1_000 * (machine as u64 + 1) + life)
}

fn replayed(bounds: Bounds, path: &[Step]) -> State {
    let mut state = State::first(bounds);
    path.iter().for_each(|step| state.take(step));
    state
}

/// What was looked at.
#[derive(Debug, Default)]
struct Explored {
    states: usize,
    is_whole: bool,
    confirmed: usize,
    deepest: usize,
}

fn explore(bounds: Bounds, most: usize) -> Explored {
    let mut explored = Explored { is_whole: true, ..Explored::default() };
    let mut seen = HashSet::new();
    let mut waiting: Vec<Vec<Step>> = vec![Vec::new()];
    while let Some(path) = waiting.pop() {
        let state = replayed(bounds, &path);
        if !seen.insert(state.name()) {
            continue;
        }
        if let Err(why) = state.check() {
            panic!("{why}, after {} steps:\n{path:#?}", path.len());
        }
        explored.states += 1;
        explored.deepest = explored.deepest.max(path.len());
        explored.confirmed += usize::from(state.decided().is_some());
        if explored.states >= most {
            explored.is_whole = false;
            break;
        }
        for step in state.steps() {
            waiting.push(path.iter().cloned().chain([step]).collect());
        }
    }
    explored
}

fn most_states() -> usize {
    let told = std::env::var("EXHAUSTIVE").ok().and_then(|text| text.parse().ok());
    told.unwrap_or(STATES_IN_CI)
}

#[rstest]
#[case::one_caller_a_crash_and_slow_disks(Bounds { proposers: 1, readers: 0, crashes: 1, wakes: 0, slow_disks: true })]
#[case::one_caller_and_a_reader(Bounds { proposers: 1, readers: 1, crashes: 0, wakes: 0, slow_disks: false })]
#[case::one_caller_a_reader_and_a_crash(Bounds { proposers: 1, readers: 1, crashes: 1, wakes: 0, slow_disks: false })]
#[case::two_callers(Bounds { proposers: 2, readers: 0, crashes: 0, wakes: 0, slow_disks: false })]
#[case::two_callers_that_try_again(Bounds { proposers: 2, readers: 0, crashes: 0, wakes: 1, slow_disks: false })]
#[case::two_callers_and_a_crash(Bounds { proposers: 2, readers: 0, crashes: 1, wakes: 0, slow_disks: false })]
fn one_value_is_confirmed_and_stays(#[case] bounds: Bounds) {
    let explored = explore(bounds, most_states());
    println!("{bounds:?}: {explored:?}");
    assert!(explored.confirmed > 0, "some order confirms a value");
}
