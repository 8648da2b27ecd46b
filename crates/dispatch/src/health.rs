//! What a proxy saw of a replica, and for how long it counts.

use evidence::Ms;

/// How long a replica that failed is avoided at first, ms; doubles with each failure in a row.
const AVOID_FIRST: Ms = 200.0;
/// The longest time for which a failure counts, ms.
const AVOID_MOST: Ms = 5_000.0;
/// How long a replica that was full is left alone at first, ms; doubles with each time in a row.
const FULL_FIRST: Ms = 60.0;
/// The longest time for which a full replica is left alone, ms.
const FULL_MOST: Ms = 500.0;
/// How long a replica counts as gone whose address answered as another one, ms: a beat would tell by then.
const ELSEWHERE: Ms = 3_000.0;
/// Broken answers in a row from which on a replica is avoided: a single one may be the network's.
const BROKEN_IN_A_ROW: u32 = 2;
/// Time in which a seen delay loses all but a third of its weight, ms.
const DELAY_FADES: Ms = 1_500.0;
/// Weight of a new delay.
const DELAY_WEIGHT: f64 = 0.4;

/// Evidence on one replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Health {
    avoid_until: Ms,
    failures: u32,
    broken: u32,
    full_until: Ms,
    fulls: u32,
    delay: Ms,
    delay_at: Ms,
}

impl Default for Health {
    fn default() -> Health {
        let never = f64::NEG_INFINITY;
        Health {
            avoid_until: never,
            failures: 0,
            broken: 0,
            full_until: never,
            fulls: 0,
            delay: 0.0,
            delay_at: 0.0,
        }
    }
}

impl Health {
    /// It could not be reached.
    pub fn unreached(&mut self, now: Ms) {
        self.failures += 1;
        let doubled = AVOID_FIRST * f64::from(1_u32 << (self.failures - 1).min(10));
        self.avoid_until = now + doubled.min(AVOID_MOST);
    }

    /// It broke off, sent what is no answer, or stayed silent to the deadline.
    pub fn broken(&mut self, now: Ms) {
        self.broken += 1;
        if self.broken >= BROKEN_IN_A_ROW {
            self.unreached(now);
        }
    }

    /// Another replica has its address.
    pub fn elsewhere(&mut self, now: Ms) {
        self.avoid_until = self.avoid_until.max(now + ELSEWHERE);
    }

    /// It turned a request away because it is full; it may have told when to come back.
    pub fn full(&mut self, now: Ms, retry_after: Option<Ms>) {
        self.fulls += 1;
        let doubled = FULL_FIRST * f64::from(1_u32 << (self.fulls - 1).min(10));
        self.full_until = now + retry_after.unwrap_or(0.0).max(doubled).min(FULL_MOST);
    }

    /// It gave a sound answer.
    pub fn sound(&mut self) {
        (self.failures, self.broken, self.fulls) = (0, 0, 0);
        self.avoid_until = f64::NEG_INFINITY;
        self.full_until = f64::NEG_INFINITY;
    }

    /// A request waited so much longer for its first piece than reading its prompt takes, ms.
    pub fn delayed(&mut self, delay: Ms, now: Ms) {
        let before = self.delay(now);
        self.delay = before + DELAY_WEIGHT * (delay - before);
        self.delay_at = now;
    }

    /// The delay to expect from what was seen lately, ms.
    pub fn delay(&self, now: Ms) -> Ms {
        self.delay * (-(now - self.delay_at).max(0.0) / DELAY_FADES).exp()
    }

    /// Whether it is avoided.
    pub fn is_avoided(&self, now: Ms) -> bool {
        now < self.avoid_until
    }

    /// Whether it is full, as far as is known.
    pub fn is_full(&self, now: Ms) -> bool {
        now < self.full_until
    }

    /// Until when it counts as full.
    pub fn full_until(&self) -> Ms {
        self.full_until
    }
}
