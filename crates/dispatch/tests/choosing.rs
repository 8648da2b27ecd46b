//! Which replica gets a request: kept starts, calls out, what waiting costs, versions and salts.

mod support;

use dispatch::{
    home, pick, Candidate, CostModel, Mechanisms, Outcome, ReadRate, ReplicaNumber, Salts, HOME_SAVES,
};
use peer::{part_key, PartChange, Prefixes};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use rstest::rstest;
use std::collections::HashSet;
use support::*;
use weights::due_after;

fn candidate(replica: u32, out: u32, kept: u32, wait: f64) -> Candidate {
    // A prompt of 1,000 tokens, of which 10 are read in a ms; what it does not keep, another replica does.
    let reading = ReadRate(10.0).reading(1_000 - kept);
    let replica = ReplicaNumber(replica);
    Candidate { replica, out, kept, wait, reading, again: reading, at_home: 0.0 }
}

/// A replica that may be taken to keep so many tokens of a prompt that nobody is known to keep.
fn unread(replica: u32, expected: u32, wait: f64) -> Candidate {
    let rate = ReadRate(10.0);
    let (reading, at_home) = (rate.reading(1_000), HOME_SAVES * rate.reading(expected));
    let replica = ReplicaNumber(replica);
    Candidate { replica, out: 0, kept: expected, wait, reading, again: 0.0, at_home }
}

/// The replicas picked over many draws.
fn picked(candidates: &[Candidate], left: Option<f64>) -> Vec<u32> {
    let mut random = SmallRng::seed_from_u64(3);
    let costs = CostModel::new(left, Mechanisms::default());
    let draws = (0..200).filter_map(|_| pick(candidates, &costs, &mut random));
    let mut numbers: Vec<u32> = draws.map(|candidate| candidate.replica.0).collect();
    numbers.sort_unstable();
    numbers.dedup();
    numbers
}

#[rstest]
#[case::longest_start(&[candidate(1, 3, 900, 0.0), candidate(2, 0, 800, 0.0)], &[1])]
#[case::fewest_out(&[candidate(1, 3, 900, 0.0), candidate(2, 1, 900, 0.0), candidate(3, 0, 0, 0.0)], &[2])]
#[case::ties(&[candidate(1, 1, 0, 0.0), candidate(2, 1, 0, 0.0), candidate(3, 2, 0, 0.0)], &[1, 2])]
#[case::waiting_longer_than_reading_again(&[candidate(1, 0, 1_000, 530.0), candidate(2, 0, 0, 0.0)], &[2])]
#[case::waiting_less_than_reading_again(&[candidate(1, 9, 1_000, 510.0), candidate(2, 0, 0, 0.0)], &[1])]
#[case::waiting_longer_than_a_first_reading(&[unread(1, 900, 250.0), unread(2, 0, 0.0)], &[2])]
#[case::waiting_less_than_a_first_reading(&[unread(1, 900, 220.0), unread(2, 0, 0.0)], &[1])]
#[case::nobody(&[], &[])]
fn picks(#[case] candidates: &[Candidate], #[case] expected: &[u32]) {
    assert_eq!(picked(candidates, None), expected);
}

/// A replica that has to read 100 tokens in 10 ms which another one keeps.
fn reading_again(replica: u32) -> Candidate {
    candidate(replica, 0, 900, 0.0)
}

/// Half of the time to the target may be spent on waiting where the start is kept; beyond it, waiting costs.
#[rstest]
#[case::time_is_left(&[candidate(1, 0, 1_000, 200.0), reading_again(2)], Some(800.0), &[1])]
#[case::too_late(&[candidate(1, 0, 1_000, 420.0), reading_again(2)], Some(800.0), &[2])]
#[case::no_target(&[candidate(1, 0, 1_000, 200.0), reading_again(2)], None, &[2])]
#[case::target_has_passed(&[candidate(1, 0, 1_000, 200.0), reading_again(2)], Some(-100.0), &[2])]
#[case::all_else_alike(&[candidate(1, 0, 0, 300.0), candidate(2, 0, 0, 100.0)], Some(4_000.0), &[2])]
fn waiting_costs_by_what_is_left_to_the_target(
    #[case] candidates: &[Candidate],
    #[case] left: Option<f64>,
    #[case] expected: &[u32],
) {
    assert_eq!(picked(candidates, left), expected);
}

