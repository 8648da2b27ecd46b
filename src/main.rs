//! The coordinator: reads its configuration, wires the parts together and runs the loop.

use clap::Parser;
use std::path::Path;
use std::process::ExitCode;
use steppick::cli::{self, Cli, Command};
use steppick::net::{run, Clock, Front, Loop};
use steppick::{opensearch, platform};

const USAGE: &str = "LB_CONFIG names no file and --opensearch neither: nothing to serve; see steppick --help";

fn read(path: &str) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))
}

fn serve(cli: Cli) -> Result<(), String> {
    let clock = Clock::start();
    let platform_file = std::env::var("LB_CONFIG").ok();
    let opensearch_file = cli.opensearch.map(|path| path.to_string_lossy().into_owned());
    if platform_file.is_none() && opensearch_file.is_none() {
        return Err(USAGE.into());
    }
    let event_loop = Loop::try_new().map_err(|error| format!("no event loop: {error}"))?;
    let count = usize::from(platform_file.is_some()) + usize::from(opensearch_file.is_some());
    let mut fronts = Vec::new();
    if let Some(path) = platform_file {
        let named = |why: String| format!("{path}: {why}");
        let config = platform::config::Config::read(&read(&path)?).map_err(named)?;
        let server = config.server(&event_loop, clock, fronts.len(), count).map_err(named)?;
        let (name, served, coordinator) = ("platform", Box::new(server), config.name().to_string());
        fronts.push(Front { name, path, coordinator, placement: cli.placement.clone(), served });
    }
    if let Some(path) = opensearch_file {
        let named = |why: String| format!("{path}: {why}");
        let folder = Path::new(&path).parent().unwrap_or(Path::new("."));
        let config = opensearch::config::Config::read(&read(&path)?, folder).map_err(named)?;
        let coordinator = config.name().to_string();
        let served = Box::new(config.front(&event_loop, clock, fronts.len(), count).map_err(named)?);
        let name = "opensearch";
        fronts.push(Front { name, path, coordinator, placement: cli.placement.clone(), served });
    }
    fronts.iter_mut().try_for_each(Front::place)?;
    run(event_loop, clock, fronts)
}

fn main() -> ExitCode {
    let cli = match Cli::try_parse() {
        Ok(cli) => cli,
        Err(error) => {
            let _ = error.print();
            return if error.use_stderr() { ExitCode::FAILURE } else { ExitCode::SUCCESS };
        }
    };
    if let Some(Command::Place(place)) = &cli.command {
        return match cli::place::run(place) {
            Ok(text) => {
                println!("{text}");
                ExitCode::SUCCESS
            }
            Err(cli::place::Failed(code, why)) => {
                eprintln!("steppick: {why}");
                ExitCode::from(code)
            }
        };
    }
    // `STEPPICK_LOG=debug` adds a line for each final answer; the default is `info`.
    let level = match std::env::var("STEPPICK_LOG").ok().map(|text| text.parse::<tracing::Level>()) {
        None => tracing::Level::INFO,
        Some(Ok(level)) => level,
        Some(Err(_)) => {
            eprintln!("steppick: STEPPICK_LOG: not a level (error, warn, info, debug or trace)");
            return ExitCode::FAILURE;
        }
    };
    let logs = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).without_time();
    logs.with_max_level(level).init();
    match serve(cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("steppick: {why}");
            ExitCode::FAILURE
        }
    }
}
