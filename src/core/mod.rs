//! The core: it knows no wire. Neutral inputs and the time come in, the module decides, neutral effects go
//! out. It owns the queries, parts, attempts, ids and timers, and guards the rules.

mod counters;

pub use counters::Counters;

use crate::interface::{Effect as Repeats, *};
use crate::policy::Aggregator;
use crate::settings::Transport;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What must hold: asserted in debug builds, counted in release builds. Tells whether it held.
#[macro_export]
macro_rules! must_hold {
    ($counters:expr, $held:expr, $($why:tt)+) => {{
        let held: bool = $held;
        debug_assert!(held, $($why)+);
        if !held {
            $counters.broken += 1;
            tracing::error!($($why)+);
        }
        held
    }};
}

/// Names one attempt of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The part.
    pub part: RequestId,
    /// Its number, from 0.
    pub number: usize,
}

/// A query as a front hands it over.
#[derive(Debug, Clone)]
pub struct NewQuery {
    /// Index into [`Settings::classes`].
    pub class: usize,
    /// When its client stops waiting.
    pub expires_at: Ms,
    /// The client marks this as another try.
    pub retry: bool,
    /// Shard and weight of each part.
    pub parts: Vec<(usize, f64)>,
    /// The work of each part in ms, as the request states it, in the order of `parts`; empty where it states none.
    pub work: Vec<Option<Ms>>,
}

/// What the core is told; `V` is the value of a part.
#[derive(Debug, Clone)]
pub enum Input<V> {
    /// News of the list of replicas.
    List(ListKind, Vec<Listed>),
    /// A query was taken; its id comes from [`Core::new_id`].
    Query(RequestId, NewQuery),
    /// The client of a query has gone.
    Gone(RequestId),
    /// A part was served, with its score and value.
    Served(AttemptId, i64, V),
    /// An attempt ended otherwise.
    Ended(AttemptId, Outcome),
    /// A probe was answered.
    Probed(ReplicaId, Outcome, Report),
}

/// What a part of the second step carries.
#[derive(Debug, Clone, PartialEq)]
pub struct Second {
    /// The shards that were in.
    pub from: Vec<usize>,
    /// Whether the first step was whole.
    pub whole: bool,
}

/// One attempt to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Send {
    /// The attempt.
    pub attempt: AttemptId,
    /// The query of its part.
    pub query: RequestId,
    /// The shard that it asks.
    pub shard: usize,
    /// Where it goes.
    pub replica: ReplicaId,
    /// When the core stops waiting for it.
    pub stop_at: Ms,
    /// Where it repeats an attempt that may have run: by when the last byte of both must have left. A connection may
    /// come up, or drain, long after the frame was queued, and outside the window a repeat runs again.
    pub leave_by: Option<Ms>,
    /// Present in a second step.
    pub second: Option<Second>,
    /// A copy of what went out in an earlier step and may have been answered since.
    pub late: bool,
}

/// How a query ends without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// Its time was over.
    TimedOut,
    /// A part could not be had.
    Unserved,
}

/// What is to be carried out, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect<V> {
    /// Send an attempt.
    Send(Send),
    /// Call an attempt off.
    Cancel(AttemptId, ReplicaId),
    /// Nobody waits for an attempt any more: it does not go out if it has not begun to.
    Withdraw(AttemptId),
    /// Final answer of a query: whether it is whole, and the shards with their values.
    Answer(RequestId, bool, Vec<(usize, V)>),
    /// Final answer: refused, with advice when to come back.
    Refuse(RequestId, Option<Ms>),
    /// Final answer: failed, with advice when to come back.
    Fail(RequestId, Failure, Option<Ms>),
    /// Ask a replica for its load.
    Probe(ReplicaId),
    /// A replica drains or is gone: what is not begun does not go out.
    DropUnsent(ReplicaId),
    /// A line for on-call staff.
    Log(String),
}

/// Weight of a new sample in the mean time of an answer.
const LEARN: f64 = 0.05;
/// Slack when shares of weight are summed.
const WEIGHT_SLACK: f64 = 1e-4;
/// Kinds of [`Outcome`].
const OUTCOMES: usize = 8;

