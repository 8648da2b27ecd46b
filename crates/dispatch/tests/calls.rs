//! What may be sent again, and what the client is told when all is given up.

mod support;

use dispatch::{Cause, Next, Outcome};
use peer::ReplicaState;
use rstest::rstest;
use support::*;

#[rstest]
fn proof_lets_any_request_go_elsewhere(
    #[values(FULL, Outcome::Elsewhere, Outcome::OtherVersion, Outcome::Unreached)] proof: Outcome,
    #[values(false, true)] idempotent: bool,
) {
    let mut dispatcher = dispatcher(3);
    let (mut call, first) = sent(&mut dispatcher, ask(idempotent, 2), START);
    assert_eq!(dispatcher.ended(&mut call, first.replica, proof, START), Next::Repeat);
    let second = dispatcher.send(&mut call, START).expect("another replica");
    assert_ne!(second.replica, first.replica);
    assert!(!call.is_in_doubt());
}

#[rstest]
#[case::broken(Outcome::Broken, 502, Cause::InDoubt)]
#[case::expired(Outcome::Expired, 504, Cause::Expired)]
fn a_writing_request_in_doubt_is_given_up(#[case] doubt: Outcome, #[case] status: u16, #[case] cause: Cause) {
    let mut dispatcher = dispatcher(3);
    let (mut call, first) = sent(&mut dispatcher, ask(false, 3), START);
    let last = last(dispatcher.ended(&mut call, first.replica, doubt, START));
    assert_eq!((last.status, last.retry_after, last.cause), (status, None, cause));
}

#[test]
fn proof_after_doubt_does_not_become_a_promise() {
    let mut dispatcher = dispatcher(3);
    let (mut call, first) = sent(&mut dispatcher, ask(true, 2), START);
    assert_eq!(dispatcher.ended(&mut call, first.replica, Outcome::Broken, START), Next::Repeat);
    let second = dispatcher.send(&mut call, START).expect("another replica");
    let last = last(dispatcher.ended(&mut call, second.replica, FULL, START));
    assert_eq!((last.status, last.retry_after), (502, None));
}

#[test]
fn tries_bound_the_sends_and_the_promise_is_kept() {
    let mut dispatcher = dispatcher(4);
    let (mut call, first) = sent(&mut dispatcher, ask(false, 2), START);
    dispatcher.ended(&mut call, first.replica, FULL, START);
    let second = dispatcher.send(&mut call, START).expect("another replica");
    let told = Outcome::Full { retry_after: Some(400.0) };
    let last = last(dispatcher.ended(&mut call, second.replica, told, START));
    assert_eq!((last.status, last.retry_after, last.cause), (503, Some(400.0), Cause::NoTries));
}

#[test]
fn replicas_that_can_not_be_reached_cost_no_tries() {
    let mut dispatcher = dispatcher(5);
    let (mut call, mut target) = sent(&mut dispatcher, ask(false, 1), START);
    for _ in 0..3 {
        assert_eq!(dispatcher.ended(&mut call, target.replica, Outcome::Unreached, START), Next::Repeat);
        target = dispatcher.send(&mut call, START).expect("another replica");
    }
    assert_eq!(call.sends(), 1);
    let last = last(dispatcher.ended(&mut call, target.replica, Outcome::Unreached, START));
    assert_eq!((last.status, last.cause), (503, Cause::Unreached));
}

#[test]
fn the_replicas_own_failure_is_the_last_word_unless_it_may_be_repeated() {
    let mut dispatcher = dispatcher(3);
    let (mut call, target) = sent(&mut dispatcher, ask(false, 2), START);
    let last_word = last(dispatcher.ended(&mut call, target.replica, Outcome::Failed, START));
    assert_eq!((last_word.status, last_word.retry_after, last_word.cause), (502, None, Cause::InDoubt));
    let (mut call, target) = sent(&mut dispatcher, ask(true, 2), START);
    assert_eq!(dispatcher.ended(&mut call, target.replica, Outcome::Failed, START), Next::Repeat);
    let target = dispatcher.send(&mut call, START).expect("another replica");
    let last_word = last(dispatcher.ended(&mut call, target.replica, Outcome::Failed, START));
    assert_eq!((last_word.status, last_word.retry_after, last_word.cause), (502, None, Cause::NoTries));
}

