//! The proxy of the router fleet: it takes clients' requests, sends each to a replica of its route's service, and
//! passes the answer back. One process on every edge machine; its view of the fleet comes from the agent beside it.
//!
//! One thread, a task for each connection. What is decided is decided in [`dispatch`], [`View`] and [`Plan`], which do
//! no I/O; the tasks here move bytes.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod answer;
mod attempt;
mod client;
mod connection;
mod deadline;
mod ending;
mod error;
mod event;
mod exchange;
mod executor;
mod histogram;
mod lags;
mod lifecycle;
mod link;
mod metrics;
mod opening;
mod outgoing;
mod plan;
mod pool;
mod readiness;
mod relay;
mod run;
mod run_queue;
mod shared;
mod upstream;
mod urgency;
mod view;

pub use dispatch::{Mechanism, Mechanisms};
pub use ending::{Ending, EndingCounts};
pub use error::ProxyError;
pub use event::ProxyEvent;
pub use executor::{Executor, SharedQueue, Spawner, Task, POLLS_AT_ONCE};
pub use histogram::{Histogram, BOUNDS_MS};
pub use lags::Lags;
pub use lifecycle::{Lifecycle, Phase};
pub use metrics::Metrics;
pub use outgoing::{request_bytes, SendFacts};
pub use plan::{Plan, Refusal};
pub use run::{run, serve, Sockets, Tuning};
pub use run_queue::{RunQueue, Stage, TaskId, MOST_WAIT};
pub use urgency::{Ranks, Urgency};
pub use view::{View, ViewAnswer};
