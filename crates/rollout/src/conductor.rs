//! Which step of a release is due, as one controller sees it.
//!
//! Every controller hears every proxy, and any of them may propose the next step: the register takes a step only in the phase
//! for which it was meant, so it is taken once. They propose one after the other, by rank; when the first one is gone the next
//! one proposes a moment later, and nothing has to be handed over.

use std::collections::BTreeMap;

use crate::exposure::{ramp_ms, shift_from};
use crate::judge::{Answers, Judge, Side};
use crate::phase::{Phase, Step};
use crate::releases::{Release, Releases};
use crate::Millis;

/// A controller lets each one before it go first for so long, ms.
const RANK_DELAY_MS: Millis = 300;
/// Sound answers without which no version takes over.
const LEAST_SOUND: u32 = 20;
/// No version takes over, and none is finished, while the evidence against it is above this part of what a verdict takes:
/// another controller may have seen a little more, and be cut off with it.
const MOST_SUSPICION: f64 = 0.4;
/// A version has all of the traffic for so long before it is finished, ms: what it answers then has been judged.
const WHOLE_MS: Millis = 750;
/// The part of the old version's ready replicas that the new one needs before it takes over.
const LEAST_REPLICAS: f64 = 0.5;
/// The part below which a version that is taking over is given up.
const FEWEST_REPLICAS: f64 = 0.25;
/// A version that could not be judged is given up so long after its deadline, ms.
const GIVE_UP_MS: Millis = 5_000;
/// A proxy that tells nothing for so long is not there, or out of touch, ms.
const SILENT_MS: Millis = 3_000;
/// A revert counts as known to all in touch after so long, ms.
const REVERT_KNOWN_MS: Millis = 2_000;

/// What a proxy tells of a release, beside its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProxyWord {
    /// The phase that it goes by.
    pub phase: Phase,
    /// It sends nothing more to the old version, and has nothing out there.
    pub is_drained: bool,
}

/// Ready replicas of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadyReplicas {
    /// Of the version that is being brought in.
    pub new: usize,
    /// Of any other.
    pub old: usize,
}

/// A step that this controller should propose.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DueStep {
    /// The release.
    pub number: u64,
    /// The phase in which it is.
    pub phase: Phase,
    /// The step.
    pub step: Step,
    /// Why, with figures.
    pub reason: String,
}

#[derive(Debug, Clone, Copy)]
struct Heard {
    at: Millis,
    word: ProxyWord,
}

/// One release under way.
#[derive(Debug, Clone)]
struct Watch<P> {
    service: String,
    to_version: String,
    over_ms: Millis,
    /// When it was ordered, by this controller's clock; below its start where it was ordered before.
    ordered: i64,
    phase: Phase,
    phase_since: Millis,
    /// Since when this controller watches it.
    watched_since: Millis,
    judge: Judge,
    proxies: BTreeMap<P, Heard>,
    /// The step that is due, with since when.
    due: Option<(Step, Millis)>,
}

/// The releases under way, as one controller sees them. `P` names a proxy.
#[derive(Debug, Clone)]
pub struct Conductor<P> {
    watches: BTreeMap<u64, Watch<P>>,
}

impl<P> Default for Conductor<P> {
    fn default() -> Conductor<P> {
        Conductor { watches: BTreeMap::new() }
    }
}

impl<P: Ord> Conductor<P> {
    /// Takes in what the register holds. The age of a release counts from when this controller hears of it; `wall_ms`, the
    /// time of day, tells it only where the release is older than that.
    pub fn learn(&mut self, now: Millis, wall_ms: u64, releases: &Releases) {
        let newest = releases.services().iter().filter_map(|known| Some((known, known.newest()?)));
        let under_way: Vec<_> = newest.filter(|(_, release)| !release.phase.is_over()).collect();
        self.watches.retain(|number, _| under_way.iter().any(|(_, release)| release.number == *number));
        for (known, release) in under_way {
            let new = || Watch::new(now, wall_ms, known.service(), release);
            let watch = self.watches.entry(release.number).or_insert_with(new);
            if watch.phase != release.phase {
                watch.phase = release.phase;
                watch.phase_since = now;
                watch.due = None;
            }
        }
    }

    /// Whether any release is under way.
    pub fn is_active(&self) -> bool {
        !self.watches.is_empty()
    }

    /// A proxy tells of a release.
    pub fn proxy_told(
        &mut self,
        now: Millis,
        proxy: P,
        number: u64,
        word: ProxyWord,
        answers: impl IntoIterator<Item = (u32, Side, Answers)>,
    ) {
        let Some(watch) = self.watches.get_mut(&number) else { return };
        watch.proxies.insert(proxy, Heard { at: now, word });
        for (route, side, answers) in answers {
            watch.judge.take(now, route, side, &answers);
        }
    }

