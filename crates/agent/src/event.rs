//! The numbered events that the agent logs; `docs/events.md` is their catalogue.

use process::Event;

/// What happened; the number is the event's in the catalogue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
#[repr(u16)]
pub enum AgentEvent {
    /// It serves.
    Started = 3001,
    /// It was told to end.
    Ending = 3002,
    /// Its settings were read anew.
    SettingsRead = 3003,
    /// It has ended.
    Ended = 3004,
    /// The link to a controller is up.
    ControllerLinked = 3010,
    /// The proxy is linked.
    ProxyLinked = 3011,
    /// The link to a controller ended.
    ControllerLost = 3012,
    /// The link to the proxy ended.
    ProxyLost = 3013,
    /// A configuration is in force.
    ConfigurationTaken = 3020,
    /// A configuration can't be used; the whole is asked for.
    ConfigurationUnusable = 3021,
    /// Versions of weights are named.
    WeightsNamed = 3022,
    /// Replicas are reported to a new home that has not told of them.
    ReplicasReported = 3023,
    /// Releases of services' software are newer than those known.
    ReleasesTaken = 3024,
    /// Releases can't be read.
    ReleasesUnusable = 3025,
    /// A connection of a proxy can't be taken.
    LinkRefused = 3061,
    /// A process that is no proxy was turned away.
    Stranger = 3063,
}

impl Event for AgentEvent {
    fn number(self) -> u16 {
        self as u16
    }
}
