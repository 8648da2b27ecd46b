//! A proposer that lost track of an attempt finds out in a later round what became of it.
//!
//! The machine under test proposes; the test answers for the two other acceptors. The machine's own disk hangs,
//! so its own acceptor has no say.

use std::net::{Ipv4Addr, SocketAddrV4};

use register::message::{Call, Refusal, Reply};
use register::value::{Carried, Report, MAX_LINEAGE, MAX_VALUE_BYTES};
use register::{
    Accepted, AcceptorId, Ballot, Decision, Effect, Identity, Input, Outcome, RegisterKey, RegisterMessage,
    RegisterNode, RequestId, Value,
};
use rstest::rstest;

const KEY: RegisterKey = RegisterKey::Configuration;
const DEADLINE: u64 = 5_000;

/// Longer than any wait after a refusal.
const BACK_OFF_MILLIS: u64 = 600;

fn address(last: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, last), 7640)
}

struct Proposer {
    node: RegisterNode,
    now: u64,
    calls: Vec<RegisterMessage>,
    answer: Option<Outcome>,
}

impl Proposer {
    /// Proposes `new` on top of nothing.
    fn start(new: Value) -> Proposer {
        let seeds = [1, 2, 3].map(address);
        let node = RegisterNode::recover(None, Identity { address: address(1) }, &seeds, true, 3);
        let mut proposer = Proposer { node, now: 100, calls: Vec::new(), answer: None };
        let decide = Box::new(move |current: Option<&Accepted>| match current {
            None => Decision::Write(new.clone()),
            Some(_) => Decision::Keep,
        });
        proposer.step(Input::Propose { request: RequestId(1), key: KEY, deadline: DEADLINE, decide });
        proposer
    }

    fn step(&mut self, input: Input) {
        let mut effects = Vec::new();
        self.node.step(self.now, input, &mut effects);
        for effect in effects {
            match effect {
                Effect::Send { to, message } if to == address(2) => self.calls.push(message),
                Effect::Answer { outcome, .. } => self.answer = Some(outcome),
                _ => {}
            }
        }
    }

    fn receive(&mut self, message: impl Fn(AcceptorId) -> RegisterMessage) {
        for last in [2, 3] {
            let message = message(AcceptorId::of_first_start(address(last)));
            self.step(Input::Received { from: address(last), message });
        }
    }

    /// The newest call of the register under test.
    fn call(&mut self) -> Call {
        let call = |message: &RegisterMessage| match message {
            RegisterMessage::Prepare { call, .. } | RegisterMessage::Accept { call, .. } => Some(*call),
            _ => None,
        };
        let calls = std::mem::take(&mut self.calls);
        calls.iter().rev().filter_map(call).find(|call| call.key == KEY).expect("a call")
    }

    fn promise(&mut self, accepted: Option<&Accepted>) -> Ballot {
        self.promise_each([accepted, accepted])
    }

    /// Promises with what the second and the third acceptor have accepted.
    fn promise_each(&mut self, accepted: [Option<&Accepted>; 2]) -> Ballot {
        let call = self.call();
        let second = AcceptorId::of_first_start(address(2));
        self.receive(|from| {
            let report = Report::of(accepted[usize::from(from != second)], Ballot::ZERO);
            RegisterMessage::Promise { reply: reply(from, call), report }
        });
        call.ballot
    }

    fn accept(&mut self) {
        let call = self.call();
        self.receive(|from| RegisterMessage::Accepted { reply: reply(from, call) });
    }

    fn refuse(&mut self) {
        let call = self.call();
        let promised = Ballot { round: call.ballot.round + 5, ..call.ballot };
        let refusal = Refusal::Promised(promised);
        self.receive(|from| RegisterMessage::Refused { reply: reply(from, call), refusal });
        self.calls.clear();
        self.now += BACK_OFF_MILLIS;
        self.step(Input::Tick);
    }

    /// The first attempt is sent to be accepted and lost track of; returns its ballot.
    fn lose_attempt(&mut self) -> Ballot {
        let attempt = self.promise(None);
        self.refuse();
        attempt
    }
}

fn reply(from: AcceptorId, call: Call) -> Reply {
    Reply { from, key: call.key, ballot: call.ballot }
}

/// The ballot of another proposer, `rounds` after `ballot`.
fn later(ballot: Ballot, rounds: u64) -> Ballot {
    Ballot { round: ballot.round + rounds, proposer: 1, ..ballot }
}

fn value(origin: Ballot, lineage: Vec<Ballot>) -> Accepted {
    Accepted { ballot: later(origin, 1), origin, lineage, value: Value::from(b"other".as_slice()) }
}

/// `count` ballots after `ballot`, newest first.
fn ballots_after(ballot: Ballot, count: usize) -> Vec<Ballot> {
    (1..=count as u64).rev().map(|rounds| later(ballot, rounds)).collect()
}

fn new_value() -> Value {
    Value::from(b"new".as_slice())
}

#[test]
fn an_attempt_that_is_the_current_value_took_effect() {
    let mut proposer = Proposer::start(new_value());
    let attempt = proposer.lose_attempt();
    let own = Accepted { ballot: attempt, origin: attempt, lineage: Vec::new(), value: new_value() };
    proposer.promise_each([Some(&own), None]);
    assert_eq!(proposer.answer, None, "one acceptor is no majority");
    proposer.accept();
    let outcome = proposer.answer.expect("answered");
    assert!(matches!(outcome, Outcome::Decided { version, .. } if version == attempt), "{outcome:?}");
}

