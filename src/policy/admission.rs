//! What is let in, held back and refused.

use super::*;

impl Aggregator {
    /// Holds back parts that no answer needs: where any share is whole, all beyond it; where a partial answer
    /// earns, the light ones while the outlook is dim, least weight for most waiting first.
    pub(super) fn hold_spares(&mut self, query: &mut Query) {
        let about = &self.set.classes[query.class];
        let mut ranked = Vec::new();
        let mut dim = 0.0f64;
        for group in self.groups(query) {
            let outlook = self.outlook(query, &group).unwrap_or(f64::INFINITY);
            dim = dim.max(outlook / (query.aim_at - self.now).max(1.0));
            let each = outlook / group.len() as f64;
            ranked.extend(group.into_iter().map(|index| (query.parts[index].weight / each, index)));
        }
        let mut need = about.whole_at;
        if about.floor < about.whole_at {
            let least = about.floor + THIN.2 * (need - about.floor);
            let thin = ((dim - THIN.0) / (THIN.1 - THIN.0)).clamp(0.0, 1.0);
            need -= thin * (need - least);
        }
        if need >= 1.0 - WEIGHT_SLACK {
            return;
        }
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut sent = query.weight(|_| true);
        for (_, index) in ranked {
            let weight = query.parts[index].weight;
            if sent - weight + WEIGHT_SLACK >= need {
                sent -= weight;
                query.parts[index].spare = true;
            }
        }
    }

    /// Worth of a class for each unit of its work, over that of the best class.
    pub(super) fn merit(&self, class: usize) -> f64 {
        let each = |c: usize| {
            let learned = &self.learned[c];
            let work = if self.set.worth_by_work { 1.0 } else { learned.size.max(1.0) * learned.service };
            self.set.classes[c].worth / work
        };
        let best =
            (0..self.learned.len()).filter(|c| self.learned[*c].size > 0.0).map(each).fold(0.0, f64::max);
        each(class) / best
    }

    /// Whether enough of the query is likely to be in by its aim; if not, how long the jam looks.
    pub(super) fn admit(&mut self, query: &Query) -> Result<(), Ms> {
        let groups = self.groups(query);
        // What it takes where nothing waits: the last of many parts takes longer by their logarithm. Only the
        // time beyond that is for queues, else idle replicas would be held for too slow for a short aim.
        let largest = groups.iter().map(Vec::len).max().unwrap_or(1) as f64;
        let unit = UNLOADED * (1.0 + largest) * self.learned[query.class].service;
        let free = unit * (1.0 + (groups.len().max(1) as f64).ln());
        let slack = query.aim_at - self.now - self.second_step(query.class) - free;
        let own = self.set.own_share(FEW);
        let [least, most] = [0, 1].map(|n| ADMIT.0[n] + own * ADMIT.1[n]);
        let room = (least + (most - least) * self.merit(query.class)) * slack;
        let limit = room + unit;
        // With nothing out, refusing all would teach nothing: few are let in.
        let few = self.set.siblings < MANY
            || self.rng.random::<f64>() * self.set.siblings as f64 * IDLE_TRIALS < 1.0;
        let idle = self.flights.is_empty() && few;
        // By chance: not all open and shut at once.
        let strain = if self.set.siblings < MANY { 1.0 } else { self.strain.mean };
        let queue = (strain - 1.0) * free;
        // What failed once fails again while replicas are full: it needs the same shards, in less time.
        let again = query.later && strain > LATER_STRAIN;
        if again || !idle && self.rng.random::<f64>() * room.abs() > 2.0 * room - queue {
            return Err((queue - room).max(0.0));
        }
        let about = &self.set.classes[query.class];
        let (mut likely, mut worst) = (0.0, 0.0f64);
        for group in groups {
            let outlook = self.outlook(query, &group).unwrap_or(f64::INFINITY);
            if outlook <= limit {
                likely += group.iter().map(|i| query.parts[*i].weight).sum::<f64>();
            }
            worst = worst.max(outlook);
        }
        let enough = likely + WEIGHT_SLACK >= about.floor.min(about.whole_at) || idle && worst.is_finite();
        enough.then_some(()).ok_or(worst - limit)
    }
}
