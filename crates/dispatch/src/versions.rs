//! Which version of a service's software gets a request while a release is under way, and what becomes of it.

use crate::call::{Call, Outcome};
use crate::dispatcher::Dispatcher;
use crate::replica::Replica;
use evidence::Ms;
use peer::{BucketCount, ReleaseAnswers, ReleaseReport};
use prefix_index::ReplicaNumber;
use rand::Rng;
use rollout::exposure::{route_share, trial_share, Exposure, CONTACT_MS};
use rollout::{bucket_of, trial_replicas, Phase, Releases, ServiceReleases, TrialCandidate};
use std::collections::{BTreeMap, HashMap};

/// Time between two reports on a release on trial, ms.
const REPORT_EVERY: Ms = 250.0;
/// The same while its share rises: what is noticed late costs most there.
const REPORT_EVERY_IN_SHIFT: Ms = 100.0;
/// Requests of a service from which on the routes' parts of them are known well enough.
const LEAST_REQUESTS: u32 = 50;
/// Replicas whose software is remembered before their records come. These follow at once; what is left over belongs to
/// replicas of which nothing more is told.
const MOST_AWAITED: usize = 8_192;

/// The replicas from which a request's is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Side {
    /// No release is known: those of the version that was known first.
    Only,
    /// Those of the version before the release.
    Old,
    /// Those of the new version.
    New,
}

/// What a replica runs, as seen from a release.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Class {
    Old,
    New,
    /// A version that is neither: it was reverted, or superseded by a release.
    Barred,
}

/// Answers that were not reported yet.
#[derive(Debug, Clone, Default)]
struct Unreported {
    good: u16,
    bad: u16,
    durations: BTreeMap<u8, u16>,
}

/// The newest release of a service, as this proxy goes by it.
#[derive(Debug)]
struct Followed {
    number: u64,
    phase: Phase,
    /// Since when the phase is known here; long ago for a proxy that has not served in the one before.
    since: Ms,
    over: Ms,
    to_version: String,
    /// Requests since the release is known here, by route.
    requests: HashMap<u32, u32>,
    unreported: BTreeMap<(u32, Option<u32>), Unreported>,
}

impl Followed {
    fn exposure(&self, now: Ms, has_contact: bool, trial_share: f64) -> Exposure {
        Exposure {
            phase: self.phase,
            known_for_ms: (now - self.since).max(0.0) as u64,
            over_ms: self.over as u64,
            has_contact,
            trial_share,
        }
    }

    fn route_share(&self, share: f64, route: u32) -> f64 {
        let all: u32 = self.requests.values().sum();
        if all < LEAST_REQUESTS {
            return share;
        }
        let of_route = self.requests.get(&route).copied().unwrap_or_default();
        route_share(share, f64::from(of_route) / f64::from(all), self.requests.len())
    }
}

/// What a proxy knows of versions of software.
#[derive(Debug, Default)]
pub(crate) struct Versions {
    releases: Releases,
    followed: HashMap<String, Followed>,
    /// The software of replicas whose records have not come.
    awaited: HashMap<String, String>,
    /// The version known first, by service.
    first: HashMap<String, String>,
    /// When a majority was last known to be in touch.
    contact: Option<Ms>,
    next_report: Ms,
}

impl Versions {
    fn class(&self, of: &ServiceReleases, version: &str) -> Class {
        let Some(newest) = of.newest() else { return Class::Old };
        let is_superseded =
            || of.version_before().is_some_and(|before| !version.is_empty() && before != version);
        match version {
            version if version == newest.to_version() => Class::New,
            version if of.is_barred(version) || is_superseded() => Class::Barred,
            _ => Class::Old,
        }
    }

    fn has_contact(&self, now: Ms) -> bool {
        self.contact.is_some_and(|at| now - at < CONTACT_MS as Ms)
    }

    /// Takes the software of a new replica that was told before its record.
    pub fn software_of(&mut self, id: &str, service: &str) -> String {
        let software = self.awaited.remove(id).unwrap_or_default();
        if !software.is_empty() && !self.first.contains_key(service) {
            self.first.insert(service.to_string(), software.clone());
        }
        software
    }
}

impl Dispatcher {
    /// The releases of the services' software; older ones than are known change nothing. Whether they are newer.
    pub fn set_releases(&mut self, releases: Releases, now: Ms) -> bool {
        if releases.revision <= self.versions.releases.revision {
            return false;
        }
        for known in releases.services() {
            let Some(newest) = known.newest() else { continue };
            let followed = self.versions.followed.get(known.service());
            let former = followed.filter(|followed| followed.number == newest.number);
            if former.is_some_and(|former| former.phase == newest.phase) {
                continue;
            }
            // Whoever hears of a shift first of all has served nothing in the trial.
            let since =
                if former.is_some() || newest.phase == Phase::Trial { now } else { f64::NEG_INFINITY };
            let requests = former.map(|former| former.requests.clone()).unwrap_or_default();
            let followed = Followed {
                number: newest.number,
                phase: newest.phase,
                since,
                over: newest.over_ms as Ms,
                to_version: newest.to_version().to_string(),
                requests,
                unreported: BTreeMap::new(),
            };
            self.versions.followed.insert(known.service().to_string(), followed);
        }
        self.versions.releases = releases;
        self.versions.next_report = now;
        true
    }

