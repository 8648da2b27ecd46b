//! Messages as bytes: what is encoded decodes to the same, and no bytes make the decoder panic.

use std::net::{Ipv4Addr, SocketAddrV4};

use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use register::error::DecodeError;
use register::message::{
    body_length, decode, encode, Call, Digest, LearnedBallot, Pull, Refusal, RegisterMessage, RegisterReport,
    Reply, StateReport, HEADER_BYTES, MAX_BODY_BYTES,
};
use register::value::{Carried, Report, MAX_VALUE_BYTES};
use register::{Accepted, AcceptorId, AcceptorSet, Ballot, KnownSet, Member, RegisterKey, Value};
use rstest::rstest;
use stand_in::damage::{damaged, edits};

fn ballot(round: u64) -> Ballot {
    Ballot { epoch: 3, round, proposer: 0x0102_0304_0506_0708 }
}

fn address(last: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, last), 7640)
}

fn accepted(length: usize) -> Accepted {
    let lineage = (1..9).rev().map(ballot).collect();
    Accepted { ballot: ballot(12), origin: ballot(9), lineage, value: Value::from(vec![7; length]) }
}

fn known_set() -> KnownSet {
    let members =
        (1..=9).map(|last| Member { id: AcceptorId(last.into()), address: address(last) }).collect();
    KnownSet { set: AcceptorSet::new(3, members), previous: AcceptorSet::new(2, Vec::new()) }
}

/// One message of each kind.
fn messages() -> Vec<RegisterMessage> {
    let call = Call { to: AcceptorId(5), key: RegisterKey::Weights, ballot: ballot(12) };
    let reply = Reply { from: AcceptorId(5), key: RegisterKey::Duty, ballot: ballot(12) };
    let value = Carried::of(&accepted(40), Ballot::ZERO);
    let held = Carried::of(&accepted(40), ballot(9));
    let report = Report::Accepted(value.clone());
    let registers =
        RegisterKey::ORDINARY.map(|key| RegisterReport { key, report: report.clone() }).into_iter().collect();
    let learned = RegisterKey::ORDINARY.map(|key| LearnedBallot { key, ballot: ballot(4) }).to_vec();
    let refused = |refusal| RegisterMessage::Refused { reply, refusal };
    vec![
        RegisterMessage::Prepare { call, held: ballot(2) },
        RegisterMessage::Promise { reply, report: Report::Empty },
        RegisterMessage::Promise { reply, report: report.clone() },
        RegisterMessage::Accept { call, value: value.clone() },
        RegisterMessage::Accepted { reply },
        RegisterMessage::Query { call, held: Ballot::ZERO },
        RegisterMessage::QueryReply { reply, report },
        refused(Refusal::Promised(ballot(13))),
        refused(Refusal::ValueMissing),
        RegisterMessage::Set { known: known_set() },
        RegisterMessage::Behind { epoch: 4 },
        RegisterMessage::Join { joiner: Member { id: AcceptorId(8), address: address(8) }, epoch: 4 },
        RegisterMessage::Pull { pull: Pull::new(3, vec![ballot(1), Ballot::ZERO, ballot(2)]) },
        RegisterMessage::State { state: StateReport::new(3, AcceptorId(5), 2, registers) },
        RegisterMessage::Digest { digest: Digest::new(AcceptorId(5), 3, true, 77, 76, learned) },
        RegisterMessage::Fetch { key: RegisterKey::Configuration, held: ballot(9) },
        RegisterMessage::Decided { key: RegisterKey::Configuration, value: held },
    ]
}

#[test]
fn every_message_comes_back_as_it_was() {
    for message in messages() {
        let mut bytes = encode(&message);
        let length = bytes.len();
        assert_eq!(body_length(&bytes), Ok(Some(length - HEADER_BYTES)));
        bytes.extend_from_slice(b"the next message");
        assert_eq!(decode(&bytes), Ok((message, length)));
    }
}

