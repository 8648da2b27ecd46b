//! What a proposal does with the answers of acceptors.

use super::{
    Accepting, Decision, Finished, Outcome, Phase, Proposal, Querying, Surroundings, Work, MAX_ATTEMPTS,
};
use crate::ballot::Ballot;
use crate::message::{Call, Refusal, RegisterMessage};
use crate::set::{AcceptorId, AcceptorSet};
use crate::value::{Accepted, Body, Carried, Report, Value, MAX_VALUE_BYTES};

/// What follows the first round.
enum Next {
    /// Have `value` accepted; then the caller is told `outcome`.
    Accept { value: Accepted, outcome: Outcome },
    /// Nothing: the proposal ends.
    End(Finished),
}

impl Proposal {
    /// An acceptor told what it has accepted, without a promise.
    pub fn queried(
        &mut self,
        around: &mut Surroundings,
        from: AcceptorId,
        report: Report,
    ) -> Option<Finished> {
        let Phase::Querying(querying) = &mut self.phase else {
            return None;
        };
        if !around.set.contains(from) {
            return None;
        }
        querying.take(from, report, self.held.as_ref());
        if let Some(agreed) = querying.agreed(around.set) {
            return Some(read_finished(agreed));
        }
        if querying.is_hopeless(around.set) {
            self.back_off(around);
        }
        None
    }

    /// An acceptor promised, and told what it has accepted.
    pub fn promised(
        &mut self,
        around: &mut Surroundings,
        from: AcceptorId,
        report: Report,
    ) -> Option<Finished> {
        let Phase::Preparing(preparing) = &mut self.phase else {
            return None;
        };
        if !around.set.contains(from) || preparing.origins.contains_key(&from) {
            return None;
        }
        let (ballot, origin) = (report.ballot(), report.origin());
        let best_ballot = preparing.best.as_ref().map_or(Ballot::ZERO, |best| best.ballot);
        if let Report::Accepted(carried) = report {
            if carried.ballot > best_ballot {
                let resolved = resolve(carried, [self.held.as_ref(), preparing.best.as_ref()])?;
                preparing.best = Some(resolved);
            }
        }
        preparing.origins.insert(from, origin);
        preparing.ballots.push(ballot);
        if preparing.origins.len() < around.set.majority() {
            return None;
        }
        self.second_round(around)
    }

    fn second_round(&mut self, around: &mut Surroundings) -> Option<Finished> {
        let Phase::Preparing(preparing) = &mut self.phase else {
            return None;
        };
        let best = preparing.best.take();
        let is_chosen = best.as_ref().is_some_and(|best| preparing.ballots.iter().all(|b| *b == best.ballot));
        let origins = std::mem::take(&mut preparing.origins);
        let (value, outcome) = match self.next(best, is_chosen) {
            Next::Accept { value, outcome } => (value, outcome),
            Next::End(finished) => return Some(finished),
        };
        let holds = |origin: &Ballot| *origin == value.origin;
        let holders = origins.iter().filter(|(_, origin)| holds(origin)).map(|(id, _)| *id).collect();
        let (accepted, refused) = Default::default();
        self.phase = Phase::Accepting(Box::new(Accepting { value, holders, accepted, refused, outcome }));
        self.send_calls(around);
        None
    }

    /// What follows the highest accepted value of a majority that promised.
    fn next(&mut self, best: Option<Accepted>, is_chosen: bool) -> Next {
        if let Some(best) = &best {
            if let Some(version) = self.attempts.iter().rev().find(|attempt| best.includes(**attempt)) {
                let outcome = Outcome::Decided { version: *version, current: best.clone() };
                return self.confirm(best.clone(), outcome, is_chosen);
            }
            let is_lost = |attempt: &Ballot| best.covers(*attempt);
            if !self.attempts.iter().all(is_lost) || self.attempts.len() >= MAX_ATTEMPTS {
                return Next::End(self.give_up());
            }
        }
        let decision = match &self.work {
            Work::Read | Work::Settle => Decision::Keep,
            Work::Change(decide) => decide(best.as_ref()),
            Work::NextSet(default) => match (&best, default) {
                (None, Some(set)) => Decision::Write(set.clone()),
                _ => Decision::Keep,
            },
        };
        match decision {
            Decision::Write(value) => self.change(best, value),
            Decision::Keep => self.keep(best, is_chosen),
        }
    }

    fn change(&mut self, best: Option<Accepted>, value: Value) -> Next {
        if value.bytes().len() > MAX_VALUE_BYTES {
            return Next::End(self.give_up_as(Outcome::TooLong));
        }
        let lineage = best.map_or_else(Vec::new, |best| best.next_lineage());
        let value = Accepted { ballot: self.ballot, origin: self.ballot, lineage, value };
        self.attempts.push(self.ballot);
        let outcome = Outcome::Decided { version: self.ballot, current: value.clone() };
        Next::Accept { value, outcome }
    }

