//! Where a request is sent.

use crate::call::{Call, Final, Out, Target, COME_BACK, LEAST_TIME};
use crate::candidates::{parts_of, sum};
use crate::cause::Cause;
use crate::choose::{pick, Candidate, CostModel};
use crate::dispatcher::Dispatcher;
use crate::figures::Work;
use crate::mechanisms::Mechanism;
use crate::moves::Move;
use crate::moving::Known;
use evidence::Ms;
use prefix_index::{Part, ReplicaNumber, Source};

/// The part of the retry budget that must be left for twins to be sent.
const LEAST_BUDGET: f64 = 0.5;

impl Dispatcher {
    /// Where to send a request next.
    ///
    /// # Errors
    /// Gives the final answer if it can't be sent.
    pub fn send(&mut self, call: &mut Call, now: Ms) -> Result<Target, Final> {
        if call.ask.deadline - now < LEAST_TIME {
            return Err(call.give_up(Cause::Expired, COME_BACK));
        }
        if call.sends > 0 && !self.budget_allows(call, now) {
            return Err(call.give_up(Cause::NoBudget, COME_BACK));
        }
        let (candidates, known) = self.candidates(call, now)?;
        let costs = CostModel::new(call.ask.target.map(|target| target - now), self.mechanisms);
        let Some(chosen) = pick(&candidates, &costs, &mut self.random) else {
            return Err(call.give_up(Cause::NoReplica, COME_BACK));
        };
        let place = candidates.iter().position(|candidate| candidate.replica == chosen.replica);
        let kept = place.map_or(0, |place| known.kept[place]);
        let fetched = self.best_move(call, chosen.replica, kept, &known, now);
        if call.sends > 0 {
            self.budget(&call.ask.service.clone()).spend(now);
        }
        call.sends += 1;
        call.tried.push(chosen.replica);
        let delay =
            self.replicas.get(&chosen.replica).map_or(0.0, |replica| self.observed_delay(replica, now));
        let work = self.work(call, &chosen, kept, fetched, &known, now);
        let work = Work { wait: chosen.wait - delay, ..work };
        self.figures.count_send(&work);
        Ok(self.sent(call, chosen.replica, work, fetched, now))
    }

    /// What a replica has to do for a call that is sent there.
    fn work(
        &self,
        call: &Call,
        chosen: &Candidate,
        kept: u32,
        fetched: Option<Move>,
        known: &Known,
        now: Ms,
    ) -> Work {
        let parts = parts_of(call.ask.prompt.as_deref());
        let tokens = sum(&parts);
        let shared = parts.split_last().map_or(0, |(_, shared)| sum(shared));
        let had = fetched.map_or(kept, |fetched| fetched.tokens);
        let model = call.ask.model.as_deref().unwrap_or_default();
        Work {
            own: tokens.saturating_sub(had.max(shared)),
            kept,
            fetched: had.saturating_sub(kept),
            start: shared.saturating_sub(had),
            was_read: known.was_read(self.version_to_expect(chosen.replica, model, now)),
            wait: chosen.wait,
            moving: fetched.map_or(0.0, |fetched| fetched.takes),
        }
    }

    /// Where to send a twin of a request that has just been sent for the first time, if it gets one.
    pub fn twin(&mut self, call: &mut Call, now: Ms) -> Option<Target> {
        let [first] = call.out.as_slice() else { return None };
        let first = first.replica;
        let may_repeat = call.ask.rules.is_idempotent && call.ask.rules.tries >= 2 && call.sends == 1;
        // The send itself is one of the calls out there.
        let is_first_alone = self.replicas.get(&first).is_some_and(|replica| replica.out <= 1);
        // What a twin hides is not seen of a version on trial.
        if !may_repeat || !is_first_alone || self.is_on_trial(first) || !self.twins_allowed(call, now) {
            return None;
        }
        let twin = self.send(call, now).ok()?;
        self.services.get_mut(&*call.ask.service)?.twins.sent();
        Some(twin)
    }

    fn twins_allowed(&mut self, call: &Call, now: Ms) -> bool {
        if !self.mechanisms.has(Mechanism::Twins) {
            return false;
        }
        let limits = self.budget_limits();
        let (left, all) = self.budget(&call.ask.service.clone()).left(now, &limits);
        let service = self.services.get_mut(&*call.ask.service);
        left >= 1.0
            && left >= LEAST_BUDGET * all
            && service.is_some_and(|service| service.twins.may_be_sent())
    }

    pub(crate) fn budget_allows(&mut self, call: &Call, now: Ms) -> bool {
        let limits = self.budget_limits();
        self.budget(&call.ask.service.clone()).allows(now, &limits)
    }

    /// Notes a send in the records, and tells how it is made.
    fn sent(
        &mut self,
        call: &mut Call,
        number: ReplicaNumber,
        work: Work,
        fetched: Option<Move>,
        now: Ms,
    ) -> Target {
        let version = call.ask.model.as_deref().map(|model| self.version_to_expect(number, model, now));
        let salt = version.map(|version| self.salts.salt(version, call.ask.tenant.as_ref()));
        let parts = match (&salt, &call.ask.prompt, &call.ask.model) {
            (Some(salt), Some(prompt), Some(model)) => {
                Part::read_prompt(prompt, salt, model).unwrap_or_default()
            }
            _ => Vec::new(),
        };
        let errands = self.errands(call, &parts, fetched, now);
        self.see(&parts);
        for part in &parts {
            self.index.keep(number, part.key, part.tokens, Source::Sent(now));
        }
        let parts = parts.iter().map(|part| part.key).collect();
        let unread = work.unread();
        call.out.push(Out { replica: number, at: now, work, is_pending: true, parts, version });
        let replica = self.replicas.get_mut(&number).expect("a candidate is known");
        replica.out += 1;
        replica.pending_tokens += unread;
        Target {
            replica: number,
            id: replica.id.clone(),
            address: replica.address,
            version,
            salt,
            fetch: errands.fetch,
            save: errands.save,
        }
    }

    /// The version that a request for a model should expect at a replica.
    pub(crate) fn version_to_expect(&self, number: ReplicaNumber, model: &str, now: Ms) -> u64 {
        let least = self.least_version(model, now);
        let known = self.replicas.get(&number).and_then(|replica| replica.version(model));
        let allowed = known.filter(|known| least.is_none_or(|least| *known >= least));
        allowed.unwrap_or_else(|| self.weights.newest(model))
    }
}