struct Query {
    number: u64,
    class: usize,
    taken_at: Ms,
    expires_at: Ms,
    parts: Vec<RequestId>,
    second: Option<Second>,
    /// The program ends before its time is over.
    cut_short: bool,
    /// How its attempts ended, by [`Outcome`]: for the trace of its final answer.
    outcomes: [u16; OUTCOMES],
}

struct Part<V> {
    query: RequestId,
    shard: usize,
    weight: f64,
    step: usize,
    tries: usize,
    /// When the first attempt that may have run was sent.
    may_have_run: Option<Ms>,
    out: Vec<usize>,
    value: Option<(i64, V)>,
}

struct Attempt {
    replica: ReplicaId,
    sent_at: Ms,
    stop_at: Ms,
}

struct Known {
    cell: usize,
    /// It drains or is gone. When that was told is never known exactly (the agent may have had it before a watch was
    /// open), so nothing new goes out from the news on, and what had not begun is taken back: the grace is not used.
    off: bool,
    /// The list holds it.
    listed: bool,
}

/// The coordinator without its wires.
pub struct Core<V> {
    module: Aggregator,
    set: Settings,
    limits: Transport,
    now: Ms,
    next_id: u64,
    queries: BTreeMap<RequestId, Query>,
    parts: HashMap<RequestId, Part<V>>,
    attempts: BTreeMap<AttemptId, Attempt>,
    replicas: BTreeMap<ReplicaId, Known>,
    wake_at: Option<Ms>,
    /// Mean time of the attempts that were served lately.
    answer_time: Ms,
    /// Queries and parts of another process that counts as one coordinator with this one, and how many such there are.
    open_elsewhere: usize,
    processes: usize,
    /// Events for the next step: outcomes of this one's own doing, parts of a second step.
    pending: Vec<Event>,
    /// What is counted.
    pub counters: Counters,
}

impl<V: Clone> Core<V> {
    /// A fresh core; all chance comes from `seed`.
    pub fn new(set: Settings, limits: Transport, seed: u64) -> Self {
        tracing::debug!(?set, ?limits, "settings");
        Core {
            module: Aggregator::new(set.clone(), seed),
            set,
            limits,
            now: 0.0,
            next_id: 1,
            queries: BTreeMap::new(),
            parts: HashMap::new(),
            attempts: BTreeMap::new(),
            replicas: BTreeMap::new(),
            wake_at: None,
            answer_time: limits.dial_timeout,
            open_elsewhere: 0,
            processes: 1,
            pending: Vec::new(),
            counters: Counters::default(),
        }
    }

    /// Takes in a placement: weights by shard and replica that break ties of first sends.
    pub fn favour(&mut self, weights: BTreeMap<(usize, ReplicaId), f64>) {
        self.module.favour(weights);
    }

    /// Takes in settings for the queries to come. Those that are open find their class in its place.
    pub fn retune(&mut self, set: Settings, limits: Transport) {
        tracing::debug!(?set, ?limits, "settings");
        self.module.retune(set.shared_by(self.processes));
        (self.set, self.limits) = (set, limits);
    }

    /// An id that was never given out.
    pub fn new_id(&mut self) -> RequestId {
        self.next_id += 1;
        RequestId(self.next_id)
    }

    /// The classes and the rest of the module's settings.
    pub fn settings(&self) -> &Settings {
        &self.set
    }

    /// Whether any replica in service is known.
    pub fn can_serve(&self) -> bool {
        self.replicas.values().any(|known| !known.off)
    }

    /// Replicas in the list, draining ones too.
    pub fn listed(&self) -> usize {
        self.replicas.values().filter(|known| known.listed).count()
    }

    /// Replicas in service that are left alone for what was seen of them.
    pub fn avoided(&self) -> usize {
        self.module.avoided()
    }

    /// How long a node usually takes to serve an attempt.
    pub fn answer_time(&self) -> Ms {
        self.answer_time
    }

    /// Queries without a final answer yet.
    pub fn open_queries(&self) -> usize {
        self.queries.len()
    }

