//! Moving replicas to named weights, a few at a time: which to order, and how to see that an order is done.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use catalog::{ModelVersion, Record, State};

use crate::values::WeightsValue;
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
        expected: Option<u64>,
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
    /// An order is to be given, from that time on.
    Due(Millis),
    /// The order was sent and not answered yet.
    Ordering,
    /// The order was taken, or may have been; the next question is due then.
    Loading { ask_at: Millis },
    /// A question was sent.
    Asking,
}

#[derive(Debug, Clone)]
struct Move {
    model: String,
    version: u64,
    address: SocketAddrV4,
    step: Step,
    since: Millis,
    /// Orders taken, from the last report.
    call_count: Option<u64>,
}

/// Moves under way.
#[derive(Debug, Default)]
pub struct Moves {
    moves: BTreeMap<String, Move>,
}

impl Moves {
    /// Whether anything is under way or left to do.
    pub fn has_work<'a>(&self, replicas: impl Iterator<Item = &'a Record>, weights: &WeightsValue) -> bool {
        !self.moves.is_empty() || replicas.into_iter().any(|replica| target(replica, weights).is_some())
    }

    /// Whether a call to a replica is under way.
    pub fn is_calling(&self) -> bool {
        self.moves.values().any(|one| matches!(one.step, Step::Ordering | Step::Asking))
    }

    /// The replicas that have been given an order which is not seen done yet.
    pub fn under_way(&self) -> impl Iterator<Item = &str> {
        self.moves.keys().map(String::as_str)
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
        weights: &WeightsValue,
        fence: Option<u64>,
    ) -> Vec<ReplicaCall> {
        self.drop_finished(replicas, weights);
        if fence.is_some() {
            self.plan(now, replicas, weights);
        }
        let mut calls = Vec::new();
        for (replica, one) in &mut self.moves {
            calls.extend(one.next_call(now, replica, fence));
        }
        calls
    }

    fn drop_finished(&mut self, replicas: &[Record], weights: &WeightsValue) {
        self.moves.retain(|id, one| {
            let record = replicas.iter().find(|record| record.id == *id);
            let calling = matches!(one.step, Step::Ordering | Step::Asking);
            calling || record.is_some_and(|record| target(record, weights).is_some())
        });
    }

    fn plan(&mut self, now: Millis, replicas: &[Record], weights: &WeightsValue) {
        let mut waiting: Vec<&Record> =
            replicas.iter().filter(|record| !self.moves.contains_key(&record.id)).collect();
        waiting.sort_by(|a, b| a.id.cmp(&b.id));
        for record in waiting {
            let Some((model, version)) = target(record, weights) else { continue };
            if !self.has_room(record, replicas) {
                continue;
            }
            let planned = Move {
                model: model.to_string(),
                version,
                address: record.address,
                step: Step::Due(now),
                since: now,
                call_count: None,
            };
            self.moves.insert(record.id.clone(), planned);
        }
    }

    fn has_room(&self, record: &Record, replicas: &[Record]) -> bool {
        let same = |other: &&Record| other.service == record.service && other.state == State::Ready;
        let most = most_at_once(replicas.iter().filter(same).count());
        let of_service = replicas.iter().filter(|other| other.service == record.service);
        of_service.filter(|other| self.moves.contains_key(&other.id)).count() < most
    }

    /// An order was answered with this status; `None`: no answer.
    pub fn ordered(&mut self, now: Millis, replica: &str, status: Option<u16>) {
        let Some(one) = self.moves.get_mut(replica) else { return };
        one.step = match status {
            Some(202 | 200 | 409) | None => Step::Loading { ask_at: now + REPORT_EVERY_MS },
            Some(_) => Step::Due(now + RETRY_MS),
        };
    }

    /// A question was answered; `None`: no answer. Tells of a move that is done.
    pub fn reported(&mut self, now: Millis, replica: &str, report: Option<&Report>) -> Option<Moved> {
        let one = self.moves.get_mut(replica)?;
        let Some(report) = report else {
            one.step = Step::Loading { ask_at: now + RETRY_MS };
            return None;
        };
        one.call_count = Some(report.call_count);
        let holds = |model: &ModelVersion| model.name == one.model && model.version >= one.version;
        if report.models.iter().any(holds) {
            let done = self.moves.remove(replica)?;
            let took_ms = now.saturating_sub(done.since);
            return Some(Moved { model: done.model, version: done.version, took_ms });
        }
        let given_up = now >= one.since + GIVE_UP_MS;
        let idle = !report.busy && now >= one.since + SETTLED_MS;
        one.step = if idle || given_up {
            one.since = now;
            Step::Due(now)
        } else {
            Step::Loading { ask_at: now + REPORT_EVERY_MS }
        };
        None
    }
}

impl Move {
    fn next_call(&mut self, now: Millis, replica: &str, fence: Option<u64>) -> Option<ReplicaCall> {
        match self.step {
            Step::Due(at) if now >= at => {
                let fence = fence?;
                self.step = Step::Ordering;
                self.since = now;
                Some(ReplicaCall::Order {
                    replica: replica.to_string(),
                    address: self.address,
                    model: self.model.clone(),
                    version: self.version,
                    fence,
                    expected: self.call_count,
                })
            }
            Step::Loading { ask_at } if now >= ask_at => {
                self.step = Step::Asking;
                Some(ReplicaCall::Report { replica: replica.to_string(), address: self.address })
            }
            _ => None,
        }
    }
}

/// How many replicas of a service load weights at a time when so many of it are ready.
pub fn most_at_once(ready: usize) -> usize {
    let few = ready.div_ceil(PART_AT_ONCE).min(FEW_AT_ONCE);
    (ready / PART_AT_ONCE).max(few)
}

/// The weights that a replica should move to, if it has older ones.
fn target<'a>(record: &'a Record, weights: &WeightsValue) -> Option<(&'a str, u64)> {
    if record.state != State::Ready {
        return None;
    }
    record.models.iter().find_map(|model| {
        let named = weights.version_of(&model.name)?;
        (named > model.version).then_some((model.name.as_str(), named))
    })
}
