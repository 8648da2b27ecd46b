//! The numbered events that the proxy logs; `docs/events.md` is their catalogue.

use process::Event;
use std::cell::Cell;
use std::fmt::Arguments;

/// What happened; the number is the event's in the catalogue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
#[repr(u16)]
pub enum ProxyEvent {
    /// It listens.
    Listening = 1000,
    /// It is linked to its agent.
    AgentLinked = 1010,
    /// The link to its agent broke.
    AgentLost = 1011,
    /// A configuration is in force.
    Configured = 1020,
    /// A configuration can't be used.
    ConfigurationUnusable = 1021,
    /// Versions of weights are named: since when, and from when on nothing goes to older ones.
    WeightsNamed = 1022,
    /// Releases of services' software are in other phases.
    Released = 1024,
    /// Releases can't be read; those known stay.
    ReleasesUnusable = 1025,
    /// A client's connection can't be taken.
    AcceptFailed = 1030,
    /// A client's request is no sound HTTP.
    ClientMalformed = 1031,
    /// A request was given up.
    GivenUp = 1100,
    /// An answer was cut off.
    CutOff = 1101,
    /// A replica could not be reached.
    Unreached = 1102,
    /// A replica's answer is no answer to its request.
    BadAnswer = 1103,
    /// A stream goes on at another replica: after which event, where and under which salt.
    Resumed = 1104,
    /// A request ended after its deadline: how, how late, and how late it was read.
    EndedLate = 1105,
    /// It was told to end.
    Ending = 1200,
    /// It has ended.
    Ended = 1201,
    /// The settings were read anew.
    SettingsRead = 1210,
}

impl Event for ProxyEvent {
    fn number(self) -> u16 {
        self as u16
    }
}

/// Most events of requests logged in a second: a fleet in trouble must not spend its time on logs.
const MOST_A_SECOND: u32 = 10;

/// Bounds the events of single requests.
#[derive(Debug, Default)]
pub(crate) struct EventLimit {
    second: Cell<u64>,
    count: Cell<u32>,
}

impl EventLimit {
    /// Logs an event of a request, unless this second (of the caller's clock, ms) has had enough.
    pub fn warn(&self, now: f64, event: ProxyEvent, what: Arguments) {
        let second = (now / 1000.0) as u64;
        if self.second.replace(second) != second {
            self.count.set(0);
        }
        self.count.set(self.count.get() + 1);
        if self.count.get() <= MOST_A_SECOND {
            event.warn(what);
        }
    }
}
