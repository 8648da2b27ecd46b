//! The retry budget of one proxy for one service: its part of what the whole fleet may send after first sends.
//!
//! The fleet's bound: in any span of the window's length, the replicas of a service get at most `ratio` x requests +
//! `extra` sends after the first of each request. Each proxy stays under `ratio` x its own requests + its part of half
//! of `extra`; the other half covers proxies that were restarted or are not counted yet.

use evidence::{Allowance, Ms};

/// How much later than it left a send may arrive, ms: spans are counted by arrival.
const TRANSIT: Ms = 1000.0;
/// The part of the fixed allowance that is handed out.
const HANDED_OUT: f64 = 0.5;
/// The part of the ratio that is used: requests are judged by windows that this proxy's window lies across, and the
/// fullest of them may hold no more than this part of its requests.
const RATIO_USED: f64 = 0.75;

/// The fleet's bound and how many share it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// Sends after the first for each request.
    pub ratio: f64,
    /// The sliding window, ms.
    pub window: Ms,
    /// Sends after the first that the whole fleet may make besides, in a window.
    pub extra: f64,
    /// The number of proxies that share `extra`.
    pub proxies: u32,
}

/// What one proxy has earned and spent for one service.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    allowance: Allowance,
    started: Ms,
}

impl RetryBudget {
    /// A budget of a process that started at `started`: it has nothing free for a window, because the process before
    /// it may have spent it.
    pub fn new(started: Ms) -> RetryBudget {
        RetryBudget { allowance: Allowance::default(), started }
    }

    /// A client asked for something of the service.
    pub fn request(&mut self, now: Ms) {
        self.allowance.earn(now);
    }

    /// A send after the first of its request leaves.
    pub fn spend(&mut self, now: Ms) {
        self.allowance.spend(now);
    }

    /// Sends that are left, and all that there are with none spent.
    pub fn left(&mut self, now: Ms, limits: &BudgetLimits) -> (f64, f64) {
        let window = limits.window + TRANSIT;
        let is_new = now - self.started < window;
        let part = HANDED_OUT * limits.extra / f64::from(limits.proxies.max(1));
        let free = if is_new { 0.0 } else { part };
        self.allowance.left(now, (free, RATIO_USED * limits.ratio, window), 2.0 * TRANSIT)
    }

    /// Whether one more send after the first may leave.
    pub fn allows(&mut self, now: Ms, limits: &BudgetLimits) -> bool {
        self.left(now, limits).0 >= 1.0
    }
}
