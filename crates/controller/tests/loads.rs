//! Controllers played together from one seed: what proxies have out reaches all that tell their own.

mod support;

use load::{Load, LoadSums, Loads};
use peer::{replica_key, Message, ReplicaLoad};
use rstest::rstest;
use support::{Agent, Cluster};

fn told(replica: u32, tokens: u32) -> Message {
    Message::Loads(peer::Loads::new(true, vec![ReplicaLoad { replica, tokens, calls: 1 }]))
}

/// What an agent holds after all that it was told.
fn held(cluster: &Cluster, agent: Agent) -> Loads {
    let mut sums = LoadSums::default();
    for message in cluster.messages(agent) {
        if let Message::Loads(news) = message {
            sums.take(0, (), news);
        }
    }
    sums.totals()
}

fn load(tokens: u32) -> Load {
    Load { tokens, calls: 1 }
}

#[rstest]
fn agents_hear_the_load_of_all_controllers_agents(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = Cluster::new(seed, 3);
    cluster.play(1_500);
    let (here, there) = (cluster.connect_agent(0, "edge-1"), cluster.connect_agent(2, "edge-2"));
    let silent = cluster.connect_agent(1, "edge-3");
    cluster.agent_sends(here, told(1, 7_000));
    cluster.agent_sends(there, told(2, 9_000));
    cluster.play(400);
    let all: Loads = [(1, load(7_000)), (2, load(9_000))].into();
    assert_eq!((held(&cluster, here), held(&cluster, there)), (all.clone(), all));
    assert_eq!(held(&cluster, silent), Loads::new(), "it tells its load elsewhere, and hears all there");
}

#[rstest]
fn what_is_not_told_again_is_forgotten(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = Cluster::new(seed, 3);
    cluster.play(1_500);
    let (here, there) = (cluster.connect_agent(0, "edge-1"), cluster.connect_agent(2, "edge-2"));
    cluster.agent_sends(there, told(2, 9_000));
    for _ in 0..6 {
        cluster.agent_sends(here, told(1, 7_000));
        cluster.play(1_000);
    }
    assert_eq!(held(&cluster, here), Loads::from([(1, load(7_000))]));
}

#[rstest]
fn replicas_that_load_weights_count_as_busy_until_they_are_done(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = Cluster::new(seed, 3);
    cluster.play(1_000);
    cluster.replicas.add("r1", 1, 1, cluster.now + 37);
    cluster.play(1_500);
    let here = cluster.connect_agent(0, "edge-1");
    cluster.agent_sends(here, told(1, 7_000));
    let reply = cluster.call(1, "POST", "/version-put", None, r#"{"model":"m","version":2}"#);
    assert_eq!(reply.map(|reply| reply.status), Some(200));
    cluster.play(300);
    let busy = held(&cluster, here).get(&replica_key("r1")).copied().unwrap_or_default();
    assert!(busy.tokens > 50_000, "{busy:?}");
    cluster.agent_sends(here, told(1, 7_000));
    cluster.play(1_500);
    assert_eq!(held(&cluster, here).get(&replica_key("r1")), None);
}
