//! Weights that replicas were seen to hold between two heartbeats.
//!
//! A report bears no heartbeat's number: only the replica gives those. It tells what the replica held after the newest
//! heartbeat that its reader knew of. The heartbeat after that one may have been sent before the replica held the weights,
//! so a report stands beside both; the one after next tells by itself what the replica holds.

use crate::{ModelVersion, Record};

/// What a report told of a replica's weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightsReport {
    /// Id of the replica.
    pub id: String,
    /// Number of the newest heartbeat that was known when the report came.
    pub after_beat: u64,
    pub models: Vec<ModelVersion>,
}

/// The reports that still stand beside what a replica's heartbeats tell.
#[derive(Debug, Clone, Default)]
pub(crate) struct StandingReports {
    seen: Vec<Seen>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Seen {
    model: ModelVersion,
    after_beat: u64,
}

impl Seen {
    /// Whether this says at least as much as another, for as many heartbeats.
    fn covers(&self, other: &Seen) -> bool {
        self.model.name == other.model.name
            && self.model.version >= other.model.version
            && self.after_beat >= other.after_beat
    }

    /// Whether it stands beside what the heartbeat of this number tells.
    fn stands_beside(&self, beat: u64) -> bool {
        beat <= self.after_beat.saturating_add(1)
    }
}

impl StandingReports {
    /// Takes a report in.
    pub fn note(&mut self, report: &WeightsReport) {
        for model in &report.models {
            let seen = Seen { model: model.clone(), after_beat: report.after_beat };
            if self.seen.iter().any(|known| known.covers(&seen)) {
                continue;
            }
            self.seen.retain(|known| !seen.covers(known));
            self.seen.push(seen);
        }
    }

    /// Adds to a description what stands beside it, and forgets what does so no more.
    pub fn apply(&mut self, record: &mut Record) {
        self.seen.retain(|seen| seen.stands_beside(record.beat));
        for seen in &self.seen {
            record.take_newer_weights(std::slice::from_ref(&seen.model));
        }
    }
}
