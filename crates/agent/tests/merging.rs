//! What an agent makes of several controllers, played without sockets.

mod support;

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use agent::machine::{Effect, Input};
use catalog::State;
use peer::{Address, Alive, Configuration, Fleet, Hello, Message, NamedVersion, ReplicaState};
use peer::{Role, Weights, NEVER, PROTOCOL};
use rstest::rstest;
use support::{controller, record, to_controllers, to_proxy, Bench};

fn whole(version: u64, routes: &str) -> Message {
    let body = format!(r#"{{"version":{version},"routes":[{routes}],"services":[],"customers":[]}}"#);
    Message::Configuration(Configuration { base: 0, version, body: body.into_bytes().into() })
}

fn version_told(messages: &[Message]) -> Option<(u64, u64)> {
    messages.iter().find_map(|message| match message {
        Message::Configuration(configuration) => Some((configuration.base, configuration.version)),
        _ => None,
    })
}

#[rstest]
fn an_older_configuration_never_takes_the_place_of_a_newer_one() {
    let mut bench = Bench::new();
    bench.up(1);
    bench.up(2);
    bench.tell(1, whole(7, ""));
    bench.tell(2, whole(5, ""));
    assert_eq!(bench.machine.view().configuration_version(), 7);
    bench.down(1);
    bench.tell(2, whole(6, ""));
    assert_eq!(bench.machine.view().configuration_version(), 7, "also when its teller is gone");
}

#[rstest]
fn a_proxy_gets_a_snapshot_and_then_changes() {
    let mut bench = Bench::new();
    bench.up(1);
    bench.tell(1, whole(1, r#"{"name":"a"},{"name":"b"},{"name":"c"}"#));
    bench.tell(1, record("r", 1, ReplicaState::Ready));
    let (link, snapshot) = bench.proxy(0);
    assert_eq!(version_told(&snapshot), Some((0, 1)));
    assert!(snapshot.iter().any(|message| matches!(message, Message::Replicas(_))));

    assert!(bench.flush(link).is_empty(), "nothing is new");
    let routes = r#"{"name":"a"},{"name":"b"},{"name":"c"},{"name":"d"},{"name":"e"},{"name":"f"},{"name":"g"},{"name":"h"},{"name":"i"},{"name":"j"},{"name":"k"}"#;
    let told = to_proxy(bench.tell(1, whole(2, routes)));
    assert_eq!(version_told(&told).map(|(_, version)| version), Some(2));
}

#[rstest]
fn a_proxy_that_has_the_version_gets_no_configuration() {
    let mut bench = Bench::new();
    bench.up(1);
    bench.tell(1, whole(4, ""));
    let (_, snapshot) = bench.proxy(4);
    assert_eq!(version_told(&snapshot), None);
}

#[rstest]
fn changes_on_an_unknown_base_make_the_agent_ask_for_the_whole() {
    let mut bench = Bench::new();
    bench.up(1);
    let body = br#"{"version":9,"upsert":{},"remove":{}}"#.to_vec();
    let changes = Message::Configuration(Configuration { base: 8, version: 9, body: body.into() });
    let effects = bench.tell(1, changes);
    assert_eq!(to_controllers(&effects), vec![controller(1)]);
    assert_eq!(bench.machine.view().configuration_version(), 0);
}

#[rstest]
fn the_loss_of_a_controller_loses_nothing() {
    let mut bench = Bench::new();
    bench.up(1);
    bench.tell(1, record("r", 3, ReplicaState::Ready));
    bench.down(1);
    bench.now += 600_000;
    bench.step(Input::Tick);
    let known = bench.machine.view().replicas.get("r").map(|record| record.state);
    assert_eq!(known, Some(State::Ready));
}

#[rstest]
fn what_one_controller_calls_lost_is_told_to_the_others() {
    let mut bench = Bench::new();
    for number in 1..=3 {
        bench.up(number);
    }
    bench.tell(1, record("r", 3, ReplicaState::Ready));
    let effects = bench.tell(2, record("r", 3, ReplicaState::Lost));
    assert_eq!(to_controllers(&effects), vec![controller(1), controller(3)]);
    let effects = bench.tell(1, record("r", 6, ReplicaState::Ready));
    assert!(to_controllers(&effects).is_empty());
    assert_eq!(bench.machine.view().replicas.get("r").map(|record| record.state), Some(State::Ready));
}

#[rstest]
fn the_greatest_number_of_proxies_holds_and_a_controller_that_started_lately_does_not_lower_it() {
    let mut bench = Bench::new();
    bench.up(1);
    bench.up(2);
    bench.tell(1, Message::Fleet(Fleet::new(vec![controller(1).into(), controller(4).into()], 7)));
    bench.tell(2, Message::Fleet(Fleet::new(vec![controller(2).into()], 0)));
    assert_eq!(bench.machine.view().proxies(), 7);
    bench.down(1);
    bench.now += 10_000;
    bench.step(Input::Tick);
    assert_eq!(bench.machine.view().proxies(), 7);
    let wanted: BTreeSet<SocketAddrV4> = [1, 2, 4].into_iter().map(controller).collect();
    assert_eq!(
        bench.machine.wanted_controllers(bench.now),
        wanted,
        "those that were told; not the seed that nobody names"
    );
}

#[rstest]
fn the_age_of_the_majoritys_proof_grows_while_nothing_is_heard() {
    let mut bench = Bench::new();
    let (link, first) = bench.proxy(0);
    let age = |messages: &[Message]| {
        messages.iter().find_map(|message| match message {
            Message::Alive(alive) => Some(alive.majority_age_ms),
            _ => None,
        })
    };
    assert_eq!(age(&first), Some(NEVER));
    bench.up(1);
    bench.now = 1_000;
    bench.tell(1, Message::Alive(Alive { majority_age_ms: 100, configuration: 0 }));
    bench.now = 1_400;
    assert_eq!(age(&bench.flush(link)), Some(500));
}

#[rstest]
fn named_weights_go_up_only_and_keep_their_age() {
    let mut bench = Bench::new();
    bench.up(1);
    bench.now = 5_000;
    let named = |version, age_ms| NamedVersion { model: "m".into(), version, age_ms };
    bench.tell(1, Message::Weights(Weights::from(vec![named(2, 4_000)])));
    bench.tell(1, Message::Weights(Weights::from(vec![named(1, 0)])));
    bench.now = 6_000;
    let (_, told) = bench.proxy(0);
    let weights = told.iter().find_map(|message| match message {
        Message::Weights(weights) => Some(weights.versions.clone()),
        _ => None,
    });
    assert_eq!(weights, Some(vec![named(2, 5_000)]));
}

/// An older version may be heard of later, from another controller; a proxy that links then hears of both.
#[rstest]
fn every_version_that_may_bind_is_passed_on() {
    let mut bench = Bench::new();
    bench.up(1);
    bench.up(2);
    let named = |version, age_ms| {
        Message::Weights(Weights::from(vec![NamedVersion { model: "m".into(), version, age_ms }]))
    };
    bench.now = 10_000;
    bench.tell(1, named(3, 100));
    bench.tell(2, named(2, 5_000));
    bench.tell(2, named(2, 200));
    bench.now += 50;
    let (_, told) = bench.proxy(0);
    let told = told.iter().find_map(|message| match message {
        Message::Weights(weights) => {
            Some(weights.versions.iter().map(|named| (named.version, named.age_ms)).collect::<Vec<_>>())
        }
        _ => None,
    });
    assert_eq!(told.expect("told"), [(3, 150), (2, 5_050)]);
}

#[rstest]
fn a_proxy_that_does_not_read_holds_one_batch() {
    let mut bench = Bench::new();
    bench.up(1);
    let (link, _) = bench.proxy(0);
    for beat in 1..50 {
        let effects = bench.tell(1, record(&format!("r{beat}"), beat, ReplicaState::Ready));
        assert!(to_proxy(effects).is_empty());
    }
    let batch = bench.flush(link);
    let records = batch.iter().map(|message| match message {
        Message::Replicas(replicas) => replicas.records.len(),
        _ => 0,
    });
    assert_eq!(records.sum::<usize>(), 49);
}

fn hello_from(zone: &str) -> Message {
    Message::Hello(Hello {
        protocol: PROTOCOL,
        role: Role::Controller,
        machine: "core".into(),
        zone: zone.into(),
        incarnation: 1,
        address: Address::NONE,
        configuration: 0,
    })
}

fn loads(tokens: u32) -> Message {
    Message::Loads(peer::Loads::new(true, vec![peer::ReplicaLoad { replica: 5, tokens, calls: 1 }]))
}

#[rstest]
fn load_passes_through_the_controller_of_the_agents_zone_only() {
    let mut bench = Bench::new();
    for (number, zone) in [(1, "west"), (2, "east"), (3, "west")] {
        bench.up(number);
        bench.tell(number, hello_from(zone));
    }
    let (link, _) = bench.proxy(0);
    bench.flush(link);
    let effects = bench.step(Input::ProxyMessage { link, message: loads(7) });
    assert_eq!(to_controllers(&effects), [controller(2)]);
    assert_eq!(to_proxy(bench.tell(1, loads(8))), []);
    assert_eq!(to_proxy(bench.tell(2, loads(9))), [loads(9)]);
    // Its controller is gone: another one of those that are left takes its place, always the same.
    bench.down(2);
    let effects = bench.step(Input::ProxyMessage { link, message: loads(10) });
    let home = bench.machine.home_controller(bench.now).expect("one is up");
    assert_eq!(to_controllers(&effects), [home]);
    assert!([controller(1), controller(3)].contains(&home));
}

#[rstest]
fn load_goes_nowhere_while_no_controller_is_linked() {
    let mut bench = Bench::new();
    let (link, _) = bench.proxy(0);
    assert_eq!(to_controllers(&bench.step(Input::ProxyMessage { link, message: loads(7) })), []);
}

#[rstest]
fn what_the_proxy_wants_is_asked_of_all_controllers_and_of_those_that_come_later() {
    let mut bench = Bench::new();
    bench.up(1);
    bench.up(2);
    let (link, _) = bench.proxy(0);
    let message = Message::Interest(peer::Interest::from(vec![5, 6]));
    let effects = bench.step(Input::ProxyMessage { link, message: message.clone() });
    assert_eq!(to_controllers(&effects), [controller(1), controller(2)]);
    let effects = bench.step(Input::ControllerUp { controller: controller(3) });
    let asked = effects.iter().find_map(|effect| match effect {
        Effect::SendController { to, message: Message::Interest(interest) } if *to == controller(3) => {
            Some(interest.parts.clone())
        }
        _ => None,
    });
    let mut asked = asked.expect("asked");
    asked.sort_unstable();
    assert_eq!(asked, [5, 6]);
}

fn alive(majority_age_ms: u32) -> Message {
    Message::Alive(Alive { majority_age_ms, configuration: 0 })
}

/// Whom the agent tells that they are its home, or no more.
fn subscriptions(effects: &[Effect]) -> Vec<(SocketAddrV4, bool)> {
    let told = effects.iter().filter_map(|effect| match effect {
        Effect::SendController { to, message: Message::Subscription(subscription) } => {
            Some((*to, subscription.is_home != 0))
        }
        _ => None,
    });
    told.collect()
}

#[rstest]
fn the_controller_of_its_zone_becomes_the_home_at_once() {
    let mut bench = Bench::new();
    bench.up(1);
    assert_eq!(subscriptions(&bench.tell(1, hello_from("west"))), [], "another one may be nearer");
    bench.up(2);
    assert_eq!(subscriptions(&bench.tell(2, hello_from("east"))), [(controller(2), true)]);
    bench.up(3);
    assert_eq!(subscriptions(&bench.tell(3, hello_from("west"))), []);
}

#[rstest]
fn without_one_in_its_zone_another_becomes_the_home_soon() {
    let mut bench = Bench::new();
    bench.up(1);
    bench.tell(1, hello_from("west"));
    bench.now = bench.machine.deadline();
    assert!(bench.now <= 300);
    assert_eq!(subscriptions(&bench.step(Input::Tick)), [(controller(1), true)]);
}

#[rstest]
fn a_home_that_loses_contact_or_its_link_is_left_for_one_that_has_it() {
    let mut bench = Bench::new();
    for (number, zone) in [(1, "west"), (2, "east")] {
        bench.up(number);
        bench.tell(number, hello_from(zone));
        bench.tell(number, alive(100));
    }
    assert_eq!(bench.machine.home_controller(bench.now), Some(controller(2)));
    // The home is cut off: it says so, or nothing at all, while the other one goes on.
    bench.now = 1_300;
    assert_eq!(subscriptions(&bench.tell(1, alive(100))), []);
    bench.now = 1_600;
    let effects = bench.tell(2, alive(1_700));
    assert_eq!(subscriptions(&effects), [(controller(2), false), (controller(1), true)]);
    // It is back in contact, and the home of its zone again.
    bench.now = 3_000;
    let effects = bench.tell(2, alive(50));
    assert_eq!(subscriptions(&effects), [(controller(1), false), (controller(2), true)]);
    bench.down(2);
    assert_eq!(bench.machine.home_controller(bench.now), Some(controller(1)));
    let effects = bench.step(Input::ControllerUp { controller: controller(2) });
    assert_eq!(subscriptions(&effects).last(), Some(&(controller(2), true)), "told anew");
}

#[rstest]
fn what_is_lost_is_not_passed_on_to_controllers_in_contact() {
    let mut bench = Bench::new();
    bench.now = 20_000;
    for number in 1..=3 {
        bench.up(number);
    }
    bench.tell(1, alive(100));
    bench.tell(2, alive(100));
    bench.tell(3, alive(9_000));
    bench.tell(1, record("r", 3, ReplicaState::Ready));
    let effects = bench.tell(2, record("r", 3, ReplicaState::Lost));
    let told = effects.iter().filter_map(|effect| match effect {
        Effect::SendController { to, message: Message::Replicas(_) } => Some(*to),
        _ => None,
    });
    assert_eq!(told.collect::<Vec<_>>(), [controller(3)]);
}

#[rstest]
fn seeds_are_dialled_again_while_no_controller_that_is_linked_has_contact() {
    let mut bench = Bench::new();
    bench.up(4);
    bench.tell(4, Message::Fleet(Fleet::new(vec![controller(4).into(), controller(5).into()], 7)));
    let told: BTreeSet<SocketAddrV4> = [4, 5].into_iter().map(controller).collect();
    assert_eq!(bench.machine.wanted_controllers(bench.now), told);
    bench.tell(4, alive(NEVER));
    let all: BTreeSet<SocketAddrV4> = [1, 2, 3, 4, 5].into_iter().map(controller).collect();
    assert_eq!(bench.machine.wanted_controllers(bench.now), all);
    bench.tell(4, alive(10));
    assert_eq!(bench.machine.wanted_controllers(bench.now), told);
}
