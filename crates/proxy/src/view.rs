//! The proxy's view of the fleet, built from its agent's messages. No I/O.

use crate::urgency::{Ranks, Urgency};
use configuration::{Configuration, ConfigurationError, KeyTable, Router, Service};
use dispatch::{Bounds, Dispatcher, Engine, Engines, Ms, ReplicaNumber, Salts, Store, TenantPolicy};
use feed::{namings_from_wire, Asked};
use peer::{Message, NEVER};
use rollout::{Releases, ReleasesError};
use std::rc::Rc;

/// Bytes that the index of kept parts may take.
const INDEX_BYTES: usize = 32 << 20;

/// What a message asks for.
#[derive(Debug)]
pub enum ViewAnswer {
    /// Nothing.
    Taken,
    /// A configuration is in force now.
    Configured,
    /// The changes don't build on what is here: the whole is needed.
    WantConfiguration,
    /// The configuration can't be used; the one before stays in force.
    Unusable(ConfigurationError),
    /// Versions of weights are named that were not known.
    Named,
    /// Releases of services' software are in other phases.
    Released,
    /// The releases can't be read; those known stay.
    UnusableReleases(ReleasesError),
}

/// A configuration with its look-up tables.
#[derive(Debug)]
pub struct InForce {
    /// The configuration in types.
    pub configuration: Configuration,
    /// Routes by host and path.
    pub router: Router,
    /// Tenants by key.
    pub keys: KeyTable,
    /// How urgent requests are.
    pub urgency: Urgency,
}

/// The view.
#[derive(Debug)]
pub struct View {
    /// What decides where requests go.
    pub dispatcher: Dispatcher,
    in_force: Option<Rc<InForce>>,
    has_replicas: bool,
    asked: Asked,
}

impl View {
    /// Nothing is known yet.
    pub fn new(bounds: Bounds, seed: u64, now: Ms) -> View {
        let dispatcher = Dispatcher::new(bounds, INDEX_BYTES, seed, now);
        View { dispatcher, in_force: None, has_replicas: false, asked: Asked::default() }
    }

    /// The configuration in force.
    pub fn in_force(&self) -> Option<Rc<InForce>> {
        self.in_force.clone()
    }

