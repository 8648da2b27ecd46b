//! What goes before what, where one message decides what a receiver does with another.

use catalog::{Limits, Record, State};
use feed::{Subscriber, View};
use peer::Message;
use rollout::{Judged, Order, Releases};

fn view() -> View {
    let mut view = View::new(Limits::for_beats(1_200, 2_000));
    let record = Record {
        id: "a".to_string(),
        service: "reader".to_string(),
        address: "10.0.0.1:8080".parse().expect("an address"),
        zone: "z".to_string(),
        free_slots: 4,
        state: State::Ready,
        beat: 1,
        models: Vec::new(),
        cold_left_ms: 0,
        software: "v2".to_string(),
    };
    view.replicas.heartbeat(0, record);
    let body = br#"{"version":1,"routes":[],"services":[]}"#;
    view.take_configuration(1, body.to_vec()).expect("sound");
    view
}

fn ordered() -> Releases {
    let order = Order::new("reader", "v2", 12.0).expect("sound");
    match Releases::default().judge(&order, 0, None) {
        Judged::Begin(releases) => releases,
        other => panic!("{other:?}"),
    }
}

/// A receiver that knows a replica, or may serve, knows the releases; one that knows a replica knows what it runs.
#[test]
fn releases_go_before_replicas_and_configurations() {
    let mut view = view();
    assert!(view.take_releases(ordered()));
    let kinds: Vec<&str> = Subscriber::new(0).messages(0, &view, 0).iter().filter_map(kind).collect();
    assert_eq!(kinds, ["releases", "software", "replicas", "configuration"]);
}

fn kind(message: &Message) -> Option<&'static str> {
    match message {
        Message::Releases(_) => Some("releases"),
        Message::Software(_) => Some("software"),
        Message::Replicas(_) => Some("replicas"),
        Message::Configuration(_) => Some("configuration"),
        _ => None,
    }
}

/// The newest ones are told once, and older ones that come late change nothing.
#[test]
fn releases_are_told_once_and_never_go_back() {
    let mut view = view();
    let mut subscriber = Subscriber::new(0);
    let before = view.urgent_change();
    assert!(view.take_releases(ordered()));
    assert_ne!(view.urgent_change(), before, "they are told at once");
    let told = |subscriber: &mut Subscriber, view: &View| {
        subscriber.messages(0, view, 0).iter().any(|message| kind(message) == Some("releases"))
    };
    assert!(told(&mut subscriber, &view));
    assert!(!told(&mut subscriber, &view));
    assert!(!view.take_releases(Releases::default()));
    assert_eq!(view.releases(), &ordered());
}