    /// Queries and parts that are held.
    pub fn open(&self) -> usize {
        self.queries.len() + self.parts.len()
    }

    /// So many processes count as one coordinator from now on, and the others hold so many queries and parts.
    pub fn share(&mut self, processes: usize, open_elsewhere: usize) {
        self.open_elsewhere = open_elsewhere;
        if self.processes != processes {
            self.processes = processes;
            self.module.retune(self.set.shared_by(processes));
        }
    }

    /// When the next step is due without any input.
    pub fn next_step(&self) -> Option<Ms> {
        if !self.pending.is_empty() {
            return Some(self.now);
        }
        let stops = self.attempts.values().map(|a| a.stop_at);
        let ends = self.queries.values().map(|q| q.expires_at);
        stops.chain(ends).chain(self.wake_at).min_by(f64::total_cmp)
    }

    /// Takes in all that is ready, lets the module decide once and appends what is to be done.
    pub fn step(&mut self, now: Ms, inputs: Vec<Input<V>>, effects: &mut Vec<Effect<V>>) {
        self.now = now.max(self.now);
        let mut events = std::mem::take(&mut self.pending);
        for input in inputs {
            self.take(input, &mut events, effects);
        }
        self.time_out(&mut events, effects);
        if self.wake_at.take_if(|at| *at <= self.now).is_some() {
            events.push(Event::Woken);
        }
        let mut actions = Vec::new();
        self.module.step(self.now, &events, &mut actions);
        for action in actions {
            self.carry_out(action, effects);
        }
        self.end_overdue(effects);
    }

    fn take(&mut self, input: Input<V>, events: &mut Vec<Event>, effects: &mut Vec<Effect<V>>) {
        match input {
            Input::List(kind, entries) => {
                self.counters.lists += 1;
                self.take_list(kind, &entries, effects);
                events.push(Event::List { kind, entries });
            }
            Input::Query(id, ask) => self.take_query(id, ask, events, effects),
            Input::Gone(id) => {
                if self.close(id, effects).is_some() {
                    self.counters.gone += 1;
                    events.push(Event::Withdrawn { id });
                }
            }
            Input::Served(id, score, value) => {
                if self.attempts.contains_key(&id) {
                    if let Some(part) = self.parts.get_mut(&id.part) {
                        part.value.get_or_insert((score, value));
                    }
                }
                events.extend(self.end_attempt(id, Outcome::Pass));
            }
            Input::Ended(id, outcome) => events.extend(self.end_attempt(id, outcome)),
            Input::Probed(replica, outcome, report) => {
                events.push(Event::Probed { replica, outcome, report })
            }
        }
    }

    fn take_list(&mut self, kind: ListKind, entries: &[Listed], effects: &mut Vec<Effect<V>>) {
        let now = self.now;
        let mut off = |id: ReplicaId, known: &mut Known| {
            if !std::mem::replace(&mut known.off, true) {
                effects.push(Effect::DropUnsent(id));
            }
        };
        if matches!(kind, ListKind::Replace | ListKind::Restored) {
            let listed: BTreeSet<ReplicaId> = entries.iter().map(|entry| entry.id).collect();
            for (id, known) in self.replicas.iter_mut().filter(|(id, _)| !listed.contains(id)) {
                known.listed = false;
                off(*id, known);
            }
        }
        for entry in entries {
            let (id, cell, size, born, lifecycle) =
                (entry.id.0, entry.cell, entry.size, entry.born, entry.lifecycle);
            tracing::trace!(id, cell, size, ?born, ?lifecycle, now, "listed");
            let known =
                self.replicas.entry(entry.id).or_insert(Known { cell: entry.cell, off: false, listed: true });
            (known.cell, known.listed) = (entry.cell, entry.lifecycle != Lifecycle::Off);
            if entry.lifecycle == Lifecycle::On {
                known.off = false;
            } else {
                off(entry.id, known);
            }
        }
    }

