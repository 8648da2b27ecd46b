//! The configuration that the platform hands to a coordinator.

use super::watch::{Directory, List, Watch};
use super::Platform;
use crate::core::Core;
use crate::interface::*;
use crate::net::{Clock, Loop, Server, Sockets};
use crate::settings::{Profile, Transport};
use miniserde::{json, Deserialize};
use std::net::SocketAddr;

#[derive(Deserialize, Debug)]
struct File {
    name: String,
    listen: String,
    discovery: String,
    seed: String,
    limits: Limits,
    known: List,
    settings: Profile,
}

#[derive(Deserialize, Debug)]
struct Limits {
    sockets: usize,
}

/// A configuration that makes sense.
#[derive(Debug)]
pub struct Config {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: u64,
    sockets: usize,
    known: List,
    classes: Vec<(String, bool)>,
    set: Settings,
    limits: Transport,
}

impl Config {
    /// Reads a configuration.
    ///
    /// # Errors
    /// One line that tells what is wrong.
    pub fn read(text: &str) -> Result<Config, String> {
        let file: File =
            json::from_str(text).map_err(|_| "not a configuration in JSON, or a field is missing")?;
        let address = |field: &str, value: &str| {
            value.parse().map_err(|_| format!("field `{field}` is no address: `{value}`"))
        };
        let set = file.settings.settings()?;
        if set.classes.is_empty() || set.cells == 0 || set.reach == 0 {
            return Err("field `settings` names no classes, cells or reach".into());
        }
        let keyed = set.classes.iter().map(|class| matches!(class.effect, Effect::Keyed(_)));
        Ok(Config {
            listen: address("listen", &file.listen)?,
            discovery: address("discovery", &file.discovery)?,
            seed: u64::from_str_radix(&file.seed, 16)
                .map_err(|_| format!("field `seed` is no hex number: `{}`", file.seed))?,
            sockets: file.limits.sockets,
            known: file.known,
            classes: file.settings.classes.iter().map(|class| class.name.clone()).zip(keyed).collect(),
            limits: file.settings.transport(),
            set,
            name: file.name,
        })
    }

    /// What this coordinator is called.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Where discovery is.
    pub fn discovery(&self) -> SocketAddr {
        self.discovery
    }

    /// The server that this configuration describes, one of so many fronts of the process.
    ///
    /// # Errors
    /// One line that tells what is wrong.
    pub fn server(
        &self,
        event_loop: &Loop,
        clock: Clock,
        number: usize,
        fronts: usize,
    ) -> Result<Server<Platform>, String> {
        let directory = Directory::new(clock.unix_start());
        let (watch, known) = Watch::new(self.discovery, directory, &self.known);
        let deadlines = self.set.classes.iter().map(|class| class.deadline).collect();
        let dialect = Platform::new(self.classes.clone(), deadlines, self.limits.shards);
        let core = Core::new(self.set.clone(), self.limits, self.seed);
        let sockets = Sockets::of(self.sockets, fronts);
        let roster = Some(Box::new(watch) as _);
        let server = Server::new(
            event_loop,
            number,
            dialect,
            core,
            self.limits,
            sockets,
            self.listen,
            Some(known),
            roster,
        );
        let server = server.map_err(|error| format!("can't listen on {}: {error}", self.listen))?;
        let listen = server.local_addr().map_err(|error| error.to_string())?;
        tracing::info!("{} serves the platform on {listen}", self.name);
        Ok(server)
    }
}
