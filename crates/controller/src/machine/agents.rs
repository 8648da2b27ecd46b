//! What passes between a controller and the agents that subscribe to it.

use std::collections::{BTreeMap, BTreeSet};

use feed::{Subscriber, UrgentChange, View};
use links::LinkId;
use peer::{Hello, Message, NEVER};

use crate::machine::peers::RecordsSent;
use crate::machine::{Effect, Machine, Moment};
use crate::Millis;

/// An agent that went away counts as there for so long: proxies share fixed allowances, and one that is cut off
/// still spends its share.
const REMEMBER_MS: Millis = 30_000;
/// A controller that started lately has not heard all agents, and says no number.
const COUNT_AFTER_MS: Millis = 3_000;
/// With this many agents or more, each hears of the kept parts that its own proxy sends only. In a smaller fleet all hear
/// of what any proxy sends, so that the first request for a part finds its holders known; what that costs grows as the
/// square of the fleet.
const NARROW_FROM: usize = 128;
/// With fewer than this many, all hear of all again.
const WIDE_BELOW: usize = 96;
/// Time between looks at which kept parts agents want no more.
const FORGET_EVERY_MS: Millis = 5_000;
/// Least time between two looks at what agents have not heard, unless it is urgent: each look costs as much as there are
/// agents, and most inputs of a large fleet change little.
const FEED_EVERY_MS: Millis = 20;
/// Least time between two messages to one agent on replicas that are ready.
const READY_EVERY_MS: Millis = 100;

#[derive(Debug)]
struct Agent {
    machine: String,
    subscriber: Subscriber,
    /// It can say which kept parts it wants to hear of.
    asks: bool,
    /// The version of the protocol that it speaks.
    protocol: u16,
    /// A batch is on its way; the next one waits for its end, so that a slow agent holds one batch only.
    busy: bool,
}

/// The agents that are connected, and the machines of those that were lately.
#[derive(Debug, Default)]
pub(crate) struct Agents {
    links: BTreeMap<LinkId, Agent>,
    /// When agents were last seen, by machine.
    seen: BTreeMap<String, Millis>,
    /// How far the view had got when the agents were fed last, in what is urgent and in all.
    fed_urgent: UrgentChange,
    fed: u64,
    /// An agent has asked for something, or can take more, since then.
    has_asked: bool,
    next_feed: Millis,
    /// When the first agent is due by itself, as of the last feed.
    next_deadline: Millis,
    next_forget: Millis,
    is_narrow: bool,
}

impl Agents {
    pub fn up(&mut self, now: Millis, link: LinkId, hello: &Hello) {
        let machine = hello.machine.as_str().to_string();
        self.seen.insert(machine.clone(), now);
        let mut subscriber = Subscriber::new(hello.configuration).with_pause(READY_EVERY_MS);
        subscriber.set_tells_ready(hello.protocol < peer::TELLS_HOME);
        let asks = hello.protocol >= peer::TELLS_INTEREST;
        self.links.insert(link, Agent { machine, subscriber, asks, protocol: hello.protocol, busy: false });
        self.narrow();
        self.has_asked = true;
        self.next_feed = now;
    }

    pub fn flushed(&mut self, link: LinkId) {
        if let Some(agent) = self.links.get_mut(&link) {
            agent.busy = false;
            self.has_asked = true;
        }
    }

    pub fn down(&mut self, now: Millis, link: LinkId) {
        if let Some(agent) = self.links.remove(&link) {
            self.seen.insert(agent.machine, now);
        }
    }

    /// When [`Machine::feed`] may have something for an agent.
    pub fn deadline(&self, view: &View) -> Millis {
        if self.links.is_empty() {
            return Millis::MAX;
        }
        if self.fed_urgent != view.urgent_change() {
            return 0;
        }
        let is_behind = self.has_asked || self.fed != view.newest_change();
        let due = if is_behind { 0 } else { self.next_deadline };
        due.max(self.next_feed)
    }

    /// The agents are fed now.
    fn begin_feed(&mut self, now: Millis, view: &View) {
        self.fed_urgent = view.urgent_change();
        self.fed = view.newest_change();
        self.has_asked = false;
        self.next_feed = now + FEED_EVERY_MS;
    }

    /// Notes when the next agent is due by itself.
    fn end_feed(&mut self, view: &View) {
        let idle = self.links.values().filter(|agent| !agent.busy);
        self.next_deadline = idle.map(|agent| agent.subscriber.deadline(view)).min().unwrap_or(Millis::MAX);
    }

    /// Decides whether agents hear of the parts that they ask for only.
    fn narrow(&mut self) {
        let least = if self.is_narrow { WIDE_BELOW } else { NARROW_FROM };
        self.is_narrow = self.links.len() >= least;
        for agent in self.links.values_mut() {
            agent.subscriber.set_narrow(self.is_narrow && agent.asks);
        }
    }

