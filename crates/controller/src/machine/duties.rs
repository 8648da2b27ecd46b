//! The duty of moving replicas to named weights, joined to the register and the catalogue.

use std::collections::BTreeMap;

use catalog::{ModelVersion, Record, State};
use process::Event;
use register::{Accepted, Decision, Input as RegisterInput, Outcome, RegisterKey};
use weights::Naming;

use crate::duty::holder::{Circumstances, Proposal};
use crate::duty::moves::{first_lacking, Moved, Report};
use crate::event::ControllerEvent;
use crate::machine::calls::Pending;
use crate::machine::{Effect, Machine, Moment};
use crate::values::{DutyValue, WeightsValue};
use crate::Millis;

/// A change of the duty register ends within this.
const DUTY_MS: Millis = 800;
/// Time between two lines of the log on replicas that have lacked named weights for too long.
const BEHIND_LOG_EVERY_MS: Millis = 5_000;
/// Most replicas that such a line names.
const MOST_BEHIND_LOGGED: usize = 20;

/// Weights that a heartbeat tells, with the newer version that was believed before.
#[derive(Debug)]
pub(crate) struct OlderWeights {
    told: ModelVersion,
    believed: u64,
}

impl Machine {
    pub(crate) fn learned_weights(&mut self, at: Moment, bytes: &[u8]) {
        let value = match WeightsValue::read(bytes) {
            Ok(value) => value,
            Err(why) => return ControllerEvent::WeightsUnreadable.error(format_args!("{why}")),
        };
        // From the time of day to this process's clock. A naming of the future is one of now: clocks differ.
        let here = |naming: Naming| {
            let age = (at.wall_ms as i64).saturating_sub(naming.named_at).max(0);
            Naming { named_at: at.now as i64 - age, ..naming }
        };
        let namings = value.namings().map(|(model, naming)| (model, here(naming)));
        if self.view.take_weights(at.now, namings) {
            let named = self.view.weights().describe(at.now as i64);
            let held = self.held_versions();
            ControllerEvent::WeightsNamed.info(format_args!("{named}; ready replicas hold {held}"));
        }
        self.next_upkeep = at.now;
    }

    pub(crate) fn learned_duty(&mut self, at: Moment, bytes: &[u8]) {
        match DutyValue::read(bytes) {
            Ok(value) => self.holder.learn(at.now, Some(value)),
            Err(why) => ControllerEvent::DutyUnreadable.error(format_args!("{why}")),
        }
    }

    /// Gives, renews or takes the duty as needed, and gives the orders that are due.
    pub(crate) fn consider_duty(&mut self, at: Moment, out: &mut Vec<Effect>) {
        let confirmed =
            self.register.as_ref().is_some_and(|register| register.is_confirmed(RegisterKey::Duty));
        if self.terminating || !confirmed {
            return;
        }
        let has_work = self.moves.has_work(self.view.replicas.live(), self.view.weights());
        if let Some(refused) = self.moves.refused_fence() {
            self.holder.fence_refused(refused);
        }
        let circumstances = Circumstances {
            now: at.now,
            has_work,
            rank: self.rank(),
            holder_alive: self.is_holder_alive(),
            has_others: self.membership.alive().next().is_some(),
            is_unanswered: self.moves.is_unanswered(at.now),
        };
        self.log_behind(at.now);
        if let Some(proposal) = self.holder.consider(circumstances) {
            if has_work && proposal.value.is_released() {
                let under_way = self.moves.describe();
                ControllerEvent::DutyGivenUp
                    .warn(format_args!("it can't be done from here; under way: {under_way}"));
            }
            self.propose_duty(at, proposal, out);
        }
        if !self.holder.is_mine() {
            return self.moves.clear();
        }
        let replicas: Vec<_> = self.view.replicas.live().cloned().collect();
        let fence = self.holder.may_order(at.now);
        let calls = self.moves.calls(at.now, &replicas, self.view.weights(), fence);
        out.extend(calls.into_iter().map(Effect::CallReplica));
    }

    /// How many ready replicas hold which version of which model, as a line of a log.
    fn held_versions(&self) -> String {
        let mut held: BTreeMap<(&str, u64), usize> = BTreeMap::new();
        let ready = self.view.replicas.live().filter(|record| record.state == State::Ready);
        for model in ready.flat_map(|record| &record.models) {
            *held.entry((&model.name, model.version)).or_default() += 1;
        }
        let shown =
            held.iter().map(|((model, version), count)| format!("{model} version {version}: {count}"));
        shown.collect::<Vec<_>>().join(", ")
    }

