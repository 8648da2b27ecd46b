//! All releases that are known: the value of their register, and what proxies are told.

use deku::{DekuContainerRead, DekuContainerWrite, DekuRead, DekuWrite};
use peer::Text;
use quick_error::quick_error;

use crate::order::Order;
use crate::phase::{Phase, Step};
use crate::Millis;

/// Most services whose releases are remembered.
pub const MOST_SERVICES: usize = 64;
/// Most releases remembered of a service. An older one whose order comes again would begin anew.
const MOST_RELEASES: usize = 16;
/// Longest reason that is kept, bytes.
const MOST_REASON_BYTES: usize = 300;
/// For so long an order for a version that was reverted is a repeat of the one that was taken, ms; later it is another try.
/// Longer than callers repeat an order, and than the clocks of machines differ.
const REPEAT_MS: Millis = 60_000;

quick_error! {
    /// Why bytes are no value of the register.
    #[derive(Debug, Clone, PartialEq, Eq)]
    #[allow(missing_docs)]
    pub enum ReleasesError {
        /// The bytes are of another form.
        Unreadable(why: String) {
            display("register releases: the value can't be read: {}; run the same release on all core machines", why)
        }
    }
}

/// One release of a service.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct Release {
    /// Names the release among all of the fleet.
    #[deku(endian = "little")]
    pub number: u64,
    to_version: Text,
    /// How long it may take, ms.
    #[deku(endian = "little")]
    pub over_ms: u64,
    /// Time of day at which it was ordered, milliseconds since 1970.
    #[deku(endian = "little")]
    pub ordered_at_ms: u64,
    /// How far it is.
    pub phase: Phase,
    reason: Text,
}

impl Release {
    /// The version that is to get the traffic.
    pub fn to_version(&self) -> &str {
        self.to_version.as_str()
    }

    /// Why the last step was taken, with the figures that it rests on.
    pub fn reason(&self) -> &str {
        self.reason.as_str()
    }

    fn is_order(&self, order: &Order) -> bool {
        self.to_version() == order.to_version() && self.over_ms == order.over_ms()
    }
}

/// The releases of one service, the newest last.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct ServiceReleases {
    service: Text,
    #[deku(update = "self.releases.len()")]
    release_count: u8,
    #[deku(count = "release_count")]
    releases: Vec<Release>,
}

impl ServiceReleases {
    /// Name of the service.
    pub fn service(&self) -> &str {
        self.service.as_str()
    }

    /// The newest release.
    pub fn newest(&self) -> Option<&Release> {
        self.releases.last()
    }

    /// The version that served before the newest release, if a release brought it.
    pub fn version_before(&self) -> Option<&str> {
        let before = self.releases.iter().rev().skip(1);
        before.into_iter().find(|release| release.phase == Phase::Finished).map(Release::to_version)
    }

    fn push(&mut self, release: Release) {
        let surplus = (self.releases.len() + 1).saturating_sub(MOST_RELEASES);
        self.releases.drain(..surplus);
        self.releases.push(release);
        self.release_count = self.releases.len() as u8;
    }

    /// Whether the last release that says something of a version has reverted it.
    pub fn is_barred(&self, version: &str) -> bool {
        let of_version = self.releases.iter().rev().find(|release| release.to_version() == version);
        of_version.is_some_and(|release| release.phase.is_reverted())
    }
}

/// What becomes of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Judged {
    /// It begins a release, with this value.
    Begin(Releases),
    /// It was taken before.
    Taken,
    /// Another release of the service, to this version, is under way.
    UnderWay(String),
    /// The version serves already.
    Serves,
    /// Too many services have releases.
    TooManyServices,
}

/// All releases.
#[derive(Debug, Clone, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct Releases {
    /// Goes up with each change; whoever is told two takes the one with the greater number.
    #[deku(endian = "little")]
    pub revision: u64,
    #[deku(endian = "little", update = "self.services.len()")]
    service_count: u16,
    #[deku(count = "service_count")]
    services: Vec<ServiceReleases>,
}