    /// The step that this controller is to propose now. `rank` is its place among the controllers that are alive, `awaited`
    /// the proxies that are in touch or were a moment ago, `replicas` tells the ready ones of a service by version.
    pub fn due(
        &mut self,
        now: Millis,
        rank: u64,
        awaited: &[P],
        replicas: impl Fn(&str, &str) -> ReadyReplicas,
    ) -> Option<DueStep> {
        for (number, watch) in &mut self.watches {
            let ready = replicas(&watch.service, &watch.to_version);
            watch.judge.judge(now, ready.new > 1);
            let Some((step, reason)) = watch.step(now, awaited, ready) else {
                watch.due = None;
                continue;
            };
            let since = watch.due.filter(|(due, _)| *due == step).map_or(now, |(_, since)| since);
            watch.due = Some((step, since));
            if now >= since + rank * RANK_DELAY_MS {
                return Some(DueStep { number: *number, phase: watch.phase, step, reason });
            }
        }
        None
    }

    /// What is known of each release under way, for people.
    pub fn describe(&self, number: u64) -> Option<String> {
        let watch = self.watches.get(&number)?;
        let drained = watch.proxies.values().filter(|heard| heard.word.is_drained).count();
        Some(format!("{}; {drained} of {} proxies drained", watch.judge.describe(), watch.proxies.len()))
    }
}

impl<P: Ord> Watch<P> {
    fn new(now: Millis, wall_ms: u64, service: &str, release: &Release) -> Watch<P> {
        let age = wall_ms.saturating_sub(release.ordered_at_ms).min(release.over_ms + GIVE_UP_MS);
        Watch {
            service: service.to_string(),
            to_version: release.to_version().to_string(),
            over_ms: release.over_ms,
            ordered: now as i64 - age as i64,
            phase: release.phase,
            phase_since: now,
            watched_since: now,
            judge: Judge::default(),
            proxies: BTreeMap::new(),
            due: None,
        }
    }

    fn age(&self, now: Millis) -> Millis {
        (now as i64 - self.ordered).max(0) as Millis
    }

    /// The step that is due, with the reason.
    fn step(&self, now: Millis, awaited: &[P], ready: ReadyReplicas) -> Option<(Step, String)> {
        match self.phase {
            Phase::Trial => self.step_of_trial(now, ready),
            Phase::Shift => self.step_of_shift(now, awaited, ready),
            Phase::Reverting => self.step_of_revert(now, awaited),
            Phase::Finished | Phase::Reverted => None,
        }
    }

    fn revert_by_verdict(&self) -> Option<(Step, String)> {
        self.judge.verdict().map(|verdict| (Step::Revert, verdict.to_string()))
    }

    fn step_of_trial(&self, now: Millis, ready: ReadyReplicas) -> Option<(Step, String)> {
        if let Some(revert) = self.revert_by_verdict() {
            return Some(revert);
        }
        let age = self.age(now);
        if age < shift_from(self.over_ms) {
            return None;
        }
        let is_judged = self.judge.sound_answers() >= LEAST_SOUND && self.is_unsuspected(ready);
        let is_there = ready.new > 0 && ready.new as f64 >= LEAST_REPLICAS * ready.old as f64;
        let figures =
            format!("{}; {} replicas ready, {} of before", self.judge.describe(), ready.new, ready.old);
        if is_judged && is_there {
            return Some((Step::Shift, figures));
        }
        // What others were told before this controller started is not known here, and the time of day may be wrong.
        let has_watched = now >= self.watched_since + GIVE_UP_MS;
        let is_too_late = has_watched && age >= self.over_ms + GIVE_UP_MS;
        is_too_late.then(|| (Step::Revert, format!("not judged in time: {figures}")))
    }

    fn step_of_shift(&self, now: Millis, awaited: &[P], ready: ReadyReplicas) -> Option<(Step, String)> {
        if let Some(revert) = self.revert_by_verdict() {
            return Some(revert);
        }
        if (ready.new as f64) < FEWEST_REPLICAS * ready.old as f64 {
            let reason = format!("its replicas are gone: {} ready, {} of before", ready.new, ready.old);
            return Some((Step::Revert, reason));
        }
        let is_seen = now >= self.phase_since + ramp_ms(self.over_ms) + WHOLE_MS;
        let is_drained = !awaited.is_empty() && self.have_told(now, awaited, |word| word.is_drained);
        let reason = || format!("{}; {} proxies drained", self.judge.describe(), awaited.len());
        let may_end = is_seen && is_drained && self.is_unsuspected(ready);
        may_end.then(|| (Step::Finish, reason()))
    }

    fn is_unsuspected(&self, ready: ReadyReplicas) -> bool {
        self.judge.suspicion(ready.new > 1) < MOST_SUSPICION
    }

    fn step_of_revert(&self, now: Millis, awaited: &[P]) -> Option<(Step, String)> {
        let is_known = self.have_told(now, awaited, |word| word.phase.is_reverted());
        let is_over = now >= self.phase_since + REVERT_KNOWN_MS;
        (is_known || is_over).then(|| (Step::CompleteRevert, String::new()))
    }

    /// Whether all proxies that are there have told so. One that has told nothing for long is not there.
    fn have_told(&self, now: Millis, awaited: &[P], so: impl Fn(&ProxyWord) -> bool) -> bool {
        let has_told = |proxy: &P| {
            let heard = self.proxies.get(proxy).filter(|heard| now < heard.at + SILENT_MS);
            match heard {
                Some(heard) => so(&heard.word),
                None => now >= self.phase_since + SILENT_MS,
            }
        };
        awaited.iter().all(has_told)
    }
}
