//! Releases of services' software: the operator's orders, the register, and the steps that are due.

use std::collections::BTreeMap;

use catalog::State;
use configuration::Configuration;
use peer::ReleaseReport;
use process::Event;
use register::{Accepted, Decision, Input as RegisterInput, Outcome, RegisterKey, RegisterNode};
use rollout::{
    Answers, Bucket, Conductor, DueStep, Histogram, Judged, Order, Phase, ProxyWord, ReadyReplicas, Release,
    Releases, ReleasesError, Side,
};
use serde::Serialize;

use crate::command::Reply;
use crate::event::ControllerEvent;
use crate::machine::calls::{CallKind, Pending, CALL_MS, RETRY_AFTER_MS};
use crate::machine::{CallId, Effect, Machine, Moment};
use crate::values::ConfigurationValue;
use crate::Millis;

/// A step of a release ends within this.
const STEP_MS: Millis = 800;
/// A proxy whose agent's link ended is waited for so long.
const IN_TOUCH_MS: Millis = 4_000;

/// An order with what this controller knows of its service.
#[derive(Debug, Clone)]
pub(crate) struct ReleaseOrder {
    order: Order,
    /// The version that all ready replicas tell, if they tell one.
    serving: Option<String>,
}

impl ReleaseOrder {
    fn judge(&self, current: Option<&Accepted>, wall_ms: u64) -> Result<Judged, ReleasesError> {
        Ok(releases_of(current)?.judge(&self.order, wall_ms, self.serving.as_deref()))
    }

    /// The answer to an order that changed nothing.
    pub fn kept(&self, at: Moment, current: Option<&Accepted>) -> Reply {
        let (service, to_version) = (self.order.service(), self.order.to_version());
        match self.judge(current, at.wall_ms) {
            Ok(Judged::Taken) => Reply::empty(200),
            Ok(Judged::UnderWay(other)) => Reply::refusal(
                409,
                &format!("the release of {service} to {other} is under way; wait for its end"),
            ),
            Ok(Judged::Serves) => Reply::refusal(
                400,
                &format!("to-version {to_version} serves {service} already; order another one"),
            ),
            Ok(Judged::TooManyServices) => Reply::refusal(400, "service: too many services have releases"),
            Ok(Judged::Begin(_)) => {
                Reply::later(503, "another change came in between; try again", RETRY_AFTER_MS)
            }
            Err(why) => Reply::refusal(500, &why.to_string()),
        }
    }
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct ReleaseState<'a> {
    state: String,
    to_version: &'a str,
}

/// The answer to a read of a service's newest release.
pub(crate) fn read_reply(service: &str, current: Option<&Accepted>) -> Reply {
    let releases = match releases_of(current) {
        Ok(releases) => releases,
        Err(why) => return Reply::refusal(500, &why.to_string()),
    };
    let Some(release) = releases.newest(service) else {
        return Reply::refusal(404, &format!("no release of service {service} was ordered"));
    };
    let state = release.phase.state().to_string();
    let shown = ReleaseState { state, to_version: release.to_version() };
    Reply::new(200, serde_json::to_vec(&shown).unwrap_or_default())
}

fn releases_of(current: Option<&Accepted>) -> Result<Releases, ReleasesError> {
    current.map_or_else(|| Ok(Releases::default()), |accepted| Releases::read(accepted.value.bytes()))
}

/// Numbers of ready replicas by service and version.
type ReadyByVersion = BTreeMap<(String, String), usize>;

/// What a controller keeps of releases.
#[derive(Debug, Default)]
pub(crate) struct ReleaseDuty {
    conductor: Conductor<String>,
    /// A step that this controller proposed has not ended.
    is_proposing: bool,
    /// A decided configuration that is told once the releases are known.
    held_back: Option<ConfigurationValue>,
}

