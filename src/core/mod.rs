//! The core: it knows no wire. Neutral inputs and the time come in, the module decides, neutral effects go
//! out. It owns the queries, parts, attempts, ids and timers, and guards the rules.

mod counters;
mod ending;
mod messages;
mod sending;
mod state;

pub use counters::Counters;
pub use messages::{AttemptId, Effect, Failure, Input, NewQuery, Second, Send};

use crate::interface::{Effect as Repeats, *};
use crate::policy::Aggregator;
use crate::settings::Transport;
use state::{Attempt, Known, Part, Query, OUTCOMES};
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

/// Weight of a new sample in the mean time of an answer.
const LEARN: f64 = 0.05;
/// Slack when shares of weight are summed.
const WEIGHT_SLACK: f64 = 1e-4;

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
}
