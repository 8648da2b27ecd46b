//! Controllers played together from one seed: replicas, and the agents that hear of them.

mod support;

use catalog::State;
use feed::HOME_FIRST_MS;
use peer::{Alive, Message, ReplicaRecord, ReplicaState, Replicas, NEVER};
use rstest::rstest;
use support::{configuration, Cluster};

fn started(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, 3);
    cluster.play(1_500);
    cluster
}

/// What an agent tells its home while its proxy has nothing out.
fn no_load() -> Message {
    Message::Loads(peer::Loads::new(true, Vec::new()))
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
    cluster.agent_sends(agent, no_load());
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

/// An agent tells its load to its home only; the other controllers let the home bring a configuration first.
#[rstest]
fn a_controller_that_is_not_an_agents_home_tells_only_what_the_agent_has_not_heard(
    #[values(true, false)] home_told: bool,
) {
    let mut cluster = started(16);
    let agent = cluster.connect_agent(1, "edge-1");
    cluster.call(1, "POST", "/config/replace", Some("0"), &configuration(1, 50));
    cluster.play(HOME_FIRST_MS - 100);
    assert!(cluster.configurations_told(agent).is_empty());
    if home_told {
        cluster.agent_sends(agent, Message::Alive(Alive { majority_age_ms: NEVER, configuration: 1 }));
    }
    cluster.play(200);
    assert_eq!(cluster.configurations_told(agent).len(), usize::from(!home_told));
}

/// Operators send the whole again with items in another order, or put new ones between the old.
#[rstest]
fn a_change_is_told_as_such_whatever_the_order_of_items() {
    let mut cluster = started(17);
    let agent = cluster.connect_agent(1, "edge-1");
    cluster.agent_sends(agent, no_load());
    cluster.call(1, "POST", "/config/replace", Some("0"), &configuration(1, 50));
    cluster.play(50);
    let body = configuration(2, 51);
    let (before, routes) = body.split_once("\"routes\":[{").expect("routes");
    let (routes, after) = routes.split_once("}],").expect("their end");
    let mut reversed: Vec<&str> = routes.split("},{").collect();
    reversed.reverse();
    let body = format!("{before}\"routes\":[{{{}}}],{after}", reversed.join("},{"));
    cluster.call(0, "POST", "/config/replace", Some("1"), &body);
    cluster.play(100);
    let told = cluster.configurations_told(agent);
    assert_eq!(told.last().map(|told| (told.base, told.version)), Some((1, 2)));
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
    cluster.play(40);
    let mut lost = peer::ReplicaRecord::new("a", "reader", peer::Address::NONE, "zone-0");
    lost.state = ReplicaState::Lost;
    lost.beat = 1;
    let before = cluster.batches(agent);
    cluster.agent_sends(agent, Message::Replicas(vec![lost].into()));
    cluster.play(130);
    let told = cluster.messages(agent).filter(|message| matches!(message, Message::Replicas(_))).count();
    assert!(cluster.batches(agent) > before && told == 2, "it is told again");
}

#[rstest]
fn each_replicas_events_and_each_stores_are_read_at_one_controller() {
    let mut cluster = started(15);
    let store = r#"{"name":"store","cache-store":"10.9.0.1:8165","zone":"zone-1","cache-tokens":1000}"#;
    let body = configuration(1, 1).replace(r#""services":["#, &format!(r#""services":[{store},"#));
    let reply = cluster.call(0, "POST", "/config/replace", Some("0"), &body).expect("answered");
    assert_eq!(reply.status, 200);
    cluster.heartbeat(0, "a", 1, "ready", 1);
    cluster.heartbeat(2, "b", 2, "ready", 1);
    cluster.play(200);
    assert_eq!(cluster.readers(0), ["a"]);
    assert_eq!(cluster.readers(1), ["10.9.0.1:8165"], "the store is in its zone");
    assert_eq!(cluster.readers(2), ["b"]);
    cluster.stop(1);
    cluster.heartbeat(2, "a", 1, "ready", 2);
    cluster.play(5_000);
    let stores = [0, 2].map(|host| cluster.readers(host).iter().any(|name| name.starts_with("10.9")));
    assert_eq!(stores.iter().filter(|reads| **reads).count(), 1, "another one reads the store");
    assert!(!cluster.readers(0).contains(&"a".to_string()), "its heartbeats went elsewhere");
}

#[rstest]
fn a_replica_that_ended_while_all_controllers_restarted_is_lost_once_an_agent_reports_it(
    #[values(1, 2, 3)] seed: u64,
) {
    let mut cluster = started(seed);
    cluster.heartbeat(0, "went", 1, "ready", 3);
    cluster.play(200);
    cluster.restart_all(200, &[]);
    cluster.play(1_500);
    assert_eq!(cluster.state_at(1, "went"), None, "nobody has heard it since");
    let (reporter, other) = (cluster.connect_agent(0, "edge-1"), cluster.connect_agent(2, "edge-2"));
    let address = std::net::SocketAddrV4::new([10, 1, 0, 1].into(), 8080);
    let mut record = ReplicaRecord::new("went", "reader", address.into(), "zone-0");
    record.beat = 3;
    cluster.agent_sends(reporter, Message::Replicas(Replicas::from(vec![record])));
    cluster.play(6_000);
    assert_eq!([0, 1, 2].map(|host| cluster.state_at(host, "went")), [Some(State::Lost); 3]);
    assert!(cluster.told(other, "went", ReplicaState::Lost));
    cluster.heartbeat(1, "went", 1, "ready", 4);
    cluster.play(200);
    assert_eq!(cluster.state_at(0, "went"), Some(State::Ready), "it was only silent");
}

/// A controller that was cut off has not heard replicas for twenty seconds when it is back. Its first link is to one that
/// heard them at second hand only; it waits for the word of the one that hears them before it judges.
#[rstest]
fn a_controller_that_is_back_takes_nobody_for_lost_whom_the_others_hear(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut cluster = Cluster::new(seed, 3);
    cluster.play(2_000);
    let ids: Vec<String> = (1..=6).map(|number| format!("r{number}")).collect();
    for (number, id) in (1..).zip(&ids) {
        cluster.replicas.add(id, number, 1, cluster.now + u64::from(number) * 137);
    }
    cluster.play(5_000);
    cluster.cut_off(0);
    cluster.replicas.cut.extend(ids.iter().map(|id| (0, id.clone())));
    cluster.play(20_000);
    cluster.heal_between(0, 2);
    for after in 0..6_000 {
        if after == 600 {
            cluster.heal();
        }
        cluster.play(1);
        for id in &ids {
            assert_eq!(cluster.state_at(0, id), Some(State::Ready), "{id} at {} ms", cluster.now);
        }
    }
}
