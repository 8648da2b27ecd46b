//! What an acceptor answers while its disk is slow, full or fails, and what its disk holds of it.

use std::net::{Ipv4Addr, SocketAddrV4};

use register::message::{Call, Pull, Refusal, StateReport};
use register::record::{Entry, Slot};
use register::value::{Carried, Report};
use register::{
    Accepted, AcceptorId, AcceptorSet, Ballot, Effect, Identity, Input, KnownSet, Member, Record,
    RecordError, RegisterKey, RegisterMessage, RegisterNode, StoredState, Value, WriteFailed, WriteToken,
};
use rstest::rstest;

const KEY: RegisterKey = RegisterKey::Configuration;
const NOW: u64 = 10_000;

/// A peer that asks; no machine of the set.
fn asker() -> SocketAddrV4 {
    address(9)
}

fn address(last: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, last), 7640)
}

fn seeds() -> [SocketAddrV4; 3] {
    [1, 2, 3].map(address)
}

fn first_id(last: u8) -> AcceptorId {
    AcceptorId::of_first_start(address(last))
}

fn ballot_in(epoch: u32, round: u64) -> Ballot {
    Ballot { epoch, round, proposer: 7 }
}

fn ballot(round: u64) -> Ballot {
    ballot_in(0, round)
}

fn value(round: u64, text: &str) -> Accepted {
    let lineage = Vec::new();
    Accepted { ballot: ballot(round), origin: ballot(round), lineage, value: Value::from(text.as_bytes()) }
}

/// A node with the disk that its writes go to.
struct Machine {
    node: RegisterNode,
    disk: Vec<Entry>,
    write: Option<(WriteToken, Record)>,
}

impl Machine {
    fn first_start() -> Machine {
        let node = RegisterNode::recover(None, Identity { address: address(1) }, &seeds(), true, 5);
        Machine { node, disk: Vec::new(), write: None }
    }

    fn step(&mut self, input: Input) -> Vec<RegisterMessage> {
        let mut effects = Vec::new();
        self.node.step(NOW, input, &mut effects);
        let mut answers = Vec::new();
        for effect in effects {
            match effect {
                Effect::Send { to, message } if to == asker() => answers.push(message),
                Effect::Write { token, record } => {
                    assert!(self.write.is_none(), "two writes at a time");
                    self.write = Some((token, record));
                }
                _ => {}
            }
        }
        answers
    }

    fn receive(&mut self, message: RegisterMessage) -> Vec<RegisterMessage> {
        self.step(Input::Received { from: asker(), message })
    }

    fn prepare(&mut self, round: u64) -> Vec<RegisterMessage> {
        self.receive(RegisterMessage::Prepare { call: call(ballot(round)), held: Ballot::ZERO })
    }

    fn accept(&mut self, value: &Accepted) -> Vec<RegisterMessage> {
        let carried = Carried::of(value, Ballot::ZERO);
        self.receive(RegisterMessage::Accept { call: call(value.ballot), value: carried })
    }

    fn query(&mut self) -> Vec<RegisterMessage> {
        self.receive(RegisterMessage::Query { call: call(ballot(90)), held: Ballot::ZERO })
    }

    /// The write that is under way reaches the disk.
    fn write_done(&mut self) -> Vec<RegisterMessage> {
        let (token, record) = self.write.take().expect("a write is under way");
        for entry in record.entries {
            self.disk.retain(|other| other.slot != entry.slot);
            self.disk.push(entry);
        }
        self.step(Input::DiskDone { token, result: Ok(()) })
    }

    fn write_failed(&mut self) -> Vec<RegisterMessage> {
        let (token, _) = self.write.take().expect("a write is under way");
        self.step(Input::DiskDone { token, result: Err(WriteFailed::Failed) })
    }

    fn restart(self) -> Machine {
        let stored = StoredState::from_entries(self.disk.clone()).expect("whole");
        let node = RegisterNode::recover(stored, Identity { address: address(1) }, &seeds(), false, 6);
        Machine { node, disk: self.disk, write: None }
    }
}

fn call(ballot: Ballot) -> Call {
    Call { to: first_id(1), key: KEY, ballot }
}

fn promised_report(answers: &[RegisterMessage]) -> Report {
    match answers {
        [RegisterMessage::Promise { report, .. }] => report.clone(),
        other => panic!("{other:?}"),
    }
}

fn queried_report(answers: &[RegisterMessage]) -> Report {
    match answers {
        [RegisterMessage::QueryReply { report, .. }] => report.clone(),
        other => panic!("{other:?}"),
    }
}

fn full(value: &Accepted) -> Report {
    Report::Accepted(Carried::of(value, Ballot::ZERO))
}

