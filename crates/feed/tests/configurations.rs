//! When a subscriber hears of a configuration.

use catalog::Limits;
use feed::{Subscriber, View, HOME_FIRST_MS};
use peer::Message;

fn view() -> View {
    View::new(Limits::for_beats(1_200, 2_000))
}

fn configure(view: &mut View, version: u64) {
    let body = format!(r#"{{"version":{version},"routes":[],"services":[]}}"#);
    view.take_configuration(version, body.into_bytes()).expect("sound");
}

fn told(subscriber: &mut Subscriber, now: u64, view: &View) -> Option<u64> {
    let messages = subscriber.messages(now, view, 0);
    messages.iter().find_map(|message| match message {
        Message::Configuration(configuration) => Some(configuration.version),
        _ => None,
    })
}

/// The home of the subscriber is silent. Another feeder waits for it half a second, however often newer ones come.
#[test]
fn newer_configurations_do_not_make_a_subscriber_wait_anew() {
    for gap in [50, 200, 400, 499] {
        hear_while_one_comes_every(gap);
    }
}

fn hear_while_one_comes_every(gap: u64) {
    let mut view = view();
    let mut subscriber = Subscriber::new(0);
    subscriber.set_home(false);
    let (mut version, mut heard, mut lacking_since) = (0, 0, None);
    for now in 0..10_000 {
        if now % gap == 0 {
            version += 1;
            configure(&mut view, version);
        }
        if let Some(told) = told(&mut subscriber, now, &view) {
            (heard, lacking_since) = (told, None);
        } else if heard < version {
            let since = *lacking_since.get_or_insert(now);
            assert!(
                now <= since + HOME_FIRST_MS,
                "at {now} ms it has heard {heard} of {version} since {since}"
            );
        }
    }
}

/// What the subscriber lacks after its home has told it one configuration is a newer one, for which it waits anew.
#[test]
fn a_configuration_that_the_home_told_ends_the_wait() {
    let mut view = view();
    let mut subscriber = Subscriber::new(0);
    subscriber.set_home(false);
    configure(&mut view, 1);
    assert_eq!(told(&mut subscriber, 0, &view), None);
    subscriber.has_configuration(1);
    configure(&mut view, 2);
    assert_eq!(told(&mut subscriber, 400, &view), None);
    assert_eq!(told(&mut subscriber, HOME_FIRST_MS, &view), None, "its home has had 100 ms for this one");
    assert_eq!(told(&mut subscriber, 400 + HOME_FIRST_MS, &view), Some(2));
}
