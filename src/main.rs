//! The coordinator: reads its configuration, wires the parts together and runs the loop.

use calloop::signals::{Signal, Signals};
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;
use steppick::net::{Clock, Gathered, Loop};
use steppick::{opensearch, platform};

/// Longest sleep of the loop, ms: bounds what a lost wake-up could cost.
const LONGEST_SLEEP: f64 = 1000.0;
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

fn run() -> Result<(), String> {
    let clock = Clock::start();
    let (platform_file, opensearch_file) = files()?;
    let mut event_loop = Loop::try_new().map_err(|error| format!("no event loop: {error}"))?;
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGUSR1])
        .map_err(|error| format!("no signals: {error}"))?;
    event_loop
        .handle()
        .insert_source(signals, |event, _, gathered: &mut Gathered| gathered.signals.push(event.signal()))
        .map_err(|error| format!("no signals: {error}"))?;
    let fronts = usize::from(platform_file.is_some()) + usize::from(opensearch_file.is_some());
    let mut coordinator = None;
    if let Some(path) = platform_file {
        let named = |why: String| format!("{path}: {why}");
        let config = platform::config::Config::read(&read(&path)?).map_err(named)?;
        let server = config.server(&event_loop, clock, 0, fronts).map_err(named)?;
        let listen = server.local_addr().map_err(|error| error.to_string())?;
        tracing::info!("{} serves the platform on {listen}", config.name);
        coordinator = Some(server);
    }
    let mut front = None;
    if let Some(path) = opensearch_file {
        let named = |why: String| format!("{path}: {why}");
        let folder = Path::new(&path).parent().unwrap_or(Path::new("."));
        let config = opensearch::config::Config::read(&read(&path)?, folder).map_err(named)?;
        let made = config.front(&event_loop, clock, 1, fronts).map_err(named)?;
        let listen = made.server.local_addr().map_err(|error| error.to_string())?;
        tracing::info!("serves OpenSearch queries on {listen}");
        front = Some(made);
    }
    let mut gathered = Gathered::default();
    loop {
        let now = clock.now();
        let first = coordinator.as_ref().and_then(|server| server.next_due(now));
        let second = front.as_ref().and_then(|front| front.server.next_due(now));
        let look = front.as_ref().map(opensearch::config::Front::next_look);
        let due = [first, second, look].into_iter().flatten().fold(now + LONGEST_SLEEP, f64::min);
        let sleep = Duration::from_micros(((due - now).max(0.0) * 1000.0).ceil() as u64);
        event_loop.dispatch(sleep, &mut gathered).map_err(|error| format!("event loop: {error}"))?;
        let now = clock.now();
        let signals = std::mem::take(&mut gathered.signals);
        let ending = signals.iter().any(|signal| *signal != Signal::SIGUSR1);
        let mut ended = true;
        if let Some(server) = &mut coordinator {
            if ending {
                server.end(now);
            }
            server.turn(now, &gathered.ready);
            ended &= server.has_ended(now);
        }
        if let Some(front) = &mut front {
            front.look(now);
            if ending {
                front.server.end(now);
            }
            front.server.turn(now, &gathered.ready);
            ended &= front.server.has_ended(now);
        }
        gathered.ready.clear();
        if ended || signals.contains(&Signal::SIGUSR1) {
            coordinator.iter().for_each(|server| tracing::info!("platform: {}", server.counters()));
            front.iter().for_each(|front| tracing::info!("opensearch: {}", front.server.counters()));
        }
        if ended {
            return Ok(());
        }
    }
}

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).without_time().init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("steppick: {why}");
            ExitCode::FAILURE
        }
    }
}