    /// A majority of the controllers was in touch this long ago.
    pub fn heard_of_majority(&mut self, now: Ms, age: Ms) {
        let at = now - age;
        self.versions.contact = Some(self.versions.contact.map_or(at, |known| known.max(at)));
    }

    /// Takes the software of a replica, before its record.
    pub fn note_software(&mut self, id: &str, version: &str) {
        if let Some(replica) = self.replica_number(id).and_then(|number| self.replicas.get_mut(&number)) {
            replica.software = version.to_string();
        } else {
            if self.versions.awaited.len() >= MOST_AWAITED {
                self.versions.awaited.clear();
            }
            self.versions.awaited.insert(id.to_string(), version.to_string());
        }
    }

    /// Counts a request for the parts of its service's routes.
    pub(crate) fn count_route(&mut self, service: &str, route: u32) {
        if let Some(followed) = self.versions.followed.get_mut(service) {
            *followed.requests.entry(route).or_default() += 1;
        }
    }

    /// Which version gets the next send of a call. The first send is drawn by lot; those after it go to the old version
    /// while that one takes anything.
    pub(crate) fn side(&mut self, call: &Call, now: Ms) -> Side {
        let Some(followed) = self.versions.followed.get(&*call.ask.service) else { return Side::Only };
        let trial = followed.route_share(trial_share(self.bounds.bad_share), call.ask.route);
        let exposure = followed.exposure(now, self.versions.has_contact(now), trial);
        let share = exposure.share();
        let is_first = call.sends == 0 && call.tried.is_empty();
        let is_new = exposure.is_whole() || (is_first && share > 0.0 && self.random.random_bool(share));
        if is_new {
            Side::New
        } else {
            Side::Old
        }
    }

    /// Whether a call that finds nobody on a side may go to the other one.
    pub(crate) fn other_side(&self, call: &Call, side: Side, now: Ms) -> Option<Side> {
        let followed = self.versions.followed.get(&*call.ask.service)?;
        let has_contact = self.versions.has_contact(now);
        match (side, followed.phase) {
            (Side::New, Phase::Trial) => Some(Side::Old),
            // What is said to be drained stays so; after the end nothing is waited for.
            (Side::New, Phase::Shift) if !followed.exposure(now, true, 0.0).is_whole() => Some(Side::Old),
            (Side::New, Phase::Finished) => Some(Side::Old),
            // The old replicas may have been stopped, and nobody could say so.
            (Side::Old, Phase::Trial | Phase::Shift) if !has_contact => Some(Side::New),
            _ => None,
        }
    }

