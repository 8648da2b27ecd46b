//! Orders that are sent again, late, twice at once or under one number: each is confirmed for what it is, or not at all.

mod support;

use std::time::Instant;

use configuration::digest;
use controller::change::{ConfigurationOrder, Verdict};
use controller::command::Reply;
use controller::values::{ConfigurationValue, Fate, MOST_TAKEN};
use rstest::rstest;
use support::{configuration, Cluster};

fn status(reply: Option<Reply>) -> Option<u16> {
    reply.map(|reply| reply.status)
}

fn started(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, 3);
    cluster.play(1_500);
    cluster
}

fn replace(cluster: &mut Cluster, host: usize, based_on: u64, body: &str) -> Option<u16> {
    let based_on = based_on.to_string();
    status(cluster.call(host, "POST", "/config/replace", Some(&based_on), body))
}

fn order(based_on: u64, version: u64, routes: usize) -> ConfigurationOrder {
    ConfigurationOrder::replace(based_on, configuration(version, routes).into_bytes()).expect("valid")
}

/// A chain of changes 1, 3, 5, ..., as many as asked for.
fn chain(changes: u64) -> ConfigurationValue {
    let mut value: Option<ConfigurationValue> = None;
    for number in 0..changes {
        let before = value.as_ref().map_or(0, |value| value.version);
        let Verdict::Write(next) = order(before, 2 * number + 1, 1).judge(value.as_ref()) else {
            panic!("change {number} is not taken");
        };
        value = Some(next);
    }
    value.expect("a change at least")
}

#[rstest]
#[case::as_many_as_the_former_bound(64)]
#[case::one_more(65)]
#[case::hundreds(400)]
fn an_order_is_known_as_taken_after_many_changes(#[case] changes: u64) {
    let value = chain(changes);
    for number in [0, changes / 2, changes - 1] {
        let before = if number == 0 { 0 } else { 2 * number - 1 };
        assert_eq!(order(before, 2 * number + 1, 1).judge(Some(&value)), Verdict::Taken, "order {number}");
    }
}

#[rstest]
fn an_order_that_lost_is_refused_and_one_too_old_to_tell_is_not() {
    let value = chain(MOST_TAKEN as u64 + 100);
    let current = value.version;
    let remembered = value.taken[10].version;
    assert_eq!(order(remembered, current + 2, 2).judge(Some(&value)), Verdict::OtherVersion(current));
    assert_eq!(order(remembered + 1, current + 2, 2).judge(Some(&value)), Verdict::OtherVersion(current));
    assert_eq!(order(current + 7, current + 9, 2).judge(Some(&value)), Verdict::OtherVersion(current));
    let forgotten = value.taken[0].version - 2;
    assert_eq!(order(forgotten, current + 2, 2).judge(Some(&value)), Verdict::Forgotten(current));
    assert_eq!(order(0, 1, 1).judge(Some(&value)), Verdict::Forgotten(current), "it was the first change");
}

#[rstest]
#[case::nothing_is_there(0, Verdict::OtherVersion(0))]
#[case::a_few_changes(5, Verdict::OtherVersion(9))]
fn an_order_on_a_version_that_never_was_is_refused(#[case] changes: u64, #[case] expected: Verdict) {
    let value = (changes > 0).then(|| chain(changes));
    assert_eq!(order(2, 20, 1).judge(value.as_ref()), expected);
}

/// A list of 64 may have been shortened by the release that kept 64: what came before it can't be told.
#[rstest]
#[case::never_shortened(63, Fate::Lost)]
#[case::perhaps_shortened(64, Fate::Forgotten)]
fn what_an_earlier_release_may_have_forgotten_is_not_refused(#[case] changes: u64, #[case] expected: Fate) {
    assert_eq!(chain(changes).fate(&digest(b"unknown"), 0), expected);
}

