//! The module's own types: its start settings, the events it is told and the actions it takes.
//!
//! All times are milliseconds. A clock value is counted from any fixed point and only goes forward.

/// Milliseconds, as a clock value or a length of time.
pub type Ms = f64;

/// Names a query or one of its parts; never used again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Names a replica: one server that holds some shards.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaId(pub u32);

/// What a repeat of a part may do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Effect {
    /// Safe to repeat.
    Safe,
    /// Repeats are dropped within this many milliseconds of the first attempt that may have run.
    Keyed(Ms),
    /// No part may run twice.
    Unsafe,
}

/// One class of queries.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Full worth is earned inside this time.
    pub aim: Ms,
    /// The client waits this long over all its tries.
    pub deadline: Ms,
    /// Worth of a whole answer inside the aim.
    pub worth: f64,
    /// Share of the worth earned after the aim.
    pub late_share: f64,
    /// What a repeat of a part may do.
    pub effect: Effect,
    /// Share of the first step's weight that makes a whole answer.
    pub whole_at: f64,
    /// Least share for any answer.
    pub floor: f64,
    /// An answer that is not whole earns this times its share over `whole_at`.
    pub partial_earns: f64,
    /// Parts of the second step; 0 where there is none.
    pub fetch: usize,
}

/// The told budget of attempts beyond each part's first.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    /// Further attempts that need no requests to earn them.
    pub free: f64,
    /// Further attempts earned by each accepted query or part.
    pub share: f64,
    /// Length of the window in which both are counted.
    pub window: Ms,
}

impl Budget {
    /// No limit.
    pub const NONE: Budget = Budget { free: f64::INFINITY, share: 0.0, window: 0.0 };
}

/// What an aggregator is told when it starts.
#[derive(Debug, Clone)]
pub struct Settings {
    /// How many aggregators there are, this one included.
    pub siblings: usize,
    /// The zone of this aggregator.
    pub zone: String,
    /// The classes of queries.
    pub classes: Vec<Class>,
    /// Shard s is held by the replicas of cell (s + j) mod `cells`, for j from 0 to `reach` - 1.
    pub cells: usize,
    /// How many cells in a row hold a shard.
    pub reach: usize,
    /// Most parts in one call.
    pub parts_a_call: usize,
    /// Work that a call costs the replica beside that of its parts.
    pub call_cost: Ms,
    /// The list of replicas is told only after [`Action::Subscribe`].
    pub must_subscribe: bool,
    /// Longest time without a subscription or a question for the list.
    pub ask_within: Ms,
    /// Least gap between two steps.
    pub period: Ms,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Two attempts of one part may be out at once.
    pub may_copy: bool,
    /// Replicas may be probed.
    pub may_probe: bool,
    /// The answer to a probe brings a load report.
    pub probe_reports: bool,
    /// Clients can be told when to come back.
    pub may_advise: bool,
    /// The longest advice that clients follow.
    pub advice_limit: Ms,
    /// Most attempts for one part.
    pub try_limit: usize,
    /// A replica starts with this share of its capacity or more.
    pub cold_from: f64,
    /// A replica is warm after this time at the latest.
    pub cold_time: Ms,
    /// Sent more than this many times its present capacity, ...
    pub fall_multiple: f64,
    /// ... for this long, a cold replica falls over.
    pub overload_time: Ms,
    /// Worth counts by a query's work, not by the query.
    pub worth_by_work: bool,
    /// Price of crossing zones, in worth per part.
    pub cross_zone_fee: f64,
    /// Price of probes, in worth for one probe a part.
    pub probe_fee: f64,
    /// The told budget of further attempts, where there is one.
    pub budget: Option<Budget>,
}

impl Settings {
    /// The share of the usual probes that their price leaves, if all of them may cost so much. They are the fleet's: of
    /// many siblings, each has its share of what `few` may send, since all ask the same replicas.
    pub fn probe_share(&self, cost: f64, few: f64) -> f64 {
        self.own_share(few) * cost / self.probe_fee.max(cost)
    }

    /// How much of the load this aggregator sees in its own calls, beside one of `few` siblings: 1 for those.
    pub fn own_share(&self, few: f64) -> f64 {
        (few / self.siblings.max(1) as f64).min(1.0)
    }

    /// The settings of one of several processes that count as one aggregator: what may be sent within a window is split
    /// evenly. Each can't know in time what the others have just sent.
    pub fn shared_by(&self, processes: usize) -> Settings {
        let part = 1.0 / processes.max(1) as f64;
        let budget = self.budget.map(|budget| Budget { free: budget.free * part, ..budget });
        Settings { fall_multiple: self.fall_multiple * part, budget, ..self.clone() }
    }

    /// Work that may be sent to a replica within the window of the rule on overload, so long after its start: its
    /// registered size counts as cores, one at least. `None` once it is warm.
    pub fn cold_room(&self, age: Ms, size: f64) -> Option<Ms> {
        self.warm_share(age).map(|share| self.fall_multiple * share * self.overload_time * size.max(1.0))
    }

    /// The share of its capacity that a replica has at least, so long after its start; `None` once it is warm.
    pub fn warm_share(&self, age: Ms) -> Option<f64> {
        let warmth = (age / self.cold_time).max(0.0);
        (warmth < 1.0).then_some(self.cold_from + (1.0 - self.cold_from) * warmth)
    }
}

