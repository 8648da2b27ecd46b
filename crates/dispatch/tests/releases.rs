//! Which version of a service's software gets a request while a release is under way, and what is reported of it.

mod support;

use dispatch::{Dispatcher, Engine, Ms, Next, Outcome, Salts};
use peer::{part_key, PartChange, Prefixes, ReleaseReport, ReplicaRecord, ReplicaState};
use rollout::exposure::{CONTACT_MS, RAMP_MS};
use rollout::{Judged, Order, Phase, Releases, Step};
use rstest::rstest;
use support::*;

/// Replicas 1 to 10 run v1; 11 to 30 run v2, in three zones.
const OLD: std::ops::RangeInclusive<u8> = 1..=10;
const NEW: std::ops::RangeInclusive<u8> = 11..=30;

fn replica(number: u8) -> ReplicaRecord {
    let mut of_zone = record(number, 1);
    of_zone.zone = format!("z{}", number % 3).as_str().into();
    of_zone
}

fn software(number: u8) -> &'static str {
    if OLD.contains(&number) {
        "v1"
    } else {
        "v2"
    }
}

fn add(dispatcher: &mut Dispatcher, numbers: impl Iterator<Item = u8>) {
    for number in numbers {
        dispatcher.note_software(&format!("i-{number}"), software(number));
        dispatcher.update_replica(replica(number));
    }
}

fn fleet() -> Dispatcher {
    let mut dispatcher = dispatcher(0);
    add(&mut dispatcher, OLD.chain(NEW));
    dispatcher.heard_of_majority(START, 0.0);
    dispatcher
}

fn ordered() -> Releases {
    let order = Order::new("s", "v2", 16.0).expect("sound");
    match Releases::default().judge(&order, 0, None) {
        Judged::Begin(releases) => releases,
        other => panic!("{other:?}"),
    }
}

/// The release after these steps.
fn after(steps: &[Step]) -> Releases {
    steps.iter().fold(ordered(), |releases, step| {
        let newest = releases.newest("s").expect("ordered").clone();
        releases.advanced(newest.number, newest.phase, *step, "").expect("fits")
    })
}

/// The versions that so many requests go to, and what share of them to v2. Each is answered at once.
fn share_of_new(dispatcher: &mut Dispatcher, now: Ms, requests: u32) -> f64 {
    let mut new = 0;
    for _ in 0..requests {
        let mut call = dispatcher.begin(ask(true, 2), now);
        let target = dispatcher.send(&mut call, now).expect("sent");
        new += u32::from(is_new(&target.id));
        dispatcher.ended(&mut call, target.replica, Outcome::Answered, now);
    }
    f64::from(new) / f64::from(requests)
}

fn is_new(id: &str) -> bool {
    let number = id.trim_start_matches("i-").parse().expect("a number");
    NEW.contains(&number)
}

#[rstest]
fn a_version_on_trial_gets_its_share() {
    let mut dispatcher = fleet();
    dispatcher.set_releases(ordered(), START);
    let share = share_of_new(&mut dispatcher, START + 100.0, 20_000);
    assert!((0.03..0.05).contains(&share), "{share}");
}

/// So that each has the load of an old one, and faults under load show.
#[rstest]
fn the_trial_uses_few_replicas() {
    let mut dispatcher = fleet();
    dispatcher.set_releases(ordered(), START);
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..5_000 {
        let mut call = dispatcher.begin(ask(true, 2), START);
        let target = dispatcher.send(&mut call, START).expect("sent");
        if is_new(&target.id) {
            used.insert(target.id.to_string());
        }
        dispatcher.ended(&mut call, target.replica, Outcome::Answered, START);
    }
    assert_eq!(used.len(), 4, "{used:?}");
}

/// A proxy that has heard nothing from a majority for long does not know whether the version was reverted.
#[rstest]
fn without_contact_a_version_on_trial_gets_nothing() {
    let mut dispatcher = fleet();
    dispatcher.set_releases(ordered(), START);
    assert_eq!(share_of_new(&mut dispatcher, START + CONTACT_MS as Ms + 1.0, 2_000), 0.0);
    dispatcher.heard_of_majority(START + 4_000.0, 500.0);
    assert!(share_of_new(&mut dispatcher, START + 4_000.0, 2_000) > 0.0);
}

