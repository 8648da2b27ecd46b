//! Levels of the log, and that it is started once.

use log::LevelFilter;
use process::{level, start_log, LoggingError};
use rstest::rstest;

#[rstest]
#[case(None, LevelFilter::Info)]
#[case(Some("error"), LevelFilter::Error)]
#[case(Some("TRACE"), LevelFilter::Trace)]
fn levels_are_read(#[case] text: Option<&str>, #[case] expected: LevelFilter) {
    assert_eq!(level(text).expect("a level"), expected);
}

#[rstest]
#[case("")]
#[case("loud")]
fn what_is_no_level_is_named_with_the_remedy(#[case] text: &str) {
    let said = level(Some(text)).expect_err("no level").to_string();
    assert!(said.contains(&format!("'{text}'")) && said.contains("debug"), "{said}");
}

#[test]
fn a_second_log_in_one_process_is_an_error() {
    start_log().expect("the first");
    assert!(matches!(start_log(), Err(LoggingError::Twice(_))));
}
