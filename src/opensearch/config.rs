//! The file that says where the second front listens, who may ask what of it, and which book nodes it has.

use super::records::Records;
use super::{Contract, OpenSearch};
use crate::core::{Core, Counters};
use crate::interface::*;
use crate::net::figures::Figures;
use crate::net::{Clock, Key, Loop, ServeError, Served, Server, Sockets};
use crate::settings::{ConfigError, Profile, Transport};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Pause between looks at the file of records, ms.
const LOOK_GAP: Ms = 250.0;

#[derive(Deserialize, Debug)]
struct File {
    name: Option<String>,
    listen: String,
    index: String,
    service: String,
    records: String,
    seed: u64,
    sockets: usize,
    contracts: Vec<FileContract>,
    settings: Profile,
}

#[derive(Deserialize, Debug)]
struct FileContract {
    team: String,
    classes: Vec<String>,
    deadline_ms: Option<f64>,
    queries_per_s: f64,
    burst: f64,
}

/// The file's contents, once they make sense.
#[derive(Debug)]
pub struct Config {
    name: String,
    listen: SocketAddr,
    index: String,
    service: String,
    records: PathBuf,
    seed: u64,
    sockets: usize,
    contracts: Vec<Contract>,
    classes: Vec<String>,
    set: Settings,
    limits: Transport,
}

impl Config {
    /// Reads the file's text; names in it are relative to `folder`.
    ///
    /// # Errors
    /// The field, what it holds and what it should.
    pub fn read(text: &str, folder: &Path) -> Result<Config, ConfigError> {
        let file: File = ConfigError::parse(text)?;
        let set = file.settings.settings()?;
        // The dialect has no idempotency key and no second step: what needs them can't be kept here.
        let unfit = |class: &Class| matches!(class.effect, Effect::Keyed(_)) || class.fetch > 0;
        if let Some(class) = set.classes.iter().position(unfit) {
            let why = "classes of this front are idempotent or at_most_once, without a second step";
            return Err(ConfigError::Unsupported { class, why });
        }
        let limits = Transport { streams: 1, ..file.settings.transport() };
        if limits.shards == usize::MAX || limits.shards == 0 {
            return Err(ConfigError::Nothing("domain.slices"));
        }
        let classes: Vec<String> = file.settings.classes.iter().map(|class| class.name.clone()).collect();
        let mut contracts = Vec::new();
        for contract in &file.contracts {
            let known = |name: &String| {
                let class = classes.iter().position(|known| known == name);
                let (team, class_name) = (contract.team.clone(), name.clone());
                class.ok_or(ConfigError::NoClass { team, class: class_name })
            };
            let of = contract.classes.iter().map(known).collect::<Result<Vec<_>, _>>()?;
            for (field, value, least) in [
                ("classes", of.len() as f64, 1.0),
                ("queries_per_s", contract.queries_per_s, f64::MIN_POSITIVE),
                ("burst", contract.burst, 1.0),
            ] {
                if !(value.is_finite() && value >= least) {
                    return Err(ConfigError::Contract { team: contract.team.clone(), field, value, least });
                }
            }
            let longest = contract.deadline_ms.unwrap_or(f64::INFINITY);
            contracts.push(Contract::new(
                &contract.team,
                of,
                longest,
                contract.queries_per_s,
                contract.burst,
            ));
        }
        Ok(Config {
            name: file.name.unwrap_or_else(|| "steppick".into()),
            listen: ConfigError::address("listen", &file.listen)?,
            index: file.index,
            service: file.service,
            records: folder.join(file.records),
            seed: file.seed,
            sockets: file.sockets,
            contracts,
            classes,
            set,
            limits,
        })
    }

    /// What this coordinator is called in placements.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The front that this file describes, one of so many of the process.
    ///
    /// # Errors
    /// What the system refused, or which record makes no sense.
    pub fn front(
        self,
        event_loop: &Loop,
        clock: Clock,
        number: usize,
        fronts: usize,
    ) -> Result<Front, ServeError> {
        let mut records = Records::new(clock.unix_start());
        let path = self.records;
        let text =
            std::fs::read_to_string(&path).map_err(|why| ServeError::File { path: path.clone(), why })?;
        let known = records
            .read(&text, &self.service)
            .map_err(|why| ServeError::Records { path: path.clone(), why })?;
        let deadlines = self.set.classes.iter().map(|class| class.deadline).collect();
        let (shards, advice) = (self.limits.shards, self.set.advice_limit);
        let dialect =
            OpenSearch::new(self.index, self.classes, deadlines, shards, advice, self.contracts, self.seed);
        let core = Core::new(self.set, self.limits, self.seed);
        let server = Server::new(
            event_loop,
            number,
            dialect,
            core,
            self.limits,
            Sockets::of(self.sockets, fronts),
            self.listen,
            Some(known),
            None,
        );
        let refused = |why| ServeError::Listen { address: self.listen, why };
        let server = server.map_err(refused)?;
        let listen = server.local_addr();
        tracing::info!("serves OpenSearch queries on {listen}");
        Ok(Front { server, records, path, text, service: self.service, looked_at: 0.0 })
    }
}

/// The second front: its server and the file of records that it follows.
pub struct Front {
    server: Server<OpenSearch>,
    records: Records,
    path: PathBuf,
    text: String,
    service: String,
    looked_at: Ms,
}

impl Front {
    /// Takes in the records if they have changed. What can't be read changes nothing: the list stands.
    fn look(&mut self, now: Ms) {
        if now < self.looked_at + LOOK_GAP {
            return;
        }
        self.looked_at = now;
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) if text != self.text => text,
            Ok(_) => return,
            Err(error) => return tracing::warn!("{}: {error}", self.path.display()),
        };
        match self.records.read(&text, &self.service) {
            Ok(news) => self.server.take_news(news),
            Err(why) => tracing::warn!("{}: {why}; the list read before stands", self.path.display()),
        }
        self.text = text;
    }
}

impl Served for Front {
    /// The records are read whenever they change; all else in the file needs a new start.
    fn reload(&mut self, _: &str, now: Ms) -> Result<(), ConfigError> {
        self.looked_at = f64::NEG_INFINITY;
        self.look(now);
        Ok(())
    }

    fn next_due(&self, now: Ms) -> Option<Ms> {
        let look = self.looked_at + LOOK_GAP;
        Some(self.server.next_due(now).map_or(look, |due| due.min(look)))
    }

    fn turn(&mut self, now: Ms, ready: &[(usize, Key)]) {
        self.look(now);
        self.server.turn(now, ready);
    }

    fn turned(&mut self, now: Ms) {
        self.server.turned(now);
    }

    fn trail(&self) -> Vec<String> {
        self.server.trail()
    }

    fn favour(&mut self, favour: Option<placement::Favour>) {
        self.server.favour(favour);
    }

    fn takes_clients(&self) -> bool {
        self.server.takes_clients()
    }

    fn end(&mut self, now: Ms) {
        self.server.end(now);
    }

    fn has_ended(&self, now: Ms) -> bool {
        self.server.has_ended(now)
    }

    fn counters(&self) -> &Counters {
        self.server.counters()
    }

    fn figures(&self) -> Figures {
        self.server.figures()
    }
}