#[test]
fn nothing_is_promised_or_accepted_before_the_disk_holds_it() {
    let mut machine = Machine::first_start();
    assert_eq!(machine.prepare(1), []);
    assert_eq!(promised_report(&machine.write_done()), Report::Empty);
    assert_eq!(machine.accept(&value(1, "one")), []);
    assert!(matches!(machine.write_done()[..], [RegisterMessage::Accepted { .. }]));
    let mut machine = machine.restart();
    assert_eq!(machine.prepare(2), []);
    assert_eq!(promised_report(&machine.write_done()), full(&value(1, "one")));
}

#[test]
fn what_comes_while_a_write_is_under_way_goes_into_the_next_one() {
    let mut machine = Machine::first_start();
    assert_eq!(machine.prepare(1), []);
    for round in 2..=20 {
        assert_eq!(machine.prepare(round), []);
    }
    assert_eq!(machine.write_done().len(), 1, "the first promise");
    assert_eq!(machine.write_done().len(), 19, "all others");
    assert!(machine.write.is_none());
}

#[test]
fn a_restart_keeps_the_promise() {
    let mut machine = Machine::first_start();
    machine.prepare(5);
    machine.write_done();
    let mut machine = machine.restart();
    let refusal = |message: &RegisterMessage| match message {
        RegisterMessage::Refused { refusal, .. } => Some(*refusal),
        _ => None,
    };
    assert_eq!(
        machine.accept(&value(4, "late")).iter().find_map(refusal),
        Some(Refusal::Promised(ballot(5)))
    );
}

#[test]
fn a_failed_write_answers_nothing_and_changes_nothing() {
    let mut machine = Machine::first_start();
    machine.prepare(1);
    machine.write_done();
    machine.accept(&value(1, "one"));
    machine.write_done();
    machine.accept(&value(2, "two"));
    assert_eq!(machine.write_failed(), []);
    assert_eq!(queried_report(&machine.query()), full(&value(1, "one")), "reads go on");
    machine.prepare(3);
    assert!(machine.write.is_none(), "the disk is left alone for a while");
}

#[test]
fn after_a_failed_write_its_slots_are_written_before_the_next_answer() {
    let mut machine = Machine::first_start();
    machine.prepare(1);
    machine.write_done();
    machine.accept(&value(1, "one"));
    machine.write_failed();
    assert_eq!(machine.prepare(1), [], "the disk may hold the value of the failed write");
    let mut effects = Vec::new();
    machine.node.step(NOW + 1_000, Input::Tick, &mut effects);
    let record = effects.into_iter().find_map(|effect| match effect {
        Effect::Write { record, .. } => Some(record),
        _ => None,
    });
    let slots: Vec<u16> = record.expect("writes again").entries.iter().map(|entry| entry.slot).collect();
    assert!(slots.contains(&Slot::Accepted(KEY).number()) && slots.contains(&Slot::Value(KEY).number()));
}

#[test]
fn a_hanging_disk_stops_answers_but_not_reads() {
    let mut machine = Machine::first_start();
    machine.prepare(1);
    machine.write_done();
    machine.accept(&value(1, "one"));
    machine.write_done();
    machine.prepare(2);
    machine.accept(&value(2, "two"));
    for _ in 0..1_000 {
        assert_eq!(machine.prepare(2), []);
    }
    assert_eq!(queried_report(&machine.query()), full(&value(1, "one")));
    machine.write_done();
    assert!(machine.write_done().len() <= 256, "answers that wait are bounded");
    assert_eq!(queried_report(&machine.query()), full(&value(2, "two")));
}

/// Set 1: machine 4 has come in the place of machine 3.
fn set_with_machine_four() -> KnownSet {
    let member = |last| Member { id: first_id(last), address: address(last) };
    let previous = AcceptorSet::of_first_start(&seeds());
    KnownSet { set: AcceptorSet::new(1, vec![member(1), member(2), member(4)]), previous }
}

fn state_of(last: u8, data_epoch: u32, accepted: &Accepted) -> RegisterMessage {
    let report = register::message::RegisterReport { key: KEY, report: full(accepted) };
    RegisterMessage::State { state: StateReport::new(1, first_id(last), data_epoch, vec![report]) }
}

#[test]
fn a_newer_set_ends_the_old_epoch_and_opens_the_registers() {
    let mut machine = Machine::first_start();
    machine.accept(&value(1, "one"));
    machine.write_done();
    let pull = RegisterMessage::Pull { pull: Pull::new(1, Vec::new()) };
    assert!(
        matches!(machine.receive(pull.clone())[..], [RegisterMessage::Behind { epoch: 0 }]),
        "not sealed yet"
    );
    machine.receive(RegisterMessage::Set { known: set_with_machine_four() });
    assert_eq!(machine.receive(pull), [], "the seal is not on disk yet");
    let answers = machine.write_done();
    let [RegisterMessage::State { state }] = &answers[..] else { panic!("{answers:?}") };
    assert_eq!((state.data_epoch, &state.registers[0].report), (0, &full(&value(1, "one"))));
    assert!(matches!(machine.accept(&value(2, "late"))[..], [RegisterMessage::Set { .. }]));
}

