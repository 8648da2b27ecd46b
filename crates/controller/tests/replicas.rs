//! Controllers played together from one seed: replicas, and the agents that hear of them.

mod support;

use catalog::State;
use peer::{Message, ReplicaState};
use rstest::rstest;
use support::{configuration, Cluster};

fn started(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, 3);
    cluster.play(1_500);
    cluster
}

#[rstest]
fn replicas_heard_by_one_are_known_to_all_and_their_draining_too() {
    let mut cluster = started(10);
    cluster.heartbeat(0, "a", 1, "ready", 1);
    cluster.play(100);
    assert_eq!(cluster.state_at(2, "a"), Some(State::Ready));
    cluster.heartbeat(1, "a", 1, "draining", 2);
    cluster.play(100);
    assert_eq!(cluster.state_at(0, "a"), Some(State::Draining));
    cluster.call(2, "POST", "/nodes/a/leave", None, "");
    cluster.play(100);
    assert_eq!(cluster.state_at(0, "a"), Some(State::Gone));
}

#[rstest]
fn a_replica_is_sent_to_the_controller_of_its_zone() {
    let mut cluster = started(10);
    let reply = cluster.heartbeat(2, "a", 1, "ready", 1).expect("answered");
    assert_eq!(reply.body, br#"{"beat-to":"10.0.0.1:8169"}"#);
    cluster.stop(0);
    cluster.play(4_000);
    let reply = cluster.heartbeat(2, "a", 1, "ready", 2).expect("answered");
    assert!(!reply.body.ends_with(br#""10.0.0.1:8169"}"#), "that one is down");
}

#[rstest]
fn agents_hear_of_draining_before_it_is_acknowledged() {
    let mut cluster = started(11);
    let agent = cluster.connect_agent(0, "edge-1");
    cluster.heartbeat(0, "a", 1, "ready", 1);
    cluster.play(50);
    let call = cluster.issue_heartbeat(0, "a", 1, "draining", 2);
    assert!(cluster.told_before_reply(agent, "a", ReplicaState::Draining, call));
}

#[rstest]
fn agents_get_changes_of_the_configuration_where_they_have_a_base() {
    let mut cluster = started(12);
    let agent = cluster.connect_agent(1, "edge-1");
    cluster.call(1, "POST", "/config/replace", Some("0"), &configuration(1, 50));
    cluster.play(50);
    cluster.call(0, "POST", "/config/replace", Some("1"), &configuration(2, 51));
    cluster.play(100);
    let told = cluster.configurations_told(agent);
    assert_eq!(told.len(), 2);
    assert_eq!((told[0].base, told[0].version), (0, 1));
    assert_eq!((told[1].base, told[1].version), (1, 2));
    assert!(told[1].body.bytes.len() < told[0].body.bytes.len() / 10);
    cluster.agent_sends(agent, Message::WantConfiguration);
    assert_eq!(cluster.configurations_told(agent).last().map(|told| told.base), Some(0), "the whole");
}

#[rstest]
fn a_slow_agent_holds_one_batch_and_then_gets_the_newest() {
    let mut cluster = started(13);
    let agent = cluster.connect_agent(0, "edge-1");
    cluster.play(50);
    cluster.stop_reading(agent);
    for beat in 1..20 {
        cluster.heartbeat(0, &format!("r{beat}"), beat as u8, "ready", beat);
    }
    let before = cluster.batches(agent);
    cluster.read_again(agent);
    cluster.play(100);
    assert!(cluster.batches(agent) - before <= 2, "what it missed came together");
    assert_eq!(cluster.replicas_told(agent), 19);
}

#[rstest]
fn a_controller_that_is_cut_off_and_hears_a_replica_takes_back_that_it_is_lost() {
    let mut cluster = started(14);
    cluster.heartbeat(0, "a", 1, "ready", 1);
    cluster.play(200);
    cluster.cut_off(0);
    for beat in 2..8 {
        cluster.play(1_200);
        cluster.heartbeat(0, "a", 1, "ready", beat);
    }
    assert_eq!(cluster.state_at(1, "a"), Some(State::Lost));
    assert_eq!(cluster.state_at(0, "a"), Some(State::Ready));

    // An agent that is linked to both passes on what it hears.
    let agent = cluster.connect_agent(0, "edge-1");
    cluster.play(10);
    let mut lost = peer::ReplicaRecord::new("a", "reader", peer::Address::NONE, "zone-0");
    lost.state = ReplicaState::Lost;
    lost.beat = 1;
    let before = cluster.batches(agent);
    cluster.agent_sends(agent, Message::Replicas(vec![lost].into()));
    cluster.play(10);
    let told = cluster.messages(agent).filter(|message| matches!(message, Message::Replicas(_))).count();
    assert!(cluster.batches(agent) > before && told == 2, "it is told again");
}
