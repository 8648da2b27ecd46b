//! The coordinator: reads its configuration, wires the parts together and runs the loop.

use calloop::signals::{Signal, Signals};
use std::process::ExitCode;
use std::time::Duration;
use steppick::net::{Clock, Gathered, Loop};
use steppick::platform::config::Config;

/// Longest sleep of the loop, ms: bounds what a lost wake-up could cost.
const LONGEST_SLEEP: f64 = 1000.0;

fn run() -> Result<(), String> {
    let clock = Clock::start();
    let path = std::env::var("LB_CONFIG").map_err(|_| "LB_CONFIG is not set")?;
    let text = std::fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))?;
    let config = Config::read(&text).map_err(|why| format!("{path}: {why}"))?;
    let mut event_loop = Loop::try_new().map_err(|error| format!("no event loop: {error}"))?;
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGUSR1])
        .map_err(|error| format!("no signals: {error}"))?;
    event_loop
        .handle()
        .insert_source(signals, |event, _, gathered: &mut Gathered| gathered.signals.push(event.signal()))
        .map_err(|error| format!("no signals: {error}"))?;
    let mut server = config.server(&event_loop, clock, 0)?;
    tracing::info!("{} serves", config.name);
    let mut gathered = Gathered::default();
    loop {
        let now = clock.now();
        let due = server.next_due(now).map_or(LONGEST_SLEEP, |at| (at - now).clamp(0.0, LONGEST_SLEEP));
        let sleep = Duration::from_micros((due * 1000.0).ceil() as u64);
        event_loop.dispatch(sleep, &mut gathered).map_err(|error| format!("event loop: {error}"))?;
        let now = clock.now();
        for signal in gathered.signals.drain(..) {
            match signal {
                Signal::SIGUSR1 => tracing::info!("counters: {}", server.counters()),
                _ => server.end(now),
            }
        }
        server.turn(now, &gathered.ready);
        gathered.ready.clear();
        if server.has_ended(now) {
            tracing::info!("counters: {}", server.counters());
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