    /// Logs now and then which replicas have lacked named weights for longer than the bound, and what is done about it.
    fn log_behind(&mut self, now: Millis) {
        if now < self.next_behind_log {
            return;
        }
        self.next_behind_log = now + BEHIND_LOG_EVERY_MS;
        let shown = |record: &Record| {
            let (_, first) = first_lacking(record, self.view.weights())?;
            let age = (now as i64).saturating_sub(first.named_at);
            let is_past = age > self.timing.version_ms as i64;
            is_past.then(|| format!("{} {:?} for {age} ms", record.id, record.state))
        };
        let live = self.view.replicas.live();
        let behind: Vec<String> = live.filter_map(shown).take(MOST_BEHIND_LOGGED).collect();
        if behind.is_empty() {
            return;
        }
        ControllerEvent::ReplicasBehind.warn(format_args!(
            "past the bound: {}; duty held by {:?}, here: {}, may order: {}; under way: {}",
            behind.join(", "),
            self.holder.last_holder(),
            self.holder.is_mine(),
            self.holder.may_order(now).is_some(),
            self.moves.describe()
        ));
    }

    /// Weights that a later heartbeat tells and that are older than the replica is believed to hold.
    pub(crate) fn older_weights(&self, told: &Record) -> Vec<OlderWeights> {
        let known = self.view.replicas.get(&told.id).filter(|known| known.beat < told.beat);
        let believed = |told: &ModelVersion| {
            let known = known?.models.iter().find(|known| known.name == told.name)?;
            let older = OlderWeights { told: told.clone(), believed: known.version };
            (known.version > told.version).then_some(older)
        };
        told.models.iter().filter_map(believed).collect()
    }

    /// Logs older weights that are believed now; a report may stand beside the heartbeat that told them.
    pub(crate) fn log_older_weights(&self, id: &str, beat: u64, older: &[OlderWeights]) {
        let models = self.view.replicas.get(id).map_or(&[][..], |record| &record.models);
        for OlderWeights { told, believed } in older.iter().filter(|older| models.contains(&older.told)) {
            let ModelVersion { name, version } = told;
            ControllerEvent::WeightsWentBack.warn(format_args!(
                "replica {id}: heartbeat {beat} tells {name} version {version}, it was believed to hold {believed}"
            ));
        }
    }

    pub(crate) fn reported(&mut self, at: Moment, replica: &str, report: Option<Report>) {
        if let Some(moved) = self.moves.reported(at.now, replica, report.as_ref()) {
            let Moved { model, version, took_ms } = moved;
            ControllerEvent::WeightsMoved.info(format_args!(
                "replica {replica}: {model} version {version}, {took_ms} ms after its order"
            ));
        }
        let noted = report.and_then(|report| self.view.replicas.note_models(replica, &report.models));
        if let Some(noted) = noted {
            self.peers.tell_report(&noted);
        }
        if self.moves.is_to_be_ordered(at.now, replica) {
            self.next_upkeep = at.now;
        }
    }

    fn propose_duty(&mut self, at: Moment, proposal: Proposal, out: &mut Vec<Effect>) {
        let decide = Box::new(move |current: Option<&Accepted>| {
            let current = current.map(|accepted| DutyValue::read(accepted.value.bytes()));
            let expected = match (current, proposal.expected) {
                (None, None) => true,
                (Some(Ok(current)), Some(expected)) => current == expected,
                _ => false,
            };
            if expected {
                Decision::Write(proposal.value.bytes().into())
            } else {
                Decision::Keep
            }
        });
        let (key, deadline) = (RegisterKey::Duty, at.now + DUTY_MS);
        let input = |request| RegisterInput::Propose { request, key, deadline, decide };
        self.request(at, Pending::Duty, input, out);
    }

    pub(crate) fn duty_settled(&mut self, at: Moment, outcome: Outcome) {
        let decided = matches!(outcome, Outcome::Decided { .. });
        self.holder.settled(at.now, decided);
        if let Outcome::Decided { current, .. } | Outcome::Kept { current: Some(current) } = outcome {
            self.learned_duty(at, current.value.bytes());
        }
    }

    /// Place of this controller among those alive.
    pub(crate) fn rank(&self) -> u64 {
        self.membership.alive().filter(|member| member.peer < self.me.peer).count() as u64
    }

    fn is_holder_alive(&self) -> bool {
        let Some(holder) = self.holder.last_holder() else { return false };
        self.membership.alive().any(|member| member.peer == holder)
    }

    /// Ends: says so to the others, and hands the duty and the place in the acceptor set on.
    pub(crate) fn terminate(&mut self, at: Moment, out: &mut Vec<Effect>) {
        self.terminating = true;
        let successor = self.membership.alive().map(|member| member.peer).min();
        for send in self.membership.leave() {
            self.send_membership(send, out);
        }
        if let Some(proposal) = self.holder.release(at.now, successor) {
            ControllerEvent::DutyHandedOn.info(format_args!("the duty is handed to {successor:?}"));
            self.propose_duty(at, proposal, out);
        }
        self.register(at, RegisterInput::Leave, out);
    }
}