impl Releases {
    /// The releases by service.
    pub fn services(&self) -> &[ServiceReleases] {
        &self.services
    }

    /// The releases of one service.
    pub fn of(&self, service: &str) -> Option<&ServiceReleases> {
        self.services.iter().find(|releases| releases.service() == service)
    }

    /// The newest release of a service.
    pub fn newest(&self, service: &str) -> Option<&Release> {
        self.of(service).and_then(ServiceReleases::newest)
    }

    /// Judges an order on top of this value. `wall_ms` is the time of day; `serving` the version that all replicas of the
    /// service tell, if they tell one.
    pub fn judge(&self, order: &Order, wall_ms: u64, serving: Option<&str>) -> Judged {
        let known = self.of(order.service());
        let mut taken = known.into_iter().flat_map(|known| &known.releases);
        let is_repeat = |release: &Release| {
            let age = wall_ms.saturating_sub(release.ordered_at_ms);
            release.is_order(order) && (release.phase != Phase::Reverted || age < REPEAT_MS)
        };
        if taken.any(is_repeat) {
            return Judged::Taken;
        }
        if let Some(newest) = known.and_then(ServiceReleases::newest) {
            if !newest.phase.is_over() {
                return Judged::UnderWay(newest.to_version().to_string());
            }
            if newest.phase == Phase::Finished && newest.to_version() == order.to_version() {
                return Judged::Serves;
            }
        }
        if serving == Some(order.to_version()) {
            return Judged::Serves;
        }
        self.with(order, wall_ms).map_or(Judged::TooManyServices, Judged::Begin)
    }

    /// This value with one more release; `None` if there are too many services.
    fn with(&self, order: &Order, wall_ms: u64) -> Option<Releases> {
        let mut next = self.clone();
        next.revision += 1;
        let release = Release {
            number: next.revision,
            to_version: order.to_version().into(),
            over_ms: order.over_ms(),
            ordered_at_ms: wall_ms,
            phase: Phase::Trial,
            reason: "ordered".into(),
        };
        if let Some(known) = next.services.iter_mut().find(|known| known.service() == order.service()) {
            known.push(release);
            return Some(next);
        }
        if next.services.len() >= MOST_SERVICES {
            return None;
        }
        let service = order.service().into();
        next.services.push(ServiceReleases { service, release_count: 1, releases: vec![release] });
        next.service_count = next.services.len() as u16;
        Some(next)
    }

    /// This value after a step of the release with that number, which was in `phase`. `None` where it is not any more, or the
    /// step does not fit. An empty reason leaves the one before.
    pub fn advanced(&self, number: u64, phase: Phase, step: Step, reason: &str) -> Option<Releases> {
        let mut next = self.clone();
        let newest = next.services.iter_mut().filter_map(|known| known.releases.last_mut());
        let release = newest.into_iter().find(|release| release.number == number)?;
        if release.phase != phase {
            return None;
        }
        release.phase = phase.after(step)?;
        if !reason.is_empty() {
            release.reason = shortened(reason).into();
        }
        next.revision += 1;
        Some(next)
    }

    /// Reads a value that is all of `bytes`.
    ///
    /// # Errors
    /// The bytes are no such value.
    pub fn read(bytes: &[u8]) -> Result<Releases, ReleasesError> {
        match Releases::from_bytes((bytes, 0)) {
            Ok((([], _), value)) => Ok(value),
            Ok(((rest, _), _)) => Err(ReleasesError::Unreadable(format!("{} bytes too many", rest.len()))),
            Err(why) => Err(ReleasesError::Unreadable(why.to_string())),
        }
    }

    /// The value as bytes.
    pub fn bytes(&self) -> Vec<u8> {
        self.to_bytes().unwrap_or_default()
    }
}

fn shortened(reason: &str) -> &str {
    let mut end = reason.len().min(MOST_REASON_BYTES);
    while !reason.is_char_boundary(end) {
        end -= 1;
    }
    &reason[..end]
}
