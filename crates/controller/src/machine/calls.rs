//! Calls of replicas and operators.

use process::Event;
use std::sync::Arc;

use catalog::{home_of, Heard, Record, State};
use register::{Accepted, Decision, Input as RegisterInput, Outcome, RegisterKey};
use serde::Serialize;

use crate::change::{ConfigurationOrder, Verdict, WeightsOrder, WeightsVerdict};
use crate::command::{too_large, Command, Reply};
use crate::event::ControllerEvent;
use crate::machine::contact::without_contact;
use crate::machine::releases::{read_reply, ReleaseOrder};
use crate::machine::{CallId, Effect, Machine, Moment};
use crate::values::{ConfigurationValue, ValueError, WeightsValue};
use crate::Millis;

/// An operator's call ends within this: callers move on after a second of silence.
pub(crate) const CALL_MS: Millis = 850;
/// When a caller that was refused may come back.
pub(crate) const RETRY_AFTER_MS: u64 = 200;

/// A request at the register that is under way.
#[derive(Debug)]
pub(crate) enum Pending {
    /// For a call.
    Call { call: CallId, kind: CallKind },
    /// For the duty.
    Duty,
    /// For a step of a release.
    ReleaseStep,
}

/// What a call wants of the register.
#[derive(Debug)]
pub(crate) enum CallKind {
    Configure(Arc<ConfigurationOrder>),
    NameWeights(WeightsOrder),
    BeginRelease(ReleaseOrder),
    ReadRelease { service: String },
    Read,
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct HeartbeatReply {
    beat_to: String,
}

impl Machine {
    pub(crate) fn call(&mut self, at: Moment, call: CallId, command: Command, out: &mut Vec<Effect>) {
        match command {
            Command::Heartbeat(record) => {
                self.heartbeat(at.now, call, *record);
            }
            Command::Leave { id } => self.replica_leaves(at, call, id),
            Command::Configure(order) => self.configure(at, call, *order, out),
            Command::NameWeights(order) => self.name_weights(at, call, order, out),
            Command::BeginRelease(order) => self.begin_release(at, call, order, out),
            Command::ReadRelease { service } => self.read_release(at, call, service, out),
            Command::ShowStatus => {
                let reply = Reply::new(200, self.status(at));
                self.replies.push(Effect::Reply { call, reply });
            }
            Command::ReadConfiguration => {
                let (key, deadline) = (RegisterKey::Configuration, at.now + CALL_MS);
                let pending = Pending::Call { call, kind: CallKind::Read };
                self.request(at, pending, |request| RegisterInput::Read { request, key, deadline }, out);
            }
        }
    }

    /// Takes a heartbeat in, whether or not it may be acknowledged here: what it tells is true all the same.
    fn heartbeat(&mut self, now: Millis, call: CallId, record: Record) {
        let (id, zone, state, beat) = (record.id.clone(), record.zone.clone(), record.state, record.beat);
        let older = self.older_weights(&record);
        match self.view.replicas.heartbeat(now, record) {
            Heard::Full => {
                let reply = Reply::later(503, "too many replicas; raise the limit", 1_000);
                return self.replies.push(Effect::Reply { call, reply });
            }
            Heard::News if state == State::Draining => {
                ControllerEvent::ReplicaDrains.info(format_args!("replica {id} drains"))
            }
            Heard::News => ControllerEvent::ReplicaNews.debug(format_args!("news of replica {id}")),
            Heard::Late => self.log_late(&id, state, beat),
            Heard::Same => {}
        }
        self.log_older_weights(&id, beat, &older);
        if state == State::Draining && !self.is_known_to_end(&id) {
            let reply = Reply::later(503, "a later heartbeat is known; say it again", RETRY_AFTER_MS);
            return self.replies.push(Effect::Reply { call, reply });
        }
        if !self.has_contact(now) {
            let reply = without_contact();
            return self.replies.push(Effect::Reply { call, reply });
        }
        let reply = HeartbeatReply { beat_to: self.home(&id, &zone) };
        let reply = Reply::new(200, serde_json::to_vec(&reply).unwrap_or_default());
        if state == State::Ready {
            return self.replies.push(Effect::Reply { call, reply });
        }
        self.barrier.hold(now, call, reply);
    }

    /// Whether it is known here that a replica drains or has ended: only then may its word be acknowledged.
    fn is_known_to_end(&self, id: &str) -> bool {
        let known = self.view.replicas.get(id);
        known.is_some_and(|known| matches!(known.state, State::Draining | State::Gone))
    }

    /// Logs a heartbeat that was dropped as late, with what is known instead.
    fn log_late(&self, id: &str, state: State, beat: u64) {
        let known = self.view.replicas.get(id).map(|known| (known.state, known.beat));
        let what = format!("replica {id}: heartbeat {beat} ({state:?}) is late, known is {known:?}");
        if state == State::Draining && !self.is_known_to_end(id) {
            ControllerEvent::HeartbeatLate.warn(format_args!("{what}"));
        } else {
            ControllerEvent::HeartbeatLate.debug(format_args!("{what}"));
        }
    }

