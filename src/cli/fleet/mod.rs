//! Sub-commands of the router fleet: its programs, and what operators call.

mod check;
mod client;
mod error;
mod operate;

pub use error::FleetError;

use bpaf::Bpaf;
use process::{Event, ProcessEvent};
use proxy::{Mechanism, Mechanisms};
use settings::ProcessSettings;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use strum::VariantNames;

/// Names of the sub-commands, to tell them from those of the coordinator.
pub const COMMANDS: [&str; 7] =
    ["proxy", "agent", "controller", "check", "configuration", "release", "status"];

/// The router fleet: programs of its machines, and commands for its operators.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version(process::VERSION))]
pub enum FleetCommand {
    /// Take requests from clients and send each to a replica
    #[bpaf(command("proxy"))]
    Proxy(#[bpaf(external(proxy_options))] ProxyOptions),
    /// Keep the links to the controllers and feed the proxy of this machine
    #[bpaf(command("agent"))]
    Agent(#[bpaf(external(settings_file))] SettingsFile),
    /// Keep the configuration and the catalogue of replicas
    #[bpaf(command("controller"))]
    Controller(#[bpaf(external(settings_file))] SettingsFile),
    /// Check a file before it is used
    #[bpaf(command("check"))]
    Check(#[bpaf(external(checked))] Checked),
    /// Read or replace the configuration in force
    #[bpaf(command("configuration"))]
    Configuration(#[bpaf(external(configuration_call))] ConfigurationCall),
    /// Move a service to another version of its software, or show how far that is
    #[bpaf(command("release"))]
    Release(#[bpaf(external(release_call))] ReleaseCall),
    /// Show what a controller knows of the fleet
    #[bpaf(command("status"))]
    Status(#[bpaf(external(controller_address))] ControllerAddress),
}

/// Which settings a program reads.
#[derive(Debug, Clone, Bpaf)]
pub struct SettingsFile {
    /// Settings of the process, in place of the file that STEPPICK_CONFIG names
    #[bpaf(argument("FILE"))]
    pub settings: Option<PathBuf>,
}

/// How a proxy runs.
#[derive(Debug, Clone, Bpaf)]
pub struct ProxyOptions {
    /// Which settings it reads.
    #[bpaf(external(settings_file))]
    pub settings: SettingsFile,
    /// A mechanism of the decisions to do without, to measure what it is worth; see docs/decisions.md
    #[bpaf(argument::<String>("MECHANISM"), parse(mechanism), many)]
    pub without: Vec<Mechanism>,
}

fn mechanism(name: String) -> Result<Mechanism, String> {
    name.parse().map_err(|_| format!("no mechanism '{name}'; there are {}", Mechanism::VARIANTS.join(", ")))
}

/// What is checked.
#[derive(Debug, Clone, Bpaf)]
pub enum Checked {
    /// Check the settings of a process (YAML)
    #[bpaf(command("settings"))]
    Settings {
        /// The file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Check a configuration (JSON)
    #[bpaf(command("configuration"))]
    Configuration {
        /// The file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// A call about the configuration.
#[derive(Debug, Clone, Bpaf)]
pub enum ConfigurationCall {
    /// Print the newest configuration
    #[bpaf(command("read"))]
    Read {
        /// Which controller.
        #[bpaf(external(controller_address))]
        controller: ControllerAddress,
    },
    /// Put a whole configuration in place of the one in force
    #[bpaf(command("replace"))]
    Replace {
        /// Which controller.
        #[bpaf(external(controller_address))]
        controller: ControllerAddress,
        /// The version that is in force, 0 if there is none; the change fails where it is another
        #[bpaf(argument("VERSION"))]
        based_on: u64,
        /// The new configuration
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// A call about releases of a service's software.
#[derive(Debug, Clone, Bpaf)]
pub enum ReleaseCall {
    /// Begin to move a service's traffic to another version
    #[bpaf(command("begin"))]
    Begin {
        /// Which controller.
        #[bpaf(external(controller_address))]
        controller: ControllerAddress,
        /// Seconds that it may take
        #[bpaf(argument("SECONDS"))]
        over: f64,
        /// The service
        #[bpaf(positional("SERVICE"))]
        service: String,
        /// The version that is to get its traffic
        #[bpaf(positional("VERSION"))]
        to_version: String,
    },
    /// Show how far a service's newest release is
    #[bpaf(command("status"))]
    Status {
        /// Which controller.
        #[bpaf(external(controller_address))]
        controller: ControllerAddress,
        /// The service
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
}

/// Which controller is called.
#[derive(Debug, Clone, Bpaf)]
pub struct ControllerAddress {
    /// Control address of any controller
    #[bpaf(long("controller"), argument("ADDRESS"))]
    pub address: SocketAddr,
}

fn load(file: &SettingsFile) -> Result<ProcessSettings, FleetError> {
    let path = match &file.settings {
        Some(path) => path.clone(),
        None => ProcessSettings::path_from_environment()?,
    };
    Ok(ProcessSettings::load(&path)?)
}

fn carry_out(command: &FleetCommand) -> Result<(), FleetError> {
    match command {
        FleetCommand::Proxy(options) => {
            let mechanisms = Mechanisms::without(&options.without);
            program(load(&options.settings)?, |settings| proxy::run(settings, mechanisms))
        }
        FleetCommand::Agent(file) => program(load(file)?, agent::run),
        FleetCommand::Controller(file) => program(load(file)?, controller::run),
        FleetCommand::Check(Checked::Settings { file }) => check::settings(file),
        FleetCommand::Check(Checked::Configuration { file }) => check::configuration(file),
        FleetCommand::Configuration(ConfigurationCall::Read { controller }) => {
            operate::read_configuration(controller.address)
        }
        FleetCommand::Configuration(ConfigurationCall::Replace { controller, based_on, file }) => {
            operate::replace_configuration(controller.address, *based_on, file)
        }
        FleetCommand::Release(ReleaseCall::Begin { controller, over, service, to_version }) => {
            operate::begin_release(controller.address, service, to_version, *over)
        }
        FleetCommand::Release(ReleaseCall::Status { controller, service }) => {
            operate::release_status(controller.address, service)
        }
        FleetCommand::Status(controller) => operate::status(controller.address),
    }
}

fn program<E: std::fmt::Display>(
    settings: ProcessSettings,
    run: impl FnOnce(ProcessSettings) -> Result<(), E>,
) -> Result<(), FleetError> {
    process::start_log().map_err(|why| FleetError::Program(why.to_string()))?;
    ProcessEvent::Starting.info(format_args!("version {}", process::VERSION));
    run(settings).map_err(|why| FleetError::Program(why.to_string()))
}

/// Reads the command line and carries out what it says.
pub fn main() -> ExitCode {
    let command = fleet_command().run();
    match carry_out(&command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("steppick: {why}");
            ExitCode::from(why.exit_code())
        }
    }
}
