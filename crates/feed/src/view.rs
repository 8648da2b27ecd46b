//! What a process knows of the fleet.

use std::net::SocketAddrV4;

use catalog::{Catalog, Limits, Merged, Record, State};
use configuration::ConfigurationError;
use peer::{Address, Fleet, Software, Weights};
use rollout::Releases;
use weights::{NamedWeights, Naming};

use crate::held::{ConfigurationTaken, HeldConfiguration};
use crate::namings::{namings_from_wire, namings_to_wire};
use crate::prefixes::PrefixTable;
use crate::records::record_from_wire;
use crate::Millis;

/// What became of records that came.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplicasTaken {
    /// Whether any of it is news.
    pub news: bool,
    /// Records that are lost, as news.
    pub lost: Vec<Record>,
}

/// How far a view has got in what subscribers must hear at once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UrgentChange {
    replicas: u64,
    configuration: u64,
    weights: u64,
    releases: u64,
}

/// Knowledge of the fleet, merged from whoever tells it. Never goes back within the life of the process.
#[derive(Debug)]
pub struct View {
    pub replicas: Catalog,
    pub prefixes: PrefixTable,
    configuration: Option<HeldConfiguration>,
    weights: NamedWeights,
    pub(crate) weights_change: u64,
    releases: Releases,
    controllers: Vec<SocketAddrV4>,
    proxies: u32,
    pub(crate) fleet_change: u64,
}

impl View {
    pub fn new(limits: Limits) -> View {
        View {
            replicas: Catalog::new(limits),
            prefixes: PrefixTable::default(),
            configuration: None,
            weights: NamedWeights::default(),
            weights_change: 0,
            releases: Releases::default(),
            controllers: Vec::new(),
            proxies: 0,
            fleet_change: 0,
        }
    }

    pub fn configuration(&self) -> Option<&HeldConfiguration> {
        self.configuration.as_ref()
    }

    /// How far this view has got in what subscribers must hear at once: configurations, named weights, releases, and
    /// replicas that drain or have ended.
    pub fn urgent_change(&self) -> UrgentChange {
        UrgentChange {
            replicas: self.replicas.last_urgent_change(),
            configuration: self.configuration_version(),
            weights: self.weights_change,
            releases: self.releases.revision,
        }
    }

    /// A number that goes up with everything that subscribers may hear.
    pub fn newest_change(&self) -> u64 {
        let replicas = self.replicas.last_change();
        let others = self.prefixes.last_step() + self.weights_change + self.fleet_change;
        replicas + others + self.configuration_version() + self.releases.revision
    }

    /// Version of the configuration held, 0 for none.
    pub fn configuration_version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, HeldConfiguration::version)
    }

    /// Takes a decided configuration, whole.
    ///
    /// # Errors
    /// It can't be read.
    pub fn take_configuration(
        &mut self,
        version: u64,
        body: Vec<u8>,
    ) -> Result<ConfigurationTaken, ConfigurationError> {
        if version <= self.configuration_version() {
            return Ok(ConfigurationTaken::Known);
        }
        self.configuration = Some(HeldConfiguration::read(body, self.configuration.as_ref())?);
        Ok(ConfigurationTaken::News)
    }

    /// Takes a decided configuration, or changes, as they came.
    ///
    /// # Errors
    /// They can't be read.
    pub fn take_configuration_message(
        &mut self,
        message: peer::Configuration,
    ) -> Result<ConfigurationTaken, ConfigurationError> {
        if message.version <= self.configuration_version() {
            return Ok(ConfigurationTaken::Known);
        }
        if message.base == 0 {
            return self.take_configuration(message.version, message.body.bytes);
        }
        match self.configuration.as_ref().filter(|held| held.version() == message.base) {
            Some(held) => {
                self.configuration = Some(held.changed(&message.body.bytes)?);
                Ok(ConfigurationTaken::News)
            }
            None => Ok(ConfigurationTaken::OtherBase),
        }
    }

    /// The releases of the services' software.
    pub fn releases(&self) -> &Releases {
        &self.releases
    }

    /// Takes releases in, if they are newer. Whether they are.
    pub fn take_releases(&mut self, releases: Releases) -> bool {
        let is_news = releases.revision > self.releases.revision;
        if is_news {
            self.releases = releases;
        }
        is_news
    }

    /// Takes the software of replicas, which is told before their records.
    pub fn take_software(&mut self, software: &Software) {
        for replica in &software.replicas {
            self.replicas.note_software(replica.id.as_str(), replica.version.as_str());
        }
    }

    /// Takes records of replicas. Where this view knows better than the sender, it is told again to all.
    pub fn take_replicas(&mut self, now: Millis, replicas: &peer::Replicas) -> ReplicasTaken {
        let mut taken = ReplicasTaken::default();
        for record in &replicas.records {
            let record = record_from_wire(record);
            let (id, lost) = (record.id.clone(), record.state == State::Lost);
            match self.replicas.merge(now, record) {
                Merged::News => {
                    taken.news = true;
                    taken.lost.extend(self.replicas.get(&id).filter(|_| lost).cloned());
                }
                Merged::Older => {
                    self.replicas.tell_again(&id);
                    taken.news = true;
                }
                Merged::Same => {}
            }
        }
        taken
    }

    /// Drops what ended replicas kept, and those that were lost for so long that they are forgotten.
    pub fn forget_prefixes_of_ended(&mut self) {
        let forgotten = self.replicas.take_forgotten();
        let ended = |id: &str| self.replicas.get(id).is_some_and(|record| record.state == State::Gone);
        self.prefixes.retain(|id| !ended(id) && !forgotten.iter().any(|gone| gone == id));
    }

    /// The versions of weights that are named, by this process's clock.
    pub fn weights(&self) -> &NamedWeights {
        &self.weights
    }

    /// Takes namings in; an obligation that is known stays. Whether any is news.
    pub fn take_weights<'a>(
        &mut self,
        now: Millis,
        namings: impl IntoIterator<Item = (&'a str, Naming)>,
    ) -> bool {
        let mut is_news = false;
        for (model, naming) in namings {
            is_news |= self.weights.name(model, naming);
        }
        self.weights.forget_old(now as i64);
        self.weights_change += u64::from(is_news);
        is_news
    }

    /// Takes namings as they came. Whether any is news.
    pub fn take_weights_message(&mut self, now: Millis, weights: &Weights) -> bool {
        self.take_weights(now, namings_from_wire(now, weights))
    }

    pub(crate) fn weights_message(&self, now: Millis) -> Weights {
        namings_to_wire(now, &self.weights)
    }

    /// Inner addresses of the controllers.
    pub fn controllers(&self) -> &[SocketAddrV4] {
        &self.controllers
    }

    /// Number of proxies; 0 while nobody knows.
    pub fn proxies(&self) -> u32 {
        self.proxies
    }

    /// Takes who there is. Whether it is news.
    pub fn set_fleet(&mut self, controllers: Vec<SocketAddrV4>, proxies: u32) -> bool {
        if self.controllers == controllers && self.proxies == proxies {
            return false;
        }
        self.controllers = controllers;
        self.proxies = proxies;
        self.fleet_change += 1;
        true
    }

    pub(crate) fn fleet_message(&self) -> Fleet {
        Fleet::new(self.controllers.iter().copied().map(Address::from).collect(), self.proxies)
    }
}
