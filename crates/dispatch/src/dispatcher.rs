//! Joins replicas, index, budgets and weights into decisions.

use crate::budget::{BudgetLimits, RetryBudget};
use crate::call::{Ask, Call, Cause, Final, Next, Out, Outcome, Target};
use crate::choose::{pick, Candidate};
use crate::replica::Replica;
use crate::salt::Salts;
use crate::speed::Speed;
use crate::weights::Weights;
use evidence::Ms;
use peer::{Prefixes, ReplicaRecord, ReplicaState};
use prefix_index::{Kept, Part, PartKey, PrefixIndex, ReplicaNumber, Source};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::HashMap;

/// Replicas of one request that may fail to be reached.
const MOST_UNREACHED: u32 = 4;
/// Time left to a request below which it is not sent again, ms.
const LEAST_TIME: Ms = 20.0;
/// When to come back if no replica told, ms.
const COME_BACK: Ms = 150.0;
/// The number of proxies until the fleet tells.
const FIRST_PROXIES: u32 = 64;

/// Bounds from the process's settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Sends after the first for each request of a service.
    pub retry_ratio: f64,
    /// The sliding window of the retry budget, ms.
    pub retry_window: Ms,
    /// Sends after the first that the fleet may make besides, in a window.
    pub extra_tries: f64,
    /// Time to move to a named version of a model, ms.
    pub version: Ms,
}

#[derive(Debug, Default)]
struct Service {
    replicas: Vec<ReplicaNumber>,
    speed: Speed,
}

/// Decides for one proxy.
#[derive(Debug)]
pub struct Dispatcher {
    bounds: Bounds,
    proxies: u32,
    started: Ms,
    replicas: HashMap<ReplicaNumber, Replica>,
    numbers: HashMap<String, ReplicaNumber>,
    next_number: u32,
    services: HashMap<String, Service>,
    budgets: HashMap<String, RetryBudget>,
    weights: Weights,
    salts: Salts,
    index: PrefixIndex,
    random: SmallRng,
}

