//! Compares the answers of a new version with those of the version before, by route, at the same time.
//!
//! Two tests run side by side, on each route and on all together: one on bad answers, one on slow ones. What a sound version
//! may do follows from what the old version does in the same second: a burst, a cut link or a failing zone meets both. The
//! error rates, by simulation, are in `docs/rollouts.md`.

use std::collections::BTreeMap;
use std::fmt;

use crate::cusum::{LeaveOneOut, Odds};
use crate::histogram::{Bucket, Histogram};
use crate::Millis;

/// Answers are compared within slots of this length, ms.
const SLOT_MS: Millis = 250;
/// A slot is judged so long after its end, ms: all proxies have told of it by then.
const SETTLE_MS: Millis = 250;
/// What the old version does "at the same time": the slot, so many before it, and the one behind it. The worse of both
/// spans counts, where it holds enough answers.
const NEAR_SLOTS: [u64; 2] = [0, 4];
/// Slots of the old version that are remembered.
const KEPT_SLOTS: u64 = 20;
/// Fewer answers of the old version on a route say nothing of a moment.
const LEAST_NEAR: u32 = 20;

/// Evidence from which on a version counts as worse. Simulated: `docs/rollouts.md`.
const ERRORS_LEVEL: f64 = 7.0;
/// The same for slow answers, of which a sound version has more.
const SLOW_LEVEL: f64 = 9.0;

/// Bad answers of a sound version: twice the rate of the old one, and this.
const BAD_FLOOR: f64 = 0.02;
/// A worse version has so much more: one test finds a great rise soon, the other a small one once there are many answers.
const BAD_RISES: [f64; 2] = [0.18, 0.05];
/// No rate of a sound version is taken to be above.
const BAD_MOST: f64 = 0.7;

/// The part of the old version's answers that count as slow by themselves.
const SLOW_PART: f64 = 0.05;
/// Slow is what takes longer than those by so many buckets: 1.7 times as long.
const SLOW_BUCKETS: u8 = 3;
/// Slow answers of a sound version, beside 1.5 times the rate of the old one.
const SLOW_FLOOR: f64 = 0.08;
const SLOW_RISE: f64 = 0.25;
const SLOW_MOST: f64 = 0.6;
/// Shorter than this is never slow, as a bucket: 32 ms. Proxies and links make more difference than versions there.
const LEAST_SLOW: Bucket = Bucket(20);

/// Which version answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Side {
    /// The version before.
    Old,
    /// The new version, at the replica with this key.
    New {
        /// See `peer::replica_key`.
        replica: u32,
    },
}

/// Answers on one route, all of one side.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Answers {
    /// Sound ones.
    pub good: u32,
    /// Failed, broken off or not given in time.
    pub bad: u32,
    /// How long they took, without what the prompt to be read explains.
    pub durations: Histogram,
}

impl Answers {
    /// Adds all of `other`.
    pub fn merge(&mut self, other: &Answers) {
        self.good += other.good;
        self.bad += other.bad;
        self.durations.merge(&other.durations);
    }

    fn total(&self) -> u32 {
        self.good + self.bad
    }

    fn bad_rate(&self) -> f64 {
        f64::from(self.bad) / f64::from(self.total().max(1))
    }
}

/// What is worse about a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// More of its answers are bad.
    Errors,
    /// More of its answers are slow.
    Slowness,
}

/// That a version is worse, with the figures that say so.
#[derive(Debug, Clone, PartialEq)]
pub struct Verdict {
    /// What is worse.
    pub fault: Fault,
    /// The route's key; `None` for all routes together.
    pub route: Option<u32>,
    /// Answers of the new version that are bad or slow, and all of them.
    pub new: (u32, u32),
    /// The same of the old version, in the last seconds.
    pub old: (u32, u32),
    /// Replicas of the new version that were seen.
    pub replicas: usize,
    /// The evidence, without the replica that speaks most against the version.
    pub level: f64,
}

