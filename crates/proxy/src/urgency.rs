//! How urgent a request is at its replica: by its tenant's rank, and among requests of tenants of one rank by its route's.

use configuration::{Configuration, Whole};

/// The least urgent `Priority` that replicas know; 0 is the most urgent.
const LEAST_URGENT: usize = 9;

/// The ranks of a request; 0 is the most urgent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Ranks {
    /// Its tenant's.
    pub tenant: Option<Whole>,
    /// Its route's.
    pub route: Option<Whole>,
}

/// The ranks that a configuration names.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Urgency {
    tenants: Vec<u64>,
    routes: Vec<u64>,
}

impl Urgency {
    /// The ranks of a configuration's tenants and routes.
    pub fn new(configuration: &Configuration) -> Urgency {
        let tenants = configuration.customers.iter().filter_map(|customer| customer.priority);
        let routes = configuration.routes.iter().filter_map(|route| route.priority);
        Urgency { tenants: distinct(tenants), routes: distinct(routes) }
    }

    /// `Priority` for a request of these ranks; `None` where it has neither. What has no rank comes behind all that have
    /// one.
    pub fn priority(&self, ranks: Ranks) -> Option<u64> {
        let Ranks { tenant, route } = ranks;
        if tenant.is_none() && route.is_none() {
            return None;
        }
        let routes = self.routes.len() + 1;
        let all = (self.tenants.len() + 1) * routes;
        let place = place(&self.tenants, tenant) * routes + place(&self.routes, route);
        // More ranks than replicas know share theirs with their neighbours.
        let priority = if all > LEAST_URGENT + 1 { place * LEAST_URGENT / (all - 1) } else { place };
        u64::try_from(priority).ok()
    }
}

fn distinct(ranks: impl Iterator<Item = Whole>) -> Vec<u64> {
    let mut ranks: Vec<u64> = ranks.map(|rank| rank.0).collect();
    ranks.sort_unstable();
    ranks.dedup();
    ranks
}

fn place(ranks: &[u64], rank: Option<Whole>) -> usize {
    rank.map_or(ranks.len(), |rank| ranks.partition_point(|known| *known < rank.0))
}