#[test]
fn a_spent_budget_ends_further_sends() {
    let mut dispatcher = dispatcher(3);
    let mut repeated = 0;
    for _ in 0..60 {
        let (mut call, target) = sent(&mut dispatcher, ask(true, 2), START);
        match dispatcher.ended(&mut call, target.replica, Outcome::Broken, START) {
            Next::Repeat => {
                repeated += 1;
                let second = dispatcher.send(&mut call, START).expect("another replica");
                dispatcher.ended(&mut call, second.replica, Outcome::Answered, START);
            }
            next => assert_eq!((last(next).status, last(next).cause), (502, Cause::NoBudget)),
        }
    }
    // Half of 40, and three quarters of a fifth of 60 requests, less what the last ones earned too late.
    assert!((20..=29).contains(&repeated), "{repeated}");
}

#[test]
fn nothing_is_sent_again_when_the_time_is_over() {
    let mut dispatcher = dispatcher(3);
    let (mut call, target) = sent(&mut dispatcher, ask(true, 3), START);
    let last = last(dispatcher.ended(&mut call, target.replica, Outcome::Broken, START + 4_990.0));
    assert_eq!((last.status, last.cause), (504, Cause::Expired));
}

#[rstest]
#[case(ReplicaState::Draining)]
#[case(ReplicaState::Lost)]
#[case(ReplicaState::Gone)]
fn only_ready_replicas_get_requests(#[case] state: ReplicaState) {
    let mut dispatcher = dispatcher(2);
    dispatcher.update_replica(later(1, 1, 2, state));
    for _ in 0..20 {
        assert_eq!(&*answered(&mut dispatcher, ask(false, 1), START).id, "i-2");
    }
    dispatcher.update_replica(later(2, 1, 2, state));
    let mut call = dispatcher.begin(ask(false, 1), START);
    let last = dispatcher.send(&mut call, START).expect_err("nobody is ready");
    assert_eq!((last.status, last.retry_after.is_some(), last.cause), (503, true, Cause::NoReplica));
}

#[test]
fn an_older_record_changes_nothing_and_a_lost_replica_may_come_back() {
    let mut dispatcher = dispatcher(1);
    dispatcher.update_replica(later(1, 1, 5, ReplicaState::Lost));
    dispatcher.update_replica(later(1, 1, 4, ReplicaState::Ready));
    assert_eq!(dispatcher.ready_replicas(), 0);
    dispatcher.update_replica(later(1, 1, 6, ReplicaState::Ready));
    assert_eq!(dispatcher.ready_replicas(), 1);
}

#[test]
fn evidence_never_rules_out_all_replicas() {
    let mut dispatcher = dispatcher(2);
    for _ in 0..6 {
        let mut call = dispatcher.begin(ask(false, 1), START);
        while let Ok(target) = dispatcher.send(&mut call, START) {
            if dispatcher.ended(&mut call, target.replica, Outcome::Unreached, START) != Next::Repeat {
                break;
            }
        }
    }
    let mut call = dispatcher.begin(ask(false, 1), START);
    assert!(dispatcher.send(&mut call, START).is_ok());
}

#[test]
fn a_replica_that_can_not_be_reached_is_avoided_for_a_while() {
    let mut dispatcher = dispatcher(2);
    let (mut call, bad) = sent(&mut dispatcher, ask(false, 1), START);
    dispatcher.ended(&mut call, bad.replica, Outcome::Unreached, START);
    let goes_to_bad = |dispatcher: &mut dispatch::Dispatcher, now| {
        (0..30).any(|_| {
            let mut ask = ask(false, 1);
            ask.deadline = now + 5_000.0;
            answered(dispatcher, ask, now).replica == bad.replica
        })
    };
    assert!(!goes_to_bad(&mut dispatcher, START + 100.0));
    assert!(goes_to_bad(&mut dispatcher, START + 1_000.0));
}

#[test]
fn a_fleet_that_is_full_is_told_at_once_and_for_a_short_time() {
    let mut dispatcher = dispatcher(2);
    let (mut call, target) = sent(&mut dispatcher, ask(false, 2), START);
    dispatcher.ended(&mut call, target.replica, FULL, START);
    let target = dispatcher.send(&mut call, START).expect("the other one");
    dispatcher.ended(&mut call, target.replica, FULL, START);
    let mut next = dispatcher.begin(ask(false, 2), START + 1.0);
    let last = dispatcher.send(&mut next, START + 1.0).expect_err("all are full");
    assert_eq!((last.status, last.cause), (503, Cause::AllFull));
    assert!(last.retry_after.is_some_and(|after| after > 0.0));
    let mut next = dispatcher.begin(ask(false, 2), START + 600.0);
    assert!(dispatcher.send(&mut next, START + 600.0).is_ok());
}

