//! Every decision of an aggregator. Its settings, events and actions are in `src/interface.rs`.
//!
//! The ordinary path is the design's: a first send goes to the replica with fewest of its own calls out,
//! a few safe parts get a twin, the first answer wins. All else is an exception; docs/design.md lists them.

use crate::interface::*;
use evidence::{Allowance, Gaps, Hearing, Majority, Pooled, Share, Sparse};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

mod admission;
mod answers;
mod choosing;
mod repeats;
mod replicas;

// Tuned values, times in ms; docs/deployments.md says where each comes from.

const TWIN_SHARE: f64 = 0.1; // Twins per part sent: the design's "about a tenth".
const COPY_SHARE: f64 = 0.17; // Twins and hedges per part sent: under the design's fifth.
const COPY_BURST: f64 = 16.0; // Copies saved up at most: a quiet hour earns no flood.
const BUDGET_KEPT: f64 = 0.5; // Share of a told budget that twins leave for failures.
const CALL_SHARE: f64 = 0.12; // Of a call's work, for the call itself: so few parts share one.
const LEARN: f64 = 0.1; // Weight of a new sample in a mean: about the last ten samples count.
/// The same for a replica's pace, and of its first sample against its peers' median: it may be seen seldom.
const LEARN_PACE: (f64, f64) = (0.2, 0.5);
/// Weight of a sample under and over the learned service time: it settles low, where nothing queued.
const SERVICE_LEARN: (f64, f64) = (0.1, 0.02);
const SERVICE_GUESS: f64 = 0.05; // Service time before any was seen, over the aim: room for many in turn.
const STALL: f64 = 4.0; // Usual times without progress after which a replica is suspect.
const SLOW_WEIGHED: (f64, f64) = (1.7, 6.0); // So much slower than peers weighs; less is chance. Of many.
const UNPLACED: f64 = 1e-3; // Weight among ties of a replica that the placement leaves out.
const PACE_AGE: (Ms, f64) = (4000.0, 4.0); // An idle replica's pace fades in this, or mean gaps of its calls.
const TRIAL_GAP: Ms = 800.0; // Pause between trials of a shunned replica: quick back from a blip.
const UNHEARD: Ms = 1000.0; // After so long operators are told that a replica is left alone.
const RETRY_PAUSE: Ms = 150.0; // Pause between a part's further attempts; the first goes at once.
const FULL_WAIT: f64 = 0.4; // Of the time to the aim, before the last attempt where all are full.
const ERROR_PACE: f64 = 4.0; // Pace of an error: one alone makes no replica slow, three do.
const TWIN_STRAIN: f64 = 1.5; // Pace of all replicas past which twins stop: it is load.
const FEW: f64 = 3.0; // Siblings up to which own counts tell of nearly all load; beyond, in proportion.
/// Wait over slack at which least and most worth per work are refused: of very many, and what own counts add.
const ADMIT: ([f64; 2], [f64; 2]) = ([0.2, 0.45], [0.2, 0.25]);
/// Outlook over time to the aim at which a partial class sheds first and most parts; what it always keeps.
const THIN: (f64, f64, f64) = (0.15, 0.4, 0.4);
/// Probes saved up at most, of one for each part, and what all of them may cost, in worth: near nothing.
const PROBES: (f64, f64) = (64.0, 0.0075);
const UNLOADED: f64 = 0.5; // Pace of a replica with nothing to do.
const PROBE_WAIT: Ms = 15.0; // Wait for answers to probes: a round trip and some steps.
const NEWS_AGE: Ms = 500.0; // Load reports are believed for a few service times, own answers twice that.
const REPLY_LEAD: Ms = 4.0; // Time kept for a reply to reach the client, ms, beside two ticks.
const LOOK_GAP: Ms = 10.0; // Gap between looks at what is held.
const SLEPT: Ms = 150.0; // So much later than asked for, a step tells of a sleep.
/// Times without news of any replica, which blame none; after a short one its answers are on their way.
const GAPS: Gaps = Gaps { long: (8.0, 50.0), short: (12.0, 5.0), longest: 200.0, weight: 0.1 };
const RESUBSCRIBE: Ms = 400.0; // Mean pause before subscribing again: the service is shared.
const WEIGHT_SLACK: f64 = 5e-5; // Slack when shares of weight are summed: they come rounded.
const FULL_PAUSE: (Ms, i32) = (100.0, 3); // Pause of a full replica, doubled up to so often: a drain.
const FULL_PACE: f64 = 20.0; // Pace of a part turned away: that of a full queue.
/// Weight of an error in a replica's share of them, and the share that leaves it to trials: errors are rare.
const FAULTS: (f64, f64) = (0.3, 0.2);
/// Weight of an answer in the strain of all replicas together, and time in which the strain is forgotten, ms.
const STRAIN: (f64, Ms) = (0.03, 1000.0);
const MANY: usize = 10; // Siblings from which on own counts tell too little of load.
const PACE_NEW: Ms = 2000.0; // After so long a pace is mostly its newest sample.
/// A try that differs from the usual first one by this, ms, is a later one; believed from so many on.
const LATER_TRY: (Ms, (u32, u32)) = (10.0, (1, 20));
const LATER_STRAIN: f64 = 2.0; // Strain from which on later tries are refused.
const IDLE_TRIALS: f64 = 5.0; // Of so many for each sibling, one query is let in where nothing is out.
const FULL: u8 = 1; // Rank of a replica that is full.
/// Share of what a cold replica bears that all coordinators use up: least, most; of many, that and so many
/// standard deviations of their sum (a Poisson count) are kept free.
const COLD_SHARE: (f64, f64, f64) = (0.3, 0.75, 4.0);
/// A straggler of many: share of its step missing, share of its time gone, strain up to which it is copied.
const STRAGGLER: (f64, f64, f64) = (0.1, 0.3, 4.0);

