//! Bounds of a catalogue: how long silence is borne, and how much is kept.

use crate::Millis;

/// Bounds of a catalogue.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Silence after which a replica counts as lost.
    pub lost_after_ms: Millis,
    /// Silence after which a replica that was draining is taken for ended, as it said. One that is lost is forgotten so long
    /// after: should it come back, it is known again with its next heartbeat.
    pub gone_after_ms: Millis,
    /// An id keeps its address while it was heard so lately: another one there is a late message of the address's former
    /// owner.
    pub reuse_after_ms: Millis,
    /// How long ended ids are remembered, so that late messages don't bring them back.
    pub remember_gone_ms: Millis,
    /// Most ended ids remembered.
    pub most_gone: usize,
    /// Most replicas kept; heartbeats of further ones are turned away.
    pub most_replicas: usize,
}

impl Limits {
    /// Bounds for replicas that send a heartbeat every `beat_every_ms`, with addresses that may be given
    /// again `reuse_after_ms` after an end.
    pub fn for_beats(beat_every_ms: Millis, reuse_after_ms: Millis) -> Limits {
        const MISSED_BEATS: u64 = 3;
        Limits {
            lost_after_ms: MISSED_BEATS * beat_every_ms + beat_every_ms / 4,
            gone_after_ms: 100 * beat_every_ms,
            reuse_after_ms,
            remember_gone_ms: 600_000,
            most_gone: 2_000,
            most_replicas: 4_000,
        }
    }
}
