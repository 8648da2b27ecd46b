//! What proxies tell of a release of a service's software.

use crate::message::MOST_RECORDS;
use deku::prelude::*;

/// Most buckets that answers of one kind may fill.
const MOST_BUCKETS: u8 = 64;

/// Answers that took so long.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct BucketCount {
    /// The bucket of their durations.
    pub bucket: u8,
    /// Their number.
    #[deku(endian = "little")]
    pub count: u16,
}

/// Answers on one route, since the proxy's last report.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct ReleaseAnswers {
    /// The route, by [`crate::replica_key`] of its name.
    #[deku(endian = "little")]
    pub route: u32,
    /// 1 for the new version, 0 for the one before.
    pub is_new: u8,
    /// The replica of the new version, by [`crate::replica_key`]; 0 for all of the version before.
    #[deku(endian = "little")]
    pub replica: u32,
    /// Sound answers.
    #[deku(endian = "little")]
    pub good: u16,
    /// Answers that failed, broke off or did not come in time.
    #[deku(endian = "little")]
    pub bad: u16,
    #[deku(assert = "*bucket_count <= MOST_BUCKETS", update = "self.durations.len()")]
    bucket_count: u8,
    /// How long answers took.
    #[deku(count = "bucket_count")]
    pub durations: Vec<BucketCount>,
}

impl ReleaseAnswers {
    /// Answers of the version before (`None`) or of a replica of the new one.
    pub fn new(
        route: u32,
        replica: Option<u32>,
        (good, bad): (u16, u16),
        durations: Vec<BucketCount>,
    ) -> ReleaseAnswers {
        ReleaseAnswers {
            route,
            is_new: replica.is_some().into(),
            replica: replica.unwrap_or_default(),
            good,
            bad,
            bucket_count: durations.len() as u8,
            durations,
        }
    }
}

/// What one proxy tells of one release.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct ReleaseReport {
    /// The release.
    #[deku(endian = "little")]
    pub release: u64,
    /// Number of the phase that the proxy goes by.
    pub phase: u8,
    /// 1 where the proxy sends nothing more to the version before, and has nothing out there.
    pub is_drained: u8,
    #[deku(assert = "*count <= MOST_RECORDS", endian = "little", update = "self.answers.len()")]
    count: u32,
    /// Answers since its last report.
    #[deku(count = "count")]
    pub answers: Vec<ReleaseAnswers>,
}

impl ReleaseReport {
    /// A report.
    pub fn new(release: u64, phase: u8, is_drained: bool, answers: Vec<ReleaseAnswers>) -> ReleaseReport {
        let count = answers.len() as u32;
        ReleaseReport { release, phase, is_drained: is_drained.into(), count, answers }
    }
}