    /// The version of the configuration in force; 0 for none.
    pub fn version(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |in_force| in_force.configuration.version.0)
    }

    /// `Priority` for a request of these ranks, by the configuration in force.
    pub fn priority(&self, ranks: Ranks) -> Option<u64> {
        self.in_force.as_ref()?.urgency.priority(ranks)
    }

    /// Whether clients can be served: there is a configuration and a list of replicas.
    pub fn is_complete(&self) -> bool {
        self.in_force.is_some() && self.has_replicas
    }

    /// Takes a message of the agent.
    pub fn take(&mut self, message: Message, now: Ms) -> ViewAnswer {
        match message {
            Message::Configuration(message) => return self.configure(&message),
            Message::Releases(releases) => return self.take_releases(&releases, now),
            Message::Software(software) => {
                for replica in &software.replicas {
                    self.dispatcher.note_software(replica.id.as_str(), replica.version.as_str());
                }
            }
            Message::Alive(alive) if alive.majority_age_ms != NEVER => {
                self.dispatcher.heard_of_majority(now, f64::from(alive.majority_age_ms));
            }
            Message::Replicas(replicas) => {
                self.has_replicas = true;
                replicas.records.into_iter().for_each(|record| self.dispatcher.update_replica(record));
            }
            Message::Weights(weights) => return self.take_weights(&weights, now),
            Message::Fleet(fleet) if fleet.proxies > 0 => self.dispatcher.set_proxies(fleet.proxies),
            Message::Prefixes(prefixes) => self.take_prefixes(&prefixes),
            Message::Loads(loads) => self.dispatcher.take_loads(&loads, now),
            _ => {}
        }
        ViewAnswer::Taken
    }

    /// The agent is another one, or another life of it: it has heard nothing from this process.
    pub fn linked(&mut self) {
        self.asked.start_again();
    }

    /// When [`View::news`] may have something to tell.
    pub fn news_due(&self) -> Ms {
        self.dispatcher.loads_due().min(self.dispatcher.release_reports_due())
    }

    /// What the agent is to hear now.
    pub fn news(&mut self, now: Ms) -> Vec<Message> {
        for part in self.dispatcher.take_seen_parts() {
            self.asked.see(now as u64, part.0);
        }
        let loads = self.dispatcher.tell_loads(now).map(Message::Loads);
        let reports = self.dispatcher.release_reports(now).into_iter().map(Message::ReleaseReport);
        loads.into_iter().chain(reports).chain(self.asked.message().map(Message::Interest)).collect()
    }

    fn take_releases(&mut self, releases: &peer::Blob, now: Ms) -> ViewAnswer {
        let releases = match Releases::read(&releases.bytes) {
            Ok(releases) => releases,
            Err(why) => return ViewAnswer::UnusableReleases(why),
        };
        if self.dispatcher.set_releases(releases, now) {
            ViewAnswer::Released
        } else {
            ViewAnswer::Taken
        }
    }

    fn take_weights(&mut self, weights: &peer::Weights, now: Ms) -> ViewAnswer {
        let mut is_news = false;
        for (model, naming) in namings_from_wire(now as u64, weights) {
            is_news |= self.dispatcher.name_version(model, naming);
        }
        if is_news {
            ViewAnswer::Named
        } else {
            ViewAnswer::Taken
        }
    }

    fn configure(&mut self, message: &peer::Configuration) -> ViewAnswer {
        if message.version <= self.version() {
            return ViewAnswer::Taken;
        }
        if message.base != 0 && message.base != self.version() {
            return ViewAnswer::WantConfiguration;
        }
        match self.read(message) {
            Ok(in_force) => {
                self.dispatcher.set_salts(salts(&in_force.configuration));
                self.dispatcher.set_moves(engines(&in_force.configuration), stores(&in_force.configuration));
                self.in_force = Some(Rc::new(in_force));
                ViewAnswer::Configured
            }
            Err(why) => ViewAnswer::Unusable(why),
        }
    }

    fn read(&self, message: &peer::Configuration) -> Result<InForce, ConfigurationError> {
        let body = &message.body.bytes;
        let configuration = match &self.in_force {
            Some(in_force) if message.base != 0 => in_force.configuration.with(body)?,
            _ => Configuration::read(body)?,
        };
        let (router, keys) = (Router::new(&configuration), KeyTable::new(&configuration));
        let urgency = Urgency::new(&configuration);
        Ok(InForce { configuration, router, keys, urgency })
    }

    fn take_prefixes(&mut self, prefixes: &peer::Prefixes) {
        let Some(replica) = self.dispatcher.replica_number(prefixes.replica.as_str()) else { return };
        self.dispatcher.take_prefixes(replica, prefixes);
    }

    /// Whether a replica still takes requests.
    pub fn is_ready(&self, replica: ReplicaNumber) -> bool {
        self.dispatcher.is_ready(replica)
    }
}

/// The salts under which replicas keep what requests leave.
fn salts(configuration: &Configuration) -> Salts {
    let policies = configuration
        .customers
        .iter()
        .map(|customer| TenantPolicy { name: &customer.name, is_isolated: customer.isolated });
    Salts::new(policies)
}

/// What replicas need to move kept blocks, by service.
fn engines(configuration: &Configuration) -> Engines {
    let engine = |service: &Service| {
        let engine = service.engine.as_ref()?;
        let facts = Engine { token_bytes: engine.token_bytes, link_mbps: engine.link_mbps };
        Some((service.name.clone(), facts))
    };
    configuration.services.iter().filter_map(engine).collect()
}

/// The stores of kept blocks.
fn stores(configuration: &Configuration) -> Vec<Store> {
    let store = |service: &Service| {
        let address = service.cache_store.as_ref()?.parse().ok()?;
        let zone = service.zone.clone().unwrap_or_default();
        Some(Store { address, zone, link_mbps: service.link_mbps.unwrap_or_default() })
    };
    configuration.services.iter().filter_map(store).collect()
}
