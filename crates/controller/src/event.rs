//! The numbered events that the controller logs; `docs/events.md` is their catalogue.

use process::Event;

/// What happened; the number is the event's in the catalogue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
#[repr(u16)]
pub enum ControllerEvent {
    /// It serves.
    Started = 2001,
    /// It was told to end.
    Ending = 2002,
    /// Its settings were read anew.
    SettingsRead = 2003,
    /// Another set of acceptors is decided.
    AcceptorSet = 2010,
    /// A controller of the acceptor set is out of reach.
    ControllerAbsent = 2011,
    /// It is back.
    ControllerBack = 2012,
    /// A configuration is in force.
    ConfigurationDecided = 2020,
    /// A decided configuration can't be read.
    ConfigurationUnreadable = 2021,
    /// The named weights can't be read.
    WeightsUnreadable = 2022,
    /// Versions of weights are named.
    WeightsNamed = 2023,
    /// The holder of the duty can't be read.
    DutyUnreadable = 2024,
    /// The releases in their register can't be read.
    ReleasesUnreadable = 2025,
    /// A release of a service's software is ordered.
    ReleaseOrdered = 2026,
    /// A release is in another phase.
    ReleaseStep = 2027,
    /// This controller proposes a step of a release.
    ReleaseProposed = 2028,
    /// Something is new of a replica.
    ReplicaNews = 2030,
    /// A replica ended.
    ReplicaLeft = 2031,
    /// A replica is about to end.
    ReplicaDrains = 2032,
    /// A heartbeat was dropped as late.
    HeartbeatLate = 2033,
    /// A message of the register group can't be read.
    RegisterMessage = 2041,
    /// A message of the membership can't be read.
    MembershipMessage = 2042,
    /// A message of the membership can't be sent.
    MembershipUnsendable = 2043,
    /// The duty is handed to a successor.
    DutyHandedOn = 2051,
    /// A replica was given an order.
    Order = 2052,
    /// A replica that was given an order holds the weights.
    WeightsMoved = 2053,
    /// Replicas have lacked named weights for longer than the bound.
    ReplicasBehind = 2054,
    /// The holder of the duty could not do it, and gives it up to the other controllers.
    DutyGivenUp = 2055,
    /// A heartbeat of a replica tells older weights than it is believed to hold.
    WeightsWentBack = 2056,
    /// A connection to the control API can't be taken.
    CallRefused = 2060,
    /// A connection of another process of the fleet can't be taken.
    LinkRefused = 2061,
    /// A controller does not read; its link is dialled anew.
    ControllerSlow = 2062,
    /// A process that is neither controller nor agent was turned away.
    Stranger = 2063,
    /// The link to a controller ended.
    ControllerLink = 2064,
    /// The link from an agent ended.
    AgentLink = 2065,
    /// What the disk holds can't be used; it is moved away, and the machine joins as a new acceptor.
    DiskDamaged = 2070,
    /// The disk refused something; it is tried again.
    DiskRefused = 2071,
}

impl Event for ControllerEvent {
    fn number(self) -> u16 {
        self as u16
    }
}