impl Machine {
    pub(crate) fn begin_release(&mut self, at: Moment, call: CallId, order: Order, out: &mut Vec<Effect>) {
        if let Some(reply) = self.release_obstacle(&order) {
            return self.replies.push(Effect::Reply { call, reply });
        }
        let serving = self.serving_version(order.service());
        let order = ReleaseOrder { order, serving };
        let judged = order.clone();
        let decide = Box::new(move |current: Option<&Accepted>| match judged.judge(current, at.wall_ms) {
            Ok(Judged::Begin(next)) => Decision::Write(next.bytes().into()),
            _ => Decision::Keep,
        });
        let (key, deadline) = (RegisterKey::Releases, at.now + CALL_MS);
        let pending = Pending::Call { call, kind: CallKind::BeginRelease(order) };
        self.request(at, pending, |request| RegisterInput::Propose { request, key, deadline, decide }, out);
    }

    pub(crate) fn read_release(&mut self, at: Moment, call: CallId, service: String, out: &mut Vec<Effect>) {
        let (key, deadline) = (RegisterKey::Releases, at.now + CALL_MS);
        let pending = Pending::Call { call, kind: CallKind::ReadRelease { service } };
        self.request(at, pending, |request| RegisterInput::Read { request, key, deadline }, out);
    }

    /// Why an order can't be taken here, if it can't.
    fn release_obstacle(&self, order: &Order) -> Option<Reply> {
        let later = |why: &str| Some(Reply::later(503, why, RETRY_AFTER_MS));
        if self.peers.knows_no_releases() || self.agents.know_no_releases() {
            return later("a program of an earlier release is in the fleet; finish its upgrade first");
        }
        let Some(held) = self.view.configuration() else {
            return later("no configuration is known here yet; try again");
        };
        let service = order.service();
        let is_known = Configuration::read(held.body()).is_ok_and(|known| known.service(service).is_some());
        let unknown = || format!("service {service} is in no configuration");
        (!is_known).then(|| Reply::refusal(400, &unknown()))
    }

    /// The version that all ready replicas of a service tell, if they tell one.
    fn serving_version(&self, service: &str) -> Option<String> {
        let of_service = self.view.replicas.live().filter(|record| record.service == service);
        let mut versions =
            of_service.filter(|record| record.state == State::Ready).map(|record| &record.software);
        let first = versions.next()?;
        (!first.is_empty() && versions.all(|version| version == first)).then(|| first.clone())
    }

    pub(crate) fn learned_releases(&mut self, at: Moment, bytes: &[u8]) {
        let releases = match Releases::read(bytes) {
            Ok(releases) => releases,
            Err(why) => return ControllerEvent::ReleasesUnreadable.error(format_args!("{why}")),
        };
        log_changes(self.view.releases(), &releases);
        self.releases.conductor.learn(at.now, at.wall_ms, &releases);
        if self.view.take_releases(releases) {
            self.next_upkeep = at.now;
        }
    }

    /// Takes a decided configuration in; one that is decided before the releases are known here waits for them, since whoever
    /// has a configuration sends requests.
    pub(crate) fn take_or_hold_back(&mut self, value: ConfigurationValue) {
        self.releases.held_back = Some(value);
        self.tell_held_back();
    }

    /// Takes the configuration in that waited for the releases, if they are known by now.
    pub(crate) fn tell_held_back(&mut self) {
        let is_confirmed = |register: &RegisterNode| register.is_confirmed(RegisterKey::Releases);
        let is_known = self.register.as_ref().is_some_and(is_confirmed) || self.peers.knows_no_releases();
        if is_known {
            if let Some(value) = self.releases.held_back.take() {
                self.take_configuration(value);
            }
        }
    }

    /// A proxy reports what it saw of a release.
    pub(crate) fn release_reported(&mut self, now: Millis, machine: String, report: &ReleaseReport) {
        let Some(phase) = Phase::from_number(report.phase) else { return };
        let word = ProxyWord { phase, is_drained: report.is_drained != 0 };
        let answers = report.answers.iter().map(answers_from_wire);
        self.releases.conductor.proxy_told(now, machine, report.release, word, answers);
    }