struct Attempt {
    replica: ReplicaId,
    sent_at: Ms,
    due_at: Ms, // By when an answer is overdue.
    ended: Option<Outcome>,
}

#[derive(Default)]
struct Part {
    id: RequestId,
    shard: usize,
    weight: f64,
    step: usize, // 0 for the first step, 1 for the second.
    arrived: bool,
    attempts: Vec<Attempt>,
    spare: bool, // Held back: the answer is whole without it.
    not_before: Ms,
    work: Option<Ms>, // As the request states it; for large fleets, whose answers all have others' queues.
}

impl Part {
    fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.ended.is_none()).count()
    }

    /// The first attempt that may have run.
    fn unproved(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| !a.ended.is_some_and(Outcome::never_ran))
    }

    /// Where it is out or came to grief.
    fn grief(&self) -> Vec<ReplicaId> {
        let unproved = self.attempts.iter().filter(|a| !a.ended.is_some_and(Outcome::never_ran));
        unproved.map(|a| a.replica).collect()
    }

    /// Calls off what is still out, where that is allowed.
    fn cancel(&self, may: bool, actions: &mut Vec<Action>) {
        let open = self.attempts.iter().enumerate().filter(|(_, a)| may && a.ended.is_none());
        actions.extend(open.map(|(attempt, _)| Action::Cancel { part: self.id, attempt }));
    }
}

#[derive(Default)]
struct Query {
    id: RequestId,
    class: usize,
    expected: usize,
    aim_at: Ms,
    expires_at: Ms,
    parts: Vec<Part>,
    step: usize,
    step_at: Ms,
    first_whole: bool,
    later: bool,
    admitted: bool,
    ready_at: Option<Ms>,
}

impl Query {
    /// Weight of this step's parts for which `test` holds.
    fn weight(&self, test: impl Fn(&Part) -> bool) -> f64 {
        self.parts.iter().filter(|p| p.step == self.step && test(p)).map(|p| p.weight).sum()
    }
}

/// An attempt that is out, also after its query has ended.
struct Flight {
    replica: ReplicaId,
    class: usize,
    call: u64,
    place: usize, // Parts out at the replica when it was sent, this one included.
    step: usize,
    work: Option<Ms>,
}

struct Call {
    sent_at: Ms,
    stall: Ms,
    left: usize,
}

