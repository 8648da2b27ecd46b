//! What replicas keep reaches the agents that asked for it, and all of it those of an earlier version, which can't ask.

mod support;

use controller::machine::Input;
use peer::{Interest, Message, PartChange, Prefixes, PROTOCOL, TELLS_INTEREST};
use rstest::rstest;
use support::{Agent, Cluster};

const ASKED: u64 = 1;
const NOT_ASKED: u64 = 2;

fn keeps(cluster: &mut Cluster, part: u64) {
    let changes = vec![PartChange { part, tokens: 100 }];
    cluster.step(0, Input::Prefixes { prefixes: Prefixes::new("r1", 7, false, changes) });
}

fn parts_told(cluster: &Cluster, agent: Agent) -> Vec<u64> {
    let mut parts = Vec::new();
    for message in cluster.messages(agent) {
        if let Message::Prefixes(news) = message {
            parts.extend(news.changes.iter().map(|change| change.part));
        }
    }
    parts
}

#[rstest]
fn agents_hear_of_the_parts_that_they_asked_for(#[values(true, false)] asked_first: bool) {
    let mut cluster = Cluster::new(3, 3);
    cluster.play(1_500);
    let agent = cluster.connect_agent(0, "edge-1");
    let interest = Message::Interest(Interest::from(vec![ASKED]));
    if asked_first {
        cluster.agent_sends(agent, interest.clone());
    }
    keeps(&mut cluster, NOT_ASKED);
    keeps(&mut cluster, ASKED);
    cluster.play(300);
    if !asked_first {
        assert!(parts_told(&cluster, agent).is_empty());
        cluster.agent_sends(agent, interest);
        cluster.play(300);
    }
    assert_eq!(parts_told(&cluster, agent), [ASKED]);
}

#[rstest]
#[case::earlier(TELLS_INTEREST - 1, &[NOT_ASKED])]
#[case::this(PROTOCOL, &[])]
fn an_agent_of_an_earlier_version_hears_of_all_parts(#[case] protocol: u16, #[case] told: &[u64]) {
    let mut cluster = Cluster::new(4, 3);
    cluster.play(1_500);
    let agent = cluster.connect_agent_of(0, "edge-1", protocol);
    keeps(&mut cluster, NOT_ASKED);
    cluster.play(300);
    assert_eq!(parts_told(&cluster, agent), told);
}
