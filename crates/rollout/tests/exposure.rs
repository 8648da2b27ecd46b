//! How much of the traffic a new version gets, and on which replicas.

use rollout::exposure::{ramp_ms, route_share, shift_from, trial_share, Exposure, CONTACT_MS, RAMP_MS};
use rollout::{trial_replicas, Phase, TrialCandidate};
use rstest::rstest;
use std::collections::BTreeSet;

const OVER_MS: u64 = 16_000;

fn exposure(phase: Phase, known_for_ms: u64) -> Exposure {
    Exposure { phase, known_for_ms, over_ms: OVER_MS, has_contact: true, trial_share: trial_share(0.1) }
}

#[rstest]
#[case(Phase::Trial, 0.04)]
#[case(Phase::Finished, 1.0)]
#[case(Phase::Reverting, 0.0)]
#[case(Phase::Reverted, 0.0)]
fn the_share_follows_the_phase(#[case] phase: Phase, #[case] share: f64) {
    for known_for_ms in [0, 1_000, 100_000] {
        assert_eq!(exposure(phase, known_for_ms).share(), share);
    }
}

/// A proxy that hears nothing sends nothing to a version that may have been reverted.
#[rstest]
fn a_proxy_out_of_touch_gives_a_version_on_trial_nothing() {
    let share = Exposure { has_contact: false, ..exposure(Phase::Trial, 0) }.share();
    assert_eq!(share, 0.0);
    // Less than the operators allow a bad version after its 50th bad answer.
    const { assert!(CONTACT_MS < 5_000) };
}

#[rstest]
#[case(0.1, 0.04)]
#[case(0.05, 0.02)]
#[case(0.5, 0.04)]
#[case(0.0, 0.0)]
fn the_trial_takes_a_part_of_what_a_bad_version_may_get(#[case] bad_share: f64, #[case] share: f64) {
    assert!((trial_share(bad_share) - share).abs() < 1e-9);
}

#[rstest]
fn the_shift_rises_without_a_fall_and_ends_whole() {
    let shares: Vec<f64> = (0..=RAMP_MS).map(|ms| exposure(Phase::Shift, ms).share()).collect();
    assert!(shares.windows(2).all(|pair| pair[0] <= pair[1]));
    assert_eq!((shares[0], shares.last()), (0.04, Some(&1.0)));
    assert!(exposure(Phase::Shift, RAMP_MS).is_whole());
}

/// A version that turns bad once it has all of the traffic, and is reverted 0.4 s later, has had what is allowed.
#[rstest]
#[case::short(12_000, 770.0)]
#[case::long(16_000, 770.0)]
#[case::drava(14_000, 783.0)]
fn what_a_version_gets_that_turns_bad_in_the_shift_is_allowed(#[case] over_ms: u64, #[case] per_s: f64) {
    let trial = shift_from(over_ms) as f64 / 1_000.0 * per_s * trial_share(0.1);
    let allowed = 0.1 * over_ms as f64 / 1_000.0 * per_s + 50.0;
    let step_s = 0.01;
    let mut got = trial;
    let mut turned_at = 0.0;
    while turned_at < RAMP_MS as f64 / 1_000.0 + 0.4 {
        got += exposure(Phase::Shift, (turned_at * 1_000.0) as u64).share() * per_s * step_s;
        turned_at += step_s;
    }
    assert!(got < allowed, "{got} of {allowed}");
}

#[rstest]
#[case(16_000, 9_000)]
#[case(4_000, 2_000)]
#[case(1, 1)]
fn a_short_release_keeps_half_of_its_time_for_the_trial(#[case] over_ms: u64, #[case] from: u64) {
    assert_eq!(shift_from(over_ms), from);
    assert!(ramp_ms(over_ms) <= RAMP_MS);
}

/// A rare route gets more of its traffic, and all together no more than the share.
#[rstest]
#[case::two(&[63.0, 705.0])]
#[case::even(&[100.0, 100.0])]
#[case::one(&[10.0])]
#[case::many(&[1.0, 2.0, 300.0, 500.0, 0.1])]
fn the_shares_of_all_routes_together_are_the_trials(#[case] per_s: &[f64]) {
    let all: f64 = per_s.iter().sum();
    let share = |rate: f64| route_share(0.05, rate / all, per_s.len());
    let together: f64 = per_s.iter().map(|rate| rate / all * share(*rate)).sum();
    assert!(together <= 0.05 + 1e-9 && together > 0.02, "{together}");
    assert!(per_s.iter().all(|rate| share(*rate) <= 0.125 + 1e-9));
}

fn fleet(count: usize, zones: usize) -> Vec<(String, String)> {
    (0..count).map(|place| (format!("i-{place}"), format!("z{}", place % zones))).collect()
}

fn chosen(number: u64, fleet: &[(String, String)], cold: &[usize]) -> Vec<usize> {
    let candidate = |(place, (id, zone)): (usize, &'static (String, String))| TrialCandidate {
        id,
        zone,
        is_warm: !cold.contains(&place),
    };
    // Leaked: a test's few names.
    let fleet: &'static [(String, String)] = Box::leak(fleet.to_vec().into_boxed_slice());
    let candidates: Vec<TrialCandidate> = fleet.iter().enumerate().map(candidate).collect();
    trial_replicas(number, 0.05, &candidates)
}

#[rstest]
#[case::few(2, 2, 2)]
#[case::fifty(48, 3, 4)]
#[case::seventy(71, 4, 4)]
#[case::three_hundred(300, 3, 15)]
fn the_trial_takes_few_replicas_of_all_zones(
    #[case] count: usize,
    #[case] zones: usize,
    #[case] wanted: usize,
) {
    let fleet = fleet(count, zones);
    let places = chosen(7, &fleet, &[]);
    assert_eq!(places.len(), wanted);
    let used: BTreeSet<&str> = places.iter().map(|place| fleet[*place].1.as_str()).collect();
    assert_eq!(used.len(), zones.min(wanted));
}

/// All proxies choose the same, in whatever order they heard of the replicas; another release chooses others.
#[rstest]
fn the_choice_depends_on_release_and_ids_only() {
    let fleet = fleet(48, 3);
    let reversed: Vec<_> = fleet.iter().rev().cloned().collect();
    let ids = |places: Vec<usize>, of: &[(String, String)]| {
        places.into_iter().map(|place| of[place].0.clone()).collect::<BTreeSet<_>>()
    };
    assert_eq!(ids(chosen(7, &fleet, &[]), &fleet), ids(chosen(7, &reversed, &[]), &reversed));
    assert_ne!(ids(chosen(7, &fleet, &[]), &fleet), ids(chosen(8, &fleet, &[]), &fleet));
}

#[rstest]
fn replicas_that_are_still_slow_from_their_start_wait() {
    let fleet = fleet(12, 3);
    let first = chosen(7, &fleet, &[]);
    let others = chosen(7, &fleet, &first);
    assert!(others.iter().all(|place| !first.contains(place)));
    let all_cold: Vec<usize> = (0..12).collect();
    assert_eq!(chosen(7, &fleet, &all_cold).len(), 4);
}