/// A dispatcher that sends as many twins as it may, after requests that earn them.
fn with_twins(replicas: u8) -> dispatch::Dispatcher {
    let mut dispatcher = dispatcher(replicas);
    dispatcher.set_twin_part(1.0);
    for _ in 0..40 {
        answered(&mut dispatcher, ask(false, 1), START);
    }
    dispatcher
}

#[test]
fn a_twin_goes_to_another_replica_and_the_loser_is_forgotten() {
    let mut dispatcher = with_twins(4);
    let (mut call, first) = sent(&mut dispatcher, ask(true, 2), START);
    let twin = dispatcher.twin(&mut call, START).expect("a twin");
    assert_ne!(twin.replica, first.replica);
    assert_eq!(call.sends(), 2);
    // One fails: the other decides.
    assert_eq!(dispatcher.ended(&mut call, first.replica, Outcome::Broken, START), Next::Nothing);
    assert_eq!(dispatcher.ended(&mut call, twin.replica, Outcome::Answered, START), Next::Nothing);
}

#[rstest]
#[case::writing(ask(false, 2))]
#[case::one_try(ask(true, 1))]
fn no_twin_for(#[case] ask: dispatch::Ask) {
    let mut dispatcher = with_twins(4);
    let (mut call, _) = sent(&mut dispatcher, ask, START);
    assert_eq!(dispatcher.twin(&mut call, START), None);
}

#[test]
fn twins_are_a_tenth_of_requests_at_most_and_off_until_told() {
    let count = |dispatcher: &mut dispatch::Dispatcher| {
        let mut twins = 0;
        for _ in 0..100 {
            let (mut call, first) = sent(dispatcher, ask(true, 2), START);
            if let Some(twin) = dispatcher.twin(&mut call, START) {
                twins += 1;
                dispatcher.ended(&mut call, twin.replica, Outcome::Abandoned, START);
            }
            dispatcher.ended(&mut call, first.replica, Outcome::Answered, START);
        }
        twins
    };
    assert_eq!(count(&mut dispatcher(4)), 0);
    // Three were saved up, and ten are earned.
    assert!((10..=13).contains(&count(&mut with_twins(4))));
}

#[test]
fn no_twin_while_the_retry_budget_is_short() {
    let mut dispatcher = with_twins(4);
    while {
        let (mut call, first) = sent(&mut dispatcher, ask(true, 2), START);
        dispatcher.ended(&mut call, first.replica, Outcome::Failed, START) == Next::Repeat
            && dispatcher.send(&mut call, START).is_ok()
    } {}
    let (mut call, _) = sent(&mut dispatcher, ask(true, 2), START);
    assert_eq!(dispatcher.twin(&mut call, START), None);
}

/// Replicas are lost for good now and then; what a proxy keeps in mind of them is bounded, and one that is back counts again.
#[rstest]
fn lost_replicas_are_kept_in_mind_up_to_a_bound() {
    let mut dispatcher = dispatcher(1);
    for number in 2..=255 {
        dispatcher.update_replica(record(number, 1));
        dispatcher.update_replica(later(number, 1, 2, ReplicaState::Lost));
    }
    dispatcher.update_replica(later(2, 1, 3, ReplicaState::Ready));
    assert!(dispatcher.replica_number("i-3").is_some(), "as many as that are kept");
    for number in 0..10 {
        let mut another = record(3, 1);
        another.id = format!("j-{number}").as_str().into();
        dispatcher.update_replica(another.clone());
        (another.beat, another.state) = (2, ReplicaState::Lost);
        dispatcher.update_replica(another);
    }
    assert!(dispatcher.replica_number("i-3").is_none(), "the first that was lost goes first");
    assert!(dispatcher.replica_number("j-9").is_some());
    assert!(dispatcher.replica_number("i-2").is_some(), "it is back");
    dispatcher.update_replica(later(3, 1, 9, ReplicaState::Ready));
    assert!(dispatcher.replica_number("i-3").is_some(), "it is known again");
}
