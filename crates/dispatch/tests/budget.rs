//! The retry budget of many proxies, in simulated time: the fleet's bound holds in every window.

use dispatch::{BudgetLimits, Ms, RetryBudget};
use quickcheck::{Gen, QuickCheck};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const WINDOW: Ms = 10_000.0;
const LIMITS: BudgetLimits = BudgetLimits { ratio: 0.2, window: WINDOW, extra: 40.0, proxies: 4 };

/// How many of the sorted times lie in a window that ends with `end`.
fn within(times: &[Ms], end: Ms) -> usize {
    times.partition_point(|at| *at <= end) - times.partition_point(|at| *at <= end - WINDOW)
}

/// Whether all windows of arrivals keep to the fleet's bound.
fn is_kept(requests: &[Ms], arrivals: &[Ms]) -> bool {
    arrivals.iter().all(|end| {
        let most = [0.0, 0.5, 1.0].map(|back| within(requests, end - back * WINDOW)).into_iter().max();
        let allowed = LIMITS.ratio * most.unwrap_or(0) as f64 + LIMITS.extra;
        within(arrivals, *end) as f64 <= allowed
    })
}

/// Plays proxies that send again whenever they may, with swings in the load, late arrivals and restarts.
fn plays_by_the_rules(seed: u64) -> bool {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut budgets = vec![RetryBudget::new(0.0); LIMITS.proxies as usize];
    let (mut requests, mut arrivals) = (Vec::new(), Vec::new());
    let (busy, period) = (random.random_range(1.0..60.0), random.random_range(2_000.0..40_000.0));
    let mut now: Ms = 0.0;
    while now < 90_000.0 {
        let swing = 1.0 + 0.9 * (now / period).sin();
        now += -(1.0 - random.random::<f64>()).ln() * 1000.0 / (busy * swing + 0.5);
        let proxy = random.random_range(0..budgets.len());
        if random.random_bool(0.002) {
            budgets[proxy] = RetryBudget::new(now);
        }
        budgets[proxy].request(now);
        requests.push(now);
        for _ in 0..random.random_range(0..4) {
            if budgets[proxy].allows(now, &LIMITS) {
                budgets[proxy].spend(now);
                arrivals.push(now + random.random_range(0.0..900.0));
            }
        }
    }
    arrivals.sort_by(f64::total_cmp);
    is_kept(&requests, &arrivals)
}

#[test]
fn the_fleet_keeps_to_its_bound_in_every_window() {
    QuickCheck::new().rng(Gen::new(100)).tests(200).quickcheck(plays_by_the_rules as fn(u64) -> bool);
}

#[test]
fn a_new_process_starts_with_nothing() {
    let mut budget = RetryBudget::new(0.0);
    assert!(!budget.allows(9_000.0, &LIMITS));
    assert!(budget.allows(12_000.0, &LIMITS));
}

#[test]
fn the_fixed_part_is_shared_and_comes_back_after_a_window() {
    let mut budget = RetryBudget::new(0.0);
    let now = 50_000.0;
    let mut spent = 0;
    while budget.allows(now, &LIMITS) {
        budget.spend(now);
        spent += 1;
    }
    assert_eq!(spent, 5, "half of 40 by four proxies");
    assert!(!budget.allows(now + WINDOW, &LIMITS));
    assert!(budget.allows(now + WINDOW + 1_001.0, &LIMITS));
}