#[test]
fn an_attempt_that_a_majority_has_accepted_took_effect_without_another_round() {
    let mut proposer = Proposer::start(new_value());
    let attempt = proposer.lose_attempt();
    let own = Accepted { ballot: attempt, origin: attempt, lineage: Vec::new(), value: new_value() };
    proposer.promise(Some(&own));
    let outcome = proposer.answer.expect("answered");
    assert!(matches!(outcome, Outcome::Decided { version, .. } if version == attempt), "{outcome:?}");
}

#[test]
fn an_attempt_in_the_lineage_took_effect_once_its_successor_is_confirmed() {
    let mut proposer = Proposer::start(new_value());
    let attempt = proposer.lose_attempt();
    let successor = value(later(attempt, 2), vec![later(attempt, 1), attempt]);
    proposer.promise_each([None, Some(&successor)]);
    assert_eq!(proposer.answer, None, "the successor may never be decided");
    proposer.accept();
    let Some(Outcome::Decided { version, current }) = proposer.answer else { panic!("not decided") };
    assert_eq!((version, current.origin), (attempt, later(attempt, 2)));
}

#[rstest]
#[case::short_lineage(1)]
#[case::lineage_from_before_the_attempt(MAX_LINEAGE - 1)]
fn an_attempt_that_others_went_past_did_not_take_effect(#[case] changes_since: usize) {
    let mut proposer = Proposer::start(new_value());
    let attempt = proposer.lose_attempt();
    let mut lineage = ballots_after(attempt, changes_since);
    lineage.push(Ballot { round: 0, ..attempt });
    let origin = later(attempt, changes_since as u64 + 1);
    proposer.promise(Some(&value(origin, lineage)));
    assert_eq!(proposer.answer, None, "the attempt may be accepted until the other value is confirmed");
    proposer.accept();
    let Some(Outcome::Kept { current: Some(current) }) = proposer.answer else { panic!("not kept") };
    assert_eq!(current.origin, origin);
}

#[test]
fn an_attempt_from_before_the_lineage_stays_unclear() {
    let mut proposer = Proposer::start(new_value());
    let attempt = proposer.lose_attempt();
    let origin = later(attempt, MAX_LINEAGE as u64 + 1);
    proposer.promise(Some(&value(origin, ballots_after(attempt, MAX_LINEAGE))));
    assert_eq!(proposer.answer, Some(Outcome::Unclear));
}

#[test]
fn an_attempt_that_nobody_knows_is_made_again() {
    let mut proposer = Proposer::start(new_value());
    let attempt = proposer.lose_attempt();
    let second = proposer.promise(None);
    proposer.accept();
    let Some(Outcome::Decided { version, current }) = proposer.answer else { panic!("not decided") };
    assert!(second > attempt);
    assert_eq!((version, current.value), (second, new_value()));
}

#[test]
fn without_an_answer_an_attempt_is_unclear_and_a_first_round_did_nothing() {
    let mut proposer = Proposer::start(new_value());
    proposer.now = DEADLINE;
    proposer.step(Input::Tick);
    assert_eq!(proposer.answer, Some(Outcome::NoMajority));

    let mut proposer = Proposer::start(new_value());
    proposer.lose_attempt();
    proposer.now = DEADLINE;
    proposer.step(Input::Tick);
    assert_eq!(proposer.answer, Some(Outcome::Unclear));
}

#[test]
fn a_value_over_the_limit_is_refused() {
    let mut proposer = Proposer::start(Value::from(vec![0; MAX_VALUE_BYTES + 1]));
    proposer.promise(None);
    assert_eq!(proposer.answer, Some(Outcome::TooLong));
}

#[test]
fn a_value_that_an_acceptor_lost_is_sent_again_whole() {
    let mut proposer = Proposer::start(new_value());
    proposer.promise(None);
    let call = proposer.call();
    let refusal = Refusal::ValueMissing;
    proposer.receive(|from| RegisterMessage::Refused { reply: reply(from, call), refusal });
    let is_whole = |message: &RegisterMessage| {
        matches!(message, RegisterMessage::Accept { value, .. } if *value == Carried::of(
            &Accepted { ballot: call.ballot, origin: call.ballot, lineage: Vec::new(), value: new_value() },
            Ballot::ZERO,
        ))
    };
    assert!(proposer.calls.iter().any(is_whole), "{:?}", proposer.calls);
}

#[test]
fn the_groups_own_register_and_too_many_requests_are_refused() {
    let mut proposer = Proposer::start(new_value());
    proposer.step(Input::Read { request: RequestId(2), key: RegisterKey::Members, deadline: DEADLINE });
    assert_eq!(proposer.answer.take(), Some(Outcome::Reserved));
    for request in 3..3 + register::node::MAX_REQUESTS as u64 {
        proposer.step(Input::Read { request: RequestId(request), key: KEY, deadline: DEADLINE });
    }
    assert_eq!(proposer.answer, Some(Outcome::Overloaded));
}
