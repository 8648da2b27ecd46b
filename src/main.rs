//! The coordinator: reads its configuration, wires the parts together and runs the loop.

use std::path::Path;
use std::process::ExitCode;
use steppick::net::{run, Clock, Front, Loop};
use steppick::{opensearch, platform};

const USAGE: &str = "usage: LB_CONFIG=FILE steppick [--opensearch FILE]; either file may be left out";

fn read(path: &str) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))
}

/// Where the two fronts are configured: the platform's by the environment, the second by an argument.
fn files() -> Result<(Option<String>, Option<String>), String> {
    let mut arguments = std::env::args().skip(1);
    let second = match (arguments.next().as_deref(), arguments.next(), arguments.next()) {
        (None, None, None) => None,
        (Some("--opensearch"), Some(path), None) => Some(path),
        _ => return Err(USAGE.into()),
    };
    let first = std::env::var("LB_CONFIG").ok();
    if first.is_none() && second.is_none() {
        return Err(USAGE.into());
    }
    Ok((first, second))
}

fn start() -> Result<(), String> {
    let clock = Clock::start();
    let (platform_file, opensearch_file) = files()?;
    let event_loop = Loop::try_new().map_err(|error| format!("no event loop: {error}"))?;
    let count = usize::from(platform_file.is_some()) + usize::from(opensearch_file.is_some());
    let mut fronts = Vec::new();
    if let Some(path) = platform_file {
        let named = |why: String| format!("{path}: {why}");
        let config = platform::config::Config::read(&read(&path)?).map_err(named)?;
        let server = config.server(&event_loop, clock, fronts.len(), count).map_err(named)?;
        fronts.push(Front { name: "platform", path, served: Box::new(server) });
    }
    if let Some(path) = opensearch_file {
        let named = |why: String| format!("{path}: {why}");
        let folder = Path::new(&path).parent().unwrap_or(Path::new("."));
        let config = opensearch::config::Config::read(&read(&path)?, folder).map_err(named)?;
        let served = Box::new(config.front(&event_loop, clock, fronts.len(), count).map_err(named)?);
        fronts.push(Front { name: "opensearch", path, served });
    }
    run(event_loop, clock, fronts)
}

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).without_time().init();
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("steppick: {why}");
            ExitCode::FAILURE
        }
    }
}
