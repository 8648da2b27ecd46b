//! Where a request is sent.

use crate::call::{Call, Final, Out, Target, COME_BACK, LEAST_TIME};
use crate::cause::Cause;
use crate::choose::{pick, Candidate, CostModel};
use crate::dispatcher::{Dispatcher, FIRST_PROXIES};
use crate::figures::Work;
use crate::home::{self, HOME_SAVES};
use crate::mechanisms::Mechanism;
use crate::moves::Move;
use crate::moving::{Known, KnownVersion};
use crate::replica::Replica;
use evidence::Ms;
use load::Load;
use prefix_index::{Kept, Part, ReplicaNumber, Source};

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
        if !may_repeat || !is_first_alone || !self.twins_allowed(call, now) {
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

    /// The replicas that a call may be sent to.
    fn candidates(&mut self, call: &Call, now: Ms) -> Result<(Vec<Candidate>, Known), Final> {
        let Some(service) = self.services.get(&*call.ask.service) else {
            return Err(call.give_up(Cause::NoReplica, COME_BACK));
        };
        let is_open = |replica: &&Replica| replica.is_ready() && !call.tried.contains(&replica.number);
        let open: Vec<&Replica> =
            service.replicas.iter().filter_map(|number| self.replicas.get(number)).filter(is_open).collect();
        if open.is_empty() {
            return Err(call
                .give_up(if call.tried.is_empty() { Cause::NoReplica } else { Cause::NoTries }, COME_BACK));
        }
        // Evidence never rules out all replicas; being full does, for its short time.
        let well: Vec<&Replica> = open.iter().filter(|replica| self.is_well(replica, now)).copied().collect();
        let well = if well.is_empty() { open } else { well };
        let not_full: Vec<&Replica> =
            well.iter().filter(|replica| !self.is_full(replica, now)).copied().collect();
        if not_full.is_empty() {
            let until = well.iter().map(|replica| replica.health.full_until()).fold(f64::INFINITY, f64::min);
            return Err(call.give_up(Cause::AllFull, (until - now).max(COME_BACK)));
        }
        let usable = self.with_weights(not_full, call, now);
        let numbers: Vec<ReplicaNumber> = usable.iter().map(|replica| replica.number).collect();
        let known = self.known(call, &numbers, now);
        let candidates = self.costed(call, &numbers, &known, now);
        Ok((candidates, known))
    }

    fn is_well(&self, replica: &Replica, now: Ms) -> bool {
        replica.is_well(now) || !self.mechanisms.has(Mechanism::Avoidance)
    }

    fn is_full(&self, replica: &Replica, now: Ms) -> bool {
        replica.health.is_full(now) && self.mechanisms.has(Mechanism::FullMarks)
    }

    fn observed_delay(&self, replica: &Replica, now: Ms) -> Ms {
        if self.mechanisms.has(Mechanism::ObservedDelay) {
            replica.health.delay(now)
        } else {
            0.0
        }
    }

    /// The replicas that have the weights which a call must run on; all, if none is known to.
    fn with_weights<'a>(&self, replicas: Vec<&'a Replica>, call: &Call, now: Ms) -> Vec<&'a Replica> {
        let Some(model) = call.ask.model.as_deref() else { return replicas };
        let Some(least) = self.least_version(model, now) else { return replicas };
        let has = |replica: &&&Replica| replica.version(model).is_some_and(|version| version >= least);
        let having: Vec<&Replica> = replicas.iter().filter(has).copied().collect();
        if having.is_empty() {
            replicas
        } else {
            having
        }
    }

    /// Who keeps which start of a call's prompt.
    fn known(&mut self, call: &Call, numbers: &[ReplicaNumber], now: Ms) -> Known {
        let mut known = Known { kept: vec![0; numbers.len()], ..Known::default() };
        known.expected.clone_from(&known.kept);
        let (Some(model), Some(prompt)) = (&call.ask.model, &call.ask.prompt) else { return known };
        let versions: Vec<u64> =
            numbers.iter().map(|number| self.version_to_expect(*number, model, now)).collect();
        let mut distinct = versions.clone();
        distinct.sort_unstable();
        distinct.dedup();
        for version in distinct {
            let salt = self.salts.salt(version, call.ask.tenant.as_ref());
            let Ok(parts) = Part::read_prompt(prompt, &salt, model) else { continue };
            let mut found: Vec<Kept> = Vec::new();
            self.index.lookup(&parts, now, &mut found);
            for (at, number) in numbers.iter().enumerate().filter(|(at, _)| versions[*at] == version) {
                let place = found.binary_search_by_key(number, |kept| kept.replica);
                known.kept[at] = place.map_or(0, |place| found[place].tokens);
            }
            let last_shared = parts.split_last().and_then(|(_, shared)| shared.last());
            let was_read = last_shared.is_some_and(|last| self.index.was_kept(last.key));
            known.by_version.push(KnownVersion { version, holders: found, was_read });
        }
        known.expected.clone_from(&known.kept);
        if self.mechanisms.has(Mechanism::Homes) {
            self.expect_at_home(model, prompt, numbers, &mut known.expected);
        }
        known
    }

    /// Where nobody is known to keep the whole shared start of a prompt, its home is taken to: the first request brings
    /// it there, whichever proxy has it.
    fn expect_at_home(&self, model: &str, prompt: &str, numbers: &[ReplicaNumber], kept: &mut [u32]) {
        let Ok(parts) = Part::read_prompt(prompt, "", model) else { return };
        let Some((last, tokens)) = home::shared_start(&parts) else { return };
        if kept.iter().any(|kept| *kept >= tokens) {
            return;
        }
        let ids = numbers.iter().map(|number| &*self.replicas[number].id);
        if let Some(place) = home::home(last, ids) {
            kept[place] = tokens;
        }
    }

    /// The most tokens of a call's start that anyone keeps under the weights that this replica has.
    fn longest_kept(&self, call: &Call, number: ReplicaNumber, known: &Known, now: Ms) -> u32 {
        let Some(model) = call.ask.model.as_deref() else { return 0 };
        known.longest(self.version_to_expect(number, model, now))
    }

    /// The replicas with what waiting at each would cost.
    fn costed(&self, call: &Call, numbers: &[ReplicaNumber], known: &Known, now: Ms) -> Vec<Candidate> {
        let service = &*call.ask.service;
        let tokens = sum(&parts_of(call.ask.prompt.as_deref()));
        let speed = self.services.get(service).map(|service| service.speed).unwrap_or_default();
        let out: u32 = numbers.iter().map(|number| self.replicas[number].out).sum();
        let mean = f64::from(self.proxies.saturating_sub(1)) * f64::from(out) / numbers.len().max(1) as f64;
        let mean = if self.proxies == FIRST_PROXIES { 0.0 } else { mean };
        let is_told = self.fleet_load.is_known(now) && self.mechanisms.has(Mechanism::FleetLoad);
        let candidate = |(at, number): (usize, &ReplicaNumber)| {
            let kept = known.expected[at];
            let replica = &self.replicas[number];
            let slots = f64::from(replica.record.free_slots.max(1));
            let others = if is_told { self.fleet_load.others(replica.key) } else { Load::default() };
            let calls = if is_told { f64::from(others.calls) } else { mean };
            let queued = (f64::from(replica.out) + calls - slots).max(0.0);
            let unread = replica.pending_tokens + f64::from(others.tokens);
            let wait = unread / speed.rate().0
                + queued / slots * speed.duration()
                + self.observed_delay(replica, now);
            let really_kept = known.kept[at];
            let fetched = self.best_move(call, *number, really_kept, known, now);
            let (had, moving) = fetched.map_or((really_kept, 0.0), |fetched| (fetched.tokens, fetched.takes));
            let rate = speed.rate();
            Candidate {
                replica: *number,
                out: replica.out,
                kept,
                wait: wait + moving,
                reading: rate.reading(tokens.saturating_sub(had)),
                again: rate.reading(self.longest_kept(call, *number, known, now).saturating_sub(had)),
                at_home: HOME_SAVES * rate.reading(kept.saturating_sub(had)),
            }
        };
        numbers.iter().enumerate().map(candidate).collect()
    }
}

fn parts_of(prompt: Option<&str>) -> Vec<Part> {
    prompt.and_then(|prompt| Part::read_prompt(prompt, "", "").ok()).unwrap_or_default()
}

fn sum(parts: &[Part]) -> u32 {
    parts.iter().fold(0, |sum, part| sum.saturating_add(part.tokens))
}
