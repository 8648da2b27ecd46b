//! The checker notices faults that would lose what was acknowledged.

use rstest::rstest;

use crate::scenario::{run_seed, Mutation};

const SEEDS: std::ops::Range<u64> = 0..200;

#[rstest]
#[case::disks_that_report_writes_too_early(Mutation::LyingDisks)]
#[case::acceptors_that_keep_their_id_without_their_disk(Mutation::IdKeptThroughWipe)]
fn is_noticed(#[case] mutation: Mutation) {
    let caught = SEEDS.map(|seed| run_seed(seed, mutation)).find_map(Result::err);
    let violation = caught.unwrap_or_else(|| panic!("no seed noticed {mutation:?}"));
    println!("{mutation:?}: {violation}");
}
