//! How attempts and queries end.

use super::*;

impl<V: Clone> Core<V> {
    /// Ends an attempt once; what comes after its end is not news.
    pub(super) fn end_attempt(&mut self, id: AttemptId, outcome: Outcome) -> Option<Event> {
        let attempt = self.attempts.remove(&id)?;
        self.counters.outcome(outcome);
        if let Some(part) = self.parts.get_mut(&id.part) {
            part.out.retain(|number| *number != id.number);
            if !outcome.never_ran() {
                let first = part.may_have_run.get_or_insert(attempt.sent_at);
                *first = first.min(attempt.sent_at);
            }
            if let Some(query) = self.queries.get_mut(&part.query) {
                let count = &mut query.outcomes[outcome as usize];
                *count = count.saturating_add(1);
            }
        }
        let elapsed = self.now - attempt.sent_at;
        if tracing::enabled!(tracing::Level::TRACE) {
            let part = self.parts.get(&id.part);
            let class = part.and_then(|part| self.queries.get(&part.query)).map(|query| query.class);
            let (replica, step) = (attempt.replica.0, part.map(|part| part.step));
            tracing::trace!(
                part = id.part.0,
                number = id.number,
                replica,
                ?class,
                ?step,
                ?outcome,
                elapsed,
                "attempt"
            );
        }
        if outcome == Outcome::Pass {
            self.answer_time += LEARN * (elapsed - self.answer_time);
        }
        let (part, number) = (id.part, id.number);
        Some(Event::Done { part, attempt: number, replica: attempt.replica, outcome, elapsed })
    }

    pub(super) fn time_out(&mut self, events: &mut Vec<Event>, effects: &mut Vec<Effect<V>>) {
        let due: Vec<AttemptId> =
            self.attempts.iter().filter(|(_, a)| a.stop_at <= self.now).map(|(id, _)| *id).collect();
        for id in due {
            effects.push(Effect::Cancel(id, self.attempts[&id].replica));
            events.extend(self.end_attempt(id, Outcome::TooSlow));
        }
    }

    /// The module ends each query before its time. Should it not, the client still gets one final answer.
    pub(super) fn end_overdue(&mut self, effects: &mut Vec<Effect<V>>) {
        let overdue: Vec<RequestId> =
            self.queries.iter().filter(|(_, q)| q.expires_at <= self.now).map(|(id, _)| *id).collect();
        for id in overdue {
            self.trace_final(id, "overdue");
            let harmless = self.is_harmless(id);
            let cut_short = self.close(id, effects).is_some_and(|query| query.cut_short);
            self.pending.push(Event::Withdrawn { id });
            if cut_short && harmless {
                // Its client still has time, for another coordinator.
                self.counters.refused += 1;
                effects.push(Effect::Refuse(id, self.set.may_advise.then_some(0.0)));
                continue;
            }
            self.counters.failed += 1;
            self.counters.overdue += 1;
            effects.push(Effect::Fail(id, Failure::TimedOut, None));
        }
    }

    /// Whether a query may be refused: its client can ask again and nothing runs twice that must not.
    pub(super) fn is_harmless(&self, id: RequestId) -> bool {
        self.queries.get(&id).is_some_and(|query| {
            self.set.classes[query.class].effect == Repeats::Safe
                || query.parts.iter().all(|part| !self.ran(*part))
        })
    }