/// The old replicas may have been stopped while a proxy was cut off: it finds that out by itself.
#[rstest]
fn without_contact_the_new_version_serves_once_no_old_replica_is_reached() {
    let mut dispatcher = fleet();
    dispatcher.set_releases(ordered(), START);
    let now = START + CONTACT_MS as Ms + 1.0;
    let mut served = 0;
    for _ in 0..100 {
        let mut call = dispatcher.begin(ask(true, 2), now);
        while let Ok(target) = dispatcher.send(&mut call, now) {
            let outcome = if is_new(&target.id) { Outcome::Answered } else { Outcome::Unreached };
            served += u32::from(is_new(&target.id));
            if dispatcher.ended(&mut call, target.replica, outcome, now) != Next::Repeat {
                break;
            }
        }
    }
    assert!(served > 90, "{served}");
}

#[rstest]
fn the_shift_ends_with_all_at_the_new_version() {
    let mut dispatcher = fleet();
    dispatcher.set_releases(ordered(), START);
    let shifted = START + 1_000.0;
    dispatcher.set_releases(after(&[Step::Shift]), shifted);
    let early = share_of_new(&mut dispatcher, shifted + 200.0, 2_000);
    let later = share_of_new(&mut dispatcher, shifted + RAMP_MS as Ms * 0.9, 2_000);
    assert!(early < 0.1 && later > 0.7, "{early} {later}");
    assert_eq!(share_of_new(&mut dispatcher, shifted + RAMP_MS as Ms, 2_000), 1.0);
}

/// A proxy that starts in the shift has sent nothing to the old version, and sends nothing: others are told drained.
#[rstest]
fn a_proxy_that_starts_in_the_shift_uses_the_new_version_only() {
    let mut dispatcher = fleet();
    dispatcher.set_releases(after(&[Step::Shift]), START);
    assert_eq!(share_of_new(&mut dispatcher, START, 500), 1.0);
}

#[rstest]
#[case::reverting(&[Step::Revert], 0.0)]
#[case::reverted(&[Step::Revert, Step::CompleteRevert], 0.0)]
#[case::reverted_in_the_shift(&[Step::Shift, Step::Revert], 0.0)]
#[case::finished(&[Step::Shift, Step::Finish], 1.0)]
fn after_the_judgement_one_version_gets_all(#[case] steps: &[Step], #[case] share: f64) {
    let mut dispatcher = fleet();
    dispatcher.set_releases(ordered(), START);
    dispatcher.set_releases(after(steps), START + 1.0);
    assert_eq!(share_of_new(&mut dispatcher, START + 1.0, 2_000), share);
    // An older word changes nothing.
    assert!(!dispatcher.set_releases(ordered(), START + 2.0));
    assert_eq!(share_of_new(&mut dispatcher, START + 2.0, 500), share);
}

/// A send after the first goes to the version that is known to work.
#[rstest]
fn what_a_version_on_trial_fails_is_sent_again_to_the_old_one() {
    let mut dispatcher = fleet();
    dispatcher.set_releases(ordered(), START);
    let mut seen = 0;
    for _ in 0..2_000 {
        let mut call = dispatcher.begin(ask(true, 3), START);
        let first = dispatcher.send(&mut call, START).expect("sent");
        if !is_new(&first.id) {
            dispatcher.ended(&mut call, first.replica, Outcome::Answered, START);
            continue;
        }
        seen += 1;
        let next = dispatcher.ended(&mut call, first.replica, Outcome::Failed, START);
        assert_eq!(next, Next::Repeat);
        let second = dispatcher.send(&mut call, START).expect("sent");
        assert!(!is_new(&second.id));
        dispatcher.ended(&mut call, second.replica, Outcome::Answered, START);
    }
    assert!(seen > 50, "{seen}");
}

/// A version that is full or gone costs its trial, not the request.
#[rstest]
fn a_request_that_finds_nobody_on_trial_goes_to_the_old_version() {
    let mut dispatcher = dispatcher(0);
    add(&mut dispatcher, OLD);
    dispatcher.heard_of_majority(START, 0.0);
    dispatcher.set_releases(ordered(), START);
    assert_eq!(share_of_new(&mut dispatcher, START, 2_000), 0.0);
}

