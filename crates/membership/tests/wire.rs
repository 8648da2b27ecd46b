//! Messages go over the wire unchanged, and bytes that are no message are turned away.

use std::net::{Ipv4Addr, SocketAddrV4};

use membership::{decode, encode, Member, Message, Status, Update};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

fn address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 7640)
}

fn updates() -> Vec<Update> {
    let member = |number: u8| Member {
        node: format!("core-{number}"),
        peer: address(number),
        control: address(number),
        zone: "žuta".to_string(),
    };
    let statuses = [Status::Alive, Status::Suspect { by: address(9) }, Status::Down, Status::Left];
    let numbered = statuses.into_iter().zip(1..);
    numbered.map(|(status, number)| Update { member: member(number), incarnation: 7, status }).collect()
}

#[rstest]
#[case::probe(Message::Probe { number: 1, updates: updates() })]
#[case::answer(Message::Answer { number: 2, updates: updates() })]
#[case::probe_for(Message::ProbeFor { number: 3, target: address(4), updates: Vec::new() })]
#[case::no_answer(Message::NoAnswer { number: u64::MAX, updates: updates() })]
#[case::exchange(Message::Exchange { reply: false, updates: updates() })]
#[case::exchange_with_reply(Message::Exchange { reply: true, updates: updates() })]
fn a_message_comes_back_as_it_went(#[case] message: Message) {
    let bytes = encode(&message).expect("fits");
    assert_eq!(decode(&bytes), Ok(message));
}

#[rstest]
fn bytes_that_were_cut_or_changed_never_panic() {
    let bytes = encode(&Message::Exchange { reply: true, updates: updates() }).expect("fits");
    let mut random = SmallRng::seed_from_u64(1);
    for length in 0..bytes.len() {
        assert!(decode(&bytes[..length]).is_err(), "cut at {length}");
    }
    for _ in 0..2_000 {
        let mut changed = bytes.clone();
        let place = random.random_range(0..changed.len());
        changed[place] = random.random();
        let _ = decode(&changed);
    }
}
