//! Moving replicas to named weights, a few at a time: which to order, and how to see that an order is done.
//!
//! A replica is behind since the first naming above what it has, and that naming's bound is the one to keep. So the order
//! of moves is that of these bounds, whatever is named meanwhile; and a replica whose naming is due is ordered even if
//! others load already: nothing is sent there any more, and what waits in its queue goes elsewhere.
//!
//! An order may reach its replica long after it was given up. So each one names how many orders the replica has taken, as a
//! report told before: once a later order has been taken, the earlier one is refused whenever it comes.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use catalog::{ModelVersion, Record, State};
use weights::{due_after, NamedWeights, Naming};

use crate::Millis;

/// One in so many of a service's replicas loads weights at a time: more make each load longer, and fewer leave a large
/// service on two versions until the time for the move is over.
const PART_AT_ONCE: usize = 5;
/// A service of more replicas than [`PART_AT_ONCE`] moves at least so many at a time.
const FEW_AT_ONCE: usize = 2;
/// Time from an order to the first question whether it is done, and between questions.
const REPORT_EVERY_MS: Millis = 200;
/// A report that says so long after an order that nothing is under way means that the order was not taken: reports
/// tell what was some hundred ms ago.
const SETTLED_MS: Millis = 800;
/// After an order that failed, the replica is left alone for so long.
const RETRY_MS: Millis = 1_000;
/// An order that was taken is given up, and given anew, after so long.
const GIVE_UP_MS: Millis = 10_000;
/// A holder to which no replica has answered for so long, though they send heartbeats, reaches none of them. A replica
/// that has ended counts as lost before.
const UNANSWERED_MS: Millis = 4_000;
/// The status of an order whose fence is lower than one that the replica has seen.
const FENCE_TOO_LOW: u16 = 412;

/// A call to a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaCall {
    /// Move to a version of a model's weights.
    Order {
        replica: String,
        address: SocketAddrV4,
        model: String,
        version: u64,
        fence: u64,
        /// Orders that the replica has taken; it refuses this one if there were others since.
        expected: u64,
        /// How long ago the first version was named that the replica lacks.
        behind_ms: Millis,
    },
    /// Tell the state.
    Report { replica: String, address: SocketAddrV4 },
}

/// What a replica answered to `GET /report`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    pub models: Vec<ModelVersion>,
    /// An order is under way.
    pub busy: bool,
    /// Orders taken.
    pub call_count: u64,
}

/// A move that is done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Moved {
    pub model: String,
    pub version: u64,
    /// Time from the order to the report that showed it done.
    pub took_ms: Millis,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// The next question is due then: how many orders it has taken, and whether the one given is done.
    ToAsk { at: Millis },
    /// A question was sent.
    Asking,
    /// An order is to be given, from that time on; the replica has taken so many.
    ToOrder { at: Millis, expected: u64 },
    /// The order was sent and not answered yet.
    Ordering { expected: u64 },
}

#[derive(Debug, Clone)]
struct Move {
    model: String,
    version: u64,
    address: SocketAddrV4,
    step: Step,
    /// An order was given that the replica may have taken.
    is_ordered: bool,
    /// When the move was planned, or the last order was given.
    since: Millis,
    /// The last call got no answer: nobody knows whether the replica loads anything.
    is_silent: bool,
    /// The fence of the last order.
    fence: u64,
}

/// A replica that lacks a named version.
#[derive(Debug)]
struct Behind<'a> {
    record: &'a Record,
    model: &'a str,
    /// The newest version of the model.
    newest: u64,
    /// When the first version was named that it lacks.
    since: i64,
}

impl<'a> Behind<'a> {
    /// How a ready replica is behind, if it is; of several models, in the one that is due first.
    fn of(record: &'a Record, weights: &NamedWeights) -> Option<Behind<'a>> {
        if record.state != State::Ready {
            return None;
        }
        let (model, first) = first_lacking(record, weights)?;
        Some(Behind { record, model, newest: weights.newest(model), since: first.named_at })
    }

    fn age(&self, now: Millis) -> i64 {
        (now as i64).saturating_sub(self.since)
    }
}

/// The naming that was made first of those that a replica lacks, with its model.
pub(crate) fn first_lacking<'a>(record: &'a Record, weights: &NamedWeights) -> Option<(&'a str, Naming)> {
    let lacking = record.models.iter().filter_map(|held| {
        let first = weights.first_above(&held.name, held.version)?;
        Some((held.name.as_str(), first))
    });
    lacking.min_by_key(|(_, first)| first.named_at)
}

/// Moves under way.
#[derive(Debug)]
pub struct Moves {
    /// Within this after a naming nothing may begin on an older version.
    bound: Millis,
    moves: BTreeMap<String, Move>,
    /// When a replica last answered, or the first move began after a time without any.
    answered: Millis,
    /// The highest fence that a replica refused.
    refused_fence: Option<u64>,
}