impl fmt::Display for Verdict {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let route = self.route.map_or("all routes".to_string(), |route| format!("route {route:08x}"));
        let ((new, of_new), (old, of_old)) = (self.new, self.old);
        write!(
            formatter,
            "{} on {route}: {new} of {of_new} answers by {} replicas, before {old} of {of_old}; evidence {:.1}",
            self.fault, self.replicas, self.level
        )
    }
}

#[derive(Debug, Clone, Default)]
struct Slot {
    old: BTreeMap<u32, Answers>,
    new: BTreeMap<(u32, u32), Answers>,
}

/// The two tests of one route, or of all together.
#[derive(Debug, Clone, Default)]
struct Tests {
    /// One for each of [`BAD_RISES`].
    errors: [LeaveOneOut; BAD_RISES.len()],
    slowness: LeaveOneOut,
    bad: u32,
    slow: u32,
    answers: u32,
}

impl Tests {
    fn errors_level(&self, has_several: bool) -> f64 {
        self.errors.iter().map(|test| test.level(has_several)).fold(0.0, f64::max)
    }

    /// How near the evidence is to a verdict; 1 is one.
    fn suspicion(&self, has_several: bool) -> f64 {
        let errors = self.errors_level(has_several) / ERRORS_LEVEL;
        errors.max(self.slowness.level(has_several) / SLOW_LEVEL)
    }

    fn replicas(&self) -> usize {
        self.slowness.replicas()
    }
}

/// Judges one release.
#[derive(Debug, Clone, Default)]
pub struct Judge {
    slots: BTreeMap<u64, Slot>,
    /// The first slot that has not been judged.
    next: u64,
    by_route: BTreeMap<u32, Tests>,
    together: Tests,
    /// What the old version did when it last did enough to tell, by route.
    last_old: BTreeMap<u32, Answers>,
    verdict: Option<Verdict>,
}

impl Judge {
    /// Takes answers in that a proxy tells of now.
    pub fn take(&mut self, now: Millis, route: u32, side: Side, answers: &Answers) {
        let slot = self.slots.entry(now / SLOT_MS).or_default();
        let into = match side {
            Side::Old => slot.old.entry(route).or_default(),
            Side::New { replica } => slot.new.entry((route, replica)).or_default(),
        };
        into.merge(answers);
    }

    /// Judges what has settled by now; the verdict, if the version is worse. It stands once it is given. `has_several` tells
    /// whether the version has more than one replica.
    pub fn judge(&mut self, now: Millis, has_several: bool) -> Option<&Verdict> {
        let settled = now.saturating_sub(SETTLE_MS) / SLOT_MS;
        let due: Vec<u64> = self.slots.range(self.next..settled).map(|(place, _)| *place).collect();
        for place in due {
            self.judge_slot(place, has_several);
            self.next = place + 1;
        }
        let forgotten = settled.saturating_sub(KEPT_SLOTS);
        self.slots.retain(|place, _| *place >= forgotten);
        self.verdict()
    }

    /// The verdict, if it was given.
    pub fn verdict(&self) -> Option<&Verdict> {
        self.verdict.as_ref()
    }

    /// Sound answers of the new version that were judged.
    pub fn sound_answers(&self) -> u32 {
        self.together.answers - self.together.bad
    }

    /// How near the evidence is to a verdict; 1 is one.
    pub fn suspicion(&self, has_several: bool) -> f64 {
        let all = self.by_route.values().chain([&self.together]);
        all.map(|tests| tests.suspicion(has_several)).fold(0.0, f64::max)
    }

    /// The figures on which a version passes.
    pub fn describe(&self) -> String {
        let Tests { bad, slow, answers, .. } = &self.together;
        format!("{bad} bad and {slow} slow of {answers} answers by {} replicas", self.together.replicas())
    }

    fn judge_slot(&mut self, place: u64, has_several: bool) {
        let new = std::mem::take(&mut self.slots.entry(place).or_default().new);
        for ((route, replica), answers) in new {
            let before = self.before(route, place);
            self.compare(route, replica, &answers, &before);
            self.conclude(route, &before, has_several);
        }
    }