#[test]
fn requests_follow_what_was_sent_before() {
    let mut dispatcher = dispatcher(6);
    let first = answered(&mut dispatcher, prompt("aa:5000,b1:10"), START);
    for number in 2..20 {
        let target = answered(&mut dispatcher, prompt(&format!("aa:5000,b{number}:10")), START + 1.0);
        assert_eq!(target.replica, first.replica);
    }
}

#[test]
fn requests_follow_what_replicas_report_until_they_take_it_back() {
    let mut dispatcher = dispatcher(6);
    let salt = Salts::default().salt(1, None);
    let part = part_key("m", &salt, "aa");
    let news = |tokens, epoch| Prefixes::new("i-4", epoch, false, vec![PartChange { part, tokens }]);
    let four = dispatcher.replica_number("i-4").expect("known");
    dispatcher.take_prefixes(four, &news(5_000, 1));
    let (mut call, target) = sent(&mut dispatcher, prompt("aa:5000"), START);
    assert_eq!(target.replica, four);
    dispatcher.ended(&mut call, four, Outcome::Abandoned, START);
    dispatcher.take_prefixes(four, &news(0, 1));
    let fresh: HashSet<_> =
        (0..40).map(|n| sent(&mut dispatcher, prompt(&format!("aa:5000,c{n}:1")), START).1.replica).collect();
    assert!(fresh.len() > 1);
}

#[test]
fn a_replica_with_much_to_read_is_left_by_a_hot_start() {
    let mut dispatcher = dispatcher(3);
    let first = answered(&mut dispatcher, prompt("aa:4000,b:1"), START);
    // Nothing of these long prompts is kept anywhere: they fill up one replica after the other.
    let other = dispatcher.replica_number(&first.id).expect("known");
    let mut calls = Vec::new();
    for number in 0..60 {
        calls.push(sent(&mut dispatcher, prompt(&format!("{number:x}f:20000")), START + 1.0));
    }
    let there = calls.iter().filter(|(_, target)| target.replica == other).count();
    assert!((15..=25).contains(&there), "{there} of 60 at one of three");
}

/// Both are busy with what was sent: until the version is due it is weighed with that, from then on it alone counts.
#[rstest]
#[case::before(4_000.0, &["i-1", "i-2"])]
#[case::after(4_300.0, &["i-2"])]
fn requests_move_to_a_named_version_in_time(#[case] after: f64, #[case] expected: &[&str]) {
    let mut dispatcher = dispatcher(1);
    dispatcher.update_replica(record(2, 2));
    named(&mut dispatcher, 2, START);
    let mut ids = HashSet::new();
    for number in 0..40 {
        let mut ask = prompt(&format!("{number:x}:4000"));
        ask.deadline = START + 10_000.0;
        let (_, target) = sent(&mut dispatcher, ask, START + after);
        let version = if &*target.id == "i-2" { 2 } else { 1 };
        assert_eq!(target.version, Some(version));
        assert_eq!(target.salt, Some(Salts::default().salt(version, None)));
        ids.insert(target.id.to_string());
    }
    let mut ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    ids.sort_unstable();
    assert_eq!(ids, expected);
}

#[test]
fn an_old_version_is_never_asked_for_once_the_new_one_is_due() {
    let mut dispatcher = dispatcher(2);
    named(&mut dispatcher, 2, START - 6_000.0);
    let (_, target) = sent(&mut dispatcher, prompt("a:1"), START);
    assert_eq!(target.version, Some(2));
}

