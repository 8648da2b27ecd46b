//! The catalogue of events in the docs holds what the proxy logs.

use process::Event;
use proxy::ProxyEvent;
use strum::IntoEnumIterator;

#[test]
fn the_catalogue_holds_every_event_and_no_other() {
    let catalogue = include_str!("../../../docs/events.md");
    let listed: Vec<&str> = catalogue.lines().filter(|line| line.starts_with("| 1")).collect();
    let listed: Vec<&str> =
        listed.into_iter().filter(|line| line.split('|').nth(1).is_some_and(is_ours)).collect();
    for event in ProxyEvent::iter() {
        let row = format!("| {} | `{event}` |", event.number());
        assert!(listed.iter().any(|line| line.starts_with(&row)), "no row {row}");
    }
    assert_eq!(listed.len(), ProxyEvent::iter().count());
}

fn is_ours(number: &str) -> bool {
    number.trim().parse().is_ok_and(|number: u16| (1000..2000).contains(&number))
}
