//! When a query is answered or given up, and its second step.

use super::*;

impl Aggregator {
    /// What the second step of a class takes, where it has one.
    pub(super) fn second_step(&self, class: usize) -> Ms {
        match (self.set.classes[class].fetch, self.learned[class].second) {
            (0, _) => 0.0,
            (_, None) => 2.0 * self.learned[class].service,
            (_, Some(mean)) => (1.5 * mean).min(self.set.classes[class].aim / 3.0),
        }
    }

    /// Does what is due for one query; false once it has its final answer.
    pub(super) fn advance(&mut self, query: &mut Query, actions: &mut Vec<Action>) -> bool {
        if let Some(done) = self.settle(query, actions) {
            return !done;
        }
        if !query.admitted {
            if query.parts.len() < query.expected {
                return true;
            }
            if query.ready_at.is_none() && self.set.may_probe && self.set.probe_reports {
                let wait = if self.probe(query, actions) { PROBE_WAIT } else { 0.0 };
                query.ready_at = Some(self.now + wait);
            }
            if query.ready_at.is_some_and(|at| self.now < at) {
                return true;
            }
            query.admitted = true;
            self.hold_spares(query);
            if let Err(jam) = self.admit(query) {
                self.give_up(query, Some(jam), actions);
                return false;
            }
        }
        self.send_first(query, actions);
        self.try_again(query, actions);
        true
    }

    /// Ends a query without an answer: refused where a retry is surely harmless, else failed.
    pub(super) fn give_up(&self, held: &Query, jam: Option<Ms>, actions: &mut Vec<Action>) {
        let (effect, query) = (self.set.classes[held.class].effect, held.id);
        let wait = jam.unwrap_or(0.0).max(self.learned[held.class].service).min(self.set.advice_limit);
        let harmless = effect == Effect::Safe || !held.parts.iter().any(|p| p.unproved().is_some());
        let retry_after = (self.set.may_advise && (harmless || effect != Effect::Unsafe)).then_some(wait);
        let fail = Action::Fail { query, retry_after };
        actions.push(if harmless { Action::Refuse { query, retry_after } } else { fail });
    }

    /// Answers or ends the query if it is time; tells whether that was final.
    pub(super) fn settle(&mut self, query: &mut Query, actions: &mut Vec<Action>) -> Option<bool> {
        let about = self.set.classes[query.class].clone();
        let lead = REPLY_LEAD + 2.0 * self.set.period;
        let waiting = query.parts.len() < query.expected || !query.parts.iter().any(|p| p.step == query.step);
        let share = query.weight(|p| p.arrived);
        let need = if query.step == 0 { about.whole_at } else { 1.0 };
        if !waiting && share + WEIGHT_SLACK >= need.min(query.weight(|_| true)) {
            return Some(self.answer(query, query.step == 0 || query.first_whole, actions));
        }
        let floor = if about.floor < about.whole_at { about.floor } else { need };
        let enough = !waiting && share + WEIGHT_SLACK >= floor && share > 0.0;
        let mut pending = 0.0;
        for part in query.parts.iter().filter(|p| p.step == query.step && !p.arrived && !p.spare) {
            let other = self.holders(part.shard).any(|(id, _)| !part.grief().contains(&id));
            let unsettled = part.attempts.is_empty() || part.out() > 0;
            if unsettled || other && self.may_resend(query.class, part) {
                pending += part.weight;
            }
        }
        let mut hopeless = !waiting && share + pending + WEIGHT_SLACK < floor;
        if hopeless && query.parts.iter().any(|p| p.spare) {
            query.parts.iter_mut().for_each(|p| p.spare = false);
            hopeless = false;
        }
        // A query most of whose parts broke their connections may be what kills replicas: spread no further.
        let broke = |p: &&Part| !p.arrived && p.attempts.iter().any(|a| a.ended == Some(Outcome::Cut));
        let broken = query.parts.iter().filter(broke).count();
        hopeless |= broken > 1 && 2 * broken > query.parts.iter().filter(|p| !p.attempts.is_empty()).count();
        let second = if query.step == 0 { self.second_step(query.class) } else { 0.0 };
        let due = self.now < query.aim_at && self.now >= query.aim_at - lead - second;
        let paid = due && about.partial_earns * share / need > about.late_share;
        if enough && (paid || pending == 0.0 || self.now >= query.expires_at - lead - second) {
            return Some(self.answer(query, false, actions));
        }
        let too_late = about.late_share <= 0.0 && self.now >= query.aim_at;
        if self.now >= query.expires_at - lead || too_late || hopeless {
            self.give_up(query, None, actions);
            return Some(true);
        }
        None
    }

    /// Answers; tells whether that was final.
    pub(super) fn answer(&mut self, query: &mut Query, whole: bool, actions: &mut Vec<Action>) -> bool {
        actions.push(Action::Answer { query: query.id, whole });
        if query.step == 1 {
            let took = self.now - query.step_at;
            let mean = self.learned[query.class].second.get_or_insert(took);
            *mean += LEARN * (took - *mean);
        }
        if query.step == 1 || self.set.classes[query.class].fetch == 0 {
            return true;
        }
        query.parts.iter().for_each(|part| part.cancel(self.set.may_cancel && !part.arrived, actions));
        query.step = 1;
        query.step_at = self.now;
        query.first_whole = whole;
        false
    }
}