/// Before its release is known, a version that comes later gets nothing, however many replicas it has (ROUTE).
#[rstest]
fn a_version_without_a_release_gets_nothing() {
    let mut dispatcher = dispatcher(0);
    add(&mut dispatcher, OLD);
    add(&mut dispatcher, NEW);
    assert_eq!(share_of_new(&mut dispatcher, START, 1_000), 0.0);
    for number in OLD {
        dispatcher.update_replica(later(number, 1, 2, ReplicaState::Draining));
    }
    assert_eq!(share_of_new(&mut dispatcher, START, 100), 1.0, "nobody else is ready");
}

/// Replicas of programs that tell no version, or told by controllers of an earlier release, serve as before.
#[rstest]
fn replicas_without_a_version_serve_as_before() {
    let mut dispatcher = dispatcher(3);
    let mut call = dispatcher.begin(ask(true, 2), START);
    assert!(dispatcher.send(&mut call, START).is_ok());
    dispatcher.set_releases(ordered(), START);
    let mut call = dispatcher.begin(ask(true, 2), START);
    assert!(dispatcher.send(&mut call, START).is_ok(), "they are of the version before");
}

/// The next release: what was reverted gets nothing, whatever is on trial.
#[rstest]
fn a_reverted_version_stays_out_of_the_next_release() {
    let mut dispatcher = fleet();
    let reverted = after(&[Step::Revert, Step::CompleteRevert]);
    let order = Order::new("s", "v3", 16.0).expect("sound");
    let Judged::Begin(next) = reverted.judge(&order, 0, None) else { panic!("not begun") };
    dispatcher.set_releases(next, START);
    assert_eq!(share_of_new(&mut dispatcher, START, 2_000), 0.0);
}

fn only_report(dispatcher: &mut Dispatcher, now: Ms) -> ReleaseReport {
    let mut reports = dispatcher.release_reports(now);
    assert_eq!(reports.len(), 1);
    reports.remove(0)
}

#[rstest]
fn reports_tell_answers_by_version_and_replica_once() {
    let mut dispatcher = fleet();
    dispatcher.set_releases(ordered(), START);
    let (mut good, mut bad) = (0, 0);
    for place in 0..3_000 {
        let mut call = dispatcher.begin(ask(false, 1), START);
        let target = dispatcher.send(&mut call, START).expect("sent");
        let fails = is_new(&target.id) && place % 2 == 0;
        let outcome = if fails { Outcome::Failed } else { Outcome::Answered };
        dispatcher.ended(&mut call, target.replica, outcome, START + 40.0);
        if is_new(&target.id) {
            (good, bad) = (good + u32::from(!fails), bad + u32::from(fails));
        }
    }
    let report = only_report(&mut dispatcher, START + 50.0);
    assert_eq!((report.phase, report.is_drained), (Phase::Trial.number(), 0));
    let of_new = report.answers.iter().filter(|answers| answers.is_new != 0);
    let sums = of_new.fold((0, 0), |sums, one| (sums.0 + u32::from(one.good), sums.1 + u32::from(one.bad)));
    assert_eq!(sums, (good, bad));
    let old: u32 = report.answers.iter().filter(|it| it.is_new == 0).map(|it| u32::from(it.good)).sum();
    assert_eq!(old, 3_000 - good - bad);
    assert!(dispatcher.release_reports(START + 60.0).is_empty(), "four a second are enough");
    assert!(only_report(&mut dispatcher, START + 300.0).answers.is_empty(), "told once");
}

/// Proofs that a request was not run say nothing of a version's answers.
#[rstest]
#[case(Outcome::Unreached)]
#[case(Outcome::Full { retry_after: None })]
#[case(Outcome::Elsewhere)]
#[case(Outcome::OtherVersion)]
#[case(Outcome::Outdated)]
fn what_was_not_run_is_not_counted(#[case] outcome: Outcome) {
    let mut dispatcher = fleet();
    dispatcher.set_releases(ordered(), START);
    let mut call = dispatcher.begin(ask(true, 2), START);
    let target = dispatcher.send(&mut call, START).expect("sent");
    dispatcher.ended(&mut call, target.replica, outcome, START + 10.0);
    assert!(only_report(&mut dispatcher, START + 20.0).answers.is_empty());
}