#[test]
fn the_longest_values_travel_together() {
    let report = Report::Accepted(Carried::of(&accepted(MAX_VALUE_BYTES), Ballot::ZERO));
    let registers = RegisterKey::ORDINARY.map(|key| RegisterReport { key, report: report.clone() });
    let state = StateReport::new(3, AcceptorId(5), 3, registers.into_iter().collect());
    let message = RegisterMessage::State { state };
    let bytes = encode(&message);
    assert!(bytes.len() <= HEADER_BYTES + MAX_BODY_BYTES);
    assert_eq!(decode(&bytes), Ok((message, bytes.len())));
}

#[test]
fn a_message_cut_at_any_byte_waits_for_the_rest() {
    for message in messages() {
        let bytes = encode(&message);
        for end in 0..bytes.len() {
            let result = decode(&bytes[..end]);
            assert!(
                matches!(result, Err(DecodeError::Truncated { found, .. }) if found == end),
                "{result:?}"
            );
        }
    }
}

#[test]
fn changed_bytes_never_panic() {
    let mut random = SmallRng::seed_from_u64(1);
    for message in messages() {
        let bytes = encode(&message);
        for _ in 0..2_000 {
            let mut changed = bytes.clone();
            for _ in 0..random.random_range(1..4) {
                let at = random.random_range(HEADER_BYTES..changed.len());
                changed[at] = random.random();
            }
            let _ = decode(&changed);
        }
    }
}

#[test]
fn bytes_drawn_at_random_never_panic() {
    let mut random = SmallRng::seed_from_u64(2);
    for _ in 0..50_000 {
        let body: Vec<u8> = (0..random.random_range(0..120)).map(|_| random.random_range(0..20)).collect();
        let mut bytes = vec![1];
        bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&body);
        let _ = decode(&bytes);
    }
}

/// Where in an encoded `Set` message the count of members stands: after the header, the kind and the epoch.
const MEMBER_COUNT_AT: usize = HEADER_BYTES + 1 + 4;

/// Where in an encoded `Accept` message the value's length stands: before its bytes at the end.
fn value_length_at(bytes: &[u8]) -> usize {
    bytes.len() - 40 - 4
}

#[test]
fn counts_over_their_limits_are_refused_before_anything_is_made_for_them() {
    let mut set = encode(&RegisterMessage::Set { known: known_set() });
    set[MEMBER_COUNT_AT] = 10;
    assert!(matches!(decode(&set), Err(DecodeError::Malformed { .. })));

    let call = Call { to: AcceptorId(5), key: RegisterKey::Weights, ballot: ballot(12) };
    let mut accept =
        encode(&RegisterMessage::Accept { call, value: Carried::of(&accepted(40), Ballot::ZERO) });
    let at = value_length_at(&accept);
    assert_eq!(accept[at..at + 4], 40_u32.to_le_bytes());
    accept[at..at + 4].copy_from_slice(&u32::MAX.to_le_bytes());
    assert!(matches!(decode(&accept), Err(DecodeError::Malformed { .. })));
}

#[rstest]
#[case::of_another_version(&[9, 0, 0, 0, 0], DecodeError::Version { found: 9 })]
#[case::too_long(&[1, 255, 255, 255, 255], DecodeError::TooLong { length: u32::MAX as usize, limit: MAX_BODY_BYTES })]
#[case::without_a_whole_header(&[1, 4], DecodeError::Truncated { expected: HEADER_BYTES, found: 2 })]
fn headers_are_refused(#[case] bytes: &[u8], #[case] error: DecodeError) {
    assert_eq!(decode(bytes), Err(error.clone()));
    assert!(error.to_string().contains(';'), "the remedy is missing: {error}");
}

#[test]
fn bytes_after_the_message_within_its_body_are_refused() {
    let mut bytes = encode(&RegisterMessage::Behind { epoch: 4 });
    bytes.push(0);
    bytes[1] += 1;
    assert!(matches!(decode(&bytes), Err(DecodeError::Malformed { .. })));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Damage that keeps most of a message: lengths and counts that do not fit are found.
    #[test]
    fn a_damaged_message_is_read_or_refused(which in 0..messages().len(), edits in edits()) {
        let bytes = encode(&messages()[which]);
        match decode(&damaged(&bytes, &edits)) {
            Ok((_, length)) => prop_assert!(length >= HEADER_BYTES),
            Err(why) => prop_assert!(!why.to_string().is_empty()),
        }
    }
}