#[derive(Default)]
struct Replica {
    listed: Listed,
    calls: BTreeMap<u64, Call>,
    out: usize,
    progress_at: Ms,
    answered: Ms,        // When the latest-sent of its answered attempts was sent.
    pace: Sparse,        // Latency over service time x (place + 1).
    shunned: Option<Ms>, // Since when it is silent: work out, no progress or connection. May come back cold.
    trial_at: Ms,
    full: (Ms, i32), // Until when it is left alone, having turned parts away, and how often in a row it did.
    faults: f64,     // Share of errors among its answers lately.
    cold_since: Option<Ms>,
    /// Work that may be sent to it while it is cold, and whether the part that is being placed may go there.
    credit: Share,
    open: bool,
    told: Option<(Ms, f64)>, // Last load report: when, and requests held.
    joined: (u64, usize),    // The call that this step's sends join: number and parts.
}

#[derive(Default)]
struct Learned {
    service: Ms, // Unloaded service time of a part, and what the second step takes.
    second: Option<Ms>,
    size: f64, // Mean parts of a query.
}

/// The decisions of one aggregator.
pub struct Aggregator {
    set: Settings,
    rng: SmallRng,
    now: Ms,
    replicas: BTreeMap<ReplicaId, Replica>,
    cells: Vec<Vec<ReplicaId>>,
    queries: BTreeMap<u64, Query>,
    owners: BTreeMap<RequestId, (u64, usize)>,
    flights: BTreeMap<(RequestId, usize), Flight>,
    learned: Vec<Learned>, // What was learned of each class.
    pace: f64,             // Median pace of the replicas.
    twins_left: f64,
    probes_left: f64,
    copies_left: f64,
    further: Allowance,
    next_call: u64,
    subscribe_at: Option<Ms>,
    wake_at: Option<Ms>,
    judged_at: Ms,
    hearing: Hearing, // When any replica was last heard of.
    started_at: Option<Ms>,
    trial_gap: Ms, // Mean pause between trials of a replica: those of a hundred must not feed it up.
    strain: Pooled, // Answer time over service time of all replicas together: each alone is met too seldom.
    first: Majority, // The share of its class's time that a client gives its first try: that of most.
    favours: BTreeMap<(usize, ReplicaId), f64>, // A placement's weights: they break ties of first sends.
}

