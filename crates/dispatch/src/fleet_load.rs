//! What the other proxies have out at replicas, as the fleet tells; and what this proxy tells.

use load::{Load, LoadNews, LoadSums, Loads, SOURCE_AGE_MS};

use evidence::Ms;

/// The load of the fleet as far as it is known here.
#[derive(Debug, Default)]
pub(crate) struct FleetLoad {
    own: LoadNews,
    sums: LoadSums<()>,
    totals: Loads,
    heard: Option<Ms>,
}

impl FleetLoad {
    /// Takes news of the sums over all proxies.
    pub fn take(&mut self, news: &peer::Loads, now: Ms) {
        self.sums.take(now as u64, (), news);
        self.totals = self.sums.totals();
        self.heard = Some(now);
    }

    /// Whether the sums were heard lately.
    pub fn is_known(&self, now: Ms) -> bool {
        self.heard.is_some_and(|at| now - at < SOURCE_AGE_MS as Ms)
    }

    /// What the other proxies have out at a replica: all, less what this proxy told.
    pub fn others(&self, replica: u32) -> Load {
        self.totals.get(&replica).copied().unwrap_or_default().less(self.own.told(replica))
    }

    /// When this proxy may tell its own load next.
    pub fn deadline(&self) -> Ms {
        self.own.deadline() as Ms
    }

    /// What this proxy is to tell of its own load now.
    pub fn tell(&mut self, own: &Loads, now: Ms) -> Option<peer::Loads> {
        self.own.message(now as u64, own)
    }
}
