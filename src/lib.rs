//! steppick makes the decisions of a root node (aggregator) of a sharded search service: which replica
//! gets each part of a query, which parts get a twin, when to try again, when to reply and what to refuse.
//!
//! It does no I/O and reads no clock: tell it what happened with [`Aggregator::step`] and carry out the
//! actions it appends, in order.
//!
//! ```
//! use steppick::*;
//!
//! let class = Class {
//!     aim: 1000.0, deadline: 3000.0, worth: 1.0, late_share: 0.0, effect: Effect::Safe,
//!     whole_at: 1.0, floor: 1.0, partial_earns: 0.9, fetch: 0,
//! };
//! let settings = Settings {
//!     siblings: 2, zone: "a".into(), classes: vec![class], cells: 1, reach: 1, parts_a_call: 1,
//!     call_cost: 0.0, must_subscribe: false, ask_within: 10_000.0, period: 5.0, may_cancel: true,
//!     may_copy: true, may_probe: false, probe_reports: false, may_advise: true, advice_limit: 2000.0, try_limit: 3,
//!     cold_from: 0.2, cold_time: 10_000.0, fall_multiple: 3.0,
//!     overload_time: 1500.0, worth_by_work: false, cross_zone_fee: 0.0, probe_fee: 0.0, budget: None,
//! };
//! let mut aggregator = Aggregator::new(settings, 7);
//! let replica = Listed {
//!     id: ReplicaId(1), cell: 0, zone: "a".into(), model: "m".into(), size: 1.0, born: None,
//!     lifecycle: Lifecycle::On,
//! };
//! let mut actions = Vec::new();
//! let query = RequestId(1);
//! let part = RequestId(2);
//! aggregator.step(0.0, &[
//!     Event::List { kind: ListKind::Replace, entries: vec![replica] },
//!     Event::Query { id: query, class: 0, number: 0, parts: 1, expires_in: 2000.0, retry: false },
//!     Event::Part { id: part, number: 0, shard: 0, weight: 1.0, work: None },
//! ], &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { part: p, .. } if *p == part)));
//!
//! actions.clear();
//! let done = Event::Done {
//!     part, attempt: 0, replica: ReplicaId(1), outcome: Outcome::Pass, elapsed: 40.0,
//! };
//! aggregator.step(40.0, &[done], &mut actions);
//! assert!(actions.contains(&Action::Answer { query, whole: true }));
//! ```
#![warn(missing_docs)]

pub mod cli;
pub mod core;
pub mod favours;
mod interface;
pub mod members;
pub mod net;
pub mod opensearch;
pub mod platform;
mod policy;
pub mod settings;
pub mod wire;

pub use interface::*;
pub use policy::Aggregator;
