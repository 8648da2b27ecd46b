//! What the tasks of the process share. One thread: no locks.

use crate::ending::{Ending, EndingCounts};
use crate::event::EventLimit;
use crate::executor::SharedQueue;
use crate::lags::Lags;
use crate::lifecycle::{Lifecycle, Phase};
use crate::pool::Pool;
use crate::view::View;
use configuration::Limits;
use dispatch::Ms;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use settings::ProcessSettings;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Part of the process's memory that bodies of requests may take.
const BODY_PART: f64 = 0.25;

/// What the tasks share.
#[derive(Debug)]
pub(crate) struct Shared {
    started: Instant,
    /// The settings of the process.
    pub settings: RefCell<ProcessSettings>,
    /// The view of the fleet.
    pub view: RefCell<View>,
    /// Resting connections to replicas.
    pub pool: RefCell<Pool>,
    /// Where in its life the process is.
    pub lifecycle: Cell<Lifecycle>,
    /// Requests that were read and not answered.
    pub under_way: Cell<usize>,
    /// How requests have ended.
    pub endings: RefCell<EndingCounts>,
    /// How far behind the process is.
    pub lags: RefCell<Lags>,
    /// The order in which clients' connections are served.
    pub run_queue: Arc<SharedQueue>,
    /// The generator of the process.
    pub random: RefCell<SmallRng>,
    /// Bounds the log.
    pub event_limit: EventLimit,
    /// Rings when the phase of life may have changed.
    pub phase_changed: Notify,
    /// Rings when the view of the fleet has changed.
    pub view_changed: Notify,
    /// Versions of weights were named.
    pub weights_named: Notify,
    body_bytes: Cell<usize>,
}

impl Shared {
    pub fn new(settings: ProcessSettings, seed: u64) -> Shared {
        let view = View::new(bounds(&settings), seed, 0.0);
        let grace = settings.bounds.grace_s * 1000.0;
        Shared {
            started: Instant::now(),
            settings: RefCell::new(settings),
            view: RefCell::new(view),
            pool: RefCell::default(),
            lifecycle: Cell::new(Lifecycle::new(grace)),
            under_way: Cell::new(0),
            endings: RefCell::default(),
            lags: RefCell::default(),
            run_queue: Arc::default(),
            random: RefCell::new(SmallRng::seed_from_u64(seed.wrapping_add(1))),
            event_limit: EventLimit::default(),
            phase_changed: Notify::new(),
            view_changed: Notify::new(),
            weights_named: Notify::new(),
            body_bytes: Cell::new(0),
        }
    }

    /// The time since the process started, ms.
    pub fn now(&self) -> Ms {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// The time of an instant on the process's clock; below 0 before its start.
    pub fn time(&self, at: Instant) -> Ms {
        let since = at.saturating_duration_since(self.started).as_secs_f64();
        let before = self.started.saturating_duration_since(at).as_secs_f64();
        (since - before) * 1000.0
    }

    /// The instant of a time on the process's clock.
    pub fn instant(&self, at: Ms) -> Instant {
        self.started + std::time::Duration::from_secs_f64(at.max(0.0) / 1000.0)
    }

    pub fn phase(&self) -> Phase {
        self.lifecycle.get().phase(self.now(), self.under_way.get())
    }

    /// SIGTERM came.
    pub fn end(&self) {
        let mut lifecycle = self.lifecycle.get();
        lifecycle.end(self.now());
        self.lifecycle.set(lifecycle);
        self.phase_changed.notify_waiters();
    }

    /// Takes settings that were read anew: bounds only, addresses stay.
    pub fn take_settings(&self, settings: ProcessSettings) {
        self.view.borrow_mut().dispatcher.set_bounds(bounds(&settings));
        let mut lifecycle = self.lifecycle.get();
        lifecycle.grace = settings.bounds.grace_s * 1000.0;
        self.lifecycle.set(lifecycle);
        self.settings.borrow_mut().bounds = settings.bounds;
    }

    /// The limits for clients in force.
    pub fn limits(&self) -> Limits {
        self.view.borrow().in_force().map(|in_force| in_force.configuration.limits()).unwrap_or_default()
    }

    /// Ends once the view of the fleet is complete.
    pub async fn view_complete(&self) {
        loop {
            let changed = self.view_changed.notified();
            if self.view.borrow().is_complete() {
                return;
            }
            changed.await;
        }
    }

    /// Whether clients are to be sent here.
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving && self.view.borrow().is_complete()
    }

    /// Reserves memory for a request's body; `None` if there is none left.
    pub fn reserve(self: &Rc<Shared>, bytes: usize) -> Option<BodyRoom> {
        let most = (self.settings.borrow().caps.memory_mb as f64 * 1e6 * BODY_PART) as usize;
        let taken = self.body_bytes.get() + bytes;
        (taken <= most).then(|| {
            self.body_bytes.set(taken);
            BodyRoom { shared: self.clone(), bytes }
        })
    }
}

/// Memory reserved for a body, given back when dropped.
#[derive(Debug)]
pub(crate) struct BodyRoom {
    shared: Rc<Shared>,
    bytes: usize,
}

impl Drop for BodyRoom {
    fn drop(&mut self) {
        self.shared.body_bytes.set(self.shared.body_bytes.get() - self.bytes);
    }
}

/// Counts a request that is under way.
#[derive(Debug)]
pub(crate) struct UnderWay(Rc<Shared>);

impl UnderWay {
    pub fn new(shared: &Rc<Shared>) -> UnderWay {
        shared.under_way.set(shared.under_way.get() + 1);
        shared.endings.borrow_mut().count_taken();
        UnderWay(shared.clone())
    }

    /// The request has ended so.
    pub fn end(self, ending: Ending) {
        self.0.endings.borrow_mut().count_ended(ending);
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.0.under_way.set(self.0.under_way.get() - 1);
        if self.0.phase() != Phase::Serving {
            self.0.phase_changed.notify_waiters();
        }
    }
}

fn bounds(settings: &ProcessSettings) -> dispatch::Bounds {
    let bounds = &settings.bounds;
    dispatch::Bounds {
        retry_ratio: bounds.retry_ratio,
        retry_window: bounds.retry_window_s * 1000.0,
        extra_tries: bounds.extra_tries as f64,
        version: bounds.version_ms as f64,
        bad_share: bounds.bad_share,
    }
}
