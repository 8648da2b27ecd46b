//! The replicas that a request may be sent to, and what waiting and reading would cost at each.

use crate::call::{Call, Final, COME_BACK};
use crate::cause::Cause;
use crate::choose::Candidate;
use crate::dispatcher::{Dispatcher, FIRST_PROXIES};
use crate::home::{self, HOME_SAVES};
use crate::mechanisms::Mechanism;
use crate::moving::{Known, KnownVersion};
use crate::replica::Replica;
use crate::versions::Side;
use evidence::Ms;
use load::Load;
use prefix_index::{Kept, Part, ReplicaNumber};

impl Dispatcher {
    /// The replicas that a call may be sent to, of the version of their software that is to get it.
    pub(crate) fn candidates(&mut self, call: &Call, now: Ms) -> Result<(Vec<Candidate>, Known), Final> {
        let side = self.side(call, now);
        let Some(other) = self.other_side(call, side, now) else {
            return self.candidates_of(call, side, now);
        };
        if side == Side::Old && !self.has_well_ones(call, side, now) {
            return self.candidates_of(call, other, now);
        }
        let found = self.candidates_of(call, side, now);
        found.or_else(|_| self.candidates_of(call, other, now))
    }

    /// Whether evidence does not speak against all ready replicas of a side.
    fn has_well_ones(&self, call: &Call, side: Side, now: Ms) -> bool {
        let Some(service) = self.services.get(&*call.ask.service) else { return false };
        let known = service.replicas.iter().filter_map(|number| self.replicas.get(number));
        let well = known.filter(|replica| replica.is_ready() && self.is_well(replica, now)).collect();
        !self.of_side(&call.ask.service, side, well, now).is_empty()
    }

    fn candidates_of(&mut self, call: &Call, side: Side, now: Ms) -> Result<(Vec<Candidate>, Known), Final> {
        let Some(service) = self.services.get(&*call.ask.service) else {
            return Err(call.give_up(Cause::NoReplica, COME_BACK));
        };
        let is_open = |replica: &&Replica| replica.is_ready() && !call.tried.contains(&replica.number);
        let open: Vec<&Replica> =
            service.replicas.iter().filter_map(|number| self.replicas.get(number)).filter(is_open).collect();
        let open = self.of_side(&call.ask.service, side, open, now);
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

    pub(crate) fn observed_delay(&self, replica: &Replica, now: Ms) -> Ms {
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

/// The parts of a prompt, under no salt.
pub(crate) fn parts_of(prompt: Option<&str>) -> Vec<Part> {
    prompt.and_then(|prompt| Part::read_prompt(prompt, "", "").ok()).unwrap_or_default()
}

/// The tokens of parts together.
pub(crate) fn sum(parts: &[Part]) -> u32 {
    parts.iter().fold(0, |sum, part| sum.saturating_add(part.tokens))
}
