//! A small hand-driven world around one aggregator: no bench, no clock.
#![allow(dead_code)]

use steppick::*;

pub fn class() -> Class {
    Class {
        aim: 1000.0,
        deadline: 3000.0,
        worth: 1.0,
        late_share: 0.0,
        effect: Effect::Safe,
        whole_at: 1.0,
        floor: 1.0,
        partial_earns: 0.9,
        fetch: 0,
    }
}

pub fn settings() -> Settings {
    Settings {
        siblings: 2,
        zone: "a".into(),
        classes: vec![class()],
        cells: 1,
        reach: 1,
        parts_a_call: 1,
        call_cost: 0.0,
        must_subscribe: false,
        ask_within: 10_000.0,
        period: 5.0,
        may_cancel: true,
        may_copy: true,
        may_probe: false,
        probe_reports: false,
        may_advise: true,
        advice_limit: 2000.0,
        try_limit: 3,
        cold_from: 0.2,
        cold_time: 10_000.0,
        fall_multiple: 3.0,
        overload_time: 1500.0,
        worth_by_work: false,
        cross_zone_fee: 0.0,
        probe_fee: 0.0,
        budget: None,
    }
}

pub fn listed(id: u32, cell: usize) -> Listed {
    Listed { id: ReplicaId(id), cell, zone: "a".into(), model: "m".into(), size: 1.0, ..Listed::default() }
}

pub fn with(id: u32, cell: usize, lifecycle: Lifecycle) -> Listed {
    Listed { lifecycle, ..listed(id, cell) }
}

pub fn list(kind: ListKind, entries: Vec<Listed>) -> Event {
    Event::List { kind, entries }
}

pub struct World {
    pub aggregator: Aggregator,
    pub now: f64,
    next: u64,
    number: u64,
}

/// An attempt as sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sent {
    pub part: RequestId,
    pub attempt: usize,
    pub replica: ReplicaId,
    pub at: f64,
}

impl World {
    pub fn new(settings: Settings, replicas: Vec<Listed>) -> (World, Vec<Action>) {
        let mut world =
            World { aggregator: Aggregator::new(settings, 11), now: 50_000.0, next: 1, number: 0 };
        let actions = world.step(&[list(ListKind::Restored, replicas)]);
        (world, actions)
    }

    pub fn step(&mut self, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.aggregator.step(self.now, events, &mut actions);
        actions
    }

    /// Moves on in ticks of 10 ms and gathers what is done.
    pub fn pass_time(&mut self, length: f64) -> Vec<Action> {
        let end = self.now + length;
        let mut actions = Vec::new();
        while self.now < end {
            self.now += 10.0;
            actions.extend(self.step(&[Event::Woken]));
        }
        actions
    }

    /// The events of a query with parts at these shards and weights; also its id and those of the parts.
    pub fn query(&mut self, class: usize, parts: &[(usize, f64)]) -> (RequestId, Vec<RequestId>, Vec<Event>) {
        let id = RequestId(self.next);
        let number = self.number;
        let query = Event::Query { id, class, number, parts: parts.len(), expires_in: 2000.0, retry: false };
        let mut events = vec![query];
        let mut ids = Vec::new();
        for (n, (shard, weight)) in parts.iter().enumerate() {
            let part = RequestId(self.next + 1 + n as u64);
            events.push(Event::Part { id: part, number, shard: *shard, weight: *weight, work: None });
            ids.push(part);
        }
        self.next += 1 + parts.len() as u64;
        self.number += 1;
        (id, ids, events)
    }

    /// More parts for the second step of the latest query.
    pub fn more_parts(&mut self, parts: &[(usize, f64)]) -> (Vec<RequestId>, Vec<Event>) {
        let number = self.number - 1;
        let mut ids = Vec::new();
        let mut events = Vec::new();
        for (shard, weight) in parts {
            let id = RequestId(self.next);
            self.next += 1;
            events.push(Event::Part { id, number, shard: *shard, weight: *weight, work: None });
            ids.push(id);
        }
        (ids, events)
    }

    /// One query of one part at shard 0: the first replica it was sent to, and all actions.
    pub fn ask(&mut self) -> (RequestId, RequestId, Vec<Action>) {
        let (query, parts, events) = self.query(0, &[(0, 1.0)]);
        let actions = self.step(&events);
        (query, parts[0], actions)
    }

    pub fn done(&mut self, part: RequestId, attempt: usize, outcome: Outcome, elapsed: f64) -> Vec<Action> {
        let replica = ReplicaId(0);
        self.step(&[Event::Done { part, attempt, replica, outcome, elapsed }])
    }

    /// Serves one-part queries one after the other, so that times are learned.
    pub fn train(&mut self, queries: usize, elapsed: f64) {
        for _ in 0..queries {
            let (_, part, actions) = self.ask();
            self.now += elapsed;
            for attempt in 0..sends(&actions).len() {
                let outcome = if attempt == 0 { Outcome::Pass } else { Outcome::Cancelled };
                self.done(part, attempt, outcome, elapsed);
            }
            self.now += 5.0;
        }
    }
}

pub fn sends(actions: &[Action]) -> Vec<(RequestId, ReplicaId)> {
    let sent = |action: &Action| match action {
        Action::Send { part, replica, .. } => Some((*part, *replica)),
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}

pub fn finals(actions: &[Action], query: RequestId) -> Vec<Action> {
    let ends = |action: &&Action| match action {
        Action::Answer { query: q, .. } | Action::Refuse { query: q, .. } | Action::Fail { query: q, .. } => {
            *q == query
        }
        _ => false,
    };
    actions.iter().filter(ends).cloned().collect()
}
