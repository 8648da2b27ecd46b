//! Which reason a late answer is counted under, and what becomes of prompt tokens.

mod support;

use dispatch::{Ask, Cause, Dispatcher, LateReason, Next, Outcome, Salts, TokenUse};
use peer::{part_key, PartChange, Prefixes};
use rstest::rstest;
use support::*;

/// Time to the target, ms.
const TARGET: f64 = 400.0;

fn with_target(text: &str) -> Ask {
    Ask { target: Some(START + TARGET), ..prompt(text) }
}

/// What was counted as late.
fn late(dispatcher: &Dispatcher) -> Vec<LateReason> {
    let counted = dispatcher.figures().late().filter(|(_, count)| *count > 0);
    counted.inspect(|(_, count)| assert_eq!(*count, 1)).map(|(reason, _)| reason).collect()
}

/// A request whose first piece comes after so many ms.
fn begins_after(dispatcher: &mut Dispatcher, ask: Ask, after: f64) {
    let (mut call, target) = sent(dispatcher, ask, START);
    dispatcher.began(&mut call, target.replica, START + after);
    dispatcher.ended(&mut call, target.replica, Outcome::Answered, START + after);
}

#[rstest]
#[case::in_time("aa:100,bb:10", 399.0, &[])]
#[case::own_prompt("aa:600,bb:20000", 600.0, &[LateReason::OwnPrompt])]
#[case::first_reading("aa:20000,bb:10", 600.0, &[LateReason::FirstReading])]
#[case::queue("aa:600,bb:10", 600.0, &[LateReason::Queue])]
fn a_late_answer_is_counted_under_the_longest_part_of_its_time(
    #[case] text: &str,
    #[case] after: f64,
    #[case] expected: &[LateReason],
) {
    let mut dispatcher = dispatcher(2);
    begins_after(&mut dispatcher, with_target(text), after);
    assert_eq!(late(&dispatcher), expected);
    assert_eq!(dispatcher.figures().in_time(), u64::from(expected.is_empty()));
}

#[test]
fn what_was_read_before_and_dropped_is_read_again() {
    let mut dispatcher = dispatcher(1);
    let part = part_key("m", &Salts::default().salt(1, None), "aa");
    let one = dispatcher.replica_number("i-1").expect("known");
    for tokens in [20_000, 0] {
        let change = PartChange { part, tokens };
        dispatcher.take_prefixes(one, &Prefixes::new("i-1", 1, false, vec![change]));
    }
    begins_after(&mut dispatcher, with_target("aa:20000,bb:10"), 600.0);
    assert_eq!(late(&dispatcher), [LateReason::Rereading]);
    let tokens: Vec<_> = dispatcher.figures().tokens().filter(|(_, count)| *count > 0).collect();
    assert_eq!(tokens, [(TokenUse::Own, 10), (TokenUse::Rereading, 20_000)]);
}

#[rstest]
#[case::turned_away(FULL, LateReason::TurnedAway)]
#[case::other_weights(Outcome::OtherVersion, LateReason::Weights)]
#[case::not_reached(Outcome::Unreached, LateReason::ReplicaFailed)]
fn an_answer_of_a_later_send_is_late_for_what_went_before(
    #[case] first: Outcome,
    #[case] expected: LateReason,
) {
    let mut dispatcher = dispatcher(2);
    let (mut call, target) = sent(&mut dispatcher, with_target("aa:100,bb:10"), START);
    assert_eq!(dispatcher.ended(&mut call, target.replica, first, START + 1.0), Next::Repeat);
    let second = dispatcher.send(&mut call, START + 1.0).expect("another");
    dispatcher.began(&mut call, second.replica, START + 500.0);
    assert_eq!(late(&dispatcher), [expected]);
}

#[test]
fn what_is_given_up_is_counted_by_its_cause() {
    let mut dispatcher = dispatcher(1);
    dispatcher.given_up(Cause::NoBudget);
    let counted: Vec<_> = dispatcher.figures().given_up().filter(|(_, count)| *count > 0).collect();
    assert_eq!(counted, [(Cause::NoBudget, 1)]);
}