    fn take_query(
        &mut self,
        id: RequestId,
        ask: NewQuery,
        events: &mut Vec<Event>,
        effects: &mut Vec<Effect<V>>,
    ) {
        self.counters.queries += 1;
        // More than this is refused before the module sees it, as the settings state.
        if self.open() + self.open_elsewhere >= self.limits.max_open {
            self.counters.refused += 1;
            self.counters.refused_full += 1;
            tracing::debug!(query = id.0, class = ask.class, how = "refused_full", "final answer");
            effects.push(Effect::Refuse(id, self.set.may_advise.then_some(self.set.advice_limit)));
            return;
        }
        let number = id.0;
        events.push(Event::Query {
            id,
            class: ask.class,
            number,
            parts: ask.parts.len(),
            expires_in: ask.expires_at - self.now,
            retry: ask.retry,
        });
        let mut parts = Vec::new();
        for (n, (shard, weight)) in ask.parts.into_iter().enumerate() {
            let work = ask.work.get(n).copied().flatten();
            parts.push(self.add_part(id, number, (shard, weight, work), 0, events));
        }
        let (class, taken_at, expires_at) = (ask.class, self.now, ask.expires_at);
        let (second, cut_short, outcomes) = (None, false, [0; OUTCOMES]);
        let query = Query { number, class, taken_at, expires_at, parts, second, cut_short, outcomes };
        self.queries.insert(id, query);
    }

    fn add_part(
        &mut self,
        query: RequestId,
        number: u64,
        (shard, weight, work): (usize, f64, Option<Ms>),
        step: usize,
        events: &mut Vec<Event>,
    ) -> RequestId {
        let id = self.new_id();
        events.push(Event::Part { id, number, shard, weight, work });
        let part =
            Part { query, shard, weight, step, tries: 0, may_have_run: None, out: Vec::new(), value: None };
        self.parts.insert(id, part);
        id
    }

    /// Forgets a query and its parts. Attempts that have begun go on until they end; whether those may be called off is
    /// the site's to say, but what has not begun is never sent for a query that is over.
    fn close(&mut self, id: RequestId, effects: &mut Vec<Effect<V>>) -> Option<Query> {
        let query = self.queries.remove(&id)?;
        for id in &query.parts {
            let out = self.parts.remove(id).map(|part| part.out).unwrap_or_default();
            effects.extend(out.into_iter().map(|number| Effect::Withdraw(AttemptId { part: *id, number })));
        }
        Some(query)
    }

    /// Whoever is still unanswered then gets its final answer: the program will be gone soon after.
    pub fn end_by(&mut self, at: Ms) {
        for query in self.queries.values_mut().filter(|query| query.expires_at > at) {
            (query.expires_at, query.cut_short) = (at, true);
        }
    }

    /// Ends an attempt once; what comes after its end is not news.
    fn end_attempt(&mut self, id: AttemptId, outcome: Outcome) -> Option<Event> {
        let attempt = self.attempts.remove(&id)?;
        self.counters.outcome(outcome);
        if let Some(part) = self.parts.get_mut(&id.part) {
            part.out.retain(|number| *number != id.number);
            if !outcome.never_ran() {
                let first = part.may_have_run.get_or_insert(attempt.sent_at);
                *first = first.min(attempt.sent_at);
            }
            if let Some(query) = self.queries.get_mut(&part.query) {
                let count = &mut query.outcomes[outcome as usize];
                *count = count.saturating_add(1);
            }
        }
        let elapsed = self.now - attempt.sent_at;
        if tracing::enabled!(tracing::Level::TRACE) {
            let part = self.parts.get(&id.part);
            let class = part.and_then(|part| self.queries.get(&part.query)).map(|query| query.class);
            let (replica, step) = (attempt.replica.0, part.map(|part| part.step));
            tracing::trace!(
                part = id.part.0,
                number = id.number,
                replica,
                ?class,
                ?step,
                ?outcome,
                elapsed,
                "attempt"
            );
        }
        if outcome == Outcome::Pass {
            self.answer_time += LEARN * (elapsed - self.answer_time);
        }
        let (part, number) = (id.part, id.number);
        Some(Event::Done { part, attempt: number, replica: attempt.replica, outcome, elapsed })
    }