    /// Those of `open` that are of a side.
    pub(crate) fn of_side<'a>(
        &self,
        service: &str,
        side: Side,
        open: Vec<&'a Replica>,
        now: Ms,
    ) -> Vec<&'a Replica> {
        let Some(known) = self.versions.releases.of(service) else {
            return self.of_first_version(service, open);
        };
        let class = if side == Side::New { Class::New } else { Class::Old };
        let of_class = |replica: &&Replica| self.versions.class(known, &replica.software) == class;
        let of_class: Vec<&Replica> = open.into_iter().filter(of_class).collect();
        match self.versions.followed.get(service).filter(|_| side == Side::New) {
            Some(followed) => self.of_part(followed, of_class, now),
            None => of_class,
        }
    }

    /// Where no release is known, a version that has come later waits for one, or until nobody else is ready.
    fn of_first_version<'a>(&self, service: &str, open: Vec<&'a Replica>) -> Vec<&'a Replica> {
        let Some(first) = self.versions.first.get(service) else { return open };
        let is_first = |replica: &&Replica| replica.software.is_empty() || replica.software == *first;
        let (of_first, later): (Vec<&Replica>, Vec<&Replica>) = open.into_iter().partition(is_first);
        if of_first.is_empty() {
            later
        } else {
            of_first
        }
    }

    /// The replicas of the new version that take the part of the traffic which it gets now.
    fn of_part<'a>(&self, followed: &Followed, replicas: Vec<&'a Replica>, now: Ms) -> Vec<&'a Replica> {
        let share = followed.exposure(now, true, trial_share(self.bounds.bad_share)).share();
        if share >= 1.0 {
            return replicas;
        }
        let candidate = |replica: &&'a Replica| TrialCandidate {
            id: &replica.id,
            zone: replica.record.zone.as_str(),
            is_warm: replica.record.cold_left_ms == 0,
        };
        let candidates: Vec<TrialCandidate> = replicas.iter().map(candidate).collect();
        let places = trial_replicas(followed.number, share, &candidates);
        places.into_iter().map(|place| replicas[place]).collect()
    }

    /// Whether kept blocks may be fetched from a replica: one of a version that was replaced has been stopped.
    pub(crate) fn may_be_read(&self, replica: &Replica) -> bool {
        let followed = self.versions.followed.get(replica.record.service.as_str());
        followed.is_none_or(|followed| {
            followed.phase != Phase::Finished || replica.software == followed.to_version
        })
    }

    /// Whether a replica is of the version that a release of its service brings in.
    pub(crate) fn is_on_trial(&self, number: ReplicaNumber) -> bool {
        let Some(replica) = self.replicas.get(&number) else { return false };
        let followed = self.versions.followed.get(replica.record.service.as_str());
        followed
            .is_some_and(|followed| followed.phase == Phase::Trial && followed.to_version == replica.software)
    }

    /// Notes how a send ended that took so long, without what its prompt explains.
    pub(crate) fn note_release(&mut self, call: &Call, number: ReplicaNumber, outcome: Outcome, took: Ms) {
        let Some(replica) = self.replicas.get(&number) else { return };
        let (key, service) = (replica.key, &*call.ask.service);
        let Some(known) = self.versions.releases.of(service) else { return };
        let side = match self.versions.class(known, &replica.software) {
            Class::Old => None,
            Class::New => Some(key),
            Class::Barred => return,
        };
        let Some(followed) = self.versions.followed.get_mut(service) else { return };
        if !matches!(followed.phase, Phase::Trial | Phase::Shift) {
            return;
        }
        let (is_good, is_timed) = match outcome {
            Outcome::Answered => (Some(true), true),
            Outcome::Failed | Outcome::Broken | Outcome::Expired => (Some(false), false),
            // A client that leaves has waited so long at least.
            Outcome::Abandoned => (None, true),
            _ => return,
        };
        let counts = followed.unreported.entry((call.ask.route, side)).or_default();
        match is_good {
            Some(true) => counts.good = counts.good.saturating_add(1),
            Some(false) => counts.bad = counts.bad.saturating_add(1),
            None => {}
        }
        if is_timed {
            let count = counts.durations.entry(bucket_of(took).0).or_default();
            *count = count.saturating_add(1);
        }
    }

    /// The releases that this proxy goes by, as a line of a log.
    pub fn describe_releases(&self) -> String {
        let shown = |(service, followed): (&String, &Followed)| {
            let Followed { number, phase, to_version, .. } = followed;
            format!("release {number}: {service} to {to_version}, {phase}")
        };
        let mut shown: Vec<String> = self.versions.followed.iter().map(shown).collect();
        shown.sort_unstable();
        shown.join("; ")
    }

    /// When [`Dispatcher::release_reports`] may have something to tell.
    pub fn release_reports_due(&self) -> Ms {
        let is_reported = |followed: &Followed| !followed.phase.is_over();
        if self.versions.followed.values().any(is_reported) {
            self.versions.next_report
        } else {
            f64::INFINITY
        }
    }

    /// What the controllers are to hear now of releases.
    pub fn release_reports(&mut self, now: Ms) -> Vec<ReleaseReport> {
        if now < self.release_reports_due() {
            return Vec::new();
        }
        let is_shift = self.versions.followed.values().any(|followed| followed.phase == Phase::Shift);
        self.versions.next_report = now + if is_shift { REPORT_EVERY_IN_SHIFT } else { REPORT_EVERY };
        let under_way = self.versions.followed.iter().filter(|(_, followed)| !followed.phase.is_over());
        let drained: HashMap<u64, bool> = under_way
            .map(|(service, followed)| (followed.number, self.is_drained(service, followed, now)))
            .collect();
        let followed = self.versions.followed.values_mut().filter(|followed| !followed.phase.is_over());
        followed.map(|followed| report(followed, drained[&followed.number])).collect()
    }

    /// Whether nothing goes to the old version any more, and nothing of this proxy's is out there.
    fn is_drained(&self, service: &str, followed: &Followed, now: Ms) -> bool {
        let is_whole = followed.phase == Phase::Shift && followed.exposure(now, true, 0.0).is_whole();
        let mut of_service = self.replicas.values().filter(|it| it.record.service.as_str() == service);
        is_whole && of_service.all(|replica| replica.out == 0 || replica.software == followed.to_version)
    }
}

fn report(followed: &mut Followed, is_drained: bool) -> ReleaseReport {
    let answers = std::mem::take(&mut followed.unreported).into_iter().map(|((route, replica), counts)| {
        let durations = counts.durations.into_iter().map(|(bucket, count)| BucketCount { bucket, count });
        ReleaseAnswers::new(route, replica, (counts.good, counts.bad), durations.collect())
    });
    ReleaseReport::new(followed.number, followed.phase.number(), is_drained, answers.collect())
}
