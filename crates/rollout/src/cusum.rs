//! A sequential test that may be looked at at any time, and that no single replica can decide.

use std::collections::BTreeMap;

/// How likely an answer is of the kind that is counted (bad, or slow), if the new version is sound and if it is worse.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Odds {
    pub sound: f64,
    pub worse: f64,
}

impl Odds {
    /// The evidence for "worse" in so many answers that are of the kind and so many that are not: the logarithm of the
    /// ratio of likelihoods.
    pub fn evidence(self, hits: u32, misses: u32) -> f64 {
        let of_hit = (self.worse / self.sound).ln();
        let of_miss = ((1.0 - self.worse) / (1.0 - self.sound)).ln();
        f64::from(hits) * of_hit + f64::from(misses) * of_miss
    }
}

/// Sums evidence (Page's cumulative sum: never below zero, so that what was sound for long does not hide a later fault), once
/// over all replicas, and once without each of them.
#[derive(Debug, Clone, Default)]
pub(crate) struct LeaveOneOut {
    all: f64,
    without: BTreeMap<u32, f64>,
}

impl LeaveOneOut {
    /// Takes evidence from one replica's answers in.
    pub fn add(&mut self, replica: u32, evidence: f64) {
        let before = self.all;
        self.without.entry(replica).or_insert(before);
        self.all = (self.all + evidence).max(0.0);
        for (left_out, sum) in &mut self.without {
            if *left_out != replica {
                *sum = (*sum + evidence).max(0.0);
            }
        }
    }

    /// The evidence that is left without the replica that speaks most against the version: what one replica does may be its
    /// own fault. Of a version with one replica only, half of the evidence.
    pub fn level(&self, has_several: bool) -> f64 {
        match self.without.len() {
            0 | 1 if has_several => 0.0,
            0 | 1 => self.all / 2.0,
            _ => self.without.values().copied().fold(self.all, f64::min),
        }
    }

    /// Number of replicas that were seen.
    pub fn replicas(&self) -> usize {
        self.without.len()
    }
}
