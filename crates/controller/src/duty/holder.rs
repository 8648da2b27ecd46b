//! Who may give orders to replicas, as the duty register says.
//!
//! Only the holder of the register gives orders, and only for a short window after a renewal began that was
//! then decided. Another controller takes the duty when, by its own steady clock, the register has not
//! changed for that window and a whole lease: from the former's last possible order to the successor's
//! first a lease has passed, whatever the clocks of the machines say.
//!
//! A holder that is of no use gives the duty up though there is work: one that may never order, since its renewals take
//! longer than the window, and one whose orders no replica answers. It then lets others go first. A fence that a
//! replica refused is not used again: the holder takes a higher one at once. Nobody else can hold the duty meanwhile, by the
//! register, so the higher one stems from before.

use std::net::SocketAddrV4;

use crate::values::DutyValue;
use crate::Millis;

/// The part of a lease in which the holder may give orders after a renewal began.
const ORDER_WINDOW: u64 = 3;
/// The part of a lease after which the holder renews.
const RENEWAL: u64 = 8;
/// The holder gives the duty up after so long without work.
const IDLE_MS: Millis = 1_000;
/// Candidates take the duty one after the other, so that they don't collide.
const RANK_DELAY_MS: Millis = 400;
/// A holder that was of no use takes the duty again after so many leases at the earliest.
const YIELDED_LEASES: u64 = 3;
/// Added to what a successor waits: an order may take so long from its decision to its bytes on the wire.
const MARGIN_MS: Millis = 400;

/// What is known when a controller considers the duty.
#[derive(Debug, Clone, Copy)]
pub struct Circumstances {
    pub now: Millis,
    /// Whether there is anything to be ordered or watched.
    pub has_work: bool,
    /// This controller's place among those alive.
    pub rank: u64,
    /// Whether the last holder is alive.
    pub holder_alive: bool,
    /// Whether another controller could take the duty instead.
    pub has_others: bool,
    /// Whether no replica answers this controller's orders.
    pub is_unanswered: bool,
}

/// A change of the duty register that this controller wants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proposal {
    pub expected: Option<DutyValue>,
    pub value: DutyValue,
}

#[derive(Debug, Clone, Copy)]
struct Tenure {
    value: DutyValue,
    /// When the last renewal that was decided began.
    renewed: Millis,
}

/// One controller's view of the duty.
#[derive(Debug)]
pub struct Holder {
    me: SocketAddrV4,
    lease: Millis,
    current: Option<DutyValue>,
    /// When the current value was first seen here.
    learned: Millis,
    /// When there began to be work.
    work_since: Option<Millis>,
    /// When there last was work.
    worked: Millis,
    tenure: Option<Tenure>,
    proposed: Option<(Proposal, Millis)>,
    /// When this controller last could order, or took the duty.
    able: Millis,
    /// It does not take the duty before that.
    yields_until: Millis,
    /// The highest fence that was refused.
    refused_fence: u64,
}

impl Holder {
    /// `now` counts as the moment at which whatever the register holds was learned.
    pub fn new(now: Millis, me: SocketAddrV4, lease: Millis) -> Holder {
        Holder {
            me,
            lease,
            current: None,
            learned: now,
            work_since: None,
            worked: now,
            tenure: None,
            proposed: None,
            able: now,
            yields_until: 0,
            refused_fence: 0,
        }
    }

    /// A replica refused this fence, as it has seen a higher one: no order leaves under it any more, and the holder takes a
    /// higher one.
    pub fn fence_refused(&mut self, fence: u64) {
        self.refused_fence = self.refused_fence.max(fence);
    }

    /// Takes in what the register holds.
    pub fn learn(&mut self, now: Millis, value: Option<DutyValue>) {
        if self.current == value {
            return;
        }
        self.current = value;
        self.learned = now;
        if self.tenure.is_some_and(|tenure| !value.is_some_and(|value| continues(&value, &tenure.value))) {
            self.tenure = None;
        }
    }

    /// The fence under which orders may be given at this moment, if they may.
    pub fn may_order(&self, now: Millis) -> Option<u64> {
        let tenure = self.tenure.as_ref().filter(|tenure| !self.is_refused(tenure))?;
        (now < tenure.renewed + self.lease / ORDER_WINDOW).then_some(tenure.value.fence)
    }

    /// The controller that holds the duty, or held it last.
    pub fn last_holder(&self) -> Option<SocketAddrV4> {
        self.current.map(|current| current.holder())
    }

    /// Whether this controller holds the duty as far as it knows.
    pub fn is_mine(&self) -> bool {
        self.tenure.is_some()
    }

