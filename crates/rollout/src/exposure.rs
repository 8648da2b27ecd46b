//! How much of a service's traffic a new version gets.
//!
//! Each proxy gives the new version the same share of its own first sends, so the fleet's share is right however many
//! proxies there are, whichever start, end or are cut off. A send after the first goes to the old version while that one
//! takes anything.

use crate::phase::Phase;
use crate::Millis;

/// Share of the traffic that a version on trial gets where the deployment allows a bad one as much or more than twice that.
const TRIAL_SHARE: f64 = 0.04;
/// The part of the share allowed to a bad version that its trial may use: the rest is for the time between its turning bad
/// in the shift and the revert.
const TRIAL_PART: f64 = 0.4;
/// The ramp begins with this share at least.
const LEAST_SHARE: f64 = 0.01;
/// A rare route gets so many times the share at most.
const MOST_FACTOR: f64 = 2.5;
/// How long the share rises from that of the trial to all, ms.
pub const RAMP_MS: Millis = 1_500;
/// Without word from a majority for longer, a proxy gives a version on trial nothing: it may have been reverted.
pub const CONTACT_MS: Millis = 3_000;
/// The shift begins so long before the deadline, ms: the ramp, the longest ordinary answers of the old version, time for
/// another controller to take the last step, and for an operator whose reads get lost to hear of it.
const SHIFT_LEAD_MS: Millis = RAMP_MS + 5_500;

/// Share of the traffic that a version on trial gets, if a bad one may get `bad_share`.
pub fn trial_share(bad_share: f64) -> f64 {
    (bad_share * TRIAL_PART).clamp(0.0, TRIAL_SHARE)
}

/// Share of a route's traffic during the trial, so that a rare route gets enough answers to be judged by: `part` is the route's
/// part of the service's traffic, which has so many `routes`. All routes together get `share` at most, since the sum over the
/// routes of the roots of their parts is at most the root of their number.
pub fn route_share(share: f64, part: f64, routes: usize) -> f64 {
    let even = 1.0 / routes.max(1) as f64;
    let factor = (even / part.max(f64::MIN_POSITIVE)).sqrt();
    share * factor.min(MOST_FACTOR)
}

/// Age of an order from which on the shift may begin, if the release may take `over_ms`.
pub fn shift_from(over_ms: Millis) -> Millis {
    over_ms - SHIFT_LEAD_MS.min(over_ms / 2)
}

/// How long a proxy's ramp takes, if the release may take `over_ms`.
pub fn ramp_ms(over_ms: Millis) -> Millis {
    RAMP_MS.min(over_ms / 5)
}

/// What a proxy goes by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Exposure {
    /// Phase of the release, as far as the proxy knows.
    pub phase: Phase,
    /// How long the proxy has known that phase; longer than any ramp for one that never served in the phase before.
    pub known_for_ms: Millis,
    /// How long the release may take, ms.
    pub over_ms: Millis,
    /// Whether the proxy has heard from a majority within [`CONTACT_MS`].
    pub has_contact: bool,
    /// See [`trial_share`].
    pub trial_share: f64,
}

impl Exposure {
    /// Share of first sends that go to the new version, 0 to 1.
    pub fn share(&self) -> f64 {
        match self.phase {
            Phase::Trial if self.has_contact => self.trial_share,
            Phase::Trial | Phase::Reverting | Phase::Reverted => 0.0,
            Phase::Finished => 1.0,
            Phase::Shift => self.ramp(self.trial_share),
        }
    }

    /// Rises by the same factor in each span of time: whichever share turns a version bad, what it gets until that is
    /// noticed is about the same part of what it got before.
    fn ramp(&self, first: f64) -> f64 {
        let ramp = ramp_ms(self.over_ms);
        if self.known_for_ms >= ramp {
            return 1.0;
        }
        let part = self.known_for_ms as f64 / ramp as f64;
        let first = first.max(LEAST_SHARE);
        first * (1.0 / first).powf(part)
    }

    /// Whether nothing goes to the old version any more.
    pub fn is_whole(&self) -> bool {
        self.share() >= 1.0
    }
}
