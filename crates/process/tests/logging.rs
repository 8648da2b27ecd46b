//! Levels of the log, and that it is started once.

use log::{Level, LevelFilter, Log, Record};
use process::{level, logger, start_log, LoggingError};
use rstest::rstest;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};

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

/// Keeps what is written, call by call.
#[derive(Clone, Default)]
struct Calls(Arc<Mutex<Vec<String>>>);

impl Write for Calls {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no panic").push(String::from_utf8_lossy(bytes).into_owned());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a call of the system for each piece of a line, which took a noticeable part of a busy proxy's time.
#[test]
fn a_line_is_written_in_one_call() {
    let calls = Calls::default();
    let log = logger(LevelFilter::Info, calls.clone());
    for number in [1, 2] {
        log.log(
            &Record::builder().level(Level::Warn).args(format_args!("event {number}, {}", "why")).build(),
        );
    }
    let calls = calls.0.lock().expect("no panic");
    assert_eq!(calls.len(), 2, "{calls:?}");
    assert!(calls[1].ends_with("event 2, why\n"), "{calls:?}");
}