/// Where a listed replica is in its life.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// In service.
    #[default]
    On,
    /// Finishing its work; send nothing new.
    Fading,
    /// Removed.
    Off,
}

/// One entry of the list of replicas.
#[derive(Debug, Clone, Default)]
pub struct Listed {
    /// Which replica.
    pub id: ReplicaId,
    /// Its cell, which tells the shards it holds.
    pub cell: usize,
    /// Its zone.
    pub zone: String,
    /// Its machine model; only compared for likeness.
    pub model: String,
    /// Its registered size.
    pub size: f64,
    /// When it last started; `None` where that is long ago.
    pub born: Option<Ms>,
    /// Where it is in its life.
    pub lifecycle: Lifecycle,
}

/// What a message about the list of replicas brings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Only changed entries.
    Update,
    /// The whole list.
    Replace,
    /// The whole list as the aggregator had it before its restart; maybe stale.
    Restored,
    /// A question or subscription failed; the old list stands.
    Unavailable,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Pass,
    /// The replica replied with an error; it may have run.
    Fault,
    /// Turned away unseen; never ran.
    NoRoom,
    /// No answer in time; it may have run.
    TooSlow,
    /// No connection; never ran.
    NoRoute,
    /// The connection broke; it may have run.
    Cut,
    /// Called off; it may have run.
    Cancelled,
    /// Not sent; never ran.
    NotSent,
}

impl Outcome {
    /// Whether the replica itself said so.
    pub fn is_answer(self) -> bool {
        matches!(self, Outcome::Pass | Outcome::Fault | Outcome::NoRoom)
    }

    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::NoRoom | Outcome::NoRoute | Outcome::NotSent)
    }
}

/// What a replica says of its load: late, noisy and perhaps untrue.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Report {
    /// Requests it holds.
    pub held: Option<f64>,
    /// Share of its cores that is busy.
    pub busy: Option<f64>,
}

impl Report {
    /// Requests held, or what a busy share makes likely; `None` where it tells nothing that can be true.
    pub fn load(&self) -> Option<f64> {
        let waiting = self.busy.map(|busy| busy.clamp(0.0, 1.0)).map(|busy| busy / (1.05 - busy));
        self.held.or(waiting).filter(|held| held.is_finite() && *held >= 0.0)
    }
}

/// What an aggregator is told.
#[derive(Debug, Clone)]
pub enum Event {
    /// News of the list of replicas.
    List {
        /// What the entries are.
        kind: ListKind,
        /// The entries.
        entries: Vec<Listed>,
    },
    /// A query was accepted; its parts follow in the same step.
    Query {
        /// The query.
        id: RequestId,
        /// Index into [`Settings::classes`].
        class: usize,
        /// Ties the parts to the query.
        number: u64,
        /// How many parts follow.
        parts: usize,
        /// Time left before the client abandons this try.
        expires_in: Ms,
        /// The client marks this as another try.
        retry: bool,
    },
    /// One part of a query.
    Part {
        /// The part.
        id: RequestId,
        /// The number of its query.
        number: u64,
        /// The shard that it asks.
        shard: usize,
        /// Its share of its step's weight.
        weight: f64,
        /// The work that the request says the part takes, where it says so: rough.
        work: Option<Ms>,
    },
    /// A time asked for by [`Action::Wake`] has come.
    Woken,
    /// Nobody waits for this query any more.
    Withdrawn {
        /// The query.
        id: RequestId,
    },
    /// An attempt ended.
    Done {
        /// The part.
        part: RequestId,
        /// The number of the attempt, from 0.
        attempt: usize,
        /// The replica that it was sent to.
        replica: ReplicaId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the send.
        elapsed: Ms,
    },
    /// Answer to a probe.
    Probed {
        /// The replica that was asked.
        replica: ReplicaId,
        /// How the probe ended.
        outcome: Outcome,
        /// What the replica says, if anything.
        report: Report,
    },
}

/// What an aggregator does.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the part's next attempt.
    Send {
        /// The part.
        part: RequestId,
        /// To this replica.
        replica: ReplicaId,
        /// Clock time to drop the attempt.
        stop_at: Ms,
    },
    /// Call an attempt off.
    Cancel {
        /// The part.
        part: RequestId,
        /// The number of the attempt.
        attempt: usize,
    },
    /// Answer the query from the parts that are in.
    Answer {
        /// The query.
        query: RequestId,
        /// The answer is whole.
        whole: bool,
    },
    /// Refuse the query: a retry is harmless.
    Refuse {
        /// The query.
        query: RequestId,
        /// Advice when to come back.
        retry_after: Option<Ms>,
    },
    /// End the query as failed.
    Fail {
        /// The query.
        query: RequestId,
        /// Advice when to come back, where the class lets a repeat be harmless.
        retry_after: Option<Ms>,
    },
    /// Ask for [`Event::Woken`].
    Wake {
        /// This far from now.
        after: Ms,
    },
    /// Ask a replica for a load report.
    Probe {
        /// This replica.
        replica: ReplicaId,
    },
    /// Subscribe to changes of the list.
    Subscribe,
    /// A line for on-call staff.
    Log(String),
}
