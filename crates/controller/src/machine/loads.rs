//! What proxies have out at replicas, summed over this controller's agents and told to all.

use std::net::SocketAddrV4;

use links::LinkId;
use load::{Load, LoadNews, LoadSums, Loads};
use peer::{replica_key, Message};

use crate::duty::moves::Moves;
use crate::Millis;

/// A replica that loads weights takes nothing meanwhile: it counts as if so many tokens waited there to be read.
const LOADING_TOKENS: u32 = 60_000;

/// The loads that are told here, and what was told of them.
#[derive(Debug, Default)]
pub(crate) struct LoadExchange {
    agents: LoadSums<LinkId>,
    peers: LoadSums<SocketAddrV4>,
    peer_news: LoadNews,
    agent_news: LoadNews,
}

impl LoadExchange {
    /// An agent told what its proxy has out.
    pub fn agent_told(&mut self, now: Millis, link: LinkId, news: &peer::Loads) {
        self.agents.take(now, link, news);
    }

    /// Whether an agent tells its load here: it wants that of the others from here, too.
    pub fn hears(&self, link: LinkId) -> bool {
        self.agents.hears(&link)
    }

    /// An agent's link has ended.
    pub fn agent_down(&mut self, link: LinkId) {
        self.agents.forget(&link);
    }

    /// Another controller told the sum over its agents.
    pub fn peer_told(&mut self, now: Millis, from: SocketAddrV4, news: &peer::Loads) {
        self.peers.take(now, from, news);
    }

    /// When a message may be due.
    pub fn deadline(&self) -> Millis {
        self.peer_news.deadline().min(self.agent_news.deadline())
    }

    /// When a message to agents may be due.
    pub fn agents_deadline(&self) -> Millis {
        self.agent_news.deadline()
    }

    /// What the other controllers are to hear now. Replicas that load weights by this controller's orders count in.
    pub fn for_peers(&mut self, now: Millis, moves: &Moves) -> Option<Message> {
        if now < self.peer_news.deadline() {
            return None;
        }
        self.agents.expire(now);
        let sums = self.own_sums(moves);
        self.peer_news.message(now, &sums).map(Message::Loads)
    }

    /// What this controller's agents are to hear now.
    pub fn for_agents(&mut self, now: Millis, moves: &Moves) -> Option<Message> {
        if now < self.agent_news.deadline() {
            return None;
        }
        self.peers.expire(now);
        let mut sums = self.own_sums(moves);
        self.peers.add_to(&mut sums);
        self.agent_news.message(now, &sums).map(Message::Loads)
    }

    fn own_sums(&self, moves: &Moves) -> Loads {
        let mut sums = self.agents.totals();
        for replica in moves.under_way() {
            let total = sums.entry(replica_key(replica)).or_default();
            *total = total.plus(Load { tokens: LOADING_TOKENS, calls: 0 });
        }
        sums
    }
}
