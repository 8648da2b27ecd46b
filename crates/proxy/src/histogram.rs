//! Durations, counted in buckets for operators. No I/O.

use std::time::Duration;

/// Upper bounds of the buckets, ms; one without a bound follows. The finest are those of the kernel's clock ticks, the last
/// ones those after which clients and the operators' rules count an end as late.
pub const BOUNDS_MS: [u32; 11] = [0, 1, 5, 10, 25, 50, 100, 250, 500, 1_000, 2_500];

/// Counts of durations.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Histogram {
    counts: [u64; BOUNDS_MS.len() + 1],
    sum: Duration,
}

impl Histogram {
    /// Counts a duration.
    pub fn observe(&mut self, duration: Duration) {
        let is_within = |bound: &u32| duration <= Duration::from_millis((*bound).into());
        let bucket = BOUNDS_MS.iter().position(is_within).unwrap_or(BOUNDS_MS.len());
        self.counts[bucket] += 1;
        self.sum += duration;
    }

    /// All durations together.
    pub fn sum(&self) -> Duration {
        self.sum
    }

    /// How many durations were counted.
    pub fn count(&self) -> u64 {
        self.counts.iter().sum()
    }

    /// For each bound the number of durations up to it, without those beyond the last one.
    pub fn cumulative(&self) -> impl Iterator<Item = (u32, u64)> + '_ {
        let mut total = 0;
        BOUNDS_MS.iter().zip(&self.counts).map(move |(bound, count)| {
            total += count;
            (*bound, total)
        })
    }
}