#[test]
fn a_member_takes_part_after_a_sealed_majority_and_its_own_disk() {
    let mut machine = Machine::first_start();
    machine.accept(&value(1, "one"));
    machine.write_done();
    machine.receive(RegisterMessage::Set { known: set_with_machine_four() });
    machine.write_done();
    assert!(!machine.node.is_active(), "its own state is one of two that are needed");
    machine.receive(state_of(4, 0, &value(9, "of no member before")));
    assert!(!machine.node.is_active());
    machine.receive(state_of(2, 0, &value(3, "three")));
    assert!(machine.node.is_active());
    let query = Call { ballot: ballot_in(1, 50), ..call(ballot(0)) };
    let query = RegisterMessage::Query { call: query, held: Ballot::ZERO };
    assert_eq!(machine.receive(query.clone()), [], "the installation is not on disk yet");
    machine.write_done();
    assert_eq!(queried_report(&machine.receive(query)), full(&value(3, "three")));
}

#[test]
fn one_active_member_is_enough_to_install_from() {
    let mut machine = Machine::first_start();
    machine.receive(RegisterMessage::Set { known: set_with_machine_four() });
    machine.receive(state_of(4, 1, &value(3, "three")));
    assert!(machine.node.is_active());
}

#[test]
fn an_active_member_is_not_installed_again() {
    let mut machine = Machine::first_start();
    machine.receive(RegisterMessage::Set { known: set_with_machine_four() });
    machine.receive(state_of(4, 1, &value(3, "three")));
    machine.receive(state_of(2, 1, &value(2, "older")));
    while machine.write.is_some() {
        machine.write_done();
    }
    let query = Call { ballot: ballot_in(1, 50), ..call(ballot(0)) };
    let query = RegisterMessage::Query { call: query, held: Ballot::ZERO };
    assert_eq!(queried_report(&machine.receive(query)), full(&value(3, "three")));
}

#[test]
fn a_call_for_another_acceptor_id_gets_no_answer() {
    let mut machine = Machine::first_start();
    let call = Call { to: first_id(2), ..call(ballot(1)) };
    assert_eq!(machine.receive(RegisterMessage::Prepare { call, held: Ballot::ZERO }), []);
    assert!(machine.node.acceptor_id() == first_id(1));
}

fn stored() -> StoredState {
    let mut machine = Machine::first_start();
    machine.accept(&value(1, "one"));
    machine.write_done();
    StoredState::from_entries(machine.disk).expect("whole").expect("not empty")
}

fn all_slots() -> Vec<Slot> {
    (0..u16::MAX).filter_map(Slot::from_number).collect()
}

#[test]
fn the_state_comes_back_from_its_entries() {
    let state = stored();
    let entries = all_slots().into_iter().map(|slot| state.entry(slot));
    assert_eq!(StoredState::from_entries(entries), Ok(Some(state.clone())));
    assert_eq!(StoredState::from_entries([]), Ok(None));
}

#[rstest]
#[case::identity(Slot::Identity)]
#[case::group(Slot::Group)]
#[case::value(Slot::Value(KEY))]
fn an_entry_that_is_missing_is_named(#[case] missing: Slot) {
    let state = stored();
    let entries = all_slots().into_iter().filter(|slot| *slot != missing).map(|slot| state.entry(slot));
    let error = StoredState::from_entries(entries).expect_err("refused");
    assert_eq!(error, RecordError::Missing { slot: missing.number() });
    assert!(error.to_string().contains("wipe the data directory"));
}

#[rstest]
#[case::identity(Slot::Identity)]
#[case::group(Slot::Group)]
#[case::promise(Slot::Promised(KEY))]
#[case::accepted(Slot::Accepted(KEY))]
fn an_entry_that_is_cut_or_too_long_is_named(#[case] damaged: Slot) {
    let state = stored();
    let whole = state.entry(damaged).bytes.bytes().to_vec();
    let longer = [&whole[..], b"x"].concat();
    let cuts = (1..whole.len()).map(|end| whole[..end].to_vec());
    for bytes in cuts.chain([longer]) {
        let entries = all_slots().into_iter().map(|slot| match slot == damaged {
            true => Entry { slot: slot.number(), bytes: Value::from(bytes.clone()) },
            false => state.entry(slot),
        });
        let error = StoredState::from_entries(entries).expect_err("refused");
        assert!(matches!(error, RecordError::Entry { slot, .. } if slot == damaged.number()), "{error}");
    }
}

#[test]
fn an_entry_of_a_later_release_is_refused() {
    let entry = Entry { slot: 9, bytes: Value::from(Vec::new()) };
    assert_eq!(StoredState::from_entries([entry]), Err(RecordError::UnknownSlot { slot: 9 }));
}
