//! Orders, and what the register makes of them.

use rollout::{Judged, Order, OrderError, Phase, Releases, State, Step};
use rstest::rstest;
use strum::IntoEnumIterator;

const NOON_MS: u64 = 1_700_000_000_000;

fn order(to_version: &str, over_s: f64) -> Order {
    Order::new("reader", to_version, over_s).expect("a sound order")
}

fn begun(before: &Releases, to_version: &str, wall_ms: u64) -> Releases {
    match before.judge(&order(to_version, 12.0), wall_ms, None) {
        Judged::Begin(next) => next,
        other => panic!("{to_version} on {before:?}: {other:?}"),
    }
}

fn stepped(before: &Releases, steps: &[Step]) -> Releases {
    steps.iter().fold(before.clone(), |releases, step| {
        let newest = releases.newest("reader").expect("a release").clone();
        releases.advanced(newest.number, newest.phase, *step, "because").expect("the step fits")
    })
}

#[rstest]
#[case("", "v2", 12.0, "service must hold 1 to 256 bytes; it holds 0")]
#[case("reader", "", 12.0, "to-version must hold 1 to 256 bytes; it holds 0")]
#[case("reader", "v2", 0.0, "over-s must be above 0 and at most 86400; it is 0")]
#[case("reader", "v2", -1.0, "over-s must be above 0 and at most 86400; it is -1")]
#[case("reader", "v2", f64::NAN, "over-s must be above 0 and at most 86400; it is NaN")]
#[case("reader", "v2", f64::INFINITY, "over-s must be above 0 and at most 86400; it is inf")]
#[case("reader", "v2", 86_401.0, "over-s must be above 0 and at most 86400; it is 86401")]
fn an_order_that_makes_no_sense_names_its_field(
    #[case] service: &str,
    #[case] to_version: &str,
    #[case] over_s: f64,
    #[case] why: &str,
) {
    let refused = Order::new(service, to_version, over_s).expect_err("refused");
    assert_eq!(refused.to_string(), why);
    let is_named = matches!(refused, OrderError::Name(..) | OrderError::Duration(_));
    assert!(is_named);
}

/// An order whose acknowledgement was lost comes again, whatever has become of its release meanwhile.
#[rstest]
#[case::trial(&[])]
#[case::shift(&[Step::Shift])]
#[case::finished(&[Step::Shift, Step::Finish])]
#[case::reverting(&[Step::Revert])]
#[case::reverted(&[Step::Revert, Step::CompleteRevert])]
fn the_same_order_again_is_taken(#[case] steps: &[Step]) {
    let releases = stepped(&begun(&Releases::default(), "v2", NOON_MS), steps);
    assert_eq!(releases.judge(&order("v2", 12.0), NOON_MS + 30_000, None), Judged::Taken);
    assert_eq!(releases.judge(&order("v2", 12.0), NOON_MS + 30_000, Some("v2")), Judged::Taken);
}

#[rstest]
fn of_two_orders_for_one_service_the_second_waits_for_the_end_of_the_first() {
    let first = begun(&Releases::default(), "v2", NOON_MS);
    let judged = first.judge(&order("v3", 12.0), NOON_MS, None);
    assert_eq!(judged, Judged::UnderWay("v2".to_string()));
    let reverted = stepped(&first, &[Step::Revert, Step::CompleteRevert]);
    let second = begun(&reverted, "v3", NOON_MS);
    let numbers = (first.newest("reader").map(|it| it.number), second.newest("reader").map(|it| it.number));
    assert!(numbers.0 < numbers.1, "{numbers:?}");
    assert!(second.of("reader").is_some_and(|known| known.is_barred("v2") && !known.is_barred("v3")));
}