    /// What this controller wants of the register now, if anything. Another proposal is made only after
    /// [`Holder::settled`].
    pub fn consider(&mut self, circumstances: Circumstances) -> Option<Proposal> {
        let now = circumstances.now;
        if circumstances.has_work {
            self.work_since.get_or_insert(now);
            self.worked = now;
        } else {
            self.work_since = None;
        }
        if self.may_order(now).is_some() {
            self.able = now;
        }
        if self.proposed.is_some() {
            return None;
        }
        let value = match self.tenure {
            Some(tenure) if circumstances.has_others && self.is_useless(circumstances) => {
                self.yields_until = now + YIELDED_LEASES * self.lease;
                tenure.value.released(None)
            }
            Some(tenure) if self.is_refused(&tenure) => {
                DutyValue::held_by(self.me, self.next_fence(tenure.value.fence), tenure.value.renewals + 1)
            }
            Some(tenure) => self.continue_or_end(now, tenure)?,
            None => self.take_over(circumstances)?,
        };
        Some(self.propose(now, value))
    }

    fn is_refused(&self, tenure: &Tenure) -> bool {
        tenure.value.fence <= self.refused_fence
    }

    /// A fence above all that were used, as far as is known. A refusal does not tell how high the one was that the replica
    /// has seen: the next one is twice as high.
    fn next_fence(&self, used: u64) -> u64 {
        used.max(self.refused_fence.saturating_mul(2)).saturating_add(1)
    }

    /// Whether there is work and this holder can't do it: no order may leave, or none is answered.
    fn is_useless(&self, circumstances: Circumstances) -> bool {
        let may_never_order = circumstances.now >= self.able + self.lease;
        circumstances.has_work && (may_never_order || circumstances.is_unanswered)
    }

    fn continue_or_end(&self, now: Millis, tenure: Tenure) -> Option<DutyValue> {
        if now >= self.worked + IDLE_MS {
            return Some(tenure.value.released(None));
        }
        (now >= tenure.renewed + self.lease / RENEWAL).then(|| tenure.value.renewed())
    }

    fn take_over(&self, circumstances: Circumstances) -> Option<DutyValue> {
        let since = self.work_since?;
        if circumstances.now < self.yields_until {
            return None;
        }
        let Some(current) = self.current else {
            let mine = DutyValue::held_by(self.me, 1, 0);
            return (circumstances.now >= since + circumstances.rank * RANK_DELAY_MS).then_some(mine);
        };
        let waited = circumstances.now >= self.free_at(&current);
        let in_turn = circumstances.now >= since + self.delay(&current, circumstances);
        let mine = DutyValue::held_by(self.me, self.next_fence(current.fence), current.renewals + 1);
        (waited && in_turn).then_some(mine)
    }

    /// From when on nobody else can have given an order within a lease.
    fn free_at(&self, current: &DutyValue) -> Millis {
        if current.holder() == self.me {
            return self.learned;
        }
        let window = if current.is_released() { 0 } else { self.lease / ORDER_WINDOW };
        self.learned + self.lease + window + MARGIN_MS
    }

    /// How long this controller lets others go first.
    fn delay(&self, current: &DutyValue, circumstances: Circumstances) -> Millis {
        let first = match current.successor() {
            Some(successor) => successor == self.me,
            None => current.holder() == self.me,
        };
        let others_first = circumstances.holder_alive || current.successor().is_some();
        match (first, others_first) {
            (true, _) => 0,
            (false, true) => (2 + circumstances.rank) * RANK_DELAY_MS,
            (false, false) => circumstances.rank * RANK_DELAY_MS,
        }
    }

    /// Gives the duty up in favour of `successor`. Orders may no longer be given from now on.
    pub fn release(&mut self, now: Millis, successor: Option<SocketAddrV4>) -> Option<Proposal> {
        let tenure = self.tenure.take()?;
        let expected = self.current.unwrap_or(tenure.value);
        let proposal = Proposal { expected: Some(expected), value: tenure.value.released(successor) };
        self.proposed = Some((proposal, now));
        Some(proposal)
    }

    fn propose(&mut self, now: Millis, value: DutyValue) -> Proposal {
        let proposal = Proposal { expected: self.current, value };
        if value.is_released() {
            self.tenure = None;
        }
        self.proposed = Some((proposal, now));
        proposal
    }

    /// The proposal ended; `decided` if it surely took effect.
    pub fn settled(&mut self, now: Millis, decided: bool) {
        let Some((proposal, began)) = self.proposed.take() else { return };
        if !decided {
            return;
        }
        self.learn(now, Some(proposal.value));
        if proposal.value.holder() == self.me && !proposal.value.is_released() {
            if self.tenure.is_none() {
                self.able = now;
            }
            self.tenure = Some(Tenure { value: proposal.value, renewed: began });
        }
    }
}

/// Whether a value is the same tenure, renewed at most.
fn continues(value: &DutyValue, tenure: &DutyValue) -> bool {
    value.holder() == tenure.holder() && value.fence == tenure.fence && !value.is_released()
}