/// What is out at the old version is owed, also by a request that came long before the shift.
#[rstest]
fn a_proxy_is_drained_once_nothing_is_out_at_the_old_version() {
    let mut dispatcher = fleet();
    dispatcher.set_releases(ordered(), START);
    let mut call = loop {
        let mut call = dispatcher.begin(ask(true, 2), START);
        let target = dispatcher.send(&mut call, START).expect("sent");
        if !is_new(&target.id) {
            break (call, target);
        }
        dispatcher.ended(&mut call, target.replica, Outcome::Answered, START);
    };
    dispatcher.set_releases(after(&[Step::Shift]), START);
    let whole = START + RAMP_MS as Ms;
    assert_eq!(only_report(&mut dispatcher, whole - 1.0).is_drained, 0, "the ramp is not over");
    assert_eq!(only_report(&mut dispatcher, whole + 300.0).is_drained, 0, "one is out");
    dispatcher.ended(&mut call.0, call.1.replica, Outcome::Answered, whole + 400.0);
    assert_eq!(only_report(&mut dispatcher, whole + 600.0).is_drained, 1);
    dispatcher.set_releases(after(&[Step::Shift, Step::Finish]), whole + 700.0);
    assert!(dispatcher.release_reports(whole + 1_000.0).is_empty(), "it is over");
}

/// The old replicas are stopped at the end: nothing is fetched from them, and nothing goes there while a new one is ready.
#[rstest]
fn the_end_leaves_nothing_to_the_old_version() {
    let mut dispatcher = fleet();
    dispatcher.set_releases(after(&[Step::Shift, Step::Finish]), START);
    assert_eq!(share_of_new(&mut dispatcher, START, 1_000), 1.0);
    for number in NEW {
        dispatcher.update_replica(later(number, 1, 2, ReplicaState::Draining));
    }
    assert_eq!(share_of_new(&mut dispatcher, START, 100), 0.0, "who is left serves");
}

/// A twin that wins would hide what the version on trial answers.
#[rstest]
fn what_goes_to_a_version_on_trial_has_no_twin() {
    let mut dispatcher = fleet();
    dispatcher.set_twin_part(1.0);
    dispatcher.set_releases(ordered(), START);
    let (mut of_old, mut of_new) = (0, 0);
    for _ in 0..3_000 {
        let mut call = dispatcher.begin(ask(true, 2), START);
        let first = dispatcher.send(&mut call, START).expect("sent");
        let twin = dispatcher.twin(&mut call, START);
        assert!(twin.as_ref().is_none_or(|twin| !is_new(&twin.id)), "a twin is a send after the first");
        let twins = if is_new(&first.id) { &mut of_new } else { &mut of_old };
        *twins += u32::from(twin.is_some());
        let sent = [Some(first), twin];
        for target in sent.into_iter().flatten() {
            dispatcher.ended(&mut call, target.replica, Outcome::Answered, START);
        }
    }
    assert!(of_old > 100 && of_new == 0, "{of_old} {of_new}");
}

/// Replicas that are stopped hold a move up for a tenth of a second.
#[rstest]
#[case::shift(&[Step::Shift], true)]
#[case::finished(&[Step::Shift, Step::Finish], false)]
fn blocks_are_fetched_from_the_old_version_until_it_is_stopped(
    #[case] steps: &[Step],
    #[case] fetches: bool,
) {
    let mut dispatcher = fleet();
    let engine = Engine { token_bytes: 163_840.0, link_mbps: 1_100_000.0 };
    dispatcher.set_moves([(String::from("s"), engine)].into(), Vec::new());
    let part = part_key("m", &Salts::default().salt(1, None), "aa");
    let holder = dispatcher.replica_number("i-1").expect("known");
    let news = Prefixes::new("i-1", 7, false, vec![PartChange { part, tokens: 5_000 }]);
    dispatcher.take_prefixes(holder, &news);
    dispatcher.set_releases(after(steps), START);
    let (_, target) = sent(&mut dispatcher, prompt("aa:5000,b1:10"), START);
    assert!(is_new(&target.id));
    assert_eq!(target.fetch.is_some(), fetches);
}
