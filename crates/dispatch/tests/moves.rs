//! Which kept blocks are fetched and saved, and where.

mod support;

use dispatch::{Dispatcher, Engine, Outcome, Salts, Store, Target};
use peer::{part_key, PartChange, Prefixes, UNREACHABLE};
use std::net::SocketAddrV4;
use support::*;

const STORE: &str = "10.0.9.9:8000";

fn store() -> SocketAddrV4 {
    STORE.parse().expect("an address")
}

/// A dispatcher whose replicas can move blocks, with a store.
fn with_store(replicas: u8) -> Dispatcher {
    let mut dispatcher = dispatcher(replicas);
    let engine = Engine { token_bytes: 163_840.0, link_mbps: 1_100_000.0 };
    let engines = [(String::from("s"), engine)].into();
    dispatcher.set_moves(engines, vec![Store { address: store(), zone: "a".into(), link_mbps: 380_000.0 }]);
    dispatcher
}

/// What a replica or the store tells of a part under the salt of version 1.
fn told(of: &str, epoch: u64, part: &str, tokens: u32) -> Prefixes {
    let part = part_key("m", &Salts::default().salt(1, None), part);
    Prefixes::new(of, epoch, false, vec![PartChange { part, tokens }])
}

fn take(dispatcher: &mut Dispatcher, news: &Prefixes) {
    let number = dispatcher.replica_number(news.replica.as_str()).expect("known");
    dispatcher.take_prefixes(number, news);
}

/// The first send of a prompt, which then leaves.
fn first_send(dispatcher: &mut Dispatcher, parts: &str) -> Target {
    let (mut call, target) = sent(dispatcher, prompt(parts), START);
    dispatcher.ended(&mut call, target.replica, Outcome::Abandoned, START);
    target
}

#[test]
fn a_start_that_nobody_keeps_is_asked_of_the_store_and_saved_there() {
    let target = first_send(&mut with_store(3), "aa:5000,b1:10");
    assert_eq!((target.fetch, target.save), (Some(store()), Some(store())));
}

#[test]
fn a_start_that_the_store_has_is_fetched_and_not_saved_again() {
    let mut dispatcher = with_store(3);
    take(&mut dispatcher, &told(STORE, 7, "aa", 5_000));
    let target = first_send(&mut dispatcher, "aa:5000,b1:10");
    assert_eq!((target.fetch, target.save), (Some(store()), None));
}

#[test]
fn a_replica_that_keeps_the_start_fetches_nothing() {
    let mut dispatcher = with_store(3);
    take(&mut dispatcher, &told("i-2", 7, "aa", 5_000));
    take(&mut dispatcher, &told(STORE, 7, "aa", 5_000));
    let target = first_send(&mut dispatcher, "aa:5000,b1:10");
    assert_eq!((&*target.id, target.fetch, target.save), ("i-2", None, None));
}

/// A first send of a prompt of a tenant that shares with nobody.
fn isolated_send(dispatcher: &mut Dispatcher, parts: &str) -> Target {
    let (mut call, target) = sent(dispatcher, of_tenant(prompt(parts), "t1", true), START);
    dispatcher.ended(&mut call, target.replica, Outcome::Answered, START);
    target
}

#[test]
fn a_store_takes_what_one_tenant_asks_for_once_it_is_asked_for_again() {
    let mut dispatcher = with_store(3);
    let first = isolated_send(&mut dispatcher, "aa:5000,b1:10");
    assert_eq!((first.fetch, first.save), (Some(store()), None));
    // It may have been dropped since: nobody is known to keep it, but somebody did.
    let salt = Salts::default().salt(1, Some(&tenant("t1", true)));
    let dropped = PartChange { part: part_key("m", &salt, "aa"), tokens: 0 };
    take(&mut dispatcher, &Prefixes::new(&first.id, 7, false, vec![dropped]));
    let second = isolated_send(&mut dispatcher, "aa:5000,b2:10");
    assert_eq!((second.fetch, second.save), (Some(store()), Some(store())));
}

#[test]
fn what_was_never_read_was_not_asked_for_before() {
    let mut dispatcher = with_store(3);
    let ask = || of_tenant(prompt("aa:5000,b1:10"), "t1", true);
    let (mut call, target) = sent(&mut dispatcher, ask(), START);
    dispatcher.ended(&mut call, target.replica, FULL, START);
    assert_eq!(dispatcher.send(&mut call, START).expect("another").save, None);
}

#[test]
fn what_another_proxy_asked_for_is_known_from_what_replicas_tell() {
    let mut dispatcher = with_store(3);
    let salt = Salts::default().salt(1, Some(&tenant("t1", true)));
    let change = |tokens| PartChange { part: part_key("m", &salt, "aa"), tokens };
    take(&mut dispatcher, &Prefixes::new("i-2", 7, false, vec![change(5_000)]));
    take(&mut dispatcher, &Prefixes::new("i-2", 7, false, vec![change(0)]));
    assert_eq!(isolated_send(&mut dispatcher, "aa:5000,b1:10").save, Some(store()));
}

#[test]
fn a_store_that_is_down_is_left_alone_until_it_is_heard_again() {
    let mut dispatcher = with_store(3);
    take(&mut dispatcher, &Prefixes::new(STORE, UNREACHABLE, true, Vec::new()));
    let target = first_send(&mut dispatcher, "aa:5000,b1:10");
    assert_eq!((target.fetch, target.save), (None, None));
    // It is back, and empty.
    take(&mut dispatcher, &Prefixes::new(STORE, 8, true, Vec::new()));
    let target = first_send(&mut dispatcher, "cc:5000,b1:10");
    assert_eq!((target.fetch, target.save), (Some(store()), Some(store())));
}

#[test]
fn prompts_of_one_part_are_nobody_elses_and_move_nothing() {
    let target = first_send(&mut with_store(3), "aa:5000");
    assert_eq!((target.fetch, target.save), (None, None));
}

#[test]
fn short_starts_are_neither_fetched_nor_saved() {
    let mut dispatcher = with_store(3);
    take(&mut dispatcher, &told(STORE, 7, "aa", 500));
    let target = first_send(&mut dispatcher, "aa:500,b1:10");
    assert_eq!((target.fetch, target.save), (None, None));
    let target = first_send(&mut dispatcher, "cc:500,b1:10");
    assert_eq!((target.fetch, target.save), (None, None));
}

/// Over this link a move of 5,000 tokens takes 328 ms, and reading them 125 ms.
#[test]
fn a_move_that_takes_longer_than_reading_is_taken_where_reading_would_be_again() {
    let mut dispatcher = dispatcher(2);
    let engine = Engine { token_bytes: 163_840.0, link_mbps: 20_000.0 };
    dispatcher.set_moves([(String::from("s"), engine)].into(), Vec::new());
    take(&mut dispatcher, &told("i-2", 7, "aa", 5_000));
    let (mut held, first) = sent(&mut dispatcher, prompt("aa:5000,b1:40000"), START);
    assert_eq!((&*first.id, first.fetch), ("i-2", None));
    // It has a second's reading before it: the other replica takes this one.
    let (_, second) = sent(&mut dispatcher, prompt("aa:5000,b2:10"), START + 1.0);
    assert_eq!((&*second.id, second.fetch), ("i-1", Some(first.address)));
    dispatcher.ended(&mut held, first.replica, Outcome::Abandoned, START + 2.0);
}