#[rstest]
fn the_version_that_serves_is_no_target() {
    let finished = stepped(&begun(&Releases::default(), "v2", NOON_MS), &[Step::Shift, Step::Finish]);
    assert_eq!(finished.judge(&order("v2", 9.0), NOON_MS, None), Judged::Serves);
    assert_eq!(Releases::default().judge(&order("v1", 9.0), NOON_MS, Some("v1")), Judged::Serves);
    let third = begun(&finished, "v3", NOON_MS);
    assert_eq!(third.of("reader").and_then(|known| known.version_before()), Some("v2"));
}

/// A version that was reverted may be tried again once its order can be no repeat any more.
#[rstest]
fn a_reverted_version_may_be_ordered_again_later() {
    let reverted =
        stepped(&begun(&Releases::default(), "v2", NOON_MS), &[Step::Revert, Step::CompleteRevert]);
    let again = begun(&reverted, "v2", NOON_MS + 60_000);
    assert_eq!(again.newest("reader").map(|release| release.phase), Some(Phase::Trial));
    assert!(again.of("reader").is_some_and(|known| !known.is_barred("v2")));
}

#[rstest]
fn many_releases_and_services_are_bounded() {
    let mut releases = Releases::default();
    for place in 0..100 {
        releases = begun(&releases, &format!("v{place}"), NOON_MS);
        releases = stepped(&releases, &[Step::Revert, Step::CompleteRevert]);
    }
    assert!(releases.bytes().len() < 4_000, "{}", releases.bytes().len());
    for place in 1..rollout::MOST_SERVICES {
        let order = Order::new(&format!("s{place}"), "v2", 1.0).expect("sound");
        let Judged::Begin(next) = releases.judge(&order, NOON_MS, None) else { panic!("service {place}") };
        releases = next;
    }
    let order = Order::new("one more", "v2", 1.0).expect("sound");
    assert_eq!(releases.judge(&order, NOON_MS, None), Judged::TooManyServices);
    assert_eq!(Releases::read(&releases.bytes()), Ok(releases));
}

#[rstest]
fn a_value_that_is_cut_or_longer_is_refused() {
    let bytes = begun(&Releases::default(), "v2", NOON_MS).bytes();
    for end in 0..bytes.len() {
        assert!(Releases::read(&bytes[..end]).is_err(), "{end} of {} bytes", bytes.len());
    }
    assert!(Releases::read(&[bytes, vec![0]].concat()).is_err());
}

/// The table of phases and steps: what is not in it is refused, and a step is taken once.
#[rstest]
fn each_step_fits_one_phase_or_two() {
    let allowed = [
        (Phase::Trial, Step::Shift, Phase::Shift),
        (Phase::Trial, Step::Revert, Phase::Reverting),
        (Phase::Shift, Step::Finish, Phase::Finished),
        (Phase::Shift, Step::Revert, Phase::Reverting),
        (Phase::Reverting, Step::CompleteRevert, Phase::Reverted),
    ];
    for phase in Phase::iter() {
        for step in Step::iter() {
            let listed = allowed.iter().find(|(from, by, _)| (*from, *by) == (phase, step));
            assert_eq!(phase.after(step), listed.map(|(_, _, to)| *to), "{phase} {step}");
        }
    }
    let releases = begun(&Releases::default(), "v2", NOON_MS);
    let number = releases.newest("reader").expect("a release").number;
    let shifted = releases.advanced(number, Phase::Trial, Step::Shift, "sound").expect("fits");
    assert_eq!(shifted.advanced(number, Phase::Trial, Step::Revert, "late"), None);
    assert_eq!(shifted.advanced(number + 1, Phase::Shift, Step::Finish, "other"), None);
    assert!(shifted.revision > releases.revision);
}

#[rstest]
#[case(Phase::Trial, State::Serving)]
#[case(Phase::Shift, State::Serving)]
#[case(Phase::Reverting, State::Serving)]
#[case(Phase::Finished, State::Finished)]
#[case(Phase::Reverted, State::Reverted)]
fn operators_are_told_one_of_three_states(#[case] phase: Phase, #[case] state: State) {
    assert_eq!(phase.state(), state);
    assert_eq!(phase.is_over(), state != State::Serving);
}