impl Dispatcher {
    /// A dispatcher of a process that started at `started`; `index_bytes` bounds its index.
    pub fn new(bounds: Bounds, index_bytes: usize, seed: u64, started: Ms) -> Dispatcher {
        Dispatcher {
            bounds,
            proxies: FIRST_PROXIES,
            started,
            replicas: HashMap::new(),
            numbers: HashMap::new(),
            next_number: 0,
            services: HashMap::new(),
            budgets: HashMap::new(),
            weights: Weights::default(),
            salts: Salts::default(),
            index: PrefixIndex::new(index_bytes),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// The bounds have changed.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// So many proxies share the fixed part of the retry budget.
    pub fn set_proxies(&mut self, proxies: u32) {
        self.proxies = proxies.max(1);
    }

    /// The tenants that share with nobody have changed; see [`crate::isolation_digest`].
    pub fn set_isolation(&mut self, digest: u64) {
        self.salts = Salts { isolation: digest };
    }

    /// A version of a model was named, and acknowledged at this time.
    pub fn name_version(&mut self, model: &str, version: u64, acknowledged: Ms) {
        self.weights.name(model, version, acknowledged);
    }

    /// Takes news of a replica.
    pub fn update_replica(&mut self, record: ReplicaRecord) {
        let id = record.id.as_str();
        if let Some(number) = self.numbers.get(id).copied() {
            if record.state == ReplicaState::Gone {
                return self.remove(number);
            }
            if let Some(replica) = self.replicas.get_mut(&number) {
                replica.update(record);
            }
            return;
        }
        if record.state == ReplicaState::Gone {
            return;
        }
        let number = ReplicaNumber(self.next_number);
        let (id, service) = (id.to_string(), record.service.to_string());
        let Some(replica) = Replica::new(number, record) else { return };
        self.next_number += 1;
        self.numbers.insert(id, number);
        self.services.entry(service).or_default().replicas.push(number);
        self.replicas.insert(number, replica);
    }

    /// Forgets replicas that `keep` does not name.
    pub fn retain_replicas(&mut self, keep: impl Fn(&str) -> bool) {
        let void: Vec<ReplicaNumber> =
            self.numbers.iter().filter(|(id, _)| !keep(id)).map(|(_, number)| *number).collect();
        for number in void {
            self.remove(number);
        }
    }

    fn remove(&mut self, number: ReplicaNumber) {
        let Some(replica) = self.replicas.remove(&number) else { return };
        self.numbers.remove(&*replica.id);
        if let Some(service) = self.services.get_mut(replica.record.service.as_str()) {
            service.replicas.retain(|known| *known != number);
        }
        self.index.forget(number);
    }

    /// The number of a replica in the index.
    pub fn replica_number(&self, id: &str) -> Option<ReplicaNumber> {
        self.numbers.get(id).copied()
    }

    /// Takes news of what a replica keeps.
    pub fn take_prefixes(&mut self, replica: ReplicaNumber, news: &Prefixes) {
        if news.reset != 0 {
            self.index.forget(replica);
        }
        self.index.epoch(replica, news.epoch);
        for change in &news.changes {
            let part = PartKey(change.part);
            match change.tokens {
                0 => self.index.drop_part(replica, part),
                tokens => self.index.keep(replica, part, tokens, Source::Reported),
            }
        }
    }

    /// Replicas that take requests, of all services.
    pub fn ready_replicas(&self) -> usize {
        self.replicas.values().filter(|replica| replica.is_ready()).count()
    }

    /// Whether the replica with this number still takes requests.
    pub fn is_ready(&self, replica: ReplicaNumber) -> bool {
        self.replicas.get(&replica).is_some_and(Replica::is_ready)
    }

    /// A client's request has come.
    pub fn begin(&mut self, ask: Ask, now: Ms) -> Call {
        self.budget(&ask.service).request(now);
        Call::new(ask)
    }

    fn budget(&mut self, service: &str) -> &mut RetryBudget {
        if !self.budgets.contains_key(service) {
            self.budgets.insert(service.to_string(), RetryBudget::new(self.started));
        }
        self.budgets.get_mut(service).expect("just put there")
    }

    fn budget_limits(&self) -> BudgetLimits {
        BudgetLimits {
            ratio: self.bounds.retry_ratio,
            window: self.bounds.retry_window,
            extra: self.bounds.extra_tries,
            proxies: self.proxies,
        }
    }

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
        let candidates = self.candidates(call, now)?;
        let service = self.services.get(&*call.ask.service);
        let rate = service.map(|service| service.speed).unwrap_or_default().rate();
        let tokens = prompt_tokens(call.ask.prompt.as_deref());
        let Some(chosen) = pick(&candidates, tokens, rate, &mut self.random) else {
            return Err(call.give_up(Cause::NoReplica, COME_BACK));
        };
        if call.sends > 0 {
            self.budget(&call.ask.service.clone()).spend(now);
        }
        call.sends += 1;
        call.tried.push(chosen.replica);
        let unread = f64::from(tokens.saturating_sub(chosen.kept));
        Ok(self.sent(call, chosen.replica, unread, now))
    }

    fn budget_allows(&mut self, call: &Call, now: Ms) -> bool {
        let limits = self.budget_limits();
        self.budget(&call.ask.service.clone()).allows(now, &limits)
    }

    /// Notes a send in the records, and tells how it is made.
    fn sent(&mut self, call: &mut Call, number: ReplicaNumber, unread: f64, now: Ms) -> Target {
        let version = call.ask.model.as_deref().map(|model| self.version_to_expect(number, model, now));
        let salt = version.map(|version| self.salts.salt(version, isolated(&call.ask)));
        let parts = match (&salt, &call.ask.prompt, &call.ask.model) {
            (Some(salt), Some(prompt), Some(model)) => {
                Part::read_prompt(prompt, salt, model).unwrap_or_default()
            }
            _ => Vec::new(),
        };
        for part in &parts {
            self.index.keep(number, part.key, part.tokens, Source::Sent(now));
        }
        let parts = parts.iter().map(|part| part.key).collect();
        call.out.push(Out { replica: number, at: now, unread, is_pending: true, parts });
        let replica = self.replicas.get_mut(&number).expect("a candidate is known");
        replica.out += 1;
        replica.pending_tokens += unread;
        Target { replica: number, id: replica.id.clone(), address: replica.address, version, salt }
    }

    /// The version that a request for a model should expect at a replica.
    fn version_to_expect(&self, number: ReplicaNumber, model: &str, now: Ms) -> u64 {
        let required = self.weights.required(model, now, self.bounds.version);
        let known = self.replicas.get(&number).and_then(|replica| replica.version(model));
        required.or(known).unwrap_or_else(|| self.weights.newest(model))
    }

    /// The replicas that a call may be sent to.
    fn candidates(&mut self, call: &Call, now: Ms) -> Result<Vec<Candidate>, Final> {
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
        let well: Vec<&Replica> = open.iter().filter(|replica| replica.is_well(now)).copied().collect();
        let well = if well.is_empty() { open } else { well };
        let not_full: Vec<&Replica> =
            well.iter().filter(|replica| !replica.health.is_full(now)).copied().collect();
        if not_full.is_empty() {
            let until = well.iter().map(|replica| replica.health.full_until()).fold(f64::INFINITY, f64::min);
            return Err(call.give_up(Cause::AllFull, (until - now).max(COME_BACK)));
        }
        let usable = self.with_weights(not_full, call, now);
        let numbers: Vec<ReplicaNumber> = usable.iter().map(|replica| replica.number).collect();
        let kept = self.kept(call, &numbers, now);
        Ok(self.costed(&numbers, &kept, &call.ask.service, now))
    }

    /// The replicas that have the weights which a call must run on; all, if none is known to.
    fn with_weights<'a>(&self, replicas: Vec<&'a Replica>, call: &Call, now: Ms) -> Vec<&'a Replica> {
        let Some(model) = call.ask.model.as_deref() else { return replicas };
        let Some(required) = self.weights.required(model, now, self.bounds.version) else { return replicas };
        let has = |replica: &&&Replica| replica.version(model) == Some(required);
        let having: Vec<&Replica> = replicas.iter().filter(has).copied().collect();
        if having.is_empty() {
            replicas
        } else {
            having
        }
    }

    /// Tokens of the prompt's start that each of the replicas keeps, in their order.
    fn kept(&mut self, call: &Call, numbers: &[ReplicaNumber], now: Ms) -> Vec<u32> {
        let (Some(model), Some(prompt)) = (&call.ask.model, &call.ask.prompt) else {
            return vec![0; numbers.len()];
        };
        let versions: Vec<u64> =
            numbers.iter().map(|number| self.version_to_expect(*number, model, now)).collect();
        let mut distinct = versions.clone();
        distinct.sort_unstable();
        distinct.dedup();
        let mut kept = vec![0; numbers.len()];
        let mut found: Vec<Kept> = Vec::new();
        for version in distinct {
            let salt = self.salts.salt(version, isolated(&call.ask));
            let Ok(parts) = Part::read_prompt(prompt, &salt, model) else { continue };
            self.index.lookup(&parts, now, &mut found);
            for (at, number) in numbers.iter().enumerate().filter(|(at, _)| versions[*at] == version) {
                let place = found.binary_search_by_key(number, |kept| kept.replica);
                kept[at] = place.map_or(0, |place| found[place].tokens);
            }
        }
        kept
    }

    /// The replicas with what waiting at each would cost.
    fn costed(&self, numbers: &[ReplicaNumber], kept: &[u32], service: &str, now: Ms) -> Vec<Candidate> {
        let speed = self.services.get(service).map(|service| service.speed).unwrap_or_default();
        let out: u32 = numbers.iter().map(|number| self.replicas[number].out).sum();
        let others = f64::from(self.proxies.saturating_sub(1)) * f64::from(out) / numbers.len().max(1) as f64;
        let others = if self.proxies == FIRST_PROXIES { 0.0 } else { others };
        let candidate = |(number, kept): (&ReplicaNumber, &u32)| {
            let replica = &self.replicas[number];
            let slots = f64::from(replica.record.free_slots.max(1));
            let queued = (f64::from(replica.out) + others - slots).max(0.0);
            let wait = replica.pending_tokens / speed.rate().0
                + queued / slots * speed.duration()
                + replica.health.delay(now);
            Candidate { replica: *number, out: replica.out, kept: *kept, wait }
        };
        numbers.iter().zip(kept).map(candidate).collect()
    }

    /// The first piece of a send's answer has come.
    pub fn began(&mut self, call: &mut Call, replica: ReplicaNumber, now: Ms) {
        let Some(out) = call.out.iter_mut().find(|out| out.replica == replica && out.is_pending) else {
            return;
        };
        out.is_pending = false;
        let (after, unread) = (now - out.at, out.unread);
        if let Some(replica) = self.replicas.get_mut(&replica) {
            replica.pending_tokens = (replica.pending_tokens - unread).max(0.0);
        }
        if let Some(service) = self.services.get_mut(&*call.ask.service) {
            service.speed.began(unread, after);
            let reading = unread / service.speed.rate().0;
            if let Some(replica) = self.replicas.get_mut(&replica) {
                replica.health.delayed((after - reading).max(0.0), now);
            }
        }
    }

    /// An answer told the version of the weights that its request ran on.
    pub fn hear_version(&mut self, replica: ReplicaNumber, model: &str, version: u64) {
        if let Some(replica) = self.replicas.get_mut(&replica) {
            replica.hear_version(model, version);
        }
    }

    /// A send has ended; tells what follows.
    pub fn ended(&mut self, call: &mut Call, number: ReplicaNumber, outcome: Outcome, now: Ms) -> Next {
        self.release(call, number, outcome, now);
        self.judge(call, number, outcome, now);
        call.note(outcome);
        match outcome {
            Outcome::Answered => return Next::PassOn,
            Outcome::Abandoned => return Next::Wait,
            Outcome::Failed if !self.may_repeat(call, now) => return Next::PassOn,
            _ if !call.out.is_empty() => return Next::Wait,
            _ => {}
        }
        match self.obstacle(call, outcome, now) {
            None => Next::Repeat,
            Some(cause) => Next::Answer(call.give_up(cause, COME_BACK)),
        }
    }

    fn may_repeat(&mut self, call: &Call, now: Ms) -> bool {
        self.obstacle(call, Outcome::Failed, now).is_none()
    }

    /// What forbids another send.
    fn obstacle(&mut self, call: &Call, outcome: Outcome, now: Ms) -> Option<Cause> {
        if outcome == Outcome::Expired || call.ask.deadline - now < LEAST_TIME {
            return Some(Cause::Expired);
        }
        if call.is_unrepeatable() {
            return Some(Cause::InDoubt);
        }
        if call.unreached >= MOST_UNREACHED {
            return Some(Cause::Unreached);
        }
        if call.sends >= call.ask.rules.tries.max(1) {
            return Some(Cause::NoTries);
        }
        (call.sends > 0 && !self.budget_allows(call, now)).then_some(Cause::NoBudget)
    }

    /// Takes a send out of the records of calls that are out.
    fn release(&mut self, call: &mut Call, number: ReplicaNumber, outcome: Outcome, now: Ms) {
        let Some(at) = call.out.iter().position(|out| out.replica == number) else { return };
        let out = call.out.swap_remove(at);
        if let Some(replica) = self.replicas.get_mut(&number) {
            replica.out = replica.out.saturating_sub(1);
            if out.is_pending {
                replica.pending_tokens = (replica.pending_tokens - out.unread).max(0.0);
            }
        }
        if matches!(outcome, Outcome::Answered) {
            if let Some(service) = self.services.get_mut(&*call.ask.service) {
                service.speed.ended(now - out.at);
            }
        } else if out.is_pending {
            for part in &out.parts {
                self.index.take_back(number, *part, out.at);
            }
        }
    }

    /// Takes the evidence on a replica in.
    fn judge(&mut self, call: &Call, number: ReplicaNumber, outcome: Outcome, now: Ms) {
        let newest = call.ask.model.as_deref().map(|model| (model, self.weights.newest(model)));
        let Some(replica) = self.replicas.get_mut(&number) else { return };
        match outcome {
            Outcome::Unreached => replica.health.unreached(now),
            Outcome::Full { retry_after } => replica.health.full(now, retry_after),
            Outcome::Elsewhere => replica.health.elsewhere(now),
            Outcome::Broken | Outcome::Expired => replica.health.broken(now),
            Outcome::Failed | Outcome::Answered => replica.health.sound(),
            Outcome::Abandoned => {}
            Outcome::OtherVersion => {
                // Its beat is old news: it is at the newest version, or on the way there.
                if let Some((model, newest)) = newest {
                    if replica.version(model) != Some(newest) {
                        replica.hear_version(model, newest);
                    }
                }
                replica.health.full(now, None);
            }
        }
    }
}

fn isolated(ask: &Ask) -> Option<&str> {
    ask.tenant.as_ref().filter(|tenant| tenant.is_isolated).map(|tenant| &*tenant.name)
}

/// All tokens of a prompt.
fn prompt_tokens(prompt: Option<&str>) -> u32 {
    let parts = prompt.and_then(|prompt| Part::read_prompt(prompt, "", "").ok()).unwrap_or_default();
    parts.iter().fold(0, |sum, part| sum.saturating_add(part.tokens))
}