    fn keep(&mut self, best: Option<Accepted>, is_chosen: bool) -> Next {
        let outcome = match &self.work {
            Work::Read | Work::Settle => Outcome::Read { current: best.clone() },
            Work::Change(_) | Work::NextSet(_) => Outcome::Kept { current: best.clone() },
        };
        match best {
            Some(best) => self.confirm(best, outcome, is_chosen && self.attempts.is_empty()),
            None => Next::End(self.give_up_as(outcome)),
        }
    }

    /// Ends with `outcome`, unless an attempt of this proposal may still take effect.
    fn give_up_as(&self, outcome: Outcome) -> Finished {
        if !self.attempts.is_empty() {
            return self.give_up();
        }
        Finished { outcome, decided: None, is_news: false }
    }

    /// Has `value` accepted again under this ballot, or ends if a majority has accepted it already.
    fn confirm(&self, value: Accepted, outcome: Outcome, is_chosen: bool) -> Next {
        if is_chosen {
            return Next::End(Finished { outcome, decided: Some(value), is_news: true });
        }
        let value = Accepted { ballot: self.ballot, ..value };
        Next::Accept { value, outcome }
    }

    /// An acceptor accepted.
    pub fn accepted(&mut self, around: &mut Surroundings, from: AcceptorId) -> Option<Finished> {
        let Phase::Accepting(accepting) = &mut self.phase else {
            return None;
        };
        if around.set.contains(from) {
            accepting.accepted.insert(from);
        }
        if accepting.accepted.len() < around.set.majority() {
            return None;
        }
        let outcome = accepting.outcome.clone().with_current(&accepting.value);
        Some(Finished { outcome, decided: Some(accepting.value.clone()), is_news: true })
    }

    /// An acceptor takes no part in this round.
    pub fn refused(&mut self, around: &mut Surroundings, from: AcceptorId, refusal: Refusal) {
        if !around.set.contains(from) {
            return;
        }
        if let Refusal::Promised(promised) = refusal {
            *around.last_round = (*around.last_round).max(promised.round);
        }
        let refused = match &mut self.phase {
            Phase::Waiting { .. } => return,
            Phase::Querying(querying) => &mut querying.refused,
            Phase::Preparing(preparing) => &mut preparing.refused,
            Phase::Accepting(accepting) if refusal == Refusal::ValueMissing => {
                accepting.holders.remove(&from);
                self.resend_at = around.now;
                return;
            }
            Phase::Accepting(accepting) => &mut accepting.refused,
        };
        refused.insert(from);
        let most_refusals = around.set.members.len() - around.set.majority();
        if refused.len() > most_refusals {
            self.back_off(around);
        }
    }
}

impl Accepting {
    pub(super) fn call_message(&self, call: Call) -> Option<RegisterMessage> {
        if self.accepted.contains(&call.to) {
            return None;
        }
        let held = if self.holders.contains(&call.to) { self.value.origin } else { Ballot::ZERO };
        Some(RegisterMessage::Accept { call, value: Carried::of(&self.value, held) })
    }
}

impl Querying {
    fn take(&mut self, from: AcceptorId, report: Report, held: Option<&Accepted>) {
        let ballot = report.ballot();
        let is_known = self.values.iter().any(|value| value.ballot == ballot);
        if let (Report::Accepted(carried), false) = (report, is_known) {
            let Some(value) = resolve(carried, [held, None]) else {
                return;
            };
            self.values.push(value);
        }
        self.reports.insert(from, ballot);
    }

    fn count(&self, ballot: Ballot) -> usize {
        self.reports.values().filter(|other| **other == ballot).count()
    }

    /// The value that a majority has accepted in one round; the inner `None` if a majority has accepted none.
    fn agreed(&self, set: &AcceptorSet) -> Option<Option<Accepted>> {
        let ballot = self.reports.values().find(|ballot| self.count(**ballot) >= set.majority())?;
        Some(self.values.iter().find(|value| value.ballot == *ballot).cloned())
    }

    /// Whether no answer that is still to come can make a majority agree.
    fn is_hopeless(&self, set: &AcceptorSet) -> bool {
        let missing = set.members.len() - self.reports.len();
        let most = self.reports.values().map(|ballot| self.count(*ballot)).max().unwrap_or(0);
        most + missing < set.majority()
    }
}

impl Outcome {
    fn with_current(self, value: &Accepted) -> Outcome {
        let newest = || value.clone();
        match self {
            Outcome::Decided { version, .. } => Outcome::Decided { version, current: newest() },
            Outcome::Kept { .. } => Outcome::Kept { current: Some(newest()) },
            Outcome::Read { .. } => Outcome::Read { current: Some(newest()) },
            other => other,
        }
    }
}

fn read_finished(current: Option<Accepted>) -> Finished {
    Finished { outcome: Outcome::Read { current: current.clone() }, decided: current, is_news: false }
}

fn resolve(carried: Carried, held: [Option<&Accepted>; 2]) -> Option<Accepted> {
    match &carried.body {
        Body::Full(_) => carried.resolve(None),
        Body::Held => {
            let source = held.into_iter().flatten().find(|held| held.origin == carried.origin);
            carried.resolve(source)
        }
    }
}