impl Aggregator {
    /// A fresh aggregator; all its random choices come from `seed`.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut aggregator = Aggregator {
            rng: SmallRng::seed_from_u64(seed),
            now: 0.0,
            replicas: BTreeMap::new(),
            cells: vec![Vec::new(); settings.cells],
            queries: BTreeMap::new(),
            owners: BTreeMap::new(),
            flights: BTreeMap::new(),
            learned: Vec::new(),
            pace: 1.0,
            twins_left: 0.0,
            probes_left: PROBES.0 * settings.probe_share(PROBES.1, FEW),
            copies_left: 0.0,
            further: Allowance::default(),
            next_call: 1,
            subscribe_at: settings.must_subscribe.then_some(0.0),
            wake_at: None,
            judged_at: 0.0,
            hearing: Hearing::new(GAPS),
            started_at: None,
            trial_gap: TRIAL_GAP,
            strain: Pooled::new(STRAIN),
            first: Majority::default(),
            favours: BTreeMap::new(),
            set: settings.clone(),
        };
        aggregator.retune(settings);
        aggregator
    }

    /// Takes in settings for the queries to come; what was learned of a class stays while its rules do.
    pub fn retune(&mut self, settings: Settings) {
        let fresh = |class: &Class| Learned { service: SERVICE_GUESS * class.aim, ..Learned::default() };
        let mut known = std::mem::take(&mut self.learned).into_iter().zip(&self.set.classes);
        let mut kept = |class| known.next().filter(|(_, old)| *old == class).map(|(learned, _)| learned);
        let each = settings.classes.iter().map(|class| kept(class).unwrap_or_else(|| fresh(class)));
        (self.learned, self.set) = (each.collect(), settings);
    }

    /// Takes in a placement that was worked out ahead, in place of an earlier one.
    pub fn favour(&mut self, weights: BTreeMap<(usize, ReplicaId), f64>) {
        self.favours = weights;
    }

    /// Replicas in service that are left alone, for faults or silence, and were not heard for a while.
    pub fn avoided(&self) -> usize {
        let lasts = |r: &Replica| self.now - r.progress_at > UNHEARD;
        let avoided = |r: &&Replica| r.listed.lifecycle == Lifecycle::On && self.rank(r) > FULL && lasts(r);
        self.replicas.values().filter(avoided).count()
    }

    /// Takes in all events of one tick and appends what to do, in order.
    pub fn step(&mut self, now: Ms, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now;
        // After a sleep of its own, what was not answered meanwhile blames no replica.
        if self.wake_at.is_some_and(|at| now > at + SLEPT) {
            self.hearing.awake = now;
        }
        events.iter().for_each(|event| self.take(event, actions));
        if self.subscribe_at.take_if(|at| *at <= now).is_some() {
            actions.push(Action::Subscribe);
        }
        self.judge_replicas(actions);
        let mut queries = std::mem::take(&mut self.queries);
        queries.retain(|_, query| self.advance(query, actions) || self.forget(query, actions));
        self.queries = queries;
        let idle = self.queries.is_empty() && self.subscribe_at.is_none();
        if !idle && self.wake_at.is_none_or(|at| at <= now) {
            let after = LOOK_GAP.max(self.set.period);
            self.wake_at = Some(now + after);
            actions.push(Action::Wake { after });
        }
    }

    fn take(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::List { kind, entries } => self.take_list(*kind, entries, actions),
            Event::Query { id, class, .. } if *class >= self.set.classes.len() => {
                actions.push(Action::Fail { query: *id, retry_after: None })
            }
            Event::Query { id, class, number, parts, expires_in, .. } => {
                self.take_query(*id, *class, *number, *parts, *expires_in)
            }
            Event::Part { id, number, shard, weight, work } => {
                if let Some(query) = self.queries.get_mut(number) {
                    self.owners.insert(*id, (*number, query.parts.len()));
                    let work = work.filter(|_| self.set.siblings >= MANY);
                    let (id, shard, weight, step) = (*id, *shard, *weight, query.step);
                    query.parts.push(Part { id, shard, weight, step, work, ..Part::default() });
                    let known = &mut self.learned[query.class].service;
                    *known += work.filter(|_| step == 0).map_or(0.0, |work| LEARN * (work - *known));
                }
                self.further.earn(self.now);
                let share = self.set.probe_share(PROBES.1, FEW);
                self.probes_left = (self.probes_left + share).min(PROBES.0 * share);
            }
            Event::Probed { replica, outcome, report } => self.take_report(*replica, *outcome, report),
            Event::Woken => {}
            Event::Withdrawn { id } => {
                let number = self.queries.iter().find(|(_, q)| q.id == *id).map(|(number, _)| *number);
                if let Some(query) = number.and_then(|number| self.queries.remove(&number)) {
                    self.forget(&query, actions);
                }
            }
            Event::Done { part, attempt, outcome, elapsed, .. } => {
                self.ended((*part, *attempt), *outcome, *elapsed, actions)
            }
        }
    }

    fn take_query(&mut self, id: RequestId, class: usize, number: u64, parts: usize, left: Ms) {
        let about = &self.set.classes[class];
        let learned = &mut self.learned[class];
        // A later try that is cut shorter than most tries tells how much of the client's time has gone.
        let later = self.set.siblings >= MANY
            && self.first.differs(left / about.deadline, LATER_TRY.0 / about.deadline, LATER_TRY.1);
        let gone = if later { (about.deadline - left).max(0.0) } else { 0.0 };
        let new = if learned.size == 0.0 { 1.0 } else { LEARN };
        learned.size += new * (parts as f64 - learned.size);
        let query = Query {
            id,
            class,
            expected: parts,
            aim_at: self.now + about.aim - gone,
            expires_at: self.now + left,
            later,
            ..Query::default()
        };
        self.further.earn(self.now);
        self.queries.insert(number, query);
    }

    /// Lets go of an ended query and calls off what is still out for it; false, as it is held no more.
    fn forget(&mut self, query: &Query, actions: &mut Vec<Action>) -> bool {
        for part in &query.parts {
            self.owners.remove(&part.id);
            part.cancel(self.set.may_cancel, actions);
        }
        false
    }
}