    /// What the old version did on a route around a slot.
    fn before(&mut self, route: u32, place: u64) -> Before {
        let mut recent = self.old_between(route, place.saturating_sub(KEPT_SLOTS), place + 1);
        if recent.total() >= LEAST_NEAR {
            self.last_old.insert(route, recent.clone());
        } else if let Some(last) = self.last_old.get(&route) {
            recent = last.clone();
        }
        let near = NEAR_SLOTS.map(|slots| self.old_between(route, place.saturating_sub(slots), place + 1));
        let near = near.into_iter().filter(|answers| answers.total() >= LEAST_NEAR).collect();
        Before { recent, near }
    }

    fn old_between(&self, route: u32, first: u64, last: u64) -> Answers {
        let mut sum = Answers::default();
        for slot in self.slots.range(first..=last).map(|(_, slot)| slot) {
            if let Some(answers) = slot.old.get(&route) {
                sum.merge(answers);
            }
        }
        sum
    }

    fn compare(&mut self, route: u32, replica: u32, new: &Answers, before: &Before) {
        let errors = BAD_RISES.map(|rise| before.error_odds(rise).evidence(new.bad, new.good));
        let slow = new.durations.above(before.slow_limit());
        let in_time = new.durations.total().saturating_sub(slow);
        let has_old = before.recent.durations.total() >= LEAST_NEAR;
        let slowness = if has_old { before.slow_odds().evidence(slow, in_time) } else { 0.0 };
        let of_route = self.by_route.entry(route).or_default();
        for tests in [of_route, &mut self.together] {
            for (test, evidence) in tests.errors.iter_mut().zip(errors) {
                test.add(replica, evidence);
            }
            tests.slowness.add(replica, slowness);
            tests.bad += new.bad;
            tests.slow += slow;
            tests.answers += new.total();
        }
    }

    fn conclude(&mut self, route: u32, before: &Before, has_several: bool) {
        if self.verdict.is_some() {
            return;
        }
        let old = &before.recent;
        let of_route = self.by_route.get(&route).map(|tests| (Some(route), tests));
        for (route, tests) in of_route.into_iter().chain([(None, &self.together)]) {
            let errors = tests.errors_level(has_several);
            let slowness = tests.slowness.level(has_several);
            let of = |fault, hits, of_old, level| Verdict {
                fault,
                route,
                new: (hits, tests.answers),
                old: of_old,
                replicas: tests.replicas(),
                level,
            };
            if errors >= ERRORS_LEVEL {
                self.verdict = Some(of(Fault::Errors, tests.bad, (old.bad, old.total()), errors));
                return;
            }
            if slowness >= SLOW_LEVEL {
                let of_old = (old.durations.above(before.slow_limit()), old.durations.total());
                self.verdict = Some(of(Fault::Slowness, tests.slow, of_old, slowness));
                return;
            }
        }
    }
}

/// What the old version did on a route.
struct Before {
    /// In the last seconds.
    recent: Answers,
    /// Around a moment, in spans that hold enough to tell.
    near: Vec<Answers>,
}

impl Before {
    fn all(&self) -> impl Iterator<Item = &Answers> {
        self.near.iter().chain([&self.recent])
    }

    /// What bad answers of the old version say of a sound one, and of one that has so many more.
    fn error_odds(&self, rise: f64) -> Odds {
        let rate = self.all().map(Answers::bad_rate).fold(0.0, f64::max);
        let sound = (2.0 * rate + BAD_FLOOR).min(BAD_MOST);
        Odds { sound, worse: sound + rise }
    }

    /// What takes longer is slow.
    fn slow_limit(&self) -> Bucket {
        self.recent.durations.quantile(SLOW_PART).raised(SLOW_BUCKETS).max(LEAST_SLOW)
    }

    fn slow_odds(&self) -> Odds {
        let limit = self.slow_limit();
        let rate = |answers: &Answers| {
            f64::from(answers.durations.above(limit)) / f64::from(answers.durations.total().max(1))
        };
        let rate = self.all().map(rate).fold(0.0, f64::max);
        let sound = (1.5 * rate + SLOW_FLOOR).min(SLOW_MOST);
        Odds { sound, worse: sound + SLOW_RISE }
    }
}