    /// Proposes the step of a release that is due, if one is.
    pub(crate) fn consider_releases(&mut self, at: Moment, out: &mut Vec<Effect>) {
        self.tell_held_back();
        let is_idle = !self.releases.conductor.is_active() || self.releases.is_proposing;
        if self.terminating || is_idle || !self.has_contact(at.now) {
            return;
        }
        let awaited = self.agents.in_touch(at.now, IN_TOUCH_MS);
        let ready = self.ready_by_version();
        let replicas = |service: &str, version: &str| ready_of(&ready, service, version);
        let rank = self.rank();
        let Some(due) = self.releases.conductor.due(at.now, rank, &awaited, replicas) else { return };
        ControllerEvent::ReleaseProposed
            .info(format_args!("release {}: {} of {}, {}", due.number, due.step, due.phase, due.reason));
        self.propose_step(at, due, out);
    }

    fn propose_step(&mut self, at: Moment, due: DueStep, out: &mut Vec<Effect>) {
        let DueStep { number, phase, step, reason } = due;
        let decide = Box::new(move |current: Option<&Accepted>| {
            let next = releases_of(current).ok().and_then(|it| it.advanced(number, phase, step, &reason));
            next.map_or(Decision::Keep, |next| Decision::Write(next.bytes().into()))
        });
        self.releases.is_proposing = true;
        let (key, deadline) = (RegisterKey::Releases, at.now + STEP_MS);
        let input = |request| RegisterInput::Propose { request, key, deadline, decide };
        self.request(at, Pending::ReleaseStep, input, out);
    }

    pub(crate) fn release_settled(&mut self, at: Moment, outcome: Outcome) {
        self.releases.is_proposing = false;
        if let Outcome::Decided { current, .. } | Outcome::Kept { current: Some(current) } = outcome {
            self.learned_releases(at, current.value.bytes());
        }
    }

    /// Numbers of ready replicas by service and version.
    fn ready_by_version(&self) -> ReadyByVersion {
        let mut ready = ReadyByVersion::new();
        for record in self.view.replicas.live().filter(|record| record.state == State::Ready) {
            *ready.entry((record.service.clone(), record.software.clone())).or_default() += 1;
        }
        ready
    }

    /// What is known of a release's judgement here, for people.
    pub(crate) fn judgement_of(&self, release: &Release) -> Option<String> {
        self.releases.conductor.describe(release.number)
    }
}

fn ready_of(ready: &ReadyByVersion, service: &str, version: &str) -> ReadyReplicas {
    let mut counts = ReadyReplicas::default();
    for ((of, running), count) in ready {
        if of != service {
            continue;
        }
        if running == version {
            counts.new += count;
        } else {
            counts.old += count;
        }
    }
    counts
}

fn answers_from_wire(told: &peer::ReleaseAnswers) -> (u32, Side, Answers) {
    let side = if told.is_new == 0 { Side::Old } else { Side::New { replica: told.replica } };
    let mut durations = Histogram::default();
    for filled in &told.durations {
        durations.add(Bucket(filled.bucket), u32::from(filled.count));
    }
    (told.route, side, Answers { good: told.good.into(), bad: told.bad.into(), durations })
}

/// Logs which releases are new and which are in another phase.
fn log_changes(before: &Releases, after: &Releases) {
    for known in after.services() {
        let service = known.service();
        let Some(release) = known.newest() else { continue };
        let former = before.newest(service).filter(|former| former.number == release.number);
        let (number, version, phase) = (release.number, release.to_version(), release.phase);
        match former {
            None => ControllerEvent::ReleaseOrdered.info(format_args!(
                "release {number}: {service} to {version} in {} ms, {phase}",
                release.over_ms
            )),
            Some(former) if former.phase != phase => ControllerEvent::ReleaseStep.info(format_args!(
                "release {number}: {service} to {version}, {phase}: {}",
                release.reason()
            )),
            Some(_) => {}
        }
    }
}