impl Moves {
    /// No move; `bound` is the time to move to a named version.
    pub fn new(bound: Millis) -> Moves {
        Moves { bound, moves: BTreeMap::new(), answered: 0, refused_fence: None }
    }

    /// Whether anything is under way or left to do.
    pub fn has_work<'a>(
        &self,
        mut replicas: impl Iterator<Item = &'a Record>,
        weights: &NamedWeights,
    ) -> bool {
        !self.moves.is_empty() || replicas.any(|replica| Behind::of(replica, weights).is_some())
    }

    /// Whether a call to a replica is under way.
    pub fn is_calling(&self) -> bool {
        self.moves.values().any(|one| one.is_calling())
    }

    /// The replicas that have been given an order which is not seen done yet.
    pub fn under_way(&self) -> impl Iterator<Item = &str> {
        self.moves.iter().filter(|(_, one)| one.is_ordered).map(|(replica, _)| replica.as_str())
    }

    /// Whether a replica's next order may be given now.
    pub fn is_to_be_ordered(&self, now: Millis, replica: &str) -> bool {
        let step = self.moves.get(replica).map(|one| one.step);
        matches!(step, Some(Step::ToOrder { at, .. }) if now >= at)
    }

    /// The highest fence that a replica refused, as it has seen a higher one: orders need one above it.
    pub fn refused_fence(&self) -> Option<u64> {
        self.refused_fence
    }

    /// Whether replicas are to be ordered and none has answered for long: another controller may reach them.
    pub fn is_unanswered(&self, now: Millis) -> bool {
        let is_alone = !self.moves.is_empty() && self.moves.values().all(|one| one.is_silent);
        is_alone && now >= self.answered + UNANSWERED_MS
    }

    /// The moves under way, as a line of a log: replicas with what is done about each.
    pub fn describe(&self) -> String {
        let shown = self.moves.iter().map(|(replica, one)| format!("{replica} {}", one.describe()));
        shown.collect::<Vec<_>>().join(", ")
    }

    /// Drops what was planned: another controller holds the duty.
    pub fn clear(&mut self) {
        self.moves.clear();
    }

    /// The calls that are due. `fence` is there while orders may be given.
    pub fn calls(
        &mut self,
        now: Millis,
        replicas: &[Record],
        weights: &NamedWeights,
        fence: Option<u64>,
    ) -> Vec<ReplicaCall> {
        self.drop_finished(replicas, weights);
        if self.moves.is_empty() {
            self.answered = now;
        }
        let fence = fence.filter(|fence| self.refused_fence.is_none_or(|refused| *fence > refused));
        if fence.is_some() {
            self.plan(now, replicas, weights);
        }
        let mut calls = Vec::new();
        for (replica, one) in &mut self.moves {
            let record = replicas.iter().find(|record| record.id == *replica);
            let behind = record.and_then(|record| Behind::of(record, weights));
            calls.extend(one.next_call(now, replica, behind.as_ref(), fence));
        }
        calls
    }

    fn drop_finished(&mut self, replicas: &[Record], weights: &NamedWeights) {
        self.moves.retain(|id, one| {
            let record = replicas.iter().find(|record| record.id == *id);
            one.is_calling() || record.is_some_and(|record| Behind::of(record, weights).is_some())
        });
    }

    /// Begins moves: of the replicas whose bound ends first, as many as there is room for, and of all that are due.
    fn plan(&mut self, now: Millis, replicas: &[Record], weights: &NamedWeights) {
        let mut behind: Vec<Behind> =
            replicas.iter().filter_map(|record| Behind::of(record, weights)).collect();
        behind.sort_by(|a, b| (a.since, &a.record.id).cmp(&(b.since, &b.record.id)));
        let due = due_after(self.bound as i64);
        let mut room: BTreeMap<&str, usize> = BTreeMap::new();
        for one in &behind {
            let service = one.record.service.as_str();
            if self.moves.contains_key(&one.record.id) {
                continue;
            }
            let room = room.entry(service).or_insert_with(|| self.room(service, replicas));
            if *room > 0 || one.age(now) >= due {
                *room = room.saturating_sub(1);
                self.moves.insert(one.record.id.clone(), Move::planned(now, one));
            }
        }
    }

    /// How many more replicas of a service may begin to load.
    fn room(&self, service: &str, replicas: &[Record]) -> usize {
        let of_service = || replicas.iter().filter(|record| record.service == service);
        let ready = of_service().filter(|record| record.state == State::Ready).count();
        let loading = of_service().filter(|record| self.is_loading(&record.id)).count();
        most_at_once(ready).saturating_sub(loading)
    }

    /// Whether a replica takes a place among those that load at a time. One that does not answer keeps none: it may be
    /// gone, and the others have bounds, too.
    fn is_loading(&self, replica: &str) -> bool {
        self.moves.get(replica).is_some_and(|one| !one.is_silent)
    }

    /// An order was answered with this status; `None`: no answer.
    pub fn ordered(&mut self, now: Millis, replica: &str, status: Option<u16>) {
        let Some(one) = self.moves.get_mut(replica) else { return };
        let Step::Ordering { expected } = one.step else { return };
        one.is_silent = status.is_none();
        if status.is_some() {
            self.answered = now;
        }
        one.step = match status {
            Some(202 | 200 | 409) | None => Step::ToAsk { at: now + REPORT_EVERY_MS },
            Some(FENCE_TOO_LOW) => {
                self.refused_fence = self.refused_fence.max(Some(one.fence));
                Step::ToOrder { at: now, expected }
            }
            Some(_) => Step::ToOrder { at: now + RETRY_MS, expected },
        };
    }

    /// A question was answered; `None`: no answer. Tells of a move that is done.
    pub fn reported(&mut self, now: Millis, replica: &str, report: Option<&Report>) -> Option<Moved> {
        let one = self.moves.get_mut(replica).filter(|one| one.step == Step::Asking)?;
        one.is_silent = report.is_none();
        let Some(report) = report else {
            one.step = Step::ToAsk { at: now + REPORT_EVERY_MS };
            return None;
        };
        self.answered = now;
        let holds = |model: &ModelVersion| model.name == one.model && model.version >= one.version;
        if report.models.iter().any(holds) {
            let done = self.moves.remove(replica)?;
            let took_ms = now.saturating_sub(done.since);
            return done.is_ordered.then_some(Moved { model: done.model, version: done.version, took_ms });
        }
        one.step = if one.may_be_ordered(now, report) {
            Step::ToOrder { at: now, expected: report.call_count }
        } else {
            Step::ToAsk { at: now + REPORT_EVERY_MS }
        };
        None
    }
}

