//! What is sent, and what the rules forbid to send.

use super::*;

impl<V: Clone> Core<V> {
    pub(super) fn carry_out(&mut self, action: Action, effects: &mut Vec<Effect<V>>) {
        match action {
            Action::Send { part, replica, stop_at } => self.send(part, replica, stop_at, effects),
            Action::Cancel { part, attempt } => {
                let id = AttemptId { part, number: attempt };
                if let Some(replica) = self.attempts.get(&id).map(|a| a.replica) {
                    effects.push(Effect::Cancel(id, replica));
                    let event = self.end_attempt(id, Outcome::Cancelled);
                    self.pending.extend(event);
                }
            }
            Action::Answer { query, whole } => self.answer(query, whole, effects),
            Action::Refuse { query, retry_after } => {
                if !self.queries.contains_key(&query) {
                    return;
                }
                let harmless = self.is_harmless(query);
                let harmless = crate::must_hold!(self.counters, harmless, "a refusal must be harmless");
                self.trace_final(query, if harmless { "refused" } else { "failed" });
                self.close(query, effects);
                if harmless {
                    self.counters.refused += 1;
                    let limit = self.set.advice_limit;
                    effects.push(Effect::Refuse(query, retry_after.map(|after| after.min(limit))));
                } else {
                    self.counters.failed += 1;
                    effects.push(Effect::Fail(query, Failure::Unserved, None));
                }
            }
            Action::Fail { query, retry_after } => {
                self.trace_final(query, "failed");
                let Some(held) = self.close(query, effects) else { return };
                self.counters.failed += 1;
                let late = held.expires_at - self.now < 50.0;
                let why = if late { Failure::TimedOut } else { Failure::Unserved };
                let limit = self.set.advice_limit;
                effects.push(Effect::Fail(query, why, retry_after.map(|after| after.min(limit))));
            }
            Action::Wake { after } => {
                let at = self.now + after;
                self.wake_at = Some(self.wake_at.map_or(at, |old| old.min(at)));
            }
            Action::Probe { replica } => {
                if self.may_send_to(replica) {
                    self.counters.probes += 1;
                    effects.push(Effect::Probe(replica));
                }
            }
            // Both fronts are told of changes unasked.
            Action::Subscribe => {}
            Action::Log(line) => effects.push(Effect::Log(line)),
        }
    }

    /// Whether a part may have run, or is still out.
    pub(super) fn ran(&self, part: RequestId) -> bool {
        self.parts.get(&part).is_some_and(|part| part.may_have_run.is_some() || !part.out.is_empty())
    }

    /// Whether anything new may still go to a replica.
    pub fn may_send_to(&self, replica: ReplicaId) -> bool {
        self.replicas.get(&replica).is_some_and(|known| !known.off)
    }

    /// Why the rules forbid this send, if they do.
    pub(super) fn forbidden(&self, id: RequestId, replica: ReplicaId) -> Option<&'static str> {
        let Some(part) = self.parts.get(&id) else { return Some("a part that is over is not sent") };
        let Some(query) = self.queries.get(&part.query) else { return Some("an ended query is not sent") };
        let Some(known) = self.replicas.get(&replica) else { return Some("an unlisted replica") };
        let cells = self.set.cells.max(1);
        let holds = (0..self.set.reach).any(|j| (part.shard + j) % cells == known.cell);
        let repeat = match (self.set.classes[query.class].effect, self.first_sent(id, part)) {
            (Repeats::Unsafe, Some(_)) => true,
            (Repeats::Keyed(window), Some(first)) => self.now > first + window,
            _ => false,
        };
        let told = [
            (part.value.is_some(), "a part that is in is not sent again"),
            (!holds, "the replica does not hold the shard"),
            (!self.may_send_to(replica), "nothing new goes to a draining replica"),
            (part.tries >= self.set.try_limit, "a part has a limit on its attempts"),
            (repeat, "a repeat keeps to what the class allows"),
            (!part.out.is_empty() && !self.set.may_copy, "no second copies here"),
        ];
        told.iter().find(|(broken, _)| *broken).map(|(_, why)| *why)
    }

    /// When the first attempt of a part was sent that may have run or is out.
    pub(super) fn first_sent(&self, id: RequestId, part: &Part<V>) -> Option<Ms> {
        let out = part.out.iter().filter_map(|n| self.attempts.get(&AttemptId { part: id, number: *n }));
        out.map(|a| a.sent_at).chain(part.may_have_run).min_by(f64::total_cmp)
    }

    /// By when a repeat must have left that is sent now.
    pub(super) fn leave_by(&self, id: RequestId) -> Option<Ms> {
        let part = self.parts.get(&id)?;
        match self.set.classes[self.queries.get(&part.query)?.class].effect {
            Repeats::Keyed(window) => self.first_sent(id, part).map(|first| first + window),
            Repeats::Safe | Repeats::Unsafe => None,
        }
    }

    pub(super) fn send(
        &mut self,
        id: RequestId,
        replica: ReplicaId,
        stop_at: Ms,
        effects: &mut Vec<Effect<V>>,
    ) {
        let forbidden = self.forbidden(id, replica);
        let leave_by = self.leave_by(id);
        let allowed = crate::must_hold!(self.counters, forbidden.is_none(), "send: {forbidden:?}");
        let now = self.now;
        let Some(part) = self.parts.get_mut(&id) else { return };
        let number = part.tries;
        part.tries += 1;
        let attempt = AttemptId { part: id, number };
        if !allowed {
            let outcome = Outcome::NotSent;
            self.pending.push(Event::Done { part: id, attempt: number, replica, outcome, elapsed: 0.0 });
            return;
        }
        let earlier = part.out.iter().filter_map(|n| self.attempts.get(&AttemptId { part: id, number: *n }));
        let late = earlier.into_iter().any(|earlier| earlier.sent_at < now);
        part.out.push(number);
        self.counters.sent += 1;
        self.counters.repeats += u64::from(number > 0);
        let query = part.query;
        let held = &self.queries[&query];
        let stop_at = stop_at.min(held.expires_at);
        let second = if part.step == 1 { held.second.clone() } else { None };
        let shard = part.shard;
        self.attempts.insert(attempt, Attempt { replica, sent_at: now, stop_at });
        effects.push(Effect::Send(Send { attempt, query, shard, replica, stop_at, leave_by, second, late }));
    }
}