    pub(super) fn answer(&mut self, id: RequestId, whole: bool, effects: &mut Vec<Effect<V>>) {
        let Some(query) = self.queries.get(&id) else { return };
        let class = &self.set.classes[query.class];
        let step = usize::from(query.second.is_some());
        let parts = query.parts.iter().filter_map(|part| self.parts.get(part));
        let mut values: Vec<(usize, i64, V)> = Vec::new();
        let (mut weight, mut all) = (0.0, 0.0);
        for part in parts.filter(|part| part.step == step) {
            all += part.weight;
            if let Some((score, value)) = &part.value {
                weight += part.weight;
                values.push((part.shard, *score, value.clone()));
            }
        }
        let (need, floor) = match &query.second {
            // Weights come rounded: their sum may fall short of 1.
            None => (class.whole_at.min(all), class.floor.min(all)),
            Some(_) => (all, if class.floor < class.whole_at { class.floor } else { all }),
        };
        let first_whole = query.second.as_ref().is_none_or(|second| second.whole);
        let enough = !values.is_empty() && weight + WEIGHT_SLACK >= floor;
        let is_whole = first_whole && weight + WEIGHT_SLACK >= need;
        if !crate::must_hold!(self.counters, enough, "an answer needs its class's least share") {
            self.trace_final(id, "failed");
            self.close(id, effects);
            self.counters.failed += 1;
            self.pending.push(Event::Withdrawn { id });
            effects.push(Effect::Fail(id, Failure::Unserved, None));
            return;
        }
        let whole = whole && crate::must_hold!(self.counters, is_whole || !whole, "whole without all parts");
        if step == 0 && class.fetch > 0 {
            let fetch = class.fetch;
            self.begin_second_step(id, whole, fetch, values);
            return;
        }
        self.trace_final(id, if whole { "whole" } else { "partial" });
        self.close(id, effects);
        self.counters.answered += 1;
        self.counters.whole += u64::from(whole);
        effects.push(Effect::Answer(id, whole, values.into_iter().map(|(shard, _, v)| (shard, v)).collect()));
    }

    /// One debug line for each final answer, with what the query met on its way: the fleet's logs are
    /// counted from these when a class is served less than it should be.
    pub(super) fn trace_final(&self, id: RequestId, how: &str) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let Some(query) = self.queries.get(&id) else { return };
        let parts = query.parts.iter().filter_map(|part| self.parts.get(part));
        let (mut sent, mut arrived, mut count, mut unsent, mut out) = (0, 0, 0, 0, 0);
        for part in parts.filter(|part| part.step == usize::from(query.second.is_some())) {
            (sent, count) = (sent + part.tries, count + 1);
            arrived += usize::from(part.value.is_some());
            unsent += usize::from(part.tries == 0);
            out += usize::from(part.value.is_none() && !part.out.is_empty());
        }
        let [pass, fault, no_room, too_slow, no_route, cut, cancelled, not_sent] = query.outcomes;
        tracing::debug!(
            query = id.0,
            class = query.class,
            how,
            step = usize::from(query.second.is_some()),
            took = self.now - query.taken_at,
            left = query.expires_at - self.now,
            parts = count,
            arrived,
            unsent,
            out,
            sent,
            pass,
            fault,
            no_room,
            too_slow,
            no_route,
            cut,
            cancelled,
            not_sent,
            "final answer"
        );
    }

    /// The parts of the second step go to the shards with the highest scores among those that are in.
    pub(super) fn begin_second_step(
        &mut self,
        id: RequestId,
        whole: bool,
        fetch: usize,
        values: Vec<(usize, i64, V)>,
    ) {
        let mut from: Vec<usize> = values.iter().map(|value| value.0).collect();
        from.sort_unstable();
        let mut best: Vec<(i64, usize)> = values.iter().map(|value| (value.1, value.0)).collect();
        best.sort_unstable_by_key(|(score, shard)| (std::cmp::Reverse(*score), *shard));
        best.truncate(fetch);
        let weight = 1.0 / best.len() as f64;
        let mut events = Vec::new();
        let number = self.queries[&id].number;
        let mut parts = Vec::new();
        for (_, shard) in best {
            parts.push(self.add_part(id, number, (shard, weight, None), 1, &mut events));
        }
        self.pending.extend(events);
        if let Some(query) = self.queries.get_mut(&id) {
            let (took, left) = (self.now - query.taken_at, query.expires_at - self.now);
            tracing::debug!(query = id.0, class = query.class, took, left, whole, "first step done");
            query.parts.extend(parts);
            query.second = Some(Second { from, whole });
        }
    }
}
