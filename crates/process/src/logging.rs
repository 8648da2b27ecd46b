//! Where log lines go, and which of them.

use log::LevelFilter;
use quick_error::quick_error;
use simplelog::{ConfigBuilder, WriteLogger};
use std::io::{stderr, LineWriter, Write};

/// The environment variable that names the level.
pub const LEVEL_VARIABLE: &str = "STEPPICK_LOG";

quick_error! {
    /// Why no log can be kept.
    #[derive(Debug)]
    #[allow(missing_docs)]
    pub enum LoggingError {
        /// No such level.
        Level(text: String) {
            display("{} is '{}': give error, warn, info, debug or trace", LEVEL_VARIABLE, text)
        }
        /// A log is kept already.
        Twice(why: log::SetLoggerError) {
            from()
            display("{}: start the log once in a process", why)
        }
    }
}

/// The level that a text names; `info` where there is none.
///
/// # Errors
/// The text names no level.
pub fn level(text: Option<&str>) -> Result<LevelFilter, LoggingError> {
    let Some(text) = text else { return Ok(LevelFilter::Info) };
    text.parse().map_err(|_| LoggingError::Level(text.to_string()))
}

/// Begins to write log lines to standard error, at the level that the environment names.
///
/// # Errors
/// The environment names no level, or a log is kept already.
pub fn start_log() -> Result<(), LoggingError> {
    let named = std::env::var(LEVEL_VARIABLE).ok();
    let level = level(named.as_deref())?;
    log::set_boxed_logger(logger(level, stderr()))?;
    log::set_max_level(level);
    Ok(())
}

/// A log that gives each line to `target` in one piece: the library formats a line in about thirty.
pub fn logger<W: Write + Send + 'static>(level: LevelFilter, target: W) -> Box<WriteLogger<LineWriter<W>>> {
    let config = ConfigBuilder::new().set_time_format_rfc3339().set_thread_level(LevelFilter::Off).build();
    WriteLogger::new(level, config, LineWriter::new(target))
}
