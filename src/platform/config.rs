//! The configuration that the platform hands to a coordinator.

use super::classes::Classes;
use super::form::Form;
use super::watch::{Directory, List, Watch};
use super::Platform;
use crate::core::Core;
use crate::interface::*;
use crate::net::{Clock, Loop, ServeError, Server, Sockets};
use crate::settings::{ConfigError, Profile, Transport};
use serde::Deserialize;
use std::net::SocketAddr;

#[derive(Deserialize, Debug)]
struct File {
    name: String,
    listen: String,
    discovery: String,
    admin_addr: Option<String>,
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
    admin: Option<SocketAddr>,
    seed: u64,
    sockets: usize,
    known: List,
    classes: Vec<String>,
    set: Settings,
    limits: Transport,
    form: Form,
}

impl Config {
    /// Reads a configuration.
    ///
    /// # Errors
    /// The field, what it holds and what it should.
    pub fn read(text: &str) -> Result<Config, ConfigError> {
        let file: File = ConfigError::parse(text)?;
        let set = file.settings.settings()?;
        Ok(Config {
            listen: ConfigError::address("listen", &file.listen)?,
            discovery: ConfigError::address("discovery", &file.discovery)?,
            admin: file.admin_addr.map(|value| ConfigError::address("admin_addr", &value)).transpose()?,
            seed: u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigError::Seed(file.seed))?,
            sockets: file.limits.sockets,
            known: file.known,
            classes: file.settings.classes.iter().map(|class| class.name.clone()).collect(),
            limits: file.settings.transport(),
            form: Form::read(text)?,
            set,
            name: file.name,
        })
    }

    /// What this coordinator is called.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The keys of the file.
    pub fn form(&self) -> &Form {
        &self.form
    }

    /// The names of the classes, in order.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// The settings of the core and the module.
    pub fn settings(&self) -> &Settings {
        &self.set
    }

    /// The limits of the connections.
    pub fn limits(&self) -> Transport {
        self.limits
    }

    /// Where discovery is.
    pub fn discovery(&self) -> SocketAddr {
        self.discovery
    }

    /// Where operators call, if anywhere.
    pub fn admin(&self) -> Option<SocketAddr> {
        self.admin
    }

    /// The server that this configuration describes, one of so many fronts of the process.
    ///
    /// # Errors
    /// What the system refused.
    pub fn server(
        &self,
        event_loop: &Loop,
        clock: Clock,
        number: usize,
        fronts: usize,
    ) -> Result<Server<Platform>, ServeError> {
        let directory = Directory::new(clock.unix_start());
        let (watch, known) = Watch::new(self.discovery, directory, &self.known);
        let classes = Classes::new(&self.classes, self.set.clone(), self.limits);
        let dialect = Platform::new(classes).of_form(self.form.clone());
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
        let refused = |why| ServeError::Listen { address: self.listen, why };
        let server = server.map_err(refused)?;
        let listen = server.local_addr();
        tracing::info!("{} serves the platform on {listen}", self.name);
        Ok(server)
    }
}
