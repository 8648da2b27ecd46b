//! What is known of the replicas: the list, outcomes and health, load reports.

use super::*;

impl Aggregator {
    pub(super) fn take_list(&mut self, kind: ListKind, entries: &[Listed], actions: &mut Vec<Action>) {
        if kind == ListKind::Unavailable {
            if self.set.must_subscribe {
                let gap = RESUBSCRIBE.min(self.set.ask_within / 2.0);
                self.subscribe_at = Some(self.now + gap * self.rng.random_range(0.5..1.5));
            }
            actions.push(Action::Log("list: unavailable, asking again".into()));
            return;
        }
        if kind != ListKind::Update {
            self.replicas.values_mut().for_each(|replica| replica.listed.lifecycle = Lifecycle::Off);
        }
        for entry in entries {
            let replica = self.replicas.entry(entry.id).or_default();
            if let Some(born) = entry.born.filter(|b| replica.listed.born.is_none_or(|old| old < *b)) {
                // A new process: what was learned of the old one is void.
                (replica.pace, replica.shunned) = (Sparse::default(), None);
                (replica.cold_since, replica.credit) = (Some(born), Share::default());
            }
            replica.listed = entry.clone();
        }
        self.cells.iter_mut().for_each(Vec::clear);
        for (id, replica) in &self.replicas {
            self.cells.get_mut(replica.listed.cell).into_iter().for_each(|cell| cell.push(*id));
        }
    }

    pub(super) fn ended(
        &mut self,
        of: (RequestId, usize),
        outcome: Outcome,
        elapsed: Ms,
        actions: &mut Vec<Action>,
    ) {
        let (id, number) = of;
        let Some(flight) = self.flights.remove(&of) else { return };
        let alone = flight.place == 1 && flight.step == 0 && flight.work.is_none();
        if outcome == Outcome::Pass && alone {
            // It starts from a guess: a first sample from a jam would refuse all that could correct it.
            let known = &mut self.learned[flight.class].service;
            let elapsed = elapsed.min(2.0 * *known);
            let learn = if elapsed < *known { SERVICE_LEARN.0 } else { SERVICE_LEARN.1 };
            *known += learn * (elapsed - *known);
        }
        let service = flight.work.unwrap_or(self.learned[flight.class].service);
        let Some(replica) = self.replicas.get_mut(&flight.replica) else { return };
        replica.out = replica.out.saturating_sub(1);
        if let Some(call) = replica.calls.get_mut(&flight.call) {
            call.left -= 1;
            if call.left == 0 {
                replica.calls.remove(&flight.call);
            }
        }
        if outcome.is_answer() {
            replica.progress_at = self.now;
            replica.answered = replica.answered.max(self.now - elapsed);
        }
        match outcome {
            Outcome::Pass => {
                self.strain.learn((elapsed / service).min(2.0 * FULL_PACE));
                let sample = elapsed / (service * (flight.place as f64 + 1.0));
                replica.pace.learn(sample, self.now, LEARN_PACE, self.pace, PACE_NEW);
                replica.full.1 = 0;
                replica.faults *= 1.0 - FAULTS.0;
                if replica.shunned.take().is_some() {
                    actions.push(Action::Log(format!("replica {}: answers again", flight.replica.0)));
                }
            }
            Outcome::NoRoom => {
                self.strain.learn(FULL_PACE);
                let slow =
                    if self.set.siblings < MANY { self.pace.max(replica.pace.mean) } else { FULL_PACE };
                replica.pace.learn(slow, self.now, LEARN_PACE, self.pace, PACE_NEW);
                let pause = FULL_PAUSE.0 * 2f64.powi(replica.full.1.min(FULL_PAUSE.1));
                replica.full = (self.now + pause * self.rng.random_range(0.5..1.5), replica.full.1 + 1);
            }
            Outcome::NoRoute => Self::shun(replica, self.now, self.trial_gap, actions),
            // A replica that errors quickly looks idle: errors count as slow answers and leave it to trials.
            // A broken connection may be a flaky link: a dead process shows by the connects that fail next.
            Outcome::Fault | Outcome::Cut => {
                replica.pace.mean += LEARN * (ERROR_PACE - replica.pace.mean);
                if outcome == Outcome::Fault {
                    replica.faults += FAULTS.0 * (1.0 - replica.faults);
                    replica.trial_at = self.now + self.trial_gap * self.rng.random_range(0.5..1.5);
                }
            }
            _ => {}
        }
        if outcome.is_answer() {
            self.hearing.heard(self.now);
        }
        let Some(&(query, index)) = self.owners.get(&id) else { return };
        let Some(query) = self.queries.get_mut(&query) else { return };
        let part = &mut query.parts[index];
        if let Some(attempt) = part.attempts.get_mut(number) {
            attempt.ended = Some(outcome);
        }
        if outcome == Outcome::NoRoom && part.attempts.len() + 1 == self.set.try_limit {
            let left = (query.aim_at - self.now).max(RETRY_PAUSE / FULL_WAIT);
            part.not_before = self.now + FULL_WAIT * left * self.rng.random_range(0.75..1.25);
        }
        if outcome == Outcome::Pass && !part.arrived && part.step == query.step {
            part.arrived = true;
            part.cancel(self.set.may_cancel, actions);
        }
    }

