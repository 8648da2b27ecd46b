//! Simulated agents: their links, and what they were told.

use std::collections::BTreeSet;

use controller::machine::Input;
use links::LinkId;
use peer::{Hello, Message, ReplicaState, Role, Subscription, PROTOCOL, TELLS_HOME};

use super::{Agent, AgentState, CallHandle, Cluster, Seen};

impl Cluster {
    pub fn connect_agent(&mut self, host: usize, name: &str) -> Agent {
        self.connect_agent_of(host, name, PROTOCOL)
    }

    /// Links an agent that has this version of the configuration.
    pub fn connect_agent_with(&mut self, host: usize, name: &str, configuration: u64) -> Agent {
        self.link_agent(host, name, PROTOCOL, configuration)
    }

    /// Links an agent that speaks this version of the protocol.
    pub fn connect_agent_of(&mut self, host: usize, name: &str, protocol: u16) -> Agent {
        self.link_agent(host, name, protocol, 0)
    }

    fn link_agent(&mut self, host: usize, name: &str, protocol: u16, configuration: u64) -> Agent {
        let link = LinkId(1_000 + self.agents.len() as u64);
        let agent = AgentState { host, link, batches: Vec::new(), reads: true, flush_at: None };
        self.agents.push(agent);
        let hello = Hello {
            protocol,
            role: Role::Agent,
            machine: name.into(),
            zone: "zone-0".into(),
            incarnation: 1,
            address: peer::Address::NONE,
            configuration,
        };
        self.step(host, Input::AgentUp { link, hello });
        let agent = Agent(self.agents.len() - 1);
        if protocol >= TELLS_HOME {
            self.agent_sends(agent, Message::Subscription(Subscription { is_home: 1 }));
        }
        agent
    }

    /// Hands in what an agent sends.
    pub fn agent_sends(&mut self, agent: Agent, message: Message) {
        let (host, link) = (self.agents[agent.0].host, self.agents[agent.0].link);
        self.step(host, Input::AgentMessage { link, message });
    }

    pub fn stop_reading(&mut self, agent: Agent) {
        self.agents[agent.0].reads = false;
    }

    pub fn read_again(&mut self, agent: Agent) {
        self.agents[agent.0].reads = true;
    }

    pub fn batches(&self, agent: Agent) -> usize {
        self.agents[agent.0].batches.len()
    }

    pub fn messages(&self, agent: Agent) -> impl Iterator<Item = &Message> {
        self.agents[agent.0].batches.iter().flatten()
    }

    pub fn configurations_told(&self, agent: Agent) -> Vec<peer::Configuration> {
        let messages = self.messages(agent);
        let configurations = messages.filter_map(|message| match message {
            Message::Configuration(configuration) => Some(configuration.clone()),
            _ => None,
        });
        configurations.collect()
    }

    /// Whether an agent was told that a replica is in this state.
    pub fn told(&self, agent: Agent, id: &str, state: ReplicaState) -> bool {
        self.agents[agent.0].batches.iter().any(|batch| tells(batch, id, state))
    }

    /// Number of different replicas that an agent was told of.
    pub fn replicas_told(&self, agent: Agent) -> usize {
        let mut ids = BTreeSet::new();
        for message in self.messages(agent) {
            if let Message::Replicas(replicas) = message {
                ids.extend(replicas.records.iter().map(|record| record.id.as_str().to_string()));
            }
        }
        ids.len()
    }

    /// Whether an agent was told of a replica's state before a call was answered.
    pub fn told_before_reply(&self, agent: Agent, id: &str, state: ReplicaState, call: CallHandle) -> bool {
        for seen in &self.seen {
            match seen {
                Seen::Replied(replied) if *replied == call => return false,
                Seen::Told { agent: told, batch }
                    if *told == agent.0 && tells(&self.agents[agent.0].batches[*batch], id, state) =>
                {
                    return true;
                }
                _ => {}
            }
        }
        false
    }
}

fn tells(batch: &[Message], id: &str, state: ReplicaState) -> bool {
    batch.iter().any(|message| match message {
        Message::Replicas(replicas) => {
            replicas.records.iter().any(|record| record.id.as_str() == id && record.state == state)
        }
        _ => false,
    })
}