    /// Where a replica should send its next heartbeats.
    fn home(&self, id: &str, zone: &str) -> String {
        let all = self.live_controllers();
        let home = home_of(id, zone, &all).map_or(self.me.control, |home| home.control);
        home.to_string()
    }

    fn configure(&mut self, at: Moment, call: CallId, order: ConfigurationOrder, out: &mut Vec<Effect>) {
        let order = Arc::new(order);
        let judged = Arc::clone(&order);
        let decide = Box::new(move |current: Option<&Accepted>| match judge(&judged, current) {
            Ok(Verdict::Write(value)) => Decision::Write(value.bytes().into()),
            _ => Decision::Keep,
        });
        let (key, deadline) = (RegisterKey::Configuration, at.now + CALL_MS);
        let pending = Pending::Call { call, kind: CallKind::Configure(order) };
        self.request(at, pending, |request| RegisterInput::Propose { request, key, deadline, decide }, out);
    }

    fn name_weights(&mut self, at: Moment, call: CallId, order: WeightsOrder, out: &mut Vec<Effect>) {
        let judged = order.clone();
        let decide =
            Box::new(move |current: Option<&Accepted>| match judge_weights(&judged, current, at.wall_ms) {
                Ok(WeightsVerdict::Write(value)) => Decision::Write(value.bytes().into()),
                _ => Decision::Keep,
            });
        let (key, deadline) = (RegisterKey::Weights, at.now + CALL_MS);
        let pending = Pending::Call { call, kind: CallKind::NameWeights(order) };
        self.request(at, pending, |request| RegisterInput::Propose { request, key, deadline, decide }, out);
    }
}

fn judge(order: &ConfigurationOrder, current: Option<&Accepted>) -> Result<Verdict, ValueError> {
    let current = current.map(|accepted| ConfigurationValue::read(accepted.value.bytes())).transpose()?;
    Ok(order.judge(current.as_ref()))
}

fn judge_weights(
    order: &WeightsOrder,
    current: Option<&Accepted>,
    wall_ms: u64,
) -> Result<WeightsVerdict, ValueError> {
    let current = current.map(|accepted| WeightsValue::read(accepted.value.bytes())).transpose()?;
    Ok(order.judge(current.as_ref(), wall_ms))
}

/// The answer to a call whose request ended so.
pub(crate) fn reply(kind: &CallKind, at: Moment, outcome: Outcome) -> Reply {
    match outcome {
        Outcome::Decided { .. } => Reply::empty(200),
        Outcome::Kept { current } => kept(kind, at, current.as_ref()),
        Outcome::Read { current } if matches!(kind, CallKind::ReadRelease { .. }) => {
            kept(kind, at, current.as_ref())
        }
        Outcome::Read { current: Some(current) } => body(&current),
        Outcome::Read { current: None } => Reply::refusal(404, "no configuration has been taken yet"),
        Outcome::Unclear => {
            Reply::later(504, "unclear whether the change took effect; send it again", RETRY_AFTER_MS)
        }
        Outcome::NoMajority => {
            Reply::later(503, "no majority of the controllers answers; try again", RETRY_AFTER_MS)
        }
        Outcome::Overloaded => Reply::later(503, "too many calls are under way; try again", RETRY_AFTER_MS),
        Outcome::TooLong => too_large(),
        Outcome::Reserved => Reply::refusal(500, "the register is not open to calls"),
    }
}

fn body(current: &Accepted) -> Reply {
    match ConfigurationValue::read(current.value.bytes()) {
        Ok(value) => Reply::new(200, value.body),
        Err(why) => Reply::refusal(500, &why.to_string()),
    }
}

/// The answer to a change that was not made, from the value on which it was judged.
fn kept(kind: &CallKind, at: Moment, current: Option<&Accepted>) -> Reply {
    let changed = || Reply::later(503, "another change came in between; try again", RETRY_AFTER_MS);
    match kind {
        CallKind::Read => current.map_or_else(|| Reply::refusal(404, "no configuration yet"), body),
        CallKind::ReadRelease { service } => read_reply(service, current),
        CallKind::BeginRelease(order) => order.kept(at, current),
        CallKind::Configure(order) => match judge(order, current) {
            Ok(Verdict::Taken) => Reply::empty(200),
            Ok(Verdict::OtherVersion(version)) => Reply::refusal(
                412,
                &format!("version {version} is in place; read it and build the change on it"),
            ),
            Ok(Verdict::Forgotten(version)) => Reply::later(
                504,
                &format!(
                    "version {version} is in place; too long ago to tell whether the change took effect"
                ),
                RETRY_AFTER_MS,
            ),
            Ok(Verdict::Invalid(why)) => Reply::refusal(400, &why),
            Ok(Verdict::Write(_)) => changed(),
            Err(why) => Reply::refusal(500, &why.to_string()),
        },
        CallKind::NameWeights(order) => match judge_weights(order, current, at.wall_ms) {
            Ok(WeightsVerdict::Named) => Reply::empty(200),
            Ok(WeightsVerdict::TooManyModels) => Reply::refusal(400, "too many models have named versions"),
            Ok(WeightsVerdict::Write(_)) => changed(),
            Err(why) => Reply::refusal(500, &why.to_string()),
        },
    }
}
