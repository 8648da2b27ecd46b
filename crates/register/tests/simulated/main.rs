//! Register groups in a simulated world of faults, with a checker that reads what callers saw.
//!
//! `REGISTER_SEEDS=first..end` plays other seeds than the default ones; a seed that fails plays the same again
//! with `REGISTER_SEEDS=n..n+1`.

mod contact;
mod crew;
mod every_step;
mod faults;
mod history;
mod in_time;
mod machine;
mod mutations;
mod scenario;
mod second_loss;
mod whole_start;

use std::ops::Range;

use scenario::{run_seed, Mutation};

const DEFAULT_SEEDS: Range<u64> = 0..300;

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("REGISTER_SEEDS") else {
        return DEFAULT_SEEDS;
    };
    let parse = |part: &str| part.parse::<u64>().expect("REGISTER_SEEDS is first..end");
    let (first, end) = text.split_once("..").expect("REGISTER_SEEDS is first..end");
    parse(first)..parse(end)
}

#[test]
fn histories_are_linearizable_through_faults() {
    let mut totals = scenario::Totals::default();
    for seed in seeds() {
        match run_seed(seed, Mutation::None) {
            Ok(of_seed) => totals.add(&of_seed),
            Err(violation) => panic!("seed {seed}: {violation}"),
        }
    }
    println!("{totals:?}");
}

#[test]
fn the_same_seed_plays_the_same() {
    for seed in [1, 2, 3] {
        assert_eq!(run_seed(seed, Mutation::None), run_seed(seed, Mutation::None), "seed {seed}");
    }
}