impl Move {
    fn planned(now: Millis, behind: &Behind) -> Move {
        Move {
            model: behind.model.to_string(),
            version: behind.newest,
            address: behind.record.address,
            step: Step::ToAsk { at: now },
            is_ordered: false,
            since: now,
            is_silent: false,
            fence: 0,
        }
    }

    fn is_calling(&self) -> bool {
        matches!(self.step, Step::Ordering { .. } | Step::Asking)
    }

    fn describe(&self) -> &'static str {
        match self.step {
            _ if self.is_silent => "does not answer",
            Step::ToOrder { .. } => "is to be ordered",
            Step::Ordering { .. } => "is ordered",
            Step::ToAsk { .. } | Step::Asking if self.is_ordered => "loads",
            Step::ToAsk { .. } | Step::Asking => "is asked",
        }
    }

    /// Whether nothing is under way at the replica as far as a report tells: what was ordered has not been taken, or takes
    /// too long.
    fn may_be_ordered(&self, now: Millis, report: &Report) -> bool {
        let is_settled = !self.is_ordered || now >= self.since + SETTLED_MS;
        (is_settled && !report.busy) || now >= self.since + GIVE_UP_MS
    }

    fn next_call(
        &mut self,
        now: Millis,
        replica: &str,
        behind: Option<&Behind>,
        fence: Option<u64>,
    ) -> Option<ReplicaCall> {
        match self.step {
            Step::ToOrder { at, expected } if now >= at => {
                Some(self.order(now, replica, behind?, fence?, expected))
            }
            Step::ToAsk { at } if now >= at => {
                self.step = Step::Asking;
                Some(ReplicaCall::Report { replica: replica.to_string(), address: self.address })
            }
            _ => None,
        }
    }

    /// Orders what is newest now: it may be newer than what was planned.
    fn order(
        &mut self,
        now: Millis,
        replica: &str,
        behind: &Behind,
        fence: u64,
        expected: u64,
    ) -> ReplicaCall {
        self.model = behind.model.to_string();
        self.version = behind.newest;
        self.step = Step::Ordering { expected };
        self.is_ordered = true;
        self.since = now;
        self.fence = fence;
        ReplicaCall::Order {
            replica: replica.to_string(),
            address: self.address,
            model: self.model.clone(),
            version: self.version,
            fence,
            expected,
            behind_ms: behind.age(now).max(0) as Millis,
        }
    }
}

/// How many replicas of a service load weights at a time when so many of it are ready.
pub fn most_at_once(ready: usize) -> usize {
    let few = ready.div_ceil(PART_AT_ONCE).min(FEW_AT_ONCE);
    (ready / PART_AT_ONCE).max(few)
}