    fn time_out(&mut self, events: &mut Vec<Event>, effects: &mut Vec<Effect<V>>) {
        let due: Vec<AttemptId> =
            self.attempts.iter().filter(|(_, a)| a.stop_at <= self.now).map(|(id, _)| *id).collect();
        for id in due {
            effects.push(Effect::Cancel(id, self.attempts[&id].replica));
            events.extend(self.end_attempt(id, Outcome::TooSlow));
        }
    }

    /// The module ends each query before its time. Should it not, the client still gets one final answer.
    fn end_overdue(&mut self, effects: &mut Vec<Effect<V>>) {
        let overdue: Vec<RequestId> =
            self.queries.iter().filter(|(_, q)| q.expires_at <= self.now).map(|(id, _)| *id).collect();
        for id in overdue {
            self.trace_final(id, "overdue");
            let harmless = self.is_harmless(id);
            let cut_short = self.close(id, effects).is_some_and(|query| query.cut_short);
            self.pending.push(Event::Withdrawn { id });
            if cut_short && harmless {
                // Its client still has time, for another coordinator.
                self.counters.refused += 1;
                effects.push(Effect::Refuse(id, self.set.may_advise.then_some(0.0)));
                continue;
            }
            self.counters.failed += 1;
            self.counters.overdue += 1;
            effects.push(Effect::Fail(id, Failure::TimedOut, None));
        }
    }

    /// Whether a query may be refused: its client can ask again and nothing runs twice that must not.
    fn is_harmless(&self, id: RequestId) -> bool {
        self.queries.get(&id).is_some_and(|query| {
            self.set.classes[query.class].effect == Repeats::Safe
                || query.parts.iter().all(|part| !self.ran(*part))
        })
    }

    fn carry_out(&mut self, action: Action, effects: &mut Vec<Effect<V>>) {
        match action {
            Action::Send { part, replica, stop_at } => self.send(part, replica, stop_at, effects),
            Action::Cancel { part, attempt } => {
                let id = AttemptId { part, number: attempt };
                if let Some(replica) = self.attempts.get(&id).map(|a| a.replica) {
                    effects.push(Effect::Cancel(id, replica));
                    let event = self.end_attempt(id, Outcome::Cancelled);
                    self.pending.extend(event);
                }
            }
            Action::Answer { query, whole } => self.answer(query, whole, effects),
            Action::Refuse { query, retry_after } => {
                if !self.queries.contains_key(&query) {
                    return;
                }
                let harmless = self.is_harmless(query);
                let harmless = crate::must_hold!(self.counters, harmless, "a refusal must be harmless");
                self.trace_final(query, if harmless { "refused" } else { "failed" });
                self.close(query, effects);
                if harmless {
                    self.counters.refused += 1;
                    let limit = self.set.advice_limit;
                    effects.push(Effect::Refuse(query, retry_after.map(|after| after.min(limit))));
                } else {
                    self.counters.failed += 1;
                    effects.push(Effect::Fail(query, Failure::Unserved, None));
                }
            }
            Action::Fail { query, retry_after } => {
                self.trace_final(query, "failed");
                let Some(held) = self.close(query, effects) else { return };
                self.counters.failed += 1;
                let late = held.expires_at - self.now < 50.0;
                let why = if late { Failure::TimedOut } else { Failure::Unserved };
                let limit = self.set.advice_limit;
                effects.push(Effect::Fail(query, why, retry_after.map(|after| after.min(limit))));
            }
            Action::Wake { after } => {
                let at = self.now + after;
                self.wake_at = Some(self.wake_at.map_or(at, |old| old.min(at)));
            }
            Action::Probe { replica } => {
                if self.may_send_to(replica) {
                    self.counters.probes += 1;
                    effects.push(Effect::Probe(replica));
                }
            }
            // Both fronts are told of changes unasked.
            Action::Subscribe => {}
            Action::Log(line) => effects.push(Effect::Log(line)),
        }
    }

    /// Whether a part may have run, or is still out.
    fn ran(&self, part: RequestId) -> bool {
        self.parts.get(&part).is_some_and(|part| part.may_have_run.is_some() || !part.out.is_empty())
    }

