//! The coordinator: reads its configuration, wires the parts together and runs the loop.

use clap::Parser;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use steppick::cli::{self, Cli, Command};
use steppick::net::admin::Admin;
use steppick::net::{new_loop, run, Clock, Front, Loop, Reloads, ServeError};
use steppick::settings::ConfigError;
use steppick::{opensearch, platform};

fn serve(cli: Cli) -> Result<(), ServeError> {
    // `STEPPICK_LOG=debug` adds a line for each final answer; the default is `info`.
    let level = match std::env::var("STEPPICK_LOG") {
        Ok(text) => text.parse().map_err(|_| ServeError::Level(text))?,
        Err(_) => tracing::Level::INFO,
    };
    let logs = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).without_time();
    logs.with_max_level(level).init();
    let clock = Clock::start();
    let platform_file = std::env::var_os("LB_CONFIG").map(PathBuf::from);
    if platform_file.is_none() && cli.opensearch.is_none() {
        return Err(ServeError::Nothing);
    }
    let event_loop = new_loop()?;
    let count = usize::from(platform_file.is_some()) + usize::from(cli.opensearch.is_some());
    let read = |path: &Path| {
        std::fs::read_to_string(path).map_err(|why| ServeError::File { path: path.to_path_buf(), why })
    };
    let mut fronts = Vec::new();
    let mut admin_address = admin_variable()?;
    if let Some(path) = platform_file {
        let config = platform::config::Config::read(&read(&path)?)
            .map_err(|why| ServeError::Config { path: path.clone(), why })?;
        admin_address = admin_address.or(config.admin());
        let mut server = config.server(&event_loop, clock, fronts.len(), count)?;
        if let Some(folder) = std::env::var_os("TMPDIR") {
            server.share(Path::new(&folder), clock);
        }
        let (name, served, coordinator) = ("platform", Box::new(server), config.name().to_string());
        fronts.push(Front {
            name,
            path,
            coordinator,
            placement: cli.placement.clone(),
            served,
            reloads: Reloads::default(),
        });
    }
    if let Some(path) = cli.opensearch {
        let folder = path.parent().unwrap_or(Path::new("."));
        let config = opensearch::config::Config::read(&read(&path)?, folder)
            .map_err(|why| ServeError::Config { path: path.clone(), why })?;
        let coordinator = config.name().to_string();
        let served = Box::new(config.front(&event_loop, clock, fronts.len(), count)?);
        let name = "opensearch";
        fronts.push(Front {
            name,
            path,
            coordinator,
            placement: cli.placement.clone(),
            served,
            reloads: Reloads::default(),
        });
    }
    fronts.iter_mut().try_for_each(Front::place)?;
    let admin = admin_address.map(|address| listen_for_operators(&event_loop, fronts.len(), address));
    run(event_loop, clock, fronts, admin.transpose()?)
}

/// The address that the environment names for operators, which goes before that of the configuration.
fn admin_variable() -> Result<Option<SocketAddr>, ServeError> {
    let value = std::env::var("LB_ADMIN_ADDR").ok().filter(|value| !value.is_empty());
    let address = value.map(|value| ConfigError::address("admin_addr", &value));
    address.transpose().map_err(ServeError::AdminAddress)
}

fn listen_for_operators(event_loop: &Loop, number: usize, address: SocketAddr) -> Result<Admin, ServeError> {
    let refused = |why| ServeError::Admin { address, why };
    let admin = Admin::listen(event_loop, number, address).map_err(refused)?;
    let listens = admin.local_addr().map_err(refused)?;
    tracing::info!("answers operators on {listens}");
    Ok(admin)
}

/// Whether the command line names a sub-command of the router fleet.
fn is_fleet_command() -> bool {
    let first = std::env::args_os().nth(1);
    first.is_some_and(|first| cli::fleet::COMMANDS.iter().any(|command| first == *command))
}

fn main() -> ExitCode {
    if is_fleet_command() {
        return cli::fleet::main();
    }
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
    match serve(cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("steppick: {why}");
            ExitCode::FAILURE
        }
    }
}
