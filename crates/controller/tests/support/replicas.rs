//! Simulated replicas: they send heartbeats, take orders and answer questions.

use std::collections::{BTreeMap, BTreeSet};

use catalog::ModelVersion;
use controller::duty::moves::{ReplicaCall, Report};
use controller::machine::Input;

const BEAT_EVERY_MS: u64 = 1_200;
/// A report shows things as they stood so long ago.
const REPORT_LAG_MS: u64 = 200;

pub struct SimReplica {
    pub version: u64,
    pub beat: u64,
    pub last: u8,
    pub next_beat: u64,
    loading: Option<(u64, u64)>,
    orders: u64,
    /// The highest fence seen.
    fence: u64,
    /// Version as it was shown in reports, with since when.
    history: Vec<(u64, u64)>,
}

/// An order that a replica got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ordered {
    pub at: u64,
    pub host: usize,
    pub replica: String,
    pub fence: u64,
    pub version: u64,
    pub status: u16,
}

#[derive(Default)]
pub struct Replicas {
    pub all: BTreeMap<String, SimReplica>,
    pub orders: Vec<Ordered>,
    /// How long new weights take.
    pub load_ms: u64,
    /// Most loads that were under way at a time.
    pub most_loading: usize,
    /// Replicas that send heartbeats but answer no call.
    pub silent: BTreeSet<String>,
    /// Paths between controllers and replicas that are cut.
    pub cut: BTreeSet<(usize, String)>,
    /// Number of `GET /report` calls.
    pub reports: usize,
    /// Orders to these replicas are not answered, and reach them so much later, ms.
    pub late: BTreeMap<String, u64>,
    /// Orders that have not reached their replica yet.
    pub on_their_way: Vec<LateOrder>,
}

/// An order that reaches its replica long after it was given up.
pub struct LateOrder {
    arrives: u64,
    replica: String,
    version: u64,
    fence: u64,
    expected: u64,
}

impl Replicas {
    pub fn add(&mut self, id: &str, last: u8, version: u64, now: u64) {
        let history = vec![(0, version)];
        let replica = SimReplica {
            version,
            beat: 0,
            last,
            next_beat: now,
            loading: None,
            orders: 0,
            fence: 0,
            history,
        };
        self.all.insert(id.to_string(), replica);
    }

    /// Replicas whose heartbeat is due: id, last byte of the address, number and version.
    pub fn due(&mut self, now: u64) -> Vec<(String, u8, u64, u64)> {
        self.take_late_orders(now);
        let mut due = Vec::new();
        for (id, replica) in &mut self.all {
            if let Some((version, done)) = replica.loading {
                if now >= done {
                    replica.version = version;
                    replica.loading = None;
                    replica.history.push((now, version));
                }
            }
            if now >= replica.next_beat {
                replica.next_beat = now + BEAT_EVERY_MS;
                replica.beat += 1;
                due.push((id.clone(), replica.last, replica.beat, replica.version));
            }
        }
        due
    }

    /// A replica's heartbeat was not read yet.
    pub fn beat_again(&mut self, id: &str, at: u64) {
        if let Some(replica) = self.all.get_mut(id) {
            replica.next_beat = at;
        }
    }

    /// Whether nothing passes between a controller and a replica.
    pub fn is_cut(&self, host: usize, replica: &str) -> bool {
        self.cut.contains(&(host, replica.to_string()))
    }

    fn is_mute(&self, host: usize, replica: &str) -> bool {
        self.silent.contains(replica) || self.is_cut(host, replica)
    }

    /// Takes a call; what the controller is told.
    pub fn take(&mut self, now: u64, host: usize, call: &ReplicaCall) -> Input {
        match call {
            ReplicaCall::Order { replica, .. } if self.is_mute(host, replica) => {
                Input::Ordered { replica: replica.clone(), status: None }
            }
            ReplicaCall::Report { replica, .. } if self.is_mute(host, replica) => {
                Input::Reported { replica: replica.clone(), report: None }
            }
            ReplicaCall::Order { replica, version, fence, expected, .. }
                if self.late.contains_key(replica) =>
            {
                let (version, fence, expected) = (*version, *fence, *expected);
                let arrives = now + self.late[replica];
                let replica = replica.clone();
                self.on_their_way.push(LateOrder {
                    arrives,
                    replica: replica.clone(),
                    version,
                    fence,
                    expected,
                });
                Input::Ordered { replica, status: None }
            }
            ReplicaCall::Order { replica, version, fence, expected, .. } => {
                let status = self.order(now, replica, *version, *fence, *expected);
                if let Some(status) = status {
                    let (replica, fence, version) = (replica.clone(), *fence, *version);
                    self.orders.push(Ordered { at: now, host, replica, fence, version, status });
                }
                Input::Ordered { replica: replica.clone(), status }
            }
            ReplicaCall::Report { replica, .. } => {
                self.reports += 1;
                Input::Reported { replica: replica.clone(), report: self.report(now, replica) }
            }
        }
    }

    /// Orders that were on their way for long arrive; nobody waits for their answers.
    fn take_late_orders(&mut self, now: u64) {
        let (due, later) =
            std::mem::take(&mut self.on_their_way).into_iter().partition(|one| one.arrives <= now);
        self.on_their_way = later;
        let due: Vec<LateOrder> = due;
        for one in due {
            self.order(now, &one.replica, one.version, one.fence, one.expected);
        }
    }

    /// A replica has other weights than before, whoever gave them to it.
    pub fn set_version(&mut self, now: u64, id: &str, version: u64) {
        if let Some(replica) = self.all.get_mut(id) {
            replica.version = version;
            replica.loading = None;
            replica.history.push((now, version));
        }
    }

    /// A replica has seen this fence, whoever used it.
    pub fn see_fence(&mut self, id: &str, fence: u64) {
        if let Some(replica) = self.all.get_mut(id) {
            replica.fence = replica.fence.max(fence);
        }
    }

    fn order(&mut self, now: u64, id: &str, version: u64, fence: u64, expected: u64) -> Option<u16> {
        let load_ms = self.load_ms;
        let replica = self.all.get_mut(id)?;
        if fence < replica.fence {
            return Some(412);
        }
        replica.fence = fence;
        if replica.version == version {
            return Some(200);
        }
        if replica.loading.is_some() || expected != replica.orders {
            return Some(409);
        }
        replica.orders += 1;
        replica.loading = Some((version, now + load_ms));
        let loading = self.all.values().filter(|replica| replica.loading.is_some()).count();
        self.most_loading = self.most_loading.max(loading);
        Some(202)
    }

    fn report(&self, now: u64, id: &str) -> Option<Report> {
        let replica = self.all.get(id)?;
        let shown_at = now.saturating_sub(REPORT_LAG_MS);
        let shown = replica.history.iter().rev().find(|(since, _)| *since <= shown_at);
        let version = shown.map_or(replica.version, |(_, version)| *version);
        let models = vec![ModelVersion { name: "m".to_string(), version }];
        Some(Report { models, busy: replica.loading.is_some(), call_count: replica.orders })
    }
}
