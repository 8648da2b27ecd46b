//! How fast the replicas of one service read prompts and how long their calls take, learned from answers.

use crate::choose::ReadRate;
use evidence::Ms;

/// Prompt tokens that a replica reads in a ms until answers tell.
const FIRST_RATE: f64 = 40.0;
/// Fewest unread tokens of a call that tells of the rate.
const TELLING_TOKENS: f64 = 1_000.0;
/// Weight of a sample faster than the rate: only a call that waited for nothing shows it.
const FASTER_WEIGHT: f64 = 0.5;
/// Weight of a sample slower than the rate.
const SLOWER_WEIGHT: f64 = 0.01;
/// Bounds of the rate, tokens in a ms.
const RATE_BOUNDS: (f64, f64) = (1.0, 10_000.0);
/// How long a call takes until calls tell, ms.
const FIRST_DURATION: Ms = 300.0;
/// Weight of a new call's duration.
const DURATION_WEIGHT: f64 = 0.05;

/// What was learned of a service's replicas.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Speed {
    rate: f64,
    duration: Ms,
}

impl Default for Speed {
    fn default() -> Speed {
        Speed { rate: FIRST_RATE, duration: FIRST_DURATION }
    }
}

impl Speed {
    /// A call's first piece came after this time, with so many tokens not kept at the replica.
    pub fn began(&mut self, unread_tokens: f64, after: Ms) {
        if unread_tokens < TELLING_TOKENS || after <= 0.0 {
            return;
        }
        let sample = (unread_tokens / after).clamp(RATE_BOUNDS.0, RATE_BOUNDS.1);
        let weight = if sample > self.rate { FASTER_WEIGHT } else { SLOWER_WEIGHT };
        self.rate += weight * (sample - self.rate);
    }

    /// A call took this time as a whole.
    pub fn ended(&mut self, duration: Ms) {
        self.duration += DURATION_WEIGHT * (duration - self.duration);
    }

    pub fn rate(&self) -> ReadRate {
        ReadRate(self.rate)
    }

    pub fn duration(&self) -> Ms {
        self.duration
    }
}
