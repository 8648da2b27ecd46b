//! Durations in buckets that grow by the fourth root of two.

/// Buckets to an octave.
const PER_OCTAVE: f64 = 4.0;
/// Number of buckets; the last one is open. They reach to 16 s.
pub const BUCKETS: usize = 56;

/// Place of a duration in a histogram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Bucket(pub u8);

/// The bucket of a duration in ms; what is under a millisecond counts as one.
pub fn bucket_of(duration_ms: f64) -> Bucket {
    let place = (duration_ms.max(1.0).log2() * PER_OCTAVE) as usize;
    Bucket(place.min(BUCKETS - 1) as u8)
}

impl Bucket {
    /// The bucket that is so many higher.
    #[must_use]
    pub fn raised(self, by: u8) -> Bucket {
        Bucket(self.0.saturating_add(by).min(BUCKETS as u8 - 1))
    }
}

/// How many durations fell into which bucket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Histogram {
    counts: [u32; BUCKETS],
}

impl Default for Histogram {
    fn default() -> Histogram {
        Histogram { counts: [0; BUCKETS] }
    }
}

impl Histogram {
    /// Adds so many durations of a bucket.
    pub fn add(&mut self, bucket: Bucket, count: u32) {
        self.counts[usize::from(bucket.0).min(BUCKETS - 1)] += count;
    }

    /// Adds all of another histogram.
    pub fn merge(&mut self, other: &Histogram) {
        for (count, more) in self.counts.iter_mut().zip(&other.counts) {
            *count += more;
        }
    }

    /// Number of durations.
    pub fn total(&self) -> u32 {
        self.counts.iter().sum()
    }

    /// Number of durations above a bucket.
    pub fn above(&self, bucket: Bucket) -> u32 {
        self.counts.iter().skip(usize::from(bucket.0) + 1).sum()
    }

    /// The lowest bucket above which at most this part of the durations lies.
    pub fn quantile(&self, part_above: f64) -> Bucket {
        let allowed = part_above * f64::from(self.total());
        let is_high = |place: &usize| f64::from(self.above(Bucket(*place as u8))) <= allowed;
        let place = (0..BUCKETS).find(is_high).unwrap_or(BUCKETS - 1);
        Bucket(place as u8)
    }

    /// The buckets that are not empty.
    pub fn filled(&self) -> impl Iterator<Item = (Bucket, u32)> + '_ {
        let filled = self.counts.iter().enumerate().filter(|(_, count)| **count > 0);
        filled.map(|(place, count)| (Bucket(place as u8), *count))
    }
}
