//! The settings file (YAML) of one process of the router fleet: read once, checked whole.
//!
//! Fields that are not known are ignored, so that newer files work with older programs.
#![warn(missing_docs)]

mod bounds;
mod check;
mod error;

pub use bounds::{Bounds, Caps, Survive};
pub use error::SettingsError;

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};

/// The environment variable that names the settings file.
pub const SETTINGS_VARIABLE: &str = "STEPPICK_CONFIG";

/// What a process may serve to callers from outside.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Service {
    /// Clients.
    Edge,
    /// Replicas and operators.
    ControlPlane,
    /// Something that this version does not know.
    #[serde(other)]
    Other,
}

/// Where a process listens for callers from outside.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct ListenOn {
    /// Clients' requests.
    pub front: Option<SocketAddr>,
    /// Questions whether this process takes clients.
    pub ready: Option<SocketAddr>,
    /// Heartbeats and the operators' calls.
    pub control: Option<SocketAddr>,
}

/// The settings of one process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ProcessSettings {
    /// Name of the machine.
    pub node: String,
    /// Role of the process, as the deploy file calls it.
    pub role: String,
    /// Class of the machine.
    #[serde(default)]
    pub machine_class: String,
    /// What the process serves to the outside.
    #[serde(default)]
    pub serves: Vec<Service>,
    /// Address of the machine.
    pub ip: Ipv4Addr,
    /// Zone of the machine.
    #[serde(default)]
    pub zone: String,
    /// Region of the machine.
    #[serde(default)]
    pub region: String,
    /// Region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Where to listen for callers from outside.
    #[serde(default)]
    pub listen_on: ListenOn,
    /// First and last port for traffic inside the fleet.
    pub inner_ports: (u16, u16),
    /// `control` addresses of up to three controllers.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the whole fleet starts for the first time, with empty disks.
    #[serde(default)]
    pub first_start: bool,
    /// Whether the loss of this machine counts against `survive`.
    #[serde(default)]
    pub counted: bool,
    /// Limits of the machine and the process.
    #[serde(default)]
    pub caps: Caps,
    /// Folder for files that last, where there is a disk.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// Time between two heartbeats of a replica, in milliseconds.
    #[serde(default = "default_beat")]
    pub beat_every_ms: u64,
    /// Parts of the rules that are in force.
    #[serde(default)]
    pub contracts: Vec<String>,
    /// What may be lost at once.
    #[serde(default)]
    pub survive: Survive,
    /// Figures of the rules.
    #[serde(default)]
    pub bounds: Bounds,
}

const fn default_beat() -> u64 {
    1200
}

impl ProcessSettings {
    /// Reads and checks settings from YAML text.
    ///
    /// # Errors
    /// Tells what can't be read, or which field makes no sense, and the remedy.
    pub fn read(text: &str) -> Result<ProcessSettings, SettingsError> {
        let settings: ProcessSettings =
            serde_saphyr::from_str(text).map_err(|why| SettingsError::Syntax(why.to_string()))?;
        check::check(&settings)?;
        Ok(settings)
    }

    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// As [`ProcessSettings::read`], with the file's path.
    pub fn load(path: &Path) -> Result<ProcessSettings, SettingsError> {
        let text =
            std::fs::read_to_string(path).map_err(|why| SettingsError::File(path.to_path_buf(), why))?;
        ProcessSettings::read(&text).map_err(|why| SettingsError::In(path.to_path_buf(), Box::new(why)))
    }

    /// Path of the settings file, from the environment.
    ///
    /// # Errors
    /// The variable is not set.
    pub fn path_from_environment() -> Result<PathBuf, SettingsError> {
        std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from).ok_or(SettingsError::NoVariable)
    }

    /// Where the controller of the machine `ip` listens for its peers and for agents.
    pub fn controller_address(&self, ip: Ipv4Addr) -> SocketAddrV4 {
        SocketAddrV4::new(ip, self.inner_ports.0)
    }

    /// Where the agent of this machine listens for the proxy: loopback only.
    pub fn agent_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::LOCALHOST, self.inner_ports.1)
    }

    /// Inner addresses of the controllers that the seeds name.
    pub fn seed_controllers(&self) -> Vec<SocketAddrV4> {
        self.seeds.iter().map(|seed| self.controller_address(*seed.ip())).collect()
    }
}