    /// Whether anything new may still go to a replica.
    pub fn may_send_to(&self, replica: ReplicaId) -> bool {
        self.replicas.get(&replica).is_some_and(|known| !known.off)
    }

    /// Why the rules forbid this send, if they do.
    fn forbidden(&self, id: RequestId, replica: ReplicaId) -> Option<&'static str> {
        let Some(part) = self.parts.get(&id) else { return Some("a part that is over is not sent") };
        let Some(query) = self.queries.get(&part.query) else { return Some("an ended query is not sent") };
        let Some(known) = self.replicas.get(&replica) else { return Some("an unlisted replica") };
        let cells = self.set.cells.max(1);
        let holds = (0..self.set.reach).any(|j| (part.shard + j) % cells == known.cell);
        let repeat = match (self.set.classes[query.class].effect, self.first_sent(id, part)) {
            (Repeats::Unsafe, Some(_)) => true,
            (Repeats::Keyed(window), Some(first)) => self.now > first + window,
            _ => false,
        };
        let told = [
            (part.value.is_some(), "a part that is in is not sent again"),
            (!holds, "the replica does not hold the shard"),
            (!self.may_send_to(replica), "nothing new goes to a draining replica"),
            (part.tries >= self.set.try_limit, "a part has a limit on its attempts"),
            (repeat, "a repeat keeps to what the class allows"),
            (!part.out.is_empty() && !self.set.may_copy, "no second copies here"),
        ];
        told.iter().find(|(broken, _)| *broken).map(|(_, why)| *why)
    }

    /// When the first attempt of a part was sent that may have run or is out.
    fn first_sent(&self, id: RequestId, part: &Part<V>) -> Option<Ms> {
        let out = part.out.iter().filter_map(|n| self.attempts.get(&AttemptId { part: id, number: *n }));
        out.map(|a| a.sent_at).chain(part.may_have_run).min_by(f64::total_cmp)
    }

    /// By when a repeat must have left that is sent now.
    fn leave_by(&self, id: RequestId) -> Option<Ms> {
        let part = self.parts.get(&id)?;
        match self.set.classes[self.queries.get(&part.query)?.class].effect {
            Repeats::Keyed(window) => self.first_sent(id, part).map(|first| first + window),
            Repeats::Safe | Repeats::Unsafe => None,
        }
    }

    fn send(&mut self, id: RequestId, replica: ReplicaId, stop_at: Ms, effects: &mut Vec<Effect<V>>) {
        let forbidden = self.forbidden(id, replica);
        let leave_by = self.leave_by(id);
        let allowed = crate::must_hold!(self.counters, forbidden.is_none(), "send: {forbidden:?}");
        let now = self.now;
        let Some(part) = self.parts.get_mut(&id) else { return };
        let number = part.tries;
        part.tries += 1;
        let attempt = AttemptId { part: id, number };
        if !allowed {
            let outcome = Outcome::NotSent;
            self.pending.push(Event::Done { part: id, attempt: number, replica, outcome, elapsed: 0.0 });
            return;
        }
        let earlier = part.out.iter().filter_map(|n| self.attempts.get(&AttemptId { part: id, number: *n }));
        let late = earlier.into_iter().any(|earlier| earlier.sent_at < now);
        part.out.push(number);
        self.counters.sent += 1;
        self.counters.repeats += u64::from(number > 0);
        let query = part.query;
        let held = &self.queries[&query];
        let stop_at = stop_at.min(held.expires_at);
        let second = if part.step == 1 { held.second.clone() } else { None };
        let shard = part.shard;
        self.attempts.insert(attempt, Attempt { replica, sent_at: now, stop_at });
        effects.push(Effect::Send(Send { attempt, query, shard, replica, stop_at, leave_by, second, late }));
    }

    fn answer(&mut self, id: RequestId, whole: bool, effects: &mut Vec<Effect<V>>) {
        let Some(query) = self.queries.get(&id) else { return };
        let class = &self.set.classes[query.class];
        let step = usize::from(query.second.is_some());
        let parts = query.parts.iter().filter_map(|part| self.parts.get(part));
        let mut values: Vec<(usize, i64, V)> = Vec::new();
        let (mut weight, mut all) = (0.0, 0.0);
        for part in parts.filter(|part| part.step == step) {
            all += part.weight;
            if let Some((score, value)) = &part.value {
                weight += part.weight;
                values.push((part.shard, *score, value.clone()));
            }
        }
        let (need, floor) = match &query.second {
            // Weights come rounded: their sum may fall short of 1.
            None => (class.whole_at.min(all), class.floor.min(all)),
            Some(_) => (all, if class.floor < class.whole_at { class.floor } else { all }),
        };
        let first_whole = query.second.as_ref().is_none_or(|second| second.whole);
        let enough = !values.is_empty() && weight + WEIGHT_SLACK >= floor;
        let is_whole = first_whole && weight + WEIGHT_SLACK >= need;
        if !crate::must_hold!(self.counters, enough, "an answer needs its class's least share") {
            self.trace_final(id, "failed");
            self.close(id, effects);
            self.counters.failed += 1;
            self.pending.push(Event::Withdrawn { id });
            effects.push(Effect::Fail(id, Failure::Unserved, None));
            return;
        }
        let whole = whole && crate::must_hold!(self.counters, is_whole || !whole, "whole without all parts");
        if step == 0 && class.fetch > 0 {
            let fetch = class.fetch;
            self.begin_second_step(id, whole, fetch, values);
            return;
        }
        self.trace_final(id, if whole { "whole" } else { "partial" });
        self.close(id, effects);
        self.counters.answered += 1;
        self.counters.whole += u64::from(whole);
        effects.push(Effect::Answer(id, whole, values.into_iter().map(|(shard, _, v)| (shard, v)).collect()));
    }

    /// One debug line for each final answer, with what the query met on its way: the fleet's logs are
    /// counted from these when a class is served less than it should be.
    fn trace_final(&self, id: RequestId, how: &str) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let Some(query) = self.queries.get(&id) else { return };
        let parts = query.parts.iter().filter_map(|part| self.parts.get(part));
        let (mut sent, mut arrived, mut count, mut unsent, mut out) = (0, 0, 0, 0, 0);
        for part in parts.filter(|part| part.step == usize::from(query.second.is_some())) {
            (sent, count) = (sent + part.tries, count + 1);
            arrived += usize::from(part.value.is_some());
            unsent += usize::from(part.tries == 0);
            out += usize::from(part.value.is_none() && !part.out.is_empty());
        }
        let [pass, fault, no_room, too_slow, no_route, cut, cancelled, not_sent] = query.outcomes;
        tracing::debug!(
            query = id.0,
            class = query.class,
            how,
            step = usize::from(query.second.is_some()),
            took = self.now - query.taken_at,
            left = query.expires_at - self.now,
            parts = count,
            arrived,
            unsent,
            out,
            sent,
            pass,
            fault,
            no_room,
            too_slow,
            no_route,
            cut,
            cancelled,
            not_sent,
            "final answer"
        );
    }

    /// The parts of the second step go to the shards with the highest scores among those that are in.
    fn begin_second_step(&mut self, id: RequestId, whole: bool, fetch: usize, values: Vec<(usize, i64, V)>) {
        let mut from: Vec<usize> = values.iter().map(|value| value.0).collect();
        from.sort_unstable();
        let mut best: Vec<(i64, usize)> = values.iter().map(|value| (value.1, value.0)).collect();
        best.sort_unstable_by_key(|(score, shard)| (std::cmp::Reverse(*score), *shard));
        best.truncate(fetch);
        let weight = 1.0 / best.len() as f64;
        let mut events = Vec::new();
        let number = self.queries[&id].number;
        let mut parts = Vec::new();
        for (_, shard) in best {
            parts.push(self.add_part(id, number, (shard, weight, None), 1, &mut events));
        }
        self.pending.extend(events);
        if let Some(query) = self.queries.get_mut(&id) {
            let (took, left) = (self.now - query.taken_at, query.expires_at - self.now);
            tracing::debug!(query = id.0, class = query.class, took, left, whole, "first step done");
            query.parts.extend(parts);
            query.second = Some(Second { from, whole });
        }
    }
}
