//! Which replica a part goes to.

use super::*;

impl Aggregator {
    /// The replicas that hold a shard and may be sent to at all.
    pub(super) fn holders(&self, shard: usize) -> impl Iterator<Item = (ReplicaId, &Replica)> {
        let cells = self.set.cells.max(1);
        (0..self.set.reach.min(cells))
            .flat_map(move |j| self.cells.get((shard + j) % cells).into_iter().flatten())
            .filter_map(|id| self.replicas.get(id).map(|replica| (*id, replica)))
            .filter(|(_, replica)| replica.listed.lifecycle == Lifecycle::On)
    }

    /// Opens cold holders of a shard to the part that is being placed, as far as their credit goes.
    pub(super) fn offer(&mut self, shard: usize, class: usize, not: &[ReplicaId]) {
        let cost = self.learned[class].service + self.set.call_cost;
        let (many, cells) = (self.set.siblings >= MANY, self.set.cells.max(1));
        for id in (0..self.set.reach.min(cells)).flat_map(|j| self.cells.get((shard + j) % cells)).flatten() {
            let cold = |r: &&mut Replica| r.cold_since.is_some() && !not.contains(id);
            if let Some(replica) = self.replicas.get_mut(id).filter(cold) {
                let chance = many.then(|| self.rng.random());
                replica.open = replica.credit.draw(cost, chance);
            }
        }
    }

    /// The replica for a shard: well before ill, an open cold one, fewest calls out (slow weigh more), the
    /// own zone where crossing costs, by chance, for first sends by a placement. None: wait for a full one.
    pub(super) fn choose(&mut self, shard: usize, class: usize, not: &[ReplicaId]) -> Option<ReplicaId> {
        self.offer(shard, class, not);
        let many = self.set.siblings >= MANY;
        let least = if many { SLOW_WEIGHED.1 } else { SLOW_WEIGHED.0 };
        let mut rng = self.rng.clone();
        let paces = self.holders(shard).map(|(_, r)| r.pace.mean).filter(|pace| *pace > 0.0);
        let usual = paces.fold(self.pace, f64::min);
        let told = self.holders(shard).filter_map(|(_, r)| self.hint(r)).fold(f64::INFINITY, f64::min) + 1.0;
        let fit =
            self.holders(shard).filter(|(id, r)| !not.contains(id) && (r.cold_since.is_none() || r.open));
        let favoured = |id| self.favours.contains_key(&(shard, id));
        let placed = not.is_empty() && self.holders(shard).any(|(id, _)| favoured(id));
        let keyed = fit.map(|(id, replica)| {
            let slow =
                (replica.pace.mean / usual).max(self.hint(replica).map_or(1.0, |held| (held + 1.0) / told));
            let calls = if replica.open && slow < SLOW_WEIGHED.1 { 0 } else { replica.calls.len() + 1 };
            let load = if slow > least { slow } else { 1.0 } * calls as f64;
            let far = self.set.cross_zone_fee > 0.0 && replica.listed.zone != self.set.zone;
            // The least of these is drawn in proportion to the weights (Efraimidis and Spirakis, 2006).
            let weight = match self.favours.get(&(shard, id)) {
                _ if !placed => 1.0,
                weight => weight.copied().unwrap_or(UNPLACED),
            };
            // All at once would leave the one that looked slow for the one that did not.
            let weight = if many { weight / slow } else { weight };
            let tie = -(1.0 - rng.random::<f64>()).max(f64::MIN_POSITIVE).ln() / weight.max(UNPLACED);
            ((self.rank(replica), load, far, tie), id)
        });
        let best = keyed.min_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(Ordering::Equal));
        self.rng = rng;
        best.filter(|(key, _)| key.0 != FULL).map(|(_, id)| id)
    }

    /// 0 for a well replica, then a full, a faulty, a shunned one. Where no copy may try it, it must.
    pub(super) fn rank(&self, replica: &Replica) -> u8 {
        let faulty = replica.faults > FAULTS.1 && self.now < replica.trial_at;
        match replica.shunned {
            Some(_) if self.set.may_copy || !self.trial_due(replica) => 3,
            _ if faulty => 2,
            _ if self.now < replica.full.0 => FULL,
            _ => 0,
        }
    }

    pub(super) fn trial_due(&self, replica: &Replica) -> bool {
        replica.shunned.is_some() && replica.trial_at <= self.now
    }

    /// What `parts` more parts would take at this replica.
    pub(super) fn predict(&self, replica: &Replica, class: usize, parts: usize) -> Ms {
        let pace = if replica.pace.mean > 0.0 { replica.pace.mean } else { self.pace };
        let told = UNLOADED * (self.hint(replica).unwrap_or(0.0) + (parts + 1) as f64);
        let wait = (replica.full.0 - self.now).max(0.0);
        wait + self.learned[class].service * told.max(pace * (replica.out + parts + 1) as f64)
    }

    pub(super) fn send(&mut self, query: &mut Query, index: usize, to: ReplicaId, actions: &mut Vec<Action>) {
        let (service, now) = (self.learned[query.class].service, self.now);
        let of_use = self.set.classes[query.class].late_share > 0.0;
        let stop_at = if of_use { query.expires_at } else { query.expires_at.min(query.aim_at) };
        let part = &mut query.parts[index];
        let Some(replica) = self.replicas.get_mut(&to) else { return };
        replica.out += 1;
        let usual = service * self.pace * (replica.out as f64 + 1.0);
        let same = replica.calls.get(&replica.joined.0).is_some_and(|call| call.sent_at == now);
        if same && replica.joined.1 < self.set.parts_a_call {
            replica.joined.1 += 1;
            replica.calls.get_mut(&replica.joined.0).expect("just seen").left += 1;
        } else {
            replica.joined = (self.next_call, 1);
            self.next_call += 1;
            replica.calls.insert(replica.joined.0, Call { sent_at: now, stall: STALL * usual, left: 1 });
        }
        replica.open = false;
        replica.trial_at = replica.trial_at.max(now + self.trial_gap * self.rng.random_range(0.5..1.5));
        let number = part.attempts.len();
        if number > 0 {
            self.further.spend(now);
        } else {
            self.twins_left = (self.twins_left + TWIN_SHARE).min(COPY_BURST);
            self.copies_left = (self.copies_left + COPY_SHARE).min(COPY_BURST);
        }
        let due_at = now + STALL * usual;
        part.attempts.push(Attempt { replica: to, sent_at: now, due_at, ended: None });
        let (class, call, place, step) = (query.class, replica.joined.0, replica.out, part.step);
        let flight = Flight { replica: to, class, call, place, step, work: part.work };
        self.flights.insert((part.id, number), flight);
        actions.push(Action::Send { part: part.id, replica: to, stop_at });
    }

    /// Predicted time of the best replica for a group; none where no replica is listed.
    pub(super) fn outlook(&self, query: &Query, group: &[usize]) -> Option<Ms> {
        let shard = query.parts[group[0]].shard;
        let each = self
            .holders(shard)
            .map(|(_, r)| (self.rank(r).max(FULL), self.predict(r, query.class, group.len())));
        each.min_by(|a, b| a.partial_cmp(b).unwrap_or(Ordering::Equal)).map(|(_, time)| time)
    }
}