    /// Takes a load report as a hint, which can only make a replica look worse than its peers.
    pub(super) fn take_report(&mut self, id: ReplicaId, outcome: Outcome, report: &Report) {
        if let Some(replica) = self.replicas.get_mut(&id) {
            let load = report.load().filter(|_| outcome == Outcome::Pass);
            replica.told = load.map(|load| (self.now, load));
        }
    }

    /// What was told of a replica lately: requests held.
    pub(super) fn hint(&self, replica: &Replica) -> Option<f64> {
        replica.told.filter(|told| self.now - told.0 < NEWS_AGE).map(|told| told.1)
    }

    /// Asks the holders of a query's parts for their load, where nothing was heard of them lately.
    pub(super) fn probe(&mut self, query: &Query, actions: &mut Vec<Action>) -> bool {
        let mut asked = BTreeSet::new();
        for group in self.groups(query) {
            let stale = |r: &Replica| self.hint(r).is_none() && self.now - r.progress_at > 2.0 * NEWS_AGE;
            let holders = self.holders(query.parts[group[0]].shard);
            asked.extend(holders.filter(|(_, r)| stale(r)).map(|(id, _)| id));
        }
        let held = actions.len();
        let probes = asked.into_iter().take(self.probes_left as usize);
        actions.extend(probes.map(|replica| Action::Probe { replica }));
        self.probes_left -= (actions.len() - held) as f64;
        actions.len() > held
    }

    pub(super) fn shun(replica: &mut Replica, now: Ms, gap: Ms, actions: &mut Vec<Action>) {
        if replica.shunned.is_none() {
            replica.shunned = Some(now);
            replica.trial_at = now + gap;
            actions.push(Action::Log(format!("replica {}: shunned", replica.listed.id.0)));
        }
    }

    /// Shuns replicas by their symptoms and lets those back in whose symptoms are gone.
    pub(super) fn judge_replicas(&mut self, actions: &mut Vec<Action>) {
        let mut paces: Vec<f64> = self.replicas.values().map(|r| r.pace.mean).filter(|p| *p > 0.0).collect();
        paces.sort_by(f64::total_cmp);
        self.pace = paces.get(paces.len() / 2).copied().unwrap_or(1.0);
        let per_call = (self.now - *self.started_at.get_or_insert(self.now)) / self.next_call as f64;
        let visits = PACE_AGE.1 * per_call * self.replicas.len() as f64;
        self.trial_gap = TRIAL_GAP.max(visits);
        let passed = self.now - std::mem::replace(&mut self.judged_at, self.now);
        self.strain.pass(passed);
        let aged = 1.0 - (-passed / PACE_AGE.0.max(visits)).exp();
        let (awake, seen) = (self.hearing.awake, self.hearing.seen_until(self.now));
        let grain = self.learned.iter().map(|l| l.service).fold(self.set.call_cost, f64::max);
        for replica in self.replicas.values_mut() {
            if replica.out == 0 && replica.pace.mean > 0.0 {
                // What was seen in a jam that may be over must not keep a replica idle for ever.
                replica.pace.mean += aged * (self.pace.min(1.0) - replica.pace.mean);
            }
            // Credit of a cold replica: all siblings together earn most of what its window bears.
            let room =
                replica.cold_since.and_then(|at| self.set.cold_room(self.now - at, replica.listed.size));
            replica.cold_since = replica.cold_since.filter(|_| room.is_some());
            let room = room.unwrap_or(0.0);
            let free = if self.set.siblings < MANY { 0.0 } else { COLD_SHARE.2 / (room / grain).sqrt() };
            let mean = (1.0 - free).clamp(COLD_SHARE.0, COLD_SHARE.1) * room / self.set.overload_time;
            replica.credit.earn(passed * mean / self.set.siblings.max(1) as f64, grain);
            // An attempt overtaken by later ones is lost; only one that nothing overtook tells of silence.
            let answered = replica.answered;
            let quiet = |call: &&Call| seen - call.sent_at.max(replica.progress_at).max(awake) > call.stall;
            if replica.calls.values().find(|call| call.sent_at > answered).filter(quiet).is_some() {
                Self::shun(replica, self.now, self.trial_gap, actions);
            }
        }
    }
}
