//! The solver against trying everything. Set `PLACEMENT_INSTANCES` for more than CI's share.

mod support;

use placement::*;
use support::{brute, random};

fn compare(seed: u64) -> bool {
    let instance = random(seed);
    instance.check().expect("a sound instance");
    let outcome = solve(&instance, Limits { looks: 1_000_000 }, &mut |_, _| true);
    match (brute(&instance), outcome) {
        (None, Outcome::NothingFits(_)) => {
            let conflict = explain(&instance, Limits { looks: 1_000_000 }).expect("known");
            assert!(conflict.is_some_and(|conflict| !conflict.words.is_empty()), "seed {seed}");
            false
        }
        (Some((worst, connections, crossing)), Outcome::Fits(found)) => {
            let cost = found.cost;
            assert_eq!(found.proof, Proof::Optimal, "seed {seed}");
            let near = |a: f64, b: f64| (a - b).abs() <= 1e-5 * b.max(1.0);
            assert!(near(cost.worst, worst), "seed {seed}: worst {} and {worst}", cost.worst);
            assert!(near(cost.connections, connections), "seed {seed}: {cost} and {connections}");
            assert!(near(cost.crossing, crossing), "seed {seed}: {cost} and {crossing} crossing");
            assert_eq!(check(&instance, &found.links, &found.weights), [], "seed {seed}");
            let load = found.load.iter().zip(&instance.nodes).map(|(load, node)| load / node.capacity);
            assert!(near(load.fold(0.0, f64::max), worst), "seed {seed}: the weights do what they promise");
            true
        }
        (brute, outcome) => panic!("seed {seed}: brute force {brute:?}, solver {outcome:?}"),
    }
}

#[test]
fn each_answer_equals_brute_force() {
    let count = std::env::var("PLACEMENT_INSTANCES").ok().and_then(|text| text.parse().ok()).unwrap_or(150);
    let fitting = (0..count).filter(|seed| compare(*seed)).count() as u64;
    println!("{count} instances, {fitting} of them fit");
    assert!(fitting > count / 5 && fitting < count * 4 / 5, "{fitting} of {count} fit: too one-sided");
}
