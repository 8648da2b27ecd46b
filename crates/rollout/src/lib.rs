//! Moving a service's traffic to another version of its software while it serves.
//!
//! A release is ordered by the operator, tried on a small share of the traffic, and then either takes all of it or none. The
//! crate holds what decides: orders and the phases of a release ([`Releases`]), how much traffic the new version gets
//! ([`exposure`]), how its answers compare with those of the version before ([`Judge`]), and which step is due
//! ([`Conductor`]). `docs/rollouts.md` argues the design.
//!
//! No I/O, no clock and no randomness: time and samples are handed in.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod conductor;
mod cusum;
pub mod exposure;
mod histogram;
mod judge;
mod order;
mod phase;
mod releases;
mod trial;

/// Milliseconds; of a steady clock unless it is said.
pub type Millis = u64;

pub use conductor::{Conductor, DueStep, ProxyWord, ReadyReplicas};
pub use histogram::{bucket_of, Bucket, Histogram, BUCKETS};
pub use judge::{Answers, Fault, Judge, Side, Verdict};
pub use order::{Order, OrderError, LONGEST_MS, MOST_NAME_BYTES};
pub use phase::{Phase, State, Step};
pub use releases::{Judged, Release, Releases, ReleasesError, ServiceReleases, MOST_SERVICES};
pub use trial::{trial_replicas, TrialCandidate};
