//! First sends with their twins, and further attempts.

use super::*;

impl Aggregator {
    /// Parts to send for the first time, in groups that share replicas and so a call.
    pub(super) fn groups(&self, query: &Query) -> Vec<Vec<usize>> {
        let shared = self.set.parts_a_call > 1;
        let mut groups: BTreeMap<(usize, usize), Vec<usize>> = BTreeMap::new();
        for (index, part) in query.parts.iter().enumerate() {
            if part.step == query.step && part.attempts.is_empty() && !part.spare {
                let cell = part.shard % self.set.cells.max(1);
                groups.entry((cell, if shared { 0 } else { index })).or_default().push(index);
            }
        }
        let enough = (self.set.call_cost / (CALL_SHARE * self.learned[query.class].service)).ceil() as usize;
        let most = enough.min(self.set.parts_a_call).max(1);
        groups.into_values().flat_map(|g| g.chunks(most).map(<[usize]>::to_vec).collect::<Vec<_>>()).collect()
    }

    pub(super) fn send_first(&mut self, query: &mut Query, actions: &mut Vec<Action>) {
        let mut sent = Vec::new();
        for group in self.groups(query) {
            let shard = query.parts[group[0]].shard;
            let Some(to) = self.choose(shard, query.class, &[]) else { continue };
            for index in group {
                self.send(query, index, to, actions);
                sent.push((index, to));
            }
        }
        if self.set.classes[query.class].effect == Effect::Unsafe || !self.set.may_copy {
            return;
        }
        // A twin goes to an idle and well replica, or tries a shunned one. Of many siblings, one that is idle
        // by own counts is busy with others' work: there the copies are kept for stragglers.
        let strained = self.set.siblings >= MANY || self.pace > TWIN_STRAIN;
        for (index, first) in sent {
            let (left, all) = self.budget_left();
            if self.twins_left < 1.0 || self.copies_left < 1.0 || left < 1.0 + BUDGET_KEPT * all.min(1e9) {
                return;
            }
            let part = &query.parts[index];
            let fits = |r: &Replica| {
                let idle = r.calls.values().all(|call| call.sent_at == self.now) && r.shunned.is_none();
                r.cold_since.is_none() && if strained { self.trial_due(r) } else { idle || self.trial_due(r) }
            };
            let others = self.holders(part.shard).filter(|(id, r)| *id != first && fits(r));
            let twin = others.min_by_key(|(_, r)| (!self.trial_due(r), r.calls.len())).map(|(id, _)| id);
            let Some(twin) = twin.filter(|_| part.attempts.len() < self.set.try_limit) else { continue };
            self.twins_left -= 1.0;
            self.copies_left -= 1.0;
            self.send(query, index, twin, actions);
        }
    }

    /// What is left of the told budget, and all of it; no limit where none is told.
    pub(super) fn budget_left(&mut self) -> (f64, f64) {
        let budget = self.set.budget.unwrap_or(Budget::NONE);
        self.further.left(self.now, (budget.free, budget.share, budget.window), self.set.period)
    }

    /// Whether the rules let this part be sent once more now.
    pub(super) fn may_resend(&mut self, class: usize, part: &Part) -> bool {
        let effect_allows = match (self.set.classes[class].effect, part.unproved()) {
            (Effect::Safe, _) | (_, None) => true,
            (Effect::Unsafe, Some(_)) => false,
            (Effect::Keyed(window), Some(first)) => self.now < first.sent_at + window,
        };
        effect_allows && part.attempts.len() < self.set.try_limit && self.budget_left().0 >= 1.0
    }

    /// A replica for a further attempt: untried ones first, then those that never ran it.
    pub(super) fn choose_again(&mut self, class: usize, part: &Part) -> Option<ReplicaId> {
        let tried: Vec<ReplicaId> = part.attempts.iter().map(|a| a.replica).collect();
        self.choose(part.shard, class, &tried).or_else(|| self.choose(part.shard, class, &part.grief()))
    }

    /// Sends again what failed, and a copy of what sits at a silent replica or straggles where it is needed.
    pub(super) fn try_again(&mut self, query: &mut Query, actions: &mut Vec<Action>) {
        let (class, about) = (query.class, self.set.classes[query.class].clone());
        // One silent part makes all the others' work worthless; own counts tell of its silence too late.
        let missing = query.parts.iter().filter(|p| p.step == query.step && !p.arrived).count();
        let few = missing <= 2 || query.weight(|p| !p.arrived) <= STRAGGLER.0;
        let straggles = few && self.set.siblings >= MANY && self.strain.mean < STRAGGLER.2;
        for index in 0..query.parts.len() {
            let part = &query.parts[index];
            if part.arrived
                || part.step != query.step
                || part.attempts.is_empty()
                || part.not_before > self.now
            {
                continue;
            }
            let out = part.out();
            if out > 0 {
                let silent = |a: &Attempt| {
                    let lost = |r: &Replica| a.sent_at <= r.answered && self.overdue(a) > 1.0;
                    let late = straggles && self.now - a.sent_at > STRAGGLER.1 * (query.aim_at - a.sent_at);
                    late || self.replicas.get(&a.replica).is_none_or(|r| r.shunned.is_some() || lost(r))
                };
                let stuck = part.attempts.iter().filter(|a| a.ended.is_none()).all(silent);
                let rest = query.weight(|p| p.arrived || !p.spare && p.out() > 0) - part.weight;
                let needed = about.floor >= about.whole_at || rest < about.floor;
                if !stuck || !needed {
                    continue;
                }
                if out > 1 || !self.set.may_copy || self.copies_left < 1.0 {
                    self.time_out(query, index, actions);
                    continue;
                }
            }
            if !self.may_resend(class, &query.parts[index]) {
                continue;
            }
            let Some(to) = self.choose_again(class, &query.parts[index]) else { continue };
            if out > 0 && self.replicas.get(&to).is_none_or(|r| self.rank(r) > 0) {
                continue;
            }
            self.copies_left -= if out > 0 { 1.0 } else { 0.0 };
            query.parts[index].not_before = self.now + RETRY_PAUSE;
            self.send(query, index, to, actions);
        }
    }

    /// How long an attempt has been silent while others were heard, over the time in which it was due.
    pub(super) fn overdue(&self, a: &Attempt) -> f64 {
        (self.hearing.seen_until(self.now) - a.sent_at.max(self.hearing.awake)) / (a.due_at - a.sent_at)
    }

    /// Calls off what a part has out where no copy may be sent, so that the next step sends it again. Only
    /// what later calls have overtaken and is twice overdue: it was lost. What is merely late may yet come.
    pub(super) fn time_out(&mut self, query: &Query, index: usize, actions: &mut Vec<Action>) {
        let part = &query.parts[index];
        let lost = |a: &Attempt| {
            let overtaken = self.replicas.get(&a.replica).is_none_or(|r| a.sent_at <= r.answered);
            a.ended.is_some() || overtaken && self.overdue(a) > 2.0
        };
        if part.attempts.iter().all(lost) && self.may_resend(query.class, part) {
            let to = self.choose_again(query.class, part).and_then(|to| self.replicas.get(&to));
            part.cancel(self.set.may_cancel && to.is_some_and(|to| self.rank(to) == 0), actions);
        }
    }
}
