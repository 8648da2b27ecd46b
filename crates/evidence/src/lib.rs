//! Estimators for a coordinator that sees little of a large fleet. They tell what was seen and how much it still
//! counts; what follows from it is decided elsewhere. No I/O; the time is passed in, in milliseconds.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::collections::VecDeque;

/// Milliseconds, as a clock value or a length of time.
pub type Ms = f64;

/// A mean whose samples come at odd times: the seldomer they come, the more the newest one counts.
#[derive(Debug, Clone, Copy, Default)]
pub struct Sparse {
    /// The mean; 0 before any sample.
    pub mean: f64,
    at: Ms,
}

impl Sparse {
    /// Takes a sample in. `least` is its least weight and `first` that of the very first one, against `prior`;
    /// after `fresh` ms without any, the newest sample is most of the mean.
    pub fn learn(&mut self, sample: f64, now: Ms, (least, first): (f64, f64), prior: f64, fresh: Ms) {
        let rare = 1.0 - ((self.at - now) / fresh).exp();
        let (from, weight) = if self.mean > 0.0 { (self.mean, least.max(rare)) } else { (prior, first) };
        (self.mean, self.at) = (from + weight * (sample - from), now);
    }
}

/// A mean over all that is seen, which falls back to 1 while nothing is.
#[derive(Debug, Clone, Copy)]
pub struct Pooled {
    /// The mean.
    pub mean: f64,
    weight: f64,
    forget: Ms,
}

impl Pooled {
    /// A mean of 1, with the weight of a new sample and the time in which old ones are forgotten.
    pub fn new((weight, forget): (f64, Ms)) -> Self {
        Pooled { mean: 1.0, weight, forget }
    }

    /// Takes a sample in.
    pub fn learn(&mut self, sample: f64) {
        self.mean += self.weight * (sample - self.mean);
    }

    /// So much time has passed.
    pub fn pass(&mut self, time: Ms) {
        self.mean += (1.0 - (-time / self.forget).exp()) * (1.0 - self.mean);
    }
}

/// One sharer's part of an allowance that accrues for all, for what can only be taken whole.
///
/// Where a sharer earns a whole piece more slowly than chances to use one come, saving up has two faults: pieces lie idle
/// with whoever has no use for them, and in a rush all that was saved is spent at once. With a draw, each chance takes
/// what was earned since the one before, and gets a piece with the probability that this pays for.
#[derive(Debug, Clone, Copy, Default)]
pub struct Share {
    earned: Ms,
}

impl Share {
    /// So much was earned; no more than `most` is kept.
    pub fn earn(&mut self, amount: Ms, most: Ms) {
        self.earned = (self.earned + amount).min(most);
    }

    /// A chance to use a piece at `cost`: whether it may be. `draw`, uniform in [0, 1), spends what was earned either way;
    /// without one, it is saved until it pays for the piece.
    pub fn draw(&mut self, cost: Ms, draw: Option<f64>) -> bool {
        let pays = self.earned > 0.0 && self.earned >= draw.unwrap_or(1.0) * cost;
        if draw.is_some() || pays {
            self.earned = 0.0;
        }
        pays
    }
}

/// The value that most samples have, by majority vote in constant space (Boyer and Moore, 1981), with a bound on the
/// votes so that a new majority is soon believed.
#[derive(Debug, Clone, Copy, Default)]
pub struct Majority {
    value: f64,
    votes: u32,
}

impl Majority {
    /// Takes a sample in; tells whether it differs by more than `slack` from a value that has over `sure` votes.
    pub fn differs(&mut self, sample: f64, slack: f64, (sure, most): (u32, u32)) -> bool {
        let same = (sample - self.value).abs() < slack;
        (self.value, self.votes) = match self.votes {
            votes if same => (self.value, (votes + 1).min(most)),
            0 => (sample, 1),
            votes => (self.value, votes - 1),
        };
        !same && self.votes > sure
    }
}

/// How gaps without news of anybody are judged.
#[derive(Debug, Clone, Copy)]
pub struct Gaps {
    /// A gap of so many usual ones and at least so many ms: all silence in it is over with it.
    pub long: (f64, Ms),
    /// A gap of so many ms, and as many usual ones: what it held up is on its way for so long after it.
    pub short: (Ms, Ms),
    /// The longest time that silence of all can count for.
    pub longest: Ms,
    /// Weight of a new gap in the usual one.
    pub weight: f64,
}

/// When anybody was heard of: while all are silent, the cause is not with one of them.
#[derive(Debug, Clone, Copy)]
pub struct Hearing {
    gaps: Gaps,
    heard: Ms,
    usual: Ms,
    settling: (Ms, Ms),
    /// What was not answered before then blames nobody.
    pub awake: Ms,
}

impl Hearing {
    /// Nothing was heard yet.
    pub fn new(gaps: Gaps) -> Self {
        let never = f64::NEG_INFINITY;
        let usual = gaps.longest / gaps.long.0;
        Hearing { gaps, heard: never, usual, settling: (0.0, never), awake: never }
    }

    /// Somebody was heard of.
    pub fn heard(&mut self, now: Ms) {
        let gap = now - std::mem::replace(&mut self.heard, now);
        let usual = self.gaps.long.0 * self.usual;
        if gap > self.gaps.long.1.max(usual) {
            self.awake = now;
        } else if gap > self.gaps.short.0.max(usual) {
            self.settling = (now - gap, now + self.gaps.short.1);
        }
        self.usual += self.gaps.weight * (gap.min(self.gaps.longest) - self.usual);
    }

    /// Until when silence tells of who is silent.
    pub fn seen_until(&self, now: Ms) -> Ms {
        let (before, until) = self.settling;
        if now < until {
            before
        } else {
            self.heard.max(now - self.gaps.longest)
        }
    }
}

/// What a budget over a sliding window leaves.
#[derive(Debug, Clone, Default)]
pub struct Allowance {
    earned: VecDeque<Ms>,
    spent: VecDeque<Ms>,
}

impl Allowance {
    /// Something came that earns a share.
    pub fn earn(&mut self, now: Ms) {
        self.earned.push_back(now);
    }

    /// One was spent.
    pub fn spend(&mut self, now: Ms) {
        self.spent.push_back(now);
    }

    /// What is left of `free` and a `share` of what was earned in the `window`, and all of it. What was earned in the
    /// first `slack` ms of the window no longer counts: others may see it pass earlier.
    pub fn left(&mut self, now: Ms, (free, share, window): (f64, f64, Ms), slack: Ms) -> (f64, f64) {
        let from = now - window;
        while self.spent.front().is_some_and(|at| *at < from) {
            self.spent.pop_front();
        }
        while self.earned.front().is_some_and(|at| *at <= from + slack) {
            self.earned.pop_front();
        }
        let all = free + share * self.earned.len() as f64;
        (all - self.spent.len() as f64, all)
    }
}