#[test]
fn what_an_answer_tells_of_the_version_counts() {
    let mut dispatcher = dispatcher(1);
    let one = dispatcher.replica_number("i-1").expect("known");
    dispatcher.hear_version(one, "m", 2);
    assert_eq!(sent(&mut dispatcher, prompt("a:1"), START).1.version, Some(2));
    // A beat from before does not undo it.
    dispatcher.update_replica(later(1, 1, 2, peer::ReplicaState::Ready));
    assert_eq!(sent(&mut dispatcher, prompt("a:1"), START).1.version, Some(2));
}

#[test]
fn a_refusal_for_its_version_tells_that_the_newest_is_there() {
    let mut dispatcher = dispatcher(1);
    named(&mut dispatcher, 2, START);
    let (mut call, target) = sent(&mut dispatcher, prompt("a:1"), START);
    assert_eq!(target.version, Some(1));
    dispatcher.ended(&mut call, target.replica, Outcome::OtherVersion, START);
    let mut ask = prompt("a:1");
    ask.deadline = START + 9_000.0;
    assert_eq!(sent(&mut dispatcher, ask, START + 1_000.0).1.version, Some(2));
}

#[test]
fn older_names_of_versions_are_no_news() {
    let mut dispatcher = dispatcher(1);
    assert!(named(&mut dispatcher, 3, 0.0));
    assert!(!named(&mut dispatcher, 2, 50.0));
    assert!(!named(&mut dispatcher, 3, 60.0));
    let weights = dispatcher.named_weights();
    assert_eq!((weights.newest("m"), weights.newest("other")), (3, 1));
    assert_eq!(weights.floor("m", 4_200, due_after(6_000)), Some(3));
    assert_eq!(weights.floor("m", 4_100, due_after(6_000)), None);
}

#[test]
fn salts_part_versions_and_tenants_that_share_with_nobody() {
    let (none, some) = (Salts::default(), salts(&["t3"], &["t1", "t2"]));
    let long = "x".repeat(5_000);
    let isolated = |version, name| some.salt(version, Some(&tenant(name, true)));
    let all = [
        none.salt(1, None),
        none.salt(2, None),
        some.salt(1, None),
        isolated(1, "t1"),
        isolated(1, "t2"),
        isolated(2, "t1"),
        isolated(1, &long),
        isolated(1, "t\r\nHost: x"),
    ];
    let distinct: HashSet<&String> = all.iter().collect();
    assert_eq!(distinct.len(), all.len());
    assert!(all.iter().all(|salt| salt.len() < 100 && salt.bytes().all(|byte| byte.is_ascii_graphic())));
    // Neither the order in which tenants are named matters, nor who shares.
    assert_eq!(salts(&["t4"], &["t2", "t1"]).salt(1, None), some.salt(1, None));
    assert_eq!(salts(&["t1", "t2"], &[]).salt(1, None), none.salt(1, None));
}

#[test]
fn isolated_tenants_get_a_salt_of_their_own() {
    let mut dispatcher = dispatcher(1);
    dispatcher.set_salts(salts(&["t1", "t2"], &[]));
    let salt = |dispatcher: &mut dispatch::Dispatcher, name, isolated| {
        sent(dispatcher, of_tenant(prompt("a:1"), name, isolated), START).1.salt
    };
    let shared = salt(&mut dispatcher, "t1", false);
    assert_eq!(salt(&mut dispatcher, "t2", false), shared);
    let own = salt(&mut dispatcher, "t1", true);
    assert_ne!(own, shared);
    assert_ne!(salt(&mut dispatcher, "t2", true), own);
    // Once a tenant shares no more, what it left among the shared parts is not found again.
    dispatcher.set_salts(salts(&["t2"], &["t1"]));
    assert_ne!(salt(&mut dispatcher, "t2", false), shared);
}

