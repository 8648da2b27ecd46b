//! Every event that is logged stands in the catalogue.

use agent::event::AgentEvent;
use process::Event;
use rstest::rstest;
use strum::IntoEnumIterator;

#[rstest]
fn the_catalogue_lists_every_event() {
    let catalogue = include_str!("../../../docs/events.md");
    for event in AgentEvent::iter() {
        let row = format!("| {} | `{event}` |", event.number());
        assert!(catalogue.contains(&row), "docs/events.md lacks: {row}");
    }
}