#[rstest]
fn one_number_is_confirmed_for_one_change_only(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut cluster = started(seed);
    assert_eq!(replace(&mut cluster, 0, 0, &configuration(1, 1)), Some(200));
    let bodies: Vec<String> = (2..10).map(|routes| configuration(5, routes)).collect();
    let place = |number: usize| number % 3;
    let calls: Vec<_> = bodies
        .iter()
        .enumerate()
        .map(|(number, body)| cluster.issue(place(number), "POST", "/config/replace", Some("1"), body))
        .collect();
    cluster.play(1_000);
    let statuses: Vec<Option<u16>> = calls.into_iter().map(|call| status(cluster.reply(call))).collect();
    let confirmed = statuses.iter().filter(|status| **status == Some(200)).count();
    assert!(confirmed <= 1, "{statuses:?}");
    // Each is sent again until it has a clear answer, at another machine.
    let mut winners = Vec::new();
    for (number, body) in bodies.iter().enumerate() {
        let answer = replace(&mut cluster, place(number + 1), 1, body);
        assert!(matches!(answer, Some(200 | 412)), "{answer:?}");
        if answer == Some(200) {
            winners.push(body.clone());
        }
    }
    assert_eq!(winners.len(), 1);
    let read = cluster.call(2, "GET", "/config/read", None, "").expect("answered");
    assert_eq!(read.body, winners[0].as_bytes());
}

#[rstest]
#[case::on_the_current_version(5, 400)]
#[case::on_the_version_before(1, 412)]
fn the_current_number_with_another_body_is_refused(#[case] based_on: u64, #[case] expected: u16) {
    let mut cluster = started(3);
    assert_eq!(replace(&mut cluster, 0, 0, &configuration(1, 1)), Some(200));
    assert_eq!(replace(&mut cluster, 1, 1, &configuration(5, 2)), Some(200));
    assert_eq!(replace(&mut cluster, 2, based_on, &configuration(5, 3)), Some(expected));
    assert_eq!(replace(&mut cluster, 0, 1, &configuration(5, 2)), Some(200), "the one that was taken");
}

/// The answer is lost in each phase: the machine that was asked goes at each millisecond of the change, and the order
/// is sent again elsewhere. Then a disk is lost, a hundred changes are made, and it is sent again once more.
#[rstest]
fn an_order_whose_answer_was_lost_is_confirmed_or_taken_anew(#[values(1, 2, 3)] seed: u64) {
    for phase in 0..24 {
        let mut cluster = started(100 * seed + phase);
        assert_eq!(replace(&mut cluster, 0, 0, &configuration(1, 1)), Some(200));
        let order = configuration(3, 2);
        cluster.issue(0, "POST", "/config/replace", Some("1"), &order);
        cluster.play(phase);
        cluster.stop(0);
        cluster.play(400);
        let mut answers = Vec::new();
        while answers.last() != Some(&Some(200)) {
            answers.push(replace(&mut cluster, 1, 1, &order));
            assert!(answers.len() < 5 && !matches!(answers.last(), Some(Some(400..=499))), "{answers:?}");
        }
        cluster.wipe(0);
        cluster.start(0, false);
        cluster.play(3_000);
        for number in 2..102 {
            let body = configuration(2 * number + 1, 1);
            let before = if number == 2 { 3 } else { 2 * number - 1 };
            assert_eq!(replace(&mut cluster, (number % 3) as usize, before, &body), Some(200), "{number}");
        }
        assert_eq!(replace(&mut cluster, 0, 1, &order), Some(200), "phase {phase}");
    }
}

/// What is remembered costs each change little, also when the list is full.
#[rstest]
fn a_full_list_is_read_in_little_time_and_bytes() {
    let bytes = chain(MOST_TAKEN as u64 + 1).bytes();
    let body = configuration(1, 1).len();
    assert!(bytes.len() < body + 25_000, "{} bytes", bytes.len());
    let began = Instant::now();
    let value = ConfigurationValue::read(&bytes).expect("it is one");
    println!("{} bytes read in {:?}", bytes.len(), began.elapsed());
    assert_eq!(value.taken.len(), MOST_TAKEN);
}