#[test]
fn proxies_that_know_nothing_send_a_long_start_to_one_home() {
    let homes: HashSet<String> = (0..10)
        .map(|seed| {
            let mut dispatcher = dispatch::Dispatcher::new(BOUNDS, 1 << 20, seed, 0.0);
            // Each proxy learns of the replicas in another order.
            (0..9).for_each(|number| dispatcher.update_replica(record((number + seed as u8) % 9 + 1, 1)));
            sent(&mut dispatcher, prompt(&format!("aa:600,bb:9000,{seed}:10")), START).1.id.to_string()
        })
        .collect();
    assert_eq!(homes.len(), 1);
}

#[test]
fn starts_spread_over_homes_and_stay_when_another_replica_leaves() {
    let ids: Vec<String> = (1..=9).map(|number| format!("i-{number}")).collect();
    let homes = |ids: &[String]| -> Vec<String> {
        let parts =
            (0..900).map(|n| dispatch::Part::read_prompt(&format!("{n:x}:9000"), "", "m").expect("parts"));
        parts
            .map(|parts| ids[home(&parts[0], ids.iter().map(String::as_str)).expect("some")].clone())
            .collect()
    };
    let all = homes(&ids);
    for id in &ids {
        let count = all.iter().filter(|home| *home == id).count();
        assert!((60..=140).contains(&count), "{count} of 900 at {id}");
    }
    for (before, after) in all.iter().zip(homes(&ids[1..])) {
        assert!(*before == ids[0] || *before == after);
    }
}

#[test]
fn short_starts_have_no_home() {
    let ids: HashSet<_> = (0..20)
        .map(|seed| {
            let mut dispatcher = dispatch::Dispatcher::new(BOUNDS, 1 << 20, seed, 0.0);
            (1..=9).for_each(|number| dispatcher.update_replica(record(number, 1)));
            sent(&mut dispatcher, prompt("aa:92,bb:291"), START).1.id
        })
        .collect();
    assert!(ids.len() > 3);
}

/// What the fleet tells of a replica.
fn fleet_load(number: u8, tokens: u32, calls: u16) -> peer::Loads {
    let replica = peer::replica_key(&format!("i-{number}"));
    peer::Loads::new(true, vec![peer::ReplicaLoad { replica, tokens, calls }])
}

fn replicas_of_short_prompts(dispatcher: &mut dispatch::Dispatcher, at: f64) -> HashSet<String> {
    (0..40).map(|n| answered(dispatcher, prompt(&format!("{n:x}c{at}:20")), at).id.to_string()).collect()
}

#[test]
fn what_other_proxies_wait_for_keeps_requests_away() {
    let mut dispatcher = dispatcher(2);
    dispatcher.take_loads(&fleet_load(1, 40_000, 3), START);
    assert_eq!(replicas_of_short_prompts(&mut dispatcher, START), HashSet::from(["i-2".to_string()]));
    dispatcher.take_loads(&fleet_load(1, 0, 0), START + 100.0);
    assert_eq!(replicas_of_short_prompts(&mut dispatcher, START + 100.0).len(), 2);
}

#[test]
fn what_was_told_of_other_proxies_long_ago_counts_no_more() {
    let mut dispatcher = dispatcher(2);
    dispatcher.take_loads(&fleet_load(1, 40_000, 3), START);
    assert_eq!(replicas_of_short_prompts(&mut dispatcher, START + 2_600.0).len(), 2);
}

#[test]
fn a_proxys_own_calls_do_not_count_twice() {
    let mut dispatcher = dispatcher(2);
    let (_call, target) = sent(&mut dispatcher, prompt("aa:6000"), START);
    let told = dispatcher.tell_loads(START).expect("news");
    assert_eq!((told.loads.len(), told.loads[0].tokens, told.loads[0].calls), (1, 6_000, 1));
    dispatcher.take_loads(&told, START);
    // The other replica has more to read than this one's own call.
    let other = if &*target.id == "i-1" { 2 } else { 1 };
    let mut sum = fleet_load(other, 9_000, 1);
    sum.is_whole = 0;
    dispatcher.take_loads(&sum, START);
    assert_eq!(replicas_of_short_prompts(&mut dispatcher, START), HashSet::from([target.id.to_string()]));
}