    /// Forgets which kept parts agents wanted long ago.
    pub fn forget_parts(&mut self, now: Millis) {
        if now < self.next_forget {
            return;
        }
        self.next_forget = now + FORGET_EVERY_MS;
        self.narrow();
        self.links.values_mut().for_each(|agent| agent.subscriber.forget_parts(now));
        self.has_asked = true;
    }

    /// Whether some agent is of a release that knows no releases of services.
    pub fn know_no_releases(&self) -> bool {
        self.links.values().any(|agent| agent.protocol < peer::TELLS_RELEASES)
    }

    /// Machines whose agents are linked, or were so lately.
    pub fn in_touch(&self, now: Millis, within_ms: Millis) -> Vec<String> {
        let linked: BTreeSet<&String> = self.links.values().map(|agent| &agent.machine).collect();
        let seen = self.seen.iter().filter(|(_, seen)| now.saturating_sub(**seen) < within_ms);
        let lately = seen.map(|(machine, _)| machine).collect();
        linked.union(&lately).map(|machine| (*machine).clone()).collect()
    }

    /// Number of agents that are linked now.
    pub fn linked(&self) -> usize {
        self.links.len()
    }

    /// Number of machines with agents, now or lately.
    fn count(&mut self, now: Millis) -> u32 {
        for agent in self.links.values() {
            self.seen.insert(agent.machine.clone(), now);
        }
        self.seen.retain(|_, seen| now.saturating_sub(*seen) < REMEMBER_MS);
        self.seen.len() as u32
    }
}

impl Machine {
    pub(crate) fn agent_message(&mut self, at: Moment, link: LinkId, message: Message) {
        match message {
            Message::WantConfiguration => {
                if let Some(agent) = self.agents.links.get_mut(&link) {
                    agent.subscriber.wants_configuration();
                    self.agents.has_asked = true;
                    self.agents.next_feed = at.now;
                }
            }
            Message::Subscription(subscription) => {
                if let Some(agent) = self.agents.links.get_mut(&link) {
                    agent.subscriber.set_tells_ready(subscription.is_home != 0);
                    self.agents.has_asked = true;
                    self.agents.next_feed = at.now;
                }
            }
            Message::Software(software) => self.view.take_software(&software),
            // An agent passes on which replicas others call lost.
            Message::Replicas(replicas) => {
                self.take_replicas(at, &replicas);
            }
            Message::Alive(alive) => {
                if let Some(agent) = self.agents.links.get_mut(&link) {
                    agent.subscriber.has_configuration(alive.configuration);
                }
            }
            Message::ReleaseReport(report) => {
                if let Some(machine) = self.agents.links.get(&link).map(|agent| agent.machine.clone()) {
                    self.release_reported(at.now, machine, &report);
                }
            }
            Message::Loads(news) => self.loads.agent_told(at.now, link, &news),
            Message::Interest(interest) => {
                self.view.prefixes.ask(at.now, &interest.parts);
                if let Some(agent) = self.agents.links.get_mut(&link) {
                    agent.subscriber.ask_parts(at.now, &interest.parts);
                    self.agents.has_asked = true;
                }
            }
            _ => {}
        }
    }

    /// Sends every agent and controller what it has not heard yet.
    pub(crate) fn feed(&mut self, at: Moment, out: &mut Vec<Effect>) -> RecordsSent {
        let records_sent = self.feed_peers(at.now, out);
        self.feed_agents(at, out);
        records_sent
    }

    fn feed_agents(&mut self, at: Moment, out: &mut Vec<Effect>) {
        let due = self.agents.deadline(&self.view).min(self.loads.agents_deadline());
        if at.now < due {
            return;
        }
        self.agents.begin_feed(at.now, &self.view);
        let age = self.majority_age(at.now).min(Millis::from(NEVER)) as u32;
        // An agent that is still busy with its last batch misses this; the next whole makes up for it.
        let loads = self.loads.for_agents(at.now, &self.moves);
        for (link, agent) in self.agents.links.iter_mut().filter(|(_, agent)| !agent.busy) {
            agent.subscriber.set_home(self.loads.hears(*link));
            let mut messages = agent.subscriber.messages(at.now, &self.view, age);
            messages.extend(loads.clone().filter(|_| self.loads.hears(*link)));
            if !messages.is_empty() {
                agent.busy = true;
                out.push(Effect::SendAgent { link: *link, messages });
            }
        }
        self.agents.end_feed(&self.view);
    }

    /// Brings up to date who there is.
    pub(crate) fn update_fleet(&mut self, now: Millis) {
        let mut controllers = self.set_addresses();
        controllers.extend(self.membership.alive().map(|member| member.peer));
        controllers.push(self.me.peer);
        controllers.sort_unstable();
        controllers.dedup();
        let known = now >= self.started + COUNT_AFTER_MS;
        let proxies = if known { self.agents.count(now) } else { 0 };
        self.view.set_fleet(controllers, proxies);
    }
}
